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
REMOTE_ENGINE_PENALTY_S = 0.12
REMOTE_CALL_PENALTY_S = 0.008
# What a score of 1 for failures costs, in seconds of waiting.
FAILURE_PENALTY_S = 2.0
# Requests with a longer target wait while an engine's backlog exceeds this part of the
# shortest target.
SHORTER_TARGET_BACKLOG_FRACTION = 0.5
# An engine's backlog beyond this part of a request's own target makes it wait.
TARGET_BACKLOG_FRACTION = 0.9
# Fewer shared tokens than this are read as fast as they are copied: setting a copy up
# takes about 4 ms, the time to read 250 tokens.
MIN_FETCHED_TOKENS = 500
# Calls at a plain service beyond its slots, as a part of them. They wait there for the
# time of about one call; the count of peers' calls is too old for a closer bound.
EXTRA_CALLS_FRACTION = 1.0
# A caller leaves a stream after the longest of these gaps.
MAX_WAIT_BASE_S = 2.0
MAX_WAIT_TARGETS = 4.0
MAX_WAIT_GAPS = 8.0
# A request that would wait at the node for more than this part of what the caller
# bears is refused at arrival.
ADMISSION_WAIT_FRACTION = 0.6
# A waiting request is refused once its wait and what is expected come to this part of
# what the caller bears; a late answer is still worth something until then.
OVERDUE_FRACTION = 0.9


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold what is known of an upstream at the moment of a choice."""

    upstream_id: str
    data_centre: str
    local: bool
    slots: int
    running: int
    backlog_s: float
    prefill_s_per_token: float
    call_s: float
    cached_tokens: int
    failure_score: float
    # The upstream rejected a request just now.
    full: bool = False
    # The upstream took no connection just now.
    unreachable: bool = False


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Hold what decides where a request goes."""

    prompt: Prompt
    for_model: bool
    target_s: float
    # The shortest target of the service's more urgent routes, if there are any.
    shorter_target_s: float | None
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


def rendezvous_weights(key: str, upstream_ids: Iterable[str]) -> dict[str, bytes]:
    """Return the weight of each upstream for a shared part (rendezvous hashing)."""
    return {upstream_id: _weight(key, upstream_id) for upstream_id in upstream_ids}


def preferred_engines(
    candidates: Iterable[Candidate], weights: Mapping[str, bytes]
) -> tuple[str, ...]:
    """Return the home of a part in each data centre, on which all nodes agree.

    They are in the same order for all nodes, too.
    """
    preferred: dict[str, str] = {}
    for candidate in candidates:
        best = preferred.get(candidate.data_centre)
        if best is None or weights[candidate.upstream_id] > weights[best]:
            preferred[candidate.data_centre] = candidate.upstream_id
    return tuple(sorted(preferred.values(), key=weights.__getitem__, reverse=True))


def place_request(
    request: PlacementRequest, candidates: Sequence[Candidate]
) -> Send | Wait | Unavailable:
    """Return where to send a request, or that it should wait."""
    if not candidates:
        return Unavailable()
    # A crashed engine stays listed for seconds and looks idle, so while the others are
    # busy it would draw all requests. If none can be reached, the cause may lie here.
    candidates = [
        candidate for candidate in candidates if not candidate.unreachable
    ] or candidates
    lowest_failure_score = min(candidate.failure_score for candidate in candidates)
    key = request.prompt.affinity_key
    weights = rendezvous_weights(
        key or "", [candidate.upstream_id for candidate in candidates]
    )
    preferred = () if key is None else preferred_engines(candidates, weights)
    costs = sorted(
        (
            (
                _expected_cost_s(request, candidate, preferred, lowest_failure_score),
                candidate,
            )
            for candidate in candidates
        ),
        # Among equals, all nodes take the same one for a part, and parts differ.
        key=lambda pair: (pair[0], weights[pair[1].upstream_id]),
    )
    for cost_s, candidate in costs:
        if _has_capacity(request, candidate):
            source_id = _cache_source(request.prompt, candidate, preferred, candidates)
            return Send(candidate.upstream_id, cost_s, source_id)
    return Wait(costs[0][0])


def estimate_max_wait_s(
    target_s: float, gap_s: float | None, deadline_s: float
) -> float:
    """Return how long a caller waits for the first piece of its answer."""
    if gap_s is None:
        return deadline_s
    max_wait_s = max(
        MAX_WAIT_BASE_S, MAX_WAIT_TARGETS * target_s, MAX_WAIT_GAPS * gap_s
    )
    return min(deadline_s, max_wait_s)


def is_wait_too_long(wait_s: float, max_wait_s: float) -> bool:
    """Return whether a request should be refused instead of waiting."""
    return wait_s > ADMISSION_WAIT_FRACTION * max_wait_s


def is_overdue(waited_s: float, expected_s: float, max_wait_s: float) -> bool:
    """Return whether a waiting request should be told to come back."""
    return waited_s + expected_s > OVERDUE_FRACTION * max_wait_s


def _cache_source(
    prompt: Prompt,
    chosen: Candidate,
    preferred: Sequence[str],
    candidates: Sequence[Candidate],
) -> str | None:
    """Return the engine from which the chosen one should fetch the shared parts.

    Answers parts that are asked for in several data centres, or by more requests than
    their home bears: copying them takes a fraction of the time to read them again.
    """
    missing = prompt.shared_tokens - chosen.cached_tokens
    if missing < MIN_FETCHED_TOKENS:
        return None
    others = [
        candidate
        for candidate in candidates
        if candidate.upstream_id != chosen.upstream_id
    ]
    holder = max(others, key=lambda candidate: candidate.cached_tokens, default=None)
    if holder is not None and holder.cached_tokens > chosen.cached_tokens:
        return holder.upstream_id
    local = {candidate.upstream_id for candidate in others if candidate.local}
    others_preferred = [
        upstream_id for upstream_id in preferred if upstream_id != chosen.upstream_id
    ]
    return next(
        (upstream_id for upstream_id in others_preferred if upstream_id in local),
        next(iter(others_preferred), None),
    )


def _expected_cost_s(
    request: PlacementRequest,
    candidate: Candidate,
    preferred: Sequence[str],
    lowest_failure_score: float,
) -> float:
    failure_penalty_s = FAILURE_PENALTY_S * (
        candidate.failure_score - lowest_failure_score
    )
    if not request.for_model:
        utilisation = (candidate.running + 1) / max(1, candidate.slots)
        remote_penalty_s = 0.0 if candidate.local else REMOTE_CALL_PENALTY_S
        return (
            candidate.call_s * max(1.0, utilisation)
            + remote_penalty_s
            + failure_penalty_s
        )
    cached_tokens = candidate.cached_tokens
    if candidate.upstream_id in preferred:
        cached_tokens = max(cached_tokens, request.prompt.shared_tokens)
    prefill_s = (
        max(0, request.prompt.prompt_tokens - cached_tokens)
        * candidate.prefill_s_per_token
    )
    remote_penalty_s = 0.0 if candidate.local else REMOTE_ENGINE_PENALTY_S
    return candidate.backlog_s + prefill_s + remote_penalty_s + failure_penalty_s


def _has_capacity(request: PlacementRequest, candidate: Candidate) -> bool:
    if candidate.full:
        return False
    if not request.for_model:
        return candidate.running < candidate.slots * (1 + EXTRA_CALLS_FRACTION)
    if candidate.running >= candidate.slots:
        return False
    if request.shorter_target_s is not None:
        return (
            candidate.backlog_s
            <= SHORTER_TARGET_BACKLOG_FRACTION * request.shorter_target_s
        )
    return candidate.backlog_s <= TARGET_BACKLOG_FRACTION * request.target_s


def _weight(key: str, upstream_id: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{upstream_id}".encode(), digest_size=8).digest()
