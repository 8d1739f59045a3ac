"""What the clients of engines and plain services share."""

import socket
import ssl
import threading
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import urllib3

from cicadapass.wholehead import whole_head_pool

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


# More than the upstreams of one inventory; addresses of old VMs drop out.
MAX_POOLS = 4096

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


def urllib3_timeout(timeouts: Timeouts) -> urllib3.Timeout:
    """Return the timeouts in the form of the HTTP library."""
    return urllib3.Timeout(connect=timeouts.connect_s, read=timeouts.read_s)


class UpstreamPools:
    """Keep the connections to each upstream and never retry.

    The library's pool manager parses the URL of each request anew and checks it for
    redirects, which took two fifths of the processor time of a request.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._pools: OrderedDict[str, urllib3.HTTPConnectionPool] = OrderedDict()
        self._lock = threading.Lock()

    def request(
        self,
        method: str,
        base_url: str,
        target: str,
        timeout: urllib3.Timeout,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        preload_content: bool = True,
    ) -> urllib3.BaseHTTPResponse:
        """Send one request; the target is path and query below the base URL."""
        return self._pool(base_url).urlopen(
            method,
            urlsplit(base_url).path.rstrip("/") + target,
            body,
            headers,
            retries=False,
            redirect=False,
            assert_same_host=False,
            timeout=timeout,
            preload_content=preload_content,
        )

    def _pool(self, base_url: str) -> urllib3.HTTPConnectionPool:
        with self._lock:
            pool = self._pools.get(base_url)
            if pool is None:
                pool = whole_head_pool(base_url, self._max_connections)
                self._pools[base_url] = pool
            self._pools.move_to_end(base_url)
            if len(self._pools) > MAX_POOLS:
                # Its connections close when the last request has used them.
                self._pools.popitem(last=False)
            return pool


def new_pool(max_connections: int) -> UpstreamPools:
    """Return connections to upstreams, at most so many kept for each."""
    return UpstreamPools(max_connections)


@dataclass(frozen=True, slots=True)
class DetachedSocket:
    """Hold the socket of a response whose body is read without the library.

    `return_to_pool` returns the connection to its pool after the last chunk.
    """

    socket: socket.socket
    buffered: bytes
    return_to_pool: Callable[[], None]


def detach_socket(response: urllib3.BaseHTTPResponse) -> DetachedSocket | None:
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

    def return_to_pool() -> None:
        sock.settimeout(timeout_s)
        original.close()
        response.release_conn()

    return DetachedSocket(sock, buffered, return_to_pool)
