"""Test what a node learns of an upstream."""

import testtools

from cicadapass_decisions.passthrough import Prompt, PromptPart
from cicadapass_decisions.upstreammeter import (
    HELD_S,
    PEER_FIGURES_S,
    PeerFigures,
    UpstreamMeter,
)

SHARED = Prompt((PromptPart("a", 500), PromptPart("own", 1500)), 2000, 100)


class MeterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.meter = UpstreamMeter()

    def test_own_sends_count_at_once(self):
        """Reports came late, and a burst went to one engine."""
        for key in "abc":
            self.meter.begin(key, Prompt(prompt_tokens=1000), 0.0)
        self.assertEqual(3, self.meter.running(0.0))
        self.assertEqual(3000, self.meter.reading_tokens(0.0))

    def test_read_prompts_leave_the_backlog(self):
        """An engine looked loaded long after it had read its prompts."""
        self.meter.begin("a", Prompt(prompt_tokens=10_000), 0.0)
        self.assertLess(self.meter.reading_tokens(0.1), 10_000)
        self.meter.first_token("a", 0.2)
        self.assertEqual(0, self.meter.reading_tokens(0.2))
        self.assertEqual(1, self.meter.running(0.2))

    def test_figures_of_a_silent_peer_expire(self):
        """The work of a node that ended kept an engine busy for ever."""
        self.meter.hear("p", PeerFigures(9, 50_000.0, 0.0))
        self.assertEqual(9, self.meter.running(0.1))
        self.assertEqual(0, self.meter.running(PEER_FIGURES_S))

    def test_shared_parts_are_held_for_a_while(self):
        """Every prompt was taken as unread."""
        self.meter.begin("a", SHARED, 0.0)
        self.assertEqual(500, self.meter.held_tokens(SHARED, 1.0))
        self.assertEqual(0, self.meter.held_tokens(SHARED, HELD_S + 1))

    def test_a_slow_engine_is_learnt_and_forgiven(self):
        """An engine that slowed down for a moment kept its share, or lost it."""
        normal = self.meter.token_s
        for number in range(10):
            self.meter.begin(str(number), Prompt(prompt_tokens=4000), number)
            self.meter.first_token(str(number), number + 0.8)
            self.meter.end(str(number), number + 0.9, succeeded=True)
        self.assertGreater(self.meter.token_s, 5 * normal)
        for step in range(40):
            self.meter.fade_speed(normal, 0.03, 20.0 + step)
        self.assertLess(self.meter.token_s, 2 * normal)

    def test_failures_fade(self):
        """An upstream that had recovered was avoided for good."""
        self.meter.fail(0.0)
        self.assertEqual(1.0, self.meter.failure_score(0.0))
        self.assertLess(self.meter.failure_score(12.0), 0.1)

    def test_a_request_that_says_nothing_changes_no_score(self):
        """Callers that left made an upstream look broken."""
        self.meter.begin("a", Prompt(), 0.0)
        self.meter.end("a", 1.0, succeeded=None)
        self.assertEqual(0.0, self.meter.failure_score(1.0))
        self.assertEqual(0, self.meter.running(1.0))


class SentTest(testtools.TestCase):
    def test_told_prompts_add_up_and_are_read(self):
        """A second prompt of a peer replaced its first one."""
        meter = UpstreamMeter()
        meter.hear("p", PeerFigures(1, 10_000.0, 0.0))
        meter.hear_sent("p", 5_000, 0.1)
        read = 0.1 / meter.token_s
        self.assertEqual(round(15_000 - read), round(meter.reading_tokens(0.1)))
        self.assertEqual(0.0, meter.reading_tokens(2.0))
        meter.hear("p", PeerFigures(1, 100.0, 0.1))
        self.assertEqual(100.0, meter.reading_tokens(0.1))
