"""Test that streams keep the time limit under which they began when it changes."""

import asyncio

import cbor2
import testtools

from cicadapass_decisions.streamlimits import MAX_CALLER_LIMIT_S
from tests.gateway.outofstep import PausingCluster
from tests.gateway.test_versionknowledge_cluster import SETTLE_S, begin, take_up
from tests.gateway.virtualcluster import run_virtual

VERSIONS_TOPIC = "versions"
LOWERED_S = 2.0
USUAL_S = 15.0
RAISED_S = 40.0
# Streams of the usual time limit still last, and those of the lowered one do not.
LATER_S = 13.0


async def start(nodes=4, timeout_s=USUAL_S):
    """Return a cluster with engines of one version."""
    cluster = PausingCluster(nodes, 3, loss=0.0)
    cluster.publish(timeout_s=timeout_s)
    for name in ("v1-0", "v1-1"):
        cluster.put(name, "ready")
    await cluster.start(SETTLE_S)
    return cluster


async def begin_at_a_version_that_ends(cluster, node):
    """Begin streams at an engine of another version, which leaves."""
    cluster.put("v2-0", "ready")
    await asyncio.sleep(1.5)
    names = begin(node, "v2")
    await asyncio.sleep(0.5)
    cluster.put("v2-0", "removed")
    await asyncio.sleep(1.0)
    return names


async def restart(cluster, nodes):
    """Kill nodes at once and start them again."""
    for node in nodes:
        cluster.kill(node)
    await asyncio.sleep(0.3)
    for node in list(nodes):
        cluster.restart(node)


class LoweredLimitTest(testtools.TestCase):
    def check(self, change):
        """Check that the streams of a killed node are not joined after a change."""

        async def scenario():
            cluster = await start()
            names = await begin_at_a_version_that_ends(cluster, cluster.nodes[0])
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await change(cluster)
            await asyncio.sleep(began_s + LATER_S - 1.5 - loop.time())
            cluster.kill(cluster.nodes[0])
            await asyncio.sleep(0.3)
            return [await take_up(node, names) for node in cluster.nodes[1:]]

        self.assertEqual([{"v2"}] * 3, run_virtual(scenario()))

    def test_streams_from_before_a_lower_limit_are_joined(self):
        """A lower time-out ended the memory of a version whose streams still lasted."""

        async def lower(cluster):
            cluster.publish(timeout_s=LOWERED_S)

        self.check(lower)

    def test_nodes_that_start_after_a_lower_limit_join_two_versions(self):
        """A node that knew the newer configuration alone forgot the version."""

        async def lower(cluster):
            cluster.publish(timeout_s=LOWERED_S)
            await asyncio.sleep(0.5)
            await restart(cluster, cluster.nodes[1:])

        self.check(lower)

    def test_a_kill_of_all_after_a_lower_limit_joins_two_versions(self):
        """The record of the versions did not say for how long they mattered."""

        async def lower(cluster):
            cluster.publish(timeout_s=LOWERED_S)
            await asyncio.sleep(2.0)
            await restart(cluster, cluster.nodes)

        self.check(lower)

    def test_a_limit_that_falls_and_rises_joins_two_versions(self):
        """A version that left the record did not return to it with the time-out."""

        async def lower_and_restore(cluster):
            cluster.publish(timeout_s=LOWERED_S)
            await asyncio.sleep(9.0)
            await restart(cluster, cluster.nodes)
            cluster.publish(timeout_s=USUAL_S)

        self.check(lower_and_restore)

    def test_a_route_that_ends_and_returns_joins_two_versions(self):
        """A service without a route lost the versions of its streams."""
        for change in ({"resumable": False}, {"routed": False}):

            async def end_and_return(cluster, change=change):
                cluster.publish(**change)
                await asyncio.sleep(2.0)
                cluster.publish(timeout_s=LOWERED_S)
                await asyncio.sleep(3.0)
                await restart(cluster, cluster.nodes)
                cluster.publish(resumable=True, routed=True)

            self.check(end_and_return)


class OneVersionTest(testtools.TestCase):
    def play(self, *changes, kill_all=False):
        """Return where streams go on that began under the last of some changes."""

        async def scenario():
            cluster = await start()
            for change in changes:
                cluster.publish(**change)
                await asyncio.sleep(1.0)
            names = begin(cluster.nodes[0], "v1")
            await asyncio.sleep(0.5)
            lost = cluster.nodes if kill_all else cluster.nodes[:1]
            await restart(cluster, lost)
            await asyncio.sleep(0.3)
            return set().union(*[await take_up(node, names) for node in cluster.nodes])

        return run_virtual(scenario())

    def test_a_changed_limit_ends_the_streams_of_one_version(self):
        """A node refused streams of the only version after a change of the route."""
        lower, restore = {"timeout_s": LOWERED_S}, {"timeout_s": USUAL_S}
        off, on = {"resumable": False}, {"resumable": True}
        for changes in ((lower,), (lower, restore), (restore, lower), (off, on)):
            for kill_all in (False, True):
                found = self.play(*changes, kill_all=kill_all)
                self.assertEqual({"v1"}, found, (changes, kill_all))

    def test_a_version_that_ended_before_a_lower_limit_counts_for_ever(self):
        """After a lower time-out, streams were refused until the limit was dropped."""

        async def scenario():
            cluster = await start()
            await begin_at_a_version_that_ends(cluster, cluster.nodes[0])
            cluster.publish(timeout_s=LOWERED_S)
            await asyncio.sleep(USUAL_S + 6.0)
            log = cluster.registry.logs["streams"]
            before = len(log)
            names = begin(cluster.nodes[0], "v1", "t")
            cluster.kill(cluster.nodes[0])
            await asyncio.sleep(0.3)
            self.assertEqual({"v1"}, await take_up(cluster.nodes[1], names))
            self.assertEqual(before, len(log))

        run_virtual(scenario())


class ResumableAgainTest(testtools.TestCase):
    def test_streams_of_a_route_that_is_resumable_again_are_refused(self):
        """Streams that began while their route was not resumable were not recorded."""

        async def scenario():
            cluster = await start()
            cluster.put("v2-0", "ready")
            await asyncio.sleep(1.5)
            cluster.publish(resumable=False)
            await asyncio.sleep(1.0)
            names = begin(cluster.nodes[0], "v2")
            await asyncio.sleep(1.0)
            cluster.publish(resumable=True)
            await asyncio.sleep(0.5)
            cluster.kill(cluster.nodes[0])
            await asyncio.sleep(0.3)
            self.assertEqual({"v2"}, await take_up(cluster.nodes[1], names))

        run_virtual(scenario())


class UnseenLimitTest(testtools.TestCase):
    def test_a_node_that_was_cut_off_admits_under_the_earlier_limit(self):
        """Streams of a node that did not know the lower time-out were joined."""

        async def scenario():
            cluster = await start()
            alone, other = cluster.nodes[0], cluster.nodes[1]
            cluster.put("v2-0", "ready")
            await asyncio.sleep(1.5)
            cluster.cut.add(alone.host)
            alone.registry.silent = True
            await asyncio.sleep(1.0)
            cluster.publish(timeout_s=LOWERED_S)
            await asyncio.sleep(60.0)
            names = begin(alone, "v2")
            cluster.put("v2-0", "removed")
            await asyncio.sleep(LATER_S - 1.0)
            cluster.kill(alone)
            self.assertNotIn("v1", await take_up(other, names))

        run_virtual(scenario())

    def play_unseen(self, heal):
        """Return where streams go on at a node that missed their configuration."""

        async def scenario():
            cluster = await start()
            node, other = cluster.nodes[0], cluster.nodes[1]
            cluster.cut.add(node.host)
            node.registry.silent = True
            await asyncio.sleep(1.0)
            cluster.publish(timeout_s=RAISED_S)
            await asyncio.sleep(1.0)
            names = await begin_at_a_version_that_ends(cluster, other)
            cluster.publish(timeout_s=USUAL_S)
            await asyncio.sleep(2.0)
            heal(cluster, node)
            await asyncio.sleep(USUAL_S + 10.0)
            return await take_up(node, names)

        return run_virtual(scenario())

    def test_a_limit_that_came_and_went_during_a_cut_is_not_known(self):
        """A node that missed a configuration joined streams from under it."""

        def answer(cluster, node):
            node.registry.silent = False

        def join(cluster, node):
            cluster.cut.clear()

        self.assertEqual({"v2"}, self.play_unseen(answer))
        self.assertNotIn("v1", self.play_unseen(join))

    def test_a_record_of_an_earlier_build_is_taken_for_one_of_the_usual_limit(self):
        """Nodes that found no limit in the registry assumed that of the newest one."""

        async def scenario():
            cluster = PausingCluster(3, 3, loss=0.0)
            cluster.publish(timeout_s=LOWERED_S)
            cluster.put("v1-0", "ready")
            record = cbor2.dumps(["v1", "v2", 0])
            cluster.registry.put(VERSIONS_TOPIC, "s", record)
            await cluster.start(30.0)
            # It is not in the log, as its node could not append it.
            self.assertEqual({None}, await take_up(cluster.nodes[0], ["s-0"]))
            await asyncio.sleep(40.0)
            self.assertEqual({"v1"}, await take_up(cluster.nodes[0], ["s-0"]))

        run_virtual(scenario())


class StatedLimitTest(testtools.TestCase):
    def play(self, stated_s, later_s):
        """Return where a stream goes on whose caller waits longer than its route."""

        async def scenario():
            cluster = await start(timeout_s=LOWERED_S)
            cluster.put("v2-0", "ready")
            await asyncio.sleep(1.5)
            cluster.nodes[0].versions.record("s", "r", "v2", stated_s)
            await asyncio.sleep(0.5)
            cluster.put("v2-0", "removed")
            await asyncio.sleep(later_s)
            cluster.kill(cluster.nodes[0])
            await asyncio.sleep(0.3)
            return await take_up(cluster.nodes[1], ["r"])

        return run_virtual(scenario())

    def test_a_caller_that_waits_longer_than_its_route_gets_two_versions(self):
        """A caller with time left took up a stream that its node had ended."""
        self.assertEqual({"v2"}, self.play(30.0, 28.0))

    def test_one_caller_keeps_a_version_in_use_for_long(self):
        """A caller that stated a day kept a version in use for a day."""
        self.assertEqual({"v1"}, self.play(MAX_CALLER_LIMIT_S, MAX_CALLER_LIMIT_S + 6))


class RecordTest(testtools.TestCase):
    def play(self, *changes):
        """Return the appends to the record of versions after its start."""

        async def scenario():
            cluster = await start()
            log = cluster.registry.logs[VERSIONS_TOPIC]
            before = len(log)
            for change in changes:
                cluster.publish(**change)
                await asyncio.sleep(20.0)
            return len(log) - before

        return run_virtual(scenario())

    def test_a_deployment_that_changes_no_limit_pays(self):
        """Records were appended although no time limit had changed."""
        other = {"target_latency_s": 0.3}
        self.assertEqual(0, self.play(other, other, {"timeout_s": LOWERED_S}))
        self.assertEqual(1, self.play({"timeout_s": 20.0004}, other, other))
