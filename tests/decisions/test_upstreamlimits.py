"""Test how nodes keep the limits that upstreams name."""

import math

import testtools

from cicadapass_decisions.passthrough import Prompt
from cicadapass_decisions.placement import (
    Candidate,
    PlacementRequest,
    Send,
    Wait,
    limit_delay_s,
    place_request,
)
from cicadapass_decisions.upstreamlimits import Room, UpstreamLimits

KEY = "i-1@1"
WINDOW_S, FACTOR, SLACK = 4.0, 1.5, 5


def make_nodes(count):
    """Return the limits of nodes that know each other."""
    names = [f"n{number}" for number in range(count)]
    nodes = [UpstreamLimits(name) for name in names]
    for node in nodes:
        node.set_members(names)
    return nodes


def candidate(name, room=None, running=0):
    """Return an engine as a candidate."""
    return Candidate(
        upstream_id=name,
        data_centre="dc",
        local=True,
        slots=64,
        running=running,
        backlog_s=0.0,
        prefill_s_per_token=1e-5,
        call_s=0.03,
        cached_tokens=0,
        failure_score=0.0,
        room=room,
    )


class WordTest(testtools.TestCase):
    def test_an_answer_without_a_limit_ends_it_only_if_it_is_newer(self):
        """An answer that had been overtaken ended a limit that was in force."""
        limits = UpstreamLimits("n")
        self.assertTrue(limits.record_answer(KEY, 2.0, 1.0, 5.0))
        self.assertFalse(limits.record_answer(KEY, None, 4.0, 6.0))
        self.assertEqual(2.0, limits.limit(KEY).rate_per_s)
        self.assertTrue(limits.record_answer(KEY, None, 5.5, 6.0))
        self.assertIsNone(limits.limit(KEY))
        self.assertIsNone(limits.room(KEY, 6.0))

    def test_the_newest_report_counts(self):
        """Old news of a peer replaced what this node had heard since."""
        limits, peer = make_nodes(2)
        peer.record_answer(KEY, 3.0, 1.0, 2.0)
        limits.record_answer(KEY, 1.0, 2.0, 4.0)
        self.assertEqual([], limits.merge(peer.export(5.0), 5.0))
        self.assertEqual(1.0, limits.limit(KEY).rate_per_s)
        self.assertEqual([(KEY, 1.0)], peer.merge(limits.export(5.0), 5.0))
        limits.record_answer(KEY, None, 6.0, 7.0)
        self.assertEqual([(KEY, None)], peer.merge(limits.export(7.0), 7.0))
        self.assertIsNone(peer.limit(KEY))

    def test_another_start_begins_without_a_limit(self):
        """An engine that had started again kept the limit of its last start."""
        limits = UpstreamLimits("n")
        limits.record_answer(KEY, 2.0, 1.0, 5.0)
        limits.keep(["i-1@2"])
        self.assertIsNone(limits.room(KEY, 6.0))
        self.assertIsNone(limits.room("i-1@2", 6.0))
        self.assertEqual([], limits.export(6.0))

    def test_malformed_reports_raise_the_documented_errors(self):
        """A message of a peer set a limit that is no number."""
        for row in ([KEY, "x", 1], [KEY, float("nan"), 1], [KEY, -1.0, 1], [KEY]):
            error = self.assertRaises(
                (ValueError, TypeError), UpstreamLimits("n").merge, [row], 1.0
            )
            self.assertIsInstance(error, (ValueError, TypeError))


class ShareTest(testtools.TestCase):
    def arrivals(self, count, rate, seconds=20.0, members=None):
        """Return when nodes that always have requests send them."""
        nodes = make_nodes(count)
        for number, node in enumerate(nodes):
            if members is not None:
                node.set_members(members(number))
            node.record_answer(KEY, rate, 0.0, 0.0)
        times = []
        for step in range(int(seconds / 0.02)):
            now_s = step * 0.02
            for node in nodes:
                while node.room(KEY, now_s).requests >= 1.0:
                    node.take(KEY, now_s)
                    times.append(now_s)
        return times

    def check(self, times, rate):
        """Expect no window with more than the platform allows."""
        most = max(sum(t <= at < t + WINDOW_S for at in times) for t in times)
        self.assertLessEqual(most, FACTOR * rate * WINDOW_S + SLACK)

    def test_all_nodes_together_keep_any_limit(self):
        """Shares of many nodes added up to more than the limit."""
        for count in (1, 2, 7, 58, 80, 380):
            for rate in (0.0, 0.3, 1.0, 1.3, 2.5, 7.9, 40.0, 300.0):
                times = self.arrivals(count, rate, 10.0)
                self.check(times, rate)
                self.assertGreaterEqual(len(times) + 2.5, 0.9 * rate * 10.0)

    def test_an_upstream_with_a_limit_of_zero_is_still_asked_now_and_then(self):
        """A limit of zero never ended, since no answer could say so."""
        self.assertGreaterEqual(len(self.arrivals(7, 0.0)), 3)

    def test_two_halves_that_lost_each_other_exceed_the_limit_by_little(self):
        """Each half of the nodes used the whole limit and more."""
        halves = [["n0", "n1", "n2"], ["n3", "n4", "n5", "n6"]]
        for rate in (0.3, 0.8, 1.3, 2.0):
            times = self.arrivals(7, rate, members=lambda n: halves[n > 2])
            self.check(times, rate)

    def test_a_new_owner_begins_without_room(self):
        """Nodes that took over a share each sent a burst."""
        times, nodes = [], make_nodes(7)
        names = [f"n{number}" for number in range(7)]
        for node in nodes:
            node.record_answer(KEY, 1.3, 0.0, 0.0)
        for step in range(1000):
            now_s = step * 0.02
            gone = names[step // 40 % 7]
            for node in nodes:
                node.set_members(name for name in names if name != gone)
                while node.room(KEY, now_s).requests >= 1.0:
                    node.take(KEY, now_s)
                    times.append(now_s)
        self.check(times, 1.3)


class PlacementTest(testtools.TestCase):
    def request(self):
        """Return a model request."""
        return PlacementRequest(Prompt((), 1000, 100), True, 0.5, None, 0.0)

    def test_an_upstream_without_room_is_passed_over(self):
        """A limited engine looked idle and drew all requests."""
        limited = candidate("a", Room(0.5, 1.3))
        chosen = place_request(self.request(), [limited, candidate("b", running=9)])
        self.assertEqual("b", chosen.upstream_id)
        self.assertIsInstance(place_request(self.request(), [limited]), Wait)
        roomy = candidate("a", Room(1.0, 1.3))
        self.assertIsInstance(place_request(self.request(), [roomy]), Send)

    def test_requests_that_limits_leave_no_room_for_are_known_at_once(self):
        """Requests waited until they were overdue while all engines were limited."""
        limited = [candidate("a", Room(0.0, 2.0)), candidate("b", Room(1.0, 0.0))]
        self.assertEqual(0.0, limit_delay_s(limited, 0))
        self.assertEqual(2.0, limit_delay_s(limited, 4))
        self.assertEqual(0.0, limit_delay_s([*limited, candidate("c")], 9))
        self.assertEqual(math.inf, limit_delay_s([candidate("a", Room(0.0, 0.0))], 0))
