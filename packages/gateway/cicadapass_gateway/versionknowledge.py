"""Know which versions of each service's engines were in use for the life of a stream.

A node learns of versions from its view of the upstreams, from the streams that it
begins, from its peers and, for the time before it watched, from the record that the
nodes keep in the registry.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

from cicadapass_decisions.logposition import era_of, offset_of
from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.streamlimits import ASSUMED_LIMIT_S
from cicadapass_decisions.streamversions import VersionHistory
from cicadapass_decisions.upstreamview import REAPPEAR_S
from cicadapass_decisions.versionevidence import (
    Finding,
    PeerReport,
    VersionEvidence,
    judge_versions,
)
from cicadapass_gateway.adapterapi import Registry, Topics
from cicadapass_gateway.cbor import finite_number
from cicadapass_gateway.exceptions import GatewayError, OffsetConflict
from cicadapass_gateway.limitknowledge import LimitKnowledge
from cicadapass_gateway.nodeaddress import NodeAddress
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.streamrecords import (
    LIMIT_KEY_PREFIX,
    LimitRecord,
    VersionsRecord,
    decode_records,
    encode_limit,
    encode_versions,
)

# Interval at which the versions in use are compared with the record of them, and the
# pause after a failed append. A version that was not known before is recorded at once.
CHECK_INTERVAL_S = 1.0
# A node that was out of touch for this long may have missed what others recorded.
OUT_OF_TOUCH_S = 2.0
# Longest wait for news of one kind before the evidence is judged again.
NEWS_WAIT_S = 0.1
# The next states of members are awaited for this long before any address is tried.
STATE_WAIT_S = 0.25
# A member that has sent nothing for longer than usual, by this much, may have ended.
SILENCE_S = 0.6
# Ended members that are remembered; each start of a node counts.
MAX_ENDED = 1000
# All nodes together read the upstreams for callers less often than this.
MAX_READS_PER_S = 500.0
# Versions of a service that a peer may name.
MAX_REPORTED_VERSIONS = 16

# The time since each version was observed, in ms, by service.
ReportedVersions = dict[str, dict[str, int]]


@dataclass(frozen=True, slots=True)
class VersionSources:
    """Group the functions by which a node learns what others know of versions."""

    # Reads the registry to its end, and applies what the view of the upstreams lacks.
    confirm_view: Callable[[], Awaitable[None]]
    # Returns each known member with the time of its last state, or None for a node
    # that has lost all of its members.
    members: Callable[[], Sequence[tuple[NodeAddress, float]] | None]
    # Returns the time before a question for which a member's silence counts.
    report_age_s: Callable[[], float]
    # Finds out whether nothing listens at a member's address any more.
    has_ended: Callable[[NodeAddress], Awaitable[bool]]
    # Sends versions to all members at once.
    report: Callable[[ReportedVersions], None]


class VersionKnowledge:
    """Track the versions in use, and on what the knowledge of them rests."""

    def __init__(
        self,
        state: NodeState,
        registry: Registry,
        topics: Topics,
        sources: VersionSources,
        is_recorder: Callable[[], bool],
    ) -> None:
        self._state = state
        self._registry = registry
        self._topics = topics
        self._sources = sources
        self._is_recorder = is_recorder
        self._history = VersionHistory()
        self._limits = LimitKnowledge(state)
        # The records of the versions and of the time limits, by service, and the end
        # of their topic.
        self._records: dict[str, VersionsRecord] = {}
        self._limit_records: dict[str, LimitRecord] = {}
        self._records_end = -1
        # Since when this node has seen each change of the upstreams.
        self._watching_since_s = math.inf
        # When the read of a record began that covers what was before.
        self._covered_s: dict[str, float] = {}
        # When this node learned of the present era.
        self._era_known_s = state.clock()
        # When the whole view was observed last; many callers may ask at one moment.
        self._observed_s = -math.inf
        self._reports: tuple[float, tuple[PeerReport, ...]] = (-math.inf, ())
        # When the last stream began here, by service and version.
        self._used_s: dict[tuple[str, str], float] = {}
        self._has_unrecorded = asyncio.Event()
        self._listeners: list[Callable[[str], None]] = []
        # The calls in progress on behalf of callers, and the last start of the read.
        self._view_read: asyncio.Task[None] | None = None
        self._record_read: asyncio.Task[None] | None = None
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._view_read_s = -math.inf
        self._members_checked_s = -math.inf
        # When the process of a member was found to have ended.
        self._ended: dict[str, float] = {}
        # When this node was last found to be in touch with the registry.
        self._in_touch_s = state.clock()
        registry.era.subscribe(self._record_rise, lambda *_: None)
        self._limits.subscribe(self._apply_longer_life)

    @property
    def limits(self) -> LimitKnowledge:
        """Return what knows for how long streams may last."""
        return self._limits

    @property
    def enabled(self) -> bool:
        """Return whether the platform has topics for the records."""
        return bool(self._topics.streams and self._topics.versions)

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with a service whose versions in use may have changed."""
        self._listeners.append(listener)

    def in_use(self, service: str) -> frozenset[str]:
        """Return the versions at which a stream that still lasts may have begun."""
        return self._history.in_use(
            service, self._state.clock(), self._limits.life_s(service)
        )

    def record_use(self, service: str, version: str) -> None:
        """Record that a stream begins.

        The members hear at once of the first one at a version in a life, as they rely
        on each other's reports while the registry is silent.
        """
        self._observe(service, version)
        now_s, key = self._state.clock(), (service, version)
        if now_s - self._used_s.get(key, -math.inf) >= self._limits.life_s(service):
            self._sources.report({service: {version: 0}})
        self._used_s[key] = now_s

    def observe(self) -> None:
        """Record the versions that have engines now."""
        if not self._state.upstreams_loaded:
            return
        now_s = self._state.clock()
        if now_s == self._observed_s:
            return
        self._observed_s = now_s
        self._watching_since_s = min(self._watching_since_s, now_s)
        self._limits.refresh()
        # A service without a route may get one while streams of before still last.
        present: dict[str, set[str]] = {}
        for record in self._state.upstreams.view.records.values():
            present.setdefault(record.service, set()).add(record.version)
        self._history.observe(present, now_s)
        for service in self._limits.services():
            self._notify(service)

    def observe_upstream(self, record: UpstreamRecord) -> None:
        """Record the version of an upstream that is new to the view."""
        self._observe(record.service, record.version)

    def record_gap(self) -> None:
        """Record that upstreams may have come and gone without this node's notice."""
        if self._watching_since_s < math.inf:
            self._watching_since_s = self._state.clock()

    def export(self) -> ReportedVersions:
        """Return the versions that this node or its peers observed in the last life."""
        if not self.enabled:
            return {}
        now_s = self._state.clock()
        return {
            service: {
                version: int(1000 * age_s)
                for version, age_s in self._history.observed_ages_s(
                    service, now_s, self._limits.life_s(service)
                ).items()
            }
            for service in self._limits.services()
        }

    def merge(self, reported: Any) -> None:
        """Apply the versions that a peer reports; raise one of DECODE_ERRORS."""
        now_s = self._state.clock()
        for service, ages_ms in reported.items():
            if not self._limits.is_tracked(service):
                continue
            seen_s = {
                str(version): now_s - max(0.0, finite_number(age_ms) / 1000)
                for version, age_ms in list(ages_ms.items())[:MAX_REPORTED_VERSIONS]
            }
            self._history.merge(service, seen_s)
            self._notify(service)

    def judge(self, service: str, asked_s: float) -> Finding:
        """Return what is known of the versions since a life before a question."""
        # The view may have changed since the last periodic check.
        self.observe()
        since_s = asked_s - self._limits.life_s(service)
        return judge_versions(
            VersionEvidence(
                asked_s=asked_s,
                in_use=self.in_use(service),
                covers_life=self._watching_since_s <= since_s
                or self._is_covered(service)
                or not self.enabled,
                confirmed_s=self._state.upstreams.replica.confirmed_s,
                settled_s=self._settled_s(service),
                peers=self._peer_reports(),
                report_age_s=self._sources.report_age_s(),
            )
        )

    def remaining_s(self, service: str) -> float:
        """Return the time for which nothing can cover the life of a stream."""
        if self._is_covered(service):
            return 0.0
        now_s = self._state.clock()
        return min(
            self._settled_s(service) - now_s,
            self._watching_since_s + self._limits.life_s(service) - now_s,
        )

    async def wait_for_news(self, service: str, asked_s: float) -> None:
        """Ask the registry and silent members, and wait until something may be new.

        Callers share the calls; a read counts if it began after the question.
        """
        now_s = self._state.clock()
        calls: list[asyncio.Task[Any]] = []
        pause_s = self._state.node_count / MAX_READS_PER_S
        if _is_over(self._view_read) and now_s >= self._view_read_s + pause_s:
            self._view_read_s = now_s
            self._view_read = asyncio.create_task(self._confirm_view())
        if self._view_read is not None and not self._view_read.done():
            calls.append(self._view_read)
        if not self._is_covered(service):
            if _is_over(self._record_read):
                self._record_read = asyncio.create_task(self._try_to_read_record())
            if self._record_read is not None:
                calls.append(self._record_read)
        if now_s >= self._members_checked_s + NEWS_WAIT_S:
            self._members_checked_s = now_s
            self._check_silent_members(asked_s - self._sources.report_age_s())
        calls += self._checks.values()
        if calls:
            await asyncio.wait(
                calls, timeout=NEWS_WAIT_S, return_when=asyncio.FIRST_COMPLETED
            )
        else:
            await asyncio.sleep(min(NEWS_WAIT_S, pause_s))

    async def follow_record(self) -> None:
        """Keep the record of the versions in use up to date, until cancelled."""
        while True:
            self.observe()
            self._check_silent_members(
                self._state.clock() - SILENCE_S - self._sources.report_age_s()
            )
            self._has_unrecorded.clear()
            self._check_contact()
            if self.enabled and self._state.upstreams_loaded:
                try:
                    if self._records_end < 0 or self._has_uncovered():
                        await self._read_record()
                    if self._is_recorder():
                        await self._write_record()
                except OffsetConflict:
                    self._records_end = -1
                except GatewayError as error:
                    self._count_failure(error)
                    await asyncio.sleep(CHECK_INTERVAL_S)
            pause_s = CHECK_INTERVAL_S * self._state.rng.uniform(0.75, 1.25)
            try:
                async with asyncio.timeout(pause_s):
                    await self._has_unrecorded.wait()
            except TimeoutError:
                pass

    def _check_contact(self) -> None:
        """Let the record be read again once this node is no longer out of touch."""
        now_s = self._state.clock()
        if now_s - self._state.upstreams.replica.confirmed_s > OUT_OF_TOUCH_S:
            return
        if now_s - self._in_touch_s > OUT_OF_TOUCH_S + 2 * CHECK_INTERVAL_S:
            self._records_end = -1
        self._in_touch_s = now_s

    def _apply_longer_life(self, service: str) -> None:
        """Record that streams of a service may last longer than before."""
        self._has_unrecorded.set()
        self._notify(service)

    def _observe(self, service: str, version: str) -> None:
        if version not in self.in_use(service):
            self._has_unrecorded.set()
        self._history.observe({service: [version]}, self._state.clock())
        self._notify(service)

    def _notify(self, service: str) -> None:
        for listener in self._listeners:
            listener(service)

    def _is_covered(self, service: str) -> bool:
        """Return whether the record covers what was before this node watched."""
        return self._covered_s.get(service, -math.inf) >= self._watching_since_s

    def _peer_reports(self) -> tuple[PeerReport, ...]:
        """Return the last reports of all members."""
        now_s = self._state.clock()
        if now_s != self._reports[0]:
            members = self._sources.members()
            if members is None:
                reports: tuple[PeerReport, ...] = (PeerReport(-math.inf),)
            else:
                reports = tuple(
                    PeerReport(sent_s, self._ended.get(address.key, math.inf))
                    for address, sent_s in members
                )
            self._reports = now_s, reports
        return self._reports[1]

    def _has_uncovered(self) -> bool:
        """Return whether a new read of the record may show more than this node saw."""
        now_s = self._state.clock()
        return any(
            not self._is_covered(service)
            and self._watching_since_s > now_s - self._limits.life_s(service)
            and self.in_use(service)
            for service in self._limits.services()
        )

    def _settled_s(self, service: str) -> float:
        """Return from when on a read lacks nothing that the registry may have lost.

        A record that was written in the present era shows that the registry has not
        returned from a copy since then.
        """
        record, era = self._records.get(service), self._registry.era.value
        if not era or (record is not None and record.era == era):
            return -math.inf
        return self._era_known_s + REAPPEAR_S

    def _check_silent_members(self, since_s: float) -> None:
        """Find out which of the members have ended that were silent since a time."""
        for address, sent_s in self._sources.members() or ():
            key = address.key
            if sent_s < since_s and key not in self._ended and key not in self._checks:
                self._checks[key] = asyncio.create_task(
                    self._check_member(address, since_s)
                )

    async def _check_member(self, address: NodeAddress, since_s: float) -> bool:
        try:
            await asyncio.sleep(STATE_WAIT_S)
            sent_s = dict(self._sources.members() or ()).get(address, since_s)
            ended = sent_s < since_s and await self._sources.has_ended(address)
        finally:
            self._checks.pop(address.key, None)
        if ended:
            self._ended[address.key] = self._state.clock()
            if len(self._ended) > MAX_ENDED:
                del self._ended[next(iter(self._ended))]
        return ended

    async def _confirm_view(self) -> None:
        try:
            await self._sources.confirm_view()
        except GatewayError as error:
            self._count_failure(error)
            # A registry that refuses is not asked at once again.
            await asyncio.sleep(NEWS_WAIT_S)

    async def _try_to_read_record(self) -> None:
        try:
            await self._read_record()
        except GatewayError as error:
            self._count_failure(error)
            await asyncio.sleep(NEWS_WAIT_S)

    async def _read_record(self) -> None:
        """Read the versions that were in use before this node watched."""
        read_s, era = self._state.clock(), self._registry.era.value
        listing = await self._registry.newest(self._topics.versions)
        now_s = self._state.clock()
        records, limits = decode_records(listing.documents)
        self._records, self._limit_records = records, limits
        for service, limit in limits.items():
            self._limits.restore(service, limit.limit_s)
        end_era = era_of(listing.end_offset)
        for service, record in records.items():
            if not self._has_watched(self._limits.life_s(service)):
                found = limits.get(service)
                has_limit = found is not None and found.era == end_era
                extra_s = 0.0 if has_limit else self._limits.assumed_extra_s(service)
                self._history.restore(service, record.versions, now_s + extra_s)
            if record.era == end_era and era in (0, record.era):
                self._covered_s[service] = read_s
            self._notify(service)
        self._records_end = listing.end_offset

    def _has_watched(self, time_s: float) -> bool:
        """Return whether this node has seen each change for a time."""
        return self._watching_since_s <= self._state.clock() - time_s

    async def _write_record(self) -> None:
        """Append the versions in use and the time limits that differ from the record.

        In a new era, the record is written once the lost entries must be back.
        """
        for service in self._limits.services():
            if self._settled_s(service) > self._state.clock():
                continue
            # The versions come last: only these show that the record is complete.
            await self._write_limit(service)
            await self._write_versions(service)

    async def _write_limit(self, service: str) -> None:
        record, era = self._limit_records.get(service), self._registry.era.value
        limit_s = self._limits.limit_to_record(
            service, None if record is None else record.limit_s
        )
        if record is None or record.era != era:
            if service in self._records and not self._has_watched(ASSUMED_LIMIT_S):
                # Streams from before this node started may last longer than it knows.
                return
            limit_s = self._limits.longest_s(service)
        # A service that has no engines has no versions either.
        if limit_s is None or not self.in_use(service):
            return
        written = LimitRecord(limit_s, era)
        self._records_end = await self._registry.append(
            self._topics.versions,
            LIMIT_KEY_PREFIX + service,
            encode_limit(written),
            self._records_end,
        )
        self._limit_records[service] = written

    async def _write_versions(self, service: str) -> None:
        now_s, record = self._state.clock(), self._records.get(service)
        era = self._registry.era.value
        recorded = frozenset() if record is None else record.versions
        versions = self._history.version_set_to_record(
            service, recorded, now_s, self._limits.life_s(service)
        )
        if versions is None and record is not None and record.era != era:
            versions = recorded | self.in_use(service)
        if versions is None:
            return
        written = VersionsRecord(versions, era)
        self._records_end = await self._registry.append(
            self._topics.versions,
            service,
            encode_versions(written),
            self._records_end,
        )
        self._records[service] = written
        self._covered_s[service] = self._state.clock()
        self._state.events.emit(
            839,
            service=service,
            versions=sorted(versions),
            era=era_of(self._records_end),
            offset=offset_of(self._records_end),
        )

    def _record_rise(self, before: int, era: int, source: str) -> None:
        """Read and write again what the registry may have lost."""
        self._era_known_s = self._state.clock()
        self._records_end = -1
        self._has_unrecorded.set()

    def _count_failure(self, error: GatewayError) -> None:
        self._state.metrics.count("stream_record_failures", type(error).__name__)


def _is_over(task: asyncio.Task[None] | None) -> bool:
    return task is None or task.done()
