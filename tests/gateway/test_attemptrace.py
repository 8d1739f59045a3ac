"""Test which of the attempts at a request decides it."""

import asyncio

from cicadapass_decisions.attempts import AttemptOutcome, AttemptResult
from cicadapass_gateway.attemptrace import SILENCE_CHECK_S, AttemptRace
from tests.gateway.harness import LoopTest

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


class SingleAttemptTest(LoopTest):
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

        return self.run_loop(run())

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
