"""Cut the bytes of an engine's stream into batches of tokens."""

import json
from dataclasses import dataclass

from cicadapass.upstreamhttp import CallFailure

# What parsing lines of any JSON may raise.
PARSE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, RecursionError)


@dataclass(frozen=True, slots=True)
class TokenBatch:
    """Hold tokens that arrived together.

    The last batch is `done` and has the number of all tokens of the answer.
    """

    first_index: int
    texts: tuple[str, ...]
    done: bool
    total: int | None = None


class TokenLineParser:
    """Cut the bytes of a stream into batches of tokens."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> TokenBatch | CallFailure:
        """Return the tokens of the lines that are complete, perhaps none."""
        lines = (self._pending + data).split(b"\n")
        self._pending = lines.pop()
        try:
            return _parse_lines(lines)
        except PARSE_ERRORS as error:
            return CallFailure(f"stream is malformed: {error!r}", sent=True)


def _parse_lines(lines: list[bytes]) -> TokenBatch:
    # One parse of an array costs less than one parse per line.
    items = json.loads(b"[" + b",".join(line for line in lines if line) + b"]")
    done = bool(items) and bool(items[-1].get("done"))
    total = int(items[-1]["tokens"]) if done else None
    tokens = items[:-1] if done else items
    if not tokens:
        return TokenBatch(0, (), done, total)
    first_index = int(tokens[0]["i"])
    indexes = [token["i"] for token in tokens]
    if indexes != list(range(first_index, first_index + len(tokens))):
        raise ValueError("token indexes are not in order")
    texts = tuple(token["t"] for token in tokens)
    # Raises for texts that are no strings or that UTF-8 cannot carry to a copy.
    "".join(texts).encode()
    return TokenBatch(first_index, texts, done, total)
