"""Test the table of owned requests."""

from dataclasses import replace

import testtools

from cicadapass.answers import Answer
from cicadapass.ownership import (
    AddRequest,
    DropRequest,
    ExpireAnswers,
    FindRequest,
    ListUnfinished,
    OwnedRequest,
    Ownership,
    RequestEnded,
)
from tests.node.executionharness import chat_request

WAIT_S = 20.0
RETENTION_S = 10.0


class OwnershipTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.counts = []
        self.stopped = []
        self.expired = []
        self.actor = Ownership.start(
            None,
            RETENTION_S,
            1000,
            self.counts.append,
            self.expired.append,
            lambda: self.now_s,
        )
        self.addCleanup(self.actor.stop)

    def _ask(self, message):
        return self.actor.ask(message, timeout=WAIT_S)

    def _owned(self, name="r", epoch=1, texts=()):
        request = replace(chat_request(), request_id=name, epoch=epoch)
        answer = Answer(request.head, texts)
        return OwnedRequest(request, answer, lambda: self.stopped.append(epoch))

    def _add(self, *args, **kwargs):
        owned = self._owned(*args, **kwargs)
        return owned if self._ask(AddRequest(owned)) else None

    def test_later_epoch_replaces_an_earlier_one(self):
        """Two owners of one request would write two answers."""
        first = self._add(epoch=1)
        self.assertIsNone(self._add(epoch=1))
        second = self._add(epoch=2)
        self.assertIsNone(self._add(epoch=1))
        self.assertIs(second, self._ask(FindRequest("r")))
        self.assertEqual([1], self.stopped)
        self.assertTrue(first.answer.abandoned)

    def test_replaced_request_is_unfinished_again(self):
        """Otherwise a stop would not wait for it, and its end would be ignored."""
        self._add(epoch=1, texts=["abc"])
        self._ask(RequestEnded("r", 1))
        second = self._add(epoch=2)
        self.assertEqual((second,), self._ask(ListUnfinished()))
        self._ask(RequestEnded("r", 1))
        self.assertEqual((second,), self._ask(ListUnfinished()))
        self._ask(RequestEnded("r", 2))
        self.assertEqual((), self._ask(ListUnfinished()))
        self.assertEqual([1, 0, 1, 0], self.counts)

    def test_request_of_another_owner_is_dropped(self):
        """Only the owner with the later epoch may answer."""
        owned = self._add(epoch=1)
        self._ask(DropRequest("r", 1))
        self.assertIs(owned, self._ask(FindRequest("r")))
        self._ask(DropRequest("r", 2))
        self.assertIsNone(self._ask(FindRequest("r")))
        self.assertTrue(owned.answer.abandoned)
        self.assertEqual([1], self.stopped)

    def test_only_ended_answers_expire(self):
        """Callers must be able to fetch an ended answer during its retention."""
        self._add("ended")
        self._add("running")
        self._ask(RequestEnded("ended", 1))
        self.now_s = RETENTION_S - 1
        self._ask(ExpireAnswers())
        self.assertIsNotNone(self._ask(FindRequest("ended")))
        self.now_s = 100 * RETENTION_S
        self._ask(ExpireAnswers())
        self.assertIsNone(self._ask(FindRequest("ended")))
        # From now on the holder may drop its copy.
        self.assertEqual(["ended"], self.expired)
        self.assertIsNotNone(self._ask(FindRequest("running")))

    def test_oldest_answers_are_removed_at_the_memory_limit(self):
        """Ended answers must not exhaust the node's memory."""
        for name in ("a", "b", "c"):
            self._add(name, texts=["x" * 500])
            self._ask(RequestEnded(name, 1))
            self._ask(ExpireAnswers())
        remaining = [n for n in "abc" if self._ask(FindRequest(n)) is not None]
        self.assertEqual(["c"], remaining)
        self.assertEqual(["a", "b"], self.expired)
