"""Stand-ins and a simple header codec for tests of the gateway, in one event loop."""

import asyncio
import logging
import socket
import struct

import h11
import testtools
import uvloop

from cicadapass_common.events import EventLog
from cicadapass_common.stamps import HybridClock
from cicadapass_decisions.logposition import era_of, make_position, offset_of
from cicadapass_decisions.passthrough import (
    CallerLimits,
    CallKind,
    Configuration,
    Prompt,
    PromptSegment,
    Route,
    Service,
    UpstreamRecord,
    WeightedService,
    Workspace,
)
from cicadapass_decisions.ratelimit import LimitTolerance
from cicadapass_decisions.runmigration import CopyOutcome
from cicadapass_decisions.topicreplica import Document
from cicadapass_gateway.adapterapi import (
    Call,
    Changes,
    HeaderCodec,
    Listing,
    ResponseInfo,
    RunCopy,
    Topics,
)
from cicadapass_gateway.exceptions import (
    HistoryExpired,
    OffsetConflict,
    PlatformUnavailable,
)
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_gateway.httpserver import HttpServer, ServerState
from cicadapass_gateway.migrator import Migrator
from cicadapass_gateway.nodestate import NodeState, RetryLimits
from cicadapass_gateway.registryera import RegistryEra
from cicadapass_gateway.registrysync import periodic
from cicadapass_gateway.relay import Relay
from cicadapass_gateway.streamversions import StreamVersions
from cicadapass_gateway.usage import UsageCounter
from cicadapass_gateway.versionknowledge import VersionKnowledge, VersionSources

# Long enough that no test fails on a machine under load.
TIMEOUT_S = 30.0
HOST = "127.0.0.1"
# Time for which a leaving upstream may get requests.
DRAIN_S = 2.0
STREAM_TOPICS = Topics("", "", "", "", streams="streams", versions="versions")
# Value of the socket option by which the kernel sends a reset in place of a close.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LoopTest(testtools.TestCase):
    """Run the coroutine of each test in a new event loop."""

    timeout_s = TIMEOUT_S
    # The loop of a node. Tests that let time pass or replace a method of a transport
    # need asyncio's, which is written in Python.
    loop_factory = staticmethod(uvloop.new_event_loop)

    def run_loop(self, coroutine):
        """Run a coroutine to its end, for at most `timeout_s`."""

        async def bounded():
            async with asyncio.timeout(self.timeout_s):
                return await coroutine

        with asyncio.Runner(loop_factory=self.loop_factory) as runner:
            return runner.run(bounded())


class LoopClock:
    """Advance the time of the running loop; create it before what reads the time."""

    def __init__(self):
        loop = asyncio.get_running_loop()
        self._time, self._skipped_s = loop.time, 0.0
        loop.time = lambda: self._time() + self._skipped_s

    def advance(self, seconds):
        """Let time pass for all timers."""
        self._skipped_s += seconds


async def until(condition):
    """Wait until a condition holds, or the test's time limit ends."""
    while not condition():
        await asyncio.sleep(0.005)


def _decode_call(headers):
    by_name = {name.lower(): value.decode("latin-1") for name, value in headers}
    tokens = int(by_name.get(b"x-tokens", "0"))
    segments = (PromptSegment("shared", tokens // 2), PromptSegment("own", tokens // 2))
    limit = by_name.get(b"x-limit")
    return Call(
        request_id=by_name.get(b"x-id"),
        host=by_name.get(b"host", ""),
        api_key=by_name.get(b"x-key"),
        time_limit_s=None if limit is None else float(limit),
        prompt=Prompt(segments if tokens else (), tokens, 400 if tokens else 0),
        last_event_id=by_name.get(b"x-after"),
        headers=[(n, v) for n, v in headers if n.lower().startswith(b"x-")],
        resumes=by_name.get(b"x-resumes"),
    )


def _encode_attempt(call, attempt, body_bytes):
    headers = [(b"Host", b"u"), *call.headers]
    headers.append((b"y-upstream", attempt.upstream_id.encode()))
    if attempt.resume_after is not None:
        headers.append((b"y-after", attempt.resume_after.encode()))
    if attempt.copy is not None:
        headers.append((b"y-copy", attempt.copy.encode()))
    headers.append((b"Content-Length", str(body_bytes).encode()))
    return headers


def _decode_response(status, headers):
    by_name = {name.lower(): value for name, value in headers}
    forwarded = [(n, v) for n, v in headers if n.lower() in (b"content-type", b"x-id")]
    ids = [value.decode("latin-1") for n, value in headers if n.lower() == b"x-id"]
    return ResponseInfo(
        request_id=ids[0] if len(ids) == 1 else None,
        not_executed=b"x-not-run" in by_name,
        wrong_instance=status == 421,
        sealed=b"x-seal" in by_name,
        load=None,
        event_stream=by_name.get(b"content-type") == b"text/event-stream",
        headers=forwarded,
        leaving=b"x-leaving" in by_name,
        pause_s=float(by_name[b"x-pause"]) if b"x-pause" in by_name else None,
        unreadable_pause=by_name.get(b"x-odd-pause", b"").decode() or None,
    )


def _encode_refusal(request_id, retry_after_s):
    if retry_after_s is None:
        return []
    return [(b"Retry-After", f"{retry_after_s:.3f}".encode())]


HEADER_CODEC = HeaderCodec(
    _decode_call, _encode_attempt, _decode_response, _encode_refusal
)


class Upstream:
    """Accept connections and run a script for each request."""

    def __init__(self, name, script):
        self.name = name
        self.script = script
        self.requests = []
        self.closed = 0
        self.connections = 0
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self

    @property
    def port(self):
        """Return the port."""
        return self._server.sockets[0].getsockname()[1]

    def record(self, **changes):
        """Return the registry's record of this upstream."""
        values = {
            "service": "s",
            "data_centre": "dc-a",
            "slots": 64,
            "leaving": False,
            "started_ms": 1,
            "sequence": 1,
            **changes,
        }
        return UpstreamRecord(self.name, host=HOST, port=self.port, **values)

    def stop(self):
        """Stop listening; open connections stay."""
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        parser = h11.Connection(h11.SERVER)
        request, body = None, b""
        try:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    data = await reader.read(65536)
                    parser.receive_data(data)
                    if not data:
                        break
                elif isinstance(event, h11.Request):
                    request, body = event, b""
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self.requests.append((request, body))
                    await self.script(ResponseWriter(request, body, reader, writer))
                    if writer.is_closing():
                        break
                    parser.send(h11.Response(status_code=200, headers=[]))
                    parser.send(h11.EndOfMessage())
                    parser.start_next_cycle()
                else:
                    break
        except (ConnectionError, h11.ProtocolError, asyncio.CancelledError):
            # The client disconnected, or the test ended.
            pass
        finally:
            self.closed += 1
            writer.close()


class ResponseWriter:
    """Write the response to one request, optionally incomplete or invalid."""

    def __init__(self, request, body, reader, writer):
        self.request, self.body = request, body
        self.headers = {n: v.decode() for n, v in request.headers}
        # More header lines for `stream`.
        self.extra = ""
        self.sent_bytes = 0
        self._reader, self._writer = reader, writer

    @property
    def closed(self):
        """Return whether the connection has ended."""
        return self._writer.is_closing()

    @property
    def connection(self):
        """Return an object that is the same for all requests of a connection."""
        return self._writer

    def send(self, data):
        """Write raw bytes."""
        self._writer.write(data)

    def respond(self, status=200, body=b"ok", extra=""):
        """Write a whole response."""
        request_id = self.headers.get(b"x-id", "")
        head = f"HTTP/1.1 {status} X\r\nx-id: {request_id}\r\nx-seal: 1\r\n{extra}"
        self.send(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)

    def stream(self):
        """Write the head of an event stream."""
        request_id = self.headers.get(b"x-id", "")
        head = f"HTTP/1.1 200 OK\r\nx-id: {request_id}\r\nx-seal: 1\r\n{self.extra}"
        kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked"
        self.send(f"{head}{kind}\r\n\r\n".encode())

    def event(self, number, cut=False):
        """Write one event, or the first half of it."""
        data = f"id: {number}\ndata: piece {number}\n\n".encode()
        data = data[: len(data) // 2] if cut else data
        self.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end(self):
        """Write the end of the stream."""
        self.send(b"0\r\n\r\n")

    async def send_forever(self, data):
        """Write bytes until the client closes; count them in `sent_bytes`."""
        while True:
            self._writer.write(data)
            await self._writer.drain()
            self.sent_bytes += len(data)
            await asyncio.sleep(0)

    async def drain(self):
        """Wait until the client has taken most of what was written."""
        await self._writer.drain()
        await asyncio.sleep(0)

    def stream_until_close(self):
        """Write the head of an event stream that ends with its connection."""
        request_id = self.headers.get(b"x-id", "")
        head = f"HTTP/1.1 200 OK\r\nx-id: {request_id}\r\nx-seal: 1\r\n"
        self.send(f"{head}content-type: text/event-stream\r\n\r\n".encode())

    def close(self):
        """End the connection after what was written."""
        self._writer.close()

    def reset(self):
        """Reset the connection."""
        connection = self._writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._writer.transport.abort()

    async def until_closed(self):
        """Wait until the client closes the connection."""
        while await self._reader.read(65536):
            pass


def configuration(version=1, workspaces=(), **changes):
    """Return a configuration with a route of each kind."""
    routes = tuple(
        Route(
            name=name,
            host="h",
            path_prefix=f"/{name}/",
            kind=kind,
            services=(WeightedService("s", 1.0),),
            attempts=2,
            resumable=name == "resume",
            max_gap_s=0.25 if kind is CallKind.STREAM else None,
            **{"timeout_s": 10.0, "target_latency_s": 0.5, **changes},
        )
        for name, kind in (
            ("safe", CallKind.SAFE),
            ("unsafe", CallKind.UNSAFE),
            ("stream", CallKind.STREAM),
            ("resume", CallKind.STREAM),
        )
    )
    return Configuration(
        version=version,
        routes=routes,
        services={"s": Service("s", model_engine=True, tokens_per_event=4)},
        workspaces=tuple(workspaces),
        limits=CallerLimits(),
    )


def workspace(rate=0.0):
    """Return a workspace with the key `k`."""
    return Workspace("w", frozenset({"k"}), rate_per_s=rate, burst=rate)


def quiet_events():
    """Return an event log that writes nothing."""
    logging.getLogger("cicadapass.events").setLevel(logging.CRITICAL)
    return EventLog("n", HybridClock().stamp)


def make_state(**changes):
    """Return the state of a node; call it within the event loop."""
    bounds = RetryLimits(10.0, 20.0)
    node, window_s = changes.get("node", "n"), changes.get("window_s", 8.0)
    return NodeState(
        node,
        "dc-a",
        quiet_events(),
        bounds,
        window_s,
        LimitTolerance(),
        DRAIN_S,
        changes.get("rollout_bounds"),
    )


async def refuse_migration(source, request_id, target, last):
    """Refuse every migration."""
    return RunCopy(CopyOutcome.REFUSED)


def complete_copy(name="copy-1"):
    """Return the result of a call whose copy is complete."""
    return RunCopy(CopyOutcome.COMPLETE, name)


def make_version_knowledge(state, registry):
    """Return what knows the versions in use at a node without peers."""

    async def confirm_view():
        await registry.changes("upstreams", registry.position(0), 0.0)
        state.upstreams.replica.confirm_read(state.clock())

    async def has_ended(address):
        return False

    sources = VersionSources(
        confirm_view, list, lambda: 0.0, has_ended, lambda versions: None
    )
    return VersionKnowledge(state, registry, STREAM_TOPICS, sources, lambda: True)


def make_stream_versions(state, registry, knowledge=None):
    """Return what records streams at a node that appends them itself."""
    knowledge = knowledge or make_version_knowledge(state, registry)
    return StreamVersions(state, registry, STREAM_TOPICS, knowledge, lambda rows: False)


class GatewayHarness:
    """Run a relay and a server in front of scripted upstreams."""

    def __init__(self, migrate_run=refuse_migration, **changes):
        self.state = make_state(**changes)
        self.pool = ClientPool()
        self.usage = UsageCounter(5.0, lambda: 1000.0)
        self.migrator = Migrator(self.state, migrate_run)
        self.registry = changes.get("registry") or MemoryRegistry()
        self.version_knowledge = make_version_knowledge(self.state, self.registry)
        self.stream_versions = make_stream_versions(
            self.state, self.registry, self.version_knowledge
        )
        self.relay = Relay(
            self.state,
            HEADER_CODEC,
            self.pool,
            self.usage,
            self.migrator,
            self.stream_versions,
        )
        self.errors = []
        self.server = HttpServer(
            ServerState(CallerLimits()), self.relay.handle, self.errors.append
        )
        self.upstreams = []
        self._tasks = []

    async def start(self, *scripts, config=None):
        """Start an upstream for each script and listen."""
        for number, script in enumerate(scripts):
            self.upstreams.append(await Upstream(f"u{number}", script).start())
        self.state.adopt(config or configuration(), b"raw")
        self.list_upstreams()
        await self.server.listen(HOST, 0)
        self._tasks.append(asyncio.create_task(self.migrator.watch()))
        dispatch = periodic(self.state.queue.dispatch, 0.02)
        self._tasks.append(asyncio.create_task(dispatch()))
        return self

    def follow_streams(self):
        """Record streams and the versions in use from now on."""
        for follow in (
            self.version_knowledge.follow_record,
            self.stream_versions.append_streams,
        ):
            self._tasks.append(asyncio.create_task(follow()))

    def end(self):
        """End the node without notice, as a kill does; its upstreams go on."""
        for task in self._tasks:
            task.cancel()

    def list_upstreams(self, **changes):
        """Put the upstreams into the node's view of the registry."""
        records = [each.record(**changes) for each in self.upstreams]
        self.state.upstreams.view.replace(records, self.state.clock())
        self.state.upstreams.refresh()
        self.state.upstreams_loaded = True

    async def call(self, path, method="GET", body=b"", **headers):
        """Send a request on a new connection and return the whole reply."""
        caller = await self.connect()
        caller.send(path, method, body, **headers)
        try:
            return await caller.reply()
        finally:
            caller.close()

    async def connect(self):
        """Return a new caller."""
        reader, writer = await asyncio.open_connection(HOST, self.server.port)
        return Caller(reader, writer)


class Reply:
    """Store the response that a caller received."""

    def __init__(self, status, headers, body, complete):
        self.status, self.headers = status, headers
        self.body, self.complete = body, complete


class Caller:
    """Send requests on one connection."""

    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer
        self._parser = h11.Connection(h11.CLIENT)

    def send(self, path, method="GET", body=b"", **headers):
        """Send a request."""
        fields = [("Host", "h"), ("x-id", "r1")]
        fields += [(name.replace("_", "-"), str(v)) for name, v in headers.items()]
        fields.append(("Content-Length", str(len(body))))
        self._parser = h11.Connection(h11.CLIENT)
        request = h11.Request(method=method, target=path, headers=fields)
        data = self._parser.send(request)
        if body:
            data += self._parser.send(h11.Data(data=body))
        self._writer.write(data + self._parser.send(h11.EndOfMessage()))

    def pause_reading(self):
        """Read nothing more, so that the buffers on the way fill up."""
        self._reader._transport.pause_reading()

    async def head(self):
        """Return the head of the reply, or None if the connection ended."""
        event = await self._event()
        return event if isinstance(event, h11.Response) else None

    async def reply(self):
        """Return the reply, as far as it arrived."""
        head = await self.head()
        if head is None:
            return Reply(0, {}, b"", False)
        body = b""
        while isinstance(event := await self._event(), h11.Data):
            body += bytes(event.data)
        complete = isinstance(event, h11.EndOfMessage)
        return Reply(head.status_code, dict(head.headers), body, complete)

    def close(self):
        """Close the connection."""
        self._writer.close()

    async def _event(self):
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                return None
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._reader.read(65536)
            except ConnectionError:
                return None
            self._parser.receive_data(data)


class MemoryRegistry:
    """Store keyed topics in memory and simulate faults."""

    def __init__(self):
        self.logs = {}
        self.down = False
        # Number of next appends that take effect although their response is lost.
        self.lose_answers = 0
        self.first_offsets = {}
        # Largest number of records that a read returns; None for all.
        self.max_records = None
        self.era = RegistryEra()
        # Rises at each return from a copy; 0 for a registry that names no era.
        self.era_number = 0

    def copy(self):
        """Return a copy of all logs."""
        return {topic: list(log) for topic, log in self.logs.items()}

    def return_from(self, copy):
        """Lose what was written since a copy; the offsets go back with it."""
        self.logs = {topic: list(log) for topic, log in copy.items()}
        self.era_number += 1

    def put(self, topic, key, value):
        """Append a record without conditions, even during an outage."""
        self.logs.setdefault(topic, []).append((key, value))

    async def newest(self, topic):
        """Return the newest record of each key."""
        await self._check()
        log = self.logs.get(topic, [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(log)}
        documents = tuple(
            Document(key, value, self.position(offset))
            for key, (offset, value) in newest.items()
            if value
        )
        return Listing(documents, self.position(len(log)))

    async def changes(self, topic, start, wait_s):
        """Return the records from an offset on."""
        await self._check()
        position, start, era = start, offset_of(start), self.era_number
        first, end = self.first_offsets.get(topic, 0), len(self.logs.get(topic, []))
        if era_of(position) != era or not first <= start <= end:
            raise HistoryExpired("gone")
        for _ in range(max(1, int(wait_s / 0.01))):
            if self.era_number != era:
                raise PlatformUnavailable("the registry went away")
            log = self.logs.get(topic, [])
            if len(log) > start or not wait_s:
                break
            await asyncio.sleep(0.01)
        records = list(enumerate(log[start:], start))[: self.max_records]
        documents = tuple(
            Document(key, value, self.position(offset))
            for offset, (key, value) in records
        )
        end = self.position(start + len(documents))
        return Changes(documents, end, complete=end >= self.position(len(log)))

    async def tail(self, topic, count):
        """Return the last records."""
        end = len(self.logs.get(topic, []))
        start = max(self.first_offsets.get(topic, 0), end - count)
        return await self.changes(topic, self.position(start), 0.0)

    async def append(self, topic, key, value, expected_end):
        """Append a record if the log ends at `expected_end`."""
        await self._check()
        log = self.logs.setdefault(topic, [])
        if expected_end not in (None, self.position(len(log))):
            raise OffsetConflict("another writer was first")
        log.append((key, value))
        if self.lose_answers:
            self.lose_answers -= 1
            raise PlatformUnavailable("the response was lost")
        return self.position(len(log))

    def position(self, offset):
        """Return the position of an offset in the present era."""
        return make_position(self.era_number, offset)

    async def _check(self):
        await asyncio.sleep(0)
        self.era.raise_to(self.era_number, "registry")
        if self.down:
            raise PlatformUnavailable("the registry is down")
