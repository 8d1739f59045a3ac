"""Test the ends of streams without a length whose engine was told to stop the run."""

import asyncio

from cicadapass_decisions.runmigration import CopyOutcome, may_be_stopped
from cicadapass_gateway.adapterapi import RunCopy
from tests.gateway.harness import LoopTest, until
from tests.gateway.test_migrator import EVENTS, Cluster
from tests.gateway.test_relay import ids
from tests.gateway.test_relay_undelimited import raw_event

NOT_STOPPED = (CopyOutcome.NO_RUN, CopyOutcome.IN_PROGRESS, CopyOutcome.NOT_SENT)
STOPPED = (CopyOutcome.COMPLETE, CopyOutcome.REFUSED, CopyOutcome.UNKNOWN)


class UndelimitedCluster(Cluster):
    """Let the source end its stream with its connection."""

    def __init__(self, copy_rest, end="close"):
        super().__init__(copy_rest)
        self.told = asyncio.Event()
        self.ended = asyncio.Event()
        # Events that the source makes after it was told to stop the run.
        self.more_events = 0
        self._end = end

    async def _move(self, source, request_id, target, last):
        if last:
            self.told.set()
        return await super()._move(source, request_id, target, last)

    async def _source(self, response):
        if b"y-copy" in response.headers:
            await self._go_on(response)
            return
        response.stream_until_close()
        number = 0
        while not self.told.is_set():
            number += 1
            response.send(raw_event(number))
            await asyncio.sleep(self.event_s)
        for _ in range(self.more_events):
            number += 1
            response.send(raw_event(number))
            await asyncio.sleep(self.event_s)
        getattr(response, self._end)()
        self.ended.set()


class UndelimitedEndTest(LoopTest):
    loop_factory = staticmethod(asyncio.new_event_loop)

    def play(self, outcome, *, path="/stream/x", late=True, end="close", more_events=0):
        """Return the reply and the cluster of a run whose stop ended in a way.

        A `late` answer to the call comes after the end of the stream.
        """

        async def copy_rest(cluster):
            if late:
                await cluster.ended.wait()
                await asyncio.sleep(0.02)
            return RunCopy(outcome, "copy-1")

        async def scenario():
            cluster = await UndelimitedCluster(copy_rest, end).start()
            cluster.more_events = more_events
            reply = await cluster.stream(path)
            return reply, cluster

        return self.run_loop(scenario())

    def assert_whole(self, reply, cluster, *, went_on):
        """Assert that a stream came to its end, at its first engine or elsewhere."""
        self.assertTrue(reply.complete)
        numbers = ids(reply.body)
        self.assertEqual(list(range(1, len(numbers) + 1)), numbers)
        self.assertEqual(went_on, len(numbers) > EVENTS)

    def test_a_run_that_ended_by_itself_is_reset(self):
        """A whole stream was reset, as its end was taken for that of the move."""
        for outcome in NOT_STOPPED:
            for late in (True, False):
                for path in ("/stream/x", "/resume/x"):
                    reply, cluster = self.play(outcome, path=path, late=late)
                    self.assert_whole(reply, cluster, went_on=False)
                    self.assertEqual(1, len(cluster.source.requests))
                    self.assertEqual([], cluster.targets[0].requests)

    def test_a_later_end_of_a_run_that_was_not_stopped_is_reset(self):
        """A call that failed left the run marked as stopping until its end."""
        for outcome in NOT_STOPPED:
            reply, cluster = self.play(outcome, late=False, more_events=20)
            self.assert_whole(reply, cluster, went_on=False)

    def test_a_stopped_run_ends_as_whole(self):
        """The end of a stopped run passed for that of the whole stream."""
        for outcome in STOPPED:
            for late in (True, False):
                reply, cluster = self.play(outcome, late=late)
                self.assert_whole(reply, cluster, went_on=True)

    def test_a_reset_stream_of_an_unknown_run_is_whole(self):
        """A stream that was reset passed for a whole one."""
        for outcome in (CopyOutcome.NO_RUN, CopyOutcome.IN_PROGRESS):
            reply, _ = self.play(outcome, end="reset")
            self.assertFalse(reply.complete)

    def test_a_run_whose_engine_ends_before_it_is_told_to_stop_is_cut(self):
        """A run was cut whose engine ended, although another one had its copy."""
        for late in (True, False):
            reply, cluster = self.play(CopyOutcome.NOT_SENT, late=late, end="reset")
            self.assert_whole(reply, cluster, went_on=True)

    def test_a_stop_that_is_never_answered_holds_the_caller(self):
        """A stream stayed open past its deadline for the answer to the call."""

        async def copy_rest(cluster):
            await cluster.ended.wait()
            cluster.clock.advance(11.0)
            await asyncio.Event().wait()

        async def scenario():
            cluster = await UndelimitedCluster(copy_rest).start()
            reply = await cluster.stream()
            self.assertFalse(reply.complete)

        self.run_loop(scenario())

    def test_a_stop_that_did_not_happen_is_not_tried_again(self):
        """A run stayed at its leaving engine after one call that was not sent."""
        outcomes = [CopyOutcome.NOT_SENT, CopyOutcome.COMPLETE]

        async def copy_rest(cluster):
            outcome = outcomes.pop(0)
            if outcome is CopyOutcome.NOT_SENT:
                cluster._stopped.clear()
            return RunCopy(outcome, "copy-1")

        async def scenario():
            cluster = await Cluster(copy_rest).start(targets=2)
            cluster.leaves_in_s = 2.5
            cluster.event_s = 0.02
            streaming = asyncio.create_task(cluster.stream())
            await until(lambda: cluster.stops == 1)
            cluster.clock.advance(1.0)
            reply = await streaming
            self.assertTrue(reply.complete)
            self.assertEqual([], outcomes)

        self.run_loop(scenario())

    def test_each_outcome_says_whether_the_run_may_be_stopped(self):
        """A new outcome of the call had no meaning for the end of the stream."""
        self.assertEqual(set(CopyOutcome), {*NOT_STOPPED, *STOPPED})
        self.assertEqual(
            set(STOPPED), {each for each in CopyOutcome if may_be_stopped(each)}
        )
