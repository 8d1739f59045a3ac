"""Test how nodes distribute the reads of the registry."""

import random

import testtools

from cicadapass_decisions.readsharing import (
    FAILURE_PAUSE_S,
    FULL_RATE_READERS,
    MAX_FAILURE_PAUSE_S,
    WATCHERS,
    failure_pause_s,
    is_watcher,
    read_interval_s,
)

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


class WatcherTest(testtools.TestCase):
    def test_all_nodes_choose_the_same_watchers(self):
        """Each node waited for changes, or none did."""
        names = [f"n{number}" for number in range(195)]
        watchers = [name for name in names if is_watcher(name, names)]
        self.assertEqual(WATCHERS, len(watchers))
        rest = [name for name in names if name not in watchers[1:]]
        self.assertTrue(is_watcher(watchers[0], rest))
        self.assertEqual(WATCHERS, sum(is_watcher(name, rest) for name in rest))

    def test_a_node_without_peers_watches(self):
        """Few nodes, or one that hears none, waited for others."""
        self.assertTrue(is_watcher("n", []))
        names = [f"n{number}" for number in range(WATCHERS)]
        self.assertTrue(all(is_watcher(name, names) for name in names))


class FailurePauseTest(testtools.TestCase):
    def test_pauses_grow_up_to_a_limit(self):
        """Refused nodes repeated each call three times a second."""
        rng = random.Random(1)
        pauses = [failure_pause_s(failures, rng) for failures in range(1, 2000)]
        self.assertEqual(FAILURE_PAUSE_S, pauses[0])
        self.assertLessEqual(max(pauses), MAX_FAILURE_PAUSE_S)
        self.assertGreater(min(pauses[3:]), MAX_FAILURE_PAUSE_S / 2 - 0.01)
