"""The queue and the in-flight counts of one service, and its grant decisions."""

import random
from collections.abc import Mapping
from dataclasses import replace

from expression import Error, Ok, Result

from cicadapass.grants import AcquireRequest, Grant, PendingRequest, Settle
from cicadapass.loadestimate import LoadEstimate, latest_start_s
from cicadapass.upstreamtable import ServiceTable
from cicadapass_decisions.admission import (
    AdmissionRequest,
    Admitted,
    Refusal,
    RefusalReason,
    admit,
    build_refusal,
)
from cicadapass_decisions.fairqueue import FairQueue, QueueEntry
from cicadapass_decisions.policy import Policy
from cicadapass_decisions.prefix import RecentPrefixes, matched_tokens
from cicadapass_decisions.retry import RetryBudget
from cicadapass_decisions.routing import Choice, NoUpstream, choose_upstream
from cicadapass_decisions.scoring import Candidate, InFlight, RoutingRequest
from cicadapass_decisions.slotsharing import guaranteed_share, short_ratio
from cicadapass_decisions.work import WorkClass, WorkKind


class ServiceQueue:
    """Queue and grant the requests of one service.

    Not thread-safe: the owner serialises the calls and passes in the time.
    """

    def __init__(
        self, policy: Policy, weights: Mapping[str, float], rng: random.Random
    ) -> None:
        self._policy = policy
        self._rng = rng
        self._queue: FairQueue[PendingRequest] = FairQueue(policy.queue, weights)
        self._table = ServiceTable(())
        self._candidates: list[Candidate] = []
        self._candidate_index: dict[str, int] = {}
        self._in_flight: dict[str, InFlight] = {}
        self._recent_prefixes = RecentPrefixes(policy.prefix)
        self._load_estimate = LoadEstimate()
        self._short_ratio = 0.0
        self._table_set_s = 0.0
        self._shed: list[tuple[Settle, Refusal]] = []
        self.retry_budget = RetryBudget()

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def local_in_flight(self) -> Mapping[str, InFlight]:
        """Return the in-flight counts of this node by upstream."""
        return self._in_flight

    def take_shed(self) -> list[tuple[Settle, Refusal]]:
        """Remove and return the requests that were shed since the last call."""
        shed, self._shed = self._shed, []
        return shed

    def set_rules(self, policy: Policy, weights: Mapping[str, float]) -> None:
        """Apply the rules and the workspaces' weights of a new inventory."""
        self._policy = policy
        self._queue.rules = policy.queue
        self._queue.weights = weights

    def set_table(self, table: ServiceTable, now_s: float) -> None:
        """Replace the candidates by those of a newer upstream snapshot."""
        self._table = table
        # A request serves as a probe only if no other one is in flight.
        self._candidates = [
            replace(c, local=self._in_flight[c.upstream], probe_due=False)
            if c.upstream in self._in_flight
            else c
            for c in table.candidates
        ]
        self._candidate_index = {c.upstream: i for i, c in enumerate(self._candidates)}
        elapsed_s, self._table_set_s = now_s - self._table_set_s, now_s
        self._short_ratio = short_ratio(self._short_ratio, self._candidates, elapsed_s)

    def submit(
        self, request: AcquireRequest, settle: Settle, grant_number: int, now_s: float
    ) -> Result[Grant | None, Refusal]:
        """Return a grant, None if the request was queued, or a refusal.

        A queued request that is shed in favour of this one is returned by `take_shed`.
        """
        pending = PendingRequest(request, settle, now_s)
        self._load_estimate.on_offered(request, now_s)
        kind = request.work.kind
        # A new request must not overtake those that wait for the same slots.
        chosen = self._choose(request, now_s) if self._is_queue_empty(kind) else None
        if chosen is not None and chosen.is_ok() and request.deadline_s > now_s:
            self._load_estimate.on_admitted(request, now_s)
            return Ok(self._grant(pending, chosen.ok, grant_number, now_s))
        if request.hedge or not self._has_upstream(request):
            return Error(self.refuse(RefusalReason.NO_UPSTREAM, 0.0))
        admitted = self._admit(request, now_s)
        if admitted.is_error():
            return Error(admitted.error)
        self._load_estimate.on_admitted(request, now_s)
        if admitted.ok.displaces:
            self._shed_lowest()
        self._enqueue(pending)
        self._update_backlog(now_s)
        return Ok(None)

    def grant_next(
        self, grant_number: int, now_s: float
    ) -> tuple[PendingRequest, Grant] | None:
        """Grant and dequeue the next request for which an upstream has a free slot."""
        for kind in WorkKind:
            head = self._queue.head(kind)
            if head is None:
                continue
            chosen = self._choose(head.item.request, now_s)
            if chosen.is_error() and head.item.request.avoid:
                # A request that avoids an upstream must not block the queue, so it
                # may take any upstream with a free slot.
                relaxed = replace(head.item.request, avoid=frozenset())
                chosen = self._choose(relaxed, now_s)
            if chosen.is_ok():
                self._queue.dequeue(head)
                self._update_backlog(now_s)
                return head.item, self._grant(head.item, chosen.ok, grant_number, now_s)
        return None

    def release(self, grant: Grant, work: WorkClass, now_s: float) -> None:
        """Release the slot of a grant; `work` is its current work class."""
        self._adjust_in_flight(grant.upstream, work, -1)
        self._load_estimate.on_released(work, now_s)

    def reclassify(self, grant: Grant, old: WorkClass, new: WorkClass) -> None:
        """Move a granted attempt from one work class to another in the counts."""
        self._adjust_in_flight(grant.upstream, old, -1)
        self._adjust_in_flight(grant.upstream, new, 1)

    def cancel(self, request: AcquireRequest) -> PendingRequest | None:
        """Remove a request from the queue; return None if it was not queued."""
        entry = self._queue.cancel(_queue_key(request))
        return entry.item if entry is not None else None

    def expire(self, now_s: float) -> tuple[PendingRequest, ...]:
        """Remove and return the requests whose latest start time has passed."""
        return tuple(entry.item for entry in self._queue.expire(now_s))

    def refuse(self, reason: RefusalReason, wait_s: float) -> Refusal:
        """Return a refusal; `wait_s` is the expected wait that sets Retry-After."""
        return build_refusal(reason, wait_s, self._policy.admission)

    def explain(
        self, request: AcquireRequest, now_s: float
    ) -> Result[Choice, NoUpstream]:
        """Return the routing choice for a request without granting it."""
        return self._choose(request, now_s)

    def _is_queue_empty(self, kind: WorkKind) -> bool:
        return self._queue.head(kind) is None

    def _has_upstream(self, request: AcquireRequest) -> bool:
        # An accepted request waits until its deadline for an upstream to return.
        return request.accepted or any(not c.leaving for c in self._candidates)

    def _choose(
        self, request: AcquireRequest, now_s: float
    ) -> Result[Choice, NoUpstream]:
        long_waiting = self._queue.head(WorkKind.LONG) is not None
        routing = RoutingRequest(
            request.work.kind,
            request.work.expected_tokens,
            request.prompt_tokens,
            request.repeatable,
            self._prefix_tokens(request),
            request.avoid,
            long_waiting,
            must_avoid=request.hedge,
            short_ratio=self._short_ratio,
        )
        chosen = self._choose_from(routing, now_s)
        if chosen.is_ok() or request.hedge:
            return chosen
        in_flight = sum(self._in_flight.values(), InFlight())
        nodes = self._table.nodes
        share = guaranteed_share(request.work.kind, in_flight, self._candidates, nodes)
        if share:
            chosen = self._choose_from(replace(routing, guaranteed_share=share), now_s)
        return chosen

    def _choose_from(
        self, routing: RoutingRequest, now_s: float
    ) -> Result[Choice, NoUpstream]:
        return choose_upstream(
            routing,
            self._candidates,
            self._rng,
            now_s,
            self._policy,
            self._table.panic,
        )

    def _prefix_tokens(self, request: AcquireRequest) -> dict[str, int]:
        if not request.blocks or not self._policy.routing.prefer_prefix:
            return {}
        rules = self._policy.prefix
        tokens = {
            name: matched_tokens(hints, request.blocks, rules)
            for name, hints in self._table.hints.items()
        }
        recent_match = self._recent_prefixes.longest_match(request.blocks)
        if recent_match is not None:
            name, matched = recent_match
            # The engine may have evicted these blocks since, so they count only if
            # they exceed every match known from cache events.
            if matched > max(tokens.values(), default=0):
                tokens[name] = matched
        return tokens

    def _grant(
        self, pending: PendingRequest, choice: Choice, grant_number: int, now_s: float
    ) -> Grant:
        request = pending.request
        self._adjust_in_flight(choice.upstream, request.work, 1)
        if request.blocks:
            self._recent_prefixes.record(request.blocks, choice.upstream)
        waited_s = now_s - pending.queued_s
        return Grant(
            grant_number,
            request,
            choice.upstream,
            request.work,
            now_s,
            waited_s,
            choice.probe,
            choice.reasons,
        )

    def _adjust_in_flight(self, upstream: str, work: WorkClass, change: int) -> None:
        in_flight = self._in_flight.get(upstream, InFlight())
        if work.kind is WorkKind.SHORT:
            in_flight = replace(in_flight, short=in_flight.short + change)
        else:
            in_flight = replace(in_flight, long=in_flight.long + change)
        in_flight = replace(
            in_flight, remaining_tokens=in_flight.remaining_tokens + change * work.cost
        )
        if in_flight.short or in_flight.long:
            self._in_flight[upstream] = in_flight
        else:
            self._in_flight.pop(upstream, None)
            in_flight = InFlight()
        index = self._candidate_index.get(upstream)
        if index is not None:
            candidate = replace(self._candidates[index], local=in_flight)
            # Only one request at a time serves as a probe.
            probe_due = candidate.probe_due and change < 0
            self._candidates[index] = replace(candidate, probe_due=probe_due)

    def _admit(
        self, request: AcquireRequest, now_s: float
    ) -> Result[Admitted, Refusal]:
        load = self._load_estimate.load(
            request, self._queue, self._table, self._policy.routing, now_s
        )
        admission_request = AdmissionRequest(
            request.work.kind,
            request.priority,
            latest_start_s(request, self._table, self._policy.routing),
            request.accepted,
        )
        return admit(
            admission_request, load, self._policy.admission, self._policy.queue, now_s
        )

    def _shed_lowest(self) -> None:
        lowest = self._queue.lowest_sheddable()
        if lowest is None:
            return
        self._queue.cancel(lowest.request_id)
        wait_s = self._policy.admission.max_wait_s
        refused = self.refuse(RefusalReason.OVERLOAD, wait_s)
        self._shed.append((lowest.item.settle, refused))

    def _enqueue(self, pending: PendingRequest) -> None:
        request = pending.request
        self._queue.enqueue(
            QueueEntry(
                _queue_key(request),
                request.workspace,
                request.priority,
                request.work.kind,
                request.work.cost,
                latest_start_s(request, self._table, self._policy.routing),
                pending,
                sheddable=not request.accepted,
            ),
            at_front=request.attempt > 1,
        )

    def _update_backlog(self, now_s: float) -> None:
        for kind in WorkKind:
            waiting = self._queue.head(kind) is not None
            self._load_estimate.on_backlog(kind, waiting, now_s)


def _queue_key(request: AcquireRequest) -> str:
    # Several attempts of one request may be queued at the same time.
    return f"{request.request_id}/{request.attempt}"
