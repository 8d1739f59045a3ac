"""Test the copies stored for other nodes and their take-over."""

from dataclasses import replace

import testtools
from expression import Error
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass import copies
from cicadapass.copies import Copies, take_over_for_caller
from cicadapass.copiesmessages import (
    CopiesDependencies,
    CopiesTick,
    DeclaredGone,
    FindCopy,
    OwnerCheckCompleted,
    OwnerGone,
)
from cicadapass.copystore import CopyStore
from cicadapass.peererrors import PeerError, PeerFault
from cicadapass.supervisor import (
    ComponentRef,
    StartComponent,
    StopComponents,
    Supervisor,
)
from cicadapass.timers import TimerService
from cicadapass_common.copymessages import (
    Binding,
    CopiedRequest,
    CopyReply,
    CopyRequest,
    CopyStatus,
    HandOver,
    OwnerCheck,
    Progress,
    ProgressItem,
    Release,
    ReleaseItem,
)
from cicadapass_common.messages import Done
from tests.node.clusterharness import Clock
from tests.node.peerharness import WAIT_S, Node, address

BINDING = Binding("grabhandle", "counter", "ab")
COPY = CopiedRequest("o.h.1", 1, BINDING, 5.0, "parts", b"{}", ("a", "b"))
OWNER = address("owner")


def _item(first, texts, epoch=1, done=False, request_id="o.h.1"):
    return ProgressItem(request_id, epoch, first, tuple(texts), done)


class StoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = CopyStore(100_000)
        self.assertEqual(self.store.put(COPY, OWNER, 0.0).status, CopyStatus.ACCEPTED)

    def progress(self, *arguments, **options):
        ack = self.store.progress(_item(*arguments, **options), 0.0)
        return ack.status, ack.tokens

    def texts(self):
        return "".join(self.store.copies["o.h.1"].texts)

    def test_duplicate_and_out_of_order(self):
        """Late or repeated tokens must neither repeat nor shift the answer."""
        self.assertEqual(self.progress(3, "d"), (CopyStatus.GAP, 2))
        self.assertEqual(self.progress(2, "cd"), (CopyStatus.ACCEPTED, 4))
        self.assertEqual(self.progress(1, "bc"), (CopyStatus.ACCEPTED, 4))
        self.assertEqual(self.progress(3, "de", done=True), (CopyStatus.ACCEPTED, 5))
        self.assertEqual(self.progress(0, "ab"), (CopyStatus.ACCEPTED, 5))
        self.assertEqual(self.texts(), "abcde")
        self.assertTrue(self.store.copies["o.h.1"].finished)

    def test_different_tokens(self):
        """Tokens that differ from the stored ones must not be acknowledged."""
        self.assertEqual(self.progress(1, "xc"), (CopyStatus.UNKNOWN, 0))
        self.assertEqual(self.texts(), "ab")

    def test_memory_limit(self):
        """A holder must refuse rather than run out of memory."""
        large = replace(COPY, request_id="o.h.2", document=b"x" * 90_000)
        self.assertEqual(self.store.put(large, OWNER, 0.0).status, CopyStatus.ACCEPTED)
        excess = replace(large, request_id="o.h.3")
        self.assertEqual(self.store.put(excess, OWNER, 0.0).status, CopyStatus.FULL)
        status, tokens = self.progress(2, ["y" * 10_000])
        self.assertEqual((status, tokens), (CopyStatus.FULL, 2))
        for request_id in ("o.h.1", "o.h.2"):
            self.store.release(ReleaseItem(request_id, 1))
        self.assertEqual((self.store.used_bytes, self.store.copies), (0, {}))

    def test_older_copy_does_not_outlive_a_refused_one(self):
        """An old copy would take over with fewer tokens than the caller has seen."""
        large = replace(COPY, epoch=3, document=b"x" * 100_000)
        self.assertEqual(self.store.put(large, OWNER, 0.0).status, CopyStatus.FULL)
        self.assertEqual(self.store.copies, {})

    def test_former_owner_cannot_change_a_later_copy(self):
        """A former owner must neither change nor release a later copy."""
        self.store.put(replace(COPY, epoch=3), OWNER, 0.0)
        self.assertEqual(self.progress(2, "c")[0], CopyStatus.STALE_EPOCH)
        self.assertEqual(self.progress(2, "c", epoch=4)[0], CopyStatus.UNKNOWN)
        self.store.release(ReleaseItem("o.h.1", 1))
        old = self.store.put(COPY, OWNER, 0.0)
        self.assertEqual(old, CopyReply(CopyStatus.STALE_EPOCH, 3))
        self.assertEqual(self.progress(2, "c", epoch=3)[0], CopyStatus.ACCEPTED)

    def test_repeated_copy_request(self):
        """A request repeated after a lost answer must not remove tokens."""
        self.progress(2, "c")
        self.assertEqual(self.store.put(COPY, OWNER, 0.0).status, CopyStatus.ACCEPTED)
        self.assertEqual(self.texts(), "abc")

    CHUNKS = st.lists(st.tuples(st.integers(0, 20), st.integers(1, 6)), max_size=12)

    @settings(derandomize=True, deadline=None)
    @given(CHUNKS)
    def test_any_order_of_progress(self, chunks):
        """Whatever arrives, the copy is a beginning of the answer and never shrinks."""
        answer = "abcdefghijklmnopqrstuvwxyz"
        store = CopyStore(100_000)
        store.put(COPY, OWNER, 0.0)
        previous = 2
        for first, count in chunks:
            ack = store.progress(_item(first, answer[first : first + count]), 0.0)
            texts = "".join(store.copies["o.h.1"].texts)
            self.assertTrue(answer.startswith(texts))
            self.assertEqual(ack.tokens, len(texts))
            self.assertGreaterEqual(len(texts), previous)
            previous = len(texts)


class CopiesTest(testtools.TestCase):
    """Run a holder, and an owner whose replies the test sets."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.adopted = []
        self.adopt = lambda request, epoch: self.adopted.append((request, epoch))
        self.owner_reply = CopyReply(CopyStatus.ACCEPTED, 1)
        self.owner = Node(self, OWNER, [(OwnerCheck, self._check, False)])
        self.component = ComponentRef("copies")
        holder_address = address("holder", "dc-b")
        status = CopyReply(CopyStatus.UNKNOWN, 0)
        holder = self.holder = Node.__new__(Node)
        holder.before_start = lambda: copies.register(
            holder.peers, self.component, lambda *_: status
        )
        holder.__init__(self, holder_address)
        self.timers = TimerService(self.clock)
        dependencies = CopiesDependencies(
            holder.peers,
            self.timers,
            holder.events,
            lambda *a: self.adopt(*a),
            100_000,
            self.clock,
        )
        supervisor = Supervisor.start(holder.events, lambda: None)
        self.addCleanup(supervisor.stop)
        self.addCleanup(supervisor.ask, StopComponents())

        def start():
            ref = Copies.start(supervisor, dependencies)
            self.component.bind(ref)
            return ref

        supervisor.ask(StartComponent("copies", start))
        self.assertEqual(self.send(CopyRequest(COPY)).status, CopyStatus.ACCEPTED)

    def _check(self, inbound):
        if self.owner_reply:
            inbound.reply(self.owner_reply)

    def send(self, message):
        result = self.owner.peers.request(self.holder.address, message, WAIT_S)
        return result.ok

    def send_progress(self, item):
        (ack,) = self.send(Progress((item,))).acks
        return ack.status

    def read(self, binding=BINDING):
        return take_over_for_caller(
            self.component, self.holder.peers, "o.h.1", binding, WAIT_S
        )

    def assert_adopted(self, texts="ab", epoch=2):
        ((request, adopted_epoch),) = self.adopted
        self.assertEqual("".join(request.texts), texts)
        self.assertEqual((request.epoch, adopted_epoch), (epoch, epoch))
        self.assertEqual((request.document, request.binding), (b"{}", BINDING))

    def test_take_over_while_the_old_owner_still_sends(self):
        """A paused owner that resumes must not deliver another answer."""
        self.send_progress(_item(2, "c"))
        self.component.ask(OwnerGone(self.owner.address.vm), WAIT_S)
        self.assert_adopted("abc")
        self.assertEqual(self.send_progress(_item(3, "d")), CopyStatus.STALE_EPOCH)
        self.assertEqual(self.send(CopyRequest(COPY)).status, CopyStatus.STALE_EPOCH)
        self.component.ask(OwnerGone(self.owner.address.vm), WAIT_S)
        self.assertEqual(len(self.adopted), 1)
        self.holder.wait_for_event(402, request_id="o.h.1", reason="owner gone")
        self.holder.wait_for_event(405, epoch=1, seen=2)

    def test_other_member_gone(self):
        """The failure of another node must not move this owner's requests."""
        self.component.ask(OwnerGone(address("other").vm), WAIT_S)
        self.assertEqual(self.adopted, [])

    def test_hand_over(self):
        """A leaving owner must not lose tokens that the holder does not have."""
        gap = self.send(HandOver("o.h.1", 1, 3))
        self.assertEqual((gap.status, self.adopted), (CopyStatus.GAP, []))
        reply = self.send(HandOver("o.h.1", 1, 2))
        self.assertEqual(reply, CopyReply(CopyStatus.ACCEPTED, 2))
        self.assert_adopted()
        again = self.send(HandOver("o.h.1", 1, 2))
        self.assertEqual(again.status, CopyStatus.STALE_EPOCH)
        unknown = self.send(HandOver("o.h.9", 1, 2))
        self.assertEqual(unknown.status, CopyStatus.UNKNOWN)

    def test_failed_adoption(self):
        """A request that cannot be adopted must stay with its owner."""
        self.adopt = lambda *_: 1 / 0
        reply = self.send(HandOver("o.h.1", 1, 2))
        self.assertEqual(reply.status, CopyStatus.UNKNOWN)
        self.holder.wait_for_event(403, request_id="o.h.1")
        self.assertEqual(self.send_progress(_item(2, "c")), CopyStatus.ACCEPTED)

    def test_caller_returns_and_owner_answers(self):
        """A live owner must keep its request."""
        copy = self.read()
        self.assertEqual((copy.owner.name, copy.adopted), ("owner", False))
        self.assertEqual(self.adopted, [])

    def test_caller_returns_and_owner_is_silent(self):
        """A caller must not wait until the members declare the owner gone."""
        self.owner_reply = None
        self.assertTrue(self.read().adopted)
        self.assert_adopted()

    def test_other_caller_cannot_find_the_request(self):
        """Another caller must neither find the request nor move it."""
        self.owner_reply = None
        self.assertIsNone(self.read(replace(BINDING, workspace="other")))
        self.assertEqual(self.adopted, [])

    def test_doubtful_copy(self):
        """A holder that was paused must not take over with old tokens."""
        self.component.ask(DeclaredGone(), WAIT_S)
        self.component.ask(OwnerGone(self.owner.address.vm), WAIT_S)
        self.assertEqual(self.adopted, [])
        self.holder.wait_for_event(403, reason="doubtful copy")
        self.send_progress(_item(2, "c"))
        self.component.ask(OwnerGone(self.owner.address.vm), WAIT_S)
        self.assert_adopted("abc")

    def test_owner_that_lost_the_request(self):
        """A request that its owner lost in a restart must not stay unanswered."""
        self.clock.now_s += copies.OWNER_SILENCE_S
        self.component.ask(CopiesTick(), WAIT_S)
        self.owner_reply = CopyReply(CopyStatus.UNKNOWN, 1)
        self.clock.now_s += copies.OWNER_SILENCE_S
        self.component.ask(CopiesTick(), WAIT_S)
        self.holder.wait_for_event(402, reason="owner lost the request")
        self.assert_adopted()

    def test_owner_that_is_slow_to_answer(self):
        """One lost check must not move a request for which no caller waits."""
        timeout = Error(PeerError(PeerFault.TIMEOUT, "owner"))
        self.component.ask(OwnerCheckCompleted("o.h.1", 1, timeout, False), WAIT_S)
        self.assertEqual(self.adopted, [])
        self.component.ask(OwnerCheckCompleted("o.h.1", 1, timeout, True), WAIT_S)
        self.assert_adopted()

    def test_owner_with_another_holder(self):
        """A former holder must drop its copy when the owner uses another holder."""
        self.owner_reply = CopyReply(CopyStatus.STALE_EPOCH, 3)
        self.assertIsNone(self.read())
        self.assertEqual(self.adopted, [])

    def test_release_and_expiry(self):
        """Answers that no caller fetches must not exhaust the holder's memory."""
        self.send_progress(_item(2, "c", done=True))
        other = replace(COPY, request_id="o.h.2")
        self.send(CopyRequest(other))
        self.assertEqual(self.send(Release((ReleaseItem("o.h.2", 1),))), Done())
        self.clock.now_s += copies.COPY_RETENTION_S - 1
        self.component.ask(CopiesTick(), WAIT_S)
        self.assertIsNotNone(self.component.ask(FindCopy("o.h.1", BINDING), WAIT_S))
        self.clock.now_s += 1
        self.component.ask(CopiesTick(), WAIT_S)
        self.assertIsNone(self.component.ask(FindCopy("o.h.1", BINDING), WAIT_S))
        self.holder.wait_for_event(401, request_id="o.h.1", reason="expired")
