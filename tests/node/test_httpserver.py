"""Test the server with raw connections: limits, slow senders and broken requests."""

import json
import socket
import threading
from dataclasses import replace

import testtools

from cicadapass.httpserver import HttpLimits, NodeHttpServer
from cicadapass.receiving import ConnectionSlots, ReceiveDeadlines
from cicadapass.webreply import Refused, read_body, send_json, send_problem

WAIT_S = 20.0
LIMITS = HttpLimits(
    min_threads=2,
    max_threads=8,
    idle_reserve=1,
    max_header_bytes=2048,
    max_body_bytes=1000,
    receive_timeout_s=0.3,
    max_connections=4,
)
GET = b"GET / HTTP/1.1\r\nHost: n\r\n\r\n"
CHUNKED = b"POST /read HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n"


def _post(path, length, body=b""):
    head = f"POST {path} HTTP/1.1\r\nHost: n\r\nContent-Length: {length}\r\n\r\n"
    return head.encode() + body


class Client:
    """A raw connection that reads responses with a Content-Length."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), WAIT_S)
        self._file = self.socket.makefile("rb")

    def send(self, data):
        """Send the bytes; ignore a connection that the server has closed."""
        try:
            self.socket.sendall(data)
        except OSError:
            return

    def answer(self):
        """Return status, headers and body of the next response, or None at the end."""
        head = self.head()
        if head is None:
            return None
        status, headers = head
        return status, headers, self._file.read(int(headers.get("content-length", "0")))

    def head(self):
        """Return status and headers of the next response, or None at the end."""
        try:
            line = self._file.readline()
        except OSError:
            return None
        if not line:
            return None
        headers = {}
        while (header := self._file.readline().strip()) != b"":
            name, _, value = header.decode().partition(":")
            headers[name.lower()] = value.strip()
        return int(line.split()[1]), headers

    def close(self):
        """Close the connection, also while a response is unread."""
        self._file.close()
        self.socket.close()


class HttpServerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.paths = []
        self.unblock = threading.Event()
        self.blocked = threading.Event()
        self.addCleanup(self.unblock.set)
        self.server = NodeHttpServer("127.0.0.1", 0, self._app, LIMITS)
        self.server.start()
        self.addCleanup(self.server.stop)

    def _app(self, environ, start):
        path = environ["PATH_INFO"]
        self.paths.append(path)
        if path == "/hold":
            self.blocked.set()
            self.unblock.wait(WAIT_S)
        if path == "/fault":
            raise RuntimeError("fault")
        if path in ("/empty", "/head"):
            start("200 OK", [("Content-Length", "0" if path == "/empty" else "5")])
            return []
        if path == "/refuse":
            return send_json(start, {"refused": True})
        try:
            body = read_body(environ, LIMITS.max_body_bytes)
        except Refused as refused:
            return send_problem(start, refused.problem)
        return send_json(start, {"length": len(body)})

    def _connect(self):
        client = Client(self.server.port)
        self.addCleanup(client.close)
        return client

    def _request(self, data):
        client = self._connect()
        client.send(data)
        return client, client.answer()

    def _assert_refused(self, answer, status, verdict="not-run"):
        self.assertEqual(status, answer[0])
        self.assertEqual(verdict, answer[1].get("cicadapass-verdict"))
        self.assertEqual("application/problem+json", answer[1]["content-type"])
        self.assertEqual(verdict, json.loads(answer[2])["verdict"])

    def test_a_connection_is_kept(self):
        """A new connection for each request would cost a round trip."""
        client, answer = self._request(GET)
        self.assertEqual(200, answer[0])
        client.send(_post("/read", 3, b"abc"))
        self.assertEqual({"length": 3}, json.loads(client.answer()[2]))

    def test_a_body_over_the_limit_is_refused_unread(self):
        """The node must not read a body that it is going to refuse."""
        for length in (1001, 10**12, 10**400):
            client, answer = self._request(_post("/read", length, b"x" * 500))
            self._assert_refused(answer, 413)
            self.assertEqual("close", answer[1]["connection"])
            self.assertIsNone(client.answer())

    def test_a_large_unread_body_closes_the_connection(self):
        """Its bytes would be parsed as the next request."""
        body = GET * 4000
        client, answer = self._request(_post("/refuse", len(body), body))
        self.assertEqual(200, answer[0])
        self.assertIsNone(client.answer())
        self.assertEqual(["/refuse"], self.paths)

    def test_a_small_unread_body_keeps_the_connection(self):
        """The caller can keep using its connection after an error."""
        client, answer = self._request(
            _post("/refuse", len(GET), GET) + _post("/read", 0)
        )
        self.assertEqual(200, answer[0])
        self.assertEqual({"length": 0}, json.loads(client.answer()[2]))
        self.assertEqual(["/refuse", "/read"], self.paths)

    def test_an_unread_chunked_body_closes_the_connection(self):
        """The chunks would be parsed as the next request."""
        head = CHUNKED.replace(b"/read", b"/refuse")
        client, answer = self._request(head + b"1b\r\n" + GET + b"\r\n0\r\n\r\n")
        self.assertEqual(200, answer[0])
        self.assertIsNone(client.answer())
        self.assertEqual(["/refuse"], self.paths)

    def test_a_chunked_body_is_read_and_bounded(self):
        """A chunk may declare any size, so the body limit must apply to it as well."""
        _, answer = self._request(CHUNKED + b"3\r\nabc\r\n0\r\n\r\n")
        self.assertEqual({"length": 3}, json.loads(answer[2]))
        for size in (b"3e9", b"ffffffffff"):
            _, answer = self._request(CHUNKED + size + b"\r\n" + b"x" * 1001 + b"\r\n")
            self._assert_refused(answer, 413)

    def test_a_malformed_chunk_is_refused(self):
        """The problem must state that the request is malformed and did not run."""
        for chunk in (b"zz\r\n", b"3\r\nabcd\r\n0\r\n\r\n"):
            _, answer = self._request(CHUNKED + chunk)
            self._assert_refused(answer, 400)

    def test_a_slow_head_times_out(self):
        """A sender that delays its head must not occupy a thread."""
        client = self._connect()
        client.send(b"GET / HTTP/1.1\r\nHost: n\r\n")
        self._assert_refused(client.answer(), 408)
        self.assertIsNone(client.answer())
        self.assertEqual([], self.paths)

    def test_a_slow_body_times_out(self):
        """A sender that delays its body must not occupy a thread, read or not."""
        for path in ("/read", "/refuse"):
            client, answer = self._request(_post(path, 10, b"abc"))
            self.assertEqual(408 if path == "/read" else 200, answer[0])
            self.assertIsNone(client.answer())

    def test_errors_of_the_server_carry_a_verdict(self):
        """Errors of the server itself must also state that nothing ran."""
        for request, status in (
            (b"nonsense\r\n\r\n", 400),
            (b"GET / HTTP/9.9\r\n\r\n", 505),
            (b"GET / HTTP/1.1\r\nX: " + b"x" * 4000 + b"\r\n\r\n", 413),
            (b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
            (b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
        ):
            _, answer = self._request(request)
            self._assert_refused(answer, status)
        self.assertEqual([], self.paths)

    def test_a_fault_of_the_application_is_unknown(self):
        """The request may have run before the application failed."""
        _, answer = self._request(GET.replace(b"/ ", b"/fault "))
        self._assert_refused(answer, 500, "unknown")

    def test_expect_continue_is_answered(self):
        """Some clients send the body only after the status 100."""
        client = self._connect()
        client.send(
            b"POST /read HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\n"
            b"Content-Length: 3\r\n\r\n"
        )
        self.assertEqual(100, client.answer()[0])
        client.send(b"abc")
        self.assertEqual({"length": 3}, json.loads(client.answer()[2]))

    def test_head_and_options_have_answers(self):
        """Balancers probe with these methods."""
        for method in (b"HEAD", b"OPTIONS"):
            client = self._connect()
            client.send(GET.replace(b"GET", method))
            self.assertIn(b"200 OK", client._file.readline())

    def test_silent_connections_do_not_occupy_threads(self):
        """A few silent callers would otherwise block all others."""
        limits = replace(LIMITS, max_threads=2, receive_timeout_s=WAIT_S)
        server = NodeHttpServer("127.0.0.1", 0, self._app, limits)
        server.start()
        self.addCleanup(server.stop)
        silent_clients = [Client(server.port) for _ in range(3)]
        for connection in silent_clients:
            self.addCleanup(connection.close)
        client = Client(server.port)
        self.addCleanup(client.close)
        client.send(GET)
        self.assertEqual(200, client.answer()[0])
        for connection in silent_clients:
            connection.socket.setblocking(False)
            self.assertRaises(BlockingIOError, connection.socket.recv, 1)

    def test_slow_senders_do_not_exhaust_the_pool(self):
        """The pool must grow although no request has arrived completely."""
        limits = replace(
            LIMITS, max_threads=16, max_connections=20, receive_timeout_s=WAIT_S
        )
        server = NodeHttpServer("127.0.0.1", 0, self._app, limits)
        server.start()
        self.addCleanup(server.stop)
        for _ in range(10):
            slow_client = Client(server.port)
            self.addCleanup(slow_client.close)
            slow_client.send(b"GET / HTTP/1.1\r\n")
        client = Client(server.port)
        self.addCleanup(client.close)
        client.send(GET)
        self.assertEqual(200, client.answer()[0])

    def test_the_number_of_connections_is_bounded(self):
        """Idle connections must not exhaust the node's file descriptors."""
        clients = [self._request(GET)[0] for _ in range(LIMITS.max_connections)]
        self.assertIsNone(self._request(GET)[1])
        clients[0].close()
        # The server detects the end of the first connection asynchronously.
        for _ in range(1000):
            if self._request(GET)[1] is not None:
                return
        self.fail("a closed connection did not release its slot")

    def test_a_request_that_arrives_during_the_stop_is_answered(self):
        """A request received on a kept connection must not end in a reset."""
        client, _ = self._request(GET)
        manager = self.server._server._connections
        stop = manager.stop

        def stop_and_send():
            stop()
            client.send(GET)

        manager.stop = stop_and_send
        self.server.stop()
        self.assertEqual(200, client.answer()[0])
        self.assertIsNone(client.answer())

    def test_a_connection_that_gets_idle_during_the_stop_is_answered(self):
        """A thread ended with an error if it kept a connection after the stop."""
        manager = self.server._server._connections
        put, close = manager.put, manager.close
        closed = threading.Event()

        def put_after_close(connection):
            if self.paths:
                closed.wait(WAIT_S)
            put(connection)

        def close_and_send():
            close()
            client.send(GET)
            closed.set()

        manager.put, manager.close = put_after_close, close_and_send
        client, _ = self._request(GET)
        self.server.stop()
        self.assertEqual(200, client.answer()[0])
        self.assertIsNone(client.answer())

    def test_hung_requests_do_not_keep_the_process_alive(self):
        """A stopped node must exit while a request is still in progress."""
        client = self._connect()
        client.send(GET.replace(b"/ ", b"/hold "))
        self.assertTrue(self.blocked.wait(WAIT_S))
        self.assertEqual(
            [threading.main_thread()],
            [thread for thread in threading.enumerate() if not thread.daemon],
        )

    def test_a_stop_ends_at_its_grace_time(self):
        """The VM is reclaimed at its deadline, also if an answer is incomplete."""
        client = self._connect()
        client.send(GET.replace(b"/ ", b"/hold "))
        self.assertTrue(self.blocked.wait(WAIT_S))
        stopper = threading.Thread(target=self.server.stop, args=(0.0,))
        stopper.start()
        stopper.join(WAIT_S)
        self.assertFalse(stopper.is_alive())
        self.unblock.set()

    def test_a_stop_ends_requests_in_progress_first(self):
        """A planned stop must not truncate an answer."""
        client = self._connect()
        client.send(GET.replace(b"/ ", b"/hold "))
        self.assertTrue(self.blocked.wait(WAIT_S))
        stopper = threading.Thread(target=self.server.stop)
        stopper.start()
        self.unblock.set()
        self.assertEqual(200, client.answer()[0])
        stopper.join(WAIT_S)
        self.assertFalse(stopper.is_alive())

    def test_a_stop_closes_a_request_that_never_ends(self):
        """A stream without tokens must not delay the stop beyond the deadline."""
        client = self._connect()
        client.send(GET.replace(b"/ ", b"/hold "))
        self.assertTrue(self.blocked.wait(WAIT_S))
        stopper = threading.Thread(target=self.server.stop, daemon=True)
        stopper.start()
        stopper.join(WAIT_S / 2)
        self.assertFalse(stopper.is_alive())
        self.assertIsNone(client.answer())

    def test_answers_without_a_body(self):
        """The head must be sent even if no body follows it."""
        client = self._connect()
        for path, length in ((b"/empty", "0"), (b"/head", "5")):
            method = b"HEAD" if path == b"/head" else b"GET"
            client.send(method + b" " + path + b" HTTP/1.1\r\nHost: n\r\n\r\n")
            status, headers = client.head()
            self.assertEqual((200, length), (status, headers["content-length"]))


class ReceiveDeadlinesTest(testtools.TestCase):
    def test_only_late_connections_end(self):
        """A request that has arrived must not be ended by its old deadline."""
        now_s = 0.0
        ended = []

        class Connection:
            def end_reading(self):
                ended.append(self)

        deadlines = ReceiveDeadlines(1.0, lambda: now_s)
        late, done, early = Connection(), Connection(), Connection()
        with deadlines.limit(late):
            with deadlines.limit(done):
                pass
            now_s = 0.5
            with deadlines.limit(early):
                now_s = 1.0
                self.assertEqual(1, deadlines.end_late())
                self.assertEqual(0, deadlines.end_late())
        self.assertEqual([late], ended)


class ConnectionSlotsTest(testtools.TestCase):
    def test_the_limit_is_kept_after_repeated_releases(self):
        """Releasing a slot twice must not raise the limit."""
        slots = ConnectionSlots(1)
        first, second, third = object(), object(), object()
        self.assertTrue(slots.acquire(first))
        self.assertFalse(slots.acquire(second))
        slots.release(first)
        slots.release(first)
        self.assertTrue(slots.acquire(second))
        self.assertFalse(slots.acquire(third))
