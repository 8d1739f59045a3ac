"""Test claims of idempotency keys."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.claims import (
    CLAIM_HISTORY_WINDOWS,
    ClaimIndex,
    ClaimOutcome,
    evaluate_claims,
    hash_key,
    hash_payload,
    may_send,
    timed_claim,
)
from cicadapass_decisions.issuedkeys import IssuedKeys, issuing_node
from cicadapass_decisions.logrecords import Claim, ClaimBatch, LogRecord, Unreadable

WINDOW_S = 10.0
LOST = ClaimOutcome.LOST
EXAMPLES = 300
# A claim step is a key and, to append an earlier claim again, its number.
claim_steps = st.tuples(st.integers(0, 2), st.none() | st.integers(0, 9))
# The log's clock may step back by up to one window.
steps = st.tuples(
    st.sampled_from([0, 1, 3, 4, 6, 9, 10, 11, 25, -2, -10]),
    st.lists(claim_steps, max_size=3),
)
histories = st.lists(steps, min_size=5, max_size=30)


def _claim(key=0, number=0, payload=b"p"):
    return Claim(
        hash_key("f", "w", "s", str(key)),
        hash_payload("POST", "/", payload),
        number.to_bytes(8, "big"),
        f"request-{number}",
        "vm-1",
    )


def _build(history):
    records, claims, time_s, latest_s = [], [], 100.0, 100.0
    for offset, (step_s, chosen) in enumerate(history):
        time_s = max(time_s + step_s, latest_s - WINDOW_S)
        latest_s = max(latest_s, time_s)
        batch = []
        for key, repeated in chosen:
            if repeated is not None and claims:
                batch.append(claims[repeated % len(claims)])
            else:
                batch.append(_claim(key, len(claims)))
                claims.append(batch[-1])
        body = ClaimBatch(tuple(batch)) if batch else Unreadable("junk")
        records.append(LogRecord(offset, time_s, body))
    return records


def _expected(records):
    """Return the verdicts by the definition, from all earlier claims."""
    earlier, verdicts, now_s = [], [], 0.0
    for record in records:
        now_s = max(now_s, record.time_s)
        for claim in getattr(record.body, "claims", ()):
            same_key = [e for e in earlier if e[1].key_hash == claim.key_hash]
            is_claimed = same_key and now_s - same_key[-1][0] < WINDOW_S
            first_s, first = same_key[-1][2:] if is_claimed else (now_s, claim)
            won = first.claim_id == claim.claim_id and now_s - first_s < WINDOW_S
            verdicts.append((record.offset, now_s, claim, first, won))
            earlier.append((now_s, claim, first_s, first))
    return verdicts


class AgreementTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(histories)
    def test_first_claim_in_log_order_wins(self, history):
        """Two claims of a key within the window must not both win."""
        records = _build(history)
        verdicts = evaluate_claims(ClaimIndex(WINDOW_S), records)
        expected = [(won, first.request_id) for *_, first, won in _expected(records)]
        outcomes = [
            (v.outcome is ClaimOutcome.WON, v.winner_request_id) for v in verdicts
        ]
        self.assertEqual(expected, outcomes)

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(histories)
    def test_winners_of_a_key_are_a_window_apart(self, history):
        """A key must not be won again within the window of an earlier winner."""
        winners = {}
        for _, now_s, claim, _, won in _expected(_build(history)):
            last_s, claim_id = winners.get(claim.key_hash, (-WINDOW_S, b""))
            if won and claim_id != claim.claim_id:
                self.assertGreaterEqual(now_s - last_s, WINDOW_S)
                winners[claim.key_hash] = (now_s, claim.claim_id)

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(histories, st.integers(0, 29))
    def test_reader_that_starts_late_agrees(self, history, start):
        """A batcher that reads CLAIM_HISTORY_WINDOWS must agree with the others."""
        records = _build(history)
        start %= len(records)
        index = ClaimIndex(WINDOW_S)
        index.skip_to(start)
        verdicts = evaluate_claims(index, records[start:])
        expected = [v for v in _expected(records) if v[0] >= start]
        ready_s = records[start].time_s + CLAIM_HISTORY_WINDOWS * WINDOW_S
        for verdict, (_, now_s, _, _, won) in zip(verdicts, expected, strict=True):
            if now_s >= ready_s:
                self.assertEqual(won, verdict.outcome is ClaimOutcome.WON)


class ClaimTest(testtools.TestCase):
    def evaluate(self, index, *claims, offset=0, time_s=0.0):
        return index.evaluate(LogRecord(offset, time_s, ClaimBatch(claims)))

    def test_loser_gets_winner_and_payload_match(self):
        """A loser must be able to replay the answer, unless its payload differs."""
        verdicts = self.evaluate(
            ClaimIndex(WINDOW_S), _claim(0, 1), _claim(0, 2), _claim(0, 3, b"other")
        )
        self.assertEqual(
            [("won", True), ("lost", True), ("lost", False)],
            [(v.outcome, v.same_payload) for v in verdicts],
        )
        self.assertEqual({"request-1"}, {v.winner_request_id for v in verdicts})

    def test_paused_winner_does_not_send(self):
        """A winner that resumes after the end of its validity must not send."""
        claim = timed_claim(_claim(), before_append_s=50.0)
        self.assertTrue(may_send(claim, 54.9))
        self.assertFalse(may_send(claim, 55.0))

    def test_log_clock_step_back_keeps_the_key(self):
        """A step back of the log's clock must not shorten the retention of a key."""
        index = ClaimIndex(WINDOW_S)
        index.evaluate(LogRecord(0, 110.0, Unreadable("junk")))
        self.evaluate(index, _claim(0, 1), offset=1, time_s=100.0)
        (verdict,) = self.evaluate(index, _claim(0, 2), offset=2, time_s=119.0)
        self.assertEqual(ClaimOutcome.LOST, verdict.outcome)

    def test_claim_appended_again_after_the_window_does_not_win(self):
        """Readers must agree on a repeated claim even without its first record."""
        index = ClaimIndex(WINDOW_S)
        self.evaluate(index, _claim(0, 1))
        self.evaluate(index, _claim(0, 2), offset=1, time_s=9.0)
        (repeat,) = self.evaluate(index, _claim(0, 2), offset=2, time_s=9.5)
        (stale,) = self.evaluate(index, _claim(0, 1), offset=3, time_s=18.0)
        self.assertEqual([LOST, LOST], [repeat.outcome, stale.outcome])

    def test_expired_keys_are_removed(self):
        """The index must not grow beyond the claims of one window."""
        index = ClaimIndex(WINDOW_S)
        for offset in range(100):
            self.evaluate(index, _claim(offset, offset), offset=offset, time_s=offset)
        self.assertEqual(10, len(index))

    def test_claimed_key_is_found_without_an_append(self):
        """A retry of a claimed key must not need the log."""
        index = ClaimIndex(WINDOW_S)
        self.assertIsNone(index.find(_claim(0, 1)))
        self.evaluate(index, _claim(0, 1))
        self.assertEqual(ClaimOutcome.WON, index.find(_claim(0, 1)).outcome)
        self.assertEqual(ClaimOutcome.LOST, index.find(_claim(0, 2)).outcome)

    def test_scopes_do_not_share_keys(self):
        """The same key in another workspace or fleet must not collide."""
        scopes = [("f", "w", "s", "k"), ("f", "ws", "", "k"), ("fw", "", "s", "k")]
        self.assertEqual(3, len({hash_key(*scope) for scope in scopes}))


class IssuedKeysTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.keys = IssuedKeys("vm-1", "i1", b"secret", WINDOW_S, limit=2)
        self.key = self.keys.issue("f/w", b"n", 100.0)

    def claim(self, key, number=1, now_s=100.0, scope="f/w", keys=None):
        claim = _claim(key, number)
        return (keys or self.keys).claim(scope, key, claim, now_s).outcome

    def test_issued_key_is_won_once(self):
        """A key that needs no log must not be used by two requests."""
        self.assertEqual(ClaimOutcome.WON, self.claim(self.key))
        self.assertEqual(ClaimOutcome.LOST, self.claim(self.key, 2))
        self.assertEqual(("vm-1", "i1"), issuing_node(self.key))

    def test_key_of_another_incarnation_is_not_run(self):
        """A restarted node must not accept keys whose uses it has lost."""
        restarted = IssuedKeys("vm-1", "i1", b"other", WINDOW_S, limit=2)
        self.assertEqual(ClaimOutcome.NOT_RUN, self.claim(self.key, keys=restarted))

    def test_forged_old_or_foreign_key_is_not_run(self):
        """A key must be invalid in another scope, after the window or if forged."""
        forged = self.key.replace("100.000", "900.000")
        self.assertEqual(ClaimOutcome.NOT_RUN, self.claim(forged, now_s=901.0))
        self.assertEqual(ClaimOutcome.NOT_RUN, self.claim(self.key, now_s=110.0))
        self.assertEqual(ClaimOutcome.NOT_RUN, self.claim(self.key, scope="f/v"))
        self.assertEqual(ClaimOutcome.NOT_RUN, self.claim("cp1~é~b~c~d~e"))

    def test_used_keys_are_bounded(self):
        """A full store must refuse new keys rather than discard used ones."""
        keys = [self.keys.issue("f/w", bytes([n]), 100.0) for n in range(3)]
        outcomes = [self.claim(key) for key in keys]
        self.assertEqual(["won", "won", "not-run"], outcomes)
        self.assertEqual(ClaimOutcome.LOST, self.claim(keys[0], 2))
