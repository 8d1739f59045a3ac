"""Model drawn upstreams and the nodes in front of them, in virtual time."""

import heapq
import itertools
from dataclasses import dataclass

STEP_S = 0.005
# Requests that may wait at an upstream, as a multiple of its slots.
QUEUE_SLOTS = 4


@dataclass
class Work:
    """One request: the work to read its prompt and to answer, in seconds at speed 1."""

    node: int
    arrived_s: float
    tokens: int
    run_s: float
    key: str = ""
    sent_s: float = 0.0
    first_s: float | None = None


class Upstream:
    """Serve requests in parallel; prompts are read one after another.

    Beyond the knee, all work slows so much that more requests bring less of it done.
    """

    def __init__(self, rng, name, slots, read_s_per_token):
        self.name, self.slots, self._rng = name, slots, rng
        self._read_s_per_token = read_s_per_token
        self._reading, self._running, self._queued = [], [], []
        self._done_s = 0.0
        self._read_done_s = 0.0
        self._stalled_until_s = 0.0
        self._order = itertools.count()
        self.draw()

    def draw(self):
        """Draw the speed, the knee and how much it slows beyond."""
        self.speed = self._rng.uniform(0.3, 2.0)
        self.knee = max(1.0, self._rng.uniform(0.2, 1.0) * self.slots)
        self.excess = self._rng.uniform(0.3, 1.5)

    @property
    def load(self):
        """Return the requests in progress."""
        return len(self._reading) + len(self._running) + len(self._queued)

    def running(self):
        """Return each request that is being answered, and the seconds of its answer."""
        return [
            (work, work.run_s - (end_s - self._done_s))
            for end_s, _, work in self._running
        ]

    def slowness(self, load):
        """Return how many times longer work takes at a load."""
        load = min(load, self.slots)
        return max(1.0, load / self.knee) ** (1 + self.excess) / self.speed

    def begin(self, work):
        """Start a request, queue it, or return False while the queue is full."""
        if len(self._queued) >= QUEUE_SLOTS * self.slots:
            return False
        self._queued.append(work)
        self._fill_slots()
        return True

    def _fill_slots(self):
        while self._queued and len(self._reading) + len(self._running) < self.slots:
            work = self._queued.pop(0)
            if work.tokens:
                self._reading.append(work)
            else:
                self._start_run(work)

    def _start_run(self, work):
        end_s = self._done_s + work.run_s
        heapq.heappush(self._running, (end_s, next(self._order), work))

    def advance(self, now_s):
        """Work for one step; return the requests that began and ended to answer."""
        began, ended = [], []
        if self._rng.random() < 0.03 * STEP_S:
            self._stalled_until_s = now_s + self._rng.uniform(0.2, 0.5)
        if now_s < self._stalled_until_s:
            return began, ended
        noise = self._rng.uniform(0.8, 1.2)
        step_s = STEP_S * noise / self.slowness(self.load)
        self._done_s += step_s
        self._read_done_s += step_s
        while self._reading:
            need_s = self._reading[0].tokens * self._read_s_per_token
            if self._read_done_s < need_s:
                break
            self._read_done_s -= need_s
            work = self._reading.pop(0)
            began.append(work)
            self._start_run(work)
        if not self._reading:
            self._read_done_s = 0.0
        while self._running and self._running[0][0] <= self._done_s:
            ended.append(heapq.heappop(self._running)[2])
        self._fill_slots()
        return began, ended
