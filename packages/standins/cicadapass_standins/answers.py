"""Deterministic answers of the upstreams, computed from the request.

Tests compute the expected answer with these functions and compare every byte.
"""

import hashlib
import json
from functools import lru_cache

KEY_BYTES = 16
WORD_BYTES = 4


@lru_cache(maxsize=4096)
def answer_key(prompt: str, seed: int) -> bytes:
    """Return the hash key from which all tokens of one answer are derived."""
    return hashlib.blake2b(f"{seed}\n{prompt}".encode(), digest_size=KEY_BYTES).digest()


def token_text_from_key(key: bytes, index: int) -> str:
    """Return the text of one token, given the `answer_key` of its answer."""
    word = hashlib.blake2b(b"%d" % index, key=key, digest_size=WORD_BYTES).hexdigest()
    # Some tokens contain a two-byte UTF-8 character or need a JSON escape, so that
    # an answer that is split or joined at the wrong byte fails verification.
    match word[0]:
        case "0":
            return f" ī{word}"
        case "1":
            return f' "{word}'
    return f" {word}"


def token_text(prompt: str, seed: int, index: int) -> str:
    """Return the text of one token: a space and one word; indices start at 0."""
    return token_text_from_key(answer_key(prompt, seed), index)


def answer_text(prompt: str, seed: int, tokens: int) -> str:
    """Return the complete answer with this number of tokens."""
    key = answer_key(prompt, seed)
    return "".join(token_text_from_key(key, index) for index in range(tokens))


def service_answer(method: str, target: str, body: bytes) -> bytes:
    """Return the plain service's JSON answer; `target` is the path with the query."""
    digest = hashlib.sha256(f"{method} {target}\n".encode() + body).hexdigest()
    return json.dumps({"method": method, "path": target, "answer": digest}).encode()


def weights_content(model: str, version: str, size_bytes: int) -> bytes:
    """Return the weight file of one model version, exactly `size_bytes` long."""
    digest = hashlib.sha256(f"{model}/{version}".encode()).digest()
    return (digest * (size_bytes // len(digest) + 1))[:size_bytes]
