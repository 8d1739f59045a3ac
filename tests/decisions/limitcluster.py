"""Run rate limiters of many nodes in virtual time, with the messages of `Peers`."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

from cicadapass_decisions.limitsampling import capped_retry_s
from cicadapass_decisions.ratelimit import LimitTolerance, OverLimit, RateLimiter

WINDOW_S = 8.0
# The tolerance of the platform: a tenth, and 140,000 tokens.
TOLERANCE = LimitTolerance(fraction=0.1, amount=140_000.0)
# Constants of `peers.py` and `node.py`.
SEND_INTERVAL_S = 0.2
RECIPIENTS = 10
USE_REPORT_DELAY_S = 0.005
TICK_S = 0.5
# Calls a second, mean tokens and largest tokens of the kinds of call of deployment A.
KINDS = ((58.7, 6_610.0, 54_600.0), (274.0, 1_800.0, 14_400.0), (116.0, 200.0, 200.0))
MEAN_COST = sum(rate * mean for rate, mean, _ in KINDS) / sum(
    rate for rate, *_ in KINDS
)
# A refused caller returns at most so often, and after at most a third of 15.3 s.
MAX_RETURNS = 3
MAX_RETRY_AFTER_S = 5.1


@dataclass(frozen=True, slots=True)
class Workspace:
    """Name a workspace and its limit; the burst is its rate of one second."""

    name: str
    rate: float

    @property
    def limit(self) -> float:
        """Return the limit of a window."""
        return self.rate * (WINDOW_S + 1.0)

    @property
    def bound(self) -> float:
        """Return what rule 5 allows in a window."""
        return self.limit * (1 + TOLERANCE.fraction) + TOLERANCE.amount


@dataclass(frozen=True, slots=True)
class Attempt:
    """Record one decision of a node."""

    at_s: float
    workspace: str
    cost: float
    first: bool
    refusal: OverLimit | None
    # What callers asked for in the window up to now, each request counted once.
    demand: float


@dataclass(frozen=True, slots=True)
class Request:
    """Store a request of a caller, who may ask for it several times."""

    number: int
    cost: float
    choose: Callable[[float], int]


def draw_cost(rng: random.Random) -> float:
    """Return the tokens of a call of one of the kinds, with a heavy tail."""
    ((_, mean, largest),) = rng.choices(KINDS, [rate for rate, *_ in KINDS])
    return min(largest, mean * rng.lognormvariate(-0.5, 1.0))


class Cluster:
    """Deliver the states and the reports of nodes, and the requests of callers."""

    def __init__(self, count: int, seed: int, uptime_s: float = 1000.0) -> None:
        self.rng = random.Random(seed)
        self.count = count
        self.started_s = -uptime_s
        self.limiters = [
            RateLimiter(WINDOW_S, -uptime_s, TOLERANCE, random.Random(1000 * seed + n))
            for n in range(count)
        ]
        self.attempts: list[Attempt] = []
        self.reports = 0
        # Nodes that have ended.
        self.stopped: set[int] = set()
        # Nodes that hear only each other, and serve on.
        self.partitioned: set[int] = set()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = 0
        self._now_s = 0.0
        self._turns = [self.rng.randrange(count) for _ in range(count)]
        self._unreported: list[dict[str, None]] = [{} for _ in range(count)]
        # Time and cost of the last attempt of each request, by workspace.
        self._asked: dict[str, dict[int, tuple[float, float]]] = {}
        self._requests = 0
        rounds = -(-(count - 1) // RECIPIENTS)
        for number, limiter in enumerate(self.limiters):
            limiter.set_round(SEND_INTERVAL_S * rounds)
            limiter.set_node_count(count)
            limiter.set_on_unexpected_use(self._collector(number))
            # All nodes have met before 0.
            start_s = -2 * SEND_INTERVAL_S * rounds
            self._repeat(start_s + 0.2 * self.rng.random(), 0.2, self._sender(number))
            self._repeat(0.5 * self.rng.random(), TICK_S, self._ticker(number))

    def at(self, at_s: float, action: Callable[[float], None]) -> None:
        """Have an action called at a time."""
        self._sequence += 1
        heapq.heappush(self._events, (at_s, self._sequence, action))

    def run(self, end_s: float) -> None:
        """Handle the events until a time."""
        while self._events[0][0] < end_s:
            self._now_s, _, action = heapq.heappop(self._events)
            action(self._now_s)

    def offer(
        self,
        workspace: Workspace,
        load: Callable[[float], float],
        node: Callable[[float], int] | None = None,
    ) -> None:
        """Let callers ask for a multiple of the limit's mean rate at random times."""
        rate = workspace.limit / WINDOW_S / MEAN_COST
        choose = node or self.live_node

        def arrive(at_s: float) -> None:
            cost = draw_cost(self.rng)
            self._requests += 1
            self._ask(workspace, Request(self._requests, cost, choose), at_s, 0)
            self.at(at_s + self.rng.expovariate(load(at_s) * rate), arrive)

        self.at(self.rng.expovariate(load(0.0) * rate), arrive)

    def live_node(self, _at_s: float = 0.0) -> int:
        """Return a random node that has not stopped."""
        while True:
            number = self.rng.randrange(self.count)
            if number not in self.stopped:
                return number

    def windows(self, name: str, start_s: float, end_s: float) -> list[float]:
        """Return what was admitted in windows that begin each 0.1 s."""
        admitted = [
            (each.at_s, each.cost)
            for each in self.attempts
            if each.workspace == name and each.refusal is None
        ]
        sums = []
        for step in range(round((end_s - start_s - WINDOW_S) * 10) + 1):
            at_s = start_s + step / 10
            sums.append(sum(c for t, c in admitted if at_s <= t < at_s + WINDOW_S))
        return sums

    def refused_within(
        self, workspace: Workspace, start_s: float, part: float = 1.0
    ) -> tuple[int, int]:
        """Return first requests refused with a demand below the limit, and all such.

        `part` is the part of the limit that the demand must not exceed.
        """
        within = [
            each
            for each in self.attempts
            if each.workspace == workspace.name
            and each.first
            and each.at_s >= start_s
            and each.demand <= part * workspace.limit
        ]
        return sum(each.refusal is not None for each in within), len(within)

    def _ask(
        self, workspace: Workspace, request: Request, at_s: float, returns: int
    ) -> None:
        name, rate, cost = workspace.name, workspace.rate, request.cost
        demand = self._count_demand(name, request.number, cost, at_s)
        limiter = self.limiters[request.choose(at_s)]
        refusal = limiter.admit(name, rate, rate, cost, at_s)
        self.attempts.append(Attempt(at_s, name, cost, returns == 0, refusal, demand))
        if refusal is not None and returns < MAX_RETURNS:
            wait_s = capped_retry_s(
                refusal.retry_after_s, MAX_RETRY_AFTER_S, self.rng.random()
            )
            self.at(
                at_s + wait_s,
                lambda now_s: self._ask(workspace, request, now_s, returns + 1),
            )

    def _count_demand(self, name: str, request: int, cost: float, at_s: float) -> float:
        """Return the tokens of the requests that asked within the last window."""
        asked = self._asked.setdefault(name, {})
        # The last attempt of each request counts, so they stay in order of time.
        asked.pop(request, None)
        asked[request] = (at_s, cost)
        while (oldest := next(iter(asked.items())))[1][0] <= at_s - WINDOW_S:
            del asked[oldest[0]]
        return sum(cost for _, cost in asked.values())

    def _repeat(
        self, at_s: float, interval_s: float, action: Callable[[float], None]
    ) -> None:
        def call(now_s: float) -> None:
            action(now_s)
            self.at(now_s + interval_s, call)

        self.at(at_s, call)

    def _ticker(self, number: int) -> Callable[[float], None]:
        return lambda now_s: self.limiters[number].tick(now_s, TICK_S)

    def _sender(self, number: int) -> Callable[[float], None]:
        others = [each for each in range(self.count) if each != number]

        def send(now_s: float) -> None:
            turn = self._turns[number]
            self._turns[number] += RECIPIENTS
            totals = self.limiters[number].totals()
            for step in range(RECIPIENTS):
                receiver = others[(turn + step) % len(others)]
                self._deliver(number, receiver, totals, now_s, report=False)

        return send

    def _collector(self, number: int) -> Callable[[str], None]:
        def collect(workspace: str) -> None:
            if not self._unreported[number]:
                self.at(self._now_s + USE_REPORT_DELAY_S, send)
            self._unreported[number][workspace] = None

        def send(now_s: float) -> None:
            names, self._unreported[number] = self._unreported[number], {}
            rows = self.limiters[number].report(names)
            self.reports += 1
            for receiver in range(self.count):
                if receiver != number:
                    self._deliver(number, receiver, rows, now_s, report=True)

        return collect

    def _deliver(
        self, number: int, receiver: int, rows: dict, now_s: float, *, report: bool
    ) -> None:
        if {number, receiver} & self.stopped or (number in self.partitioned) != (
            receiver in self.partitioned
        ):
            return
        limiter = self.limiters[receiver]
        record = limiter.record_peer_report if report else limiter.record_peer_totals
        uptime_s = now_s - self.started_s
        self.at(
            now_s + 0.001 + 0.004 * self.rng.random(),
            lambda at_s: record(str(number), rows, uptime_s, at_s),
        )
