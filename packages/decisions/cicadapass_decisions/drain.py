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
# A queue that has waited for this long shows the full rate.
BACKLOG_S = 1.0
# The measured rate is not trusted below this share of the nominal rate, so that a
# pause in completions does not refuse everything.
MIN_NOMINAL_RATIO = 0.1
# Shorter run times are not measured well enough to predict a rate.
MIN_RUN_S = 1e-4


@dataclass(frozen=True, slots=True)
class DrainRate:
    """Hold the smoothed cost per second that completes in one lane."""

    cost_per_s: float = 0.0
    updated_at_s: float = 0.0
    backlogged_since_s: float | None = None


def on_completed(rate: DrainRate, cost: float, now_s: float) -> DrainRate:
    """Return the rate after work of this cost completed."""
    kept = _decayed(rate, now_s)
    return replace(rate, cost_per_s=kept + cost / DRAIN_WINDOW_S, updated_at_s=now_s)


def on_backlog(rate: DrainRate, waiting: bool, now_s: float) -> DrainRate:
    """Return the rate after the queue was seen waiting or empty."""
    if waiting == (rate.backlogged_since_s is not None):
        return rate
    return replace(rate, backlogged_since_s=now_s if waiting else None)


def expected_wait_s(
    rate: DrainRate, cost_ahead: float, nominal_per_s: float, now_s: float
) -> float:
    """Return the time until the cost ahead is served; infinite without upstreams."""
    if nominal_per_s <= 0.0:
        return math.inf
    since_s = rate.backlogged_since_s
    if since_s is None or now_s - since_s < BACKLOG_S:
        return cost_ahead / nominal_per_s
    measured = _decayed(rate, now_s)
    return cost_ahead / max(measured, nominal_per_s * MIN_NOMINAL_RATIO)


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


def _decayed(rate: DrainRate, now_s: float) -> float:
    age_s = max(0.0, now_s - rate.updated_at_s)
    return rate.cost_per_s * math.exp(-age_s / DRAIN_WINDOW_S)
