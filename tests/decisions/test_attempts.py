"""Test the step after an attempt, in particular that no call runs twice."""

from dataclasses import replace

import testtools

from cicadapass_decisions.attempts import (
    MAX_SENDS,
    MAX_TRIES,
    AttemptResult,
    Done,
    Fail,
    Refuse,
    RequestProgress,
    Retry,
    hedge_delay_s,
    is_failing_silence,
    may_run_again,
    next_step,
)
from cicadapass_decisions.passthrough import CallKind

BROKEN = AttemptResult.broken("reset")
REJECTED = AttemptResult.rejected(503)
NOT_SENT = AttemptResult.not_sent("refused")


def progress(repeatable, runs, sends=1, started=False, max_runs=2, tries=1):
    """Return the progress of a request after its first send."""
    return RequestProgress(repeatable, started, sends, tries, runs, max_runs)


class NextStepTest(testtools.TestCase):
    def test_call_that_may_have_run_is_not_retried(self):
        """A payment ran twice after its connection had been reset."""
        for result in (BROKEN, AttemptResult.failed(500)):
            step = next_step(result, progress(False, runs=1), retry_allowed=True)
            self.assertEqual(Fail(), step)

    def test_call_that_has_not_run_is_retried(self):
        """The rejection of a full upstream was relayed to the caller."""
        step = next_step(REJECTED, progress(False, runs=0), retry_allowed=True)
        self.assertEqual(Retry(needs_allowance=True), step)

    def test_runs_at_ended_engines_do_not_use_up_the_route(self):
        """A stream was cut after its second engine had ended under it."""
        used_up = progress(True, runs=2, sends=2, started=True)
        self.assertEqual(Fail(), next_step(BROKEN, used_up, retry_allowed=True))
        ended = replace(used_up, runs_at_ended=1)
        step = next_step(BROKEN, ended, retry_allowed=True)
        self.assertEqual(Retry(needs_allowance=True), step)
        self.assertTrue(may_run_again(ended))
        self.assertFalse(may_run_again(replace(ended, runs=3, sends=3)))

    def test_refused_connection_does_not_use_the_allowance(self):
        """Callers got a 503 after crashed engines had used up the allowance."""
        for runs in (0, 1):
            step = next_step(
                NOT_SENT, progress(True, runs=runs, sends=runs), retry_allowed=False
            )
            self.assertEqual(Retry(needs_allowance=False), step)

    def test_tries_are_bounded(self):
        """Requests for an unreachable service were retried until their deadline."""
        step = next_step(
            NOT_SENT,
            progress(True, runs=0, sends=0, tries=MAX_TRIES),
            retry_allowed=True,
        )
        self.assertEqual(Refuse(), step)

    def test_refusal_only_if_the_request_has_not_run(self):
        """A request that may have run was reported as not run."""
        not_run = next_step(REJECTED, progress(True, runs=0), retry_allowed=False)
        self.assertEqual(Refuse(), not_run)
        may_have_run = next_step(REJECTED, progress(True, runs=1), retry_allowed=False)
        self.assertEqual(Fail(), may_have_run)

    def test_rejected_continuation_does_not_restart(self):
        """A migrated stream whose copy was rejected ran again from the start."""
        step = next_step(
            REJECTED, progress(False, runs=1, started=True), retry_allowed=True
        )
        self.assertEqual(Fail(), step)

    def test_migrated_run_continues(self):
        """A run was cut although it had been copied to another engine."""
        migrated = AttemptResult.migrated("e2")
        step = next_step(
            migrated, progress(False, runs=1, started=True), retry_allowed=False
        )
        self.assertEqual(Retry(needs_allowance=False), step)

    def test_retries_are_bounded(self):
        """A failing service received an unlimited number of retries."""
        cases = (
            progress(True, runs=2),
            progress(True, runs=1, sends=MAX_SENDS),
        )
        for case in cases:
            self.assertEqual(Fail(), next_step(BROKEN, case, retry_allowed=True))
        self.assertEqual(
            Fail(), next_step(BROKEN, progress(True, runs=1), retry_allowed=False)
        )

    def test_repeatable_call_is_retried(self):
        """The lost answer of a repeatable call was reported as a failure."""
        step = next_step(BROKEN, progress(True, runs=1), retry_allowed=True)
        self.assertEqual(Retry(needs_allowance=True), step)

    def test_delivered_answer_ends_the_request(self):
        """An error status that was relayed counted as a success of the upstream."""
        result = AttemptResult.delivered(500)
        self.assertFalse(result.healthy)
        self.assertEqual(
            Done(), next_step(result, progress(True, 1), retry_allowed=True)
        )


class HedgeTest(testtools.TestCase):
    def test_a_hedge_is_an_attempt_like_any_other(self):
        """Hedges ran on more upstreams than the route allows."""
        self.assertTrue(may_run_again(progress(True, runs=1)))
        self.assertFalse(may_run_again(progress(True, runs=2)))
        self.assertFalse(may_run_again(progress(True, runs=1, sends=MAX_SENDS)))
        self.assertFalse(may_run_again(progress(False, runs=1)))

    def test_expected_times_delay_a_hedge(self):
        """Each long prompt was sent to two upstreams."""
        self.assertGreater(hedge_delay_s(CallKind.STREAM, 2.0, 10.0), 2.0)
        self.assertGreater(hedge_delay_s(CallKind.SAFE, 2.0, 3.0), 2.0)
        self.assertEqual(1.0, hedge_delay_s(CallKind.SAFE, 0.1, 3.0))

    def test_a_sound_silence_is_no_failure(self):
        """An upstream that was silent for a second counted as failed."""
        self.assertFalse(is_failing_silence(1.4, 1.4, 1.2))
        self.assertFalse(is_failing_silence(1.4, 3.0, 1.2))
        self.assertTrue(is_failing_silence(2.1, 0.0, 1.2))
        self.assertTrue(is_failing_silence(1.4, 4.1, 1.2))
        self.assertFalse(is_failing_silence(2.1, 4.1, 3.0))
