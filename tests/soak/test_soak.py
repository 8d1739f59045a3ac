"""Short seeded runs of the soak test, and tests of the faults that it draws."""

import itertools
import json
import tempfile
from collections import Counter
from pathlib import Path

import testtools

from tests.gateway.harness import LoopTest
from tests.soak.faults import (
    ANSWER_KINDS,
    CROWD_KINDS,
    ENDLESS_KINDS,
    ENTRY_KINDS,
    KIND_WEIGHTS,
    ROLLOUT_KINDS,
    TROUBLE_KINDS,
    draw_faults,
    draw_returns,
)
from tests.soak.world import play_faults

SEED = 4
LENGTH_S = 12.0
# Covers the faults and the recovery of a run, also on a busy machine.
RUN_TIMEOUT_S = 150.0
# Seeds that failed in the past, each with its cause.
FAILED_SEEDS = Path(__file__).with_name("seeds.json")


class FaultsTest(testtools.TestCase):
    def test_a_seed_always_draws_the_same_faults(self):
        """A failed seed must be reproducible."""
        self.assertEqual(draw_faults(7, 60.0), draw_faults(7, 60.0))
        self.assertNotEqual(draw_faults(7, 60.0), draw_faults(8, 60.0))

    def test_all_kinds_are_drawn_and_overlap(self):
        """Every kind of fault must be drawn, and faults must overlap in every seed."""
        faults = [fault for seed in range(50) for fault in draw_faults(seed, 20.0)]
        self.assertEqual(
            {
                *KIND_WEIGHTS,
                *TROUBLE_KINDS,
                *ANSWER_KINDS,
                *ENDLESS_KINDS,
                *ENTRY_KINDS,
                *CROWD_KINDS,
                *ROLLOUT_KINDS,
            },
            set(Counter(fault.kind for fault in faults)),
        )
        for seed in range(50):
            drawn = draw_faults(seed, 20.0)
            pairs = itertools.pairwise(drawn)
            self.assertTrue(
                any(
                    first.at_s + first.duration_s > second.at_s
                    for first, second in pairs
                )
            )


class SeedTest(LoopTest):
    timeout_s = RUN_TIMEOUT_S

    def run_seed(self, seed, length_s, draw=draw_faults):
        """Run one seed; expect no violation and at least a quarter of calls served."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        faults = draw(seed, length_s)
        violations, records = self.run_loop(play_faults(seed, folder, faults))
        self.assertEqual([], violations)
        served = sum(1 for call in records.calls if call.status == 200)
        self.assertGreater(served, len(records.calls) / 4)

    def test_a_seeded_run_has_no_violations(self):
        """Overlapping faults must not violate a guarantee to a caller or an engine."""
        self.run_seed(SEED, LENGTH_S)

    def test_returns_of_the_store_have_no_violations(self):
        """A return of the store from a copy must not violate a guarantee."""
        self.run_seed(SEED, LENGTH_S, draw_returns)

    def test_seeds_that_once_failed_have_no_violations(self):
        """Guards against the return of failures that the soak test has found."""
        for case in json.loads(FAILED_SEEDS.read_text()):
            self.run_seed(case["seed"], case["length_s"])
