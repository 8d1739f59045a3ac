"""Know the versions of streams across the tries of a caller and the ends of nodes.

While a service uses several versions, and for the life of a stream after, the nodes
append the streams that they begin to a log, in batches and beside the answers. A stream
that is taken up and is in no record and in no node's memory has no known version.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from cicadapass_decisions.logposition import era_of, offset_of
from cicadapass_decisions.passthrough import Configuration
from cicadapass_decisions.streamversions import (
    Stream,
    StreamIndex,
    VersionHistory,
    longest_time_limits_s,
)
from cicadapass_gateway.adapterapi import Registry, Topics
from cicadapass_gateway.exceptions import (
    GatewayError,
    HistoryExpired,
    OffsetConflict,
)
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.streamrecords import (
    MAX_STREAMS_PER_RECORD,
    Row,
    decode_streams,
    decode_versions,
    encode_streams,
    encode_versions,
    group_rows,
    is_recordable,
    read_rows,
)

# Streams are collected for this long before they are appended or passed on. One that
# begins within it before its node ends cannot be taken up.
BATCH_S = 0.1
# Time in which the record of a stream that broke off at another node may still arrive:
# its batch there, its batch at the node that appends it, and the append.
LATE_RECORD_S = 2 * BATCH_S + 0.1
# Interval at which the versions in use are compared with the record of them, and the
# pause after a failed append. A stream at another version counts at once.
CHECK_INTERVAL_S = 1.0
# A caller may take a stream up until the time limit of its first request, and its
# clock is not that of the node.
LIFE_MARGIN_S = 5.0
# Assumed for a service without a route.
DEFAULT_TIMEOUT_S = 15.0
# Records read at the first take-up: 20 s of the batches of all nodes that append.
MAX_TAIL_RECORDS = 2000


class StreamVersions:
    """Record at which versions streams begin, and find it for those taken up."""

    def __init__(
        self,
        state: NodeState,
        registry: Registry,
        topics: Topics,
        pass_on: Callable[[Sequence[Row]], bool],
        is_recorder: Callable[[], bool],
    ) -> None:
        self._state = state
        self._registry = registry
        self._topics = topics
        # Sends rows to a node that appends them; returns False if this node is to.
        self._pass_on = pass_on
        self._is_recorder = is_recorder
        self._index = StreamIndex()
        # The streams that began at this node.
        self._own = StreamIndex()
        self._history = VersionHistory()
        self._unrecorded: dict[Stream, str] = {}
        self._has_unrecorded = asyncio.Event()
        # The recorded versions in use, by service, and the end of their topic.
        self._recorded_versions: dict[str, frozenset[str]] = {}
        self._versions_end = -1
        self._records_end = -1
        self._reading: asyncio.Task[None] | None = None
        # The time limits of a configuration, which may have thousands of routes.
        self._configuration: Configuration | None = None
        self._time_limits_s: dict[str, float] = {}
        # Services whose streams are being recorded.
        self._mixed: set[str] = set()
        registry.era.subscribe(self._record_rise, lambda *_: None)

    @property
    def enabled(self) -> bool:
        """Return whether the platform has topics for the records."""
        return bool(self._topics.streams and self._topics.versions)

    def record(self, service: str, request_id: str | None, version: str) -> None:
        """Record that a request's stream has begun at a version."""
        now_s = self._state.clock()
        self._history.observe({service: [version]}, now_s)
        stream = Stream(service, request_id or "")
        if not is_recordable(stream):
            return
        ends_s = now_s + self._life_s(service)
        self._index.add(stream, version, ends_s)
        self._own.add(stream, version, ends_s)
        self._update_mixed(service)
        if service in self._mixed:
            self._enqueue([(stream, version)])

    def accept(self, rows: Any) -> None:
        """Append the streams that another node began; raise one of DECODE_ERRORS."""
        streams = read_rows(rows)
        self._store(streams)
        self._enqueue(streams)

    async def find(self, service: str, request_id: str | None) -> str | None:
        """Return the version at which a request's stream began, or None.

        The request is the one that brought the first event.
        """
        stream = Stream(service, request_id or "")
        version = self._known(stream)
        if version is None and self.enabled:
            await self._read()
            version = self._known(stream)
            if version is None and is_recordable(stream):
                await asyncio.sleep(LATE_RECORD_S)
                await self._read()
                version = self._known(stream)
        outcome = "unknown" if version is None else "known"
        self._state.metrics.count("streams_taken_up", outcome)
        return version

    async def follow_versions(self) -> None:
        """Keep the record of the versions in use up to date, until cancelled."""
        while True:
            self.observe()
            if self.enabled:
                try:
                    if self._versions_end < 0:
                        await self._read_versions()
                    elif self._is_recorder():
                        await self._write_versions()
                except OffsetConflict:
                    self._versions_end = -1
                except GatewayError as error:
                    self._count_failure(error)
            await asyncio.sleep(CHECK_INTERVAL_S * self._state.rng.uniform(0.75, 1.25))

    async def append_streams(self) -> None:
        """Append or pass on the streams that began, in batches, until cancelled."""
        while True:
            await self._has_unrecorded.wait()
            await asyncio.sleep(BATCH_S)
            try:
                await self._append_batch()
            except GatewayError as error:
                # They stay in the batch; the pause is that of a failed call.
                self._count_failure(error)
                await asyncio.sleep(CHECK_INTERVAL_S)

    def observe(self) -> None:
        """Record the versions that have engines now."""
        now_s = self._state.clock()
        present: dict[str, set[str]] = {each: set() for each in self._services()}
        for record in self._state.upstreams.view.records.values():
            if record.service in present:
                present[record.service].add(record.version)
        self._history.observe(present, now_s)
        for service in present:
            self._update_mixed(service)
        self._index.expire(now_s)
        self._own.expire(now_s)

    def _services(self) -> dict[str, float]:
        """Return the longest time limit of the streams of each service."""
        configuration = self._state.configuration
        if configuration is not None and configuration is not self._configuration:
            self._configuration = configuration
            self._time_limits_s = longest_time_limits_s(configuration)
        return self._time_limits_s

    def _life_s(self, service: str) -> float:
        return LIFE_MARGIN_S + self._services().get(service, DEFAULT_TIMEOUT_S)

    def _in_use(self, service: str) -> frozenset[str]:
        return self._history.in_use(service, self._state.clock(), self._life_s(service))

    def _update_mixed(self, service: str) -> None:
        """Begin to record the streams of a service once it uses another version.

        Those that began before may break off as well from now on.
        """
        if not self.enabled:
            return
        is_mixed = len(self._in_use(service)) > 1
        if is_mixed and service not in self._mixed:
            self._mixed.add(service)
            self._enqueue(self._own.of_service(service, self._state.clock()))
        elif not is_mixed:
            self._mixed.discard(service)

    def _known(self, stream: Stream) -> str | None:
        """Return the version of a stream as far as this node knows it."""
        version = self._index.version(stream, self._state.clock())
        if version is not None:
            return version
        # Without the record, another version may have been in use before this node.
        if self.enabled and self._versions_end < 0:
            return None
        in_use = self._in_use(stream.service)
        return next(iter(in_use)) if len(in_use) == 1 else None

    def _store(self, streams: Sequence[tuple[Stream, str]]) -> None:
        now_s = self._state.clock()
        for stream, version in streams:
            self._index.add(stream, version, now_s + self._life_s(stream.service))

    def _enqueue(self, streams: Sequence[tuple[Stream, str]]) -> None:
        if streams and self.enabled:
            self._unrecorded.update(streams)
            self._has_unrecorded.set()

    async def _append_batch(self) -> None:
        batch = list(self._unrecorded.items())[:MAX_STREAMS_PER_RECORD]
        if not self._pass_on(group_rows(batch)):
            await self._registry.append(
                self._topics.streams, self._state.node, encode_streams(batch), None
            )
        for stream, _ in batch:
            self._unrecorded.pop(stream, None)
        if not self._unrecorded:
            self._has_unrecorded.clear()
        self._state.metrics.count("streams_recorded", amount=len(batch))

    async def _read(self) -> None:
        """Read what the log has; calls at the same time share one read."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read_records())
        await asyncio.shield(self._reading)

    async def _read_records(self) -> None:
        topic, registry = self._topics.streams, self._registry
        try:
            if self._versions_end < 0:
                await self._read_versions()
            complete = False
            while not complete:
                if self._records_end < 0:
                    changes = await registry.tail(topic, MAX_TAIL_RECORDS)
                else:
                    changes = await registry.changes(topic, self._records_end, 0.0)
                complete = changes.complete or not changes.documents
                self._records_end = changes.end_offset
                for document in changes.documents:
                    self._store(decode_streams(document.value) or [])
        except HistoryExpired:
            # The next read begins anew.
            self._records_end = -1
        except GatewayError as error:
            self._count_failure(error)

    async def _read_versions(self) -> None:
        """Read the versions that were in use before this node, or before an era."""
        listing = await self._registry.newest(self._topics.versions)
        now_s = self._state.clock()
        decoded = {each.key: decode_versions(each.value) for each in listing.documents}
        self._recorded_versions = {
            service: versions
            for service, versions in decoded.items()
            if versions is not None
        }
        for service, versions in self._recorded_versions.items():
            self._history.restore(service, versions, now_s)
            self._update_mixed(service)
        self._versions_end = listing.end_offset

    async def _write_versions(self) -> None:
        """Append the versions in use where they differ from the record."""
        if not self._state.upstreams_loaded:
            return
        for service in self._services():
            versions = self._history.version_set_to_record(
                service,
                self._recorded_versions.get(service, frozenset()),
                self._state.clock(),
                self._life_s(service),
            )
            if versions is None:
                continue
            self._versions_end = await self._registry.append(
                self._topics.versions,
                service,
                encode_versions(versions),
                self._versions_end,
            )
            self._recorded_versions[service] = versions
            self._state.events.emit(
                839,
                service=service,
                versions=sorted(versions),
                era=era_of(self._versions_end),
                offset=offset_of(self._versions_end),
            )

    def _record_rise(self, before: int, era: int, source: str) -> None:
        """Record again what the registry may have lost."""
        if not before:
            return
        self._versions_end = -1
        for service in self._mixed:
            self._enqueue(self._own.of_service(service, self._state.clock()))

    def _count_failure(self, error: GatewayError) -> None:
        self._state.metrics.count("stream_record_failures", type(error).__name__)
