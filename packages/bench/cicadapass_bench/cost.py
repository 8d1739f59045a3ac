"""Measure a node's processor time by part, beside that of an earlier commit."""

import argparse
import asyncio
import contextlib
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from cicadapass_bench import costtraffic
from cicadapass_bench.costtraffic import ENGINES, HOST, Traffic

ROOT = Path(__file__).resolve().parents[3]
PACKAGES = ("decisions", "common", "gateway")
# Other members of a node at rest; calls are measured beside those of the second.
MEMBERS = (2, 83, 195)
MEMBERS_BESIDE_CALLS = 83
# A round of 195 members lasts 4.0 s, so all have been heard after this time.
SETTLE_S = 4.5
REST_S = 4.0
ROUNDS = 8
CALLS = 30
STREAMS = 8
STREAM_EVENTS = (8, 258)
STATES = 150
START_TIMEOUT_S = 20.0
START_ATTEMPTS = 3
# Processor clock of another process: the kernel's encoding of its id.
_PROCESS_CLOCK = 2


@dataclass(slots=True)
class Build:
    """Hold a measured tree, its running node and the samples of each part."""

    name: str
    root: Path
    process: subprocess.Popen | None = None
    traffic: Traffic | None = None
    rest_cores: float = 0.0
    samples: dict[str, list[float]] = field(default_factory=dict)

    @property
    def cpu_s(self) -> float:
        """Return the processor time of the node's process so far."""
        assert self.process is not None
        return time.clock_gettime((~self.process.pid << 3) | _PROCESS_CLOCK)

    @property
    def resident_bytes(self) -> int:
        """Return the resident memory of the node's process."""
        assert self.process is not None
        statm = Path(f"/proc/{self.process.pid}/statm").read_text()
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    @property
    def running(self) -> Traffic:
        """Return what surrounds the running node."""
        assert self.traffic is not None
        return self.traffic

    def add(self, part: str, value: float) -> None:
        """Add a sample of a part."""
        self.samples.setdefault(part, []).append(value)


@contextlib.contextmanager
def checked_out(commit: str) -> Iterator[Path]:
    """Check a commit out into a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="cost-") as folder:
        path = Path(folder) / "tree"
        git = ["git", "-C", str(ROOT), "worktree"]
        subprocess.run(
            [*git, "add", "--quiet", "--detach", str(path), commit], check=True
        )
        try:
            yield path
        finally:
            subprocess.run([*git, "remove", "--force", str(path)], check=True)


def command(root: Path, plan: dict) -> tuple[list[str], dict[str, str]]:
    """Return the command and the environment of a measured process."""
    paths = [str(root / "packages" / each) for each in PACKAGES]
    path = os.pathsep.join([*paths, str(root / "platform")])
    script = str(Path(__file__).with_name("costnode.py"))
    # Without -P, the folder of the script would come before the packages.
    arguments = [sys.executable, "-P", script, json.dumps(plan)]
    return arguments, {**os.environ, "PYTHONPATH": path, "PYTHONHASHSEED": "0"}


@contextlib.asynccontextmanager
async def running_node(build: Build, members: int) -> AsyncIterator[None]:
    """Run a node of a build with this number of other members."""
    for _ in range(START_ATTEMPTS - 1):
        if await _start(build, members):
            break
        await _end(build)
    else:
        if not await _start(build, members):
            raise RuntimeError(f"the node of {build.name} does not start")
    try:
        yield
    finally:
        await _end(build)


async def _start(build: Build, members: int) -> bool:
    """Start a node; return whether it became ready.

    Another process may have taken one of its ports meanwhile.
    """
    ports = _free_ports(4)
    build.traffic = await costtraffic.start(ports[0], ports[2])
    build.traffic.members.count = members
    plan = {
        "ports": ports,
        "members_port": build.traffic.members_port,
        "upstreams": build.traffic.upstream_rows,
    }
    arguments, environment = command(build.root, plan)
    build.process = subprocess.Popen(
        arguments, env=environment, stdout=subprocess.DEVNULL
    )
    async with asyncio.timeout(START_TIMEOUT_S):
        while build.process.poll() is None:
            if await _is_ready(ports[1]):
                build.add("start (ms)", 1000 * build.cpu_s)
                return True
            await asyncio.sleep(0.1)
    return False


async def _end(build: Build) -> None:
    assert build.process is not None
    build.process.terminate()
    await asyncio.to_thread(build.process.wait)
    await build.running.close()


async def measure_rest(builds: Sequence[Build], members: int) -> None:
    """Measure the share of a core at rest of all builds at the same time."""
    await asyncio.sleep(SETTLE_S)
    before = [(each.cpu_s, time.monotonic()) for each in builds]
    await asyncio.sleep(REST_S)
    for build, (cpu_s, began_s) in zip(builds, before, strict=True):
        build.rest_cores = (build.cpu_s - cpu_s) / (time.monotonic() - began_s)
        build.add(f"rest beside {members} (millicores)", 1000 * build.rest_cores)
        build.add(f"memory beside {members} (MB)", build.resident_bytes / 2**20)


async def spent_s(build: Build, work: Callable[[], Awaitable[None]]) -> float:
    """Return the processor time of work without that at rest."""
    cpu_s, began_s = build.cpu_s, time.monotonic()
    await work()
    elapsed_s = time.monotonic() - began_s
    return build.cpu_s - cpu_s - build.rest_cores * elapsed_s


async def measure_calls(build: Build, kind: "Kind") -> None:
    """Measure a kind of call once."""
    traffic = build.running
    opened = traffic.connections
    traffic.events = kind.events
    seconds = await spent_s(
        build, lambda: traffic.call(kind.path, kind.tokens, kind.body_bytes, CALLS)
    )
    build.add(f"{kind.name} (us)", 1e6 * seconds / CALLS)
    opened = traffic.connections - opened
    build.add(f"{kind.name} (new connections)", opened / CALLS)


async def measure_event(build: Build) -> None:
    """Measure a streamed event once, as the difference of long and short streams."""
    traffic = build.running

    async def stream() -> None:
        calls = (traffic.call("long", 200, 200, 1) for _ in range(STREAMS))
        await asyncio.gather(*calls)

    seconds_by_length = []
    for events in STREAM_EVENTS:
        traffic.events = events
        seconds_by_length.append(await spent_s(build, stream))
    events = STREAMS * (STREAM_EVENTS[1] - STREAM_EVENTS[0])
    seconds = seconds_by_length[1] - seconds_by_length[0]
    build.add("streamed event (us)", 1e6 * seconds / events)


async def measure_state(build: Build) -> None:
    """Measure a received state once."""

    async def send_states() -> None:
        for _ in range(STATES):
            build.running.members.send()
            await asyncio.sleep(0.001)

    seconds = await spent_s(build, send_states)
    build.add("incoming state (us)", 1e6 * seconds / STATES)


def measure_placement(build: Build) -> None:
    """Measure a candidate weighed, in a process that does nothing else."""
    arguments, environment = command(build.root, {"placements": ENGINES})
    result = subprocess.run(
        arguments, env=environment, check=True, capture_output=True, text=True
    )
    build.add("candidate weighed (us)", 1e6 * float(result.stdout))


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe a kind of call."""

    name: str
    path: str
    tokens: int
    body_bytes: int
    events: int = 4


KINDS = (
    Kind("call, not repeatable", "once", 0, 200),
    Kind("call, repeatable", "again", 0, 200),
    Kind("short stream", "short", 1800, 1800),
    Kind("12,000 tokens", "long", 12_000, 12_000),
)


async def measure(builds: Sequence[Build], only: str | None) -> None:
    """Measure all parts, or a group of them; builds take turns."""
    if only in (None, "placement"):
        for _ in range(ROUNDS):
            for build in builds:
                await asyncio.to_thread(measure_placement, build)
    sizes = {"placement": (), "calls": (MEMBERS_BESIDE_CALLS,)}
    for members in sizes.get(only or "", MEMBERS):
        async with contextlib.AsyncExitStack() as stack:
            for build in builds:
                await stack.enter_async_context(running_node(build, members))
            await measure_rest(builds, members)
            if members != MEMBERS_BESIDE_CALLS or only == "rest":
                continue
            await measure_rounds(builds)


async def measure_rounds(builds: Sequence[Build]) -> None:
    """Measure each part in turns, since other load on the machine comes and goes."""
    for number in range(ROUNDS + 1):
        # The first of two equal builds needed 1.1 times as much for some parts.
        turns = builds if number % 2 else builds[::-1]
        for kind in KINDS:
            for build in turns:
                await measure_calls(build, kind)
        for measure_part in (measure_event, measure_state):
            for build in turns:
                await measure_part(build)
        if number == 0:
            # The first calls meet empty caches and no connections.
            for build in builds:
                _drop_call_samples(build)


def _drop_call_samples(build: Build) -> None:
    build.samples = {
        part: values
        for part, values in build.samples.items()
        if part.startswith(("rest", "candidate", "start", "memory"))
    }


def table(builds: Sequence[Build]) -> str:
    """Return the medians of all parts, with the ratio to the last build."""
    names = [each.name for each in builds]
    ratio = ["ratio"] if len(builds) > 1 else []
    lines = [
        "| " + " | ".join(["part", *names, *ratio]) + " |",
        "| --- |" + " ---: |" * (len(names) + len(ratio)),
    ]
    for part in builds[0].samples:
        values = [statistics.median(each.samples[part]) for each in builds]
        cells = [f"{value:.2f}" for value in values]
        if ratio:
            cells.append(f"{values[0] / values[1]:.2f}" if values[1] else "-")
        lines.append("| " + " | ".join([part, *cells]) + " |")
    return "\n".join(lines)


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind((HOST, 0))
        return [each.getsockname()[1] for each in sockets]


async def _is_ready(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    writer.write(b"GET / HTTP/1.1\r\nHost: n\r\n\r\n")
    try:
        return b" 200" in await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()


def main(argv: Sequence[str] | None = None) -> int:
    """Print the table of the working tree, beside a named commit if there is one."""
    parser = argparse.ArgumentParser(prog="python -m cicadapass_bench.cost")
    parser.add_argument("--against", metavar="COMMIT")
    parser.add_argument("--commit", help="measure it in place of the working tree")
    parser.add_argument("--only", choices=["placement", "rest", "calls"])
    arguments = parser.parse_args(argv)
    builds = [Build("now", ROOT)]
    with contextlib.ExitStack() as stack:
        if arguments.commit is not None:
            path = stack.enter_context(checked_out(arguments.commit))
            builds = [Build(arguments.commit, path)]
        if arguments.against is not None:
            path = stack.enter_context(checked_out(arguments.against))
            builds.append(Build(arguments.against, path))
        asyncio.run(measure(builds, arguments.only))
    print(table(builds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
