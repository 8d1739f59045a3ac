"""Choose the upstream of a request, or let it wait, or refuse it.

Answers two load patterns: bursts of long prompts beside short urgent ones (long ones
wait at the node, so that an engine's reading backlog stays short for urgent ones), and
hot shared prompts (one home for each shared part in a data centre, left as soon as its
backlog costs more than reading the part again).
"""

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from cicadapass_decisions.passthrough import Prompt

# What an upstream in another data centre has to be faster by. Covers the hop there and
# back and the price of bytes between data centres.
REMOTE_ENGINE_S = 0.12
REMOTE_CALL_S = 0.008
# What a score of 1 for failures costs, in seconds of waiting.
FAILURE_S = 2.0
# Requests with a longer target wait while an engine's backlog exceeds this part of the
# shortest target.
BACKLOG_PART = 0.5
# An engine's backlog beyond this part of a request's own target makes it wait.
OWN_BACKLOG_PART = 0.9
# Fewer shared tokens than this are read as fast as they are copied: setting a copy up
# takes about 4 ms, the time to read 250 tokens.
LEAST_FETCHED_TOKENS = 500
# Calls at a plain service beyond its slots, as a part of them. They wait there for the
# time of about one call; the count of peers' calls is too old for a closer bound.
EXTRA_PART = 1.0
# A caller leaves a stream after the longest of these gaps.
PATIENCE_S = 2.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0
# A request that would wait at the node for more than this part of what the caller
# bears is refused at arrival.
HOPELESS_PART = 0.6
# A waiting request is refused once its wait and what is expected come to this part of
# what the caller bears; a late answer is still worth something until then.
OVERDUE_PART = 0.9


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold what is known of an upstream at the moment of a choice."""

    upstream_id: str
    data_centre: str
    local: bool
    slots: int
    running: int
    backlog_s: float
    token_s: float
    call_s: float
    held_tokens: int
    failure_score: float
    # The upstream rejected a request just now.
    full: bool = False
    # The upstream took no connection just now.
    unreachable: bool = False


@dataclass(frozen=True, slots=True)
class Work:
    """Hold what decides where a request goes."""

    prompt: Prompt
    model: bool
    target_s: float
    # The shortest target of the service's more urgent routes, if there are any.
    urgent_target_s: float | None
    waited_s: float


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an upstream."""

    upstream_id: str
    expected_s: float
    # An engine that is likely to hold more of the prompt's shared parts.
    source_id: str | None = None


@dataclass(frozen=True, slots=True)
class Wait:
    """Keep the request until an upstream has room."""

    expected_s: float


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Say that the service has no upstream."""


def weights_of(key: str, upstream_ids: Iterable[str]) -> dict[str, bytes]:
    """Return the weight of each upstream for a shared part (rendezvous hashing)."""
    return {each: _weight(key, each) for each in upstream_ids}


def homes_of(
    candidates: Iterable[Candidate], weights: Mapping[str, bytes]
) -> tuple[str, ...]:
    """Return the home of a part in each data centre, on which all nodes agree.

    They are in the same order for all nodes, too.
    """
    homes: dict[str, str] = {}
    for each in candidates:
        known = homes.get(each.data_centre)
        if known is None or weights[each.upstream_id] > weights[known]:
            homes[each.data_centre] = each.upstream_id
    return tuple(sorted(homes.values(), key=weights.__getitem__, reverse=True))


def choose(work: Work, candidates: Sequence[Candidate]) -> Send | Wait | Unavailable:
    """Return where to send a request, or that it should wait."""
    if not candidates:
        return Unavailable()
    # A crashed engine stays listed for seconds and looks idle, so while the others are
    # busy it would draw all requests. If none can be reached, the cause may lie here.
    candidates = [each for each in candidates if not each.unreachable] or candidates
    lowest = min(each.failure_score for each in candidates)
    key = work.prompt.affinity_key
    weights = weights_of(key or "", [each.upstream_id for each in candidates])
    homes = () if key is None else homes_of(candidates, weights)
    costs = sorted(
        ((_cost(work, each, homes, lowest), each) for each in candidates),
        # Among equals, all nodes take the same one for a part, and parts differ.
        key=lambda pair: (pair[0], weights[pair[1].upstream_id]),
    )
    for cost, candidate in costs:
        if _has_room(work, candidate):
            source_id = _source_id(work.prompt, candidate, homes, candidates)
            return Send(candidate.upstream_id, cost, source_id)
    return Wait(costs[0][0])


def patience_s(target_s: float, gap_s: float | None, deadline_s: float) -> float:
    """Return how long a caller waits for the first piece of its answer."""
    if gap_s is None:
        return deadline_s
    longest = max(PATIENCE_S, PATIENCE_TARGETS * target_s, PATIENCE_GAPS * gap_s)
    return min(deadline_s, longest)


def is_hopeless(wait_s: float, patience: float) -> bool:
    """Return whether a request should be refused instead of waiting."""
    return wait_s > HOPELESS_PART * patience


def is_overdue(waited_s: float, expected_s: float, patience: float) -> bool:
    """Return whether a waiting request should be told to come back."""
    return waited_s + expected_s > OVERDUE_PART * patience


def _source_id(
    prompt: Prompt,
    chosen: Candidate,
    homes: Sequence[str],
    candidates: Sequence[Candidate],
) -> str | None:
    """Return the engine from which the chosen one should fetch the shared parts.

    Answers parts that are asked for in several data centres, or by more requests than
    their home bears: copying them takes a fraction of the time to read them again.
    """
    missing = prompt.shared_tokens - chosen.held_tokens
    if missing < LEAST_FETCHED_TOKENS:
        return None
    others = [each for each in candidates if each.upstream_id != chosen.upstream_id]
    holder = max(others, key=lambda each: each.held_tokens, default=None)
    if holder is not None and holder.held_tokens > chosen.held_tokens:
        return holder.upstream_id
    own = {each.upstream_id for each in others if each.local}
    likely = [home for home in homes if home != chosen.upstream_id]
    return next((home for home in likely if home in own), next(iter(likely), None))


def _cost(work: Work, each: Candidate, homes: Sequence[str], lowest: float) -> float:
    penalty = FAILURE_S * (each.failure_score - lowest)
    if not work.model:
        filled = (each.running + 1) / max(1, each.slots)
        remote = 0.0 if each.local else REMOTE_CALL_S
        return each.call_s * max(1.0, filled) + remote + penalty
    held = each.held_tokens
    if each.upstream_id in homes:
        held = max(held, work.prompt.shared_tokens)
    reading_s = max(0, work.prompt.prompt_tokens - held) * each.token_s
    remote = 0.0 if each.local else REMOTE_ENGINE_S
    return each.backlog_s + reading_s + remote + penalty


def _has_room(work: Work, each: Candidate) -> bool:
    if each.full:
        return False
    if not work.model:
        return each.running < each.slots * (1 + EXTRA_PART)
    if each.running >= each.slots:
        return False
    if work.urgent_target_s is not None:
        return each.backlog_s <= BACKLOG_PART * work.urgent_target_s
    return each.backlog_s <= OWN_BACKLOG_PART * work.target_s


def _weight(key: str, upstream_id: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{upstream_id}".encode(), digest_size=8).digest()
