"""Test how long requests with suspected prompt segments are held."""

import asyncio
from types import SimpleNamespace

import testtools

from cicadapass_gateway.endedprocesses import EndedProcesses
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_gateway.promptguard import MAX_HOLD_S, HeldReason, PromptGuard
from cicadapass_gateway.requestcontext import RequestContext
from tests.gateway.harness import make_state
from tests.gateway.virtualcluster import run_virtual

SEGMENT = "s/shared"


def suspect(state):
    """Let another node try a segment on which an engine ended."""
    suspicions, now_s = state.segment_suspicions, state.clock()
    suspicions.record_end("u0@1", [SEGMENT], [], now_s)
    suspicions.begin_trial([SEGMENT], "other", now_s)


def make_request(state, *, runs=0, started=False):
    """Return a request with the segment and 10 s until its deadline."""
    exchange = SimpleNamespace(started=started)
    request = RequestContext(exchange, None, None, state.clock() + 10.0)
    request.segments, request.runs = (SEGMENT,), runs
    return request


class HoldTest(testtools.TestCase):
    def test_a_held_request_that_has_not_run_is_refused(self):
        """A caller waited for a trial when it could have returned later."""

        async def scenario():
            state = make_state()
            suspect(state)
            guard = PromptGuard(state, EndedProcesses(ClientPool()))
            began_s = state.clock()
            held = await guard.admit(make_request(state))
            self.assertIs(HeldReason.SUSPECTED, held)
            self.assertAlmostEqual(MAX_HOLD_S, state.clock() - began_s, places=3)

        run_virtual(scenario())

    def test_a_held_repeat_waits_until_it_may_be_sent(self):
        """A repeat with a suspected segment was refused, and its answer lost."""

        async def scenario(**progress):
            state = make_state()
            suspect(state)
            guard = PromptGuard(state, EndedProcesses(ClientPool()))
            repeat = asyncio.ensure_future(guard.admit(make_request(state, **progress)))
            await asyncio.sleep(3 * MAX_HOLD_S)
            # The trial of the other node ended without an outcome.
            self.assertTrue(repeat.done())
            self.assertIsNone(repeat.result())

        for progress in ({"runs": 1}, {"started": True}):
            run_virtual(scenario(**progress))
