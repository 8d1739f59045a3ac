"""Choose the upstream for an attempt."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from expression import Error, Ok, Result

from cicadapass_decisions.fairqueue import allocate_slots
from cicadapass_decisions.policy import Policy
from cicadapass_decisions.scoring import (
    Candidate,
    CandidateReason,
    CandidateStatus,
    RoutingRequest,
    score,
)
from cicadapass_decisions.slowness import Health
from cicadapass_decisions.work import WorkKind

# Random draws for each requested candidate before all candidates are scanned, so that
# a choice among thousands of upstreams with free slots costs a few draws.
_DRAWS_PER_CHOICE = 4


@dataclass(frozen=True, slots=True)
class Choice:
    """Report the chosen upstream and the reasons of the examined candidates."""

    upstream: str
    score_s: float
    reasons: tuple[CandidateReason, ...]
    probe: bool = False
    panic: bool = False


class NoUpstreamKind(StrEnum):
    """Distinguish the lack of any usable upstream from the lack of free slots."""

    NONE = "none"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class NoUpstream:
    """Report that no upstream can be chosen now, and why for each candidate."""

    kind: NoUpstreamKind
    reasons: tuple[CandidateReason, ...]


def choose_upstream(
    request: RoutingRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    now_s: float,
    policy: Policy,
    panic: bool = False,
) -> Result[Choice, NoUpstream]:
    """Return the best of a few random upstreams and those with the longest prefix.

    If `panic`, health verdicts are ignored; leaving upstreams are still excluded.
    """
    reasons: dict[str, CandidateReason] = {}

    def eligible(candidate: Candidate) -> bool:
        status = exclusion_status(request, candidate, policy, panic)
        if status is not None:
            reasons[candidate.upstream] = CandidateReason(candidate.upstream, status)
        return status is None

    sampled = _sample_eligible(candidates, rng, policy.routing.choices, eligible)
    nearest = _sample_nearest(candidates, sampled, rng, policy, eligible)
    with_prefix = _sample_with_prefix(request, candidates, rng, policy, eligible)
    compared = list(
        {
            candidate.upstream: candidate
            for candidate in [*sampled, *nearest, *with_prefix]
        }.values()
    )
    if not compared:
        return _choose_without_avoidance(
            request, candidates, rng, now_s, policy, panic, reasons
        )
    scored = [score(request, candidate, now_s, policy) for candidate in compared]
    # A slow or failing upstream that is due for a probe goes first, because it would
    # never win by its score.
    ranks = [
        (candidate.health is Health.GOOD or panic, reason.score_s or 0.0)
        for candidate, reason in zip(compared, scored, strict=True)
    ]
    best = ranks.index(min(ranks))
    for index, reason in enumerate(scored):
        status = CandidateStatus.CHOSEN if index == best else CandidateStatus.COMPARED
        reasons[reason.upstream] = replace(reason, status=status)
    healthy, score_s = ranks[best]
    all_reasons = tuple(reasons.values())
    return Ok(Choice(compared[best].upstream, score_s, all_reasons, not healthy, panic))


def exclusion_status(
    request: RoutingRequest, candidate: Candidate, policy: Policy, panic: bool
) -> CandidateStatus | None:
    """Return why the candidate is excluded, or None if it is eligible."""
    if candidate.leaving:
        return CandidateStatus.LEAVING
    if candidate.upstream in request.avoid:
        return CandidateStatus.AVOIDED
    if not has_free_slot(request, candidate, policy):
        return CandidateStatus.FULL
    if candidate.health is Health.GOOD or panic:
        return None
    if candidate.probe_due and request.repeatable:
        return None
    return (
        CandidateStatus.SLOW
        if candidate.health is Health.SLOW
        else CandidateStatus.FAILING
    )


def has_free_slot(
    request: RoutingRequest, candidate: Candidate, policy: Policy
) -> bool:
    """Return whether the upstream's limit allows one more request of this kind."""
    short, long = candidate.local.short, candidate.local.long
    local_running = long if request.kind is WorkKind.LONG else short + long
    if local_running < request.guaranteed_share:
        return True
    allocation = allocate_slots(candidate.limit, policy.queue, request.short_ratio)
    if policy.routing.use_peers:
        short += candidate.peers.short
        long += candidate.peers.long
    return allocation.fits(request.kind, short, long, request.long_waits)


def _choose_without_avoidance(
    request: RoutingRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    now_s: float,
    policy: Policy,
    panic: bool,
    reasons_by_upstream: Mapping[str, CandidateReason],
) -> Result[Choice, NoUpstream]:
    reasons = tuple(reasons_by_upstream.values())
    if all(reason.status is CandidateStatus.LEAVING for reason in reasons):
        return Error(NoUpstream(NoUpstreamKind.NONE, reasons))
    statuses = {reason.status for reason in reasons}
    has_avoided = CandidateStatus.AVOIDED in statuses and not request.must_avoid
    if has_avoided and CandidateStatus.FULL not in statuses:
        # An upstream that has failed this request before is better than none.
        unrestricted = replace(request, avoid=frozenset())
        return choose_upstream(unrestricted, candidates, rng, now_s, policy, panic)
    return Error(NoUpstream(NoUpstreamKind.FULL, reasons))


def _sample_eligible(
    candidates: Sequence[Candidate],
    rng: random.Random,
    count: int,
    eligible: Callable[[Candidate], bool],
) -> list[Candidate]:
    if not candidates:
        return []
    sampled: dict[str, Candidate] = {}
    for _ in range(count * _DRAWS_PER_CHOICE):
        candidate = candidates[rng.randrange(len(candidates))]
        if candidate.upstream not in sampled and eligible(candidate):
            sampled[candidate.upstream] = candidate
        if len(sampled) == count:
            return list(sampled.values())
    remaining = [
        candidate
        for candidate in candidates
        if candidate.upstream not in sampled and eligible(candidate)
    ]
    rng.shuffle(remaining)
    return [*sampled.values(), *remaining][:count]


def _sample_nearest(
    candidates: Sequence[Candidate],
    sampled: Sequence[Candidate],
    rng: random.Random,
    policy: Policy,
    eligible: Callable[[Candidate], bool],
) -> list[Candidate]:
    """Return a candidate of the nearest data centre if none has been sampled."""
    if not policy.routing.prefer_near or not sampled:
        return []
    nearest_s = min(candidate.hop_s for candidate in candidates)
    if any(candidate.hop_s <= nearest_s for candidate in sampled):
        return []
    nearest = [candidate for candidate in candidates if candidate.hop_s <= nearest_s]
    return _sample_eligible(nearest, rng, 1, eligible)


def _sample_with_prefix(
    request: RoutingRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    policy: Policy,
    eligible: Callable[[Candidate], bool],
) -> list[Candidate]:
    if not policy.routing.prefer_prefix or not request.prefix_tokens:
        return []
    longest = max(request.prefix_tokens.values())
    if longest < 1:
        return []
    tokens = request.prefix_tokens
    cached_at = [
        candidate
        for candidate in candidates
        if tokens.get(candidate.upstream) == longest
    ]
    return _sample_eligible(cached_at, rng, policy.routing.choices, eligible)
