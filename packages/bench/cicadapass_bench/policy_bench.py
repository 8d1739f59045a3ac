"""Simulate the routing decisions on a virtual clock; print JSON lines of measures."""

import argparse
import dataclasses
import json
import random
import sys
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from cicadapass_bench.engine_model import Engine, EventLoop, schedule_slowdowns
from cicadapass_bench.node_model import BaselineNode, CicadapassNode, Request
from cicadapass_decisions.policy import Policy

ENGINES = 10
DATA_CENTRES = 3
NODES = 6
WARM_UP_S = 10.0
RUN_S = 70.0
# Time after the last arrival in which running requests may finish.
DRAIN_S = 60.0
DEADLINE_S = 5.0
# Short requests per second that least_outstanding completes with all slots busy.
CAPACITY_PER_S = 69.5
SHORT_TOKENS = (16, 64)
LONG_TOKENS = 1000
LONG_PER_S = 4.0
# Mechanisms that a variant disables one at a time: group and field of the policy.
SWITCHES = (
    ("queue", "reserve_short"),
    ("queue", "fair"),
    ("admission", "shed"),
    ("routing", "use_reports"),
    ("routing", "use_peers"),
    ("routing", "use_speed"),
    ("routing", "prefer_prefix"),
    ("routing", "prefer_near"),
    ("limits", "adapt"),
    ("slowness", "detect"),
    ("slowness", "panic"),
    ("retry", "hedge"),
    ("retry", "hedge_stalled"),
    ("retry", "limit_budget"),
    ("work", "use_history"),
)


@dataclass(frozen=True, slots=True)
class Workload:
    """Describe the arrivals and faults of one simulation; rates are per second."""

    short_per_s: float = 0.0
    long_per_s: float = 0.0
    flood_per_s: float = 0.0
    slow_ratio: float = 1.0
    report_lag_s: float = 2.0
    priorities: bool = False
    conversations: int = 0
    deadline_s: float = 600.0


RequestSampler = Callable[[random.Random], tuple[str, int, int, int, int | None]]


def variant_policy(variant: str) -> Policy:
    """Return the default policy, without the mechanism that the variant disables."""
    policy = Policy()
    for group, switch in SWITCHES:
        if variant == f"without_{group}.{switch}":
            rules = dataclasses.replace(getattr(policy, group), **{switch: False})
            policy = dataclasses.replace(policy, **{group: rules})
    return policy


def simulate(variant: str, workload: Workload, seed: int) -> list[Request]:
    """Simulate one workload; return the requests that arrived after the warm-up."""
    rng = random.Random(seed)
    loop = EventLoop()
    data_centres = [f"grabhandle/dc-{i}" for i in range(DATA_CENTRES)]
    engines = [
        Engine(loop, f"grabhandle/parts-{i}", data_centres[i % DATA_CENTRES])
        for i in range(ENGINES)
    ]
    for engine in engines:
        loop.call_every(0.1, engine.record_load)
    if workload.slow_ratio > 1.0:
        schedule_slowdowns(loop, engines, random.Random(seed + 1), workload.slow_ratio)
    nodes = _create_nodes(variant, loop, engines, data_centres, workload, rng)
    requests: list[Request] = []
    arrivals: list[tuple[float, RequestSampler]] = [
        (
            workload.short_per_s,
            lambda rng: _sample_short(rng, workload, f"w{rng.randrange(5)}"),
        ),
        (workload.flood_per_s, lambda rng: _sample_short(rng, workload, "flood")),
        (workload.long_per_s, lambda rng: ("w0", LONG_TOKENS, 200, 1, None)),
    ]
    for index, (rate, sample) in enumerate(arrivals):
        # Each stream has its own generator, so that a stream that is common to two
        # compared workloads has the same arrivals in both.
        stream_rng = random.Random(10 * seed + index)
        if rate > 0:
            _schedule_arrivals(
                loop, stream_rng, rate, sample, nodes, requests, workload
            )
    loop.run_until(RUN_S + DRAIN_S)
    return [request for request in requests if request.arrived_s >= WARM_UP_S]


def _create_nodes(
    variant: str,
    loop: EventLoop,
    engines: list[Engine],
    data_centres: list[str],
    workload: Workload,
    rng: random.Random,
) -> list[BaselineNode] | list[CicadapassNode]:
    if variant in ("round_robin", "least_outstanding"):
        round_robin = variant == "round_robin"
        return [BaselineNode(loop, engines, round_robin) for _ in range(NODES)]
    weights = {f"w{i}": 1.0 for i in range(5)} | {"flood": 1.0}
    policy = variant_policy(variant)
    nodes = []
    for i in range(NODES):
        node_rng = random.Random(rng.random())
        data_centre = data_centres[i % DATA_CENTRES]
        nodes.append(
            CicadapassNode(
                loop,
                engines,
                data_centre,
                policy,
                weights,
                node_rng,
                workload.report_lag_s,
            )
        )
    for node in nodes:
        same_data_centre_only = variant == "peers_in_data_centre"
        other_nodes = [other for other in nodes if other is not node]
        data_centre = node.data_centre
        node.peers = [
            other
            for other in other_nodes
            if not same_data_centre_only or other.data_centre == data_centre
        ]
    return nodes


def _sample_short(
    rng: random.Random, workload: Workload, workspace: str
) -> tuple[str, int, int, int, int | None]:
    tokens = rng.randint(*SHORT_TOKENS)
    priority = rng.choices((9, 5, 1), (1, 3, 6))[0] if workload.priorities else 5
    if workload.conversations:
        return workspace, tokens, 1024, priority, rng.randrange(workload.conversations)
    return workspace, tokens, rng.randint(50, 300), priority, None


def _schedule_arrivals(
    loop: EventLoop,
    rng: random.Random,
    rate: float,
    sample: RequestSampler,
    nodes: Sequence[BaselineNode | CicadapassNode],
    requests: list[Request],
    workload: Workload,
) -> None:
    def submit_next() -> None:
        if loop.now_s > RUN_S:
            return
        workspace, tokens, prompt_tokens, priority, conversation = sample(rng)
        request = Request(
            str(len(requests)),
            workspace,
            tokens,
            prompt_tokens,
            priority,
            loop.now_s,
            loop.now_s + workload.deadline_s,
            conversation,
        )
        requests.append(request)
        rng.choice(nodes).submit(request)
        loop.call_later(rng.expovariate(rate), submit_next)

    loop.call_later(rng.expovariate(rate), submit_next)


def p99_latency_s(requests: list[Request]) -> float:
    """Return the 99th percentile of the latency.

    Unfinished requests count with the time until the end of the simulation.
    """
    end_s = RUN_S + DRAIN_S
    latencies_s = sorted(
        (request.done_s or end_s) - request.arrived_s for request in requests
    )
    return latencies_s[int(len(latencies_s) * 0.99)] if latencies_s else 0.0


def _short_requests(requests: list[Request]) -> list[Request]:
    return [request for request in requests if request.tokens < LONG_TOKENS]


def _mean_attempts(requests: list[Request]) -> float:
    return sum(request.attempts for request in requests) / max(1, len(requests))


def head_of_line(variant: str, seed: int) -> Iterator[tuple[str, float, str]]:
    """Compare short requests mixed with long ones to short requests alone."""
    short_per_s = 0.35 * CAPACITY_PER_S
    with_long = simulate(variant, Workload(short_per_s, long_per_s=LONG_PER_S), seed)
    short_alone = simulate(variant, Workload(short_per_s), seed)
    long_alone = simulate(variant, Workload(long_per_s=LONG_PER_S), seed)
    yield (
        "head_of_line.short_p99_ratio",
        p99_latency_s(_short_requests(with_long)) / p99_latency_s(short_alone),
        "ratio",
    )
    yield "head_of_line.short_p99", p99_latency_s(_short_requests(with_long)), "s"
    completed_long = [
        _count_completed_long(requests) for requests in (with_long, long_alone)
    ]
    yield (
        "head_of_line.long_throughput_ratio",
        completed_long[0] / max(1, completed_long[1]),
        "ratio",
    )


def _count_completed_long(requests: list[Request]) -> int:
    return sum(
        request.tokens == LONG_TOKENS
        and request.done_s is not None
        and request.done_s <= RUN_S
        for request in requests
    )


def tail(variant: str, seed: int) -> Iterator[tuple[str, float, str]]:
    """Compare runs with and without a fifth of the engines slowed tenfold at times."""
    short_per_s = 0.5 * CAPACITY_PER_S
    slowed = simulate(variant, Workload(short_per_s, slow_ratio=10.0), seed)
    unslowed = simulate(variant, Workload(short_per_s), seed)
    yield "tail.p99_ratio", p99_latency_s(slowed) / p99_latency_s(unslowed), "ratio"
    yield "tail.extra_attempts", _mean_attempts(slowed) - 1.0, "ratio"


def fairness(variant: str, seed: int) -> Iterator[tuple[str, float, str]]:
    """Compare the other workspaces' latency when one sends ten times its share."""
    short_per_s = 0.5 * CAPACITY_PER_S
    share_per_s = short_per_s / 5
    flooded = simulate(
        variant, Workload(short_per_s, flood_per_s=10 * share_per_s), seed
    )
    normal = simulate(variant, Workload(short_per_s, flood_per_s=share_per_s), seed)
    others_p99_s = [
        p99_latency_s([request for request in requests if request.workspace != "flood"])
        for requests in (flooded, normal)
    ]
    yield "fairness.others_p99_ratio", others_p99_s[0] / others_p99_s[1], "ratio"


def overload(variant: str, seed: int) -> Iterator[tuple[str, float, str]]:
    """Compare a load of twice the capacity with 0.8 and 1.0 of it."""
    requests_by_load = [
        simulate(
            variant,
            Workload(load_ratio * CAPACITY_PER_S, priorities=True, deadline_s=5.0),
            seed,
        )
        for load_ratio in (0.8, 1.0, 2.0)
    ]
    in_time_counts = [
        sum(_is_in_time(request) for request in requests)
        for requests in requests_by_load
    ]
    yield "overload.goodput_ratio", in_time_counts[2] / max(in_time_counts), "ratio"
    highest = [
        [request for request in requests if request.priority == 9]
        for requests in requests_by_load
    ]
    yield (
        "overload.highest_p99_ratio",
        p99_latency_s(highest[2]) / p99_latency_s(highest[0]),
        "ratio",
    )
    in_time_ratio = sum(_is_in_time(request) for request in highest[2]) / max(
        1, len(highest[2])
    )
    yield "overload.highest_in_time", in_time_ratio, "ratio"
    yield "overload.attempts", _mean_attempts(requests_by_load[2]), "ratio"
    refusal_delays_s = sorted(
        request.refused_s - request.arrived_s
        for request in requests_by_load[2]
        if request.refused_s
    )
    yield (
        "overload.told_not_run_p99",
        refusal_delays_s[int(len(refusal_delays_s) * 0.99)]
        if refusal_delays_s
        else -1.0,
        "s",
    )


def _is_in_time(request: Request) -> bool:
    return (
        request.done_s is not None and request.done_s <= request.arrived_s + DEADLINE_S
    )


def prefix(variant: str, seed: int) -> Iterator[tuple[str, float, str]]:
    """Compare the prefix cache hits with those of ideal routing."""
    requests = simulate(
        variant, Workload(0.5 * CAPACITY_PER_S, conversations=200), seed
    )
    completed = [request for request in requests if request.done_s is not None]
    # The engines' caches together hold all conversations, so with ideal routing only
    # the first request of a conversation that the warm-up did not draw is a miss.
    expected_first_requests = 200 * (1.0 - 1.0 / 200) ** (
        0.5 * CAPACITY_PER_S * WARM_UP_S
    )
    hits = sum(request.cache_hit for request in completed)
    yield (
        "prefix.hits_of_perfect",
        hits / (len(completed) - expected_first_requests),
        "ratio",
    )


MEASURES = {
    "head_of_line": head_of_line,
    "tail": tail,
    "fairness": fairness,
    "overload": overload,
    "prefix": prefix,
}
VARIANTS = (
    "cicadapass",
    "round_robin",
    "least_outstanding",
    "peers_in_data_centre",
    *(f"without_{group}.{switch}" for group, switch in SWITCHES),
)


def main() -> int:
    """Print the selected measures of each variant and seed."""
    parser = argparse.ArgumentParser(prog="python -m cicadapass_bench.policy_bench")
    parser.add_argument("--measure", choices=MEASURES, action="append")
    parser.add_argument("--variant", choices=VARIANTS, action="append")
    parser.add_argument("--seed", type=int, action="append")
    args = parser.parse_args()
    for seed in args.seed or [1]:
        for measure in args.measure or MEASURES:
            for variant in args.variant or VARIANTS:
                for name, value, unit in MEASURES[measure](variant, seed):
                    line = {"measure": name, "variant": variant}
                    line |= {"value": round(value, 4), "unit": unit, "seed": seed}
                    print(json.dumps(line), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
