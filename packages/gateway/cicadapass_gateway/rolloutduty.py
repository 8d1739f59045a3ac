"""Decide the rollouts of versions and write their states, as holder of the duties."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from cicadapass_decisions.dutylease import DutyRecord
from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.rolloutevidence import (
    Finding,
    answers_of_new,
    find_fault_at_end,
)
from cicadapass_decisions.rollouts import (
    MIN_ANSWERS,
    FleetLoad,
    Rollout,
    RolloutState,
    Situation,
    can_carry,
    decided,
    next_state,
    settle_s,
)
from cicadapass_gateway.adapterapi import Adapter, RolloutStatus
from cicadapass_gateway.exceptions import GatewayError
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.rolloutmessages import encode_finding

# The status of a success is written at the latest this time before the rollout ends,
# also if a later holder has not told the nodes for long.
LAST_STATUS_S = 0.5


class RolloutDuty:
    """Decide rollouts in the record of the duties, and write what it says."""

    def __init__(
        self,
        state: NodeState,
        adapter: Adapter,
        round_s: Callable[[], float],
        true_time: Callable[[], float],
    ) -> None:
        self._state = state
        self._adapter = adapter
        self._round_s = round_s
        self._true_time = true_time
        # What the log has, by service, and when this node stored a decision in the
        # record, by service and offset.
        self._written: dict[str, tuple[int, RolloutState]] = {}
        self._stored_s: dict[tuple[str, int], float] = {}
        # Why a rollout was decided, until the record is in the log.
        self._reasons: dict[tuple[str, int], tuple[str, Situation, Finding | None]] = {}
        self._writing: asyncio.Task[None] | None = None
        # Rollouts that the record lacks and whose status was read, by service and
        # offset, and the task that reads statuses.
        self._status_read: set[tuple[str, int]] = set()
        self._reading: asyncio.Task[None] | None = None

    def reset(self) -> None:
        """Discard what was known under a lease that ended."""
        self._written.clear()
        self._stored_s.clear()
        self._status_read.clear()

    def plan(self, record: DutyRecord) -> DutyRecord:
        """Return the record with the rollouts that this node knows, decided if due."""
        tracker, configuration = self._state.rollouts, self._state.configuration
        if not tracker.enabled or configuration is None:
            return record
        for stored in record.rollouts.values():
            tracker.merge(stored, "record")
        rollouts = dict(record.rollouts)
        for service, rollout in tracker.rollouts.items():
            if service not in configuration.services and service not in rollouts:
                continue
            if not self._lacks_status(rollout, record):
                rollouts[service] = self._decide(rollout)
        if rollouts == dict(record.rollouts):
            return record
        return replace(record, rollouts=rollouts)

    async def restore_decided(self, record: DutyRecord | None) -> None:
        """Apply the final statuses of the orders that the record does not contain.

        A record may have been lost, or its rollouts unreadable, since these orders were
        decided.
        """
        missing = self._lacking_status(record)
        codec = self._adapter.document_codec.rollouts
        if not missing or codec is None:
            return
        listing = await self._adapter.registry.newest(self._adapter.topics.status)
        values = {each.key: each.value for each in listing.documents}
        for rollout in missing:
            value = values.get(codec.status_key(rollout.service))
            status = codec.decode_status(value) if value else None
            known = self._state.rollouts.rollouts.get(rollout.service)
            if known is None or known.offset != rollout.offset:
                continue
            is_final = status is not None and status.state is not RolloutState.RUNNING
            if status is not None and is_final and status.to == known.to:
                final = decided(self._with_versions_in_use(known), status.state)
                self._state.rollouts.merge(final, "status")
            self._status_read.add((known.service, known.offset))

    def read_statuses(self, record: DutyRecord) -> None:
        """Begin to read the statuses that `plan` needs, unless that is under way."""
        if self._reading is not None and not self._reading.done():
            return
        if self._lacking_status(record):
            self._reading = asyncio.create_task(self._read_statuses(record))

    async def _read_statuses(self, record: DutyRecord) -> None:
        try:
            await self.restore_decided(record)
        except GatewayError as error:
            self._state.metrics.count("duty_failures", type(error).__name__)
            self._state.events.emit(842, reason=f"statuses of rollouts: {error}")

    def _lacking_status(self, record: DutyRecord | None) -> list[Rollout]:
        """Return the running rollouts whose status is to be read."""
        rollouts = self._state.rollouts.rollouts.values()
        return [each for each in rollouts if self._lacks_status(each, record)]

    def _lacks_status(self, rollout: Rollout, record: DutyRecord | None) -> bool:
        """Return whether a rollout may be decided already, unknown to the record."""
        is_recorded = record is not None and rollout.service in record.rollouts
        is_read = (rollout.service, rollout.offset) in self._status_read
        return rollout.running and not is_recorded and not is_read

    def record_stored(self, record: DutyRecord, fence: int) -> None:
        """Apply the decisions of a record that is in the log, and tell the nodes."""
        for rollout in record.rollouts.values():
            if rollout.running:
                continue
            key = (rollout.service, rollout.offset)
            if key not in self._stored_s:
                self._stored_s[key] = self._state.clock()
                self._log_decision(rollout, fence)
            self._state.rollouts.merge(rollout, "record")

    def write_states(
        self, record: DutyRecord, fence: int, may_act: Callable[[], bool]
    ) -> None:
        """Begin to write the states that the log lacks, unless that is under way."""
        if self._writing is not None and not self._writing.done():
            return
        due = [each for each in record.rollouts.values() if self._is_due(each)]
        if due and self._adapter.document_codec.rollouts is not None:
            self._writing = asyncio.create_task(self._write(due, fence, may_act))

    async def _write(
        self, due: list[Rollout], fence: int, may_act: Callable[[], bool]
    ) -> None:
        for rollout in due:
            try:
                await self._write_state(rollout, fence, may_act)
            except GatewayError as error:
                self._state.metrics.count("duty_failures", type(error).__name__)
                self._state.events.emit(865, service=rollout.service, reason=str(error))

    async def _write_state(
        self, rollout: Rollout, fence: int, may_act: Callable[[], bool]
    ) -> None:
        """Write a state unless the log has it; an answer that was lost is read back."""
        codec = self._adapter.document_codec.rollouts
        assert codec is not None
        topic, registry = self._adapter.topics.status, self._adapter.registry
        key = codec.status_key(rollout.service)
        status = RolloutStatus(rollout.to, rollout.state)
        listing = await registry.newest(topic)
        values = [each.value for each in listing.documents if each.key == key]
        if not values or codec.decode_status(values[0]) != status:
            if not may_act():
                return
            # A late write of a former holder does not replace a newer state.
            await registry.append(
                topic, key, codec.encode_status(status), listing.end_offset
            )
        self._written[rollout.service] = (rollout.offset, rollout.state)
        self._state.events.emit(
            864,
            service=rollout.service,
            to=rollout.to,
            state=rollout.state.value,
            fence=fence,
        )

    def _is_due(self, rollout: Rollout) -> bool:
        """Return whether the log lacks a state that may be written now."""
        if self._written.get(rollout.service) == (rollout.offset, rollout.state):
            return False
        if rollout.state is not RolloutState.SUCCEEDED:
            return True
        # The platform stops the old engines upon the status, so that all nodes first
        # learn to send them nothing.
        now_s = self._state.clock()
        stored_s = self._stored_s.get((rollout.service, rollout.offset), now_s)
        left_s = rollout.seen_s + rollout.duration_s - self._true_time()
        return now_s - stored_s >= settle_s(self._round_s()) or left_s <= LAST_STATUS_S

    def _decide(self, rollout: Rollout) -> Rollout:
        """Return a rollout as it is, or decided."""
        if not rollout.running:
            return rollout
        tracker, service = self._state.rollouts, rollout.service
        evidence = tracker.evidence(service)
        at_once, at_end = (
            tracker.finding(service),
            find_fault_at_end(evidence, tracker.trial_engine_count(service)),
        )
        situation = Situation(
            now_s=self._true_time(),
            bad_at_once=at_once is not None,
            bad_at_end=at_end is not None,
            answers=answers_of_new(evidence),
            old=self._fleet(service, lambda each: each.version != rollout.to),
            new=self._fleet(service, lambda each: each.version == rollout.to),
            round_s=self._round_s(),
        )
        state = next_state(rollout, situation)
        if state is None:
            return rollout
        reason = _reason(rollout, situation, state)
        self._reasons[service, rollout.offset] = reason, situation, at_once or at_end
        return decided(self._with_versions_in_use(rollout), state)

    def _with_versions_in_use(self, rollout: Rollout) -> Rollout:
        """Return a rollout that trusts the versions that get requests now as well."""
        in_use = self._state.rollouts.versions_in_use(rollout.service) - {rollout.to}
        return replace(rollout, trusted=rollout.trusted | in_use)

    def _fleet(
        self, service: str, includes: Callable[[UpstreamRecord], bool]
    ) -> FleetLoad:
        """Return the engines of some versions that may get requests, and their work."""
        upstreams, now_s = self._state.upstreams, self._state.clock()
        records = [
            each
            for each in upstreams.view.usable().values()
            if each.service == service and includes(each)
        ]
        return FleetLoad(
            engines=len(records),
            slots=sum(each.slots for each in records),
            running=sum(upstreams.meter(each).running(now_s) for each in records),
        )

    def _log_decision(self, rollout: Rollout, fence: int) -> None:
        known = self._reasons.pop((rollout.service, rollout.offset), None)
        if known is None:
            # A former holder decided it.
            return
        reason, situation, finding = known
        self._state.metrics.count("rollouts_decided", rollout.state.value)
        self._state.events.emit(
            863,
            service=rollout.service,
            to=rollout.to,
            offset=rollout.offset,
            state=rollout.state.value,
            reason=reason,
            elapsed_ms=round(1000 * (situation.now_s - rollout.seen_s)),
            answers=situation.answers,
            new_engines=situation.new.engines,
            new_slots=situation.new.slots,
            old_engines=situation.old.engines,
            old_slots=situation.old.slots,
            running=situation.old.running + situation.new.running,
            evidence=None if finding is None else encode_finding(finding),
            fence=fence,
        )


def _reason(rollout: Rollout, situation: Situation, state: RolloutState) -> str:
    """Return the word of the event for why a rollout was decided."""
    if rollout.withdrawn:
        return "withdrawn"
    if state is RolloutState.SUCCEEDED:
        return "unchanged" if rollout.to in rollout.trusted else "sound"
    if situation.bad_at_once or situation.bad_at_end:
        return "evidence"
    if situation.answers < MIN_ANSWERS:
        return "unknown"
    return "late" if can_carry(situation.old, situation.new) else "capacity"
