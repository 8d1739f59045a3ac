"""Queueing model of batching engines on a virtual clock."""

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

FIRST_TOKEN_S = 0.05
PREFILL_S_PER_TOKEN = 0.0005
INTER_TOKEN_S = 0.02
# Fraction by which each running request lengthens the time between tokens.
BATCH_SLOWDOWN = 0.03
SLOTS = 8
CACHED_CONVERSATIONS = 30
# Tokens per simulated event; a smaller step only makes the simulation slower.
STEP_TOKENS = 4


class EventLoop:
    """Run actions in order of virtual time; ties run in order of scheduling."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedule the action once, after a delay from now."""
        heapq.heappush(self._heap, (self.now_s + delay_s, next(self._sequence), action))

    def call_every(self, interval_s: float, action: Callable[[], object]) -> None:
        """Schedule the action repeatedly; it first runs after one interval."""

        def run_and_reschedule() -> None:
            action()
            self.call_later(interval_s, run_and_reschedule)

        self.call_later(interval_s, run_and_reschedule)

    def run_until(self, end_s: float) -> None:
        """Run the actions that are due at or before a time."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._heap)
            action()


@dataclass(slots=True, eq=False)
class Run:
    """Represent one attempt of a request on an engine."""

    tokens: int
    prompt_tokens: int
    conversation: int | None
    on_first_token: Callable[["Run"], object]
    on_done: Callable[["Run"], object]
    sent_s: float = 0.0
    first_token_s: float | None = None
    generated: int = 0
    cancelled: bool = False
    cache_hit: bool = False


class Engine:
    """Model an engine: up to `SLOTS` attempts run as one batch, others are queued."""

    def __init__(self, loop: EventLoop, name: str, data_centre: str) -> None:
        self.loop = loop
        self.name = name
        self.data_centre = data_centre
        self.slowdown = 1.0
        self.running: list[Run] = []
        self.waiting: deque[Run] = deque()
        self.load_history: deque[tuple[float, int, int]] = deque(maxlen=64)
        self.cache_events: list[tuple[float, bool, int]] = []
        self._cache: OrderedDict[int, None] = OrderedDict()

    def submit(self, run: Run) -> None:
        """Start the attempt, or queue it if all slots are busy."""
        if run.cancelled:
            return
        if len(self.running) < SLOTS:
            self._start(run)
        else:
            self.waiting.append(run)

    def cancel(self, run: Run) -> None:
        """Stop a running attempt and free its slot, or remove it from the queue."""
        run.cancelled = True
        if run in self.running:
            self._free_slot(run)
        elif run in self.waiting:
            self.waiting.remove(run)

    def inter_token_s(self) -> float:
        """Return the time between tokens with the current batch and slowdown."""
        batch_factor = 1.0 + BATCH_SLOWDOWN * len(self.running)
        return INTER_TOKEN_S * batch_factor * self.slowdown

    def record_load(self) -> None:
        """Record the current load, which nodes read with a delay."""
        self.load_history.append(
            (self.loop.now_s, len(self.running), len(self.waiting))
        )

    def _start(self, run: Run) -> None:
        self.running.append(run)
        run.cache_hit = run.conversation in self._cache
        if run.conversation is not None:
            self._cache_prompt(run.conversation)
        prompt_tokens = 0 if run.cache_hit else run.prompt_tokens
        first_token_s = FIRST_TOKEN_S + prompt_tokens * PREFILL_S_PER_TOKEN
        self.loop.call_later(
            first_token_s * self.slowdown, lambda: self._generate(run, 1)
        )

    def _cache_prompt(self, conversation: int) -> None:
        self._cache[conversation] = None
        self._cache.move_to_end(conversation)
        self.cache_events.append((self.loop.now_s, True, conversation))
        if len(self._cache) > CACHED_CONVERSATIONS:
            removed, _ = self._cache.popitem(last=False)
            self.cache_events.append((self.loop.now_s, False, removed))

    def _generate(self, run: Run, tokens: int) -> None:
        if run.cancelled:
            return
        run.generated += tokens
        if run.first_token_s is None:
            run.first_token_s = self.loop.now_s
            run.on_first_token(run)
            if run.cancelled:
                return
        if run.generated >= run.tokens:
            self._free_slot(run)
            run.on_done(run)
            return
        tokens = min(STEP_TOKENS, run.tokens - run.generated)
        self.loop.call_later(
            tokens * self.inter_token_s(), lambda: self._generate(run, tokens)
        )

    def _free_slot(self, run: Run) -> None:
        self.running.remove(run)
        if self.waiting:
            self._start(self.waiting.popleft())


def schedule_slowdowns(
    loop: EventLoop, engines: list[Engine], rng: random.Random, slowdown: float
) -> None:
    """Slow a random fifth of the engines for 2 s out of every 4 s."""

    def slow_engines() -> None:
        slowed_engines = rng.sample(engines, max(1, len(engines) // 5))
        for engine in slowed_engines:
            engine.slowdown = slowdown

        def restore_engines() -> None:
            for engine in slowed_engines:
                engine.slowdown = 1.0

        loop.call_later(2.0, restore_engines)

    loop.call_every(4.0, slow_engines)
