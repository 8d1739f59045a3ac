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
            200,
            "config_in_force",
            logging.INFO,
            "version author publish_id",
            "The node serves this version.",
        ),
        _kind(
            201,
            "publish_rejected",
            logging.WARNING,
            "publish_id version",
            "A publish is not valid; this version stays.",
        ),
        _kind(
            202,
            "publish_conflict",
            logging.WARNING,
            "publish_id version author",
            "A publish lost to this version.",
        ),
        _kind(
            203,
            "record_skipped",
            logging.WARNING,
            "offset reason",
            "A record of the log cannot be used.",
        ),
        _kind(
            204,
            "config_adopted",
            logging.INFO,
            "version",
            "A snapshot became the node's state.",
        ),
        _kind(
            205,
            "config_gap",
            logging.WARNING,
            "next_offset first_offset",
            "Records that the node has not read have expired.",
        ),
        _kind(
            206,
            "config_missing",
            logging.ERROR,
            "reason",
            "The node has no configuration and is not ready.",
        ),
        _kind(
            207,
            "config_log_lost",
            logging.WARNING,
            "reason",
            "The log cannot be read; the configuration stays in force.",
        ),
        _kind(
            208,
            "config_log_found",
            logging.INFO,
            "offset",
            "The log can be read again.",
        ),
        _kind(
            209,
            "snapshot_appended",
            logging.INFO,
            "offset version",
            "The node appended a snapshot.",
        ),
        _kind(
            210,
            "snapshot_failed",
            logging.WARNING,
            "reason",
            "The node could not append a snapshot.",
        ),
        _kind(
            211,
            "config_unusable",
            logging.ERROR,
            "version problems",
            "This program cannot use the version in force; the older one stays.",
        ),
        _kind(
            212,
            "config_fetch_failed",
            logging.WARNING,
            "reason",
            "No peer answered with the configuration.",
        ),
        _kind(
            600,
            "claims_loaded",
            logging.INFO,
            "offset claims",
            "The node loaded the claims of the window.",
        ),
        _kind(
            601,
            "claims_refused",
            logging.WARNING,
            "count reason",
            "Claims were refused as not run.",
        ),
        _kind(
            602,
            "claims_answer_lost",
            logging.WARNING,
            "reason",
            "The answer to an append of claims was lost; it is read back.",
        ),
        _kind(
            603,
            "claims_gap",
            logging.ERROR,
            "next_offset first_offset",
            "Claims expired unread; new keys are refused for a window.",
        ),
        _kind(
            620,
            "lease_taken",
            logging.INFO,
            "name fencing_number",
            "The node holds the lease.",
        ),
        _kind(
            621,
            "lease_lost",
            logging.WARNING,
            "name reason",
            "The node does not hold the lease any more.",
        ),
        _kind(
            622,
            "lease_unavailable",
            logging.WARNING,
            "name reason",
            "The node cannot take the lease.",
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
