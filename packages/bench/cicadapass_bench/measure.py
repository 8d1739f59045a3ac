"""Measure the four measures of the design with real nodes and stand-ins."""

import argparse
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from cicadapass_bench.callerkit import Caller
from cicadapass_bench.loadrun import print_measure
from cicadapass_bench.measureload import Answered, Arrivals, plan_arrivals, send
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
# What an engine generates a second with all slots busy.
ENGINE_TOKENS_PER_S = SLOTS * TOKENS_PER_S / (1 + BATCH_COST * (SLOTS - 1))
PRICE_PER_HOUR = 0.7

SHORT_PER_S = 25.0
LONG_PER_S = 1.2
COST_LOAD = Arrivals(short_per_s=20.0, long_per_s=0.6, duration_s=6.0)
COST_TOKENS_PER_S = 20.0 * 16 + 0.6 * 600
FIRST_TOKEN_S = 0.78
FIRST_TOKEN_SHARE = 0.95
SLOWDOWN = 10.0
REPORT_LAG_S = 2.0
KILL_AT_S = 4.0
HEAD_OF_LINE_S = 14.0
TAIL_S = 16.0

OFF: Mapping[str, Mapping[str, Any]] = {
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
# The rules have no rotation: one random choice spreads as evenly in the mean.
VARIANTS: dict[str, Mapping[str, Any]] = {
    "cicadapass": {},
    "round_robin": {
        **OFF,
        "routing": {**OFF["routing"], "choices": 1},
        "retry": {**OFF["retry"], "retry": False},
    },
    "least_outstanding": {**OFF, "routing": {**OFF["routing"], "choices": 16}},
}


class Measures:
    """Run the measures of one variant on one world."""

    def __init__(self, world: World, variant: str, seed: int) -> None:
        self._world = world
        self._variant = variant
        self._seed = seed
        plan = world.plan.fleets[0]
        self._service = plan.model_service
        self._engines = [e for e in world.upstreams if e.service == self._service]
        urls = [node.callers_url for node in world.nodes]
        credential = world.credential(plan.name, plan.workspaces[0])
        self._caller = Caller(credential, lambda: urls)

    def run(self) -> None:
        """Run all measures; the last one kills an engine."""
        self.head_of_line()
        self.tail()
        self.cost()
        self.recomputed()

    def head_of_line(self) -> None:
        """Measure short requests with and without long ones beside them."""
        window = Arrivals(duration_s=HEAD_OF_LINE_S)
        both = self._send(
            replace(window, short_per_s=SHORT_PER_S, long_per_s=LONG_PER_S)
        )
        short = self._send(replace(window, short_per_s=SHORT_PER_S))
        long = self._send(replace(window, long_per_s=LONG_PER_S))
        p99_ms, alone_ms = both.short_ms(99.0), short.short_ms(99.0)
        self._print("head_of_line_short_p99", p99_ms, "ms")
        self._print("head_of_line_short_p99_alone", alone_ms, "ms")
        self._print("head_of_line_ratio", _ratio(p99_ms, alone_ms), "ratio")
        speed = _ratio(both.long_tokens_per_s(), long.long_tokens_per_s())
        self._print("head_of_line_long_speed", speed, "ratio")
        incomplete = both.incomplete + short.incomplete + long.incomplete
        self._print("head_of_line_incomplete", incomplete, "answers")

    def tail(self) -> None:
        """Measure short requests with and without one slowed engine."""
        load = Arrivals(SHORT_PER_S, duration_s=TAIL_S)
        usual = self._send(load)
        slowed = self._engines[0]
        attempts = self._attempts()
        self._world.control(
            slowed.process, slowdown=SLOWDOWN, report_lag_s=REPORT_LAG_S
        )
        answered = self._send(load)
        extra = self._attempts() - attempts - self._sent
        self._world.control(slowed.process, slowdown=1.0, report_lag_s=0.0)
        p99_ms, usual_ms = answered.short_ms(99.0), usual.short_ms(99.0)
        self._print("tail_p99_slowed", p99_ms, "ms")
        self._print("tail_p99_usual", usual_ms, "ms")
        self._print("tail_ratio", _ratio(p99_ms, usual_ms), "ratio")
        self._print("tail_extra_attempts", 100 * _ratio(extra, self._sent), "%")
        self._print("tail_incomplete", answered.incomplete, "answers")

    def cost(self) -> None:
        """Find the fewest engines that meet the latency target."""
        fewest = -(-COST_TOKENS_PER_S // ENGINE_TOKENS_PER_S)
        needed = None
        for count in range(int(fewest), len(self._engines) + 1):
            self._publish_engines(count)
            share = self._send(COST_LOAD).share_within(FIRST_TOKEN_S)
            self._print(f"cost_in_time_with_{count}_engines", 100 * share, "%")
            if share >= FIRST_TOKEN_SHARE:
                needed = count
                break
        self._publish_engines(len(self._engines))
        if needed is not None:
            self._print("cost_at_target", needed * PRICE_PER_HOUR, "price/h")
            self._print("cost_ratio", needed / fewest, "ratio")

    def recomputed(self) -> None:
        """Kill an engine under load and count the tokens computed again."""
        victim = self._engines[-1]
        pages: list[dict[str, Any]] = []

        def kill() -> None:
            pages.append(self._stats(victim))
            victim.process.kill()

        load = Arrivals(SHORT_PER_S / 2, LONG_PER_S, warm_up_s=0.0)
        answered = self._send(load, [(KILL_AT_S, kill)])
        lost = pages[0]
        pages += [self._stats(each) for each in self._engines if each is not victim]
        again = recomputed_tokens(pages)
        restart = _moved_tokens(lost, pages[1:])
        self._print("recomputed_tokens", again, "tokens")
        self._print("recomputed_by_restart", restart, "tokens")
        self._print("recomputed_of_restart", 100 * _ratio(again, restart), "%")
        self._print("recomputed_incomplete", answered.incomplete, "answers")

    def _send(
        self,
        arrivals: Arrivals,
        events: Sequence[tuple[float, Callable[[], None]]] = (),
    ) -> Answered:
        answered = send(self._caller, arrivals, self._service, self._seed, events)
        every = replace(arrivals, warm_up_s=0.0)
        self._sent = len(plan_arrivals(every, self._service, self._seed))
        return answered

    def _attempts(self) -> int:
        pages = [self._stats(engine) for engine in self._engines]
        return sum(len(each) for page in pages for each in page["requests"].values())

    def _stats(self, engine: UpstreamProcess) -> dict[str, Any]:
        return dict(self._world.http.request("GET", f"{engine.url}/stats").json())

    def _publish_engines(self, count: int) -> None:
        document = self._world.inventory()
        upstreams = document["fleets"][self._world.plan.fleets[0].name]["upstreams"]
        # The engines that stay are spread over the data centres.
        ordered = sorted(self._engines, key=lambda each: each.name[-1])
        for engine in ordered[count:]:
            del upstreams[engine.name]
        published = self._world.publish(document)
        if published.returncode != 0:
            raise RuntimeError(f"publish failed: {published.stderr}")

    def _print(self, measure: str, value: float, unit: str) -> None:
        print_measure(measure, self._variant, value, unit, self._seed)


def _moved_tokens(lost: Mapping[str, Any], others: Sequence[Mapping[str, Any]]) -> int:
    """Return the tokens of the lost engine for requests that went on elsewhere."""
    moved = {name for page in others for name in page["requests"]}
    return sum(
        attempt["computed"] - attempt["resume_from"]
        for name, attempts in lost["requests"].items()
        if name in moved
        for attempt in attempts
    )


def _ratio(value: float, base: float) -> float:
    return value / base if base else 0.0


def plan(variant: str) -> WorldPlan:
    """Return Grabhandle's three data centres with fewer engines than today."""
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
    """Print the measures of all variants as JSON lines."""
    parser = argparse.ArgumentParser(prog="python -m cicadapass_bench.measure")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--variant", choices=list(VARIANTS), action="append")
    arguments = parser.parse_args(argv)
    for variant in arguments.variant or VARIANTS:
        with running_world(plan(variant)) as world:
            Measures(world, variant, arguments.seed).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
