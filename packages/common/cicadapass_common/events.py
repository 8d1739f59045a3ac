"""Numbered events, written as JSON lines and kept in memory for the timeline."""

import json
import logging
import threading
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from cicadapass_common.event_catalogue import EVENTS, EventKind

__all__ = ["EVENTS", "Event", "EventKind", "EventLog"]

LOGGER_NAME = "cicadapass.events"
# At about 300 bytes per event, the buffer stays below 1 MB.
MAX_RECENT_EVENTS = 2048
_UNKNOWN_NAME = "unknown"
# `json.dumps` with these arguments would build an encoder for each line.
_ENCODER = json.JSONEncoder(default=str, separators=(",", ":"))


@dataclass(frozen=True, slots=True)
class Event:
    """Represent one emitted event.

    The number may be missing from the catalogue if a newer version emitted it.
    """

    number: int
    node: str
    stamp: tuple[int, int]
    fields: Mapping[str, object]

    @property
    def name(self) -> str:
        """Return the name in the catalogue, or `unknown` for an unknown number."""
        kind = EVENTS.get(self.number)
        return kind.name if kind else _UNKNOWN_NAME

    @property
    def level(self) -> str:
        """Return the level in lower case; `info` for an unknown number."""
        kind = EVENTS.get(self.number)
        return logging.getLevelName(kind.level if kind else logging.INFO).lower()

    def to_document(self) -> dict[str, Any]:
        """Return the event as a JSON object, with the reserved keys."""
        reserved = {
            "event": self.number,
            "name": self.name,
            "level": self.level,
            "node": self.node,
            "stamp": list(self.stamp),
        }
        return {**self.fields, **reserved}

    def to_json(self) -> str:
        """Return the event as one JSON line."""
        return _ENCODER.encode(self.to_document())

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "Event":
        """Return the event of a document; raise ValueError if it is not an event."""
        try:
            wall_ms, counter = document["stamp"]
            number, stamp = int(document["event"]), (int(wall_ms), int(counter))
            node = str(document["node"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise ValueError(f"not an event: {error!r}") from error
        fields = {key: document[key] for key in document if key not in RESERVED_KEYS}
        return cls(number, node, stamp, fields)


RESERVED_KEYS = frozenset({"event", "name", "level", "node", "stamp"})


class EventLog:
    """Emit events and keep the most recent ones, up to MAX_RECENT_EVENTS."""

    def __init__(self, node: str, stamp: Callable[[], tuple[int, int]]) -> None:
        self._node = node
        self._stamp = stamp
        self._recent: deque[Event] = deque(maxlen=MAX_RECENT_EVENTS)
        self._lock = threading.Lock()
        self._logger = logging.getLogger(LOGGER_NAME)

    def emit(self, number: int, **fields: object) -> Event:
        """Write one event; raise KeyError for a number outside the catalogue."""
        kind = EVENTS[number]
        event = Event(number, self._node, self._stamp(), fields)
        with self._lock:
            self._recent.append(event)
        if self._logger.isEnabledFor(kind.level):
            # `Logger.log` would walk the stack to find the caller, which no line names.
            record = self._logger.makeRecord(
                LOGGER_NAME, kind.level, "", 0, "%s", (event.to_json(),), None
            )
            self._logger.handle(record)
        return event

    def recent(self, request_id: str | None = None) -> tuple[Event, ...]:
        """Return the recent events of one request or of all, oldest first."""
        with self._lock:
            events = tuple(self._recent)
        if request_id is None:
            return events
        return tuple(e for e in events if e.fields.get("request_id") == request_id)
