"""Test the hybrid logical clock."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.hlc import MAX_DRIFT_S, HybridTime, merge, tick

TIMES = st.builds(HybridTime, st.integers(0, 10**6), st.integers(0, 100))
WALLS = st.floats(0, 2000)


class HybridClockTest(testtools.TestCase):
    def test_wall_clock_step_back_keeps_order(self):
        """A wall clock that steps back must not reorder a node's events."""
        clock = HybridTime(5000, 2)
        self.assertEqual(tick(clock, 1.0), HybridTime(5000, 3))

    def test_remote_far_ahead_is_limited(self):
        """One node with a wrong clock must not advance the clocks of all others."""
        merged = merge(HybridTime(1000), HybridTime(10**12), 1.0)
        self.assertTrue(merged.beyond_limit)
        limit_ms = int((1.0 + MAX_DRIFT_S) * 1000)
        self.assertEqual(merged.clock, HybridTime(limit_ms, 1))

    @settings(derandomize=True, deadline=None)
    @given(TIMES, TIMES, WALLS)
    def test_receipt_follows_both(self, clock, remote, wall_s):
        """A receipt with a timestamp before its cause would reverse the timeline."""
        merged = merge(clock, remote, wall_s)
        self.assertGreater(merged.clock, clock)
        if not merged.beyond_limit:
            self.assertGreater(merged.clock, remote)

    @settings(derandomize=True, deadline=None)
    @given(TIMES, WALLS)
    def test_tick_is_later(self, clock, wall_s):
        """Two events of a node must never share a timestamp."""
        self.assertGreater(tick(clock, wall_s), clock)
