"""The engine's prefix cache: blocks of words with least-recently-used eviction."""

import hashlib
import random
import threading
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

BLOCK_WORDS = 16
HASH_BYTES = 8
MAX_EVENTS = 10_000


def block_hashes(words: Sequence[str], known_hashes: Sequence[str] = ()) -> list[str]:
    """Return the hash of each full block, chained with the hash of the block before.

    `known_hashes` are those of the first blocks; they are not computed again.
    """
    hashes = list(known_hashes)
    for start in range(len(hashes) * BLOCK_WORDS, len(words), BLOCK_WORDS):
        block = words[start : start + BLOCK_WORDS]
        if len(block) == BLOCK_WORDS:
            text = "\n".join([*hashes[-1:], " ".join(block)])
            digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES)
            hashes.append(digest.hexdigest())
    return hashes


@dataclass(frozen=True)
class CacheEvent:
    """Represent a change of the cache; a dropped event leaves a gap in `sequence`."""

    sequence: int
    time_s: float
    stored: tuple[str, ...]
    removed: tuple[str, ...]

    def as_dict(self) -> dict[str, Any]:
        """Return the event as the cache-events interface sends it."""
        return {
            "sequence": self.sequence,
            "stored": self.stored,
            "removed": self.removed,
        }


class PrefixCache:
    """Store block hashes up to a capacity and record an event for each change."""

    def __init__(self, capacity_blocks: int, rng: random.Random) -> None:
        self._lock = threading.Lock()
        self._capacity_blocks = capacity_blocks
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0

    def match_words(self, blocks: Sequence[str]) -> int:
        """Return the number of leading words that are cached and mark them as used."""
        matched = 0
        with self._lock:
            for block in blocks:
                if block not in self._blocks:
                    break
                self._blocks.move_to_end(block)
                matched += 1
        return matched * BLOCK_WORDS

    def store(self, blocks: Sequence[str], now_s: float, drop_events: float) -> int:
        """Add blocks and return the number of new ones.

        `drop_events` is the probability that the event of this change is dropped.
        """
        with self._lock:
            stored = [block for block in blocks if block not in self._blocks]
            for block in blocks:
                self._blocks[block] = None
                self._blocks.move_to_end(block)
            removed = []
            while len(self._blocks) > self._capacity_blocks:
                removed.append(self._blocks.popitem(last=False)[0])
            if stored or removed:
                self._add_event(tuple(stored), tuple(removed), now_s, drop_events)
        return len(stored)

    def cached_prefix(self, blocks: Sequence[str]) -> list[str]:
        """Return the leading blocks that are cached, without marking them as used."""
        with self._lock:
            count = next(
                (i for i, block in enumerate(blocks) if block not in self._blocks),
                len(blocks),
            )
        return list(blocks[:count])

    def events_after(self, sequence: int, until_s: float) -> list[CacheEvent]:
        """Return the events after `sequence` that happened no later than `until_s`."""
        with self._lock:
            return [
                event
                for event in self._events
                if event.sequence > sequence and event.time_s <= until_s
            ]

    def snapshot(self) -> dict[str, Any]:
        """Return all blocks and the sequence number of the last event."""
        with self._lock:
            return {
                "sequence": self._sequence,
                "block_words": BLOCK_WORDS,
                "blocks": list(self._blocks),
            }

    def _add_event(
        self,
        stored: tuple[str, ...],
        removed: tuple[str, ...],
        now_s: float,
        drop_events: float,
    ) -> None:
        # A dropped event consumes its number, so that readers can detect the gap.
        self._sequence += 1
        if self._rng.random() >= drop_events:
            self._events.append(CacheEvent(self._sequence, now_s, stored, removed))
