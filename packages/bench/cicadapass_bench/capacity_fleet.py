"""Measure the time of one fleet plan by the number of engines."""

import random
import time

from cicadapass_bench.capacity_output import Output
from cicadapass_bench.capacity_plan import PlannedSize
from cicadapass_decisions.fleet import Demand, Market, Offer, RunningVm, plan_fleet
from cicadapass_decisions.policy import Policy

ENGINE_COUNTS = (50, 140, 350, 1_400)
REPEATS = 5
SERVICES = ("g/parts", "k/layouts")
SLOTS = 8


def measure_fleet(output: Output, plan: PlannedSize) -> None:
    """Measure the processor time of a plan that has purchases."""
    pairs = []
    for count in ENGINE_COUNTS:
        times_s = []
        for repeat in range(REPEATS):
            times_s.append(_time_plan_s(count, random.Random(output.seed + repeat)))
        pairs.append((count, 1e3 * min(times_s)))
    output.series("fleet_plan_ms", "engines", pairs, "ms")
    output.projected("fleet_plan_ms", plan.engines / plan.data_centres, "ms")


def _time_plan_s(count: int, rng: random.Random) -> float:
    markets = [
        Market(f"zone-{zone}", machine, reclaimable)
        for zone in range(3)
        for machine in ("l4", "a100", "h100")
        for reclaimable in (False, True)
    ]
    offers = [Offer(market, SLOTS, rng.uniform(0.5, 4.0)) for market in markets]
    vms = [
        RunningVm(f"e-{n}", rng.choice(markets), SLOTS, 1.0, rng.choice(SERVICES))
        for n in range(count)
    ]
    # The demand exceeds the running engines by 10%, so that the plan has purchases.
    demands = [Demand(name, 1.1 * count * SLOTS / len(SERVICES)) for name in SERVICES]
    rules = Policy().cost
    start_s = time.process_time()
    plan_fleet(demands, vms, offers, {}, 0.0, rules)
    return time.process_time() - start_s
