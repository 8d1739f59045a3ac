"""A rate limit in events per second."""

import threading

# The bucket holds a tenth of a second of events, so that jitter does not cause
# refusals for a sender that keeps to the limit.
BURST_S = 0.1


class RateLimit:
    """Limit events by a token bucket whose rate may change at any time."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tokens = float("inf")
        self._updated_s = float("-inf")

    def admit(self, rate_per_s: float, now_s: float) -> float:
        """Admit an event and return 0, or return the seconds to wait.

        A rate of 0 means no limit.
        """
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
