"""Test which of the attempts at a request decides it."""

import asyncio

from cicadapass_decisions.attempts import AttemptOutcome, AttemptResult
from cicadapass_gateway.attemptrace import AttemptRace
from tests.gateway.harness import LoopTest

HEDGE_DELAY_S = 0.01


class ScriptedAttempt:
    """End with a result once its event is set; silent from the start."""

    hedge_delay_s = HEDGE_DELAY_S

    def __init__(self, race, reservation):
        self.race, self.reservation = race, reservation
        self.result = asyncio.get_running_loop().create_future()
        self.cancelled = False
        self._began_s = asyncio.get_running_loop().time()

    def silent_s(self):
        """Return the time since the start."""
        return asyncio.get_running_loop().time() - self._began_s

    def judge_silence(self):
        """Do nothing."""

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
