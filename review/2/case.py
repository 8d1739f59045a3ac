"""One odd entry among those of the engines ends the machines again and again."""

import asyncio
import tempfile
from pathlib import Path

from standins.cluster import ZONES, Clock, Node, Record, manifest, route, run
from standins.engine import HEARTBEAT_S, Engine
from standins.store import Store

# "two at least", "three times in the day".
MACHINES, ENDS = 2, 3
DAY_S = 70
RESTART_S = 0.5
# Written once by another writer. Its zone is no zone of the installation.
ODD = {
    "service": "parts-model",
    "address": "127.0.0.1:9",
    "zone": "eu-west-a|eu-west-b",
    "version": 1,
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}


async def main(trouble):
    clock = Clock()
    record = Record(Path(__file__).parent, clock)
    with tempfile.TemporaryDirectory() as folder:
        store = await Store(clock).start()
        document = manifest(1, [route("part-lookup", "streaming", "parts-model")])
        document["services"][0]["scaling"] = {
            "min": 1, "max": 6, "bootS": 4, "spotPrice": 0.15,
            "zonePrices": dict(zip(ZONES, (0.85, 1.2, 1.0), strict=True)),
        }  # fmt: skip
        await store.put("keyed.op", "config", document)
        engines = [Engine(f"i-{z}", store, clock, record, zone=z) for z in ZONES]
        nodes = [
            Node(f"front-{zone}-1", zone, store.address, folder) for zone in ZONES[:2]
        ]
        stopped = asyncio.Event()
        tasks = []
        try:
            await asyncio.gather(*(engine.start() for engine in engines))
            await asyncio.gather(*(node.start() for node in nodes))
            await asyncio.gather(*(node.wait_until_ready() for node in nodes))
            tasks = [
                asyncio.create_task(restart(node, record, stopped)) for node in nodes
            ]
            await asyncio.sleep(4)
            if trouble:
                await store.put("keyed.servers", "i-odd", ODD)
                record("another writer's entry i-odd:", ODD)
                # An entry is removed after three ping intervals of silence.
                await asyncio.sleep(3 * HEARTBEAT_S)
                await store.put("keyed.servers", "i-odd", None)
                record("the entry i-odd is removed")
            await asyncio.sleep(DAY_S)
            stopped.set()
            ends = await asyncio.gather(*tasks)
        finally:
            stopped.set()
            await asyncio.gather(*(node.kill() for node in nodes))
            for engine in engines:
                engine.kill()
            store.server.stop()
    for node, count in zip(nodes, ends, strict=True):
        record(node.name, "ended by itself", count, "times")
    return sum(count >= ENDS for count in ends) >= MACHINES


async def restart(node, record, stopped):
    """Start a process again whenever it ends; return how often it ended."""
    ends = 0
    while not stopped.is_set():
        await asyncio.sleep(0.05)
        if node.process.returncode is None:
            continue
        ends += 1
        record(node.name, "ended by itself: code", node.process.returncode)
        await asyncio.sleep(RESTART_S)
        if not stopped.is_set():
            await node.start()
    return ends


run(main)
