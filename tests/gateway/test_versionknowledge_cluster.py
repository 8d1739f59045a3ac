"""Test that a node that is out of step joins no streams of two versions."""

import asyncio

import testtools

from cicadapass_gateway.peers import MEMBER_TIMEOUT_S
from cicadapass_gateway.versionknowledge import MAX_READS_PER_S
from tests.gateway.outofstep import PausingCluster
from tests.gateway.virtualcluster import UPSTREAMS, run_virtual

STREAMS = 6
SETTLE_S = 6.0


async def start(nodes=4, engines=("v1-0", "v1-1"), seed=3, era=1):
    """Return a cluster whose nodes know each other and the engines."""
    cluster = PausingCluster(nodes, seed, loss=0.0)
    cluster.registry.era_number = era
    for name in engines:
        cluster.put(name, "ready")
    await cluster.start(SETTLE_S)
    return cluster


def begin(node, version, name="s"):
    """Begin streams and return their names."""
    names = [f"{name}-{number}" for number in range(STREAMS)]
    for each in names:
        node.begin(each, version)
    return names


async def take_up(node, names):
    """Return the versions at which streams go on."""
    return set(await asyncio.gather(*(node.take_up(each) for each in names)))


class OutOfStepTest(testtools.TestCase):
    def play(self, disturb, heal, *, for_s=1.8, removed=False):
        """Return where streams go on at a node that was out of step.

        They began at a version that joined, and whose engine ended, meanwhile.
        """

        async def scenario():
            cluster = await start()
            node, other = cluster.nodes[0], cluster.nodes[1]
            disturb(cluster, node)
            await asyncio.sleep(0.4)
            cluster.put("v2-0", "ready")
            await asyncio.sleep(0.8)
            names = begin(other, "v2")
            await asyncio.sleep(for_s - 1.2)
            if removed:
                cluster.put("v2-0", "removed")
                await asyncio.sleep(0.1)
            heal(cluster, node)
            return await take_up(node, names)

        return run_virtual(scenario())

    def test_a_node_that_stood_still_joins_two_versions(self):
        """A node that woke took the version that it knew for the only one."""
        found = self.play(lambda _, node: node.pause(), lambda _, node: node.go_on())
        self.assertEqual({"v2"}, found)

    def test_a_version_that_came_and_went_during_a_freeze_is_not_known(self):
        """An engine that came and went between two looks left no trace."""
        found = self.play(
            lambda _, node: node.pause(), lambda _, node: node.go_on(), removed=True
        )
        self.assertEqual({"v2"}, found)

    def test_a_node_without_the_store_joins_two_versions(self):
        """A node that the registry did not answer relied on its old view."""

        def silence(_, node):
            node.registry.silent = True

        for removed in (False, True):
            found = self.play(silence, lambda *_: None, removed=removed)
            self.assertEqual({None}, found)

    def test_a_node_without_its_peers_joins_two_versions(self):
        """A node that heard no others relied on its old view."""

        def cut(cluster, node):
            cluster.cut.add(node.host)

        for removed in (False, True):
            found = self.play(cut, lambda *_: None, removed=removed)
            self.assertEqual({"v2"}, found)

    def test_a_node_without_both_joins_two_versions(self):
        """A node that reached nobody relied on its old view."""

        def cut(cluster, node):
            cluster.cut.add(node.host)
            node.registry.silent = True

        for for_s in (1.8, 40.0):
            found = self.play(cut, lambda *_: None, for_s=for_s)
            self.assertEqual({None}, found)

    def test_states_from_before_a_freeze_count_as_new(self):
        """A node that woke without a connection took buffered states for new ones."""

        def pause(cluster, node):
            node.pause()
            asyncio.get_running_loop().call_later(0.3, cut, cluster, node)

        def cut(cluster, node):
            cluster.cut.add(node.host)
            node.registry.silent = True

        for for_s in (1.5, 1.8, 3.5):
            found = self.play(pause, lambda _, node: node.go_on(), for_s=for_s)
            self.assertEqual({None}, found)

    def test_a_node_that_is_back_in_touch_joins_two_versions(self):
        """A node took up streams before it had read what it had missed."""

        def cut(cluster, node):
            cluster.cut.add(node.host)
            node.registry.silent = True

        def heal(cluster, node):
            cluster.cut.clear()
            node.registry.silent = False

        self.assertEqual({"v2"}, self.play(cut, heal))
        self.assertEqual({"v2"}, self.play(cut, heal, removed=True))


class OneVersionTest(testtools.TestCase):
    def play(self, disturb, *, nodes=4, after_s=1.0, for_s=0.5):
        """Return where streams of a killed node go on at the others."""

        async def scenario():
            cluster = await start(nodes)
            lost, others = cluster.nodes[0], cluster.nodes[1:]
            disturb(cluster)
            await asyncio.sleep(after_s)
            names = begin(lost, "v1")
            cluster.kill(lost)
            await asyncio.sleep(for_s)
            found = [await take_up(node, names) for node in others[:3]]
            return set().union(*found)

        return run_virtual(scenario())

    def test_streams_of_a_killed_node_are_refused(self):
        """A deployment with one version refused streams after a kill."""
        for nodes in (2, 4, 40):
            self.assertEqual({"v1"}, self.play(lambda _: None, nodes=nodes))

    def test_streams_are_refused_while_the_store_is_silent(self):
        """A silence of the registry ended the streams of a killed node."""

        def silence(cluster):
            for node in cluster.nodes:
                node.registry.silent = True

        for nodes in (2, 4, 40):
            for after_s in (0.0, 1.0, 3.5):
                found = self.play(silence, nodes=nodes, after_s=after_s)
                self.assertEqual({"v1"}, found, (nodes, after_s))

    def test_a_node_that_was_lost_for_good_is_waited_for(self):
        """Nodes that the list still names ended all streams in a silence."""

        async def scenario():
            cluster = await start(5)
            cluster.kill(cluster.nodes[4])
            await asyncio.sleep(MEMBER_TIMEOUT_S + 25.0)
            for node in cluster.nodes:
                node.registry.silent = True
            await asyncio.sleep(1.0)
            names = begin(cluster.nodes[0], "v1")
            cluster.kill(cluster.nodes[0])
            await asyncio.sleep(0.5)
            self.assertEqual({"v1"}, await take_up(cluster.nodes[1], names))

        run_virtual(scenario())

    def test_streams_are_refused_after_a_kill_of_all(self):
        """After a kill of all nodes, a single version was not known."""

        async def scenario():
            cluster = await start()
            names = begin(cluster.nodes[0], "v1")
            for node in cluster.nodes:
                cluster.kill(node)
            await asyncio.sleep(0.5)
            fresh = [cluster.restart(node) for node in list(cluster.nodes)]
            await asyncio.sleep(0.3)
            for node in fresh:
                self.assertEqual({"v1"}, await take_up(node, names))

        run_virtual(scenario())

    def test_a_return_of_the_store_ends_the_streams_of_a_killed_node(self):
        """Nodes that lived through a return refused streams of one version."""

        async def scenario():
            cluster = await start()
            copy = cluster.registry.copy()
            await asyncio.sleep(2.0)
            names = begin(cluster.nodes[0], "v1")
            cluster.return_from(copy)
            cluster.kill(cluster.nodes[0])
            await asyncio.sleep(0.5)
            self.assertEqual({"v1"}, await take_up(cluster.nodes[1], names))

        run_virtual(scenario())


class ReturnTest(testtools.TestCase):
    def test_nodes_that_start_after_a_return_join_two_versions(self):
        """New nodes took what the copy had for all that was in use."""

        async def scenario():
            cluster = await start()
            copy = cluster.registry.copy()
            await asyncio.sleep(0.2)
            cluster.put("v2-0", "ready")
            await asyncio.sleep(2.0)
            names = begin(cluster.nodes[0], "v2")
            await asyncio.sleep(0.5)
            for node in cluster.nodes:
                cluster.kill(node)
            cluster.return_from(copy)
            fresh = [cluster.restart(node) for node in list(cluster.nodes)]
            await asyncio.sleep(0.2)
            for pause_s in (0.0, 0.5, 1.0, 1.0, 2.0):
                await asyncio.sleep(pause_s)
                found = await take_up(fresh[0], names)
                self.assertEqual({None}, found, pause_s)

        run_virtual(scenario())

    def test_the_record_of_a_copy_counts_for_the_new_era(self):
        """A node that started later took the record of a copy for a new one."""

        async def scenario():
            cluster = await start()
            copy = cluster.registry.copy()
            await asyncio.sleep(0.2)
            cluster.put("v2-0", "ready")
            await asyncio.sleep(2.0)
            names = begin(cluster.nodes[0], "v2")
            await asyncio.sleep(0.5)
            cluster.return_from(copy)
            cluster.kill(cluster.nodes[0])
            fresh = cluster.restart(cluster.nodes[1])
            await asyncio.sleep(0.2)
            self.assertNotIn("v1", await take_up(fresh, names))
            await asyncio.sleep(4.0)
            names = begin(cluster.nodes[2], "v2", "t")
            await asyncio.sleep(0.5)
            cluster.kill(cluster.nodes[2])
            self.assertEqual({"v2"}, await take_up(fresh, names))

        run_virtual(scenario())


class CrowdTest(testtools.TestCase):
    """Replay the callers of a killed node that all come to one other node."""

    CALLERS = 1000

    def play(self, disturb=lambda cluster: None):
        """Return where all go on, and the calls for upstreams and checks meanwhile."""

        async def scenario():
            cluster = await start(6)
            disturb(cluster)
            await asyncio.sleep(0.5)
            names = begin(cluster.nodes[0], "v1")
            cluster.kill(cluster.nodes[0])
            await asyncio.sleep(0.1)
            before = cluster.calls.get(UPSTREAMS, 0), cluster.checks
            callers = []
            for number in range(self.CALLERS):
                name = names[number % STREAMS]
                callers.append(asyncio.create_task(cluster.nodes[1].take_up(name)))
                await asyncio.sleep(0.0005)
            found = set(await asyncio.gather(*callers))
            reads = cluster.calls.get(UPSTREAMS, 0) - before[0]
            return found, reads, cluster.checks - before[1]

        return run_virtual(scenario())

    def test_each_of_many_callers_reads_the_registry(self):
        """A thousand take-ups at once made a thousand calls to the registry."""
        found, reads, checks = self.play()
        self.assertEqual({"v1"}, found)
        self.assertLess(reads, 1.5 * 0.5 * MAX_READS_PER_S / 6)
        self.assertLess(checks, 6)

    def test_each_of_many_callers_asks_a_silent_registry(self):
        """A thousand take-ups at once tried the addresses of all other nodes."""

        def silence(cluster):
            for node in cluster.nodes:
                node.registry.silent = True

        found, reads, checks = self.play(silence)
        self.assertEqual({"v1"}, found)
        self.assertLess(reads, 20)
        self.assertLess(checks, 12)


class ReportTest(testtools.TestCase):
    def test_a_version_that_comes_back_is_reported_once_only(self):
        """The first stream at a version was reported once in a node's life."""

        async def scenario():
            cluster = await start()
            node = cluster.nodes[0]
            life_s = node.knowledge.limits.life_s("s")
            for pause_s, reports in ((0.0, 1), (0.1, 0), (life_s + 1, 1), (0.0, 0)):
                await asyncio.sleep(pause_s)
                before = cluster.datagrams
                node.begin("x", "v1")
                members = len(cluster.nodes) - 1
                self.assertEqual(members * reports, cluster.datagrams - before)

        run_virtual(scenario())
