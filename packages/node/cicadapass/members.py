"""The part that knows which nodes are alive and which VMs are leaving."""

import contextlib
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import pykka
from expression import Error, Result

from cicadapass.memberbook import MemberBook
from cicadapass.membermessages import (
    ListedVm,
    ListRead,
    MarkLeaving,
    MembersConfig,
    Probed,
    ProbedVia,
    ProbeNow,
    ProbeTick,
    ReadList,
    Received,
    SetOwn,
)
from cicadapass.peererrors import PeerError, PeerFault
from cicadapass.peers import Inbound, Peers
from cicadapass.supervisor import Part, PartRef, Supervisor
from cicadapass.timers import Subscription
from cicadapass_common.exceptions import CicadapassError
from cicadapass_common.messages import LeavingNotice, Message, Probe, ProbeVia
from cicadapass_decisions import leaving, membership
from cicadapass_decisions.membership import MemberState
from cicadapass_decisions.types import NodeAddress, VmId

PROBE_INTERVAL_S = 1.0
# Many times the round trip between data centres, with time for a handshake.
PROBE_TIMEOUT_S = 0.5
# The member that is asked needs its own probe's timeout and the way back.
VIA_TIMEOUT_S = 1.2
# After a longer gap between two rounds, the node itself has been paused.
PAUSE_S = 3 * PROBE_INTERVAL_S
# Ten nodes read the list this often, a larger number correspondingly less often: a
# node that learns of a leaving VM tells the others at once.
LIST_INTERVAL_S = 2.0
LIST_SHARED_BY = 10
VM_LIST_SOURCE = "vm_list"


def register(peers: Peers, part: PartRef) -> None:
    """Let the part handle the messages of membership, before the peers start."""

    def receive(inbound: Inbound[Any]) -> None:
        part.tell(Received(inbound))

    peers.watch(lambda peer: part.tell(ProbeNow(peer.vm)))
    for kind in (Probe, ProbeVia, LeavingNotice):
        peers.handle(kind, receive, pooled=False)


class Members(Part):
    """Own the member table and the leaving marks."""

    def __init__(
        self, supervisor: pykka.ActorRef[Supervisor], config: MembersConfig
    ) -> None:
        super().__init__(supervisor, "members")
        self._config = config
        self._peers = config.peers
        self._book = MemberBook(config)
        self._via: dict[VmId, int] = {}
        self._timers: list[Subscription] = []
        self._list_reader = ThreadPoolExecutor(1, "vm-list")
        self._last_round_s = config.clock()

    def on_start(self) -> None:
        """Take over the state of a failed predecessor and start the rounds."""
        self._book.restore()
        first_s = self._config.rng.uniform(0.01, PROBE_INTERVAL_S)
        tick = self._teller(ProbeTick())
        timers = self._config.timers
        self._timers.append(timers.subscribe(tick, PROBE_INTERVAL_S, first_s))
        self._read_list()

    def on_stop(self) -> None:
        """End the rounds."""
        for timer in self._timers:
            timer.cancel()
        self._list_reader.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message: object) -> object:
        """Handle one message; see `membermessages`."""
        match message:
            case ProbeTick():
                self._round()
            case Probed(target, result, asked_by):
                self._on_probed(target, result, asked_by)
            case ProbedVia(target, result):
                self._on_probed_via(target, result)
            case Received(inbound):
                self._on_received(inbound)
            case MarkLeaving(vms, source):
                self._spread(self._book.mark(vms, source))
            case SetOwn(config_offset, load):
                self._book.set_own(config_offset, load)
            case ProbeNow(vm):
                self._probe_now(vm)
            case ReadList():
                self._read_list()
            case ListRead(result):
                self._on_list(result)
        return None

    def _round(self) -> None:
        """Do the work of each second: expire, publish and probe one member."""
        now_s = self._config.clock()
        table = self._book.table
        if now_s - self._last_round_s > PAUSE_S:
            # Refutations could not arrive while this node was not running.
            membership.restart_suspicions(table, now_s)
        self._last_round_s = now_s
        self._book.expire()
        self._book.publish()
        target = membership.choose_probe(table, self._config.rng)
        if target is not None:
            self._probe(target)
        for seed in self._config.seeds if not table.members else ():
            self._probe(seed)

    def _probe(
        self, target: NodeAddress, asked_by: Inbound[Message] | None = None
    ) -> None:
        tell = self._teller_of(lambda r: Probed(target, r, asked_by))
        probe = self._book.probe(target.vm)
        self._peers.request_async(target, probe, PROBE_TIMEOUT_S, tell)

    def _probe_now(self, vm: VmId) -> None:
        entry = self._book.table.members.get(vm)
        if entry and entry.entry.state is MemberState.ALIVE:
            self._probe(entry.entry.address)

    def _on_probed(
        self,
        target: NodeAddress,
        result: Result[Message, PeerError],
        asked_by: Inbound[Message] | None,
    ) -> None:
        if result.is_ok():
            self._merge_reply(result.ok)
        elif result.error.fault is PeerFault.WRONG_NODE:
            now_s = self._config.clock()
            table = self._book.table
            self._book.take(membership.on_replaced(table, target.vm, now_s))
        if asked_by is not None:
            sender = asked_by.sender.vm
            known = len(self._book.table.members)
            asked_by.reply(self._book.reply(sender, known, result.is_ok()))
        elif result.is_error():
            self._ask_others(target)

    def _ask_others(self, target: NodeAddress) -> None:
        """Let other members probe the target before it is suspected."""
        table = self._book.table
        known = table.members.get(target.vm)
        if known is None or known.entry.state is not MemberState.ALIVE:
            return
        others = membership.on_probe_failed(table, target.vm, self._config.rng)
        self._via[target.vm] = len(others)
        if not others:
            self._conclude(target.vm, False)
        for via in others:
            tell = self._teller_of(lambda r: ProbedVia(target, r))
            message = self._book.probe_via(via.vm, target)
            self._peers.request_async(via, message, VIA_TIMEOUT_S, tell)

    def _on_probed_via(
        self, target: NodeAddress, result: Result[Message, PeerError]
    ) -> None:
        reached = False
        if result.is_ok():
            self._merge_reply(result.ok)
            reached = getattr(result.ok, "reached", False)
        if target.vm not in self._via:
            return
        self._via[target.vm] -= 1
        if reached or self._via[target.vm] == 0:
            self._conclude(target.vm, reached)

    def _conclude(self, target: VmId, reached: bool) -> None:
        del self._via[target]
        now_s = self._config.clock()
        table = self._book.table
        self._book.take(membership.on_indirect_result(table, target, reached, now_s))

    def _on_received(self, inbound: Inbound[Any]) -> None:
        message = inbound.message
        fresh: tuple[VmId, ...] = ()
        match message:
            case Probe(entries, marks, _, known):
                self._book.merge(entries, marks)
                sender = inbound.sender.vm
                inbound.reply(self._book.reply(sender, known, True))
            case ProbeVia(target, entries, marks):
                self._book.merge(entries, marks)
                self._probe(target, inbound)
            case LeavingNotice(marks, forward):
                fresh = self._book.merge((), marks)
                if fresh and forward:
                    notice = self._book.notice(fresh, forward=False)
                    self._send(self._book.neighbours(), notice)

    def _merge_reply(self, message: Any) -> None:
        self._book.merge(message.entries, message.marks)

    def _spread(self, fresh: tuple[VmId, ...]) -> None:
        """Tell the whole data centre, and some members of each other one."""
        if not fresh:
            return
        near = self._book.notice(fresh, forward=False)
        self._send(self._book.neighbours(), near)
        far = self._book.notice(fresh, forward=True)
        self._send(self._book.forwarders(), far)

    def _send(self, targets: list[NodeAddress], message: Message) -> None:
        for target in targets:
            self._peers.send(target, message)

    def _read_list(self) -> None:
        """Read the VM list in its own thread, because it may block for long."""

        def read() -> Result[tuple[ListedVm, ...], CicadapassError]:
            try:
                return self._config.read_vm_list()
            except Exception as error:
                return Error(CicadapassError(repr(error), "check the VM list"))

        tell = self._teller_of(ListRead)

        def on_done(done: Future[Any]) -> None:
            if not done.cancelled():
                tell(done.result())

        self._list_reader.submit(read).add_done_callback(on_done)

    def _on_list(self, result: Result[tuple[ListedVm, ...], CicadapassError]) -> None:
        if result.is_error():
            self._config.events.emit(307, reason=str(result.error))
        else:
            self._use_list(result.ok)
        share = max(1.0, len(self._book.table.members) / LIST_SHARED_BY)
        wait_s = LIST_INTERVAL_S * share * self._config.rng.uniform(0.75, 1.25)
        again = self._teller(ReadList())
        self._timers[1:] = [self._config.timers.call_later(again, wait_s)]

    def _use_list(self, vms: tuple[ListedVm, ...]) -> None:
        now_s = self._config.clock()
        leaving.name_vms(self._book.marks, [v.vm for v in vms], now_s)
        self._book.add_listed([v.node for v in vms if v.node])
        marked = [v.vm for v in vms if v.leaving]
        self._spread(self._book.mark(marked, VM_LIST_SOURCE))

    def _teller(self, message: object) -> Callable[[], None]:
        """Return a function that sends the message to this part."""
        tell = self._teller_of(lambda _: message)
        return lambda: tell(None)

    def _teller_of(self, wrap: Callable[[Any], object]) -> Callable[[Any], None]:
        """Return a function that sends its wrapped argument to this part."""
        ref = self.actor_ref

        def tell(value: Any) -> None:
            # A part that was stopped or restarted needs no late results.
            with contextlib.suppress(pykka.ActorDeadError):
                ref.tell(wrap(value))

        return tell
