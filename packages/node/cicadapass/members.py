"""Component that tracks which nodes are alive and which VMs are leaving."""

import contextlib
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import pykka
from expression import Error, Result

from cicadapass.membermessages import (
    IndirectProbeCompleted,
    ListedVm,
    MarkLeaving,
    MembersDependencies,
    MessageReceived,
    ProbeCompleted,
    ProbeNow,
    ProbeTick,
    RefreshVmList,
    SetLocalHints,
    VmListRead,
)
from cicadapass.membertracker import MemberTracker
from cicadapass.peererrors import PeerError, PeerFault
from cicadapass.peers import Inbound, Peers
from cicadapass.supervisor import Component, ComponentRef, Supervisor
from cicadapass.timers import Subscription
from cicadapass_common.exceptions import CicadapassError
from cicadapass_common.messages import LeavingNotice, Message, Probe, ProbeVia
from cicadapass_decisions import leaving, membership
from cicadapass_decisions.membership import MemberState
from cicadapass_decisions.types import NodeAddress, VmId

PROBE_INTERVAL_S = 1.0
# Many times the round trip between data centres, plus time for a handshake.
PROBE_TIMEOUT_S = 0.5
# The intermediate member needs its own probe's timeout plus the round trip.
INDIRECT_PROBE_TIMEOUT_S = 1.2
# A longer gap between two rounds means that this node itself was paused.
MAX_ROUND_GAP_S = 3 * PROBE_INTERVAL_S
# Interval at which each of up to VM_LIST_READERS nodes reads the VM list. In a larger
# fleet each node reads it correspondingly less often, because a node that finds a
# leaving VM notifies the others immediately.
VM_LIST_INTERVAL_S = 2.0
VM_LIST_READERS = 10
VM_LIST_SOURCE = "vm_list"


def register(peers: Peers, component: ComponentRef) -> None:
    """Register the handlers of membership messages, before the peers start."""

    def receive(inbound: Inbound[Any]) -> None:
        component.tell(MessageReceived(inbound))

    peers.set_on_broken(lambda peer: component.tell(ProbeNow(peer.vm)))
    for kind in (Probe, ProbeVia, LeavingNotice):
        peers.handle(kind, receive, pooled=False)


class Members(Component):
    """Own the member table and the leaving marks."""

    def __init__(
        self, supervisor: pykka.ActorRef[Supervisor], dependencies: MembersDependencies
    ) -> None:
        super().__init__(supervisor, "members")
        self._dependencies = dependencies
        self._peers = dependencies.peers
        self._tracker = MemberTracker(dependencies)
        self._indirect_probes: dict[VmId, int] = {}
        self._timers: list[Subscription] = []
        self._vm_list_reader = ThreadPoolExecutor(1, "vm-list")
        self._last_round_s = dependencies.clock()

    def on_start(self) -> None:
        """Restore the state published before a restart, and start the rounds."""
        self._tracker.restore()
        first_delay_s = self._dependencies.rng.uniform(0.01, PROBE_INTERVAL_S)
        tick = self._sender(ProbeTick())
        timers = self._dependencies.timers
        self._timers.append(timers.subscribe(tick, PROBE_INTERVAL_S, first_delay_s))
        self._refresh_vm_list()

    def on_stop(self) -> None:
        """Cancel the rounds and the reading of the VM list."""
        for timer in self._timers:
            timer.cancel()
        self._vm_list_reader.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message: object) -> object:
        """Handle one message; see `membermessages`."""
        match message:
            case ProbeTick():
                self._round()
            case ProbeCompleted(target, result, requested_by):
                self._on_probed(target, result, requested_by)
            case IndirectProbeCompleted(target, result):
                self._on_indirectly_probed(target, result)
            case MessageReceived(inbound):
                self._on_received(inbound)
            case MarkLeaving(vms, source):
                self._broadcast_marks(self._tracker.mark(vms, source))
            case SetLocalHints(config_offset, load):
                self._tracker.set_local_hints(config_offset, load)
            case ProbeNow(vm):
                self._probe_now(vm)
            case RefreshVmList():
                self._refresh_vm_list()
            case VmListRead(result):
                self._on_vm_list(result)
        return None

    def _round(self) -> None:
        """Run one round: expire entries, publish a snapshot and probe one member."""
        now_s = self._dependencies.clock()
        table = self._tracker.table
        if now_s - self._last_round_s > MAX_ROUND_GAP_S:
            # Suspected members could not refute while this node was paused.
            membership.restart_suspicions(table, now_s)
        self._last_round_s = now_s
        self._tracker.expire()
        self._tracker.publish()
        target = membership.choose_probe_target(table, self._dependencies.rng)
        if target is not None:
            self._probe(target)
        for seed in self._dependencies.seeds if not table.members else ():
            self._probe(seed)

    def _probe(
        self, target: NodeAddress, requested_by: Inbound[Message] | None = None
    ) -> None:
        send = self._wrapping_sender(lambda r: ProbeCompleted(target, r, requested_by))
        probe = self._tracker.probe(target.vm)
        self._peers.request_async(target, probe, PROBE_TIMEOUT_S, send)

    def _probe_now(self, vm: VmId) -> None:
        entry = self._tracker.table.members.get(vm)
        if entry and entry.entry.state is MemberState.ALIVE:
            self._probe(entry.entry.address)

    def _on_probed(
        self,
        target: NodeAddress,
        result: Result[Message, PeerError],
        requested_by: Inbound[Message] | None,
    ) -> None:
        if result.is_ok():
            self._merge_reply(result.ok)
        elif result.error.fault is PeerFault.WRONG_NODE:
            now_s = self._dependencies.clock()
            table = self._tracker.table
            self._tracker.apply_effect(membership.on_replaced(table, target.vm, now_s))
        if requested_by is not None:
            sender = requested_by.sender.vm
            known_members = len(self._tracker.table.members)
            requested_by.reply(
                self._tracker.reply(sender, known_members, result.is_ok())
            )
        elif result.is_error():
            self._probe_indirectly(target)

    def _probe_indirectly(self, target: NodeAddress) -> None:
        """Ask other members to probe the target before it is suspected."""
        table = self._tracker.table
        member = table.members.get(target.vm)
        if member is None or member.entry.state is not MemberState.ALIVE:
            return
        probers = membership.on_probe_failed(table, target.vm, self._dependencies.rng)
        self._indirect_probes[target.vm] = len(probers)
        if not probers:
            self._end_indirect_probe(target.vm, False)
        for prober in probers:
            send = self._wrapping_sender(lambda r: IndirectProbeCompleted(target, r))
            message = self._tracker.probe_via(prober.vm, target)
            self._peers.request_async(prober, message, INDIRECT_PROBE_TIMEOUT_S, send)

    def _on_indirectly_probed(
        self, target: NodeAddress, result: Result[Message, PeerError]
    ) -> None:
        reached = False
        if result.is_ok():
            self._merge_reply(result.ok)
            reached = getattr(result.ok, "reached", False)
        if target.vm not in self._indirect_probes:
            return
        self._indirect_probes[target.vm] -= 1
        if reached or self._indirect_probes[target.vm] == 0:
            self._end_indirect_probe(target.vm, reached)

    def _end_indirect_probe(self, target: VmId, reached: bool) -> None:
        del self._indirect_probes[target]
        now_s = self._dependencies.clock()
        table = self._tracker.table
        self._tracker.apply_effect(
            membership.on_indirect_result(table, target, reached, now_s)
        )

    def _on_received(self, inbound: Inbound[Any]) -> None:
        message = inbound.message
        newly_marked: tuple[VmId, ...] = ()
        match message:
            case Probe(entries, marks, _, known_members):
                self._tracker.merge(entries, marks)
                sender = inbound.sender.vm
                inbound.reply(self._tracker.reply(sender, known_members, True))
            case ProbeVia(target, entries, marks):
                self._tracker.merge(entries, marks)
                self._probe(target, inbound)
            case LeavingNotice(marks, forward):
                newly_marked = self._tracker.merge((), marks)
                if newly_marked and forward:
                    notice = self._tracker.leaving_notice(newly_marked, forward=False)
                    self._send(self._tracker.local_members(), notice)

    def _merge_reply(self, message: Any) -> None:
        self._tracker.merge(message.entries, message.marks)

    def _broadcast_marks(self, newly_marked: tuple[VmId, ...]) -> None:
        """Notify the local data centre and some members of each other data centre."""
        if not newly_marked:
            return
        local_notice = self._tracker.leaving_notice(newly_marked, forward=False)
        self._send(self._tracker.local_members(), local_notice)
        remote_notice = self._tracker.leaving_notice(newly_marked, forward=True)
        self._send(self._tracker.forwarders(), remote_notice)

    def _send(self, targets: list[NodeAddress], message: Message) -> None:
        for target in targets:
            self._peers.send(target, message)

    def _refresh_vm_list(self) -> None:
        """Read the VM list in a thread of its own, because the read may block."""

        def read() -> Result[tuple[ListedVm, ...], CicadapassError]:
            try:
                return self._dependencies.read_vm_list()
            except Exception as error:
                return Error(CicadapassError(repr(error), "check the VM list"))

        send = self._wrapping_sender(VmListRead)

        def on_done(future: Future[Any]) -> None:
            if not future.cancelled():
                send(future.result())

        self._vm_list_reader.submit(read).add_done_callback(on_done)

    def _on_vm_list(
        self, result: Result[tuple[ListedVm, ...], CicadapassError]
    ) -> None:
        if result.is_error():
            self._dependencies.events.emit(307, reason=str(result.error))
        else:
            self._apply_vm_list(result.ok)
        interval_factor = max(1.0, len(self._tracker.table.members) / VM_LIST_READERS)
        wait_s = (
            VM_LIST_INTERVAL_S
            * interval_factor
            * self._dependencies.rng.uniform(0.75, 1.25)
        )
        refresh = self._sender(RefreshVmList())
        self._timers[1:] = [self._dependencies.timers.call_later(refresh, wait_s)]

    def _apply_vm_list(self, vms: tuple[ListedVm, ...]) -> None:
        now_s = self._dependencies.clock()
        leaving.refresh_marks(self._tracker.marks, [v.vm for v in vms], now_s)
        self._tracker.add_listed_members([v.node for v in vms if v.node])
        marked = [v.vm for v in vms if v.leaving]
        self._broadcast_marks(self._tracker.mark(marked, VM_LIST_SOURCE))

    def _sender(self, message: object) -> Callable[[], None]:
        """Return a function that sends the message to this component."""
        send = self._wrapping_sender(lambda _: message)
        return lambda: send(None)

    def _wrapping_sender(self, wrap: Callable[[Any], object]) -> Callable[[Any], None]:
        """Return a function that wraps its argument and sends it to this component."""
        ref = self.actor_ref

        def send(value: Any) -> None:
            # A stopped or restarted component needs no late results.
            with contextlib.suppress(pykka.ActorDeadError):
                ref.tell(wrap(value))

        return send
