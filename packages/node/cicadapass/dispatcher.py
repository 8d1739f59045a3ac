"""The actor that maintains the request queues, and its client for request threads."""

import time
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass

import pykka

from cicadapass.grantmanager import GrantManager
from cicadapass.grants import AcquireRequest, Grant
from cicadapass.supervisor import Component, Supervisor
from cicadapass.timers import Subscription, TimerService
from cicadapass.upstreamtable import Outcome, UpstreamTable
from cicadapass_common.events import EventLog
from cicadapass_decisions.admission import Refusal
from cicadapass_decisions.policy import Policy

# Below the 50 ms within which callers of shed requests must get their refusal.
EXPIRY_INTERVAL_S = 0.025
# A thread without a result this long after the deadline expires its request itself.
EXPIRY_GRACE_S = 0.2


@dataclass(frozen=True, slots=True)
class SetRules:
    """Apply the rules and the workspaces' weights of a new inventory."""

    policy: Policy
    weights: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class StartDraining:
    """Refuse new requests; accepted ones are still granted upstreams."""


@dataclass(frozen=True, slots=True)
class _Expire:
    pass


class Dispatcher(Component):
    """Apply rules, upstream snapshots and expiry to the request queues."""

    def __init__(
        self,
        supervisor: pykka.ActorRef[Supervisor],
        timers: TimerService,
        grant_manager: GrantManager,
    ) -> None:
        super().__init__(supervisor, "dispatcher")
        self._timers = timers
        self._grant_manager = grant_manager
        self._subscription: Subscription | None = None

    def on_start(self) -> None:
        """Subscribe to the expiry timer."""
        self._subscription = self._timers.subscribe(self._on_timer, EXPIRY_INTERVAL_S)

    def on_stop(self) -> None:
        """Cancel the expiry timer."""
        if self._subscription is not None:
            self._subscription.cancel()

    def on_receive(self, message: object) -> object:
        """Apply rules and snapshots, start to drain, or refuse expired requests."""
        match message:
            case UpstreamTable():
                self._grant_manager.set_table(message)
            case SetRules(policy, weights):
                self._grant_manager.set_rules(policy, weights)
            case StartDraining():
                self._grant_manager.drain()
            case _Expire():
                self._grant_manager.expire()
        return None

    def _on_timer(self) -> None:
        if not self.actor_ref.is_alive():
            # The supervisor replaces a failed actor by one with its own subscription.
            self.on_stop()
        elif self._grant_manager.has_waiting:
            # With empty queues the actor's thread is not woken.
            self.actor_ref.tell(_Expire())


class DispatcherClient:
    """Acquire and release upstream slots from request threads."""

    def __init__(
        self,
        grant_manager: GrantManager,
        events: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._grant_manager = grant_manager
        self._events = events
        self._clock = clock

    def acquire(self, request: AcquireRequest) -> Grant | Refusal:
        """Wait for a grant or a refusal, at most until the request's deadline."""
        future: Future[Grant | Refusal] = Future()
        result = self._grant_manager.submit(request, future.set_result)
        if result is None:
            self._emit_queued(request)
            result = self._wait(request, future)
        self._emit_result(request, result)
        return result

    def release(self, grant: Grant, outcome: Outcome) -> None:
        """Release the slot of an attempt that ended."""
        self._grant_manager.release(grant, outcome)

    def _wait(
        self, request: AcquireRequest, future: "Future[Grant | Refusal]"
    ) -> Grant | Refusal:
        wait_s = max(0.0, request.deadline_s - self._clock())
        try:
            return future.result(wait_s + EXPIRY_GRACE_S)
        except FutureTimeout:
            # The dispatcher is late, for example because it is being restarted.
            self._grant_manager.expire()
            self._grant_manager.cancel(request)
            return future.result()

    def _emit_queued(self, request: AcquireRequest) -> None:
        self._events.emit(
            511,
            request_id=request.request_id,
            service=request.service,
            workspace=request.workspace,
            priority=request.priority,
            work=str(request.work.kind),
        )

    def _emit_result(self, request: AcquireRequest, result: Grant | Refusal) -> None:
        if isinstance(result, Grant):
            self._events.emit(
                510,
                request_id=request.request_id,
                service=request.service,
                upstream=result.upstream,
                attempt=result.attempt,
                work=str(result.work.kind),
                waited_s=round(result.waited_s, 6),
                probe=result.probe,
            )
            return
        if request.hedge:
            # The request continues with the attempt that is in progress.
            return
        self._events.emit(
            512,
            request_id=request.request_id,
            service=request.service,
            workspace=request.workspace,
            priority=request.priority,
            reason=str(result.reason),
            retry_after_s=result.retry_after_s,
        )
