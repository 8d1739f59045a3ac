"""Component that owns the configuration.

It folds the log's records, fetches from a peer when the log is unavailable or late, and
re-appends the snapshot before it expires.
"""

from collections.abc import Callable
from typing import Any

import pykka
from expression import Error, Result

from cicadapass.actormessages import tell_if_alive
from cicadapass.confighelpers import (
    SnapshotSchedule,
    append_snapshot,
    parse_safely,
    report_verdict,
)
from cicadapass.configmessages import (
    NEED_SNAPSHOT,
    ConfigFeedDependencies,
    FetchCompleted,
    FetchRequested,
    OffsetAnnounced,
    PageArrived,
    SnapshotAppendCompleted,
    Tick,
)
from cicadapass.configview import ConfigFetched, ConfigView, CurrentConfig
from cicadapass.logreader import LogReader, ReadResult
from cicadapass.recentrecords import RecentRecords
from cicadapass.supervisor import Component
from cicadapass.timers import Subscription
from cicadapass_common.exceptions import CicadapassError
from cicadapass_common.logclient import Page, RawRecord
from cicadapass_common.records import decode_log_record, decode_record, encode_record
from cicadapass_decisions.fold import (
    adopt,
    fold,
    has_lost_snapshot,
    needs_reappend,
    skip_to,
    to_snapshot,
)
from cicadapass_decisions.logrecords import NO_VERSION, Snapshot, Unreadable

TICK_S = 1.0
# A node that is behind its peers for longer fetches from a peer instead of waiting for
# the log: when packets to the log are dropped, only the read timeout shows it.
MAX_BEHIND_S = 2.0


class ConfigFeed(Component):
    """Own the fold state and publish it through a `CurrentConfig`."""

    def __init__(
        self,
        supervisor: pykka.ActorRef[Any],
        name: str,
        dependencies: ConfigFeedDependencies,
        current_config: CurrentConfig,
    ) -> None:
        super().__init__(supervisor, name)
        self._dependencies = dependencies
        self._current_config = current_config
        self._state = current_config.state
        self._view = current_config.view
        self._recent = RecentRecords()
        self._announced_offset = -1
        self._first_log_offset = 0
        self._log_lost = False
        self._caught_up = False
        self._up_to_date_s = dependencies.clock()
        self._fetching = False
        self._fetch_failed = False
        self._appending = False
        self._schedule = SnapshotSchedule(dependencies.retention_s, dependencies.rng)
        self._reported_reason = ""
        self._unusable_version = NO_VERSION
        self._reader: LogReader | None = None
        self._tick_timer: Subscription | None = None

    def on_start(self) -> None:
        """Start the log reader and the timer."""
        ref = self.actor_ref

        def deliver(answer: ReadResult, confirm: Callable[[int], None]) -> None:
            tell_if_alive(ref, PageArrived(answer, confirm))

        offset = self._state.next_offset
        self._reader = LogReader(
            self._dependencies.log, offset, deliver, self._dependencies.rng
        )
        self._reader.start()
        self._tick_timer = self._dependencies.timers.subscribe(
            lambda: tell_if_alive(ref, Tick()), TICK_S
        )

    def on_stop(self) -> None:
        """Stop the log reader and the timer."""
        if self._reader is not None:
            self._reader.stop()
        if self._tick_timer is not None:
            self._tick_timer.cancel()

    def on_receive(self, message: object) -> object:
        """Fold received records and answer peers; see `configmessages`."""
        match message:
            case PageArrived(answer, confirm):
                self._on_log_answer(answer)
                confirm(self._state.next_offset)
            case OffsetAnnounced(offset):
                self._announced_offset = max(self._announced_offset, offset)
            case FetchRequested(from_offset):
                return self._answer_fetch(from_offset)
            case FetchCompleted(answer):
                self._on_fetch_completed(answer)
            case SnapshotAppendCompleted(answer, version):
                self._on_snapshot_appended(answer, version)
            case Tick():
                self._on_tick()
        return None

    def _on_log_answer(self, answer: ReadResult) -> None:
        if answer.is_error():
            if not self._log_lost:
                self._dependencies.events.emit(207, reason=str(answer.error))
            self._log_lost = True
            self._caught_up = False
            return
        if self._log_lost:
            self._dependencies.events.emit(208, offset=answer.ok.next_offset)
        self._log_lost = False
        self._fold_page(answer.ok)

    def _fold_page(self, page: Page) -> None:
        if page.first_offset > self._state.next_offset:
            self._dependencies.events.emit(
                205,
                next_offset=self._state.next_offset,
                first_offset=page.first_offset,
            )
            self._recent.clear()
        self._state = skip_to(self._state, page.first_offset)
        self._first_log_offset = page.first_offset
        for raw in page.records:
            self._fold(raw)
        self._caught_up = self._caught_up or not page.records
        self._publish_state()

    def _fold(self, raw: RawRecord) -> None:
        record = decode_log_record(raw.offset, raw.time_s, raw.data)
        if raw.offset >= self._state.next_offset:
            self._recent.add(raw)
            if isinstance(record.body, Unreadable):
                reason = record.body.reason
                self._dependencies.events.emit(203, offset=raw.offset, reason=reason)
        self._state, verdict = fold(self._state, record, self._dependencies.parse)
        version = self._state.version
        report_verdict(self._dependencies.events, verdict, version, self._caught_up)

    def _publish_state(self) -> None:
        old = self._view
        if self._state.version not in (
            old.version if old else None,
            self._unusable_version,
        ):
            self._view = self._parse_view()
        elif old is not None:
            offset = self._state.next_offset - 1
            self._view = ConfigView(old.version, offset, old.inventory, old.document)
        self._current_config.publish(self._state, self._view)
        if self._view is None or (old and old.version == self._view.version):
            return
        state = self._state
        author, publish_id = state.author, state.publish_id
        self._dependencies.events.emit(
            200, version=state.version, author=author, publish_id=publish_id
        )
        self._dependencies.on_change(self._view)

    def _parse_view(self) -> ConfigView | None:
        state = self._state
        if state.document is None:
            return self._view
        parsed = parse_safely(self._dependencies.parse, state.document)
        if parsed.is_error():
            problems = str(parsed.error)
            self._dependencies.events.emit(
                211, version=state.version, problems=problems
            )
            self._unusable_version = state.version
            return self._view
        offset = state.next_offset - 1
        return ConfigView(state.version, offset, parsed.ok, state.document)

    def _answer_fetch(self, from_offset: int) -> ConfigFetched:
        next_offset = self._state.next_offset
        if not self._state.complete or from_offset >= next_offset:
            return ConfigFetched((), next_offset)
        records = self._recent.since(from_offset)
        if records:
            return ConfigFetched(records, next_offset)
        snapshot = encode_record(to_snapshot(self._state))
        return ConfigFetched((), next_offset, snapshot.default_value(None))

    def _on_tick(self) -> None:
        self._report_missing_config()
        if self._needs_peer() and not self._fetching:
            self._fetching = True
            offset = self._state.next_offset if self._state.complete else NEED_SNAPSHOT
            self._run_in_background(lambda: FetchCompleted(self._fetch(offset)))
        self._append_snapshot_if_due()

    def _fetch(self, from_offset: int) -> Result[ConfigFetched, Any]:
        try:
            return self._dependencies.fetch_from_peer(from_offset)
        except Exception as error:
            # Without a result, the feed would wait for this fetch for ever.
            return Error(repr(error))

    def _needs_peer(self) -> bool:
        now_s = self._dependencies.clock()
        complete = self._state.complete
        if complete and self._announced_offset < self._state.next_offset:
            self._up_to_date_s = now_s
            return False
        behind = now_s - self._up_to_date_s >= MAX_BEHIND_S
        return self._log_lost or behind or (self._caught_up and not complete)

    def _report_missing_config(self) -> None:
        reason = ""
        if self._view is None and self._log_lost:
            reason = "no answer from the log or a peer"
        elif self._view is None and self._caught_up:
            complete = self._state.complete
            reason = (
                "nothing is published" if complete else "the log has no usable snapshot"
            )
        if reason and reason != self._reported_reason:
            self._dependencies.events.emit(206, reason=reason)
        self._reported_reason = reason

    def _on_fetch_completed(self, answer: Result[ConfigFetched, Any]) -> None:
        self._fetching = False
        if answer.is_error():
            # The fetch is repeated at every tick; only the first failure is reported.
            if not self._fetch_failed:
                self._dependencies.events.emit(212, reason=str(answer.error))
            self._fetch_failed = True
            return
        self._fetch_failed = False
        if answer.ok.snapshot is not None:
            self._adopt_snapshot(answer.ok.snapshot)
        for raw in answer.ok.records:
            if raw.offset > self._state.next_offset:
                # A gap in a peer's answer does not mean that the log has a gap.
                break
            self._fold(raw)
        self._publish_state()

    def _adopt_snapshot(self, data: bytes) -> None:
        body = decode_record(data)
        if body.is_error() or not isinstance(body.ok, Snapshot):
            self._dependencies.events.emit(
                212, reason="the peer's answer contains no valid snapshot"
            )
            return
        self._state, verdict = adopt(self._state, body.ok, self._dependencies.parse)
        report_verdict(self._dependencies.events, verdict, self._state.version, True)

    def _append_snapshot_if_due(self) -> None:
        dependencies = self._dependencies
        due = needs_reappend(self._state, dependencies.wall(), dependencies.retention_s)
        lost = has_lost_snapshot(self._state, self._first_log_offset)
        ready = self._caught_up and not self._appending
        if self._schedule.should_append(
            due and ready, lost and ready, dependencies.clock()
        ):
            self._append_snapshot()

    def _append_snapshot(self) -> None:
        self._appending = True
        log, state = self._dependencies.log, self._state
        self._run_in_background(
            lambda: SnapshotAppendCompleted(append_snapshot(log, state), state.version)
        )

    def _on_snapshot_appended(
        self, answer: Result[int, CicadapassError], version: int
    ) -> None:
        self._appending = False
        self._schedule.reset()
        if answer.is_ok():
            self._dependencies.events.emit(209, offset=answer.ok, version=version)
        else:
            self._dependencies.events.emit(210, reason=str(answer.error))

    def _run_in_background(self, job: Callable[[], object]) -> None:
        ref = self.actor_ref
        self._dependencies.run_in_background(lambda: tell_if_alive(ref, job()))
