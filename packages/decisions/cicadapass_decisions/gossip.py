"""Select the member entries that a message to a peer carries, within a size budget."""

import math

from cicadapass_decisions.membership import (
    GossipEntry,
    Member,
    MemberState,
    MemberTable,
)
from cicadapass_decisions.types import VmId

# A change is sent this many times per decade of the number of members.
SENDS_PER_DECADE = 6
# Unchanged entries that each message carries in rotation, which repairs differences
# that gossip has missed within some minutes.
FILLER_ENTRIES = 3
# Upper bound of the CBOR headers of the arrays and strings, and of the numbers.
ENTRY_OVERHEAD_BYTES = 46


def gossip_entries(
    table: MemberTable, budget_bytes: int, recipient: VmId | None = None
) -> tuple[GossipEntry, ...]:
    """Return the local entry, changed entries and then fillers, within the budget.

    The recipient's entry is included if it is suspected or gone, so that the
    recipient can refute it, and a few times after it was gone, so that it knows.
    """
    chosen = {table.local.vm: table.local}
    budget_bytes -= entry_bytes(table.local)
    recipient_member = table.members.get(recipient) if recipient else None
    recipient_entry = _recipient_entry(recipient_member) if recipient_member else None
    if recipient_entry:
        chosen[recipient_entry.vm] = recipient_entry
        budget_bytes -= entry_bytes(recipient_entry)
    limit = SENDS_PER_DECADE * math.ceil(math.log10(len(table.members) + 2))
    changes = [
        candidate for candidate in table.members.values() if candidate.sends < limit
    ]
    changes.sort(key=lambda candidate: candidate.sends)
    for member in [*changes, *_filler_members(table)]:
        if member.entry.vm in chosen:
            continue
        budget_bytes -= entry_bytes(member.entry)
        if budget_bytes < 0:
            break
        member.sends += 1
        chosen[member.entry.vm] = member.entry
    return tuple(chosen.values())


def all_entries(table: MemberTable, budget_bytes: int) -> tuple[GossipEntry, ...]:
    """Return as many members as fit the budget, for a node that has just joined."""
    chosen = [table.local]
    for member in table.members.values():
        budget_bytes -= entry_bytes(member.entry)
        if budget_bytes < 0:
            break
        chosen.append(member.entry)
    return tuple(chosen)


def entry_bytes(entry: GossipEntry) -> int:
    """Return an upper bound of the encoded size of an entry."""
    address = entry.address
    texts = (
        address.name,
        address.incarnation,
        address.fleet,
        address.data_centre,
        address.host,
    )
    return ENTRY_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)


def _recipient_entry(member: Member) -> GossipEntry | None:
    """Return what the recipient itself must know of its state."""
    if member.entry.state is not MemberState.ALIVE:
        return member.entry
    if member.gone_notices_left == 0:
        return None
    member.gone_notices_left -= 1
    return member.gone_entry


def _filler_members(table: MemberTable) -> list[Member]:
    members = list(table.members.values())
    if not members:
        return []
    start = table.next_filler % len(members)
    table.next_filler = start + FILLER_ENTRIES
    return (members[start:] + members[:start])[:FILLER_ENTRIES]
