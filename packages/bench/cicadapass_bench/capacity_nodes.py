"""Measure the cost of idle nodes and of publishes, with real node processes."""

import json
import threading
import time
import uuid
from collections.abc import Sequence
from dataclasses import dataclass, replace
from statistics import median
from typing import Any

from cicadapass_bench.capacity_output import Output
from cicadapass_bench.capacity_plan import PlannedSize
from cicadapass_bench.world import (
    GRABHANDLE,
    OPERATOR_CREDENTIAL,
    NodeProcess,
    World,
    WorldPlan,
    running_world,
    wait_until,
)
from cicadapass_common.operator_api import PUBLISH_PATH, STATUS_PATH, TRAFFIC_PATH

NODES_PER_DATA_CENTRE = (1, 2, 4, 8)
QUICK_NODES_PER_DATA_CENTRE = (1, 2, 3)
ENGINES_PER_DATA_CENTRE = (1, 2, 4, 8)
QUICK_ENGINES_PER_DATA_CENTRE = (1, 2, 3)
# A stand-in engine starts 600 threads by default; 24 such engines would exceed the
# thread limit of a small machine.
ENGINE_OPTIONS = ("--tokens-per-s", "500", "--threads", "24")
PUBLISHES = 5
SETTLE_TIME_S = 6.0
WINDOW_S = 8.0
QUICK_WINDOW_S = 2.0
PUBLISH_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Store the mean cost of an idle node over the window."""

    core_fraction: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    messages_per_s: float
    resident_bytes: float


def measure_nodes(output: Output, plan: PlannedSize, *, quick: bool) -> None:
    """Measure idle nodes and publishes by the number of nodes."""
    rows: dict[str, list[tuple[float, float]]] = {}
    for count in QUICK_NODES_PER_DATA_CENTRE if quick else NODES_PER_DATA_CENTRE:
        fleet = replace(GRABHANDLE, nodes=count, services=0)
        with running_world(WorldPlan(fleets=(fleet,))) as world:
            nodes = len(world.nodes)
            world.wait_members(nodes)
            cost = _idle_cost(world, quick)
            _add_cost(rows, nodes, cost)
            times = _publish_times(world)
        output.value("publish_in_force_median", f"{nodes} nodes", median(times), "s")
        output.value("publish_in_force_worst", f"{nodes} nodes", max(times), "s")
        rows.setdefault("publish_in_force_s", []).append((nodes, median(times)))
    _print_rows(output, rows, "nodes", plan.nodes)


def measure_engines(output: Output, plan: PlannedSize, *, quick: bool) -> None:
    """Measure three idle nodes by the number of engines."""
    rows: dict[str, list[tuple[float, float]]] = {}
    for count in QUICK_ENGINES_PER_DATA_CENTRE if quick else ENGINES_PER_DATA_CENTRE:
        fleet = replace(GRABHANDLE, engines=count, services=0)
        with running_world(
            WorldPlan(fleets=(fleet,), engine_options=ENGINE_OPTIONS)
        ) as world:
            cost = _idle_cost(world, quick)
            _add_cost(rows, len(world.upstreams), cost, "_by_engines")
    _print_rows(output, rows, "engines", plan.engines)


def _print_rows(
    output: Output,
    rows: dict[str, list[tuple[float, float]]],
    size_name: str,
    planned_size: int,
) -> None:
    for name, pairs in rows.items():
        unit = _unit(name)
        output.series(name, size_name, pairs, unit)
        # In-flight counts are sent to at most 8 receivers, so the idle cost is not
        # linear in the number of nodes and cannot be extrapolated.
        if size_name == "engines" or not name.startswith("idle"):
            output.projected(name, planned_size, unit)


def _unit(name: str) -> str:
    for fragment, unit in (
        ("percent", "% of a core"),
        ("messages", "messages/s"),
        ("resident", "B"),
        ("in_force", "s"),
    ):
        if fragment in name:
            return unit
    return "B/s"


def _add_cost(
    rows: dict[str, list[tuple[float, float]]],
    size: int,
    cost: IdleCost,
    suffix: str = "",
) -> None:
    for name, value in (
        ("idle_percent", 100 * cost.core_fraction),
        ("idle_sent", cost.sent_bytes_per_s),
        ("idle_received", cost.received_bytes_per_s),
        ("idle_messages", cost.messages_per_s),
        ("idle_resident", cost.resident_bytes),
    ):
        rows.setdefault(name + suffix, []).append((size, value))


def _idle_cost(world: World, quick: bool) -> IdleCost:
    timer = threading.Event()
    timer.wait(QUICK_WINDOW_S if quick else SETTLE_TIME_S)
    before = [_counters(world, node) for node in world.nodes]
    started_s = time.monotonic()
    timer.wait(QUICK_WINDOW_S if quick else WINDOW_S)
    after = [_counters(world, node) for node in world.nodes]
    window_s = time.monotonic() - started_s
    node_deltas = [
        [new - old for old, new in zip(old_counters, new_counters, strict=True)]
        for old_counters, new_counters in zip(before, after, strict=True)
    ]
    mean = [
        sum(column) / len(node_deltas) / window_s
        for column in zip(*node_deltas, strict=True)
    ]
    resident = [node.process.resident_bytes() for node in world.nodes]
    return IdleCost(mean[0], mean[1], mean[2], mean[3], sum(resident) / len(resident))


def _counters(world: World, node: NodeProcess) -> tuple[float, float, float, float]:
    """Return processor seconds, bytes sent, bytes received and messages so far."""
    traffic = world.operators_get(node, TRAFFIC_PATH)
    sent, received = traffic["sent"], traffic["received"]
    messages = sum(kind["messages"] for kind in [*sent, *received])
    return node.process.cpu_s(), _bytes(sent), _bytes(received), messages


def _bytes(kinds: Sequence[dict[str, Any]]) -> float:
    return float(sum(kind["frame_bytes"] for kind in kinds))


def _publish_times(world: World) -> list[float]:
    """Return the seconds from each publish until it is in force on all nodes."""
    times = []
    for number in range(PUBLISHES):
        document = world.inventory()
        workspace = document["fleets"][GRABHANDLE.name]["workspaces"]["counter"]
        workspace["weight"] = 2 + number
        times.append(_publish(world, document))
    return times


def _publish(world: World, document: dict[str, Any]) -> float:
    first_node = world.nodes[0]
    base_offset = world.operators_get(first_node, STATUS_PATH)["version"]
    body = {
        "publish_id": uuid.uuid4().hex,
        "author": "capacity",
        "base_offset": base_offset,
        "document": document,
    }
    headers = {"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"}
    url = first_node.operators_url + PUBLISH_PATH
    started_s = time.monotonic()
    response = world.http.request(
        "POST", url, body=json.dumps(body), headers=headers, timeout=PUBLISH_TIMEOUT_S
    ).json()
    version = response.get("version", -1)
    if response.get("outcome") != "accepted":
        raise RuntimeError(f"publish was not accepted: {response}")
    for node in world.nodes:
        wait_until(
            lambda node=node: (  # type: ignore[misc]
                world.operators_get(node, STATUS_PATH)["version"] >= version
            ),
            f"{node.name} has version {version}",
        )
    return time.monotonic() - started_s
