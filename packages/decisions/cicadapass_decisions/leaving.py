"""Leaving marks of VMs, a grow-only set within one incarnation of a VM."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from cicadapass_decisions.types import VmId

# A VM that no source has listed for this long no longer exists. A VM that reuses its
# name has another incarnation, so the mark can be removed.
MARK_EXPIRY_S = 3600.0
# Upper bound of the CBOR headers of the array and three strings, and of the age.
ENTRY_OVERHEAD_BYTES = 12
# Number of messages that carry each mark. SWIM needs a small multiple of the binary
# logarithm of the number of members, which is 9 for 380.
MAX_SENDS = 24


@dataclass(frozen=True, slots=True)
class LeavingEntry:
    """Describe a mark for peers; `age_s` counts from its last confirmation."""

    name: str
    incarnation: str
    source: str
    age_s: int

    @property
    def vm(self) -> VmId:
        """Return the id of the leaving VM."""
        return VmId(self.name, self.incarnation)


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """Record the source of a mark, its last confirmation and how often it was sent."""

    source: str
    last_confirmed_s: float
    sends: int = 0


@dataclass(slots=True)
class LeavingMarks:
    """Map VMs to their marks; the component that owns the map changes it in place."""

    by_vm: dict[VmId, LeavingMark] = field(default_factory=dict)


def is_leaving(marks: LeavingMarks, vm: VmId) -> bool:
    """Return whether any source has reported that the VM is leaving."""
    return vm in marks.by_vm


def add_mark(marks: LeavingMarks, vm: VmId, source: str, now_s: float) -> bool:
    """Mark the VM, or confirm its mark; return whether the mark is new."""
    existing = marks.by_vm.get(vm)
    if existing is None:
        marks.by_vm[vm] = LeavingMark(source, now_s)
        return True
    marks.by_vm[vm] = replace(
        existing, last_confirmed_s=max(existing.last_confirmed_s, now_s)
    )
    return False


def apply_marks(
    marks: LeavingMarks, entries: Iterable[LeavingEntry], now_s: float
) -> tuple[VmId, ...]:
    """Merge the marks of a peer and return the newly marked VMs.

    An entry keeps its age, so that peers do not extend each other's marks for ever.
    """
    added = []
    for entry in entries:
        last_confirmed_s = now_s - max(entry.age_s, 0)
        if last_confirmed_s <= now_s - MARK_EXPIRY_S:
            continue
        if add_mark(marks, entry.vm, entry.source, last_confirmed_s):
            added.append(entry.vm)
    return tuple(added)


def refresh_marks(marks: LeavingMarks, vms: Iterable[VmId], now_s: float) -> None:
    """Confirm the marks of the VMs that a source still lists, in whatever state."""
    for vm in vms:
        existing = marks.by_vm.get(vm)
        if existing is not None:
            add_mark(marks, vm, existing.source, now_s)


def expire_marks(marks: LeavingMarks, now_s: float) -> tuple[VmId, ...]:
    """Remove the marks not confirmed for MARK_EXPIRY_S and return their VMs."""
    cutoff_s = now_s - MARK_EXPIRY_S
    expired = tuple(
        vm for vm, mark in marks.by_vm.items() if mark.last_confirmed_s <= cutoff_s
    )
    for vm in expired:
        del marks.by_vm[vm]
    return expired


def leaving_entries(
    marks: LeavingMarks, budget_bytes: int, now_s: float
) -> tuple[LeavingEntry, ...]:
    """Return the marks to send, least often sent first, within the size budget."""
    due = [
        (mark.sends, vm) for vm, mark in marks.by_vm.items() if mark.sends < MAX_SENDS
    ]
    chosen = []
    for _, vm in sorted(due):
        entry = mark_entry(marks, vm, now_s)
        budget_bytes -= mark_bytes(entry)
        if budget_bytes < 0:
            break
        mark = marks.by_vm[vm]
        marks.by_vm[vm] = replace(mark, sends=mark.sends + 1)
        chosen.append(entry)
    return tuple(chosen)


def mark_entry(marks: LeavingMarks, vm: VmId, now_s: float) -> LeavingEntry:
    """Return the mark of a VM as an entry for peers; KeyError if it has none."""
    mark = marks.by_vm[vm]
    age_s = max(0, int(now_s - mark.last_confirmed_s))
    return LeavingEntry(vm.name, vm.incarnation, mark.source, age_s)


def mark_bytes(entry: LeavingEntry) -> int:
    """Return an upper bound of the encoded size of a mark."""
    texts = entry.name, entry.incarnation, entry.source
    return ENTRY_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)
