"""Freeze a node while a new version of the engines starts, and let its engine crash."""

import asyncio
import os
import signal
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
STREAMS = 36
EVENTS = 22
STEP_S = 0.04
# The node stands still for this long. The platform asks once per second whether it is
# ready, so that it misses one answer, not two, before the take-ups.
FREEZE_S = 1.8
# After the freeze began: the new engine starts, the requests are sent, it crashes. The
# take-ups wait for 0.45 s then; requesters bear a second, or a third of the time left.
START_S, SEND_S, CRASH_S = 0.05, 0.95, 1.35
# More than this many streams of two versions break the rule.
ALLOWED_STREAMS = 2


async def main():
    record, store, cloud = Record(HERE / "record.txt"), Store(), Server(None)

    async def accept(request, writer):
        return response(200, b"{}")

    cloud._handle = accept
    store_port, cloud_port = await store.start(HOST), await cloud.start(HOST)
    await store.put("keyed.op", "config", CONFIG)
    fleet, engines = {}, []

    async def add_engine(name, zone, version):
        engine = Engine(name, zone, STEP_S, record.write, version)
        await engine.start(HOST, fleet)
        engines.append(engine)
        await store.put("keyed.servers", name, engine.entry(MODEL))
        record.write(f"{name} of {version} starts")
        return engine

    async def send_entries():
        while True:
            await asyncio.sleep(1.2)
            for engine in engines:
                await store.put("keyed.servers", engine.name, engine.entry(MODEL))

    for number, zone in enumerate(("eu-west-a", "eu-west-b", "eu-west-c")):
        await add_engine(f"i-7f3a910{number}", zone, "v1")
    entries = asyncio.create_task(send_entries())
    deployment = Deployment(3, store_port, cloud_port)
    frozen, *others = deployment.nodes
    requester = Requester(record, EVENTS)
    streams = [Stream(f"stream-{number:02d}") for number in range(STREAMS)]
    try:
        await deployment.start()
        await asyncio.sleep(3)
        if TROUBLE:
            record.write(f"{frozen.name} stands still")
            frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(START_S)
        new = await add_engine("i-9c41d07b", "eu-west-b", "v1.1")
        await asyncio.sleep(SEND_S - START_S)
        tasks = []
        for number, each in enumerate(streams):
            first = others[number % 2]
            second = others[(number + 1) % 2]
            run = requester.run(each, first, (frozen, second))
            tasks.append(asyncio.create_task(run))
        await asyncio.sleep(CRASH_S - SEND_S)
        if TROUBLE:
            record.write(f"{new.name} crashes")
            engines.remove(new)
            new.stop()
        await asyncio.sleep(FREEZE_S - CRASH_S)
        if TROUBLE:
            record.write(f"{frozen.name} goes on")
            frozen.signal(signal.SIGCONT)
        await asyncio.gather(*tasks)
    finally:
        frozen.signal(signal.SIGCONT)
        entries.cancel()
        await deployment.stop()
    if not all(each.events for each in streams):
        raise RuntimeError("a stream did not begin")
    joined = []
    for each in streams:
        versions = list(dict.fromkeys(version for _, version in each.events))
        if len(versions) > 1:
            joined.append(each)
            record.write(f"JOINED {each.name}: events of {versions}, {each.statuses}")
    taken = sum(1 for each in streams if len(each.statuses) > 1)
    record.write(
        f"{STREAMS} streams, {taken} taken up, {len(joined)} hold events of two versions"
    )
    return 1 if len(joined) > ALLOWED_STREAMS else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except Exception as error:
        print(f"cannot run: {error!r}", file=sys.stderr)
        sys.exit(2)
