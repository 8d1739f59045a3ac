"""Test the sums of what the nodes count during rollouts."""

import random
from unittest import mock

import testtools

from cicadapass_decisions.rolloutevidence import Counts, Side, add_up
from cicadapass_decisions.rollouts import RolloutOrder, adopt_order
from cicadapass_gateway import rolloutsums
from cicadapass_gateway.rolloutsums import RolloutSums

ROLLOUT = adopt_order(None, RolloutOrder("s", "v2", 12.0), 5, 100.0, ["v1"])
SIDES = [Side(route, engine) for route in ("a", "b") for engine in ("", "e1", "e2")]


def begun():
    """Return sums for a rollout that runs."""
    sums = RolloutSums(lambda: 100.0)
    sums.begin(ROLLOUT, goes_on=False)
    return sums


class RolloutSumsTest(testtools.TestCase):
    def test_lost_repeated_and_late_reports_leave_the_sums_exact(self):
        """A report that came twice or late changed the sums over all nodes."""
        rng, sums = random.Random(1), begun()
        reports, newest = [], {}
        for _ in range(300):
            node = f"n{rng.randrange(5)}"
            counts = dict(newest.get(node, {}))
            side = rng.choice(SIDES)
            counts[side] = counts.get(side, Counts()) + Counts(1, 1, 0, 1, 1)
            newest[node] = counts
            reports.append((node, counts))
        delivered = reports + rng.sample(reports, 200)
        rng.shuffle(delivered)
        for node, counts in delivered:
            sums.merge(ROLLOUT, counts, node)
        self.assertEqual(add_up(newest.values()), sums.evidence(ROLLOUT))

    def test_the_work_of_a_look_does_not_grow_with_the_nodes(self):
        """Each look added up the counts of all nodes, 11% of a core with 380."""
        numbers = []
        for nodes in (10, 40):
            sums = begun()
            for node in range(nodes):
                sums.merge(ROLLOUT, dict.fromkeys(SIDES, Counts(2, 2)), f"n{node}")
            with mock.patch.object(rolloutsums, "add_up", wraps=add_up) as add:
                sums.judge(ROLLOUT, 2)
            (reports,) = add.call_args.args
            numbers.append(sum(map(len, reports)))
        self.assertEqual(numbers[0], numbers[1])

    def test_a_new_rollout_begins_without_counts(self):
        """Answers of an earlier rollout counted for a later one."""
        sums = begun()
        sums.merge(ROLLOUT, {SIDES[1]: Counts(2, 2, 2)}, "n")
        later = adopt_order(None, RolloutOrder("s", "v3", 12.0), 9, 200.0, ["v1"])
        sums.begin(later, goes_on=False)
        self.assertEqual({}, sums.evidence(later))
        self.assertEqual({}, sums.evidence(ROLLOUT))
