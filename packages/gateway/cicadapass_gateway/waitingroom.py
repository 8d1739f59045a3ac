"""Hold the requests that wait for an upstream and hand out the places."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from cicadapass_decisions.passthrough import Prompt
from cicadapass_decisions.placement import (
    PlacementRequest,
    Send,
    Unavailable,
    Wait,
    estimate_max_wait_s,
    is_overdue,
    is_wait_too_long,
    place_request,
)
from cicadapass_decisions.queueorder import QueuedRequest, queue_rank
from cicadapass_gateway.upstreambook import Ticket, UpstreamBook

# So many requests in a row may find no room before the others are left for later;
# bounds the cost of one pass over a long queue.
MAX_MISSES = 8
# A service without upstreams gets new ones after about this long: an order is placed
# with the notice of a reclaim and boots in four seconds.
REPLACED_S = 2.0
# An upper bound of waiting requests a service; far above what can be served in time.
MAX_WAITING = 2000


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold what decides the turn and place of a request."""

    service: str
    prompt: Prompt
    model: bool
    priority: int
    arrived_s: float
    target_s: float
    max_gap_s: float | None
    deadline_s: float
    urgent_target_s: float | None
    excluded: frozenset[str]


@dataclass(frozen=True, slots=True)
class NotPlaced:
    """Say that a request cannot be served, and what is queued before it."""

    reason: str
    queued_s: float


@dataclass(slots=True)
class _Entry:
    placement: Placement
    granted: asyncio.Future[Ticket | NotPlaced]
    patience_s: float
    expected_s: float


@dataclass(slots=True)
class _Queue:
    entries: list[_Entry] = field(default_factory=list)


class WaitingRoom:
    """Place requests in the order of their turns."""

    def __init__(self, book: UpstreamBook, clock: Callable[[], float]) -> None:
        self._book = book
        self._clock = clock
        self._queues: dict[str, _Queue] = {}

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue.entries) for queue in self._queues.values())

    async def place(self, placement: Placement) -> Ticket | NotPlaced:
        """Return a place at an upstream, waiting for room if that is worth it."""
        now_s = self._clock()
        queue = self._queues.setdefault(placement.service, _Queue())
        entry = self._entry(placement, now_s)
        if not self._is_passed(queue, entry, now_s):
            outcome = self._try(entry, now_s)
            if outcome is not None:
                return outcome
        queued_s = self._queued_s(queue, entry, now_s)
        if len(queue.entries) >= MAX_WAITING or is_wait_too_long(
            queued_s, entry.patience_s - (now_s - placement.arrived_s)
        ):
            return NotPlaced("hopeless", queued_s)
        queue.entries.append(entry)
        try:
            return await entry.granted
        except asyncio.CancelledError:
            self._drop(queue, entry)
            raise

    def pump(self) -> None:
        """Hand out the places that became free."""
        now_s = self._clock()
        for queue in self._queues.values():
            if queue.entries:
                self._pump_queue(queue, now_s)

    def _pump_queue(self, queue: _Queue, now_s: float) -> None:
        queue.entries.sort(key=lambda entry: queue_rank(_waiting(entry), now_s))
        misses = 0
        for entry in list(queue.entries):
            outcome = self._overdue(entry, now_s) or self._try(entry, now_s)
            if outcome is None:
                misses += 1
                if misses >= MAX_MISSES:
                    return
                continue
            queue.entries.remove(entry)
            if not entry.granted.done():
                entry.granted.set_result(outcome)
            elif isinstance(outcome, Ticket):
                self._book.end(outcome, now_s, succeeded=None)

    def _overdue(self, entry: _Entry, now_s: float) -> NotPlaced | None:
        """Return the refusal of a request that has waited for too long."""
        waited_s = now_s - entry.placement.arrived_s
        if is_overdue(waited_s, entry.expected_s, entry.patience_s):
            return NotPlaced("overdue", entry.expected_s)
        return None

    def _entry(self, placement: Placement, now_s: float) -> _Entry:
        patience = estimate_max_wait_s(
            placement.target_s,
            placement.max_gap_s,
            placement.deadline_s - placement.arrived_s,
        )
        future: asyncio.Future[Ticket | NotPlaced] = (
            asyncio.get_running_loop().create_future()
        )
        return _Entry(placement, future, patience, 0.0)

    def _try(self, entry: _Entry, now_s: float) -> Ticket | NotPlaced | None:
        placement = entry.placement
        candidates = self._book.candidates(
            placement.service, placement.prompt, placement.excluded, now_s
        )
        work = PlacementRequest(
            prompt=placement.prompt,
            for_model=placement.model,
            target_s=placement.target_s,
            shorter_target_s=placement.urgent_target_s,
            waited_s=now_s - placement.arrived_s,
        )
        choice = place_request(work, candidates)
        if isinstance(choice, Unavailable):
            return NotPlaced("no_upstream", REPLACED_S)
        if isinstance(choice, Wait):
            entry.expected_s = choice.expected_s
            return None
        assert isinstance(choice, Send)
        usable = self._book.usable(placement.service)
        records = {each.upstream_id: each for each in usable}
        return self._book.begin(
            records[choice.upstream_id],
            placement.prompt,
            choice.expected_s,
            now_s,
            None if choice.source_id is None else records[choice.source_id],
        )

    def _is_passed(self, queue: _Queue, entry: _Entry, now_s: float) -> bool:
        """Return whether a waiting request goes before a new one."""
        own = queue_rank(_waiting(entry), now_s)
        return any(queue_rank(_waiting(each), now_s) < own for each in queue.entries)

    def _queued_s(self, queue: _Queue, entry: _Entry, now_s: float) -> float:
        """Return about how long a new request would wait at this node."""
        placement = entry.placement
        candidates = self._book.candidates(
            placement.service, placement.prompt, (), now_s
        )
        if not candidates:
            return 0.0
        ahead = [
            each.placement
            for each in queue.entries
            if each.placement.priority <= placement.priority
        ]
        if placement.model:
            tokens = sum(each.prompt.prompt_tokens for each in ahead)
            backlog = min(each.backlog_s for each in candidates)
            token_s = sum(each.prefill_s_per_token for each in candidates) / len(
                candidates
            )
            return backlog + tokens * token_s / len(candidates)
        slots = sum(each.slots for each in candidates)
        running = sum(each.running for each in candidates)
        call_s = sum(each.call_s for each in candidates) / len(candidates)
        return (len(ahead) + max(0, running - slots)) * call_s / max(1, slots)

    def _drop(self, queue: _Queue, entry: _Entry) -> None:
        if entry in queue.entries:
            queue.entries.remove(entry)
        granted = entry.granted
        if granted.done() and not granted.cancelled():
            outcome = granted.result()
            if isinstance(outcome, Ticket):
                self._book.end(outcome, self._clock(), succeeded=None)


def _waiting(entry: _Entry) -> QueuedRequest:
    placement = entry.placement
    return QueuedRequest(
        key=placement.service,
        priority=placement.priority,
        arrived_s=placement.arrived_s,
        target_s=placement.target_s,
        max_wait_s=entry.patience_s,
        expected_s=entry.expected_s,
    )
