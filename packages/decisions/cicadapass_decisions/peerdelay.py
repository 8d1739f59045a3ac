"""Estimate how long a datagram was on its way or waited in the receiver's buffer.

A node that stood still finds datagrams in its buffer that are as old as its pause. The
sender's uptime shows it: the difference to the receiver's clock is least for the
fastest datagram.
"""

import math

# Clocks of two machines drift apart by no more than this.
MAX_DRIFT = 1e-4
# The least difference counts once datagrams have arrived for this long, as those of a
# new sender may all come from the buffer.
SETTLE_S = 1.0


class PeerDelay:
    """Track the difference between the clocks of a sender and of this node."""

    def __init__(self) -> None:
        self._first_s = math.inf
        self._least_s = math.inf
        self._updated_s = 0.0

    def record(self, uptime_s: float, now_s: float) -> float:
        """Return the delay of a datagram that arrives now; infinity if not known."""
        difference_s = now_s - uptime_s
        drift_s = MAX_DRIFT * (now_s - self._updated_s)
        self._least_s = min(self._least_s + drift_s, difference_s)
        self._updated_s = now_s
        self._first_s = min(self._first_s, now_s)
        if now_s - self._first_s < SETTLE_S:
            return math.inf
        return difference_s - self._least_s
