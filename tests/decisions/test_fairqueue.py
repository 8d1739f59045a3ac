"""Test the fair queue and the division of slots."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.fairqueue import FairQueue, QueueEntry, allocate_slots
from cicadapass_decisions.policy import QueueRules
from cicadapass_decisions.work import WorkKind

RULES = QueueRules()
SHORT, LONG = WorkKind.SHORT, WorkKind.LONG


def _queue(weights=None):
    return FairQueue(RULES, weights or {})


def _entry(name, workspace="w", priority=0, cost=1.0, deadline_s=9.0, kind=SHORT):
    return QueueEntry(name, workspace, priority, kind, cost, deadline_s, None)


def _serve(queue, count, kind=SHORT):
    served = []
    for _ in range(count):
        entry = queue.head(kind)
        queue.dequeue(entry)
        served.append(entry)
    return served


class FairnessTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.integers(2, 64), st.integers(0, 64), st.booleans())
    def test_long_work_leaves_slots_for_short(self, limit, short, long_waits):
        """Long work must never use the slots that are reserved for short work."""
        room = allocate_slots(limit, RULES)
        short, long = min(short, limit), 0
        while room.fits(LONG, short, long, long_waits):
            long += 1
        self.assertTrue(short + long <= limit)
        self.assertTrue(long >= 1 or short > 0)
        self.assertTrue(long <= limit - max(1, int(limit * 0.25)))
        if short == 0:
            self.assertTrue(room.fits(SHORT, 0, long, long_waits))

    def test_long_work_keeps_its_guaranteed_slots(self):
        """Endless short work must not starve waiting long work."""
        room = allocate_slots(8, RULES)
        self.assertFalse(room.fits(SHORT, 6, 0, long_waits=True))
        self.assertTrue(room.fits(SHORT, 6, 0, long_waits=False))
        self.assertTrue(room.fits(LONG, 6, 0, long_waits=True))

    def test_single_slot_serves_both(self):
        """An upstream with one slot must not refuse long work for ever."""
        self.assertTrue(allocate_slots(1, RULES).fits(LONG, 0, 0, long_waits=True))

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(
        st.integers(1, 5),
        st.integers(1, 5),
        st.lists(st.floats(1.0, 20.0), min_size=150, max_size=150),
    )
    def test_shares_follow_weights(self, flood_weight, calm_weight, costs):
        """A workspace that floods the queue must get only its share."""
        queue = _queue({"flood": float(flood_weight), "calm": float(calm_weight)})
        for i, cost in enumerate(costs):
            queue.enqueue(_entry(f"f{i}", "flood", cost=cost))
        for i, cost in enumerate(costs):
            queue.enqueue(_entry(f"c{i}", "calm", cost=cost))
        served_cost = {"flood": 0.0, "calm": 0.0}
        for entry in _serve(queue, 60):
            served_cost[entry.workspace] += entry.cost
        # Start-time fair queueing is off by at most one largest request of each flow.
        lag = abs(
            served_cost["flood"] / flood_weight - served_cost["calm"] / calm_weight
        )
        self.assertTrue(
            lag <= 20.0 / flood_weight + 20.0 / calm_weight + 1e-6, (served_cost, lag)
        )

    def test_idle_workspace_gets_no_credit(self):
        """A workspace that was idle must not take all slots when it returns."""
        queue = _queue()
        for i in range(20):
            queue.enqueue(_entry(f"a{i}", "a"))
        _serve(queue, 10)
        for i in range(20):
            queue.enqueue(_entry(f"b{i}", "b"))
        served = [entry.workspace for entry in _serve(queue, 10)]
        self.assertEqual(5, served.count("a"))

    def test_priority_within_a_workspace(self):
        """A higher priority must go before the workspace's other requests."""
        queue = _queue()
        queue.enqueue(_entry("low", priority=1))
        queue.enqueue(_entry("high", priority=5))
        self.assertEqual("high", queue.head(SHORT).request_id)

    def test_priority_passes_other_workspaces_within_the_burst(self):
        """Priority must shorten the wait, but not override the fair shares."""
        queue = _queue()
        for i in range(20):
            queue.enqueue(_entry(f"low{i}", "a", 1, cost=50.0))
            queue.enqueue(_entry(f"high{i}", "b", 9, cost=50.0))
        served = [entry.workspace for entry in _serve(queue, 20)]
        self.assertEqual(["b"] * 5, served[:5])
        self.assertTrue(served.count("a") >= 7, served)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 9)), min_size=1))
    def test_sheds_lowest_priority_first(self, items):
        """Overload must shed the requests of lowest priority first."""
        queue = _queue()
        for i, (workspace, priority) in enumerate(items):
            queue.enqueue(_entry(str(i), workspace, priority))
        shed = []
        while (lowest := queue.lowest_sheddable()) is not None:
            shed.append(lowest.priority)
            queue.cancel(lowest.request_id)
        self.assertEqual(sorted(shed), shed)
        self.assertEqual(len(items), len(shed))

    def test_sheds_the_flooding_workspace(self):
        """Among equal priorities, the workspace above its share must be shed first."""
        queue = _queue({"big": 10.0})
        for i in range(9):
            queue.enqueue(_entry(f"b{i}", "big"))
        for i in range(3):
            queue.enqueue(_entry(f"s{i}", "small"))
        queue.enqueue(_entry("last", "big"))
        self.assertEqual("s2", queue.lowest_sheddable().request_id)

    @settings(derandomize=True, deadline=None)
    # Steps: t serves the next entry, c cancels the new one, e expires old ones.
    @given(st.lists(st.tuples(st.floats(0, 10), st.sampled_from("tce")), max_size=40))
    def test_each_request_ends_once(self, steps):
        """Each request must be served, cancelled or expired exactly once."""
        queue, ended, now_s = _queue(), [], 0.0
        for i, (deadline_s, step) in enumerate(steps):
            queue.enqueue(_entry(str(i), deadline_s=deadline_s))
            now_s += 0.3
            if step == "t":
                ended += [entry.request_id for entry in _serve(queue, 1)]
            elif step == "c":
                queue.cancel(str(i))
                ended.append(str(i))
            else:
                ended += [entry.request_id for entry in queue.expire(now_s)]
        ended += [entry.request_id for entry in queue.expire(99.0)]
        self.assertEqual(sorted(str(i) for i in range(len(steps))), sorted(ended))
        self.assertEqual((0, 0.0), (len(queue), queue.cost_ahead(SHORT, "w", 0, 0.0)))
