"""Stand-in for the platform's append-only log: streams of records with offsets."""

import base64
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from cicadapass_standins import cmdline
from cicadapass_standins.exceptions import DropConnection
from cicadapass_standins.faults import FaultControl
from cicadapass_standins.ratelimit import RateLimit
from cicadapass_standins.server import (
    Request,
    Response,
    json_response,
    not_found_response,
    retry_later_response,
)

DEFAULT_LIMIT = 1000
MAX_WAIT_S = 30.0
# Every node of a fleet may keep a long poll open.
THREADS = 256


@dataclass(frozen=True)
class LogFaults:
    """Fault settings of the log.

    `lose_answers` counts the appends that take effect without a response;
    `expire_before` is the offset below which records are dropped. A rate of 0
    means no limit.
    """

    down: bool = False
    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    lose_answers: int = 0
    appends_per_s: float = 0.0
    retention_s: float = 86_400.0
    expire_before: int = 0


@dataclass
class _Stream:
    first_offset: int = 0
    records: list[dict[str, Any]] = field(default_factory=list)

    @property
    def end_offset(self) -> int:
        return self.first_offset + len(self.records)

    def expire(self, before_offset: int, before_s: float) -> None:
        expired = 0
        for record in self.records:
            if record["offset"] >= before_offset and record["time_s"] >= before_s:
                break
            expired += 1
        del self.records[:expired]
        self.first_offset += expired


class Log:
    """Keep the streams in memory and serve the log's HTTP interface."""

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self.faults = FaultControl(LogFaults(), on_change=self._wake)
        self._clock = clock
        self._changed = threading.Condition()
        self._streams: dict[str, _Stream] = {}
        self._append_limit = RateLimit()
        self._closing = threading.Event()

    def append(self, stream_name: str, data: bytes) -> int:
        """Append a record, stamped with the Unix time, and return its offset."""
        with self._changed:
            stream = self._stream(stream_name)
            offset = stream.end_offset
            text = base64.b64encode(data).decode("ascii")
            record = {"offset": offset, "time_s": self._clock(), "data": text}
            stream.records.append(record)
            self._changed.notify_all()
            return offset

    def read(self, stream_name: str, from_offset: int, limit: int) -> dict[str, Any]:
        """Return a page of records; `first_offset` is the oldest one retained."""
        with self._changed:
            stream = self._stream(stream_name)
            start = min(max(from_offset, stream.first_offset), stream.end_offset)
            index = start - stream.first_offset
            records = stream.records[index : index + limit]
            return {
                "first_offset": stream.first_offset,
                "next_offset": start + len(records),
                "end_offset": stream.end_offset,
                "records": records,
            }

    def handle(self, request: Request) -> Response:
        """Serve appends and reads, also as long polls."""
        match (request.method, request.path_segments):
            case ("POST", ("streams", name, "records")):
                return self._append(name, request)
            case ("GET", ("streams", name, "records")):
                return self._read(name, request)
        return not_found_response(request)

    def close(self) -> None:
        """Release all delayed requests and long polls."""
        self._closing.set()
        self._wake()

    def _append(self, name: str, request: Request) -> Response:
        faults = self.faults.current
        self._closing.wait(faults.delay_s)
        if self.faults.current.down:
            return _unavailable()
        wait_s = self._append_limit.admit(faults.appends_per_s, time.monotonic())
        if wait_s > 0:
            return retry_later_response(
                HTTPStatus.TOO_MANY_REQUESTS, "append rate exceeded", wait_s
            )
        offset = self.append(name, request.body)
        self._closing.wait(faults.answer_delay_s)
        if self.faults.consume("lose_answers"):
            raise DropConnection
        return json_response({"offset": offset})

    def _read(self, name: str, request: Request) -> Response:
        from_offset = int(request.query_number("from", 0))
        limit = int(request.query_number("limit", DEFAULT_LIMIT))
        wait_s = min(request.query_number("wait_s", 0.0), MAX_WAIT_S)
        self._closing.wait(self.faults.current.delay_s)
        if not self.faults.current.down:
            self._wait_for(name, from_offset, wait_s)
        if self.faults.current.down:
            return _unavailable()
        return json_response(self.read(name, from_offset, limit))

    def _wait_for(self, name: str, offset: int, wait_s: float) -> None:
        def is_ready() -> bool:
            ended = self._closing.is_set() or self.faults.current.down
            return ended or self._stream(name).end_offset > offset

        with self._changed:
            self._changed.wait_for(is_ready, wait_s)

    def _stream(self, name: str) -> _Stream:
        stream = self._streams.setdefault(name, _Stream())
        faults = self.faults.current
        stream.expire(faults.expire_before, self._clock() - faults.retention_s)
        return stream

    def _wake(self) -> None:
        with self._changed:
            self._changed.notify_all()


def _unavailable() -> Response:
    return retry_later_response(HTTPStatus.SERVICE_UNAVAILABLE, "the log is down")


if __name__ == "__main__":
    raise SystemExit(cmdline.run("log", cmdline.NoOptions, lambda _: Log(), THREADS))
