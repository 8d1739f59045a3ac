"""Decide how many engines of each class to hold in each data centre.

Answers a reclaim of all reclaimable engines of one data centre at once: the engines
that would be left must carry the demand. Reclaimable engines are cheap, so they carry
the load everywhere; on-demand engines fill what the loss of one data centre would
leave open, or while reclaimable ones are not to be had.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from cicadapass_decisions.passthrough import Scaling

# Part of the prompt tokens that an engine can read for which it is planned, so that
# first tokens stay in time through bursts and beside decoding. Reclaimable engines are
# cheap and planned amply; on-demand ones only cover what must be served.
TARGET_UTILISATION = 0.35
MAX_UTILISATION = 0.6
# Engines held in each data centre when demand is unknown or low.
MIN_ENGINES_PER_DATA_CENTRE = 2
# Reclaimable engines are asked for again this long after a refusal.
REFUSAL_RETRY_S = 2.0
# A data centre counts as without them for this long, so that the time between two
# refusals does not look like one with engines to be had.
SCARCITY_S = 5.0
# Fewer engines are ordered only after this long without a need for more.
SHRINK_AFTER_S = 3.0
# A peak of the need is remembered for this long.
PEAK_HOLD_S = 6.0


@dataclass(frozen=True, slots=True)
class CurrentEngines:
    """Hold the engines of one service in one data centre."""

    on_demand: int
    reclaimable: int
    # Reclaimable engines could not be had lately.
    reclaimable_scarce: bool


@dataclass(frozen=True, slots=True)
class EngineTargets:
    """Hold the engines wanted in one data centre."""

    on_demand: int
    reclaimable: int


@dataclass(frozen=True, slots=True)
class RequiredEngines:
    """Hold the engines that serve the demand amply, and those that just do."""

    target: int
    minimum: int


@dataclass(frozen=True, slots=True)
class EngineDemand:
    """Hold what is asked of the engines of a service."""

    tokens_per_s: float
    prefill_s_per_token: float
    # Requests in progress and waiting, and the slots of one engine.
    requests: int
    slots: int
    # Engines held before there was any demand, for the first moments of it.
    initial_engines: int
    # Engines for the demand that is expected at a start. On-demand ones are not ordered
    # for a guess.
    expected_engines: int = 0


def engines_for_prefill(tokens_per_s: float, prefill_s_per_token: float) -> int:
    """Return the engines that read so many prompt tokens amply in time."""
    return math.ceil(tokens_per_s * prefill_s_per_token / TARGET_UTILISATION)


def required_engines(demand: EngineDemand, data_centres: int) -> RequiredEngines:
    """Return the engines that read the prompts in time and have a slot for each."""
    busy_engines = max(
        demand.tokens_per_s * max(demand.prefill_s_per_token, 1e-9),
        demand.requests / max(1, demand.slots),
    )
    smallest = MIN_ENGINES_PER_DATA_CENTRE * data_centres
    return RequiredEngines(
        target=max(
            smallest,
            demand.initial_engines,
            demand.expected_engines,
            math.ceil(busy_engines / TARGET_UTILISATION),
        ),
        minimum=max(
            smallest // 2,
            demand.initial_engines // 2,
            math.ceil(busy_engines / MAX_UTILISATION),
        ),
    )


def plan_engines(
    scaling: Scaling, current: Mapping[str, CurrentEngines], required: RequiredEngines
) -> dict[str, EngineTargets]:
    """Return the engines wanted by data centre."""
    if scaling.reclaimable_price_ratio >= 1:
        return _plan_on_demand_only(scaling, current, required)
    data_centres = sorted(
        current, key=lambda name: (scaling.prices.get(name, 1.0), name)
    )
    reclaimable = _spread_reclaimable(scaling, current, data_centres, required.target)
    # A new engine counts only once it serves; until then the present ones are kept.
    serving = {
        name: min(reclaimable[name], current[name].reclaimable) for name in data_centres
    }
    surviving = _engines_after_loss(list(serving.values()))
    if any(engines.reclaimable_scarce for engines in current.values()):
        # Reclaims come in waves: while one lasts, the next data centre may follow.
        surviving //= 2
    missing = max(0, required.minimum - surviving)
    on_demand = _spread_on_demand(scaling, serving, data_centres, missing)
    return {
        name: EngineTargets(
            on_demand[name],
            _limit_reclaimable(
                scaling, reclaimable[name], on_demand[name], current[name]
            ),
        )
        for name in data_centres
    }


def _plan_on_demand_only(
    scaling: Scaling, current: Mapping[str, CurrentEngines], required: RequiredEngines
) -> dict[str, EngineTargets]:
    """Return on-demand engines alone, where reclaimable ones are no cheaper."""
    data_centres = sorted(
        current, key=lambda name: (scaling.prices.get(name, 1.0), name)
    )
    engines = (required.target + required.minimum) // 2
    targets = _spread_on_demand(
        scaling, dict.fromkeys(data_centres, 0), data_centres, engines
    )
    return {name: EngineTargets(targets[name], 0) for name in data_centres}


def _limit_reclaimable(
    scaling: Scaling, reclaimable: int, on_demand: int, current: CurrentEngines
) -> int:
    """Return the reclaimable engines that fit beside the on-demand ones.

    The maximum holds for both classes together, and an order beyond it is cut.
    """
    return max(0, min(reclaimable, scaling.maximum - max(on_demand, current.on_demand)))


def _engines_after_loss(serving: list[int]) -> int:
    """Return the reclaimable engines to count on."""
    counts = [count for count in serving if count]
    if len(counts) < 2:
        # Where one data centre holds all, full cover would double the engines.
        return sum(counts) // 2
    return sum(counts) - max(counts)


def _spread_reclaimable(
    scaling: Scaling,
    current: Mapping[str, CurrentEngines],
    data_centres: list[str],
    target: int,
) -> dict[str, int]:
    """Return an even spread that still has `needed` without one data centre."""
    others = max(1, len(data_centres) - 1)
    per_data_centre = min(
        scaling.maximum, max(scaling.minimum, math.ceil(target / others))
    )
    return {
        name: max(per_data_centre, current[name].reclaimable)
        if current[name].reclaimable_scarce
        else per_data_centre
        for name in data_centres
    }


def _spread_on_demand(
    scaling: Scaling,
    reclaimable: Mapping[str, int],
    data_centres: list[str],
    missing: int,
) -> dict[str, int]:
    """Return on-demand engines, dealt evenly, the cheapest data centres first."""
    targets = {}
    for name in data_centres:
        targets[name] = 0
    while missing > 0:
        below_maximum = [
            n for n in data_centres if targets[n] + reclaimable[n] < scaling.maximum
        ]
        if not below_maximum:
            break
        name = min(
            below_maximum, key=lambda each: (targets[each], data_centres.index(each))
        )
        targets[name] += 1
        missing -= 1
    return targets
