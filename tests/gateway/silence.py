"""Play clusters in which sound engines fall silent for a while and go on."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, replace

from cicadapass_decisions.passthrough import CallerLimits, Prompt, PromptSegment
from cicadapass_gateway.exceptions import ConnectFailed
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
SAMPLE_INTERVAL_S = 0.1
# A silence without end is waited for in steps of this length.
FROZEN_STEP_S = 60.0
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
    # Silences within one answer, each at another place.
    count: int = 1
    length_s: tuple[float, float] = SILENCE_S


@dataclass(slots=True)
class EngineRun:
    """Represent the work of an engine on a request."""

    request_id: str
    engine: str
    way: str
    sent_s: float
    places: tuple[str, ...] = ()
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
        self._silent_until_s = self._deaf_until_s = 0.0

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

    def fall_silent(self, length_s, accepts=True):
        """Write nothing for this time; open connections stay so."""
        self._silent_until_s = self._cluster.now_s() + length_s
        if not accepts:
            self._deaf_until_s = self._silent_until_s

    async def open(self, timeout_s):
        """Accept a connection, unless its machine stands still."""
        left_s = self._deaf_until_s - self._cluster.now_s()
        await asyncio.sleep(max(0.0, min(left_s, timeout_s)))
        if left_s > timeout_s:
            raise ConnectFailed("no answer to the connection attempt")

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
        run.places = self._cluster.draw_places(self, call.path)
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
        self._channels.pop(channel, None)
        run.finish("complete", loop.time())

    async def _write(self, run, channel, data):
        await self._pause(run)
        if run.wrote_s is None:
            run.wrote_s = self._cluster.now_s()
        channel.deliver(data)

    async def _pause(self, run, *places):
        """Fall silent if the run's silence is here, or the whole engine is silent."""
        if set(places) & set(run.places):
            self._cluster.silence_count += 1
            lengths_s = self._cluster.silences.length_s
            await asyncio.sleep(self._cluster.rng.uniform(*lengths_s))
        self._cluster.silence_count += self._silent_until_s > self._cluster.now_s()
        while (left_s := self._silent_until_s - self._cluster.now_s()) > 0:
            await asyncio.sleep(min(left_s, FROZEN_STEP_S))


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
        # How often an answer stopped and went on, or stopped for good.
        self.silence_count = 0

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

    def draw_places(self, engine, route):
        """Return where a new answer falls silent."""
        drawn = self.rng.random() < self.silences.fraction
        places = [each for each in PLACES[route] if each in self.silences.places]
        if not (drawn and places and engine.name in self.silent_engines):
            return ()
        return tuple(self.rng.sample(places, self.silences.count))

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
        call = RequestCall(
            f"r{number}", "h", None, limit_s, prompt, None, [], path=route
        )
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
            self.engines[name].fall_silent(float("inf"))
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


async def silence_engines_at_once(cluster):
    """Let all engines fall silent at the same moment every few seconds."""
    while True:
        await asyncio.sleep(cluster.rng.uniform(2.5, 4.5))
        for engine in cluster.engines.values():
            engine.fall_silent(cluster.rng.uniform(*SILENCE_S))


async def halt_machines_at_once(cluster):
    """Let the machines of all engines stand still at the same moment."""
    while True:
        await asyncio.sleep(cluster.rng.uniform(3.5, 5.5))
        for engine in cluster.engines.values():
            engine.fall_silent(cluster.rng.uniform(*SILENCE_S), accepts=False)


async def end_engines(cluster):
    """End an engine without notice every few seconds."""
    for _ in range(4):
        await asyncio.sleep(4.0)
        await cluster.end_engines(1)


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
