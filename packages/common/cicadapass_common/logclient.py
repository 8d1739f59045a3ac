"""Append to and read from one stream of the platform's log service."""

import base64
import json
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote

import urllib3
from expression import Error, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from cicadapass_common.exceptions import CicadapassError

DEFAULT_CONNECT_TIMEOUT_S = 1.0
DEFAULT_ANSWER_TIMEOUT_S = 5.0
# One connection for the reader's long poll, the others for appends.
MAX_IDLE_CONNECTIONS = 4
# With these statuses, the log service guarantees that nothing was appended.
_STATUS_THROTTLED = 429
_STATUS_OUTAGE = 503


class LogError(CicadapassError):
    """The log did not confirm a call.

    `may_have_taken_effect` is true if an append may be in the log nevertheless.
    """

    def __init__(
        self,
        problem: str,
        remedy: str,
        may_have_taken_effect: bool,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(problem, remedy)
        self.may_have_taken_effect = may_have_taken_effect
        self.retry_after_s = retry_after_s


class LogUnreachable(LogError):
    """The connection to the log failed."""


class LogUnavailable(LogError):
    """The log is in an outage or throttles appends."""


class LogRefused(LogError):
    """The log rejected the call as invalid."""


class LogAnswerLost(LogError):
    """The call was sent, but no usable answer was received."""


@dataclass(frozen=True, slots=True)
class RawRecord:
    """Represent one undecoded record of the log."""

    offset: int
    time_s: float
    data: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """Contain consecutive records; those before `first_offset` have expired."""

    first_offset: int
    next_offset: int
    records: tuple[RawRecord, ...]


class Log(Protocol):
    """Append to and read from one stream."""

    def append(self, payload: bytes) -> Result[int, LogError]:
        """Return the offset of the appended record."""

    def read(
        self, from_offset: int, limit: int, wait_s: float
    ) -> Result[Page, LogError]:
        """Return up to `limit` records from an offset; wait `wait_s` for the first."""


class LogClient:
    """Call the log service over pooled connections; thread-safe."""

    def __init__(
        self,
        base_url: str,
        stream: str,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        answer_timeout_s: float = DEFAULT_ANSWER_TIMEOUT_S,
    ) -> None:
        self._url = f"{base_url.rstrip('/')}/streams/{quote(stream, safe='')}/records"
        self._connect_timeout_s = connect_timeout_s
        self._answer_timeout_s = answer_timeout_s
        # A retry within urllib3 could append twice without the caller's knowledge.
        self._pool = urllib3.PoolManager(maxsize=MAX_IDLE_CONNECTIONS, retries=False)

    def append(self, payload: bytes) -> Result[int, LogError]:
        """Return the offset of the appended record."""
        result = self._call("POST", 0.0, body=payload)
        return result.bind(lambda body: _parse_body(_parse_appended_offset, body))

    def read(
        self, from_offset: int, limit: int, wait_s: float
    ) -> Result[Page, LogError]:
        """Return up to `limit` records from an offset; wait `wait_s` for the first."""
        fields = {"from": str(from_offset), "limit": str(limit), "wait_s": str(wait_s)}
        result = self._call("GET", wait_s, fields=fields)
        return result.bind(lambda body: _parse_body(_parse_page, body))

    def close(self) -> None:
        """Close the pooled connections."""
        self._pool.clear()

    def _call(
        self, method: str, wait_s: float, **options: Any
    ) -> Result[Any, LogError]:
        timeout = urllib3.Timeout(
            connect=self._connect_timeout_s, read=self._answer_timeout_s + wait_s
        )
        try:
            response = self._pool.request(
                method, self._url, timeout=timeout, redirect=False, **options
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Error(_unreachable(error))
        except HTTPError as error:
            return Error(_answer_lost(repr(error)))
        return _check_status(response)


def _unreachable(error: Exception) -> LogError:
    return LogUnreachable(
        f"cannot connect to the log: {error}",
        "check the log's address and the network",
        may_have_taken_effect=False,
    )


def _answer_lost(reason: str) -> LogError:
    return LogAnswerLost(
        f"the log's answer was lost: {reason}",
        "read the log to find out whether the append took effect",
        may_have_taken_effect=True,
    )


def _check_status(response: urllib3.BaseHTTPResponse) -> Result[Any, LogError]:
    status = response.status
    if status in (_STATUS_THROTTLED, _STATUS_OUTAGE):
        problem = (
            "the log throttles appends" if status == _STATUS_THROTTLED else "outage"
        )
        wait_s = _retry_after_s(response)
        return Error(
            LogUnavailable(f"{problem} ({status})", "retry later", False, wait_s)
        )
    if 400 <= status < 500:
        remedy = "check the stream's name and the record's size"
        return Error(LogRefused(f"the log rejected the call ({status})", remedy, False))
    if not 200 <= status < 300:
        return Error(_answer_lost(f"status {status}"))
    try:
        return Ok(json.loads(response.data))
    except ValueError as error:
        return Error(_answer_lost(repr(error)))


def _retry_after_s(response: urllib3.BaseHTTPResponse) -> float | None:
    try:
        return max(0.0, float(response.headers.get("Retry-After", "")))
    except ValueError:
        return None


def _parse_body(parser: Any, body: object) -> Result[Any, LogError]:
    try:
        return Ok(parser(body))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Error(_answer_lost(f"unexpected answer: {error!r}"))


def _parse_appended_offset(body: dict[str, Any]) -> int:
    return _parse_offset(body["offset"])


def _parse_page(body: dict[str, Any]) -> Page:
    records = tuple(_parse_record(record) for record in body["records"])
    first_offset, next_offset = body["first_offset"], body["next_offset"]
    offsets = [record.offset for record in records]
    if offsets != sorted(set(offsets)) or any(o >= next_offset for o in offsets):
        raise ValueError("offsets out of order")
    return Page(_parse_offset(first_offset), _parse_offset(next_offset), records)


def _parse_record(body: dict[str, Any]) -> RawRecord:
    data = base64.b64decode(body["data"], validate=True)
    return RawRecord(_parse_offset(body["offset"]), float(body["time_s"]), data)


def _parse_offset(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{value!r} is not an offset")
    return value
