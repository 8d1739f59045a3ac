"""Test the datagrams that nodes exchange."""

import asyncio
import math
from dataclasses import replace

import cbor2

from cicadapass_decisions.learnedcapacity import Totals
from cicadapass_decisions.passthrough import Prompt, UpstreamRecord
from cicadapass_decisions.peerclock import PeerClock
from cicadapass_decisions.readsharing import is_watcher
from cicadapass_gateway.exceptions import DECODE_ERRORS
from cicadapass_gateway.nodeaddress import NodeAddress
from cicadapass_gateway.peers import (
    LIMIT_MESSAGE,
    MAX_DATAGRAM_BYTES,
    MEMBER_TIMEOUT_S,
    SEGMENT_MESSAGE,
    USE_MESSAGE,
    PeerDependencies,
    Peers,
    _decode_totals,
)
from cicadapass_gateway.usage import UsageCounter
from tests.gateway.harness import HOST, LoopTest, configuration, make_state, until
from tests.gateway.virtualcluster import Cluster, run_virtual

UPSTREAM = UpstreamRecord("u1", "s", "h", 1, "dc-a", 64, False, 1, 1)


class FakeRegistryState:
    """Store what a node reports and receives of the registry."""

    registry_ok = True

    def __init__(self, state):
        self.view = (0, [0.0])
        self.compared = []
        self._state = state

    def view_state(self):
        """Return the end and the ages to report."""
        return self.view

    def compare_view(self, end_offset, ages_s):
        """Store the report of a peer."""
        self.compared.append((end_offset, ages_s))

    def compare_version(self, version):
        """Ignore the version of a peer."""

    def apply_marks(self, rows, peer):
        """Apply the marks of a peer."""
        for upstream_id, started_ms in rows:
            self._state.upstreams.view.mark_leaving(upstream_id, started_ms, 0.0)
        self._state.upstreams.refresh()


class Node:
    """Run the peers of one node on a free port."""

    def __init__(self, name, incarnation=1):
        self.name, self.incarnation = name, incarnation
        self.state = make_state()
        self.state.upstreams.view.replace([UPSTREAM], 0.0)
        self.state.upstreams.refresh()
        self.state.upstreams.meter(UPSTREAM)
        self.usage = UsageCounter(5.0, lambda: 1000.0)
        self.renewal = None
        self.registry = FakeRegistryState(self.state)

    async def start(self, seeds=()):
        """Bind to a free port and return the node."""
        loop = asyncio.get_running_loop()
        clock = PeerClock()
        dependencies = PeerDependencies(
            self.state, self.usage, clock, lambda: self.renewal, lambda: self.registry
        )
        self.peers = Peers(
            NodeAddress(self.name, HOST, 0, 1, "dc-a"), list(seeds), dependencies
        )
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self.peers, local_addr=(HOST, 0)
        )
        port = transport.get_extra_info("sockname")[1]
        self.peers.local_address = NodeAddress(
            self.name, HOST, port, self.incarnation, "dc-a"
        )
        return self

    @property
    def address(self):
        """Return the host and port."""
        return HOST, self.peers.local_address.port


class StreamTest(LoopTest):
    def test_streams_are_passed_on_to_a_node_that_appends_them(self):
        """Each of many nodes appended the streams that it began."""

        async def scenario():
            first = await Node("a").start()
            second = await Node("b").start([first.address])
            accepted = []
            first.peers._dependencies.accept_streams = accepted.append
            second.peers.send_state()
            await until(first.peers.fresh_members)
            first.peers.send_state()
            await until(second.peers.fresh_members)
            rows = [["s", "v1", ["r1"]]]
            # Both are among the few that append.
            self.assertFalse(second.peers.pass_on_streams(rows))
            second.peers.is_watcher = lambda: False
            second.peers.fresh_members()[0].registry_ok = True
            self.assertTrue(second.peers.pass_on_streams(rows))
            await until(lambda: accepted)
            self.assertEqual([rows], accepted)

        self.run_loop(scenario())


class DatagramTest(LoopTest):
    async def pair(self):
        """Return two nodes, of which the second knows the first."""
        first = await Node("a").start()
        second = await Node("b").start([first.address])
        return first, second

    def test_the_state_reaches_the_other_node(self):
        """Nodes did not know each other's load and overloaded an engine."""

        async def scenario():
            first, second = await self.pair()
            second.state.upstreams.begin(UPSTREAM, Prompt(prompt_tokens=900), 0.0, 0.0)
            second.usage.count("w")
            second.state.demand.add("s", 3000.0)
            second.renewal = (4, 2)
            second.state.adopt(configuration(version=9), b"raw")
            second.peers.send_state()
            await until(lambda: first.peers.members)
            now_s = first.state.clock()
            self.assertEqual(1, first.state.upstreams.meter(UPSTREAM).running(now_s))
            self.assertEqual({"w": 1}, first.usage.total(200))
            self.assertGreater(first.peers.total_demand("s"), 0)
            self.assertEqual(4, first.peers.holder_report.fence)
            self.assertEqual(9, first.peers.members["b"].version)

        self.run_loop(scenario())

    def test_a_long_prompt_is_reported_at_once(self):
        """Until the next state of a peer, nodes sent their long prompts to one engine.

        With many nodes, the next state arrives after seconds, in which an engine
        processes twenty prompts.
        """

        async def scenario():
            first, second = await self.pair()
            second.peers.send_state()
            await until(lambda: first.peers.members)
            first.peers.send_state()
            await until(lambda: second.peers.members)
            second.peers.send_state()
            second.state.upstreams.subscribe_to_sends(second.peers.report_send)
            second.state.upstreams.begin(
                UPSTREAM, Prompt(prompt_tokens=50_000), 0.0, 0.0
            )
            meter = first.state.upstreams.meter(UPSTREAM)
            await until(lambda: meter.prefill_tokens(first.state.clock()) > 1000)

        self.run_loop(scenario())

    def test_unexpected_use_is_reported_at_once(self):
        """Until the next states of their peers, 80 nodes each admitted a full limit."""

        async def scenario():
            first, second = await self.pair()
            second.peers.send_state()
            await until(lambda: first.peers.members)
            first.peers.send_state()
            await until(lambda: second.peers.members)
            limiter, clock = second.state.rate_limiter, second.state.clock
            self.assertIsNone(limiter.admit("w", 10.0, 1000.0, 300.0, clock()))
            await until(lambda: "w" in first.state.rate_limiter.totals())
            usage = first.state.rate_limiter.recent_usage(first.state.clock())
            self.assertEqual({"w": ((0.0, 300.0),)}, usage)

        self.run_loop(scenario())

    def test_use_of_an_unknown_incarnation_is_ignored(self):
        """Totals of a node that had ended counted for its next incarnation."""

        async def scenario():
            first, second = await self.pair()
            second.peers.send_state()
            await until(lambda: first.peers.members)
            for name, incarnation in (("b", 2), ("x", 1)):
                row = [incarnation, 0.5, {"w": [300, 300]}]
                data = cbor2.dumps([USE_MESSAGE, name, row])
                first.peers.datagram_received(data, second.address)
            self.assertEqual({}, first.state.rate_limiter.totals())

        self.run_loop(scenario())

    def test_leaving_marks_are_shared(self):
        """A node without the registry sent requests to a leaving upstream."""

        async def scenario():
            first, second = await self.pair()
            second.state.upstreams.view.mark_leaving("u1", 1, 0.0)
            second.peers.send_state()
            await until(lambda: not first.state.upstreams.usable("s"))

        self.run_loop(scenario())

    def test_the_reach_and_age_of_the_view_are_sent(self):
        """With many nodes, each received a change only with its own rare reads."""

        async def scenario():
            first, second = await self.pair()
            second.registry.view = (7, [5.0, 0.25])
            await self.send_at(first, 100.0, second, 50.0)
            # Those of a new member may all come from the buffer.
            self.assertEqual([(7, [math.inf, math.inf])], first.registry.compared)
            self.assertEqual(7, first.peers.members["b"].view_end)
            self.assertEqual([-math.inf], [s for _, s in first.peers.last_reports()])
            await self.send_at(first, 101.0, second, 51.0)
            self.assertEqual((7, [5.0, 0.25]), first.registry.compared[-1])
            self.assertEqual([101.0], [s for _, s in first.peers.last_reports()])

        self.run_loop(scenario())

    def test_a_datagram_that_waited_in_the_buffer_counts_as_new(self):
        """A node that had stood still took buffered states for the present ones."""

        async def scenario():
            first, second = await self.pair()
            second.registry.view = (7, [0.5])
            await self.send_at(first, 100.0, second, 50.0)
            await self.send_at(first, 101.0, second, 51.0)
            await self.send_at(first, 104.0, second, 51.2)
            _, (age_s,) = first.registry.compared[-1]
            self.assertAlmostEqual(0.5 + 2.8, age_s, places=2)
            (_, sent_s), *_ = first.peers.last_reports()
            self.assertAlmostEqual(101.2, sent_s, places=2)

        self.run_loop(scenario())

    async def send_at(self, first, first_s, second, second_s):
        """Send a state of `second` to `first` at these times of their clocks."""
        first.state.clock, second.state.clock = lambda: first_s, lambda: second_s
        count = len(first.registry.compared)
        second.peers.send_state()
        await until(lambda: len(first.registry.compared) > count)

    def test_short_prompts_are_not_reported_to_many_nodes(self):
        """Half of the datagrams of 195 nodes were reports of short prompts."""
        self.loop_factory = asyncio.new_event_loop

        async def scenario():
            node = await Node("a").start()
            sent = []
            node.peers._transport.sendto = lambda data, address: sent.append(address)
            for others, short, long in ((2, 2, 2), (38, 0, 38)):
                for number in range(others):
                    address = NodeAddress(f"n{number}", HOST, 1 + number, 1, "dc-a")
                    node.peers.add(address, node.state.clock())
                node.peers.send_state()
                for tokens, expected in ((1800, short), (6610, long)):
                    sent.clear()
                    node.peers.report_send("u0", tokens)
                    self.assertEqual(expected, len(sent), (others, tokens))

        self.run_loop(scenario())

    def test_few_nodes_watch_a_registry_that_answers_none(self):
        """All nodes asked the registry for the end of a lease during its outage."""

        async def scenario():
            names = [f"n{number}" for number in range(30)]
            name = next(each for each in names if not is_watcher(each, names))
            node = await Node(name).start()
            for number, other in enumerate(names):
                address = NodeAddress(other, HOST, 1 + number, 1, "dc-a")
                node.peers.add(address, node.state.clock())
            node.registry.registry_ok = False
            self.assertFalse(node.peers.is_watcher())
            node.registry.registry_ok = True
            self.assertTrue(node.peers.is_watcher())

        self.run_loop(scenario())

    def test_a_wave_of_leaving_upstreams_does_not_enlarge_datagrams(self):
        """The entries of a hundred leaving upstreams filled the links for seconds."""

        async def scenario():
            node = await Node("a").start()
            before = len(cbor2.dumps(node.peers._encode(0.0)))
            records = [
                replace(UPSTREAM, upstream_id=f"w{number}", leaving=True)
                for number in range(100)
            ]
            node.state.upstreams.view.replace(records, 0.0)
            self.assertEqual(before, len(cbor2.dumps(node.peers._encode(0.0))))

        self.run_loop(scenario())

    def test_missed_datagrams_are_counted(self):
        """Datagrams were lost without a trace."""

        async def scenario():
            first, second = await self.pair()
            second.peers.send_state()
            await until(lambda: first.peers.members)
            second.peers._interval += 3
            second.peers.send_state()
            await until(lambda: "datagrams_missed" in first.state.metrics.render())
            self.assertIn(
                "cicadapass_datagrams_missed_total 3", first.state.metrics.render()
            )

        self.run_loop(scenario())

    def test_oversized_datagrams_are_counted(self):
        """Datagrams over the limit were dropped without a trace."""

        async def scenario():
            node = await Node("a").start()
            node.peers.datagram_received(
                bytes(MAX_DATAGRAM_BYTES + 1), ("127.0.0.1", 9)
            )
            self.assertIn(
                'datagrams_dropped_total{kind="oversized"} 1',
                node.state.metrics.render(),
            )

        self.run_loop(scenario())

    def test_requests_that_a_peer_ended_no_longer_count(self):
        """An engine appeared busy for seconds after the last request of a peer."""

        async def scenario():
            first, second = await self.pair()
            reservation = second.state.upstreams.begin(UPSTREAM, Prompt(), 0.0, 0.0)
            second.peers.send_state()
            meter = first.state.upstreams.meter(UPSTREAM)
            await until(lambda: meter.running(first.state.clock()) == 1)
            second.state.upstreams.end(reservation, 1.0, succeeded=True)
            second.peers.send_state()
            await until(lambda: meter.running(first.state.clock()) == 0)

        self.run_loop(scenario())

    def test_members_are_discovered_through_a_seed(self):
        """Nodes that knew only a seed did not discover each other."""

        async def scenario():
            seed = await Node("seed").start()
            nodes = [await Node(name).start([seed.address]) for name in "bc"]
            for node in nodes:
                node.peers.send_state()
            await until(lambda: len(seed.peers.members) == 2)
            seed.peers.send_state()
            await until(lambda: all(len(n.peers.members) == 2 for n in nodes))

        self.run_loop(scenario())

    def test_an_older_incarnation_is_ignored(self):
        """A late datagram of an ended process changed the counts."""

        async def scenario():
            first, second = await self.pair()
            old = await Node("b", incarnation=0).start([first.address])
            second.peers.send_state()
            await until(lambda: first.peers.members)
            old.usage.count("w")
            old.peers.send_state()
            second.usage.count("v")
            second.peers.send_state()
            await until(lambda: "v" in first.usage.total(200))
            self.assertNotIn("w", first.usage.total(200))

        self.run_loop(scenario())

    def test_malformed_datagrams_are_skipped(self):
        """A malformed datagram stopped the exchange between nodes."""

        async def scenario():
            first, second = await self.pair()
            for data in (
                b"",
                b"\xff" * 9,
                *map(
                    cbor2.dumps,
                    (
                        {"node": 1},
                        [1],
                        [],
                        [SEGMENT_MESSAGE],
                        [SEGMENT_MESSAGE, "b", [1]],
                        [SEGMENT_MESSAGE, "b", [[["s/x", 1, 1, True, [1]]], [], []]],
                        [LIMIT_MESSAGE, "b"],
                        [LIMIT_MESSAGE, "b", [["i-1@1", float("nan"), 1]]],
                    ),
                ),
            ):
                first.peers.datagram_received(data, ("127.0.0.1", 9))
            second.peers.send_state()
            await until(lambda: first.peers.members)

        self.run_loop(scenario())

    def test_totals_that_are_no_finite_numbers_are_refused(self):
        """The sum of two infinite totals hid that they are no numbers."""
        nan, infinite = float("nan"), float("inf")
        for size in (2, 4):
            for place in range(size):
                for value in (nan, infinite, -infinite, None, "x"):
                    row = [1, 2, 3, 4][:size]
                    row[place] = value
                    with self.assertRaises(DECODE_ERRORS):
                        _decode_totals({"w": row})
        for row in ([infinite, -infinite], [infinite, 1, -infinite, 1], [], [1]):
            with self.assertRaises(DECODE_ERRORS):
                _decode_totals({"w": row})
        self.assertEqual({"w": (1e308, 1e308)}, _decode_totals({"w": [1e308, 1e308]}))
        self.assertEqual(
            {"w": (1.0, 2.0), "v": (1.0, 2.0, 3.0, 0.004)},
            _decode_totals({"w": [1, 2], "v": [1, 2, 3, 4, 5]}),
        )

    def test_ended_nodes_are_counted_again_and_again(self):
        """Nodes introduced an ended node to each other forever.

        Each node's share of the retries was then too small.
        """

        async def scenario():
            cluster = Cluster(20, seed=1)
            await cluster.start(5.0)
            for node in cluster.nodes[15:]:
                node.stop()
                del cluster.by_host[node.host]
            running = cluster.nodes[:15]
            self.assertEqual({20}, {node.state.node_count for node in running})
            await asyncio.sleep(MEMBER_TIMEOUT_S + 5.0)
            for _ in range(40):
                await asyncio.sleep(5.0)
                self.assertEqual({15}, {node.state.node_count for node in running})

        run_virtual(scenario())

    def test_removed_members_return_after_a_long_partition(self):
        """Nodes that had removed each other stayed apart for good."""

        async def scenario():
            cluster = Cluster(8, seed=2)
            await cluster.start(5.0)
            cluster.cut |= {node.host for node in cluster.nodes[4:]}
            await asyncio.sleep(MEMBER_TIMEOUT_S + 10.0)
            cluster.cut.clear()
            await asyncio.sleep(120.0)
            counts = {node.state.node_count for node in cluster.nodes}
            self.assertEqual({8}, counts)

        run_virtual(scenario())

    def test_silent_members_are_removed(self):
        """Datagrams were sent to permanently removed nodes."""

        async def scenario():
            first, second = await self.pair()
            second.peers.send_state()
            await until(lambda: first.peers.members)
            first.peers.members["b"].last_received_s -= MEMBER_TIMEOUT_S + 1
            first.peers.send_state()
            self.assertEqual({}, first.peers.members)

        self.run_loop(scenario())


class CapacityTest(LoopTest):
    def test_totals_reach_the_nodes_that_learn(self):
        """Each node learnt only from its own part of an engine's traffic."""

        async def scenario():
            first = await Node("a").start()
            second = await Node("b").start([first.address])
            self.assertNotIn("capacity", second.peers._encode(0.0))
            for node in (first, second):
                node.state.learn_capacity()
            totals = first.state.upstreams.learned._engines[UPSTREAM.start_key]
            peers = totals.peers
            for count in (10, 20):
                second.state.upstreams.learned.record_work(
                    UPSTREAM.start_key, Totals(10.0, 0.5), second.state.clock()
                )
                second.peers.send_state()
                await until(
                    lambda count=count: count in [t.work for t, _ in peers.values()]
                )
            self.assertEqual(10.0, totals.unseen.work)

        self.run_loop(scenario())

    def test_malformed_totals_leave_the_rest_of_a_state(self):
        """One odd row ended the exchange of all else between two nodes."""

        async def scenario():
            first = await Node("a").start()
            second = await Node("b").start([first.address])
            first.state.learn_capacity()
            message = second.peers._encode(0.0)
            for rows in (7, [["u1@1"]], [["u1@1", "x", 1]], [[[], 1, 1]]):
                data = cbor2.dumps({**message, "capacity": rows})
                first.peers.datagram_received(data, ("127.0.0.1", 9))
            self.assertEqual(["b"], list(first.peers.members))
            self.assertIn(
                "capacity_reports_malformed_total 3", first.state.metrics.render()
            )

        self.run_loop(scenario())
