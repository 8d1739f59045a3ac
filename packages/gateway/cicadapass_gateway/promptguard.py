"""Hold or reject requests whose prompt segments may crash engines.

The guard reports to `SegmentSuspicions` how answers begin and which engines end, and
applies its verdicts to requests on every way to an engine: first tries, retries,
resumed and migrated runs, queued requests and those in progress.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.segmentsuspicions import (
    Blocked,
    Change,
    ChangeKind,
    SegmentSuspicions,
    Suspected,
)
from cicadapass_gateway.endedprocesses import EndedProcesses
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.requestcontext import RequestContext, ResponseProgress

# An answer is harmless once it has at least this many events this long after its head.
SURVIVAL_S = 0.25
SURVIVAL_EVENTS = 2
# A request with a suspected segment waits for this long, and for this fraction of its
# remaining time at most.
MAX_HOLD_S = 1.5
MAX_HOLD_FRACTION = 0.4
# Requests of several nodes that waited for a trial resume at random within this time,
# so that the next trial is known to the others before they begin one.
RESUME_SPREAD_S = 0.1


class HeldReason(Enum):
    """Name why a request may not be sent; the values are logged."""

    BLOCKED = "segment_blocked"
    SUSPECTED = "segment_suspected"


@dataclass(slots=True)
class _BrokenAnswers:
    """Collect the segments of the answers that one engine broke off."""

    writing: set[str] = field(default_factory=set)
    waiting: set[str] = field(default_factory=set)
    check: asyncio.Task[None] | None = None


class PromptGuard:
    """Apply the suspicions against prompt segments to the requests of this node."""

    def __init__(self, state: NodeState, ended_engines: EndedProcesses) -> None:
        self._state = state
        self._ended_engines = ended_engines
        self._suspicions: SegmentSuspicions = state.segment_suspicions
        self._suspicions.subscribe(self._apply_changes)
        # Requests in progress by segment; the values serve as ordered sets.
        self._requests: dict[str, dict[RequestContext, None]] = {}
        self._broken: dict[str, _BrokenAnswers] = {}
        self._changed: asyncio.Future[None] | None = None

    def find_block(self, request: RequestContext) -> Blocked | None:
        """Return the block that a request falls under, or None."""
        verdict = self._verdict(request)
        return verdict if isinstance(verdict, Blocked) else None

    def watch(self, request: RequestContext) -> None:
        """Include a request in those that a new block ends."""
        for segment in request.segments:
            self._requests.setdefault(segment, {})[request] = None

    def unwatch(self, request: RequestContext) -> None:
        """Exclude a request that has ended."""
        for segment in request.segments:
            requests = self._requests.get(segment, {})
            requests.pop(request, None)
            if not requests:
                self._requests.pop(segment, None)
        self._end_trial(request)

    async def admit(self, request: RequestContext) -> HeldReason | None:
        """Wait until a request may be sent; return why not if it may not.

        One that may have run, or whose answer has begun, waits until it may: to refuse
        it would lose its answer.
        """
        if request.engine_check is not None:
            # The answer broke off; the end of the engine may be evidence.
            await asyncio.shield(request.engine_check)
            request.engine_check = None
            self._end_trial(request)
        refusable = not (request.runs or request.exchange.started)
        now_s = self._state.clock()
        end_s = now_s + min(
            MAX_HOLD_S, MAX_HOLD_FRACTION * (request.deadline_s - now_s)
        )
        while True:
            now_s = self._state.clock()
            verdict = self._verdict(request)
            request.evidence = self._evidence(request)
            if verdict is None:
                return None
            if isinstance(verdict, Blocked):
                return HeldReason.BLOCKED
            if not verdict.trial_running:
                self._begin_trial(request, verdict)
                return None
            if now_s >= end_s:
                if refusable:
                    return HeldReason.SUSPECTED
                end_s = now_s + MAX_HOLD_S
            await self._wait_for_change(end_s)

    def is_suspected(self, request: RequestContext) -> bool:
        """Return whether a segment of the prompt is suspected or blocked."""
        return self._verdict(request) is not None

    def may_send(self, request: RequestContext) -> bool:
        """Return whether an admitted request may still be sent."""
        verdict = self._verdict(request)
        if verdict is None:
            return True
        return isinstance(verdict, Suspected) and set(verdict.segments) <= set(
            request.trial
        )

    def record_progress(
        self, request: RequestContext, response: ResponseProgress
    ) -> None:
        """Record that events of an answer arrived."""
        if response.harmless or response.head_s is None:
            return
        if (
            response.events >= SURVIVAL_EVENTS
            and self._state.clock() - response.head_s >= SURVIVAL_S
        ):
            self.record_harmless(request, response)

    def record_harmless(
        self, request: RequestContext, response: ResponseProgress
    ) -> None:
        """Record that an engine wrote an answer, or enough of it, without harm."""
        response.harmless = True
        request.trial = ()
        self._suspicions.record_survival(request.segments, self._state.clock())

    def record_broken(
        self,
        request: RequestContext,
        record: UpstreamRecord,
        response: ResponseProgress,
    ) -> None:
        """Record that a connection was lost; the engine may have ended.

        The repetition of the request waits until that is known.
        """
        if not request.segments or response.harmless:
            return
        engine = record.start_key
        broken = self._broken.setdefault(engine, _BrokenAnswers())
        began = response.head_s is not None
        (broken.writing if began else broken.waiting).update(request.segments)
        if self._ended_engines.is_known(record):
            self._record_end(engine)
            return
        if broken.check is None:
            broken.check = asyncio.create_task(self._check_engine(engine, record))
        request.engine_check = broken.check

    def end_attempt(self, request: RequestContext) -> None:
        """Record that an attempt ended; its trial is over unless its engine ended."""
        if request.engine_check is None:
            self._end_trial(request)

    def _verdict(self, request: RequestContext) -> Blocked | Suspected | None:
        if not self._suspicions.active or not request.segments:
            return None
        return self._suspicions.verdict(request.segments, self._state.clock())

    def _evidence(self, request: RequestContext) -> list[list[Any]]:
        if not self._suspicions.active:
            return []
        return self._suspicions.evidence(request.segments, self._state.clock())

    def _begin_trial(self, request: RequestContext, verdict: Suspected) -> None:
        request.trial = verdict.segments
        self._state.metrics.count("segment_trials")
        self._suspicions.begin_trial(
            verdict.segments, self._state.node, self._state.clock()
        )

    def _end_trial(self, request: RequestContext) -> None:
        if request.trial:
            segments, request.trial = request.trial, ()
            self._suspicions.end_trial(segments, self._state.node)

    async def _wait_for_change(self, end_s: float) -> None:
        if self._changed is None or self._changed.done():
            self._changed = asyncio.get_running_loop().create_future()
        try:
            # Trials of peers that ended without an outcome expire without a change.
            async with asyncio.timeout(max(0.0, end_s - self._state.clock())):
                await asyncio.shield(self._changed)
                await asyncio.sleep(RESUME_SPREAD_S * self._state.rng.random())
        except TimeoutError:
            return

    async def _check_engine(self, engine: str, record: UpstreamRecord) -> None:
        """Find out whether an engine ended, unless it was known to leave."""
        ended = await self._ended_engines.has_ended(record)
        if ended and self._state.upstreams.is_usable(record):
            self._record_end(engine)
        else:
            self._broken.pop(engine, None)

    def _record_end(self, engine: str) -> None:
        broken = self._broken.pop(engine, None)
        if broken is not None:
            self._suspicions.record_end(
                engine, broken.writing, broken.waiting, self._state.clock()
            )

    def _apply_changes(
        self, changes: Sequence[Change], _names: Sequence[str], _peer: str | None
    ) -> None:
        for change in changes:
            self._log_change(change)
            if change.kind is ChangeKind.BLOCKED:
                self._stop_requests(change.segments)
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    def _log_change(self, change: Change) -> None:
        self._state.metrics.count("segment_changes", change.kind.value)
        segments, engines = list(change.segments), list(change.engines)
        if change.kind in (ChangeKind.BLOCKED, ChangeKind.RELEASED):
            self._state.events.emit(
                851,
                change=change.kind.value,
                segments=segments,
                engines=engines,
                peer=change.peer,
                reason=change.reason,
            )
        else:
            self._state.events.emit(
                850,
                change=change.kind.value,
                segments=segments,
                engines=engines,
                peer=change.peer,
            )

    def _stop_requests(self, segments: tuple[str, ...]) -> None:
        """End the requests under a new block whose answer has not begun."""
        loop_s = asyncio.get_running_loop().time()
        for request in list(self._requests.get(segments[0], ())):
            if (
                set(segments) <= set(request.segments)
                and not request.exchange.started
                and request.time_limit is not None
                and not request.time_limit.expired()
            ):
                request.stopped = HeldReason.BLOCKED.value
                request.time_limit.reschedule(loop_s)
