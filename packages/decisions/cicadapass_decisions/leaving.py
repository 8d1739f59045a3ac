"""Leaving marks of VMs: grow-only within one incarnation."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from cicadapass_decisions.types import VmId

# A VM that no source has named for this long does not exist any more. Names of VMs
# come back with another incarnation, so the mark is not needed after that.
MARK_EXPIRY_S = 3600.0
# Array head, age and the heads of three texts in CBOR.
ENTRY_OVERHEAD_BYTES = 12
# Each change is passed on this many times; SWIM needs a small multiple of the
# logarithm of the number of members, which is 9 for 380.
MAX_SENDS = 24


@dataclass(frozen=True, slots=True)
class LeavingEntry:
    """Hold one mark for peers; the age counts from when a source last named the VM."""

    name: str
    incarnation: str
    source: str
    age_s: int

    @property
    def vm(self) -> VmId:
        """Return the VM that leaves."""
        return VmId(self.name, self.incarnation)


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """Hold what is known about one leaving VM."""

    source: str
    last_named_s: float
    sends: int = 0


@dataclass(slots=True)
class LeavingMarks:
    """Own the marks by VM; one part changes the table in place."""

    by_vm: dict[VmId, LeavingMark] = field(default_factory=dict)


def is_leaving(marks: LeavingMarks, vm: VmId) -> bool:
    """Return whether any source has said that the VM leaves."""
    return vm in marks.by_vm


def add_mark(marks: LeavingMarks, vm: VmId, source: str, now_s: float) -> bool:
    """Mark the VM and return whether this is new."""
    existing = marks.by_vm.get(vm)
    if existing is None:
        marks.by_vm[vm] = LeavingMark(source, now_s)
        return True
    marks.by_vm[vm] = replace(existing, last_named_s=max(existing.last_named_s, now_s))
    return False


def apply_marks(
    marks: LeavingMarks, entries: Iterable[LeavingEntry], now_s: float
) -> tuple[VmId, ...]:
    """Merge marks of peers and return the VMs that were not marked before.

    An entry keeps its age, so that peers do not keep each other's marks alive.
    """
    added = []
    for entry in entries:
        last_named_s = now_s - max(entry.age_s, 0)
        if last_named_s <= now_s - MARK_EXPIRY_S:
            continue
        if add_mark(marks, entry.vm, entry.source, last_named_s):
            added.append(entry.vm)
    return tuple(added)


def refresh_marks(marks: LeavingMarks, vms: Iterable[VmId], now_s: float) -> None:
    """Keep the marks of VMs that a source still names, in whatever state."""
    for vm in vms:
        existing = marks.by_vm.get(vm)
        if existing is not None:
            add_mark(marks, vm, existing.source, now_s)


def expire_marks(marks: LeavingMarks, now_s: float) -> tuple[VmId, ...]:
    """Drop and return the VMs that no source has named for MARK_EXPIRY_S."""
    limit_s = now_s - MARK_EXPIRY_S
    expired = tuple(
        vm for vm, mark in marks.by_vm.items() if mark.last_named_s <= limit_s
    )
    for vm in expired:
        del marks.by_vm[vm]
    return expired


def leaving_entries(
    marks: LeavingMarks, budget_bytes: int, now_s: float
) -> tuple[LeavingEntry, ...]:
    """Return the marks to pass on, least often sent first, within the budget."""
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
    """Return the mark of a VM in the form for peers."""
    mark = marks.by_vm[vm]
    age_s = max(0, int(now_s - mark.last_named_s))
    return LeavingEntry(vm.name, vm.incarnation, mark.source, age_s)


def mark_bytes(entry: LeavingEntry) -> int:
    """Return an upper bound of the size of a mark in a frame."""
    texts = entry.name, entry.incarnation, entry.source
    return ENTRY_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)
