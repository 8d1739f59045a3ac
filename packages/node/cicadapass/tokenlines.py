"""Parse an engine's stream of JSON lines into batches of tokens."""

import json
from dataclasses import dataclass

from cicadapass.upstreamhttp import CallFailure

# Exceptions that parsing arbitrary JSON lines may raise.
PARSE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, RecursionError)


@dataclass(frozen=True, slots=True)
class TokenBatch:
    """Represent tokens that arrived together, with consecutive indexes.

    The last batch is `done`; its `total` is the number of tokens of the whole answer.
    """

    first_index: int
    texts: tuple[str, ...]
    done: bool
    total: int | None = None


class TokenLineParser:
    """Parse a stream incrementally; incomplete lines are kept for the next call."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> TokenBatch | CallFailure:
        """Return the tokens of the complete lines, which may be none, or a failure."""
        lines = (self._pending + data).split(b"\n")
        self._pending = lines.pop()
        try:
            return _parse_lines(lines)
        except PARSE_ERRORS as error:
            return CallFailure(f"stream is malformed: {error!r}", sent=True)


def _parse_lines(lines: list[bytes]) -> TokenBatch:
    # Parsing one array is cheaper than parsing each line.
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
    # Raises if a text is not a string or cannot be encoded as UTF-8 for a copy.
    "".join(texts).encode()
    return TokenBatch(first_index, texts, done, total)
