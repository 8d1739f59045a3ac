"""Follow the platform's registry: the configuration, the upstreams and the nodes."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlencode, urlsplit

import cbor2

from cicadapass_decisions.logposition import era_of, offset_of
from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.readsharing import (
    FAILURE_PAUSE_S,
    failure_pause_s,
    read_interval_s,
)
from cicadapass_decisions.topicreplica import Delta, Document
from cicadapass_gateway.adapterapi import Adapter, Changes
from cicadapass_gateway.cbor import decode_cbor
from cicadapass_gateway.exceptions import (
    DECODE_ERRORS,
    GatewayError,
    HistoryExpired,
    PlatformUnavailable,
)
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_gateway.linelimit import LineLimit
from cicadapass_gateway.nodeaddress import decode_address, encode_address
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.peerclient import (
    CONFIGURATION_PATH,
    UPSTREAMS_PATH,
    PeerClient,
    PeerUpstreams,
    decode_configuration,
    decode_upstreams,
    encode_configuration,
    encode_upstreams,
)
from cicadapass_gateway.peers import Member, Peers
from cicadapass_gateway.registryera import report_eras

# With few nodes, a read of the configuration waits this long for a change; with many,
# longer. The client's time-out then detects a dead connection; until then, peers report
# newer versions.
CONFIGURATION_WAIT_S = 8.0
# The platform limits the wait of a read to 30 s.
MAX_WAIT_S = 25.0
# Reading at this interval limits the calls and keeps the view of few nodes recent.
UPSTREAM_READ_INTERVAL_S = 0.7
# A node reads the registry itself once its view is older than this, times a random
# factor so that one read can confirm the views of others. On the platform, a leaving
# upstream may get requests for two to three seconds.
MAX_VIEW_AGE_S = 1.0
VIEW_AGE_SPREAD = 0.25
# The registry counts as unavailable to this node once a response is this late.
OVERDUE_S = 0.5
# The registry has an outage if no node's read confirmed the view for this long. While
# the registry refuses only some nodes, the reads of others confirm it within a second.
# Entries expire after 3.6 s without a heartbeat, so a shorter outage removes none.
OUTAGE_AFTER_S = 2.0
# Interval at which a node that waits for its next read checks the age of its view.
WAIT_CHECK_INTERVAL_S = 0.2
# Interval at which a node that does not watch the configuration reads it, times a
# random factor; it covers what its peers do not report.
UNWATCHED_READ_INTERVAL_S = 60.0
# Interval at which a node checks whether it has become a watcher.
WATCHER_CHECK_INTERVAL_S = 1.0
# A node that watches the configuration itself leaves its own read this time before it
# fetches a newer one from a peer.
WATCHER_FETCH_DELAY_S = 0.35
# Interval at which entries that were held are checked.
HELD_CHECK_INTERVAL_S = 0.35
# Pause after a failed fetch of the changes of upstreams, before the next peer is asked.
FETCH_RETRY_PAUSE_S = 0.05
# Interval at which the list of nodes is read; datagrams announce new nodes sooner.
NODES_READ_INTERVAL_S = 20.0
# The announcements of all nodes in a new era are spread over this time.
ANNOUNCEMENT_SPREAD_S = 2.0
# Lines on entries that cannot be read in a second; the reader may meet many at once.
MAX_SKIPPED_LINES_PER_S = 10
# Characters of an odd key that a log line contains.
MAX_LOGGED_KEY = 80
# Characters of the reason for which an order was skipped.
MAX_LOGGED_REASON = 200
# Interval at which a node checks whether versions wait for a read of the operator's
# topic, times a random factor.
HELD_VERSION_CHECK_S = 0.3

# Called with an upstream whose entry is new or has changed.
UpstreamListener = Callable[[UpstreamRecord], None]


@dataclass(slots=True)
class RegistryStatus:
    """Track the results of the last calls to the registry."""

    last_response_s: float = -1e9
    lost: bool = False


@dataclass(slots=True)
class _Failures:
    """Count the calls of one kind that failed in a row."""

    count: int = 0


class RegistrySync:
    """Keep the node's view of the registry up to date."""

    def __init__(
        self, state: NodeState, adapter: Adapter, peers: Peers, pool: ClientPool
    ) -> None:
        self._state = state
        self._adapter = adapter
        self._peers = peers
        self._peer_client = PeerClient(pool, state.events)
        self._registry_status = RegistryStatus()
        self._replica = state.upstreams.replica
        self._interval_s = UPSTREAM_READ_INTERVAL_S
        # Until a first listing, and once the registry has deleted unread records.
        self._needs_listing = True
        self._behind = asyncio.Event()
        self._newer = asyncio.Event()
        self._configuration_failures = _Failures()
        self._upstream_failures = _Failures()
        self._node_failures = _Failures()
        # The orders that were skipped, by key; listings return them again.
        self._skipped_orders: dict[str, int] = {}
        self._skipped_lines = LineLimit(MAX_SKIPPED_LINES_PER_S, state.clock)
        self._upstream_listeners: list[UpstreamListener] = []
        self._gap_listeners: list[Callable[[], None]] = []
        self._era = adapter.registry.era
        report_eras(self._era, state)

    @property
    def registry_ok(self) -> bool:
        """Return whether this node's last reads of the registry succeeded."""
        overdue_s = (
            self._state.clock()
            - self._registry_status.last_response_s
            - self._interval_s
        )
        return overdue_s < OVERDUE_S

    def subscribe(
        self, on_upstream: UpstreamListener, on_gap: Callable[[], None]
    ) -> None:
        """Call the listeners for new upstreams, and for changes that were missed."""
        self._upstream_listeners.append(on_upstream)
        self._gap_listeners.append(on_gap)

    async def confirm_view(self) -> None:
        """Read the upstreams to the end of their log, beside the periodic reads."""
        try:
            await self._read_upstreams()
        except HistoryExpired:
            self._needs_listing = True
            await self._read_upstreams()

    def view_state(self) -> tuple[int, list[float]]:
        """Return the end of the view of the upstreams and its ages in seconds."""
        return self._replica.end_offset, self._replica.ages_s(self._state.clock())

    def compare_view(self, end_offset: int, ages_s: Sequence[float]) -> None:
        """Compare the view with that of a peer, and fetch what it lacks.

        A view of a later era covers more, whatever its offset.
        """
        self._era.raise_to(era_of(end_offset), "peer")
        self._replica.confirm_by_peer(end_offset, ages_s, self._state.clock())
        if end_offset > self._replica.end_offset:
            self._behind.set()

    def compare_version(self, version: int) -> None:
        """Compare the configuration with that of a peer, and fetch a newer one."""
        if version > self._state.version:
            self._newer.set()

    def apply_marks(self, rows: Sequence[Sequence[Any]], peer: str) -> None:
        """Apply the marks of leaving upstreams that a peer reported."""
        view, now_s = self._state.upstreams.view, self._state.clock()
        added = [
            str(upstream_id)
            for upstream_id, started_ms in rows
            if view.mark_leaving(str(upstream_id), int(started_ms), now_s)
        ]
        if added:
            self._state.events.emit(834, peer=peer, upstreams=added)
            self._state.upstreams.refresh()

    async def follow_configuration(self) -> None:
        """Apply each new configuration until cancelled."""
        topic = self._adapter.topics.configuration
        end = -1
        while True:
            try:
                read_s = self._state.clock()
                if end < 0:
                    listing = await self._adapter.registry.newest(topic)
                    end = listing.end_offset
                    self._adopt_documents(listing.documents)
                    self._state.rollouts.confirm_read(end, read_s)
                else:
                    wait_s = min(
                        MAX_WAIT_S, self._read_interval_s(CONFIGURATION_WAIT_S)
                    )
                    changes = await self._poll_configuration(end, wait_s)
                    end = changes.end_offset
                    self._adopt_documents(changes.documents)
                    if changes.complete:
                        self._state.rollouts.confirm_read(end, read_s)
                if self._state.routes is None:
                    await asyncio.sleep(FAILURE_PAUSE_S)
                else:
                    await self._wait_until_watcher()
            except HistoryExpired:
                end = -1
            except GatewayError as error:
                await self._pause_after(self._configuration_failures, error)

    async def _poll_configuration(self, end: int, wait_s: float) -> Changes:
        """Return the changes of the configuration from an end on.

        A read that waits while the registry returns from a copy may not be answered, so
        it ends once another call or a peer names the later era.
        """
        topic, registry = self._adapter.topics.configuration, self._adapter.registry
        read = asyncio.ensure_future(registry.changes(topic, end, wait_s))
        rise = asyncio.ensure_future(self._era.wait_above(era_of(end)))
        try:
            await asyncio.wait({read, rise}, return_when=asyncio.FIRST_COMPLETED)
            if read.done():
                return read.result()
            raise HistoryExpired(f"{topic}: the registry has returned from a copy")
        finally:
            read.cancel()
            rise.cancel()

    async def follow_held_versions(self) -> None:
        """Read the operator's topic for versions that wait for it, until cancelled.

        The watchers read it first, and their states confirm the views of the others.
        """
        topic, rollouts = self._adapter.topics.configuration, self._state.rollouts
        while True:
            await asyncio.sleep(
                HELD_VERSION_CHECK_S * self._state.rng.uniform(0.75, 1.25)
            )
            is_due = rollouts.has_held_versions and self._peers.is_watcher()
            if not (is_due or rollouts.needs_read()):
                continue
            try:
                read_s = self._state.clock()
                listing = await self._adapter.registry.newest(topic)
                self._adopt_documents(listing.documents)
                rollouts.confirm_read(listing.end_offset, read_s)
            except GatewayError as error:
                await self._pause_after(self._configuration_failures, error)

    async def follow_upstreams(self) -> None:
        """Read the changes of the upstreams until cancelled."""
        while True:
            try:
                await self._read_upstreams()
                self._record_response(self._upstream_failures)
            except HistoryExpired:
                self._needs_listing = True
                continue
            except GatewayError as error:
                await self._pause_after(self._upstream_failures, error)
                continue
            await self._wait_for_next_read()

    async def follow_peer_views(self) -> None:
        """Fetch the changes of upstreams that peers have and this node lacks."""
        while True:
            await self._behind.wait()
            member = self._member_ahead()
            if member is None:
                self._behind.clear()
            elif not await self._fetch_upstreams(member):
                member.view_end = -1
                await asyncio.sleep(FETCH_RETRY_PAUSE_S)

    async def follow_nodes(self) -> None:
        """Announce this node, then read the list of nodes until cancelled.

        It is announced again in each era, as the registry may have lost the record.
        """
        announced_era = -1
        while True:
            era = self._era.value
            try:
                if announced_era != era:
                    await self._announce()
                    announced_era = era
                listing = await self._adapter.registry.newest(
                    self._adapter.topics.nodes
                )
                self._add_nodes(listing.documents)
            except GatewayError as error:
                await self._pause_after(self._node_failures, error)
                continue
            self._node_failures.count = 0
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    self._read_interval_s(NODES_READ_INTERVAL_S)
                ):
                    await self._era.wait_above(era)
                    await asyncio.sleep(
                        ANNOUNCEMENT_SPREAD_S * self._state.rng.random()
                    )

    async def follow_peers(self) -> None:
        """Fetch newer configurations of peers until cancelled."""
        while True:
            await self._newer.wait()
            if self._peers.is_watcher():
                await asyncio.sleep(WATCHER_FETCH_DELAY_S)
            member = self._member_with_newer_version()
            if member is None:
                self._newer.clear()
            elif not await self._fetch_configuration(member):
                await asyncio.sleep(FETCH_RETRY_PAUSE_S)

    async def expire_held_entries(self) -> None:
        """Drop entries that were held and did not reappear, until cancelled."""
        while True:
            await asyncio.sleep(HELD_CHECK_INTERVAL_S)
            if self._state.upstreams.view.expire(self._state.clock()):
                self._state.upstreams.refresh()

    def respond(self, target: bytes) -> bytes | None:
        """Return the response to a peer's request, or None for an unknown path."""
        url = urlsplit(target.decode("latin-1"))
        if url.path == CONFIGURATION_PATH:
            return encode_configuration(self._state.raw_configuration)
        if url.path != UPSTREAMS_PATH:
            return None
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        try:
            start = int(query.get("start", "-1"))
        except ValueError:
            return None
        return self._encode_upstreams(start, query.get("node", ""))

    def _encode_upstreams(self, start: int, peer: str) -> bytes:
        """Return the compressed entries of upstreams that a peer lacks."""
        delta = self._replica.delta(start)
        self._state.events.emit(
            835,
            peer=peer,
            era=era_of(delta.end_offset),
            start=offset_of(start),
            view_end=offset_of(delta.end_offset),
            entries=len(delta.documents),
            complete=delta.complete,
        )
        return encode_upstreams(
            PeerUpstreams(
                delta,
                tuple(self._replica.ages_s(self._state.clock())),
                self._state.upstreams.view.unannounced_marks,
            )
        )

    async def _read_upstreams(self) -> None:
        """Read the registry to its end, which confirms the view.

        Raise PlatformUnavailable for an outdated or empty response, so that the next
        read has a pause before it.
        """
        topic, registry = self._adapter.topics.upstreams, self._adapter.registry
        start, read_s = self._replica.end_offset, self._state.clock()
        if self._needs_listing:
            if start >= 0 and self._member_ahead() is not None:
                # A peer has listed the upstreams in the new era.
                self._needs_listing = False
                self._behind.set()
                return
            listing = await registry.newest(topic)
            end_offset = listing.end_offset
            delta = Delta(listing.documents, end_offset, complete=True)
            self._apply_upstreams(delta, "listing")
            self._needs_listing = False
        else:
            end_offset, at_end = start, False
            while not at_end:
                changes = await registry.changes(topic, end_offset, 0.0)
                if not (changes.complete or changes.documents):
                    raise PlatformUnavailable(f"{topic}: no record at {end_offset}")
                end_offset, at_end = changes.end_offset, changes.complete
                delta = Delta(changes.documents, end_offset, complete=False)
                self._apply_upstreams(delta, "registry")
        if end_offset < start:
            raise PlatformUnavailable(f"{topic}: the listing ends before {start}")
        self._replica.confirm_read(read_s)

    async def _wait_for_next_read(self) -> None:
        """Wait for this node's next read, which is earlier if its view grows old."""
        read_s = self._state.clock()
        self._interval_s = self._read_interval_s(UPSTREAM_READ_INTERVAL_S)
        spread = self._state.rng.uniform(1 - VIEW_AGE_SPREAD, 1 + VIEW_AGE_SPREAD)
        while True:
            now_s = self._state.clock()
            remaining_s = read_s + self._interval_s - now_s
            if remaining_s <= 0 or self._replica.age_s(now_s) > MAX_VIEW_AGE_S * spread:
                return
            await asyncio.sleep(min(WAIT_CHECK_INTERVAL_S, remaining_s))

    def _member_ahead(self) -> Member | None:
        """Return a member whose view covers more, of the local data centre if any."""
        return self._prefer_local(
            each
            for each in self._peers.fresh_members()
            if each.view_end > self._replica.end_offset
        )

    def _read_interval_s(self, usual_s: float) -> float:
        """Return the interval of this node's share of the reads."""
        readers = 1 + sum(each.registry_ok for each in self._peers.fresh_members())
        return read_interval_s(usual_s, readers, self._state.rng)

    async def _wait_until_watcher(self) -> None:
        """Wait until this node is to watch the configuration, or a longer interval."""
        end_s = self._state.clock() + UNWATCHED_READ_INTERVAL_S * (
            0.5 + self._state.rng.random()
        )
        while not self._peers.is_watcher() and self._state.clock() < end_s:
            await asyncio.sleep(WATCHER_CHECK_INTERVAL_S)

    def _member_with_newer_version(self) -> Member | None:
        """Return a member with a newer configuration, a local one if any."""
        return self._prefer_local(
            each
            for each in self._peers.fresh_members()
            if each.version > self._state.version
        )

    def _prefer_local(self, members: Iterable[Member]) -> Member | None:
        """Return one of some members at random, of the local data centre if any."""
        candidates = list(members)
        local = [
            each
            for each in candidates
            if each.address.data_centre == self._state.data_centre
        ]
        return self._state.rng.choice(local or candidates) if candidates else None

    async def _fetch_configuration(self, member: Member) -> bool:
        """Fetch the configuration of a member; return whether it is adopted."""
        raw = await self._peer_client.fetch(
            member.address, CONFIGURATION_PATH, decode_configuration
        )
        if raw:
            self._adopt(raw, "peer")
        if self._state.version >= member.version:
            return True
        # Not asked again before its next datagram.
        member.version = -1
        return False

    async def _fetch_upstreams(self, member: Member) -> bool:
        """Fetch what this node lacks from a member; return whether it succeeded."""
        address, start_s = member.address, self._state.clock()
        query = urlencode({"start": self._replica.end_offset, "node": self._state.node})
        response = await self._peer_client.fetch(
            address, f"{UPSTREAMS_PATH}?{query}", decode_upstreams
        )
        if response is None:
            return False
        delta = response.delta
        # The peer may have restarted and cover less than before.
        member.view_end = delta.end_offset
        if delta.end_offset > self._replica.end_offset:
            self._apply_upstreams(delta, "peer", address.name)
        self._replica.confirm_by_peer(delta.end_offset, response.ages_s, start_s)
        self.apply_marks(response.marks, address.name)
        return True

    def _adopt_documents(self, documents: tuple[Document, ...]) -> None:
        self._record_response(self._configuration_failures)
        for document in documents:
            if document.key == self._adapter.document_codec.configuration_key:
                self._adopt(document.value, "registry")
            elif self._state.rollouts.enabled:
                self._adopt_order(document)

    def _adopt_order(self, document: Document) -> None:
        """Apply an order of a rollout; one that cannot be read costs a line."""
        codec, rollouts = self._adapter.document_codec.rollouts, self._state.rollouts
        service = None if codec is None else codec.service_of_key(document.key)
        if codec is None or service is None:
            return
        # An order that is read again in a later era must not count as a new one.
        offset = offset_of(document.offset)
        try:
            if document.value:
                order = codec.decode_order(service, document.value)
                rollouts.adopt_order(order, offset)
            elif not rollouts.withdraw(service, offset):
                self._log_skipped_order(document, "deleted, not running")
        except DECODE_ERRORS as error:
            self._log_skipped_order(document, str(error))

    def _log_skipped_order(self, document: Document, reason: str) -> None:
        if document.offset <= self._skipped_orders.get(document.key, -1):
            return
        self._skipped_orders[document.key] = document.offset
        self._state.events.emit(
            861,
            key=document.key[:MAX_LOGGED_KEY],
            offset=offset_of(document.offset),
            reason=reason[:MAX_LOGGED_REASON],
        )

    def _adopt(self, raw: bytes, source: str) -> None:
        try:
            configuration = self._adapter.document_codec.decode_configuration(raw)
            adopted = self._state.adopt(configuration, raw)
        except Exception as error:
            # An error that leaves this function ends the task that follows the
            # configuration, and each new start of the task meets the same document.
            self._state.events.emit(802, source=source, reason=repr(error))
            return
        if adopted:
            self._state.metrics.gauge("configuration_version", configuration.version)
            self._state.events.emit(
                801,
                version=configuration.version,
                source=source,
                era=self._era.value,
                routes=len(configuration.routes),
            )
            self._state.queue.dispatch()

    def _apply_upstreams(self, delta: Delta, source: str, peer: str = "") -> None:
        """Apply records or a listing of the upstreams that are new to this node."""
        now_s = self._state.clock()
        self._check_for_outage(now_s)
        view_end = self._replica.end_offset
        from_copy = view_end >= 0 and era_of(view_end) < era_of(delta.end_offset)
        if from_copy:
            # Entries that the copy lacks are written again within that time.
            self._state.upstreams.view.record_outage(now_s)
        applied = self._replica.merge(delta, now_s)
        if (
            source != "registry"
            and view_end >= 0
            and not from_copy
            and self._hides_changes(delta, applied)
        ):
            for on_gap in self._gap_listeners:
                on_gap()
        if (
            self._apply_documents(applied, source, peer, from_copy=from_copy)
            or not self._state.upstreams_loaded
        ):
            self._refresh()

    def _hides_changes(self, delta: Delta, applied: Sequence[Document]) -> bool:
        """Return whether upstreams may have come and gone within what was read.

        A listing lacks them, and a peer passes on their removals alone. A read of the
        log has all of their entries.
        """
        view = self._state.upstreams.view
        return delta.complete or any(
            not each.value and not view.is_known(each.key) for each in applied
        )

    def _apply_documents(
        self,
        documents: Iterable[Document],
        source: str,
        peer: str,
        *,
        from_copy: bool,
    ) -> bool:
        """Apply new records to the view; return whether the upstreams changed."""
        names: dict[str, list[str]] = {"ready": [], "leaving": [], "removed": []}
        for document in documents:
            change = self._apply_document(document, from_copy=from_copy)
            if change is not None:
                names[change].append(f"{document.key}@{offset_of(document.offset)}")
        changed = any(names.values())
        if changed:
            self._state.events.emit(
                831,
                source=source,
                peer=peer,
                era=era_of(self._replica.end_offset),
                view_end=offset_of(self._replica.end_offset),
                ready=names["ready"],
                leaving=names["leaving"],
                removed=names["removed"],
            )
        return changed

    def _apply_document(self, document: Document, *, from_copy: bool) -> str | None:
        """Apply an entry; return the change, or None if its content is the same."""
        now_s = self._state.clock()
        view = self._state.upstreams.view
        record = self._decode(document) if document.value else None
        if record is None:
            changed, change = view.remove(document.key, now_s), "removed"
        else:
            apply = view.apply_from_copy if from_copy else view.apply
            changed = apply(record, now_s)
            change = "leaving" if record.leaving else "ready"
            if changed:
                for on_upstream in self._upstream_listeners:
                    on_upstream(record)
        return change if changed else None

    def _decode(self, document: Document) -> UpstreamRecord | None:
        record = self._adapter.document_codec.decode_upstream(
            document.key, document.value
        )
        if record is None and self._skipped_lines.allows_line():
            self._state.events.emit(
                832,
                upstream=document.key[:MAX_LOGGED_KEY],
                offset=offset_of(document.offset),
                skipped=self._skipped_lines.take_skipped(),
            )
        return record

    def _refresh(self) -> None:
        self._state.upstreams.refresh()
        self._state.upstreams_loaded = True
        self._state.queue.dispatch()

    async def _announce(self) -> None:
        local_address = self._peers.local_address
        await self._adapter.registry.append(
            self._adapter.topics.nodes,
            local_address.name,
            cbor2.dumps(encode_address(local_address)),
            None,
        )

    def _add_nodes(self, documents: tuple[Document, ...]) -> None:
        now_s = self._state.clock()
        for document in documents:
            try:
                address = decode_address(decode_cbor(document.value))
            except DECODE_ERRORS as error:
                self._state.events.emit(820, peer=document.key, reason=repr(error))
                continue
            self._peers.add(address, now_s)

    def _check_for_outage(self, now_s: float) -> None:
        """Record an outage of the registry; entries that expire now may be restored."""
        age_s = self._replica.age_s(now_s)
        if (
            self._state.upstreams_loaded
            and age_s > OUTAGE_AFTER_S
            and self._state.upstreams.view.record_outage(now_s)
        ):
            self._state.events.emit(833, view_age_ms=round(1000 * age_s))

    def _record_response(self, failures: _Failures) -> None:
        failures.count = 0
        now_s = self._state.clock()
        self._registry_status.last_response_s = now_s
        if self._registry_status.lost:
            self._registry_status.lost = False
            self._state.events.emit(
                804,
                era=era_of(self._replica.end_offset),
                offset=offset_of(self._replica.end_offset),
            )

    async def _pause_after(self, failures: _Failures, error: GatewayError) -> None:
        """Record a failed call and wait until the next one.

        A node that cannot serve yet does not wait for longer.
        """
        self._record_failure(error)
        failures.count += 1
        waits = self._state.routes is None or not self._state.upstreams_loaded
        repeats = 1 if waits else failures.count
        await asyncio.sleep(failure_pause_s(repeats, self._state.rng))

    def _record_failure(self, error: GatewayError) -> None:
        self._state.metrics.count("registry_failures", type(error).__name__)
        self._check_for_outage(self._state.clock())
        if not self._registry_status.lost:
            self._registry_status.lost = True
            self._state.events.emit(803, reason=str(error))


def periodic(
    action: Callable[[], None], interval_s: float
) -> Callable[[], Awaitable[None]]:
    """Return a coroutine function that runs an action at an interval forever."""

    async def run() -> None:
        while True:
            await asyncio.sleep(interval_s)
            action()

    return run
