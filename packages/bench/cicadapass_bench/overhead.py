"""Measure the overhead of a node on calls and streams, against direct calls."""

import argparse
import json
import os
import sys
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace

from cicadapass_bench import loadrun
from cicadapass_bench.loadclient import NUMBER_PLACEHOLDER, LoadSpec
from cicadapass_bench.overheadplan import (
    TOKENS_PER_S,
    RequestKind,
    plan_world,
    replace_both,
)
from cicadapass_bench.world import World, running_world

# A slowdown below 1 makes the engines faster.
FAST_SLOWDOWN = 0.02
SHORT_TOKENS = 4
IDLE_WAIT_S = 3.0
# Streams of the throughput measure, and the tokens per second of each.
FAST_STREAMS = 400
FAST_TOKENS_PER_S = 50.0
FAST_CLIENTS = 4
# The warm-up is long enough for all streams to start.
STREAM_WARM_UP_S = 3.0
STREAM_WINDOW_S = 6.0
# A node completes an accepted answer even if its caller disconnects, so streams
# last little longer than the measurement.
STREAM_MARGIN_S = 2.0
OPEN_STREAMS = 500
OPEN_TOKENS_PER_S = 10.0
PEAK_CONNECTIONS = 8
HALF_LOAD_CONNECTIONS = 32
# Gives more than ten latencies above the 99th percentile.
HALF_LOAD_WINDOW_S = 6.0
PERCENTILES = {"median": 50.0, "p99": 99.0}


class Overhead:
    """Measure one world; the variant labels the values of the node."""

    def __init__(self, world: World, seed: int, variant: str = "node") -> None:
        self._world = world
        self._seed = seed
        self._variant = variant
        self._node = world.nodes[0]
        fleet_plan = world.plan.fleets[0]
        self._engines = [
            upstream
            for upstream in world.upstreams
            if upstream.service == fleet_plan.model_service
        ]
        self._services = [
            upstream
            for upstream in world.upstreams
            if upstream.service == fleet_plan.plain_service
        ]

    def idle_memory(self) -> None:
        """Measure the memory of a node before its first request."""
        threading.Event().wait(IDLE_WAIT_S)
        self._print("idle_node_memory", "node", self._node_megabytes(), "MB")

    def short_requests(self) -> None:
        """Measure short calls and model requests, idle and at half load."""
        self._set_speed(FAST_SLOWDOWN)
        for kind in (self._plain_kind(), self._model_kind()):
            self._compare(f"{kind.name}_idle", kind)
            peak_per_s = self._peak_per_s(kind.through_node)
            self._print(f"{kind.name}_peak", "node", peak_per_s, "requests/s")
            half = replace_both(
                kind,
                connections=HALF_LOAD_CONNECTIONS,
                rate_per_s=peak_per_s / 2,
                duration_s=HALF_LOAD_WINDOW_S,
            )
            self._compare(f"{kind.name}_half_load", half, processes=2)

    def token_rate(self) -> None:
        """Measure the tokens per second that the node streams at a high load."""
        self._set_speed(TOKENS_PER_S / FAST_TOKENS_PER_S)
        load = replace(
            self._long_stream(FAST_TOKENS_PER_S),
            connections=FAST_STREAMS // FAST_CLIENTS,
        )
        offered = FAST_STREAMS * FAST_TOKENS_PER_S
        self._print("streamed_tokens_offered", self._variant, offered, "tokens/s")
        with self._processor_use("streaming"):
            loads = loadrun.start(self._world.group, [load] * FAST_CLIENTS)
            result = loadrun.stream_result(loads)
        self._print("streamed_tokens", self._variant, result.tokens_per_s, "tokens/s")
        self._print_gaps("streamed_gap", result)
        self._print("streamed_broken", self._variant, result.broken, "streams")

    def calls_beside_streams(self) -> None:
        """Measure short calls and memory while many long streams are open."""
        self._set_speed(TOKENS_PER_S / OPEN_TOKENS_PER_S)
        streams = replace(
            self._long_stream(OPEN_TOKENS_PER_S),
            connections=OPEN_STREAMS // FAST_CLIENTS,
        )
        calls = replace(
            self._plain_kind().through_node,
            connections=HALF_LOAD_CONNECTIONS,
            rate_per_s=100.0,
            warm_up_s=STREAM_WARM_UP_S,
            duration_s=STREAM_WINDOW_S - 1.0,
        )
        with self._processor_use("open_streams"):
            running = loadrun.start(self._world.group, [streams] * FAST_CLIENTS)
            result = loadrun.call_result(loadrun.start(self._world.group, [calls]))
            streamed = loadrun.stream_result(running)
        name = f"calls_beside_{OPEN_STREAMS}_streams"
        for label, percentile in PERCENTILES.items():
            value = result.latencies.percentile_ms(percentile)
            self._print(f"{name}_{label}", self._variant, value, "ms")
        self._print(f"{name}_failed", self._variant, result.failed, "calls")
        self._print(f"{name}_tokens", self._variant, streamed.tokens_per_s, "tokens/s")
        self._print_gaps(f"{name}_gap", streamed)
        self._print(f"{name}_broken", self._variant, streamed.broken, "streams")
        self._print("busy_node_memory", self._variant, self._node_megabytes(), "MB")

    def _compare(self, name: str, kind: RequestKind, processes: int = 1) -> None:
        latencies = {}
        for variant, load in (("direct", kind.direct), ("node", kind.through_node)):
            process_load = replace(
                load,
                connections=max(1, load.connections // processes),
                rate_per_s=load.rate_per_s / processes,
            )
            processes_started = loadrun.start(
                self._world.group, [process_load] * processes
            )
            result = loadrun.call_result(processes_started)
            latencies[variant] = result.latencies
            self._print(f"{name}_failed", variant, result.failed, "requests")
        for label, percentile in PERCENTILES.items():
            values = {
                variant: measured.percentile_ms(percentile)
                for variant, measured in latencies.items()
            }
            values["added"] = values["node"] - values["direct"]
            for variant, value in values.items():
                self._print(f"{name}_{label}", variant, value, "ms")

    def _peak_per_s(self, load: LoadSpec) -> float:
        peak_load = replace(load, connections=PEAK_CONNECTIONS, duration_s=2.0)
        result = loadrun.call_result(loadrun.start(self._world.group, [peak_load] * 2))
        return result.latencies.count / peak_load.duration_s

    @contextmanager
    def _processor_use(self, name: str) -> Iterator[None]:
        # The processor use of the node and the engines shows which is the bottleneck.
        engines_before_s = [engine.process.cpu_s() for engine in self._engines]
        node_before_s = self._node.process.cpu_s()
        started_s = time.perf_counter()
        yield
        elapsed_s = time.perf_counter() - started_s
        node_s = self._node.process.cpu_s() - node_before_s
        engine_s = [
            engine.process.cpu_s() - before_s
            for engine, before_s in zip(self._engines, engines_before_s, strict=True)
        ]
        self._print(f"{name}_processor", self._variant, node_s / elapsed_s, "cores")
        self._print(
            f"{name}_processor", "busiest_engine", max(engine_s) / elapsed_s, "cores"
        )

    def _plain_kind(self) -> RequestKind:
        service = self._services[0]
        target = "/stock/bolts"
        direct = LoadSpec(service.url, target, "", method="GET")
        node = replace(
            direct,
            url=self._node.callers_url,
            path=f"/v1/services/{service.service}{target}",
            headers=self._headers(),
        )
        return RequestKind("plain_call", node, direct)

    def _model_kind(self) -> RequestKind:
        engine = self._engines[0]
        prompt = "which bolts fit"
        # An engine refuses a request id that is already running.
        body = {
            "request_id": f"{os.getpid()}-{NUMBER_PLACEHOLDER}",
            "prompt": f"user: {prompt}",
            "max_tokens": SHORT_TOKENS,
        }
        direct = LoadSpec(engine.url, "/v1/generate", json.dumps(body))
        node = self._chat_load(prompt, SHORT_TOKENS, stream=False)
        return RequestKind("model_request", node, direct)

    def _long_stream(self, tokens_per_s: float) -> LoadSpec:
        stream_s = STREAM_WARM_UP_S + STREAM_WINDOW_S + STREAM_MARGIN_S
        tokens = int(tokens_per_s * stream_s)
        load = self._chat_load("the whole catalogue", tokens, stream=True)
        return replace(
            load,
            tokens_marker='"content"',
            warm_up_s=STREAM_WARM_UP_S,
            duration_s=STREAM_WINDOW_S,
        )

    def _chat_load(self, prompt: str, tokens: int, *, stream: bool) -> LoadSpec:
        body = {
            "model": self._engines[0].service,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
            "seed": self._seed,
        }
        path = "/v1/chat/completions"
        url = self._node.callers_url
        return LoadSpec(url, path, json.dumps(body), headers=self._headers())

    def _headers(self) -> dict[str, str]:
        credential = self._world.credential(self._node.fleet, "counter")
        return {"Authorization": f"Bearer {credential}"}

    def _set_speed(self, slowdown: float) -> None:
        for engine in self._engines:
            self._world.control(engine.process, slowdown=slowdown)

    def _node_megabytes(self) -> float:
        return self._node.process.resident_bytes() / 2**20

    def _print_gaps(self, name: str, result: loadrun.StreamResult) -> None:
        for label, percentile in PERCENTILES.items():
            value = result.gaps.percentile_ms(percentile)
            self._print(f"{name}_{label}", self._variant, value, "ms")

    def _print(self, measure: str, variant: str, value: float, unit: str) -> None:
        loadrun.print_measure(measure, variant, value, unit, self._seed)


def main(argv: Sequence[str] | None = None) -> int:
    """Print the selected measures as JSON lines."""
    parser = argparse.ArgumentParser(prog="python -m cicadapass_bench.overhead")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", choices=["requests", "tokens", "beside", "copies"])
    arguments = parser.parse_args(argv)
    measure_groups: dict[str, tuple[Callable[[Overhead], None], ...]] = {
        "requests": (Overhead.idle_memory, Overhead.short_requests),
        "tokens": (Overhead.token_rate,),
        "beside": (Overhead.calls_beside_streams,),
        "copies": (Overhead.token_rate,),
    }
    for name, measures in measure_groups.items():
        if arguments.only not in (None, name):
            continue
        copies = name == "copies"
        # Each group starts a new world, because a node keeps the limits and speeds
        # that it learned under the load of the previous group.
        with running_world(plan_world(copies=copies)) as world:
            world.wait_members(len(world.nodes))
            variant = "node_with_copies" if copies else "node"
            overhead = Overhead(world, arguments.seed, variant)
            for measure in measures:
                measure(overhead)
    return 0


if __name__ == "__main__":
    sys.exit(main())
