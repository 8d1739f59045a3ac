"""Know the versions of streams across the tries of a caller and the ends of nodes.

While a service uses several versions, and for the life of a stream after, the nodes
append the streams that they begin to a log, in batches and beside the answers. A stream
that is taken up and is in no record and in no node's memory has no known version.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from cicadapass_decisions.passthrough import CallKind, Route
from cicadapass_decisions.streamlimits import LIFE_MARGIN_S
from cicadapass_decisions.streamversions import Stream, StreamIndex
from cicadapass_decisions.versionevidence import Finding
from cicadapass_gateway.adapterapi import Registry, Topics
from cicadapass_gateway.exceptions import GatewayError, HistoryExpired
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.streamrecords import (
    MAX_STREAMS_PER_RECORD,
    Row,
    decode_streams,
    encode_streams,
    group_rows,
    is_recordable,
    read_rows,
)
from cicadapass_gateway.versionknowledge import CHECK_INTERVAL_S, VersionKnowledge

# Streams are collected for this long before they are appended or passed on. One that
# begins within it before its node ends cannot be taken up.
BATCH_S = 0.1
# Time in which the record of a stream that broke off at another node may still arrive:
# its batch there, its batch at the node that appends it, and the append.
LATE_RECORD_S = 2 * BATCH_S + 0.1
# Records read at the first take-up: 20 s of the batches of all nodes that append.
MAX_TAIL_RECORDS = 2000
# Callers give a stream up after 2 s without an event; this leaves time for the first.
MAX_WAIT_S = 1.2
# The same, as a part of the time that a caller has left.
MAX_WAIT_FRACTION = 0.5


class StreamVersions:
    """Record at which versions streams begin, and find it for those taken up."""

    def __init__(
        self,
        state: NodeState,
        registry: Registry,
        topics: Topics,
        knowledge: VersionKnowledge,
        pass_on: Callable[[Sequence[Row]], bool],
    ) -> None:
        self._state = state
        self._registry = registry
        self._topics = topics
        self._knowledge = knowledge
        self._limits = knowledge.limits
        # Sends rows to a node that appends them; returns False if this node is to.
        self._pass_on = pass_on
        self._index = StreamIndex()
        # The streams that began at this node.
        self._own = StreamIndex()
        self._unrecorded: dict[Stream, str] = {}
        self._has_unrecorded = asyncio.Event()
        self._records_end = -1
        self._reading: asyncio.Task[None] | None = None
        # Services whose streams are being recorded.
        self._mixed: set[str] = set()
        knowledge.subscribe(self._update_mixed)
        registry.era.subscribe(self._record_rise, lambda *_: None)

    def may_be_taken_up(self, route: Route, service: str) -> bool:
        """Return whether callers may take up streams of a route, now or soon again."""
        return self._limits.may_be_taken_up(route, service)

    def may_continue(self, route: Route, service: str) -> bool:
        """Return whether a request behind an event may go on with a recorded stream."""
        return route.resumable or (
            route.kind is CallKind.STREAM and self._limits.is_tracked(service)
        )

    def record(
        self, service: str, request_id: str | None, version: str, limit_s: float
    ) -> None:
        """Record that a request's stream has begun at a version.

        Its caller may take it up until a time limit.
        """
        self._limits.record_admission(service, limit_s)
        self._knowledge.record_use(service, version)
        stream = Stream(service, request_id or "")
        if not is_recordable(stream):
            return
        now_s = self._state.clock()
        self._index.expire(now_s)
        self._own.expire(now_s)
        ends_s = now_s + LIFE_MARGIN_S + limit_s
        self._index.add(stream, version, ends_s)
        self._own.add(stream, version, ends_s)
        if service in self._mixed:
            self._enqueue([(stream, version)])

    def accept(self, rows: Any) -> None:
        """Append the streams that another node began; raise one of DECODE_ERRORS."""
        streams = read_rows(rows)
        self._store(streams)
        self._enqueue(streams)

    async def find(
        self, service: str, request_id: str | None, deadline_s: float
    ) -> str | None:
        """Return the version at which a request's stream began, or None.

        The request is the one that brought the first event. A node that may not know
        all versions in use asks others before it relies on a single one.
        """
        stream, asked_s = Stream(service, request_id or ""), self._state.clock()
        end_s = asked_s + min(MAX_WAIT_S, MAX_WAIT_FRACTION * (deadline_s - asked_s))
        version, basis = self._indexed(stream), "record"
        while version is None:
            finding = self._knowledge.judge(service, asked_s)
            if finding.is_sole:
                (version,) = self._knowledge.in_use(service)
                basis = finding.value
            elif finding is Finding.SEVERAL:
                version = await self._find_record(stream)
                basis = "unknown" if version is None else "record"
                break
            else:
                now_s, basis = self._state.clock(), finding.value
                if max(now_s, now_s + self._knowledge.remaining_s(service)) >= end_s:
                    break
                await self._knowledge.wait_for_news(service, asked_s)
        self._state.metrics.count("streams_taken_up", basis)
        return version

    async def _find_record(self, stream: Stream) -> str | None:
        """Return the version of a stream by the log of streams, or None."""
        if not self._knowledge.enabled:
            return None
        await self._read()
        if self._indexed(stream) is None and is_recordable(stream):
            await asyncio.sleep(LATE_RECORD_S)
            await self._read()
        return self._indexed(stream)

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

    def _update_mixed(self, service: str) -> None:
        """Begin to record the streams of a service once it uses another version.

        Those that began before may break off as well from now on.
        """
        if not self._knowledge.enabled:
            return
        is_mixed = len(self._knowledge.in_use(service)) > 1
        if is_mixed and service not in self._mixed:
            self._mixed.add(service)
            self._enqueue(self._own.of_service(service, self._state.clock()))
        elif not is_mixed:
            self._mixed.discard(service)

    def _indexed(self, stream: Stream) -> str | None:
        """Return the version of a stream that this node began or read of."""
        return self._index.version(stream, self._state.clock())

    def _store(self, streams: Sequence[tuple[Stream, str]]) -> None:
        now_s = self._state.clock()
        for stream, version in streams:
            self._index.add(
                stream, version, now_s + self._limits.life_s(stream.service)
            )

    def _enqueue(self, streams: Sequence[tuple[Stream, str]]) -> None:
        if streams and self._knowledge.enabled:
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

    def _record_rise(self, before: int, era: int, source: str) -> None:
        """Record again what the registry may have lost."""
        if not before:
            return
        for service in self._mixed:
            self._enqueue(self._own.of_service(service, self._state.clock()))

    def _count_failure(self, error: GatewayError) -> None:
        self._state.metrics.count("stream_record_failures", type(error).__name__)
