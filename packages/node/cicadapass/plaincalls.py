"""Calls to plain services: retries of repeatable ones, at most once for others."""

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

import urllib3
from expression import Error, Ok, Result

from cicadapass.failures import failure_of, gave_up, refused
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

# A body up to this size is read whole before the head is passed on, so that a cut
# answer can still be replaced by another attempt or an error.
BUFFERED_BODY_BYTES = 256 * 1024
# The node itself did not send the call.
UNSENT = Failure(FailureKind.REFUSED, sent=False)


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """Hold a caller's call to a plain service."""

    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotency_key: str | None = None


@dataclass(frozen=True, slots=True)
class PlainResponse:
    """Hold the answer for the caller; a body that is bytes is whole."""

    request_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]


@dataclass(frozen=True, slots=True)
class PlainParts:
    """Hold what plain calls share.

    `may_send` is asked right before the call is sent; a claim may have lapsed.
    """

    acquire: Callable[[AcquireRequest], Grant | Refusal]
    granting: GrantManager
    client: ServiceClient
    url_of: Callable[[str], str | None]
    events: EventLog
    sleep: Callable[[float], None]
    clock: Callable[[], float] = time.monotonic
    telemetry: Telemetry = field(default_factory=no_telemetry)


@dataclass(frozen=True, slots=True)
class _Opened:
    answer: PlainAnswer
    head: bytes
    whole: bool
    first_byte_s: float


class _StreamedBody:
    """Pass a large body on; an upstream that breaks cuts the caller's answer visibly.

    The server closes the body on each path, also if it never asks for a byte, which
    would not start a generator and so would not end it either.
    """

    def __init__(self, opened: _Opened, on_end: Callable[[bool], None]) -> None:
        self._opened = opened
        self._on_end: Callable[[bool], None] | None = on_end

    def __iter__(self) -> Iterator[bytes]:
        yield self._opened.head
        rest = self._opened.answer.remaining_body()
        while True:
            try:
                chunk = next(rest, None)
            except BaseException:
                self._end(failed=True)
                raise
            if chunk is None:
                break
            yield chunk
        self._end(failed=False)

    def close(self) -> None:
        """Drop the rest, for example because the caller has gone."""
        self._end(failed=False)

    def _end(self, *, failed: bool) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            self._opened.answer.close()
            on_end(failed)


class PlainExecution:
    """Run the attempts of one plain call in the thread of the caller."""

    def __init__(
        self,
        call: PlainCall,
        work: AcquireRequest,
        parts: PlainParts,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        self._call = call
        self._work = work
        self._parts = parts
        self._may_send = may_send
        self._attempts: list[Attempt] = []
        self._own_error: PlainResponse | None = None
        self._withheld = False

    def run(self) -> Result[PlainResponse, Problem]:
        """Return the answer, or the problem with the verdict on the effect."""
        while True:
            number = len(self._attempts) + 1
            avoid = frozenset(attempt.upstream for attempt in self._attempts)
            asked = replace(self._work, attempt=number, avoid=avoid)
            grant = self._parts.acquire(asked)
            if isinstance(grant, Refusal):
                return Error(refused(grant, self._attempts))
            result = self._attempt(grant)
            if isinstance(result, PlainResponse):
                return Ok(result)
            if self._withheld:
                # Neither the deadline nor a claim that has lapsed comes back.
                verdict = combined_verdict(self._attempts)
                return Error(gave_up(Abandon(verdict, "it was too late to send it")))
            step = self._next_step(result)
            if isinstance(step, Abandon):
                # The service's own error says more than one of the node.
                own = self._own_error
                return Error(gave_up(step)) if own is None else Ok(own)

    def _next_step(self, failure: Failure) -> Retry | Abandon:
        """Return when it is time for another attempt or none is made."""
        request = RetryRequest(
            repeatable=self._call.repeatable,
            deadline_s=self._work.deadline_s,
            streams=False,
        )
        while True:
            step = self._parts.granting.next_step(
                self._work.service, self._attempts, failure, request
            )
            match step:
                case Abandon():
                    return step
                case Retry(delay_s, avoid) | Resume(delay_s, _, avoid):
                    self._parts.sleep(delay_s)
                    return Retry(0.0, avoid)
                case Wait(delay_s):
                    self._parts.sleep(delay_s)
                case _:
                    return Abandon(Verdict.UNKNOWN, "no further attempt")

    def _attempt(self, grant: Grant) -> PlainResponse | Failure:
        began_s = self._parts.clock()
        self._own_error = None
        try:
            opened = self._open(grant, began_s)
        except BaseException:
            self._release(grant, began_s, failed=True)
            raise
        if isinstance(opened, Failure):
            # An upstream that was not called has not failed.
            self._release(grant, began_s, failed=opened is not UNSENT)
            self._failed(grant, opened)
            return opened
        if opened.whole:
            self._release(grant, began_s, opened.first_byte_s)
            return self._whole(opened)
        first_byte_s = opened.first_byte_s

        def on_end(failed: bool) -> None:
            self._release(grant, began_s, first_byte_s, failed=failed)

        return self._response(opened.answer, _StreamedBody(opened, on_end))

    def _failed(self, grant: Grant, failure: Failure) -> None:
        attempt = Attempt(grant.upstream, sent=failure.sent, failure=failure.kind)
        self._attempts.append(attempt)
        self._parts.events.emit(
            453,
            request_id=self._work.request_id,
            upstream=grant.upstream,
            failure=str(failure.kind),
            tokens=0,
        )

    def _whole(self, opened: _Opened) -> PlainResponse:
        answer = opened.answer
        response = self._response(answer, [opened.head])
        # These answers have no body, but may state the length that another would have.
        if self._call.method == "HEAD" or answer.status in (204, 304):
            return response
        headers = _with_length(answer.headers, len(opened.head))
        return replace(response, headers=headers)

    def _response(self, answer: PlainAnswer, body: Iterable[bytes]) -> PlainResponse:
        request_id = self._work.request_id
        return PlainResponse(request_id, answer.status, answer.headers, body)

    def _open(self, grant: Grant, began_s: float) -> _Opened | Failure:
        url = self._parts.url_of(grant.upstream)
        left_s = self._work.deadline_s - began_s
        if left_s <= 0 or not self._may_send():
            self._withheld = True
            return UNSENT
        if url is None:
            return UNSENT
        result = self._parts.client.call(url, self._call, left_s)
        if result.is_error():
            return failure_of(result.error)
        answer = result.ok
        first_byte_s = self._parts.clock() - began_s
        try:
            if answer.proves_not_run and answer.status >= 500:
                answer.close()
                return Failure(FailureKind.REJECTED, sent=True)
            head, whole = answer.read_up_to(BUFFERED_BODY_BYTES)
        except (urllib3.exceptions.HTTPError, OSError):
            answer.close()
            return Failure(FailureKind.BROKEN, sent=True)
        opened = _Opened(answer, head, whole, first_byte_s)
        if self._another_may_do_better(answer.status):
            answer.close()
            self._own_error = self._whole(opened) if whole else None
            return Failure(FailureKind.BROKEN, sent=True)
        return opened

    def _another_may_do_better(self, status: int) -> bool:
        # Any other error is the service's own answer and passes through.
        return self._call.repeatable and status in (502, 503, 504)

    def _release(
        self,
        grant: Grant,
        began_s: float,
        first_byte_s: float | None = None,
        *,
        failed: bool = False,
    ) -> None:
        total_s = self._parts.clock() - began_s
        outcome = Outcome(
            timing=Timing(first_token_s=first_byte_s),
            total_s=None if failed else total_s,
            failed=failed,
        )
        self._parts.granting.release(grant, outcome)


def _with_length(
    headers: tuple[tuple[str, str], ...], length: int
) -> tuple[tuple[str, str], ...]:
    kept = tuple((k, v) for k, v in headers if k.lower() != "content-length")
    return (*kept, ("Content-Length", str(length)))
