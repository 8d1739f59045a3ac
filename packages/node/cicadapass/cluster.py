"""Construction of the node's cluster membership: peers, members and copies."""

import random
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pykka

from cicadapass import copies, members
from cicadapass.answerfinder import AnswerFinder, FinderDependencies
from cicadapass.componentrunner import ComponentRunner
from cicadapass.config import AddressSettings, NodeSettings, PeerAddressSettings
from cicadapass.copies import (
    Copies,
    CopiesDependencies,
    DeclaredGone,
    OwnerGone,
)
from cicadapass.copiesmessages import CountCopies
from cicadapass.handover import HandOverDependencies
from cicadapass.membermessages import (
    MarkLeaving,
    MemberCallbacks,
    MembersDependencies,
    ProbeNow,
    SetLocalHints,
)
from cicadapass.members import Members
from cicadapass.membersnapshot import CurrentMembers
from cicadapass.ownership import DropRequest
from cicadapass.peers import Peers
from cicadapass.peerstate import PeerSettings
from cicadapass.placement import Placement, PlacementDependencies
from cicadapass.platformclient import PlatformClient
from cicadapass.progress import ProgressSender
from cicadapass.releases import ReleaseSender
from cicadapass.supervisor import ComponentRef, Supervisor
from cicadapass.timers import TimerService
from cicadapass_common.copymessages import CopiedRequest
from cicadapass_common.events import EventLog
from cicadapass_common.stamps import HybridClock
from cicadapass_decisions.rule_sections import DurabilityRules
from cicadapass_decisions.types import NodeAddress, VmId, qualify

MAX_LOAD = 255
COUNT_COPIES_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class ClusterDependencies:
    """Bundle the collaborators of the cluster.

    `adopt` continues a copied request under an epoch; `on_leaving` gets the VMs
    that are newly marked as leaving.
    """

    settings: NodeSettings
    incarnation: str
    supervisor: pykka.ActorRef[Supervisor]
    events: EventLog
    stamps: HybridClock
    timers: TimerService
    platform: PlatformClient
    ownership: ComponentRef
    rules: Callable[[], DurabilityRules]
    adopt: Callable[[CopiedRequest, int], object]
    on_leaving: Callable[[tuple[VmId, ...]], object]
    rng: random.Random


class Cluster:
    """Own the connections to peers and the components for members and copies."""

    def __init__(self, dependencies: ClusterDependencies) -> None:
        self._dependencies = dependencies
        self._members_ref = ComponentRef("members")
        self._copies_ref = ComponentRef("copies")
        self.peers = Peers(
            _peer_settings(dependencies.settings, dependencies.incarnation),
            dependencies.events,
            dependencies.stamps,
            dependencies.rng,
        )
        self.current_members = CurrentMembers(self.peers.address)
        self._progress = ProgressSender(self.peers, dependencies.events)
        self._releases = ReleaseSender(self.peers, dependencies.timers.call_later)
        self.placement = Placement(
            PlacementDependencies(
                self.current_members,
                self.peers,
                self._progress,
                self._releases,
                dependencies.rules,
                self.on_request_moved,
                dependencies.rng,
            )
        )
        self.finder = AnswerFinder(
            FinderDependencies(
                dependencies.ownership,
                self._copies_ref,
                self.peers,
                self.current_members,
            )
        )
        members.register(self.peers, self._members_ref)
        self.peers.set_on_broken(
            lambda address: self._members_ref.tell(ProbeNow(address.vm))
        )
        copies.register(self.peers, self._copies_ref, self.placement.owner_status)
        self.finder.register()

    def start(self, runner: ComponentRunner) -> None:
        """Listen and start the components; raise OSError if the port is in use."""
        self.peers.start()
        runner.supervise(self._copies_ref, self._start_copies)
        runner.supervise(self._members_ref, self._start_members)

    def stop(self) -> None:
        """Close the connections to peers; pending requests fail."""
        self.peers.stop()

    def on_request_moved(self, request_id: str, epoch: int) -> None:
        """Release a request that another node owns under this epoch."""
        self.placement.forget(request_id)
        self._dependencies.ownership.tell(DropRequest(request_id, epoch))

    def announce(self, config_offset: int, load_ratio: float) -> None:
        """Announce the configuration offset and the load (0.0 to 1.0) by gossip."""
        load = round(min(1.0, max(0.0, load_ratio)) * MAX_LOAD)
        self._members_ref.tell(SetLocalHints(config_offset, load))

    def mark_leaving(self, vms: tuple[VmId, ...], source: str) -> None:
        """Mark VMs as leaving, and notify the other nodes."""
        self._members_ref.tell(MarkLeaving(vms, source))

    def copies_held(self) -> int:
        """Return the number of copies stored for others; may raise pykka.Timeout."""
        return int(self._copies_ref.ask(CountCopies(), COUNT_COPIES_TIMEOUT_S))

    def hand_over_dependencies(self) -> HandOverDependencies:
        """Return the collaborators for handing over this node's requests."""
        return HandOverDependencies(
            self.current_members,
            self.peers,
            self.placement,
            self.on_request_moved,
            self._dependencies.rng,
        )

    def _start_copies(self) -> pykka.ActorRef[Any]:
        dependencies = self._dependencies
        config = CopiesDependencies(
            self.peers,
            dependencies.timers,
            dependencies.events,
            dependencies.adopt,
            dependencies.rules().copies_limit_bytes,
        )
        return Copies.start(dependencies.supervisor, config)

    def _start_members(self) -> pykka.ActorRef[Any]:
        dependencies = self._dependencies
        callbacks = MemberCallbacks(
            on_gone=self._on_gone,
            on_leaving=dependencies.on_leaving,
            on_declared_gone=lambda: self._copies_ref.tell(DeclaredGone()),
        )
        seeds = tuple(
            _seed_address(seed.host, seed.peer_port, dependencies.settings)
            for seed in dependencies.settings.seeds
        )
        config = MembersDependencies(
            self.peers,
            dependencies.timers,
            dependencies.events,
            self.current_members,
            dependencies.platform.read_vm_list,
            dependencies.rng,
            seeds,
            callbacks,
        )
        return Members.start(dependencies.supervisor, config)

    def _on_gone(self, vm: VmId) -> None:
        self._copies_ref.tell(OwnerGone(vm))
        self._progress.on_holder_gone(vm)
        self._releases.on_holder_gone(vm)


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
    # Peers are addressed by IP, and the handshake proves the shared secret.
    context.check_hostname = False
    return context


def _peer_settings(settings: NodeSettings, incarnation: str) -> PeerSettings:
    peers = settings.peers
    advertised = peers.advertised_port is not None
    address = NodeAddress(
        # Different fleets may use the same VM name.
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


def _seed_address(host: str, port: int, settings: NodeSettings) -> NodeAddress:
    return NodeAddress("", "", settings.fleet, settings.data_centre, host, port)
