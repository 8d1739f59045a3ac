"""Choose the upstream of a request, or queue or refuse the request.

Two load patterns determine the rules. During bursts of long prompts, the long ones wait
at the node, so that the prefill backlog of an engine stays short for requests with a
shorter target. For segments that many prompts share, each data centre has one preferred
engine per segment, which requests avoid once its backlog costs more than prefilling the
segment elsewhere.
"""

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache

from cicadapass_decisions.passthrough import Prompt
from cicadapass_decisions.upstreamlimits import Room

# An upstream in another data centre must be faster by this much. The penalty covers the
# round trip and the price of traffic between data centres.
REMOTE_ENGINE_PENALTY_S = 0.12
REMOTE_CALL_PENALTY_S = 0.008
# Penalty for a failure score of 1, as additional waiting time.
FAILURE_PENALTY_S = 2.0
# Requests wait while an engine's backlog exceeds this fraction of the shortest target
# of the service, if that is shorter than their own.
SHORTER_TARGET_BACKLOG_FRACTION = 0.5
# Other requests wait while the backlog exceeds this fraction of their own target.
TARGET_BACKLOG_FRACTION = 0.9
# Fewer shared tokens are prefilled about as fast as they are copied: the setup of a
# copy takes about 4 ms, in which an engine prefills 250 tokens.
MIN_FETCHED_TOKENS = 500
# Calls sent to a plain service beyond its slots, as a fraction of them. They wait there
# for about the duration of one call; the counts of peers are too old for a lower limit.
EXTRA_CALLS_FRACTION = 1.0
# Counts of peers that are older than this span several calls and say little of now.
# With the same ones, all nodes would send their calls to the upstream that looks idle,
# and calls would wait for the counts to fall while upstreams are idle.
STALE_COUNTS_S = 0.4
# With such counts, an upstream may have as many calls as it can answer within their
# target, but at most this multiple of its slots: more would fill its own queue.
MAX_CALLS_PER_SLOT = 4.0
# A request waits for an engine below its learnt level for at most this part of its
# target; then any slot will do.
LEVEL_PATIENCE_TARGETS = 0.5
# A caller abandons a stream after the longest of: this time, this multiple of the
# target latency, and this multiple of the longest allowed gap between events.
MAX_WAIT_BASE_S = 2.0
MAX_WAIT_TARGETS = 4.0
MAX_WAIT_GAPS = 8.0
# A request whose expected wait exceeds this fraction of the caller's maximum wait is
# refused on arrival.
ADMISSION_WAIT_FRACTION = 0.6
# A queued request is refused once its wait and the remaining expected time exceed this
# fraction of the caller's maximum wait. Until then, a late answer is still useful.
MAX_TOTAL_WAIT_FRACTION = 0.9
# Hashes that are kept, at about 250 bytes each: 136 shared segments at 60 engines.
MAX_KEPT_WEIGHTS = 8192


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe an upstream as a candidate for a request."""

    upstream_id: str
    data_centre: str
    local: bool
    slots: int
    running: int
    # Estimated time to prefill the prompts in progress.
    backlog_s: float
    prefill_s_per_token: float
    # Average duration of a call to a plain service.
    call_s: float
    # Leading tokens of the prompt that are expected to be cached.
    cached_tokens: int
    failure_score: float
    # The upstream has just rejected a request.
    full: bool = False
    # A connection to the upstream has just failed.
    unreachable: bool = False
    # What this node may send it within a limit that the upstream named.
    room: Room | None = None
    # Time for which the upstream wants no requests of this node.
    pause_s: float = 0.0
    # The runs that a model engine handles well, once they are learnt.
    level: int | None = None

    @property
    def has_room(self) -> bool:
        """Return whether the upstream takes a request of this node now.

        It may have asked for a pause, or its limit may leave no room.
        """
        return self.pause_s <= 0 and (self.room is None or self.room.requests >= 1.0)


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Describe a request for the choice of its upstream."""

    prompt: Prompt
    for_model: bool
    target_s: float
    # The shortest target of the service's other routes, if it is shorter.
    shorter_target_s: float | None
    waited_s: float
    # The request may crash its engine, so the one with the least work gets it.
    isolated: bool = False
    # Time in which a node hears of the calls that each of its peers has in progress.
    counts_age_s: float = 0.0
    # A random number from 0 to 1, by which calls are spread if the counts are old.
    draw: float = 0.0

    @property
    def is_spread(self) -> bool:
        """Return whether this is a call for which the counts of peers are too old."""
        return not self.for_model and self.counts_age_s > STALE_COUNTS_S


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an upstream."""

    upstream_id: str
    expected_s: float
    # An engine that probably has more of the prompt's shared segments cached.
    source_id: str | None = None


@dataclass(frozen=True, slots=True)
class Wait:
    """Queue the request until an upstream has capacity."""

    expected_s: float


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Report that the service has no upstream."""


def rendezvous_weights(key: str, upstream_ids: Iterable[str]) -> dict[str, bytes]:
    """Return the rendezvous hash of each upstream for a key."""
    return {upstream_id: _weight(key, upstream_id) for upstream_id in upstream_ids}


def preferred_engines(
    candidates: Iterable[Candidate], weights: Mapping[str, bytes]
) -> tuple[str, ...]:
    """Return the preferred engine of a segment in each data centre.

    All nodes with the same candidates return the same engines in the same order.
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
    """Return the upstream to send a request to, or whether to queue it."""
    if not candidates:
        return Unavailable()
    # A crashed engine stays in the registry for seconds and looks idle, so it would
    # attract all requests while the others are busy. If every upstream is unreachable,
    # the fault may be local, and all of them stay candidates.
    candidates = [
        candidate for candidate in candidates if not candidate.unreachable
    ] or candidates
    lowest_failure_score = min(candidate.failure_score for candidate in candidates)
    if request.is_spread:
        return _spread_call(request, candidates, lowest_failure_score)
    key = request.prompt.affinity_key
    weights = rendezvous_weights(
        key or "", [candidate.upstream_id for candidate in candidates]
    )
    preferred = () if key is None else preferred_engines(candidates, weights)
    isolated = request.isolated
    best: tuple[tuple[int, float, bytes], Candidate] | None = None
    wait_s = math.inf
    for candidate in candidates:
        cost_s = _expected_cost_s(request, candidate, preferred, lowest_failure_score)
        wait_s = min(wait_s, cost_s + candidate.pause_s)
        # Ties are broken by the hash, so that all nodes choose the same upstream for a
        # segment, and different ones for different segments.
        rank = (
            candidate.running if isolated else 0,
            cost_s,
            weights[candidate.upstream_id],
        )
        if (best is None or rank < best[0]) and _has_capacity(request, candidate):
            best = rank, candidate
    if best is None:
        return Wait(wait_s)
    (_, cost_s, _), chosen = best
    source_id = _cache_source(request.prompt, chosen, preferred, candidates)
    return Send(chosen.upstream_id, cost_s, source_id)


def estimate_max_wait_s(
    target_s: float, gap_s: float | None, deadline_s: float
) -> float:
    """Return how long a caller is expected to wait for the start of its answer."""
    if gap_s is None:
        return deadline_s
    max_wait_s = max(
        MAX_WAIT_BASE_S, MAX_WAIT_TARGETS * target_s, MAX_WAIT_GAPS * gap_s
    )
    return min(deadline_s, max_wait_s)


def limit_delay_s(candidates: Iterable[Candidate], requests_ahead: int) -> float:
    """Return the time until limits leave room for a request; infinite if never."""
    free, share_per_s = 0.0, 0.0
    for candidate in candidates:
        if candidate.room is None:
            return 0.0
        free += max(0.0, candidate.room.requests)
        share_per_s += candidate.room.share_per_s
    missing = requests_ahead + 1 - free
    if missing <= 0:
        return 0.0
    return missing / share_per_s if share_per_s > 0 else math.inf


def pause_delay_s(candidates: Iterable[Candidate]) -> float:
    """Return the time until the first upstream takes requests again."""
    return min((candidate.pause_s for candidate in candidates), default=0.0)


def is_wait_too_long(wait_s: float, max_wait_s: float) -> bool:
    """Return whether a request should be refused instead of queued."""
    return wait_s > ADMISSION_WAIT_FRACTION * max_wait_s


def is_overdue(waited_s: float, expected_s: float, max_wait_s: float) -> bool:
    """Return whether a queued request should be refused with a retry time."""
    return waited_s + expected_s > MAX_TOTAL_WAIT_FRACTION * max_wait_s


def _cache_source(
    prompt: Prompt,
    chosen: Candidate,
    preferred: Sequence[str],
    candidates: Sequence[Candidate],
) -> str | None:
    """Return the engine from which the chosen one should copy the shared segments.

    Segments may be requested in several data centres, or by more requests than their
    preferred engine can serve. Copying them takes a fraction of the time to prefill
    them again.
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


def _spread_call(
    request: PlacementRequest,
    candidates: Sequence[Candidate],
    lowest_failure_score: float,
) -> Send | Wait:
    """Return a random upstream with room, in proportion to the calls that it takes."""
    costs_s = {
        candidate: _expected_cost_s(request, candidate, (), lowest_failure_score)
        for candidate in candidates
    }
    takers = [each for each in candidates if _has_capacity(request, each)]
    if not takers:
        return Wait(min(costs_s[each] + each.pause_s for each in candidates))
    weights = [
        each.slots / (costs_s[each] + each.call_s * each.running / max(1, each.slots))
        for each in takers
    ]
    point = request.draw * sum(weights)
    for candidate, weight in zip(takers, weights, strict=True):
        point -= weight
        if point < 0:
            return Send(candidate.upstream_id, costs_s[candidate])
    return Send(takers[-1].upstream_id, costs_s[takers[-1]])


def _calls_per_slot(request: PlacementRequest, candidate: Candidate) -> float:
    """Return the calls that a plain service's upstream may have for each slot."""
    usual = 1 + EXTRA_CALLS_FRACTION
    if not request.is_spread:
        return usual
    in_time = request.target_s / max(candidate.call_s, 1e-6)
    return max(usual, min(MAX_CALLS_PER_SLOT, in_time))


def _has_capacity(request: PlacementRequest, candidate: Candidate) -> bool:
    if candidate.full or not candidate.has_room:
        return False
    if not request.for_model:
        return candidate.running < candidate.slots * _calls_per_slot(request, candidate)
    if candidate.running >= candidate.slots:
        return False
    # A request that has waited for long gets a slot beyond the learnt level rather than
    # a refusal while slots are idle.
    if (
        candidate.level is not None
        and candidate.running >= candidate.level
        and request.waited_s < LEVEL_PATIENCE_TARGETS * request.target_s
    ):
        return False
    if request.shorter_target_s is not None:
        return (
            candidate.backlog_s
            <= SHORTER_TARGET_BACKLOG_FRACTION * request.shorter_target_s
        )
    return candidate.backlog_s <= TARGET_BACKLOG_FRACTION * request.target_s


@lru_cache(MAX_KEPT_WEIGHTS)
def _weight(key: str, upstream_id: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{upstream_id}".encode(), digest_size=8).digest()
