"""Order the requests that wait at a node for an upstream.

Answers a load above what the engines can read: more urgent requests go first; among
equals those that can still meet their target go before those that cannot, and these
go oldest first, so that a large request is passed over by a bounded number.
"""

from dataclasses import dataclass

# A late request that has waited this part of the caller's patience goes before the
# ones in time, so that no request waits until its deadline.
OVERDUE_PART = 0.45


@dataclass(frozen=True, slots=True)
class Waiting:
    """Hold what decides the turn of a waiting request."""

    key: str
    priority: int
    arrived_s: float
    target_s: float
    patience_s: float
    expected_s: float


def turn(waiting: Waiting, now_s: float) -> tuple[int, int, float]:
    """Return the sort key of a waiting request; the smallest is next."""
    waited = now_s - waiting.arrived_s
    late = waited + waiting.expected_s > waiting.target_s
    overdue = waited > OVERDUE_PART * waiting.patience_s
    return waiting.priority, 1 if late and not overdue else 0, waiting.arrived_s


def retry_after_s(
    queued_s: float, time_left_s: float, spread: float, share: float = 1 / 3
) -> float:
    """Return when a refused caller should come back.

    The wait covers what is queued now and is spread by `spread` (0 to 1), so that the
    callers refused in one burst do not return together. Callers honour a wait of up to
    a third of the time that they have left.
    """
    wanted = queued_s * (0.5 + spread)
    return max(0.05, min(wanted, share * time_left_s * 0.95))
