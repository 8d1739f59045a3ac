"""Calls to plain services: retries of repeatable ones, at most once for others."""

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

import urllib3
from expression import Error, Ok, Result

from cicadapass.failures import failure_of, gave_up, refused
from cicadapass.granting import Granting
from cicadapass.grants import AcquireRequest, Grant
from cicadapass.problems import Problem
from cicadapass.services import PlainAnswer, PlainCall, ServiceClient
from cicadapass.upstreamtable import Outcome
from cicadapass_common.events import EventLog
from cicadapass_decisions.admission import Refusal
from cicadapass_decisions.retry import (
    Attempt,
    Failure,
    FailureKind,
    GiveUp,
    Resume,
    Retry,
    RetryRequest,
    Wait,
)
from cicadapass_decisions.slowness import Timing
from cicadapass_decisions.types import Verdict

# A body up to this size is read whole before the head is passed on, so that a cut
# answer can still be replaced by another attempt or an error.
BUFFERED_BODY_BYTES = 256 * 1024


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
    granting: Granting
    client: ServiceClient
    url_of: Callable[[str], str | None]
    events: EventLog
    sleep: Callable[[float], None]
    clock: Callable[[], float] = time.monotonic


@dataclass(frozen=True, slots=True)
class _Opened:
    answer: PlainAnswer
    head: bytes
    whole: bool
    first_byte_s: float


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
            step = self._next_step(result)
            if isinstance(step, GiveUp):
                return Error(gave_up(step))

    def _next_step(self, failure: Failure) -> Retry | GiveUp:
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
                case GiveUp():
                    return step
                case Retry(delay_s, avoid) | Resume(delay_s, _, avoid):
                    self._parts.sleep(delay_s)
                    return Retry(0.0, avoid)
                case Wait(delay_s):
                    self._parts.sleep(delay_s)
                case _:
                    return GiveUp(Verdict.UNKNOWN, "no further attempt")

    def _attempt(self, grant: Grant) -> PlainResponse | Failure:
        began_s = self._parts.clock()
        opened = self._open(grant, began_s)
        if isinstance(opened, Failure):
            self._release(grant, began_s, failure=opened)
            self._attempts.append(
                Attempt(grant.upstream, sent=opened.sent, failure=opened.kind)
            )
            self._parts.events.emit(
                453,
                request_id=self._work.request_id,
                upstream=grant.upstream,
                failure=str(opened.kind),
                tokens=0,
            )
            return opened
        if opened.whole:
            self._release(grant, began_s, opened.first_byte_s)
            body: Iterable[bytes] = [opened.head]
        else:
            body = self._rest(grant, opened, began_s)
        answer = opened.answer
        headers = answer.headers
        if opened.whole and self._call.method != "HEAD":
            headers = _with_length(headers, len(opened.head))
        return PlainResponse(self._work.request_id, answer.status, headers, body)

    def _open(self, grant: Grant, began_s: float) -> _Opened | Failure:
        url = self._parts.url_of(grant.upstream)
        if url is None or not self._may_send():
            return Failure(FailureKind.REFUSED, sent=False)
        result = self._parts.client.call(url, self._call)
        if result.is_error():
            return failure_of(result.error)
        answer = result.ok
        first_byte_s = self._parts.clock() - began_s
        failure = self._judge(answer)
        if failure is not None:
            answer.close()
            return failure
        try:
            head, whole = answer.read_up_to(BUFFERED_BODY_BYTES)
        except (urllib3.exceptions.HTTPError, OSError):
            answer.close()
            return Failure(FailureKind.BROKEN, sent=True)
        return _Opened(answer, head, whole, first_byte_s)

    def _judge(self, answer: PlainAnswer) -> Failure | None:
        """Return a failure for answers that another upstream may do better."""
        if answer.status < 500:
            return None
        if answer.proves_not_run:
            return Failure(FailureKind.REJECTED, sent=True)
        if self._call.repeatable and answer.status in (502, 503, 504):
            return Failure(FailureKind.BROKEN, sent=True)
        # Any other error is the service's own answer and passes through.
        return None

    def _rest(self, grant: Grant, opened: _Opened, began_s: float) -> Iterator[bytes]:
        failure: Failure | None = Failure(FailureKind.BROKEN, sent=True)
        try:
            yield opened.head
            yield from opened.answer.rest()
            failure = None
        finally:
            # A broken upstream raises here, which cuts the caller's answer visibly.
            opened.answer.close()
            self._release(grant, began_s, opened.first_byte_s, failure)

    def _release(
        self,
        grant: Grant,
        began_s: float,
        first_byte_s: float | None = None,
        failure: Failure | None = None,
    ) -> None:
        outcome = Outcome(
            timing=Timing(first_token_s=first_byte_s),
            total_s=None if failure else self._parts.clock() - began_s,
            failed=failure is not None,
        )
        self._parts.granting.release(grant, outcome)


def _with_length(
    headers: tuple[tuple[str, str], ...], length: int
) -> tuple[tuple[str, str], ...]:
    kept = tuple((k, v) for k, v in headers if k.lower() != "content-length")
    return (*kept, ("Content-Length", str(length)))
