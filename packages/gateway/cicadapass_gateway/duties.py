"""Perform the duties of the elected holder: usage reports and engine orders."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import cbor2

from cicadapass_decisions.dutylease import (
    DutyRecord,
    Lease,
    Observation,
    is_of_era,
    may_act,
    may_take_over,
    newest_record,
    observe,
    release_record,
    renewal_record,
    should_renew,
    take_over_record,
)
from cicadapass_decisions.logposition import era_of, offset_of
from cicadapass_decisions.usagereports import (
    WindowTimes,
    newest_reports,
    windows_to_finalise,
)
from cicadapass_gateway.adapterapi import Adapter, EngineOrder
from cicadapass_gateway.cbor import decode_cbor
from cicadapass_gateway.dutyrecords import decode_record, encode_record
from cicadapass_gateway.exceptions import (
    DECODE_ERRORS,
    GatewayError,
    OffsetConflict,
    PlatformRefused,
)
from cicadapass_gateway.fleetplanner import FleetPlanner
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.peers import Peers
from cicadapass_gateway.rolloutduty import RolloutDuty
from cicadapass_gateway.usage import UsageCounter

HOLDER_KEY = "holder"
# Duration of a lease, as a fraction of the platform's minimum time between holders. A
# former holder waits for the whole of that time before it takes over again, so that
# holders never alternate within it.
LEASE_FRACTION = 0.6
# With these statuses the platform refuses every call for now; with others, this order.
UNAVAILABLE_STATUSES = frozenset({429, 503})
# Interval of the loop that performs the duties or watches their holder.
CHECK_INTERVAL_S = 0.3
# A candidate does not read the record from the platform while the holder's last renewal
# by datagram is younger than this plus one round of datagrams.
HOLDER_REPORT_MAX_AGE_S = 0.8
# Average interval at which a candidate without such a renewal reads the record.
RECORD_READ_INTERVAL_S = 0.5
# Usage reports are retried until this long after the end of their window.
REPORT_RETRY_S = 20.0


@dataclass(frozen=True, slots=True)
class DutyTimes:
    """Store the platform's time between holders and its usage window."""

    lease_s: float
    window_s: float


class Duties:
    """Acquire and renew the lease of the duties, and perform them while it lasts."""

    def __init__(
        self,
        state: NodeState,
        adapter: Adapter,
        peers: Peers,
        usage: UsageCounter,
        planner: FleetPlanner,
        times: DutyTimes,
        true_time: Callable[[], float],
    ) -> None:
        self._state = state
        self._adapter = adapter
        self._peers = peers
        self._usage = usage
        self._planner = planner
        self._times = times
        self._lease_s = LEASE_FRACTION * times.lease_s
        self._true_time = true_time
        self._observation: Observation | None = None
        self._lease: Lease | None = None
        self._last_held_s = -1e9
        self._reported_windows: set[int] = set()
        # The newest record that this node has read or written; the registry may have
        # lost it.
        self._known_record: DutyRecord | None = None
        # What was unreadable in the last record, which is logged once.
        self._skipped_items: tuple[str, ...] = ()
        self._rollouts = RolloutDuty(state, adapter, lambda: peers.round_s, true_time)
        state.rollouts.await_record()
        self._first_window = usage.window_at(true_time())

    def local_renewal(self) -> tuple[int, int] | None:
        """Return the fencing number and renewal count; None without a valid lease."""
        if not self._may_act():
            return None
        assert self._lease is not None
        return self._lease.record.fence, self._lease.record.renewal

    def reported_window(self) -> int:
        """Return the newest window that is known to be reported, or -1."""
        return max(self._peers.reported_window, *self._reported_windows, -1)

    async def run(self) -> None:
        """Perform the duties or watch their holder; log errors and retry."""
        is_restored = await self._restore_state()
        while True:
            try:
                if not is_restored and self._state.rollouts.enabled:
                    # An order whose decision is not known bars the versions in use.
                    record, _ = await self._read_record()
                    is_restored = await self._restore_rollouts(record)
                if self._lease is not None and self._state.stopping:
                    await self._release()
                elif self._lease is not None:
                    await self._perform()
                elif not self._state.stopping:
                    await self._watch_holder()
            except OffsetConflict as error:
                self._drop_lease(str(error))
            except GatewayError as error:
                self._state.metrics.count("duty_failures", type(error).__name__)
                self._state.events.emit(842, reason=str(error))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _restore_state(self) -> bool:
        """Restore what was used of limits and blocked before this process started.

        Return whether the record was read and the verdicts of all rollouts are known.
        """
        try:
            record, _ = await self._read_record()
        except GatewayError as error:
            # Without the record, the limits of a new node are tighter for a while.
            self._state.events.emit(842, reason=str(error))
            return False
        if record is not None:
            usage_age_s = max(0.0, self._true_time() - record.usage_recorded_s)
            self._state.rate_limiter.restore(
                record.recent_usage, usage_age_s, self._state.clock()
            )
            self._restore_blocks(record.segment_blocks)
        return await self._restore_rollouts(record)

    async def _restore_rollouts(self, record: DutyRecord | None) -> bool:
        """Apply the rollouts of the record; return whether all verdicts are known."""
        rollouts = self._state.rollouts
        if not rollouts.enabled:
            return True
        stored = record.rollouts if record is not None else {}
        for rollout in stored.values():
            rollouts.merge(rollout, "stored")
        may_lack_some = not stored or self._skipped_items
        if may_lack_some and not (
            rollouts.knows_orders and self._state.upstreams_loaded
        ):
            # The record may have been lost. The orders show what it lacks, and the
            # upstreams which versions a success bars.
            return False
        try:
            await self._rollouts.restore_decided(record)
        except GatewayError as error:
            # The other duties do not depend on the statuses.
            self._state.events.emit(842, reason=f"statuses of rollouts: {error}")
            return False
        rollouts.confirm_record()
        return True

    def _restore_blocks(self, encoded: bytes) -> None:
        try:
            blocks = decode_cbor(encoded) if encoded else []
            self._state.segment_suspicions.merge(blocks, None, self._state.clock())
        except DECODE_ERRORS as error:
            self._state.events.emit(842, reason=f"unreadable blocks: {error}")

    async def _watch_holder(self) -> None:
        """Observe the holder's record and take over when it is no longer renewed."""
        now_s = _boottime_s()
        report = self._peers.holder_report
        max_age_s = HOLDER_REPORT_MAX_AGE_S + self._peers.round_s
        if report is not None and self._state.clock() - report.received_s < max_age_s:
            self._observation = None
            return
        if self._state.configuration is None or not self._peers.is_watcher():
            return
        record, end = await self._read_record()
        self._observation = observe(
            self._observation, record, end, self._last_renewal_s(record, now_s)
        )
        if now_s - self._last_held_s < self._times.lease_s:
            # Another node may have held the duties since; holders must not alternate.
            return
        era = era_of(end)
        if may_take_over(self._observation, self._lease_s, now_s, era):
            node_key = self._peers.local_address.key
            await self._append_record(
                take_over_record(
                    newest_record(record, self._known_record),
                    node_key,
                    era,
                    self._highest_fence(),
                ),
                end,
            )
            assert self._lease is not None
            self._state.events.emit(
                840,
                fence=self._lease.record.fence,
                previous=record.holder if record else None,
                era=era_of(self._lease.end_offset),
                offset=offset_of(self._lease.end_offset),
            )
            return
        await asyncio.sleep(
            RECORD_READ_INTERVAL_S * (0.75 + self._state.rng.random() / 2)
        )

    def _last_renewal_s(self, record: DutyRecord | None, now_s: float) -> float:
        """Return when the record became known, possibly by an earlier datagram."""
        report = self._peers.holder_report
        if record is None or report is None:
            return now_s
        if (report.fence, report.renewal) != (record.fence, record.renewal):
            return now_s
        return now_s - (self._state.clock() - report.received_s)

    def _highest_fence(self) -> int:
        report = self._peers.holder_report
        known = 0 if self._known_record is None else self._known_record.fence
        return max(known, 0 if report is None else report.fence)

    def _has_returned(self, end: int) -> bool:
        """Return whether the registry has returned from a copy since it had an end."""
        return era_of(end) != self._adapter.registry.era.value

    async def _carry_over(self) -> None:
        """Write the record of a lease of an earlier era again, under a new number.

        The copy may hold an older record of this node, or that of a node before it.
        """
        assert self._lease is not None
        record, end = await self._read_record()
        if _boottime_s() - self._lease.renewal_started_s > self._lease_s:
            raise OffsetConflict("the lease ended while the registry was away")
        if (
            record is not None
            and is_of_era(record, era_of(end))
            and not self._is_own(record)
        ):
            raise OffsetConflict("another node took the duties in the new era")
        node_key, known = self._peers.local_address.key, self._highest_fence()
        carried = take_over_record(self._lease.record, node_key, era_of(end), known)
        await self._append_record(carried, end)
        if self._lease.record.fence == carried.fence:
            self._state.events.emit(
                845,
                fence=carried.fence,
                copied=None if record is None else record.fence,
                era=era_of(end),
                offset=offset_of(end),
            )

    async def _release(self) -> None:
        """Release the lease, so that another node can take over at once."""
        assert self._lease is not None
        if self._has_returned(self._lease.end_offset):
            self._drop_lease("the registry has returned from a copy")
            return
        record = release_record(self._lease.record)
        await self._append_record(record, self._lease.end_offset)
        if self._lease.record == record:
            self._drop_lease("released")

    async def _perform(self) -> None:
        assert self._lease is not None
        if self._has_returned(self._lease.end_offset):
            await self._carry_over()
        now_s = _boottime_s()
        if (
            not self._may_act()
            and now_s - self._lease.renewal_started_s > self._lease_s
        ):
            # Another node may hold the lease by now, so read the record again.
            record, end = await self._read_record()
            if self._has_returned(self._lease.end_offset):
                raise OffsetConflict("the lease ended before the registry returned")
            if record is None or not self._is_own(record):
                raise OffsetConflict(
                    "another node took over the duties while this one was paused"
                )
            self._lease = replace(self._lease, record=record, end_offset=end)
        finalised = self._finalise_windows(self._lease.record)
        planned = self._rollouts.plan(self._planner.plan(finalised))
        if planned != self._lease.record or should_renew(
            self._lease, self._lease_s, now_s
        ):
            update = replace(
                renewal_record(planned),
                recent_usage=self._state.rate_limiter.recent_usage(self._state.clock()),
                usage_recorded_s=self._true_time(),
                segment_blocks=cbor2.dumps(
                    self._state.segment_suspicions.export(self._state.clock(), only=())
                ),
            )
            await self._append_record(update, self._lease.end_offset)
        record = self._lease.record
        self._rollouts.record_stored(record, record.fence)
        self._rollouts.read_statuses(record)
        self._rollouts.write_states(record, record.fence, self._may_act)
        await self._report_usage()
        await self._place_orders()

    def _finalise_windows(self, record: DutyRecord) -> DutyRecord:
        """Return the record with the final counts of the windows that are complete."""
        times = WindowTimes(
            self._times.window_s, self._true_time(), self._peers.round_s
        )
        first_window, reported = self._first_window, self._peers.reported_window
        if reported <= self._usage.window_at(self._true_time()):
            # The record that had these counts may be lost.
            first_window = max(first_window, reported + 1)
        windows = windows_to_finalise(times, record.reports, first_window)
        if not windows:
            return record
        reports = {
            **record.reports,
            **{each: self._usage.total(each) for each in windows},
        }
        return replace(record, reports=newest_reports(reports))

    async def _report_usage(self) -> None:
        """Report the final counts of windows that are not confirmed yet."""
        cloud = self._adapter.cloud
        if cloud is None or self._lease is None:
            return
        record = self._lease.record
        for window, counts in sorted(record.reports.items()):
            age_s = self._true_time() - self._usage.window_end_s(window)
            if window in self._reported_windows or age_s > REPORT_RETRY_S:
                continue
            if not self._may_act():
                return
            await cloud.report_usage(window, dict(counts), record.fence)
            self._reported_windows.add(window)
            self._state.events.emit(
                843, window=window, fence=record.fence, age_ms=round(1000 * age_s)
            )

    async def _place_orders(self) -> None:
        """Place the orders that the platform has not confirmed yet."""
        cloud = self._adapter.cloud
        if cloud is None or self._lease is None:
            return
        record = self._lease.record
        for order in self._planner.unconfirmed_orders(record):
            if not self._may_act():
                return
            try:
                await cloud.order_engines(order, record.fence)
                self._planner.record_confirmed(order)
                self._emit_order(order, record.fence, "accepted")
            except PlatformRefused as error:
                if error.status in UNAVAILABLE_STATUSES:
                    raise
                self._planner.record_refused(order)
                self._emit_order(order, record.fence, f"refused_{error.status}")

    def _emit_order(self, order: EngineOrder, fence: int, outcome: str) -> None:
        self._state.events.emit(
            844,
            service=order.service,
            data_centre=order.data_centre,
            count=order.count,
            reclaimable=order.reclaimable,
            fence=fence,
            outcome=outcome,
        )

    async def _append_record(self, record: DutyRecord, end: int) -> None:
        """Append the record at offset `end`; the lease starts before the write."""
        began_s = _boottime_s()
        try:
            new_end = await self._adapter.registry.append(
                self._adapter.topics.duties, HOLDER_KEY, encode_record(record), end
            )
        except OffsetConflict:
            if self._has_returned(end):
                # The lease is carried over, or ends, in the next round.
                if self._lease is None:
                    raise
                return
            current, current_end = await self._read_record()
            # An append whose response was lost may have been executed.
            if current is not None and current != record and self._is_own(current):
                # Its lease began no earlier than the one before it.
                assert self._lease is not None
                self._lease = replace(
                    self._lease, record=current, end_offset=current_end
                )
                return
            if current != record:
                raise
            new_end = current_end
        self._lease = Lease(record, new_end, began_s)
        self._known_record = newest_record(record, self._known_record)

    async def _read_record(self) -> tuple[DutyRecord | None, int]:
        listing = await self._adapter.registry.newest(self._adapter.topics.duties)
        records = [each for each in listing.documents if each.key == HOLDER_KEY]
        if not records:
            return None, listing.end_offset
        decoded = decode_record(records[0].value)
        if decoded.skipped != self._skipped_items:
            self._skipped_items = decoded.skipped
            for item in decoded.skipped:
                self._state.events.emit(842, reason=f"skipped in the record: {item}")
        self._known_record = newest_record(decoded.record, self._known_record)
        return decoded.record, listing.end_offset

    def _is_own(self, record: DutyRecord) -> bool:
        """Return whether a record is of the lease that this node holds."""
        return self._lease is not None and (record.holder, record.fence) == (
            self._lease.record.holder,
            self._lease.record.fence,
        )

    def _may_act(self) -> bool:
        return may_act(self._lease, self._lease_s, _boottime_s())

    def _drop_lease(self, reason: str) -> None:
        if self._lease is not None:
            self._last_held_s = _boottime_s()
            fence = self._lease.record.fence
            self._state.events.emit(841, fence=fence, reason=reason)
        self._lease = None
        self._observation = None
        self._planner.reset()
        self._rollouts.reset()


def _boottime_s() -> float:
    """Return the time of a clock that also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
