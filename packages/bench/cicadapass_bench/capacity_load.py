"""Measure a node's data path with copies on, at several rates."""

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
STREAMS = (25, 50, 100, 200)
QUICK_STREAMS = (4, 8, 16)
CALLS_PER_S = (50.0, 100.0, 200.0)
QUICK_CALLS_PER_S = (10.0, 20.0, 40.0)
WARM_UP_S = 3.0
WINDOW_S = 6.0
QUICK_WINDOW_S = 1.0
# A node completes an accepted answer without its caller.
MARGIN_S = 1.0
CONNECTIONS = 16
PLACES = ("dc-a", "dc-b")


def measure_load(output: Output, plan: PlannedSize, *, quick: bool) -> None:
    """Measure streams and short calls through one of two nodes."""
    fleet = replace(GRABHANDLE, data_centres=PLACES, engines=2)
    options = ("--tokens-per-s", str(STREAM_TOKENS_PER_S), "--batch-cost", "0")
    with running_world(
        WorldPlan(
            fleets=(fleet,),
            engine_slots=400,
            engine_options=(*options, "--threads", "500"),
            service_slots=400,
        )
    ) as world:
        world.wait_members(len(PLACES))
        _calls(output, plan, world, quick)
        _streams(output, plan, world, quick)


def _streams(output: Output, plan: PlannedSize, world: World, quick: bool) -> None:
    window_s = QUICK_WINDOW_S if quick else WINDOW_S
    rows: dict[str, list[tuple[float, float]]] = {}
    owner, holder = world.nodes
    for count in QUICK_STREAMS if quick else STREAMS:
        load = _stream_load(world, count, window_s, output.seed)
        began = owner.process.cpu_s(), holder.process.cpu_s(), _progress(world)
        began_s = time.monotonic()
        [running] = loadrun.start(world.group, [load])
        result = loadrun.stream_result([running])
        spent_s = time.monotonic() - began_s
        ended = owner.process.cpu_s(), holder.process.cpu_s(), _progress(world)
        rate = result.tokens_per_s
        # The streams run somewhat longer than the window, so tokens come from them.
        tokens = rate * spent_s
        label = f"{count} streams"
        output.value("stream_tokens_per_s", label, rate, "tokens/s")
        output.value("stream_broken", label, result.broken, "streams")
        share = (ended[0] - began[0]) / spent_s
        rows.setdefault("owner_cores", []).append((rate, share))
        share = (ended[1] - began[1]) / spent_s
        rows.setdefault("holder_cores", []).append((rate, share))
        size = (ended[2] - began[2]) / tokens
        rows.setdefault("progress_bytes_per_token", []).append((rate, size))
        resident = owner.process.resident_bytes()
        rows.setdefault("owner_resident_by_streams", []).append((count, resident))
        resident = holder.process.resident_bytes()
        rows.setdefault("holder_resident_by_streams", []).append((count, resident))
    for name in ("owner_cores", "holder_cores", "progress_bytes_per_token"):
        unit = "cores" if "cores" in name else "B"
        output.series(name, "tokens/s", rows[name], unit)
        output.projected(name, plan.node_tokens_per_s, unit)
    for name in ("owner_resident_by_streams", "holder_resident_by_streams"):
        output.series(name, "streams", rows[name], "B")


def _calls(output: Output, plan: PlannedSize, world: World, quick: bool) -> None:
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
        began, began_s = node.process.cpu_s(), time.monotonic()
        result = loadrun.call_result(loadrun.start(world.group, [load]))
        spent_s = time.monotonic() - began_s
        sent = rate * (load.warm_up_s + load.duration_s) / spent_s
        output.value("call_failed", f"{rate:g} calls/s", result.failed, "calls")
        pairs.append((sent, (node.process.cpu_s() - began) / spent_s))
    output.series("call_cores", "calls/s", pairs, "cores")
    output.projected("call_cores", plan.node_requests_per_s, "cores")


def _progress(world: World) -> float:
    traffic = world.operators_get(world.nodes[0], TRAFFIC_PATH)
    return float(sum(kind["frame_bytes"] for kind in traffic["sent"]))


def _headers(world: World) -> dict[str, str]:
    credential = world.credential(world.plan.fleets[0].name, "counter")
    return {"Authorization": f"Bearer {credential}"}


def _stream_load(world: World, count: int, window_s: float, seed: int) -> LoadSpec:
    lasts_s = WARM_UP_S + window_s + MARGIN_S
    body = {
        "model": world.plan.fleets[0].model_service,
        "messages": [{"role": "user", "content": "the whole catalogue"}],
        "max_tokens": int(STREAM_TOKENS_PER_S * lasts_s),
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
