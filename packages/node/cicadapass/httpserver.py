"""The HTTP server for callers and operators, with bounded cost per connection."""

import contextlib
import io
import logging
import os
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.ssl.builtin import BuiltinSSLAdapter

logger = logging.getLogger(__name__)

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Callable[[bytes], object]]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]

# The application finds the time limit for receiving the body under this key.
RECEIVE_LIMIT_KEY = "cicadapass.receive_limit"
# The application finds a SocketSender under this key, except on TLS connections.
DIRECT_SENDER_KEY = "cicadapass.direct_sender"
# A stop waits this long for the threads whose connections were ended.
STOP_LIMIT_S = 1.5
# The deadlines of slow senders are checked this often.
SLOW_SENDER_CHECK_S = 0.5


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bound what callers can make the server spend."""

    min_threads: int = 16
    max_threads: int = 1024
    idle_reserve: int = 8
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    receive_timeout_s: float = 10.0
    idle_timeout_s: int = 10
    listen_backlog: int = 128


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Name the certificate and key files of an address."""

    certificate: str
    private_key: str


class ReceiveDeadlines:
    """Close the connections whose request does not arrive in time.

    The socket timeout alone restarts with each byte, so a sender that drips bytes
    could hold a thread for ever.
    """

    def __init__(self, limit_s: float, clock: Callable[[], float]) -> None:
        self._limit_s = limit_s
        self._clock = clock
        self._due: dict[int, tuple[float, Any]] = {}
        self._lock = threading.Lock()

    def begin(self, connection: HTTPConnection) -> None:
        """Start the time limit of a request that is being received."""
        with self._lock:
            due_s = self._clock() + self._limit_s
            self._due[id(connection)] = (due_s, connection)

    def end(self, connection: HTTPConnection) -> None:
        """End the time limit, since the request has arrived or failed."""
        with self._lock:
            self._due.pop(id(connection), None)

    @contextlib.contextmanager
    def limit(self, connection: HTTPConnection) -> Iterator[None]:
        """Limit the time of the enclosed reads from the connection."""
        self.begin(connection)
        try:
            yield
        finally:
            self.end(connection)

    def close_late(self) -> int:
        """Shut the late connections down and return their number."""
        now_s = self._clock()
        with self._lock:
            late = [c for due_s, c in self._due.values() if due_s <= now_s]
        for connection in late:
            self.end(connection)
            _shut_down(connection)
        return len(late)


class SocketSender:
    """Write parts of an answer's body whose headers have been sent."""

    def __init__(self, request: HTTPRequest) -> None:
        self._request = request

    def write_now(self, data: bytes) -> bytes:
        """Send a part without waiting and return the bytes not sent."""
        if self._request.chunked_write:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        try:
            # A socket with a timeout does not block at this level.
            sent = os.write(self._request.conn.socket.fileno(), data)
        except BlockingIOError:
            sent = 0
        return data[sent:]

    def write_rest(self, data: bytes) -> None:
        """Send what `write_now` left, waiting for a slow reader."""
        self._request.conn.wfile.write(data)


class _Server(wsgi.Server):
    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log faults of a connection."""
        # Aborted answers end here by design, so the message is for debugging only.
        logger.debug("%s", msg, exc_info=traceback)


def _shut_down(connection: HTTPConnection) -> None:
    try:
        connection.socket.shutdown(2)
    except OSError:
        # The sender may have gone by itself.
        return


class NodeHttpServer:
    """Run a WSGI application on a pool of threads that keeps a reserve."""

    def __init__(
        self,
        host: str,
        port: int,
        app: WsgiApp,
        limits: HttpLimits,
        tls: TlsFiles | None = None,
    ) -> None:
        self._limits = limits
        self._deadlines = ReceiveDeadlines(limits.receive_timeout_s, time.monotonic)
        self._server = _Server(
            (host, port),
            app,
            numthreads=limits.min_threads,
            max=limits.max_threads,
            request_queue_size=limits.listen_backlog,
            timeout=limits.idle_timeout_s,
            shutdown_timeout=1,
        )
        self._server.max_request_header_size = limits.max_header_bytes
        self._server.ConnectionClass = self._connection_class()
        self._server.gateway = self._gateway_class()
        if tls is not None:
            self._server.ssl_adapter = BuiltinSSLAdapter(
                tls.certificate, tls.private_key
            )
        self._pressure = threading.Event()
        self._stopping = False
        self._threads: list[threading.Thread] = []

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.bind_addr[1]

    @property
    def idle_threads(self) -> int:
        """Return the number of threads that wait for a request."""
        return self._server.requests.idle

    def start(self) -> None:
        """Listen and serve in threads of the server's own."""
        self._prepare()
        for name, target in (
            ("http-accept", self._server.serve),
            ("http-pool", self._keep_reserve),
            ("http-deadlines", self._close_late_senders),
        ):
            thread = threading.Thread(target=target, name=name, daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop listening and end all connections."""
        self._stopping = True
        self._pressure.set()
        for worker in tuple(self._server.requests._threads):
            if worker.conn is not None:
                # Its caller goes on through another node.
                _shut_down(worker.conn)
        # The server waits for its threads without a limit, and one of them may be
        # waiting for a token that does not come.
        stopping = threading.Thread(target=self._server.stop, daemon=True)
        stopping.start()
        stopping.join(STOP_LIMIT_S)

    def _prepare(self) -> None:
        """Bind the address and start the first threads, as daemon threads.

        Threads inherit this from the thread that starts them; others would keep
        the process alive.
        """
        errors: list[Exception] = []

        def prepare() -> None:
            try:
                self._server.prepare()
            except Exception as error:
                errors.append(error)

        thread = threading.Thread(target=prepare, name="http-prepare", daemon=True)
        thread.start()
        thread.join()
        if errors:
            raise errors[0]

    def thread_taken(self) -> None:
        """Note that a request keeps its thread, so that the pool may grow."""
        if self._server.requests.idle < self._limits.idle_reserve:
            self._pressure.set()

    def _keep_reserve(self) -> None:
        while not self._stopping:
            self._pressure.wait()
            self._pressure.clear()
            pool = self._server.requests
            while not self._stopping and pool.idle < self._limits.idle_reserve:
                before = len(pool._threads)
                # Each call waits for its threads to start, so a backlog that grew
                # by the reserve alone would be served late.
                pool.grow(2 * self._limits.idle_reserve + pool.qsize)
                if len(pool._threads) == before:
                    break

    def _close_late_senders(self) -> None:
        # An event wait ends at once on stop, unlike a plain sleep.
        done = threading.Event()
        while not self._stopping:
            done.wait(SLOW_SENDER_CHECK_S)
            self._deadlines.close_late()

    def _connection_class(self) -> type[HTTPConnection]:
        deadlines = self._deadlines

        class Request(HTTPRequest):
            """Receive a request within the time limit; answer in few writes."""

            _head = b""

            def send_headers(self) -> None:
                """Send the head, or keep it for the first part of the body."""
                wfile = self.conn.wfile
                held = io.BytesIO()
                self.conn.wfile = held
                try:
                    super().send_headers()
                finally:
                    self.conn.wfile = wfile
                self._head = held.getvalue()
                if self.chunked_write or self.method == b"HEAD":
                    self._send_head()

            def write(self, chunk: bytes) -> None:
                """Send a part of the body, with the head before the first."""
                if self._head and chunk:
                    # One packet wakes the caller once instead of twice.
                    chunk, self._head = self._head + chunk, b""
                super().write(chunk)

            def respond(self) -> None:
                """Answer, even if no part of a body follows the head."""
                super().respond()
                self._send_head()

            def _send_head(self) -> None:
                head, self._head = self._head, b""
                if head:
                    self.conn.wfile.write(head)

            def parse_request(self) -> None:
                """Read the head of the request."""
                with deadlines.limit(self.conn):
                    super().parse_request()

        class Connection(HTTPConnection):
            """Use the request class with the time limit."""

            RequestHandlerClass = Request

        return Connection

    def _gateway_class(self) -> type[wsgi.Gateway_10]:
        deadlines = self._deadlines

        class Gateway(wsgi.Gateway_10):
            """Give the application the time limit for the body."""

            def get_environ(self) -> Any:
                """Return the environment of the request."""
                environ: Any = super().get_environ()  # type: ignore[func-returns-value]
                connection = self.req.conn
                environ[RECEIVE_LIMIT_KEY] = lambda: deadlines.limit(connection)
                if self.req.server.ssl_adapter is None:
                    environ[DIRECT_SENDER_KEY] = SocketSender(self.req)
                return environ

        return Gateway
