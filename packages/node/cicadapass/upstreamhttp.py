"""What the clients of engines and plain services share."""

import socket
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import urllib3

from cicadapass.wholehead import require_whole_heads

# An upstream that sets this header to 1 on an error proves that it ran nothing.
NOT_RUN_HEADER = "Cicadapass-Not-Run"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Say why a call failed and whether a byte may have reached the upstream."""

    reason: str
    sent: bool
    refused: bool = False
    timed_out: bool = False


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Bound the waits for an upstream."""

    connect_s: float = 1.0
    read_s: float = 30.0


# Errors that urllib3 raises only before it has written the request.
_UNSENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
)


def classify(error: Exception) -> CallFailure:
    """Return the failure with the knowledge whether the request was sent."""
    return CallFailure(
        str(error),
        sent=not isinstance(error, _UNSENT),
        timed_out=isinstance(error, urllib3.exceptions.ReadTimeoutError),
    )


def timeout_of(timeouts: Timeouts) -> urllib3.Timeout:
    """Return the timeouts in the form of the HTTP library."""
    return urllib3.Timeout(connect=timeouts.connect_s, read=timeouts.read_s)


def new_pool(max_connections: int) -> urllib3.PoolManager:
    """Return a connection pool for upstreams that never retries by itself."""
    pool = urllib3.PoolManager(num_pools=64, maxsize=max_connections, retries=False)
    return require_whole_heads(pool)


@dataclass(frozen=True, slots=True)
class TakenSocket:
    """Hold the socket of a response whose body is read without the library.

    `give_back` returns the connection to its pool after the last chunk.
    """

    socket: socket.socket
    buffered: bytes
    give_back: Callable[[], None]


def take_socket(response: urllib3.BaseHTTPResponse) -> TakenSocket | None:
    """Return the non-blocking socket of a chunked body, or None if not possible."""
    connection = response.connection
    sock = getattr(connection, "sock", None)
    # The library has no public access to the bytes it has read beyond the head.
    original: Any = getattr(response, "_original_response", None)
    buffer = getattr(original, "fp", None)
    if sock is None or buffer is None or isinstance(sock, ssl.SSLSocket):
        return None
    if not getattr(response, "chunked", False):
        return None
    timeout_s = sock.gettimeout()
    sock.setblocking(False)
    # On a socket that does not block, peek gives what is buffered.
    buffered = buffer.read1(len(buffer.peek()) or 1) or b""

    def give_back() -> None:
        sock.settimeout(timeout_s)
        original.close()
        response.release_conn()

    return TakenSocket(sock, buffered, give_back)
