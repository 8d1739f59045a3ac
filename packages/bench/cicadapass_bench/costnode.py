"""Run a gateway node, or placements alone, for the measurement of its cost.

It runs as a script with the packages of one commit on its path, so it uses only what
these have had for long.
"""

import asyncio
import json
import sys
import time
from dataclasses import dataclass, field
from typing import Any

from cicadapass_common.events import EventLog
from cicadapass_common.stamps import HybridClock
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
    Adapter,
    Changes,
    DocumentCodec,
    Listing,
    RunCopy,
    Topics,
)
from cicadapass_gateway.config import Address, Settings
from cicadapass_gateway.node import run_node
from cicadapass_gateway.nodestate import NodeState, RetryLimits
from cicadapass_gateway.registryera import RegistryEra
from cicadapass_gateway.requestqueue import RequestRequirements
from cicadapass_platform.headers import HEADER_CODEC

HOST = "127.0.0.1"
# Above what a measurement sends, so that nothing is refused.
LIMIT_PER_S = 5e8
WORKSPACES = 16
TOPICS = Topics("configuration", "upstreams", "nodes", "duties")
# Placements measured alone, with the prompts of short streams.
PLACEMENTS = 300
PLACEMENT_TOKENS = 1800
PEERS = 83
# A node gets 50 states a second, and 5.4 requests.
STATES_PER_PLACEMENT = 10
# Engines that each peer reports; it has one request at each, and prompts at one.
REPORTED_ENGINES = 8
READING = (1, 500)
WRITING = (1, 0)


@dataclass(frozen=True)
class Upstreams:
    """Answer reads with upstreams that never change."""

    rows: list[list[Any]]
    era: RegistryEra = field(default_factory=RegistryEra)

    async def newest(self, topic: str) -> Listing:
        """Return the newest record of each key."""
        return Listing(self._documents(topic), len(self._documents(topic)))

    async def changes(self, topic: str, start: int, wait_s: float) -> Changes:
        """Return the records from `start` on after the whole wait."""
        documents = self._documents(topic)
        if start >= len(documents):
            await asyncio.sleep(max(wait_s, 0.01))
        return Changes(documents[start:], max(start, len(documents)), complete=True)

    async def tail(self, topic: str, count: int) -> Changes:
        """Return no records."""
        return Changes((), 0, complete=True)

    async def append(
        self, topic: str, key: str, value: bytes, expected_end: int | None
    ) -> int:
        """Accept a record without keeping it."""
        return 0

    def _documents(self, topic: str) -> tuple[Document, ...]:
        if topic == TOPICS.configuration:
            return (Document("config", b"1", 0),)
        if topic == TOPICS.upstreams:
            return tuple(
                Document(row[0], json.dumps(row).encode(), offset)
                for offset, row in enumerate(self.rows)
            )
        return ()


def configuration(_raw: bytes) -> Configuration:
    """Return a configuration with the kinds of call that are measured."""
    routes = (
        _route("once", CallKind.UNSAFE, "plain", 0.22),
        _route("again", CallKind.SAFE, "plain", 0.22),
        _route("short", CallKind.STREAM, "model", 0.52),
        _route("long", CallKind.STREAM, "model", 2.0),
    )
    services = {
        "plain": Service("plain"),
        "model": Service("model", model_engine=True, tokens_per_event=4),
    }
    workspaces = tuple(
        Workspace(
            f"w{number}",
            frozenset({f"k{number}"}),
            rate_per_s=LIMIT_PER_S,
            burst=LIMIT_PER_S,
            counts_tokens=True,
        )
        for number in range(WORKSPACES)
    )
    return Configuration(1, routes, services, workspaces, CallerLimits())


def _route(name: str, kind: CallKind, service: str, target_s: float) -> Route:
    return Route(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        kind=kind,
        services=(WeightedService(service, 1.0),),
        timeout_s=15.3,
        target_latency_s=target_s,
        attempts=2,
        resumable=name == "long",
        max_gap_s=0.5 if kind is CallKind.STREAM else None,
    )


def upstream(_key: str, raw: bytes) -> UpstreamRecord:
    """Return the record of an upstream."""
    upstream_id, service, port, data_centre, slots = json.loads(raw)
    return UpstreamRecord(
        upstream_id, service, HOST, port, data_centre, slots, False, 1, 1
    )


async def _refuse(
    source: UpstreamRecord, request_id: str, target: UpstreamRecord, last: bool
) -> RunCopy:
    return RunCopy(CopyOutcome.REFUSED)


def serve(plan: dict[str, Any]) -> int:
    """Run a node until it is terminated."""
    ports = plan["ports"]
    settings = Settings(
        node="n0",
        data_centre="dc-0",
        callers=Address(HOST, ports[0]),
        readiness=Address(HOST, ports[1]),
        peers=Address(HOST, ports[2]),
        metrics=Address(HOST, ports[3]),
        seeds=(Address(HOST, plan["members_port"]),),
        grace_s=1.0,
        retry_window_s=10.0,
        retry_slack=205.0,
        limit_window_s=8.0,
        limit_tolerance=LimitTolerance(),
        upstream_drain_s=3.0,
        lease_s=4.0,
        usage_window_s=5.0,
        has_duties=False,
    )
    codec = DocumentCodec("config", configuration, upstream)
    adapter = Adapter(
        HEADER_CODEC, Upstreams(plan["upstreams"]), TOPICS, codec, _refuse, None
    )
    return run_node(lambda: settings, lambda _pool: adapter)


async def place(engines: int) -> float:
    """Return the processor time of a candidate weighed, in seconds."""
    events = EventLog("n0", HybridClock().stamp)
    retry = RetryLimits(10.0, 205.0)
    state = NodeState("n0", "dc-0", events, retry, 8.0, LimitTolerance(), 3.0)
    records = [
        UpstreamRecord(f"e{n}", "model", HOST, 1, f"dc-{n % 3}", 128, False, 1, 1)
        for n in range(engines)
    ]
    state.upstreams.view.replace(records, state.clock())
    state.upstreams.refresh()
    for record in records:
        state.upstreams.meter(record)
    spent_s = 0.0
    for number in range(PLACEMENTS):
        now_s = state.clock()
        first = number * STATES_PER_PLACEMENT
        for peer in range(first, first + (STATES_PER_PLACEMENT if number else PEERS)):
            _report_load(state, engines, peer % PEERS, now_s)
        segments = (PromptSegment(f"s{number % 20}", 900), PromptSegment("own", 900))
        requirements = RequestRequirements(
            service="model",
            prompt=Prompt(segments, PLACEMENT_TOKENS, 64),
            model_engine=True,
            priority=0,
            arrived_s=now_s,
            target_s=2.0,
            max_gap_s=0.5,
            deadline_s=now_s + 3.1,
            shorter_target_s=None,
            excluded=frozenset(),
        )
        began_s = time.process_time()
        reservation: Any = await state.queue.place(requirements)
        spent_s += time.process_time() - began_s
        state.upstreams.end(reservation, now_s, succeeded=True)
    return spent_s / PLACEMENTS / engines


def _report_load(state: NodeState, engines: int, peer: int, now_s: float) -> None:
    load = {
        f"e{(peer + each * 7) % engines}": WRITING if each else READING
        for each in range(REPORTED_ENGINES)
    }
    state.upstreams.apply_load(f"p{peer}", load, now_s)


def main() -> int:
    """Run what the plan on the command line names."""
    plan = json.loads(sys.argv[1])
    if "placements" in plan:
        print(asyncio.run(place(plan["placements"])))
        return 0
    return serve(plan)


if __name__ == "__main__":
    sys.exit(main())
