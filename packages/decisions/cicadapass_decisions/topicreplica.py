"""Replicate a keyed topic of the registry among the nodes.

Offsets have no gaps, so one number says what a replica covers: the offset up to which
it is complete. A node that sees a higher one at a peer has missed changes and fetches
them, whatever was lost on the way. How old a replica can be at most is known from the
last read of the registry that it rests on, by this node or by a peer.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# A read confirms the replicas of other nodes over this many hops. Each hop passes it on
# to ten peers, so three hops reach a thousand nodes. The limit keeps two nodes from
# confirming each other forever, since a hop does not count its delay in transit.
MAX_HOPS = 4
# Removals kept for peers that have not applied them; a peer that is further behind gets
# a complete listing.
MAX_REMOVALS = 300
NEVER_S = -1e9


@dataclass(frozen=True, slots=True)
class Document:
    """Represent one record of a registry; an empty value removes its key."""

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class Delta:
    """Store the records from an offset on, or all if that offset is too old."""

    documents: tuple[Document, ...]
    end_offset: int
    complete: bool


class TopicReplica:
    """Store the newest record of each key and how far and how recent they are."""

    def __init__(self) -> None:
        self._documents: dict[str, Document] = {}
        self._applied_s: dict[str, float] = {}
        self._end_offset = -1
        # Removals before this offset are not known.
        self._removals_from = 0
        # The latest read that confirms the replica, by the hops to the reading node.
        self._confirmed_s = [NEVER_S] * (MAX_HOPS + 1)

    @property
    def end_offset(self) -> int:
        """Return the offset of the first missing record; -1 before a listing."""
        return self._end_offset

    @property
    def documents(self) -> list[Document]:
        """Return the newest record of each key, without removed keys."""
        return [each for each in self._documents.values() if each.value]

    @property
    def confirmed_s(self) -> float:
        """Return the time of the last read that confirms this replica."""
        return max(self._confirmed_s)

    def offset(self, key: str) -> int:
        """Return the offset of a key's newest record, or -1."""
        document = self._documents.get(key)
        return -1 if document is None else document.offset

    def applied_s(self, key: str) -> float:
        """Return when a key's newest record was applied."""
        return self._applied_s.get(key, NEVER_S)

    def age_s(self, now_s: float) -> float:
        """Return the time since the last read that confirms this replica."""
        return now_s - self.confirmed_s

    def ages_s(self, now_s: float) -> list[float]:
        """Return the age to report to peers, for each number of hops."""
        return [now_s - confirmed_s for confirmed_s in self._confirmed_s[:MAX_HOPS]]

    def confirm_read(self, read_s: float) -> None:
        """Record that this node read the registry up to its end at that time."""
        self._confirmed_s[0] = max(self._confirmed_s[0], read_s)

    def confirm_by_peer(
        self, end_offset: int, ages_s: Sequence[float], now_s: float
    ) -> None:
        """Record the ages of a peer's replica, unless it covers more than this one."""
        if end_offset > self._end_offset:
            return
        for hops, age_s in enumerate(ages_s[:MAX_HOPS], 1):
            if math.isnan(age_s):
                # The age is unknown, and `max` would take it for 0.
                continue
            confirmed_s = now_s - max(0.0, age_s)
            self._confirmed_s[hops] = max(self._confirmed_s[hops], confirmed_s)

    def merge(self, delta: Delta, now_s: float) -> list[Document]:
        """Apply what a peer or the registry returned; return what was new."""
        apply = self.apply_listing if delta.complete else self.apply
        return apply(delta.documents, delta.end_offset, now_s)

    def apply(
        self, documents: Iterable[Document], end_offset: int, now_s: float
    ) -> list[Document]:
        """Apply all records up to an offset; return those that were new."""
        applied = [each for each in documents if self._store(each, now_s)]
        self._end_offset = max(self._end_offset, end_offset)
        self._forget_old_removals()
        return applied

    def apply_listing(
        self, documents: Sequence[Document], end_offset: int, now_s: float
    ) -> list[Document]:
        """Apply a listing of all keys; return the new records and removals.

        Records that are newer than the listing are kept.
        """
        listed = {each.key for each in documents}
        removed = [
            Document(each.key, b"", end_offset - 1)
            for each in self.documents
            if each.key not in listed
        ]
        applied = self.apply([*documents, *removed], end_offset, now_s)
        # Keys that came and went before the listing are not known.
        self._removals_from = max(self._removals_from, end_offset)
        return applied

    def delta(self, start: int) -> Delta:
        """Return what a replica that ends at `start` lacks."""
        if start < self._removals_from:
            return Delta(tuple(self.documents), self._end_offset, complete=True)
        documents = [each for each in self._documents.values() if each.offset >= start]
        return Delta(tuple(documents), self._end_offset, complete=False)

    def _store(self, document: Document, now_s: float) -> bool:
        current = self._documents.get(document.key)
        known_offset = self._removals_from - 1 if current is None else current.offset
        if document.offset <= known_offset and self._end_offset >= 0:
            return False
        self._documents[document.key] = document
        self._applied_s[document.key] = now_s
        return True

    def _forget_old_removals(self) -> None:
        removals = [each for each in self._documents.values() if not each.value]
        removals.sort(key=lambda each: each.offset)
        for document in removals[: max(0, len(removals) - MAX_REMOVALS)]:
            del self._documents[document.key]
            del self._applied_s[document.key]
            self._removals_from = max(self._removals_from, document.offset + 1)
