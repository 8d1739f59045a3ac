"""Test that calls with an idempotency key are sent at most once."""

from types import SimpleNamespace

import testtools
from expression import Error, Ok

from cicadapass.keyedcalls import KeyedCalls, KeyedDependencies
from cicadapass.outcomes import Outcomes
from cicadapass.plaincalls import PlainRequest, PlainResponse
from cicadapass.problems import Problem
from cicadapass_common.copymessages import Binding
from cicadapass_decisions.claims import (
    CLAIM_VALIDITY_S,
    ClaimOutcome,
    ClaimVerdict,
)
from cicadapass_decisions.types import Verdict, VmId

BINDING = Binding("f", "w", "0" * 64)
OTHER = Binding("f", "other", "1" * 64)


class FakeClaims:
    """Record claims and return the configured verdicts."""

    def __init__(self):
        self.claims = []
        self.verdicts = []
        self.on_claim = lambda: None

    def claim(self, scope, key, claim):
        self.claims.append(claim)
        self.on_claim()
        if not self.verdicts:
            return ClaimVerdict(claim.claim_id, ClaimOutcome.WON)
        return self.verdicts.pop(0)


class KeyedCallsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.sent = 0
        self.claims = FakeClaims()
        address = SimpleNamespace(vm=VmId("f/n1", "1"))
        entry = SimpleNamespace(address=address)
        current_members = SimpleNamespace(
            snapshot=SimpleNamespace(local=address, by_vm={address.vm: entry})
        )
        self.enabled = True
        self.calls = KeyedCalls(
            KeyedDependencies(
                self.claims,
                Outcomes(lambda: 3600.0, clock=lambda: self.now_s),
                None,
                current_members,
                lambda: self.enabled,
                lambda: self.now_s,
            )
        )

    def call(self, key="k1", binding=BINDING, body=b"pay", run=None):
        request = PlainRequest("orders", "POST", "/payments", (), body, key)
        return self.calls.call(binding, request, run or self.run_call)

    def run_call(self, request_id, may_send):
        if not may_send():
            return Error(self.problem(Verdict.NOT_RUN))
        self.sent += 1
        return Ok(PlainResponse(request_id, 201, (("X", "1"),), [b"do", b"ne"]))

    def problem(self, verdict):
        return Problem("failed", 502, "it failed", "do something", verdict)

    def lost(self, same_payload=True):
        winner = self.claims.claims[0].request_id
        return ClaimVerdict(b"", ClaimOutcome.LOST, winner, same_payload)

    def test_the_winner_is_sent_and_replayed(self):
        """A call with a repeated key must return the first answer without a send."""
        self.assertEqual(201, self.call().ok.status)
        self.claims.verdicts = [self.lost()]
        replayed = self.call().ok
        self.assertEqual((201, [b"done"]), (replayed.status, list(replayed.body)))
        self.assertIn(("Idempotency-Replayed", "true"), replayed.headers)
        self.assertEqual(1, self.sent)

    def test_a_paused_winner_does_not_send(self):
        """After the validity of a claim, another node may have discarded it."""

        def pause():
            self.now_s += CLAIM_VALIDITY_S

        self.claims.on_claim = pause
        problem = self.call().error
        self.assertEqual((Verdict.NOT_RUN, 0), (problem.verdict, self.sent))
        # The key can never be sent, so the remedy must ask for a new one.
        self.assertIn("new key", problem.remedy)
        self.claims.on_claim = lambda: None
        self.claims.verdicts = [self.lost()]
        self.assertEqual(Verdict.NOT_RUN, self.call().error.verdict)
        self.assertEqual(0, self.sent)

    def test_another_payload_is_refused(self):
        """The answer of one call must not be returned for a different call."""
        self.call()
        self.claims.verdicts = [self.lost(same_payload=False)]
        problem = self.call(body=b"pay more").error
        self.assertEqual((422, Verdict.NOT_RUN), (problem.status, problem.verdict))
        self.assertEqual(1, self.sent)

    def test_a_call_in_progress_is_not_repeated(self):
        """A repeat during the call must not be sent nor get the verdict not-run."""

        def run_with_repeat(request_id, may_send):
            self.claims.verdicts = [self.lost()]
            repeated = self.call().error
            self.assertEqual(409, repeated.status)
            self.assertEqual(Verdict.UNKNOWN, repeated.verdict)
            return self.run_call(request_id, may_send)

        self.assertTrue(self.call(run=run_with_repeat).is_ok())
        self.assertEqual(1, self.sent)

    def test_another_callers_answer_is_not_replayed(self):
        """A key that two workspaces chose by chance must not leak an answer."""
        self.call()
        self.claims.verdicts = [self.lost()]
        problem = self.call(binding=OTHER).error
        self.assertEqual(Verdict.UNKNOWN, problem.verdict)

    def test_unevaluated_claim_is_not_sent(self):
        """During a log outage, it is unknown whether the key was used."""
        self.claims.verdicts = [ClaimVerdict(b"", ClaimOutcome.NOT_RUN)]
        problem = self.call().error
        self.assertEqual((Verdict.NOT_RUN, 0), (problem.verdict, self.sent))
        self.assertIn("same key", problem.remedy)

    def test_a_lost_issuer_leaves_the_outcome_unknown(self):
        """The node that issued the key may have sent a call with it."""
        self.claims.verdicts = [ClaimVerdict(b"", ClaimOutcome.NOT_RUN)]
        problem = self.call(key="cp1~f/gone~1~0.0~aa~tag").error
        self.assertEqual((Verdict.UNKNOWN, 0), (problem.verdict, self.sent))

    def test_a_fault_during_the_call_leaves_the_outcome_unknown(self):
        """After an error during the call, a repeat must not get the verdict not-run."""

        def fail(request_id, may_send):
            raise RuntimeError

        self.assertRaises(RuntimeError, self.call, run=fail)
        self.claims.verdicts = [self.lost()]
        self.assertEqual(Verdict.UNKNOWN, self.call().error.verdict)

    def test_bad_keys_and_disabled_claims(self):
        """A call whose key cannot be claimed must not be sent."""
        for key in ("", "x" * 256):
            self.assertEqual(400, self.call(key=key).error.status)
        self.enabled = False
        self.assertEqual(Verdict.NOT_RUN, self.call().error.verdict)
        self.assertEqual(0, self.sent)
