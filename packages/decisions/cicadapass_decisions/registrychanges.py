"""Distribute the reads of the registry over the nodes.

Calls to the registry are expensive and limited. With many nodes, each one reads less
often. Every node to which a change is new sends it to some others, so that the change
reaches all nodes within a few datagram intervals.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

# Up to this many nodes, each one reads at the base interval. More nodes together read
# as often as this many.
FULL_RATE_READERS = 4
# A change is sent in a second datagram in case the first one is lost.
SENDS_PER_CHANGE = 2
# This many entries take about 2.5 KB.
CHANGES_PER_DATAGRAM = 10
# Upstreams write shorter entries than this. Longer ones are not sent to peers, so each
# node reads them from the registry.
MAX_ENTRY_BYTES = 1024
# Changes beyond the limit are dropped; each node finds them with its next read.
MAX_PENDING_CHANGES = 200


@dataclass(frozen=True, slots=True)
class Document:
    """Represent one record of a registry; an empty value removes its key."""

    key: str
    value: bytes
    offset: int


def read_interval_s(base_interval_s: float, nodes: int, rng: random.Random) -> float:
    """Return the time until the next read of one of these nodes.

    The reads of many nodes are spread at random, so that some node reads soon.
    """
    if nodes <= FULL_RATE_READERS:
        return base_interval_s
    return base_interval_s * nodes / FULL_RATE_READERS * (0.5 + rng.random())


class PendingChanges:
    """Queue the changes that this node has yet to send, oldest first."""

    def __init__(self) -> None:
        self._remaining_sends: dict[Document, int] = {}

    def add(self, changes: Iterable[Document]) -> None:
        """Queue changes, except for those that are too long."""
        for change in changes:
            if len(change.value) <= MAX_ENTRY_BYTES:
                self._remaining_sends[change] = SENDS_PER_CHANGE
        while len(self._remaining_sends) > MAX_PENDING_CHANGES:
            del self._remaining_sends[next(iter(self._remaining_sends))]

    def take(self) -> list[Document]:
        """Return the changes for the next datagram, and count them as sent once."""
        batch = list(self._remaining_sends)[:CHANGES_PER_DATAGRAM]
        for change in batch:
            remaining = self._remaining_sends.pop(change) - 1
            if remaining > 0:
                self._remaining_sends[change] = remaining
        return batch
