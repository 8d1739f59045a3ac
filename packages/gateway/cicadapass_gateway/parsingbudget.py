"""Bound the small parts into which an upstream may divide a response."""

from cicadapass_gateway.exceptions import AnswerBroken

# Each chunk and each event of a response costs processor time, however short it is.
# Parts of this size on average are not limited.
FREE_BYTES_PER_PART = 512
# Smaller ones may come at this rate, and this many at once. An engine that writes an
# event a token, in several chunks, stays far below.
PARTS_PER_S = 4000.0
BURST_PARTS = 1024


class ParsingBudget:
    """Count the parts and bytes of one response."""

    def __init__(self, began_s: float) -> None:
        self._began_s = began_s
        self._parts = 0
        self._bytes = 0

    def spend(self, parts: int, data_bytes: int, now_s: float) -> None:
        """Count parts of a response; raise `AnswerBroken` if they are too many."""
        self._parts += parts
        self._bytes += data_bytes
        allowed = (
            BURST_PARTS
            + self._bytes / FREE_BYTES_PER_PART
            + PARTS_PER_S * (now_s - self._began_s)
        )
        if self._parts > allowed:
            raise AnswerBroken(
                f"{self._parts} chunks and events for {self._bytes} bytes of a response"
            )
