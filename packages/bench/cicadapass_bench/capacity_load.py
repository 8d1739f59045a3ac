"""Measure the data path of a node with copies enabled, at several rates."""

import json
import time
from dataclasses import replace

from cicadapass_bench import loadrun
from cicadapass_bench.capacity_output import Output
from cicadapass_bench.capacity_plan import PlannedSize
from cicadapass_bench.loadclient import LoadSpec
from cicadapass_bench.world import GRABHANDLE, World, WorldPlan, running_world
from cicadapass_common.operator_api import TRAFFIC_PATH

STREAM_TOKENS_PER_S = 20.0
STREAM_COUNTS = (25, 50, 100, 200)
QUICK_STREAM_COUNTS = (4, 8, 16)
CALLS_PER_S = (50.0, 100.0, 200.0)
QUICK_CALLS_PER_S = (10.0, 20.0, 40.0)
WARM_UP_S = 3.0
WINDOW_S = 6.0
QUICK_WINDOW_S = 1.0
# A node completes an accepted answer even if its caller disconnects, so streams
# last little longer than the window.
STREAM_MARGIN_S = 1.0
CONNECTIONS = 16
DATA_CENTRES = ("dc-a", "dc-b")


def measure_load(output: Output, plan: PlannedSize, *, quick: bool) -> None:
    """Measure calls and streams through one of two nodes; the other stores copies."""
    fleet = replace(GRABHANDLE, data_centres=DATA_CENTRES, engines=2)
    options = ("--tokens-per-s", str(STREAM_TOKENS_PER_S), "--batch-cost", "0")
    with running_world(
        WorldPlan(
            fleets=(fleet,),
            engine_slots=400,
            engine_options=(*options, "--threads", "500"),
            service_slots=400,
        )
    ) as world:
        world.wait_members(len(DATA_CENTRES))
        _measure_calls(output, plan, world, quick)
        _measure_streams(output, plan, world, quick)


def _measure_streams(
    output: Output, plan: PlannedSize, world: World, quick: bool
) -> None:
    window_s = QUICK_WINDOW_S if quick else WINDOW_S
    rows: dict[str, list[tuple[float, float]]] = {}
    owner, holder = world.nodes
    for count in QUICK_STREAM_COUNTS if quick else STREAM_COUNTS:
        load = _stream_load(world, count, window_s, output.seed)
        before = owner.process.cpu_s(), holder.process.cpu_s(), _sent_bytes(world)
        started_s = time.monotonic()
        [running] = loadrun.start(world.group, [load])
        result = loadrun.stream_result([running])
        elapsed_s = time.monotonic() - started_s
        after = owner.process.cpu_s(), holder.process.cpu_s(), _sent_bytes(world)
        rate = result.tokens_per_s
        # The streams run longer than the window, so the tokens of the whole time are
        # computed from the rate.
        tokens = rate * elapsed_s
        label = f"{count} streams"
        output.value("stream_tokens_per_s", label, rate, "tokens/s")
        output.value("stream_broken", label, result.broken, "streams")
        cores = (after[0] - before[0]) / elapsed_s
        rows.setdefault("owner_cores", []).append((rate, cores))
        cores = (after[1] - before[1]) / elapsed_s
        rows.setdefault("holder_cores", []).append((rate, cores))
        bytes_per_token = (after[2] - before[2]) / tokens
        rows.setdefault("progress_bytes_per_token", []).append((rate, bytes_per_token))
        resident_bytes = owner.process.resident_bytes()
        rows.setdefault("owner_resident_by_streams", []).append((count, resident_bytes))
        resident_bytes = holder.process.resident_bytes()
        rows.setdefault("holder_resident_by_streams", []).append(
            (count, resident_bytes)
        )
    for name in ("owner_cores", "holder_cores", "progress_bytes_per_token"):
        unit = "cores" if "cores" in name else "B"
        output.series(name, "tokens/s", rows[name], unit)
        output.projected(name, plan.node_tokens_per_s, unit)
    for name in ("owner_resident_by_streams", "holder_resident_by_streams"):
        output.series(name, "streams", rows[name], "B")


def _measure_calls(
    output: Output, plan: PlannedSize, world: World, quick: bool
) -> None:
    window_s = QUICK_WINDOW_S if quick else WINDOW_S
    node = world.nodes[0]
    service = world.plan.fleets[0].plain_service
    pairs = []
    for rate in QUICK_CALLS_PER_S if quick else CALLS_PER_S:
        load = LoadSpec(
            node.callers_url,
            f"/v1/services/{service}/stock/bolts",
            "",
            method="GET",
            headers=_headers(world),
            connections=CONNECTIONS,
            rate_per_s=rate,
            duration_s=window_s,
        )
        cpu_before_s, started_s = node.process.cpu_s(), time.monotonic()
        result = loadrun.call_result(loadrun.start(world.group, [load]))
        elapsed_s = time.monotonic() - started_s
        sent_per_s = rate * (load.warm_up_s + load.duration_s) / elapsed_s
        output.value("call_failed", f"{rate:g} calls/s", result.failed, "calls")
        pairs.append((sent_per_s, (node.process.cpu_s() - cpu_before_s) / elapsed_s))
    output.series("call_cores", "calls/s", pairs, "cores")
    output.projected("call_cores", plan.node_requests_per_s, "cores")


def _sent_bytes(world: World) -> float:
    traffic = world.operators_get(world.nodes[0], TRAFFIC_PATH)
    return float(sum(kind["frame_bytes"] for kind in traffic["sent"]))


def _headers(world: World) -> dict[str, str]:
    credential = world.credential(world.plan.fleets[0].name, "counter")
    return {"Authorization": f"Bearer {credential}"}


def _stream_load(world: World, count: int, window_s: float, seed: int) -> LoadSpec:
    stream_s = WARM_UP_S + window_s + STREAM_MARGIN_S
    body = {
        "model": world.plan.fleets[0].model_service,
        "messages": [{"role": "user", "content": "the whole catalogue"}],
        "max_tokens": int(STREAM_TOKENS_PER_S * stream_s),
        "stream": True,
        "seed": seed,
    }
    return LoadSpec(
        world.nodes[0].callers_url,
        "/v1/chat/completions",
        json.dumps(body),
        headers=_headers(world),
        connections=count,
        warm_up_s=WARM_UP_S,
        duration_s=window_s,
        tokens_marker='"content"',
    )
