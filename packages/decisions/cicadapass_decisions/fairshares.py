"""Share scarce capacity among workspaces while requests wait at a node.

The load is a large workspace within its limit that sends several times its usual use:
in the order of arrival, its requests took nearly all of the capacity and those of small
workspaces waited behind them. Workspaces take turns by start-time fair queueing: each
sent request moves its workspace's virtual time on by its cost divided by the
workspace's weight, and the least virtual time is next.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Describe a waiting request for the choice of the next one."""

    # Requests of a lower class go first, whatever their workspaces have used.
    urgency: tuple[int, int]
    arrived_s: float
    workspace: str
    # In the unit of the weight: some limits count tokens and some requests.
    cost: float
    # The rate limit of the workspace; 0 if it has none.
    weight: float


@dataclass(slots=True)
class FairShares:
    """Store the virtual times of the workspaces that were served from a queue."""

    times: dict[str, float] = field(default_factory=dict)
    # Virtual time of the last request that was sent. A workspace that has been idle
    # begins here, so that it has neither saved up nor owes anything.
    now: float = 0.0

    def record_send(self, request: WaitingRequest, mean_weight: float) -> None:
        """Record that a waiting request was sent."""
        self.now = max(self.times.get(request.workspace, self.now), self.now)
        self.times[request.workspace] = self.now + _charge(request, mean_weight)

    def clear(self) -> None:
        """Forget all use; called when nothing waits."""
        self.times.clear()
        self.now = 0.0


def mean_weight(requests: Sequence[WaitingRequest]) -> float:
    """Return the mean weight of the workspaces that have one, or 1."""
    weights = {each.workspace: each.weight for each in requests if each.weight > 0}
    return sum(weights.values()) / len(weights) if weights else 1.0


def fair_order(
    requests: Sequence[WaitingRequest], times: Mapping[str, float], now: float
) -> list[int]:
    """Return the indices of waiting requests in the order in which to send them."""
    default_weight = mean_weight(requests)
    tags: dict[str, float] = {}
    keyed = []
    # The start tag of each request behind those of its workspace that go before it.
    for index in sorted(
        range(len(requests)),
        key=lambda each: (requests[each].urgency, requests[each].arrived_s),
    ):
        request = requests[index]
        start = tags.get(request.workspace, max(now, times.get(request.workspace, now)))
        tags[request.workspace] = start + _charge(request, default_weight)
        keyed.append((request.urgency, start, request.arrived_s, index))
    return [index for *_, index in sorted(keyed)]


def _charge(request: WaitingRequest, default_weight: float) -> float:
    return max(1.0, request.cost) / (request.weight or default_weight)
