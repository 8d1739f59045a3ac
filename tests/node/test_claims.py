"""Test the claim log, the claims component and the batcher."""

import logging
import threading

import pykka
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass.claimlog import EMPTY_BATCH_INTERVAL_S, ClaimLog
from cicadapass.claims import (
    BATCH_WAIT_S,
    MAX_BATCH_CLAIMS,
    MAX_WAITING_CLAIMS,
    CatchUpClaims,
    ClaimBatcher,
    ClaimIssuedKey,
    ClaimsComponent,
    FlushClaims,
    IssueKey,
    SubmitClaims,
)
from cicadapass.supervisor import ComponentRef
from cicadapass_common.events import LOGGER_NAME, EventLog
from cicadapass_common.records import encode_record
from cicadapass_decisions.claims import ClaimOutcome, hash_key, hash_payload
from cicadapass_decisions.issuedkeys import IssuedKeys
from cicadapass_decisions.logrecords import Claim, ClaimBatch
from tests.common.memorylog import MemoryLog

WINDOW_S = 3600.0
RETENTION_S = 86400.0
WAIT_S = 30.0
EXAMPLES = 200
WON, LOST, NOT_RUN = ClaimOutcome.WON, ClaimOutcome.LOST, ClaimOutcome.NOT_RUN


def _claim(key, number, payload=b"p"):
    return Claim(
        hash_key("f", "w", "s", str(key)),
        hash_payload("POST", "/", payload),
        number.to_bytes(8, "big"),
        f"request-{number}",
        "vm-1",
    )


class _ClaimTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(logging.getLogger(LOGGER_NAME), "disabled", True)
        self.now_s = 0.0
        self.log = MemoryLog()
        self.events = EventLog("vm-1", lambda: (0, 0))

    def claim_log(self, max_claims=1000):
        return ClaimLog(
            self.log,
            self.events,
            WINDOW_S,
            RETENTION_S,
            max_claims,
            lambda: self.now_s,
        )

    def outcomes(self, claim_log, *claims):
        return [verdict.outcome for verdict in claim_log.evaluate(claims)]

    def put(self, *claims):
        self.log.put(encode_record(ClaimBatch(claims)).ok)


class ClaimLogTest(_ClaimTestCase):
    def test_same_key_at_two_batchers_at_once(self):
        """Two data centres that claim a key concurrently must not both win."""
        first, second = self.claim_log(), self.claim_log()
        first.catch_up()
        second.catch_up()
        self.log.on_append = lambda: self.put(_claim("k", 1))
        (verdict,) = second.evaluate([_claim("k", 2)])
        self.assertEqual((LOST, "request-1"), (verdict.outcome, _winner(verdict)))
        self.log.on_append = None
        self.assertEqual([WON], self.outcomes(first, _claim("k", 1)))

    def test_restarted_batcher_keeps_the_winners(self):
        """A key won before a batcher's crash must not be won again."""
        self.assertEqual([WON], self.outcomes(self.claim_log(), _claim("k", 1)))
        restarted = self.claim_log()
        self.assertEqual([LOST], self.outcomes(restarted, _claim("k", 2)))
        self.assertEqual([WON], self.outcomes(restarted, _claim("k", 1)))
        self.assertEqual(1, self.log.appends)

    def test_claim_wins_when_the_append_answer_is_lost(self):
        """A claim in the log must win although the append's answer was lost."""
        self.log.lose_answers = 1
        self.assertEqual([WON], self.outcomes(self.claim_log(), _claim("k", 1)))

    def test_claim_is_not_run_when_the_append_is_lost(self):
        """A claim that cannot be read back must not win, even if it appears later."""
        claim_log = self.claim_log()
        self.log.lose_appends = 1
        self.assertEqual([NOT_RUN], self.outcomes(claim_log, _claim("k", 1)))
        self.put(_claim("k", 1))
        claim_log.catch_up()
        self.assertEqual([LOST], self.outcomes(claim_log, _claim("k", 2)))

    def test_log_down_is_not_run_but_known_keys_are_answered(self):
        """An outage must refuse new keys and still replay the winners' answers."""
        claim_log = self.claim_log()
        self.log.down = True
        self.assertEqual([NOT_RUN], self.outcomes(claim_log, _claim("k", 1)))
        self.log.down = False
        self.assertEqual([WON], self.outcomes(claim_log, _claim("k", 1)))
        self.log.down = True
        claims = [_claim("k", 2), _claim("other", 3)]
        self.assertEqual([LOST, NOT_RUN], self.outcomes(claim_log, *claims))

    def test_outage_before_the_read_back_is_not_run(self):
        """A claim must not win before its batch was read back."""
        claim_log = self.claim_log()
        claim_log.catch_up()
        self.log.outage_after_append = True
        self.assertEqual([NOT_RUN], self.outcomes(claim_log, _claim("k", 1)))

    def test_only_the_windows_are_loaded(self):
        """A restarted batcher must not read all claims of a day."""
        for minute in range(600):
            self.log.now_s = 60.0 * minute
            self.put(_claim(minute, minute))
        claim_log = self.claim_log()
        claim_log.catch_up()
        self.assertGreaterEqual(self.log.records_read, 180)
        loaded = [e.fields for e in self.events.recent() if e.number == 600]
        self.assertEqual([{"offset": 600, "claims": 60}], loaded)
        self.assertEqual([LOST], self.outcomes(claim_log, _claim(541, 700)))
        self.assertEqual([WON], self.outcomes(claim_log, _claim(300, 701)))
        # Three windows have 180 records; the search for their start reads single ones.
        self.assertLess(self.log.records_read, 220)

    def test_expired_log_loads_the_remaining_records(self):
        """A batcher must start on a log whose first records have expired."""
        for number in range(10):
            self.put(_claim(number, number))
        self.log.expire(7)
        claim_log = self.claim_log()
        self.assertEqual([LOST], self.outcomes(claim_log, _claim(8, 20)))
        self.log.expire(20)
        self.assertEqual([WON], self.outcomes(self.claim_log(), _claim("k", 21)))

    def test_claims_that_expired_unread_block_new_keys(self):
        """A key whose earlier claim was lost with the log must not be won."""
        claim_log = self.claim_log()
        self.outcomes(claim_log, _claim("a", 1))
        self.put(_claim("k", 2))
        self.log.expire(2)
        self.assertEqual([NOT_RUN], self.outcomes(claim_log, _claim("k", 3)))
        self.assertEqual([NOT_RUN], self.outcomes(claim_log, _claim("k", 3)))
        self.assertEqual([LOST], self.outcomes(claim_log, _claim("a", 4)))
        self.now_s += WINDOW_S
        self.assertEqual([WON], self.outcomes(claim_log, _claim("other", 5)))

    def test_gap_of_a_whole_retention_blocks_nothing(self):
        """A batcher without the log for a day must claim again immediately."""
        claim_log = self.claim_log()
        self.outcomes(claim_log, _claim("a", 1))
        self.put(_claim("b", 2))
        self.log.expire(2)
        self.now_s += RETENTION_S
        self.assertEqual([WON], self.outcomes(claim_log, _claim("k", 3)))

    def test_full_index_refuses_until_claims_expire(self):
        """A full index must neither lose a key nor refuse claims for ever."""
        claim_log = self.claim_log(max_claims=2)
        claims = [_claim(number, number) for number in range(4)]
        self.assertEqual([WON, WON], self.outcomes(claim_log, *claims[:2]))
        self.assertEqual([NOT_RUN], self.outcomes(claim_log, claims[2]))
        self.log.now_s += WINDOW_S
        self.now_s += EMPTY_BATCH_INTERVAL_S
        self.assertEqual([WON], self.outcomes(claim_log, claims[2]))

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["judge", "judge", "judge", "restart", "age"]),
                st.integers(0, 2),
                st.lists(st.integers(0, 3), min_size=1, max_size=3),
                st.sampled_from(["", "", "answer", "append", "cut", "down", "late"]),
            ),
            max_size=40,
        )
    )
    def test_no_key_is_won_twice_within_the_window(self, steps):
        """Faults of log and batchers must not give two winners of one key."""
        self.log, winners, number = MemoryLog(), {}, 0
        batchers = [self.claim_log() for _ in range(3)]
        for action, index_of_batcher, keys, fault in steps:
            if action == "restart":
                batchers[index_of_batcher] = self.claim_log()
                continue
            if action == "age":
                self.log.now_s += WINDOW_S / 2
                self.now_s += WINDOW_S / 2
                continue
            claims = [_claim(key, number + i) for i, key in enumerate(keys)]
            number += len(claims)
            self.inject_fault(fault, claims)
            verdicts = batchers[index_of_batcher].evaluate(claims)
            self.inject_fault("", ())
            for key, verdict in zip(keys, verdicts, strict=True):
                if verdict.outcome is WON:
                    last_won_s = winners.get(key, -WINDOW_S)
                    self.assertGreaterEqual(self.log.now_s - last_won_s, WINDOW_S)
                    winners[key] = self.log.now_s

    def inject_fault(self, fault, claims):
        self.log.lose_answers = int(fault == "answer")
        self.log.lose_appends = int(fault == "append")
        self.log.outage_after_append = fault == "cut"
        self.log.down = fault == "down"
        # Another batcher's claims of the same keys are appended just before these.
        competing = [_competing_claim(c) for c in claims] if fault == "late" else []
        self.log.on_append = (lambda: self.put(*competing)) if competing else None


def _competing_claim(claim):
    competing_id = b"r" + claim.claim_id[1:]
    return Claim(claim.key_hash, claim.fingerprint, competing_id, "rival", "vm-2")


def _winner(verdict):
    return verdict.winner_request_id


class _FakeTimers:
    """Record the delays that the component requests; never call an action."""

    def __init__(self):
        self.delays_s = []

    def call_later(self, action, delay_s):
        self.delays_s.append(delay_s)
        return self

    def subscribe(self, action, interval_s):
        return self

    def cancel(self):
        pass


class ClaimsComponentTest(_ClaimTestCase):
    def setUp(self):
        super().setUp()
        self.timers = _FakeTimers()
        _FakeSupervisor.failed.clear()
        self.supervisor = _FakeSupervisor.start()
        self.addCleanup(self.supervisor.stop)
        self.component = self.start_component()
        self.answers = []

    def start_component(self):
        keys = IssuedKeys("vm-1", "i", b"secret", WINDOW_S, 10)
        log, clock = self.claim_log(), lambda: self.now_s
        component = ClaimsComponent.start(
            self.supervisor, "claims", log, keys, self.timers, clock
        )
        self.addCleanup(component.stop)
        return component

    def submit(self, *claims, deadline_s=3.0):
        index = len(self.answers)
        self.answers.append(None)

        def reply(verdicts):
            self.answers[index] = [v.outcome for v in verdicts]

        self.component.ask(SubmitClaims(claims, deadline_s, reply), timeout=WAIT_S)

    def flush(self):
        self.component.ask(FlushClaims(), timeout=WAIT_S)

    def test_claims_of_several_nodes_share_an_append(self):
        """An append per claim would exceed the append rate of the log."""
        self.submit(_claim("a", 1), _claim("b", 2))
        self.submit(_claim("a", 3))
        self.assertEqual([BATCH_WAIT_S], self.timers.delays_s)
        self.flush()
        self.assertEqual([[WON, WON], [LOST]], self.answers)
        self.assertEqual(1, self.log.appends)

    def test_busy_batchers_stay_below_the_log_rate(self):
        """Ten data centres that claim constantly must not exceed 300 appends/s."""
        self.assertLessEqual(10 / BATCH_WAIT_S, 300)

    def test_full_batch_is_not_delayed(self):
        """A batch must not grow beyond its limit while it waits."""
        claims = [_claim(number, number) for number in range(MAX_BATCH_CLAIMS)]
        self.submit(*claims)
        self.assertEqual([[WON] * MAX_BATCH_CLAIMS], self.answers)
        two_batches = [_claim(number, number) for number in range(2 * MAX_BATCH_CLAIMS)]
        self.submit(*two_batches)
        self.assertEqual(2, self.log.appends)

    def test_late_and_excess_claims_are_not_run(self):
        """Late claims and claims beyond the queue limit must not use up keys."""
        self.submit(_claim("a", 1), deadline_s=0.0)
        self.submit(*[_claim("b", 2)] * MAX_WAITING_CLAIMS)
        self.flush()
        self.assertEqual([NOT_RUN], self.answers[0])
        self.assertEqual({NOT_RUN}, set(self.answers[1]))
        self.assertEqual(0, self.log.appends)

    def test_crash_refuses_the_waiting_claims(self):
        """Claims queued in a failing component must be answered as not run."""
        self.submit(_claim("a", 1))
        self.log.read = None
        self.component.tell(CatchUpClaims())
        self.assertTrue(_FakeSupervisor.failed.wait(WAIT_S))
        self.assertEqual([[NOT_RUN]], self.answers)

    def test_issued_keys_need_no_log(self):
        """A key that this node issued must work while the log is down."""
        self.log.down = True
        key = self.component.ask(IssueKey("f/w"), timeout=WAIT_S)
        message = ClaimIssuedKey("f/w", key, _claim(key, 1))
        self.assertEqual(WON, self.component.ask(message, timeout=WAIT_S).outcome)

    def test_issued_key_is_refused_after_a_restart(self):
        """A restarted component must not accept a key that was used before."""
        key = self.component.ask(IssueKey("f/w"), timeout=WAIT_S)
        for component, outcome in [
            (self.component, WON),
            (self.start_component(), NOT_RUN),
        ]:
            message = ClaimIssuedKey("f/w", key, _claim(key, outcome == WON))
            self.assertEqual(outcome, component.ask(message, timeout=WAIT_S).outcome)

    def test_evaluate_returns_verdicts_or_not_run(self):
        """A caller must get an answer even if the component does not run."""
        ref = ComponentRef("claims")
        batcher = ClaimBatcher(ref, lambda: self.now_s)
        claims = (_claim("a", 1),)
        self.assertEqual(NOT_RUN, batcher.evaluate(claims)[0].outcome)
        ref.bind(self.component)
        # The fake timer never flushes, so the time-out ends the wait.
        self.assertEqual(NOT_RUN, batcher.evaluate(claims, 0.05)[0].outcome)
        full_batch = tuple(_claim(number, number) for number in range(MAX_BATCH_CLAIMS))
        self.assertEqual(
            {WON}, {v.outcome for v in batcher.evaluate(full_batch, WAIT_S)}
        )


class _FakeSupervisor(pykka.ThreadingActor):
    """Record that a component failed."""

    use_daemon_thread = True
    failed = threading.Event()

    def on_receive(self, message):
        self.failed.set()
