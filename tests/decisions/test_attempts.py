"""Test what follows an attempt, above all that nothing runs twice."""

import testtools

from cicadapass_decisions.attempts import (
    MAX_SENDS,
    MAX_TRIES,
    AttemptEnd,
    AttemptResult,
    Done,
    Fail,
    Refuse,
    Repeat,
    after_attempt,
)

BROKEN = AttemptResult.broken("reset")
REJECTED = AttemptResult.rejected(503)
NOT_SENT = AttemptResult.not_sent("refused")


def progress(repeatable, runs, sends=1, started=False, max_runs=2, tries=1):
    """Return the progress of a request."""
    return AttemptEnd(repeatable, started, sends, tries, runs, max_runs)


class AfterAttemptTest(testtools.TestCase):
    def test_a_call_that_may_have_run_is_not_repeated(self):
        """A reset after the send ran a payment twice."""
        for result in (BROKEN, AttemptResult.failed(500)):
            step = after_attempt(result, progress(False, runs=1), allowed=True)
            self.assertEqual(Fail(), step)

    def test_a_call_that_has_not_run_is_sent_elsewhere(self):
        """A rejection by a full upstream was given to the caller."""
        step = after_attempt(REJECTED, progress(False, runs=0), allowed=True)
        self.assertEqual(Repeat(needs_allowance=True), step)

    def test_a_refused_connection_takes_nothing_from_the_allowance(self):
        """Crashed engines used the allowance up, and requests got 503 for it."""
        for runs in (0, 1):
            step = after_attempt(
                NOT_SENT, progress(True, runs=runs, sends=runs), allowed=False
            )
            self.assertEqual(Repeat(needs_allowance=False), step)

    def test_tries_are_bounded(self):
        """A service that is gone kept its requests busy until their deadline."""
        step = after_attempt(
            NOT_SENT, progress(True, runs=0, sends=0, tries=MAX_TRIES), allowed=True
        )
        self.assertEqual(Refuse(), step)

    def test_a_refusal_promises_only_what_is_true(self):
        """A request that may have run was answered as not run."""
        none = after_attempt(REJECTED, progress(True, runs=0), allowed=False)
        self.assertEqual(Refuse(), none)
        one = after_attempt(REJECTED, progress(True, runs=1), allowed=False)
        self.assertEqual(Fail(), one)

    def test_a_rejected_continuation_is_no_fresh_start(self):
        """A moved stream whose copy was refused ran again from the beginning."""
        step = after_attempt(
            REJECTED, progress(False, runs=1, started=True), allowed=True
        )
        self.assertEqual(Fail(), step)

    def test_a_moved_run_goes_on(self):
        """A run that had been copied was cut."""
        moved = AttemptResult.moved("e2")
        step = after_attempt(
            moved, progress(False, runs=1, started=True), allowed=False
        )
        self.assertEqual(Repeat(needs_allowance=False), step)

    def test_repeats_are_bounded(self):
        """A failing service was flooded with repeats."""
        cases = (
            progress(True, runs=2),
            progress(True, runs=1, sends=MAX_SENDS),
        )
        for each in cases:
            self.assertEqual(Fail(), after_attempt(BROKEN, each, allowed=True))
        self.assertEqual(
            Fail(), after_attempt(BROKEN, progress(True, runs=1), allowed=False)
        )

    def test_a_repeatable_call_is_repeated(self):
        """A lost answer of a read was given to the caller as a failure."""
        step = after_attempt(BROKEN, progress(True, runs=1), allowed=True)
        self.assertEqual(Repeat(needs_allowance=True), step)

    def test_a_delivered_answer_ends_the_request(self):
        """A failure that was passed on counted as a success of the upstream."""
        result = AttemptResult.delivered(500)
        self.assertFalse(result.healthy)
        self.assertEqual(Done(), after_attempt(result, progress(True, 1), allowed=True))
