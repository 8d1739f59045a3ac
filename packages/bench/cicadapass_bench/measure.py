"""Measure latency, cost and recomputed tokens with real nodes and stand-in engines."""

import argparse
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from cicadapass_bench.callerkit import Caller
from cicadapass_bench.loadrun import print_measure
from cicadapass_bench.measureload import (
    AnsweredRequests,
    Arrivals,
    plan_arrivals,
    send_arrivals,
)
from cicadapass_bench.world import (
    GRABHANDLE,
    UpstreamProcess,
    World,
    WorldPlan,
    running_world,
)
from cicadapass_standins.stats import recomputed_tokens

ENGINES_PER_DATA_CENTRE = 2
SLOTS = 4
TOKENS_PER_S = 100
BATCH_COST = 0.1
# Tokens per second of an engine with all slots busy.
ENGINE_TOKENS_PER_S = SLOTS * TOKENS_PER_S / (1 + BATCH_COST * (SLOTS - 1))
PRICE_PER_HOUR = 0.7

SHORT_PER_S = 25.0
LONG_PER_S = 1.2
COST_LOAD = Arrivals(short_per_s=20.0, long_per_s=0.6, duration_s=6.0)
COST_TOKENS_PER_S = 20.0 * 16 + 0.6 * 600
FIRST_TOKEN_S = 0.78
FIRST_TOKEN_FRACTION = 0.95
SLOWDOWN = 10.0
REPORT_LAG_S = 2.0
KILL_AT_S = 4.0
HEAD_OF_LINE_S = 14.0
TAIL_S = 16.0

ALL_DISABLED: Mapping[str, Mapping[str, Any]] = {
    "work": {"use_history": False},
    "queue": {"reserve_short": False, "fair": False},
    "admission": {"shed": False},
    "routing": {
        "use_reports": False,
        "use_peers": False,
        "use_speed": False,
        "prefer_prefix": False,
        "prefer_near": False,
    },
    "cost": {"weigh_price": False},
    "limits": {"adapt": False},
    "slowness": {"detect": False, "break_circuit": False, "panic": False},
    "retry": {"hedge": False, "limit_budget": False},
}
# The rules have no round robin; one random choice has the same mean distribution.
VARIANTS: dict[str, Mapping[str, Any]] = {
    "cicadapass": {},
    "round_robin": {
        **ALL_DISABLED,
        "routing": {**ALL_DISABLED["routing"], "choices": 1},
        "retry": {**ALL_DISABLED["retry"], "retry": False},
    },
    "least_outstanding": {
        **ALL_DISABLED,
        "routing": {**ALL_DISABLED["routing"], "choices": 16},
    },
}


class Measures:
    """Run all measures of one variant in one world."""

    def __init__(self, world: World, variant: str, seed: int) -> None:
        self._world = world
        self._variant = variant
        self._seed = seed
        fleet_plan = world.plan.fleets[0]
        self._service = fleet_plan.model_service
        self._engines = [
            engine for engine in world.upstreams if engine.service == self._service
        ]
        urls = [node.callers_url for node in world.nodes]
        credential = world.credential(fleet_plan.name, fleet_plan.workspaces[0])
        self._caller = Caller(credential, lambda: urls)

    def run(self) -> None:
        """Run all measures; the one that kills an engine runs last."""
        self.head_of_line()
        self.tail()
        self.cost()
        self.recomputed()

    def head_of_line(self) -> None:
        """Measure short requests with and without concurrent long ones."""
        window = Arrivals(duration_s=HEAD_OF_LINE_S)
        mixed = self._send(
            replace(window, short_per_s=SHORT_PER_S, long_per_s=LONG_PER_S)
        )
        short_only = self._send(replace(window, short_per_s=SHORT_PER_S))
        long_only = self._send(replace(window, long_per_s=LONG_PER_S))
        p99_ms, alone_ms = mixed.short_ms(99.0), short_only.short_ms(99.0)
        self._print("head_of_line_short_p99", p99_ms, "ms")
        self._print("head_of_line_short_p99_alone", alone_ms, "ms")
        self._print("head_of_line_ratio", _ratio(p99_ms, alone_ms), "ratio")
        speed = _ratio(mixed.long_tokens_per_s(), long_only.long_tokens_per_s())
        self._print("head_of_line_long_speed", speed, "ratio")
        incomplete = mixed.incomplete + short_only.incomplete + long_only.incomplete
        self._print("head_of_line_incomplete", incomplete, "answers")

    def tail(self) -> None:
        """Measure short requests with and without one slowed engine."""
        load = Arrivals(SHORT_PER_S, duration_s=TAIL_S)
        baseline = self._send(load)
        slowed_engine = self._engines[0]
        attempts_before = self._count_attempts()
        self._world.control(
            slowed_engine.process, slowdown=SLOWDOWN, report_lag_s=REPORT_LAG_S
        )
        answered = self._send(load)
        extra_attempts = self._count_attempts() - attempts_before - self._sent_count
        self._world.control(slowed_engine.process, slowdown=1.0, report_lag_s=0.0)
        p99_ms, baseline_ms = answered.short_ms(99.0), baseline.short_ms(99.0)
        self._print("tail_p99_slowed", p99_ms, "ms")
        self._print("tail_p99_usual", baseline_ms, "ms")
        self._print("tail_ratio", _ratio(p99_ms, baseline_ms), "ratio")
        self._print(
            "tail_extra_attempts", 100 * _ratio(extra_attempts, self._sent_count), "%"
        )
        self._print("tail_incomplete", answered.incomplete, "answers")

    def cost(self) -> None:
        """Find the smallest number of engines that meets the first-token target."""
        min_count = -(-COST_TOKENS_PER_S // ENGINE_TOKENS_PER_S)
        required_count = None
        for count in range(int(min_count), len(self._engines) + 1):
            self._publish_engines(count)
            fraction = self._send(COST_LOAD).fraction_within(FIRST_TOKEN_S)
            self._print(f"cost_in_time_with_{count}_engines", 100 * fraction, "%")
            if fraction >= FIRST_TOKEN_FRACTION:
                required_count = count
                break
        self._publish_engines(len(self._engines))
        if required_count is not None:
            self._print("cost_at_target", required_count * PRICE_PER_HOUR, "price/h")
            self._print("cost_ratio", required_count / min_count, "ratio")

    def recomputed(self) -> None:
        """Kill an engine under load and count the recomputed tokens."""
        victim = self._engines[-1]
        stats: list[dict[str, Any]] = []

        def kill() -> None:
            stats.append(self._stats(victim))
            victim.process.kill()

        load = Arrivals(SHORT_PER_S / 2, LONG_PER_S, warm_up_s=0.0)
        answered = self._send(load, [(KILL_AT_S, kill)])
        victim_stats = stats[0]
        stats += [
            self._stats(engine) for engine in self._engines if engine is not victim
        ]
        recomputed_count = recomputed_tokens(stats)
        restart_tokens = _migrated_tokens(victim_stats, stats[1:])
        self._print("recomputed_tokens", recomputed_count, "tokens")
        self._print("recomputed_by_restart", restart_tokens, "tokens")
        self._print(
            "recomputed_of_restart", 100 * _ratio(recomputed_count, restart_tokens), "%"
        )
        self._print("recomputed_incomplete", answered.incomplete, "answers")

    def _send(
        self,
        arrivals: Arrivals,
        events: Sequence[tuple[float, Callable[[], None]]] = (),
    ) -> AnsweredRequests:
        answered = send_arrivals(
            self._caller, arrivals, self._service, self._seed, events
        )
        all_arrivals = replace(arrivals, warm_up_s=0.0)
        self._sent_count = len(plan_arrivals(all_arrivals, self._service, self._seed))
        return answered

    def _count_attempts(self) -> int:
        pages = [self._stats(engine) for engine in self._engines]
        return sum(
            len(attempts) for page in pages for attempts in page["requests"].values()
        )

    def _stats(self, engine: UpstreamProcess) -> dict[str, Any]:
        return dict(self._world.http.request("GET", f"{engine.url}/stats").json())

    def _publish_engines(self, count: int) -> None:
        inventory = self._world.inventory()
        upstreams = inventory["fleets"][self._world.plan.fleets[0].name]["upstreams"]
        # Names end in the index in the data centre, so the remaining engines are spread
        # over the data centres.
        ordered = sorted(self._engines, key=lambda engine: engine.name[-1])
        for engine in ordered[count:]:
            del upstreams[engine.name]
        published = self._world.publish(inventory)
        if published.returncode != 0:
            raise RuntimeError(f"publish failed: {published.stderr}")

    def _print(self, measure: str, value: float, unit: str) -> None:
        print_measure(measure, self._variant, value, unit, self._seed)


def _migrated_tokens(
    lost_stats: Mapping[str, Any], other_stats: Sequence[Mapping[str, Any]]
) -> int:
    """Return the lost engine's tokens for requests that continued on other engines."""
    migrated = {request_id for stats in other_stats for request_id in stats["requests"]}
    return sum(
        attempt["computed"] - attempt["resume_from"]
        for request_id, attempts in lost_stats["requests"].items()
        if request_id in migrated
        for attempt in attempts
    )


def _ratio(value: float, base: float) -> float:
    return value / base if base else 0.0


def plan_world(variant: str) -> WorldPlan:
    """Return Grabhandle's three data centres with few engines in each."""
    fleet = replace(GRABHANDLE, engines=ENGINES_PER_DATA_CENTRE)
    return WorldPlan(
        fleets=(fleet,),
        engine_slots=SLOTS,
        engine_options=(
            *("--tokens-per-s", str(TOKENS_PER_S)),
            *("--batch-cost", str(BATCH_COST)),
        ),
        rules=VARIANTS[variant],
    )


def main(argv: Sequence[str] | None = None) -> int:
    """Print the measures of the selected variants as JSON lines."""
    parser = argparse.ArgumentParser(prog="python -m cicadapass_bench.measure")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--variant", choices=list(VARIANTS), action="append")
    arguments = parser.parse_args(argv)
    for variant in arguments.variant or VARIANTS:
        with running_world(plan_world(variant)) as world:
            Measures(world, variant, arguments.seed).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
