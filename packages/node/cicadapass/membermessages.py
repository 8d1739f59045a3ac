"""Messages and dependencies of the members component."""

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
    """Represent one VM of the platform's list; `node` is set if it runs a node."""

    vm: VmId
    leaving: bool
    node: NodeAddress | None = None


ReadVmList = Callable[[], Result[tuple[ListedVm, ...], CicadapassError]]


def _ignore_call(*_arguments: object) -> None:
    """Ignore the call, as the default of an unset callback."""


@dataclass(frozen=True, slots=True)
class MemberCallbacks:
    """Bundle the callbacks of the members component; they must not block.

    `on_gone` gets a member that is gone, `on_leaving` the VMs that are newly marked,
    including those of upstreams. `on_declared_gone` is called when the node learns
    that other members had declared it gone.
    """

    on_gone: Callable[[VmId], object] = _ignore_call
    on_leaving: Callable[[tuple[VmId, ...]], object] = _ignore_call
    on_declared_gone: Callable[[], object] = _ignore_call


@dataclass(frozen=True, slots=True)
class MembersDependencies:
    """Bundle the collaborators of the members component."""

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
    """Set the node's gossiped configuration offset and load (0 idle to 255 full)."""

    config_offset: int
    load: int


@dataclass(frozen=True, slots=True)
class MarkLeaving:
    """Mark VMs as leaving, as a notice or a load report from `source` states."""

    vms: tuple[VmId, ...]
    source: str


@dataclass(frozen=True, slots=True)
class ProbeNow:
    """Probe a member at once, because a connection to it broke."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class ProbeTick:
    """Run one probe round; sent every PROBE_INTERVAL_S."""


@dataclass(frozen=True, slots=True)
class RefreshVmList:
    """Read the VM list now."""


@dataclass(frozen=True, slots=True)
class VmListRead:
    """Deliver the VM list that was read, or the error."""

    result: Result[tuple[ListedVm, ...], CicadapassError]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Deliver a membership message of a peer."""

    inbound: Inbound[Message]


@dataclass(frozen=True, slots=True)
class ProbeCompleted:
    """Deliver the result of a direct probe, or of one that `requested_by` asked for."""

    target: NodeAddress
    result: Result[Message, PeerError]
    requested_by: Inbound[Message] | None = None


@dataclass(frozen=True, slots=True)
class IndirectProbeCompleted:
    """Deliver the answer of a member that probed the target for this node."""

    target: NodeAddress
    result: Result[Message, PeerError]
