"""Test the callers' server with TLS and a self-signed certificate."""

import http.client
import socket
import ssl
import subprocess
import tempfile
from pathlib import Path

import testtools

from cicadapass.httpserver import HttpLimits, NodeHttpServer, TlsFiles
from cicadapass.webreply import read_body, send_json

WAIT_S = 20.0


def make_certificate(directory):
    """Write a certificate for 127.0.0.1 and its key, and return their paths."""
    certificate, key = directory / "node.pem", directory / "node.key"
    command = (
        "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes"
        " -days 2 -subj /CN=node -addext subjectAltName=IP:127.0.0.1"
    )
    subprocess.run(
        [*command.split(), "-keyout", str(key), "-out", str(certificate)],
        check=True,
        capture_output=True,
        timeout=WAIT_S,
    )
    return certificate, key


class TlsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.certificate, self._key = make_certificate(Path(directory.name))
        self.schemes = []
        self.server = self._serve(receive_timeout_s=WAIT_S)

    def _serve(self, receive_timeout_s):
        limits = HttpLimits(
            min_threads=2,
            max_threads=8,
            idle_reserve=1,
            receive_timeout_s=receive_timeout_s,
            max_body_bytes=1000,
        )
        tls = TlsFiles(str(self.certificate), str(self._key))
        server = NodeHttpServer("127.0.0.1", 0, self._app, limits, tls)
        server.start()
        self.addCleanup(server.stop)
        return server

    def _app(self, environ, start):
        self.schemes.append(environ["wsgi.url_scheme"])
        return send_json(start, {"length": len(read_body(environ, 1000))})

    def _connection(self, context):
        connection = http.client.HTTPSConnection(
            "127.0.0.1", self.server.port, timeout=WAIT_S, context=context
        )
        self.addCleanup(connection.close)
        return connection

    def _trusting(self):
        return ssl.create_default_context(cafile=str(self.certificate))

    def test_requests_over_one_connection(self):
        """A kept-alive TLS connection must serve several requests."""
        connection = self._connection(self._trusting())
        for length in (0, 500):
            connection.request("POST", "/", b"x" * length)
            response = connection.getresponse()
            self.assertEqual(b'{"length": %d}' % length, response.read())
        self.assertEqual(["https", "https"], self.schemes)

    def test_an_untrusted_certificate_is_refused_by_the_caller(self):
        """A client that does not trust the configured certificate must refuse it."""
        connection = self._connection(ssl.create_default_context())
        self.assertRaises(ssl.SSLCertVerificationError, connection.request, "GET", "/")
        self.assertEqual([], self.schemes)

    def test_a_plain_request_gets_nothing(self):
        """A credential must not be accepted over a connection without TLS."""
        with socket.create_connection(
            ("127.0.0.1", self.server.port), WAIT_S
        ) as connection:
            connection.sendall(b"GET / HTTP/1.1\r\nHost: n\r\n\r\n")
            data = connection.recv(1000)
        self.assertNotIn(b"200", data)
        self.assertEqual([], self.schemes)

    def test_a_silent_sender_does_not_block_others(self):
        """A handshake must not block the thread that accepts connections."""
        silent_senders = [
            socket.create_connection(("127.0.0.1", self.server.port), WAIT_S)
            for _ in range(3)
        ]
        for sender in silent_senders:
            self.addCleanup(sender.close)
        connection = self._connection(self._trusting())
        connection.request("GET", "/")
        self.assertEqual(200, connection.getresponse().status)
        # The silent connections are still open, so the server did not wait for their
        # handshakes to time out.
        for sender in silent_senders:
            sender.setblocking(False)
            self.assertRaises(BlockingIOError, sender.recv, 1)

    def test_a_slow_body_gets_no_unencrypted_answer(self):
        """A TLS socket that was shut down in part would write unencrypted data."""
        self.server = self._serve(receive_timeout_s=0.2)
        connection = self._connection(self._trusting())
        connection.putrequest("POST", "/")
        connection.putheader("Content-Length", "10")
        connection.endheaders(b"abc")
        try:
            data = connection.sock.recv(1000)
        except OSError:
            return
        self.assertEqual(b"", data)
