"""Test that each request gets one complete answer or one failure."""

import json
import threading

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.admission import Refusal, RefusalReason
from cicadapass_decisions.policy import RetryRules
from cicadapass_decisions.types import Verdict
from tests.node.executionharness import (
    BROKEN,
    UNSENT,
    WAIT_S,
    ExecutionHarness,
    Script,
    token,
)

ENDS = ["done", "broken", "gap", "short", "raise", "silent"]
SCRIPTS = st.builds(
    Script,
    tokens=st.integers(0, 5),
    end=st.sampled_from(ENDS),
    first_index=st.sampled_from([None, None, None, 0]),
    open_failure=st.sampled_from([None, None, None, BROKEN, UNSENT]),
)


class ExecutionTest(testtools.TestCase):
    def _assert_ended_once(self, harness):
        """Check the invariants of a request that ended, with or without faults."""
        answer = harness.answer
        self.assertTrue(answer.ended, "a caller waits for ever")
        self.assertEqual(1, len(harness.ended))
        released = [number for number, _ in harness.released]
        self.assertEqual([grant.number for grant in harness.granted], sorted(released))
        texts = [token(index) for index in range(answer.token_count)]
        self.assertEqual(texts, list(answer.texts))
        data = answer.read(0, 0.0).data
        self.assertEqual(answer.problem is None, data.endswith(b"data: [DONE]\n\n"))
        contents = [json.loads(document[6:]) for document in data.split(b"\n\n")[:-2]]
        choices = [document["choices"][0]["delta"] for document in contents]
        delivered = [delta["content"] for delta in choices if "content" in delta]
        self.assertEqual(texts, delivered)

    def test_an_answer_resumes_after_its_last_token(self):
        """Tokens that were delivered must not be computed again."""
        harness = ExecutionHarness([Script(2, "broken"), Script()])
        self.assertIsNone(harness.run().problem)
        self._assert_ended_once(harness)
        self.assertEqual(2, harness.opened[1][1].resume_from)
        self.assertEqual((token(0), token(1)), harness.opened[1][1].prefix_tokens)

    def test_a_gap_is_a_failed_attempt(self):
        """A token gap of one upstream must not fail the request."""
        harness = ExecutionHarness([Script(1, "gap"), Script()])
        self.assertIsNone(harness.run().problem)
        self._assert_ended_once(harness)

    def test_an_early_end_is_a_failed_attempt(self):
        """An upstream that lost tokens must not make the answer look complete."""
        harness = ExecutionHarness([Script(2, "short"), Script()])
        self.assertIsNone(harness.run().problem)
        self._assert_ended_once(harness)
        self.assertEqual(4, harness.answer.token_count)

    def test_nothing_sent_is_not_run(self):
        """The caller may send the request again only if nothing ran."""
        harness = ExecutionHarness(
            [Script(open_failure=UNSENT)], retry_rules=RetryRules(retry=False)
        )
        self.assertEqual(Verdict.NOT_RUN, harness.run().problem.verdict)
        self._assert_ended_once(harness)

    def test_a_broken_attempt_is_unknown(self):
        """An attempt that was sent may have run."""
        harness = ExecutionHarness(
            [Script(open_failure=BROKEN)], retry_rules=RetryRules(retry=False)
        )
        self.assertEqual(Verdict.UNKNOWN, harness.run().problem.verdict)
        self._assert_ended_once(harness)

    def test_hedge_winner_continues_after_a_break(self):
        """A winner that left the retry to its loser would leave the caller waiting."""
        unblock = threading.Event()
        harness = ExecutionHarness(
            [Script(unblock=unblock), Script(2, "broken"), Script()]
        )
        harness.hedge_after_s = 1.0
        harness.run()
        self._assert_ended_once(harness)
        self.assertIsNone(harness.answer.problem)

    def test_the_loser_of_a_hedge_writes_nothing(self):
        """Two writers would mix their tokens; the loser must be cancelled."""
        late = Script(unblock=threading.Event())
        harness = ExecutionHarness([late, Script()])
        harness.hedge_after_s = 1.0
        harness.run()
        self._assert_ended_once(harness)
        self.assertTrue(late.closed.is_set())
        self.assertIn(harness.granted[0].attempt, harness.cancelled)

    def test_hedge_loser_is_not_an_upstream_failure(self):
        """Cancelling an attempt must not count as a failure of the upstream."""
        harness = ExecutionHarness(
            [Script(end="broken", unblock=threading.Event()), Script()]
        )
        harness.hedge_after_s = 1.0
        harness.run()
        outcomes = dict(harness.released)
        self.assertFalse(outcomes[1].failed)
        self.assertIsNone(outcomes[1].total_s)

    def test_attempts_have_different_numbers(self):
        """An engine that gets a number twice cancels the wrong attempt."""
        harness = ExecutionHarness(
            [Script(0, "broken"), Script(0, "broken"), Script(0, "broken")]
        )
        harness.hedge_after_s = 0.0
        harness.run()
        numbers = [grant.attempt for grant in harness.granted]
        self.assertEqual(len(numbers), len(set(numbers)))

    def test_a_late_attempt_is_hedged_before_its_head_arrives(self):
        """Slow engines typically accept the connection and then send nothing."""
        harness = ExecutionHarness([Script()])
        harness.hedge_after_s = 5.0
        scheduled_counts = []
        generate = harness.generate
        engines = harness.execution._attempts._dependencies.engines
        engines.generate = lambda *args: (
            scheduled_counts.append(len(harness.hedge_checks)),
            generate(*args),
        )[1]
        harness.run()
        self.assertEqual([1], scheduled_counts)

    def test_a_refused_request_fails(self):
        """A request without an available upstream must not wait indefinitely."""
        harness = ExecutionHarness([Script(0, "broken")])
        refusal = Refusal(RefusalReason.DEADLINE, 0.0)
        harness.refusals = {number: refusal for number in range(1000, 1010)}
        self.assertEqual(Verdict.UNKNOWN, harness.run().problem.verdict)
        self._assert_ended_once(harness)

    def test_a_resumed_answer_with_all_tokens_completes(self):
        """A copy may contain all tokens without being marked finished."""
        harness = ExecutionHarness([], max_tokens=2)
        harness.answer.add_tokens(0, [token(0), token(1)])
        harness.run(with_grant=False)
        self._assert_ended_once(harness)
        self.assertEqual([], harness.opened)

    def test_a_stopped_execution_does_not_end_the_answer(self):
        """Another node continues the answer, so this one must not end or write it."""
        unblock = threading.Event()
        harness = ExecutionHarness([Script(unblock=unblock)])
        grant = harness.acquire(harness.acquire_request)
        harness.execution.start(grant)
        harness.execution.stop()
        unblock.set()
        harness.join()
        self.assertFalse(harness.answer.ended)
        self.assertEqual(0, harness.answer.token_count)
        self.assertEqual([1], [number for number, _ in harness.released])
        self.assertEqual([], harness.ended)

    def test_a_stop_does_not_wait_for_upstreams(self):
        """The ownership component calls `stop` and must not block."""
        unblock = threading.Event()
        self.addCleanup(unblock.set)
        harness = ExecutionHarness([Script(unblock=unblock)])
        blocked = threading.Event()
        engines = harness.execution._attempts._dependencies.engines
        engines.cancel = lambda *args: blocked.wait(WAIT_S)
        harness.execution.start(harness.acquire(harness.acquire_request))
        stopper = threading.Thread(target=harness.execution.stop)
        stopper.start()
        stopper.join(WAIT_S / 2)
        self.assertFalse(stopper.is_alive())
        blocked.set()

    def test_without_a_thread_the_request_was_not_run(self):
        """A process out of threads must release the grant and answer the caller."""
        harness = ExecutionHarness([], fault_at=None)
        grant = harness.acquire(harness.acquire_request)

        def no_thread(name, work):
            raise RuntimeError("can't start new thread")

        object.__setattr__(harness.execution._dependencies, "spawn", no_thread)
        harness.execution.start(grant)
        self.assertEqual(Verdict.NOT_RUN, harness.answer.problem.verdict)
        self._assert_ended_once(harness)

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(
        st.lists(SCRIPTS, max_size=6),
        st.none() | st.integers(2, 40),
        st.sampled_from([None, 0.0]),
    )
    def test_each_request_ends_once_despite_faults(
        self, scripts, fault_at, hedge_after_s
    ):
        """Faults at random calls must not leave a request open or leak a grant."""
        harness = ExecutionHarness(scripts, fault_at=fault_at)
        harness.hedge_after_s = hedge_after_s
        harness.run()
        self._assert_ended_once(harness)
