"""Timer service that calls its subscribers from one thread."""

import heapq
import itertools
import logging
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

logger = logging.getLogger(__name__)


@dataclass(order=True, slots=True)
class _Entry:
    due_s: float
    order: int
    action: Callable[[], object] = field(compare=False)
    interval_s: float | None = field(compare=False)
    cancelled: bool = field(compare=False, default=False)


class Subscription:
    """Represent one subscription, so that it can be cancelled."""

    def __init__(self, entry: _Entry) -> None:
        self._entry = entry

    def cancel(self) -> None:
        """Stop further calls; a call in progress still completes."""
        self._entry.cancelled = True


class TimerService:
    """Call subscribers when they are due, all from one thread.

    Actions must not block; an actor subscribes with a `tell` to itself.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._heap: list[_Entry] = []
        self._order = itertools.count()
        self._changed = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="timers", daemon=True)

    def start(self) -> None:
        """Start the thread that calls the subscribers."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; no subscriber is called after the current call."""
        with self._changed:
            self._stopped = True
            self._changed.notify()

    def subscribe(
        self, action: Callable[[], object], interval_s: float, first_s: float = 0.0
    ) -> Subscription:
        """Call the action every interval; `first_s` delays the first call if set."""
        return self._add(action, first_s or interval_s, interval_s)

    def call_later(self, action: Callable[[], object], delay_s: float) -> Subscription:
        """Call the action once after the delay, unless it is cancelled."""
        return self._add(action, delay_s, None)

    def run_due(self) -> float | None:
        """Run all due actions; return the seconds until the next one, or None."""
        while True:
            with self._changed:
                entry = self._pop_due()
                if entry is None:
                    return self._until_next_s()
            self._call(entry)

    def _until_next_s(self) -> float | None:
        return self._heap[0].due_s - self._clock() if self._heap else None

    def _add(
        self, action: Callable[[], object], delay_s: float, interval_s: float | None
    ) -> Subscription:
        due_s = self._clock() + delay_s
        entry = _Entry(due_s, next(self._order), action, interval_s)
        with self._changed:
            heapq.heappush(self._heap, entry)
            self._changed.notify()
        return Subscription(entry)

    def _pop_due(self) -> _Entry | None:
        while self._heap and self._heap[0].cancelled:
            heapq.heappop(self._heap)
        if self._stopped or not self._heap or self._heap[0].due_s > self._clock():
            return None
        entry = heapq.heappop(self._heap)
        if entry.interval_s is not None:
            # Calls that were missed during a pause are dropped.
            entry.due_s = max(entry.due_s, self._clock()) + entry.interval_s
            heapq.heappush(self._heap, entry)
        return entry

    def _call(self, entry: _Entry) -> None:
        if entry.cancelled:
            return
        try:
            entry.action()
        except Exception:
            # A failing subscriber must not stop the timers of the others.
            logger.exception("timer subscriber failed")

    def _run(self) -> None:
        while not self._stopped:
            self.run_due()
            with self._changed:
                # An entry added since `run_due` returned has woken no waiter.
                wait_s = self._until_next_s()
                if not self._stopped and (wait_s is None or wait_s > 0):
                    self._changed.wait(wait_s)
