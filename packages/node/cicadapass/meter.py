"""Measure the attempts of model requests."""

from cicadapass.upstreamtable import Outcome
from cicadapass_decisions.slowness import Timing

# Measurements of a running attempt are reported this often.
MEASURE_INTERVAL_S = 0.5


class AttemptMeter:
    """Measure one attempt: its first token and the time between tokens."""

    def __init__(self, now_s: float) -> None:
        self._started_s = now_s
        self._first_s: float | None = None
        self._last_s = now_s
        self._reported_s = now_s
        self._reported_tokens = 0
        self._tokens = 0

    def count(self, tokens: int, now_s: float) -> bool:
        """Count tokens and return whether it is time to report."""
        if tokens and self._first_s is None:
            self._first_s = now_s
        self._tokens += tokens
        self._last_s = now_s
        return now_s - self._reported_s >= MEASURE_INTERVAL_S

    def outcome(self, *, failed: bool = False, finished: bool = False) -> Outcome:
        """Return what was measured since the last call."""
        outcome = Outcome(
            timing=Timing(self._first_token_s(), self._inter_token_s()),
            total_s=self._last_s - self._started_s if finished and not failed else None,
            tokens=self._tokens,
            failed=failed,
            finished=finished,
        )
        self._reported_s = self._last_s
        self._reported_tokens = self._tokens
        return outcome

    def _first_token_s(self) -> float | None:
        # The first token is reported once, with the first outcome that knows it.
        if self._first_s is None or self._reported_tokens:
            return None
        return self._first_s - self._started_s

    def _inter_token_s(self) -> float | None:
        since_s = self._reported_s if self._reported_tokens else self._first_s
        count = self._tokens - max(self._reported_tokens, 1)
        if since_s is None or count < 1:
            return None
        return (self._last_s - since_s) / count
