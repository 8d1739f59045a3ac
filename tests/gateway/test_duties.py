"""Test that one node performs the duties, with lost responses and outages."""

import asyncio

import cbor2

from cicadapass_decisions.passthrough import Scaling, Service, UpstreamRecord
from cicadapass_decisions.segmentsuspicions import Blocked
from cicadapass_decisions.usagereports import MAX_SETTLE_S
from cicadapass_gateway.adapterapi import Adapter, Cloud, DocumentCodec, Topics
from cicadapass_gateway.duties import Duties, DutyTimes
from cicadapass_gateway.exceptions import PlatformRefused, PlatformUnavailable
from cicadapass_gateway.fleetplanner import FleetPlanner
from cicadapass_gateway.nodeaddress import NodeAddress
from cicadapass_gateway.peers import HolderReport
from cicadapass_gateway.usage import UsageCounter
from tests.gateway.harness import (
    HEADER_CODEC,
    LoopTest,
    MemoryRegistry,
    configuration,
    make_state,
    refuse_migration,
    until,
)

# Short times keep the tests quick; nothing depends on their size.
TIMES = DutyTimes(lease_s=0.6, window_s=5.0)


class FakePeers:
    """Provide this node's address and the last report of the holder."""

    def __init__(self, name):
        self.local_address = NodeAddress(name, "127.0.0.1", 1, 1, "dc-a")
        self.holder_report = None
        self.reported_window = -1
        self.round_s = 0.2

    def is_watcher(self):
        """Return that this node may take the duties."""
        return True


class Platform:
    """Record the calls of the duties and simulate faults."""

    def __init__(self):
        self.registry = MemoryRegistry()
        self.reports, self.orders = [], []
        self.fail_reports = 0
        self.refuse_reclaimable = 0

    def adapter(self, name):
        """Return the adapter of one node."""

        async def report(window, counts, fence):
            self.reports.append((name, window, dict(counts), fence))
            if self.fail_reports:
                self.fail_reports -= 1
                raise PlatformUnavailable("the response was lost")

        async def order(order, fence):
            if order.reclaimable and self.refuse_reclaimable:
                raise PlatformRefused(self.refuse_reclaimable, "/scale")
            self.orders.append((name, order, fence))

        topics = Topics("configuration", "upstreams", "nodes", "duties")
        document_codec = DocumentCodec(
            "config", lambda raw: None, lambda key, raw: None
        )
        cloud = Cloud(report, order)
        return Adapter(
            HEADER_CODEC, self.registry, topics, document_codec, refuse_migration, cloud
        )


class Node:
    """Run the duties of one node on a clock that the test sets."""

    def __init__(self, platform, name, now_s=1000.0, times=TIMES):
        self.name, self.now_s = name, now_s
        self.state = make_state()
        self.state.adopt(configuration(), b"raw")
        self.peers = FakePeers(name)
        self.usage = UsageCounter(times.window_s, lambda: self.now_s)
        planner = FleetPlanner(self.state, lambda service: 0.0, lambda: True)
        self.duties = Duties(
            self.state,
            platform.adapter(name),
            self.peers,
            self.usage,
            planner,
            times,
            lambda: self.now_s,
        )

    def start(self):
        """Start the duties in the background."""
        self.task = asyncio.create_task(self.duties.run())
        return self


class DutiesTest(LoopTest):
    def test_an_unreadable_record_does_not_end_the_duties(self):
        """A record that could not be read ended the part, and then the process."""
        for record in (b"x", cbor2.dumps([1, 2]), cbor2.dumps([0] * 8)):

            async def scenario(record=record):
                platform = Platform()
                await platform.registry.append("duties", "holder", record, None)
                node = Node(platform, "a")
                events = []
                node.state.events.emit = lambda number, **_: events.append(number)
                node.start()
                await until(lambda: events.count(842) >= 2)
                self.assertFalse(node.task.done())
                node.task.cancel()

            self.run_loop(scenario())

    def test_an_unreadable_order_does_not_end_the_duties(self):
        """An order that no holder could read ended each of them in turn."""

        async def scenario():
            platform = Platform()
            orders = {"s|dc-a|dc-b|reclaimable": 2}
            record = ["", 4, 1, {}, orders, {"w": "odd"}, 0.0, b""]
            await platform.registry.append(
                "duties", "holder", cbor2.dumps(record), None
            )
            node = Node(platform, "a")
            reasons = []
            node.state.events.emit = lambda number, **fields: reasons.append(
                (number, fields.get("reason"))
            )
            node.usage.count("w")
            node.now_s += 5 + MAX_SETTLE_S
            node.start()
            await until(lambda: platform.reports)
            self.assertFalse(node.task.done())
            skipped = [reason for number, reason in reasons if number == 842]
            self.assertEqual(2, len(skipped), skipped)
            self.assertEqual(5, platform.reports[0][3])
            node.task.cancel()

        self.run_loop(scenario())

    def test_a_window_is_reported_once_its_counts_are_complete(self):
        """A window was reported without the counts of a peer."""

        async def scenario():
            platform = Platform()
            node = Node(platform, "a").start()
            node.usage.count("w")
            node.usage.merge("b/1", {200: {"w": 2}})
            await until(lambda: node.duties.local_renewal() is not None)
            node.now_s = 1006.5
            await until(lambda: platform.reports)
            self.assertEqual(("a", 200, {"w": 3}, 1), platform.reports[0])

        self.run_loop(scenario())

    def test_an_unanswered_report_is_repeated_with_the_same_counts(self):
        """The repeat of a report had counts that arrived in the meantime."""

        async def scenario():
            platform = Platform()
            platform.fail_reports = 2
            node = Node(platform, "a").start()
            node.usage.count("w")
            await until(lambda: node.duties.local_renewal() is not None)
            node.now_s = 1006.5
            await until(lambda: platform.reports)
            node.usage.merge("late/1", {200: {"w": 5}})
            await until(lambda: len(platform.reports) == 3)
            self.assertEqual({1}, {each[2]["w"] for each in platform.reports})

        self.run_loop(scenario())

    def test_a_successor_repeats_the_final_counts(self):
        """Two holders reported one window with different counts."""

        async def scenario():
            platform = Platform()
            platform.fail_reports = 1
            first = Node(platform, "a").start()
            first.usage.count("w")
            await until(lambda: first.duties.local_renewal() is not None)
            first.now_s = 1006.5
            await until(lambda: platform.reports)
            first.task.cancel()
            Node(platform, "b", now_s=1007.0).start()
            await until(lambda: any(each[0] == "b" for each in platform.reports))
            self.assertEqual(
                {("a", 1, 1), ("b", 1, 2)},
                {(name, c["w"], f) for name, w, c, f in platform.reports if w == 200},
            )

        self.run_loop(scenario())

    def test_a_planned_stop_releases_the_duties(self):
        """After a SIGTERM, no node held the duties and a window was not reported."""

        async def scenario():
            platform = Platform()
            first = Node(platform, "a").start()
            await until(lambda: first.duties.local_renewal() is not None)
            second = Node(platform, "b").start()
            first.state.stopping_since_s = first.state.clock()
            await until(lambda: first.duties.local_renewal() is None)
            await until(lambda: second.duties.local_renewal() is not None)
            self.assertEqual((2, 0), second.duties.local_renewal())

        self.run_loop(scenario())

    def test_a_holder_keeps_the_lease_that_a_lost_answer_renewed(self):
        """The duties were dropped since the store had answered a renewal too late."""

        async def scenario():
            platform = Platform()
            node = Node(platform, "a").start()
            log = platform.registry.logs.setdefault("duties", [])
            await until(lambda: len(log) >= 2)
            count = len(log)
            platform.registry.lose_answers = 1
            await until(lambda: len(log) > count)
            # The next renewal differs from the one that was stored.
            node.now_s += 0.5
            await until(lambda: len(log) > count + 3)
            fences = {cbor2.loads(value)[1] for _, value in log}
            self.assertEqual({1}, fences)

        self.run_loop(scenario())

    def test_a_former_holder_does_not_return_at_once(self):
        """Two nodes alternated within the platform's time between holders."""

        async def scenario():
            platform = Platform()
            node = Node(platform, "a").start()
            await until(lambda: node.duties.local_renewal() is not None)
            node.duties._drop_lease("a test")
            lost_s = node.state.clock()
            await until(lambda: node.duties.local_renewal() is not None)
            self.assertGreaterEqual(node.state.clock() - lost_s, TIMES.lease_s)

        self.run_loop(scenario())

    def test_a_starting_node_restores_the_blocks_of_prompt_segments(self):
        """After a kill of all nodes, a blocked segment ended more engines."""

        async def scenario():
            platform = Platform()
            first = Node(platform, "a")
            for number in range(3):
                first.state.segment_suspicions.record_end(
                    f"i-{number}@1", ["s/bad"], [], first.state.clock() + number
                )
            first.start()
            log = platform.registry.logs
            await until(lambda: len(log.get("duties", ())) >= 3)
            first.task.cancel()
            suspicions = Node(platform, "b").start().state.segment_suspicions
            await until(lambda: suspicions.active)
            self.assertEqual(Blocked(("s/bad",)), suspicions.verdict(["s/bad"], 0.0))

        self.run_loop(scenario())

    def test_a_record_of_an_earlier_build_is_read(self):
        """Nodes that had been upgraded could not read the record of the others."""

        async def scenario():
            platform = Platform()
            earlier = ["old", 4, 1, {}, {}, {}, 900.0]
            platform.registry.put("duties", "holder", cbor2.dumps(earlier))
            node = Node(platform, "a").start()
            await until(lambda: node.duties.local_renewal() is not None)
            self.assertEqual(5, node.duties.local_renewal()[0])

        self.run_loop(scenario())

    def test_a_starting_node_restores_the_use_of_the_limits(self):
        """After a kill of all nodes, workspaces could use their limits again."""

        async def scenario():
            platform = Platform()
            first = Node(platform, "a")
            now_s = first.state.clock()
            first.state.rate_limiter.restore({}, 0.0, now_s)
            self.assertIsNone(
                first.state.rate_limiter.admit("w", 10.0, 10.0, 90.0, now_s)
            )
            first.start()
            log = platform.registry.logs
            await until(lambda: len(log.get("duties", ())) >= 3)
            first.task.cancel()
            second = Node(platform, "b")
            second.start()
            rate_limiter = second.state.rate_limiter
            await until(lambda: rate_limiter.recent_usage(second.state.clock()))
            excess = rate_limiter.admit("w", 10.0, 10.0, 20.0, second.state.clock())
            self.assertIsNotNone(excess)

        self.run_loop(scenario())

    def test_an_append_whose_response_was_lost_is_recognised(self):
        """A node waited for a lease that it held itself."""

        async def scenario():
            platform = Platform()
            platform.registry.lose_answers = 1
            node = Node(platform, "a").start()
            await until(lambda: node.duties.local_renewal() is not None)

        self.run_loop(scenario())

    def test_two_candidates_do_not_both_hold(self):
        """Nodes that started together took the duties at the same time."""

        async def scenario():
            platform = Platform()
            nodes = [Node(platform, name).start() for name in "abc"]
            renewals = [node.duties.local_renewal for node in nodes]
            await until(lambda: any(each() for each in renewals))
            for _ in range(50):
                self.assertLessEqual(sum(each() is not None for each in renewals), 1)
                await asyncio.sleep(0.01)

        self.run_loop(scenario())

    def test_a_holder_without_the_registry_stops_acting(self):
        """A holder without the registry continued beside its successor."""

        async def scenario():
            platform = Platform()
            node = Node(platform, "a").start()
            await until(lambda: node.duties.local_renewal() is not None)
            platform.registry.down = True
            await until(lambda: node.duties.local_renewal() is None)
            platform.registry.down = False
            await until(lambda: node.duties.local_renewal() is not None)

        self.run_loop(scenario())

    def test_a_candidate_with_a_recent_holder_report_makes_no_calls(self):
        """Every node read the record continuously, and each call is charged."""

        async def scenario():
            platform = Platform()
            platform.registry.down = True
            node = Node(platform, "a")
            node.peers.holder_report = HolderReport(1, 1, node.state.clock() + 1000.0)
            node.start()
            await asyncio.sleep(0.7)
            self.assertEqual({}, node.state.metrics._counters)

        self.run_loop(scenario())


class OrdersTest(LoopTest):
    def node(self, platform, on_demand=2):
        """Return a node whose service may be scaled in three data centres."""
        node = Node(platform, "a")
        scaling = Scaling(1, 6, 4.0, 0.18, {"dc-a": 1.0, "dc-b": 1.0, "dc-c": 1.0})
        service = Service("s", model_engine=True, scaling=scaling)
        config = configuration(version=2)
        config.services["s"] = service
        node.state.adopt(config, b"raw")
        records = [
            UpstreamRecord(f"{dc}{n}", "s", "h", 1, dc, 64, False, 1, 1)
            for dc in ("dc-a", "dc-b", "dc-c")
            for n in range(on_demand)
        ]
        node.state.upstreams.view.replace(records, node.state.clock())
        node.state.upstreams.refresh()
        return node.start()

    def test_engines_are_ordered_once(self):
        """Each renewal of the lease placed the same orders again."""

        async def scenario():
            platform = Platform()
            node = self.node(platform)
            await until(lambda: len(platform.orders) >= 3)
            placed = len(platform.orders)
            renewal = node.duties.local_renewal()
            await until(lambda: (node.duties.local_renewal() or renewal) > renewal)
            kinds = [
                (o.data_centre, o.reclaimable, o.count) for _, o, _ in platform.orders
            ]
            self.assertEqual(len(set(kinds)), len(kinds))
            self.assertGreaterEqual(len(kinds), placed)
            self.assertTrue(any(reclaimable for _, reclaimable, _ in kinds))

        self.run_loop(scenario())

    def test_a_refused_order_does_not_block_the_others(self):
        """One refused order blocked all others."""

        async def scenario(status):
            platform = Platform()
            platform.refuse_reclaimable = status
            node = self.node(platform, on_demand=0)
            await until(lambda: platform.orders)
            self.assertFalse(any(o.reclaimable for _, o, _ in platform.orders))
            self.assertIsNotNone(node.duties.local_renewal())

        for status in (409, 400):
            self.run_loop(scenario(status))
