"""Tell the nodes of the data centre of this node's requests in flight."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from cicadapass.granting import Granting
from cicadapass.membersnapshot import MembersBoard
from cicadapass.peers import Inbound, Peers
from cicadapass.upstreamtable import PeerCounts
from cicadapass_common.messages import InFlight as InFlightMessage
from cicadapass_common.messages import InFlightCount
from cicadapass_decisions.scoring import InFlight
from cicadapass_decisions.types import qualify

INTERVAL_S = 0.5
# Bounds the messages of a node in a large data centre.
MAX_RECEIVERS = 8


@dataclass(frozen=True, slots=True)
class LoadSharing:
    """Hold what the exchange of in-flight counts needs."""

    granting: Granting
    peers: Peers
    board: MembersBoard
    adopt: Callable[[PeerCounts], object]
    rng: random.Random

    def register(self) -> None:
        """Take the counts of other nodes, before the peers start."""
        self.peers.handle(InFlightMessage, self._on_counts, pooled=False)

    def share(self) -> None:
        """Send the counts to some nodes of the data centre."""
        snapshot = self.board.snapshot
        place = qualify(snapshot.own.fleet, snapshot.own.data_centre)
        near = [
            entry.address
            for entry in snapshot.alive.get(place, ())
            if entry.vm != snapshot.own.vm
        ]
        if not near:
            return
        message = InFlightMessage(tuple(self._counts()))
        for address in self.rng.sample(near, min(len(near), MAX_RECEIVERS)):
            self.peers.send(address, message)

    def _counts(self) -> list[InFlightCount]:
        return [
            InFlightCount(upstream, count.short, count.long, count.tokens_left)
            for upstream, count in self.granting.in_flight().items()
        ]

    def _on_counts(self, inbound: Inbound[InFlightMessage]) -> None:
        counts = {
            item.upstream: InFlight(item.short, item.long, item.tokens_left)
            for item in inbound.message.counts
        }
        self.adopt(PeerCounts(inbound.sender.name, counts))
