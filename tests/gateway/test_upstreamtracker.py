"""Test the candidates and the loads that the tracker of upstreams keeps."""

import testtools

from cicadapass_decisions.passthrough import Prompt, PromptSegment, UpstreamRecord
from cicadapass_gateway.upstreamtracker import UpstreamTracker

PROMPT = Prompt((PromptSegment("a", 900), PromptSegment("own", 900)), 1800, 64)


def record(name, **changes):
    """Return the entry of a model engine."""
    values = {"leaving": False, "started_ms": 1, "sequence": 1, **changes}
    return UpstreamRecord(name, "s", "h", 1, "dc-a", 64, **values)


class TrackerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = UpstreamTracker("n", "dc-a", 3.0)
        self.list_upstreams(record("u1"), record("u2"))

    def list_upstreams(self, *records):
        self.tracker.view.replace(records, 100.0)
        self.tracker.refresh()

    def candidate(self, now_s=100.0):
        (first, _) = self.tracker.candidates("s", PROMPT, (), now_s)
        return first

    def test_unchanged_candidate_is_kept_and_each_change_shows(self):
        """A kept candidate hid a change, so that a full engine went on to get calls."""
        meter = self.tracker.meter(record("u1"))
        key = record("u1").start_key
        changes = (
            lambda: self.tracker.apply_load("p", {"u1": (3, 0)}, 100.0),
            lambda: self.tracker.apply_send("p", "u1", 5000, 100.0),
            lambda: self.tracker.apply_load("p", {}, 100.0),
            lambda: meter.record_failure(100.0),
            lambda: meter.record_full(100.0),
            lambda: meter.record_unreachable(100.0),
            lambda: setattr(meter, "call_s", 0.5),
            lambda: setattr(meter, "prefill_s_per_token", 0.5),
            lambda: self.tracker.pauses.record(key, 2.0, 100.0),
            lambda: self.tracker.limits.record_answer(key, 2.0, 99.0, 100.0),
            lambda: self.tracker.begin(record("u1"), PROMPT, 0.0, 100.0),
        )
        for number, change in enumerate(changes):
            before = self.candidate()
            self.assertIs(before, self.candidate())
            change()
            self.assertNotEqual(before, self.candidate(), f"change {number}")

    def test_new_start_of_an_upstream_gets_a_new_candidate(self):
        """A restarted engine kept the load and the failures of its predecessor."""
        self.tracker.apply_load("p", {"u1": (3, 0)}, 100.0)
        self.tracker.meter(record("u1")).record_failure(100.0)
        self.list_upstreams(record("u1", started_ms=2, sequence=2), record("u2"))
        self.assertEqual(0, self.candidate().running)
        self.assertEqual(0.0, self.candidate().failure_score)
        self.assertFalse(self.tracker.is_usable(record("u1")))
        self.tracker.apply_load("p", {"u1": (2, 0)}, 100.0)
        self.assertEqual(2, self.candidate().running)
