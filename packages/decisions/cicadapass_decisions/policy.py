"""Rules that the routing, queueing and retry decisions follow."""

import dataclasses
from dataclasses import dataclass, field
from typing import Any


def _rule(default: Any, low: float, high: float, meaning: str) -> Any:
    return field(
        default=default, metadata={"low": low, "high": high, "meaning": meaning}
    )


def _switch(meaning: str, *, default: bool = True) -> Any:
    return field(default=default, metadata={"meaning": meaning})


@dataclass(frozen=True, slots=True)
class WorkRules:
    """Control how work is classified as short or long."""

    short_tokens: int = _rule(
        256, 1, 100_000, "work of at most this many expected tokens is short"
    )
    default_tokens: int = _rule(
        512, 1, 100_000, "expected tokens without a limit and without history"
    )
    prompt_token_cost: float = _rule(
        0.05, 0.0, 1.0, "cost of a prompt token relative to a generated token"
    )
    history_quantile: float = _rule(
        0.9, 0.5, 1.0, "quantile of the recent answers' tokens that is expected"
    )
    history_answers: int = _rule(
        32, 4, 1024, "recent answers kept for each service, workspace and size"
    )
    use_history: bool = _switch("predict from recent answers")


@dataclass(frozen=True, slots=True)
class QueueRules:
    """Control how queued requests share the upstreams."""

    reserved_short_ratio: float = _rule(
        0.25, 0.0, 0.9, "share of each upstream's limit that long work cannot use"
    )
    reserve_margin: float = _rule(
        1.5, 0.0, 10.0, "reserve relative to the share of recent short work"
    )
    guaranteed_long_ratio: float = _rule(
        0.25,
        0.0,
        0.9,
        "share of each limit that short work leaves to waiting long work",
    )
    priority_burst_tokens: float = _rule(
        200.0, 0.0, 1e6, "tokens of weight 1 by which priority may pass fair shares"
    )
    max_queued: int = _rule(512, 1, 100_000, "requests that wait for one service")
    reserve_short: bool = _switch("reserve slots for short work")
    fair: bool = _switch("share by workspace weight; otherwise first come first served")


@dataclass(frozen=True, slots=True)
class AdmissionRules:
    """Control when a request is refused instead of queued."""

    max_wait_s: float = _rule(
        1.0, 0.01, 600.0, "longest expected wait for a slot of short work"
    )
    max_long_wait_s: float = _rule(
        60.0, 0.01, 3600.0, "longest expected wait for a slot of long work"
    )
    lowest_wait_ratio: float = _rule(
        0.25, 0.01, 1.0, "fraction of the longest wait allowed for the lowest priority"
    )
    min_retry_after_s: int = _rule(1, 1, 60, "shortest Retry-After")
    max_retry_after_s: int = _rule(30, 1, 3600, "longest Retry-After")
    shed: bool = _switch("refuse early, lowest priority first")


@dataclass(frozen=True, slots=True)
class RoutingRules:
    """Control how an upstream is chosen."""

    choices: int = _rule(2, 1, 16, "random upstreams that are compared")
    report_max_age_s: float = _rule(
        5.0, 0.1, 600.0, "age at which a load report is ignored"
    )
    report_interval_s: float = _rule(
        0.5, 0.05, 60.0, "time between two reads of an upstream's load report"
    )
    load_weight: float = _rule(
        # The benchmark engines slow down by 0.24 when full; a weight of 1.0 lost 0.06
        # of the prefix hits.
        0.3,
        0.0,
        100.0,
        "slowdown of an upstream at its limit relative to an idle one",
    )
    prefill_s_per_token: float = _rule(
        0.0005, 0.0, 1.0, "time to recompute one prompt token"
    )
    default_first_token_s: float = _rule(
        0.2, 0.0, 60.0, "first-token time of an upstream without measurements"
    )
    default_inter_token_s: float = _rule(
        0.02, 0.0, 10.0, "time between tokens of an upstream without measurements"
    )
    use_reports: bool = _switch("use the upstreams' load reports")
    use_peers: bool = _switch("use the peers' in-flight counts")
    use_speed: bool = _switch("use the measured speeds")
    prefer_prefix: bool = _switch(
        "prefer upstreams that have cached the prompt's prefix"
    )
    prefer_near: bool = _switch(
        "use another data centre only if it saves more time than the hop costs"
    )


@dataclass(frozen=True, slots=True)
class CostRules:
    """Control how prices are weighed against time, and how the fleet is sized."""

    price_s_per_unit: float = _rule(
        0.02, 0.0, 60.0, "delay accepted to save one currency unit an hour"
    )
    reclaim_s: float = _rule(
        0.1, 0.0, 60.0, "expected delay of a reclaim, multiplied by its risk"
    )
    target_utilisation: float = _rule(
        0.7, 0.1, 1.0, "share of the slots that the planned fleet uses"
    )
    reclaim_spare_ratio: float = _rule(
        0.1, 0.0, 1.0, "spare share of the slots kept for reclaims"
    )
    min_on_demand_ratio: float = _rule(
        0.0, 0.0, 1.0, "share of the slots that is not reclaimable"
    )
    shrink_after_s: float = _rule(
        300.0, 0.0, 86_400.0, "time for which a VM is unneeded before it is returned"
    )
    refused_backoff_s: float = _rule(
        10.0, 0.1, 3600.0, "first pause after a refused start, doubled each time"
    )
    refused_backoff_max_s: float = _rule(
        600.0, 1.0, 86_400.0, "longest pause after refused starts"
    )
    weigh_price: bool = _switch("weigh price and reclaim risk when routing")


@dataclass(frozen=True, slots=True)
class LimitRules:
    """Control how the concurrency limit of an upstream adapts."""

    min_limit: int = _rule(1, 1, 1000, "smallest limit")
    decrease_ratio: float = _rule(
        0.9, 0.1, 0.99, "factor of the limit after a slow or failed result"
    )
    tolerated_ratio: float = _rule(
        3.0, 1.1, 100.0, "latency relative to the baseline that counts as slow"
    )
    baseline_s: float = _rule(
        60.0, 1.0, 3600.0, "time over which the lowest latency is the baseline"
    )
    cooldown_s: float = _rule(0.5, 0.0, 60.0, "shortest time between two decreases")
    adapt: bool = _switch("adapt the limit; otherwise it is the number of slots")


@dataclass(frozen=True, slots=True)
class SlownessRules:
    """Control which upstreams count as slow or failing."""

    slow_ratio: float = _rule(
        3.0, 1.1, 100.0, "time relative to the group's median that counts as slow"
    )
    recovered_ratio: float = _rule(
        1.5,
        1.0,
        100.0,
        "time relative to the median below which a slow upstream has recovered",
    )
    half_life_s: float = _rule(
        0.5, 0.01, 60.0, "age at which a measurement weighs half of a new one"
    )
    min_samples: int = _rule(3, 1, 1000, "measurements before a verdict")
    probe_interval_s: float = _rule(
        1.0, 0.05, 600.0, "time between probes of a slow or failing upstream"
    )
    breaker_failures: int = _rule(
        3, 1, 1000, "consecutive failures after which an upstream counts as failing"
    )
    panic_ratio: float = _rule(
        0.5,
        0.0,
        1.0,
        "share of slow or failing upstreams above which verdicts are ignored",
    )
    detect: bool = _switch("avoid slow upstreams")
    break_circuit: bool = _switch("avoid failing upstreams")
    panic: bool = _switch("ignore the verdicts when most upstreams are slow or failing")


@dataclass(frozen=True, slots=True)
class RetryRules:
    """Control when a request is attempted again."""

    budget_ratio: float = _rule(
        0.1, 0.0, 1.0, "extra attempts for each request, retries and hedges together"
    )
    budget_burst: float = _rule(10.0, 1.0, 10_000.0, "largest saved budget")
    budget_min_per_s: float = _rule(
        0.5, 0.0, 100.0, "budget of a node with few requests"
    )
    max_attempts: int = _rule(6, 1, 100, "attempts of one request")
    backoff_s: float = _rule(
        0.02, 0.0, 60.0, "upper end of the first random pause, doubled each time"
    )
    backoff_max_s: float = _rule(1.0, 0.0, 60.0, "upper end of the longest pause")
    hedge_ratio: float = _rule(
        4.0, 1.0, 100.0, "wait relative to the usual first-token time before a hedge"
    )
    hedge_min_s: float = _rule(0.05, 0.0, 60.0, "shortest wait before a hedge")
    stall_ratio: float = _rule(
        15.0, 2.0, 1000.0, "wait relative to the usual time between tokens"
    )
    stall_min_tokens: int = _rule(
        8,
        0,
        100_000,
        "expected remaining tokens below which a stalled answer is not hedged",
    )
    hedge_stalled: bool = _switch("hedge answers whose next token is late")
    retry: bool = _switch("retry and resume failed attempts")
    hedge: bool = _switch("hedge attempts whose first token is late")
    limit_budget: bool = _switch("limit retries and hedges by the budget")


@dataclass(frozen=True, slots=True)
class PrefixRules:
    """Control how prompts are divided into blocks for prefix affinity."""

    block_words: int = _rule(
        16, 1, 4096, "words of one block of a prompt, as the engines count them"
    )
    tokens_per_word: float = _rule(
        1.0, 0.1, 16.0, "average tokens of a word of a prompt"
    )
    max_blocks: int = _rule(64, 1, 4096, "blocks of one prompt that are compared")
    max_hints: int = _rule(4096, 16, 1_000_000, "blocks stored for one upstream")


@dataclass(frozen=True, slots=True)
class Policy:
    """Group the rules of all decisions."""

    work: WorkRules = WorkRules()
    queue: QueueRules = QueueRules()
    admission: AdmissionRules = AdmissionRules()
    routing: RoutingRules = RoutingRules()
    cost: CostRules = CostRules()
    limits: LimitRules = LimitRules()
    slowness: SlownessRules = SlownessRules()
    retry: RetryRules = RetryRules()
    prefix: PrefixRules = PrefixRules()


@dataclass(frozen=True, slots=True)
class RuleSpec:
    """Describe one rule of a group, for generated documentation and tests."""

    name: str
    type: type
    default: bool | int | float
    low: float | None
    high: float | None
    meaning: str


def rule_specs(group: type) -> tuple[RuleSpec, ...]:
    """Return the rules of one group in the order of their fields."""
    return tuple(_rule_spec(item) for item in dataclasses.fields(group))


def _rule_spec(item: "dataclasses.Field[Any]") -> RuleSpec:
    meta = item.metadata
    return RuleSpec(
        item.name,
        type(item.default),
        item.default,  # type: ignore[arg-type]
        meta.get("low"),
        meta.get("high"),
        meta["meaning"],
    )
