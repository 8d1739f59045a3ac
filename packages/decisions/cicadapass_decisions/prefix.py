"""Track which prompt prefixes the caches of the engines contain."""

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, replace

from cicadapass_decisions.policy import PrefixRules

# With 64 bits, a false match among a million blocks has a probability of 1 in 10**7;
# it only causes a worse choice of an upstream.
_HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Represent one numbered event of an engine's prefix cache."""

    sequence: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CacheHints:
    """Record the cached blocks of one engine, oldest first, up to an event."""

    sequence: int = 0
    blocks: dict[str, None] | None = None
    needs_resync: bool = False

    def contains(self, block: str) -> bool:
        """Return whether the block was cached at the last known event."""
        return self.blocks is not None and block in self.blocks


def prefix_blocks(prompt: str, rules: PrefixRules) -> tuple[str, ...]:
    """Return the chained hashes of the prompt's complete blocks.

    They equal the hashes that engines publish in their cache events: each covers
    the previous hash and the words of one block.
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
    """Return the tokens of the longest cached prefix, which need no prefill."""
    matched = 0
    for block in blocks:
        if not hints.contains(block):
            break
        matched += 1
    return block_tokens(matched, rules)


def apply_events(
    hints: CacheHints, events: Sequence[CacheEvent], rules: PrefixRules
) -> CacheHints:
    """Return the hints after the events; a gap discards them and requires a resync."""
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
    """Return the hints from a complete listing of the cache at an event number."""
    cached = dict.fromkeys(blocks)
    _trim(cached, rules)
    return CacheHints(sequence, cached)


class RecentPrefixes:
    """Record which upstreams recent prompts were sent to.

    This covers the delay of the cache events. Not thread-safe: it has one owner.
    """

    def __init__(self, rules: PrefixRules) -> None:
        self._rules = rules
        self._upstreams: OrderedDict[str, str] = OrderedDict()

    def record(self, blocks: Sequence[str], upstream: str) -> None:
        """Record that a prompt with these blocks was sent to the upstream."""
        for block in blocks:
            self._upstreams[block] = upstream
            self._upstreams.move_to_end(block)
        while len(self._upstreams) > self._rules.max_hints:
            self._upstreams.popitem(last=False)

    def longest_match(self, blocks: Sequence[str]) -> tuple[str, int] | None:
        """Return the upstream and tokens of the longest recorded prefix, or None."""
        for index in range(len(blocks) - 1, -1, -1):
            upstream = self._upstreams.get(blocks[index])
            if upstream is not None:
                return upstream, block_tokens(index + 1, self._rules)
        return None


def block_tokens(blocks: int, rules: PrefixRules) -> int:
    """Return the average number of tokens in a number of blocks."""
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
