"""The destination of moves is silent for a moment; stopped runs are given up."""

import asyncio
import signal
import tempfile
from pathlib import Path

from standins.cluster import ZONES, Clock, Node, Record, manifest, route, run
from standins.engine import Engine
from standins.http import HOST, Caller
from standins.store import Store

STREAMS = 8
PROMPT_TOKENS = 40_000
EVENTS = 200
EVENT_S = 0.05
LIMIT_MS = 15_000
# Broken if more than three channels are closed without a whole answer.
ALLOWED = 3
# The destination falls silent this long after the first move of a run, for so long.
SILENT_AFTER_S, SILENCE_S = 0.85, 1.4


class Stream:
    """One stream of a caller and what became of it."""

    def __init__(self, number, node):
        self.request_id, self.node = f"{number:016x}", node
        self.answer = None


async def main(trouble):
    clock = Clock()
    record = Record(Path(__file__).parent, clock)
    with tempfile.TemporaryDirectory() as folder:
        store = await Store(clock).start()
        await store.put("keyed.op", "config", manifest(1, [
            route("repair-match", "streaming", "parts-model", gapAimMs=250,
                  sessionAffinity=True),
        ]))  # fmt: skip
        nodes = [
            Node(f"front-{zone}-1", zone, store.address, folder) for zone in ZONES[:2]
        ]
        engines = []
        try:
            return await play(trouble, clock, record, store, nodes, engines)
        finally:
            await asyncio.gather(*(node.kill() for node in nodes))
            for engine in engines:
                engine.kill()
            store.server.stop()


async def play(trouble, clock, record, store, nodes, engines):
    peers = {}

    async def add_engine(name, zone):
        engine = Engine(name, store, clock, record, zone=zone, event_s=EVENT_S)
        engine.peers = peers
        engines.append(await engine.start())
        return engine

    leaving = await add_engine("i-old", ZONES[0])
    await asyncio.gather(*(node.start() for node in nodes))
    await asyncio.gather(*(node.wait_until_ready() for node in nodes))
    # The machines are in touch `contactMs` after their start.
    await asyncio.sleep(4)
    streams, tasks = [], []
    for number in range(STREAMS):
        stream = Stream(number + 1, nodes[number % len(nodes)])
        streams.append(stream)
        tasks.append(asyncio.create_task(call(stream, clock, record)))
        await asyncio.sleep(PROMPT_TOKENS / leaving.prefill_per_s)
    for node in nodes:
        node.write_settings(note="1")
        node.signal(signal.SIGHUP)
    record("SIGHUP to all nodes")
    # The release: the new engine starts first, then the old one drains.
    new = await add_engine("i-new", ZONES[0])
    await asyncio.sleep(1)
    record("i-old drains")
    await leaving.drain()
    if trouble:
        await leaving.moving.wait()
        await asyncio.sleep(SILENT_AFTER_S)
        record("i-new is silent for", SILENCE_S, "s")
        new.silent_until_s = clock() + SILENCE_S
    await asyncio.gather(*tasks)
    lost = [each for each in streams if not each.answer.complete]
    for stream in streams:
        events = stream.answer.events
        record(
            "result", stream.request_id, stream.node.name, stream.answer.status,
            "whole" if stream.answer.complete else "CUT", f"{len(events)} events",
        )  # fmt: skip
    record(len(lost), "of", len(streams), "streams were cut")
    return len(lost) > ALLOWED


async def call(stream, clock, record):
    """Use a kept channel: a first request on it gets its whole answer."""
    caller = await Caller.open(HOST, stream.node.front)
    try:
        first = f"{stream.request_id[:-2]}f{stream.request_id[-1]}"
        caller.send("POST", "/repair-match/2f", headers(first, 100, 8), b"x" * 100)
        answer = await caller.receive(clock)
        record("first answer on the channel", stream.node.name, answer.status)
        record("sent", stream.request_id, "to", stream.node.name)
        caller.send(
            "POST", "/repair-match/2f",
            headers(stream.request_id, PROMPT_TOKENS, 4 * EVENTS), b"x" * 12_000,
        )  # fmt: skip
        async with asyncio.timeout(LIMIT_MS / 1000 + 1):
            stream.answer = await caller.receive(clock)
        record("answered", stream.request_id, stream.answer.status)
    finally:
        caller.close()


def headers(request_id, tokens, output):
    """Return the headers of a request, as PROTOCOL.md shows them."""
    shared = min(5382, tokens // 2)
    prefix = f"5c1e07a2:{shared},{request_id}:{tokens - shared}"
    return [
        ("Host", "parts.example"),
        ("Request-Id", request_id),
        ("Model", "m"),
        ("Token-Usage", f"{tokens},{output}"),
        ("Prefix-Hash", prefix),
        ("Request-Deadline", str(LIMIT_MS)),
        ("Authorization", "Token key1"),
    ]


run(main)
