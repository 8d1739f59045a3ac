"""Test how the nodes of a deployment follow a registry that returns from a copy."""

import asyncio

import testtools

from cicadapass_decisions.logposition import era_of
from tests.gateway.virtualcluster import TOPICS, Cluster, run_virtual

# The platform's limits for a configuration and for a leaving upstream.
APPLY_LIMIT_S = 2.0
DRAIN_LIMIT_S = 2.0
# The engines and the operator write again within this time of the return.
REWRITE_S = 2.0
SETTLE_S = 8.0
LARGE_SETTLE_S = 20.0
UPSTREAMS = [f"u{number}" for number in range(12)]
SEEDS = (1, 2, 3)
# Listings of all upstreams by 195 nodes after a return; the others ask their peers.
MAX_LISTINGS = 60


class ReturningCluster(Cluster):
    """Let the registry go away and come back from a copy."""

    def publish(self, version):
        """Write a configuration as the operator does."""
        self.registry.put(TOPICS.configuration, "config", str(version).encode())

    async def go_back(self, copy, away_s=0.6):
        """Refuse all calls for a moment, then lose what was written since a copy."""
        for node in self.nodes:
            node.registry.busy = True
        await asyncio.sleep(away_s)
        self.registry.return_from(copy)
        for node in self.nodes:
            node.registry.busy = False

    def versions(self):
        """Return the versions in force, oldest first."""
        return sorted({node.state.version for node in self.nodes})

    def eras(self):
        """Return the eras of the views of upstreams."""
        views = [node.state.upstreams.replica.end_offset for node in self.nodes]
        return {era_of(end_offset) for end_offset in views}


async def started(nodes, seed, settle_s=SETTLE_S):
    """Return a running cluster whose registry is in its first era."""
    cluster = ReturningCluster(nodes, seed)
    cluster.registry.era_number = 1
    for upstream_id in UPSTREAMS:
        cluster.put(upstream_id, "ready")
    await cluster.start(settle_s)
    return cluster


class ReturnTest(testtools.TestCase):
    def assert_read_again(self, nodes, seed, settle_s):
        """Assert that a configuration behind reissued offsets is in force in time."""

        async def scenario():
            cluster = await started(nodes, seed, settle_s)
            copy = cluster.registry.copy()
            for version in (2, 3):
                cluster.publish(version)
                await asyncio.sleep(1.0)
            await cluster.go_back(copy)
            cluster.publish(3)
            cluster.publish(4)
            listed = cluster.calls["listings", TOPICS.upstreams]
            await asyncio.sleep(APPLY_LIMIT_S)
            self.assertEqual([4], cluster.versions(), seed)
            self.assertEqual({2}, cluster.eras(), seed)
            return cluster.calls["listings", TOPICS.upstreams] - listed

        return run_virtual(scenario())

    def test_a_configuration_behind_reissued_offsets_is_not_read(self):
        """Nodes used an old configuration for the rest of the run."""
        for seed in SEEDS:
            self.assert_read_again(7, seed, SETTLE_S)

    def test_all_nodes_of_a_large_deployment_list_the_upstreams(self):
        """Each of 195 nodes listed all upstreams after the return."""
        listings = self.assert_read_again(195, 4, LARGE_SETTLE_S)
        self.assertLess(listings, MAX_LISTINGS)

    def test_nodes_go_back_to_the_configuration_of_the_copy(self):
        """A node used the older configuration that the copy holds."""

        async def scenario(seed):
            cluster = await started(7, seed)
            copy = cluster.registry.copy()
            cluster.publish(2)
            await asyncio.sleep(1.0)
            await cluster.go_back(copy)
            await asyncio.sleep(REWRITE_S)
            self.assertEqual([2], cluster.versions(), seed)
            cluster.publish(2)
            cluster.publish(3)
            await asyncio.sleep(APPLY_LIMIT_S)
            self.assertEqual([3], cluster.versions(), seed)

        for seed in SEEDS:
            run_virtual(scenario(seed))

    def test_reads_that_wait_over_the_return_are_not_answered(self):
        """The watchers waited for the end of their reads, up to 25 seconds."""

        async def scenario(seed):
            cluster = await started(7, seed)
            copy = cluster.registry.copy()
            for node in cluster.nodes:
                node.registry.loses_polls = True
            cluster.publish(2)
            await asyncio.sleep(1.0)
            await cluster.go_back(copy)
            cluster.publish(3)
            await asyncio.sleep(APPLY_LIMIT_S)
            self.assertEqual([3], cluster.versions(), seed)

        for seed in SEEDS:
            run_virtual(scenario(seed))

    def test_changes_are_missed_over_three_returns(self):
        """Three returns within ten seconds left nodes at an earlier era."""

        async def scenario(seed):
            cluster = await started(7, seed)
            copy = cluster.registry.copy()
            for version in (2, 4, 6):
                cluster.publish(version)
                await asyncio.sleep(0.8)
                await cluster.go_back(copy)
                cluster.publish(version)
                cluster.publish(version + 1)
                await asyncio.sleep(1.5)
            self.assertEqual([7], cluster.versions(), seed)
            self.assertEqual({4}, cluster.eras(), seed)

        for seed in SEEDS:
            run_virtual(scenario(seed))

    def test_a_node_without_the_registry_follows_its_peers_into_the_era(self):
        """A node that the registry refuses stayed at the view of the era before."""

        async def scenario(seed):
            cluster = await started(7, seed)
            copy = cluster.registry.copy()
            cluster.put("u0", "removed")
            await asyncio.sleep(1.0)
            await cluster.go_back(copy)
            refused = cluster.nodes[0]
            refused.registry.busy = True
            cluster.publish(2)
            cluster.put("u1", "leaving")
            await asyncio.sleep(DRAIN_LIMIT_S)
            self.assertEqual(2, refused.state.version, seed)
            self.assertNotIn("u1", refused.usable, seed)

        for seed in SEEDS:
            run_virtual(scenario(seed))


class UpstreamsTest(testtools.TestCase):
    def play(self, write, seed):
        """Return the upstreams that a node, and that all used after a return.

        The copy lacks what `write` wrote.
        """

        async def scenario():
            cluster = await started(7, seed)
            copy = cluster.registry.copy()
            write(cluster)
            await asyncio.sleep(2.0)
            await cluster.go_back(copy)
            used, kept = set(), {*UPSTREAMS, "new"}
            for _ in range(20):
                await asyncio.sleep(0.05)
                usable = [node.usable for node in cluster.nodes]
                used, kept = used.union(*usable), kept.intersection(*usable)
            return used, kept

        return run_virtual(scenario())

    def test_an_upstream_whose_leaving_is_lost_is_used_again(self):
        """The copy listed an upstream as ready that had said that it leaves."""
        for seed in SEEDS:
            used, _ = self.play(lambda cluster: cluster.put("u0", "leaving"), seed)
            self.assertNotIn("u0", used, seed)

    def test_an_upstream_whose_removal_is_lost_is_used_again(self):
        """The copy listed an upstream that had ended."""
        for seed in SEEDS:
            used, _ = self.play(lambda cluster: cluster.put("u0", "removed"), seed)
            self.assertNotIn("u0", used, seed)

    def test_an_upstream_that_the_copy_lacks_is_dropped(self):
        """An upstream had no time to write its lost entry again."""
        for seed in SEEDS:
            _, kept = self.play(lambda cluster: cluster.put("new", "ready"), seed)
            self.assertEqual({*UPSTREAMS, "new"}, kept, seed)
