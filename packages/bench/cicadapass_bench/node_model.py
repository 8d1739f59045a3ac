"""Nodes on a virtual clock: the real decisions, and two baselines to compare with."""

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
from cicadapass_bench.engine_model import FIRST_TOKEN_S, SLOTS, Engine, EventLoop, Run
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
TICK_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.5
PROGRESS_INTERVAL_S = 0.5
CACHE_EVENT_LAG_S = 1.0
PROMPT_BLOCKS = 16


@dataclass(slots=True, eq=False)
class Request:
    """Represent one request with its attempts and its result."""

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


class BaselineNode:
    """Send each request at once, round robin or to the engine with the fewest.

    It counts only the running requests of this node.
    """

    def __init__(
        self, loop: EventLoop, engines: list[Engine], round_robin: bool
    ) -> None:
        self._loop = loop
        self._engines = engines
        self._cycle = itertools.cycle(engines) if round_robin else None
        self._in_flight = {engine.name: 0 for engine in engines}

    def submit(self, request: Request) -> None:
        """Send the request; it is never refused and has one attempt."""
        if self._cycle is not None:
            engine = next(self._cycle)
        else:
            engine = min(
                self._engines, key=lambda candidate: self._in_flight[candidate.name]
            )
        self._in_flight[engine.name] += 1
        request.attempts += 1

        def on_done(run: Run) -> None:
            self._in_flight[engine.name] -= 1
            request.done_s = self._loop.now_s + HOP_S
            request.cache_hit = run.cache_hit

        run = Run(
            request.tokens,
            request.prompt_tokens,
            request.conversation,
            lambda run: None,
            on_done,
        )
        self._loop.call_later(HOP_S, lambda: engine.submit(run))


class CicadapassNode:
    """Run the grant manager and the upstream tracker of one node.

    Its peers receive its in-flight counts at every tick, without network delay.
    """

    def __init__(
        self,
        loop: EventLoop,
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
        self._report_lag_s = report_lag_s
        self.name = f"{data_centre}/{rng.random()}"
        self.data_centre = data_centre
        self.peers: list[CicadapassNode] = []
        self.tracker = UpstreamTracker(policy)
        self.grant_manager = GrantManager(rng, lambda: loop.now_s, self._on_outcome)
        self.grant_manager.set_rules(policy, weights)
        self.tracker.configure(tuple(self._upstream_config(e) for e in engines), policy)
        self._update_table()
        loop.call_every(TICK_INTERVAL_S, self._tick)
        loop.call_every(REPORT_INTERVAL_S, self._read_reports)

    def submit(self, request: Request) -> None:
        """Send the request when an engine is granted; it may wait or be refused."""
        self._acquire(request, attempt=1, hedge=False, avoid=frozenset())

    def _upstream_config(self, engine: Engine) -> UpstreamConfig:
        hop_s = 0.0 if engine.data_centre == self.data_centre else HOP_S
        return UpstreamConfig(
            engine.name, SERVICE, engine.data_centre, "", SLOTS, hop_s=hop_s
        )

    def _update_table(self) -> None:
        self.tracker.update_health()
        self.grant_manager.set_table(
            self.tracker.table(self._loop.now_s, flag_probes=False)
        )

    def _tick(self) -> None:
        now_s = self._loop.now_s
        for peer in self.peers:
            peer.tracker.on_peer_counts(
                self.name, self.grant_manager.in_flight(), now_s
            )
        for config in self.tracker.probes_due(now_s):
            engine = self._engines[config.name]
            timing = Timing(FIRST_TOKEN_S * engine.slowdown, engine.inter_token_s())
            probe_s = 2 * timing.first_token_s if timing.first_token_s else 0.0
            self._loop.call_later(probe_s, partial(self._on_probe, config.name, timing))
        self._update_table()
        self.grant_manager.expire()

    def _on_probe(self, name: str, timing: Timing) -> None:
        self.tracker.on_probe(name, timing, self._loop.now_s)

    def _read_reports(self) -> None:
        now_s = self._loop.now_s
        for engine in self._engines.values():
            available = [
                load_record
                for load_record in engine.load_history
                if load_record[0] <= now_s - self._report_lag_s
            ]
            if available:
                recorded_s, running, waiting = available[-1]
                reading = LoadReading(running, waiting, SLOTS, lag_s=now_s - recorded_s)
                self.tracker.on_report(engine.name, reading, now_s)
            self._read_cache_events(engine)

    def _read_cache_events(self, engine: Engine) -> None:
        last_sequence = self.tracker.cache_sequence(engine.name) or 0
        events = []
        for index, (recorded_s, stored, conversation) in enumerate(
            engine.cache_events[last_sequence:]
        ):
            if recorded_s > self._loop.now_s - CACHE_EVENT_LAG_S:
                break
            blocks = _blocks(conversation)
            sequence = last_sequence + index + 1
            event = (
                CacheEvent(sequence, blocks)
                if stored
                else CacheEvent(sequence, (), blocks)
            )
            events.append(event)
        if events:
            self.tracker.on_cache_events(engine.name, tuple(events))

    def _on_outcome(self, message: AttemptMeasured) -> None:
        self.tracker.on_outcome(message.upstream, message.outcome, self._loop.now_s)

    def _acquire(
        self,
        request: Request,
        attempt: int,
        hedge: bool,
        avoid: frozenset[str],
        from_token: int = 0,
    ) -> None:
        work_request = WorkRequest(
            SERVICE, request.workspace, request.prompt_tokens, request.tokens
        )
        acquire_request = AcquireRequest(
            request.name,
            SERVICE,
            request.workspace,
            self.grant_manager.predict(work_request),
            request.deadline_s,
            request.priority,
            attempt,
            request.prompt_tokens,
            hedge=hedge,
            avoid=avoid,
            blocks=()
            if request.conversation is None
            else _blocks(request.conversation),
        )
        result = self.grant_manager.submit(
            acquire_request, lambda r: self._on_result(request, r, from_token)
        )
        if result is not None:
            self._on_result(request, result, from_token)

    def _on_result(
        self, request: Request, result: Grant | Refusal, from_token: int
    ) -> None:
        if isinstance(result, Refusal):
            if not request.runs:
                request.refused_s = self._loop.now_s
            return
        if request.done_s is not None:
            self.grant_manager.release(result, Outcome())
            return
        engine = self._engines[result.upstream]
        request.attempts += 1
        run = Run(
            request.tokens - from_token,
            request.prompt_tokens + from_token,
            request.conversation,
            lambda run: self._on_first_token(request, run),
            lambda run: self._on_done(request, run),
            sent_s=self._loop.now_s,
        )
        request.runs.append((run, engine, result))
        self._loop.call_later(HOP_S, lambda: engine.submit(run))
        self._loop.call_later(
            PROGRESS_INTERVAL_S, lambda: self._report_progress(request, run, result)
        )
        self._schedule_stall_check(request, run)

    def _schedule_stall_check(self, request: Request, run: Run) -> None:
        """Schedule the check that hedges a run without progress."""
        tokens_before = run.generated
        if tokens_before:
            wait_s = self.grant_manager.stalled_after_s(SERVICE)
        else:
            wait_s = self.grant_manager.hedge_after_s(SERVICE)
        if wait_s is None:
            self._loop.call_later(
                PROGRESS_INTERVAL_S,
                lambda: self._check_stall(request, run, run.generated),
            )
        else:
            self._loop.call_later(
                wait_s, lambda: self._check_stall(request, run, tokens_before)
            )

    def _check_stall(self, request: Request, run: Run, tokens_before: int) -> None:
        if run.cancelled or request.done_s is not None:
            return
        if run.generated == tokens_before and len(request.runs) == 1:
            self._hedge_late_run(request, run)
        self._schedule_stall_check(request, run)

    def _hedge_late_run(self, request: Request, run: Run) -> None:
        attempts = [
            Attempt(engine.name, True, FailureKind.LATE, not attempt_run.cancelled)
            for attempt_run, engine, _ in request.runs
        ]
        decision = self.grant_manager.next_step(
            SERVICE,
            attempts,
            Failure(FailureKind.LATE, True),
            RetryRequest(
                True,
                request.deadline_s,
                tokens=run.generated,
                expected_remaining_tokens=run.tokens - run.generated,
            ),
        )
        if isinstance(decision, Hedge):
            self._acquire(
                request, len(attempts) + 1, True, decision.avoid, decision.from_token
            )

    def _on_first_token(self, request: Request, run: Run) -> None:
        for other_run, engine, grant in request.runs:
            if other_run is not run and not other_run.cancelled:
                engine.cancel(other_run)
                waited_s = self._loop.now_s - other_run.sent_s
                bound_timing = Timing(waited_s, None, first_token_is_bound=True)
                self._release(grant, Outcome(bound_timing, finished=False))

    def _on_done(self, request: Request, run: Run) -> None:
        request.done_s = self._loop.now_s + HOP_S
        request.cache_hit = run.cache_hit
        grant = next(g for r, _, g in request.runs if r is run)
        self._release(grant, Outcome(_timing(run, self._loop.now_s)))

    def _release(self, grant: Grant | None, outcome: Outcome) -> None:
        if grant is not None:
            self.grant_manager.release(grant, outcome)

    def _report_progress(self, request: Request, run: Run, grant: Grant) -> None:
        if run.cancelled or request.done_s is not None:
            return
        timing = _timing(run, self._loop.now_s)
        self.grant_manager.record_progress(grant, Outcome(timing, tokens=run.generated))
        self._loop.call_later(
            PROGRESS_INTERVAL_S, lambda: self._report_progress(request, run, grant)
        )


def _blocks(conversation: int) -> tuple[str, ...]:
    return tuple(f"{conversation}/{i}" for i in range(PROMPT_BLOCKS))


def _timing(run: Run, now_s: float) -> Timing:
    if run.first_token_s is None:
        return Timing(now_s - run.sent_s, None, first_token_is_bound=True)
    inter_token_s = None
    if run.generated > 1:
        inter_token_s = (now_s - run.first_token_s) / (run.generated - 1)
    return Timing(run.first_token_s - run.sent_s, inter_token_s)
