"""Convert failures of upstreams and refused grants into problems for callers."""

from collections.abc import Sequence
from http import HTTPStatus

from cicadapass.problems import Problem
from cicadapass.upstreamhttp import CallFailure
from cicadapass_decisions.admission import Refusal, RefusalReason
from cicadapass_decisions.retry import (
    Abandon,
    Attempt,
    Failure,
    FailureKind,
    combined_verdict,
)
from cicadapass_decisions.types import Verdict

_STATUS_OF_REASON = {
    RefusalReason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    RefusalReason.OVERLOAD: HTTPStatus.SERVICE_UNAVAILABLE,
}


def to_retry_failure(failure: CallFailure) -> Failure:
    """Classify the failure of a call for the retry decision."""
    if failure.refused:
        return Failure(FailureKind.REJECTED, sent=True)
    if not failure.sent:
        return Failure(FailureKind.REFUSED, sent=False)
    kind = FailureKind.TIMEOUT if failure.timed_out else FailureKind.BROKEN
    return Failure(kind, sent=True)


def refusal_problem(refusal: Refusal, attempts: Sequence[Attempt] = ()) -> Problem:
    """Return the problem of a refused grant; earlier attempts decide the verdict."""
    status = _STATUS_OF_REASON.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    verdict = combined_verdict(attempts) if attempts else refusal.verdict
    return Problem(
        f"refused-{refusal.reason}",
        status,
        f"no upstream was available for the request: {refusal.reason}",
        "send the request again after the time in Retry-After",
        verdict,
        retry_after_s=refusal.retry_after_s,
    )


def failure_problem(step: Abandon) -> Problem:
    """Return the problem of a request that is not retried any more."""
    return Problem(
        "upstream-failed",
        HTTPStatus.BAD_GATEWAY,
        f"the upstreams failed: {step.reason}",
        _REMEDY_OF_VERDICT[step.verdict],
        step.verdict,
    )


_REMEDY_OF_VERDICT = {
    Verdict.NOT_RUN: "send the request again",
    Verdict.RUN: "read the upstream's state before you send the request again",
    Verdict.UNKNOWN: "find out whether it took effect before you send it again",
}
