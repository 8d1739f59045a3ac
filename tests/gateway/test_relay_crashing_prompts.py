"""Test that a prompt segment that crashes engines soon reaches no more of them."""

import asyncio

import testtools

from tests.gateway.crashingprompts import (
    CONTACT_S,
    MAX_LATE_ARRIVALS,
    check_cluster,
    play,
)
from tests.gateway.enginecluster import Load
from tests.gateway.virtualcluster import run_virtual


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
    def test_a_segment_that_crashes_engines_is_sent_to_no_more_of_them(self):
        """Requests with one prompt segment ended an engine each, one after another."""
        for seed in (1, 2, 3):
            check_cluster(self, run_virtual(play(7, 9, seed)))

    def test_engines_that_end_before_any_head_are_spared_too(self):
        """An engine that ends before its answer's head left no sign of the cause."""
        load = Load(headless=True)
        check_cluster(self, run_virtual(play(7, 9, 4, load, 25.0)), 25.0)

    def test_a_restarted_node_learns_the_block_from_its_peers(self):
        """Each restarted node ended engines before it knew what the others knew."""
        check_cluster(
            self, run_virtual(play(7, 9, 5, length_s=25.0, disturb=restart_nodes)), 25.0
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
