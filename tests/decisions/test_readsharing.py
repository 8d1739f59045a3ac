"""Test how nodes distribute the reads of the registry."""

import random

import testtools

from cicadapass_decisions.readsharing import FULL_RATE_READERS, read_interval_s

BASE_INTERVAL_S = 0.7


class ReadIntervalTest(testtools.TestCase):
    def test_few_nodes_read_at_the_base_interval(self):
        """The nodes of a small group read less often, and detected changes later."""
        rng = random.Random(1)
        self.assertEqual(
            BASE_INTERVAL_S, read_interval_s(BASE_INTERVAL_S, FULL_RATE_READERS, rng)
        )

    def test_total_read_rate_is_bounded(self):
        """80 nodes made eight times as many calls as 10 nodes."""
        rng = random.Random(1)
        for nodes in (30, 80, 380):
            waits = [read_interval_s(BASE_INTERVAL_S, nodes, rng) for _ in range(2000)]
            calls_per_s = nodes / (sum(waits) / len(waits))
            self.assertLess(abs(calls_per_s - FULL_RATE_READERS / BASE_INTERVAL_S), 1.0)
