"""Attempts of one model request: run them and write their tokens to the answer."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

from cicadapass.answerarbiter import AnswerArbiter
from cicadapass.answers import Answer
from cicadapass.commits import CommitCallbacks
from cicadapass.engines import GenerateCall, TokenStream
from cicadapass.executiondependencies import ExecutionDependencies
from cicadapass.failures import to_retry_failure
from cicadapass.grants import Grant
from cicadapass.meter import AttemptMeter
from cicadapass.requests import AcceptedRequest
from cicadapass.tokenlines import TokenBatch
from cicadapass.upstreamhttp import CallFailure
from cicadapass_decisions.retry import Attempt, Failure, FailureKind

BROKEN = Failure(FailureKind.BROKEN, sent=True)


class _TokenGap(Exception):
    """Raised when a stream skips a token or ends with a wrong token count."""


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """Bundle the state that all attempts of one request share."""

    request: AcceptedRequest
    answer: Answer
    commits: CommitCallbacks
    arbiter: AnswerArbiter
    dependencies: ExecutionDependencies


class Attempts:
    """Run and record the attempts of one request.

    `on_sending` is called with the index of an attempt before it is sent.
    """

    def __init__(
        self, context: AttemptContext, on_sending: Callable[[int], None]
    ) -> None:
        self._request = context.request
        self._answer = context.answer
        self._commits = context.commits
        self._arbiter = context.arbiter
        self._dependencies = context.dependencies
        self._on_sending = on_sending
        self._lock = threading.Lock()
        self._attempts: list[Attempt] = []
        self._streams: dict[int, Grant] = {}
        self._started_s = context.dependencies.clock()

    def __len__(self) -> int:
        return len(self._attempts)

    def all(self) -> tuple[Attempt, ...]:
        """Return a snapshot of the attempts, in the order of their start."""
        with self._lock:
            return tuple(self._attempts)

    def run(self, thread: int, grant: Grant) -> Failure | None:
        """Run one attempt, release its grant and return its failure.

        Return None if the answer is complete or another thread has taken over.
        """
        meter = AttemptMeter(self._dependencies.clock())
        failure: Failure | None = BROKEN
        index: int | None = None
        try:
            index = self._begin(grant)
            failure = self._open_and_copy(thread, index, grant, meter)
        finally:
            superseded = not self._arbiter.is_active(thread)
            if index is not None:
                self._end(index, failure)
            self._release(grant, meter, failure, superseded)
        if failure is None or superseded:
            return None
        self._report(grant, failure)
        return failure

    def cancel_others(self, index: int | None) -> None:
        """Cancel all running attempts but the one at `index`; do not wait."""
        for other, grant in list(self._streams.items()):
            if other != index:
                self._cancel(grant)

    def _begin(self, grant: Grant) -> int:
        self._dependencies.telemetry.count("attempts")
        with self._lock:
            self._attempts.append(Attempt(grant.upstream, sent=True, running=True))
            return len(self._attempts) - 1

    def _end(self, index: int, failure: Failure | None) -> None:
        with self._lock:
            attempt = replace(self._attempts[index], running=False)
            if failure is not None:
                attempt = replace(attempt, sent=failure.sent, failure=failure.kind)
            self._attempts[index] = attempt

    def _release(
        self,
        grant: Grant,
        meter: AttemptMeter,
        failure: Failure | None,
        superseded: bool,
    ) -> None:
        # The failure of a cancelled attempt does not count against its upstream, and
        # its duration is not that of a complete answer.
        failed = failure is not None and not superseded
        outcome = meter.outcome(failed=failed, finished=True)
        if superseded:
            outcome = replace(outcome, total_s=None)
        self._dependencies.grant_manager.release(grant, outcome)

    def _report(self, grant: Grant, failure: Failure) -> None:
        self._dependencies.events.emit(
            453,
            request_id=self._request.request_id,
            upstream=grant.upstream,
            failure=str(failure.kind),
            tokens=self._answer.token_count,
        )

    def _open_and_copy(
        self, thread: int, index: int, grant: Grant, meter: AttemptMeter
    ) -> Failure | None:
        if not self._arbiter.is_active(thread):
            return Failure(FailureKind.REFUSED, sent=False)
        self._on_sending(index)
        opened = self._open(grant)
        if isinstance(opened, CallFailure):
            if opened.timed_out:
                self._cancel(grant)
            return to_retry_failure(opened)
        self._streams[index] = grant
        complete = False
        try:
            failure = self._copy_tokens(thread, grant, opened, meter)
            complete = failure is None and self._arbiter.is_active(thread)
            return failure
        except _TokenGap:
            return BROKEN
        finally:
            self._streams.pop(index, None)
            if not complete:
                opened.close()
                self._cancel(grant)

    def _open(self, grant: Grant) -> TokenStream | CallFailure:
        url = self._dependencies.url_of(grant.upstream)
        if url is None:
            return CallFailure("the upstream is not in the inventory", sent=False)
        request = self._request
        texts = self._answer.texts
        call = GenerateCall(
            request_id=request.request_id,
            attempt=grant.attempt,
            model=request.engine_model,
            prompt=request.chat.prompt,
            max_tokens=request.chat.max_tokens,
            seed=request.chat.seed,
            priority=request.priority,
            resume_from=len(texts),
            prefix_tokens=texts,
        )
        result = self._dependencies.engines.generate(url, call)
        return result.ok if result.is_ok() else result.error

    def _copy_tokens(
        self, thread: int, grant: Grant, stream: TokenStream, meter: AttemptMeter
    ) -> Failure | None:
        def on_batch(batch: TokenBatch) -> bool:
            return self._on_batch(thread, grant, batch, meter)

        failure = stream.run(on_batch, self._dependencies.engines.read_timeout_s)
        return None if failure is None else to_retry_failure(failure)

    def _on_batch(
        self, thread: int, grant: Grant, batch: TokenBatch, meter: AttemptMeter
    ) -> bool:
        """Write the tokens of a batch; return whether the attempt continues."""
        if batch.texts and not self._become_writer(thread, grant):
            return False
        self._write(batch)
        if meter.count(len(batch.texts), self._dependencies.clock()):
            self._dependencies.grant_manager.record_progress(grant, meter.outcome())
        if batch.total not in (None, self._answer.token_count):
            raise _TokenGap
        return self._arbiter.is_active(thread)

    def _write(self, batch: TokenBatch) -> None:
        if not batch.texts:
            return
        before = self._answer.token_count
        if batch.first_index > before:
            raise _TokenGap
        new_count = self._answer.add_tokens(batch.first_index, batch.texts)
        if new_count:
            self._commits.tokens_added(batch.first_index, batch.texts)
        self._count_tokens(before, new_count, len(batch.texts) - new_count)

    def _count_tokens(self, before: int, new_count: int, repeated_count: int) -> None:
        telemetry = self._dependencies.telemetry
        if repeated_count:
            telemetry.count("tokens.recomputed", repeated_count)
        if new_count and not before:
            first_token_s = self._dependencies.clock() - self._started_s
            telemetry.time_ms("requests.first_token", first_token_s * 1000)

    def _become_writer(self, thread: int, grant: Grant) -> bool:
        if not self._arbiter.acquire_writer(thread):
            return False
        if len(self._streams) > 1:
            index = next((i for i, g in self._streams.items() if g is grant), None)
            self.cancel_others(index)
        return True

    def _cancel(self, grant: Grant) -> None:
        url = self._dependencies.url_of(grant.upstream)
        if url is None:
            return
        request_id = self._request.request_id
        cancel = lambda: self._dependencies.engines.cancel(  # noqa: E731
            url, request_id, grant.attempt
        )
        try:
            # The upstream may be slow or unreachable, and no result depends on this.
            self._dependencies.spawn("cancel", cancel)
        except RuntimeError:
            # Without a thread the engine is not cancelled and finishes the attempt.
            return
