"""Exchange configuration records with peers while the log is unavailable."""

from dataclasses import dataclass

import pykka
from expression import Error, Ok, Result

from cicadapass.configmessages import FetchRequested, OffsetAnnounced
from cicadapass.configview import ConfigFetched
from cicadapass.membersnapshot import CurrentMembers
from cicadapass.peers import Inbound, Peers
from cicadapass.supervisor import ComponentRef
from cicadapass_common.exceptions import CicadapassError
from cicadapass_common.logclient import RawRecord
from cicadapass_common.messages import ConfigFetch, ConfigRecords, LogRecord
from cicadapass_decisions.membership import GossipEntry, MemberState

FETCH_TIMEOUT_S = 2.0
COMPONENT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class ConfigExchange:
    """Fetch records from peers, and answer the fetches of peers."""

    feed: ComponentRef
    peers: Peers
    current_members: CurrentMembers

    def register(self) -> None:
        """Register the handler of fetches; call it before the peers start."""
        self.peers.handle(ConfigFetch, self._on_fetch, pooled=True)

    def announce(self) -> None:
        """Send the feed the highest offset that peers announce by gossip."""
        peer = self._most_advanced_peer()
        if peer is not None:
            self.feed.tell(OffsetAnnounced(peer.config_offset))

    def fetch(self, from_offset: int) -> Result[ConfigFetched, CicadapassError]:
        """Return records or a snapshot of the peer with the highest offset."""
        peer = self._most_advanced_peer()
        if peer is None:
            return Error(CicadapassError("no peer is known", "check the VM list"))
        message = ConfigFetch(from_offset)
        result = self.peers.request(peer.address, message, FETCH_TIMEOUT_S)
        if result.is_error():
            return Error(CicadapassError(str(result.error), "wait for the next try"))
        reply = result.ok
        if not isinstance(reply, ConfigRecords):
            problem = f"the peer answered with {reply.KIND}"
            return Error(CicadapassError(problem, "check the versions of the nodes"))
        records = tuple(RawRecord(r.offset, r.time_s, r.data) for r in reply.records)
        return Ok(ConfigFetched(records, reply.next_offset, reply.snapshot))

    def _most_advanced_peer(self) -> GossipEntry | None:
        snapshot = self.current_members.snapshot
        others = [
            entry
            for vm, entry in snapshot.by_vm.items()
            if vm != snapshot.local.vm and entry.state is not MemberState.GONE
        ]
        return max(others, key=lambda entry: entry.config_offset, default=None)

    def _on_fetch(self, inbound: Inbound[ConfigFetch]) -> None:
        request = FetchRequested(inbound.message.from_offset)
        try:
            fetched = self.feed.ask(request, COMPONENT_TIMEOUT_S)
        except (pykka.Timeout, pykka.ActorDeadError):
            # Without a reply, the peer's request times out and is repeated.
            return
        records = tuple(LogRecord(r.offset, r.time_s, r.data) for r in fetched.records)
        inbound.reply(ConfigRecords(records, fetched.next_offset, fetched.snapshot))
