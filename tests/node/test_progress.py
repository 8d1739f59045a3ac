"""Test sending progress and releases to holders."""

import threading

import testtools
from expression import Error, Ok

from cicadapass.peererrors import PeerError, PeerFault
from cicadapass.progress import (
    MIN_SEND_INTERVAL_S,
    Acknowledged,
    HolderLost,
    ProgressSender,
    Superseded,
)
from cicadapass.releases import ReleaseSender
from cicadapass_common.copymessages import (
    CopyStatus,
    Progress,
    ProgressAck,
    ProgressReply,
    Release,
    ReleaseItem,
)
from cicadapass_common.events import EventLog
from cicadapass_common.messages import Done
from tests.node.clusterharness import Clock
from tests.node.peerharness import WAIT_S, Node, address

HOLDER = address("holder", "dc-b")
OTHER = address("other", "dc-c")
TIMEOUT = Error(PeerError(PeerFault.TIMEOUT, "holder", may_have_arrived=True))


class FakePeers:
    """Record requests until the test answers them."""

    def __init__(self):
        self.requests, self.delayed = [], []

    def request_async(self, target, message, _timeout_s, on_reply):
        """Record a request."""
        self.requests.append((target, message, on_reply))

    def call_later(self, action, _delay_s):
        """Record an action, which the test calls."""
        self.delayed.append(action)

    def next_message(self):
        """Return the message and the reply function of the oldest request."""
        _, message, on_reply = self.requests.pop(0)
        return message, on_reply


def _acks(message, status=CopyStatus.ACCEPTED, epoch=1):
    return Ok(
        ProgressReply(
            tuple(
                ProgressAck(i.request_id, status, epoch, i.first + len(i.texts), i.done)
                for i in message.items
            )
        )
    )


class ProgressTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.peers = FakePeers()
        events = EventLog("a", lambda: (0, 0))
        self.clock, self.delayed = Clock(), self.peers.delayed
        self.sender = ProgressSender(self.peers, events, self.clock)
        self.events = []
        self.track("r1")

    def track(self, request_id, tokens=0, holder=HOLDER, epoch=1):
        self.sender.track(request_id, epoch, holder, tokens, self.events.append)

    def next_message(self):
        """Advance past the send interval; return the next message and its callback."""
        self.clock.now_s += MIN_SEND_INTERVAL_S
        while self.delayed:
            self.delayed.pop(0)()
        return self.peers.next_message()

    def texts(self, message):
        return {
            i.request_id: (i.first, "".join(i.texts), i.done) for i in message.items
        }

    def test_one_outstanding_message_per_holder(self):
        """Under load, a message per token would cost more than the token."""
        self.track("r2")
        self.track("r3", tokens=7, holder=OTHER)
        self.sender.add("r1", ["a"])
        self.sender.add("r1", ["b", "c"])
        self.sender.add("r2", ["x"])
        self.sender.add("r3", ["y"])
        first, reply = self.next_message()
        other, _ = self.next_message()
        self.assertEqual(self.texts(first), {"r1": (0, "a", False)})
        self.assertEqual(self.texts(other), {"r3": (7, "y", False)})
        self.assertEqual((self.peers.requests, self.events), ([], []))
        reply(_acks(first))
        second, reply = self.next_message()
        expected = {"r1": (1, "bc", False), "r2": (0, "x", False)}
        self.assertEqual(self.texts(second), expected)
        self.sender.add("r1", (), done=True)
        reply(_acks(second))
        last, reply = self.next_message()
        self.assertEqual(self.texts(last), {"r1": (3, "", True)})
        reply(_acks(last))
        self.assertEqual(
            self.events,
            [
                Acknowledged("r1", 1, False),
                Acknowledged("r1", 3, False),
                Acknowledged("r2", 1, False),
                Acknowledged("r1", 3, True),
            ],
        )

    def test_gap_between_messages(self):
        """A fast holder must not get one message per token."""
        self.sender.add("r1", ["a"])
        message, reply = self.next_message()
        self.clock.now_s -= MIN_SEND_INTERVAL_S / 2
        self.sender.add("r1", ["b"])
        reply(_acks(message))
        self.sender.add("r1", ["c"])
        self.assertEqual((self.peers.requests, len(self.delayed)), ([], 1))
        message, _ = self.next_message()
        self.assertEqual(self.texts(message), {"r1": (1, "bc", False)})

    def test_long_backlog_is_split(self):
        """The backlog of one request must not exceed the frame limit."""
        self.sender.add("r1", ["x" * 100_000] * 5)
        first, reply = self.next_message()
        self.assertEqual(len(first.items[0].texts), 3)
        reply(_acks(first))
        second, _ = self.next_message()
        self.assertEqual((second.items[0].first, len(second.items[0].texts)), (3, 2))

    def test_lost_answer_is_repeated(self):
        """A lost answer must not cause a full copy to another holder."""
        self.sender.add("r1", ["a"])
        first, reply = self.next_message()
        reply(TIMEOUT)
        second, reply = self.next_message()
        self.assertEqual(first, second)
        reply(_acks(second))
        self.assertEqual(self.events, [Acknowledged("r1", 1, False)])

    def test_failed_holder_is_reported_for_all_its_requests(self):
        """An unreported loss would make callers wait for ever."""
        self.track("r2")
        self.track("r3", holder=OTHER)
        self.sender.add("r1", ["a"])
        self.next_message()[1](TIMEOUT)
        self.next_message()[1](TIMEOUT)
        lost = {(e.request_id, e.holder) for e in self.events}
        self.assertEqual(lost, {("r1", HOLDER), ("r2", HOLDER)})
        self.assertFalse(self.sender.add("r1", ["b"]))
        self.assertEqual(self.peers.requests, [])
        self.track("r1", tokens=2, holder=OTHER, epoch=3)
        self.assertTrue(self.sender.add("r1", ["c"]))
        self.assertEqual(self.texts(self.next_message()[0]), {"r1": (2, "c", False)})

    def test_holder_gone(self):
        """A holder that was declared gone must be reported without a time-out."""
        self.sender.add("r1", ["a"])
        self.sender.on_holder_gone(HOLDER.vm)
        self.assertIsInstance(self.events[0], HolderLost)
        message, reply = self.next_message()
        reply(_acks(message))
        self.assertEqual(len(self.events), 1)

    def test_superseded_owner(self):
        """An owner whose request was taken over must stop answering it."""
        self.sender.add("r1", ["a"])
        message, reply = self.next_message()
        reply(_acks(message, CopyStatus.STALE_EPOCH, 2))
        self.assertEqual(self.events, [Superseded("r1", 2)])
        self.assertFalse(self.sender.add("r1", ["b"]))

    def test_holder_without_the_copy(self):
        """A holder that lost or cannot extend its copy must be replaced."""
        for status in (CopyStatus.UNKNOWN, CopyStatus.FULL, CopyStatus.GAP):
            self.events.clear()
            self.track("r1")
            self.sender.add("r1", ["a"])
            message, reply = self.next_message()
            reply(_acks(message, status))
            self.assertIsInstance(self.events[0], HolderLost, str(status))

    def test_late_answer_of_a_former_holder(self):
        """An acknowledgement of the former copy must not count for the current one."""
        self.sender.add("r1", ["a", "b"])
        message, reply = self.next_message()
        self.track("r1", tokens=1, holder=OTHER, epoch=3)
        reply(_acks(message))
        self.assertEqual(self.events, [])

    def test_no_state_remains(self):
        """State of finished requests must be removed, or memory would grow."""
        self.sender.add("r1", ["a"], done=True)
        message, reply = self.next_message()
        reply(_acks(message))
        self.sender.untrack("r1")
        self.assertEqual((self.sender._streams, self.sender._holders), ({}, {}))


class ReleaseTest(testtools.TestCase):
    def test_release_is_repeated_until_acknowledged(self):
        """An unreleased copy would be executed again when its owner is gone."""
        peers, delayed = FakePeers(), []
        releases = ReleaseSender(peers, lambda action, _s: delayed.append(action))
        releases.release("r1", 1, HOLDER)
        releases.release("r2", 1, HOLDER)
        message, reply = peers.next_message()
        self.assertEqual(message, Release((ReleaseItem("r1", 1),)))
        reply(TIMEOUT)
        self.assertEqual(peers.requests, [])
        delayed.pop()()
        message, reply = peers.next_message()
        items = ReleaseItem("r1", 1), ReleaseItem("r2", 1)
        self.assertEqual(message, Release(items))
        reply(Ok(Done()))
        self.assertEqual((peers.requests, releases._queued), ([], {}))


class ConnectedProgressTest(testtools.TestCase):
    """Run the sender over a real connection to a holder that acknowledges all."""

    def setUp(self):
        super().setUp()
        self.holder = Node(self, HOLDER, [(Progress, self._store_tokens, False)])
        self.owner = Node(self, address("owner"))
        self.sender = ProgressSender(self.owner.peers, self.owner.events)
        self.stored = {}

    def _store_tokens(self, inbound):
        for item in inbound.message.items:
            texts = self.stored.setdefault(item.request_id, [])
            if item.first == len(texts):
                texts += item.texts
        inbound.reply(_acks(inbound.message).ok)

    def test_all_tokens_arrive_in_few_messages(self):
        """Tokens added by many threads must be acknowledged once each, in batches."""
        streams, tokens = 20, 200
        finished = [threading.Event() for _ in range(streams)]
        counts = [[] for _ in range(streams)]

        def listen(n, event):
            counts[n].append(event.tokens)
            if event.done:
                finished[n].set()

        def run(n):
            for token in range(tokens):
                self.sender.add(str(n), [f"{token} "], done=token == tokens - 1)

        for n in range(streams):
            self.sender.track(
                str(n), 1, self.holder.address, 0, lambda e, n=n: listen(n, e)
            )
            threading.Thread(target=run, args=(n,)).start()
        for done_event in finished:
            self.assertTrue(done_event.wait(WAIT_S))
        answer = [f"{token} " for token in range(tokens)]
        self.assertEqual(self.stored, {str(n): answer for n in range(streams)})
        self.assertTrue(all(c == sorted(set(c)) for c in counts), str(counts))
        messages = self.owner.peers.traffic().sent["progress"].messages
        self.assertLess(messages, streams * tokens / 2)

    def test_holder_that_stops(self):
        """A stopped holder must be reported as lost."""
        lost = threading.Event()

        def listen(event):
            if isinstance(event, HolderLost):
                lost.set()

        self.sender.track("r1", 1, self.holder.address, 0, listen)
        self.sender.add("r1", ["a"])
        self.holder.peers.stop()
        self.sender.add("r1", ["b"])
        self.assertTrue(lost.wait(WAIT_S))
        self.owner.wait_for_event(406, request_id="r1")
