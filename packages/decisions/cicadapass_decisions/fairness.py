"""Weighted fair queue of the requests that wait for one service."""

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
class Waiting(Generic[T]):
    """Hold one waiting request; `cost` is in generated tokens.

    A request that is not `sheddable` was accepted and stays until its deadline.
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
    finish: float = 0.0
    queues: dict[int, deque[Waiting[T]]] = field(default_factory=dict)


class _Lane(Generic[T]):
    """Share one kind of work by start-time fair queueing (Goyal et al., 1996)."""

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[T]] = {}
        self._flow_of: dict[str, str] = {}
        self._virtual = 0.0

    def add(self, entry: Waiting[T], name: str, weight: float, first: bool) -> None:
        """Add the entry to a flow; one that was idle gets no credit for it."""
        flow = self._flows.get(name)
        if flow is None:
            flow = self._flows[name] = _Flow(weight)
        self._flow_of[entry.request_id] = name
        flow.weight = weight
        if not flow.queues:
            flow.finish = max(flow.finish, self._virtual)
        queue = flow.queues.setdefault(entry.priority, deque())
        if first:
            queue.appendleft(entry)
        else:
            queue.append(entry)

    def head(self, priority_burst: float) -> Waiting[T] | None:
        """Return the next entry: the workspace most behind, its highest priority.

        Higher priorities of workspaces that are ahead by at most the burst go first.
        """
        busy = [
            (-max(flow.queues), flow.finish, name)
            for name, flow in self._flows.items()
            if flow.queues
        ]
        if not busy:
            return None
        latest = min(finish for _, finish, _ in busy) + priority_burst
        level, _, name = min(item for item in busy if item[1] <= latest)
        return self._flows[name].queues[-level][0]

    def remove(self, entry: Waiting[T], *, served: bool) -> None:
        """Take the entry out and charge its flow if it was served."""
        name = self._flow_of.pop(entry.request_id)
        flow = self._flows[name]
        queue = flow.queues[entry.priority]
        queue.remove(entry)
        if not queue:
            del flow.queues[entry.priority]
        if served:
            self._virtual = max(self._virtual, flow.finish)
            flow.finish += entry.cost / flow.weight
        if not flow.queues and flow.finish <= self._virtual:
            # An idle flow without a debt is forgotten, since workspaces come and go
            # with the inventory.
            del self._flows[name]


class FairQueue(Generic[T]):
    """Hold waiting requests in a lane for each kind of work; belongs to one owner."""

    def __init__(self, rules: QueueRules, weights: Mapping[str, float]) -> None:
        self.rules = rules
        self.weights = weights
        self._lanes: dict[WorkKind, _Lane[T]] = {kind: _Lane() for kind in WorkKind}
        self._entries: dict[str, Waiting[T]] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._order = itertools.count()
        self._arrivals: dict[str, int] = {}
        self._cost: dict[tuple[WorkKind, str, int], float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._entries

    def enqueue(self, entry: Waiting[T], *, first: bool = False) -> None:
        """Add a request; `first` puts it before others of its priority."""
        order = next(self._order)
        self._entries[entry.request_id] = entry
        self._arrivals[entry.request_id] = order
        heapq.heappush(self._deadlines, (entry.deadline_s, order, entry.request_id))
        # Without fairness all workspaces share one flow.
        flow = entry.workspace if self.rules.fair else ""
        self._lanes[entry.kind].add(entry, flow, self._weight(flow), first)
        key = (entry.kind, entry.workspace, entry.priority)
        self._cost[key] = self._cost.get(key, 0.0) + entry.cost

    def head(self, kind: WorkKind) -> Waiting[T] | None:
        """Return the request of this kind that is served next."""
        return self._lanes[kind].head(self.rules.priority_burst_tokens)

    def take(self, entry: Waiting[T]) -> None:
        """Take out a request that was served and charge its workspace."""
        self._drop(entry, served=True)

    def cancel(self, request_id: str) -> Waiting[T] | None:
        """Take out a request that was not served, if it waits."""
        entry = self._entries.get(request_id)
        if entry is not None:
            self._drop(entry, served=False)
        return entry

    def expire(self, now_s: float) -> tuple[Waiting[T], ...]:
        """Take out and return the requests whose deadline has passed."""
        expired: list[Waiting[T]] = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, order, request_id = heapq.heappop(self._deadlines)
            # A request that came back under the same id has another order.
            if self._arrivals.get(request_id) == order:
                expired.append(self._entries[request_id])
                self._drop(expired[-1], served=False)
        return tuple(expired)

    def next_deadline_s(self) -> float | None:
        """Return a time at or before the earliest deadline."""
        return self._deadlines[0][0] if self._deadlines else None

    def cost_ahead(
        self, kind: WorkKind, workspace: str, priority: int, cost: float
    ) -> float:
        """Return the cost that is served up to and with a new request of this cost.

        Other workspaces count at most in the proportion of their weights.
        """
        own = cost
        others: dict[str, float] = {}
        for (kept, name, level), waiting in self._cost.items():
            if kept is not kind:
                continue
            if name != workspace:
                others[name] = others.get(name, 0.0) + waiting
            elif level >= priority:
                own += waiting
        share = own / self._weight(workspace)
        return own + sum(
            min(waiting, share * self._weight(name)) for name, waiting in others.items()
        )

    def weight_ratio(self, kind: WorkKind, workspace: str) -> float:
        """Return the weight of all that wait or ask relative to this workspace's."""
        names = {name for kept, name, _ in self._cost if kept is kind} | {workspace}
        total = sum(self._weight(name) for name in names)
        return total / self._weight(workspace)

    def lowest_sheddable(self) -> Waiting[T] | None:
        """Return the request to shed first.

        It has the lowest priority; among equals it is the newest of the workspace
        that waits with the most cost for its weight.
        """
        candidates = [entry for entry in self._entries.values() if entry.sheddable]
        if not candidates:
            return None
        lowest = min(entry.priority for entry in candidates)
        load: dict[str, float] = {}
        for entry in self._entries.values():
            share = entry.cost / self._weight(entry.workspace)
            load[entry.workspace] = load.get(entry.workspace, 0.0) + share
        return max(
            (entry for entry in candidates if entry.priority == lowest),
            key=lambda e: (load[e.workspace], self._arrivals[e.request_id]),
        )

    def _weight(self, workspace: str) -> float:
        return self.weights.get(workspace, 1.0)

    def _drop(self, entry: Waiting[T], *, served: bool) -> None:
        del self._entries[entry.request_id]
        del self._arrivals[entry.request_id]
        self._lanes[entry.kind].remove(entry, served=served)
        key = (entry.kind, entry.workspace, entry.priority)
        left = self._cost[key] - entry.cost
        if left > 1e-9:
            self._cost[key] = left
        else:
            del self._cost[key]


@dataclass(frozen=True, slots=True)
class Room:
    """Say how many requests of each kind an upstream may run beside each other."""

    limit: int
    reserved_short: int
    guaranteed_long: int

    def fits(self, kind: WorkKind, short: int, long: int, long_waits: bool) -> bool:
        """Return whether one more request of this kind fits."""
        if short + long >= self.limit:
            return False
        if kind is WorkKind.LONG:
            return long < self.limit - self.reserved_short
        # Without waiting long work its guaranteed share is free for short work.
        kept = max(0, self.guaranteed_long - long) if long_waits else 0
        return short + long < self.limit - kept


def room_of(limit: int, rules: QueueRules, short_ratio: float = 0.0) -> Room:
    """Return how the limit of an upstream is shared.

    `short_ratio` is the share of the slots that short work used lately. Both kinds
    get at least one slot when there are two; one slot serves both.
    """
    if not rules.reserve_short or limit < 2:
        return Room(limit, 0, 0)
    # A fixed reserve is too small once short work needs more than it: long jobs that
    # hold the other slots end late. A margin lets short work grow.
    ratio = max(rules.reserved_short_ratio, short_ratio * rules.reserve_margin)
    reserved = max(1, round(limit * min(ratio, 1.0 - rules.guaranteed_long_ratio)))
    reserved = min(reserved, limit - 1)
    guaranteed = min(int(limit * rules.guaranteed_long_ratio), limit - reserved)
    return Room(limit, reserved, guaranteed)
