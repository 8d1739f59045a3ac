"""Test how the nodes of a large deployment learn of leaving upstreams."""

import asyncio

import testtools

from tests.gateway.virtualcluster import Cluster, run_virtual, silent_registry

# The platform's limit: a request must not reach an upstream later than this after its
# leaving was acknowledged.
DRAIN_LIMIT_S = 3.0
UPSTREAMS = [f"u{number}" for number in range(200)]
# Long enough for the reads of the nodes to be spread over their interval.
SETTLE_S = 20.0
SEEDS = (1, 2)


async def started_cluster(nodes, seed, **options):
    """Return a running cluster in which all upstreams are ready."""
    cluster = Cluster(nodes, seed, **options)
    for upstream_id in UPSTREAMS:
        cluster.put(upstream_id, "ready")
    await cluster.start(SETTLE_S)
    return cluster


class LeavingUpstreamTest(testtools.TestCase):
    def assert_unused_in_time(self, stopped_s):
        """Assert that no node used an upstream after the platform's limit."""
        late = {key: value for key, value in stopped_s.items() if value > DRAIN_LIMIT_S}
        self.assertEqual({}, late)

    def test_removals_behind_many_changes_are_applied_late(self):
        """A removal in a wave of 120 changes reached nodes after five seconds."""

        async def scenario(seed):
            cluster = await started_cluster(80, seed)
            for number, upstream_id in enumerate(UPSTREAMS[:120]):
                cluster.put(upstream_id, "leaving" if number % 5 else "removed")
            return await cluster.last_use_s(UPSTREAMS[:120], 2 * DRAIN_LIMIT_S)

        for seed in SEEDS:
            self.assert_unused_in_time(run_virtual(scenario(seed)))

    def test_removals_are_applied_late_while_the_registry_refuses_some_nodes(self):
        """Nodes that the registry did not answer used removed upstreams for seconds."""

        async def scenario(seed):
            cluster = await started_cluster(58, seed)
            with silent_registry(cluster.nodes[:20]):
                await asyncio.sleep(4.5)
                for number, upstream_id in enumerate(UPSTREAMS[:120]):
                    cluster.put(upstream_id, "leaving" if number % 5 else "removed")
                return await cluster.last_use_s(UPSTREAMS[:120], 2 * DRAIN_LIMIT_S)

        for seed in SEEDS:
            self.assert_unused_in_time(run_virtual(scenario(seed)))

    def test_a_removed_upstream_is_held_although_nodes_read_the_registry(self):
        """A node took old reports of its peers for an outage of the registry."""

        async def scenario(seed):
            cluster = await started_cluster(80, seed)
            cluster.put("u0", "removed")
            held = set()
            for _ in range(150):
                await asyncio.sleep(DRAIN_LIMIT_S / 150)
                now_s = asyncio.get_running_loop().time()
                for node in cluster.nodes:
                    if node.state.upstreams.view.basis("u0", now_s).held:
                        held.add(node.name)
            return held

        for seed in SEEDS:
            self.assertEqual(set(), run_virtual(scenario(seed)))
