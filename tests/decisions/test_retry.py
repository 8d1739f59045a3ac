"""Test the decisions after failed and late attempts."""

import random
from dataclasses import replace

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.policy import RetryRules
from cicadapass_decisions.retry import (
    Abandon,
    Attempt,
    Failure,
    FailureKind,
    Hedge,
    Resume,
    Retry,
    RetryBudget,
    RetryRequest,
    Wait,
    combined_verdict,
    hedge_after_s,
    next_step,
    on_request,
    stalled_after_s,
)
from cicadapass_decisions.types import Verdict

RULES = RetryRules()
FULL = RetryBudget(10.0)
REQUEST = RetryRequest(repeatable=True, deadline_s=100.0)
ENDED = [kind for kind in FailureKind if kind is not FailureKind.LATE]

attempts_of = st.lists(
    st.builds(
        Attempt,
        st.sampled_from(["a", "b"]),
        st.booleans(),
        st.sampled_from(ENDED),
    ),
    min_size=1,
    max_size=5,
)


def _step(attempts, request=REQUEST, budget=FULL, now_s=1.0):
    failure = Failure(attempts[-1].failure, attempts[-1].sent)
    rng = random.Random(1)
    return next_step(attempts, failure, request, budget, now_s, rng, RULES)


class RetryTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(attempts_of, st.floats(0, 10))
    def test_non_repeatable_is_never_sent_twice(self, attempts, tokens):
        """A non-repeatable call must not be sent twice, even after a rejection."""
        request = replace(REQUEST, repeatable=False)
        step = _step(attempts, request, RetryBudget(tokens)).step
        if any(attempt.sent for attempt in attempts):
            self.assertIsInstance(step, Abandon)

    @settings(derandomize=True, deadline=None)
    @given(attempts_of)
    def test_not_run_needs_proof(self, attempts):
        """The verdict NOT_RUN requires that each attempt was unsent or rejected."""
        if combined_verdict(attempts) is Verdict.NOT_RUN:
            for attempt in attempts:
                proved = attempt.failure is FailureKind.REJECTED
                self.assertTrue(proved or not attempt.sent)
                self.assertIsNot(FailureKind.ANSWERED, attempt.failure)

    @settings(derandomize=True, deadline=None)
    @given(
        st.integers(200, 2000),
        st.floats(0.0005, 0.15),
        st.lists(st.sampled_from([FailureKind.BROKEN, FailureKind.LATE]), min_size=3),
    )
    def test_attempts_stay_within_budget(self, requests, gap_s, kinds):
        """Retries and hedges of failing requests must not multiply an overload."""
        budget, extra, now_s = RetryBudget(), 0, 0.0
        for number in range(requests):
            now_s += gap_s
            budget = on_request(budget, now_s, RULES)
            kind = kinds[number % len(kinds)]
            attempts = [Attempt("a", True, kind, kind is FailureKind.LATE)]
            decision = _step(attempts, replace(REQUEST, deadline_s=1e9), budget, now_s)
            budget = decision.budget
            extra += isinstance(decision.step, Retry | Hedge)
        self.assertTrue(extra <= 0.1 * requests + RetryBudget().tokens + 1e-6)

    def test_idle_node_may_retry(self):
        """A node with few requests must still be able to retry a failed one."""
        budget = on_request(RetryBudget(0.0), 0.0, RULES)
        budget = on_request(budget, 10.0, RULES)
        attempts = [Attempt("a", True, FailureKind.BROKEN)]
        self.assertIsInstance(_step(attempts, budget=budget, now_s=10.0).step, Retry)

    def test_spent_budget(self):
        """An accepted request must wait for budget; others are abandoned."""
        attempts = [Attempt("a", False, FailureKind.REFUSED)]
        spent = RetryBudget(0.0, 1.0)
        accepted = replace(REQUEST, accepted=True)
        self.assertIsInstance(_step(attempts, accepted, spent).step, Wait)
        step = _step(attempts, REQUEST, spent).step
        self.assertEqual(Verdict.NOT_RUN, step.verdict)

    def test_leaving_needs_no_budget(self):
        """The reclaim of a zone must not use up the retry budget."""
        attempts = [Attempt("a", True, FailureKind.LEAVING)]
        request = replace(REQUEST, tokens=7)
        step = _step(attempts, request, RetryBudget(0.0, 1.0)).step
        self.assertEqual(Resume(0.0, 7, frozenset("a")), step)

    def test_abandons_at_the_deadline_or_attempt_limit(self):
        """Attempts must end at the deadline and at the maximum number."""
        broken = Attempt("a", True, FailureKind.BROKEN)
        self.assertIsInstance(_step([broken], now_s=100.0).step, Abandon)
        step = _step([broken] * RULES.max_attempts).step
        self.assertEqual(Verdict.UNKNOWN, step.verdict)

    def test_refusals_do_not_end_an_accepted_request(self):
        """An accepted request must survive while all upstreams refuse for a moment."""
        accepted = replace(REQUEST, accepted=True)
        for kind, sent in ((FailureKind.REJECTED, True), (FailureKind.REFUSED, False)):
            refused = [Attempt("a", sent, kind)] * (3 * RULES.max_attempts)
            self.assertIsInstance(_step(refused, accepted).step, Retry)
            self.assertIsInstance(_step(refused).step, Abandon)
            late = _step(refused, accepted, now_s=100.0).step
            self.assertEqual(Verdict.NOT_RUN, late.verdict)

    def test_broken_attempts_end_an_accepted_request(self):
        """A request that crashes its upstreams must not be repeated for ever."""
        accepted = replace(REQUEST, accepted=True)
        broken = [Attempt("a", True, FailureKind.BROKEN)] * RULES.max_attempts
        self.assertIsInstance(_step(broken, accepted).step, Abandon)

    def test_hedges_once(self):
        """A hedge must not be hedged again, nor a non-repeatable call."""
        late = Attempt("a", True, FailureKind.LATE, running=True)
        self.assertEqual(Hedge(frozenset("a")), _step([late]).step)
        self.assertIsInstance(_step([late, late]).step, Wait)
        once = replace(REQUEST, repeatable=False)
        self.assertIsInstance(_step([late], once).step, Wait)

    def test_hedge_of_a_stalled_answer_resumes(self):
        """A hedge of a started answer must not compute its tokens twice."""
        late = Attempt("a", True, FailureKind.LATE, running=True)
        started = replace(REQUEST, tokens=7, expected_remaining_tokens=20)
        self.assertEqual(Hedge(frozenset("a"), 7), _step([late], started).step)
        nearly_done = replace(
            started, expected_remaining_tokens=RULES.stall_min_tokens - 1
        )
        self.assertIsInstance(_step([late], nearly_done).step, Wait)
        whole = replace(started, streams=False)
        self.assertIsInstance(_step([late], whole).step, Wait)
        self.assertEqual(0.3, stalled_after_s(0.02, RULES))
        self.assertIsNone(stalled_after_s(None, RULES))

    def test_failure_beside_a_running_hedge(self):
        """A failed attempt must not end the request while the other one runs."""
        running = Attempt("a", True, None, running=True)
        failed = Attempt("b", True, FailureKind.BROKEN)
        self.assertIsInstance(_step([running, failed]).step, Wait)

    def test_hedge_needs_usual_times(self):
        """Without a measured first-token time, every first request would be hedged."""
        self.assertIsNone(hedge_after_s(None, RULES))
        self.assertEqual(0.4, hedge_after_s(0.1, RULES))
