"""Helpers for tests of peers: nodes on free ports and a misbehaving client."""

import random
import threading

from websockets.sync.client import connect

from cicadapass import handshake
from cicadapass.peers import Peers
from cicadapass.peerstate import PeerSettings
from cicadapass_common.events import EventLog
from cicadapass_common.messages import Probe, ProbeReply
from cicadapass_common.stamps import HybridClock
from cicadapass_common.wire import decode, encode
from cicadapass_decisions.types import NodeAddress

SECRET = b"shared secret of the tests"
WAIT_S = 20.0
PROBE = Probe((), (), 0, 0)
REPLY = ProbeReply((), (), 7)


def address(name="a", data_centre="dc-a", incarnation="1", port=0):
    """Return the address of a node on loopback."""
    return NodeAddress(name, incarnation, "grabhandle", data_centre, "127.0.0.1", port)


class Node:
    """Run the peers of one node and record its events."""

    def __init__(self, test, local, handlers=(), secret=SECRET, **settings):
        stamps = HybridClock()
        self.events = EventLog(local.name, stamps.stamp)
        settings = PeerSettings(local, secret, **settings)
        self.peers = Peers(settings, self.events, stamps, random.Random(1))
        for kind, handler, pooled in handlers:
            self.peers.handle(kind, handler, pooled=pooled)
        self.before_start()
        self.peers.start()
        test.addCleanup(self.peers.stop)

    def before_start(self):
        """Register further handlers; overridden by subclasses."""

    @property
    def address(self):
        """Return the address with the actual port."""
        return self.peers.address

    def wait_for_event(self, number, **fields):
        """Wait for an event with this number and these fields, and return it."""

        def find():
            for event in self.events.recent():
                if event.number == number and fields.items() <= event.fields.items():
                    return event
            return None

        return wait_for(find)


def wait_for(predicate):
    """Poll the predicate and return its first true value; fail after WAIT_S."""
    pause = threading.Event()
    for _ in range(int(WAIT_S / 0.01)):
        value = predicate()
        if value:
            return value
        pause.wait(0.01)
    raise AssertionError(f"the predicate was not true within {WAIT_S} s")


def answer(inbound):
    """Answer a probe with REPLY."""
    inbound.reply(REPLY)


class RawPeer:
    """Connect as a client without performing the handshake on its own."""

    def __init__(self, test, target):
        uri = f"ws://{target.host}:{target.peer_port}/"
        context = connect(uri, compression=None, proxy=None, max_size=None)
        self.socket = context.__enter__()
        test.addCleanup(context.__exit__, None, None, None)

    def send(self, message, correlation=None, stamp=(0, 0)):
        """Send an encoded message."""
        self.socket.send(encode(message, correlation, stamp))

    def receive(self):
        """Receive and return the next message."""
        return decode(self.socket.recv(WAIT_S)).ok.message

    def perform_handshake(self, local, secret=SECRET):
        """Perform the handshake without checking the server's proof."""
        hello = handshake.new_hello(local)
        self.send(hello)
        reply = self.receive()
        self.send(handshake.client_proof(hello, reply, secret))

    def close_code(self):
        """Return the code and reason with which the server closes."""
        try:
            self.socket.recv(WAIT_S)
        except Exception as error:
            close = error.rcvd
            return (close.code, close.reason) if close else (None, str(error))
        return None, "no close"
