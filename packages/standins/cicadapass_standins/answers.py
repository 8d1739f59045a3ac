"""The answers that the upstreams give, as functions of the request.

Tests use these functions to verify every byte of an answer.
"""

import hashlib
import json
from functools import lru_cache

KEY_BYTES = 16
WORD_BYTES = 4


@lru_cache(maxsize=4096)
def answer_key(prompt: str, seed: int) -> bytes:
    """Return the key that all tokens of one answer derive from."""
    return hashlib.blake2b(f"{seed}\n{prompt}".encode(), digest_size=KEY_BYTES).digest()


def token_text_from_key(key: bytes, index: int) -> str:
    """Return the text of one token of the answer with this key."""
    word = hashlib.blake2b(b"%d" % index, key=key, digest_size=WORD_BYTES).hexdigest()
    # Some tokens need two bytes in UTF-8 or an escape in JSON, so that an
    # answer which is cut or joined at the wrong place does not verify.
    match word[0]:
        case "0":
            return f" ī{word}"
        case "1":
            return f' "{word}'
    return f" {word}"


def token_text(prompt: str, seed: int, index: int) -> str:
    """Return the text of the token with this index, a blank and one word."""
    return token_text_from_key(answer_key(prompt, seed), index)


def answer_text(prompt: str, seed: int, tokens: int) -> str:
    """Return the text of a complete answer."""
    key = answer_key(prompt, seed)
    return "".join(token_text_from_key(key, index) for index in range(tokens))


def service_answer(method: str, target: str, body: bytes) -> bytes:
    """Return the plain service's answer; the target is path and query."""
    digest = hashlib.sha256(f"{method} {target}\n".encode() + body).hexdigest()
    return json.dumps({"method": method, "path": target, "answer": digest}).encode()


def weights_content(model: str, version: str, size_bytes: int) -> bytes:
    """Return the weight store's bytes of one model version."""
    digest = hashlib.sha256(f"{model}/{version}".encode()).digest()
    return (digest * (size_bytes // len(digest) + 1))[:size_bytes]
