"""The supervisor tree: restarts failed parts at a bounded rate."""

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

# More restarts than this in the window mean that a restart does not help.
MAX_RESTARTS = 5
RESTART_WINDOW_S = 60.0


class Component(pykka.ThreadingActor):
    """Base of all supervised actors: reports its failure to the supervisor."""

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
        """Stop what the part runs, so that a restarted one is alone; then report."""
        try:
            self.on_stop()
        except Exception:
            # The supervisor must hear of the failure whatever state the part is in.
            logger.exception(
                "part %s could not be stopped after its failure", self._name
            )
        try:
            self._supervisor.tell(ComponentFailed(self._name, repr(exception_value)))
        except pykka.ActorDeadError:
            # The node stops, so nobody restarts its parts.
            return

    def _actor_loop_setup(self) -> None:
        # pykka stops an actor whose `on_start` fails, but calls no `on_failure`.
        super()._actor_loop_setup()
        if self.actor_stopped.is_set():
            error = RuntimeError("on_start failed; the log has the traceback")
            self.on_failure(RuntimeError, error, None)


@dataclass(frozen=True, slots=True)
class ComponentFailed:
    """Report that a part died of an exception."""

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class StartComponent:
    """Ask the supervisor to start a part and to keep it running."""

    name: str
    start: Callable[[], pykka.ActorRef[Any]]


@dataclass(frozen=True, slots=True)
class StopComponents:
    """Ask the supervisor to stop all its parts, last started first."""


class ComponentRef:
    """Refer to a part by name, so that callers survive its restart."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._ref: pykka.ActorRef[Any] | None = None
        self._ref_changed = threading.Condition()

    @property
    def name(self) -> str:
        """Return the name of the part."""
        return self._name

    def bind(self, ref: pykka.ActorRef[Any]) -> None:
        """Point to the part's current actor."""
        with self._ref_changed:
            self._ref = ref
            self._ref_changed.notify_all()

    def stop(self) -> None:
        """Stop the part's current actor, if there is one."""
        if self._ref is not None:
            self._ref.stop(block=False)

    def tell(self, message: object) -> None:
        """Send the message; drop it if the part is being restarted."""
        try:
            if self._ref is not None:
                self._ref.tell(message)
        except pykka.ActorDeadError:
            # The owner of lost state rebuilds it, so a dropped message is safe.
            return

    def ask(self, message: object, timeout_s: float) -> Any:
        """Return the part's answer, waiting for its restart if needed.

        Raise pykka.Timeout, or ActorDeadError if the part is not restarted in time.
        """
        deadline_s = time.monotonic() + timeout_s
        dead = None
        while True:
            remaining_s = deadline_s - time.monotonic()
            ref = self._wait_for_new_ref(dead, remaining_s)
            if ref is None:
                raise pykka.ActorDeadError(f"part {self._name} does not run")
            try:
                return ref.ask(message, timeout=max(0.0, remaining_s))
            except pykka.ActorDeadError:
                # A dead actor has not handled the message, so it may be sent again.
                dead = ref

    def _wait_for_new_ref(
        self, dead: pykka.ActorRef[Any] | None, wait_s: float
    ) -> pykka.ActorRef[Any] | None:
        with self._ref_changed:
            self._ref_changed.wait_for(lambda: self._ref is not dead, wait_s)
            return None if self._ref is dead else self._ref


class Supervisor(pykka.ThreadingActor):
    """Own the parts of the node and restart those that fail."""

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
        """Start parts, restart failed ones, or stop all."""
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
            # Later reports of the part are not answered any more.
            del self._start_functions[name]
            self._events.emit(111, part=name, reason=reason)
            self._on_restart_limit()
            return
        self._events.emit(110, part=name, reason=reason)
        try:
            self._refs[name] = self._start_functions[name]()
        except Exception as error:
            # It counts as one more failure, so that the attempts stay bounded.
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
