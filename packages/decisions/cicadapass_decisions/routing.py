"""Choose the upstream of one attempt."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from expression import Error, Ok, Result

from cicadapass_decisions.fairness import room_of
from cicadapass_decisions.policy import Policy
from cicadapass_decisions.scoring import (
    Candidate,
    Reason,
    RoutingRequest,
    Status,
    score,
)
from cicadapass_decisions.slowness import Health
from cicadapass_decisions.work import WorkKind

# Random draws for each wanted choice before all candidates are looked at, so that a
# choice among thousands of upstreams with room costs a few draws.
_DRAWS_PER_CHOICE = 4


@dataclass(frozen=True, slots=True)
class Choice:
    """Hold the chosen upstream and the candidates that were looked at."""

    upstream: str
    score_s: float
    reasons: tuple[Reason, ...]
    probe: bool = False
    panic: bool = False


class NoUpstreamKind(StrEnum):
    """Say what is missing: upstreams at all, or room in them."""

    NONE = "none"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class NoUpstream:
    """Say why no upstream can be chosen now."""

    kind: NoUpstreamKind
    reasons: tuple[Reason, ...]


def choose_upstream(
    request: RoutingRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    now_s: float,
    policy: Policy,
    panic: bool = False,
) -> Result[Choice, NoUpstream]:
    """Return the better of a few random upstreams and of those with the prefix.

    Under `panic` the health verdicts are ignored; leaving is not one of them.
    """
    seen: dict[str, Reason] = {}

    def eligible(candidate: Candidate) -> bool:
        status = exclusion(request, candidate, policy, panic)
        if status is not None:
            seen[candidate.upstream] = Reason(candidate.upstream, status)
        return status is None

    drawn = _draw(candidates, rng, policy.routing.choices, eligible)
    near = _nearest(candidates, drawn, rng, policy, eligible)
    prefixed = _with_prefix(request, candidates, rng, policy, eligible)
    sample = list({c.upstream: c for c in [*drawn, *near, *prefixed]}.values())
    if not sample:
        return _without_first_choice(
            request, candidates, rng, now_s, policy, panic, seen
        )
    scored = [score(request, candidate, now_s, policy) for candidate in sample]
    # A slow or failing upstream that may be probed would never win by its score.
    ranks = [
        (candidate.health is Health.GOOD or panic, reason.score_s or 0.0)
        for candidate, reason in zip(sample, scored, strict=True)
    ]
    best = ranks.index(min(ranks))
    for index, reason in enumerate(scored):
        status = Status.CHOSEN if index == best else Status.COMPARED
        seen[reason.upstream] = replace(reason, status=status)
    healthy, score_s = ranks[best]
    reasons = tuple(seen.values())
    return Ok(Choice(sample[best].upstream, score_s, reasons, not healthy, panic))


def exclusion(
    request: RoutingRequest, candidate: Candidate, policy: Policy, panic: bool
) -> Status | None:
    """Return why the candidate cannot be chosen, or None if it can."""
    if candidate.leaving:
        return Status.LEAVING
    if candidate.upstream in request.avoid:
        return Status.AVOIDED
    if not has_room(request, candidate, policy):
        return Status.FULL
    if candidate.health is Health.GOOD or panic:
        return None
    if candidate.probe_due and request.repeatable:
        return None
    return Status.SLOW if candidate.health is Health.SLOW else Status.FAILING


def has_room(request: RoutingRequest, candidate: Candidate, policy: Policy) -> bool:
    """Return whether one more request of this kind fits into the upstream's limit."""
    short, long = candidate.own.short, candidate.own.long
    held = long if request.kind is WorkKind.LONG else short + long
    if held < request.own_share:
        return True
    room = room_of(candidate.limit, policy.queue, request.short_ratio)
    if policy.routing.use_peers:
        short += candidate.peers.short
        long += candidate.peers.long
    return room.fits(request.kind, short, long, request.long_waits)


def _without_first_choice(
    request: RoutingRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    now_s: float,
    policy: Policy,
    panic: bool,
    seen: Mapping[str, Reason],
) -> Result[Choice, NoUpstream]:
    reasons = tuple(seen.values())
    if all(reason.status is Status.LEAVING for reason in reasons):
        return Error(NoUpstream(NoUpstreamKind.NONE, reasons))
    statuses = {reason.status for reason in reasons}
    retriable = Status.AVOIDED in statuses and not request.must_avoid
    if retriable and Status.FULL not in statuses:
        # An upstream that failed this request once is better than none.
        again = replace(request, avoid=frozenset())
        return choose_upstream(again, candidates, rng, now_s, policy, panic)
    return Error(NoUpstream(NoUpstreamKind.FULL, reasons))


def _draw(
    candidates: Sequence[Candidate],
    rng: random.Random,
    wanted: int,
    eligible: Callable[[Candidate], bool],
) -> list[Candidate]:
    if not candidates:
        return []
    drawn: dict[str, Candidate] = {}
    for _ in range(wanted * _DRAWS_PER_CHOICE):
        candidate = candidates[rng.randrange(len(candidates))]
        if candidate.upstream not in drawn and eligible(candidate):
            drawn[candidate.upstream] = candidate
        if len(drawn) == wanted:
            return list(drawn.values())
    rest = [c for c in candidates if c.upstream not in drawn and eligible(c)]
    rng.shuffle(rest)
    return [*drawn.values(), *rest][:wanted]


def _nearest(
    candidates: Sequence[Candidate],
    drawn: Sequence[Candidate],
    rng: random.Random,
    policy: Policy,
    eligible: Callable[[Candidate], bool],
) -> list[Candidate]:
    """Return choices of the nearest data centre beside those from everywhere."""
    if not policy.routing.prefer_near or not drawn:
        return []
    nearest_s = min(candidate.hop_s for candidate in candidates)
    if any(candidate.hop_s <= nearest_s for candidate in drawn):
        return []
    near = [c for c in candidates if c.hop_s <= nearest_s]
    return _draw(near, rng, 1, eligible)


def _with_prefix(
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
    holders = [c for c in candidates if tokens.get(c.upstream) == longest]
    return _draw(holders, rng, policy.routing.choices, eligible)
