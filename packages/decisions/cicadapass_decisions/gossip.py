"""Choose what a node passes on to its peers, within a budget of bytes."""

import math

from cicadapass_decisions.membership import (
    GossipEntry,
    Member,
    MemberState,
    MemberTable,
)
from cicadapass_decisions.types import VmId

# A change is passed on this many times per decade of members.
SENDS_PER_DECADE = 6
# Entries without news that fill up a message, so that differences that gossip missed
# are found after some minutes.
FILLER_ENTRIES = 3
# Heads of the arrays and texts, and the numbers, in CBOR.
ENTRY_OVERHEAD_BYTES = 46


def gossip_entries(
    table: MemberTable, budget_bytes: int, about: VmId | None = None
) -> tuple[GossipEntry, ...]:
    """Return entries to pass on, within the budget: own, news, then fillers.

    The receiver's own entry goes with them if others doubt the receiver, so that it
    learns of the suspicion and refutes it.
    """
    chosen = {table.own.vm: table.own}
    budget_bytes -= entry_bytes(table.own)
    doubted = table.members.get(about) if about else None
    if doubted and doubted.entry.state is not MemberState.ALIVE:
        chosen[doubted.entry.vm] = doubted.entry
        budget_bytes -= entry_bytes(doubted.entry)
    limit = SENDS_PER_DECADE * math.ceil(math.log10(len(table.members) + 2))
    news = [m for m in table.members.values() if m.sends < limit]
    news.sort(key=lambda m: m.sends)
    for member in [*news, *_fillers(table)]:
        if member.entry.vm in chosen:
            continue
        budget_bytes -= entry_bytes(member.entry)
        if budget_bytes < 0:
            break
        member.sends += 1
        chosen[member.entry.vm] = member.entry
    return tuple(chosen.values())


def full_entries(table: MemberTable, budget_bytes: int) -> tuple[GossipEntry, ...]:
    """Return all members that fit, for a node that has just joined."""
    chosen = [table.own]
    for member in table.members.values():
        budget_bytes -= entry_bytes(member.entry)
        if budget_bytes < 0:
            break
        chosen.append(member.entry)
    return tuple(chosen)


def entry_bytes(entry: GossipEntry) -> int:
    """Return an upper bound of the size of an entry in a frame."""
    a = entry.address
    texts = a.name, a.incarnation, a.fleet, a.data_centre, a.host
    return ENTRY_OVERHEAD_BYTES + sum(len(t.encode()) for t in texts)


def _fillers(table: MemberTable) -> list[Member]:
    members = list(table.members.values())
    if not members:
        return []
    start = table.filler % len(members)
    table.filler = start + FILLER_ENTRIES
    return (members[start:] + members[:start])[:FILLER_ENTRIES]
