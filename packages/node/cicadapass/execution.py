"""Run the attempts of one model request and write its answer."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from cicadapass.answers import Answer
from cicadapass.commits import Commits
from cicadapass.engines import EngineClient, GenerateCall, TokenBatch, TokenStream
from cicadapass.failures import failure_of, gave_up, refused
from cicadapass.granting import Granting
from cicadapass.grants import AcquireRequest, Grant
from cicadapass.requests import AcceptedRequest
from cicadapass.upstreamhttp import CallFailure
from cicadapass.upstreamtable import Outcome
from cicadapass_common.events import EventLog
from cicadapass_decisions.admission import Refusal
from cicadapass_decisions.retry import (
    Attempt,
    Failure,
    FailureKind,
    GiveUp,
    Hedge,
    Resume,
    Retry,
    RetryRequest,
    Wait,
)
from cicadapass_decisions.slowness import Timing
from cicadapass_decisions.types import Verdict
from cicadapass_decisions.work import WorkRequest

# Measurements of a running attempt are reported this often.
MEASURE_INTERVAL_S = 0.5
# Attempts of one epoch are numbered from the epoch times this number, so that an
# upstream never sees the same number from two owners.
ATTEMPTS_PER_EPOCH = 1000


@dataclass(frozen=True, slots=True)
class ExecutionParts:
    """Hold what executions share."""

    acquire: Callable[[AcquireRequest], Grant | Refusal]
    granting: Granting
    engines: EngineClient
    url_of: Callable[[str], str | None]
    call_later: Callable[[Callable[[], object], float], object]
    events: EventLog
    on_ended: Callable[["Execution"], None]
    clock: Callable[[], float] = time.monotonic


class Execution:
    """Run one request until its answer ends, is failed or is stopped.

    Each attempt has a thread of its own; of two attempts of a hedge, the first
    with a token writes the answer and the other is cancelled.
    """

    def __init__(
        self,
        request: AcceptedRequest,
        answer: Answer,
        commits: Commits,
        work: AcquireRequest,
        parts: ExecutionParts,
    ) -> None:
        self._request = request
        self._answer = answer
        self._commits = commits
        self._work = work
        self._parts = parts
        self._lock = threading.Lock()
        self._attempts: list[Attempt] = []
        self._streams: dict[int, tuple[Grant, TokenStream]] = {}
        self._writer: int | None = None
        self._stopped = threading.Event()

    @property
    def request(self) -> AcceptedRequest:
        """Return the request that is run."""
        return self._request

    @property
    def answer(self) -> Answer:
        """Return the answer that is written."""
        return self._answer

    @property
    def attempt_count(self) -> int:
        """Return the number of attempts so far."""
        return len(self._attempts)

    @property
    def stopped(self) -> bool:
        """Return whether another node continues the answer."""
        return self._stopped.is_set()

    def start(self, grant: Grant | None) -> None:
        """Run in a thread of its own; without a grant, wait for one."""
        name = f"request-{self._request.request_id[-8:]}"
        target = lambda: self._run(grant)  # noqa: E731
        threading.Thread(target=target, name=name, daemon=True).start()

    def stop(self) -> None:
        """End all attempts without ending the answer, which another node continues."""
        self._stopped.set()
        self._cancel_streams(except_number=None)

    def _run(self, grant: Grant | None) -> None:
        try:
            self._attempt_until_ended(grant)
        except Exception as error:
            # A fault of the node must not leave the caller waiting.
            self._parts.events.emit(
                454, request_id=self._request.request_id, reason=repr(error)
            )
            self._fail(GiveUp(Verdict.UNKNOWN, "fault of the node"))

    def _attempt_until_ended(self, grant: Grant | None) -> None:
        while not self._stopped.is_set():
            if self._answer.token_count >= self._request.chat.max_tokens:
                self.complete()
                return
            if grant is None:
                grant = self._acquire(hedge=False)
            if grant is None:
                return
            failure = self._attempt(grant)
            grant = None
            if failure is None or not self._goes_on(failure):
                return

    def _acquire(self, *, hedge: bool) -> Grant | None:
        """Return a grant; a refusal of anything but a hedge fails the answer."""
        number = self._next_number()
        avoid = frozenset(attempt.upstream for attempt in self._attempts)
        asked = replace(
            self._work, attempt=number, accepted=True, hedge=hedge, avoid=avoid
        )
        result = self._parts.acquire(asked)
        if isinstance(result, Grant):
            return result
        if not hedge and not self._stopped.is_set():
            self._answer.fail(refused(result, self._attempts))
            self._ended()
        return None

    def _next_number(self) -> int:
        base = self._request.epoch * ATTEMPTS_PER_EPOCH
        return base + len(self._attempts) + 1

    def _attempt(self, grant: Grant) -> Failure | None:
        """Run one attempt; return its failure, or None if nothing is left to do."""
        index = self._begin(grant)
        opened = self._open(grant)
        if isinstance(opened, CallFailure):
            self._parts.granting.release(grant, Outcome(failed=True))
            return self._end(index, failure_of(opened))
        self._streams[index] = (grant, opened)
        self._watch_first_token(index)
        meter = Meter(self._parts.clock())
        failure = self._copy_tokens(index, grant, opened, meter)
        self._streams.pop(index, None)
        if failure is not None or self._lost(index):
            self._parts.engines.cancel(
                self._parts.url_of(grant.upstream) or "",
                self._request.request_id,
                self._number(grant),
            )
            opened.close()
        outcome = meter.outcome(failed=failure is not None, finished=True)
        self._parts.granting.release(grant, outcome)
        if failure is not None:
            return self._end(index, failure)
        if not self._lost(index):
            self.complete()
        return None

    def _begin(self, grant: Grant) -> int:
        with self._lock:
            self._attempts.append(Attempt(grant.upstream, sent=True, running=True))
            return len(self._attempts) - 1

    def _end(self, index: int, failure: Failure) -> Failure:
        with self._lock:
            self._attempts[index] = replace(
                self._attempts[index],
                sent=failure.sent,
                failure=failure.kind,
                running=False,
            )
            if self._writer == index:
                self._writer = None
        self._parts.events.emit(
            453,
            request_id=self._request.request_id,
            upstream=self._attempts[index].upstream,
            failure=str(failure.kind),
            tokens=self._answer.token_count,
        )
        return failure

    def _open(self, grant: Grant) -> TokenStream | CallFailure:
        url = self._parts.url_of(grant.upstream)
        if url is None:
            return CallFailure("the upstream left the inventory", sent=False)
        request = self._request
        texts = self._answer.texts
        call = GenerateCall(
            request_id=request.request_id,
            attempt=self._number(grant),
            model=request.engine_model,
            prompt=request.chat.prompt,
            max_tokens=request.chat.max_tokens,
            seed=request.chat.seed,
            priority=request.priority,
            resume_from=len(texts),
            prefix_tokens=texts,
        )
        result = self._parts.engines.generate(url, call)
        return result.ok if result.is_ok() else result.error

    def _copy_tokens(
        self, index: int, grant: Grant, stream: TokenStream, meter: "Meter"
    ) -> Failure | None:
        def take(batch: TokenBatch) -> bool:
            if self._stopped.is_set():
                return False
            if batch.texts and not self._may_write(index):
                return False
            self._write(batch)
            if meter.count(len(batch.texts), self._parts.clock()):
                self._parts.granting.progress(grant, meter.outcome())
            return True

        failure = stream.run(take, self._parts.engines.silence_s)
        if self._stopped.is_set():
            return Failure(FailureKind.BROKEN, sent=True)
        return None if failure is None else failure_of(failure)

    def _write(self, batch: TokenBatch) -> None:
        if not batch.texts:
            return
        if self._answer.add_tokens(batch.first_index, batch.texts):
            self._commits.tokens_added(batch.first_index, batch.texts)

    def _may_write(self, index: int) -> bool:
        """Make the first attempt with a token the only writer."""
        if self._writer == index:
            return True
        with self._lock:
            if self._writer is None:
                self._writer = index
        if self._writer != index:
            return False
        if len(self._streams) > 1:
            # Tokens arrive in the stream loop, which must not wait for engines.
            cancel = lambda: self._cancel_streams(except_number=index)  # noqa: E731
            threading.Thread(target=cancel, name="cancel", daemon=True).start()
        return True

    def _lost(self, index: int) -> bool:
        return self._stopped.is_set() or self._writer not in (None, index)

    def _cancel_streams(self, except_number: int | None) -> None:
        for index, (grant, _) in list(self._streams.items()):
            if index == except_number:
                continue
            url = self._parts.url_of(grant.upstream)
            if url is not None:
                number = self._number(grant)
                self._parts.engines.cancel(url, self._request.request_id, number)

    def _number(self, grant: Grant) -> int:
        return grant.attempt

    def _watch_first_token(self, index: int) -> None:
        service = self._request.qualified_service
        after_s = self._parts.granting.hedge_after_s(service)
        if after_s is not None and self._answer.token_count == 0:
            check = lambda: self._start_hedge_thread(index)  # noqa: E731
            self._parts.call_later(check, after_s)

    def _start_hedge_thread(self, index: int) -> None:
        if self._writer is None and not self._stopped.is_set():
            name = f"hedge-{self._request.request_id[-8:]}"
            target = lambda: self._hedge(index)  # noqa: E731
            threading.Thread(target=target, name=name, daemon=True).start()

    def _hedge(self, index: int) -> None:
        late = Failure(FailureKind.LATE, sent=True)
        if self._writer is not None or not self._attempts[index].running:
            return
        if not isinstance(self._next_step(late), Hedge):
            return
        grant = self._acquire(hedge=True)
        if grant is not None:
            failure = self._attempt(grant)
            if failure is not None and self._goes_on(failure):
                self._attempt_until_ended(None)

    def _goes_on(self, failure: Failure) -> bool:
        """Return whether this thread makes the next attempt, after its pause."""
        while not self._stopped.is_set():
            step = self._next_step(failure)
            match step:
                case Retry(delay_s, _) | Resume(delay_s, _, _):
                    return not self._stopped.wait(delay_s)
                case Wait(delay_s):
                    if any(attempt.running for attempt in self._attempts):
                        return False
                    self._stopped.wait(delay_s)
                case GiveUp():
                    self._fail(step)
                    return False
        return False

    def _next_step(self, failure: Failure) -> object:
        request = RetryRequest(
            repeatable=True,
            deadline_s=self._work.deadline_s,
            accepted=True,
            tokens=self._answer.token_count,
        )
        with self._lock:
            attempts = tuple(self._attempts)
        service = self._request.qualified_service
        return self._parts.granting.next_step(service, attempts, failure, request)

    def complete(self) -> None:
        """End the answer, whose tokens are all there."""
        self._answer.finish()
        self._commits.finished()
        chat = self._request.chat
        observed = WorkRequest(
            self._work.service,
            self._work.workspace,
            self._work.prompt_tokens,
            chat.max_tokens,
        )
        self._parts.granting.observe_answer(observed, self._answer.token_count)
        self._ended()

    def _fail(self, step: GiveUp) -> None:
        if self._stopped.is_set():
            return
        self._answer.fail(gave_up(step))
        self._ended()

    def _ended(self) -> None:
        self._parts.on_ended(self)


class Meter:
    """Measure one attempt: its first token and the time between tokens."""

    def __init__(self, now_s: float) -> None:
        self._began_s = now_s
        self._first_s: float | None = None
        self._last_s = now_s
        self._reported_s = now_s
        self._reported_tokens = 0
        self._tokens = 0

    def count(self, tokens: int, now_s: float) -> bool:
        """Count tokens and return whether it is time to report."""
        if tokens and self._first_s is None:
            self._first_s = now_s
        self._tokens += tokens
        self._last_s = now_s
        return now_s - self._reported_s >= MEASURE_INTERVAL_S

    def outcome(self, *, failed: bool = False, finished: bool = False) -> Outcome:
        """Return what was measured since the last call."""
        outcome = Outcome(
            timing=Timing(self._first_token_s(), self._inter_token_s()),
            total_s=self._last_s - self._began_s if finished and not failed else None,
            tokens=self._tokens,
            failed=failed,
            finished=finished,
        )
        self._reported_s = self._last_s
        self._reported_tokens = self._tokens
        return outcome

    def _first_token_s(self) -> float | None:
        # The first token is reported once, with the first outcome that knows it.
        if self._first_s is None or self._reported_tokens:
            return None
        return self._first_s - self._began_s

    def _inter_token_s(self) -> float | None:
        since_s = self._reported_s if self._reported_tokens else self._first_s
        count = self._tokens - max(self._reported_tokens, 1)
        if since_s is None or count < 1:
            return None
        return (self._last_s - since_s) / count
