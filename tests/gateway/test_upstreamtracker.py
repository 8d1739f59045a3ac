"""Test what the tracker of upstreams learns."""

import testtools

from cicadapass_decisions.learnedcapacity import LearnedCapacity
from cicadapass_decisions.passthrough import Prompt, UpstreamRecord
from cicadapass_gateway.upstreamtracker import UpstreamTracker

ENGINE = UpstreamRecord("e", "s", "h", 1, "dc", 64, False, 1, 1)
PROMPT = Prompt(prompt_tokens=1000)


class LearningTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = UpstreamTracker("n", "dc", 2.0)
        self.tracker.learned = LearnedCapacity()
        self.start(ENGINE)

    def start(self, record):
        """Replace the engine by this start of it."""
        self.tracker.view.replace([record], 0.0)
        self.tracker.refresh()

    def stream(self, begin_s, end_s, event_s=0.02):
        """Serve a stream, with the periodic checks of a node that is in time."""
        reservation = self.tracker.begin(ENGINE, PROMPT, 0.0, begin_s)
        self.tracker.record_check(begin_s)
        self.tracker.first_token(reservation, begin_s)
        self.tracker.record_progress(reservation, 1, begin_s)
        now_s = begin_s
        while now_s < end_s:
            now_s += 0.1
            self.tracker.record_check(now_s)
            events = round((now_s - begin_s) / event_s)
            self.tracker.record_progress(reservation, events, now_s)
        return reservation, events

    def rows(self):
        """Return the totals that the node tells others."""
        return self.tracker.learned.export(5.0)

    def test_events_count_unless_the_node_was_late(self):
        """A node that was frozen took the silence for slow engines."""
        reservation, events = self.stream(1.0, 2.05)
        self.assertGreater(self.rows()[0][1], 40)
        before = self.rows()
        self.tracker.record_progress(reservation, events + 9, 4.0)
        self.tracker.record_check(4.01)
        self.tracker.record_progress(reservation, events + 10, 4.02)
        self.tracker.end(reservation, 4.02, succeeded=True, events=events + 10)
        self.assertEqual(before, self.rows())

    def test_a_restart_under_the_same_id_begins_anew(self):
        """The level of a machine held for the next one of the same name."""
        self.stream(1.0, 2.05)
        for _ in range(3):
            self.tracker.update_capacity(["s"], 0.5)
        candidate = self.tracker.candidates("s", PROMPT, (), 3.0)[0]
        self.assertEqual(64, candidate.level)
        self.start(UpstreamRecord("e", "s", "h", 1, "dc", 64, False, 2, 1))
        self.assertIsNone(self.tracker.candidates("s", PROMPT, (), 3.0)[0].level)
        self.assertEqual([], self.rows())

    def test_nothing_is_learnt_unless_it_is_enabled(self):
        """Nodes without the setting placed requests by levels."""
        self.tracker.learned = None
        self.stream(1.0, 2.05)
        self.tracker.update_capacity(["s"], 0.5)
        self.assertIsNone(self.tracker.candidates("s", PROMPT, (), 3.0)[0].level)
