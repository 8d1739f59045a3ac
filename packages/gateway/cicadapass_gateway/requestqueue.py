"""Queue the requests that wait for an upstream and assign them in order."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cicadapass_decisions.fairshares import (
    FairShares,
    WaitingRequest,
    fair_order,
    mean_weight,
)
from cicadapass_decisions.passthrough import Prompt, UpstreamRecord
from cicadapass_decisions.placement import (
    Candidate,
    PlacementRequest,
    Send,
    Unavailable,
    Wait,
    estimate_max_wait_s,
    is_overdue,
    is_wait_too_long,
    limit_delay_s,
    pause_delay_s,
    place_request,
)
from cicadapass_decisions.queueorder import QueuedRequest, queue_rank
from cicadapass_gateway.upstreamtracker import Reservation, UpstreamTracker

# A pass over a queue ends after this many requests that still have to wait; bounds the
# cost of a pass over a long queue.
MAX_MISSES_PER_PASS = 8
# Expected time until a service without upstreams has new ones: engines are ordered with
# the notice of a reclaim and boot in four seconds.
REPLACEMENT_S = 2.0
# Limit of queued requests per service, far above what can be served in time.
MAX_WAITING = 2000


@dataclass(frozen=True, slots=True)
class RequestRequirements:
    """Store what decides a request's rank in the queue and its upstream."""

    service: str
    prompt: Prompt
    model_engine: bool
    priority: int
    arrived_s: float
    target_s: float
    max_gap_s: float | None
    deadline_s: float
    shorter_target_s: float | None
    excluded: frozenset[str]
    isolated: bool = False
    # A refusal loses no answer: the request has not run, nor has its answer begun.
    refusable: bool = True
    route: str = ""
    # The request may go to a version on trial.
    may_try: bool = False
    # The version at which the stream began, beyond which it cannot go on.
    version: str | None = None
    workspace: str = ""
    # The rate limit of the workspace, by which scarce capacity is shared; 0 if none.
    weight: float = 0.0
    # A random number from 0 to 1, by which calls are spread among upstreams.
    draw: float = 0.0
    # What the request was charged, in the unit of the weight; 0 if it is not known.
    cost: float = 0.0


@dataclass(frozen=True, slots=True)
class NotPlaced:
    """Report why a request cannot be served, and the expected queue delay."""

    reason: str
    queue_delay_s: float


@dataclass(slots=True)
class _Entry:
    requirements: RequestRequirements
    future: asyncio.Future[Reservation | NotPlaced]
    max_wait_s: float
    expected_s: float


@dataclass(slots=True)
class _ServiceQueue:
    entries: list[_Entry] = field(default_factory=list)
    shares: FairShares = field(default_factory=FairShares)


class RequestQueue:
    """Assign requests to upstreams in the order of their rank."""

    def __init__(self, upstreams: UpstreamTracker, clock: Callable[[], float]) -> None:
        self._upstreams = upstreams
        self._clock = clock
        self._queues: dict[str, _ServiceQueue] = {}
        # Set while requests may be queued.
        self._waiting = asyncio.Event()
        # Why refusable requests are no longer placed, if they are not.
        self._closed_reason: str | None = None

    @property
    def waiting_count(self) -> int:
        """Return the number of queued requests of all services."""
        return sum(len(queue.entries) for queue in self._queues.values())

    async def place(self, requirements: RequestRequirements) -> Reservation | NotPlaced:
        """Return a reservation at an upstream; wait for one that can come in time.

        A request that is not refusable waits until it is placed or cancelled.
        """
        if self._closed_reason is not None and requirements.refusable:
            return NotPlaced(self._closed_reason, 0.0)
        now_s = self._clock()
        queue = self._queues.setdefault(requirements.service, _ServiceQueue())
        entry = self._entry(requirements, now_s)
        if not self._is_preceded(queue, entry, now_s):
            outcome = self._try_place(entry, now_s)
            if outcome is not None:
                return outcome
        if requirements.refusable:
            queue_delay_s = self._queue_delay_s(queue, entry, now_s)
            if len(queue.entries) >= MAX_WAITING or is_wait_too_long(
                queue_delay_s, entry.max_wait_s - (now_s - requirements.arrived_s)
            ):
                return NotPlaced("hopeless", queue_delay_s)
        queue.entries.append(entry)
        self._waiting.set()
        try:
            return await entry.future
        except asyncio.CancelledError:
            self._remove(queue, entry)
            raise

    def dispatch(self) -> None:
        """Assign queued requests to upstreams with free capacity."""
        now_s = self._clock()
        for queue in self._queues.values():
            if queue.entries:
                self._dispatch_queue(queue, now_s)
            else:
                queue.shares.clear()

    async def run(self, interval_s: float) -> None:
        """Evaluate queued requests at an interval, until cancelled.

        A timer that ran without any was a fifth of the wake-ups of a node at rest.
        """
        while True:
            await self._waiting.wait()
            await asyncio.sleep(interval_s)
            self.dispatch()
            if not self.waiting_count:
                self._waiting.clear()

    def close(self, reason: str) -> None:
        """Refuse the refusable requests, those that are queued and all further ones."""
        self._closed_reason = reason
        self._refuse(reason, lambda entry: entry.requirements.refusable)

    def refuse_all(self, reason: str) -> None:
        """Refuse all queued requests, including those that are not refusable."""
        self._refuse(reason, lambda _: True)

    def _refuse(self, reason: str, applies: Callable[[_Entry], bool]) -> None:
        for queue in self._queues.values():
            refused = [entry for entry in queue.entries if applies(entry)]
            queue.entries = [entry for entry in queue.entries if not applies(entry)]
            for entry in refused:
                if not entry.future.done():
                    entry.future.set_result(NotPlaced(reason, 0.0))

    def _dispatch_queue(self, queue: _ServiceQueue, now_s: float) -> None:
        self._refuse_overdue(queue, now_s)
        waiting = [_waiting_request(entry, now_s) for entry in queue.entries]
        weight = mean_weight(waiting)
        order = fair_order(waiting, queue.shares.times, queue.shares.now)
        queue.entries = [queue.entries[index] for index in order]
        misses = 0
        for entry in list(queue.entries):
            outcome = self._try_place(entry, now_s)
            if outcome is None:
                misses += 1
                if misses >= MAX_MISSES_PER_PASS:
                    return
                continue
            queue.entries.remove(entry)
            if not entry.future.done():
                if isinstance(outcome, Reservation):
                    sent = _waiting_request(entry, now_s)
                    queue.shares.record_send(sent, weight)
                entry.future.set_result(outcome)
            elif isinstance(outcome, Reservation):
                self._upstreams.end(outcome, now_s, succeeded=None)

    def _refuse_overdue(self, queue: _ServiceQueue, now_s: float) -> None:
        """Refuse overdue requests, also those that a pass does not reach.

        Those of a workspace that has had its share stay behind all others.
        """
        kept = []
        for entry in queue.entries:
            refusal = self._overdue_refusal(entry, now_s)
            if refusal is None:
                kept.append(entry)
            elif not entry.future.done():
                entry.future.set_result(refusal)
        queue.entries = kept

    def _overdue_refusal(self, entry: _Entry, now_s: float) -> NotPlaced | None:
        """Return the refusal of a request that can no longer be served in time."""
        waited_s = now_s - entry.requirements.arrived_s
        if entry.requirements.refusable and is_overdue(
            waited_s, entry.expected_s, entry.max_wait_s
        ):
            return NotPlaced("overdue", entry.expected_s)
        return None

    def _entry(self, requirements: RequestRequirements, now_s: float) -> _Entry:
        max_wait_s = estimate_max_wait_s(
            requirements.target_s,
            requirements.max_gap_s,
            requirements.deadline_s - requirements.arrived_s,
        )
        future: asyncio.Future[Reservation | NotPlaced] = (
            asyncio.get_running_loop().create_future()
        )
        return _Entry(requirements, future, max_wait_s, 0.0)

    def _try_place(self, entry: _Entry, now_s: float) -> Reservation | NotPlaced | None:
        requirements = entry.requirements
        service, version = requirements.service, requirements.version
        if version is not None and not self._upstreams.permits(service, version):
            return NotPlaced("version_withdrawn", 0.0)
        if self._is_version_gone(requirements):
            return NotPlaced("version_gone", REPLACEMENT_S)
        placement_request = PlacementRequest(
            prompt=requirements.prompt,
            for_model=requirements.model_engine,
            target_s=requirements.target_s,
            shorter_target_s=requirements.shorter_target_s,
            waited_s=now_s - requirements.arrived_s,
            isolated=requirements.isolated,
            counts_age_s=self._upstreams.peer_round_s,
            draw=requirements.draw,
        )
        reservation = self._try_on_trial(requirements, placement_request, now_s)
        if reservation is not None:
            return reservation
        candidates = self._candidates(requirements, now_s)
        decision = place_request(placement_request, candidates)
        if isinstance(decision, Unavailable):
            if not requirements.refusable:
                return None
            return NotPlaced("no_upstream", REPLACEMENT_S)
        if isinstance(decision, Wait):
            entry.expected_s = decision.expected_s
            return None
        assert isinstance(decision, Send)
        records = self._records(requirements)
        if records is None:
            records = self._upstreams.usable(service)
        return self._begin(requirements, decision, records, now_s)

    def _try_on_trial(
        self,
        requirements: RequestRequirements,
        placement_request: PlacementRequest,
        now_s: float,
    ) -> Reservation | None:
        """Return a place at the version on trial, if this request should go there."""
        service = requirements.service
        if not requirements.may_try or not self._upstreams.wants_trial(
            service, requirements.route
        ):
            return None
        records = self._upstreams.least_tried(service)
        candidates = self._upstreams.candidates(
            service, requirements.prompt, requirements.excluded, now_s, records
        )
        decision = place_request(placement_request, candidates)
        if not isinstance(decision, Send):
            return None
        return self._begin(requirements, decision, records, now_s)

    def _begin(
        self,
        requirements: RequestRequirements,
        decision: Send,
        records: Iterable[UpstreamRecord],
        now_s: float,
    ) -> Reservation:
        by_id = {each.upstream_id: each for each in records}
        record = by_id[decision.upstream_id]
        source = None if decision.source_id is None else by_id[decision.source_id]
        if source is not None and not self._upstreams.may_share(source, record):
            source = None
        return self._upstreams.begin(
            record, requirements.prompt, decision.expected_s, now_s, source
        )

    def _records(
        self, requirements: RequestRequirements
    ) -> list[UpstreamRecord] | None:
        """Return the upstreams at which a request may be placed; None for all usable.

        The tracker keeps the candidates of all usable ones, but not of other lists.
        """
        service, version = requirements.service, requirements.version
        if version is None:
            return None
        return self._upstreams.of_version(service, version)

    def _is_version_gone(self, requirements: RequestRequirements) -> bool:
        """Return whether only other versions have engines left for a stream.

        A service without any engine may get one of the same version.
        """
        service, version = requirements.service, requirements.version
        return (
            version is not None
            and bool(self._upstreams.usable(service))
            and not self._upstreams.of_version(service, version)
        )

    def _candidates(
        self, requirements: RequestRequirements, now_s: float
    ) -> list[Candidate]:
        """Return the candidates; excluded ones only if there are no others."""
        service, prompt = requirements.service, requirements.prompt
        records = self._records(requirements)
        return self._upstreams.candidates(
            service, prompt, requirements.excluded, now_s, records
        ) or self._upstreams.candidates(service, prompt, (), now_s, records)

    def _is_preceded(self, queue: _ServiceQueue, entry: _Entry, now_s: float) -> bool:
        """Return whether a queued request ranks before a new one."""
        rank = queue_rank(_queued_request(entry), now_s)
        return any(
            queue_rank(_queued_request(each), now_s) < rank for each in queue.entries
        )

    def _queue_delay_s(
        self, queue: _ServiceQueue, entry: _Entry, now_s: float
    ) -> float:
        """Return the estimated wait of a new request at this node, in seconds."""
        requirements = entry.requirements
        candidates = self._upstreams.candidates(
            requirements.service, requirements.prompt, (), now_s
        )
        if not candidates:
            return 0.0
        ahead = self._ahead(queue, entry)
        return max(
            pause_delay_s(candidates),
            limit_delay_s(candidates, len(ahead)),
            self._load_delay_s(ahead, entry, candidates),
        )

    def _ahead(self, queue: _ServiceQueue, entry: _Entry) -> list[RequestRequirements]:
        """Return the queued requests that go before a new one by priority and shares.

        Late ones count as well: they go before it once they are overdue.
        """
        entries = [*queue.entries, entry]
        waiting = [
            _shared_request(each.requirements, (each.requirements.priority, 0))
            for each in entries
        ]
        order = fair_order(waiting, queue.shares.times, queue.shares.now)
        before = order[: order.index(len(queue.entries))]
        return [entries[index].requirements for index in before]

    def _load_delay_s(
        self,
        ahead: list[RequestRequirements],
        entry: _Entry,
        candidates: list[Candidate],
    ) -> float:
        requirements = entry.requirements
        if requirements.model_engine:
            tokens = sum(each.prompt.prompt_tokens for each in ahead)
            backlog = min(each.backlog_s for each in candidates)
            prefill_s_per_token = sum(
                each.prefill_s_per_token for each in candidates
            ) / len(candidates)
            return backlog + tokens * prefill_s_per_token / len(candidates)
        slots = sum(each.slots for each in candidates)
        running = sum(each.running for each in candidates)
        call_s = sum(each.call_s for each in candidates) / len(candidates)
        return (len(ahead) + max(0, running - slots)) * call_s / max(1, slots)

    def _remove(self, queue: _ServiceQueue, entry: _Entry) -> None:
        if entry in queue.entries:
            queue.entries.remove(entry)
        future = entry.future
        if future.done() and not future.cancelled():
            outcome = future.result()
            if isinstance(outcome, Reservation):
                self._upstreams.end(outcome, self._clock(), succeeded=None)


def _queued_request(entry: _Entry) -> QueuedRequest:
    requirements = entry.requirements
    return QueuedRequest(
        key=requirements.service,
        priority=requirements.priority,
        arrived_s=requirements.arrived_s,
        target_s=requirements.target_s,
        max_wait_s=entry.max_wait_s,
        expected_s=entry.expected_s,
    )


def _waiting_request(entry: _Entry, now_s: float) -> WaitingRequest:
    priority, late, _ = queue_rank(_queued_request(entry), now_s)
    return _shared_request(entry.requirements, (priority, late))


def _shared_request(
    requirements: RequestRequirements, urgency: tuple[int, int]
) -> WaitingRequest:
    return WaitingRequest(
        urgency=urgency,
        arrived_s=requirements.arrived_s,
        workspace=requirements.workspace,
        cost=requirements.cost or float(requirements.prompt.total_tokens),
        weight=requirements.weight,
    )
