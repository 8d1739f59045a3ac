"""A small deployment on loopback addresses: gateway nodes, store, engines, clients.

Only the standard library is used. The stand-ins follow the users' pages; where a page
is silent they behave like sound ones.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
STORE_HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
# The heartbeat of engines and the length of the usage windows, as on the site sheets.
HEARTBEAT_S = 1.2
RESTART_S = 0.5
GRACE_S = 8.0


# The code with which a case ends if the rule was broken; `run.sh` makes it 1. Python itself
# ends with 1 after an error, which must not count as a broken rule.
BROKEN_CODE = 10


class CannotRun(Exception):
    """Report that a case could not be played."""


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now(self):
        return time.monotonic() - self._began_s

    def line(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def free_ports(hosts, count):
    """Return ports that are free for TCP and UDP on all of these addresses."""
    found = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as other:
                        other.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


async def read_message(reader):
    """Return the first line, the headers and the body of a message, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (each.partition(":") for each in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                body += data[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return first, headers, body


def message(status, headers, body=b""):
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store and its cloud API, on one address each."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.port = self.cloud_port = 0
        # Calls of the duties: time, sender's address, path, generation, body.
        self.calls = []
        # Times at which records were appended, with topic and key.
        self.appends = []
        self._changed = asyncio.Event()

    async def start(self):
        store = await asyncio.start_server(self._serve, STORE_HOST, 0)
        cloud = await asyncio.start_server(self._serve_cloud, STORE_HOST, 0)
        self.port = store.sockets[0].getsockname()[1]
        self.cloud_port = cloud.sockets[0].getsockname()[1]

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.appends.append((self.record.now(), topic, key))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        while (received := await read_message(reader)) is not None:
            first, _, body = received
            method, target, _ = first.split(" ")
            url = urlsplit(target)
            query = {key: each[0] for key, each in parse_qs(url.query).items()}
            await asyncio.sleep(0.004)
            status, answer = await self._answer(url.path, query, body)
            writer.write(message(status, [], answer))
        writer.close()

    async def _answer(self, path, query, body):
        topic = query.get("topic", "")
        log = self.topics.setdefault(topic, [])
        if path == "/api/log-newest":
            newest = {key: (offset, value) for offset, (key, value) in enumerate(log)}
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                for k, (o, v) in newest.items()
                if v
            ]
            answer = {"items": items, "morePages": False, "end": len(log)}
            return 200, json.dumps(answer).encode()
        if path == "/api/log-read":
            start = int(query["from"])
            end_s = self.record.now() + int(query.get("waitMs", 0)) / 1000
            while len(log) <= start and self.record.now() < end_s:
                try:
                    async with asyncio.timeout(end_s - self.record.now()):
                        await self._changed.wait()
                except TimeoutError:
                    break
            if start > len(log):
                return 410, b'{"first":0}'
            data = struct.pack(">QQ", len(log), 0)
            for key, value in log[start:]:
                raw = bytes([len(key)]) + key.encode() + value
                data += struct.pack(">I", len(raw)) + raw
            return 200, data
        if path == "/api/log-append":
            if "at" in query and int(query["at"]) != len(log):
                return 412, json.dumps({"end": len(log)}).encode()
            offset, position = len(log), 0
            while position < len(body):
                (length,) = struct.unpack_from(">I", body, position)
                raw = body[position + 4 : position + 4 + length]
                position += 4 + length
                self.put(topic, raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :])
            return 200, json.dumps({"offset": offset, "end": len(log)}).encode()
        return 404, b"{}"

    async def _serve_cloud(self, reader, writer):
        while (received := await read_message(reader)) is not None:
            first, headers, body = received
            call = (
                self.record.now(),
                headers.get("duty-holder", ""),
                first.split(" ")[1],
                int(headers.get("fencing-token", "0")),
                body.decode(),
            )
            self.calls.append(call)
            self.record.line(
                f"cloud call of {call[1]}, number {call[3]}, {call[2]} {call[4]}"
            )
            writer.write(message(200, [], b"{}"))
        writer.close()


class Engine:
    """A sound engine of a plain service."""

    def __init__(self, name, service, store, work_s=0.02, zone="dc-a"):
        self.name, self.service, self.store = name, service, store
        self.work_s, self.zone = work_s, zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        # Ids of the requests that it ran.
        self.ran = []

    async def start(self):
        server = await asyncio.start_server(self._serve, STORE_HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        self._heartbeats = asyncio.create_task(self._write_entries())

    async def _write_entries(self):
        while True:
            self.sequence += 1
            entry = {
                "service": self.service,
                "address": f"{STORE_HOST}:{self.port}",
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        while (received := await read_message(reader)) is not None:
            _, headers, _ = received
            request_id = headers.get("request-id", "")
            if headers.get("expect-instance", self.name) != self.name:
                fields = [("Request-Id", request_id), ("Not-Executed", "1")]
                writer.write(message(421, fields))
                continue
            self.ran.append(request_id)
            self.store.record.line(f"engine {self.name} runs {request_id}")
            await asyncio.sleep(self.work_s)
            fields = [("Request-Id", request_id), ("Server-Seal", self.name)]
            writer.write(message(200, fields, b"a" * 800))
        writer.close()


class StreamEngine:
    """A sound model engine that writes streams of events.

    It may end and start again under its id and at its address, as another version.
    """

    def __init__(self, name, service, store, version, event_s, zone="dc-a"):
        self.name, self.service, self.store = name, service, store
        self.version, self.event_s, self.zone = version, event_s, zone
        self.port = 0
        self.sequence = self.born = 0
        # Whether the engine is partitioned from the store, and when it last wrote there.
        self.is_cut = False
        self._written_s = 0.0
        self._server = self._heartbeats = None
        self._writers = set()
        self._expiry = asyncio.create_task(self._expire_entry())

    async def start(self):
        self._server = await asyncio.start_server(self._serve, STORE_HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.born, self.sequence = int(time.time() * 1000), 0
        self._heartbeats = asyncio.create_task(self._write_entries())
        self.store.record.line(f"engine {self.name} starts as {self.version}")

    def crash(self):
        """End at once; all channels are reset."""
        self._server.close()
        self._heartbeats.cancel()
        for writer in list(self._writers):
            reset(writer)
        self.store.record.line(f"engine {self.name} ends")

    def withdraw(self):
        """Remove the entry, and go on with the streams in progress."""
        self._heartbeats.cancel()
        self._expiry.cancel()
        self.store.put("keyed.servers", self.name, b"")
        self.store.record.line(f"the entry of {self.name} is removed")

    async def _write_entries(self):
        while True:
            self.sequence += 1
            entry = {
                "service": self.service,
                "address": f"{STORE_HOST}:{self.port}",
                "zone": self.zone,
                "version": self.version,
                "slots": 64,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            while self.is_cut:
                await asyncio.sleep(0.01)
            self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            self._written_s = self.store.record.now()
            await asyncio.sleep(HEARTBEAT_S)

    async def _expire_entry(self):
        """Remove the entry after three intervals of silence, as the store does."""
        while True:
            await asyncio.sleep(0.05)
            silent_s = self.store.record.now() - self._written_s
            if self._written_s and silent_s > 3 * HEARTBEAT_S:
                self._written_s = 0.0
                self.store.put("keyed.servers", self.name, b"")
                self.store.record.line(f"the entry of {self.name} expires")

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (received := await read_message(reader)) is not None:
                first, headers, body = received
                target = first.split(" ")[1]
                if target == "/api/report":
                    fields = {"born": self.born, "running": 0, "queued": 0}
                    writer.write(message(200, [], json.dumps(fields).encode()))
                    continue
                if target.startswith("/api/"):
                    writer.write(message(404, [], b"{}"))
                    continue
                await self._stream(headers, int(body), writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _stream(self, headers, total, writer):
        request_id = headers.get("request-id", "")
        fields = f"Request-Id: {request_id}\r\nServer-Seal: {self.name}\r\n"
        if headers.get("expect-instance", self.name) != self.name:
            reply = message(421, [("Request-Id", request_id), ("Not-Executed", "1")])
            writer.write(reply)
            return
        first = 1 + int(headers.get("last-event-id", "0"))
        version = self.version
        self.store.record.line(
            f"engine {self.name} ({version}) runs {request_id} from event {first}"
        )
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nWeight-Versions: 1\r\n"
            + fields.encode()
            + b"\r\n"
        )
        for number in range(first, total + 1):
            await asyncio.sleep(self.event_s)
            if writer.is_closing():
                return
            event = f"id: {number}\ndata: {request_id} {version} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def reset(writer):
    """Reset a connection; without the option, it is merely closed."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        option = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    writer.transport.abort()


class Node:
    """One gateway node, started by the command of the deploy file."""

    def __init__(self, number, ports, store, folder, hosts, duties):
        self.name = f"front-dc-{'abc'[number % 3]}-{number}"
        self.host = hosts[number]
        self.front, self.ready, self.internal, self.metrics = ports
        self.folder, self.record = folder, store.record
        self.process = None
        self._settings = folder / f"{self.name}.conf"
        zone = f"dc-{'abc'[number % 3]}"
        seeds = ",".join(f"{each}:{self.internal}" for each in hosts[:3])
        self._settings.write_text(
            f"nodeName={self.name}\nrole=gateway\nmachineClass=front\n"
            f"ip={self.host}\nzone={zone}\nregion=r\n"
            f"listen.front={self.host}:{self.front}\n"
            f"listen.ready={self.host}:{self.ready}\n"
            f"internalPortRange={self.internal},{self.internal + 15}\n"
            f"seeds={seeds}\nbootstrap=true\nlimits.memoryMb=300\nlimits.maxFds=1000\n"
            f"heartbeatMs=1200\nbounds.contactMs=3000\nbounds.drainMs=2000\n"
            f"bounds.graceS={GRACE_S:.0f}\nbounds.leaseMs=3000\n"
            "bounds.usageWindowS=5\nbounds.configApplyMs=2000\n"
            f"platform.address={STORE_HOST}:{store.port}\nplatform.form=log\n"
            f"cloudApi.address={STORE_HOST}:{store.cloud_port}\n"
            f"cloudApi.duties={duties}\ncloudApi.dutyPerS=50.0\n"
        )

    async def start(self):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            run = tomllib.load(file)["roles"]["gateway"]["run"].split()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(DEPS),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CICADAPASS_BOOT": str(self._settings),
            "CICADAPASS_METRICS_PORT": str(self.metrics),
        }
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.line(f"{self.name} started, process {self.process.pid}")

    def signal(self, signum):
        if self.process is not None and self.process.returncode is None:
            self.record.line(f"{signal.Signals(signum).name} to {self.name}")
            self.process.send_signal(signum)

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                received = await read_message(reader)
                writer.close()
                return received is not None and " 200 " in received[0]
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self):
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await self.is_ready():
                    if self.process.returncode is not None:
                        raise CannotRun(f"{self.name} ended")
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            raise CannotRun(f"{self.name} is not ready") from error
        self.record.line(f"{self.name} is ready")

    async def close(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Channel:
    """A client's channel to a node."""

    def __init__(self, reader, writer):
        self._reader, self.writer = reader, writer

    @classmethod
    async def open(cls, host, port):
        return cls(*await asyncio.open_connection(host, port))

    def send(self, method, target, request_id, limit_ms, body=b""):
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: shop.example\r\n"
            f"Request-Id: {request_id}\r\nRequest-Deadline: {limit_ms}\r\n"
        )
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + body)

    async def receive(self):
        """Return the status, headers and body of an answer, or None at the end."""
        received = await read_message(self._reader)
        if received is None:
            return None
        first, headers, body = received
        return int(first.split(" ")[1]), headers, body

    async def read(self):
        """Return the next bytes, or none at the end."""
        return await self._reader.read(65_536)

    def close(self):
        self.writer.transport.abort()


def manifest(version, routes, services, **more):
    """Return a manifest of the operator."""
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            **more,
        }
    ).encode()


def route(name, kind, service, timeout_ms, **more):
    """Return a route of a manifest."""
    return {
        "name": name,
        "host": "shop.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 125,
        "attempts": 2 if kind == "safe" else 1,
        "priority": 1,
        **more,
    }


async def start_nodes(count, store, folder, duties="usage_report"):
    """Start nodes at addresses of their own, with the same ports, until all are ready."""
    if not (DEPS / "cicadapass_platform").is_dir():
        raise CannotRun("target/deps is missing: build the deploy file first")
    hosts = [f"127.0.0.{number + 2}" for number in range(count)]
    ports = free_ports(hosts, 4)
    nodes = [Node(n, ports, store, folder, hosts, duties) for n in range(count)]
    try:
        await asyncio.gather(*(each.start() for each in nodes))
    except OSError:
        await asyncio.gather(*(each.close() for each in nodes))
        raise
    return nodes


def play(case, folder):
    """Run a case and exit: BROKEN_CODE if the rule was broken, 0 if it held, or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")

    async def bounded():
        # What a stand-in still waits for when the case ends is no error of the case.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(110):
            return await case(record, trouble)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:
        record.line(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    text = "the rule was broken" if broken else "the rule held"
    record.line(text)
    with contextlib.suppress(BrokenPipeError):
        print(text, flush=True)
    sys.exit(BROKEN_CODE if broken else 0)
