"""Test which of the attempts at a request decides it."""

import asyncio

import testtools

from cicadapass_decisions.attempts import AttemptOutcome, AttemptResult
from cicadapass_gateway.attemptrace import SILENCE_CHECK_S, AttemptRace
from tests.gateway.harness import LoopTest
from tests.gateway.virtualcluster import run_virtual

HEDGE_DELAY_S = 0.01


class ScriptedAttempt:
    """End with a result once its event is set; silent from the start."""

    hedge_delay_s = HEDGE_DELAY_S

    def __init__(self, race, reservation):
        self.race, self.reservation = race, reservation
        self.result = asyncio.get_running_loop().create_future()
        self.cancelled = False
        self.judged = 0
        self._began_s = asyncio.get_running_loop().time()

    def silent_s(self):
        """Return the time since the start."""
        return asyncio.get_running_loop().time() - self._began_s

    def judge_silence(self):
        """Count the call."""
        self.judged += 1

    def lose(self):
        """Do nothing."""

    async def run(self):
        """Wait for the result; a delivery claims the race."""
        try:
            result = await self.result
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        if isinstance(result, Exception):
            raise result
        if result.outcome is AttemptOutcome.DELIVERED:
            self.race.claim(self)
        return result


class RaceTest(LoopTest):
    def play(self, scenario):
        """Run a scenario with a race, its attempts by place and released places."""

        async def run():
            attempts, released, places = {}, [], ["hedge"]

            def make(race, reservation, hedge):
                attempts[reservation] = ScriptedAttempt(race, reservation)
                return attempts[reservation]

            async def place(silent):
                return places.pop() if places else None

            race = AttemptRace(make, place, released.append, lambda *_: None)
            running = asyncio.create_task(race.run("first"))
            while "hedge" not in attempts:
                await asyncio.sleep(HEDGE_DELAY_S)
            result = await scenario(attempts, running)
            return attempts, released, result

        return self.run_loop(run())

    def test_a_hedge_that_is_held_leaves_the_first_attempt_alone(self):
        """A hedge whose prompt came under suspicion cancelled a sound attempt."""

        async def scenario(attempts, running):
            attempts["hedge"].result.set_result(AttemptResult.held("suspected"))
            await asyncio.sleep(HEDGE_DELAY_S)
            attempts["first"].result.set_result(AttemptResult.delivered(200))
            return await running

        attempts, _, result = self.play(scenario)
        self.assertEqual(AttemptOutcome.DELIVERED, result.outcome)
        self.assertFalse(attempts["first"].cancelled)

    def test_an_error_of_a_hedge_leaves_the_first_attempt_alone(self):
        """An internal error of a hedge ended a request that was being answered."""

        async def scenario(attempts, running):
            errors = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: errors.append(context["exception"])
            )
            attempts["hedge"].result.set_result(KeyError("evidence"))
            await asyncio.sleep(HEDGE_DELAY_S)
            attempts["first"].result.set_result(AttemptResult.delivered(200))
            return await running, errors

        _, _, (result, errors) = self.play(scenario)
        self.assertEqual(AttemptOutcome.DELIVERED, result.outcome)
        self.assertEqual(1, len(errors))

    def test_a_cancelled_hedge_releases_its_place(self):
        """An engine lost a slot for good with each hedge cancelled before its start."""

        async def scenario(attempts, running):
            attempts["first"].result.set_result(AttemptResult.delivered(200))
            return await running

        attempts, released, _ = self.play(scenario)
        self.assertTrue(attempts["hedge"].cancelled)
        self.assertEqual(["hedge"], released)


class SingleAttemptTest(testtools.TestCase):
    """Test the requests that get no hedge, which run in their caller's task."""

    def play(self, scenario, deadline_s=None):
        """Run a scenario with the attempt and the request's task."""

        async def run():
            attempts, released, results = [], [], []

            def make(race, reservation, hedge):
                attempts.append(ScriptedAttempt(race, reservation))
                return attempts[-1]

            async def place(silent):
                raise AssertionError("a hedge was placed")

            race = AttemptRace(
                make,
                place,
                released.append,
                lambda _, result: results.append(result),
                may_hedge=False,
            )

            async def serve():
                async with asyncio.timeout(deadline_s):
                    return await race.run("first")

            running = asyncio.create_task(serve())
            await asyncio.sleep(0)
            outcome = await scenario(attempts[0], running)
            return attempts[0], released, results, outcome

        return run_virtual(run())

    def test_result_is_reported_and_no_check_is_left(self):
        """The checks of an attempt that had ended went on and counted its silence."""

        async def scenario(attempt, running):
            attempt.result.set_result(AttemptResult.delivered(200))
            result = await running
            judged = attempt.judged
            await asyncio.sleep(3 * HEDGE_DELAY_S)
            self.assertEqual(judged, attempt.judged)
            return result

        attempt, released, results, result = self.play(scenario)
        self.assertEqual([result], results)
        self.assertEqual([], released)
        self.assertFalse(attempt.cancelled)

    def test_silence_is_judged_again_and_again(self):
        """A silent engine was not found to fail, as no hedge was due beside it."""

        async def scenario(attempt, running):
            await asyncio.sleep(2 * HEDGE_DELAY_S)
            first = attempt.judged
            await asyncio.sleep(SILENCE_CHECK_S + HEDGE_DELAY_S)
            attempt.result.set_result(AttemptResult.delivered(200))
            await running
            return first, attempt.judged

        _, _, _, (first, later) = self.play(scenario)
        self.assertEqual(1, first)
        self.assertEqual(2, later)

    def test_cancelled_request_ends_its_attempt(self):
        """A request went on at its engine after its caller had left."""

        async def scenario(attempt, running):
            running.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await running
            return attempt.cancelled

        _, released, results, cancelled = self.play(scenario)
        self.assertTrue(cancelled)
        self.assertEqual((["first"], []), (released, results))

    def test_deadline_of_a_request_is_no_broken_attempt(self):
        """A request whose deadline passed was retried instead of answered."""

        async def scenario(attempt, running):
            with self.assertRaises(TimeoutError):
                await running
            return attempt.cancelled

        _, _, results, cancelled = self.play(scenario, HEDGE_DELAY_S)
        self.assertTrue(cancelled)
        self.assertEqual([], results)

    def test_cancelled_copy_breaks_the_attempt_only(self):
        """A cancelled copy of a run was taken for a caller that had left."""

        async def scenario(attempt, running):
            attempt.result.cancel()
            return await running

        _, released, results, result = self.play(scenario)
        self.assertEqual(AttemptOutcome.BROKEN, result.outcome)
        self.assertEqual((["first"], []), (released, results))

    def test_internal_error_ends_the_request(self):
        """An internal error was hidden, and the request waited for its deadline."""

        async def scenario(attempt, running):
            attempt.result.set_result(KeyError("evidence"))
            with self.assertRaises(KeyError):
                await running

        self.play(scenario)


class ReleasingAttempt(ScriptedAttempt):
    """Log what an attempt releases, in the order of `UpstreamAttempt`."""

    def __init__(self, race, reservation, steps):
        super().__init__(race, reservation)
        self._steps = steps

    def judge_silence(self):
        """Log the time of the call."""
        super().judge_silence()
        self._steps.append(("judge", round(asyncio.get_running_loop().time(), 6)))

    async def run(self):
        """Release the place and dispatch the queue; abort what is unfinished."""
        finished = False
        self._steps.append("sent")
        try:
            result = await self.result
            if not isinstance(result, AttemptResult):
                raise result
            finished = True
            return result
        finally:
            self._steps.append("end")
            if not finished:
                self._steps.append("abort")
            self._steps.append("dispatch")


class EachEndTest(LoopTest):
    """Compare the ends of an attempt in its request's task with those in its own."""

    def play(self, end, may_hedge):
        """End an attempt; return the steps and the result or the error's type."""

        async def run():
            steps, attempts = [], []
            limit = asyncio.timeout(None)

            def make(race, reservation, hedge):
                attempts.append(ReleasingAttempt(race, reservation, steps))
                return attempts[-1]

            async def place(silent):
                return None

            race = AttemptRace(
                make,
                place,
                lambda _: steps.append("release"),
                lambda _, result: steps.append(result.outcome),
                may_hedge=may_hedge,
            )

            async def serve():
                async with limit:
                    return await race.run("first")

            running = asyncio.create_task(serve())
            while not steps:
                await asyncio.sleep(0)
            end(attempts[0], running, limit)
            try:
                outcome = await running
            except BaseException as error:
                outcome = type(error)
            # Tasks that were cancelled end in the next iteration.
            await asyncio.sleep(0)
            left = asyncio.all_tasks() - {asyncio.current_task()}
            return steps, outcome, left

        return self.run_loop(run())

    def compare(self, end):
        """Assert that both ways release the same in the same order; return it."""
        alone, beside = self.play(end, False), self.play(end, True)
        self.assertEqual(beside, alone)
        steps, outcome, left = alone
        self.assertEqual(set(), left)
        return steps, outcome

    def test_results_are_reported_after_the_release(self):
        """The next attempt chose its upstream before this one's place was free."""
        for result in (
            AttemptResult.delivered(200),
            AttemptResult.rejected(503),
            AttemptResult.not_sent("refused"),
            AttemptResult.broken("reset"),
            AttemptResult.held("suspected"),
            AttemptResult.migrated("u2"),
        ):
            steps, outcome = self.compare(
                lambda attempt, *_, result=result: attempt.result.set_result(result)
            )
            self.assertEqual(["sent", "end", "dispatch", result.outcome], steps)
            self.assertIs(result, outcome)

    def test_end_of_the_request_releases_the_attempt(self):
        """A place or a connection of a request that had ended was kept."""

        def leave(attempt, running, limit):
            running.cancel()

        def leave_twice(attempt, running, limit):
            running.cancel()
            running.cancel()

        def expire(attempt, running, limit):
            limit.reschedule(asyncio.get_running_loop().time())

        def expire_and_leave(attempt, running, limit):
            expire(attempt, running, limit)
            asyncio.get_running_loop().call_soon(running.cancel)

        def leave_before_the_result(attempt, running, limit):
            running.cancel()
            if not attempt.result.done():
                attempt.result.set_result(AttemptResult.delivered(200))

        def leave_as_the_copy_ends(attempt, running, limit):
            attempt.result.cancel()
            running.cancel()

        for end, error in (
            (leave, asyncio.CancelledError),
            (leave_twice, asyncio.CancelledError),
            (expire, TimeoutError),
            (expire_and_leave, asyncio.CancelledError),
            (leave_before_the_result, asyncio.CancelledError),
            (leave_as_the_copy_ends, asyncio.CancelledError),
        ):
            steps, outcome = self.compare(end)
            self.assertEqual(["sent", "end", "abort", "dispatch", "release"], steps)
            self.assertIs(error, outcome)

    def test_cancelled_copy_releases_the_attempt(self):
        """The place of a run whose copy was cancelled was kept."""
        steps, outcome = self.compare(lambda attempt, *_: attempt.result.cancel())
        self.assertEqual(["sent", "end", "abort", "dispatch", "release"], steps)
        self.assertEqual(AttemptOutcome.BROKEN, outcome.outcome)

    def test_internal_error_releases_the_attempt(self):
        """An internal error was reported as the result of an attempt."""
        steps, outcome = self.compare(
            lambda attempt, *_: attempt.result.set_result(KeyError("evidence"))
        )
        self.assertEqual(["sent", "end", "abort", "dispatch"], steps)
        self.assertIs(KeyError, outcome)

    def test_result_in_the_iteration_of_the_cancellation(self):
        """An answer was reported, or its place kept, after the request had ended.

        In a task of its own the attempt ends with its result, which nobody reads; in
        the task of the request it is cancelled, and its connection is aborted.
        """

        def finish_and_leave(attempt, running, limit):
            attempt.result.set_result(AttemptResult.delivered(200))
            running.cancel()

        for may_hedge in (False, True):
            steps, outcome, left = self.play(finish_and_leave, may_hedge)
            self.assertIs(asyncio.CancelledError, outcome)
            self.assertEqual(1, steps.count("end"))
            self.assertEqual(1, steps.count("dispatch"))
            self.assertNotIn(AttemptOutcome.DELIVERED, steps)
            self.assertEqual(set(), left)


class SilenceTimesTest(testtools.TestCase):
    def test_silence_is_judged_at_the_same_times_in_both_ways(self):
        """An attempt that gets no hedge was judged later or more often than others."""

        async def scenario(may_hedge):
            steps, attempts = [], []

            def make(race, reservation, hedge):
                attempts.append(ReleasingAttempt(race, reservation, steps))
                return attempts[-1]

            async def place(silent):
                return None

            race = AttemptRace(
                make, place, steps.append, lambda *_: None, may_hedge=may_hedge
            )
            began_s = asyncio.get_running_loop().time()
            running = asyncio.create_task(race.run("first"))
            await asyncio.sleep(3.1 * SILENCE_CHECK_S)
            attempts[0].result.set_result(AttemptResult.delivered(200))
            await running
            await asyncio.sleep(3 * SILENCE_CHECK_S)
            return [round(each[1] - began_s, 3) for each in steps if "judge" in each]

        alone = run_virtual(scenario(False))
        self.assertEqual(run_virtual(scenario(True)), alone)
        first_s = alone[0]
        # The clock of a timer may be a little behind the one it was set with.
        self.assertTrue(HEDGE_DELAY_S <= first_s <= HEDGE_DELAY_S + 0.002, alone)
        expected = [first_s + number * SILENCE_CHECK_S for number in range(len(alone))]
        self.assertEqual([round(each, 3) for each in expected], alone)
