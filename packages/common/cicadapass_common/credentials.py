"""Create, hash and compare bearer credentials."""

import hashlib
import hmac
import secrets

# 32 random bytes cannot be guessed, so a hash without salt protects them.
CREDENTIAL_BYTES = 32
# Lets secret scanners recognise a leaked credential.
CREDENTIAL_PREFIX = "cicadapass-"
_SCHEME = "bearer"


def new_credential() -> str:
    """Return a random credential that starts with CREDENTIAL_PREFIX."""
    return CREDENTIAL_PREFIX + secrets.token_urlsafe(CREDENTIAL_BYTES)


def hash_credential(credential: str) -> str:
    """Return the SHA-256 of a credential in lower-case hexadecimal."""
    return hashlib.sha256(credential.encode(errors="replace")).hexdigest()


def credential_matches(credential: str, sha256: str) -> bool:
    """Compare a credential with a hash in constant time."""
    return hmac.compare_digest(hash_credential(credential), sha256)


def bearer_credential(authorization: str | None) -> str | None:
    """Return the bearer credential of an Authorization header, or None without one."""
    scheme, _, credential = (authorization or "").strip().partition(" ")
    credential = credential.strip()
    return credential if scheme.lower() == _SCHEME and credential else None
