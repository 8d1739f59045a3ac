"""Migrate the runs of leaving engines to other engines."""

import asyncio
import itertools
from dataclasses import dataclass, field, replace

from cicadapass_decisions.passthrough import Prompt, UpstreamRecord
from cicadapass_decisions.runmigration import (
    DEFAULT_REMAINING_S,
    CopyOutcome,
    Place,
    RunProgress,
    choose_destination,
    may_be_stopped,
    may_stop,
    resume_places,
    should_migrate,
)
from cicadapass_gateway.adapterapi import MigrateRun, RunCopy
from cicadapass_gateway.nodestate import NodeState

# Interval at which the engines of active runs are checked for leaving.
CHECK_INTERVAL_S = 0.1
# Per source engine; its link transfers the copies one after another.
MAX_CONCURRENT_MIGRATIONS = 4
# A last copy that takes longer no longer delays the migrations of other runs.
MAX_LINK_HOLD_S = 1.5
# Destinations tried for one run in a row, and the pause before it is tried again.
MAX_DESTINATIONS = 2
RETRY_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class MigratedRun:
    """Store where a stopped run can go on, the best engine first.

    `copy` names its memory, which can be used once.
    """

    places: tuple[UpstreamRecord, ...]
    copy: str

    @property
    def record(self) -> UpstreamRecord:
        """Return the engine at which the run goes on."""
        return self.places[0]

    def after_refusal(self) -> "MigratedRun | None":
        """Return the run without its first place, or None if that was the last one."""
        if len(self.places) == 1:
            return None
        return replace(self, places=self.places[1:])


@dataclass(eq=False, slots=True)
class ActiveRun:
    """Track a run that may be migrated.

    `migration` is set once this has started, and `stopping` while the source may have
    stopped the run, or may do so.
    """

    request_id: str
    record: UpstreamRecord
    prompt: Prompt
    tokens_per_event: int
    began_s: float
    # Engines that did not take the run, by id; shared by all runs of a request.
    excluded: set[str] = field(default_factory=set)
    events: int = 0
    migration: asyncio.Task[MigratedRun | None] | None = None
    retry_at_s: float = 0.0
    stopping: bool = False
    # Where the run can go on if its stream breaks off, by copies made while it went on.
    fallback: MigratedRun | None = None

    def progress(self, now_s: float) -> RunProgress:
        """Return the progress from which the remaining time of the run is estimated."""
        return RunProgress(
            self.events,
            now_s - self.began_s,
            self.prompt.expected_tokens,
            self.tokens_per_event,
        )


@dataclass(slots=True)
class _LeavingEngine:
    observed_s: float
    remaining_s: float
    semaphore: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MAX_CONCURRENT_MIGRATIONS)
    )

    def remaining_s_at(self, now_s: float) -> float:
        """Return the time until the engine may end."""
        return self.remaining_s - (now_s - self.observed_s)


class Migrator:
    """Migrate the active runs whose engine leaves before they end."""

    def __init__(self, state: NodeState, migrate_run: MigrateRun) -> None:
        self._state = state
        self._migrate_run = migrate_run
        self._runs: set[ActiveRun] = set()
        # Set while there are runs, so that a node without any does not wake up.
        self._active = asyncio.Event()
        self._leaving: dict[tuple[str, int], _LeavingEngine] = {}

    def add(self, run: ActiveRun) -> None:
        """Include a run in the checks."""
        self._runs.add(run)
        self._active.set()

    def discard(self, run: ActiveRun) -> None:
        """Exclude a run from the checks and cancel its unfinished migration."""
        self._runs.discard(run)
        if run.migration is not None and not run.migration.done():
            run.migration.cancel()

    async def watch(self) -> None:
        """Start the due migrations until cancelled."""
        while True:
            await self._active.wait()
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._start_migrations()
            if not self._runs:
                self._active.clear()

    def _is_address_reused(self, record: UpstreamRecord) -> bool:
        """Return whether another upstream has the address of the engine of a run.

        A call that copies a run names the address alone, so it would reach that one.
        """
        return any(
            (each.host, each.port) == (record.host, record.port)
            and each.start_key != record.start_key
            for each in self._state.upstreams.view.records.values()
        )

    def _start_migrations(self) -> None:
        if not self._runs:
            return
        now_s = self._state.clock()
        view = self._state.upstreams.view
        marks = set(view.leaving_marks)
        # Some engines leave without notice: their entry is removed while they run.
        listed = {(each.upstream_id, each.started_ms) for each in view.records.values()}
        for run in self._runs:
            key = (run.record.upstream_id, run.record.started_ms)
            if key in listed and key not in marks:
                continue
            if run.migration is not None or now_s < run.retry_at_s:
                continue
            if self._is_address_reused(run.record):
                continue
            leaving = self._leaving.get(key)
            if leaving is None:
                current = view.records.get(run.record.upstream_id, run.record)
                total_s = current.leaves_in_s or DEFAULT_REMAINING_S
                leaving = self._leaving[key] = _LeavingEngine(now_s, total_s)
            remaining_s = leaving.remaining_s_at(now_s)
            if remaining_s > 0 and should_migrate(run.progress(now_s), remaining_s):
                run.migration = asyncio.create_task(self._migrate(run, leaving))

    async def _migrate(
        self, run: ActiveRun, leaving: _LeavingEngine
    ) -> MigratedRun | None:
        """Copy the run while it continues, then stop it and copy the rest."""
        async with leaving.semaphore:
            taken = await self._copy_running(run, leaving)
            if taken is None:
                run.retry_at_s = self._state.clock() + RETRY_PAUSE_S
                run.migration = None
                return None
            target, running_copy = taken
            run.stopping = True
            finishing = asyncio.create_task(
                self._copy_stopped(run, target, running_copy)
            )
            try:
                await asyncio.wait({finishing}, timeout=MAX_LINK_HOLD_S)
            except asyncio.CancelledError:
                finishing.cancel()
                raise
        try:
            return await finishing
        finally:
            finishing.cancel()

    async def _copy_running(
        self, run: ActiveRun, leaving: _LeavingEngine
    ) -> tuple[UpstreamRecord, str] | None:
        """Return an engine to which the run can move now, and the name of its copy."""
        excluded = {run.record.upstream_id, *run.excluded}
        for _ in range(MAX_DESTINATIONS):
            target = self._choose_target(run, excluded)
            if target is None:
                return None
            excluded.add(target.upstream_id)
            copy = await self._copy_until_quick(run, target, leaving)
            if copy.outcome is CopyOutcome.COMPLETE and copy.location is not None:
                if self._state.upstreams.is_usable(target):
                    return target, copy.location
                self._log_migration(run, target, "the target is leaving")
                continue
            self._log_migration(run, target, f"{copy.outcome.value}: {copy.detail}")
            if copy.outcome is not CopyOutcome.REFUSED:
                # The source has ended the run, or works on an earlier call.
                return None
        return None

    async def _copy_until_quick(
        self, run: ActiveRun, target: UpstreamRecord, leaving: _LeavingEngine
    ) -> RunCopy:
        """Repeat the copy of a running run until its last one will be quick."""
        for copies in itertools.count(1):
            began_s = self._state.clock()
            copy = await self._migrate_run(run.record, run.request_id, target, False)
            now_s = self._state.clock()
            if copy.outcome is not CopyOutcome.COMPLETE:
                break
            if not self._state.upstreams.is_usable(target):
                break
            if self._is_address_reused(run.record):
                copy = RunCopy(CopyOutcome.NO_RUN, detail="the address was reused")
                break
            if may_stop(copies, now_s - began_s, leaving.remaining_s_at(now_s)):
                break
        return copy

    async def _copy_stopped(
        self, run: ActiveRun, target: UpstreamRecord, running_copy: str
    ) -> MigratedRun | None:
        """Stop the run and copy the rest; return where it can go on."""
        stopped_s = self._state.clock()
        copy = await self._migrate_run(run.record, run.request_id, target, True)
        if copy.outcome is CopyOutcome.COMPLETE:
            outcome = "moved"
        else:
            run.excluded.add(target.upstream_id)
            outcome = f"{copy.outcome.value}: {copy.detail}"
        self._log_migration(run, target, outcome, stopped_s)
        engines = {Place.DESTINATION: target, Place.SOURCE: run.record}
        places = tuple(engines[each] for each in resume_places(copy.outcome))
        location = copy.location or running_copy
        migrated = MigratedRun(places, location) if places else None
        if may_be_stopped(copy.outcome):
            return migrated
        run.stopping, run.fallback = False, migrated
        run.retry_at_s = self._state.clock() + RETRY_PAUSE_S
        run.migration = None
        return None

    def _choose_target(
        self, run: ActiveRun, excluded: set[str]
    ) -> UpstreamRecord | None:
        now_s = self._state.clock()
        service = run.record.service
        # The memory of a run belongs to the version that wrote it.
        upstreams = self._state.upstreams
        records = upstreams.of_version(service, run.record.version)
        candidates = upstreams.candidates(service, run.prompt, excluded, now_s, records)
        chosen = choose_destination(candidates)
        return next((each for each in records if each.upstream_id == chosen), None)

    def _log_migration(
        self,
        run: ActiveRun,
        target: UpstreamRecord,
        outcome: str,
        stopped_s: float | None = None,
    ) -> None:
        """Log a call of a migration; `stopped_s` is when the run was stopped for it."""
        self._state.metrics.count("moves", "moved" if outcome == "moved" else "failed")
        stopped_ms = None
        if stopped_s is not None:
            stopped_ms = round(1000 * (self._state.clock() - stopped_s))
        self._state.events.emit(
            814,
            request_id=run.request_id,
            upstream=run.record.upstream_id,
            target=target.upstream_id,
            delivered=run.events,
            stopped_ms=stopped_ms,
            outcome=outcome,
        )
