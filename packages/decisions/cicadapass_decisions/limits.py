"""Adapt the concurrency limit of an upstream to its latency and failures."""

from dataclasses import dataclass, replace

from cicadapass_decisions.policy import LimitRules


@dataclass(frozen=True, slots=True)
class ConcurrencyLimit:
    """Represent the fractional limit of one upstream; `slots` is its upper bound."""

    slots: int
    value: float
    decreased_at_s: float = float("-inf")

    @property
    def max_requests(self) -> int:
        """Return the limit in whole requests, at least 1."""
        return max(1, int(self.value))


@dataclass(frozen=True, slots=True)
class Baseline:
    """Track the lowest latency of the current and of the previous period."""

    current_s: float
    previous_s: float
    period_start_s: float

    @property
    def value_s(self) -> float:
        """Return the lowest latency of both periods."""
        return min(self.current_s, self.previous_s)


def update_baseline(
    baseline: Baseline | None, latency_s: float, now_s: float, rules: LimitRules
) -> Baseline:
    """Return the baseline after one measured latency; None starts a new one."""
    if baseline is None:
        return Baseline(latency_s, latency_s, now_s)
    if now_s - baseline.period_start_s >= rules.baseline_s:
        return Baseline(latency_s, baseline.current_s, now_s)
    if latency_s >= baseline.current_s:
        return baseline
    return replace(baseline, current_s=latency_s)


def new_limit(slots: int) -> ConcurrencyLimit:
    """Return the initial limit of an upstream: all its slots, at least 1."""
    # Requests beyond the slots would wait in the upstream, where neither fairness
    # nor priorities apply, so the limit never exceeds the slots.
    slots = max(1, slots)
    return ConcurrencyLimit(slots, float(slots))


def with_slots(limit: ConcurrencyLimit, slots: int) -> ConcurrencyLimit:
    """Return the limit after the upstream has reported its number of slots.

    A limit at its upper bound follows the slots; a lower one is only capped.
    """
    if slots == limit.slots or slots < 1:
        return limit
    if limit.value >= limit.slots:
        return replace(limit, slots=slots, value=float(slots))
    return replace(limit, slots=slots, value=min(limit.value, float(slots)))


def on_result(
    limit: ConcurrencyLimit,
    latency_s: float,
    baseline_s: float,
    failed: bool,
    now_s: float,
    rules: LimitRules,
) -> ConcurrencyLimit:
    """Return the limit after one result: a slow or failed one lowers it."""
    if not rules.adapt:
        return replace(limit, value=float(limit.slots))
    if failed or latency_s > baseline_s * rules.tolerated_ratio:
        return _decrease(limit, now_s, rules)
    value = limit.value + 1.0 / limit.value
    return replace(limit, value=min(value, float(limit.slots)))


def _decrease(
    limit: ConcurrencyLimit, now_s: float, rules: LimitRules
) -> ConcurrencyLimit:
    # Concurrent requests report the same congestion, which must lower the limit only
    # once.
    if now_s - limit.decreased_at_s < rules.cooldown_s:
        return limit
    floor = float(min(rules.min_limit, limit.slots))
    value = max(limit.value * rules.decrease_ratio, floor)
    return replace(limit, value=value, decreased_at_s=now_s)
