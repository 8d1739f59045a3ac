"""Hybrid logical clock of a process, shared by its threads."""

import threading
import time
from collections.abc import Callable

from cicadapass_decisions.hlc import HybridTime, merge, tick


class HybridClock:
    """Advance the hybrid logical clock of one process; all methods are thread-safe."""

    def __init__(self, wall_clock: Callable[[], float] = time.time) -> None:
        self._wall_clock = wall_clock
        self._clock = HybridTime(0)
        self._lock = threading.Lock()

    def stamp(self) -> tuple[int, int]:
        """Return the stamp of a new local event."""
        with self._lock:
            self._clock = tick(self._clock, self._wall_clock())
            return self._clock.wall_ms, self._clock.counter

    def observe(self, remote: tuple[int, int]) -> bool:
        """Merge a received stamp; return whether it was too far ahead."""
        with self._lock:
            merged = merge(self._clock, HybridTime(*remote), self._wall_clock())
            self._clock = merged.clock
            return merged.beyond_limit
