"""Supervisor of actors: restarts failed components at a bounded rate."""

import logging
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Any

import pykka

from cicadapass_common.events import EventLog

logger = logging.getLogger(__name__)

# A component that fails more often within the window is not helped by restarts, so
# the node stops.
MAX_RESTARTS = 5
RESTART_WINDOW_S = 60.0


class Component(pykka.ThreadingActor):
    """Base class of supervised actors; reports their failures to the supervisor."""

    use_daemon_thread = True

    def __init__(self, supervisor: pykka.ActorRef["Supervisor"], name: str) -> None:
        super().__init__()
        self._supervisor = supervisor
        self._name = name

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Release the actor's threads and timers, then report the failure.

        They must not run beside those of the restarted actor.
        """
        try:
            self.on_stop()
        except Exception:
            # The failure must be reported even if the cleanup fails.
            logger.exception("cleanup of failed component %s raised", self._name)
        try:
            self._supervisor.tell(ComponentFailed(self._name, repr(exception_value)))
        except pykka.ActorDeadError:
            # The supervisor has stopped, so nothing is restarted.
            return

    def _actor_loop_setup(self) -> None:
        # pykka stops an actor whose `on_start` fails without calling `on_failure`.
        super()._actor_loop_setup()
        if self.actor_stopped.is_set():
            error = RuntimeError("on_start failed; the log has the traceback")
            self.on_failure(RuntimeError, error, None)


@dataclass(frozen=True, slots=True)
class ComponentFailed:
    """Report that a component stopped because of an exception."""

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class StartComponent:
    """Request the start of a component, which is restarted if it fails."""

    name: str
    start: Callable[[], pykka.ActorRef[Any]]


@dataclass(frozen=True, slots=True)
class StopComponents:
    """Request the stop of all components, last started first."""


class ComponentRef:
    """Refer to a component by name; the reference stays valid across restarts."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._ref: pykka.ActorRef[Any] | None = None
        self._ref_changed = threading.Condition()

    @property
    def name(self) -> str:
        """Return the name under which the supervisor restarts the component."""
        return self._name

    def bind(self, ref: pykka.ActorRef[Any]) -> None:
        """Set the current actor and wake up callers that wait for it."""
        with self._ref_changed:
            self._ref = ref
            self._ref_changed.notify_all()

    def stop(self) -> None:
        """Stop the current actor, if any, without waiting for its end."""
        if self._ref is not None:
            self._ref.stop(block=False)

    def tell(self, message: object) -> None:
        """Send the message; drop it if the component is being restarted."""
        try:
            if self._ref is not None:
                self._ref.tell(message)
        except pykka.ActorDeadError:
            # A restarted component rebuilds its state, so a dropped message is safe.
            return

    def ask(self, message: object, timeout_s: float) -> Any:
        """Return the component's reply, waiting for a restart if needed.

        Raises pykka.Timeout, or ActorDeadError if no restart happens in time.
        """
        deadline_s = time.monotonic() + timeout_s
        dead = None
        while True:
            remaining_s = deadline_s - time.monotonic()
            ref = self._wait_for_new_ref(dead, remaining_s)
            if ref is None:
                raise pykka.ActorDeadError(f"component {self._name} is not running")
            try:
                return ref.ask(message, timeout=max(0.0, remaining_s))
            except pykka.ActorDeadError:
                # The dead actor did not handle the message, so it is safe to resend.
                dead = ref

    def _wait_for_new_ref(
        self, dead: pykka.ActorRef[Any] | None, wait_s: float
    ) -> pykka.ActorRef[Any] | None:
        with self._ref_changed:
            self._ref_changed.wait_for(lambda: self._ref is not dead, wait_s)
            return None if self._ref is dead else self._ref


class Supervisor(pykka.ThreadingActor):
    """Start components and restart those that fail.

    `on_restart_limit` is called when a component failed more than `MAX_RESTARTS` times
    within `RESTART_WINDOW_S`; that component is not restarted any more.
    """

    use_daemon_thread = True

    def __init__(
        self,
        events: EventLog,
        on_restart_limit: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._events = events
        self._on_restart_limit = on_restart_limit
        self._clock = clock
        self._start_functions: dict[str, Callable[[], pykka.ActorRef[Any]]] = {}
        self._refs: dict[str, pykka.ActorRef[Any]] = {}
        self._restarts: dict[str, deque[float]] = {}

    def on_receive(self, message: object) -> object:
        """Start components, restart failed ones, or stop all."""
        match message:
            case StartComponent(name, start):
                self._refs[name] = start()
                self._start_functions[name] = start
            case ComponentFailed(name, reason):
                self._restart(name, reason)
            case StopComponents():
                self._stop_components()
        return None

    def _restart(self, name: str, reason: str) -> None:
        if name not in self._start_functions:
            return
        if self._exceeds_restart_limit(name):
            # Further failure reports of the component are ignored.
            del self._start_functions[name]
            self._events.emit(111, part=name, reason=reason)
            self._on_restart_limit()
            return
        self._events.emit(110, part=name, reason=reason)
        try:
            self._refs[name] = self._start_functions[name]()
        except Exception as error:
            # A failed start counts as one more failure, so that restarts are bounded.
            self.actor_ref.tell(ComponentFailed(name, repr(error)))

    def _exceeds_restart_limit(self, name: str) -> bool:
        now_s = self._clock()
        times = self._restarts.setdefault(name, deque())
        while times and now_s - times[0] > RESTART_WINDOW_S:
            times.popleft()
        times.append(now_s)
        return len(times) > MAX_RESTARTS

    def _stop_components(self) -> None:
        self._start_functions.clear()
        for ref in reversed(list(self._refs.values())):
            ref.stop(block=False)
        self._refs.clear()
