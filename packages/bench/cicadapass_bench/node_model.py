"""Entry nodes on a virtual clock: cicadapass's decisions and two plain ones."""

import itertools
import random
from dataclasses import dataclass, field
from functools import partial

from cicadapass.grantmanager import GrantManager
from cicadapass.grants import AcquireRequest, Grant
from cicadapass.upstreamtable import (
    AttemptMeasured,
    LoadReading,
    Outcome,
    UpstreamConfig,
)
from cicadapass.upstreamtracker import UpstreamTracker
from cicadapass_bench.engine_model import FIRST_TOKEN_S, SLOTS, Engine, Loop, Run
from cicadapass_decisions.admission import Refusal
from cicadapass_decisions.policy import Policy
from cicadapass_decisions.prefix import CacheEvent
from cicadapass_decisions.retry import (
    Attempt,
    Failure,
    FailureKind,
    Hedge,
    RetryRequest,
)
from cicadapass_decisions.slowness import Timing
from cicadapass_decisions.work import WorkRequest

SERVICE = "grabhandle/parts"
HOP_S = 0.0012
TICK_S = 0.1
REPORT_INTERVAL_S = 0.5
PROGRESS_S = 0.5
CACHE_EVENT_LAG_S = 1.0
PROMPT_BLOCKS = 16


@dataclass(slots=True, eq=False)
class Job:
    """Hold one request and what became of it."""

    name: str
    workspace: str
    tokens: int
    prompt_tokens: int
    priority: int
    arrived_s: float
    deadline_s: float
    conversation: int | None = None
    done_s: float | None = None
    refused_s: float | None = None
    attempts: int = 0
    cache_hit: bool = False
    runs: list[tuple[Run, Engine, Grant | None]] = field(default_factory=list)


class PlainNode:
    """Send each request at once, in turn or to the engine with the fewest."""

    def __init__(self, loop: Loop, engines: list[Engine], in_turn: bool) -> None:
        self._loop = loop
        self._engines = engines
        self._turn = itertools.cycle(engines) if in_turn else None
        self._own = {engine.name: 0 for engine in engines}

    def submit(self, job: Job) -> None:
        """Send the request."""
        if self._turn is not None:
            engine = next(self._turn)
        else:
            engine = min(self._engines, key=lambda e: self._own[e.name])
        self._own[engine.name] += 1
        job.attempts += 1

        def done(run: Run) -> None:
            self._own[engine.name] -= 1
            job.done_s = self._loop.now_s + HOP_S
            job.cache_hit = run.cache_hit

        run = Run(
            job.tokens, job.prompt_tokens, job.conversation, lambda run: None, done
        )
        self._loop.later(HOP_S, lambda: engine.submit(run))


class CicadapassNode:
    """Drive the decisions and the table of one node on the virtual clock."""

    def __init__(
        self,
        loop: Loop,
        engines: list[Engine],
        data_centre: str,
        policy: Policy,
        weights: dict[str, float],
        rng: random.Random,
        report_lag_s: float,
    ) -> None:
        self._loop = loop
        self._engines = {engine.name: engine for engine in engines}
        self._policy = policy
        self._lag_s = report_lag_s
        self.name = f"{data_centre}/{rng.random()}"
        self.data_centre = data_centre
        self.peers: list[CicadapassNode] = []
        self.book = UpstreamTracker(policy)
        self.granting = GrantManager(rng, lambda: loop.now_s, self._measured)
        self.granting.set_rules(policy, weights)
        self.book.configure(tuple(self._config(e) for e in engines), policy)
        self._publish()
        loop.every(TICK_S, self._tick)
        loop.every(REPORT_INTERVAL_S, self._read_reports)

    def submit(self, job: Job) -> None:
        """Acquire an engine and send the request."""
        self._acquire(job, attempt=1, hedge=False, avoid=frozenset())

    def _config(self, engine: Engine) -> UpstreamConfig:
        hop_s = 0.0 if engine.data_centre == self.data_centre else HOP_S
        return UpstreamConfig(
            engine.name, SERVICE, engine.data_centre, "", SLOTS, hop_s=hop_s
        )

    def _publish(self) -> None:
        self.book.update_health()
        self.granting.set_table(self.book.table(self._loop.now_s, flag_probes=False))

    def _tick(self) -> None:
        now_s = self._loop.now_s
        for peer in self.peers:
            peer.book.on_peer_counts(self.name, self.granting.in_flight(), now_s)
        for config in self.book.probes_due(now_s):
            engine = self._engines[config.name]
            timing = Timing(FIRST_TOKEN_S * engine.slow, engine.inter_token_s())
            probed_s = 2 * timing.first_token_s if timing.first_token_s else 0.0
            self._loop.later(probed_s, partial(self._on_probe, config.name, timing))
        self._publish()
        self.granting.expire()

    def _on_probe(self, name: str, timing: Timing) -> None:
        self.book.on_probe(name, timing, self._loop.now_s)

    def _read_reports(self) -> None:
        now_s = self._loop.now_s
        for engine in self._engines.values():
            seen = [item for item in engine.history if item[0] <= now_s - self._lag_s]
            if seen:
                at_s, running, waiting = seen[-1]
                reading = LoadReading(running, waiting, SLOTS, lag_s=now_s - at_s)
                self.book.on_report(engine.name, reading, now_s)
            self._read_cache_events(engine)

    def _read_cache_events(self, engine: Engine) -> None:
        known = self.book.cache_sequence(engine.name) or 0
        events = []
        for index, (at_s, stored, name) in enumerate(engine.cache_events[known:]):
            if at_s > self._loop.now_s - CACHE_EVENT_LAG_S:
                break
            blocks = _blocks(name)
            number = known + index + 1
            event = (
                CacheEvent(number, blocks) if stored else CacheEvent(number, (), blocks)
            )
            events.append(event)
        if events:
            self.book.on_cache_events(engine.name, tuple(events))

    def _measured(self, message: AttemptMeasured) -> None:
        self.book.on_outcome(message.upstream, message.outcome, self._loop.now_s)

    def _acquire(
        self,
        job: Job,
        attempt: int,
        hedge: bool,
        avoid: frozenset[str],
        from_token: int = 0,
    ) -> None:
        asked = WorkRequest(SERVICE, job.workspace, job.prompt_tokens, job.tokens)
        request = AcquireRequest(
            job.name,
            SERVICE,
            job.workspace,
            self.granting.predict(asked),
            job.deadline_s,
            job.priority,
            attempt,
            job.prompt_tokens,
            hedge=hedge,
            avoid=avoid,
            blocks=() if job.conversation is None else _blocks(job.conversation),
        )
        result = self.granting.submit(
            request, lambda r: self._settle(job, r, from_token)
        )
        if result is not None:
            self._settle(job, result, from_token)

    def _settle(self, job: Job, result: Grant | Refusal, from_token: int) -> None:
        if isinstance(result, Refusal):
            if not job.runs:
                job.refused_s = self._loop.now_s
            return
        if job.done_s is not None:
            self.granting.release(result, Outcome())
            return
        engine = self._engines[result.upstream]
        job.attempts += 1
        run = Run(
            job.tokens - from_token,
            job.prompt_tokens + from_token,
            job.conversation,
            lambda run: self._on_first(job, run),
            lambda run: self._on_done(job, run),
            sent_s=self._loop.now_s,
        )
        job.runs.append((run, engine, result))
        self._loop.later(HOP_S, lambda: engine.submit(run))
        self._loop.later(PROGRESS_S, lambda: self._progress(job, run, result))
        self._watch(job, run)

    def _watch(self, job: Job, run: Run) -> None:
        """Report the attempt as late if no token comes in time."""
        before = run.generated
        if before:
            wait_s = self.granting.stalled_after_s(SERVICE)
        else:
            wait_s = self.granting.hedge_after_s(SERVICE)
        if wait_s is None:
            self._loop.later(PROGRESS_S, lambda: self._check(job, run, run.generated))
        else:
            self._loop.later(wait_s, lambda: self._check(job, run, before))

    def _check(self, job: Job, run: Run, before: int) -> None:
        if run.cancelled or job.done_s is not None:
            return
        if run.generated == before and len(job.runs) == 1:
            self._late(job, run)
        self._watch(job, run)

    def _late(self, job: Job, run: Run) -> None:
        attempts = [
            Attempt(e.name, True, FailureKind.LATE, not r.cancelled)
            for r, e, _ in job.runs
        ]
        step = self.granting.next_step(
            SERVICE,
            attempts,
            Failure(FailureKind.LATE, True),
            RetryRequest(
                True,
                job.deadline_s,
                tokens=run.generated,
                expected_remaining_tokens=run.tokens - run.generated,
            ),
        )
        if isinstance(step, Hedge):
            self._acquire(job, len(attempts) + 1, True, step.avoid, step.from_token)

    def _on_first(self, job: Job, run: Run) -> None:
        for other, engine, grant in job.runs:
            if other is not run and not other.cancelled:
                engine.cancel(other)
                waited_s = self._loop.now_s - other.sent_s
                bound = Timing(waited_s, None, first_token_is_bound=True)
                self._release(grant, Outcome(bound, finished=False))

    def _on_done(self, job: Job, run: Run) -> None:
        job.done_s = self._loop.now_s + HOP_S
        job.cache_hit = run.cache_hit
        grant = next(g for r, _, g in job.runs if r is run)
        self._release(grant, Outcome(_timing(run, self._loop.now_s)))

    def _release(self, grant: Grant | None, outcome: Outcome) -> None:
        if grant is not None:
            self.granting.release(grant, outcome)

    def _progress(self, job: Job, run: Run, grant: Grant) -> None:
        if run.cancelled or job.done_s is not None:
            return
        timing = _timing(run, self._loop.now_s)
        self.granting.record_progress(grant, Outcome(timing, tokens=run.generated))
        self._loop.later(PROGRESS_S, lambda: self._progress(job, run, grant))


def _blocks(conversation: int) -> tuple[str, ...]:
    return tuple(f"{conversation}/{i}" for i in range(PROMPT_BLOCKS))


def _timing(run: Run, now_s: float) -> Timing:
    if run.first_s is None:
        return Timing(now_s - run.sent_s, None, first_token_is_bound=True)
    inter_s = None
    if run.generated > 1:
        inter_s = (now_s - run.first_s) / (run.generated - 1)
    return Timing(run.first_s - run.sent_s, inter_s)
