"""Test how long upstreams get no requests after they asked for a pause."""

import testtools

from cicadapass_decisions.passthrough import Prompt
from cicadapass_decisions.placement import (
    Candidate,
    PlacementRequest,
    Send,
    Wait,
    pause_delay_s,
    place_request,
)
from cicadapass_decisions.upstreampauses import MAX_STORED, UpstreamPauses


def candidate(name, pause_s=0.0):
    """Return an idle upstream of a plain service."""
    return Candidate(name, "dc", True, 6, 0, 0.0, 0.0, 0.03, 0, 0.0, pause_s=pause_s)


class PauseTest(testtools.TestCase):
    def test_a_pause_ends_with_its_time(self):
        """An upstream got no requests after its pause had ended."""
        pauses = UpstreamPauses()
        self.assertTrue(pauses.record("u@1", 2.0, 10.0))
        self.assertEqual(0.5, pauses.remaining_s("u@1", 11.5))
        self.assertEqual(0.0, pauses.remaining_s("u@1", 12.0))
        self.assertEqual(0.0, pauses.remaining_s("u@2", 11.0))

    def test_a_shorter_time_does_not_end_a_pause(self):
        """A later refusal with a shorter time ended the pause too soon."""
        pauses = UpstreamPauses()
        pauses.record("u@1", 4.0, 10.0)
        self.assertFalse(pauses.record("u@1", 0.5, 11.0))
        self.assertEqual(2.0, pauses.remaining_s("u@1", 12.0))
        pauses.record("u@1", 4.0, 12.0)
        self.assertEqual(4.0, pauses.remaining_s("u@1", 12.0))

    def test_no_time_is_no_pause(self):
        """A time of 0 was logged as a pause."""
        self.assertFalse(UpstreamPauses().record("u@1", 0.0, 10.0))

    def test_ended_pauses_are_forgotten(self):
        """Each start of an upstream left a pause behind."""
        pauses = UpstreamPauses()
        for number in range(2 * MAX_STORED):
            pauses.record(f"u@{number}", 1.0, float(number))
        self.assertLessEqual(len(pauses._until_s), MAX_STORED + 1)


class PlacementTest(testtools.TestCase):
    def place(self, *candidates):
        """Return the decision on a plain call."""
        return place_request(
            PlacementRequest(Prompt(), False, 0.2, None, 0.0), candidates
        )

    def test_other_upstreams_are_used(self):
        """A paused upstream was chosen because it was idle."""
        decision = self.place(candidate("a", 1.0), candidate("b"))
        self.assertEqual("b", decision.upstream_id)
        self.assertIsInstance(decision, Send)

    def test_a_request_waits_for_the_first_end_of_a_pause(self):
        """The expected wait left out that all upstreams were paused."""
        paused = (candidate("a", 1.0), candidate("b", 0.25))
        decision = self.place(*paused)
        self.assertIsInstance(decision, Wait)
        self.assertGreater(decision.expected_s, 0.25)
        self.assertEqual(0.25, pause_delay_s(paused))
        self.assertEqual(0.0, pause_delay_s(()))
