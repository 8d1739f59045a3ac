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
READERS = 4
# Datagrams in which a node tells a change; the second makes up for a lost one.
NEWS_ROUNDS = 2
# Changes told in one datagram: about 2.5 KB of entries.
NEWS_AT_ONCE = 10
# A longer entry, which an upstream does not write, is left to each node's own reads.
MAX_ENTRY_BYTES = 1024
# Changes kept to be told; more of them are found by each node's own next read.
MAX_NEWS = 200


@dataclass(frozen=True, slots=True)
class Document:
    """Hold one record of a registry; an empty value removes its key."""

    key: str
    value: bytes
    offset: int


def read_interval_s(usual_s: float, nodes: int, rng: random.Random) -> float:
    """Return the time until the next read of one of these nodes.

    Reads of many nodes are spread by chance, so that some node reads soon.
    """
    if nodes <= READERS:
        return usual_s
    return usual_s * nodes / READERS * (0.5 + rng.random())


class NewsBoard:
    """Keep the changes that this node still has to tell, the oldest first."""

    def __init__(self) -> None:
        self._rounds: dict[Document, int] = {}

    def add(self, changes: Iterable[Document]) -> None:
        """Add changes that are new to this node."""
        for change in changes:
            if len(change.value) <= MAX_ENTRY_BYTES:
                self._rounds[change] = NEWS_ROUNDS
        while len(self._rounds) > MAX_NEWS:
            del self._rounds[next(iter(self._rounds))]

    def take(self) -> list[Document]:
        """Return the changes for the next datagram."""
        told = list(self._rounds)[:NEWS_AT_ONCE]
        for change in told:
            rounds = self._rounds.pop(change) - 1
            if rounds > 0:
                self._rounds[change] = rounds
        return told
