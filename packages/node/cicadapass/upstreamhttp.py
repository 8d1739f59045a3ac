"""HTTP connection pools and failures shared by the clients of upstreams."""

import socket
import ssl
import threading
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import urllib3

from cicadapass.completehead import new_complete_head_pool

# Set to 1 on an error response, this header proves that the upstream ran nothing.
NOT_RUN_HEADER = "Cicadapass-Not-Run"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Describe a failed call.

    `sent` is whether the upstream may have received any of it, `refused` whether the
    upstream proved that it ran nothing.
    """

    reason: str
    sent: bool
    refused: bool = False
    timed_out: bool = False


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Bound the time to connect and the time between received bytes."""

    connect_s: float = 1.0
    read_s: float = 30.0


# More than the upstreams of one inventory; pools of replaced VMs are evicted.
MAX_POOLS = 4096

# Errors that urllib3 raises only before it has written the request.
_UNSENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
)


def classify(error: Exception) -> CallFailure:
    """Return the failure for an exception of urllib3 or of the socket.

    `sent` is false only if the error came before the request was written.
    """
    return CallFailure(
        str(error),
        sent=not isinstance(error, _UNSENT),
        timed_out=isinstance(error, urllib3.exceptions.ReadTimeoutError),
    )


def urllib3_timeout(timeouts: Timeouts) -> urllib3.Timeout:
    """Convert to urllib3's timeout object."""
    return urllib3.Timeout(connect=timeouts.connect_s, read=timeouts.read_s)


class UpstreamPools:
    """Keep a connection pool for each upstream; never retry or follow redirects.

    urllib3's pool manager parses the URL of each request again and checks it for
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
        """Send one request; `target` is the path and query below the base URL.

        Raises urllib3's HTTPError or OSError.
        """
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
                pool = new_complete_head_pool(base_url, self._max_connections)
                self._pools[base_url] = pool
            self._pools.move_to_end(base_url)
            if len(self._pools) > MAX_POOLS:
                # Requests in progress keep their connections of the evicted pool.
                self._pools.popitem(last=False)
            return pool


def new_pool(max_connections: int) -> UpstreamPools:
    """Return pools that keep at most `max_connections` to each upstream."""
    return UpstreamPools(max_connections)


@dataclass(frozen=True, slots=True)
class DetachedSocket:
    """Expose the socket of a response whose body is read without urllib3.

    `buffered` holds the bytes already read beyond the headers; `return_to_pool` is
    called after the last chunk.
    """

    socket: socket.socket
    buffered: bytes
    return_to_pool: Callable[[], None]


def detach_socket(response: urllib3.BaseHTTPResponse) -> DetachedSocket | None:
    """Return the non-blocking socket of a chunked response.

    Return None for TLS, for other encodings and if the socket is not accessible.
    """
    connection = response.connection
    sock = getattr(connection, "sock", None)
    # urllib3 has no public access to the bytes that it has read beyond the headers.
    original: Any = getattr(response, "_original_response", None)
    buffer = getattr(original, "fp", None)
    if sock is None or buffer is None or isinstance(sock, ssl.SSLSocket):
        return None
    if not getattr(response, "chunked", False):
        return None
    timeout_s = sock.gettimeout()
    sock.setblocking(False)
    # On a non-blocking socket, peek returns the buffered bytes.
    buffered = buffer.read1(len(buffer.peek()) or 1) or b""

    def return_to_pool() -> None:
        sock.settimeout(timeout_s)
        original.close()
        response.release_conn()

    return DetachedSocket(sock, buffered, return_to_pool)
