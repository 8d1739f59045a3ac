"""Publish a document: append it and read its verdict from the log; safe to retry."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from expression import Error, Ok, Result

from cicadapass_common.exceptions import CicadapassError
from cicadapass_common.logclient import Log, LogError
from cicadapass_common.records import decode_log_record, encode_record
from cicadapass_decisions.fold import (
    FoldState,
    Validate,
    first_verdict,
    fold,
    skip_to,
)
from cicadapass_decisions.logrecords import Publish, PublishOutcome, PublishVerdict

RECORDS_PER_PAGE = 100
MAX_ATTEMPTS = 5
FIRST_RETRY_WAIT_S = 0.5

DescribeChange = Callable[[Mapping[str, Any] | None, Mapping[str, Any] | None], Any]


@dataclass(frozen=True, slots=True)
class PublishAccepted:
    """The document is in force as this version."""

    version: int


@dataclass(frozen=True, slots=True)
class PublishRejected:
    """The document is not valid; nothing changed."""

    problems: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """Another publish was accepted first.

    `change` describes the difference between the base and the current version.
    """

    winner_version: int
    winner_author: str
    current_version: int
    change: Any


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """No verdict could be read; the same publish id may be retried."""

    reason: str
    may_have_taken_effect: bool


PublishResult = PublishAccepted | PublishRejected | PublishConflict | PublishUnknown


@dataclass(frozen=True, slots=True)
class PublishDependencies:
    """Bundle the log, validation and `describe_change(base, winner)` of a publish."""

    log: Log
    validate: Validate
    describe_change: DescribeChange
    sleep: Callable[[float], None] = time.sleep


def read_to_end(
    log: Log, state: FoldState, validate: Validate
) -> Result[FoldState, LogError]:
    """Return the state after the last record that is now in the log."""
    while True:
        page = log.read(state.next_offset, RECORDS_PER_PAGE, 0.0)
        if page.is_error():
            return Error(page.error)
        state = skip_to(state, page.ok.first_offset)
        for raw in page.ok.records:
            record = decode_log_record(raw.offset, raw.time_s, raw.data)
            state, _ = fold(state, record, validate)
        if not page.ok.records:
            return Ok(state)


def publish(
    dependencies: PublishDependencies,
    request: Publish,
    state: FoldState,
    base_document: Mapping[str, Any] | None,
) -> PublishResult:
    """Publish and return the verdict that all readers of the log agree on.

    `state` may be empty or any earlier state; `base_document` is the document in
    force at the publish's base.
    """
    validated = dependencies.validate(request.document)
    if validated.is_error():
        return PublishRejected(tuple(validated.error))
    payload = encode_record(request)
    if payload.is_error():
        return PublishRejected((payload.error,))
    progress = _PublishProgress(state)
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            dependencies.sleep(_retry_wait_s(progress.error, attempt))
        progress = _attempt(dependencies, request, payload.ok, progress)
        verdict = _find_verdict(progress, request)
        if verdict is not None:
            return _to_result(dependencies, verdict, progress.state, base_document)
    return PublishUnknown(str(progress.error), progress.may_be_appended)


@dataclass(frozen=True, slots=True)
class _PublishProgress:
    """Track the attempts; `may_be_appended` is true if one may have taken effect."""

    state: FoldState
    may_be_appended: bool = False
    error: CicadapassError | None = None


def _attempt(
    dependencies: PublishDependencies,
    request: Publish,
    payload: bytes,
    progress: _PublishProgress,
) -> _PublishProgress:
    # Reading first finds the verdict on an earlier attempt, or a conflict that makes
    # another append pointless.
    progress = _read_log(dependencies, progress)
    if progress.error or _find_verdict(progress, request):
        return progress
    appended = dependencies.log.append(payload)
    if appended.is_error():
        may_be_appended = (
            progress.may_be_appended or appended.error.may_have_taken_effect
        )
        progress = replace(
            progress, may_be_appended=may_be_appended, error=appended.error
        )
        return (
            progress
            if not may_be_appended
            else replace(_read_log(dependencies, progress), may_be_appended=True)
        )
    return _read_log(dependencies, replace(progress, may_be_appended=True))


def _read_log(
    dependencies: PublishDependencies, progress: _PublishProgress
) -> _PublishProgress:
    result = read_to_end(dependencies.log, progress.state, dependencies.validate)
    if result.is_error():
        return replace(progress, error=result.error)
    progress = replace(progress, state=result.ok, error=None)
    if progress.state.complete:
        return progress
    error = CicadapassError(
        "the log contains no usable snapshot", "wait until a node has appended one"
    )
    return replace(progress, error=error)


def _retry_wait_s(error: CicadapassError | None, attempt: int) -> float:
    log_wait_s = getattr(error, "retry_after_s", None)
    return max(log_wait_s or 0.0, FIRST_RETRY_WAIT_S * 2 ** (attempt - 1))


def _find_verdict(
    progress: _PublishProgress, request: Publish
) -> PublishVerdict | None:
    state = progress.state
    if not state.complete:
        return None
    verdict = first_verdict(state, request.publish_id)
    if verdict is not None or state.version == request.base_offset:
        return verdict
    # Versions only increase, so the base cannot be in force again, not even for an
    # append that takes effect later.
    return PublishVerdict(
        PublishOutcome.CONFLICT, state.next_offset, state.version, state.author
    )


def _to_result(
    dependencies: PublishDependencies,
    verdict: PublishVerdict,
    state: FoldState,
    base_document: Mapping[str, Any] | None,
) -> PublishResult:
    if verdict.outcome is PublishOutcome.ACCEPTED:
        return PublishAccepted(verdict.version)
    if verdict.outcome is PublishOutcome.REJECTED:
        return PublishRejected(("the readers of the log rejected the document",))
    change = dependencies.describe_change(base_document, state.document)
    return PublishConflict(verdict.version, verdict.author, state.version, change)
