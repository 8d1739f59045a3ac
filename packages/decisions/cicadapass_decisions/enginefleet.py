"""Plan the number of engines of each class in each data centre.

The platform may reclaim all reclaimable engines of a data centre at once, and the
remaining engines must then serve the demand. Reclaimable engines are cheap and serve
the load in all data centres. On-demand engines cover what the loss of one data centre
would leave unserved, and replace reclaimable ones while those are unavailable.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from cicadapass_decisions.passthrough import Scaling

# Fraction of an engine's prefill capacity that is planned for, so that first tokens are
# in time during bursts and while the engine also decodes. Reclaimable engines are cheap
# and planned at the target utilisation; on-demand ones only cover what must be served
# and are planned at the maximum.
TARGET_UTILISATION = 0.35
MAX_UTILISATION = 0.6
# Applies while the demand is unknown or low.
MIN_ENGINES_PER_DATA_CENTRE = 2
# An order that the platform refused is repeated after this time.
REFUSAL_RETRY_S = 2.0
# After a refusal, reclaimable engines count as scarce in a data centre for this long.
# It covers the interval between two refusals, in which they would otherwise seem
# available.
SCARCITY_S = 5.0
# Fewer engines are ordered only after fewer have been required for this long.
SHRINK_AFTER_S = 3.0
# A peak of the required engines is kept for this long.
PEAK_HOLD_S = 6.0


@dataclass(frozen=True, slots=True)
class CurrentEngines:
    """Count the present engines of one service in one data centre."""

    on_demand: int
    reclaimable: int
    # The platform recently refused or reclaimed reclaimable engines here.
    reclaimable_scarce: bool


@dataclass(frozen=True, slots=True)
class EngineTargets:
    """Set the engines to run in one data centre."""

    on_demand: int
    reclaimable: int


@dataclass(frozen=True, slots=True)
class RequiredEngines:
    """Count the engines for the target utilisation, and for the maximum."""

    target: int
    minimum: int


@dataclass(frozen=True, slots=True)
class EngineDemand:
    """Describe the demand on the engines of a service."""

    tokens_per_s: float
    prefill_s_per_token: float
    # Requests in progress and queued.
    requests: int
    # Slots of one engine.
    slots: int
    # Engines that ran before the first demand; kept until the demand is known.
    initial_engines: int
    # Engines for the demand expected after a start. It is an estimate, for which no
    # on-demand engines are ordered.
    expected_engines: int = 0


def engines_for_prefill(tokens_per_s: float, prefill_s_per_token: float) -> int:
    """Return the engines that prefill these prompt tokens at the target utilisation."""
    return math.ceil(tokens_per_s * prefill_s_per_token / TARGET_UTILISATION)


def required_engines(demand: EngineDemand, data_centres: int) -> RequiredEngines:
    """Return the engines that prefill in time and have a slot for each request."""
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
    """Return the engines to run, by data centre."""
    if scaling.reclaimable_price_ratio >= 1:
        return _plan_on_demand_only(scaling, current, required)
    data_centres = sorted(
        current, key=lambda name: (scaling.prices.get(name, 1.0), name)
    )
    reclaimable = _spread_reclaimable(scaling, current, data_centres, required.target)
    # New engines count only once they serve; until then the present ones are kept.
    serving = {
        name: min(reclaimable[name], current[name].reclaimable) for name in data_centres
    }
    surviving = _engines_after_loss(list(serving.values()))
    if any(engines.reclaimable_scarce for engines in current.values()):
        # Reclaims come in waves, so the next data centre may lose its engines soon.
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
    """Return only on-demand engines, because reclaimable ones are not cheaper."""
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
    """Return the reclaimable engines, limited by the maximum of the data centre.

    The maximum covers both classes, and the platform cuts an order that exceeds it.
    """
    return max(0, min(reclaimable, scaling.maximum - max(on_demand, current.on_demand)))


def _engines_after_loss(serving: list[int]) -> int:
    """Return the reclaimable engines that remain after the loss of one data centre."""
    counts = [count for count in serving if count]
    if len(counts) < 2:
        # If one data centre has all of them, replacing it would double the engines.
        return sum(counts) // 2
    return sum(counts) - max(counts)


def _spread_reclaimable(
    scaling: Scaling,
    current: Mapping[str, CurrentEngines],
    data_centres: list[str],
    target: int,
) -> dict[str, int]:
    """Return an even distribution that has `target` engines without one data centre."""
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
    """Return `missing` on-demand engines, distributed evenly, cheapest first."""
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
            below_maximum, key=lambda name: (targets[name], data_centres.index(name))
        )
        targets[name] += 1
        missing -= 1
    return targets
