"""Test how the eras of the registry are judged."""

import testtools

from cicadapass_decisions.logposition import MAX_ERA, EraJudgement, judge_era


class JudgeEraTest(testtools.TestCase):
    def test_a_later_era_is_a_rise(self):
        """A node overlooked the return of the registry from a copy."""
        self.assertEqual(EraJudgement.RISEN, judge_era(3, 3, 4))
        self.assertEqual(EraJudgement.RISEN, judge_era(0, 0, 1))

    def test_an_answer_that_was_on_its_way_is_outdated(self):
        """A read from before the return was taken for one of the log behind it."""
        self.assertEqual(EraJudgement.OUTDATED, judge_era(3, 4, 3))

    def test_a_malformed_era_changes_nothing(self):
        """An era that fell or was huge made a node read everything again."""
        for answered in (None, 2, -1, MAX_ERA + 1):
            self.assertEqual(EraJudgement.ODD, judge_era(3, 3, answered), answered)

    def test_a_registry_without_eras_is_served_as_before(self):
        """A registry that names no era was reported at each answer."""
        self.assertEqual(EraJudgement.SAME, judge_era(0, 0, None))
