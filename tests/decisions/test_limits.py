"""Test the adaptive concurrency limit."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.limits import (
    new_limit,
    on_result,
    update_baseline,
    with_slots,
)
from cicadapass_decisions.policy import LimitRules

RULES = LimitRules()


class LimitsTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.integers(0, 64),
        st.lists(st.tuples(st.floats(0, 100), st.booleans()), max_size=100),
    )
    def test_stays_between_one_and_slots(self, slots, results):
        """A limit of 0 starves an upstream; one above its slots queues in it."""
        limit = new_limit(slots)
        for now_s, (latency_s, failed) in enumerate(results):
            limit = on_result(limit, latency_s, 1.0, failed, float(now_s), RULES)
            self.assertTrue(1 <= limit.max_requests <= max(1, slots))

    def test_one_congestion_lowers_the_limit_once(self):
        """Concurrent slow results must lower the limit only once."""
        limit = new_limit(8)
        for _ in range(10):
            limit = on_result(limit, 9.0, 1.0, False, 5.0, RULES)
        self.assertEqual(7, limit.max_requests)

    def test_recovers_after_slowness(self):
        """A transient slowdown must not lower the limit permanently."""
        limit = new_limit(8)
        for now_s in range(20):
            limit = on_result(limit, 9.0, 1.0, False, float(now_s), RULES)
        self.assertEqual(1, limit.max_requests)
        for _ in range(60):
            limit = on_result(limit, 1.0, 1.0, False, 30.0, RULES)
        self.assertEqual(8, limit.max_requests)

    def test_baseline_expires(self):
        """One unusually fast result must not make later ones count as slow for ever."""
        baseline = update_baseline(None, 0.001, 0.0, RULES)
        for now_s in (61.0, 122.0):
            baseline = update_baseline(baseline, 1.0, now_s, RULES)
        self.assertEqual(1.0, baseline.value_s)

    def test_follows_a_changed_slot_count(self):
        """A limit at its maximum must follow a change of the engine's slots."""
        self.assertEqual(12, with_slots(new_limit(8), 12).max_requests)
        self.assertEqual(4, with_slots(new_limit(8), 4).max_requests)
