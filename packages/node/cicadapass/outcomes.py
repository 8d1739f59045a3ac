"""Outcomes of keyed calls whose claims this node won."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from cicadapass.problems import Problem
from cicadapass_common.copymessages import Binding

MAX_STORED_BYTES = 32 * 1024 * 1024
ENTRY_OVERHEAD_BYTES = 512


@dataclass(frozen=True, slots=True)
class KeyedAnswer:
    """Represent the complete answer of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


# None while the call is in progress.
Outcome = KeyedAnswer | Problem | None


@dataclass(slots=True)
class _Entry:
    binding: Binding
    outcome: Outcome
    recorded_s: float
    size: int = ENTRY_OVERHEAD_BYTES


class Outcomes:
    """Own the outcomes, bounded in age and bytes; callable in any thread."""

    def __init__(
        self,
        retention_s: Callable[[], float],
        max_bytes: int = MAX_STORED_BYTES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._retention_s = retention_s
        self._max_bytes = max_bytes
        self._clock = clock
        self._lock = threading.Lock()
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._bytes = 0

    def begin(self, request_id: str, binding: Binding) -> None:
        """Record that a call is in progress."""
        with self._lock:
            self._entries[request_id] = _Entry(binding, None, self._clock())
            self._bytes += ENTRY_OVERHEAD_BYTES
            self._expire()

    def end(self, request_id: str, outcome: KeyedAnswer | Problem) -> None:
        """Record the outcome of a call; ignored if its entry has expired."""
        with self._lock:
            entry = self._entries.get(request_id)
            if entry is None:
                return
            entry.outcome = outcome
            if isinstance(outcome, KeyedAnswer):
                entry.size += len(outcome.body)
                self._bytes += len(outcome.body)
            self._expire()

    def find(self, request_id: str, binding: Binding) -> tuple[bool, Outcome]:
        """Return whether a call with this binding exists, and its outcome."""
        with self._lock:
            entry = self._entries.get(request_id)
            if entry is None or entry.binding != binding:
                return False, None
            return True, entry.outcome

    def _expire(self) -> None:
        cutoff_s = self._clock() - self._retention_s()
        while self._entries:
            request_id, entry = next(iter(self._entries.items()))
            if entry.recorded_s > cutoff_s and self._bytes <= self._max_bytes:
                return
            if entry.outcome is None:
                # A call in progress keeps its entry, which is checked again later.
                self._entries.move_to_end(request_id)
                entry.recorded_s = self._clock()
                return
            self._bytes -= entry.size
            del self._entries[request_id]
