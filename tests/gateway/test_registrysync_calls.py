"""Test how many calls the nodes of a large deployment make to the registry."""

import asyncio

import testtools

from cicadapass_decisions.readsharing import WATCHERS
from tests.gateway.virtualcluster import (
    TOPICS,
    Cluster,
    run_virtual,
    silent_registry,
)

NODES = 80
SETTLE_S = 10.0
# A configuration is in force at all nodes within this time on the platform.
APPLY_LIMIT_S = 3.0
# The platform excuses nodes that have not reached the registry for so long before.
CONTACT_S = 5.0
SEEDS = (1,)
# Calls for five configurations: fewer than one of each node for each of them.
MAX_WATCHING_CALLS = 2 * NODES
# A third of the nodes is refused and calls less than once a second; the others read.
MAX_FAILING_CALLS_PER_S = NODES / 3 + 10


async def started_cluster(seed):
    """Return a cluster of many nodes that have found each other."""
    cluster = Cluster(NODES, seed)
    cluster.put("u0", "ready")
    await cluster.start(SETTLE_S)
    return cluster


class CallsTest(testtools.TestCase):
    def test_a_new_configuration_does_not_wake_all_nodes_at_the_registry(self):
        """Each of 80 nodes waited at the registry, and read each configuration."""

        async def scenario(seed):
            cluster = await started_cluster(seed)
            # The nodes wait at the registry until they have found each other.
            cluster.registry.put("configuration", "config", b"1")
            await asyncio.sleep(1.0)
            before = cluster.calls[TOPICS.configuration]
            for version in (2, 3, 5, 8, 9):
                cluster.registry.put("configuration", "config", str(version).encode())
                began_s = asyncio.get_running_loop().time()
                while any(node.state.version < version for node in cluster.nodes):
                    await asyncio.sleep(0.05)
                    elapsed_s = asyncio.get_running_loop().time() - began_s
                    self.assertLess(elapsed_s, APPLY_LIMIT_S, seed)
            return cluster.calls[TOPICS.configuration] - before

        for seed in SEEDS:
            self.assertLess(run_virtual(scenario(seed)), MAX_WATCHING_CALLS, seed)

    def test_the_watchers_are_replaced(self):
        """A configuration did not spread after the nodes that watch had ended."""

        async def scenario(seed):
            cluster = await started_cluster(seed)
            for node in list(cluster.nodes):
                if node.peers.is_watcher():
                    node.stop()
                    cluster.cut.add(node.host)
                    cluster.nodes.remove(node)
            self.assertLess(NODES - len(cluster.nodes), 2 * WATCHERS)
            await asyncio.sleep(2 * CONTACT_S)
            cluster.registry.put("configuration", "config", b"2")
            await asyncio.sleep(APPLY_LIMIT_S)
            return [node.name for node in cluster.nodes if node.state.version < 2]

        for seed in SEEDS:
            self.assertEqual([], run_virtual(scenario(seed)), seed)

    def test_refused_nodes_repeat_their_calls_less_often(self):
        """26 nodes that the registry refused made 65 calls a second."""

        async def scenario(seed):
            cluster = await started_cluster(seed)
            refused = cluster.nodes[: NODES // 3]
            for node in refused:
                node.registry.busy = True
            await asyncio.sleep(2.0)
            before = sum(cluster.calls.values())
            await asyncio.sleep(6.0)
            calls = sum(cluster.calls.values()) - before
            # They follow the configuration through their peers all the same.
            cluster.registry.put("configuration", "config", b"2")
            cluster.put("u0", "removed")
            await asyncio.sleep(APPLY_LIMIT_S)
            behind = [node.name for node in refused if node.state.version < 2]
            using = [node.name for node in refused if node.usable]
            return calls / 6.0, behind, using

        for seed in SEEDS:
            calls_per_s, behind, using = run_virtual(scenario(seed))
            self.assertLess(calls_per_s, MAX_FAILING_CALLS_PER_S, seed)
            self.assertEqual(([], []), (behind, using), seed)

    def test_all_nodes_are_up_to_date_after_an_outage(self):
        """Nodes that repeated their calls rarely missed the end of an outage."""

        async def scenario(seed):
            cluster = await started_cluster(seed)
            with silent_registry(cluster.nodes):
                await asyncio.sleep(9.0)
            cluster.registry.put("configuration", "config", b"2")
            await asyncio.sleep(CONTACT_S)
            return [node.name for node in cluster.nodes if node.state.version < 2]

        for seed in SEEDS:
            self.assertEqual([], run_virtual(scenario(seed)), seed)
