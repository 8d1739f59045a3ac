"""Test which bytes of an answer readers get."""

import json
import threading

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass.answers import Answer
from cicadapass.failures import failure_problem
from cicadapass.render import AnswerFormat, AnswerHead
from cicadapass_decisions.retry import Abandon
from cicadapass_decisions.types import Verdict

WAIT_S = 20.0
DONE = b"data: [DONE]"
PROBLEM = failure_problem(Abandon(Verdict.UNKNOWN, "test"))
STREAM = AnswerHead("n1.n2.r", 1, "parts", AnswerFormat.EVENT_STREAM)
JSON = AnswerHead("n1.n2.r", 1, "parts", AnswerFormat.JSON)


def _events(data):
    return [line[6:] for line in data.split(b"\n") if line.startswith(b"data: ")]


def _contents(data):
    documents = [json.loads(event) for event in _events(data) if event != b"[DONE]"]
    choices = [
        document["choices"][0] for document in documents if "choices" in document
    ]
    return [document["delta"].get("content", "") for document in choices]


class AnswerTest(testtools.TestCase):
    def test_a_failed_answer_never_looks_complete(self):
        """A failure after the last token must remove the end marker."""
        answer = Answer(STREAM)
        answer.add_tokens(0, ["a", "b"])
        answer.commit(2)
        answer.finish()
        answer.fail(PROBLEM)
        read = answer.read(0, 0.0)
        self.assertTrue(read.ended)
        self.assertNotIn(DONE, read.data)
        self.assertIn("error", json.loads(_events(read.data)[-1]))

    def test_a_failed_json_answer_is_one_document(self):
        """A complete document followed by an error would be read as complete."""
        answer = Answer(JSON)
        answer.add_tokens(0, ["a"])
        answer.finish()
        answer.fail(PROBLEM)
        self.assertEqual(["error"], list(json.loads(answer.read(0, 0.0).data)))

    def test_a_failure_delivers_no_uncommitted_token(self):
        """Another node may compute an uncommitted token with a different value."""
        answer = Answer(STREAM)
        answer.add_tokens(0, ["a", "b", "c"])
        answer.commit(1)
        answer.fail(PROBLEM)
        self.assertEqual(["a"], _contents(answer.read(0, 0.0).data))

    def test_tokens_after_a_failure_change_nothing(self):
        """A late batch of a cancelled attempt must not reach the caller."""
        answer = Answer(STREAM)
        answer.add_tokens(0, ["a", "b"])
        answer.commit(1)
        answer.fail(PROBLEM)
        before = answer.read(0, 0.0).data
        self.assertEqual(0, answer.add_tokens(2, ["c"]))
        answer.commit(3)
        answer.end()
        self.assertEqual(before, answer.read(0, 0.0).data)

    def test_a_gap_is_refused(self):
        """Tokens after a gap would be delivered in place of the missing ones."""
        answer = Answer(STREAM, ["a"])
        self.assertRaises(ValueError, answer.add_tokens, 2, ["c"])
        self.assertEqual(("a",), answer.texts)

    def test_an_unfinished_answer_cannot_end(self):
        """Without its end marker, a JSON answer would end as an empty body."""
        answer = Answer(JSON)
        answer.add_tokens(0, ["a"])
        self.assertRaises(ValueError, answer.end)
        self.assertFalse(answer.ended)

    def test_a_failure_wakes_a_waiting_reader(self):
        """A caller must not wait for an answer that no attempt writes any more."""
        answer = Answer(STREAM)
        reads = []
        reader = threading.Thread(target=lambda: reads.append(answer.read(0, WAIT_S)))
        reader.start()
        answer.fail(PROBLEM)
        reader.join(WAIT_S)
        self.assertTrue(reads[0].ended)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 12), st.integers(0, 5), st.booleans())))
    def test_repeated_and_overlapping_batches_never_repeat_a_token(self, batches):
        """Batches of older attempts may arrive late, repeatedly and out of order."""
        expected = [str(index) for index in range(20)]
        answer = Answer(STREAM)
        for first, count, commit in batches:
            if first <= answer.token_count:
                answer.add_tokens(first, expected[first : first + count])
            if commit:
                answer.commit(answer.token_count)
        answer.finish()
        answer.end()
        data = answer.read(0, 0.0).data
        self.assertEqual(expected[: answer.token_count], _contents(data)[:-1])
        self.assertTrue(data.endswith(DONE + b"\n\n"))

    @settings(derandomize=True, deadline=None)
    @given(st.text(max_size=40), st.integers(0, 2000))
    def test_any_byte_offset_gives_the_rest_of_the_same_bytes(self, text, offset):
        """A caller that reconnects appends the bytes to those that it has."""
        answer = Answer(STREAM, [text, "\n\ndata: [DONE]\n\n"])
        answer.finish()
        answer.end()
        complete = answer.read(0, 0.0).data
        self.assertEqual(complete[offset:], answer.read(offset, 0.0).data)
        self.assertEqual(1, _events(complete).count(b"[DONE]"))
