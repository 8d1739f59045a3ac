"""Component with the requests that this node owns and their answers."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pykka

from cicadapass.answers import Answer
from cicadapass.requests import AcceptedRequest
from cicadapass.supervisor import Component, Supervisor


@dataclass(frozen=True, slots=True)
class OwnedRequest:
    """Combine a request with its answer and the function that stops its execution."""

    request: AcceptedRequest
    answer: Answer
    stop: Callable[[], None]


@dataclass(frozen=True, slots=True)
class AddRequest:
    """Add a request; the answer is False if its epoch is not above the owned one."""

    owned: OwnedRequest


@dataclass(frozen=True, slots=True)
class FindRequest:
    """Look up an owned request by id; the answer is None if there is none."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Report that the answer of a request has ended under the given epoch."""

    request_id: str
    epoch: int


@dataclass(frozen=True, slots=True)
class DropRequest:
    """Report that another node owns the request now, under the given epoch."""

    request_id: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ListUnfinished:
    """Request the owned requests whose answers have not ended."""


@dataclass(frozen=True, slots=True)
class ExpireAnswers:
    """Remove ended answers beyond the retention time or the memory limit."""


class Ownership(Component):
    """Own the table of requests that this node answers.

    `on_count` is called with the number of unfinished requests when it may have
    changed, `on_expired` with the id of each request whose answer was removed.
    """

    def __init__(
        self,
        supervisor: pykka.ActorRef[Supervisor],
        retention_s: float,
        max_kept_bytes: int,
        on_count: Callable[[int], None],
        on_expired: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(supervisor, "ownership")
        self._retention_s = retention_s
        self._max_kept_bytes = max_kept_bytes
        self._on_count = on_count
        self._on_expired = on_expired
        self._clock = clock
        self._owned: dict[str, OwnedRequest] = {}
        # Ended requests in the order of their end: time of the end and size in bytes.
        self._ended: dict[str, tuple[float, int]] = {}
        self._kept_bytes = 0

    def on_receive(self, message: object) -> Any:
        """Update the table or look up requests in it."""
        match message:
            case AddRequest(owned):
                return self._add(owned)
            case FindRequest(request_id):
                return self._owned.get(request_id)
            case RequestEnded(request_id, epoch):
                self._end(request_id, epoch)
            case DropRequest(request_id, epoch):
                self._drop(request_id, epoch)
            case ListUnfinished():
                return self._unfinished()
            case ExpireAnswers():
                self._expire()
        return None

    def _add(self, owned: OwnedRequest) -> bool:
        request = owned.request
        current = self._owned.get(request.request_id)
        if current is not None and current.request.epoch >= request.epoch:
            return False
        if current is not None:
            self._remove(request.request_id)
            current.stop()
            current.answer.abandon()
        self._owned[request.request_id] = owned
        self._report_count()
        return True

    def _end(self, request_id: str, epoch: int) -> None:
        owned = self._owned.get(request_id)
        if owned is None or request_id in self._ended:
            return
        if owned.request.epoch != epoch:
            # The message is from an execution that was replaced in the meantime.
            return
        size_bytes = owned.answer.size_bytes
        self._ended[request_id] = (self._clock(), size_bytes)
        self._kept_bytes += size_bytes
        self._report_count()

    def _drop(self, request_id: str, epoch: int) -> None:
        owned = self._owned.get(request_id)
        if owned is None or owned.request.epoch >= epoch:
            return
        self._remove(request_id)
        owned.stop()
        owned.answer.abandon()
        self._report_count()

    def _unfinished(self) -> tuple[OwnedRequest, ...]:
        return tuple(o for i, o in self._owned.items() if i not in self._ended)

    def _expire(self) -> None:
        cutoff_s = self._clock() - self._retention_s
        while self._ended:
            request_id, (ended_s, _) = next(iter(self._ended.items()))
            if ended_s > cutoff_s and self._kept_bytes <= self._max_kept_bytes:
                return
            self._remove(request_id)
            self._on_expired(request_id)

    def _remove(self, request_id: str) -> None:
        self._owned.pop(request_id, None)
        _, size_bytes = self._ended.pop(request_id, (0.0, 0))
        self._kept_bytes -= size_bytes

    def _report_count(self) -> None:
        self._on_count(len(self._owned) - len(self._ended))
