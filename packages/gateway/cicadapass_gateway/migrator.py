"""Migrate the runs of leaving engines to other engines."""

import asyncio
from dataclasses import dataclass, field

from cicadapass_decisions.passthrough import Prompt, UpstreamRecord
from cicadapass_decisions.runmigration import (
    DEFAULT_REMAINING_S,
    RunProgress,
    choose_destination,
    should_migrate,
)
from cicadapass_gateway.adapterapi import MigrateRun
from cicadapass_gateway.exceptions import GatewayError
from cicadapass_gateway.nodestate import NodeState

# Interval at which the engines of active runs are checked for leaving.
CHECK_INTERVAL_S = 0.1
# Per source engine; its link transfers the copies one after another.
MAX_CONCURRENT_MIGRATIONS = 4
# A last copy that takes longer no longer delays the migrations of other runs.
MAX_LINK_HOLD_S = 1.5
# Destinations tried for one run.
MAX_DESTINATIONS = 2


@dataclass(frozen=True, slots=True)
class MigratedRun:
    """Store the engine and the location of a run's copy."""

    record: UpstreamRecord
    copy: str


@dataclass(eq=False, slots=True)
class ActiveRun:
    """Track a run that may be migrated.

    `migration` is set once this has started, and `stopping` once the source is told to
    stop the run.
    """

    request_id: str
    record: UpstreamRecord
    prompt: Prompt
    tokens_per_event: int
    began_s: float
    events: int = 0
    migration: asyncio.Task[MigratedRun | None] | None = None
    stopping: bool = False

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


class Migrator:
    """Migrate the active runs whose engine leaves before they end."""

    def __init__(self, state: NodeState, migrate_run: MigrateRun) -> None:
        self._state = state
        self._migrate_run = migrate_run
        self._runs: set[ActiveRun] = set()
        self._leaving: dict[tuple[str, int], _LeavingEngine] = {}

    def add(self, run: ActiveRun) -> None:
        """Include a run in the checks."""
        self._runs.add(run)

    def discard(self, run: ActiveRun) -> None:
        """Exclude a run from the checks and cancel its unfinished migration."""
        self._runs.discard(run)
        if run.migration is not None and not run.migration.done():
            run.migration.cancel()

    async def watch(self) -> None:
        """Start the due migrations until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._start_migrations()

    def _start_migrations(self) -> None:
        now_s = self._state.clock()
        view = self._state.upstreams.view
        marks = set(view.leaving_marks)
        # Some engines leave without notice: their entry is removed while they run.
        listed = {(each.upstream_id, each.started_ms) for each in view.records.values()}
        for run in self._runs:
            key = (run.record.upstream_id, run.record.started_ms)
            if run.migration is not None or (key in listed and key not in marks):
                continue
            leaving = self._leaving.get(key)
            if leaving is None:
                current = view.records.get(run.record.upstream_id, run.record)
                remaining_s = current.leaves_in_s or DEFAULT_REMAINING_S
                leaving = self._leaving[key] = _LeavingEngine(now_s, remaining_s)
            remaining_s = leaving.remaining_s - (now_s - leaving.observed_s)
            if remaining_s > 0 and should_migrate(run.progress(now_s), remaining_s):
                run.migration = asyncio.create_task(self._migrate(run, leaving))

    async def _migrate(
        self, run: ActiveRun, leaving: _LeavingEngine
    ) -> MigratedRun | None:
        """Copy the run while it continues, then stop it and copy the rest."""
        async with leaving.semaphore:
            target = await self._copy_running(run)
            if target is None:
                return None
            run.stopping = True
            finishing = asyncio.create_task(self._copy_stopped(run, target))
            try:
                await asyncio.wait({finishing}, timeout=MAX_LINK_HOLD_S)
            except asyncio.CancelledError:
                finishing.cancel()
                raise
        try:
            return await finishing
        finally:
            finishing.cancel()

    async def _copy_running(self, run: ActiveRun) -> UpstreamRecord | None:
        """Return an engine that has a first copy, or None if no one took it."""
        excluded = {run.record.upstream_id}
        for _ in range(MAX_DESTINATIONS):
            target = self._choose_target(run, excluded)
            if target is None:
                return None
            excluded.add(target.upstream_id)
            try:
                await self._migrate_run(run.record, run.request_id, target, False)
            except GatewayError as error:
                self._log_migration(run, target, str(error))
                continue
            if self._state.upstreams.is_usable(target):
                return target
            self._log_migration(run, target, "the target is leaving")
        return None

    async def _copy_stopped(
        self, run: ActiveRun, target: UpstreamRecord
    ) -> MigratedRun | None:
        """Stop the run and copy the rest; None if that failed."""
        try:
            copy = await self._migrate_run(run.record, run.request_id, target, True)
        except GatewayError as error:
            self._log_migration(run, target, str(error))
            return None
        self._log_migration(run, target, "moved")
        return MigratedRun(target, copy)

    def _choose_target(
        self, run: ActiveRun, excluded: set[str]
    ) -> UpstreamRecord | None:
        now_s = self._state.clock()
        service = run.record.service
        candidates = self._state.upstreams.candidates(
            service, run.prompt, excluded, now_s
        )
        chosen = choose_destination(candidates)
        usable = self._state.upstreams.usable(service)
        return next((each for each in usable if each.upstream_id == chosen), None)

    def _log_migration(
        self, run: ActiveRun, target: UpstreamRecord, outcome: str
    ) -> None:
        self._state.metrics.count("moves", "moved" if outcome == "moved" else "failed")
        self._state.events.emit(
            814,
            request_id=run.request_id,
            upstream=run.record.upstream_id,
            target=target.upstream_id,
            delivered=run.events,
            outcome=outcome,
        )
