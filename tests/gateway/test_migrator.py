"""Test what becomes of runs whose last copy is late, refused or lost."""

import asyncio
from dataclasses import replace

from tests.gateway.harness import GatewayHarness, LoopClock, LoopTest, until
from tests.gateway.test_relay import ids

EVENTS = 60


class Cluster:
    """Run a stream at an engine that leaves, beside engines that take copies.

    `copy_rest` answers the call that stops a run; the first copies succeed.
    """

    def __init__(self, copy_rest):
        self.moves = []
        self._copy_rest = copy_rest
        self._stopped = asyncio.Event()

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
        leaving = replace(self.source.record(), leaving=True, sequence=2)
        self._list(leaving, *(each.record() for each in self.targets))

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
            return "copy-1"
        self._stopped.set()
        return await self._copy_rest(self)

    async def _source(self, response):
        if b"y-copy" in response.headers:
            await self._target(response)
            return
        response.stream()
        number = 0
        while not self._stopped.is_set():
            number += 1
            response.event(number)
            await asyncio.sleep(0.005)
        response.close()

    async def _target(self, response):
        first = int(response.headers.get(b"y-after", "0")) + 1
        response.stream()
        for number in range(first, first + EVENTS):
            response.event(number)
        response.end()


class LastCopyTest(LoopTest):
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
            return "copy-1"

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

    def test_a_late_last_copy_does_not_delay_other_runs(self):
        """Runs were cut with their engine while one waited for a silent target."""

        async def copy_rest(cluster):
            if len([last for *_, last in cluster.moves if last]) == 1:
                await until(lambda: len(cluster.moves) > 2)
            return "copy-1"

        async def scenario():
            cluster = await Cluster(copy_rest).start()
            migrator = cluster.gateway.migrator
            callers = [await cluster.gateway.connect() for _ in range(5)]
            for number, caller in enumerate(callers):
                caller.send("/stream/x", "POST", x_id=f"r{number}", x_tokens=1000)
            await until(lambda: len(migrator._runs) == len(callers))
            cluster.leave()
            await until(lambda: cluster.moves)
            await until(lambda: any(last for *_, last in cluster.moves))
            cluster.clock.advance(2.0)
            for reply in await asyncio.gather(*(each.reply() for each in callers)):
                self.assert_whole(reply)

        self.run_loop(scenario())
