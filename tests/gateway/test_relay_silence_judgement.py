"""Test that nodes hold a passing silence against no engine and no prompt."""

import testtools

from tests.gateway.silence import (
    BETWEEN_EVENTS,
    WITHIN_BODY,
    WITHIN_EVENT,
    Silences,
)
from tests.gateway.silencechecks import judgements, play_silences, silent_share, summary

# What a silent engine keeps of the requests that it gets without silences.
KEPT_SHARE = 0.75


class JudgementTest(testtools.TestCase):
    def test_a_silence_is_held_against_no_engine_and_no_segment(self):
        """Engines that went on after a silence got the score of failed ones."""
        cluster = play_silences(1, Silences())
        self.assertEqual({}, judgements(cluster), summary(cluster))

    def test_engines_that_fall_silent_keep_their_share(self):
        """Engines that fell silent after they had read the prompt were shunned."""
        places = frozenset([BETWEEN_EVENTS, WITHIN_EVENT, WITHIN_BODY])
        before = silent_share(play_silences(1, Silences(0.0, engines=1 / 3)))
        after = silent_share(play_silences(1, Silences(engines=1 / 3, places=places)))
        self.assertGreater(after, KEPT_SHARE * before)
