"""Test when tokens are committed while holders are lost and replaced."""

import threading

import testtools

from cicadapass.answers import Answer
from cicadapass.commits import CopyCommitter
from cicadapass.progress import Acknowledged, HolderLost, Superseded
from cicadapass_decisions.types import NodeAddress
from tests.node.executionharness import chat_request

WAIT_S = 20.0


def address(name):
    """Return the address of a holder with this name."""
    return NodeAddress(name, "1", "f", "dc-b", "127.0.0.1", 1)


class FakeProgressSender:
    """Record what is sent to the holder; the test triggers the events."""

    def __init__(self):
        self.tracked = None
        self.texts = []
        self.done = False
        self.lose_on_add = False
        self.on_track = threading.Event()

    def track(self, request_id, epoch, holder, tokens, listener):
        self.tracked = (holder.name, epoch, tokens)
        self.listener = listener
        self.texts = []
        self.on_track.set()

    def add(self, request_id, texts, done=False):
        if self.tracked is None:
            return False
        if self.lose_on_add:
            self.lose()
            return True
        self.texts += texts
        self.done = self.done or done
        return True

    def ack(self, tokens):
        self.listener(Acknowledged("r", tokens, self.done))

    def lose(self):
        name, self.tracked = self.tracked[0], None
        self.on_track.clear()
        self.listener(HolderLost("r", address(name), "gone"))


class CopyCommitsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.request = chat_request()
        self.answer = Answer(self.request.head)
        self.progress = FakeProgressSender()
        self.copies = []
        self.next_holders = [address("h2")]
        self.superseded = []
        self.slept = threading.Event()
        self.commits = CopyCommitter(
            self.request,
            self.answer,
            self.progress,
            self.copy,
            lambda request_id, epoch: self.superseded.append(epoch),
            self.sleep,
        )

    def sleep(self, seconds):
        self.slept.set()
        threading.Event().wait(0.001)

    def copy(self, copied, lost_holder):
        self.copies.append(
            (copied.epoch, copied.texts, lost_holder and lost_holder.name)
        )
        return self.next_holders.pop(0) if self.next_holders else None

    def add(self, *texts):
        first = self.answer.token_count
        self.answer.add_tokens(first, texts)
        self.commits.tokens_added(first, texts)

    def finish(self):
        self.answer.finish()
        self.commits.finished()

    def wait_for_track(self):
        self.assertTrue(self.progress.on_track.wait(WAIT_S))

    def test_tokens_are_committed_after_the_acknowledgement(self):
        """A token that only this node has would be recomputed if the node failed."""
        self.commits.track(address("h1"), 0)
        self.add(" a", " b")
        self.assertEqual(0, self.answer.committed_tokens)
        self.progress.ack(1)
        self.assertEqual(1, self.answer.committed_tokens)
        self.finish()
        self.assertFalse(self.answer.ended)
        self.progress.ack(2)
        self.assertTrue(self.answer.ended)

    def test_new_holder_gets_each_token_once(self):
        """A gap or a repeated token would corrupt the copy."""
        self.commits.track(address("h1"), 0)
        self.add(" a", " b")
        self.progress.lose()
        self.wait_for_track()
        self.add(" c")
        copied_epoch, texts, lost_holder = self.copies[0]
        self.assertEqual("h1", lost_holder)
        self.assertGreater(copied_epoch, self.request.epoch)
        self.assertEqual(("h2", copied_epoch, len(texts)), self.progress.tracked)
        self.assertEqual([" a", " b", " c"], [*texts, *self.progress.texts])

    def test_answer_is_delivered_without_a_holder(self):
        """Callers must not wait for a copy that no node can store."""
        self.next_holders = []
        self.commits.track(address("h1"), 0)
        self.add(" a")
        self.progress.lose()
        self.assertTrue(self.slept.wait(WAIT_S))
        self.add(" b")
        self.assertEqual(2, self.answer.committed_tokens)
        self.next_holders = [address("h3")]
        self.wait_for_track()
        self.assertEqual("h3", self.progress.tracked[0])
        self.add(" c")
        self.assertEqual(2, self.answer.committed_tokens)
        self.finish()
        self.progress.ack(3)
        self.assertTrue(self.answer.ended)

    def test_answer_without_a_copy_ends(self):
        """The end must reach the caller although no holder acknowledges it."""
        self.next_holders = []
        searcher = threading.Thread(target=self.commits.search_holder)
        searcher.start()
        self.assertTrue(self.slept.wait(WAIT_S))
        self.add(" a")
        self.finish()
        self.assertTrue(self.answer.ended)
        searcher.join(WAIT_S)
        self.assertFalse(searcher.is_alive())

    def test_holder_lost_while_tokens_are_sent(self):
        """The sender may report the loss while tokens are being added."""
        self.commits.track(address("h1"), 0)
        self.progress.lose_on_add = True
        adder = threading.Thread(target=self.add, args=(" a",), daemon=True)
        adder.start()
        adder.join(WAIT_S)
        self.assertFalse(adder.is_alive())

    def test_superseded_request_is_reported(self):
        """Two owners would write two answers."""
        self.commits.track(address("h1"), 0)
        self.progress.listener(Superseded("r", 7))
        self.assertEqual([7], self.superseded)
