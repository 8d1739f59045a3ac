"""Order the requests that are queued at a node for an upstream.

The order matters while the load exceeds the prefill capacity of the engines. Requests
with a higher priority go first. Within a priority, requests that can still meet their
target go before those that cannot, each oldest first, so that a large request is
overtaken by a bounded number of others.
"""

from dataclasses import dataclass

from cicadapass_decisions.limitsampling import capped_retry_s

# A late request that has waited for this fraction of the caller's maximum wait is again
# ordered by arrival among the ones in time, and thus goes before newer ones, so that no
# request waits until its deadline.
OVERDUE_WAIT_FRACTION = 0.45


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Describe a queued request for the choice of the next one."""

    key: str
    priority: int
    arrived_s: float
    target_s: float
    max_wait_s: float
    expected_s: float


def queue_rank(request: QueuedRequest, now_s: float) -> tuple[int, int, float]:
    """Return the sort key of a queued request; the smallest is next."""
    waited_s = now_s - request.arrived_s
    late = waited_s + request.expected_s > request.target_s
    overdue = waited_s > OVERDUE_WAIT_FRACTION * request.max_wait_s
    return request.priority, 1 if late and not overdue else 0, request.arrived_s


def retry_after_s(
    queued_s: float, time_left_s: float, spread: float, max_fraction: float = 1 / 3
) -> float:
    """Return the time after which a refused caller should retry.

    The time covers the present queue and is scaled by `spread` (0 to 1), so that
    callers refused in one burst do not retry together. Callers honour a wait of up to a
    third of their remaining time; longer ones are spread below that bound.
    """
    most_s = max_fraction * time_left_s * 0.95
    return max(0.05, capped_retry_s(queued_s * (0.5 + spread), most_s, spread))
