"""Graceful stop: refuse new requests, finish or hand over those in progress."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from cicadapass.config import DrainSettings
from cicadapass.handover import HandOverDependencies, hand_over
from cicadapass.inprogress import InProgress
from cicadapass.ownership import OwnedRequest
from cicadapass_common.events import EventLog

# Unfinished requests are handed over this long before the deadline.
HAND_OVER_MARGIN_S = 3.0
# The node is stopped this long before the deadline, at which the VM is reclaimed.
# Closing the callers' connections alone took 1.2 s.
STOP_MARGIN_S = 2.0
CHECK_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class DrainDependencies:
    """Bundle the collaborators of a drain.

    `refuse_new` makes the request queues refuse new requests.
    """

    settings: DrainSettings
    events: EventLog
    in_progress: InProgress
    refuse_new: Callable[[], None]
    unfinished: Callable[[], tuple[OwnedRequest, ...]]
    hand_over_dependencies: Callable[[], HandOverDependencies]
    clock: Callable[[], float] = time.monotonic


class Drain:
    """Stop the node gracefully before an optional deadline."""

    def __init__(self, dependencies: DrainDependencies) -> None:
        self._dependencies = dependencies
        self._started = threading.Event()
        self._lock = threading.Lock()
        self._deadline_s = float("inf")

    @property
    def started(self) -> bool:
        """Return whether a drain has begun."""
        return self._started.is_set()

    def begin(self, reason: str, remaining_s: float | None = None) -> None:
        """Begin to drain; a later call can only bring the deadline forward."""
        with self._lock:
            if remaining_s is not None:
                deadline_s = self._dependencies.clock() + remaining_s
                self._deadline_s = min(self._deadline_s, deadline_s)
            is_first_call = not self._started.is_set()
            self._started.set()
        if is_first_call:
            self._dependencies.events.emit(102, reason=reason)

    def finish(self) -> int:
        """Wait until the requests have ended; return how many have not.

        Requests that are not expected to end in time are handed over at the start, so
        that their new owners have the most time; all that remain shortly before the
        deadline are handed over then.
        """
        dependencies = self._dependencies
        with self._lock:
            grace_deadline_s = dependencies.clock() + dependencies.settings.grace_s
            self._deadline_s = min(self._deadline_s, grace_deadline_s)
        announced_until_s = dependencies.clock() + dependencies.settings.announce_s
        self._wait(lambda: dependencies.clock() >= announced_until_s)
        dependencies.refuse_new()
        dependencies.in_progress.close_connections()
        self._hand_over(self._remaining_s() - HAND_OVER_MARGIN_S)
        self._wait(self._all_ended)
        if not self._all_ended():
            self._hand_over(0.0)
            self._wait(self._all_ended, margin_s=STOP_MARGIN_S)
        return len(dependencies.unfinished())

    def _hand_over(self, remaining_s: float) -> None:
        unfinished = self._dependencies.unfinished()
        if unfinished:
            count = hand_over(
                unfinished, remaining_s, self._dependencies.hand_over_dependencies()
            )
            self._dependencies.events.emit(
                104, requests=len(unfinished), handed_over=count
            )

    def _all_ended(self) -> bool:
        return (
            not self._dependencies.in_progress.count
            and not self._dependencies.unfinished()
        )

    def _remaining_s(self) -> float:
        return self._deadline_s - self._dependencies.clock()

    def _wait(
        self, condition: Callable[[], bool], margin_s: float = HAND_OVER_MARGIN_S
    ) -> None:
        """Wait for the condition, at most until `margin_s` before the deadline."""
        pause = threading.Event()
        while not condition() and self._remaining_s() > margin_s:
            pause.wait(CHECK_INTERVAL_S)
