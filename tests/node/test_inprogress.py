"""Test that a planned stop waits for the requests in progress."""

import testtools

from cicadapass.httpserver import HttpLimits, NodeHttpServer
from cicadapass.inprogress import InProgress
from cicadapass.webreply import send_json
from tests.node.test_httpserver import GET, Client

WAIT_S = 20.0


class InProgressTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.in_progress = InProgress()
        self.sent_headers = []

    def _start(self, status, headers):
        self.sent_headers.append(headers)

    def test_a_request_counts_until_its_body_is_closed(self):
        """The server closes the body after the last byte has been sent."""
        app = self.in_progress.track(lambda environ, start: [b"x"])
        body = app({}, self._start)
        self.assertFalse(self.in_progress.wait_until_none(0.0))
        self.assertEqual([b"x"], list(body))
        self.assertEqual(1, self.in_progress.count)
        body.close()
        body.close()
        self.assertTrue(self.in_progress.wait_until_none(0.0))
        self.assertEqual(0, self.in_progress.count)

    def test_failures_end_the_count(self):
        """A request that stays counted would delay each stop."""

        class Body:
            def close(self):
                raise RuntimeError("close")

        def fault(environ, start):
            raise RuntimeError("fault")

        self.assertRaises(RuntimeError, self.in_progress.track(fault), {}, None)
        body = self.in_progress.track(lambda environ, start: Body())({}, None)
        self.assertRaises(RuntimeError, body.close)
        self.assertEqual(0, self.in_progress.count)

    def test_a_request_on_a_kept_connection_is_answered_during_a_stop(self):
        """The response must be complete and must close the connection."""
        app = self.in_progress.track(lambda environ, start: send_json(start, {}))
        limits = HttpLimits(min_threads=2, max_threads=4, idle_reserve=1)
        server = NodeHttpServer("127.0.0.1", 0, app, limits)
        server.start()
        self.addCleanup(server.stop)
        client = Client(server.port)
        self.addCleanup(client.close)
        client.send(GET)
        self.assertNotIn("connection", client.answer()[1])
        self.in_progress.close_connections()
        client.send(GET)
        status, headers, _ = client.answer()
        self.assertEqual((200, "close"), (status, headers["connection"]))
        self.assertIsNone(client.answer())
