"""State of the members component: table, leaving marks, snapshot and events."""

from collections.abc import Iterable

from cicadapass.membermessages import MembersDependencies
from cicadapass.membersnapshot import build_snapshot
from cicadapass_common.messages import (
    LeavingNotice,
    Probe,
    ProbeReply,
    ProbeVia,
)
from cicadapass_decisions import gossip, leaving, membership
from cicadapass_decisions.leaving import LeavingEntry
from cicadapass_decisions.membership import (
    GossipEffect,
    GossipEntry,
    MemberState,
    StateChange,
)
from cicadapass_decisions.types import NodeAddress, VmId

ENTRIES_BUDGET_BYTES = 800
MARKS_BUDGET_BYTES = 300
# The entries of 380 members need half of this.
JOIN_BUDGET_BYTES = 64 * 1024
# More than one, so that a single failing member does not delay a mark.
FORWARDERS_PER_DATA_CENTRE = 2


class MemberTracker:
    """Own the member table and the leaving marks for the members component."""

    def __init__(self, dependencies: MembersDependencies) -> None:
        self._dependencies = dependencies
        self._changed = False
        self.table = membership.new_table(dependencies.peers.address)
        self.marks = leaving.LeavingMarks()

    def restore(self) -> None:
        """Restore members and marks from the snapshot published before a restart."""
        now_s = self._dependencies.clock()
        published = self._dependencies.current_members.snapshot
        others = [e for vm, e in published.by_vm.items() if vm != self.table.local.vm]
        membership.apply_gossip(self.table, others, now_s)
        leaving.apply_marks(self.marks, published.marks, now_s)
        self._changed = True
        self.publish()

    def publish(self) -> None:
        """Publish a snapshot if anything changed since the last one."""
        if not self._changed:
            return
        now_s = self._dependencies.clock()
        entries = [leaving.mark_entry(self.marks, vm, now_s) for vm in self.marks.by_vm]
        snapshot = build_snapshot(self.table.local, self.table.entries(), entries)
        self._dependencies.current_members.publish(snapshot)
        self._changed = False

    def set_local_hints(self, config_offset: int, load: int) -> None:
        """Update the hints that the node gossips; the next round publishes them."""
        membership.set_local_hints(self.table, config_offset, load)
        self._changed = True

    def probe(self, target: VmId) -> Probe:
        """Return a probe of the target that carries gossip."""
        entries = gossip.gossip_entries(self.table, ENTRIES_BUDGET_BYTES, target)
        offset, known_members = self.table.local.config_offset, len(self.table.members)
        return Probe(entries, self._marks_to_send(), offset, known_members)

    def probe_via(self, prober: VmId, target: NodeAddress) -> ProbeVia:
        """Return a request to probe the target on this node's behalf, with gossip."""
        entries = gossip.gossip_entries(self.table, ENTRIES_BUDGET_BYTES, prober)
        offset = self.table.local.config_offset
        return ProbeVia(target, entries, self._marks_to_send(), offset)

    def reply(self, sender: VmId, known_members: int, reached: bool) -> ProbeReply:
        """Return the reply to a probe.

        A sender that knows less than half of the members has just joined and gets all
        entries that fit into JOIN_BUDGET_BYTES.
        """
        if 2 * known_members < len(self.table.members):
            entries = gossip.all_entries(self.table, JOIN_BUDGET_BYTES)
        else:
            entries = gossip.gossip_entries(self.table, ENTRIES_BUDGET_BYTES, sender)
        offset = self.table.local.config_offset
        return ProbeReply(entries, self._marks_to_send(), offset, reached)

    def merge(
        self, entries: Iterable[GossipEntry], marks: Iterable[LeavingEntry]
    ) -> tuple[VmId, ...]:
        """Merge gossip and return the VMs that it newly marks as leaving."""
        now_s = self._dependencies.clock()
        self.apply_effect(membership.apply_gossip(self.table, entries, now_s))
        newly_marked = leaving.apply_marks(self.marks, marks, now_s)
        self._on_marked(newly_marked)
        return newly_marked

    def add_listed_members(self, nodes: Iterable[NodeAddress]) -> None:
        """Add the nodes of the VM list that are not in the table."""
        now_s = self._dependencies.clock()
        self.apply_effect(membership.add_listed_members(self.table, nodes, now_s))

    def mark(self, vms: Iterable[VmId], source: str) -> tuple[VmId, ...]:
        """Mark VMs as leaving and return those that were not marked before."""
        now_s = self._dependencies.clock()
        newly_marked = tuple(
            vm for vm in vms if leaving.add_mark(self.marks, vm, source, now_s)
        )
        self._on_marked(newly_marked)
        return newly_marked

    def expire(self) -> None:
        """Remove old marks; declare members gone that did not refute a suspicion."""
        now_s = self._dependencies.clock()
        self.apply_effect(membership.expire_members(self.table, now_s))
        for vm in leaving.expire_marks(self.marks, now_s):
            self._dependencies.events.emit(306, vm=format_vm(vm))
            self._changed = True

    def apply_effect(self, effect: GossipEffect) -> None:
        """Publish and report the changes of the member table."""
        self._changed |= effect.entries_changed or bool(effect.changes)
        if effect.changes:
            self.publish()
        for change in effect.changes:
            self._report(change)
        if effect.declared_gone:
            refutation = self.table.local.refutation
            self._dependencies.events.emit(304, refutation=refutation)
            self._dependencies.callbacks.on_declared_gone()

    def leaving_notice(self, vms: Iterable[VmId], *, forward: bool) -> LeavingNotice:
        """Return a message with the leaving marks of the VMs."""
        now_s = self._dependencies.clock()
        entries = tuple(leaving.mark_entry(self.marks, vm, now_s) for vm in vms)
        return LeavingNotice(entries, forward)

    def local_members(self) -> list[NodeAddress]:
        """Return the other members of the node's data centre."""
        local = self.table.local.address
        return [
            a for a in self._reachable() if _data_centre_of(a) == _data_centre_of(local)
        ]

    def forwarders(self) -> list[NodeAddress]:
        """Return some members of each other data centre, chosen at random."""
        local = self.table.local.address
        groups: dict[tuple[str, str], list[NodeAddress]] = {}
        for address in self._reachable():
            if _data_centre_of(address) != _data_centre_of(local):
                groups.setdefault(_data_centre_of(address), []).append(address)
        chosen = []
        for group in groups.values():
            count = min(FORWARDERS_PER_DATA_CENTRE, len(group))
            chosen += self._dependencies.rng.sample(group, count)
        return chosen

    def _reachable(self) -> list[NodeAddress]:
        gone_state = MemberState.GONE
        return [e.address for e in self.table.entries() if e.state is not gone_state]

    def _marks_to_send(self) -> tuple[LeavingEntry, ...]:
        now_s = self._dependencies.clock()
        return leaving.leaving_entries(self.marks, MARKS_BUDGET_BYTES, now_s)

    def _on_marked(self, newly_marked: tuple[VmId, ...]) -> None:
        if not newly_marked:
            return
        self._changed = True
        self.publish()
        for vm in newly_marked:
            source = self.marks.by_vm[vm].source
            self._dependencies.events.emit(305, vm=format_vm(vm), source=source)
        self._dependencies.callbacks.on_leaving(newly_marked)

    def _report(self, change: StateChange) -> None:
        entry = change.entry
        member, data_centre = format_vm(entry.vm), entry.address.data_centre
        events = self._dependencies.events
        if change.before is None:
            events.emit(300, member=member, data_centre=data_centre)
        elif entry.state is MemberState.ALIVE:
            events.emit(303, member=member, data_centre=data_centre)
        elif entry.state is MemberState.SUSPECT:
            events.emit(301, member=member, data_centre=data_centre)
        else:
            events.emit(302, member=member, data_centre=data_centre)
        if entry.state is MemberState.GONE:
            self._dependencies.callbacks.on_gone(entry.vm)


def format_vm(vm: VmId) -> str:
    """Return the VM in the form that events use: name/incarnation."""
    return f"{vm.name}/{vm.incarnation}"


def _data_centre_of(address: NodeAddress) -> tuple[str, str]:
    return address.fleet, address.data_centre
