"""Test that the counts of many nodes are complete when a window becomes final."""

import asyncio

import testtools

from cicadapass_decisions.usagereports import WindowTimes
from tests.gateway.virtualcluster import Cluster, run_virtual

NODES = 80
# Long enough for the nodes to find each other.
MEETING_S = 6.0
# The platform allows a report to be off by this fraction.
TOLERANCE = 0.05


class UsageTest(testtools.TestCase):
    def test_a_final_window_contains_the_counts_of_all_nodes(self):
        """A report of 80 nodes missed a quarter of their counts."""

        async def scenario():
            cluster = Cluster(NODES, 1)
            await cluster.start(MEETING_S)
            window = None
            for node in cluster.nodes:
                node.usage.count("w")
                window = node.usage.window_at(1000.0)
            holder = cluster.nodes[0]
            await asyncio.sleep(WindowTimes(5.0, 0.0, holder.peers.round_s).settle_s)
            return holder.usage.total(window)["w"]

        self.assertGreaterEqual(run_virtual(scenario()), (1 - TOLERANCE) * NODES)
