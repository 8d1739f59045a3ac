"""HTTP servers of a stand-in and of its control address, based on cheroot."""

import contextlib
import errno
import json
import logging
import os
import select
import socket
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import cached_property
from http import HTTPStatus
from typing import Any, Generic, Protocol, TypeVar
from urllib.parse import parse_qsl, unquote

from cheroot.server import Gateway, HTTPRequest, HTTPServer

from cicadapass_standins.exceptions import BadRequest, DropConnection
from cicadapass_standins.faults import FaultControl

logger = logging.getLogger(__name__)

# States that nothing ran, so that the caller may send the request elsewhere.
NOT_RUN = ("Cicadapass-Not-Run", "1")
# Longer than any pause of a benchmark: a connection that the server closes while the
# client reuses it looks like a failure of the upstream.
IDLE_CONNECTION_S = 600
LISTEN_BACKLOG = 1024
CONTROL_THREADS = 4
# Time that a stop leaves to requests in progress.
STOP_GRACE_S = 1.0
# The accept loop checks for a stop at this interval.
STOP_POLL_S = 0.1


@dataclass(frozen=True)
class ServerOptions:
    """Listening addresses; port 0 selects a free port."""

    host: str = "127.0.0.1"
    port: int = 0
    control_port: int = 0
    threads: int = 64


@dataclass(frozen=True)
class Response:
    """Represent an HTTP response.

    A function as `body` sends the headers and the chunks itself.
    """

    status: int
    body: bytes | Callable[[], None] = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


def json_response(
    value: object, status: int = HTTPStatus.OK, *headers: tuple[str, str]
) -> Response:
    """Build a response with `value` as its JSON body."""
    return Response(status, json.dumps(value).encode(), headers)


def error_response(status: int, error: str, *headers: tuple[str, str]) -> Response:
    """Build a response with the JSON body `{"error": ...}`."""
    return json_response({"error": error}, status, *headers)


class Request:
    """Represent one HTTP request whose body has been read completely."""

    def __init__(self, raw: HTTPRequest) -> None:
        self._raw = raw
        self.method: str = raw.method.decode("ascii")
        self.target: str = raw.uri.decode("ascii")
        path, _, query = self.target.partition("?")
        self.path = path
        self.path_segments = tuple(unquote(segment) for segment in path.split("/")[1:])
        self.query = dict(parse_qsl(query))
        self.body: bytes = raw.rfile.read()

    @cached_property
    def fields(self) -> dict[str, Any]:
        """The body as a JSON object; an empty body counts as `{}`."""
        try:
            value = json.loads(self.body or b"{}")
        except ValueError as error:
            raise BadRequest(f"the body is not JSON: {error}") from error
        if not isinstance(value, dict):
            raise BadRequest("the body is not a JSON object")
        return value

    def header(self, name: str) -> str | None:
        """Return the value of a request header, or None if it is absent."""
        value = self._raw.inheaders.get(name.title().encode("ascii"))
        return None if value is None else value.decode("latin-1")

    def query_number(self, name: str, default: float) -> float:
        """Return a number from the query string; another value raises `BadRequest`."""
        try:
            return float(self.query.get(name, default))
        except ValueError as error:
            raise BadRequest(f"{name} must be a number") from error

    def send_headers(self) -> None:
        """Send the status line and the headers unless they were already sent."""
        self._raw.ensure_headers_sent()

    def write_nonblocking(self, chunk: bytes) -> bytes:
        """Send one chunk without blocking and return the bytes that were not sent."""
        data = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        try:
            # A socket with a timeout is non-blocking at the level of its descriptor.
            sent = os.write(self._raw.conn.socket.fileno(), data)
        except BlockingIOError:
            sent = 0
        return data[sent:]

    def write_blocking(self, data: bytes) -> None:
        """Send the bytes that `write_nonblocking` returned; blocks on a slow reader."""
        self._raw.conn.wfile.write(data)

    def caller_disconnected(self) -> bool:
        """Return whether the caller has closed its end of the connection."""
        readable = select.poll()
        readable.register(self._raw.conn.socket, select.POLLRDHUP)
        return bool(readable.poll(0))


class App(Protocol):
    """Interface that each stand-in implements."""

    faults: FaultControl[Any]

    def handle(self, request: Request) -> Response:
        """Return the response to a request.

        `BadRequest` becomes status 400; `DropConnection` closes the connection.
        """

    def close(self) -> None:
        """Release long polls, delayed requests and streams; called before the stop."""


class _Gateway(Gateway):
    # The WSGI gateway of cheroot sends response headers even when the handler fails,
    # so it cannot close a connection without a response.
    def respond(self) -> None:
        raw = self.req
        raw.server.active.add(raw.conn.socket)
        try:
            response = _handle_or_error(raw.server.app_handle, Request(raw))
            self._send(response)
        except DropConnection as drop:
            # cheroot closes the connection without a response on this error.
            raise ConnectionResetError(errno.ECONNRESET, "dropped") from drop
        finally:
            raw.server.active.discard(raw.conn.socket)

    def _send(self, response: Response) -> None:
        raw = self.req
        reason = HTTPStatus(response.status).phrase
        raw.status = f"{int(response.status)} {reason}".encode("ascii")
        headers = [("Content-Type", response.content_type), *response.headers]
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
        for name, value in headers:
            raw.outheaders.append((name.encode("ascii"), value.encode("latin-1")))
        if isinstance(response.body, bytes):
            raw.ensure_headers_sent()
            if raw.method != b"HEAD":
                raw.write(response.body)
        else:
            response.body()


def _handle_or_error(
    handle: Callable[[Request], Response], request: Request
) -> Response:
    try:
        return handle(request)
    except BadRequest as error:
        return error_response(HTTPStatus.BAD_REQUEST, str(error))
    except DropConnection:
        raise
    except Exception:
        logger.exception("request failed: %s %s", request.method, request.target)
        return error_response(
            HTTPStatus.INTERNAL_SERVER_ERROR, "internal error of the stand-in"
        )


class _Server(HTTPServer):
    def __init__(
        self,
        app_handle: Callable[[Request], Response],
        address: tuple[str, int],
        threads: int,
    ) -> None:
        super().__init__(address, _Gateway, minthreads=threads, maxthreads=threads)
        self.app_handle = app_handle
        # The sockets of requests in progress.
        self.active: set[socket.socket] = set()
        self.request_queue_size = LISTEN_BACKLOG
        self.timeout = IDLE_CONNECTION_S
        # None means no limit, which the declared type of cheroot does not include.
        self.keep_alive_conn_limit = None  # type: ignore[assignment]
        self.expiration_interval = STOP_POLL_S
        self.shutdown_timeout = 1

    def abort(self) -> None:
        """Shut down the sockets of requests in progress, even in a blocked write."""
        for connection in list(self.active):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log messages of cheroot at level INFO at most, which is hidden by default."""
        logger.log(min(level, logging.INFO), "%s", msg, exc_info=traceback)


AppT = TypeVar("AppT", bound=App)


class Standin(Generic[AppT]):
    """Run a stand-in with its public address and its control address.

    It serves from construction until `stop`.
    """

    def __init__(self, app: AppT, options: ServerOptions | None = None) -> None:
        options = options or ServerOptions()
        self.app = app
        self._servers = (
            _Server(self._handle, (options.host, options.port), options.threads),
            _Server(
                self._handle_control,
                (options.host, options.control_port),
                CONTROL_THREADS,
            ),
        )
        try:
            self.url, self.control_url = (_start(server) for server in self._servers)
        except OSError:
            # Threads of a started server would keep the process alive.
            self.stop()
            raise

    def stop(self) -> None:
        """End streams and long polls, then close all connections."""
        self.app.close()
        for server in self._servers:
            # cheroot waits indefinitely for a caller that does not read.
            timer = threading.Timer(STOP_GRACE_S, server.abort)
            timer.start()
            server.stop()
            timer.cancel()

    def _handle(self, request: Request) -> Response:
        if request.path == "/healthz":
            return json_response({"status": "ok"})
        return self.app.handle(request)

    def _handle_control(self, request: Request) -> Response:
        match (request.method, request.path):
            case ("GET", "/healthz"):
                return json_response({"status": "ok"})
            case ("GET", "/control"):
                return json_response(self.app.faults.as_dict())
            case ("POST", "/control"):
                self.app.faults.merge(request.fields)
                return json_response(self.app.faults.as_dict())
        return not_found_response(request)


def not_found_response(request: Request) -> Response:
    """Build the 404 response to a request that the stand-in does not serve."""
    return error_response(
        HTTPStatus.NOT_FOUND, f"no such resource: {request.method} {request.path}"
    )


def retry_later_response(status: int, error: str, wait_s: float = 1.0) -> Response:
    """Build a refusal with Retry-After, for a request that had no effect."""
    # Retry-After takes whole seconds; at least 1, rounded up.
    seconds = max(1, -int(-wait_s // 1))
    return error_response(status, error, ("Retry-After", str(seconds)), NOT_RUN)


def _start(server: HTTPServer) -> str:
    server.prepare()
    threading.Thread(target=server.serve, name="accept", daemon=True).start()
    host, port = server.socket.getsockname()[:2]
    return f"http://{host}:{port}"


def string_field(
    fields: Mapping[str, Any], name: str, default: str | None = None
) -> str:
    """Return a string field of a JSON body; without a default it is required."""
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise BadRequest(f"{name} must be a string")
    return value


def int_field(fields: Mapping[str, Any], name: str, default: int | None = None) -> int:
    """Return an integer field of a JSON body; without a default it is required."""
    value = fields.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool):
        raise BadRequest(f"{name} must be an integer")
    return value
