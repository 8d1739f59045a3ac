"""Timing of the attempts of model requests."""

from cicadapass.upstreamtable import Outcome
from cicadapass_decisions.slowness import Timing

# Interval between the reports of a running attempt.
MEASURE_INTERVAL_S = 0.5


class AttemptMeter:
    """Measure one attempt's time to the first token and between tokens."""

    def __init__(self, now_s: float) -> None:
        self._started_s = now_s
        self._first_s: float | None = None
        self._last_s = now_s
        self._reported_s = now_s
        self._reported_tokens = 0
        self._tokens = 0

    def count(self, tokens: int, now_s: float) -> bool:
        """Count received tokens and return whether a report is due."""
        if tokens and self._first_s is None:
            self._first_s = now_s
        self._tokens += tokens
        self._last_s = now_s
        return now_s - self._reported_s >= MEASURE_INTERVAL_S

    def outcome(self, *, failed: bool = False, finished: bool = False) -> Outcome:
        """Return the measurements since the last call; `tokens` is the total."""
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
        # Reported only once, with the first outcome after the first token.
        if self._first_s is None or self._reported_tokens:
            return None
        return self._first_s - self._started_s

    def _inter_token_s(self) -> float | None:
        since_s = self._reported_s if self._reported_tokens else self._first_s
        count = self._tokens - max(self._reported_tokens, 1)
        if since_s is None or count < 1:
            return None
        return (self._last_s - since_s) / count
