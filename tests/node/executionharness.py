"""Harness for executions: scripted attempts and faults at chosen calls."""

import logging
import random
import threading

from expression import Error, Ok

from cicadapass.answers import Answer
from cicadapass.commits import CommitCallbacks
from cicadapass.execution import Execution
from cicadapass.executiondependencies import ExecutionDependencies
from cicadapass.grants import AcquireRequest, Grant
from cicadapass.render import AnswerFormat
from cicadapass.requests import AcceptedRequest, ChatRequest
from cicadapass.tokenlines import TokenBatch
from cicadapass.upstreamhttp import CallFailure
from cicadapass_common.copymessages import Binding
from cicadapass_common.events import LOGGER_NAME, EventLog
from cicadapass_decisions.policy import RetryRules
from cicadapass_decisions.retry import RetryBudget, next_step
from cicadapass_decisions.work import WorkClass, WorkKind

WAIT_S = 20.0
SERVICE = "f/parts"
WORK = WorkClass(WorkKind.SHORT, 20, 20.0)
BROKEN = CallFailure("broken", sent=True)
UNSENT = CallFailure("no connection", sent=False)
# Thousands of runs would fill the test output with events.
logging.getLogger(LOGGER_NAME).addHandler(logging.NullHandler())
RULES = RetryRules(backoff_s=0.0, budget_burst=100.0)


class InjectedFault(RuntimeError):
    """Raised by a fake collaborator at the call that a test chose."""


def token(index):
    """Return the text of the correct answer's token at the index."""
    return f" t{index}"


def chat_request(max_tokens=4):
    """Return an accepted request for `max_tokens` tokens."""
    chat = ChatRequest("parts", "user: hi", max_tokens, 0, AnswerFormat.EVENT_STREAM)
    binding = Binding("f", "w", "0" * 64)
    return AcceptedRequest("r", 1, binding, "parts", "m", 0, 1, 1e9, chat)


class Script:
    """Script one attempt: its tokens, then how it ends.

    `unblock` delays the first token, which makes the attempt late, until it is set or
    the attempt is cancelled.
    """

    def __init__(
        self, tokens=4, end="done", first_index=None, open_failure=None, unblock=None
    ):
        self.tokens = tokens
        self.end = end
        self.first_index = first_index
        self.open_failure = open_failure
        self.unblock = unblock
        self.closed = threading.Event()
        self.on_blocked = lambda: None

    def stream(self, call):
        """Yield the batches of the attempt."""
        if self.unblock is not None:
            self.on_blocked()
            self.unblock.wait(WAIT_S)
        start = call.resume_from if self.first_index is None else self.first_index
        for index in range(start, start + self.tokens):
            if index < call.max_tokens:
                yield Ok(TokenBatch(index, (token(index),), False))
        total = min(start + self.tokens, call.max_tokens)
        match self.end:
            case "done":
                yield Ok(TokenBatch(0, (), True, total))
            case "short":
                yield Ok(TokenBatch(0, (), True, total + 1))
            case "broken":
                yield Error(BROKEN)
            case "gap":
                yield Ok(TokenBatch(total + 1, (token(total + 1),), False))
            case "raise":
                raise InjectedFault("stream")


class _Stream:
    def __init__(self, script, call):
        self._script = script
        self._call = call

    def run(self, on_batch, read_timeout_s):
        for result in self._script.stream(self._call):
            if result.is_error():
                return result.error
            if not on_batch(result.ok) or result.ok.done:
                return None
        return BROKEN

    def close(self):
        self._script.closed.set()


class ExecutionHarness:
    """Run one execution with scripted attempts."""

    def __init__(self, scripts, max_tokens=4, retry_rules=RULES, fault_at=None):
        self.scripts = list(scripts)
        self.fault_at = fault_at
        self.calls = 0
        self.granted = []
        self.released = []
        self.refusals = {}
        self.opened = []
        self.cancelled = []
        self.ended = []
        self.threads = []
        self.hedge_checks = []
        self.hedge_after_s = None
        self._by_attempt = {}
        self._retry_rules = retry_rules
        self._lock = threading.Lock()
        self.request = chat_request(max_tokens)
        self.answer = Answer(self.request.head)
        self.acquire_request = AcquireRequest("r", SERVICE, "f/w", WORK, 1e9)
        self.execution = Execution(
            self.request,
            self.answer,
            self._commits(),
            self.acquire_request,
            self.dependencies(),
        )

    def run(self, with_grant=True):
        """Start the execution and return once its threads have ended."""
        grant = self.acquire(self.acquire_request) if with_grant else None
        self.execution.start(grant)
        self.join()
        return self.answer

    def join(self):
        """Wait until all threads have ended."""
        for thread in self.threads:
            thread.join(WAIT_S)
            if thread.is_alive():
                raise AssertionError(f"{thread.name} has not ended")

    def run_hedge_checks(self):
        """Run the scheduled checks, as if the hedge delay had passed."""
        hedge_checks, self.hedge_checks = self.hedge_checks, []
        for check in hedge_checks:
            check()

    def count_call(self, kind):
        """Count a call to a collaborator; raise at the chosen one."""
        with self._lock:
            self.calls += 1
            if self.calls == self.fault_at:
                raise InjectedFault(kind)

    # Collaborators of the execution.

    def acquire(self, acquire_request):
        self.count_call("acquire")
        if acquire_request.attempt in self.refusals:
            return self.refusals[acquire_request.attempt]
        with self._lock:
            number = len(self.granted) + 1
            grant = Grant(
                number, acquire_request, f"f/u{number}", WORK, 0.0, 0.0, False, ()
            )
            self.granted.append(grant)
        return grant

    def release(self, grant, outcome):
        self.released.append((grant.number, outcome))
        self.count_call("release")

    def cancel(self, acquire_request):
        self.count_call("cancel waiting")

    def record_progress(self, grant, outcome):
        self.count_call("progress")

    def observe_answer(self, work, tokens):
        self.count_call("observe")

    def next_step(self, service, attempts, failure, request):
        self.count_call("next step")
        budget = RetryBudget(100.0)
        rng = random.Random(1)
        return next_step(
            attempts, failure, request, budget, 0.0, rng, self._retry_rules
        ).step

    def generate(self, url, call):
        self.count_call("generate")
        with self._lock:
            script = self.scripts.pop(0) if self.scripts else Script()
            self.opened.append((url, call))
            script.on_blocked = self.run_hedge_checks
            self._by_attempt[call.attempt] = script
        if script.open_failure is not None:
            return Error(script.open_failure)
        return Ok(_Stream(script, call))

    def cancel_attempt(self, url, request_id, attempt):
        self.cancelled.append(attempt)
        script = self._by_attempt.get(attempt)
        if script is not None and script.unblock is not None:
            script.unblock.set()

    def _commits(self):
        def tokens_added(first_index, texts):
            self.count_call("commit")
            self.answer.commit(first_index + len(texts))

        def finished():
            self.count_call("finished")
            self.answer.end()

        return CommitCallbacks(tokens_added, finished)

    def dependencies(self):
        grant_manager = _Stub(
            release=self.release,
            cancel=self.cancel,
            record_progress=self.record_progress,
            observe_answer=self.observe_answer,
            next_step=self.next_step,
            hedge_after_s=lambda service: self.hedge_after_s,
        )
        engines = _Stub(
            generate=self.generate, cancel=self.cancel_attempt, read_timeout_s=WAIT_S
        )
        return ExecutionDependencies(
            acquire=self.acquire,
            grant_manager=grant_manager,
            engines=engines,
            url_of=lambda upstream: f"http://{upstream}",
            call_later=self._call_later,
            events=EventLog("n", lambda: (0, 0)),
            on_ended=self._on_ended,
            clock=self._clock,
            spawn=self.spawn,
        )

    def _call_later(self, check, delay_s):
        self.hedge_checks.append(check)
        if delay_s == 0.0:
            check()

    def _clock(self):
        return 0.0

    def _on_ended(self, execution):
        self.ended.append(execution)
        self.count_call("on ended")

    def spawn(self, name, work):
        self.count_call("spawn")
        thread = threading.Thread(target=work, name=name, daemon=True)
        self.threads.append(thread)
        thread.start()


class _Stub:
    def __init__(self, **functions):
        self.__dict__.update(functions)
