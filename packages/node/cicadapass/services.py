"""The HTTP client of plain services."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import urllib3
from expression import Error, Ok, Result

from cicadapass.headers import pass_through
from cicadapass.upstreamhttp import (
    NOT_RUN_HEADER,
    CallFailure,
    Timeouts,
    UpstreamPools,
    classify,
    new_pool,
    urllib3_timeout,
)

# The upstream gets the time that is left, not what the caller had.
DEADLINE_HEADER = "Cicadapass-Deadline-Ms"
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

    def remaining_body(self) -> Iterator[bytes]:
        """Yield what follows the start; raise urllib3's HTTPError if it is cut."""
        yield from self._response.stream(BODY_CHUNK_BYTES, decode_content=False)

    def close(self) -> None:
        """Drop the connection."""
        self._response.close()


class ServiceClient:
    """Call plain services."""

    def __init__(self, pool: UpstreamPools, timeouts: Timeouts) -> None:
        self._pool = pool
        self._timeouts = timeouts

    def call(
        self, url: str, call: PlainCall, remaining_s: float
    ) -> Result[PlainAnswer, CallFailure]:
        """Pass one call through and return the answer once its head is here.

        `left_s` is the time to the deadline, after which nobody waits for the answer.
        """
        timeouts = replace(
            self._timeouts,
            connect_s=min(self._timeouts.connect_s, remaining_s),
            read_s=min(self._timeouts.read_s, remaining_s),
        )
        pool = self._pool if call.repeatable else _new_single_use_pool()
        try:
            response = pool.request(
                call.method,
                url,
                call.path,
                urllib3_timeout(timeouts),
                body=call.body or None,
                headers=dict(call.headers) | {DEADLINE_HEADER: _ms(remaining_s)},
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Error(classify(error))
        return Ok(PlainAnswer(response))


def _ms(seconds: float) -> str:
    return str(max(1, int(seconds * 1000)))


def _new_single_use_pool() -> UpstreamPools:
    # A kept connection may be closed by the upstream while the call is on its way,
    # and then nobody knows whether the call ran. A fresh connection avoids this.
    return new_pool(1)
