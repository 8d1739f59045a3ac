"""Decide whether a request is queued, refused, or displaces a queued request."""

import math
from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result

from cicadapass_decisions.policy import AdmissionRules, QueueRules
from cicadapass_decisions.types import Verdict
from cicadapass_decisions.work import WorkKind

MAX_PRIORITY = 9


class RefusalReason(StrEnum):
    """Enumerate why a request was not run."""

    OVERLOAD = "overload"
    DEADLINE = "deadline"
    QUEUE_FULL = "queue-full"
    NO_UPSTREAM = "no-upstream"
    DRAINING = "draining"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Report that an attempt was not run and when the caller may try again.

    `verdict` covers this attempt only; after earlier attempts the caller gets
    `retry.combined_verdict`.
    """

    reason: RefusalReason
    retry_after_s: int
    verdict: Verdict = Verdict.NOT_RUN


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Describe a request for admission; an `accepted` request is never shed."""

    kind: WorkKind
    priority: int
    deadline_s: float
    accepted: bool = False


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """Describe the load of a service's queue from the view of one request.

    `wait_s` is the expected wait behind the work that is served first. `queued`
    counts all queued requests, `lowest_priority` is the lowest among those that can
    be shed, and `within_fair_share` is true if the demand of the workspace does not
    exceed its share.
    """

    wait_s: float
    queued: int
    lowest_priority: int | None = None
    has_free_slot: bool = False
    within_fair_share: bool = False


@dataclass(frozen=True, slots=True)
class Admitted:
    """Admit a request; if `displaces`, the lowest-priority queued one is shed."""

    displaces: bool = False


def admit(
    request: AdmissionRequest,
    load: QueueLoad,
    rules: AdmissionRules,
    queue_rules: QueueRules,
    now_s: float,
) -> Result[Admitted, Refusal]:
    """Return the admission, or a refusal if the wait is too long or the queue full."""
    if request.deadline_s <= now_s:
        return Error(build_refusal(RefusalReason.DEADLINE, 0.0, rules))
    if request.accepted or load.has_free_slot:
        return Ok(Admitted())
    if rules.shed and now_s + load.wait_s > request.deadline_s:
        return Error(build_refusal(RefusalReason.DEADLINE, load.wait_s, rules))
    if rules.shed and load.wait_s > _max_wait_s(request, load, rules):
        return Error(build_refusal(RefusalReason.OVERLOAD, load.wait_s, rules))
    if load.queued < queue_rules.max_queued:
        return Ok(Admitted())
    lowest = load.lowest_priority
    if rules.shed and lowest is not None and lowest < request.priority:
        return Ok(Admitted(displaces=True))
    return Error(build_refusal(RefusalReason.QUEUE_FULL, load.wait_s, rules))


def build_refusal(
    reason: RefusalReason, wait_s: float, rules: AdmissionRules
) -> Refusal:
    """Return a refusal whose Retry-After is the wait, rounded up, within the rules."""
    min_s, max_s = rules.min_retry_after_s, rules.max_retry_after_s
    after_s = max_s if math.isinf(wait_s) else min(max(math.ceil(wait_s), min_s), max_s)
    return Refusal(reason, after_s)


def _max_wait_s(
    request: AdmissionRequest, load: QueueLoad, rules: AdmissionRules
) -> float:
    if load.within_fair_share:
        # Other workspaces cause the overload; fair sharing bounds this wait.
        return math.inf
    is_short = request.kind is WorkKind.SHORT
    max_wait_s = rules.max_wait_s if is_short else rules.max_long_wait_s
    # Later requests of higher priority overtake the low ones, whose wait estimate is
    # therefore the least reliable.
    relative_priority = min(max(request.priority, 0), MAX_PRIORITY) / MAX_PRIORITY
    min_ratio = rules.lowest_wait_ratio
    return max_wait_s * (min_ratio + (1.0 - min_ratio) * relative_priority)
