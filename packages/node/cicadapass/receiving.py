"""Bound what a sender can make the server wait for, read and keep open."""

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

# An unread body up to this size is read before the answer, so that the connection
# can be used again.
MAX_DRAIN_BYTES = 64 * 1024
# A connection with an unread body is read for this long after the answer, since
# closing it at once would reset it and might take the answer from the sender.
LINGER_S = 1.0
MAX_LINGER_BYTES = 1024 * 1024


class ReceiveDeadlines:
    """End the reading from connections whose request does not arrive in time.

    The socket timeout alone restarts with each byte, so a sender that drips bytes
    could hold a thread for ever.
    """

    def __init__(self, limit_s: float, clock: Callable[[], float]) -> None:
        self._limit_s = limit_s
        self._clock = clock
        self._deadlines: dict[int, tuple[float, Any]] = {}
        self._lock = threading.Lock()

    @contextlib.contextmanager
    def limit(self, connection: Any) -> Iterator[None]:
        """Limit the time of the enclosed reads from the connection."""
        key = id(connection)
        with self._lock:
            self._deadlines[key] = (self._clock() + self._limit_s, connection)
        try:
            yield
        finally:
            with self._lock:
                self._deadlines.pop(key, None)

    def end_late(self) -> int:
        """End the reading from the late connections and return their number."""
        now_s = self._clock()
        # The lock is held until the end, so that no connection whose request has
        # just arrived is shut down.
        with self._lock:
            late_keys = [
                key
                for key, (deadline_s, _) in self._deadlines.items()
                if deadline_s <= now_s
            ]
            for key in late_keys:
                _, connection = self._deadlines.pop(key)
                connection.end_reading()
        return len(late_keys)


class ConnectionSlots:
    """Know the open connections, up to a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()

    @property
    def in_use(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def acquire(self, connection: socket.socket) -> bool:
        """Return whether there is room for one more connection."""
        with self._lock:
            if len(self._open) >= self._limit:
                return False
            self._open.add(connection)
            return True

    def release(self, connection: socket.socket) -> None:
        """Make room for another connection."""
        with self._lock:
            self._open.discard(connection)

    def close_all(self) -> None:
        """End all connections, so that no thread waits for one."""
        with self._lock:
            connections = tuple(self._open)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class CombinedHeadRequest(HTTPRequest):
    """Send the head of an answer together with the first part of its body."""

    _pending_head = b""

    def send_headers(self) -> None:
        """Send the head, or keep it for the first part of the body."""
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
        """Send a part of the body, with the head before the first."""
        if self._pending_head and chunk:
            # One packet wakes the caller once instead of twice.
            chunk, self._pending_head = self._pending_head + chunk, b""
        super().write(chunk)

    def respond(self) -> None:
        """Answer, even if no part of a body follows the head."""
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
    """Return the class of the server's connections."""

    class Request(CombinedHeadRequest):
        """Receive a request within the time limit; report errors as problems."""

        def parse_request(self) -> None:
            """Read the head of the request."""
            # A slow sender keeps the thread, so the pool may have to grow.
            on_thread_busy()
            with deadlines.limit(self.conn):
                super().parse_request()

        def simple_response(self, status: Any, msg: str = "") -> None:
            """Answer an error of the server itself and end the connection."""
            problem = _server_problem(str(status), msg, timed_out=self.conn.timed_out)
            self.close_connection = True
            self.conn.wfile.write(_problem_response(self.server.protocol, problem))

    class Connection(HTTPConnection):
        """Use the request class; hold one of the slots."""

        RequestHandlerClass = Request
        timed_out = False
        awaits_first_byte = True
        has_unread_body = False

        def __init__(self, server: Any, sock: Any, makefile: Any) -> None:
            if not slots.acquire(sock):
                sock.close()
                # The server takes this error for a connection that is gone.
                raise ConnectionResetError(errno.ECONNRESET, "too many connections")
            self._slot = sock
            super().__init__(server, sock, makefile)

        def end_reading(self) -> None:
            """Make reads return the end; a plain connection can still be answered."""
            self.timed_out = True
            # A TLS socket would send the answer unencrypted after a partial shutdown.
            is_plain = self.server.ssl_adapter is None
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RD if is_plain else socket.SHUT_RDWR)

        def close(self) -> None:
            """Close the connection and give its slot back once."""
            try:
                if self.has_unread_body and self.server.ssl_adapter is None:
                    _discard_unread(self.socket)
                super().close()
            finally:
                slots.release(self._slot)

    return Connection


def drain_body(request: Any, deadlines: ReceiveDeadlines) -> None:
    """Read the rest of a request's body, or mark the connection to be closed.

    What is left of a body would be taken for the next request.
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
