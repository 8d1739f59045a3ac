"""The HTTP client of plain services."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import urllib3
from expression import Error, Ok, Result

from cicadapass.upstreamhttp import CallFailure, Timeouts, classify, timeout_of

# An upstream that sets this header on an error proves that it ran nothing.
NOT_RUN_HEADER = "Cicadapass-Not-Run"
# Headers that belong to one connection and are not passed through (RFC 9110, 7.6.1).
HOP_HEADERS = frozenset(
    {
        "connection",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
BODY_CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class PlainCall:
    """Hold one call that is passed through."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool


class PlainAnswer:
    """Give the status, headers and body of an upstream's answer."""

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers = pass_through(response.headers)

    @property
    def proves_not_run(self) -> bool:
        """Return whether the upstream says that it ran nothing."""
        return self._response.headers.get(NOT_RUN_HEADER) == "1"

    def read_up_to(self, limit_bytes: int) -> tuple[bytes, bool]:
        """Return the start of the body and whether it is all of it.

        Raises urllib3's HTTPError if the body is cut short.
        """
        data = bytearray()
        while len(data) < limit_bytes:
            chunk = self._response.read(limit_bytes - len(data), decode_content=False)
            if not chunk:
                self._response.release_conn()
                return bytes(data), True
            data += chunk
        return bytes(data), False

    def rest(self) -> Iterator[bytes]:
        """Yield what follows the start; raise urllib3's HTTPError if it is cut."""
        yield from self._response.stream(BODY_CHUNK_BYTES, decode_content=False)

    def close(self) -> None:
        """Drop the connection."""
        self._response.close()


class ServiceClient:
    """Call plain services."""

    def __init__(self, pool: urllib3.PoolManager, timeouts: Timeouts) -> None:
        self._pool = pool
        self._timeouts = timeouts

    def call(self, url: str, call: PlainCall) -> Result[PlainAnswer, CallFailure]:
        """Pass one call through and return the answer once its head is here."""
        pool = self._pool if call.repeatable else _one_connection()
        try:
            response = pool.request(
                call.method,
                url + call.path,
                body=call.body or None,
                headers=dict(call.headers),
                preload_content=False,
                redirect=False,
                retries=False,
                timeout=timeout_of(self._timeouts),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Error(classify(error))
        return Ok(PlainAnswer(response))


def _one_connection() -> urllib3.PoolManager:
    # A kept connection may be closed by the upstream while the call is on its way,
    # and then nobody knows whether the call ran. A fresh connection avoids this.
    return urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)


def pass_through(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    """Return the headers that are not tied to one connection."""
    named = headers.get("Connection", "").lower().split(",")
    dropped = HOP_HEADERS | {name.strip() for name in named}
    return tuple((k, v) for k, v in headers.items() if k.lower() not in dropped)
