"""Test the candidates and loads that the tracker of upstreams keeps, and learns."""

import random

import testtools

from cicadapass_decisions.learnedcapacity import LearnedCapacity
from cicadapass_decisions.passthrough import Prompt, PromptSegment, UpstreamRecord
from cicadapass_decisions.peerloads import PEER_LOAD_MAX_AGE_S
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

    def test_unchanged_load_reaches_a_new_start_and_renews_its_age(self):
        """A load that was taken for unchanged was missing at an engine's new start."""
        self.candidate()
        self.tracker.apply_load("p", {"u1": (2, 0), "u2": (2, 0)}, 100.0)
        self.assertEqual(2, self.candidate().running)
        self.list_upstreams(record("u1", started_ms=2, sequence=2), record("u2"))
        self.assertEqual(0, self.candidate(102.0).running)
        for now_s in (102.0, 104.0, 106.0):
            self.tracker.apply_load("p", {"u1": (2, 0), "u2": (2, 0)}, now_s)
            candidates = self.tracker.candidates("s", PROMPT, (), now_s + 1.0)
            self.assertEqual([2, 2], [each.running for each in candidates])

    def test_loads_of_restarting_peers_and_engines_equal_the_last_reports(self):
        """An engine kept or lacked the load of a peer after an unchanged report.

        A peer that restarts reports nothing at first; a new start of an engine has the
        load of the next report only, and each load expires without one.
        """
        ids = ("u1", "u2", "u3")
        for seed in range(40):
            rng = random.Random(seed)
            self.tracker = UpstreamTracker("n", "dc-a", 3.0)
            starts, loads, now_s = dict.fromkeys(ids, 1), {}, 100.0
            self.list_upstreams(*(record(each) for each in ids))
            self.tracker.candidates("s", PROMPT, (), now_s)
            for _ in range(100):
                now_s += rng.choice((0.0, 0.2, 0.2, 1.5, 3.0))
                peer = rng.choice(("p", "q"))
                if rng.random() < 0.1:
                    restarted = rng.choice(ids)
                    starts[restarted] += 1
                    self.list_upstreams(
                        *(
                            record(k, started_ms=v, sequence=v)
                            for k, v in starts.items()
                        )
                    )
                    loads = {k: v for k, v in loads.items() if k[1] != restarted}
                elif rng.random() < 0.2:
                    upstream_id = rng.choice(ids)
                    self.tracker.apply_send(peer, upstream_id, 900, now_s)
                    running, _ = loads.get((peer, upstream_id), (0, now_s))
                    loads[peer, upstream_id] = (running, now_s)
                else:
                    reported = rng.sample(ids, rng.choice((0, 1, 2, 2, 3)))
                    load = {
                        each: (rng.choice((1, 1, 1, 2)), rng.choice((0, 0, 900)))
                        for each in reported
                    }
                    self.tracker.apply_load(peer, load, now_s)
                    loads = {k: v for k, v in loads.items() if k[0] != peer}
                    loads |= {(peer, k): (v[0], now_s) for k, v in load.items()}
                expected = {
                    each: sum(
                        running
                        for (_, upstream_id), (running, at_s) in loads.items()
                        if upstream_id == each and now_s - at_s < PEER_LOAD_MAX_AGE_S
                    )
                    for each in ids
                }
                candidates = self.tracker.candidates("s", PROMPT, (), now_s)
                self.assertEqual(
                    expected, {each.upstream_id: each.running for each in candidates}
                )

    def test_equal_counts_with_other_tokens_are_loads_of_their_own(self):
        """Engines shared the load of one whose prompt was still to be read."""
        self.candidate()
        self.tracker.apply_load("p", {"u1": (1, 50_000), "u2": (1, 0)}, 100.0)
        first, second = self.tracker.candidates("s", PROMPT, (), 100.0)
        self.assertGreater(first.backlog_s, second.backlog_s)
        self.assertEqual(0, second.backlog_s)

    def test_reported_send_ends_with_an_unchanged_load(self):
        """An engine named only in a report stayed busy, as the state was unchanged."""
        self.candidate()
        self.tracker.apply_load("p", {"u2": (1, 0)}, 100.0)
        self.tracker.apply_send("p", "u1", 50_000, 100.1)
        self.assertGreater(self.candidate(100.1).backlog_s, 0)
        self.tracker.apply_load("p", {"u2": (1, 0)}, 100.2)
        self.assertEqual(0, self.candidate(100.2).backlog_s)
        self.tracker.apply_load("p", {"u1": (1, 0), "u2": (1, 0)}, 100.3)
        self.assertEqual(1, self.candidate(100.3).running)
        self.tracker.apply_load("p", {"u2": (1, 0)}, 100.4)
        self.assertEqual(0, self.candidate(100.4).running)
        self.tracker.apply_load("p", {}, 100.4)
        candidates = self.tracker.candidates("s", PROMPT, (), 100.4)
        self.assertEqual([0, 0], [each.running for each in candidates])


STREAM_PROMPT = Prompt(prompt_tokens=1000)
ENGINE = UpstreamRecord("e", "s", "h", 1, "dc", 64, False, 1, 1)


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
        reservation = self.tracker.begin(ENGINE, STREAM_PROMPT, 0.0, begin_s)
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
        candidate = self.tracker.candidates("s", STREAM_PROMPT, (), 3.0)[0]
        self.assertEqual(64, candidate.level)
        self.start(UpstreamRecord("e", "s", "h", 1, "dc", 64, False, 2, 1))
        self.assertIsNone(self.tracker.candidates("s", STREAM_PROMPT, (), 3.0)[0].level)
        self.assertEqual([], self.rows())

    def test_nothing_is_learnt_unless_it_is_enabled(self):
        """Nodes without the setting placed requests by levels."""
        self.tracker.learned = None
        self.stream(1.0, 2.05)
        self.tracker.update_capacity(["s"], 0.5)
        self.assertIsNone(self.tracker.candidates("s", STREAM_PROMPT, (), 3.0)[0].level)
