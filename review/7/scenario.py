"""Let the store return from a copy, and kill all nodes, after a new version has started."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from deployment import HOST, Deployment, Record  # noqa: E402
from engine import Engine  # noqa: E402
from httpd import Server, response  # noqa: E402
from store import Store  # noqa: E402
from streams import CONFIG, MODEL, Requester, Stream  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Leaves one of the two disruptions out, to tell them apart.
DRILL = os.environ.get("DRILL", "1") != "0"
STREAMS = 36
EVENTS = 22
STEP_S = 0.04
HEARTBEAT_S = 1.2
# After the copy of the store: engines of a new version start, streams begin, and the
# store is away for a moment.
START_S, SEND_S, AWAY_S, RETURN_S = 0.2, 2.2, 2.7, 3.0
# Processes that were killed are started again after this time.
RESTART_S = 0.5
# More than this many streams of two versions break the rule.
ALLOWED_STREAMS = 2


class Fleet:
    """Start the engines, and write their entries."""

    def __init__(self, store, record):
        self._store = store
        self._record = record
        self._addresses = {}
        self._engines = []

    async def add(self, name, zone, version):
        engine = Engine(name, zone, STEP_S, self._record.write, version)
        await engine.start(HOST, self._addresses)
        self._engines.append(engine)
        await self._store.put("keyed.servers", name, engine.entry(MODEL))
        self._record.write(f"{name} of {version} starts")

    async def write_entries(self):
        """Write all entries once."""
        for engine in self._engines:
            entry = engine.entry(MODEL)
            await self._store.put("keyed.servers", engine.name, entry)

    async def send_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write_entries()


async def main():
    record, store, cloud = Record(HERE / "record.txt"), Store(), Server(None)

    async def accept(request, writer):
        return response(200, b"{}")

    cloud._handle = accept
    store_port, cloud_port = await store.start(HOST), await cloud.start(HOST)
    await store.put("keyed.op", "config", CONFIG)
    fleet = Fleet(store, record)
    for number, zone in enumerate(("eu-west-a", "eu-west-b", "eu-west-c")):
        await fleet.add(f"i-7f3a910{number}", zone, "v1")
    heartbeats = asyncio.create_task(fleet.send_heartbeats())
    deployment = Deployment(3, store_port, cloud_port)
    nodes = deployment.nodes
    requester = Requester(record, EVENTS)
    streams = [Stream(f"stream-{number:02d}") for number in range(STREAMS)]
    try:
        await deployment.start()
        await asyncio.sleep(4)
        copy = store.copy()
        record.write("a copy of the store is made")
        await asyncio.sleep(START_S)
        for number, zone in enumerate(("eu-west-a", "eu-west-b")):
            await fleet.add(f"i-9c41d07{number}", zone, "v1.1")
        await asyncio.sleep(SEND_S - START_S)
        tasks = []
        for number, each in enumerate(streams):
            others = [nodes[(number + 1) % 3], nodes[(number + 2) % 3]]
            run = requester.run(each, nodes[number % 3], others)
            tasks.append(asyncio.create_task(run))
        await asyncio.sleep(AWAY_S - SEND_S)
        if TROUBLE:
            heartbeats.cancel()
            if DRILL:
                store.leave()
            record.write("the store is away; all nodes are killed")
            await asyncio.gather(*(each.kill() for each in nodes))
            await asyncio.sleep(RETURN_S - AWAY_S)
            if DRILL:
                await store.return_from(copy)
                await store.put("keyed.op", "config", CONFIG)
                record.write("the store is back from the copy")
            heartbeats = asyncio.create_task(fleet.send_heartbeats())
            await asyncio.sleep(RESTART_S - (RETURN_S - AWAY_S))
            await asyncio.gather(*(each.start() for each in nodes))
        await asyncio.gather(*tasks)
    finally:
        heartbeats.cancel()
        await deployment.stop()
    if not all(each.events for each in streams):
        raise RuntimeError("a stream did not begin")
    joined, statuses = [], []
    for each in streams:
        versions = list(dict.fromkeys(version for _, version in each.events))
        if len(versions) > 1:
            joined.append(each)
            record.write(f"JOINED {each.name}: events of {versions}, {each.statuses}")
        statuses += each.statuses[1:]
    record.write(
        f"{STREAMS} streams; take-ups answered {statuses}; {len(joined)} hold events of"
        " two versions"
    )
    return 1 if len(joined) > ALLOWED_STREAMS else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except Exception as error:
        print(f"cannot run: {error!r}", file=sys.stderr)
        sys.exit(2)
