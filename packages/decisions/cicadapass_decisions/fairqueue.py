"""A weighted fair queue of the requests for one service."""

import heapq
import itertools
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from cicadapass_decisions.policy import QueueRules
from cicadapass_decisions.work import WorkKind

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class QueueEntry(Generic[T]):
    """Describe one queued request; `cost` is in generated tokens.

    A request that is not `sheddable` was accepted and stays queued until its deadline.
    """

    request_id: str
    workspace: str
    priority: int
    kind: WorkKind
    cost: float
    deadline_s: float
    item: T
    sheddable: bool = True


@dataclass(slots=True)
class _Flow(Generic[T]):
    weight: float
    virtual_finish: float = 0.0
    queues: dict[int, deque[QueueEntry[T]]] = field(default_factory=dict)


class _FairScheduler(Generic[T]):
    """Schedule one kind of work by start-time fair queueing (Goyal et al., 1996)."""

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[T]] = {}
        self._flow_of: dict[str, str] = {}
        self._virtual_time = 0.0

    def add(
        self, entry: QueueEntry[T], name: str, weight: float, at_front: bool
    ) -> None:
        """Add the entry to a flow; an idle flow gets no credit for its idle time."""
        flow = self._flows.get(name)
        if flow is None:
            flow = self._flows[name] = _Flow(weight)
        self._flow_of[entry.request_id] = name
        flow.weight = weight
        if not flow.queues:
            flow.virtual_finish = max(flow.virtual_finish, self._virtual_time)
        queue = flow.queues.setdefault(entry.priority, deque())
        if at_front:
            queue.appendleft(entry)
        else:
            queue.append(entry)

    def head(self, priority_burst: float) -> QueueEntry[T] | None:
        """Return the next entry without removing it, or None if no entry is queued.

        It has the highest priority of the flows whose virtual finish time is within
        the burst of the lowest one; among equals, the lowest finish time is first.
        """
        waiting_flows = [
            (-max(flow.queues), flow.virtual_finish, name)
            for name, flow in self._flows.items()
            if flow.queues
        ]
        if not waiting_flows:
            return None
        latest_finish = min(finish for _, finish, _ in waiting_flows) + priority_burst
        negative_priority, _, name = min(
            flow_rank for flow_rank in waiting_flows if flow_rank[1] <= latest_finish
        )
        return self._flows[name].queues[-negative_priority][0]

    def remove(self, entry: QueueEntry[T], *, served: bool) -> None:
        """Remove the entry and charge its flow if it was served."""
        name = self._flow_of.pop(entry.request_id)
        flow = self._flows[name]
        queue = flow.queues[entry.priority]
        queue.remove(entry)
        if not queue:
            del flow.queues[entry.priority]
        if served:
            self._virtual_time = max(self._virtual_time, flow.virtual_finish)
            flow.virtual_finish += entry.cost / flow.weight
        if not flow.queues and flow.virtual_finish <= self._virtual_time:
            # Idle flows without debt are removed, because the workspaces change with
            # the inventory.
            del self._flows[name]


class FairQueue(Generic[T]):
    """Queue requests with one scheduler per kind of work.

    Not thread-safe: a queue has one owner.
    """

    def __init__(self, rules: QueueRules, weights: Mapping[str, float]) -> None:
        self.rules = rules
        self.weights = weights
        self._schedulers: dict[WorkKind, _FairScheduler[T]] = {
            kind: _FairScheduler() for kind in WorkKind
        }
        self._entries: dict[str, QueueEntry[T]] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._sequence = itertools.count()
        self._arrivals: dict[str, int] = {}
        self._waiting_cost: dict[tuple[WorkKind, str, int], float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._entries

    def enqueue(self, entry: QueueEntry[T], *, at_front: bool = False) -> None:
        """Add a request; if `at_front`, before others of its flow and priority."""
        sequence = next(self._sequence)
        self._entries[entry.request_id] = entry
        self._arrivals[entry.request_id] = sequence
        heapq.heappush(self._deadlines, (entry.deadline_s, sequence, entry.request_id))
        # Without fairness all workspaces share one flow.
        flow = entry.workspace if self.rules.fair else ""
        self._schedulers[entry.kind].add(entry, flow, self._weight(flow), at_front)
        key = (entry.kind, entry.workspace, entry.priority)
        self._waiting_cost[key] = self._waiting_cost.get(key, 0.0) + entry.cost

    def head(self, kind: WorkKind) -> QueueEntry[T] | None:
        """Return the request of this kind that is served next, without removing it."""
        return self._schedulers[kind].head(self.rules.priority_burst_tokens)

    def dequeue(self, entry: QueueEntry[T]) -> None:
        """Remove a request that was served and charge its workspace."""
        self._remove(entry, served=True)

    def cancel(self, request_id: str) -> QueueEntry[T] | None:
        """Remove and return a request that was not served; None if it is not queued."""
        entry = self._entries.get(request_id)
        if entry is not None:
            self._remove(entry, served=False)
        return entry

    def expire(self, now_s: float) -> tuple[QueueEntry[T], ...]:
        """Remove and return the requests whose deadline has passed."""
        expired: list[QueueEntry[T]] = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, sequence, request_id = heapq.heappop(self._deadlines)
            # A request that was queued again under the same id has another number.
            if self._arrivals.get(request_id) == sequence:
                expired.append(self._entries[request_id])
                self._remove(expired[-1], served=False)
        return tuple(expired)

    def next_deadline_s(self) -> float | None:
        """Return a lower bound of the earliest deadline, or None without deadlines.

        Requests that have left the queue count until their deadline passes.
        """
        return self._deadlines[0][0] if self._deadlines else None

    def cost_ahead(
        self, kind: WorkKind, workspace: str, priority: int, cost: float
    ) -> float:
        """Return the cost that is served up to and including a new request.

        The cost of another workspace counts at most in proportion to its weight.
        """
        workspace_cost = cost
        other_costs: dict[str, float] = {}
        for (
            entry_kind,
            entry_workspace,
            entry_priority,
        ), waiting in self._waiting_cost.items():
            if entry_kind is not kind:
                continue
            if entry_workspace != workspace:
                other_costs[entry_workspace] = (
                    other_costs.get(entry_workspace, 0.0) + waiting
                )
            elif entry_priority >= priority:
                workspace_cost += waiting
        cost_per_weight = workspace_cost / self._weight(workspace)
        return workspace_cost + sum(
            min(waiting, cost_per_weight * self._weight(entry_workspace))
            for entry_workspace, waiting in other_costs.items()
        )

    def weight_ratio(self, kind: WorkKind, workspace: str) -> float:
        """Return the total weight of all queued workspaces relative to this one's.

        This workspace counts even if none of its requests is queued.
        """
        names = {
            name for entry_kind, name, _ in self._waiting_cost if entry_kind is kind
        } | {workspace}
        total = sum(self._weight(name) for name in names)
        return total / self._weight(workspace)

    def lowest_sheddable(self) -> QueueEntry[T] | None:
        """Return the request to shed first, or None if none can be shed.

        It has the lowest priority; among equals it is the newest request of the
        workspace with the highest queued cost relative to its weight.
        """
        candidates = [entry for entry in self._entries.values() if entry.sheddable]
        if not candidates:
            return None
        lowest_priority = min(entry.priority for entry in candidates)
        cost_per_weight: dict[str, float] = {}
        for entry in self._entries.values():
            entry_share = entry.cost / self._weight(entry.workspace)
            cost_per_weight[entry.workspace] = (
                cost_per_weight.get(entry.workspace, 0.0) + entry_share
            )
        return max(
            (entry for entry in candidates if entry.priority == lowest_priority),
            key=lambda entry: (
                cost_per_weight[entry.workspace],
                self._arrivals[entry.request_id],
            ),
        )

    def _weight(self, workspace: str) -> float:
        return self.weights.get(workspace, 1.0)

    def _remove(self, entry: QueueEntry[T], *, served: bool) -> None:
        del self._entries[entry.request_id]
        del self._arrivals[entry.request_id]
        self._schedulers[entry.kind].remove(entry, served=served)
        key = (entry.kind, entry.workspace, entry.priority)
        remaining_cost = self._waiting_cost[key] - entry.cost
        if remaining_cost > 1e-9:
            self._waiting_cost[key] = remaining_cost
        else:
            del self._waiting_cost[key]


@dataclass(frozen=True, slots=True)
class SlotAllocation:
    """Divide the concurrency limit of an upstream between short and long work."""

    limit: int
    reserved_short: int
    guaranteed_long: int

    def fits(self, kind: WorkKind, short: int, long: int, long_waits: bool) -> bool:
        """Return whether one more request of this kind fits beside the running ones."""
        if short + long >= self.limit:
            return False
        if kind is WorkKind.LONG:
            return long < self.limit - self.reserved_short
        # Short work may use the guaranteed slots while no long work waits.
        reserved_long = max(0, self.guaranteed_long - long) if long_waits else 0
        return short + long < self.limit - reserved_long


def allocate_slots(
    limit: int, rules: QueueRules, short_ratio: float = 0.0
) -> SlotAllocation:
    """Return how the limit of an upstream is divided.

    `short_ratio` is the fraction of the slots that short work has used recently. Both
    kinds get at least one slot if the limit is at least 2; a single slot serves both.
    """
    if not rules.reserve_short or limit < 2:
        return SlotAllocation(limit, 0, 0)
    # A fixed reserve is too small once short work needs more, because long jobs occupy
    # the other slots for long. The margin lets short work grow.
    ratio = max(rules.reserved_short_ratio, short_ratio * rules.reserve_margin)
    reserved = max(1, round(limit * min(ratio, 1.0 - rules.guaranteed_long_ratio)))
    reserved = min(reserved, limit - 1)
    guaranteed = min(int(limit * rules.guaranteed_long_ratio), limit - reserved)
    return SlotAllocation(limit, reserved, guaranteed)
