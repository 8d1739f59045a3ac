"""Membership by gossip (SWIM): which nodes are alive, suspected or gone."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum

from cicadapass_decisions.rendezvous import preferred_peers
from cicadapass_decisions.types import NodeAddress, VmId

INDIRECT_PROBES = 3
# With few members, the minimum tolerates one pause of a process; with many, a
# refutation needs several rounds of gossip to arrive.
MIN_SUSPICION_S = 3.0
SUSPICION_S_PER_DECADE = 1.6
# A partition between regions may last an hour; a member that has been removed could not
# be probed again after it.
GONE_RETENTION_S = 6 * 3600.0
# Each node probes a fixed set of members over kept connections, because a handshake
# costs more than twice as much as a probe. Each member is in the sets of about as many
# others, so it is still probed once a second on average.
PROBE_SET_SIZE = 40
# Every eighth probe goes to a gone member, to detect that a partition has healed.
PROBES_PER_GONE_PROBE = 8
# A member that is alive again is told this many times that it was declared gone, in
# case messages are lost.
GONE_NOTICES = 8


class MemberState(IntEnum):
    """Rank the states of a member at one refutation number; the highest one wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class GossipEntry:
    """Describe one member for peers.

    Only the member itself increments `refutation` (to refute a suspicion) and
    `hint_version` (to announce a new configuration offset or load hint, 0 idle to 255
    full).
    """

    address: NodeAddress
    state: MemberState
    refutation: int
    hint_version: int
    config_offset: int
    load: int

    @property
    def vm(self) -> VmId:
        """Return the id of the VM incarnation that the member runs on."""
        return self.address.vm


@dataclass(frozen=True, slots=True)
class StateChange:
    """Report a changed state of a member; `before` is None for a new member."""

    entry: GossipEntry
    before: MemberState | None


@dataclass(frozen=True, slots=True)
class GossipEffect:
    """Report the changes by applied gossip.

    `entries_changed` is true if any entry changed, even if only in its hints;
    `declared_gone` is true if others had declared the node itself gone.
    """

    changes: tuple[StateChange, ...] = ()
    entries_changed: bool = False
    declared_gone: bool = False


@dataclass(slots=True)
class Member:
    """Track one member: its entry, the time of its state and how often it was sent."""

    entry: GossipEntry
    state_since_s: float
    sends: int = 0
    # The entry that declared the member gone, until the notices of it are sent. The
    # member may know only of a suspicion before it, whose refutation overrides both.
    gone_entry: GossipEntry | None = None
    gone_notices_left: int = 0


@dataclass(slots=True)
class MemberTable:
    """Store the local entry and all other members.

    The one component that owns the table changes it in place, because a copy of all
    entries per message would cost more than the message.
    """

    local: GossipEntry
    members: dict[VmId, Member] = field(default_factory=dict)
    probe_order: list[VmId] = field(default_factory=list)
    probe_count: int = 0
    next_filler: int = 0
    # The highest refutation number at which the node knows that it was declared gone.
    known_gone: int = -1

    def entry(self, vm: VmId) -> GossipEntry | None:
        """Return the entry of a member or of the node itself, or None if unknown."""
        if vm == self.local.vm:
            return self.local
        member = self.members.get(vm)
        return member.entry if member else None

    def entries(self) -> tuple[GossipEntry, ...]:
        """Return the entries of all members but the node itself."""
        return tuple(member.entry for member in self.members.values())


def new_table(local: NodeAddress) -> MemberTable:
    """Return a table that contains only the node itself."""
    return MemberTable(GossipEntry(local, MemberState.ALIVE, 0, 0, 0, 0))


def set_local_hints(table: MemberTable, config_offset: int, load: int) -> None:
    """Set the configuration offset and load hint; a change increments their version."""
    local = table.local
    if (config_offset, load) != (local.config_offset, local.load):
        table.local = replace(
            local,
            config_offset=config_offset,
            load=load,
            hint_version=local.hint_version + 1,
        )


def merge_entries(first: GossipEntry, second: GossipEntry) -> GossipEntry:
    """Return the newer state with the newer hints; the operation is commutative."""
    state = max(first, second, key=lambda e: (e.refutation, e.state))
    hints = max(first, second, key=lambda e: (e.hint_version, e.config_offset, e.load))
    address = max(
        first.address, second.address, key=lambda a: (a.host, a.peer_port, a.fleet)
    )
    return replace(
        hints, address=address, state=state.state, refutation=state.refutation
    )


def apply_gossip(
    table: MemberTable, entries: Iterable[GossipEntry], now_s: float
) -> GossipEffect:
    """Merge the entries of a peer; any order and repetition give the same table."""
    changes = []
    entries_changed = declared_gone = False
    for entry in entries:
        if entry.vm == table.local.vm:
            declared_gone |= _refute(table, entry)
            continue
        existing = table.members.get(entry.vm)
        merged = merge_entries(existing.entry, entry) if existing else entry
        if existing is None or merged.state != existing.entry.state:
            before = existing.entry.state if existing else None
            changes.append(StateChange(merged, before))
        entries_changed = (
            entries_changed or existing is None or merged != existing.entry
        )
        _store(table, merged, now_s)
    return GossipEffect(tuple(changes), entries_changed, declared_gone)


def add_listed_members(
    table: MemberTable, addresses: Iterable[NodeAddress], now_s: float
) -> GossipEffect:
    """Add the members of the VM list or the settings that are not in the table.

    A list never changes a member of the table, because the list may be stale.
    """
    new_addresses = [
        address for address in addresses if table.entry(address.vm) is None
    ]
    entries = [
        GossipEntry(address, MemberState.ALIVE, 0, 0, 0, 0) for address in new_addresses
    ]
    return apply_gossip(table, entries, now_s)


def choose_probe_target(table: MemberTable, rng: random.Random) -> NodeAddress | None:
    """Return the next member to probe, or None without other members.

    Each round visits the members of the node's set in random order, which bounds the
    time until a given member is probed.
    """
    table.probe_count += 1
    if table.probe_count % PROBES_PER_GONE_PROBE == 0:
        gone = [
            member.entry for member in table.members.values() if _is_gone(member.entry)
        ]
        if gone:
            return rng.choice(gone).address
    for _ in range(2):
        while table.probe_order:
            member = table.members.get(table.probe_order.pop())
            if member and not _is_gone(member.entry):
                return member.entry.address
        present = [
            vm for vm, member in table.members.items() if not _is_gone(member.entry)
        ]
        table.probe_order = preferred_peers(table.local.vm, present, PROBE_SET_SIZE)
        rng.shuffle(table.probe_order)
    return None


def on_probe_failed(
    table: MemberTable, target: VmId, rng: random.Random
) -> tuple[NodeAddress, ...]:
    """Return the members to ask for an indirect probe; none if the target is gone."""
    entry = table.entry(target)
    if entry is None or _is_gone(entry):
        return ()
    others = [
        member.entry.address
        for vm, member in table.members.items()
        if vm != target and member.entry.state is MemberState.ALIVE
    ]
    return tuple(rng.sample(others, min(INDIRECT_PROBES, len(others))))


def on_indirect_result(
    table: MemberTable, target: VmId, reached: bool, now_s: float
) -> GossipEffect:
    """Suspect an alive member that the indirect probes have not reached either."""
    entry = table.entry(target)
    if reached or entry is None or entry.state is not MemberState.ALIVE:
        return GossipEffect()
    suspect = replace(entry, state=MemberState.SUSPECT)
    return apply_gossip(table, (suspect,), now_s)


def on_replaced(table: MemberTable, vm: VmId, now_s: float) -> GossipEffect:
    """Declare a member gone because its address answers as another incarnation."""
    entry = table.entry(vm)
    if entry is None or vm == table.local.vm or _is_gone(entry):
        return GossipEffect()
    gone = replace(entry, state=MemberState.GONE)
    return apply_gossip(table, (gone,), now_s)


def suspicion_timeout_s(table: MemberTable) -> float:
    """Return the time, in seconds, that a suspected member has for a refutation."""
    decades = math.log10(len(table.members) + 1)
    return max(MIN_SUSPICION_S, SUSPICION_S_PER_DECADE * decades)


def restart_suspicions(table: MemberTable, now_s: float) -> None:
    """Restart the timeouts of suspected members, after a pause of the node itself."""
    for member in table.members.values():
        if member.entry.state is MemberState.SUSPECT:
            member.state_since_s = now_s


def expire_members(table: MemberTable, now_s: float) -> GossipEffect:
    """Declare overdue suspects gone; remove members gone for GONE_RETENTION_S."""
    timeout_s = suspicion_timeout_s(table)
    overdue = []
    for vm, member in list(table.members.items()):
        age_s = now_s - member.state_since_s
        if member.entry.state is MemberState.SUSPECT and age_s >= timeout_s:
            overdue.append(replace(member.entry, state=MemberState.GONE))
        elif _is_gone(member.entry) and age_s >= GONE_RETENTION_S:
            del table.members[vm]
    return apply_gossip(table, overdue, now_s)


def _is_gone(entry: GossipEntry) -> bool:
    return entry.state is MemberState.GONE


def _store(table: MemberTable, entry: GossipEntry, now_s: float) -> None:
    existing = table.members.get(entry.vm)
    if existing is None:
        table.members[entry.vm] = Member(entry, now_s)
        return
    state_changed = (entry.state, entry.refutation) != (
        existing.entry.state,
        existing.entry.refutation,
    )
    if state_changed:
        existing.state_since_s = now_s
        existing.sends = 0
    if _is_gone(existing.entry) and not _is_gone(entry):
        existing.gone_entry = existing.entry
        existing.gone_notices_left = GONE_NOTICES
    existing.entry = entry


def _refute(table: MemberTable, entry: GossipEntry) -> bool:
    """Refute a peer's entry of the node; return whether it newly says gone.

    An entry that is refuted already says so too, if that was the refutation of a
    suspicion.
    """
    local = table.local
    # Peers still have the hints of the process before its restart.
    if entry.hint_version > local.hint_version or (
        entry.hint_version == local.hint_version and _hints_differ(entry, local)
    ):
        local = replace(local, hint_version=entry.hint_version + 1)
    is_doubted = entry.state is not MemberState.ALIVE
    if is_doubted and entry.refutation >= local.refutation:
        local = replace(local, refutation=entry.refutation + 1)
    table.local = local
    if not _is_gone(entry) or entry.refutation <= table.known_gone:
        return False
    table.known_gone = entry.refutation
    return True


def _hints_differ(first: GossipEntry, second: GossipEntry) -> bool:
    first_hints = first.config_offset, first.load
    return first_hints != (second.config_offset, second.load)
