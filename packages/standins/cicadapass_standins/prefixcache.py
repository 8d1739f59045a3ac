"""The engine's prefix cache: blocks of words, bounded, least recently used first."""

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
    """Return the hash of each full block; it covers the words before it too.

    `known` are the hashes of the first blocks, which are not computed again.
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
    """A change of the cache; the sequence has gaps where events were dropped."""

    sequence: int
    time_s: float
    stored: tuple[str, ...]
    removed: tuple[str, ...]

    def as_dict(self) -> dict[str, Any]:
        """Return the event as a JSON object."""
        return {
            "sequence": self.sequence,
            "stored": self.stored,
            "removed": self.removed,
        }


class PrefixCache:
    """Remember blocks by hash and report what was stored and removed."""

    def __init__(self, capacity_blocks: int, rng: random.Random) -> None:
        self._lock = threading.Lock()
        self._capacity_blocks = capacity_blocks
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0

    def match_words(self, blocks: Sequence[str]) -> int:
        """Return how many leading words are cached, and mark them as used."""
        matched = 0
        with self._lock:
            for block in blocks:
                if block not in self._blocks:
                    break
                self._blocks.move_to_end(block)
                matched += 1
        return matched * BLOCK_WORDS

    def store(self, blocks: Sequence[str], now_s: float, drop_events: float) -> int:
        """Add blocks and return how many are new; a share of events is dropped."""
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
        """Return the leading blocks that are cached."""
        with self._lock:
            count = next(
                (i for i, block in enumerate(blocks) if block not in self._blocks),
                len(blocks),
            )
        return list(blocks[:count])

    def events_after(self, sequence: int, until_s: float) -> list[CacheEvent]:
        """Return later events that happened before `until_s`."""
        with self._lock:
            return [
                event
                for event in self._events
                if event.sequence > sequence and event.time_s <= until_s
            ]

    def snapshot(self) -> dict[str, Any]:
        """Return all blocks and the sequence of the last event."""
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
        # A dropped event uses up its number, so the reader sees a gap.
        self._sequence += 1
        if self._rng.random() >= drop_events:
            self._events.append(CacheEvent(self._sequence, now_s, stored, removed))
