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
AMPLE_PART = 0.35
TIGHT_PART = 0.6
# Engines held in each data centre when demand is unknown or low.
LEAST_ENGINES = 2
# Reclaimable engines are asked for again this long after a refusal.
REFUSED_S = 2.0
# A data centre counts as without them for this long, so that the time between two
# refusals does not look like one with engines to be had.
SCARCE_S = 5.0
# Fewer engines are ordered only after this long without a need for more.
SHRINK_AFTER_S = 3.0
# A peak of the need is remembered for this long.
PEAK_S = 6.0


@dataclass(frozen=True, slots=True)
class Holdings:
    """Hold the engines of one service in one data centre."""

    on_demand: int
    reclaimable: int
    # Reclaimable engines could not be had lately.
    refused: bool


@dataclass(frozen=True, slots=True)
class Targets:
    """Hold the engines wanted in one data centre."""

    on_demand: int
    reclaimable: int


@dataclass(frozen=True, slots=True)
class Need:
    """Hold the engines that serve the demand amply, and those that just do."""

    ample: int
    tight: int


@dataclass(frozen=True, slots=True)
class Demand:
    """Hold what is asked of the engines of a service."""

    tokens_per_s: float
    token_s: float
    # Requests in progress and waiting, and the slots of one engine.
    requests: int
    slots: int
    # Engines held before there was any demand, for the first moments of it.
    prior: int
    # Engines for the demand that is expected at a start. On-demand ones are not ordered
    # for a guess.
    expected: int = 0


def engines_to_read(tokens_per_s: float, token_s: float) -> int:
    """Return the engines that read so many prompt tokens amply in time."""
    return math.ceil(tokens_per_s * token_s / AMPLE_PART)


def engines_needed(demand: Demand, places: int) -> Need:
    """Return the engines that read the prompts in time and have a slot for each."""
    engines = max(
        demand.tokens_per_s * max(demand.token_s, 1e-9),
        demand.requests / max(1, demand.slots),
    )
    least = LEAST_ENGINES * places
    return Need(
        ample=max(
            least, demand.prior, demand.expected, math.ceil(engines / AMPLE_PART)
        ),
        tight=max(least // 2, demand.prior // 2, math.ceil(engines / TIGHT_PART)),
    )


def plan_engines(
    scaling: Scaling, holdings: Mapping[str, Holdings], need: Need
) -> dict[str, Targets]:
    """Return the engines wanted by data centre."""
    if scaling.reclaimable_price >= 1:
        return _plan_on_demand(scaling, holdings, need)
    places = sorted(holdings, key=lambda name: (scaling.prices.get(name, 1.0), name))
    wanted = _reclaimable(scaling, holdings, places, need.ample)
    # A new engine counts only once it serves; until then the present ones are kept.
    serving = {name: min(wanted[name], holdings[name].reclaimable) for name in places}
    safe = _safe(list(serving.values()))
    if any(held.refused for held in holdings.values()):
        # Reclaims come in waves: while one lasts, the next data centre may follow.
        safe //= 2
    missing = max(0, need.tight - safe)
    on_demand = _on_demand(scaling, serving, places, missing)
    return {
        name: Targets(
            on_demand[name],
            _that_fit(scaling, wanted[name], on_demand[name], holdings[name]),
        )
        for name in places
    }


def _plan_on_demand(
    scaling: Scaling, holdings: Mapping[str, Holdings], need: Need
) -> dict[str, Targets]:
    """Return on-demand engines alone, where reclaimable ones are no cheaper."""
    places = sorted(holdings, key=lambda name: (scaling.prices.get(name, 1.0), name))
    engines = (need.ample + need.tight) // 2
    wanted = _on_demand(scaling, dict.fromkeys(places, 0), places, engines)
    return {name: Targets(wanted[name], 0) for name in places}


def _that_fit(scaling: Scaling, wanted: int, on_demand: int, held: Holdings) -> int:
    """Return the reclaimable engines that fit beside the on-demand ones.

    The maximum holds for both classes together, and an order beyond it is cut.
    """
    return max(0, min(wanted, scaling.maximum - max(on_demand, held.on_demand)))


def _safe(serving: list[int]) -> int:
    """Return the reclaimable engines to count on."""
    held = [count for count in serving if count]
    if len(held) < 2:
        # Where one data centre holds all, full cover would double the engines.
        return sum(held) // 2
    return sum(held) - max(held)


def _reclaimable(
    scaling: Scaling,
    holdings: Mapping[str, Holdings],
    places: list[str],
    needed: int,
) -> dict[str, int]:
    """Return an even spread that still has `needed` without one data centre."""
    others = max(1, len(places) - 1)
    each = min(scaling.maximum, max(scaling.minimum, math.ceil(needed / others)))
    return {
        name: max(each, holdings[name].reclaimable) if holdings[name].refused else each
        for name in places
    }


def _on_demand(
    scaling: Scaling, taken: Mapping[str, int], places: list[str], missing: int
) -> dict[str, int]:
    """Return on-demand engines, dealt evenly, the cheapest data centres first."""
    wanted = {}
    for name in places:
        wanted[name] = 0
    while missing > 0:
        roomy = [n for n in places if wanted[n] + taken[n] < scaling.maximum]
        if not roomy:
            break
        name = min(roomy, key=lambda each: (wanted[each], places.index(each)))
        wanted[name] += 1
        missing -= 1
    return wanted
