"""Test the drain of a node."""

import random

import testtools

from cicadapass import drain, handover
from cicadapass.config import DrainSettings
from cicadapass.drain import Drain, DrainDependencies
from cicadapass.inprogress import InProgress
from cicadapass_common.events import EventLog


class FakeClock:
    """Advance 0.05 s at each call, so that no test waits in real time."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        self.now_s += 0.05
        return self.now_s


class DrainTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeClock()
        self.events = EventLog("n", lambda: (0, 0))
        self.unfinished = []
        self.refused = []
        self.handed_over = []
        self.patch(drain, "CHECK_INTERVAL_S", 0.0)
        self.patch(drain, "hand_over", self.hand_over)

    def hand_over(self, unfinished, remaining_s, dependencies):
        self.handed_over.append((len(unfinished), remaining_s, self.clock.now_s))
        return len(unfinished)

    def new_drain(self, grace_s=600.0):
        dependencies = DrainDependencies(
            settings=DrainSettings(grace_s=grace_s, announce_s=0.5),
            events=self.events,
            in_progress=InProgress(),
            refuse_new=lambda: self.refused.append(self.clock.now_s),
            unfinished=lambda: tuple(self.unfinished),
            hand_over_dependencies=lambda: handover.HandOverDependencies(
                None, None, None, None, random.Random(1)
            ),
            clock=self.clock,
        )
        return Drain(dependencies)

    def test_an_idle_node_stops_at_once(self):
        """A drain without requests must not wait for the grace time."""
        node = self.new_drain()
        node.begin("test")
        self.assertEqual(0, node.finish())
        self.assertLess(self.clock.now_s, 2.0)
        self.assertEqual([], self.handed_over)

    def test_new_requests_are_served_while_the_stop_is_announced(self):
        """Load balancers still send requests until they see the node as not ready."""
        node = self.new_drain()
        node.begin("test")
        self.assertTrue(node.started)
        node.finish()
        self.assertGreaterEqual(self.refused[0], 0.5)

    def test_long_work_is_handed_over_before_the_deadline(self):
        """Requests must be handed over before the deadline reclaims the VM."""
        self.unfinished.append("request")
        node = self.new_drain()
        node.begin("notice", 20.0)
        self.assertEqual(1, node.finish())
        first, last = self.handed_over
        self.assertGreater(first[1], 0.0)
        self.assertEqual(0.0, last[1])
        self.assertLess(last[2], 20.0 - 2.0)
        self.assertLess(self.clock.now_s, 20.0)

    def test_an_earlier_deadline_shortens_the_drain(self):
        """A notice during a drain must bring the deadline forward, never back."""
        self.unfinished.append("request")
        node = self.new_drain()
        node.begin("stop")
        node.begin("notice", 10.0)
        node.begin("another notice", 500.0)
        node.finish()
        self.assertLess(self.clock.now_s, 10.0)
        self.assertEqual([102], [e.number for e in self.events.recent()][:1])
