"""Test that 83 nodes refuse only what exceeds a workspace's limit."""

import testtools

from tests.decisions.limitcluster import WINDOW_S, Cluster, Workspace

NODES = 83
LARGE = Workspace("large", 100_000.0)
SMALL = Workspace("small", 20_000.0)
# The change happens at this time, and the run ends at that one.
CHANGE_S = 16.0
END_S = 36.0
# Share of the requests within the limit that may be refused, and the part of the limit
# that their workspace asks for at most: 83 nodes hear of each other's use up to 1.6 s
# late, in which a workspace uses a fifth of its limit with costs of a heavy tail.
MAX_REFUSED = 0.02
WITHIN = 0.9
# Least use of the limit by a workspace that asks for more, in each window and in the
# mean. Use that came at once leaves the window at once; nodes refill it in a second.
MIN_USED = 0.7
MIN_MEAN_USED = 0.95


class WithinLimitTest(testtools.TestCase):
    """Offer less than the limit in each window, and count refusals."""

    def check(self, scenario):
        """Run a scenario with two seeds for each workspace, and sum the refusals."""
        for workspace in (LARGE, SMALL):
            refused = total = 0
            for seed in range(2):
                cluster = Cluster(NODES, seed)
                scenario(cluster, workspace)
                cluster.run(END_S)
                busiest = max(cluster.windows(workspace.name, 0.0, END_S))
                self.assertLessEqual(busiest, workspace.bound)
                counts = cluster.refused_within(workspace, WINDOW_S, WITHIN)
                refused, total = refused + counts[0], total + counts[1]
            self.assertGreater(total, 100)
            self.assertLessEqual(
                refused, MAX_REFUSED * total, f"{refused} of {total}, {workspace.name}"
            )

    def test_demand_that_jumps_to_nine_tenths_is_served(self):
        """Requests were refused within the limit while demand rose in a second."""

        def scenario(cluster, workspace):
            cluster.offer(workspace, lambda at_s: 0.2 if at_s < CHANGE_S else 0.9)

        self.check(scenario)

    def test_callers_that_move_to_other_nodes_are_served(self):
        """The share of a node was too small for callers that came from others."""

        def scenario(cluster, workspace):
            def choose(at_s):
                return cluster.rng.randrange(NODES if at_s < CHANGE_S else 4)

            cluster.offer(workspace, lambda _: 0.85, choose)

        self.check(scenario)

    def test_callers_are_served_when_a_third_of_the_nodes_is_lost(self):
        """The reserved shares of lost nodes turned away usual use."""

        def scenario(cluster, workspace):
            lost = set(range(0, NODES, 3))
            cluster.at(CHANGE_S, lambda _: cluster.stopped.update(lost))
            cluster.offer(workspace, lambda _: 1 / 1.8)

        self.check(scenario)

    def test_callers_are_served_at_once_after_an_overload(self):
        """Demand of the last seconds, and refused callers, closed nodes for long."""
        for seed in range(2):
            cluster = Cluster(NODES, seed)
            cluster.offer(LARGE, lambda at_s: 3.0 if 4.0 < at_s < 12.0 else 1 / 1.8)
            cluster.run(END_S)
            refused, total = cluster.refused_within(LARGE, 12.0, WITHIN)
            self.assertLessEqual(refused, MAX_REFUSED * total, f"{refused} of {total}")


class OverLimitTest(testtools.TestCase):
    """Offer several times the limit: the limit is used, and not more than allowed."""

    def check(self, cluster, workspace, start_s):
        sums = cluster.windows(workspace.name, start_s, END_S)
        limit = workspace.limit
        figures = f"{min(sums) / limit:.2f} to {max(sums) / limit:.2f} of the limit"
        self.assertLessEqual(max(sums), workspace.bound, figures)
        self.assertGreaterEqual(min(sums), MIN_USED * limit, figures)
        self.assertGreaterEqual(sum(sums) / len(sums), MIN_MEAN_USED * limit, figures)

    def test_a_workspace_over_its_limit_uses_all_of_it(self):
        """Rounded shares left room unused, or were exceeded."""
        for load in (2.0, 5.0):
            for workspace in (LARGE, SMALL):
                cluster = Cluster(NODES, 1)
                cluster.offer(workspace, lambda _, load=load: load)
                cluster.run(END_S)
                self.check(cluster, workspace, 0.0)

    def test_the_others_are_served_beside_a_workspace_over_its_limit(self):
        """A workspace at 5 times its usual use had others refused."""
        cluster = Cluster(NODES, 2)
        cluster.offer(LARGE, lambda at_s: (1.0 if at_s < CHANGE_S else 5.0) / 1.8)
        cluster.offer(SMALL, lambda _: 1 / 1.8)
        cluster.run(END_S)
        self.check(cluster, LARGE, CHANGE_S)
        refused, total = cluster.refused_within(SMALL, 0.0, WITHIN)
        self.assertLessEqual(refused, MAX_REFUSED * total, f"{refused} of {total}")

    def test_both_sides_of_a_partition_together_keep_the_bound(self):
        """Each side of a partition gave its callers the room of both."""
        for workspace in (LARGE, SMALL):
            cluster = Cluster(NODES, 3)
            third = set(range(0, NODES, 3))
            cluster.at(CHANGE_S, lambda _, c=cluster, n=third: c.partitioned.update(n))
            cluster.offer(workspace, lambda _: 3.0)
            cluster.run(END_S)
            sums = cluster.windows(workspace.name, 0.0, END_S)
            self.assertLessEqual(max(sums), workspace.bound)
