"""Numbered events, written as JSON lines and kept in a ring for the timeline."""

import json
import logging
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

LOGGER_NAME = "cicadapass.events"
# At about 300 bytes an event, the ring stays under 1 MB.
RING_EVENTS = 2048


@dataclass(frozen=True, slots=True)
class EventKind:
    """Describe one numbered event of the catalogue."""

    number: int
    name: str
    level: int
    fields: tuple[str, ...]
    meaning: str


def _kind(
    number: int, name: str, level: int, fields: str, meaning: str
) -> tuple[int, EventKind]:
    return number, EventKind(number, name, level, tuple(fields.split()), meaning)


# The hundreds group the events: 1xx process, 2xx configuration, 3xx members and
# peers, 4xx requests, 5xx upstreams, 6xx claims and leases, 7xx command line.
EVENTS: dict[int, EventKind] = dict(
    [
        _kind(100, "node_started", logging.INFO, "node version", "The node started."),
        _kind(101, "node_ready", logging.INFO, "version", "The node takes requests."),
        _kind(
            102,
            "drain_started",
            logging.INFO,
            "reason",
            "The node takes no new requests.",
        ),
        _kind(103, "node_stopped", logging.INFO, "unfinished", "The node stopped."),
        _kind(
            110,
            "part_restarted",
            logging.WARNING,
            "part reason",
            "The supervisor restarted a failed part.",
        ),
        _kind(
            111,
            "part_given_up",
            logging.ERROR,
            "part reason",
            "A part failed too often; the node stops.",
        ),
        _kind(
            500,
            "upstream_health",
            logging.WARNING,
            "upstream health first_token_s inter_token_s failures",
            "An upstream became slow, failing or good.",
        ),
        _kind(
            501,
            "upstream_leaving",
            logging.INFO,
            "upstream incarnation source",
            "An upstream gets no new work any more.",
        ),
        _kind(
            502,
            "panic_started",
            logging.ERROR,
            "service",
            "Most upstreams of a service are bad; the verdicts are ignored.",
        ),
        _kind(
            503,
            "panic_ended",
            logging.INFO,
            "service",
            "The health verdicts of a service count again.",
        ),
        _kind(
            504,
            "report_failed",
            logging.WARNING,
            "upstream reason",
            "A load report could not be read for the first time in a row.",
        ),
        _kind(
            505,
            "cache_hints_discarded",
            logging.INFO,
            "upstream",
            "Cache events have a gap; the hints are read anew.",
        ),
        _kind(
            510,
            "request_granted",
            logging.DEBUG,
            "request_id service upstream attempt work waited_s probe",
            "An attempt may be sent to an upstream.",
        ),
        _kind(
            511,
            "request_queued",
            logging.DEBUG,
            "request_id service workspace priority work",
            "A request waits for an upstream.",
        ),
        _kind(
            512,
            "request_refused",
            logging.INFO,
            "request_id service workspace priority reason retry_after_s",
            "A request was refused or shed and was not run.",
        ),
    ]
)


@dataclass(frozen=True, slots=True)
class Event:
    """Hold one event as it was emitted."""

    number: int
    node: str
    stamp: tuple[int, int]
    fields: dict[str, object]

    def to_json(self) -> str:
        """Return the event as one JSON line."""
        kind = EVENTS[self.number]
        head = {
            "event": self.number,
            "name": kind.name,
            "level": logging.getLevelName(kind.level).lower(),
            "node": self.node,
            "stamp": list(self.stamp),
        }
        return json.dumps(head | self.fields, default=str, separators=(",", ":"))


class EventLog:
    """Emit events and keep the latest ones."""

    def __init__(self, node: str, stamp: Callable[[], tuple[int, int]]) -> None:
        self._node = node
        self._stamp = stamp
        self._ring: deque[Event] = deque(maxlen=RING_EVENTS)
        self._lock = threading.Lock()
        self._logger = logging.getLogger(LOGGER_NAME)

    def emit(self, number: int, **fields: object) -> Event:
        """Write one event; raise KeyError for a number outside the catalogue."""
        kind = EVENTS[number]
        event = Event(number, self._node, self._stamp(), fields)
        with self._lock:
            self._ring.append(event)
        self._logger.log(kind.level, event.to_json())
        return event

    def recent(self, request_id: str | None = None) -> tuple[Event, ...]:
        """Return the kept events, oldest first, of one request or of all."""
        with self._lock:
            events = tuple(self._ring)
        if request_id is None:
            return events
        return tuple(e for e in events if e.fields.get("request_id") == request_id)
