"""Test that a peer stores the events of a stopping node."""

import random
from types import SimpleNamespace

import testtools
from expression import Error, Ok

from cicadapass.eventrelay import MAX_RECEIVED_EVENTS, MAX_SENT_EVENTS, EventRelay
from cicadapass.peererrors import PeerError, PeerFault
from cicadapass.peers import Inbound
from cicadapass_common.events import EventLog
from cicadapass_common.messages import Done, EventLines
from cicadapass_decisions.membership import GossipEntry, MemberState
from cicadapass_decisions.recovery import MembershipView
from cicadapass_decisions.types import NodeAddress


def address(name, data_centre):
    """Return the address of a node."""
    return NodeAddress(name, "1", "f", data_centre, "127.0.0.1", 1)


class FakePeers:
    """Deliver to the relays of reachable peers; requests to others fail."""

    def __init__(self):
        self.handlers = {}
        self.reachable = {}
        self.requested = []

    def handle(self, kind, handler, *, pooled):
        self.handlers[kind] = handler

    def request(self, target, message, timeout_s):
        self.requested.append(target.name)
        peer = self.reachable.get(target.name)
        if peer is None:
            return Error(PeerError(PeerFault.UNREACHABLE, "gone"))
        replies = []
        peer.handlers[type(message)](Inbound(target, message, replies.append))
        return Ok(replies[0])


class EventRelayTest(testtools.TestCase):
    def relay(self, *others):
        own = address("own", "dc-a")
        entries = tuple(
            GossipEntry(other, MemberState.ALIVE, 0, 0, 0, 0) for other in others
        )
        members = MembershipView(own, entries)
        current_members = SimpleNamespace(
            snapshot=SimpleNamespace(for_recovery=lambda: members)
        )
        peers = FakePeers()
        events = EventLog("f/own", lambda: (1, 0))
        relay = EventRelay(events, peers, current_members, random.Random(1))
        relay.register()
        return relay, peers

    def test_events_are_found_at_a_peer(self):
        """The events of a reclaimed node must be available from a peer."""
        stopping, peers = self.relay(address("b", "dc-b"), address("c", "dc-c"))
        receiving, receiving_peers = self.relay()
        peers.reachable = {"b": receiving_peers, "c": receiving_peers}
        emitted = stopping.events.emit(454, request_id="r", reason="x")
        stopping.events.emit(103, unfinished=0)
        self.assertTrue(stopping.send_to_peer())
        self.assertEqual(
            [emitted.to_json()], [event.to_json() for event in receiving.recent("r")]
        )
        self.assertEqual(2, len(receiving.recent()))

    def test_another_peer_is_tried(self):
        """The first peer may be reclaimed at the same time."""
        stopping, peers = self.relay(address("b", "dc-b"), address("c", "dc-c"))
        _, receiving_peers = self.relay()
        for alive in ("b", "c"):
            peers.reachable = {alive: receiving_peers}
            self.assertTrue(stopping.send_to_peer())

    def test_no_peer_accepts(self):
        """A stop must not hang when no peer accepts the events."""
        stopping, peers = self.relay(address("b", "dc-b"))
        self.assertFalse(stopping.send_to_peer())
        self.assertEqual(["b"], peers.requested)
        self.assertFalse(self.relay()[0].send_to_peer())

    def test_unreadable_and_excess_events(self):
        """The events of a peer must not raise here or exhaust the memory."""
        relay, peers = self.relay()
        line = relay.events.emit(103, unfinished=0).to_json()
        handler = peers.handlers[EventLines]
        sender = address("b", "dc-b")
        replies = []
        for _ in range(MAX_RECEIVED_EVENTS // MAX_SENT_EVENTS + 2):
            lines = ("no json", "{}", *[line] * (2 * MAX_SENT_EVENTS))
            handler(Inbound(sender, EventLines(lines), replies.append))
        self.assertTrue(all(isinstance(reply, Done) for reply in replies))
        self.assertEqual(MAX_RECEIVED_EVENTS + 1, len(relay.recent()))
