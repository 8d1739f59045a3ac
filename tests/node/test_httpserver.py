"""Test the server's behaviour towards slow and stuck requests."""

import http.client
import threading

import testtools

from cicadapass.httpserver import HttpLimits, NodeHttpServer

TIMEOUT_S = 30.0


class HttpServerTest(testtools.TestCase):
    def serve(self, app, **limits):
        server = NodeHttpServer("127.0.0.1", 0, app, HttpLimits(**limits))
        server.start()
        self.addCleanup(server.stop)
        connection = http.client.HTTPConnection("127.0.0.1", server.port, TIMEOUT_S)
        self.addCleanup(connection.close)
        return server, connection

    def test_stop_ends_a_request_that_never_ends(self):
        """A stream without tokens must not hold a node beyond its deadline."""
        entered, never = threading.Event(), threading.Event()
        self.addCleanup(never.set)

        def app(environ, start):
            entered.set()
            never.wait()
            return []

        server, connection = self.serve(app, min_threads=2, idle_reserve=1)
        connection.request("GET", "/")
        self.assertTrue(entered.wait(TIMEOUT_S))
        stopping = threading.Thread(target=server.stop, daemon=True)
        stopping.start()
        stopping.join(TIMEOUT_S)
        self.assertFalse(stopping.is_alive())
        self.assertRaises(http.client.HTTPException, connection.getresponse)

    def test_answers_without_a_body(self):
        """The head of an answer must go out even if no body follows it."""

        def app(environ, start):
            length = "0" if environ["PATH_INFO"] == "/empty" else "5"
            start("200 OK", [("Content-Length", length)])
            return [] if length == "0" else [b"12345"]

        _, connection = self.serve(app)
        for method, path, body in (
            ("GET", "/empty", b""),
            ("HEAD", "/full", b""),
            ("GET", "/full", b"12345"),
        ):
            connection.request(method, path)
            answer = connection.getresponse()
            self.assertEqual((200, body), (answer.status, answer.read()))
