"""Test the connections between nodes."""

import contextlib
import socket
import threading
from concurrent.futures import Future
from dataclasses import replace
from unittest import mock

import testtools
from websockets.exceptions import ConnectionClosed

from cicadapass import handshake, peerstate
from cicadapass.peererrors import PeerFault
from cicadapass_common import wire
from cicadapass_common.messages import Done, LeavingNotice, Probe
from tests.node.peerharness import (
    PROBE,
    REPLY,
    SECRET,
    WAIT_S,
    Node,
    RawPeer,
    address,
    answer,
    wait_for,
)

ANSWERS = ((Probe, answer, False),)


class PeersTest(testtools.TestCase):
    def node(self, local, handlers=ANSWERS, **settings):
        return Node(self, local, handlers, **settings)

    def request(self, node, target, timeout_s=WAIT_S, message=PROBE):
        return node.peers.request(target, message, timeout_s)

    def assert_fault(self, fault, result):
        self.assertTrue(result.is_error(), str(result))
        self.assertEqual(result.error.fault, fault, str(result.error))

    def assert_serves(self, server):
        client = self.node(address("z"))
        self.assertEqual(self.request(client, server.address).ok, REPLY)

    def frozen_target(self):
        """Return the address of a port that accepts but never answers."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        return address("frozen", port=listener.getsockname()[1])


class RefusalTest(PeersTest):
    def test_wrong_secret(self):
        """A node with another secret must not exchange messages."""
        server = self.node(address("a"))
        client = self.node(address("b"), secret=b"another secret")
        result = self.request(client, server.address)
        self.assert_fault(PeerFault.WRONG_SECRET, result)
        self.assertFalse(result.error.may_have_arrived)
        client.wait_for_event(321, peer="a")
        self.assertNotIn("probe", server.peers.traffic().received)

    def test_client_that_does_not_know_the_secret(self):
        """A client with another secret must be rejected by the server's own check."""
        server = self.node(address("a"))
        raw = RawPeer(self, server.address)
        raw.perform_handshake(address("x"), b"another secret")
        # The server may have closed the connection before the probe is sent.
        with contextlib.suppress(ConnectionClosed):
            raw.send(PROBE, 1)
        self.assertEqual(raw.close_code(), (1008, "wrong-secret"))
        server.wait_for_event(321, side="wrong-secret: the client's proof is wrong")
        self.assertNotIn("probe", server.peers.traffic().received)
        self.assert_serves(server)

    def test_message_before_the_proof(self):
        """A peer that skips the handshake must not reach a handler."""
        server = self.node(address("a"))
        raw = RawPeer(self, server.address)
        raw.send(PROBE, 1)
        self.assertEqual(raw.close_code(), (1008, "garbage"))
        server.wait_for_event(323)

    def test_wrong_version(self):
        """Nodes without a common version must not exchange messages."""
        server = self.node(address("a"))
        raw = RawPeer(self, server.address)
        raw.send(
            replace(handshake.new_hello(address("x")), min_version=9, max_version=9)
        )
        self.assertEqual(raw.close_code(), (1008, "wrong-version"))
        server.wait_for_event(
            322, reason="wrong-version: the peer supports versions 9 to 9"
        )
        other = RawPeer(self, server.address)
        # Only the encoding is patched: the server in this process must decode with the
        # real version.
        with mock.patch.object(wire, "MAJOR_VERSION", 2):
            frame = wire.encode(PROBE, None, (0, 0))
        other.socket.send(frame)
        self.assertEqual(other.close_code(), (1008, "wrong-version"))
        server.wait_for_event(322, reason="wrong-version: version 2")
        self.assert_serves(server)

    def test_invalid_data_closes_only_its_connection(self):
        """Invalid data must close only the connection it arrives on."""
        server = self.node(address("a"))
        for garbage in (b"\xff\x00", "a text frame"):
            raw = RawPeer(self, server.address)
            raw.perform_handshake(address("x"))
            raw.socket.send(garbage)
            self.assertEqual(raw.close_code(), (1008, "garbage"))
        server.wait_for_event(
            323, reason="garbage: a text frame instead of a binary frame"
        )
        server_address = server.address.host, server.address.peer_port
        with socket.create_connection(server_address) as plain:
            plain.sendall(b"\x16\x03\x01 no HTTP\r\n\r\n")
            server.wait_for_event(325, peer="unknown")
        self.assert_serves(server)

    def test_repeated_faults_are_reported_once(self):
        """Repeated errors, as from a port scanner, must not evict other events."""
        server = self.node(address("a"))
        long_interval = mock.patch.object(peerstate, "REPORT_INTERVAL_S", 1e9)
        long_interval.start()
        self.addCleanup(long_interval.stop)
        for _ in range(3):
            raw = RawPeer(self, server.address)
            raw.send(PROBE, 1)
            self.assertEqual(raw.close_code(), (1008, "garbage"))
        self.assertEqual([e.number for e in server.events.recent()], [320, 323])

    def test_oversized_frame_is_rejected(self):
        """A frame over the limit must be rejected instead of being buffered."""
        server = self.node(address("a"))
        raw = RawPeer(self, server.address)
        raw.perform_handshake(address("x"))
        raw.socket.send(b"\0" * (wire.MAX_FRAME_BYTES + 1))
        self.assertEqual(raw.close_code()[0], 1009)
        server.wait_for_event(324)
        unauthenticated = RawPeer(self, server.address)
        unauthenticated.socket.send(b"\0" * 5000)
        self.assertEqual(unauthenticated.close_code(), (1008, "oversized"))
        self.assert_serves(server)

    def test_address_of_another_incarnation(self):
        """The successor at an address must not get its predecessor's messages."""
        server = self.node(address("a", incarnation="2"))
        client = self.node(address("b"))
        old = address("a", incarnation="1", port=server.address.peer_port)
        self.assert_fault(PeerFault.WRONG_NODE, self.request(client, old))
        client.wait_for_event(326)
        seed = address("", incarnation="", port=server.address.peer_port)
        self.assertEqual(self.request(client, seed).ok, REPLY)

    def test_clock_far_ahead(self):
        """A peer with a wrong clock must be reported and must not advance stamps."""
        server = self.node(address("a"))
        raw = RawPeer(self, server.address)
        raw.perform_handshake(address("x"))
        raw.send(PROBE, 1, (2**50, 0))
        self.assertEqual(raw.receive(), REPLY)
        server.wait_for_event(328, peer="x")
        self.assertLess(server.events.emit(329).stamp[0], 2**50)


class IsolationTest(PeersTest):
    def test_frozen_peer(self):
        """A frozen peer must not delay messages to other peers."""
        server, client = self.node(address("a")), self.node(address("b"))
        frozen = self.frozen_target()
        pending: Future = Future()
        client.peers.request_async(frozen, PROBE, WAIT_S, pending.set_result)
        self.assertEqual(self.request(client, server.address).ok, REPLY)
        self.assertFalse(pending.done())
        self.assert_fault(PeerFault.TIMEOUT, self.request(client, frozen, 0.05))
        self.assert_fault(PeerFault.UNREACHABLE, pending.result(WAIT_S))

    def test_queue_is_bounded(self):
        """Messages to a frozen peer must not exhaust the memory."""
        client = self.node(address("b"))
        frozen = self.frozen_target()
        for _ in range(peerstate.MAX_QUEUED_MESSAGES):
            client.peers.send(frozen, Done())
        self.assert_fault(PeerFault.QUEUE_FULL, self.request(client, frozen))

    def test_frozen_after_handshake(self):
        """The connection to a peer that stops reading must be aborted."""
        release = threading.Event()
        server = self.node(address("a"), [(Probe, lambda i: release.wait(), False)])
        client = self.node(address("b"))
        self.addCleanup(release.set)
        with mock.patch.object(peerstate, "PING_TIMEOUT_S", 0.05):
            result = self.request(client, server.address, 0.1)
            self.assert_fault(PeerFault.TIMEOUT, result)
            self.assertTrue(result.error.may_have_arrived)
            pending = self.request(client, server.address, WAIT_S)
        self.assertIn(pending.error.fault, (PeerFault.CLOSED, PeerFault.UNREACHABLE))

    def test_pooled_handler_does_not_block_the_loop(self):
        """Probes must be answered while slow requests occupy the pool."""
        release = threading.Event()
        handlers = [*ANSWERS, (Done, lambda i: release.wait() and None, True)]
        server = self.node(address("a"), handlers)
        self.addCleanup(release.set)
        client = self.node(address("b"))
        pending: Future = Future()
        for _ in range(20):
            client.peers.request_async(
                server.address,
                Done(),
                0.2,
                lambda r: pending.done() or pending.set_result(r),
            )
        self.assertEqual(self.request(client, server.address).ok, REPLY)
        self.assert_fault(PeerFault.TIMEOUT, pending.result(WAIT_S))

    def test_failing_handler(self):
        """An exception in one handler must not close the connection."""
        handlers = [*ANSWERS, (Done, lambda i: 1 / 0, False)]
        server = self.node(address("a"), handlers)
        client = self.node(address("b"))
        result = self.request(client, server.address, message=Done())
        self.assert_fault(PeerFault.REFUSED, result)
        server.wait_for_event(329, kind="done")
        unsupported = self.request(client, server.address, message=LeavingNotice(()))
        self.assert_fault(PeerFault.REFUSED, unsupported)
        self.assertEqual(self.request(client, server.address).ok, REPLY)
        self.assertEqual(server.peers.traffic().received["hello"].messages, 1)

    def test_request_in_the_loop_is_refused(self):
        """A blocking request in the loop's thread would wait for ever."""
        nodes = []

        def ask_back(inbound):
            nodes[0].peers.request(inbound.sender, PROBE, WAIT_S)

        nodes.append(self.node(address("a"), [(Probe, ask_back, False)]))
        client = self.node(address("b"))
        result = self.request(client, nodes[0].address)
        self.assert_fault(PeerFault.REFUSED, result)


class ConnectionTest(PeersTest):
    def test_handler_gets_the_sender(self):
        """A handler must get the sender's address and incarnation."""
        senders: Future = Future()

        def record_sender(inbound):
            senders.set_result(inbound.sender)
            answer(inbound)

        server = self.node(address("a"), [(Probe, record_sender, True)])
        client = self.node(address("b"))
        self.assertEqual(self.request(client, server.address).ok, REPLY)
        self.assertEqual(senders.result(WAIT_S), client.address)

    def test_one_connection_per_direction(self):
        """A handshake per message would cost more than the message."""
        server, client = self.node(address("a")), self.node(address("b"))
        for _ in range(10):
            self.request(client, server.address)
        counts = server.peers.traffic().received
        self.assertEqual(counts["hello"].messages, 1)
        self.assertEqual(counts["probe"].messages, 10)
        size = len(wire.encode(PROBE, 1, (10**12, 0)))
        self.assertLess(abs(counts["probe"].frame_bytes - 10 * size), 100)

    def test_idle_connection_is_closed_and_opened_again(self):
        """Idle connections to 380 members would waste memory."""
        server = self.node(address("a"))
        client = self.node(address("b"), idle_s=0.05)
        self.assertEqual(self.request(client, server.address).ok, REPLY)
        wait_for(lambda: server.peers._state.connections == 0)
        self.assertEqual(self.request(client, server.address).ok, REPLY)
        self.assertEqual(server.peers.traffic().received["hello"].messages, 2)

    def test_peer_that_restarts(self):
        """A restarted peer must be reachable without restarting the other nodes."""
        with mock.patch.object(peerstate, "BACKOFF_MAX_S", 0.0):
            first, client = self.node(address("a")), self.node(address("b"))
            server_address = first.address
            self.assertEqual(self.request(client, server_address).ok, REPLY)
            first.peers.stop()
            wait_for(lambda: self.request(client, server_address).is_error())
            self.assert_fault(
                PeerFault.UNREACHABLE, self.request(client, server_address)
            )
            self.node(server_address)
            self.assertEqual(self.request(client, server_address).ok, REPLY)

    def test_back_off(self):
        """An unreachable peer must not cause a connection attempt per message."""
        client = self.node(address("b"))
        unreachable = self.frozen_target()
        with mock.patch.object(peerstate, "OPEN_TIMEOUT_S", 0.05):
            first = self.request(client, unreachable)
        second = self.request(client, unreachable)
        self.assert_fault(PeerFault.UNREACHABLE, first)
        self.assertEqual(first.error.problem, second.error.problem)
        self.assertEqual(client.peers.traffic().sent["probe"].messages, 1)

    def test_allow_blocks_one_direction(self):
        """The fault matrix needs `allow` to block connections in one direction only."""
        server, client = self.node(address("a")), self.node(address("b"))
        cut = self.node(address("c"), allow=lambda target: target.name != "a")
        self.assert_fault(PeerFault.UNREACHABLE, self.request(cut, server.address))
        self.assertEqual(self.request(client, server.address).ok, REPLY)
        self.assertEqual(self.request(server, cut.address).ok, REPLY)

    def test_stop_fails_requests(self):
        """A stop must fail pending requests, so that no thread keeps waiting."""
        server = self.node(address("a"), [(Probe, lambda i: None, False)])
        client = self.node(address("b"))
        pending: Future = Future()
        client.peers.request_async(server.address, PROBE, WAIT_S, pending.set_result)
        wait_for(lambda: "probe" in server.peers.traffic().received)
        client.peers.stop()
        self.assert_fault(PeerFault.STOPPED, pending.result(WAIT_S))
        self.assert_fault(PeerFault.STOPPED, self.request(client, server.address))

    def test_other_secret_is_not_in_errors(self):
        """Events and errors are read by operators and must not contain the secret."""
        server = self.node(address("a"))
        client = self.node(address("b"), secret=b"another secret")
        result = self.request(client, server.address)
        lines = [e.to_json() for e in client.events.recent()]
        self.assertNotIn(SECRET.decode(), str(result.error) + "".join(lines))
