"""Estimate how long waiting work takes from the rate at which work completes."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace

from cicadapass_decisions.policy import RoutingRules
from cicadapass_decisions.scoring import Candidate
from cicadapass_decisions.work import WorkClass

# Completions of this many seconds make up the rate: shorter windows swing with
# single long jobs, longer ones react late to lost upstreams.
DRAIN_WINDOW_S = 2.0
# Over 2 s, a workspace that asks for half of its share exceeds it by chance in one
# window of ten.
FAIR_SHARE_WINDOW_S = 10.0
# A queue that has waited for this long shows the full rate.
MIN_BACKLOG_S = 1.0
# The measured rate is not trusted below this share of the nominal rate, so that a
# pause in completions does not refuse everything.
MIN_NOMINAL_RATIO = 0.1
# Low priorities are assumed to get at least this share, so that a burst of higher
# ones does not make their wait infinite.
MIN_REMAINING_RATIO = 0.02
# Shorter run times are not measured well enough to predict a rate.
MIN_RUN_S = 1e-4


@dataclass(frozen=True, slots=True)
class DrainRate:
    """Hold the smoothed cost per second that completes in one lane."""

    cost_per_s: float = 0.0
    updated_at_s: float = 0.0
    backlogged_since_s: float | None = None


def add_cost(
    rate: DrainRate, cost: float, now_s: float, window_s: float = DRAIN_WINDOW_S
) -> DrainRate:
    """Return the rate after work of this cost completed or arrived."""
    decayed_per_s = smoothed_per_s(rate, now_s, window_s)
    return replace(rate, cost_per_s=decayed_per_s + cost / window_s, updated_at_s=now_s)


def on_backlog(rate: DrainRate, waiting: bool, now_s: float) -> DrainRate:
    """Return the rate after the queue was seen waiting or empty."""
    if waiting == (rate.backlogged_since_s is not None):
        return rate
    return replace(rate, backlogged_since_s=now_s if waiting else None)


def smoothed_per_s(
    rate: DrainRate, now_s: float, window_s: float = DRAIN_WINDOW_S
) -> float:
    """Return the smoothed cost per second."""
    age_s = max(0.0, now_s - rate.updated_at_s)
    return rate.cost_per_s * math.exp(-age_s / window_s)


def served_per_s(rate: DrainRate, nominal_per_s: float, now_s: float) -> float:
    """Return the cost per second that is served while requests wait."""
    since_s = rate.backlogged_since_s
    if since_s is None or now_s - since_s < MIN_BACKLOG_S:
        return nominal_per_s
    return max(smoothed_per_s(rate, now_s), nominal_per_s * MIN_NOMINAL_RATIO)


def expected_wait_s(
    served_per_s: float, cost_ahead: float, overtaking_per_s: float
) -> float:
    """Return the time until the cost ahead is served; infinite if nothing is.

    `overtaking_per_s` is the cost of later requests that will be served before.
    """
    if served_per_s <= 0.0:
        return math.inf
    remaining_per_s = max(
        served_per_s - overtaking_per_s, served_per_s * MIN_REMAINING_RATIO
    )
    return cost_ahead / remaining_per_s


def nominal_per_s(
    candidates: Sequence[Candidate], work: WorkClass, rules: RoutingRules
) -> float:
    """Return the cost per second of such work that full upstreams complete."""
    total = 0.0
    for candidate in candidates:
        if candidate.leaving:
            continue
        first_s = candidate.first_token_s or rules.default_first_token_s
        inter_s = candidate.inter_token_s or rules.default_inter_token_s
        run_s = first_s + (work.expected_tokens - 1) * inter_s
        total += candidate.limit * work.cost / max(run_s, MIN_RUN_S)
    return total
