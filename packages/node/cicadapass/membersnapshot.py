"""What the other parts of the node see of its members."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from cicadapass_decisions.leaving import LeavingEntry
from cicadapass_decisions.membership import GossipEntry, MemberState
from cicadapass_decisions.recovery import Members
from cicadapass_decisions.types import NodeAddress, VmId, qualify


@dataclass(frozen=True, slots=True)
class MembersSnapshot:
    """Hold all members, the node itself included, and the leaving VMs.

    `alive` has the members that nobody doubts by qualified data centre.
    """

    local: NodeAddress
    by_vm: Mapping[VmId, GossipEntry]
    alive: Mapping[str, tuple[GossipEntry, ...]]
    marks: tuple[LeavingEntry, ...] = ()
    leaving: frozenset[VmId] = frozenset()

    def is_gone(self, vm: VmId) -> bool:
        """Return whether the members have agreed that the VM is gone."""
        entry = self.by_vm.get(vm)
        return entry is not None and entry.state is MemberState.GONE

    def is_leaving(self, vm: VmId) -> bool:
        """Return whether the VM gets no new work."""
        return vm in self.leaving

    def for_recovery(self) -> Members:
        """Return the members in the form of the recovery decisions."""
        return Members(self.local, tuple(self.by_vm.values()), self.leaving)


def build_snapshot(
    local: GossipEntry, others: Iterable[GossipEntry], marks: Iterable[LeavingEntry]
) -> MembersSnapshot:
    """Return a snapshot that does not change any more."""
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
    """Publish the latest snapshot; it survives a restart of the part."""

    def __init__(self, local: NodeAddress) -> None:
        entry = GossipEntry(local, MemberState.ALIVE, 0, 0, 0, 0)
        self._snapshot = build_snapshot(entry, (), ())

    @property
    def snapshot(self) -> MembersSnapshot:
        """Return the latest snapshot."""
        return self._snapshot

    def publish(self, snapshot: MembersSnapshot) -> None:
        """Replace the snapshot; only the members part calls this."""
        self._snapshot = snapshot
