"""Test how a node follows the registry, or its peers without the registry."""

import asyncio
import json
import zlib
from dataclasses import replace

import testtools

from cicadapass_decisions.passthrough import CallerLimits, UpstreamRecord
from cicadapass_gateway.adapterapi import Adapter, DocumentCodec, Topics
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_gateway.httpserver import HttpServer, ServerState
from cicadapass_gateway.nodeaddress import NodeAddress
from cicadapass_gateway.peers import Member
from cicadapass_gateway.registrysync import RegistrySync
from tests.gateway.harness import (
    HEADER_CODEC,
    HOST,
    LoopTest,
    MemoryRegistry,
    configuration,
    make_state,
    refuse_migration,
    until,
)
from tests.gateway.virtualcluster import TOPICS, Cluster, run_virtual, silent_registry
from tests.gateway.virtualcluster import entry as entry_of


def decode_configuration(raw):
    """Return a configuration whose version is the number in the bytes.

    After `unhashable`, a path prefix cannot be looked up; `failing` raises an error
    that no decoder declares.
    """
    version, _, fault = raw.partition(b" ")
    if fault == b"failing":
        raise RuntimeError("unforeseen")
    decoded = configuration(version=int(version))
    if fault == b"unhashable":
        route = replace(decoded.routes[0], path_prefix=["/"])
        return replace(decoded, routes=(route,))
    return decoded


def decode_upstream(key, raw):
    """Return a record, or None for invalid bytes."""
    try:
        entry = json.loads(raw)
    except ValueError:
        return None
    sequence, leaving = entry["sequence"], entry.get("leaving", False)
    return UpstreamRecord(key, "s", "h", 1, "dc-a", 64, leaving, 1, sequence)


def entry(sequence, leaving=False):
    """Return the encoded entry of an upstream."""
    return json.dumps({"sequence": sequence, "leaving": leaving}).encode()


class FakePeers:
    """Store members without datagrams."""

    def __init__(self, name):
        self.local_address = NodeAddress(name, HOST, 1, 1, "dc-a")
        self.members = {}
        self.round_s = 0.2
        self.last_received_s = 0.0

    def fresh_members(self):
        """Return all members."""
        return list(self.members.values())

    def is_watcher(self):
        """Return that this node watches the registry."""
        return True

    def add(self, address, now_s):
        if address.name != self.local_address.name:
            self.members[address.name] = Member(address, now_s)


class Node:
    """Run the registry synchronisation of one node."""

    def __init__(self, registry, name="a"):
        self.state = make_state()
        self.peers = FakePeers(name)
        topics = Topics("configuration", "upstreams", "nodes", "duties")
        document_codec = DocumentCodec("config", decode_configuration, decode_upstream)
        adapter = Adapter(
            HEADER_CODEC, registry, topics, document_codec, refuse_migration, None
        )
        self.registry_sync = RegistrySync(self.state, adapter, self.peers, ClientPool())

    def start(self):
        """Start all followers in the background."""
        self.tasks = [
            asyncio.create_task(follow())
            for follow in (
                self.registry_sync.follow_configuration,
                self.registry_sync.follow_upstreams,
                self.registry_sync.follow_peer_views,
                self.registry_sync.follow_nodes,
                self.registry_sync.follow_peers,
                self.registry_sync.expire_held_entries,
            )
        ]
        return self

    async def serve_peers(self):
        """Serve the registry's state to peers; return the address."""

        async def handler(exchange):
            exchange.respond(200, [], self.registry_sync.respond(exchange.target))

        state = ServerState(CallerLimits())
        server = HttpServer(state, handler, lambda error: None)
        await server.listen(HOST, 0)
        local_address = self.peers.local_address
        return replace(local_address, port=server.port)

    @property
    def usable(self):
        """Return the ids of the usable upstreams."""
        return {each.upstream_id for each in self.state.upstreams.usable("s")}


class FollowTest(LoopTest):
    def test_changes_are_applied(self):
        """A change of the configuration or of an upstream was not applied."""

        async def scenario():
            registry = MemoryRegistry()
            registry.put("configuration", "config", b"3")
            registry.put("upstreams", "u1", entry(1))
            node = Node(registry).start()
            await until(lambda: node.state.ready and node.usable == {"u1"})
            registry.put("configuration", "config", b"5")
            registry.put("upstreams", "u1", entry(2, leaving=True))
            registry.put("upstreams", "u2", entry(1))
            await until(lambda: node.state.version == 5 and node.usable == {"u2"})

        self.run_loop(scenario())

    def test_a_node_never_goes_back_to_an_older_version(self):
        """A late copy of an old configuration was applied."""

        async def scenario():
            state = make_state()
            self.assertTrue(state.adopt(configuration(version=7), b"7"))
            self.assertFalse(state.adopt(configuration(version=6), b"6"))
            self.assertFalse(state.adopt(configuration(version=7), b"7"))
            self.assertEqual(7, state.version)

        self.run_loop(scenario())

    def test_entries_that_cannot_be_read_are_skipped(self):
        """One invalid entry hid all others."""

        async def scenario():
            registry = MemoryRegistry()
            registry.put("upstreams", "bad", b"\xff{")
            registry.put("upstreams", "u1", entry(1))
            node = Node(registry).start()
            await until(lambda: node.usable == {"u1"})
            registry.put("upstreams", "u1", b"no entry")
            registry.put("upstreams", "u2", entry(1))
            await until(lambda: node.usable == {"u2"})

        self.run_loop(scenario())

    def test_an_unreadable_configuration_leaves_the_old_one(self):
        """An invalid configuration stopped the node."""

        async def scenario():
            registry = MemoryRegistry()
            registry.put("configuration", "config", b"3")
            node = Node(registry).start()
            await until(lambda: node.state.version == 3)
            registry.put("configuration", "config", b"broken")
            registry.put("configuration", "config", b"4")
            await until(lambda: node.state.version == 4)

        self.run_loop(scenario())

    def test_an_unforeseen_error_leaves_the_configuration_in_force(self):
        """A configuration that could not be indexed ended the task that follows it."""

        async def follow(fault):
            registry = MemoryRegistry()
            registry.put("configuration", "config", b"3")
            node = Node(registry)
            events = []
            node.state.events.emit = lambda number, **_: events.append(number)
            task = asyncio.create_task(node.registry_sync.follow_configuration())
            await until(lambda: node.state.version == 3)
            registry.put("configuration", "config", b"4 " + fault)
            await until(lambda: task.done() or events[-1] == 802)
            self.assertFalse(task.done(), fault)
            self.assertEqual(
                (3, b"3"), (node.state.version, node.state.raw_configuration)
            )
            registry.put("configuration", "config", b"4")
            await until(lambda: node.state.version == 4)
            self.assertEqual([801, 802, 801], events)
            task.cancel()

        for fault in (b"unhashable", b"failing"):
            self.run_loop(follow(fault))

    def test_expired_history_is_replaced_by_a_listing(self):
        """A removal in the deleted part of the log was never applied."""

        async def scenario():
            registry = MemoryRegistry()
            registry.put("upstreams", "u1", entry(1))
            node = Node(registry).start()
            await until(lambda: node.usable == {"u1"})
            registry.put("upstreams", "u1", b"")
            registry.put("upstreams", "u2", entry(1))
            registry.first_offsets["upstreams"] = 3
            await until(lambda: node.usable == {"u2"})

        self.run_loop(scenario())

    def test_an_outage_keeps_the_upstreams(self):
        """Requests were refused because the registry was unavailable."""

        async def scenario():
            registry = MemoryRegistry()
            registry.put("configuration", "config", b"3")
            registry.put("upstreams", "u1", entry(1))
            node = Node(registry).start()
            await until(lambda: node.usable == {"u1"})
            registry.down = True
            await until(lambda: not node.registry_sync.registry_ok)
            self.assertEqual({"u1"}, node.usable)
            self.assertTrue(node.state.ready)

        self.run_loop(scenario())


class PeerChangesTest(testtools.TestCase):
    async def cluster(self, *upstreams):
        """Return three nodes, of which the registry no longer answers the first."""
        cluster = Cluster(3, seed=1, loss=0.0)
        for upstream_id in upstreams:
            cluster.put(upstream_id, "ready")
        await cluster.start(3.0)
        cluster.nodes[0].registry.silent = True
        await asyncio.sleep(2.0)
        return cluster

    def test_a_change_is_applied_without_the_registry(self):
        """A node that the registry refuses continued to use a leaving upstream."""

        async def scenario():
            cluster = await self.cluster("u1")
            node = cluster.nodes[0]
            cluster.put("u1", "leaving")
            cluster.put("u2", "ready")
            await asyncio.sleep(1.5)
            self.assertEqual({"u2"}, node.usable)
            cluster.put("u2", "removed")
            await asyncio.sleep(1.5)
            self.assertEqual(set(), node.usable)

        run_virtual(scenario())

    def test_a_late_entry_hides_the_leaving_of_an_upstream(self):
        """An old entry that was written after the leaving one replaced it at peers."""

        async def scenario():
            cluster = await self.cluster("u1")
            cluster.put("u1", "leaving")
            cluster.registry.put(TOPICS.upstreams, "u1", entry_of("u1", "ready", 1))
            await asyncio.sleep(1.5)
            for node in cluster.nodes:
                self.assertEqual(set(), node.usable)

        run_virtual(scenario())

    def test_a_read_that_was_cut_confirms_the_view(self):
        """A node took its view for recent although the read had left records out."""

        async def scenario():
            cluster = Cluster(1, seed=1)
            await cluster.start(2.0)
            cluster.registry.max_records = 1
            for number in range(40):
                cluster.put(f"u{number}", "ready")
            await asyncio.sleep(1.0)
            self.assertEqual(40, len(cluster.nodes[0].usable))

        run_virtual(scenario())

    def test_an_empty_read_is_repeated_without_a_pause(self):
        """A read that returned nothing was repeated without end, and confirmed."""

        async def scenario():
            cluster = Cluster(1, seed=1)
            await cluster.start(2.0)
            cluster.registry.max_records = 0
            cluster.put("u1", "ready")
            calls = cluster.calls["upstreams"]
            await asyncio.sleep(2.5)
            now_s = asyncio.get_running_loop().time()
            replica = cluster.nodes[0].state.upstreams.replica
            self.assertGreater(replica.age_s(now_s), 2.0)
            self.assertLess(cluster.calls["upstreams"] - calls, 50)

        run_virtual(scenario())

    def test_an_outdated_listing_is_repeated_without_a_pause(self):
        """A listing from before the view was repeated without end, and confirmed."""

        async def scenario():
            cluster = Cluster(1, seed=1)
            cluster.put("u1", "ready")
            await cluster.start(2.0)
            outdated = await cluster.registry.newest(TOPICS.upstreams)
            cluster.put("u2", "ready")
            await asyncio.sleep(2.0)

            async def newest(topic):
                return outdated

            cluster.registry.newest = newest
            end = len(cluster.registry.logs[TOPICS.upstreams])
            cluster.registry.first_offsets[TOPICS.upstreams] = end + 1
            calls = cluster.calls["upstreams"]
            await asyncio.sleep(2.5)
            now_s = asyncio.get_running_loop().time()
            node = cluster.nodes[0]
            self.assertGreater(node.state.upstreams.replica.age_s(now_s), 2.0)
            self.assertLess(cluster.calls["upstreams"] - calls, 50)
            self.assertEqual({"u1", "u2"}, node.usable)

        run_virtual(scenario())

    def test_a_malformed_response_is_skipped(self):
        """A malformed response of one peer kept a node from asking the next one."""

        async def scenario():
            cluster = await self.cluster("u1")
            replies = iter([b"", b"\xff" * 9, zlib.compress(b"\x80"), b"{"] * 100)
            cluster.nodes[1].respond = lambda target: next(replies)
            cluster.put("u1", "removed")
            await asyncio.sleep(2.0)
            self.assertEqual(set(), cluster.nodes[0].usable)

        run_virtual(scenario())

    def test_equal_views_are_not_fetched(self):
        """A change circulated between the nodes forever."""

        async def scenario():
            cluster = await self.cluster("u1")
            cluster.put("u1", "removed")
            await asyncio.sleep(2.0)
            fetched_bytes = cluster.fetched_bytes
            await asyncio.sleep(10.0)
            self.assertEqual(fetched_bytes, cluster.fetched_bytes)

        run_virtual(scenario())

    def test_a_change_is_fetched_once(self):
        """Each peer's datagram made a node fetch the same change again."""

        async def scenario():
            cluster = await self.cluster("u1")
            fetched_bytes = cluster.fetched_bytes
            cluster.put("u2", "ready")
            await asyncio.sleep(3.0)
            node = cluster.nodes[0]
            response = node.respond(b"/v1/upstreams?start=1&node=n")
            fetched = (cluster.fetched_bytes - fetched_bytes) / len(response)
            # One fetch by the first node, and by the other that has not read it.
            self.assertLess(fetched, 2.5)

        run_virtual(scenario())

    def test_a_new_node_gets_all_upstreams_from_a_peer(self):
        """A new node took one changed upstream for the whole fleet."""

        async def scenario():
            cluster = await self.cluster("u1", "u2")
            cluster.put("u3", "ready")
            node = cluster.restart(cluster.nodes[0])
            node.registry.silent = True
            seen = set()
            for _ in range(100):
                await asyncio.sleep(0.05)
                seen.add(frozenset(node.usable))
            self.assertEqual({"u1", "u2", "u3"}, node.usable)
            whole = {frozenset(), frozenset({"u1", "u2"})}
            self.assertTrue(seen <= whole | {frozenset({"u1", "u2", "u3"})}, seen)

        run_virtual(scenario())

    def test_an_outage_for_all_nodes_keeps_expired_upstreams(self):
        """An outage between two rare reads removed live upstreams."""

        async def scenario():
            cluster = await self.cluster("u1", "u2")
            with silent_registry(cluster.nodes):
                await asyncio.sleep(4.0)
                cluster.put("u1", "removed")
            await asyncio.sleep(1.8)
            for node in cluster.nodes:
                self.assertEqual({"u1", "u2"}, node.usable)
            await asyncio.sleep(3.0)
            for node in cluster.nodes:
                self.assertEqual({"u2"}, node.usable)

        run_virtual(scenario())

    def test_a_registry_that_refuses_some_nodes_is_trusted(self):
        """Two refused nodes made all others keep a removed upstream.

        It received a request 2.03 s after its removal; 2 s are allowed.
        """

        async def scenario():
            cluster = await self.cluster("u1")
            cluster.nodes[1].registry.busy = True
            await asyncio.sleep(6.0)
            cluster.put("u1", "removed")
            stopped_s = await cluster.last_use_s(["u1"], 5.0)
            self.assertLess(stopped_s["u1"], 2.0)

        run_virtual(scenario())

    def test_an_isolated_node_reads_the_registry_itself(self):
        """A node without its peers continued to wait for their changes."""

        async def scenario():
            cluster = await self.cluster("u1")
            node = cluster.nodes[1]
            cluster.cut.add(node.host)
            await asyncio.sleep(5.0)
            cluster.put("u1", "removed")
            await asyncio.sleep(2.0)
            self.assertEqual(set(), node.usable)

        run_virtual(scenario())


class PeerTest(LoopTest):
    def test_a_node_refused_by_the_registry_reads_from_a_peer(self):
        """A refused node kept the old routes and upstreams."""

        async def scenario():
            registry, closed = MemoryRegistry(), MemoryRegistry()
            closed.down = True
            registry.put("configuration", "config", b"3")
            registry.put("upstreams", "u1", entry(1))
            served = Node(registry, "served").start()
            await until(lambda: served.state.ready)
            address = await served.serve_peers()
            node = Node(closed, "closed").start()

            def report():
                member = Member(address, node.state.clock())
                member.version = served.state.version
                member.registry_ok = served.registry_sync.registry_ok
                member.view_end, ages_s = served.registry_sync.view_state()
                node.peers.members["served"] = member
                node.registry_sync.compare_view(member.view_end, ages_s)
                node.registry_sync.compare_version(member.version)

            async def keep_reporting():
                while True:
                    report()
                    await asyncio.sleep(0.05)

            reporting = asyncio.create_task(keep_reporting())
            await until(lambda: node.state.version == 3 and node.usable == {"u1"})
            registry.put("configuration", "config", b"8")
            registry.put("upstreams", "u1", b"")
            registry.put("upstreams", "u2", entry(1))
            await until(lambda: node.state.version == 8)
            await until(lambda: "u2" in node.usable)
            reporting.cancel()

        self.run_loop(scenario())

    def test_nodes_discover_each_other_through_the_registry(self):
        """A node that started later received no datagrams."""

        async def scenario():
            registry = MemoryRegistry()
            first = Node(registry, "a").start()
            await until(lambda: registry.logs.get("nodes"))
            second = Node(registry, "b").start()
            await until(lambda: "a" in second.peers.members)
            self.assertEqual(
                first.peers.local_address, second.peers.members["a"].address
            )

        self.run_loop(scenario())
