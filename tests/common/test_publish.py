"""Test publishing on a log with faults."""

import testtools
from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_common.publish import (
    MAX_ATTEMPTS,
    PublishAccepted,
    PublishConflict,
    PublishDependencies,
    PublishRejected,
    PublishUnknown,
    publish,
    read_to_end,
)
from cicadapass_common.records import decode_log_record, encode_record
from cicadapass_decisions.fold import (
    EvaluatedPublish,
    FoldState,
    fold,
    skip_to,
    to_snapshot,
)
from cicadapass_decisions.logrecords import Publish, PublishOutcome
from tests.common.memorylog import MemoryLog

EXAMPLES = 200
FAULTS = st.sampled_from(
    ["none", "none", "answer", "append", "down", "cut", "race", "late"]
)


def _validate(document):
    return Ok(document) if "bad" not in document else Error(("bad",))


def _request(publish_id="p", base=-1, **document):
    return Publish(publish_id, base, f"by-{publish_id}", {"id": publish_id} | document)


def _verdicts(log):
    """Return all verdicts that a reader of the whole log finds, by publish id."""
    state, verdicts = skip_to(FoldState(), 0), {}
    for raw in log.records:
        record = decode_log_record(raw.offset, raw.time_s, raw.data)
        state, evaluated = fold(state, record, _validate)
        if isinstance(evaluated, EvaluatedPublish):
            verdicts.setdefault(evaluated.publish_id, []).append(evaluated.verdict)
    return verdicts


class PublishTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.log = MemoryLog()
        self.waits_s = []

    def publish(self, request, state=None, base_document=None):
        dependencies = PublishDependencies(
            self.log, _validate, lambda old, new: (old, new), self.waits_s.append
        )
        return publish(dependencies, request, state or FoldState(), base_document)

    def put(self, request):
        return self.log.put(encode_record(request).ok)

    def test_accepted_version_is_the_offset(self):
        """The returned version must be the offset of the record."""
        self.assertEqual(PublishAccepted(0), self.publish(_request()))
        self.assertEqual(PublishAccepted(1), self.publish(_request("q", 0)))
        self.assertEqual((2, []), (self.log.appends, self.waits_s))

    def test_lost_answer_is_read_back(self):
        """A publish whose answer was lost must not be appended twice."""
        self.log.lose_answers = 1
        self.assertEqual(PublishAccepted(0), self.publish(_request()))
        self.assertEqual((1, []), (self.log.end_offset, self.waits_s))

    def test_append_that_takes_effect_after_the_retry_is_harmless(self):
        """A delayed first append must not undo or repeat the publish."""
        self.log.lose_appends = 1
        self.assertEqual(PublishAccepted(0), self.publish(_request()))
        self.put(_request())
        state = read_to_end(self.log, FoldState(), _validate).ok
        self.assertEqual(0, state.version)

    def test_conflict_contains_the_winners_change(self):
        """A conflict must describe the change that won the race."""
        self.log.on_append = lambda: self.put(_request("winner"))
        result = self.publish(_request(), base_document=None)
        winner = {"id": "winner"}
        expected = PublishConflict(0, "by-winner", 0, (None, winner))
        self.assertEqual(expected, result)

    def test_stale_base_is_not_appended(self):
        """A publish that can only conflict must not be appended."""
        self.put(_request("winner"))
        self.assertIsInstance(self.publish(_request()), PublishConflict)
        self.assertEqual(0, self.log.appends)

    def test_invalid_document_is_not_appended(self):
        """An invalid document must not reach the log."""
        result = self.publish(_request(bad=1))
        self.assertEqual(PublishRejected(("bad",)), result)
        self.assertEqual(0, self.log.appends)

    def test_outage_has_no_effect(self):
        """The result must say whether the publish may still take effect."""
        self.log.down = True
        result = self.publish(_request())
        self.assertIsInstance(result, PublishUnknown)
        self.assertFalse(result.may_have_taken_effect)
        self.assertEqual(MAX_ATTEMPTS - 1, len(self.waits_s))

    def test_publisher_starts_from_a_snapshot(self):
        """Publishing must wait for a snapshot if the first records have expired."""
        self.put(_request())
        self.put(_request("q", 0))
        state = read_to_end(self.log, FoldState(), _validate).ok
        self.log.expire(2)
        self.assertIsInstance(self.publish(_request("r", 1)), PublishUnknown)
        self.assertEqual(0, self.log.appends)
        self.put(to_snapshot(state))
        self.assertEqual(PublishAccepted(3), self.publish(_request("r", 1)))

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(st.lists(st.lists(FAULTS, max_size=4), min_size=1, max_size=8))
    def test_reported_results_agree_with_the_log(self, plans):
        """Results that were returned must agree with the log under any faults."""
        self.log, results = MemoryLog(), {}
        for number, plan in enumerate(plans):
            state = read_to_end(self.log, FoldState(), _validate).ok
            request = _request(f"p{number}", state.version)
            steps = iter(plan)
            self.log.on_append = lambda s=steps, r=request: self.inject_fault(s, r)
            results[request.publish_id] = self.publish(request, state)
            self.log.on_append, self.log.down = None, False
            self.log.outage_after_append = False
        verdicts = _verdicts(self.log)
        for publish_id, result in results.items():
            outcomes = {verdict.outcome for verdict in verdicts.get(publish_id, [])}
            self.assertLessEqual(len(outcomes), 1)
            match result:
                case PublishAccepted(version):
                    self.assertEqual({PublishOutcome.ACCEPTED}, outcomes)
                    self.assertEqual(version, verdicts[publish_id][0].version)
                case PublishConflict():
                    self.assertNotIn(PublishOutcome.ACCEPTED, outcomes)
                case PublishUnknown(may_have_taken_effect=False):
                    self.assertEqual(set(), outcomes)

    def inject_fault(self, steps, request):
        fault = next(steps, "none")
        self.log.lose_answers = int(fault == "answer")
        self.log.lose_appends = int(fault == "append")
        self.log.down = fault == "down"
        self.log.outage_after_append = fault == "cut"
        if fault == "race":
            self.put(_request(f"other-{self.log.end_offset}", request.base_offset))
        if fault == "late":
            # An earlier attempt, whose answer was lost, takes effect only now.
            self.put(request)
