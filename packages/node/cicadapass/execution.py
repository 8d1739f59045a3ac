"""Run one model request until its answer ends."""

import threading
from collections.abc import Callable
from dataclasses import replace

from cicadapass.answerarbiter import AnswerArbiter
from cicadapass.answers import Answer
from cicadapass.attempts import BROKEN, AttemptContext, Attempts
from cicadapass.commits import CommitCallbacks
from cicadapass.executiondependencies import ExecutionDependencies
from cicadapass.failures import failure_problem, refusal_problem
from cicadapass.grants import AcquireRequest, Grant
from cicadapass.problems import Problem
from cicadapass.requests import AcceptedRequest
from cicadapass.upstreamtable import Outcome
from cicadapass_decisions.admission import Refusal
from cicadapass_decisions.retry import (
    Abandon,
    Failure,
    FailureKind,
    Hedge,
    Resume,
    Retry,
    RetryRequest,
    Step,
    Wait,
    combined_verdict,
)
from cicadapass_decisions.types import Verdict
from cicadapass_decisions.work import WorkRequest

# Attempt numbers start at the epoch times this constant, so that two owners of a
# request never send an upstream the same number.
ATTEMPTS_PER_EPOCH = 1000


class Execution:
    """Run one request until its answer completes or fails, or `stop` is called.

    Retries run one after another in the same thread; a hedge runs in a second
    thread. The first of the two to receive a token writes the answer, and the other
    is cancelled.
    """

    def __init__(
        self,
        request: AcceptedRequest,
        answer: Answer,
        commits: CommitCallbacks,
        acquire_request: AcquireRequest,
        dependencies: ExecutionDependencies,
        finished: bool = False,
    ) -> None:
        # True if this node took over a copy that already has all tokens.
        self._has_complete_copy = finished
        self._request = request
        self._answer = answer
        self._commits = commits
        self._acquire_request = acquire_request
        self._dependencies = dependencies
        self._arbiter = AnswerArbiter()
        self._lock = threading.Lock()
        self._last_attempt_number = request.epoch * ATTEMPTS_PER_EPOCH + 1
        self._attempts = Attempts(
            AttemptContext(request, answer, commits, self._arbiter, dependencies),
            self._schedule_hedge,
        )
        self._pending_acquires: list[AcquireRequest] = []
        self._stopped = threading.Event()
        self._initial_token_count = answer.token_count

    @property
    def request(self) -> AcceptedRequest:
        """Return the request with the epoch under which this node runs it."""
        return self._request

    @property
    def answer(self) -> Answer:
        """Return the answer, which readers may still use after the end."""
        return self._answer

    @property
    def attempt_count(self) -> int:
        """Return the number of attempts so far, including hedges."""
        return len(self._attempts)

    def start(self, grant: Grant | None) -> None:
        """Start the request's thread; without a grant, it acquires one first."""
        thread = self._arbiter.join()
        try:
            self._spawn("request", thread, lambda: self._run(thread, grant))
        except RuntimeError:
            # The process cannot start another thread; nothing was sent.
            if grant is not None:
                self._dependencies.grant_manager.release(grant, Outcome())
            self._leave(thread)

    def stop(self) -> None:
        """Cancel all attempts but leave the answer open for the next owner."""
        self._arbiter.end()
        self._stopped.set()
        with self._lock:
            pending = tuple(self._pending_acquires)
        for request in pending:
            self._dependencies.grant_manager.cancel(request)
        self._attempts.cancel_others(None)

    def _spawn(self, kind: str, thread: int, work: Callable[[], None]) -> None:
        def run() -> None:
            try:
                work()
            except Exception as error:
                self._report_error(error)
            finally:
                self._leave(thread)

        self._dependencies.spawn(f"{kind}-{self._request.request_id[-8:]}", run)

    def _leave(self, thread: int) -> None:
        if self._arbiter.leave(thread):
            # The last thread ended through an internal error. Without this failure, the
            # caller would wait for ever.
            verdict = combined_verdict(self._attempts.all())
            self._fail(failure_problem(Abandon(verdict, "internal error of the node")))

    def _run(self, thread: int, grant: Grant | None) -> None:
        if grant is None and (self._has_complete_copy or self._has_all_tokens()):
            self._complete()
            return
        while not self._arbiter.ended:
            if grant is None:
                grant = self._acquire_or_fail(thread)
            if grant is None:
                return
            failure = self._attempts.run(thread, grant)
            grant = None
            if failure is None:
                if self._arbiter.is_active(thread):
                    self._complete()
                return
            if not self._may_try_again(thread, failure):
                return
        if grant is not None:
            self._dependencies.grant_manager.release(grant, Outcome())

    def _hedge(self, thread: int, index: int) -> None:
        grant = self._acquire_for_hedge(index)
        if grant is None:
            # If the late attempt failed meanwhile, this thread is the last active one
            # and has to retry.
            if self._arbiter.withdraw(thread):
                return
            if not self._may_try_again(thread, BROKEN):
                return
        self._run(thread, grant)

    def _acquire_for_hedge(self, index: int) -> Grant | None:
        late_failure = Failure(FailureKind.LATE, sent=True)
        if not self._attempts.all()[index].running:
            return None
        if not isinstance(self._next_step(late_failure), Hedge):
            return None
        result = self._acquire(hedge=True)
        return result if isinstance(result, Grant) else None

    def _acquire_or_fail(self, thread: int) -> Grant | None:
        result = self._acquire(hedge=False)
        if isinstance(result, Grant):
            return result
        if not self._arbiter.withdraw(thread):
            self._fail(refusal_problem(result, self._attempts.all()))
        return None

    def _acquire(self, *, hedge: bool) -> Grant | Refusal:
        with self._lock:
            self._last_attempt_number += 1
            attempt_request = replace(
                self._acquire_request,
                attempt=self._last_attempt_number,
                accepted=True,
                hedge=hedge,
                avoid=frozenset(attempt.upstream for attempt in self._attempts.all()),
            )
            self._pending_acquires.append(attempt_request)
        try:
            return self._dependencies.acquire(attempt_request)
        finally:
            with self._lock:
                self._pending_acquires.remove(attempt_request)

    def _schedule_hedge(self, index: int) -> None:
        service = self._request.qualified_service
        delay_s = self._dependencies.grant_manager.hedge_after_s(service)
        if delay_s is not None and self._answer.token_count == 0:
            start_hedge = lambda: self._start_hedge(index)  # noqa: E731
            self._dependencies.call_later(start_hedge, delay_s)

    def _start_hedge(self, index: int) -> None:
        thread = self._arbiter.join_as_hedge()
        if thread is None:
            return
        try:
            self._spawn("hedge", thread, lambda: self._hedge(thread, index))
        except RuntimeError:
            self._leave(thread)

    def _may_try_again(self, thread: int, failure: Failure) -> bool:
        """Wait for the retry delay; return whether this thread makes the attempt."""
        if self._has_all_tokens():
            self._complete()
        while not self._arbiter.withdraw(thread):
            match self._next_step(failure):
                case Retry(delay_s, _) | Resume(delay_s, _, _):
                    self._stopped.wait(delay_s)
                    return self._arbiter.is_active(thread)
                case Wait(delay_s):
                    self._stopped.wait(delay_s)
                case Abandon() as step:
                    self._fail(failure_problem(step))
        return False

    def _next_step(self, failure: Failure) -> Step:
        request = RetryRequest(
            repeatable=True,
            deadline_s=self._acquire_request.deadline_s,
            accepted=True,
            tokens=self._answer.token_count,
        )
        service = self._request.qualified_service
        attempts = self._attempts.all()
        return self._dependencies.grant_manager.next_step(
            service, attempts, failure, request
        )

    def _has_all_tokens(self) -> bool:
        return self._answer.token_count >= self._request.chat.max_tokens

    def _complete(self) -> None:
        if not self._arbiter.end():
            return
        try:
            self._answer.finish()
            self._commits.finished()
        except Exception as error:
            self._answer.fail(
                failure_problem(Abandon(Verdict.UNKNOWN, "internal error of the node"))
            )
            self._report_error(error)
        finally:
            self._on_ended()
        self._observe_answer_length()

    def _fail(self, problem: Problem) -> None:
        if self._arbiter.end():
            self._answer.fail(problem)
            self._on_ended()

    def _on_ended(self) -> None:
        delivered = self._answer.token_count - self._initial_token_count
        self._dependencies.telemetry.count("tokens.delivered", delivered)
        self._dependencies.on_ended(self)

    def _observe_answer_length(self) -> None:
        work_request = WorkRequest(
            self._acquire_request.service,
            self._acquire_request.workspace,
            self._acquire_request.prompt_tokens,
            self._request.chat.max_tokens,
        )
        self._dependencies.grant_manager.observe_answer(
            work_request, self._answer.token_count
        )

    def _report_error(self, error: Exception) -> None:
        self._dependencies.events.emit(
            454, request_id=self._request.request_id, reason=repr(error)
        )
