"""Continuous batching: which streams run and when their tokens are due.

Time is counted in token steps: the step clock advances by the current rate per
stream, so that a change of batch size or slowdown moves all due times at once.
"""

import heapq
import itertools
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from cicadapass_standins.stats import AttemptStats, Stats

# Tokens that are due within this time are reported together, which bounds the
# wake-ups of a fast engine.
MIN_WAIT_S = 0.001
# A longer wait would step over a changed rate for too long.
MAX_WAIT_S = 0.05


class Ending(Enum):
    """Why a stream yields no further tokens."""

    DONE = "done"
    CANCELLED = "cancelled"
    STOPPED = "stopped"


@dataclass(frozen=True)
class Speed:
    """How fast streams run.

    A stream alone gets `tokens_per_s`; each further one in the batch adds
    `batch_cost` to the time of a token. A prompt token that is not cached takes
    `prefill_cost` times as long as a generated one.
    """

    tokens_per_s: float
    batch_cost: float
    prefill_cost: float

    def rate(self, running: int) -> float:
        """Return the tokens a second of each stream in a batch."""
        return self.tokens_per_s / (1.0 + self.batch_cost * max(0, running - 1))


@dataclass(eq=False, slots=True)
class Stream:
    """One attempt of a request; it wants the tokens from `first` to before `last`.

    The scheduler writes `computed` (the index after the newest token) and then
    `ending`, and calls `signal`, which must not block. `words` are those of the
    prompt and of the tokens that were sent, `blocks` the hashes of the prompt's.
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
        """The request id and attempt, which name a stream."""
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
        # `slowdown` of 0 stands for a hang; `on_start` returns the cached words.
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
        """The streams that run and those that wait."""
        with self._changed:
            return self._running, len(self._streams) - self._running

    @property
    def rate(self) -> float:
        """The tokens a second that each stream gets now."""
        slowdown = self._slowdown()
        return self._speed.rate(self._running) / slowdown if slowdown else 0.0

    def start(self) -> None:
        """Advance the streams in a thread."""
        threading.Thread(target=self._run, name="scheduler", daemon=True).start()

    def stop(self) -> None:
        """End all streams."""
        with self._changed:
            self._stopped = True
            for stream in list(self._streams.values()):
                self._end(stream, Ending.STOPPED)
            self._changed.notify()

    def wake(self) -> None:
        """Take a changed slowdown into account."""
        with self._changed:
            self._changed.notify()

    def submit(self, stream: Stream) -> bool:
        """Queue a stream; tell whether its key was free and the engine runs."""
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
        """End a stream before its last token; tell whether it was there."""
        with self._changed:
            stream = self._streams.get((request_id, attempt))
            if stream is None:
                return False
            self._end(stream, Ending.CANCELLED)
            self._changed.notify()
            return True

    def advance(self) -> float | None:
        """Report due tokens, start streams, and return the seconds to wait."""
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
        # An ended stream stays in its heap until its turn comes.
        stream.ending = ending
        del self._streams[stream.key]
        if stream.attempt_stats is not None:
            self._running -= 1
        stream.signal()
