"""Test that each request gets one whole answer, or one failure."""

import json
import threading

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.admission import Refusal, RefusalReason
from cicadapass_decisions.policy import RetryRules
from cicadapass_decisions.types import Verdict
from tests.node.executionkit import BROKEN, UNSENT, WAIT_S, Script, World, token

ENDS = ["done", "broken", "gap", "short", "raise", "silent"]
SCRIPTS = st.builds(
    Script,
    tokens=st.integers(0, 5),
    end=st.sampled_from(ENDS),
    first=st.sampled_from([None, None, None, 0]),
    opens=st.sampled_from([None, None, None, BROKEN, UNSENT]),
)


class ExecutionTest(testtools.TestCase):
    def _assert_sound(self, world):
        """Check what must hold for each request, whatever failed."""
        answer = world.answer
        self.assertTrue(answer.ended, "a caller waits for ever")
        self.assertEqual(1, len(world.ended))
        released = [number for number, _ in world.released]
        self.assertEqual([grant.number for grant in world.granted], sorted(released))
        texts = [token(index) for index in range(answer.token_count)]
        self.assertEqual(texts, list(answer.texts))
        data = answer.read(0, 0.0).data
        self.assertEqual(answer.problem is None, data.endswith(b"data: [DONE]\n\n"))
        contents = [json.loads(each[6:]) for each in data.split(b"\n\n")[:-2]]
        choices = [each["choices"][0]["delta"] for each in contents]
        got = [delta["content"] for delta in choices if "content" in delta]
        self.assertEqual(texts, got)

    def test_an_answer_resumes_after_its_last_token(self):
        """Tokens that the caller has must not be computed again."""
        world = World([Script(2, "broken"), Script()])
        self.assertIsNone(world.run().problem)
        self._assert_sound(world)
        self.assertEqual(2, world.opened[1][1].resume_from)
        self.assertEqual((token(0), token(1)), world.opened[1][1].prefix_tokens)

    def test_a_gap_is_a_failed_attempt(self):
        """An upstream that leaves tokens out must not fail the request."""
        world = World([Script(1, "gap"), Script()])
        self.assertIsNone(world.run().problem)
        self._assert_sound(world)

    def test_an_end_that_is_too_early_is_a_failed_attempt(self):
        """An upstream that lost tokens must not make the answer look complete."""
        world = World([Script(2, "short"), Script()])
        self.assertIsNone(world.run().problem)
        self._assert_sound(world)
        self.assertEqual(4, world.answer.token_count)

    def test_nothing_sent_is_not_run(self):
        """The caller may send the request again only if nothing ran."""
        world = World([Script(opens=UNSENT)], rules=RetryRules(retry=False))
        self.assertEqual(Verdict.NOT_RUN, world.run().problem.verdict)
        self._assert_sound(world)

    def test_a_broken_attempt_is_unknown(self):
        """An attempt that was sent may have run."""
        world = World([Script(opens=BROKEN)], rules=RetryRules(retry=False))
        self.assertEqual(Verdict.UNKNOWN, world.run().problem.verdict)
        self._assert_sound(world)

    def test_the_winner_of_a_hedge_goes_on_after_a_break(self):
        """A winner that waited for the loser would leave the caller waiting."""
        go = threading.Event()
        world = World([Script(go=go), Script(2, "broken"), Script()])
        world.hedge_after_s = 1.0
        world.run()
        self._assert_sound(world)
        self.assertIsNone(world.answer.problem)

    def test_the_loser_of_a_hedge_writes_nothing(self):
        """Two writers would mix their tokens; the loser must be cancelled."""
        late = Script(go=threading.Event())
        world = World([late, Script()])
        world.hedge_after_s = 1.0
        world.run()
        self._assert_sound(world)
        self.assertTrue(late.closed.is_set())
        self.assertIn(world.granted[0].attempt, world.cancelled)

    def test_a_loser_says_nothing_about_its_upstream(self):
        """Cancelling an attempt must not count as a failure of the upstream."""
        world = World([Script(end="broken", go=threading.Event()), Script()])
        world.hedge_after_s = 1.0
        world.run()
        outcomes = dict(world.released)
        self.assertFalse(outcomes[1].failed)
        self.assertIsNone(outcomes[1].total_s)

    def test_attempts_have_different_numbers(self):
        """An engine that gets a number twice cancels the wrong attempt."""
        world = World([Script(0, "broken"), Script(0, "broken"), Script(0, "broken")])
        world.hedge_after_s = 0.0
        world.run()
        numbers = [grant.attempt for grant in world.granted]
        self.assertEqual(len(numbers), len(set(numbers)))

    def test_a_late_attempt_is_hedged_before_its_head_arrives(self):
        """An engine that accepts connections and is silent is the usual slow one."""
        world = World([Script()])
        world.hedge_after_s = 5.0
        seen = []
        generate = world.generate
        engines = world.execution._attempts._dependencies.engines
        engines.generate = lambda *args: (
            seen.append(len(world.checks)),
            generate(*args),
        )[1]
        world.run()
        self.assertEqual([1], seen)

    def test_a_refused_request_fails(self):
        """A request that no upstream can take must not wait for ever."""
        world = World([Script(0, "broken")])
        refusal = Refusal(RefusalReason.DEADLINE, 0.0)
        world.refusals = {number: refusal for number in range(1000, 1010)}
        self.assertEqual(Verdict.UNKNOWN, world.run().problem.verdict)
        self._assert_sound(world)

    def test_a_resumed_answer_with_all_tokens_completes(self):
        """The copy may hold all tokens but not the end."""
        world = World([], max_tokens=2)
        world.answer.add_tokens(0, [token(0), token(1)])
        world.run(grant=False)
        self._assert_sound(world)
        self.assertEqual([], world.opened)

    def test_a_stopped_execution_ends_nothing(self):
        """Another node continues the answer, so this one must not end or write it."""
        go = threading.Event()
        world = World([Script(go=go)])
        grant = world.acquire(world.work)
        world.execution.start(grant)
        world.execution.stop()
        go.set()
        world.join()
        self.assertFalse(world.answer.ended)
        self.assertEqual(0, world.answer.token_count)
        self.assertEqual([1], [number for number, _ in world.released])
        self.assertEqual([], world.ended)

    def test_a_stop_does_not_wait_for_upstreams(self):
        """The owner of the request table stops executions and must not block."""
        go = threading.Event()
        self.addCleanup(go.set)
        world = World([Script(go=go)])
        blocked = threading.Event()
        engines = world.execution._attempts._dependencies.engines
        engines.cancel = lambda *args: blocked.wait(WAIT_S)
        world.execution.start(world.acquire(world.work))
        stopper = threading.Thread(target=world.execution.stop)
        stopper.start()
        stopper.join(WAIT_S / 2)
        self.assertFalse(stopper.is_alive())
        blocked.set()

    def test_without_a_thread_the_request_was_not_run(self):
        """A process out of threads must not keep the grant or the caller."""
        world = World([], fault_at=None)
        grant = world.acquire(world.work)

        def no_thread(name, work):
            raise RuntimeError("can't start new thread")

        object.__setattr__(world.execution._parts, "spawn", no_thread)
        world.execution.start(grant)
        self.assertEqual(Verdict.NOT_RUN, world.answer.problem.verdict)
        self._assert_sound(world)

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(
        st.lists(SCRIPTS, max_size=6),
        st.none() | st.integers(2, 40),
        st.sampled_from([None, 0.0]),
    )
    def test_each_request_ends_once_whatever_fails(self, scripts, fault_at, hedge_s):
        """Faults at random places must not lose a caller, a token or a grant."""
        world = World(scripts, fault_at=fault_at)
        world.hedge_after_s = hedge_s
        world.run()
        self._assert_sound(world)
