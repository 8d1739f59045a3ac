"""Remember which prompt prefixes an engine's cache holds."""

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, replace

from cicadapass_decisions.policy import PrefixRules

# With 64 bits, a false match among a million blocks has a chance of 1 in 10**7; it
# costs only a worse choice.
_HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Hold one numbered event of an engine's prefix cache."""

    sequence: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CacheHints:
    """Hold the blocks of one engine's cache, oldest first, up to an event."""

    sequence: int = 0
    blocks: dict[str, None] | None = None
    needs_resync: bool = False

    def contains(self, block: str) -> bool:
        """Return whether the engine is believed to hold the block."""
        return self.blocks is not None and block in self.blocks


def prefix_blocks(prompt: str, rules: PrefixRules) -> tuple[str, ...]:
    """Return the chained hashes of the prompt's whole blocks.

    They equal the hashes that engines publish in their cache events: each covers
    the hash before it and the words of one block.
    """
    words = prompt.split()
    blocks: list[str] = []
    end = min(len(words), rules.block_words * rules.max_blocks)
    for start in range(0, end - rules.block_words + 1, rules.block_words):
        block = " ".join(words[start : start + rules.block_words])
        text = "\n".join([*blocks[-1:], block])
        digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES)
        blocks.append(digest.hexdigest())
    return tuple(blocks)


def matched_tokens(hints: CacheHints, blocks: Sequence[str], rules: PrefixRules) -> int:
    """Return the prompt tokens that the engine need not compute."""
    matched = 0
    for block in blocks:
        if not hints.contains(block):
            break
        matched += 1
    return block_tokens(matched, rules)


def apply_events(
    hints: CacheHints, events: Sequence[CacheEvent], rules: PrefixRules
) -> CacheHints:
    """Return the hints after the events; a gap discards them and asks for a resync."""
    blocks = dict(hints.blocks or {})
    sequence = hints.sequence
    for event in sorted(events, key=lambda event: event.sequence):
        if event.sequence <= sequence:
            continue
        if event.sequence > sequence + 1:
            return CacheHints(event.sequence, None, needs_resync=True)
        _apply(blocks, event)
        sequence = event.sequence
    _trim(blocks, rules)
    return replace(hints, sequence=sequence, blocks=blocks)


def hints_from_listing(
    sequence: int, blocks: Sequence[str], rules: PrefixRules
) -> CacheHints:
    """Return the hints of a complete listing that was taken at the sequence."""
    cached = dict.fromkeys(blocks)
    _trim(cached, rules)
    return CacheHints(sequence, cached)


class RecentPrefixes:
    """Remember where recent prompts were sent; belongs to one owner.

    It bridges the delay of the cache events.
    """

    def __init__(self, rules: PrefixRules) -> None:
        self._rules = rules
        self._upstreams: OrderedDict[str, str] = OrderedDict()

    def record(self, blocks: Sequence[str], upstream: str) -> None:
        """Record that the upstream computes these blocks."""
        for block in blocks:
            self._upstreams[block] = upstream
            self._upstreams.move_to_end(block)
        while len(self._upstreams) > self._rules.max_hints:
            self._upstreams.popitem(last=False)

    def longest_match(self, blocks: Sequence[str]) -> tuple[str, int] | None:
        """Return the upstream of the longest known prefix and its tokens."""
        for index in range(len(blocks) - 1, -1, -1):
            upstream = self._upstreams.get(blocks[index])
            if upstream is not None:
                return upstream, block_tokens(index + 1, self._rules)
        return None


def block_tokens(blocks: int, rules: PrefixRules) -> int:
    """Return the tokens that a number of blocks holds on average."""
    return int(blocks * rules.block_words * rules.tokens_per_word)


def _apply(blocks: dict[str, None], event: CacheEvent) -> None:
    for block in event.stored:
        blocks.pop(block, None)
        blocks[block] = None
    for block in event.removed:
        blocks.pop(block, None)


def _trim(blocks: dict[str, None], rules: PrefixRules) -> None:
    for block in list(blocks)[: max(0, len(blocks) - rules.max_hints)]:
        del blocks[block]
