"""The HTTP server for callers and operators, with bounded resources per connection."""

import logging
import os
import selectors
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from cheroot import wsgi
from cheroot.connections import ConnectionManager
from cheroot.server import HTTPRequest
from cheroot.ssl.builtin import BuiltinSSLAdapter

from cicadapass.receiving import (
    ConnectionSlots,
    ReceiveDeadlines,
    connection_class,
    drain_body,
)

logger = logging.getLogger(__name__)

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Callable[[bytes], object]]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]

# WSGI environment key of a context manager that limits the time to read the body.
RECEIVE_LIMIT_KEY = "cicadapass.receive_limit"
# WSGI environment key of the SocketSender; missing on TLS connections.
DIRECT_SENDER_KEY = "cicadapass.direct_sender"
# A late sender is detected after at most this interval.
RECEIVE_CHECK_INTERVAL_S = 0.5
STOP_GRACE_S = 5.0
# After the connections are closed, threads have this time to end; the remaining ones
# end with the process.
FORCED_CLOSE_WAIT_S = 1.5
# The server counts chunk sizes and line ends towards the limit of a chunked body.
CHUNK_FRAMING_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Configure the limits of one server.

    `idle_reserve` is the number of idle threads below which the pool grows.
    """

    min_threads: int = 16
    max_threads: int = 1024
    idle_reserve: int = 8
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    receive_timeout_s: float = 10.0
    idle_timeout_s: int = 10
    listen_backlog: int = 128
    max_connections: int = 4096


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Name the files of an address's certificate and private key, in PEM format."""

    certificate: str
    private_key: str


class _DeferredHandshakeAdapter(BuiltinSSLAdapter):
    """Perform the TLS handshake in the thread of the request.

    The base class performs it in the accepting thread, where one silent sender would
    block all others for the socket timeout.
    """

    def wrap(self, sock: Any) -> tuple[Any, dict[str, str]]:
        """Return the wrapped socket and the environment of its requests."""
        wrapped = self.context.wrap_socket(
            sock, do_handshake_on_connect=False, server_side=True
        )
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}


class SocketSender:
    """Write to the socket of a response whose headers have been sent."""

    def __init__(self, request: HTTPRequest) -> None:
        self._request = request

    def write_nonblocking(self, data: bytes) -> bytes:
        """Send without blocking and return the bytes not sent, with their framing."""
        if self._request.chunked_write:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        try:
            # A socket with a timeout has a non-blocking file descriptor.
            sent = os.write(self._request.conn.socket.fileno(), data)
        except BlockingIOError:
            sent = 0
        return data[sent:]

    def write_remaining(self, data: bytes) -> None:
        """Send what `write_nonblocking` returned; blocks while the reader is slow."""
        self._request.conn.wfile.write(data)


class _Connections(ConnectionManager):
    _selector: Any
    server: Any

    def __init__(self, server: Any) -> None:
        super().__init__(server)
        # Pool threads keep connections here while another thread closes the server.
        self._lock = threading.RLock()
        self._closed = False

    def put(self, conn: Any) -> None:
        """Keep an idle connection; after the stop, answer what it received and end."""
        with self._lock:
            if not self._closed:
                super().put(conn)
                return
        while _has_received(conn) and conn.communicate():
            pass
        conn.close()

    def close(self) -> None:
        """Close idle connections; those with a received request get a thread first."""
        with self._lock:
            for file_number, connection in list(self._selector.select(timeout=0)):
                if connection is not self.server:
                    self._selector.unregister(file_number)
                    self.server.process_conn(connection)
            self._closed = True
            super().close()


def _has_received(connection: Any) -> bool:
    if connection.rfile.has_data():
        return True
    with selectors.DefaultSelector() as selector:
        selector.register(connection.socket, selectors.EVENT_READ)
        return bool(selector.select(timeout=0))


class _Server(wsgi.Server):
    _connections: Any

    def prepare(self) -> None:
        """Bind the address and start to listen; raise OSError if that fails."""
        super().prepare()
        self._connections.close()
        self._connections = _Connections(self)

    def process_conn(self, conn: Any) -> None:
        """Assign a thread to a connection; new ones must send a byte first."""
        if conn.awaits_first_byte:
            # A thread that waits for the first byte could not serve other requests.
            conn.awaits_first_byte = False
            self._connections.put(conn)
            return
        super().process_conn(conn)

    def put_conn(self, conn: Any) -> None:
        """Keep an idle connection, also during the stop.

        The base class closes it once the stop has begun, and with it a request that
        has arrived since the last response.
        """
        self._connections.put(conn)

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log an error of a connection at debug level."""
        # Aborted answers raise by design, so this is not an error of the node.
        logger.debug("%s", msg, exc_info=traceback)


class NodeHttpServer:
    """Serve a WSGI application with a thread pool that keeps idle threads."""

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
        self._slots = ConnectionSlots(limits.max_connections)
        self._server.keep_alive_conn_limit = limits.max_connections
        self._server.ConnectionClass = connection_class(
            self._deadlines, self._slots, self.on_thread_busy
        )
        self._server.gateway = self._gateway_class()
        if tls is not None:
            self._server.ssl_adapter = _DeferredHandshakeAdapter(
                tls.certificate, tls.private_key
            )
        self._pool_low = threading.Event()
        self._stopping = False
        self._threads: list[threading.Thread] = []

    @property
    def port(self) -> int:
        """Return the port in use, also if port 0 was configured."""
        return self._server.bind_addr[1]

    @property
    def idle_threads(self) -> int:
        """Return the number of pool threads without a request."""
        return self._server.requests.idle

    def start(self) -> None:
        """Listen and serve in background threads; raise OSError if that fails."""
        self._prepare()
        for name, target in (
            ("http-accept", self._server.serve),
            ("http-pool", self._grow_pool),
            ("http-deadlines", self._enforce_receive_deadlines),
        ):
            thread = threading.Thread(target=target, name=name, daemon=True)
            thread.start()
            self._threads.append(thread)

    def _prepare(self) -> None:
        # Pool threads inherit the daemon flag of the thread that starts them; without
        # it, they would keep the process of a stopped or failed node alive.
        failures: list[OSError] = []

        def prepare() -> None:
            try:
                self._server.prepare()
            except OSError as error:
                failures.append(error)

        thread = threading.Thread(target=prepare, name="http-prepare", daemon=True)
        thread.start()
        thread.join()
        if failures:
            raise failures[0]

    def stop(self, grace_s: float = STOP_GRACE_S) -> None:
        """Stop listening; close the remaining connections after the grace time."""
        self._stopping = True
        self._pool_low.set()
        # The server waits for its threads without a time limit, and one of them may
        # wait for a token that never arrives.
        stopper = threading.Thread(
            target=self._server.stop, name="http-stop", daemon=True
        )
        stopper.start()
        stopper.join(grace_s)
        if stopper.is_alive():
            self._slots.close_all()
            stopper.join(FORCED_CLOSE_WAIT_S)

    def on_thread_busy(self) -> None:
        """Grow the pool if idle threads are short; called when a thread gets busy."""
        if self._server.requests.idle < self._limits.idle_reserve:
            self._pool_low.set()

    def _grow_pool(self) -> None:
        while not self._stopping:
            self._pool_low.wait()
            self._pool_low.clear()
            pool = self._server.requests
            while not self._stopping and pool.idle < self._limits.idle_reserve:
                thread_count = len(pool._threads)
                # Each call waits until its threads have started, so growing by the
                # reserve alone would serve a backlog late.
                pool.grow(2 * self._limits.idle_reserve + pool.qsize)
                if len(pool._threads) == thread_count:
                    break

    def _enforce_receive_deadlines(self) -> None:
        timer = threading.Event()
        while not self._stopping:
            timer.wait(RECEIVE_CHECK_INTERVAL_S)
            self._deadlines.end_late()

    def _gateway_class(self) -> type[wsgi.Gateway_10]:
        deadlines = self._deadlines
        max_chunked_bytes = self._limits.max_body_bytes + CHUNK_FRAMING_BYTES

        class Gateway(wsgi.Gateway_10):
            """Extend the WSGI environment with the keys of this module."""

            def get_environ(self) -> Any:
                """Return the WSGI environment with the receive limit and the sender."""
                environ: Any = super().get_environ()  # type: ignore[func-returns-value]
                connection = self.req.conn
                environ[RECEIVE_LIMIT_KEY] = lambda: deadlines.limit(connection)
                if self.req.chunked_read:
                    # Without it, the size of a chunk is unlimited.
                    self.req.rfile.maxlen = max_chunked_bytes
                if self.req.server.ssl_adapter is None:
                    environ[DIRECT_SENDER_KEY] = SocketSender(self.req)
                return environ

            def start_response(self, status: Any, headers: Any, *args: Any) -> Any:
                """Start the response; close the connection if the headers say so."""
                if ("Connection", "close") in headers:
                    self.req.close_connection = True
                drain_body(self.req, deadlines)
                return super().start_response(status, headers, *args)

        return Gateway
