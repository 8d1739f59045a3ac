"""Test what becomes of runs whose last copy is late, refused or lost."""

import asyncio
from dataclasses import replace

import testtools

from cicadapass_decisions.passthrough import Prompt, UpstreamRecord
from cicadapass_decisions.runmigration import CopyOutcome
from cicadapass_gateway.adapterapi import RunCopy
from cicadapass_gateway.migrator import (
    MAX_CONCURRENT_MIGRATIONS,
    MAX_LINK_HOLD_S,
    RETRY_PAUSE_S,
    ActiveRun,
    Migrator,
)
from tests.gateway.harness import (
    DRAIN_S,
    GatewayHarness,
    LoopClock,
    LoopTest,
    complete_copy,
    make_state,
    until,
)
from tests.gateway.test_relay import ids
from tests.gateway.virtualcluster import run_virtual

EVENTS = 60


class Cluster:
    """Run a stream at an engine that leaves, beside engines that take copies.

    `copy_rest` answers the call that stops a run; the first copies succeed.
    """

    def __init__(self, copy_rest):
        self.moves = []
        self.leaves_in_s = 0.5
        self.event_s = 0.005
        self.target_takes_copies = True
        # Results of the next first copies; the others are complete.
        self.first_copies = []
        self._copy_rest = copy_rest
        self._stopped = set()

    async def start(self, targets=1):
        """Start the node and the engines; the others are listed with `leave`."""
        self.clock = LoopClock()
        scripts = [self._source, *[self._target] * targets]
        self.gateway = await GatewayHarness(self._move).start(*scripts)
        self.source, *self.targets = self.gateway.upstreams
        self._list(self.source.record())
        return self

    async def stream(self, path="/stream/x"):
        """Let the engine leave during a stream and return the reply."""
        caller = await self.gateway.connect()
        caller.send(path, "POST", x_tokens=1000)
        await until(lambda: self.source.requests)
        self.leave()
        return await caller.reply()

    def leave(self):
        """List the source as leaving, and the other engines."""
        leaving = replace(
            self.source.record(),
            leaving=True,
            sequence=2,
            leaves_in_s=self.leaves_in_s,
        )
        self._list(leaving, *(each.record() for each in self.targets))

    @property
    def stops(self):
        """Return the number of calls that stop a run."""
        return sum(last for *_, last in self.moves)

    async def source_closed(self):
        """Wait until the source has closed the stream of the stopped run."""
        await until(lambda: self.source.closed)

    def _list(self, *records):
        state = self.gateway.state
        state.upstreams.view.replace(records, state.clock())
        state.upstreams.refresh()

    async def _move(self, source, request_id, target, last):
        self.moves.append((source.upstream_id, target.upstream_id, last))
        if not last:
            return self.first_copies.pop() if self.first_copies else complete_copy()
        self._stopped.add(request_id)
        return await self._copy_rest(self)

    async def _source(self, response):
        if b"y-copy" in response.headers:
            await self._go_on(response)
            return
        response.stream()
        number = 0
        while response.headers[b"x-id"] not in self._stopped:
            number += 1
            response.event(number)
            await asyncio.sleep(self.event_s)
        response.close()

    async def _target(self, response):
        if self.target_takes_copies:
            await self._go_on(response)
        else:
            response.respond(503, b"", "x-not-run: 1\r\n")

    async def _go_on(self, response):
        first = int(response.headers.get(b"y-after", "0")) + 1
        response.stream()
        for number in range(first, first + EVENTS):
            response.event(number)
        response.end()


class LastCopyTest(LoopTest):
    loop_factory = staticmethod(asyncio.new_event_loop)

    def assert_whole(self, reply):
        """Assert that a stream has all its events, and its end."""
        self.assertTrue(reply.complete)
        numbers = ids(reply.body)
        self.assertEqual(list(range(1, len(numbers) + 1)), numbers)

    def test_a_stream_waits_for_a_late_last_copy(self):
        """Streams were cut whose last copy waited for others on the link."""

        async def copy_rest(cluster):
            await cluster.source_closed()
            cluster.clock.advance(3.0)
            # The timers that are due run before the copy is complete.
            await asyncio.sleep(0.05)
            return complete_copy()

        async def scenario():
            cluster = await Cluster(copy_rest).start()
            self.assert_whole(await cluster.stream())
            self.assertEqual([("u0", "u1", False), ("u0", "u1", True)], cluster.moves)

        self.run_loop(scenario())

    def test_a_stream_whose_last_copy_never_ends_is_cut_at_the_deadline(self):
        """A stopped stream stayed open past the time that its caller waits."""

        async def copy_rest(cluster):
            await cluster.source_closed()
            cluster.clock.advance(11.0)
            await asyncio.Event().wait()

        async def scenario():
            cluster = await Cluster(copy_rest).start()
            reply = await cluster.stream()
            self.assertFalse(reply.complete)
            self.assertEqual([], cluster.targets[0].requests)

        self.run_loop(scenario())

    def test_late_last_copies_do_not_delay_other_runs(self):
        """Runs were cut with their engine while others waited for a silent target."""
        count = MAX_CONCURRENT_MIGRATIONS + 1

        async def copy_rest(cluster):
            await until(lambda: cluster.stops == count)
            return complete_copy()

        async def scenario():
            cluster = await Cluster(copy_rest).start()
            callers = [await cluster.gateway.connect() for _ in range(count)]
            for number, caller in enumerate(callers):
                caller.send("/stream/x", "POST", x_id=f"r{number}", x_tokens=1000)
            runs = cluster.gateway.migrator._runs
            await until(lambda: len([run for run in runs if run.events]) == count)
            cluster.leave()
            await until(lambda: cluster.stops == MAX_CONCURRENT_MIGRATIONS)
            cluster.clock.advance(MAX_LINK_HOLD_S)
            for reply in await asyncio.gather(*(each.reply() for each in callers)):
                self.assert_whole(reply)

        self.run_loop(scenario())


class StoppedRunTest(LoopTest):
    """Stop a run whose last copy fails; its source keeps the memory."""

    loop_factory = staticmethod(asyncio.new_event_loop)

    def assert_goes_on_at_the_source(self, copy, path="/stream/x", **changes):
        """Assert that a stopped run goes on at its source, and is sent once."""

        async def copy_rest(cluster):
            await cluster.source_closed()
            return copy

        async def scenario():
            cluster = await Cluster(copy_rest).start()
            for name, value in changes.items():
                setattr(cluster, name, value)
            reply = await cluster.stream(path)
            self.assertTrue(reply.complete)
            numbers = ids(reply.body)
            self.assertEqual(list(range(1, len(numbers) + 1)), numbers)
            resumed, _ = cluster.source.requests[-1]
            self.assertIn((b"y-copy", b"copy-1"), resumed.headers.raw_items())
            self.assertEqual(2, len(cluster.source.requests))
            return cluster

        return self.run_loop(scenario())

    def test_a_run_goes_on_at_its_source_after_a_refused_last_copy(self):
        """Streams were cut whose destination ended before their last copy."""
        for path in ("/stream/x", "/resume/x"):
            refused = RunCopy(CopyOutcome.REFUSED, "copy-1")
            cluster = self.assert_goes_on_at_the_source(refused, path)
            self.assertEqual([], cluster.targets[0].requests)

    def test_a_refusal_that_does_not_name_the_memory_is_enough(self):
        """A stream was cut although the first copy had named the memory."""
        self.assert_goes_on_at_the_source(RunCopy(CopyOutcome.REFUSED))

    def test_a_run_goes_on_at_its_source_after_a_lost_answer(self):
        """A stream was cut since the answer to its last copy was lost."""
        self.assert_goes_on_at_the_source(RunCopy(CopyOutcome.UNKNOWN))

    def test_a_run_goes_on_at_its_source_if_the_destination_refuses_it(self):
        """A stream was cut whose destination no longer had its copy."""
        cluster = self.assert_goes_on_at_the_source(
            complete_copy(), target_takes_copies=False
        )
        self.assertEqual(1, len(cluster.targets[0].requests))

    def test_a_run_goes_on_at_its_source_if_the_destination_has_ended(self):
        """A stream was cut whose destination ended after the last copy."""

        async def copy_rest(cluster):
            await cluster.source_closed()
            cluster.targets[0].stop()
            return complete_copy()

        async def scenario():
            cluster = await Cluster(copy_rest).start()
            reply = await cluster.stream()
            self.assertTrue(reply.complete)
            self.assertEqual(2, len(cluster.source.requests))

        self.run_loop(scenario())

    def test_a_source_that_leaves_for_longer_gets_no_stopped_run(self):
        """A request reached an engine seconds after it had begun to leave."""

        async def copy_rest(cluster):
            await cluster.source_closed()
            cluster.clock.advance(DRAIN_S)
            return RunCopy(CopyOutcome.REFUSED, "copy-1")

        async def scenario():
            cluster = await Cluster(copy_rest).start()
            reply = await cluster.stream()
            self.assertFalse(reply.complete)
            self.assertEqual(1, len(cluster.source.requests))

        self.run_loop(scenario())

    def test_a_run_is_not_copied_again_to_an_engine_that_refused_it(self):
        """A run was stopped again and again for a destination that had ended."""
        stops = []

        async def copy_rest(cluster):
            stops.append(1)
            await cluster.source_closed()
            return RunCopy(CopyOutcome.REFUSED, "copy-1")

        async def go_on_slowly(response):
            first = int(response.headers[b"y-after"]) + 1
            response.stream()
            for number in range(first, first + 100):
                response.event(number)
                await asyncio.sleep(0.005)
            response.end()

        async def scenario():
            cluster = await Cluster(copy_rest).start()
            cluster._go_on = go_on_slowly
            reply = await cluster.stream()
            self.assertTrue(reply.complete)
            self.assertEqual(1, len(stops))

        self.run_loop(scenario())


class FirstCopyTest(LoopTest):
    loop_factory = staticmethod(asyncio.new_event_loop)

    def test_a_refused_first_copy_is_tried_again(self):
        """A run whose first copy found no room was cut when its engine ended."""

        async def copy_rest(cluster):
            return complete_copy()

        async def scenario():
            cluster = await Cluster(copy_rest).start()
            cluster.first_copies = [RunCopy(CopyOutcome.REFUSED)]
            cluster.leaves_in_s = RETRY_PAUSE_S + 0.8
            cluster.event_s = 0.02
            streaming = asyncio.create_task(cluster.stream())
            await until(lambda: cluster.moves)
            cluster.clock.advance(RETRY_PAUSE_S)
            reply = await streaming
            self.assertTrue(reply.complete)
            lasts = [last for *_, last in cluster.moves]
            self.assertEqual((False, False), (lasts[0], lasts[1]))
            self.assertEqual(1, sum(lasts))

        self.run_loop(scenario())

    def test_a_run_is_not_moved_once_its_address_is_that_of_another_engine(self):
        """An engine was asked to move a run of the one that had its address before."""

        async def copy_rest(cluster):
            return complete_copy()

        async def scenario():
            cluster = await Cluster(copy_rest).start()
            caller = await cluster.gateway.connect()
            caller.send("/stream/x", "POST", x_tokens=1000)
            migrator = cluster.gateway.migrator
            await until(lambda: any(run.events for run in migrator._runs))
            successor = replace(cluster.source.record(), upstream_id="successor")
            cluster._list(successor, *(each.record() for each in cluster.targets))
            migrator._start_migrations()
            self.assertEqual([], [run for run in migrator._runs if run.migration])
            caller.close()

        self.run_loop(scenario())


class SharedLinkTest(testtools.TestCase):
    """Replay an engine with 21 runs of 20,000 tokens that leaves seven nodes."""

    nodes, runs_per_node = 7, 3
    # Time of a call, and of the first copy of a run; others copy what is new.
    call_s, first_copy_s = 0.004, 0.14
    # Callers give up on a stream after a gap of two seconds or more.
    most_s = 2.0

    def test_stopped_runs_do_not_wait_for_the_first_copies_of_others(self):
        """Streams stood still for up to 3 s behind the copies of other nodes."""

        async def scenario():
            loop, link = asyncio.get_running_loop(), asyncio.Lock()
            copied, interruptions = set(), []

            async def move(source, request_id, target, last):
                began_s = loop.time()
                async with link:
                    first = request_id not in copied
                    await asyncio.sleep(self.call_s + first * self.first_copy_s)
                    copied.add(request_id)
                if last:
                    interruptions.append(loop.time() - began_s)
                return complete_copy(request_id)

            runs = []
            for node in range(self.nodes):
                runs += await self.start_node(node, move)
            await until(lambda: len(interruptions) == len(runs))
            self.assertLess(max(interruptions), self.most_s)

        run_virtual(scenario())

    async def start_node(self, node, move):
        """Start the migrations of a node and return its runs."""
        state = make_state(node=f"n{node}")
        source, target = (
            UpstreamRecord(name, "s", name, 1, "dc-a", 64, leaving, 1, 1)
            for name, leaving in (("source", True), ("target", False))
        )
        state.upstreams.view.replace([source, target], state.clock())
        state.upstreams.refresh()
        migrator = Migrator(state, move)
        runs = [
            ActiveRun(f"r{node}-{n}", source, Prompt((), 9, 4000), 1, state.clock())
            for n in range(self.runs_per_node)
        ]
        for run in runs:
            run.events = 1
            migrator.add(run)
        self.tasks.append(asyncio.create_task(migrator.watch()))
        return runs

    def setUp(self):
        super().setUp()
        self.tasks = []
