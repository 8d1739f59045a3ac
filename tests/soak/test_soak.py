"""Play a short seeded run of the soak, and the faults that it draws."""

import itertools
import json
import tempfile
from collections import Counter
from pathlib import Path

import testtools

from tests.gateway.harness import LoopTest
from tests.soak.faults import KIND_WEIGHTS, draw_faults
from tests.soak.world import play_seed

SEED = 4
LENGTH_S = 12.0
# A run plays its faults, settles and may take as long again on a busy machine.
RUN_TIMEOUT_S = 150.0
# Seeds that once failed, each with its cause.
FAILED_SEEDS = Path(__file__).with_name("seeds.json")


class FaultsTest(testtools.TestCase):
    def test_a_seed_always_draws_the_same_faults(self):
        """A failed seed could not be played again."""
        self.assertEqual(draw_faults(7, 60.0), draw_faults(7, 60.0))
        self.assertNotEqual(draw_faults(7, 60.0), draw_faults(8, 60.0))

    def test_all_kinds_are_drawn_and_overlap(self):
        """A kind of fault was never drawn, or only one at a time."""
        faults = [fault for seed in range(50) for fault in draw_faults(seed, 20.0)]
        self.assertEqual(
            set(KIND_WEIGHTS), set(Counter(fault.kind for fault in faults))
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

    def play(self, seed, length_s):
        """Play one seed and expect every promise to be kept."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        violations, records = self.run_loop(play_seed(seed, folder, length_s))
        self.assertEqual([], violations)
        served = sum(1 for call in records.calls if call.status == 200)
        self.assertGreater(served, len(records.calls) / 4)

    def test_a_seeded_run_has_no_violations(self):
        """Faults that overlap broke a promise to a caller or an engine."""
        self.play(SEED, LENGTH_S)

    def test_seeds_that_once_failed_have_no_violations(self):
        """A fault that the soak had found came back."""
        for case in json.loads(FAILED_SEEDS.read_text()):
            self.play(case["seed"], case["length_s"])
