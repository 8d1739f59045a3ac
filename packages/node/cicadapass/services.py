"""The HTTP client of plain services."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import urllib3
from expression import Error, Ok, Result

from cicadapass.headers import drop_hop_by_hop
from cicadapass.upstreamhttp import (
    NOT_RUN_HEADER,
    CallFailure,
    Timeouts,
    UpstreamPools,
    classify,
    new_pool,
    urllib3_timeout,
)

# The header carries the remaining time, not the caller's original timeout.
DEADLINE_HEADER = "Cicadapass-Deadline-Ms"
BODY_CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class PlainCall:
    """Describe one call that is passed through to a plain service."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool


class PlainAnswer:
    """Provide the status, headers and body of an upstream's answer."""

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers = drop_hop_by_hop(response.headers)

    @property
    def proves_not_run(self) -> bool:
        """Return whether the upstream's header confirms that nothing was run."""
        return self._response.headers.get(NOT_RUN_HEADER) == "1"

    def read_up_to(self, limit_bytes: int) -> tuple[bytes, bool]:
        """Return up to `limit_bytes` of the body and whether that is all of it.

        Raises urllib3's HTTPError if the body is truncated.
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
        """Yield the unread body in chunks; raise urllib3's HTTPError if truncated."""
        yield from self._response.stream(BODY_CHUNK_BYTES, decode_content=False)

    def close(self) -> None:
        """Close the connection instead of returning it to the pool."""
        self._response.close()


class ServiceClient:
    """Send calls to plain services; safe to share between threads."""

    def __init__(self, pool: UpstreamPools, timeouts: Timeouts) -> None:
        self._pool = pool
        self._timeouts = timeouts

    def call(
        self, url: str, call: PlainCall, remaining_s: float
    ) -> Result[PlainAnswer, CallFailure]:
        """Send one call and return the answer once its headers have arrived.

        `remaining_s`, the time to the caller's deadline, bounds each wait.
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
                headers=dict(call.headers)
                | {DEADLINE_HEADER: _to_header_ms(remaining_s)},
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Error(classify(error))
        return Ok(PlainAnswer(response))


def _to_header_ms(seconds: float) -> str:
    return str(max(1, int(seconds * 1000)))


def _new_single_use_pool() -> UpstreamPools:
    # The upstream may close a kept-alive connection while a call is being sent, which
    # leaves unknown whether the call ran. A new connection rules this out.
    return new_pool(1)
