"""Share the reading of the registry between nodes.

Answers a registry whose calls are dear and few: with many nodes, each reads less often,
and the one that reads a change tells it on. Each node tells what is new to it to some
others, so that a change reaches all within a few intervals of the datagrams.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

# Up to this many nodes, each reads at the usual interval; beyond it, the nodes together
# read as often as this many would.
FULL_RATE_READERS = 4
# Datagrams in which a node tells a change; the second makes up for a lost one.
SENDS_PER_CHANGE = 2
# Changes told in one datagram: about 2.5 KB of entries.
CHANGES_PER_DATAGRAM = 10
# A longer entry, which an upstream does not write, is left to each node's own reads.
MAX_ENTRY_BYTES = 1024
# Changes kept to be told; more of them are found by each node's own next read.
MAX_PENDING_CHANGES = 200


@dataclass(frozen=True, slots=True)
class Document:
    """Hold one record of a registry; an empty value removes its key."""

    key: str
    value: bytes
    offset: int


def read_interval_s(base_interval_s: float, nodes: int, rng: random.Random) -> float:
    """Return the time until the next read of one of these nodes.

    Reads of many nodes are spread by chance, so that some node reads soon.
    """
    if nodes <= FULL_RATE_READERS:
        return base_interval_s
    return base_interval_s * nodes / FULL_RATE_READERS * (0.5 + rng.random())


class PendingChanges:
    """Keep the changes that this node still has to tell, the oldest first."""

    def __init__(self) -> None:
        self._remaining_sends: dict[Document, int] = {}

    def add(self, changes: Iterable[Document]) -> None:
        """Add changes that are new to this node."""
        for change in changes:
            if len(change.value) <= MAX_ENTRY_BYTES:
                self._remaining_sends[change] = SENDS_PER_CHANGE
        while len(self._remaining_sends) > MAX_PENDING_CHANGES:
            del self._remaining_sends[next(iter(self._remaining_sends))]

    def take(self) -> list[Document]:
        """Return the changes for the next datagram."""
        batch = list(self._remaining_sends)[:CHANGES_PER_DATAGRAM]
        for change in batch:
            remaining = self._remaining_sends.pop(change) - 1
            if remaining > 0:
                self._remaining_sends[change] = remaining
        return batch
