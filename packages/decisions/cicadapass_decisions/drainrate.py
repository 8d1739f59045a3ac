"""Estimate the wait of queued work from the rate at which work completes."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace

from cicadapass_decisions.policy import RoutingRules
from cicadapass_decisions.scoring import Candidate
from cicadapass_decisions.work import WorkClass

# Time constant of the completion rate. A shorter one lets single long jobs dominate the
# rate; a longer one delays the reaction to lost upstreams.
DRAIN_WINDOW_S = 2.0
# Time constant of the demand of a workspace. Over 2 s, a workspace that uses half of
# its share exceeds it by chance in one window out of ten.
FAIR_SHARE_WINDOW_S = 10.0
# The measured rate is the full service rate once requests have waited for this long.
MIN_BACKLOG_S = 1.0
# Lower bound of the measured rate as a ratio of the nominal rate, so that a pause in
# completions does not make admission refuse every request.
MIN_NOMINAL_RATIO = 0.1
# Low priorities are assumed to get at least this ratio of the rate, so that a burst of
# higher ones does not make their wait infinite.
MIN_REMAINING_RATIO = 0.02
# Shorter run times are too imprecise to derive a rate from.
MIN_RUN_S = 1e-4


@dataclass(frozen=True, slots=True)
class DrainRate:
    """Track the exponentially smoothed cost per second of one kind of work."""

    cost_per_s: float = 0.0
    updated_at_s: float = 0.0
    backlogged_since_s: float | None = None


def add_cost(
    rate: DrainRate, cost: float, now_s: float, window_s: float = DRAIN_WINDOW_S
) -> DrainRate:
    """Return the rate after work of this cost has completed or arrived."""
    decayed_per_s = smoothed_per_s(rate, now_s, window_s)
    return replace(rate, cost_per_s=decayed_per_s + cost / window_s, updated_at_s=now_s)


def on_backlog(rate: DrainRate, waiting: bool, now_s: float) -> DrainRate:
    """Return the rate with the time since which requests have been waiting."""
    if waiting == (rate.backlogged_since_s is not None):
        return rate
    return replace(rate, backlogged_since_s=now_s if waiting else None)


def smoothed_per_s(
    rate: DrainRate, now_s: float, window_s: float = DRAIN_WINDOW_S
) -> float:
    """Return the cost per second, decayed to the present time."""
    age_s = max(0.0, now_s - rate.updated_at_s)
    return rate.cost_per_s * math.exp(-age_s / window_s)


def served_per_s(rate: DrainRate, nominal_per_s: float, now_s: float) -> float:
    """Return the cost per second that is served while requests wait.

    Without a backlog of MIN_BACKLOG_S, the measured rate shows only the demand, so
    the nominal rate is returned.
    """
    since_s = rate.backlogged_since_s
    if since_s is None or now_s - since_s < MIN_BACKLOG_S:
        return nominal_per_s
    return max(smoothed_per_s(rate, now_s), nominal_per_s * MIN_NOMINAL_RATIO)


def expected_wait_s(
    served_per_s: float, cost_ahead: float, overtaking_per_s: float
) -> float:
    """Return the time until the cost ahead is served; infinite at a rate of zero.

    `overtaking_per_s` is the cost per second of later requests of higher priority.
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
    """Return the cost per second that the upstreams complete at their limits."""
    total = 0.0
    for candidate in candidates:
        if candidate.leaving:
            continue
        first_s = candidate.first_token_s or rules.default_first_token_s
        inter_s = candidate.inter_token_s or rules.default_inter_token_s
        run_s = first_s + (work.expected_tokens - 1) * inter_s
        total += candidate.limit * work.cost / max(run_s, MIN_RUN_S)
    return total
