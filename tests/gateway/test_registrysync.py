"""Test how a node follows the registry, or its peers without the registry."""

import asyncio
import json
from dataclasses import replace

from cicadapass_decisions.passthrough import CallerLimits, UpstreamRecord
from cicadapass_decisions.registrychanges import SENDS_PER_CHANGE, Document
from cicadapass_gateway.adapterapi import Adapter, DocumentCodec, Topics
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_gateway.httpserver import HttpServer, ServerState
from cicadapass_gateway.peers import Member, NodeAddress
from cicadapass_gateway.registrysync import (
    ISOLATED_AFTER_S,
    OUTAGE_AFTER_S,
    RegistrySync,
)
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


def decode_configuration(raw):
    """Return a configuration whose version is the number in the bytes."""
    return configuration(version=int(raw))


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
                self.registry_sync.follow_nodes,
                self.registry_sync.follow_peers,
            )
        ]
        return self

    async def serve_peers(self):
        """Serve the registry's state to peers; return the address."""

        async def handler(exchange):
            exchange.respond(200, [], self.registry_sync.encode_state())

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


class PeerChangesTest(LoopTest):
    async def node(self, *upstreams):
        """Return a node that reads rarely and knows these upstreams."""
        self.registry = MemoryRegistry()
        self.registry.put("configuration", "config", b"3")
        for upstream in upstreams:
            self.registry.put("upstreams", upstream, entry(1))
        node = Node(self.registry)
        # One of a thousand nodes reads every two minutes or so.
        node.peers.last_received_s = 1e9
        for number in range(1000):
            address = NodeAddress(f"p{number}", HOST, 1, 1, "dc-a")
            node.peers.members[address.name] = Member(address, 1e9, registry_ok=True)
        node.start()
        await until(lambda: node.usable == set(upstreams) and node.state.ready)
        return node

    def test_a_change_from_a_peer_is_applied_at_once(self):
        """A node that reads rarely continued to use a leaving upstream."""

        async def scenario():
            node = await self.node("u1")
            end = node.registry_sync.upstreams_end
            node.registry_sync.apply_changes(
                [Document("u1", entry(2, leaving=True), end)], "p1"
            )
            node.registry_sync.apply_changes([Document("u2", entry(1), end + 1)], "p1")
            self.assertEqual({"u2"}, node.usable)
            node.registry_sync.apply_changes([Document("u2", b"", end + 2)], "p1")
            self.assertEqual(set(), node.usable)

        self.run_loop(scenario())

    def test_an_older_change_is_ignored(self):
        """A late datagram removed a live upstream."""

        async def scenario():
            node = await self.node("u1")
            end = node.registry_sync.upstreams_end
            node.registry_sync.apply_changes([Document("u1", entry(4), end + 3)], "p1")
            node.registry_sync.apply_changes([Document("u1", b"", end + 2)], "p1")
            self.assertEqual({"u1"}, node.usable)

        self.run_loop(scenario())

    def test_a_change_is_forwarded_once(self):
        """A change circulated between the nodes forever."""

        async def scenario():
            node = await self.node("u1")
            change = Document("u1", b"", node.registry_sync.upstreams_end)
            node.registry_sync.apply_changes([change], "p1")
            sent = [
                node.registry_sync.pending_changes() for _ in range(SENDS_PER_CHANGE)
            ]
            self.assertEqual([[change]] * SENDS_PER_CHANGE, sent)
            node.registry_sync.apply_changes([change], "p1")
            self.assertEqual([], node.registry_sync.pending_changes())

        self.run_loop(scenario())

    def test_a_heartbeat_entry_is_not_forwarded(self):
        """The entries that upstreams write every second filled the datagrams."""

        async def scenario():
            node = await self.node("u1")
            change = Document("u1", entry(2), node.registry_sync.upstreams_end)
            node.registry_sync.apply_changes([change], "p1")
            self.assertEqual([], node.registry_sync.pending_changes())

        self.run_loop(scenario())

    def test_a_listing_keeps_newer_changes_from_peers(self):
        """A listing from before a change hid the new upstream."""

        async def scenario():
            node = await self.node("u1")
            end = node.registry_sync.upstreams_end
            node.registry_sync.apply_changes([Document("u2", entry(1), end)], "p1")
            self.registry.first_offsets["upstreams"] = end
            # The registry's own log still ends before the change.
            node.registry_sync._apply_listing(await self.registry.newest("upstreams"))
            self.assertEqual({"u1", "u2"}, node.usable)

        self.run_loop(scenario())

    def test_changes_found_by_a_listing_are_forwarded(self):
        """A change was applied only by the node that had read it."""

        async def scenario():
            node = await self.node("u1")
            self.assertEqual([], node.registry_sync.pending_changes())
            self.registry.put("upstreams", "u1", b"")
            self.registry.put("upstreams", "u2", entry(1))
            node.registry_sync._apply_listing(await self.registry.newest("upstreams"))
            sent = {
                each.key: each.value for each in node.registry_sync.pending_changes()
            }
            self.assertEqual({"u1": b"", "u2": entry(1)}, sent)

        self.run_loop(scenario())

    def test_changes_before_the_first_listing_are_ignored(self):
        """A new node took one changed upstream for the whole fleet."""

        async def scenario():
            down = MemoryRegistry()
            down.down = True
            node = Node(down)
            node.registry_sync.apply_changes([Document("u1", entry(1), 5)], "p1")
            self.assertFalse(node.state.upstreams_loaded)

        self.run_loop(scenario())

    def test_an_outage_for_all_nodes_keeps_expired_upstreams(self):
        """An outage between two rare reads removed live upstreams."""

        async def scenario():
            node = await self.node("u1")
            self.registry.down = True
            node.registry_sync._registry_status.last_response_s -= OUTAGE_AFTER_S + 0.1
            node.registry_sync.apply_changes(
                [Document("u1", b"", node.registry_sync.upstreams_end)], "p1"
            )
            self.assertEqual({"u1"}, node.usable)

        self.run_loop(scenario())

    def test_a_registry_that_refuses_some_nodes_is_trusted(self):
        """Two refused nodes made all others keep a removed upstream.

        It received a request 2.03 s after its removal; 2 s are allowed.
        """

        async def scenario():
            node = await self.node("u1")
            node.registry_sync._registry_status.last_response_s -= 60.0
            now_s = node.state.clock()
            for number in range(3):
                node.peers.members[f"p{number}"].last_response_s = now_s - 30.0
            node.peers.members["p9"].last_response_s = now_s - 0.3
            node.registry_sync.apply_changes(
                [Document("u1", b"", node.registry_sync.upstreams_end)], "p1"
            )
            self.assertEqual(set(), node.usable)

        self.run_loop(scenario())

    def test_an_isolated_node_reads_at_the_usual_interval(self):
        """A node without its peers continued to wait for their changes."""

        async def scenario():
            node = await self.node("u1")
            self.registry.put("upstreams", "u1", b"")
            node.peers.last_received_s = node.state.clock() - ISOLATED_AFTER_S
            await until(lambda: not node.usable)

        self.run_loop(scenario())


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
                node.peers.members["served"] = member

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
