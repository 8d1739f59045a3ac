"""Test the cache hints."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.policy import PrefixRules
from cicadapass_decisions.prefix import (
    CacheEvent,
    CacheHints,
    RecentPrefixes,
    apply_events,
    hints_from_listing,
    matched_tokens,
    prefix_blocks,
)
from cicadapass_standins.prefixcache import block_hashes as engine_hashes

RULES = PrefixRules(block_words=4, max_hints=32)
WORDS = st.lists(st.sampled_from("abc"), max_size=20)


class PrefixTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(WORDS, WORDS, WORDS)
    def test_blocks_match_exactly_the_common_prefix(
        self, common, first_tail, second_tail
    ):
        """The hash of a block must cover all the text before it too."""
        first, second = common + first_tail, common + second_tail
        hashes = [prefix_blocks(" ".join(words), RULES) for words in (first, second)]
        for index, pair in enumerate(zip(*hashes, strict=False)):
            end = (index + 1) * RULES.block_words
            self.assertEqual(first[:end] == second[:end], pair[0] == pair[1])

    def test_gap_discards_hints(self):
        """Hints that may have missed a removal must not attract requests."""
        hints = apply_events(CacheHints(), [CacheEvent(1, ("a",))], RULES)
        hints = apply_events(hints, [CacheEvent(3, ("b",))], RULES)
        self.assertTrue(hints.needs_resync)
        self.assertFalse(hints.contains("a") or hints.contains("b"))
        self.assertTrue(hints_from_listing(3, ["b"], RULES).contains("b"))

    @settings(derandomize=True, deadline=None)
    @given(st.permutations(range(1, 6)), st.integers(0, 5))
    def test_late_and_repeated_events(self, order, split):
        """Events that arrive out of order or twice must not change the result."""
        stored = [("a",), ("b",), (), ("c",), ("a",)]
        removed = [(), (), ("a",), (), ()]
        events = [CacheEvent(i, stored[i - 1], removed[i - 1]) for i in order]
        applied_once = apply_events(CacheHints(), events, RULES)
        applied_twice = apply_events(applied_once, events[split:], RULES)
        self.assertEqual(applied_once, applied_twice)
        self.assertEqual({"a", "b", "c"}, set(applied_once.blocks))

    def test_matches_only_a_whole_prefix(self):
        """A cached block saves no prefill without all earlier blocks."""
        blocks = prefix_blocks("x " * 16, RULES)
        hints = hints_from_listing(1, blocks[1:], RULES)
        self.assertEqual(0, matched_tokens(hints, blocks, RULES))
        hints = hints_from_listing(1, blocks[:3], RULES)
        self.assertEqual(12, matched_tokens(hints, blocks, RULES))

    def test_memory_is_bounded(self):
        """Callers choose the prompts, so the stored blocks must be bounded."""
        many = tuple(str(i) for i in range(100))
        hints = apply_events(CacheHints(), [CacheEvent(1, many)], RULES)
        self.assertEqual(32, len(hints.blocks))
        recent = RecentPrefixes(RULES)
        recent.record(many, "u")
        self.assertIsNone(recent.longest_match(many[:60]))
        self.assertEqual(("u", 400), recent.longest_match(many))

    def test_hashes_equal_those_of_the_engines(self):
        """Block hashes must equal those of the engines' events, or none would match."""
        words = [str(i) for i in range(40)]
        published = engine_hashes(words)
        self.assertEqual(
            tuple(published), prefix_blocks(" ".join(words), PrefixRules())
        )
