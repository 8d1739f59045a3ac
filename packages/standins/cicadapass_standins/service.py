"""Plain service stand-in: safe reads, and writes that are recorded in a ledger."""

import hashlib
import threading
import time
import uuid
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from cicadapass_standins import cmdline
from cicadapass_standins.answers import service_answer
from cicadapass_standins.exceptions import DropConnection
from cicadapass_standins.faults import FaultControl
from cicadapass_standins.lag import LaggedValue
from cicadapass_standins.server import (
    NOT_RUN,
    Request,
    Response,
    error_response,
    json_response,
    retry_later_response,
)

# Methods that leave no entry in the ledger.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
REPLAYED_HEADER = ("Idempotency-Replayed", "true")
THREADS = 256


@dataclass(frozen=True)
class ServiceFaults:
    """Fault settings of the service.

    `close_before`, `close_after` and `refuse_next` are numbers of calls: the
    connection is closed before or after the call takes effect, or the call is
    refused without effect. `refuse` refuses all calls.
    """

    deduplicate: bool = True
    slowdown: float = 1.0
    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    close_before: int = 0
    close_after: int = 0
    refuse: bool = False
    refuse_next: int = 0
    leaving: bool = False
    report_lag_s: float = 0.0


@dataclass(frozen=True)
class ServiceOptions:
    """Options of the service: concurrent calls and seconds per call."""

    slots: int = 32
    service_s: float = 0.0
    incarnation: str = field(default_factory=lambda: uuid.uuid4().hex)


class Service:
    """Execute calls, record their effects and serve the HTTP interface."""

    def __init__(self, options: ServiceOptions | None = None) -> None:
        self.faults = FaultControl(ServiceFaults(), on_change=self._record_load)
        self._options = options or ServiceOptions()
        self._changed = threading.Condition()
        self._closing = threading.Event()
        self._running = 0
        self._waiting = 0
        self._sequence = 0
        self._ledger: list[dict[str, Any]] = []
        self._bodies_by_key: dict[str, bytes] = {}
        self._load_history: LaggedValue[dict[str, Any]] = LaggedValue(
            self._load_report()
        )

    def handle(self, request: Request) -> Response:
        """Serve `GET /ledger` and `GET /load`; any other request is a call."""
        match (request.method, request.path):
            case ("GET", "/ledger"):
                with self._changed:
                    return json_response({"effects": self._ledger})
            case ("GET", "/load"):
                lag_s = self.faults.current.report_lag_s
                return json_response(self._load_history.read(time.monotonic(), lag_s))
        if self.faults.current.refuse or self.faults.consume("refuse_next"):
            return retry_later_response(
                HTTPStatus.SERVICE_UNAVAILABLE, "the call is refused by a fault setting"
            )
        self._acquire_slot()
        try:
            return self._execute(request)
        finally:
            self._release_slot()

    def close(self) -> None:
        """Release delayed and waiting calls; their connections are dropped."""
        self._closing.set()
        with self._changed:
            self._changed.notify_all()

    def _execute(self, request: Request) -> Response:
        faults = self.faults.current
        self._closing.wait(faults.delay_s + self._options.service_s * faults.slowdown)
        if self._closing.is_set() or self.faults.consume("close_before"):
            raise DropConnection
        response = self._apply_effect(request)
        self._closing.wait(faults.answer_delay_s)
        if self.faults.consume("close_after"):
            raise DropConnection
        return response

    def _apply_effect(self, request: Request) -> Response:
        body = service_answer(request.method, request.target, request.body)
        if request.method in SAFE_METHODS:
            return Response(HTTPStatus.OK, body)
        key = request.header("Idempotency-Key")
        with self._changed:
            if key is not None and self.faults.current.deduplicate:
                first_body = self._bodies_by_key.get(key)
                if first_body is not None:
                    return _replay_response(first_body, body)
                self._bodies_by_key[key] = body
            self._ledger.append(
                {
                    "method": request.method,
                    "path": request.target,
                    "key": key,
                    "body_sha256": hashlib.sha256(request.body).hexdigest(),
                    "time_s": time.time(),
                }
            )
        return Response(HTTPStatus.OK, body)

    def _acquire_slot(self) -> None:
        with self._changed:
            self._waiting += 1
            self._record_load()
            self._changed.wait_for(
                lambda: self._running < self._options.slots or self._closing.is_set()
            )
            self._waiting -= 1
            self._running += 1
            self._record_load()

    def _release_slot(self) -> None:
        with self._changed:
            self._running -= 1
            self._record_load()
            self._changed.notify()

    def _record_load(self) -> None:
        with self._changed:
            self._sequence += 1
            self._load_history.record(self._load_report(), time.monotonic())

    def _load_report(self) -> dict[str, Any]:
        return {
            "sequence": self._sequence,
            "running": self._running,
            "waiting": self._waiting,
            "slots": self._options.slots,
            "leaving": self.faults.current.leaving,
            "incarnation": self._options.incarnation,
        }


def _replay_response(first_body: bytes, body: bytes) -> Response:
    # The body is a function of the call, so a different body means a different call.
    if first_body != body:
        error = "the idempotency key was already used for a different call"
        return error_response(HTTPStatus.UNPROCESSABLE_ENTITY, error, NOT_RUN)
    return Response(HTTPStatus.OK, first_body, (REPLAYED_HEADER,))


if __name__ == "__main__":
    raise SystemExit(cmdline.run("service", ServiceOptions, Service, THREADS))
