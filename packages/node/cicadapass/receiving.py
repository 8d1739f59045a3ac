"""Limits on receiving requests: time, unread bytes and open connections."""

import contextlib
import errno
import io
import json
import socket
import threading
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any

from cheroot.server import HTTPConnection, HTTPRequest

from cicadapass.problems import Problem, internal, malformed, slow_body

# An unread body up to this size is read before the response, so that the connection
# can be reused.
MAX_DRAIN_BYTES = 64 * 1024
# After the response, an unread body is discarded until no byte arrives for this time.
# Closing at once would reset the connection, and the sender could lose the response.
LINGER_S = 1.0
MAX_LINGER_BYTES = 1024 * 1024


class ReceiveDeadlines:
    """Limit the total time in which a request must arrive.

    The socket timeout restarts with each byte, so on its own it would let a sender
    occupy a thread indefinitely by sending single bytes.
    """

    def __init__(self, limit_s: float, clock: Callable[[], float]) -> None:
        self._limit_s = limit_s
        self._clock = clock
        self._deadlines: dict[int, tuple[float, Any]] = {}
        self._lock = threading.Lock()

    @contextlib.contextmanager
    def limit(self, connection: Any) -> Iterator[None]:
        """Limit the total time of the enclosed reads from the connection."""
        connection_id = id(connection)
        with self._lock:
            self._deadlines[connection_id] = (self._clock() + self._limit_s, connection)
        try:
            yield
        finally:
            with self._lock:
                self._deadlines.pop(connection_id, None)

    def end_late(self) -> int:
        """End reading on connections past their deadline; return their number."""
        now_s = self._clock()
        # The lock is held throughout, so that a connection whose request has just
        # arrived is not shut down.
        with self._lock:
            late_ids = [
                connection_id
                for connection_id, (deadline_s, _) in self._deadlines.items()
                if deadline_s <= now_s
            ]
            for connection_id in late_ids:
                _, connection = self._deadlines.pop(connection_id)
                connection.end_reading()
        return len(late_ids)


class ConnectionSlots:
    """Track the open connections and limit their number."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()

    @property
    def in_use(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def acquire(self, connection: socket.socket) -> bool:
        """Add the connection; return False if the limit is reached."""
        with self._lock:
            if len(self._open) >= self._limit:
                return False
            self._open.add(connection)
            return True

    def release(self, connection: socket.socket) -> None:
        """Remove the connection; repeated calls have no effect."""
        with self._lock:
            self._open.discard(connection)

    def close_all(self) -> None:
        """Shut all connections down, which unblocks the threads that use them."""
        with self._lock:
            connections = tuple(self._open)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class CombinedHeadRequest(HTTPRequest):
    """Send the head of a response together with the start of its body."""

    _pending_head = b""

    def send_headers(self) -> None:
        """Keep the head until `write`, unless the body is chunked or there is none."""
        wfile = self.conn.wfile
        buffer = io.BytesIO()
        self.conn.wfile = buffer
        try:
            super().send_headers()
        finally:
            self.conn.wfile = wfile
        self._pending_head = buffer.getvalue()
        if self.chunked_write or self.method == b"HEAD":
            self._send_head()

    def write(self, chunk: bytes) -> None:
        """Send body bytes, preceded by the head if it is still pending."""
        if self._pending_head and chunk:
            # A single packet wakes the caller once instead of twice.
            chunk, self._pending_head = self._pending_head + chunk, b""
        super().write(chunk)

    def respond(self) -> None:
        """Send the response; a head without a body is sent at the end."""
        super().respond()
        self._send_head()

    def _send_head(self) -> None:
        pending_head, self._pending_head = self._pending_head, b""
        if pending_head:
            self.conn.wfile.write(pending_head)


def connection_class(
    deadlines: ReceiveDeadlines,
    slots: ConnectionSlots,
    on_thread_busy: Callable[[], None],
) -> type[HTTPConnection]:
    """Return a connection class that enforces the deadlines and slots.

    `on_thread_busy` is called when a thread begins to read a request.
    """

    class Request(CombinedHeadRequest):
        """Limit the time to receive the head; report errors as problems."""

        def parse_request(self) -> None:
            """Read the head of the request within the time limit."""
            # A slow sender occupies the thread, so the pool may have to grow.
            on_thread_busy()
            with deadlines.limit(self.conn):
                super().parse_request()

        def simple_response(self, status: Any, msg: str = "") -> None:
            """Send an error of the server as a problem and close the connection."""
            problem = _server_problem(str(status), msg, timed_out=self.conn.timed_out)
            self.close_connection = True
            self.conn.wfile.write(_problem_response(self.server.protocol, problem))

    class Connection(HTTPConnection):
        """Occupy a slot until the connection is closed."""

        RequestHandlerClass = Request
        timed_out = False
        awaits_first_byte = True
        has_unread_body = False

        def __init__(self, server: Any, sock: Any, makefile: Any) -> None:
            if not slots.acquire(sock):
                sock.close()
                # The server handles this error like a disconnected client.
                raise ConnectionResetError(errno.ECONNRESET, "too many connections")
            self._slot = sock
            super().__init__(server, sock, makefile)

        def end_reading(self) -> None:
            """Make reads return the end; without TLS, a response can still be sent."""
            self.timed_out = True
            # A TLS socket would send the response unencrypted after a partial shutdown.
            is_plain = self.server.ssl_adapter is None
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RD if is_plain else socket.SHUT_RDWR)

        def close(self) -> None:
            """Close the connection and release its slot."""
            try:
                if self.has_unread_body and self.server.ssl_adapter is None:
                    _discard_unread(self.socket)
                super().close()
            finally:
                slots.release(self._slot)

    return Connection


def drain_body(request: Any, deadlines: ReceiveDeadlines) -> None:
    """Read the remaining body of a request, or mark the connection to be closed.

    Unread body bytes would be parsed as the next request.
    """
    remaining = getattr(request.rfile, "remaining", None)
    if remaining is None:
        complete = bool(request.rfile.closed)
    elif remaining > MAX_DRAIN_BYTES:
        complete = False
    else:
        with deadlines.limit(request.conn), contextlib.suppress(OSError):
            request.rfile.read(remaining)
        complete = request.rfile.remaining == 0
    if not complete or request.conn.timed_out:
        request.close_connection = True
        request.conn.has_unread_body = not complete


def _server_problem(status: str, detail: str, *, timed_out: bool) -> Problem:
    if timed_out:
        return slow_body()
    status_code = int(status[:3])
    if status_code == HTTPStatus.INTERNAL_SERVER_ERROR:
        return internal()
    problem = malformed(detail or status, "send a request that RFC 9112 allows")
    return Problem(
        problem.name,
        HTTPStatus(status_code),
        problem.detail,
        problem.remedy,
        problem.verdict,
    )


def _problem_response(protocol: str, problem: Problem) -> bytes:
    body = json.dumps(problem.members()).encode()
    status = problem.status
    headers = [
        *problem.headers(),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    lines = [f"{protocol} {status.value} {status.phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


def _discard_unread(sock: socket.socket) -> None:
    remaining = MAX_LINGER_BYTES
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        sock.settimeout(LINGER_S)
        while remaining > 0 and (data := sock.recv(min(remaining, 65_536))):
            remaining -= len(data)
