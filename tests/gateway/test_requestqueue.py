"""Test which requests are queued or refused without a free upstream."""

import asyncio
from unittest import mock

from cicadapass_decisions.passthrough import Prompt, UpstreamRecord
from cicadapass_gateway import upstreamtracker
from cicadapass_gateway.requestqueue import RequestQueue, RequestRequirements
from cicadapass_gateway.upstreamtracker import Reservation, UpstreamTracker
from tests.gateway.harness import LoopTest, until


class Node:
    """Queue requests for one service on a clock that the test sets."""

    def __init__(self, *upstreams):
        self.now_s = 100.0
        self.upstreams = UpstreamTracker("n", "dc-a", drain_s=2.0)
        self.queue = RequestQueue(self.upstreams, lambda: self.now_s)
        self.list(*upstreams)

    def list(self, *names):
        """Put upstreams with one slot into the node's view of the registry."""
        records = [
            UpstreamRecord(name, "s", "127.0.0.1", 1, "dc-a", 1, False, 1, 1)
            for name in names
        ]
        self.upstreams.view.replace(records, self.now_s)
        self.upstreams.refresh()

    def occupy(self, name):
        """Fill the slot of an upstream; return the reservation."""
        record = self.upstreams.view.records[name]
        return self.upstreams.begin(record, Prompt(), 0.0, self.now_s)

    def release(self, reservation):
        """Free the slot of a reservation."""
        self.upstreams.end(reservation, self.now_s, succeeded=True)

    def place(self, **changes):
        """Start the placement of a request that arrived at 100 s."""
        values = {
            "service": "s",
            "prompt": Prompt((), 100, 100),
            "model_engine": True,
            "priority": 0,
            "arrived_s": 100.0,
            "target_s": 0.5,
            "max_gap_s": 0.25,
            "deadline_s": 130.0,
            "shorter_target_s": None,
            "excluded": frozenset(),
            **changes,
        }
        return asyncio.ensure_future(self.queue.place(RequestRequirements(**values)))


async def steps():
    """Let the started tasks run until they wait."""
    for _ in range(5):
        await asyncio.sleep(0)


class RepeatTest(LoopTest):
    def test_a_repeat_waits_although_its_first_attempt_took_long(self):
        """The time at the first engine used up the wait, so the repeat was cut."""

        async def scenario():
            node = Node("u0", "u1")
            used = [node.occupy("u0"), node.occupy("u1")]
            node.now_s = 103.0
            refused = node.place()
            repeat = node.place(refusable=False, excluded=frozenset({"u0"}))
            await steps()
            self.assertEqual("hopeless", refused.result().reason)
            node.now_s = 104.0
            node.queue.dispatch()
            await steps()
            self.assertFalse(repeat.done())
            node.release(used[1])
            node.queue.dispatch()
            self.assertEqual("u1", (await repeat).record.upstream_id)

        self.run_loop(scenario())

    def test_a_repeat_waits_for_the_replacement_of_the_last_upstream(self):
        """A begun stream was cut while the replacement of its engine booted."""

        async def scenario():
            node = Node()
            refused = node.place()
            repeat = node.place(refusable=False)
            await steps()
            self.assertEqual("no_upstream", refused.result().reason)
            self.assertFalse(repeat.done())
            node.list("u0")
            node.queue.dispatch()
            self.assertEqual("u0", (await repeat).record.upstream_id)

        self.run_loop(scenario())

    def test_a_cancelled_repeat_leaves_the_queue(self):
        """A request whose caller left took a place later."""

        async def scenario():
            node = Node()
            repeat = node.place(refusable=False)
            await steps()
            repeat.cancel()
            await steps()
            self.assertEqual(0, node.queue.waiting_count)

        self.run_loop(scenario())


class ExclusionTest(LoopTest):
    def test_an_exclusion_yields_when_the_other_upstreams_leave(self):
        """A repeat was refused, since the only engine left was its first one."""

        async def scenario():
            node = Node("u0", "u1")
            used = node.occupy("u1")
            request = node.place(excluded=frozenset({"u0"}))
            await steps()
            self.assertFalse(request.done())
            node.list("u0")
            node.queue.dispatch()
            outcome = await request
            self.assertIsInstance(outcome, Reservation)
            self.assertEqual("u0", outcome.record.upstream_id)
            node.release(used)

        self.run_loop(scenario())


class EvaluationTest(LoopTest):
    def test_requests_are_evaluated_whenever_they_wait(self):
        """Requests that were queued after a time without any waited for an event."""

        async def scenario():
            node = Node()
            running = asyncio.create_task(node.queue.run(0.001))
            for number in range(3):
                request = node.place(refusable=False)
                await steps()
                self.assertFalse(request.done())
                node.list(f"u{number}")
                self.assertEqual(f"u{number}", (await request).record.upstream_id)
                node.list()
                await until(lambda: not node.queue.waiting_count)
            running.cancel()

        self.run_loop(scenario())


class CandidateTest(LoopTest):
    def test_unchanged_candidates_are_kept_from_one_request_to_the_next(self):
        """Each request built the candidates of all upstreams of its service anew."""

        async def scenario():
            node = Node(*(f"u{number}" for number in range(20)))
            node.release(await node.place())
            with mock.patch.object(
                upstreamtracker, "_Tracked", wraps=upstreamtracker._Tracked
            ) as build:
                node.release(await node.place())
                node.list("u20")
                node.release(await node.place())
            # Only that of the new list.
            self.assertEqual(1, build.call_count)

        self.run_loop(scenario())


class ShareTest(LoopTest):
    def test_workspaces_take_turns_when_requests_wait(self):
        """A small workspace waited until a large one's earlier requests were sent."""

        async def scenario():
            node = Node("u0")
            used = node.occupy("u0")
            placed = []
            for number, name in enumerate(("large", "large", "large", "small")):
                arrived_s = 100.0 + 0.001 * number
                placed.append(
                    node.place(workspace=name, weight=1000.0, arrived_s=arrived_s)
                )
                await steps()
            sent = []
            for _ in range(2):
                node.release(used)
                node.queue.dispatch()
                await steps()
                sent = [each for each in placed if each.done()]
                used = sent[-1].result()
            self.assertEqual([placed[0], placed[3]], sent)
            for each in placed:
                each.cancel()

        self.run_loop(scenario())

    def test_a_request_behind_many_others_is_refused_in_time(self):
        """A request that others of its queue preceded waited until its deadline."""

        async def scenario():
            node = Node("u0")
            used = node.occupy("u0")
            sent = node.place(workspace="large", weight=1.0)
            await steps()
            late = node.place(workspace="large", weight=1.0)
            await steps()
            node.release(used)
            node.queue.dispatch()
            await steps()
            self.assertTrue(sent.done())
            others = [
                node.place(workspace="small", weight=1e6, refusable=False)
                for _ in range(9)
            ]
            await steps()
            node.now_s = 129.0
            node.queue.dispatch()
            await steps()
            self.assertTrue(late.done())
            self.assertEqual("overdue", late.result().reason)
            for each in others:
                each.cancel()

        self.run_loop(scenario())

    def test_a_small_workspace_is_not_refused_for_the_queue_of_a_large_one(self):
        """A request that was next by its share was refused for those behind it."""

        async def scenario():
            node = Node("u0")
            used = node.occupy("u0")
            large = [
                node.place(workspace="large", weight=1000.0, refusable=False)
                for _ in range(1500)
            ]
            await steps()
            small = node.place(workspace="small", weight=1000.0, arrived_s=100.1)
            await steps()
            self.assertFalse(small.done())
            again = node.place(workspace="large", weight=1000.0, arrived_s=100.2)
            await steps()
            self.assertEqual("hopeless", again.result().reason)
            for _ in range(2):
                node.release(used)
                node.queue.dispatch()
                await steps()
                used = next(each.result() for each in [small, *large] if each.done())
            self.assertTrue(small.done())
            for each in large:
                each.cancel()

        self.run_loop(scenario())

    def test_limits_in_requests_and_in_tokens_share_alike(self):
        """A workspace with a limit in requests was charged 1,800 of them for a call."""

        async def scenario():
            node = Node("u0")
            used = node.occupy("u0")
            limits = {"calls": (10.0, 1.0), "tokens": (20_000.0, 1800.0)}
            placed = []
            for number in range(10):
                for name, (weight, cost) in limits.items():
                    request = node.place(
                        workspace=name,
                        weight=weight,
                        cost=cost,
                        prompt=Prompt((), 1800, 1800),
                        arrived_s=100.0 + 0.001 * number,
                        refusable=False,
                    )
                    placed.append((name, request))
                    await steps()
            sent = []
            for _ in range(10):
                node.release(used)
                node.queue.dispatch()
                await steps()
                ((name, request),) = (each for each in placed if each[1].done())
                placed.remove((name, request))
                used = request.result()
                sent.append(name)
            self.assertIn(sent.count("calls"), (4, 5, 6))
            for _, each in placed:
                each.cancel()

        self.run_loop(scenario())
