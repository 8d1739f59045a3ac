"""Continuous batching: which streams run and when their tokens are due.

Due times are in token steps. The step clock advances at the current rate of one
stream, so a change of the batch size or the slowdown shifts all due times at once.
"""

import heapq
import itertools
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from cicadapass_standins.stats import AttemptStats, Stats

# Tokens due within this time are delivered together, which limits the wake-ups of a
# fast engine.
MIN_WAIT_S = 0.001
# A longer wait would delay the effect of a changed rate.
MAX_WAIT_S = 0.05


class Ending(Enum):
    """Why a stream has ended; the value is the key of the final line of an answer."""

    DONE = "done"
    CANCELLED = "cancelled"
    STOPPED = "stopped"


@dataclass(frozen=True)
class Speed:
    """Parameters of the speed of streams.

    A single stream runs at `tokens_per_s`. Each further stream in the batch adds
    the fraction `batch_cost` to the time per token. A prompt token that is not
    cached takes `prefill_cost` times as long as a generated one.
    """

    tokens_per_s: float
    batch_cost: float
    prefill_cost: float

    def rate(self, running: int) -> float:
        """Return the tokens per second of each stream in a batch of this size."""
        return self.tokens_per_s / (1.0 + self.batch_cost * max(0, running - 1))


@dataclass(eq=False, slots=True)
class Stream:
    """Represent one attempt to generate the tokens [first_index, end_index).

    The scheduler sets `computed` (the index after the newest token), then `ending`,
    and calls `signal`, which must not block. `words` are those of the prompt and of
    the tokens sent so far; `blocks` are the block hashes of the prompt.
    """

    request_id: str
    attempt: int
    priority: int
    first_index: int
    end_index: int
    words: list[str]
    blocks: list[str]
    signal: Callable[[], None] = lambda: None
    computed: int = 0
    ending: Ending | None = None
    attempt_stats: AttemptStats | None = None

    @property
    def key(self) -> tuple[str, int]:
        """Request id and attempt number, which identify a running stream."""
        return (self.request_id, self.attempt)


class Scheduler:
    """Run streams in a limited number of slots, highest priority first."""

    def __init__(
        self,
        slots: int,
        speed: Speed,
        slowdown: Callable[[], float],
        on_start: Callable[[Stream], int],
        stats: Stats,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        # A `slowdown` of 0 means a hang; `on_start` returns the number of cached words.
        self._slots = slots
        self._speed = speed
        self._slowdown = slowdown
        self._on_start = on_start
        self._stats = stats
        self._clock = clock
        self._changed = threading.Condition()
        self._sequence = itertools.count()
        self._streams: dict[tuple[str, int], Stream] = {}
        self._waiting: list[tuple[int, int, Stream]] = []
        self._due: list[tuple[float, int, Stream]] = []
        self._running = 0
        self._steps = 0.0
        self._updated_s = clock()
        self._stopped = False

    @property
    def counts(self) -> tuple[int, int]:
        """The numbers of running and of waiting streams."""
        with self._changed:
            return self._running, len(self._streams) - self._running

    @property
    def rate(self) -> float:
        """The current tokens per second of each stream; 0 during a hang."""
        slowdown = self._slowdown()
        return self._speed.rate(self._running) / slowdown if slowdown else 0.0

    def start(self) -> None:
        """Start the thread that advances the streams."""
        threading.Thread(target=self._run, name="scheduler", daemon=True).start()

    def stop(self) -> None:
        """End all streams as stopped and refuse new ones."""
        with self._changed:
            self._stopped = True
            for stream in list(self._streams.values()):
                self._end(stream, Ending.STOPPED)
            self._changed.notify()

    def wake(self) -> None:
        """Apply a changed slowdown at once."""
        with self._changed:
            self._changed.notify()

    def submit(self, stream: Stream) -> bool:
        """Queue a stream; return False if its key is active or after `stop`."""
        with self._changed:
            if stream.key in self._streams or self._stopped:
                return False
            stream.computed = stream.first_index
            self._streams[stream.key] = stream
            entry = (-stream.priority, next(self._sequence), stream)
            heapq.heappush(self._waiting, entry)
            self._changed.notify()
            return True

    def cancel(self, request_id: str, attempt: int) -> bool:
        """Cancel a stream; return False if it is not active."""
        with self._changed:
            stream = self._streams.get((request_id, attempt))
            if stream is None:
                return False
            self._end(stream, Ending.CANCELLED)
            self._changed.notify()
            return True

    def advance(self) -> float | None:
        """Deliver due tokens and start waiting streams.

        Returns the seconds until the next call is due; None if no stream runs.
        """
        with self._changed:
            return self._advance()

    def _run(self) -> None:
        with self._changed:
            while not self._stopped:
                self._changed.wait(self._advance())

    def _advance(self) -> float | None:
        now_s = self._clock()
        self._steps += (now_s - self._updated_s) * self.rate
        self._updated_s = now_s
        while self._due and self._due[0][0] <= self._steps:
            due, sequence, stream = heapq.heappop(self._due)
            if not stream.ending:
                self._compute(due, sequence, stream)
        while self._waiting and self._running < self._slots:
            stream = heapq.heappop(self._waiting)[2]
            if not stream.ending:
                self._start(stream)
        return self._wait_s()

    def _wait_s(self) -> float | None:
        while self._due and self._due[0][2].ending:
            heapq.heappop(self._due)
        if not self._due:
            return None
        rate = self.rate
        if not rate:
            return MAX_WAIT_S
        wait_s = (self._due[0][0] - self._steps) / rate
        return min(max(wait_s, MIN_WAIT_S), MAX_WAIT_S)

    def _start(self, stream: Stream) -> None:
        self._running += 1
        cached = self._on_start(stream)
        prefill = len(stream.words) - cached
        stream.attempt_stats = self._stats.start_attempt(
            stream.request_id, stream.attempt, stream.first_index
        )
        self._stats.add(prefill_tokens=prefill, cache_hit_tokens=cached)
        due = self._steps + 1.0 + prefill * self._speed.prefill_cost
        heapq.heappush(self._due, (due, next(self._sequence), stream))

    def _compute(self, due: float, sequence: int, stream: Stream) -> None:
        tokens = min(int(self._steps - due) + 1, stream.end_index - stream.computed)
        stream.computed += tokens
        if stream.attempt_stats is not None:
            self._stats.record_computed(stream.attempt_stats, stream.computed)
        if stream.computed >= stream.end_index:
            self._end(stream, Ending.DONE)
            return
        stream.signal()
        heapq.heappush(self._due, (due + tokens, sequence, stream))

    def _end(self, stream: Stream, ending: Ending) -> None:
        # The stream stays in its heap until it is popped, and is then skipped.
        stream.ending = ending
        del self._streams[stream.key]
        if stream.attempt_stats is not None:
            self._running -= 1
        stream.signal()
