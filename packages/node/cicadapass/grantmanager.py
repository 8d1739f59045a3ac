"""Queues and active grants of all services."""

import random
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from expression import Result

from cicadapass.grants import AcquireRequest, Grant, Settle
from cicadapass.servicequeue import ServiceQueue
from cicadapass.upstreamtable import (
    AttemptMeasured,
    Outcome,
    ServiceTable,
    UpstreamTable,
)
from cicadapass_decisions.admission import Refusal, RefusalReason
from cicadapass_decisions.policy import Policy
from cicadapass_decisions.retry import (
    Attempt,
    Failure,
    RetryRequest,
    Step,
    hedge_after_s,
    next_step,
    on_request,
    stalled_after_s,
)
from cicadapass_decisions.routing import Choice, NoUpstream
from cicadapass_decisions.scoring import InFlight
from cicadapass_decisions.work import (
    WorkClass,
    WorkHistory,
    WorkRequest,
    predict,
    reclassify,
)


class GrantManager:
    """Own the queues and the active grants; methods may be called in any thread.

    This is not an actor, because a pykka round trip costs two thread switches: 0.2 ms
    on an idle node and 2 ms at the 99th percentile with 10,000 tokens/s. Requests call
    this object in their own thread instead. Its private lock is held for one decision
    and never during I/O; callbacks run after it is released.
    """

    def __init__(
        self,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        on_measured: Callable[[AttemptMeasured], object] = lambda message: None,
    ) -> None:
        self._lock = threading.Lock()
        self._rng = rng
        self._clock = clock
        self._on_measured = on_measured
        self._policy = Policy()
        self._weights: Mapping[str, float] = {}
        self._queues: dict[str, ServiceQueue] = {}
        self._table = UpstreamTable()
        self._grants: dict[int, tuple[Grant, WorkClass]] = {}
        self._history = WorkHistory(self._policy.work)
        self._next_number = 1
        self._draining = False
        self._pending_callbacks: list[tuple[Settle, Grant | Refusal]] = []

    @property
    def has_waiting(self) -> bool:
        """Return whether requests are queued; takes no lock, so it may be outdated."""
        return any(len(queue) for queue in tuple(self._queues.values()))

    def set_rules(self, policy: Policy, weights: Mapping[str, float]) -> None:
        """Apply the rules and the workspaces' weights of a new inventory."""
        with self._lock:
            if policy.work != self._policy.work:
                self._history = WorkHistory(policy.work)
            self._policy, self._weights = policy, weights
            for queue in self._queues.values():
                queue.set_rules(policy, weights)

    def set_table(self, table: UpstreamTable) -> None:
        """Apply a snapshot of the upstreams and grant queued requests that now fit."""
        with self._lock:
            self._table = table
            for service in {*table.services, *self._queues}:
                queue = self._queue(service)
                service_table = table.services.get(service, ServiceTable(()))
                queue.set_table(service_table, self._clock())
                self._grant_waiting(queue)
        self._run_callbacks()

    def drain(self) -> None:
        """Refuse new requests from now on; accepted requests still get upstreams."""
        with self._lock:
            self._draining = True

    def predict(self, request: WorkRequest) -> WorkClass:
        """Return the class of work predicted from earlier answers."""
        with self._lock:
            return predict(request, self._history, self._policy.work)

    def observe_answer(self, request: WorkRequest, tokens: int) -> None:
        """Record the length of a complete answer in tokens, for later predictions."""
        with self._lock:
            self._history.observe(request, tokens)

    def submit(self, request: AcquireRequest, settle: Settle) -> Grant | Refusal | None:
        """Return a grant or a refusal, or None if `settle` is called with it later."""
        with self._lock:
            result = self._submit(request, settle)
        self._run_callbacks()
        return result

    def record_progress(self, grant: Grant, outcome: Outcome) -> None:
        """Record measurements of a running attempt; call it at most every 0.5 s."""
        with self._lock:
            self._reclassify(grant, outcome.tokens)
        self._on_measured(
            AttemptMeasured(grant.upstream, replace(outcome, finished=False))
        )

    def release(self, grant: Grant, outcome: Outcome) -> None:
        """Release the slot of an attempt that ended; a second call has no effect."""
        with self._lock:
            entry = self._grants.pop(grant.number, None)
            if entry is None:
                return
            queue = self._queue(grant.request.service)
            queue.release(grant, entry[1], self._clock())
            self._grant_waiting(queue)
        self._run_callbacks()
        self._on_measured(AttemptMeasured(grant.upstream, outcome))

    def cancel(self, request: AcquireRequest) -> None:
        """Refuse a request that is still queued, because its caller disconnected."""
        with self._lock:
            queue = self._queue(request.service)
            pending = queue.cancel(request)
            if pending is not None:
                refused = queue.refuse(RefusalReason.CANCELLED, 0.0)
                self._pending_callbacks.append((pending.settle, refused))
        self._run_callbacks()

    def expire(self) -> None:
        """Refuse the queued requests whose deadline has passed."""
        with self._lock:
            now_s = self._clock()
            for queue in self._queues.values():
                refused = queue.refuse(RefusalReason.DEADLINE, 0.0)
                for pending in queue.expire(now_s):
                    self._pending_callbacks.append((pending.settle, refused))
        self._run_callbacks()

    def next_step(
        self,
        service: str,
        attempts: Sequence[Attempt],
        failure: Failure,
        request: RetryRequest,
    ) -> Step:
        """Return the step after a failed or late attempt; charge the retry budget."""
        with self._lock:
            queue = self._queue(service)
            decision = next_step(
                attempts,
                failure,
                request,
                queue.retry_budget,
                self._clock(),
                self._rng,
                self._policy.retry,
            )
            queue.retry_budget = decision.budget
            return decision.step

    def hedge_after_s(self, service: str) -> float | None:
        """Return the wait until the first token is late, or None without a limit."""
        table = self._table.services.get(service)
        first_token_s = table.first_token_s if table else None
        return hedge_after_s(first_token_s, self._policy.retry)

    def stalled_after_s(self, service: str) -> float | None:
        """Return the wait until the next token is late, or None without a limit."""
        table = self._table.services.get(service)
        inter_token_s = table.inter_token_s if table else None
        return stalled_after_s(inter_token_s, self._policy.retry)

    def explain(self, request: AcquireRequest) -> Result[Choice, NoUpstream]:
        """Return the upstream that would be chosen now, without granting it."""
        with self._lock:
            return self._queue(request.service).explain(request, self._clock())

    def in_flight(self) -> dict[str, InFlight]:
        """Return the attempts of this node in progress by upstream, for its peers."""
        with self._lock:
            counts: dict[str, InFlight] = {}
            for queue in self._queues.values():
                counts |= queue.local_in_flight
            return counts

    def queued(self) -> dict[str, int]:
        """Return the number of queued requests by service."""
        with self._lock:
            return {service: len(queue) for service, queue in self._queues.items()}

    def _submit(
        self, request: AcquireRequest, settle: Settle
    ) -> Grant | Refusal | None:
        queue = self._queue(request.service)
        if self._draining and not request.accepted:
            return queue.refuse(RefusalReason.DRAINING, 0.0)
        now_s = self._clock()
        if request.attempt == 1:
            queue.retry_budget = on_request(
                queue.retry_budget, now_s, self._policy.retry
            )
        result = queue.submit(request, settle, self._next_number, now_s)
        self._pending_callbacks.extend(queue.take_shed())
        if result.is_error():
            return result.error
        if result.ok is not None:
            self._register(result.ok)
        return result.ok

    def _grant_waiting(self, queue: ServiceQueue) -> None:
        now_s = self._clock()
        while (granted := queue.grant_next(self._next_number, now_s)) is not None:
            pending, grant = granted
            self._register(grant)
            self._pending_callbacks.append((pending.settle, grant))

    def _register(self, grant: Grant) -> None:
        self._grants[grant.number] = (grant, grant.work)
        self._next_number += 1

    def _reclassify(self, grant: Grant, tokens: int) -> None:
        entry = self._grants.get(grant.number)
        if entry is None:
            return
        old_class = entry[1]
        prompt_tokens = grant.request.prompt_tokens
        new_class = reclassify(old_class, tokens, prompt_tokens, self._policy.work)
        if new_class != old_class:
            self._grants[grant.number] = (grant, new_class)
            self._queue(grant.request.service).reclassify(grant, old_class, new_class)

    def _queue(self, service: str) -> ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = ServiceQueue(self._policy, self._weights, self._rng)
            self._queues[service] = queue
        return queue

    def _run_callbacks(self) -> None:
        if not self._pending_callbacks:
            return
        with self._lock:
            callbacks, self._pending_callbacks = self._pending_callbacks, []
        for settle, result in callbacks:
            settle(result)
