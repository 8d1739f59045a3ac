"""Snapshot of the members for the other components of the node."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from cicadapass_decisions.leaving import LeavingEntry
from cicadapass_decisions.membership import GossipEntry, MemberState
from cicadapass_decisions.recovery import MembershipView
from cicadapass_decisions.types import NodeAddress, VmId, qualify


@dataclass(frozen=True, slots=True)
class MembersSnapshot:
    """Represent all members, including the node itself, and the leaving VMs.

    `alive` groups the members that are not suspected by qualified data centre.
    """

    local: NodeAddress
    by_vm: Mapping[VmId, GossipEntry]
    alive: Mapping[str, tuple[GossipEntry, ...]]
    marks: tuple[LeavingEntry, ...] = ()
    leaving: frozenset[VmId] = frozenset()

    def is_gone(self, vm: VmId) -> bool:
        """Return whether the VM is a member that was declared gone."""
        entry = self.by_vm.get(vm)
        return entry is not None and entry.state is MemberState.GONE

    def is_leaving(self, vm: VmId) -> bool:
        """Return whether the VM is leaving and must get no new work."""
        return vm in self.leaving

    def for_recovery(self) -> MembershipView:
        """Return the members as input of the recovery decisions."""
        return MembershipView(self.local, tuple(self.by_vm.values()), self.leaving)


def build_snapshot(
    local: GossipEntry, others: Iterable[GossipEntry], marks: Iterable[LeavingEntry]
) -> MembersSnapshot:
    """Return an immutable snapshot of the entries and marks."""
    by_vm = {local.vm: local} | {e.vm: e for e in others}
    alive = defaultdict(list)
    for entry in by_vm.values():
        if entry.state is MemberState.ALIVE:
            data_centre = qualify(entry.address.fleet, entry.address.data_centre)
            alive[data_centre].append(entry)
    alive_by_data_centre = {
        data_centre: tuple(entries) for data_centre, entries in alive.items()
    }
    leaving_marks = tuple(marks)
    return MembersSnapshot(
        local.address,
        MappingProxyType(by_vm),
        MappingProxyType(alive_by_data_centre),
        leaving_marks,
        frozenset(mark.vm for mark in leaving_marks),
    )


class CurrentMembers:
    """Publish the latest snapshot, which survives a restart of the component."""

    def __init__(self, local: NodeAddress) -> None:
        entry = GossipEntry(local, MemberState.ALIVE, 0, 0, 0, 0)
        self._snapshot = build_snapshot(entry, (), ())

    @property
    def snapshot(self) -> MembersSnapshot:
        """Return the latest snapshot; safe to read in any thread."""
        return self._snapshot

    def publish(self, snapshot: MembersSnapshot) -> None:
        """Replace the snapshot; only the members component calls this."""
        self._snapshot = snapshot
