"""Stop taking requests and end those in progress, or hand them over."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from cicadapass.config import DrainSettings
from cicadapass.handover import HandOverDependencies, hand_over
from cicadapass.inprogress import InProgress
from cicadapass.ownership import OwnedRequest
from cicadapass_common.events import EventLog

# What is left at the deadline is handed over this long before it.
HAND_OVER_MARGIN_S = 3.0
# The parts are stopped this long before the deadline, when the VM is taken. Ending
# the callers' connections alone took 1.2 s.
STOP_MARGIN_S = 2.0
CHECK_S = 0.1


@dataclass(frozen=True, slots=True)
class DrainParts:
    """Hold what the drain needs; `refuse_new` makes the queue refuse."""

    settings: DrainSettings
    events: EventLog
    in_progress: InProgress
    refuse_new: Callable[[], None]
    unfinished: Callable[[], tuple[OwnedRequest, ...]]
    hand_over_parts: Callable[[], HandOverDependencies]
    clock: Callable[[], float] = time.monotonic


class Drain:
    """Know whether the node stops, and until when it may run."""

    def __init__(self, parts: DrainParts) -> None:
        self._parts = parts
        self._started = threading.Event()
        self._lock = threading.Lock()
        self._until_s = float("inf")

    @property
    def started(self) -> bool:
        """Return whether the node takes no new requests."""
        return self._started.is_set()

    def begin(self, reason: str, left_s: float | None = None) -> None:
        """Take no new requests; a later call can only bring the end forward."""
        with self._lock:
            if left_s is not None:
                until_s = self._parts.clock() + left_s
                self._until_s = min(self._until_s, until_s)
            first = not self._started.is_set()
            self._started.set()
        if first:
            self._parts.events.emit(102, reason=reason)

    def finish(self) -> int:
        """Wait until the requests have ended; return how many have not.

        What does not end within the time left is handed over at the start, so that
        its new owner loses no time, and what is left at the end once more.
        """
        parts = self._parts
        with self._lock:
            grace_s = parts.clock() + parts.settings.grace_s
            self._until_s = min(self._until_s, grace_s)
        announced_s = parts.clock() + parts.settings.announce_s
        self._wait(lambda: parts.clock() >= announced_s)
        parts.refuse_new()
        parts.in_progress.close_connections()
        self._hand_over(self._left_s() - HAND_OVER_MARGIN_S)
        self._wait(self._all_ended)
        if not self._all_ended():
            self._hand_over(0.0)
            self._wait(self._all_ended, margin_s=STOP_MARGIN_S)
        return len(parts.unfinished())

    def _hand_over(self, left_s: float) -> None:
        unfinished = self._parts.unfinished()
        if unfinished:
            count = hand_over(unfinished, left_s, self._parts.hand_over_parts())
            self._parts.events.emit(104, requests=len(unfinished), handed_over=count)

    def _all_ended(self) -> bool:
        return not self._parts.in_progress.count and not self._parts.unfinished()

    def _left_s(self) -> float:
        return self._until_s - self._parts.clock()

    def _wait(
        self, condition: Callable[[], bool], margin_s: float = HAND_OVER_MARGIN_S
    ) -> None:
        """Wait for the condition, until shortly before the end."""
        pause = threading.Event()
        while not condition() and self._left_s() > margin_s:
            pause.wait(CHECK_S)
