"""Membership by gossip: which nodes are alive, suspected or gone (SWIM)."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum

from cicadapass_decisions.rendezvous import preferred_peers
from cicadapass_decisions.types import NodeAddress, VmId

INDIRECT_PROBES = 3
# With fewer members, one pause of a process must not count as death; with more,
# the refutation needs some rounds of gossip to arrive.
MIN_SUSPICION_S = 3.0
SUSPICION_S_PER_DECADE = 1.6
# A partition between regions may last an hour; a forgotten member could not be
# probed again after it.
GONE_RETENTION_S = 6 * 3600.0
# Each node probes the same members again and again, and keeps its connections to them:
# a handshake costs more than twice a probe. Every member is in the sets of about as
# many others, so that it is still probed once a second on average.
PROBE_SET = 40
# Gone members are probed too, or a healed partition would never be noticed.
GONE_PROBE_EVERY = 8


class MemberState(IntEnum):
    """Rank the states of one refutation number: the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class GossipEntry:
    """Hold what is known about one member, as it is passed on to peers.

    Only the member itself raises `refutation` (to refute a suspicion) and `beat`
    (to announce another configuration offset or load hint, 0 idle to 255 full).
    """

    address: NodeAddress
    state: MemberState
    refutation: int
    beat: int
    config_offset: int
    load: int

    @property
    def vm(self) -> VmId:
        """Return the VM incarnation of the member."""
        return self.address.vm


@dataclass(frozen=True, slots=True)
class StateChange:
    """Report that a member is new or has another state."""

    entry: GossipEntry
    before: MemberState | None


@dataclass(frozen=True, slots=True)
class GossipEffect:
    """Hold what applied gossip changed.

    `hints` says that only hints changed; `declared_gone` that others had declared
    the node itself gone.
    """

    changes: tuple[StateChange, ...] = ()
    hints: bool = False
    declared_gone: bool = False


@dataclass(slots=True)
class Member:
    """Hold one member; `sends` counts how often its entry was passed on."""

    entry: GossipEntry
    since_s: float
    sends: int = 0


@dataclass(slots=True)
class MemberTable:
    """Own all members but the node itself; one part changes the table in place.

    A copy of all entries per message would cost more than the message.
    """

    own: GossipEntry
    members: dict[VmId, Member] = field(default_factory=dict)
    probe_order: list[VmId] = field(default_factory=list)
    probes: int = 0
    filler: int = 0

    def entry(self, vm: VmId) -> GossipEntry | None:
        """Return what is known about a member."""
        if vm == self.own.vm:
            return self.own
        member = self.members.get(vm)
        return member.entry if member else None

    def entries(self) -> tuple[GossipEntry, ...]:
        """Return the entries of all members but the node itself."""
        return tuple(m.entry for m in self.members.values())


def new_table(own: NodeAddress) -> MemberTable:
    """Return a table that knows only the node itself."""
    return MemberTable(GossipEntry(own, MemberState.ALIVE, 0, 0, 0, 0))


def set_own(table: MemberTable, config_offset: int, load: int) -> None:
    """Announce another configuration offset or load hint."""
    own = table.own
    if (config_offset, load) != (own.config_offset, own.load):
        table.own = replace(
            own, config_offset=config_offset, load=load, beat=own.beat + 1
        )


def merge_entries(first: GossipEntry, second: GossipEntry) -> GossipEntry:
    """Return the newer state with the newer hints; order does not matter."""
    state = max(first, second, key=lambda e: (e.refutation, e.state))
    hints = max(first, second, key=lambda e: (e.beat, e.config_offset, e.load))
    address = max(
        first.address, second.address, key=lambda a: (a.host, a.peer_port, a.fleet)
    )
    return replace(
        hints, address=address, state=state.state, refutation=state.refutation
    )


def apply_gossip(
    table: MemberTable, entries: Iterable[GossipEntry], now_s: float
) -> GossipEffect:
    """Merge entries of a peer; any order and repetition give the same table."""
    changes = []
    hints = declared_gone = False
    for entry in entries:
        if entry.vm == table.own.vm:
            declared_gone |= _refute(table, entry)
            continue
        known = table.members.get(entry.vm)
        merged = merge_entries(known.entry, entry) if known else entry
        if known is None or merged.state != known.entry.state:
            before = known.entry.state if known else None
            changes.append(StateChange(merged, before))
        hints = hints or known is None or merged != known.entry
        _store(table, merged, now_s)
    return GossipEffect(tuple(changes), hints, declared_gone)


def add_listed(
    table: MemberTable, addresses: Iterable[NodeAddress], now_s: float
) -> GossipEffect:
    """Add members that the VM list or the settings name and gossip does not know.

    A list never changes a known member: it may be stale.
    """
    unknown = [a for a in addresses if table.entry(a.vm) is None]
    entries = [GossipEntry(a, MemberState.ALIVE, 0, 0, 0, 0) for a in unknown]
    return apply_gossip(table, entries, now_s)


def choose_probe(table: MemberTable, rng: random.Random) -> NodeAddress | None:
    """Return the next member to probe, if there is one.

    Each round visits the members of the node's set in random order, which bounds the
    time until a given one is probed.
    """
    table.probes += 1
    if table.probes % GONE_PROBE_EVERY == 0:
        gone = [m.entry for m in table.members.values() if _is_gone(m.entry)]
        if gone:
            return rng.choice(gone).address
    for _ in range(2):
        while table.probe_order:
            member = table.members.get(table.probe_order.pop())
            if member and not _is_gone(member.entry):
                return member.entry.address
        present = [vm for vm, m in table.members.items() if not _is_gone(m.entry)]
        table.probe_order = preferred_peers(table.own.vm, present, PROBE_SET)
        rng.shuffle(table.probe_order)
    return None


def on_probe_failed(
    table: MemberTable, target: VmId, rng: random.Random
) -> tuple[NodeAddress, ...]:
    """Return the members that shall probe the target; none if it is gone anyway."""
    known = table.entry(target)
    if known is None or _is_gone(known):
        return ()
    others = [
        m.entry.address
        for vm, m in table.members.items()
        if vm != target and m.entry.state is MemberState.ALIVE
    ]
    return tuple(rng.sample(others, min(INDIRECT_PROBES, len(others))))


def on_indirect_result(
    table: MemberTable, target: VmId, reached: bool, now_s: float
) -> GossipEffect:
    """Suspect a member that nobody reached."""
    known = table.entry(target)
    if reached or known is None or known.state is not MemberState.ALIVE:
        return GossipEffect()
    suspect = replace(known, state=MemberState.SUSPECT)
    return apply_gossip(table, (suspect,), now_s)


def on_replaced(table: MemberTable, vm: VmId, now_s: float) -> GossipEffect:
    """Declare a member gone whose address answers as another incarnation."""
    known = table.entry(vm)
    if known is None or vm == table.own.vm or _is_gone(known):
        return GossipEffect()
    gone = replace(known, state=MemberState.GONE)
    return apply_gossip(table, (gone,), now_s)


def suspicion_s(table: MemberTable) -> float:
    """Return how long a suspected member has to refute."""
    decades = math.log10(len(table.members) + 1)
    return max(MIN_SUSPICION_S, SUSPICION_S_PER_DECADE * decades)


def restart_suspicions(table: MemberTable, now_s: float) -> None:
    """Give suspected members their time anew, after the node itself was paused."""
    for member in table.members.values():
        if member.entry.state is MemberState.SUSPECT:
            member.since_s = now_s


def expire_members(table: MemberTable, now_s: float) -> GossipEffect:
    """Declare gone whoever did not refute in time; forget who is gone for long."""
    timeout_s = suspicion_s(table)
    overdue = []
    for vm, member in list(table.members.items()):
        age_s = now_s - member.since_s
        if member.entry.state is MemberState.SUSPECT and age_s >= timeout_s:
            overdue.append(replace(member.entry, state=MemberState.GONE))
        elif _is_gone(member.entry) and age_s >= GONE_RETENTION_S:
            del table.members[vm]
    return apply_gossip(table, overdue, now_s)


def _is_gone(entry: GossipEntry) -> bool:
    return entry.state is MemberState.GONE


def _store(table: MemberTable, entry: GossipEntry, now_s: float) -> None:
    known = table.members.get(entry.vm)
    if known is None:
        table.members[entry.vm] = Member(entry, now_s)
        return
    news = (entry.state, entry.refutation) != (
        known.entry.state,
        known.entry.refutation,
    )
    if news:
        known.since_s = now_s
        known.sends = 0
    known.entry = entry


def _refute(table: MemberTable, entry: GossipEntry) -> bool:
    """Outdo what others hold about the node; return whether it was declared gone."""
    own = table.own
    # A process that was restarted finds its former hints among its peers.
    if entry.beat > own.beat or (entry.beat == own.beat and _hints_differ(entry, own)):
        own = replace(own, beat=entry.beat + 1)
    doubted = entry.state is not MemberState.ALIVE
    if doubted and entry.refutation >= own.refutation:
        own = replace(own, refutation=entry.refutation + 1)
    refuted = own.refutation != table.own.refutation
    table.own = own
    return refuted and entry.state is MemberState.GONE


def _hints_differ(first: GossipEntry, second: GossipEntry) -> bool:
    hints = first.config_offset, first.load
    return hints != (second.config_offset, second.load)
