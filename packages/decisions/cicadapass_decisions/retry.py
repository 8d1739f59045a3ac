"""Decide the next step of a request after a failed or late attempt."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from cicadapass_decisions.policy import RetryRules
from cicadapass_decisions.types import Verdict

# Delay after which a request that waits for budget is decided again.
BUDGET_WAIT_S = 0.1


class FailureKind(StrEnum):
    """Enumerate how an attempt failed."""

    # No connection was made, so no byte was sent.
    REFUSED = "refused"
    # The upstream reported that it did not run the request.
    REJECTED = "rejected"
    # The upstream returned an error and may have run the request.
    ANSWERED = "answered"
    # The connection broke or the answer was truncated.
    BROKEN = "broken"
    # There was no answer within the timeout.
    TIMEOUT = "timeout"
    # The first or the next token is late; the attempt is still running.
    LATE = "late"
    # The upstream is leaving or gone.
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Failure:
    """Describe a failure; `sent` is false only if no byte was sent."""

    kind: FailureKind
    sent: bool


@dataclass(frozen=True, slots=True)
class Attempt:
    """Describe one attempt and its result so far; `failure` is None without one."""

    upstream: str
    sent: bool
    failure: FailureKind | None = None
    running: bool = False


@dataclass(frozen=True, slots=True)
class RetryRequest:
    """Describe a request for the decision.

    An `accepted` request must get an answer. `tokens` have been generated, and about
    `expected_remaining_tokens` will follow, if that is known.
    """

    repeatable: bool
    deadline_s: float
    accepted: bool = False
    tokens: int = 0
    streams: bool = True
    expected_remaining_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Represent a token bucket of extra attempts."""

    tokens: float = 1.0
    updated_at_s: float | None = None


@dataclass(frozen=True, slots=True)
class Retry:
    """Run the request again from its start after a pause."""

    delay_s: float
    avoid: frozenset[str]


@dataclass(frozen=True, slots=True)
class Resume:
    """Run the request again from a token offset after a pause."""

    delay_s: float
    from_token: int
    avoid: frozenset[str]


@dataclass(frozen=True, slots=True)
class Hedge:
    """Run a second attempt concurrently with the late one; the slower is cancelled.

    It starts at a token offset, so that a stalled answer is not computed again.
    """

    avoid: frozenset[str]
    from_token: int = 0


@dataclass(frozen=True, slots=True)
class Wait:
    """Decide again after a pause: the budget is spent or an attempt still runs."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class Abandon:
    """End the request and report to the caller whether it may have taken effect."""

    verdict: Verdict
    reason: str


Step = Retry | Resume | Hedge | Wait | Abandon


@dataclass(frozen=True, slots=True)
class Decision:
    """Report the next step and the remaining budget."""

    step: Step
    budget: RetryBudget


def on_request(budget: RetryBudget, now_s: float, rules: RetryRules) -> RetryBudget:
    """Return the budget after the first attempt of a request."""
    # The larger of the two credits, not their sum, so that with many requests the
    # budget is exactly its ratio of them.
    credit = max(rules.budget_ratio, _elapsed_credit(budget, now_s, rules))
    return _credited(budget, credit, now_s, rules)


def next_step(
    attempts: Sequence[Attempt],
    failure: Failure,
    request: RetryRequest,
    budget: RetryBudget,
    now_s: float,
    rng: random.Random,
    rules: RetryRules,
) -> Decision:
    """Return the next step after the failure of the last attempt."""
    if failure.kind is FailureKind.LATE:
        return _hedge(attempts, request, budget, now_s, rules)
    if any(attempt.running for attempt in attempts):
        # The other attempt of a hedge may still answer.
        return Decision(Wait(BUDGET_WAIT_S), budget)
    reason = _reason_to_stop(attempts, failure, request, now_s, rules)
    if reason is not None:
        return Decision(Abandon(combined_verdict(attempts), reason), budget)
    if failure.kind is FailureKind.LEAVING:
        # It replaces an attempt that can no longer run, so it adds no load and needs no
        # budget.
        return Decision(_retry_or_resume(attempts, request, 0.0), budget)
    remaining_budget = _spend(budget, now_s, rules)
    if remaining_budget is not None:
        delay_s = _backoff_s(len(attempts), rng, rules)
        delay_s = min(delay_s, max(0.0, request.deadline_s - now_s))
        return Decision(_retry_or_resume(attempts, request, delay_s), remaining_budget)
    if request.accepted:
        return Decision(Wait(BUDGET_WAIT_S), budget)
    return Decision(
        Abandon(combined_verdict(attempts), "retry budget is spent"), budget
    )


def combined_verdict(attempts: Sequence[Attempt]) -> Verdict:
    """Return the verdict on the request's effect from all of its attempts."""
    verdicts = {_attempt_verdict(attempt) for attempt in attempts}
    for verdict in (Verdict.RUN, Verdict.UNKNOWN):
        if verdict in verdicts:
            return verdict
    return Verdict.NOT_RUN


def hedge_after_s(first_token_s: float | None, rules: RetryRules) -> float | None:
    """Return the wait for the first token before a hedge, or None without hedges.

    There are none if they are switched off or the usual time is unknown.
    """
    if not rules.hedge or first_token_s is None:
        return None
    return max(rules.hedge_min_s, first_token_s * rules.hedge_ratio)


def stalled_after_s(inter_token_s: float | None, rules: RetryRules) -> float | None:
    """Return the wait for the next token before a hedge, or None without hedges."""
    if not rules.hedge or not rules.hedge_stalled or inter_token_s is None:
        return None
    return max(rules.hedge_min_s, inter_token_s * rules.stall_ratio)


def _attempt_verdict(attempt: Attempt) -> Verdict:
    if attempt.failure is FailureKind.ANSWERED:
        return Verdict.RUN
    if not attempt.sent or attempt.failure is FailureKind.REJECTED:
        return Verdict.NOT_RUN
    return Verdict.UNKNOWN


def _count_towards_limit(attempts: Sequence[Attempt], request: RetryRequest) -> int:
    """Return the number of attempts that count towards the limit.

    Of an accepted request, attempts that were not run do not count, because all
    upstreams may refuse for a moment. Others count, because a request that crashes
    its upstreams must not be repeated for ever.
    """
    if not request.accepted:
        return len(attempts)
    verdicts = (_attempt_verdict(attempt) for attempt in attempts)
    return sum(verdict is not Verdict.NOT_RUN for verdict in verdicts)


def _reason_to_stop(
    attempts: Sequence[Attempt],
    failure: Failure,
    request: RetryRequest,
    now_s: float,
    rules: RetryRules,
) -> str | None:
    if failure.kind is FailureKind.ANSWERED:
        return "the upstream answered with an error"
    if not request.repeatable and any(attempt.sent for attempt in attempts):
        return "the call must not be repeated"
    if not rules.retry:
        return "retries are switched off"
    if _count_towards_limit(attempts, request) >= rules.max_attempts:
        return "too many attempts"
    return "the deadline has passed" if now_s >= request.deadline_s else None


def _hedge(
    attempts: Sequence[Attempt],
    request: RetryRequest,
    budget: RetryBudget,
    now_s: float,
    rules: RetryRules,
) -> Decision:
    running = sum(attempt.running for attempt in attempts)
    allowed = rules.hedge and request.repeatable and running < 2
    if request.tokens > 0:
        allowed = allowed and _may_hedge_stalled(request, rules)
    if not allowed or len(attempts) >= rules.max_attempts:
        return Decision(Wait(max(0.0, request.deadline_s - now_s)), budget)
    remaining_budget = _spend(budget, now_s, rules)
    if remaining_budget is None:
        return Decision(Wait(BUDGET_WAIT_S), budget)
    return Decision(Hedge(_used_upstreams(attempts), request.tokens), remaining_budget)


def _may_hedge_stalled(request: RetryRequest, rules: RetryRules) -> bool:
    # Waiting for the rest of a nearly complete answer is cheaper than a new attempt.
    remaining_tokens = request.expected_remaining_tokens
    long_enough = remaining_tokens is None or remaining_tokens >= rules.stall_min_tokens
    return request.streams and rules.hedge_stalled and long_enough


def _retry_or_resume(
    attempts: Sequence[Attempt], request: RetryRequest, delay_s: float
) -> Retry | Resume:
    if request.streams and request.tokens:
        return Resume(delay_s, request.tokens, _used_upstreams(attempts))
    return Retry(delay_s, _used_upstreams(attempts))


def _used_upstreams(attempts: Sequence[Attempt]) -> frozenset[str]:
    return frozenset(attempt.upstream for attempt in attempts)


def _elapsed_credit(budget: RetryBudget, now_s: float, rules: RetryRules) -> float:
    if budget.updated_at_s is None:
        return 0.0
    return max(0.0, now_s - budget.updated_at_s) * rules.budget_min_per_s


def _credited(
    budget: RetryBudget, credit: float, now_s: float, rules: RetryRules
) -> RetryBudget:
    tokens = min(budget.tokens + credit, rules.budget_burst)
    return replace(budget, tokens=tokens, updated_at_s=now_s)


def _spend(budget: RetryBudget, now_s: float, rules: RetryRules) -> RetryBudget | None:
    if not rules.limit_budget:
        return budget
    # The time that the last request's credit covered is not credited again.
    credit = _elapsed_credit(budget, now_s, rules) - rules.budget_ratio
    if credit > 0:
        budget = _credited(budget, credit, now_s, rules)
    if budget.tokens < 1.0:
        return None
    return replace(budget, tokens=budget.tokens - 1.0)


def _backoff_s(attempts: int, rng: random.Random, rules: RetryRules) -> float:
    # Full jitter spreads the retries of requests that failed together.
    ceiling_s = rules.backoff_s * 2 ** (attempts - 1)
    return rng.uniform(0.0, min(ceiling_s, rules.backoff_max_s))
