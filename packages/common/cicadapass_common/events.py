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
            300,
            "member_joined",
            logging.INFO,
            "member data_centre",
            "A member was seen for the first time.",
        ),
        _kind(
            301,
            "member_suspected",
            logging.WARNING,
            "member data_centre",
            "No probe reached the member.",
        ),
        _kind(
            302,
            "member_gone",
            logging.WARNING,
            "member data_centre",
            "The member counts as gone.",
        ),
        _kind(
            303,
            "member_returned",
            logging.INFO,
            "member data_centre",
            "A doubted member has refuted.",
        ),
        _kind(
            304,
            "declared_gone",
            logging.WARNING,
            "refutation",
            "Others had declared this node gone.",
        ),
        _kind(
            305,
            "vm_leaving",
            logging.INFO,
            "vm source",
            "A VM leaves and gets no new work.",
        ),
        _kind(
            306,
            "mark_expired",
            logging.INFO,
            "vm",
            "No source names the leaving VM any more.",
        ),
        _kind(
            307,
            "vm_list_unreadable",
            logging.WARNING,
            "reason",
            "The VM list could not be read.",
        ),
        _kind(
            320,
            "peers_listening",
            logging.INFO,
            "host port",
            "The node takes connections of peers.",
        ),
        _kind(
            321,
            "peer_wrong_secret",
            logging.ERROR,
            "peer side",
            "A peer has another shared secret.",
        ),
        _kind(
            322,
            "peer_wrong_version",
            logging.ERROR,
            "peer reason",
            "A peer speaks another version.",
        ),
        _kind(
            323,
            "peer_garbage",
            logging.ERROR,
            "peer reason",
            "A peer sent an unusable frame.",
        ),
        _kind(
            324,
            "peer_oversized",
            logging.ERROR,
            "peer reason",
            "A peer sent a frame over the limit.",
        ),
        _kind(
            325,
            "peer_handshake_failed",
            logging.WARNING,
            "peer reason",
            "A connection did not get ready.",
        ),
        _kind(
            326,
            "peer_other_incarnation",
            logging.INFO,
            "peer found",
            "Another node answers at the address.",
        ),
        _kind(
            327,
            "peer_queue_full",
            logging.WARNING,
            "peer reason",
            "A peer takes messages too slowly.",
        ),
        _kind(
            328,
            "peer_clock_ahead",
            logging.WARNING,
            "peer stamp",
            "A peer's clock is beyond the drift limit.",
        ),
        _kind(
            329,
            "peer_handler_failed",
            logging.ERROR,
            "peer kind reason",
            "A message could not be handled.",
        ),
        _kind(
            330,
            "peer_connections_full",
            logging.WARNING,
            "peer limit",
            "A connection was refused at the limit.",
        ),
        _kind(
            400,
            "copy_refused",
            logging.WARNING,
            "request_id reason",
            "A copy for another node was refused.",
        ),
        _kind(
            401,
            "copy_dropped",
            logging.WARNING,
            "request_id reason",
            "A copy was dropped before its release.",
        ),
        _kind(
            402,
            "taken_over",
            logging.WARNING,
            "request_id epoch owner reason",
            "The holder became the owner.",
        ),
        _kind(
            403,
            "take_over_declined",
            logging.INFO,
            "request_id reason",
            "The holder did not become the owner.",
        ),
        _kind(
            404,
            "hand_over_accepted",
            logging.INFO,
            "request_id epoch owner",
            "A leaving owner gave the request up.",
        ),
        _kind(
            405,
            "stale_owner",
            logging.WARNING,
            "request_id epoch seen",
            "A former owner still sent messages.",
        ),
        _kind(
            406,
            "holder_lost",
            logging.WARNING,
            "request_id holder reason",
            "The owner needs another holder.",
        ),
        _kind(
            407,
            "superseded",
            logging.WARNING,
            "request_id epoch seen",
            "Another node owns the request now.",
        ),
        _kind(
            408,
            "copies_doubtful",
            logging.WARNING,
            "copies",
            "The node was declared gone while it held copies.",
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
