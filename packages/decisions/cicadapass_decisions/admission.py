"""Decide whether a request may wait, must be refused, or displaces another."""

import math
from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result

from cicadapass_decisions.policy import AdmissionRules, QueueRules
from cicadapass_decisions.types import Verdict
from cicadapass_decisions.work import WorkKind

MAX_PRIORITY = 9


class RefusalReason(StrEnum):
    """Say why a request was not run."""

    OVERLOAD = "overload"
    DEADLINE = "deadline"
    QUEUE_FULL = "queue-full"
    NO_UPSTREAM = "no-upstream"
    DRAINING = "draining"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Say that this attempt was not run and when the caller may try again.

    After earlier attempts the verdict for the caller is `retry.combined_verdict`.
    """

    reason: RefusalReason
    retry_after_s: int
    verdict: Verdict = Verdict.NOT_RUN


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Hold what admission needs to know; an accepted request is not shed."""

    kind: WorkKind
    priority: int
    deadline_s: float
    accepted: bool = False


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """Hold the load of a service's queue as one request sees it.

    `wait_s` is the expected wait behind the work that is served before it. `queued`
    counts all waiting requests, `lowest_priority` is the lowest that can be shed, and
    `within_fair_share` says that the workspace asks for no more than its share.
    """

    wait_s: float
    queued: int
    lowest_priority: int | None = None
    has_free_slot: bool = False
    within_fair_share: bool = False


@dataclass(frozen=True, slots=True)
class Admitted:
    """Let the request wait; `displaces` says that the lowest is shed for it."""

    displaces: bool = False


def admit(
    request: AdmissionRequest,
    load: QueueLoad,
    rules: AdmissionRules,
    queue_rules: QueueRules,
    now_s: float,
) -> Result[Admitted, Refusal]:
    """Admit the request unless it would wait too long or the queue is full."""
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
    """Return the refusal with a Retry-After in whole seconds within the rules."""
    min_s, max_s = rules.min_retry_after_s, rules.max_retry_after_s
    after_s = max_s if math.isinf(wait_s) else min(max(math.ceil(wait_s), min_s), max_s)
    return Refusal(reason, after_s)


def _max_wait_s(
    request: AdmissionRequest, load: QueueLoad, rules: AdmissionRules
) -> float:
    if load.within_fair_share:
        # The overload is caused by others; fair sharing bounds the wait.
        return math.inf
    is_short = request.kind is WorkKind.SHORT
    max_wait_s = rules.max_wait_s if is_short else rules.max_long_wait_s
    # Later requests of higher priorities pass the low ones, whose wait is therefore
    # the least certain.
    relative_priority = min(max(request.priority, 0), MAX_PRIORITY) / MAX_PRIORITY
    min_ratio = rules.lowest_wait_ratio
    return max_wait_s * (min_ratio + (1.0 - min_ratio) * relative_priority)
