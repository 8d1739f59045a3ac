"""Let engines leave during the planned restart of a node with streams in progress."""

import asyncio
import itertools
import os
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from deployment import HOST, Deployment, Record  # noqa: E402
from engine import Engine  # noqa: E402
from httpd import Server, read_chunks, read_head, response  # noqa: E402
from store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 11
# No round begins later than this, so that the script ends within 120 s.
LAST_ROUND_S = 98.0
CALLERS = 180
STEP_S = 0.04
GRACE_S = 8.0
# An engine that is replaced serves for this long after it said that it leaves: `drainMs`
# and a little longer.
SERVES_ON_S = 3.0
# The platform opens no new channels to a node that missed two questions.
IN_ROTATION_S = 2.0
MODEL, KEY = "parts-model", "3d3zji9n73hh2b9wu3fe"
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "repair-match",
            "host": "ficu95.example",
            "pathPrefix": "/repair/",
            "kind": "streaming",
            "service": MODEL,
            "timeoutMs": 15000,
            "targetLatencyMs": 1000,
            "gapAimMs": 250,
            "attempts": 1,
            "priority": 1,
            "sessionAffinity": True,
        }
    ],
    "services": [{"name": MODEL, "maxConns": 360, "engine": {"stride": 4}}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "huka270", "apiKeys": [KEY]}],
}


class Answer:
    """Store what a requester got."""

    def __init__(self, request_id, node, total, sent_s):
        self.request_id = request_id
        self.node = node
        self.total = total
        self.sent_s = sent_s
        self.ended_s = None
        self.status = None
        self.events = 0
        self.complete = False


class Requesters:
    """Send streams to one node, on channels that are kept."""

    def __init__(self, node, record, rng):
        self._node = node
        self._record = record
        self._rng = rng
        self._numbers = itertools.count(1)
        self._tasks = []
        self.answers = []
        # Whether the platform opens new channels to the node.
        self.in_rotation = True

    def start(self, count):
        self._tasks = [asyncio.create_task(self._run()) for _ in range(count)]

    def stop(self):
        for task in self._tasks:
            task.cancel()

    async def _run(self):
        channel = None
        while True:
            await asyncio.sleep(0.5 * self._rng.random())
            try:
                if channel is None and not self.in_rotation:
                    continue
                if channel is None:
                    channel = await asyncio.open_connection(
                        self._node.host, self._node.front
                    )
                if not await self._request(*channel):
                    channel[1].close()
                    channel = None
            except (OSError, asyncio.IncompleteReadError):
                channel = None
                await asyncio.sleep(0.2)

    async def _request(self, reader, writer):
        """Send one request; return whether the channel can be used again."""
        number = next(self._numbers)
        request_id, total = f"{number:016x}", self._rng.randint(5, 70)
        answer = Answer(request_id, self._node.name, total, time.monotonic())
        # The estimate of the length is exact at the median, and often far off.
        hint = max(4, round(4 * total * self._rng.choice((0.4, 0.7, 1.0, 1.6, 3.0))))
        body = str(total).encode()
        head = (
            "POST /repair/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
            f"Request-Id: {request_id}\r\nModel: m\r\nToken-Usage: 1460,480\r\n"
            f"Prefix-Hash: 5c1e07a2:800,{number:x}:660\r\nLength-Hint: {hint}\r\n"
            f"Request-Deadline: 15000\r\nAuthorization: Token {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.answers.append(answer)
        writer.write(head.encode() + body)
        self._record.write(f"{request_id} sent to {self._node.name}")
        try:
            return await self._read(reader, answer)
        finally:
            answer.ended_s = time.monotonic()
            end = "to its end" if answer.complete else "without an end"
            self._record.write(
                f"{request_id} answered {answer.status}, {answer.events} events, {end}"
            )

    async def _read(self, reader, answer):
        head = await read_head(reader)
        if head is None:
            return False
        line, headers = head
        answer.status = int(line.split(" ")[1])
        if answer.status != 200:
            answer.complete = True
            await reader.readexactly(int(headers.get("content-length", "0")))
            return headers.get("connection") != "close"
        try:
            async for data in read_chunks(reader):
                answer.events += data.count(b"\n\n")
            answer.complete = True
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return False
        return headers.get("connection") != "close"


async def run_round(world):
    """Stop the node in a planned restart; an engine leaves at the same time."""
    node, record = world["node"], world["record"]
    await asyncio.sleep(2.5)
    if not TROUBLE:
        await asyncio.sleep(4)
        return
    engine = world["engines"].pop(0)
    world["engines"].append(await add_engine(world))
    began_s = time.monotonic()
    record.write(f"{node.name} gets SIGTERM; {engine.name} leaves")
    node.signal(signal.SIGTERM)
    requesters = world["requesters"]
    asyncio.get_running_loop().call_later(
        IN_ROTATION_S, setattr, requesters, "in_rotation", False
    )
    engine.leaving = True
    await world["store"].put("keyed.servers", engine.name, engine.entry(MODEL))
    stopping = asyncio.create_task(end_engine(engine, world))
    try:
        async with asyncio.timeout(GRACE_S):
            await node.wait()
    except TimeoutError:
        record.write(f"{node.name} is killed at the end of the grace")
        await node.kill()
    record.write(f"{node.name} ended with {node.returncode}")
    world["stops"].append((began_s, began_s + GRACE_S + 1.0))
    await stopping
    await node.start()
    await node.wait_until_ready()
    requesters.in_rotation = True


async def end_engine(engine, world):
    await asyncio.sleep(SERVES_ON_S)
    engine.stop()
    await world["store"].put("keyed.servers", engine.name, None)


async def add_engine(world):
    name = f"i-7f3a91{next(world['names']):02x}"
    zone = ("eu-west-a", "eu-west-b", "eu-west-c")[len(world["names_used"]) % 3]
    world["names_used"].append(name)
    engine = Engine(name, zone, STEP_S, world["record"].write)
    await engine.start(HOST, world["fleet"])
    await world["store"].put("keyed.servers", name, engine.entry(MODEL))
    return engine


async def send_entries(world):
    while True:
        await asyncio.sleep(1.2)
        for engine in world["engines"]:
            await world["store"].put("keyed.servers", engine.name, engine.entry(MODEL))


def find_lost(answers, stops, whole):
    """Return the whole streams that were cut around a planned stop of their node."""
    lost = []
    for answer in answers:
        if answer.complete or answer.request_id not in whole:
            continue
        for start_s, end_s in stops:
            # What is at work in the last sixth of the grace may be cut.
            late_s = start_s + GRACE_S * 5 / 6
            if start_s <= answer.ended_s <= min(end_s, late_s):
                lost.append(answer)
    return lost


async def main():
    record, store, cloud = Record(HERE / "record.txt"), Store(), Server(None)
    whole = set()
    write = record.write

    def write_and_note(text):
        write(text)
        if " whole, " in text:
            whole.add(text.split(" ")[2])

    record.write = write_and_note

    async def accept(request, writer):
        return response(200, b"{}")

    cloud._handle = accept
    store_port, cloud_port = await store.start(HOST), await cloud.start(HOST)
    await store.put("keyed.op", "config", CONFIG)
    world = {"record": record, "store": store, "fleet": {}, "names_used": []}
    world |= {"names": itertools.count(1), "engines": [], "stops": []}
    for _ in range(3):
        world["engines"].append(await add_engine(world))
    entries = asyncio.create_task(send_entries(world))
    deployment = Deployment(2, store_port, cloud_port)
    world["node"] = deployment.nodes[0]
    rng = random.Random(6)
    requesters = Requesters(deployment.nodes[0], record, rng)
    world["requesters"] = requesters
    try:
        await deployment.start()
        requesters.start(CALLERS)
        for _ in range(ROUNDS):
            if time.monotonic() - record.started_s < LAST_ROUND_S:
                await run_round(world)
        requesters.stop()
    finally:
        entries.cancel()
        await deployment.stop()
    if not any(each.complete for each in requesters.answers):
        raise RuntimeError("no request was served")
    lost = find_lost(requesters.answers, world["stops"], whole)
    for answer in lost:
        record.write(
            f"LOST {answer.request_id}: its engine wrote all {answer.total} events, the"
            f" requester got {answer.events} and no end,"
            f" {answer.ended_s - answer.sent_s:.3f} s after it was sent"
        )
    cut = sum(1 for each in requesters.answers if each.ended_s and not each.complete)
    record.write(
        f"{len(requesters.answers)} requests, {cut} cut or left, {len(lost)} of them lost"
    )
    return 1 if lost else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except Exception as error:
        print(f"cannot run: {error!r}", file=sys.stderr)
        sys.exit(2)
