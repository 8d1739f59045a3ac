"""The messages of the members part and what it is built with."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from expression import Result

from cicadapass.membersnapshot import CurrentMembers
from cicadapass.peererrors import PeerError
from cicadapass.peers import Inbound, Peers
from cicadapass.timers import TimerService
from cicadapass_common.events import EventLog
from cicadapass_common.exceptions import CicadapassError
from cicadapass_common.messages import Message
from cicadapass_decisions.types import NodeAddress, VmId


@dataclass(frozen=True, slots=True)
class ListedVm:
    """Hold one VM of the platform's list; `node` is set if it runs a node."""

    vm: VmId
    leaving: bool
    node: NodeAddress | None = None


ReadVmList = Callable[[], Result[tuple[ListedVm, ...], CicadapassError]]


def _ignore_call(*_arguments: object) -> None:
    """Take a call that nobody listens to."""


@dataclass(frozen=True, slots=True)
class MemberCallbacks:
    """Hold the functions that the part calls; they must return at once.

    `on_gone` gets a member that is gone, `on_leaving` the VMs that are newly marked
    (upstreams included); `on_declared_gone` is called when the node learns that the
    others had declared it gone.
    """

    on_gone: Callable[[VmId], object] = _ignore_call
    on_leaving: Callable[[tuple[VmId, ...]], object] = _ignore_call
    on_declared_gone: Callable[[], object] = _ignore_call


@dataclass(frozen=True, slots=True)
class MembersDependencies:
    """Hold what the members part is built with."""

    peers: Peers
    timers: TimerService
    events: EventLog
    current_members: CurrentMembers
    read_vm_list: ReadVmList
    rng: random.Random
    seeds: tuple[NodeAddress, ...] = ()
    callbacks: MemberCallbacks = MemberCallbacks()
    clock: Callable[[], float] = time.monotonic


@dataclass(frozen=True, slots=True)
class SetLocalHints:
    """Announce the node's configuration offset and load (0 idle to 255 full)."""

    config_offset: int
    load: int


@dataclass(frozen=True, slots=True)
class MarkLeaving:
    """Mark VMs that a notice or a load report says are leaving."""

    vms: tuple[VmId, ...]
    source: str


@dataclass(frozen=True, slots=True)
class ProbeNow:
    """Probe a member at once, because a connection to it broke."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class ProbeTick:
    """Ask for the round of each second."""


@dataclass(frozen=True, slots=True)
class RefreshVmList:
    """Ask for the VM list."""


@dataclass(frozen=True, slots=True)
class VmListRead:
    """Hand in the VM list."""

    result: Result[tuple[ListedVm, ...], CicadapassError]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Hand in a message of a peer."""

    inbound: Inbound[Message]


@dataclass(frozen=True, slots=True)
class ProbeCompleted:
    """Hand in the result of a direct probe, or of one on behalf of another node."""

    target: NodeAddress
    result: Result[Message, PeerError]
    requested_by: Inbound[Message] | None = None


@dataclass(frozen=True, slots=True)
class IndirectProbeCompleted:
    """Hand in the answer of a member that was asked to probe the target."""

    target: NodeAddress
    result: Result[Message, PeerError]
