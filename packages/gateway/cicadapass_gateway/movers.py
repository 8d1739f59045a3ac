"""Move the runs of leaving engines to others."""

import asyncio
from dataclasses import dataclass, field

from cicadapass_decisions.passthrough import Prompt, UpstreamRecord
from cicadapass_decisions.runmigration import (
    DEFAULT_REMAINING_S,
    RunProgress,
    choose_destination,
    should_migrate,
)
from cicadapass_gateway.dialect import MoveRun
from cicadapass_gateway.exceptions import GatewayError
from cicadapass_gateway.nodestate import NodeState

# How often leaving engines are looked for, in seconds.
INTERVAL_S = 0.1
# Moves at a time from one engine; its link carries them one after another.
MOVES_AT_ONCE = 4
# Destinations that are tried for one run.
MAX_TRIES = 2


@dataclass(frozen=True, slots=True)
class Moved:
    """Hold where the copy of a run lies."""

    record: UpstreamRecord
    copy: str


@dataclass(eq=False, slots=True)
class ActiveRun:
    """Hold a run that may be moved; `stopped` is set once the source has let it go."""

    request_id: str
    record: UpstreamRecord
    prompt: Prompt
    tokens_per_event: int
    began_s: float
    events: int = 0
    mover: asyncio.Task[Moved | None] | None = None

    def progress(self, now_s: float) -> RunProgress:
        """Return what tells how long the run still takes."""
        return RunProgress(
            self.events,
            now_s - self.began_s,
            self.prompt.expected_tokens,
            self.tokens_per_event,
        )


@dataclass(slots=True)
class _Leaving:
    since_s: float
    left_s: float
    gate: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MOVES_AT_ONCE)
    )


class Movers:
    """Watch the active runs and move those whose engine leaves too soon."""

    def __init__(self, state: NodeState, move_run: MoveRun) -> None:
        self._state = state
        self._move_run = move_run
        self._runs: set[ActiveRun] = set()
        self._leaving: dict[tuple[str, int], _Leaving] = {}

    def add(self, run: ActiveRun) -> None:
        """Watch a run."""
        self._runs.add(run)

    def discard(self, run: ActiveRun) -> None:
        """Stop to watch a run; end a move that has become needless."""
        self._runs.discard(run)
        if run.mover is not None and not run.mover.done():
            run.mover.cancel()

    async def watch(self) -> None:
        """Start the moves that are due, for ever."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            self._start_moves()

    def _start_moves(self) -> None:
        now_s = self._state.clock()
        view = self._state.book.view
        marks = set(view.leaving_marks)
        # Some engines leave without a word: their entry goes while they still serve.
        listed = {(each.upstream_id, each.started_ms) for each in view.records.values()}
        for run in self._runs:
            key = (run.record.upstream_id, run.record.started_ms)
            if run.mover is not None or (key in listed and key not in marks):
                continue
            leaving = self._leaving.get(key)
            if leaving is None:
                present = view.records.get(run.record.upstream_id, run.record)
                left_s = present.leaves_in_s or DEFAULT_REMAINING_S
                leaving = self._leaving[key] = _Leaving(now_s, left_s)
            left_s = leaving.left_s - (now_s - leaving.since_s)
            if left_s > 0 and should_migrate(run.progress(now_s), left_s):
                run.mover = asyncio.create_task(self._move(run, leaving))

    async def _move(self, run: ActiveRun, leaving: _Leaving) -> Moved | None:
        """Copy the run while it goes on, then stop it and copy the rest."""
        tried = {run.record.upstream_id}
        async with leaving.gate:
            for _ in range(MAX_TRIES):
                target = self._target(run, tried)
                if target is None:
                    return None
                tried.add(target.upstream_id)
                try:
                    await self._move_run(run.record, run.request_id, target, False)
                    copy = await self._move_run(
                        run.record, run.request_id, target, True
                    )
                except GatewayError as error:
                    self._log_move(run, target, str(error))
                    continue
                self._log_move(run, target, "moved")
                return Moved(target, copy)
        return None

    def _target(self, run: ActiveRun, tried: set[str]) -> UpstreamRecord | None:
        now_s = self._state.clock()
        service = run.record.service
        candidates = self._state.book.candidates(service, run.prompt, tried, now_s)
        chosen = choose_destination(candidates)
        usable = self._state.book.usable(service)
        return next((each for each in usable if each.upstream_id == chosen), None)

    def _log_move(self, run: ActiveRun, target: UpstreamRecord, outcome: str) -> None:
        self._state.metrics.count("moves", "moved" if outcome == "moved" else "failed")
        self._state.events.emit(
            814,
            request_id=run.request_id,
            upstream=run.record.upstream_id,
            target=target.upstream_id,
            delivered=run.events,
            outcome=outcome,
        )
