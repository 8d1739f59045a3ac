"""Test the fold of configuration records."""

from dataclasses import replace

import testtools
from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions import fold as fold_module
from cicadapass_decisions.fold import (
    Adopted,
    EvaluatedPublish,
    FoldState,
    adopt,
    first_verdict,
    fold,
    has_lost_snapshot,
    needs_reappend,
    skip_to,
    to_snapshot,
)
from cicadapass_decisions.logrecords import (
    LogRecord,
    Publish,
    PublishOutcome,
    Unreadable,
)

RETENTION_S = 300.0
EXAMPLES = 300
ids = st.sampled_from("abcdefgh")
lags = st.sampled_from([0, 0, 0, 1, 2, 3])
publishes = st.tuples(st.just("publish"), ids, lags, st.booleans())
snapshots = st.tuples(st.just("snapshot"), st.integers(0, 4))
histories = st.lists(
    st.one_of(publishes, publishes, snapshots, st.tuples(st.just("junk"))),
    min_size=5,
    max_size=25,
)


def _validate(document):
    if document.get("crash"):
        raise RecursionError
    return Ok(document) if document["valid"] else Error(("invalid",))


def build(history):
    """Return the records and a full reader's state before and after each."""
    states, records = [skip_to(FoldState(), 0)], []
    for offset, step in enumerate(history):
        record = LogRecord(offset, float(offset), _body_of(step, offset, states))
        records.append(record)
        states.append(fold(states[-1], record, _validate)[0])
    return records, states


def _body_of(step, offset, states):
    match step:
        case ("publish", publish_id, lag, valid):
            # A publisher may use a base that is no longer in force.
            base = states[max(0, len(states) - 1 - lag)].version
            return Publish(publish_id, base, "op", {"valid": valid, "n": offset})
        case ("snapshot", lag):
            return to_snapshot(states[max(0, len(states) - 1 - lag)])
        case _:
            return Unreadable("junk")


def _configuration(state):
    return (
        state.version,
        state.publish_id,
        state.document,
        list(state.verdicts.items()),
        state.next_offset,
    )


def _publish_record(offset, base, publish_id="p", **document):
    body = Publish(publish_id, base, "op", {"valid": True} | document)
    return LogRecord(offset, float(offset), body)


class AgreementTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        # The histories are long enough to reach these small bounds.
        self.patch(fold_module, "MAX_PUBLISH_IDS", 3)
        self.patch(fold_module, "MAX_BUFFERED_RECORDS", 2)

    def check_reader(self, state, records, states):
        """Fold the records; compare each complete state with the full reader's."""
        for record in records:
            before = state
            state, _ = fold(state, record, _validate)
            self.assertGreaterEqual(state.version, before.version)
            self.assertGreaterEqual(state.next_offset, before.next_offset)
            if state.complete:
                expected = states[state.next_offset]
                self.assertEqual(_configuration(expected), _configuration(state))
        return state

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(histories, st.integers(0, 24))
    def test_readers_that_start_anywhere_agree(self, history, start):
        """A reader that starts late must not get a different configuration."""
        records, states = build(history)
        start %= len(records)
        self.check_reader(skip_to(FoldState(), start), records[start:], states)

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(histories, st.integers(0, 24), st.integers(0, 24))
    def test_reader_with_a_gap_agrees_and_never_reverts(self, history, stop, gap):
        """A reader whose next offset expired must not return to an older version."""
        records, states = build(history)
        stop %= len(records)
        state = self.check_reader(states[0], records[:stop], states)
        resumed = skip_to(state, min(stop + gap, len(records)))
        self.assertEqual(state.version, resumed.version)
        self.check_reader(resumed, records[stop + gap :], states)

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(histories, st.integers(0, 24), st.integers(0, 24), st.integers(0, 24))
    def test_snapshot_from_a_peer_agrees(self, history, start, stop, peer):
        """A peer's snapshot, old or new, must not make a reader differ."""
        records, states = build(history)
        start %= len(records)
        stop = start + stop % (len(records) - start + 1)
        state = skip_to(FoldState(), start)
        state = self.check_reader(state, records[start:stop], states)
        snapshot = to_snapshot(states[peer % len(states)])
        adopted, _ = adopt(state, snapshot, _validate)
        self.assertGreaterEqual(adopted.version, state.version)
        self.assertGreaterEqual(adopted.next_offset, state.next_offset)
        if adopted.complete:
            expected = states[adopted.next_offset]
            self.assertEqual(_configuration(expected), _configuration(adopted))
        # A reader that adopts a snapshot reads some records again.
        self.check_reader(adopted, records[start:], states)

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(histories)
    def test_each_version_is_replaced_by_exactly_one_publish(self, history):
        """Two publishes on one base must not both be accepted."""
        records, states = build(history)
        version = -1
        for record, before in zip(records, states, strict=False):
            _, verdict = fold(before, record, _validate)
            if not isinstance(verdict, EvaluatedPublish) or verdict.duplicate:
                continue
            if verdict.verdict.outcome is PublishOutcome.ACCEPTED:
                self.assertEqual(version, record.body.base_offset)
                self.assertTrue(record.body.document["valid"])
                version = record.offset
            self.assertEqual(version, verdict.verdict.version)


class FoldTest(testtools.TestCase):
    def fold_all(self, *records):
        state, verdict = skip_to(FoldState(), 0), None
        for record in records:
            state, verdict = fold(state, record, _validate)
        return state, verdict

    def test_duplicate_gets_the_first_verdict(self):
        """A retry after a lost response must not conflict with its first attempt."""
        state, evaluated = self.fold_all(
            _publish_record(0, -1), _publish_record(1, 0, "q"), _publish_record(2, -1)
        )
        self.assertTrue(evaluated.duplicate)
        self.assertEqual(PublishOutcome.ACCEPTED, evaluated.verdict.outcome)
        self.assertEqual(0, evaluated.verdict.version)
        self.assertEqual(1, state.version)

    def test_conflict_names_the_winner(self):
        """An operator whose publish conflicts must learn the author in force."""
        _, evaluated = self.fold_all(
            _publish_record(0, -1), _publish_record(1, -1, "q")
        )
        self.assertEqual(PublishOutcome.CONFLICT, evaluated.verdict.outcome)
        self.assertEqual(
            (0, "op"), (evaluated.verdict.version, evaluated.verdict.author)
        )

    def test_document_that_crashes_the_validation_is_rejected(self):
        """A document that crashes the validity check must not stop the readers."""
        state, evaluated = self.fold_all(_publish_record(0, -1, crash=True))
        self.assertEqual(PublishOutcome.REJECTED, evaluated.verdict.outcome)
        self.assertEqual(-1, state.version)

    def test_publish_in_force_stays_a_duplicate(self):
        """The publish in force must stay a duplicate however many others follow."""
        self.patch(fold_module, "MAX_PUBLISH_IDS", 1)
        state, _ = self.fold_all(_publish_record(0, -1), _publish_record(1, -1, "q"))
        self.assertEqual(0, first_verdict(state, "p").version)

    def test_snapshot_applies_the_buffered_records(self):
        """Records between a snapshot's state and its offset must not be lost."""
        first, _ = self.fold_all(_publish_record(0, -1))
        late = _publish_record(1, 0, "q")
        state, _ = fold(skip_to(FoldState(), 1), late, _validate)
        snapshot = LogRecord(2, 2.0, to_snapshot(first))
        state, verdict = fold(state, snapshot, _validate)
        self.assertIsInstance(verdict, Adopted)
        self.assertEqual((1, 3), (state.version, state.next_offset))

    def test_older_snapshot_after_a_gap_is_not_adopted(self):
        """A snapshot of an older version must not revert the configuration."""
        old, _ = self.fold_all(_publish_record(0, -1))
        new, _ = self.fold_all(_publish_record(0, -1), _publish_record(1, 0, "q"))
        gap = skip_to(new, 9)
        stale = replace(to_snapshot(old), folded_through=8)
        state, _ = fold(gap, LogRecord(9, 9.0, stale), _validate)
        self.assertEqual((1, False), (state.version, state.complete))

    def test_snapshot_is_due_although_publishes_are_recent(self):
        """Publishes alone must not let the last usable snapshot expire."""
        state, _ = self.fold_all(_publish_record(0, -1))
        self.assertFalse(needs_reappend(state, 99.0, RETENTION_S))
        recent = replace(_publish_record(1, 0, "q"), time_s=99.0)
        state, _ = fold(state, recent, _validate)
        self.assertTrue(needs_reappend(state, 100.0, RETENTION_S))
        snapshot = LogRecord(2, 100.0, to_snapshot(state))
        state, _ = fold(state, snapshot, _validate)
        self.assertFalse(needs_reappend(state, 199.0, RETENTION_S))
        self.assertFalse(needs_reappend(FoldState(), 1e9, RETENTION_S))
        self.assertFalse(has_lost_snapshot(state, 2))
        self.assertTrue(has_lost_snapshot(state, 3))
