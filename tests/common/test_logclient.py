"""Test the log client against a fake log server."""

import base64
import json
import socket
import threading

import testtools
from cheroot import wsgi
from expression import Ok

from cicadapass_common.logclient import (
    LogAnswerLost,
    LogClient,
    LogRefused,
    LogUnavailable,
    LogUnreachable,
    RawRecord,
)

RECORD = {"offset": 4, "time_s": 1.5, "data": base64.b64encode(b"x").decode()}
PAGE = {"first_offset": 2, "next_offset": 5, "records": [RECORD]}


class _FakeLogServer:
    """Return the configured answer; record the calls and the client ports."""

    def __init__(self):
        self.calls = []
        self.connections = set()
        self.status, self.headers, self.body = "200 OK", [], b"{}"
        self.release = threading.Event()
        self.release.set()
        self.server = wsgi.Server(("127.0.0.1", 0), self._answer, numthreads=2)
        self.server.shutdown_timeout = 1
        self.server.prepare()
        self.url = f"http://127.0.0.1:{self.server.bind_addr[1]}"
        self._thread = threading.Thread(target=self.server.serve)
        self._thread.start()

    def stop(self):
        self.release.set()
        self.server.stop()
        self._thread.join()

    def _answer(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        query = environ["QUERY_STRING"]
        call = (environ["REQUEST_METHOD"], environ["PATH_INFO"], query, body)
        self.calls.append(call)
        self.connections.add(environ["REMOTE_PORT"])
        self.release.wait()
        size = [("Content-Length", str(len(self.body)))]
        start_response(self.status, self.headers + size)
        return [self.body]


class LogClientTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.server = _FakeLogServer()
        self.addCleanup(self.server.stop)
        self.client = LogClient(self.server.url, "config")
        self.addCleanup(self.client.close)

    def set_answer(self, body, status="200 OK", headers=()):
        self.server.status, self.server.headers = status, list(headers)
        self.server.body = (
            body if isinstance(body, bytes) else json.dumps(body).encode()
        )

    def test_append_and_read_use_one_connection(self):
        """A connection per call would exhaust the log's ports at 300 appends/s."""
        self.set_answer({"offset": 4})
        self.assertEqual(Ok(4), self.client.append(b"data"))
        self.set_answer(PAGE)
        page = self.client.read(2, 10, 0.5).ok
        self.assertEqual((2, 5), (page.first_offset, page.next_offset))
        self.assertEqual((RawRecord(4, 1.5, b"x"),), page.records)
        path = "/streams/config/records"
        expected = [
            ("POST", path, "", b"data"),
            ("GET", path, "from=2&limit=10&wait_s=0.5", b""),
        ]
        self.assertEqual(expected, self.server.calls)
        self.assertEqual(1, len(self.server.connections))

    def test_error_statuses_report_whether_the_append_may_have_taken_effect(self):
        """A caller may get "not run" only if nothing was appended."""
        cases = [
            ("429 Too Many Requests", LogUnavailable, False, 1.5),
            ("503 Service Unavailable", LogUnavailable, False, 1.5),
            ("404 Not Found", LogRefused, False, None),
            ("302 Found", LogAnswerLost, True, None),
            ("500 Internal Server Error", LogAnswerLost, True, None),
        ]
        headers = [("Retry-After", "1.5"), ("Location", "/streams/config/records")]
        for status, kind, effect, wait_s in cases:
            self.set_answer(b"", status, headers)
            error = self.client.append(b"data").error
            self.assertIsInstance(error, kind)
            self.assertEqual(effect, error.may_have_taken_effect, status)
            self.assertEqual(wait_s, error.retry_after_s)
        self.assertEqual(len(cases), len(self.server.calls))

    def test_unusable_answers_may_have_taken_effect(self):
        """A malformed answer must not be reported as a failed append."""
        for body in [b"", b"<html>", b"[]", {"offset": "4"}, {"offset": -1}, {}]:
            self.set_answer(body)
            error = self.client.append(b"data").error
            self.assertIsInstance(error, LogAnswerLost, body)
            self.assertTrue(error.may_have_taken_effect)

    def test_pages_out_of_order_are_refused(self):
        """A page with unordered or malformed records must be refused."""
        broken = RECORD | {"data": "%%"}
        for changes in [
            {"records": [RECORD, RECORD]},
            {"records": [broken]},
            {"next_offset": 4},
            {"records": None},
        ]:
            self.set_answer(PAGE | changes)
            self.assertIsInstance(self.client.read(0, 9, 0).error, LogAnswerLost)

    def test_timeout_may_have_taken_effect_and_is_not_repeated(self):
        """A retry inside the client could append twice, unknown to the caller."""
        self.server.release.clear()
        client = LogClient(self.server.url, "config", answer_timeout_s=0.1)
        self.addCleanup(client.close)
        error = client.append(b"data").error
        self.assertIsInstance(error, LogAnswerLost)
        self.assertTrue(error.may_have_taken_effect)
        self.server.release.set()
        self.assertEqual(1, len(self.server.calls))

    def test_closed_port_did_not_take_effect(self):
        """An append without a connection must be reported as having no effect."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            url = f"http://127.0.0.1:{unused.getsockname()[1]}"
            error = LogClient(url, "config").append(b"data").error
        self.assertIsInstance(error, LogUnreachable)
        self.assertFalse(error.may_have_taken_effect)
