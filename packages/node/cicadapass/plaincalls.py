"""Calls to plain services.

Repeatable calls are retried; others are sent at most once, unless an attempt provably
did not run.
"""

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

import urllib3
from expression import Error, Ok, Result

from cicadapass.failures import failure_problem, refusal_problem, to_retry_failure
from cicadapass.grantmanager import GrantManager
from cicadapass.grants import AcquireRequest, Grant
from cicadapass.problems import Problem
from cicadapass.services import PlainAnswer, PlainCall, ServiceClient
from cicadapass.telemetry import Telemetry, no_telemetry
from cicadapass.upstreamtable import Outcome
from cicadapass_common.events import EventLog
from cicadapass_decisions.admission import Refusal
from cicadapass_decisions.retry import (
    Abandon,
    Attempt,
    Failure,
    FailureKind,
    Resume,
    Retry,
    RetryRequest,
    Wait,
    combined_verdict,
)
from cicadapass_decisions.slowness import Timing
from cicadapass_decisions.types import Verdict

# Bodies up to this size are read completely before the caller gets the headers, so
# that a truncated answer can still be replaced by a retry or an error.
BUFFERED_BODY_BYTES = 256 * 1024
# The node did not send the call, so this says nothing about the upstream.
UNSENT = Failure(FailureKind.REFUSED, sent=False)


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """Represent a call as received; `path` includes the query string."""

    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotency_key: str | None = None


@dataclass(frozen=True, slots=True)
class PlainResponse:
    """Represent the answer for the caller.

    `body` is a list if it is complete; otherwise it reads from the upstream, and the
    server must close it.
    """

    request_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]


@dataclass(frozen=True, slots=True)
class PlainDependencies:
    """Bundle the collaborators of `PlainExecution`."""

    acquire: Callable[[AcquireRequest], Grant | Refusal]
    grant_manager: GrantManager
    client: ServiceClient
    url_of: Callable[[str], str | None]
    events: EventLog
    sleep: Callable[[float], None]
    clock: Callable[[], float] = time.monotonic
    telemetry: Telemetry = field(default_factory=no_telemetry)


@dataclass(frozen=True, slots=True)
class _OpenedAnswer:
    answer: PlainAnswer
    buffered: bytes
    complete: bool
    first_byte_s: float


class _StreamedBody:
    """Stream a large body; an upstream error propagates and aborts the response.

    This is a class because closing a generator that was never started does not run
    its clean-up, and the server may close a body without reading from it.
    """

    def __init__(self, opened: _OpenedAnswer, on_end: Callable[[bool], None]) -> None:
        self._opened = opened
        self._on_end: Callable[[bool], None] | None = on_end

    def __iter__(self) -> Iterator[bytes]:
        yield self._opened.buffered
        remaining = self._opened.answer.remaining_body()
        while True:
            try:
                chunk = next(remaining, None)
            except BaseException:
                self._end(failed=True)
                raise
            if chunk is None:
                break
            yield chunk
        self._end(failed=False)

    def close(self) -> None:
        """Discard the remaining body, for example after the caller disconnected."""
        self._end(failed=False)

    def _end(self, *, failed: bool) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            self._opened.answer.close()
            on_end(failed)


class PlainExecution:
    """Run the attempts of one plain call in the calling thread.

    `may_send` is evaluated right before each send; it returns False once the claim of
    a keyed call has expired.
    """

    def __init__(
        self,
        call: PlainCall,
        acquire_request: AcquireRequest,
        dependencies: PlainDependencies,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        self._call = call
        self._acquire_request = acquire_request
        self._dependencies = dependencies
        self._may_send = may_send
        self._attempts: list[Attempt] = []
        self._service_error: PlainResponse | None = None
        self._is_too_late = False

    def run(self) -> Result[PlainResponse, Problem]:
        """Return the answer, or a problem whose verdict says whether the call ran."""
        while True:
            attempt_number = len(self._attempts) + 1
            avoid = frozenset(attempt.upstream for attempt in self._attempts)
            attempt_request = replace(
                self._acquire_request, attempt=attempt_number, avoid=avoid
            )
            grant = self._dependencies.acquire(attempt_request)
            if isinstance(grant, Refusal):
                return Error(refusal_problem(grant, self._attempts))
            result = self._attempt(grant)
            if isinstance(result, PlainResponse):
                return Ok(result)
            if self._is_too_late:
                # A passed deadline or an expired claim rules out further attempts.
                verdict = combined_verdict(self._attempts)
                return Error(
                    failure_problem(
                        Abandon(verdict, "deadline or claim expired before sending")
                    )
                )
            step = self._next_step(result)
            if isinstance(step, Abandon):
                # The service's error response is more specific than the node's.
                service_error = self._service_error
                return (
                    Error(failure_problem(step))
                    if service_error is None
                    else Ok(service_error)
                )

    def _next_step(self, failure: Failure) -> Retry | Abandon:
        """Wait until the next attempt is due and return Retry, or return Abandon."""
        request = RetryRequest(
            repeatable=self._call.repeatable,
            deadline_s=self._acquire_request.deadline_s,
            streams=False,
        )
        while True:
            step = self._dependencies.grant_manager.next_step(
                self._acquire_request.service, self._attempts, failure, request
            )
            match step:
                case Abandon():
                    return step
                case Retry(delay_s, avoid) | Resume(delay_s, _, avoid):
                    self._dependencies.sleep(delay_s)
                    return Retry(0.0, avoid)
                case Wait(delay_s):
                    self._dependencies.sleep(delay_s)
                case _:
                    return Abandon(Verdict.UNKNOWN, "no further attempt")

    def _attempt(self, grant: Grant) -> PlainResponse | Failure:
        started_s = self._dependencies.clock()
        self._service_error = None
        try:
            opened = self._open(grant, started_s)
        except BaseException:
            self._release(grant, started_s, failed=True)
            raise
        if isinstance(opened, Failure):
            # An upstream that was not called must not count as failed.
            self._release(grant, started_s, failed=opened is not UNSENT)
            self._record_failure(grant, opened)
            return opened
        if opened.complete:
            self._release(grant, started_s, opened.first_byte_s)
            return self._complete_response(opened)
        first_byte_s = opened.first_byte_s

        def on_end(failed: bool) -> None:
            self._release(grant, started_s, first_byte_s, failed=failed)

        return self._new_response(opened.answer, _StreamedBody(opened, on_end))

    def _record_failure(self, grant: Grant, failure: Failure) -> None:
        attempt = Attempt(grant.upstream, sent=failure.sent, failure=failure.kind)
        self._attempts.append(attempt)
        self._dependencies.events.emit(
            453,
            request_id=self._acquire_request.request_id,
            upstream=grant.upstream,
            failure=str(failure.kind),
            tokens=0,
        )

    def _complete_response(self, opened: _OpenedAnswer) -> PlainResponse:
        answer = opened.answer
        response = self._new_response(answer, [opened.buffered])
        # These answers have no body, but HEAD may state the length that GET would have.
        if self._call.method == "HEAD" or answer.status in (204, 304):
            return response
        headers = _with_content_length(answer.headers, len(opened.buffered))
        return replace(response, headers=headers)

    def _new_response(
        self, answer: PlainAnswer, body: Iterable[bytes]
    ) -> PlainResponse:
        request_id = self._acquire_request.request_id
        return PlainResponse(request_id, answer.status, answer.headers, body)

    def _open(self, grant: Grant, started_s: float) -> _OpenedAnswer | Failure:
        url = self._dependencies.url_of(grant.upstream)
        remaining_s = self._acquire_request.deadline_s - started_s
        if remaining_s <= 0 or not self._may_send():
            self._is_too_late = True
            return UNSENT
        if url is None:
            return UNSENT
        result = self._dependencies.client.call(url, self._call, remaining_s)
        if result.is_error():
            return to_retry_failure(result.error)
        answer = result.ok
        first_byte_s = self._dependencies.clock() - started_s
        try:
            if answer.proves_not_run and answer.status >= 500:
                answer.close()
                return Failure(FailureKind.REJECTED, sent=True)
            buffered, complete = answer.read_up_to(BUFFERED_BODY_BYTES)
        except (urllib3.exceptions.HTTPError, OSError):
            answer.close()
            return Failure(FailureKind.BROKEN, sent=True)
        opened = _OpenedAnswer(answer, buffered, complete, first_byte_s)
        if self._should_try_another(answer.status):
            answer.close()
            self._service_error = self._complete_response(opened) if complete else None
            return Failure(FailureKind.BROKEN, sent=True)
        return opened

    def _should_try_another(self, status: int) -> bool:
        # Other errors are answers of the service and are returned to the caller.
        return self._call.repeatable and status in (502, 503, 504)

    def _release(
        self,
        grant: Grant,
        started_s: float,
        first_byte_s: float | None = None,
        *,
        failed: bool = False,
    ) -> None:
        total_s = self._dependencies.clock() - started_s
        outcome = Outcome(
            timing=Timing(first_token_s=first_byte_s),
            total_s=None if failed else total_s,
            failed=failed,
        )
        self._dependencies.grant_manager.release(grant, outcome)


def _with_content_length(
    headers: tuple[tuple[str, str], ...], length: int
) -> tuple[tuple[str, str], ...]:
    other_headers = tuple(
        (name, value) for name, value in headers if name.lower() != "content-length"
    )
    return (*other_headers, ("Content-Length", str(length)))
