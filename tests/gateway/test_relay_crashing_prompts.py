"""Test that a prompt segment that crashes engines soon reaches no more of them."""

import asyncio
from collections import Counter

import testtools

from tests.gateway.enginecluster import EngineCluster, Load
from tests.gateway.virtualcluster import run_virtual

# The platform's bound: this long after the fifth crash, at most so many requests with
# the segment reach engines.
CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
SETTLE_S = 4.0
LENGTH_S = 40.0


async def play(nodes, engines, seed, load=None, length_s=LENGTH_S, disturb=None):
    """Start a cluster, send it requests and return it with the observations."""
    cluster = EngineCluster(nodes, engines, seed, load)
    await cluster.start(SETTLE_S)
    cluster.started_s = cluster.now_s()
    if disturb is not None:
        cluster.spawn(disturb(cluster))
    await cluster.run(length_s)
    return cluster


async def end_engines_in_waves(cluster):
    """End engines without notice, alone and together, a few seconds apart."""
    for count in (1, 3, 1, 1, 4, 2, 1):
        await asyncio.sleep(cluster.rng.uniform(0.2, 4.0))
        await cluster.end_engines(count)


async def restart_nodes(cluster):
    """Replace nodes by new ones, one after the other, while requests come."""
    await asyncio.sleep(cluster.load.from_s + 1.0)
    for number in range(len(cluster.nodes) - 1):
        cluster.restart(cluster.nodes[number])
        await asyncio.sleep(2.0)


async def cut_nodes(cluster):
    """Cut two nodes off from the others until after the first crashes."""
    cluster.cut = {node.host for node in cluster.nodes[:2]}
    await asyncio.sleep(cluster.load.from_s + 6.0)
    cluster.cut = set()


class CrashingSegmentTest(testtools.TestCase):
    def check(self, cluster, length_s=LENGTH_S):
        """Expect few late arrivals, and sound requests served as before."""
        seen = cluster.observations
        crashes_s = seen.crashes()
        self.assertGreaterEqual(len(crashes_s), 1)
        late = seen.late_arrivals(CONTACT_S)
        self.assertLessEqual(
            len(late), MAX_LATE_ARRIVALS, Counter(each.way for each in late)
        )
        first_s = cluster.started_s + cluster.load.from_s
        last_s = crashes_s[min(5, len(crashes_s)) - 1] + 2 * CONTACT_S
        before = seen.served_fraction(cluster.started_s, first_s)
        after = seen.served_fraction(last_s, cluster.started_s + length_s)
        self.assertGreater(after, before / 2)

    def test_a_segment_that_crashes_engines_is_sent_to_no_more_of_them(self):
        """Requests with one prompt segment ended an engine each, one after another."""
        for seed in (1, 2, 3):
            self.check(run_virtual(play(7, 9, seed)))

    def test_it_is_sent_to_no_more_engines_of_a_large_deployment(self):
        """Crashes were spread over so many nodes that none saw more than one."""
        load = Load(requests_per_s=180.0, crashing_fraction=0.05)
        self.check(run_virtual(play(58, 64, 1, load, 20.0)), 20.0)

    def test_engines_that_end_before_any_head_are_spared_too(self):
        """An engine that ends before its answer's head left no sign of the cause."""
        load = Load(headless=True)
        self.check(run_virtual(play(7, 9, 4, load, 25.0)), 25.0)

    def test_a_restarted_node_learns_the_block_from_its_peers(self):
        """Each restarted node ended engines before it knew what the others knew."""
        self.check(
            run_virtual(play(7, 9, 5, length_s=25.0, disturb=restart_nodes)), 25.0
        )

    def test_nodes_without_contact_learn_the_block_when_it_returns(self):
        """Nodes that were cut off ended more engines after the cut had healed."""
        cluster = run_virtual(play(7, 9, 6, length_s=25.0, disturb=cut_nodes))
        seen = cluster.observations
        healed_s = cluster.started_s + cluster.load.from_s + 6.0
        late = [
            each
            for each in seen.arrivals
            if each.crashing and each.at_s > healed_s + CONTACT_S
        ]
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS)

    def test_engines_that_end_for_other_reasons_block_no_segment(self):
        """A busy segment was blocked after engines had been reclaimed."""
        load = Load(crashing_fraction=0.0)
        for seed in range(7, 11):
            cluster = run_virtual(
                play(7, 9, seed, load, 20.0, disturb=end_engines_in_waves)
            )
            for node in cluster.nodes:
                rendered = node.state.metrics.render()
                self.assertNotIn('segment_changes_total{kind="blocked"}', rendered)
