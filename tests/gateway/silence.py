"""Play clusters in which sound engines fall silent for a while and go on."""

import asyncio
import bisect
from collections import Counter, defaultdict
from dataclasses import dataclass, replace

from cicadapass_decisions.passthrough import CallerLimits, Prompt, PromptSegment
from cicadapass_gateway.httpclient import ResponseHead
from tests.gateway.enginecluster import (
    EVENT_S,
    PREFILL_S_PER_TOKEN,
    Engine,
    EngineCluster,
    FakeExchange,
    Load,
    Request,
    RequestCall,
)
from tests.gateway.harness import configuration
from tests.gateway.virtualcluster import NETWORK_DELAY_S

PLAIN_ROUTES = ("safe", "unsafe")
STREAM_ROUTES = ("stream", "resume")
ROUTES = PLAIN_ROUTES + STREAM_ROUTES
REPEATABLE_ROUTES = ("safe", "resume")
TIME_LIMITS_S = {"safe": 3.0, "unsafe": 3.0, "stream": 10.0, "resume": 10.0}
PROMPT_TOKENS = {"safe": 0, "unsafe": 0, "stream": 1600, "resume": 1600}
EVENT_COUNTS = {"safe": 3, "unsafe": 3, "stream": 8, "resume": 16}
CALLERS = 100
# A silence of a second or so is no fault of an engine.
SILENCE_S = (1.1, 1.4)
# The places within an answer.
BEFORE_HEAD = "before the head"
AFTER_HEAD = "after the head"
BETWEEN_EVENTS = "between events"
WITHIN_EVENT = "within an event"
WITHIN_BODY = "within the body"
PLACES = {
    **dict.fromkeys(PLAIN_ROUTES, (BEFORE_HEAD, AFTER_HEAD, WITHIN_BODY)),
    **dict.fromkeys(
        STREAM_ROUTES, (BEFORE_HEAD, AFTER_HEAD, BETWEEN_EVENTS, WITHIN_EVENT)
    ),
}
ALL_PLACES = frozenset().union(*PLACES.values())
# The platform's bounds: two engines may work on one request for this long, and the
# repeats within a window are limited to a ratio of the requests and a slack.
OVERLAP_S = 0.4
RETRY_RATIO = 0.2
RETRY_SLACK = 20
RETRY_WINDOW_S = 10.0
# Runs that each route allows for one request.
MAX_RUNS = 2
# A request ends at its deadline, up to the delays of timers and the network.
DEADLINE_SLACK_S = 0.05
SAMPLE_INTERVAL_S = 0.1
# A node that stops gets requests for this long, and has this time to end them.
STOP_NOTICE_S = 2.0
GRACE_S = 12.0
SETTLE_S = 4.0
LENGTH_S = 20.0


@dataclass(frozen=True, slots=True)
class Silences:
    """Set which answers fall silent, and where and for how long."""

    fraction: float = 0.3
    # Fraction of the engines that fall silent.
    engines: float = 1.0
    places: frozenset = ALL_PLACES
    length_s: tuple[float, float] = SILENCE_S


@dataclass(slots=True)
class EngineRun:
    """Represent the work of an engine on a request."""

    request_id: str
    engine: str
    way: str
    sent_s: float
    place: str | None = None
    # When its first event, or the first byte of its body, was written.
    wrote_s: float | None = None
    ended_s: float | None = None
    # How it ended: complete, aborted by the node, or lost with the engine.
    end: str = ""

    def finish(self, end, now_s):
        """Record the first end."""
        if self.ended_s is None:
            self.end, self.ended_s = end, now_s


class CallerExchange(FakeExchange):
    """Record what a caller received."""

    def __init__(self, call, request):
        super().__init__(call, request)
        self.route = call.path
        self.request = request
        self.expected = b"".join(answer_parts(call, 0))
        self.received = b""

    def respond(self, status, headers, body):
        """Record a whole response."""
        self.received += body
        super().respond(status, headers, body)

    def write(self, data):
        """Record events."""
        self.received += data
        super().write(data)

    @property
    def outcome(self):
        """Return how the request ended from the caller's view."""
        if self.request.ended_s is None:
            return "no end"
        if not self.request.complete:
            return "cut" if self.received else "no answer"
        if self.request.status != 200:
            return str(self.request.status)
        return "whole" if self.received == self.expected else "wrong content"


def answer_parts(call, after):
    """Return the events or the parts of the body that follow the first `after`."""
    numbers = range(after + 1, call.prompt.max_output_tokens + 1)
    if call.path in PLAIN_ROUTES:
        return [f"{call.request_id}:{number} ".encode() for number in numbers]
    text = call.request_id
    return [f"id: {number}\ndata: {text}\n\n".encode() for number in numbers]


class SilentEngine(Engine):
    """Fall silent within some answers, and go on with them."""

    def __init__(self, cluster, name):
        super().__init__(cluster, name)
        self._frozen = False

    def accept(self, channel, call, attempt):
        """Queue a request and record the run."""
        channel.run = self._cluster.record_run(self, call, attempt)
        super().accept(channel, call, attempt)

    def release(self, channel):
        """Drop the request of a channel that the node closed."""
        super().release(channel)
        run = getattr(channel, "run", None)
        if run is not None:
            run.finish("aborted", self._cluster.now_s())

    def end(self, crashed=False):
        """End at once, with all requests in progress."""
        for channel in self._channels:
            channel.run.finish("lost", self._cluster.now_s())
        super().end(crashed)

    def freeze(self):
        """Write nothing more; connections stay open and are accepted."""
        self._frozen = True

    async def _run(self, channel, call, attempt):
        loop, run = asyncio.get_running_loop(), channel.run
        await asyncio.sleep(NETWORK_DELAY_S)
        if not self.alive:
            return
        self._cluster.record_arrival(self, call, attempt, channel.node)
        read_s = call.prompt.prompt_tokens * PREFILL_S_PER_TOKEN
        self._read_until_s = max(loop.time(), self._read_until_s) + read_s
        await asyncio.sleep(self._read_until_s - loop.time())
        parts = answer_parts(call, int(attempt.resume_after or 0))
        # The part at which a silence within the events or the body falls.
        silent_part = self._cluster.rng.randrange(max(1, len(parts)))
        run.place = self._cluster.draw_place(self, call.path)
        kind = ["plain"] if call.path in PLAIN_ROUTES else []
        await self._pause(run, BEFORE_HEAD)
        channel.deliver(ResponseHead(200, [call.request_id, self.limit_per_s, *kind]))
        await self._pause(run, AFTER_HEAD)
        for number, part in enumerate(parts):
            if number == silent_part:
                await self._pause(run, BETWEEN_EVENTS)
                half = len(part) // 2
                await self._write(run, channel, part[:half])
                await self._pause(run, WITHIN_EVENT, WITHIN_BODY)
                part = part[half:]
            await self._write(run, channel, part)
            await asyncio.sleep(EVENT_S)
        await self._pause(run)
        channel.deliver(None)
        self._channels.discard(channel)
        run.finish("complete", loop.time())

    async def _write(self, run, channel, data):
        await self._pause(run)
        if run.wrote_s is None:
            run.wrote_s = self._cluster.now_s()
        channel.deliver(data)

    async def _pause(self, run, *places):
        """Fall silent if the run's silence is here; a frozen engine never returns."""
        if run.place in places:
            lengths_s = self._cluster.silences.length_s
            await asyncio.sleep(self._cluster.rng.uniform(*lengths_s))
        if self._frozen:
            await asyncio.Event().wait()


class SilenceCluster(EngineCluster):
    """Send requests of each kind to engines that fall silent."""

    engine_class = SilentEngine

    def __init__(self, nodes, engines, seed, silences, load):
        super().__init__(nodes, engines, seed, load)
        self.silences = silences
        count = max(1, round(silences.engines * engines)) if silences.engines else 0
        self.silent_engines = set(self.rng.sample(sorted(self.engines), count))
        self.frozen = set()
        self.exchanges = []
        self.runs = defaultdict(list)
        self.in_progress = Counter()
        # The highest failure score of an engine at a node, and the samples with one.
        self.highest_score = 0.0
        self.scored_samples = self.suspecting_samples = self.samples = 0
        self.unfinished_at_stops = 0

    def decode_configuration(self, raw):
        """Return a configuration whose limits and times differ by its version."""
        version = int(raw)
        limits = CallerLimits(
            max_body_bytes=4_000_000 + version, idle_timeout_s=10.0 + version % 7
        )
        changed = configuration(
            version,
            timeout_s=10.0 + version % 3,
            target_latency_s=(0.5, 0.6)[version % 2],
        )
        return replace(changed, limits=limits)

    def draw_place(self, engine, route):
        """Return where a new answer falls silent, or None if it does not."""
        drawn = self.rng.random() < self.silences.fraction
        places = [each for each in PLACES[route] if each in self.silences.places]
        if not (drawn and places and engine.name in self.silent_engines):
            return None
        return self.rng.choice(places)

    def record_run(self, engine, call, attempt):
        """Record that a request is sent to an engine."""
        runs = self.runs[call.request_id]
        way = "retry" if runs else "first"
        if attempt.resume_after is not None:
            way = "resume"
        run = EngineRun(call.request_id, engine.name, way, self.now_s())
        runs.append(run)
        return run

    async def send(self, crashing):
        """Send one request of a random kind and record its outcome."""
        number = next(self._request_numbers)
        route = self.rng.choice(ROUTES)
        tokens = PROMPT_TOKENS[route]
        shared = (f"route-{route}", f"caller-{self.rng.randrange(CALLERS)}")
        segments = [PromptSegment(each, tokens // 4) for each in shared]
        segments.append(PromptSegment(f"own-{number}", tokens // 2))
        prompt = Prompt(tuple(segments), tokens, EVENT_COUNTS[route])
        limit_s = TIME_LIMITS_S[route]
        call = RequestCall(f"r{number}", "h", None, limit_s, prompt, None, [], route)
        node = self.rng.choice([each for each in self.nodes if self._is_open(each)])
        request = Request(call.request_id, self.now_s(), node.name, shared, crashing)
        self.observations.requests.append(request)
        exchange = CallerExchange(call, request)
        self.exchanges.append(exchange)
        self.in_progress[node] += 1
        await node.relay.handle(exchange)
        self.in_progress[node] -= 1
        request.ended_s = self.now_s()

    def _is_open(self, node):
        """Return whether callers still send requests to a node."""
        stopping_since_s = node.state.stopping_since_s
        return node.running and (
            stopping_since_s is None or self.now_s() - stopping_since_s < STOP_NOTICE_S
        )

    async def watch_judgements(self):
        """Sample what the nodes hold against engines and prompt segments."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            now_s = self.now_s()
            for node in self.nodes:
                state = node.state
                scores = [
                    state.upstreams.meter(each).failure_score(now_s)
                    for each in state.upstreams.usable("s")
                ]
                score = max(scores, default=0.0)
                self.highest_score = max(self.highest_score, score)
                self.samples += 1
                self.scored_samples += score > 0
                self.suspecting_samples += state.segment_suspicions.active

    def freeze(self, count):
        """Freeze the engines that work on the most requests."""
        busy = Counter(
            run.engine
            for runs in self.runs.values()
            for run in runs
            if run.ended_s is None
        )
        names = sorted(self.engines, key=lambda name: (-busy[name], name))
        for name in names[:count]:
            self.engines[name].freeze()
            self.frozen.add(name)

    async def stop_node(self, node):
        """Stop a node as SIGTERM does, and replace it once its requests ended."""
        began_s = node.state.stopping_since_s = self.now_s()
        while self.now_s() - began_s < GRACE_S:
            await asyncio.sleep(0.05)
            if self.now_s() - began_s > STOP_NOTICE_S and not self.in_progress[node]:
                break
        self.unfinished_at_stops += self.in_progress[node]
        self.restart(node)


async def change_configurations(cluster):
    """Publish a new version of the configuration every 0.7 s."""
    for version in range(2, 1000):
        await asyncio.sleep(0.7)
        cluster.registry.put("configuration", "config", str(version).encode())


async def reload_nodes(cluster):
    """Reload the settings of all nodes every 1.5 s, beside new configurations."""
    cluster.spawn(change_configurations(cluster))
    while True:
        await asyncio.sleep(1.5)
        for node in cluster.nodes:
            node.peers.set_seeds([(each.host, 7000) for each in cluster.nodes[:3]])


async def stop_nodes(cluster):
    """Stop and replace one node after the other."""
    for number in range(len(cluster.nodes)):
        await asyncio.sleep(1.0)
        await cluster.stop_node(cluster.nodes[number])


async def use_up_retries(cluster):
    """Leave nothing of the retry allowance of each node, as a wave of crashes does."""
    while True:
        for node in cluster.nodes:
            allowance = node.state.retry_allowance("s")
            while allowance.take(cluster.now_s(), node.state.node_count):
                pass
        await asyncio.sleep(0.005)


async def play(
    nodes, engines, seed, silences, load=None, length_s=LENGTH_S, disturb=None
):
    """Start a cluster, send it requests and return it."""
    load = load or Load(crashing_fraction=0.0)
    cluster = SilenceCluster(nodes, engines, seed, silences, load)
    await cluster.start(SETTLE_S)
    cluster.started_s = cluster.now_s()
    cluster.spawn(cluster.watch_judgements())
    if disturb is not None:
        cluster.spawn(disturb(cluster))
    await cluster.run(length_s)
    return cluster


def outcomes(cluster):
    """Count the outcomes at callers by route."""
    return Counter((each.route, each.outcome) for each in cluster.exchanges)


def losses(cluster):
    """Return the requests without a whole answer, except for refusals, by route."""
    return {
        f"{route}: {outcome}": count
        for (route, outcome), count in sorted(outcomes(cluster).items())
        if outcome not in ("whole", "503")
    }


def refusals(cluster):
    """Return the number of requests that were answered with 503."""
    return sum(each.outcome == "503" for each in cluster.exchanges)


def broken_rules(cluster):
    """Return what broke the rules on runs and ends, with the number of cases."""
    counts = Counter()
    for exchange in cluster.exchanges:
        request = exchange.request
        runs = cluster.runs[request.request_id]
        limit_s = TIME_LIMITS_S[exchange.route] + DEADLINE_SLACK_S
        if exchange.outcome == "503":
            counts["refused although it ran"] += bool(runs)
        elif exchange.route not in REPEATABLE_ROUTES:
            counts["not run exactly once"] += len(runs) != 1
        counts["more runs than its route allows"] += len(runs) > MAX_RUNS
        if request.ended_s is None:
            continue
        counts["ended after its deadline"] += request.ended_s - request.sent_s > limit_s
        counts["an engine worked on it after its end"] += any(
            each.ended_s is None or each.ended_s > request.ended_s + OVERLAP_S
            for each in runs
        )
        if exchange.route in STREAM_ROUTES:
            counts["two engines worked on a stream"] += _overlaps(runs)
    counts["unfinished when its node ended"] = cluster.unfinished_at_stops
    counts["repeats above the limit"] = excess_repeats(cluster)
    return {name: count for name, count in counts.items() if count}


def _overlaps(runs):
    """Return whether two runs went on for too long after the second one wrote."""
    return any(
        second.wrote_s is not None
        and min(_end_s(first), _end_s(second)) > second.wrote_s + OVERLAP_S
        for number, second in enumerate(runs)
        for first in runs[:number]
    )


def _end_s(run):
    return float("inf") if run.ended_s is None else run.ended_s


def excess_repeats(cluster):
    """Return the most repeats by which a window exceeds the limit of the platform."""
    sent_s = sorted(each.request.sent_s for each in cluster.exchanges)
    repeated_s = sorted(
        run.sent_s for runs in cluster.runs.values() for run in runs[1:]
    )
    excess = 0
    for number, end_s in enumerate(repeated_s, 1):
        start_s = end_s - RETRY_WINDOW_S
        repeats = number - bisect.bisect_left(repeated_s, start_s)
        requests = bisect.bisect_right(sent_s, end_s) - bisect.bisect_left(
            sent_s, start_s
        )
        allowed = RETRY_RATIO * requests + RETRY_SLACK
        excess = max(excess, round(repeats - allowed))
    return excess


def judgements(cluster):
    """Return what nodes held against engines and segments, in samples."""
    found = {}
    if cluster.scored_samples:
        found["samples with a failure score"] = cluster.scored_samples
        found["highest failure score"] = round(cluster.highest_score, 2)
    if cluster.suspecting_samples:
        found["samples with suspected segments"] = cluster.suspecting_samples
    return found


def silent_share(cluster):
    """Return the first tries per silent engine relative to those per engine."""
    counts = Counter(runs[0].engine for runs in cluster.runs.values() if runs)
    silent = sum(counts[each] for each in cluster.silent_engines)
    expected = counts.total() * len(cluster.silent_engines) / len(cluster.engines)
    return silent / expected if expected else 1.0


def summary(cluster):
    """Return the figures of a play for the message of a failed check."""
    silent = sum(
        run.place is not None for runs in cluster.runs.values() for run in runs
    )
    repeats = sum(len(runs) - 1 for runs in cluster.runs.values() if runs)
    return (
        f"{len(cluster.exchanges)} requests, {silent} silences, {repeats} repeats, "
        f"{refusals(cluster)} refusals, {cluster.samples} samples, "
        f"silent engines got {silent_share(cluster):.2f} of their share"
    )
