"""Test how the nodes of a large deployment learn of leaving upstreams."""

import asyncio

import testtools

from tests.gateway.virtualcluster import TOPICS, Cluster, run_virtual, silent_registry

# The platform's limit: a request must not reach an upstream later than this after its
# leaving was acknowledged.
DRAIN_LIMIT_S = 3.0
UPSTREAMS = [f"u{number}" for number in range(200)]
# Long enough for the reads of the nodes to be spread over their interval.
SETTLE_S = 20.0
# Long enough for the nodes to find each other.
SHORT_SETTLE_S = 6.0
# The platform's limit applies to nodes that have been undisturbed for this long.
CONTACT_S = 4.0
SEEDS = (1, 2)


async def started_cluster(nodes, seed, settle_s=SETTLE_S, **options):
    """Return a running cluster in which all upstreams are ready."""
    cluster = Cluster(nodes, seed, **options)
    for upstream_id in UPSTREAMS:
        cluster.put(upstream_id, "ready")
    await cluster.start(settle_s)
    return cluster


def put_wave(cluster, count=120):
    """Let upstreams leave at once, every fifth without notice; return their ids."""
    leaving = UPSTREAMS[:count]
    for number, upstream_id in enumerate(leaving):
        cluster.put(upstream_id, "leaving" if number % 5 else "removed")
    return leaving


class LeavingUpstreamAssertions:
    def assert_unused_in_time(self, stopped_s):
        """Assert that no node used an upstream after the platform's limit."""
        late = {key: value for key, value in stopped_s.items() if value > DRAIN_LIMIT_S}
        self.assertEqual({}, late)


class LeavingUpstreamTest(LeavingUpstreamAssertions, testtools.TestCase):
    def test_removals_behind_many_changes_are_applied_late(self):
        """A removal in a wave of 120 changes reached nodes after five seconds."""

        async def scenario(seed):
            cluster = await started_cluster(80, seed)
            return await cluster.last_use_s(put_wave(cluster), 2 * DRAIN_LIMIT_S)

        for seed in SEEDS:
            self.assert_unused_in_time(run_virtual(scenario(seed)))

    def test_removals_are_applied_late_while_the_registry_refuses_some_nodes(self):
        """Nodes that the registry did not answer used removed upstreams for seconds."""

        async def scenario(seed):
            cluster = await started_cluster(58, seed)
            with silent_registry(cluster.nodes[:20]):
                await asyncio.sleep(4.5)
                return await cluster.last_use_s(put_wave(cluster), 2 * DRAIN_LIMIT_S)

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
                held |= {
                    node.name
                    for node in cluster.nodes
                    if node.state.upstreams.view.is_held("u0")
                }
            return held

        for seed in SEEDS:
            self.assertEqual(set(), run_virtual(scenario(seed)))


class DisturbedClusterTest(LeavingUpstreamAssertions, testtools.TestCase):
    def test_changes_are_missed_when_most_datagrams_are_lost(self):
        """Nodes whose datagrams were lost used a removed upstream."""

        async def scenario():
            cluster = await started_cluster(58, 3, SHORT_SETTLE_S, loss=0.6)
            return await cluster.last_use_s(put_wave(cluster), 2 * DRAIN_LIMIT_S)

        self.assert_unused_in_time(run_virtual(scenario()))

    def test_nodes_without_peers_miss_changes(self):
        """Nodes cut off from all others waited for the reads of their peers."""

        async def scenario():
            cluster = await started_cluster(58, 4, SHORT_SETTLE_S)
            cluster.cut |= {node.host for node in cluster.nodes[::3]}
            await asyncio.sleep(CONTACT_S)
            return await cluster.last_use_s(put_wave(cluster), 2 * DRAIN_LIMIT_S)

        self.assert_unused_in_time(run_virtual(scenario()))

    def test_a_slow_registry_delays_changes(self):
        """Calls of a quarter of a second made the changes late."""

        async def scenario():
            cluster = await started_cluster(58, 5, SHORT_SETTLE_S)
            for node in cluster.nodes:
                node.registry.call_s = 0.25
            return await cluster.last_use_s(put_wave(cluster), 2 * DRAIN_LIMIT_S)

        self.assert_unused_in_time(run_virtual(scenario()))

    def test_a_registry_without_history_hides_changes(self):
        """Changes were missed when the registry had deleted their records."""

        async def scenario():
            cluster = await started_cluster(58, 6, SHORT_SETTLE_S)
            leaving = put_wave(cluster, count=60)
            cluster.registry.first_offsets[TOPICS.upstreams] = len(
                cluster.registry.logs[TOPICS.upstreams]
            )
            return await cluster.last_use_s(leaving, 2 * DRAIN_LIMIT_S)

        self.assert_unused_in_time(run_virtual(scenario()))

    def test_changes_are_missed_by_restarted_nodes(self):
        """Nodes that started amid a wave took its first half for the whole."""

        async def scenario():
            cluster = await started_cluster(58, 7, SHORT_SETTLE_S)
            leaving = put_wave(cluster, count=60)
            for node in list(cluster.nodes[::6]):
                cluster.restart(node)
            await asyncio.sleep(0.1)
            for upstream_id in UPSTREAMS[60:120]:
                cluster.put(upstream_id, "removed")
            return await cluster.last_use_s(
                [*leaving, *UPSTREAMS[60:120]], 2 * DRAIN_LIMIT_S
            )

        self.assert_unused_in_time(run_virtual(scenario()))

    def test_no_node_reads_after_all_have_restarted(self):
        """After a common start, all nodes waited for seconds before the next read."""

        async def scenario():
            cluster = await started_cluster(80, 8, SHORT_SETTLE_S)
            for node in list(cluster.nodes):
                cluster.restart(node)
            await asyncio.sleep(CONTACT_S)
            return await cluster.last_use_s(put_wave(cluster), 2 * DRAIN_LIMIT_S)

        self.assert_unused_in_time(run_virtual(scenario()))

    def test_removed_upstreams_are_held_long_after_an_outage(self):
        """After an outage of the registry, removed upstreams stayed in use."""

        async def scenario():
            cluster = await started_cluster(58, 9, SHORT_SETTLE_S)
            with silent_registry(cluster.nodes):
                await asyncio.sleep(5.0)
            await asyncio.sleep(CONTACT_S)
            return await cluster.last_use_s(put_wave(cluster), 2 * DRAIN_LIMIT_S)

        self.assert_unused_in_time(run_virtual(scenario()))
