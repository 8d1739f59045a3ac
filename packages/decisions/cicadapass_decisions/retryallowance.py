"""Limit the retries to a service to a ratio of its requests."""

from collections import deque

# Retries per request. The platform allows 0.2; the margin covers the rounding of the
# other nodes.
RETRY_RATIO = 0.12
# Fraction of the platform's slack that is used; the rest covers nodes that have not yet
# discovered each other.
SLACK_FRACTION = 0.5
# Part of the allowance that hedges may use: a silent upstream may still answer, while
# an answer that broke off is lost without a retry.
HEDGE_FRACTION = 0.7


class RetryAllowance:
    """Count the requests and retries of one service in a sliding window."""

    def __init__(self, window_s: float, slack: float) -> None:
        self._window_s = window_s
        self._slack = slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now_s: float) -> None:
        """Count a new request of a caller, which raises the allowance."""
        self._requests.append(now_s)
        self._trim(now_s)

    def is_available(self, now_s: float, nodes: int, *, hedge: bool = False) -> bool:
        """Return whether one more retry is allowed; hedges leave a part for the others.

        The slack beyond the ratio is divided evenly among all nodes.
        """
        self._trim(now_s)
        slack = SLACK_FRACTION * self._slack / max(1, nodes)
        allowed = slack + RETRY_RATIO * len(self._requests)
        if hedge:
            allowed *= HEDGE_FRACTION
        return len(self._retries) + 1 <= allowed

    def take(self, now_s: float, nodes: int, *, hedge: bool = False) -> bool:
        """Return whether one more retry is allowed, and count it if so."""
        if not self.is_available(now_s, nodes, hedge=hedge):
            return False
        self._retries.append(now_s)
        return True

    def _trim(self, now_s: float) -> None:
        start = now_s - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()
