"""Run whole nodes with engines and callers in one process, in virtual time."""

import asyncio
import itertools
from dataclasses import dataclass, field

from cicadapass_decisions.passthrough import Prompt, PromptSegment
from cicadapass_gateway.adapterapi import Call, HeaderCodec, ResponseInfo
from cicadapass_gateway.exceptions import AnswerBroken, ConnectFailed
from cicadapass_gateway.httpclient import ResponseHead
from cicadapass_gateway.migrator import Migrator
from cicadapass_gateway.node import update_averages
from cicadapass_gateway.registrysync import periodic
from cicadapass_gateway.relay import Relay
from cicadapass_gateway.usage import UsageCounter
from tests.gateway.harness import make_stream_versions, refuse_migration
from tests.gateway.virtualcluster import NETWORK_DELAY_S, Cluster, ClusterNode

# An engine reads prompts one after another at this speed and writes answers together.
PREFILL_S_PER_TOKEN = 0.000015
EVENT_S = 0.06
EVENT_COUNTS = (6, 24)
# Time between the head of an answer and the end of the engine that it crashes.
CRASH_DELAYS_S = (0.05, 0.12)
# Time until the replacement of an ended engine is registered.
RESTART_S = (3.0, 6.0)
# The entry of an engine that ended without notice expires after this time.
ENTRY_EXPIRY_S = 3.6
CALLERS = 5
ROUTES = ("stream", "resume")
PROMPT_TOKENS = (2000, 8000)
DEADLINE_S = 10.0
UPDATE_INTERVAL_S = 0.5
DISPATCH_INTERVAL_S = 0.03
# Time between two parts of an answer that are sent at once.
ORDER_S = 1e-6


@dataclass(frozen=True, slots=True)
class Arrival:
    """Represent one request that reached an engine."""

    at_s: float
    engine: str
    request_id: str
    node: str
    # What brought it there: the first try, a retry or a resumed stream.
    way: str
    crashing: bool


@dataclass(frozen=True, slots=True)
class EngineEnd:
    """Represent the end of an engine and whether a prompt segment caused it."""

    at_s: float
    engine: str
    crashed: bool


@dataclass(slots=True)
class Request:
    """Represent a caller's request and its outcome."""

    request_id: str
    sent_s: float
    node: str
    segments: tuple[str, ...]
    crashing: bool
    status: int = 0
    # When the answer began, and whether it ended as complete.
    began_s: float | None = None
    complete: bool = False
    ended_s: float | None = None
    retry_after_s: float | None = None


class FakeExchange:
    """Record the response to a request in place of a caller's connection."""

    method, target, body = b"POST", b"/", b""
    connected = True

    def __init__(self, call, request):
        self.headers = [call]
        self.arrived_s = request.sent_s
        self.started = self.finished = False
        self._request = request
        self.target = f"/{call.path}/".encode()

    def respond(self, status, headers, body):
        """Record a whole response."""
        self.start(status, headers)
        self.finish()

    def start(self, status, headers):
        """Record the head of the response."""
        self.started = True
        self._request.status = status
        for name, value in headers:
            if name == b"Retry-After":
                self._request.retry_after_s = float(value)

    def write(self, data):
        """Record that the answer began."""
        if self._request.began_s is None:
            self._request.began_s = asyncio.get_running_loop().time()

    async def wait_writable(self):
        """Return at once; the caller reads everything."""

    def finish(self):
        """Record the end of a complete response."""
        self.finished = True
        self._request.complete = True

    def abort(self):
        """Record the end of an incomplete response."""
        self.finished = True


@dataclass(frozen=True)
class RequestCall(Call):
    """Carry the route's path; it takes the place of the target."""

    path: str = "resume"


def _encode_attempt(call, attempt, body_bytes):
    return [(call, attempt)]


def _decode_response(status, headers):
    request_id, limit_per_s, *kind = headers
    return ResponseInfo(
        request_id=request_id,
        sealed=True,
        not_executed=False,
        wrong_instance=False,
        load=None,
        event_stream=kind != ["plain"],
        headers=[],
        limit_per_s=limit_per_s,
    )


def _encode_refusal(request_id, retry_after_s):
    if retry_after_s is None:
        return []
    return [(b"Retry-After", f"{retry_after_s:.3f}".encode())]


CODEC = HeaderCodec(
    lambda headers: headers[0], _encode_attempt, _decode_response, _encode_refusal
)


class Engine:
    """Read prompts and write answers, until a prompt segment or the test ends it."""

    def __init__(self, cluster, name):
        self.name = name
        self.alive = True
        # Requests per second that it names in its answers.
        self.limit_per_s = None
        self._cluster = cluster
        self._read_until_s = 0.0
        # The values serve as an ordered set.
        self._channels = {}

    async def open(self, timeout_s):
        """Accept a connection; raise `ConnectFailed` if that takes too long."""

    def accept(self, channel, call, attempt):
        """Queue a request and write its answer to the channel."""
        self._channels[channel] = None
        channel.task = asyncio.create_task(self._run(channel, call, attempt))

    def release(self, channel):
        """Drop the request of a channel."""
        self._channels.pop(channel, None)

    def end(self, crashed=False):
        """End at once, with all requests in progress."""
        if not self.alive:
            return
        self.alive = False
        for channel in list(self._channels):
            channel.lose()
        self._channels.clear()
        self._cluster.record_end(self, crashed)

    async def _run(self, channel, call, attempt):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(NETWORK_DELAY_S)
        if not self.alive:
            return
        self._cluster.record_arrival(self, call, attempt, channel.node)
        read_s = call.prompt.prompt_tokens * PREFILL_S_PER_TOKEN
        self._read_until_s = max(loop.time(), self._read_until_s) + read_s
        await asyncio.sleep(self._read_until_s - loop.time())
        crashes = self._cluster.crashes(call)
        if not (crashes and self._cluster.load.headless):
            channel.deliver(ResponseHead(200, [call.request_id, self.limit_per_s]))
        if crashes:
            await asyncio.sleep(self._cluster.rng.uniform(*CRASH_DELAYS_S))
            self.end(crashed=True)
            return
        first = int(attempt.resume_after or 0) + 1
        for number in range(first, call.prompt.max_output_tokens + 1):
            channel.deliver(f"id: {number}\ndata: x\n\n".encode())
            await asyncio.sleep(EVENT_S)
        channel.deliver(None)
        self._channels.pop(channel, None)


class EngineChannel:
    """Carry one request to an engine and its answer back."""

    responding = False
    delimited = True

    def __init__(self, engine, node):
        self.node = node
        self.task = None
        self.ended_by_peer = False
        self._engine = engine
        self.received_s = 0.0
        self.received_bytes = 0
        self._items = asyncio.Queue()
        self._delivered_s = 0.0

    def send(self, method, target, headers, body):
        """Send a request."""
        ((call, attempt),) = headers
        self._engine.accept(self, call, attempt)

    async def read_head(self):
        """Return the head of the response."""
        return await self._next()

    async def read_body(self):
        """Return the next event, or None at the end."""
        return await self._next()

    def spend_events(self, count):
        """Count nothing: engines write an event in each chunk, at a sound rate."""

    async def read_remaining(self):
        """Return the rest of the body."""
        chunks = []
        while (chunk := await self._next()) is not None:
            chunks.append(chunk)
        return b"".join(chunks)

    def deliver(self, item):
        """Pass a part of the answer to the node."""
        loop = asyncio.get_running_loop()
        # Timers for the same moment run in any order.
        self._delivered_s = max(
            loop.time() + NETWORK_DELAY_S, self._delivered_s + ORDER_S
        )
        loop.call_at(self._delivered_s, self._items.put_nowait, item)

    def lose(self):
        """End the connection because the engine ended."""
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()
        self.deliver(AnswerBroken("the connection was lost"))

    def abort(self):
        """End the connection; the engine drops the request."""
        if self.task is not None:
            self.task.cancel()
        self._engine.release(self)

    async def _next(self):
        item = await self._items.get()
        if isinstance(item, Exception):
            self.ended_by_peer = True
            raise item
        self.received_s = asyncio.get_running_loop().time()
        self.received_bytes += len(item) if isinstance(item, bytes) else 1
        return item


class EnginePool:
    """Connect a node to the engines of the cluster."""

    def __init__(self, cluster, node):
        self._cluster, self._node = cluster, node

    async def acquire(self, host, port, timeout_s, *, fresh=False, request_id=None):
        """Return a connection to an engine that is alive."""
        await asyncio.sleep(2 * NETWORK_DELAY_S)
        engine = self._cluster.engines.get(host)
        if engine is None or not engine.alive:
            raise ConnectFailed("nothing listens at the address", refused=True)
        await engine.open(timeout_s)
        return EngineChannel(engine, self._node)

    def release(self, host, port, channel, *, refused_id=None):
        """Do nothing; connections are not pooled."""


class ServingNode(ClusterNode):
    """Serve the requests of callers besides what other nodes of a cluster do."""

    def __init__(self, cluster, number, incarnation=1):
        super().__init__(cluster, number, incarnation)
        self.relay = Relay(
            self.state,
            CODEC,
            EnginePool(cluster, self.name),
            UsageCounter(5.0, lambda: 1000.0),
            Migrator(self.state, refuse_migration),
            make_stream_versions(self.state, self.registry),
        )

    @property
    def running(self):
        """Return whether the node takes requests."""
        return bool(self._tasks) and self.state.upstreams_loaded

    def start(self):
        """Start the components in the background."""
        super().start()
        state = self.state
        state.upstreams.subscribe_to_sends(self.peers.report_send)
        for follow in (
            periodic(state.queue.dispatch, DISPATCH_INTERVAL_S),
            periodic(lambda: update_averages(state), UPDATE_INTERVAL_S),
        ):
            self._tasks.append(asyncio.create_task(follow()))


@dataclass(frozen=True, slots=True)
class Load:
    """Set the requests of callers: all of a second, and the share that crashes."""

    requests_per_s: float = 60.0
    crashing_fraction: float = 0.1
    # The segment that crashes engines, and the time since the start when it is first
    # sent.
    crashing_segment: str = "bad"
    from_s: float = 8.0
    # Engines end before the head of their answer is sent.
    headless: bool = False


@dataclass(slots=True)
class Observations:
    """Collect what callers and engines saw."""

    requests: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    ends: list = field(default_factory=list)

    def crashes(self):
        """Return the times at which engines crashed."""
        return [end.at_s for end in self.ends if end.crashed]

    def late_arrivals(self, contact_s):
        """Return the crashing requests that came too late after the fifth crash."""
        crashes = self.crashes()
        if len(crashes) < 5:
            return []
        return [
            arrival
            for arrival in self.arrivals
            if arrival.crashing and arrival.at_s > crashes[4] + contact_s
        ]

    def arrivals_in_window(self, engine, from_s, to_s, window_s):
        """Return the most requests that an engine got within `window_s`."""
        times = [
            each.at_s
            for each in self.arrivals
            if each.engine == engine and from_s <= each.at_s <= to_s
        ]
        return max(
            (sum(start <= at < start + window_s for at in times) for start in times),
            default=0,
        )

    def served_fraction(self, start_s, end_s):
        """Return how many of the sound requests sent in a period were served."""
        sent = [
            request
            for request in self.requests
            if not request.crashing and start_s <= request.sent_s < end_s
        ]
        served = [each for each in sent if each.status == 200 and each.complete]
        return len(served) / max(1, len(sent))


class EngineCluster(Cluster):
    """Connect whole nodes with engines, and send them the requests of callers."""

    node_class = ServingNode
    engine_class = Engine

    def __init__(self, nodes, engines, seed, load=None, **changes):
        super().__init__(nodes, seed, **changes)
        self.load = load or Load()
        self.started_s = 0.0
        self.observations = Observations()
        self.engines = {}
        self._numbers = itertools.count()
        self._request_numbers = itertools.count()
        self._arrived = set()
        self._tasks = set()
        for _ in range(engines):
            self.add_engine()

    def now_s(self):
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def spawn(self, coroutine):
        """Run a coroutine in the background."""
        self._tasks.add(asyncio.create_task(coroutine))

    def add_engine(self):
        """Start an engine and register it."""
        name = f"i-{next(self._numbers)}"
        self.engines[name] = self.engine_class(self, name)
        self.put(name, "ready")

    def crashes(self, call):
        """Return whether a request ends the engine that answers it."""
        return any(
            each.segment_id == self.load.crashing_segment
            for each in call.prompt.shared_segments
        )

    def record_arrival(self, engine, call, attempt, node):
        """Record that a request reached an engine."""
        way = "first" if call.request_id not in self._arrived else "retry"
        if attempt.resume_after is not None:
            way = "resume"
        self._arrived.add(call.request_id)
        now_s = asyncio.get_running_loop().time()
        self.observations.arrivals.append(
            Arrival(now_s, engine.name, call.request_id, node, way, self.crashes(call))
        )

    def record_end(self, engine, crashed):
        """Record the end of an engine, let its entry expire and start another one."""
        now_s = asyncio.get_running_loop().time()
        self.observations.ends.append(EngineEnd(now_s, engine.name, crashed))
        self.spawn(self._expire(engine))
        self.spawn(self._replace())

    async def run(self, length_s):
        """Send requests for this time, and return the observations."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while (elapsed_s := loop.time() - began_s) < length_s:
            crashing = (
                elapsed_s >= self.load.from_s
                and self.rng.random() < self.load.crashing_fraction
            )
            self.spawn(self.send(crashing))
            await asyncio.sleep(self.rng.expovariate(self.load.requests_per_s))
        await asyncio.sleep(DEADLINE_S)
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception():
                raise task.exception()
        return self.observations

    async def end_engines(self, count):
        """End some engines at the same moment, without notice."""
        alive = [engine for engine in self.engines.values() if engine.alive]
        for engine in self.rng.sample(alive, min(count, len(alive))):
            engine.end()

    async def _expire(self, engine):
        await asyncio.sleep(ENTRY_EXPIRY_S)
        self.put(engine.name, "removed")
        del self.engines[engine.name]

    async def _replace(self):
        await asyncio.sleep(self.rng.uniform(*RESTART_S))
        self.add_engine()

    async def send(self, crashing):
        """Send one request and record its outcome."""
        number = next(self._request_numbers)
        kind = self.rng.randrange(len(ROUTES))
        shared = [f"caller-{self.rng.randrange(CALLERS)}", f"route-{kind}"]
        if crashing:
            shared.insert(self.rng.randrange(1, 3), self.load.crashing_segment)
        tokens = PROMPT_TOKENS[kind]
        segments = [PromptSegment(each, tokens // 4) for each in shared]
        segments.append(PromptSegment(f"own-{number}", tokens // 2))
        prompt = Prompt(tuple(segments), tokens, EVENT_COUNTS[kind])
        call = RequestCall(
            f"r{number}", "h", None, DEADLINE_S, prompt, None, [], path=ROUTES[kind]
        )
        node = self.rng.choice([each for each in self.nodes if each.running])
        now_s = asyncio.get_running_loop().time()
        request = Request(call.request_id, now_s, node.name, tuple(shared), crashing)
        self.observations.requests.append(request)
        await node.relay.handle(FakeExchange(call, request))
        request.ended_s = asyncio.get_running_loop().time()
