"""Create, hash and compare bearer credentials."""

import hashlib
import hmac
import secrets

# 32 random bytes cannot be guessed, so a plain hash protects them.
CREDENTIAL_BYTES = 32
# The prefix lets scanners recognise a credential that leaked into a text.
CREDENTIAL_PREFIX = "cicadapass-"
_SCHEME = "bearer"


def new_credential() -> str:
    """Return a new random credential."""
    return CREDENTIAL_PREFIX + secrets.token_urlsafe(CREDENTIAL_BYTES)


def hash_credential(credential: str) -> str:
    """Return the SHA-256 of a credential in lower-case hexadecimal."""
    return hashlib.sha256(credential.encode(errors="replace")).hexdigest()


def credential_matches(credential: str, sha256: str) -> bool:
    """Compare in a time that does not depend on where the hashes differ."""
    return hmac.compare_digest(hash_credential(credential), sha256)


def bearer_credential(authorization: str | None) -> str | None:
    """Return the credential of an Authorization header, if it holds one."""
    scheme, _, credential = (authorization or "").strip().partition(" ")
    credential = credential.strip()
    return credential if scheme.lower() == _SCHEME and credential else None
