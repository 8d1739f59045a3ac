"""A rate limit in events per second."""

import threading

# A burst of a tenth of a second passes, so that a steady sender at the limit
# is not refused because of small delays.
BURST_S = 0.1


class RateLimit:
    """Admit events at a rate that may change at any time (token bucket)."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tokens = float("inf")
        self._updated_s = float("-inf")

    def admit(self, rate_per_s: float, now_s: float) -> float:
        """Admit one event and return 0, or return the seconds to wait; 0 = no limit."""
        if rate_per_s <= 0:
            return 0.0
        with self._lock:
            refilled = (now_s - self._updated_s) * rate_per_s
            self._tokens = min(self._tokens + refilled, max(1.0, rate_per_s * BURST_S))
            self._updated_s = now_s
            if self._tokens < 1.0:
                return (1.0 - self._tokens) / rate_per_s
            self._tokens -= 1.0
            return 0.0
