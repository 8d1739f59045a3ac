"""Test the answers to operators who publish through a node."""

import json

import testtools

from cicadapass.configcomponents import _to_answer
from cicadapass_common.operator_api import PublishAnswer, parse_answer
from cicadapass_common.publish import (
    PublishAccepted,
    PublishConflict,
    PublishRejected,
    PublishUnknown,
)
from cicadapass_decisions.options import to_document

RESULTS = {
    "accepted": PublishAccepted(3),
    "rejected": PublishRejected(("/fleets: missing",)),
    "conflict": PublishConflict(4, "ann", 5, ("added service f/x",)),
    "unknown": PublishUnknown("the log is down", True),
}


class PublishAnswerTest(testtools.TestCase):
    def test_each_result_has_an_answer(self):
        """A rejected publish must not look like a failure of the node."""
        for outcome, result in RESULTS.items():
            answer = _to_answer(result)
            self.assertEqual(outcome, answer.outcome)
            text = json.dumps(to_document(answer))
            self.assertEqual(answer, parse_answer(text, PublishAnswer).ok)

    def test_a_conflict_names_the_winner(self):
        """The operator must see whose change was first."""
        answer = _to_answer(RESULTS["conflict"])
        self.assertEqual(5, answer.version)
        self.assertIn("ann published first", answer.details)

    def test_unknown_publish_result_reports_a_possible_write(self):
        """A retry needs to know whether the document may be in the log."""
        self.assertIn("may have been", _to_answer(RESULTS["unknown"]).details[1])
