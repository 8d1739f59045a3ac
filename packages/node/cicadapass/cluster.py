"""The node's part in the cluster: peers, members, copies and their wiring."""

import random
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pykka

from cicadapass import copies, members
from cicadapass.answerfinder import AnswerFinder, FinderParts
from cicadapass.config import AddressSettings, NodeSettings, PeerAddressSettings
from cicadapass.copies import (
    Copies,
    CopiesConfig,
    DeclaredGone,
    OwnerGone,
)
from cicadapass.copiesmessages import CountCopies
from cicadapass.handover import HandOverParts
from cicadapass.membermessages import (
    MarkLeaving,
    MemberCallbacks,
    MembersConfig,
    ProbeNow,
    SetOwn,
)
from cicadapass.members import Members
from cicadapass.membersnapshot import MembersBoard
from cicadapass.ownership import DropRequest
from cicadapass.parts import Parts
from cicadapass.peers import Peers
from cicadapass.peerstate import PeerSettings
from cicadapass.placement import Placement, PlacementParts
from cicadapass.platformclient import PlatformClient
from cicadapass.progress import ProgressSender
from cicadapass.releases import ReleaseSender
from cicadapass.supervisor import PartRef, Supervisor
from cicadapass.timers import TimerService
from cicadapass_common.copymessages import CopiedRequest
from cicadapass_common.events import EventLog
from cicadapass_common.stamps import StampClock
from cicadapass_decisions.rule_sections import DurabilityRules
from cicadapass_decisions.types import NodeAddress, VmId, qualify

LOAD_MAX = 255
COUNT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class ClusterParts:
    """Hold what the cluster needs of the rest of the node.

    `adopt` continues a copied request under an epoch; `on_leaving` gets the VMs
    that are newly marked as leaving.
    """

    settings: NodeSettings
    incarnation: str
    supervisor: pykka.ActorRef[Supervisor]
    events: EventLog
    stamps: StampClock
    timers: TimerService
    platform: PlatformClient
    ownership: PartRef
    rules: Callable[[], DurabilityRules]
    adopt: Callable[[CopiedRequest, int], object]
    on_leaving: Callable[[tuple[VmId, ...]], object]
    rng: random.Random


class Cluster:
    """Own what connects this node to the others."""

    def __init__(self, parts: ClusterParts) -> None:
        self._parts = parts
        self._members = PartRef("members")
        self._copies = PartRef("copies")
        self.peers = Peers(
            _peer_settings(parts.settings, parts.incarnation),
            parts.events,
            parts.stamps,
            parts.rng,
        )
        self.board = MembersBoard(self.peers.address)
        self._progress = ProgressSender(self.peers, parts.events)
        self._releases = ReleaseSender(self.peers, parts.timers.call_later)
        self.placement = Placement(
            PlacementParts(
                self.board,
                self.peers,
                self._progress,
                self._releases,
                parts.rules,
                self.moved,
                parts.rng,
            )
        )
        self.finder = AnswerFinder(
            FinderParts(parts.ownership, self._copies, self.peers, self.board)
        )
        members.register(self.peers, self._members)
        self.peers.watch(lambda address: self._members.tell(ProbeNow(address.vm)))
        copies.register(self.peers, self._copies, self.placement.owner_status)
        self.finder.register()

    def start(self, parts: Parts) -> None:
        """Listen for peers and start the parts; raise OSError if a port is taken."""
        self.peers.start()
        parts.keep(self._copies, self._start_copies)
        parts.keep(self._members, self._start_members)

    def stop(self) -> None:
        """Close the connections to peers."""
        self.peers.stop()

    def moved(self, request_id: str, epoch: int) -> None:
        """Give up a request that another node owns under this epoch."""
        self.placement.forget(request_id)
        self._parts.ownership.tell(DropRequest(request_id, epoch))

    def announce(self, config_offset: int, load_ratio: float) -> None:
        """Let gossip carry the configuration's offset and the node's load."""
        load = round(min(1.0, max(0.0, load_ratio)) * LOAD_MAX)
        self._members.tell(SetOwn(config_offset, load))

    def mark_leaving(self, vms: tuple[VmId, ...], source: str) -> None:
        """Spread that VMs leave."""
        self._members.tell(MarkLeaving(vms, source))

    def copies_held(self) -> int:
        """Return the number of copies held for other nodes."""
        return int(self._copies.ask(CountCopies(), COUNT_TIMEOUT_S))

    def hand_over_parts(self) -> HandOverParts:
        """Return what the hand-over of this node's requests needs."""
        return HandOverParts(
            self.board, self.peers, self.placement, self.moved, self._parts.rng
        )

    def _start_copies(self) -> pykka.ActorRef[Any]:
        parts = self._parts
        config = CopiesConfig(
            self.peers,
            parts.timers,
            parts.events,
            parts.adopt,
            parts.rules().copies_limit_bytes,
        )
        return Copies.start(parts.supervisor, config)

    def _start_members(self) -> pykka.ActorRef[Any]:
        parts = self._parts
        callbacks = MemberCallbacks(
            on_gone=self._on_gone,
            on_leaving=parts.on_leaving,
            on_declared_gone=lambda: self._copies.tell(DeclaredGone()),
        )
        seeds = tuple(
            _seed(seed.host, seed.peer_port, parts.settings)
            for seed in parts.settings.seeds
        )
        config = MembersConfig(
            self.peers,
            parts.timers,
            parts.events,
            self.board,
            parts.platform.read_vm_list,
            parts.rng,
            seeds,
            callbacks,
        )
        return Members.start(parts.supervisor, config)

    def _on_gone(self, vm: VmId) -> None:
        self._copies.tell(OwnerGone(vm))
        self._progress.holder_gone(vm)
        self._releases.holder_gone(vm)


def _server_tls(address: AddressSettings) -> ssl.SSLContext | None:
    if address.certificate is None or address.private_key is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(address.certificate, address.private_key)
    return context


def _client_tls(address: PeerAddressSettings) -> ssl.SSLContext | None:
    if address.certificate is None:
        return None
    context = ssl.create_default_context(cafile=address.authority)
    # Peers are named by IP address, and the handshake proves the shared secret.
    context.check_hostname = False
    return context


def _peer_settings(settings: NodeSettings, incarnation: str) -> PeerSettings:
    peers = settings.peers
    advertised = peers.advertised_port is not None
    address = NodeAddress(
        # Both fleets may use the same VM name.
        qualify(settings.fleet, settings.name),
        incarnation,
        settings.fleet,
        settings.data_centre,
        peers.advertised_host or peers.host,
        peers.advertised_port or peers.port,
    )
    return PeerSettings(
        address=address,
        secret=settings.shared_secret.encode(),
        listen_host=peers.host,
        listen_port=peers.port if advertised else None,
        server_tls=_server_tls(peers),
        client_tls=_client_tls(peers),
    )


def _seed(host: str, port: int, settings: NodeSettings) -> NodeAddress:
    return NodeAddress("", "", settings.fleet, settings.data_centre, host, port)
