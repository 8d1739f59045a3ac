"""Callers, stand-in upstreams and fake members around one measured node."""

import asyncio
import contextlib
import itertools
import random
import time
from dataclasses import dataclass, field
from typing import Any, cast

import cbor2

from cicadapass_platform import sampletraffic

HOST = "127.0.0.1"
ENGINES = 60
PLAIN_UPSTREAMS = 12
# Time from a request to the response of an upstream.
ANSWER_S = 0.002
# Time between two events of a stream.
EVENT_S = 0.004
INTERVAL_S = 0.2
# Workspaces with requests at each member, and the length of the windows of its counts.
WORKSPACES = 16
USAGE_WINDOW_S = 5.0
RECIPIENTS = 10
# Engines at which each member reports requests in progress: 83 nodes with 58.7 streams
# of some 10 s and 274 of some 0.3 s a second. One of them reads its prompt.
REPORTED_ENGINES = 8
# Rounds until a member's load changes: a long stream lasts for some 10 s.
ROUNDS_PER_LOAD = 6
# Time for a whole answer; longer ones end the measurement.
ANSWER_TIMEOUT_S = 30.0


class Upstream(asyncio.Protocol):
    """Answer each request of a connection; streams write events at a steady rate."""

    def __init__(self, traffic: "Traffic") -> None:
        self._traffic = traffic
        self._received = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._traffic.connections += 1

    def data_received(self, data: bytes) -> None:
        """Answer a request once its body is complete."""
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line[15:])
        if not separator or len(body) < length:
            return
        self._received = b""
        request_id = sampletraffic.request_id(head)
        loop = asyncio.get_running_loop()
        if head.startswith((b"POST /short/", b"POST /long/")):
            head_bytes = sampletraffic.stream_head(request_id)
            loop.call_later(ANSWER_S, self._write_event, 1, head_bytes)
        else:
            answer = sampletraffic.response_bytes(request_id, b"x" * 200)
            loop.call_later(ANSWER_S, self._write, answer)

    def _write_event(self, number: int, before: bytes) -> None:
        if number > self._traffic.events:
            self._write(before + sampletraffic.STREAM_END)
            return
        self._write(before + sampletraffic.stream_event(number))
        loop = asyncio.get_running_loop()
        loop.call_later(EVENT_S, self._write_event, number + 1, b"")

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)


class Members(asyncio.DatagramProtocol):
    """Send the states of fake members, which are changed copies of the node's own."""

    def __init__(self, port: int, engines: list[str]) -> None:
        self.count = 0
        self.template: dict[str, Any] | None = None
        self._port = port
        self._engines = engines
        self._rng = random.Random(1)
        self._sent = itertools.count()
        self._transport: asyncio.DatagramTransport | None = None
        self._loads = [self._load() for _ in range(64)]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take the node's first state as the template."""
        if self.template is None:
            message = cbor2.loads(data)
            if isinstance(message, dict):
                self.template = message

    async def run(self) -> None:
        """Send the states that one node gets from all members, until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            for _ in range(min(self.count, RECIPIENTS)):
                self.send()

    def send(self) -> None:
        """Send the state of the next member."""
        if self.template is None or self._transport is None:
            return
        number = next(self._sent)
        member = number % self.count
        state = dict(self.template)
        state["node"] = self._address(member)
        state["interval"] = number // RECIPIENTS
        state["wall"] = time.time()
        state["up"] = 100.0 + number
        load = member + number // (self.count * ROUNDS_PER_LOAD)
        state["upstreams"] = self._loads[load % len(self._loads)]
        state["limits"] = {
            f"w{each}": [number * 50, 900, 7200, 2000] for each in range(WORKSPACES)
        }
        state["usage"] = self._usage(number // self.count)
        state["demand"] = {"model": 20_000}
        state["members"] = [
            self._address((member + each) % self.count) for each in (1, 2)
        ]
        address = (HOST, self._port)
        self._transport.sendto(cbor2.dumps(state), address)

    def _usage(self, turn: int) -> dict[int, dict[str, int]]:
        """Return the counts of three windows, of which the last one still grows."""
        window = int(time.time() // USAGE_WINDOW_S)
        ended = {f"w{each}": 2 for each in range(WORKSPACES)}
        current = {f"w{each}": 1 for each in range(turn % WORKSPACES + 1)}
        return {window - 2: ended, window - 1: ended, window: current}

    def _address(self, member: int) -> list[Any]:
        assert self._transport is not None
        port = self._transport.get_extra_info("sockname")[1]
        return [f"m{member}", HOST, port, 1, f"dc-{member % 3}"]

    def _load(self) -> dict[str, list[int]]:
        chosen = self._rng.sample(self._engines, REPORTED_ENGINES)
        reading = {chosen[0]: [1, self._rng.randrange(2000)]}
        return {each: [1, 0] for each in chosen} | reading


@dataclass(slots=True)
class Traffic:
    """Hold the stand-ins around one node."""

    callers_port: int
    members: Members
    upstream_rows: list[list[Any]]
    # Connections that the node opened to upstreams.
    connections: int = 0
    # Events of each stream.
    events: int = 4
    _ids: itertools.count = field(default_factory=itertools.count)
    _closing: contextlib.AsyncExitStack = field(
        default_factory=contextlib.AsyncExitStack
    )

    @property
    def members_port(self) -> int:
        """Return the port of all fake members."""
        assert self.members._transport is not None
        return int(self.members._transport.get_extra_info("sockname")[1])

    async def call(self, path: str, tokens: int, body_bytes: int, count: int) -> None:
        """Send requests one after another on one connection; check the answers."""
        reader, writer = await asyncio.open_connection(HOST, self.callers_port)
        body = b"x" * body_bytes
        try:
            for _ in range(count):
                number = next(self._ids)
                key = f"k{number % 16}"
                writer.write(
                    sampletraffic.request_bytes(
                        f"r{number}", "h", f"/{path}/call", key, tokens, body
                    )
                )
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    await _read_answer(reader)
        finally:
            writer.close()

    async def close(self) -> None:
        """Close all listeners."""
        await self._closing.aclose()


async def start(callers_port: int, peers_port: int) -> Traffic:
    """Listen as all upstreams and as the members."""
    loop = asyncio.get_running_loop()
    names = [f"e{number}" for number in range(ENGINES)]
    members = Members(peers_port, names)
    traffic = Traffic(callers_port, members, [])
    plain = [f"p{number}" for number in range(PLAIN_UPSTREAMS)]
    for number, name in enumerate([*names, *plain]):
        server = await loop.create_server(lambda: Upstream(traffic), HOST, 0)
        traffic._closing.callback(server.close)
        service, slots = ("model", 128) if name in names else ("plain", 64)
        port = server.sockets[0].getsockname()[1]
        traffic.upstream_rows.append([name, service, port, f"dc-{number % 3}", slots])
    transport, _ = await loop.create_datagram_endpoint(
        lambda: members, local_addr=(HOST, 0)
    )
    traffic._closing.callback(transport.close)
    sending = asyncio.create_task(members.run())
    traffic._closing.callback(sending.cancel)
    return traffic


async def _read_answer(reader: asyncio.StreamReader) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(f"the node answered {head[:80]!r}")
    fields = dict(
        line.lower().split(b":", 1) for line in head.split(b"\r\n")[1:] if line
    )
    if b"content-length" in fields:
        await reader.readexactly(int(fields[b"content-length"]))
        return
    while (size := int(await reader.readline(), 16)) > 0:
        await reader.readexactly(size + 2)
    await reader.readline()
