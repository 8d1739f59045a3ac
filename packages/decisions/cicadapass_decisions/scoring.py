"""Estimate the cost of an attempt at each upstream, in seconds."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from cicadapass_decisions.policy import Policy
from cicadapass_decisions.slowness import Health
from cicadapass_decisions.work import WorkKind


@dataclass(frozen=True, slots=True)
class InFlight:
    """Count requests in progress and the tokens that they will still generate."""

    short: int = 0
    long: int = 0
    remaining_tokens: float = 0.0

    def __add__(self, other: "InFlight") -> "InFlight":
        return InFlight(
            self.short + other.short,
            self.long + other.long,
            self.remaining_tokens + other.remaining_tokens,
        )


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Represent an upstream's load report; `taken_at_s` is the time of measurement."""

    running: int
    waiting: int
    taken_at_s: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe one upstream for routing.

    `limit` is in requests, `reclaim_risk` is the probability of a reclaim per hour,
    and `probe_due` allows one request to a slow or failing upstream as a probe.
    """

    upstream: str
    data_centre: str
    limit: int
    local: InFlight = InFlight()
    peers: InFlight = InFlight()
    report: LoadReport | None = None
    first_token_s: float | None = None
    inter_token_s: float | None = None
    hop_s: float = 0.0
    price_per_hour: float = 0.0
    reclaim_risk: float = 0.0
    leaving: bool = False
    health: Health = Health.GOOD
    probe_due: bool = False


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """Describe an attempt for routing.

    `prefix_tokens` are the cached prompt tokens of each upstream. Upstreams in `avoid`
    are chosen only if no other is eligible, and never if `must_avoid` is set.
    `guaranteed_share` allows a node with less than its share of the service's slots
    that many requests at an upstream that other nodes have filled. `short_ratio` is
    the fraction of the slots that short work has used recently.
    """

    kind: WorkKind
    expected_tokens: int = 1
    prompt_tokens: int = 0
    repeatable: bool = True
    prefix_tokens: Mapping[str, int] = field(default_factory=dict)
    avoid: frozenset[str] = frozenset()
    long_waits: bool = False
    must_avoid: bool = False
    guaranteed_share: int = 0
    short_ratio: float = 0.0


class CandidateStatus(StrEnum):
    """Enumerate the results of evaluating a candidate."""

    CHOSEN = "chosen"
    COMPARED = "compared"
    LEAVING = "leaving"
    FULL = "full"
    SLOW = "slow"
    FAILING = "failing"
    AVOIDED = "avoided"


@dataclass(frozen=True, slots=True)
class CandidateReason:
    """Explain the result of one candidate; the breakdown adds up to the score."""

    upstream: str
    status: CandidateStatus
    score_s: float | None = None
    breakdown_s: Mapping[str, float] = field(default_factory=dict)


def score(
    request: RoutingRequest, candidate: Candidate, now_s: float, policy: Policy
) -> CandidateReason:
    """Return the sum of the expected times and the price, all in seconds."""
    rules = policy.routing
    first_s, inter_s = _token_times_s(candidate, policy)
    run_s = first_s + request.expected_tokens * inter_s
    utilisation = expected_load(candidate, now_s, policy) / max(1, candidate.limit)
    cached_tokens = request.prefix_tokens.get(candidate.upstream, 0)
    cached_tokens = (
        min(cached_tokens, request.prompt_tokens) if rules.prefer_prefix else 0
    )
    breakdown_s = {
        "run": run_s,
        "load": run_s * utilisation * rules.load_weight,
        "prefill": (request.prompt_tokens - cached_tokens) * rules.prefill_s_per_token,
        "hop": 2 * candidate.hop_s if rules.prefer_near else 0.0,
        "price": _price_s(candidate, policy),
    }
    return CandidateReason(
        candidate.upstream,
        CandidateStatus.COMPARED,
        sum(breakdown_s.values()),
        breakdown_s,
    )


def expected_load(candidate: Candidate, now_s: float, policy: Policy) -> float:
    """Return the number of requests that are expected in the upstream now.

    Requests in a report that are not in the known counts are weighted less as the
    report ages.
    """
    rules = policy.routing
    counted = float(candidate.local.short + candidate.local.long)
    if rules.use_peers:
        counted += candidate.peers.short + candidate.peers.long
    report = candidate.report
    if report is None or not rules.use_reports:
        return counted
    age_s = max(0.0, now_s - report.taken_at_s)
    report_weight = max(0.0, 1.0 - age_s / rules.report_max_age_s)
    return counted + report_weight * max(0.0, report.running + report.waiting - counted)


def _token_times_s(candidate: Candidate, policy: Policy) -> tuple[float, float]:
    rules = policy.routing
    first_s, inter_s = candidate.first_token_s, candidate.inter_token_s
    if first_s is None or not rules.use_speed:
        first_s = rules.default_first_token_s
    if inter_s is None or not rules.use_speed:
        inter_s = rules.default_inter_token_s
    return first_s, inter_s


def _price_s(candidate: Candidate, policy: Policy) -> float:
    cost = policy.cost
    if not cost.weigh_price:
        return 0.0
    price_s = candidate.price_per_hour * cost.price_s_per_unit
    return price_s + candidate.reclaim_risk * cost.reclaim_s
