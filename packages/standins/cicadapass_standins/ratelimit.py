"""A rate limit in events per second."""

import threading

# A burst of a tenth of a second passes, so that a steady sender at the limit
# is not refused because of small delays.
BURST_S = 0.1


class RateLimit:
    """Admit events at a rate that may change at any time (token bucket)."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._credit = float("inf")
        self._updated_s = float("-inf")

    def wait_s(self, per_s: float, now_s: float) -> float:
        """Admit one event and return 0, or return the seconds to wait; 0 = no limit."""
        if per_s <= 0:
            return 0.0
        with self._lock:
            earned = (now_s - self._updated_s) * per_s
            self._credit = min(self._credit + earned, max(1.0, per_s * BURST_S))
            self._updated_s = now_s
            if self._credit < 1.0:
                return (1.0 - self._credit) / per_s
            self._credit -= 1.0
            return 0.0
