"""Follow the platform's registry: the configuration, the upstreams and the nodes."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import cbor2

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.registrychanges import (
    Document,
    PendingChanges,
    read_interval_s,
)
from cicadapass_gateway.adapterapi import Adapter, Listing
from cicadapass_gateway.cbor import decode_cbor
from cicadapass_gateway.exceptions import (
    AnswerBroken,
    ConnectFailed,
    GatewayError,
    HistoryExpired,
)
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.peers import (
    Member,
    NodeAddress,
    Peers,
    decode_address,
    encode_address,
)

# With few nodes, a read of the configuration waits this long for a change; with many,
# longer. The client's time-out then detects a dead connection; until then, peers report
# newer versions.
CONFIGURATION_WAIT_S = 8.0
# The platform limits the wait of a read to 30 s.
MAX_WAIT_S = 25.0
# Each upstream writes an entry every 1.2 s. Reading at this interval limits the calls
# and keeps the view well within the two seconds that a leaving upstream allows.
UPSTREAM_READ_INTERVAL_S = 0.7
# After a longer interval, a listing has fewer bytes than the entries written since.
MAX_CHANGES_INTERVAL_S = 2.0
# Pause after a failed call.
RETRY_PAUSE_S = 0.3
# The registry counts as unavailable to this node once a response is this late.
OVERDUE_S = 0.5
# The registry has an outage if no known node got a response for this long; a node that
# reads rarely would not notice by itself. While the registry refuses only some nodes,
# others still get several responses per second.
OUTAGE_AFTER_S = 1.2
# Without any datagram for this long, a node is isolated and reads as often as a single
# node does.
ISOLATED_AFTER_S = 1.0
# Interval at which a node that waits for its next read checks for isolation.
WAIT_CHECK_INTERVAL_S = 0.2
# Interval at which a node without the registry reads the state of a peer.
PEER_FETCH_INTERVAL_S = 0.7
PEER_FETCH_TIMEOUT_S = 0.6
# Maximum age of the last datagram of a peer to read from; covers six lost datagrams.
PEER_MAX_AGE_S = 1.2
# Interval at which the list of nodes is read; datagrams announce new nodes sooner.
NODES_READ_INTERVAL_S = 20.0


@dataclass(slots=True)
class RegistryStatus:
    """Track the results of the last calls to the registry."""

    last_response_s: float = -1e9
    lost: bool = False


class RegistrySync:
    """Keep the node's view of the registry up to date."""

    def __init__(
        self, state: NodeState, adapter: Adapter, peers: Peers, pool: ClientPool
    ) -> None:
        self._state = state
        self._adapter = adapter
        self._peers = peers
        self._pool = pool
        self._registry_status = RegistryStatus()
        self._documents: dict[str, Document] = {}
        # The offset of the newest applied record of each upstream.
        self._offsets: dict[str, int] = {}
        self._upstreams_end = -1
        self._interval_s = UPSTREAM_READ_INTERVAL_S
        self._pending = PendingChanges()

    @property
    def registry_ok(self) -> bool:
        """Return whether this node's last reads of the registry succeeded."""
        overdue_s = (
            self._state.clock()
            - self._registry_status.last_response_s
            - self._interval_s
        )
        return overdue_s < OVERDUE_S

    @property
    def response_age_s(self) -> float:
        """Return the time since the registry's last response to this node."""
        return self._state.clock() - self._registry_status.last_response_s

    @property
    def upstreams_end(self) -> int:
        """Return the offset of the next entry to read; -1 before the first listing."""
        return self._upstreams_end

    def pending_changes(self) -> list[Document]:
        """Return the changed entries to send with the next datagram."""
        return self._pending.take()

    def apply_changes(self, changes: Iterable[Document], peer: str) -> None:
        """Apply changed entries from a peer; older ones are ignored."""
        if self._upstreams_end < 0:
            # Without a listing, a few changes would look like the whole fleet.
            return
        now_s = self._state.clock()
        self._check_for_outage(now_s)
        if self._apply(changes, "peer", peer):
            self._refresh()

    async def follow_configuration(self) -> None:
        """Apply each new configuration until cancelled."""
        topic = self._adapter.topics.configuration
        end = -1
        while True:
            try:
                if end < 0:
                    listing = await self._adapter.registry.newest(topic)
                    end = listing.end_offset
                    self._adopt_documents(listing.documents)
                else:
                    wait_s = min(
                        MAX_WAIT_S, self._read_interval_s(CONFIGURATION_WAIT_S)
                    )
                    changes = await self._adapter.registry.changes(topic, end, wait_s)
                    end = changes.end_offset
                    self._adopt_documents(changes.documents)
                if self._state.routes is None:
                    await asyncio.sleep(RETRY_PAUSE_S)
            except HistoryExpired:
                end = -1
            except GatewayError as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def follow_upstreams(self) -> None:
        """Read the changes of the upstreams until cancelled."""
        topic = self._adapter.topics.upstreams
        while True:
            read_s = self._state.clock()
            try:
                if self._upstreams_end < 0 or self._interval_s > MAX_CHANGES_INTERVAL_S:
                    self._apply_listing(await self._adapter.registry.newest(topic))
                else:
                    changes = await self._adapter.registry.changes(
                        topic, self._upstreams_end, 0.0
                    )
                    self._upstreams_end = changes.end_offset
                    if self._apply(changes.documents, "registry"):
                        self._refresh()
                self._state.upstreams.view.read_s = read_s
                self._state.upstreams.view.end_offset = self._upstreams_end
                self._record_response()
            except HistoryExpired:
                self._upstreams_end = -1
                continue
            except GatewayError as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            await self._wait_for_next_read()

    async def follow_nodes(self) -> None:
        """Announce this node, then read the list of nodes until cancelled."""
        announced = False
        while True:
            try:
                if not announced:
                    await self._announce()
                    announced = True
                listing = await self._adapter.registry.newest(
                    self._adapter.topics.nodes
                )
                self._add_nodes(listing.documents)
            except GatewayError as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            await asyncio.sleep(self._read_interval_s(NODES_READ_INTERVAL_S))

    async def follow_peers(self) -> None:
        """Read newer state from peers if the registry does not provide it."""
        while True:
            await asyncio.sleep(PEER_FETCH_INTERVAL_S / 2)
            now_s = self._state.clock()
            if self._state.upstreams.view.expire(now_s):
                self._state.upstreams.refresh()
            fresh = [
                member
                for member in self._peers.members.values()
                if now_s - member.last_received_s < PEER_MAX_AGE_S + self._peers.round_s
            ]
            newer = [each for each in fresh if each.version > self._state.version]
            connected = [each for each in fresh if each.registry_ok]
            sources = newer or ([] if self.registry_ok else connected)
            if sources:
                await self._fetch_from_peer(self._state.rng.choice(sources))
                await asyncio.sleep(PEER_FETCH_INTERVAL_S / 2)

    def encode_state(self) -> bytes:
        """Return the configuration and the entries for a peer without the registry."""
        return cbor2.dumps(
            {
                "configuration": self._state.raw_configuration,
                "end": self._upstreams_end,
                "upstreams": [
                    [each.key, each.value, each.offset]
                    for each in self._documents.values()
                ],
            }
        )

    async def _wait_for_next_read(self) -> None:
        """Wait for this node's next read, which is earlier once it is isolated."""
        read_s = self._state.clock()
        self._interval_s = self._read_interval_s(UPSTREAM_READ_INTERVAL_S)
        while True:
            now_s = self._state.clock()
            if now_s - self._peers.last_received_s > ISOLATED_AFTER_S:
                self._interval_s = min(self._interval_s, UPSTREAM_READ_INTERVAL_S)
            remaining_s = read_s + self._interval_s - now_s
            if remaining_s <= 0:
                return
            await asyncio.sleep(min(WAIT_CHECK_INTERVAL_S, remaining_s))

    def _read_interval_s(self, usual_s: float) -> float:
        """Return the interval of this node's share of the reads."""
        now_s = self._state.clock()
        readers = 1 + sum(
            1
            for each in self._peers.members.values()
            if each.registry_ok
            and now_s - each.last_received_s < PEER_MAX_AGE_S + self._peers.round_s
        )
        return read_interval_s(usual_s, readers, self._state.rng)

    async def _fetch_from_peer(self, member: Member) -> None:
        address = member.address
        try:
            async with asyncio.timeout(PEER_FETCH_TIMEOUT_S):
                data = await self._fetch_state(address)
            self._apply_peer_state(decode_cbor(data), address.name)
        except (TimeoutError, AnswerBroken, ConnectFailed) as error:
            self._state.events.emit(821, peer=address.name, reason=repr(error))
        except (KeyError, TypeError, ValueError) as error:
            self._state.events.emit(820, peer=address.name, reason=repr(error))

    async def _fetch_state(self, address: NodeAddress) -> bytes:
        channel = await self._pool.acquire(
            address.host, address.port, PEER_FETCH_TIMEOUT_S
        )
        try:
            host = f"{address.host}:{address.port}".encode()
            channel.send(b"GET", b"/v1/state", [(b"Host", host)], b"")
            await channel.read_head()
            return await channel.read_remaining(64 * 1024 * 1024)
        finally:
            channel.abort()

    def _apply_peer_state(self, peer_state: dict[str, object], peer: str) -> None:
        raw = peer_state["configuration"]
        if isinstance(raw, bytes) and raw:
            self._adopt(raw, "peer")
        end, rows = peer_state["end"], peer_state["upstreams"]
        if self.registry_ok or not isinstance(end, int) or not isinstance(rows, list):
            return
        if end > self._upstreams_end:
            documents = tuple(Document(str(k), bytes(v), int(o)) for k, v, o in rows)
            self._apply_listing(Listing(documents, end), peer)

    def _adopt_documents(self, documents: tuple[Document, ...]) -> None:
        self._record_response()
        for document in documents:
            if document.key == self._adapter.document_codec.configuration_key:
                self._adopt(document.value, "registry")

    def _adopt(self, raw: bytes, source: str) -> None:
        try:
            configuration = self._adapter.document_codec.decode_configuration(raw)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self._state.events.emit(802, source=source, reason=repr(error))
            return
        if self._state.adopt(configuration, raw):
            self._state.metrics.gauge("configuration_version", configuration.version)
            self._state.events.emit(
                801,
                version=configuration.version,
                source=source,
                routes=len(configuration.routes),
            )
            self._state.queue.dispatch()

    def _apply_listing(self, listing: Listing, peer: str = "") -> None:
        """Apply a complete listing; newer changes from peers are kept."""
        is_first = self._upstreams_end < 0
        listed = {each.key for each in listing.documents}
        removed = [
            Document(key, b"", listing.end_offset - 1)
            for key in self._documents
            if key not in listed
        ]
        changed = self._apply([*listing.documents, *removed], "listing", peer)
        self._upstreams_end = listing.end_offset
        self._offsets = {
            key: offset
            for key, offset in self._offsets.items()
            if key in self._documents or offset >= listing.end_offset
        }
        if is_first:
            # A new node has no changes that peers do not know.
            self._pending = PendingChanges()
        if changed or is_first:
            self._refresh()

    def _apply(
        self, documents: Iterable[Document], source: str, peer: str = ""
    ) -> bool:
        """Apply changed entries; return whether the usable upstreams changed."""
        changed = []
        names: dict[str, list[str]] = {"ready": [], "leaving": [], "removed": []}
        for document in documents:
            if document.offset <= self._offsets.get(document.key, -1):
                continue
            self._offsets[document.key] = document.offset
            change = self._apply_document(document)
            if change is not None:
                changed.append(document)
                names[change].append(f"{document.key}@{document.offset}")
        if changed:
            self._pending.add(changed)
            self._state.events.emit(
                831,
                source=source,
                peer=peer,
                view_end=self._upstreams_end,
                ready=names["ready"],
                leaving=names["leaving"],
                removed=names["removed"],
            )
        return bool(changed)

    def _apply_document(self, document: Document) -> str | None:
        """Apply an entry; return the change, or None if its content is the same."""
        now_s = self._state.clock()
        view = self._state.upstreams.view
        if document.value:
            self._documents[document.key] = document
        else:
            self._documents.pop(document.key, None)
        record = self._decode(document) if document.value else None
        if record is None:
            changed, change = view.remove(document.key, now_s), "removed"
        else:
            changed = view.apply(record, now_s, document.offset)
            change = "leaving" if record.leaving else "ready"
        return change if changed else None

    def _decode(self, document: Document) -> UpstreamRecord | None:
        record = self._adapter.document_codec.decode_upstream(
            document.key, document.value
        )
        if record is None:
            self._state.events.emit(832, upstream=document.key, offset=document.offset)
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
            except (TypeError, ValueError) as error:
                self._state.events.emit(820, peer=document.key, reason=repr(error))
                continue
            self._peers.add(address, now_s)

    def _check_for_outage(self, now_s: float) -> None:
        """Record an outage of the registry; entries that expire now may be restored."""
        responses_s = [self._registry_status.last_response_s]
        responses_s += [each.last_response_s for each in self._peers.members.values()]
        age_s = now_s - max(responses_s)
        if (
            age_s > OUTAGE_AFTER_S
            and self._state.upstreams.view.record_registry_failure(now_s)
        ):
            self._state.events.emit(833, response_age_ms=round(1000 * age_s))

    def _record_response(self) -> None:
        now_s = self._state.clock()
        if self._registry_status.lost:
            self._check_for_outage(now_s)
        self._registry_status.last_response_s = now_s
        if self._registry_status.lost:
            self._registry_status.lost = False
            self._state.events.emit(804, offset=self._upstreams_end)

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
