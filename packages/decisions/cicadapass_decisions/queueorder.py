"""Order the requests that wait at a node for an upstream.

Answers a load above what the engines can read: more urgent requests go first; among
equals those that can still meet their target go before those that cannot, and these
go oldest first, so that a large request is passed over by a bounded number.
"""

from dataclasses import dataclass

# A late request that has waited this part of the caller's patience goes before the
# ones in time, so that no request waits until its deadline.
OVERDUE_FRACTION = 0.45


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Hold what decides the turn of a waiting request."""

    key: str
    priority: int
    arrived_s: float
    target_s: float
    max_wait_s: float
    expected_s: float


def queue_rank(request: QueuedRequest, now_s: float) -> tuple[int, int, float]:
    """Return the sort key of a waiting request; the smallest is next."""
    waited_s = now_s - request.arrived_s
    late = waited_s + request.expected_s > request.target_s
    overdue = waited_s > OVERDUE_FRACTION * request.max_wait_s
    return request.priority, 1 if late and not overdue else 0, request.arrived_s


def retry_after_s(
    queued_s: float, time_left_s: float, spread: float, max_fraction: float = 1 / 3
) -> float:
    """Return when a refused caller should come back.

    The wait covers what is queued now and is spread by `spread` (0 to 1), so that the
    callers refused in one burst do not return together. Callers honour a wait of up to
    a third of the time that they have left.
    """
    desired_s = queued_s * (0.5 + spread)
    return max(0.05, min(desired_s, max_fraction * time_left_s * 0.95))
