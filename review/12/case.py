"""Kill a node after an engine of another version has left and a time-out was lowered."""

import asyncio
import collections
import itertools
import os
import pathlib
import random
import re
import signal
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

from deployment import (  # noqa: E402
    RESTART_S,
    CannotRun,
    Channel,
    Store,
    StreamEngine,
    manifest,
    play,
    route,
    start_nodes,
)

NODES, ENGINES = 3, 6
LIMIT_MS = 15_000
LOWERED_MS = 3000
EVENT_S = 0.18
# The long streams last for 11.5 s; a pause on the sheet may take 0.5 s.
LONG, SHORT = 64, 12
STREAMS_PER_S = 30
# A requester returns within this time, so that not all come at the same moment.
RETURNS_WITHIN_S = 0.3
# Moments: the new engine joins, it leaves, the manifest changes, a node is killed.
JOINS_S, LEAVES_S, LOWERED_S = 3.0, 6.0, 6.5
KILLED_S = 15.1
END_S = 20.0
LOWERS = os.environ.get("MANIFEST", "1") != "0"
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) \d+\n\n")


class Requester:
    """Send one stream, and take it up once at another node if it breaks off."""

    def __init__(self, number, nodes, total, record):
        self.number, self.total = number, total
        self._nodes, self._record = nodes, record
        # Pairs of the number of an event and the version that wrote it.
        self.events = []
        self.takes_up = None

    @property
    def versions(self):
        return list(dict.fromkeys(version for _, version in self.events))

    async def run(self):
        began_s = self._record.now()
        name = f"r{self.number}"
        if await self._try(self._nodes[0], name, LIMIT_MS, ""):
            return
        left_ms = LIMIT_MS - int(1000 * (self._record.now() - began_s))
        left_ms -= int(1000 * RETURNS_WITHIN_S)
        if not self.events or left_ms <= 0:
            return
        await asyncio.sleep(RETURNS_WITHIN_S * random.Random(self.number).random())
        self.takes_up = f"{name}a"
        fields = f"Last-Event-Id: {self.events[-1][0]}\r\nResumes: {name}\r\n"
        await self._try(self._nodes[1], self.takes_up, left_ms, fields)

    async def _try(self, node, name, limit_ms, fields):
        """Return whether the answer was whole."""
        try:
            channel = await Channel.open(node.host, node.front)
        except OSError as error:
            self._record.line(f"{name}: {error!r}")
            return False
        body = str(self.total).encode()
        channel.writer.write(
            f"POST /draft/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {name}\r\n"
            f"Request-Deadline: {limit_ms}\r\nModel: m\r\nToken-Usage: 6610,480\r\n"
            f"Prefix-Hash: a{self.number % 40:x}:5382,b{self.number:x}:1228\r\n{fields}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        self._record.line(f"{name} sent to {node.name} {fields!r}")
        before, status, ended = len(self.events), None, False
        data = b""
        try:
            async with asyncio.timeout(limit_ms / 1000 + 1):
                while piece := await channel.read():
                    data += piece
                    status = status or int(data.split(b" ", 2)[1])
                    ended = data.endswith(b"\r\n0\r\n\r\n")
                    self.events[before:] = [
                        (int(number), version.decode())
                        for number, _, version in EVENT.findall(data)
                    ]
                    if ended or (status != 200 and b"\r\n\r\n" in data):
                        break
        except (TimeoutError, ConnectionError):
            pass
        channel.close()
        added = self.events[before:]
        versions = sorted({version for _, version in added})
        end = "whole" if ended else "not whole"
        self._record.line(
            f"{name} answered {status}, {len(added)} events of {versions}, {end}"
        )
        return ended


async def send_streams(nodes, record, requesters, began_s):
    rng = random.Random(13)
    tasks = set()
    for number in itertools.count(1):
        first = rng.randrange(len(nodes))
        order = nodes[first:] + nodes[:first]
        is_early = record.now() - began_s < LEAVES_S
        requester = Requester(number, order, LONG if is_early else SHORT, record)
        requesters.append(requester)
        task = asyncio.create_task(requester.run())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.uniform(0.5, 1.5) / STREAMS_PER_S)


def draft_manifest(version, timeout_ms):
    routes = [
        route("draft", "streaming", "parts-model", timeout_ms, streamResume=True)
        | {"attempts": 2, "targetLatencyMs": 1000, "gapAimMs": 250}
    ]
    model = {"kvCapacity": 764294, "stride": 4}
    services = [{"name": "parts-model", "maxConns": 360, "engine": model}]
    return manifest(version, routes, services)


async def case(record, trouble):
    store = Store(record)
    await store.start()
    for number in range(ENGINES):
        zone = f"dc-{'abc'[number % 3]}"
        engine = StreamEngine(f"i-{number}", "parts-model", store, "v1", EVENT_S, zone)
        await engine.start()
    store.put("keyed.op", "config", draft_manifest(1, LIMIT_MS))
    requesters = []
    with tempfile.TemporaryDirectory() as folder:
        nodes = await start_nodes(NODES, store, pathlib.Path(folder))
        try:
            await asyncio.gather(*(each.wait_until_ready() for each in nodes))
            began_s = record.now()

            async def until(moment_s):
                await asyncio.sleep(max(0.0, began_s + moment_s - record.now()))

            sending = asyncio.create_task(
                send_streams(nodes, record, requesters, began_s)
            )
            await until(JOINS_S)
            newer = StreamEngine("i-9", "parts-model", store, "v1.1", EVENT_S)
            await newer.start()
            await until(LEAVES_S)
            newer.withdraw()
            await until(LOWERED_S)
            if LOWERS:
                store.put("keyed.op", "config", draft_manifest(2, LOWERED_MS))
                record.line(f"manifest 2: timeoutMs {LOWERED_MS}")
            await until(KILLED_S)
            if trouble:
                nodes[0].signal(signal.SIGKILL)
                await nodes[0].process.wait()
                await asyncio.sleep(RESTART_S)
                await nodes[0].start()
            await until(END_S)
            sending.cancel()
        finally:
            await asyncio.gather(*(each.close() for each in nodes))
            if keep := os.environ.get("KEEP"):
                for each in pathlib.Path(folder).glob("*.log"):
                    pathlib.Path(keep, each.name).write_bytes(each.read_bytes())
    newer_ones = [each for each in requesters if "v1.1" in each.versions]
    taken_up = [each for each in newer_ones if each.takes_up]
    joined = [each for each in requesters if len(each.versions) > 1]
    counts = collections.Counter(tuple(each.versions) for each in requesters)
    record.line(f"versions of the streams: {dict(counts)}")
    summary = (
        f"{len(requesters)} streams, {len(newer_ones)} began at v1.1, {len(taken_up)} of"
        f" these were taken up; {len(joined)} hold events of two versions"
    )
    record.line(summary)
    print(summary)
    if len(newer_ones) < 3:
        raise CannotRun("fewer than three streams began at v1.1")
    return len(joined) > 2


play(case, FOLDER)
