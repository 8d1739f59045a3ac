"""Test the requests to nodes over HTTP."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import testtools

from cicadapass_common.operator_api import DrainAnswer
from cicadapassctl.exceptions import NodeError
from cicadapassctl.nodes import http_fetch, query_all

CREDENTIAL = "c" * 16
VALID_ANSWER = b'{"draining": true, "requests_in_progress": 3, "unknown": 1}'


class FakeNodeHandler(BaseHTTPRequestHandler):
    """Return a valid answer on one path and HTML on any other."""

    def do_GET(self):
        authorized = self.headers["Authorization"] == f"Bearer {CREDENTIAL}"
        body = VALID_ANSWER if self.path == "/good?a=b+c" else b"<html>"
        self.send_response(200 if authorized else 401)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        pass


class NodesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        server = ThreadingHTTPServer(("127.0.0.1", 0), FakeNodeHandler)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.url = f"http://127.0.0.1:{server.server_port}"

    def query(self, path, credential=CREDENTIAL, url=None):
        """Query one node and return the answers."""
        fetch = http_fetch(credential, 10.0)
        return query_all(fetch, (url or self.url,), path, DrainAnswer, {"a": "b c"})

    def test_answer(self):
        """The credential and the query must reach the node."""
        self.assertEqual((DrainAnswer(True, 3),), self.query("/good").values)

    def test_failures_name_the_node(self):
        """Each failure must name the node and a remedy."""
        closed = "http://127.0.0.1:1"
        cases = [
            (self.query("/other"), self.url, "operator address"),
            (self.query("/good", "d" * 16), self.url, "operator_credential"),
            (self.query("/good", url=closed), closed, "check that it runs"),
        ]
        for answers, url, remedy in cases:
            (error,) = answers.failed
            self.assertIsInstance(error, NodeError)
            self.assertEqual(url, error.address)
            self.assertIn(remedy, error.remedy)
