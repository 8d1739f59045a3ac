"""Estimate what an attempt costs at each upstream."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from cicadapass_decisions.policy import Policy
from cicadapass_decisions.slowness import Health
from cicadapass_decisions.work import WorkKind


@dataclass(frozen=True, slots=True)
class InFlight:
    """Count requests in progress and the tokens that they are expected to need."""

    short: int = 0
    long: int = 0
    tokens_left: float = 0.0

    def __add__(self, other: "InFlight") -> "InFlight":
        return InFlight(
            self.short + other.short,
            self.long + other.long,
            self.tokens_left + other.tokens_left,
        )


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold an upstream's last load report; `taken_at_s` is when it was true."""

    running: int
    waiting: int
    taken_at_s: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold what is known about one upstream.

    `limit` is in requests, `reclaim_risk` is the chance of a reclaim in an hour, and
    `probe_due` says that a slow or failing upstream may get one request as a probe.
    """

    upstream: str
    data_centre: str
    limit: int
    own: InFlight = InFlight()
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
    """Hold what routing needs to know about the attempt.

    `prefix_tokens` are the prompt tokens that each upstream need not compute;
    upstreams in `avoid` are chosen only if there is no other that could be, and
    never if `must_avoid` is set. `own_share` lets a node that holds less than its
    share of the service's slots use up to that many requests of an upstream that
    other nodes have filled. `short_ratio` is the share of the slots that short work
    used lately.
    """

    kind: WorkKind
    expected_tokens: int = 1
    prompt_tokens: int = 0
    repeatable: bool = True
    prefix_tokens: Mapping[str, int] = field(default_factory=dict)
    avoid: frozenset[str] = frozenset()
    long_waits: bool = False
    must_avoid: bool = False
    own_share: int = 0
    short_ratio: float = 0.0


class Status(StrEnum):
    """Say how one candidate fared."""

    CHOSEN = "chosen"
    COMPARED = "compared"
    LEAVING = "leaving"
    FULL = "full"
    SLOW = "slow"
    FAILING = "failing"
    AVOIDED = "avoided"


@dataclass(frozen=True, slots=True)
class Reason:
    """Say why a candidate was or was not chosen; the times add up to the score."""

    upstream: str
    status: Status
    score_s: float | None = None
    parts_s: Mapping[str, float] = field(default_factory=dict)


def score(
    request: RoutingRequest, candidate: Candidate, now_s: float, policy: Policy
) -> Reason:
    """Add up the expected time and the price, in seconds."""
    rules = policy.routing
    first_s, inter_s = _speeds(candidate, policy)
    run_s = first_s + request.expected_tokens * inter_s
    used = expected_load(candidate, now_s, policy) / max(1, candidate.limit)
    prefix = request.prefix_tokens.get(candidate.upstream, 0)
    prefix = min(prefix, request.prompt_tokens) if rules.prefer_prefix else 0
    parts_s = {
        "run": run_s,
        "load": run_s * used * rules.load_weight,
        "prefill": (request.prompt_tokens - prefix) * rules.prefill_s_per_token,
        "hop": 2 * candidate.hop_s if rules.prefer_near else 0.0,
        "price": _price_s(candidate, policy),
    }
    return Reason(candidate.upstream, Status.COMPARED, sum(parts_s.values()), parts_s)


def expected_load(candidate: Candidate, now_s: float, policy: Policy) -> float:
    """Return the requests that are expected in the upstream now.

    What a report shows beyond the known requests counts less as the report ages.
    """
    rules = policy.routing
    known = float(candidate.own.short + candidate.own.long)
    if rules.use_peers:
        known += candidate.peers.short + candidate.peers.long
    report = candidate.report
    if report is None or not rules.use_reports:
        return known
    age_s = max(0.0, now_s - report.taken_at_s)
    trust = max(0.0, 1.0 - age_s / rules.report_max_age_s)
    return known + trust * max(0.0, report.running + report.waiting - known)


def _speeds(candidate: Candidate, policy: Policy) -> tuple[float, float]:
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
