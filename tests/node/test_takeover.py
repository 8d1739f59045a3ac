"""Test the take-over of requests by members, copies and progress together."""

import threading

import testtools

from cicadapass import copies
from cicadapass.copies import Copies
from cicadapass.copiesmessages import CopiesDependencies, OwnerGone
from cicadapass.progress import Acknowledged, ProgressSender, Superseded
from cicadapass.supervisor import ComponentRef, StartComponent
from cicadapass_common.copymessages import (
    Binding,
    CopiedRequest,
    CopyReply,
    CopyRequest,
    CopyStatus,
)
from cicadapass_decisions.membership import MemberState
from tests.node.clusterharness import Clock, Cluster, Member
from tests.node.peerharness import WAIT_S, address

COPY = CopiedRequest("o.h.1", 1, Binding("grabhandle", "w", "c"), 5.0, "parts", b"{}")


class TakeOverTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        clock = Clock()
        self.cut = set()
        self.component, self.adopted = ComponentRef("copies"), []
        unknown = CopyReply(CopyStatus.UNKNOWN, 0)

        def register(peers, _members):
            copies.register(peers, self.component, lambda *_: unknown)

        def member(name, data_centre, **options):
            def allow(target):
                return (name, target.name) not in self.cut

            local = address(name, data_centre)
            return Member(self, local, clock, allow=allow, **options)

        self.holder = member("holder", "dc-b", register=[register])
        self.owner = member("owner", "dc-a")
        self.third = member("third", "dc-a")
        self._start_copies(clock)
        nodes = [self.holder, self.owner, self.third]
        self.cluster = Cluster(*nodes)
        self.cluster.introduce()
        self.cluster.run_until(
            lambda: all(n.state_of(o.address) is not None for n in nodes for o in nodes)
        )
        self.sender = ProgressSender(self.owner.peers, self.owner.events)
        self.events = []
        self.changed = threading.Condition()
        request = CopyRequest(COPY)
        reply = self.owner.peers.request(self.holder.address, request, WAIT_S).ok
        self.assertEqual(reply.status, CopyStatus.ACCEPTED)
        self.sender.track("o.h.1", 1, self.holder.address, 0, self._listen)

    def _start_copies(self, clock):
        holder = self.holder
        dependencies = CopiesDependencies(
            holder.peers,
            holder.timers,
            holder.events,
            lambda request, epoch: self.adopted.append((request.texts, epoch)),
            100_000,
            clock,
        )

        def start():
            ref = Copies.start(holder.supervisor, dependencies)
            self.component.bind(ref)
            return ref

        holder.supervisor.ask(StartComponent("copies", start))
        holder.when_gone = lambda vm: self.component.tell(OwnerGone(vm))

    def _listen(self, event):
        with self.changed:
            self.events.append(event)
            self.changed.notify()

    def wait_for(self, event):
        with self.changed:
            self.assertTrue(self.changed.wait_for(lambda: event in self.events, WAIT_S))

    def test_killed_owner(self):
        """The holder must continue after the last token that a caller may have seen."""
        self.sender.add("o.h.1", ["a", "b"])
        self.wait_for(Acknowledged("o.h.1", 2, False))
        self.owner.peers.stop()
        self.cluster.nodes.remove(self.owner)
        self.cluster.run_until(lambda: self.adopted)
        self.assertEqual(self.adopted, [(("a", "b"), 2)])

    def test_owner_returns_from_a_partition(self):
        """An owner that returns from a partition must stop delivering."""
        self.sender.add("o.h.1", ["a"])
        self.wait_for(Acknowledged("o.h.1", 1, False))
        pairs = [("holder", "owner"), ("third", "owner")]
        self.cut.update(pairs + [(b, a) for a, b in pairs])
        self.cluster.run_until(lambda: self.adopted)
        self.cut.clear()
        self.cluster.run_until(
            lambda: self.holder.state_of(self.owner.address) is MemberState.ALIVE
        )
        self.assertTrue(self.owner.declared)
        self.sender.add("o.h.1", ["x"])
        self.wait_for(Superseded("o.h.1", 2))
        self.assertEqual(self.adopted, [(("a",), 2)])
