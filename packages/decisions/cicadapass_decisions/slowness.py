"""Detect slow and failing upstreams by comparison with their group."""

import statistics
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

from cicadapass_decisions.policy import SlownessRules


class Health(StrEnum):
    """Classify an upstream by its measured times and failures."""

    GOOD = "good"
    SLOW = "slow"
    FAILING = "failing"


@dataclass(frozen=True, slots=True)
class Average:
    """Represent an exponentially decaying average of measurements."""

    value: float
    weight: float
    updated_at_s: float
    samples: int = 1


@dataclass(frozen=True, slots=True)
class SpeedTracker:
    """Track the measured times and the consecutive failures of one upstream."""

    first_token: Average | None = None
    inter_token: Average | None = None
    failures: int = 0
    slow: bool = False

    @property
    def first_token_s(self) -> float | None:
        """Return the average time to the first token, None without measurements."""
        return self.first_token.value if self.first_token else None

    @property
    def inter_token_s(self) -> float | None:
        """Return the average time between tokens, None without measurements."""
        return self.inter_token.value if self.inter_token else None


@dataclass(frozen=True, slots=True)
class Timing:
    """Record the times that one attempt or probe measured, None if not measured.

    If `first_token_is_bound`, the first token has not arrived yet and the time is a
    lower bound.
    """

    first_token_s: float | None = None
    inter_token_s: float | None = None
    first_token_is_bound: bool = False
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class GroupVerdict:
    """Report the health of each upstream of a group and the group's median times."""

    health: Mapping[str, Health]
    panic: bool
    first_token_s: float | None
    inter_token_s: float | None


def observe(
    tracker: SpeedTracker, timing: Timing, now_s: float, rules: SlownessRules
) -> SpeedTracker:
    """Return the tracker after a measurement."""
    first, inter = tracker.first_token, tracker.inter_token
    if timing.first_token_s is not None and not _is_uninformative(first, timing):
        first = _update_average(
            first, timing.first_token_s, timing.weight, now_s, rules
        )
    if timing.inter_token_s is not None:
        inter = _update_average(
            inter, timing.inter_token_s, timing.weight, now_s, rules
        )
    return replace(tracker, first_token=first, inter_token=inter)


def on_success(tracker: SpeedTracker) -> SpeedTracker:
    """Return the tracker after a successful attempt or probe."""
    return replace(tracker, failures=0) if tracker.failures else tracker


def on_failure(tracker: SpeedTracker) -> SpeedTracker:
    """Return the tracker after a failed attempt or probe."""
    return replace(tracker, failures=tracker.failures + 1)


def evaluate_group(
    group: Mapping[str, SpeedTracker], rules: SlownessRules
) -> GroupVerdict:
    """Compare each upstream with the median of its group.

    `panic` is true if more than `panic_ratio` of the group are slow or failing.
    """
    first_s = _median([tracker.first_token for tracker in group.values()], rules)
    inter_s = _median([tracker.inter_token for tracker in group.values()], rules)
    health = {
        name: _health(tracker, first_s, inter_s, rules)
        for name, tracker in group.items()
    }
    bad_count = sum(verdict is not Health.GOOD for verdict in health.values())
    panic = rules.panic and bad_count > len(group) * rules.panic_ratio
    return GroupVerdict(health, panic, first_s, inter_s)


def with_verdict(tracker: SpeedTracker, health: Health) -> SpeedTracker:
    """Return the tracker with the verdict, which `evaluate_group` uses next time."""
    slow = health is Health.SLOW
    return replace(tracker, slow=slow) if slow != tracker.slow else tracker


def _is_uninformative(first: Average | None, timing: Timing) -> bool:
    # A lower bound below the average is consistent with it.
    if not timing.first_token_is_bound or timing.first_token_s is None:
        return False
    return first is None or timing.first_token_s <= first.value


def _update_average(
    average: Average | None,
    value_s: float,
    weight: float,
    now_s: float,
    rules: SlownessRules,
) -> Average:
    if average is None:
        return Average(value_s, weight, now_s)
    age_s = max(0.0, now_s - average.updated_at_s)
    decayed_weight = average.weight * 0.5 ** (age_s / rules.half_life_s)
    total_weight = decayed_weight + weight
    value = (average.value * decayed_weight + value_s * weight) / total_weight
    return Average(value, total_weight, now_s, average.samples + 1)


def _median(averages: list[Average | None], rules: SlownessRules) -> float | None:
    values = [
        average.value
        for average in averages
        if average and average.samples >= rules.min_samples
    ]
    # Of two values the low median is the faster one, so that the slow upstream of a
    # pair is detected.
    return statistics.median_low(values) if values else None


def _health(
    tracker: SpeedTracker,
    first_s: float | None,
    inter_s: float | None,
    rules: SlownessRules,
) -> Health:
    if rules.break_circuit and tracker.failures >= rules.breaker_failures:
        return Health.FAILING
    if not rules.detect:
        return Health.GOOD
    # Hysteresis: the lower ratio for recovery prevents flapping.
    ratio = rules.recovered_ratio if tracker.slow else rules.slow_ratio
    slow = _exceeds(tracker.first_token, first_s, ratio, rules) or _exceeds(
        tracker.inter_token, inter_s, ratio, rules
    )
    return Health.SLOW if slow else Health.GOOD


def _exceeds(
    average: Average | None, median_s: float | None, ratio: float, rules: SlownessRules
) -> bool:
    if average is None or median_s is None or average.samples < rules.min_samples:
        return False
    return average.value > median_s * ratio
