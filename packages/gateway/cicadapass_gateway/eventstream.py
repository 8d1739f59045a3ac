"""Split a server-sent event stream into whole events."""

import re
from dataclasses import dataclass

# Larger events are rejected, since an event is buffered until it is complete.
MAX_EVENT_BYTES = 1_048_576
# Blank lines and comments are legal between events, but not without end.
MAX_EVENTS_WITHOUT_DATA = 100
TERMINATORS = (b"\n\n", b"\r\n\r\n")
MAX_TERMINATOR_BYTES = max(len(each) for each in TERMINATORS)
_DATA_LINE = re.compile(rb"^data:", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Store the bytes of a complete event, with its terminator, and its id."""

    data: bytes
    event_id: str | None
    # Comments and the like have none.
    has_data: bool


class EventSplitter:
    """Split the chunks of a body at the ends of events.

    The events of a resumed stream must follow the one with the id `resumed_after`.
    """

    def __init__(self, resumed_after: str | None = None) -> None:
        self._buffer = bytearray()
        # Bytes of the buffer that contain no end of an event.
        self._searched = 0
        self._last_id = resumed_after
        self._resumed = resumed_after is not None
        # Whether an event has shown where the resumed stream goes on.
        self._positioned = False
        self._events_without_data = 0

    @property
    def partial(self) -> bool:
        """Return whether the data so far ends within an event."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that these bytes complete.

        Raise ValueError for an event that is too large, for too many without data, and
        for one that does not follow those before it in a resumed stream.
        """
        self._buffer += data
        events: list[StreamEvent] = []
        while (end := self._event_end()) is not None:
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._searched = 0
            parsed = StreamEvent(
                event, _event_id(event), bool(_DATA_LINE.search(event))
            )
            self._count_without_data(parsed)
            if self._resumed:
                self._check_position(parsed)
            events.append(parsed)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _event_end(self) -> int | None:
        """Return the end of the first event in the buffer, or None without one."""
        start = max(0, self._searched - MAX_TERMINATOR_BYTES + 1)
        ends = [
            position + len(terminator)
            for terminator in TERMINATORS
            if (position := self._buffer.find(terminator, start)) >= 0
        ]
        self._searched = len(self._buffer)
        return min(ends) if ends else None

    def _count_without_data(self, event: StreamEvent) -> None:
        if event.has_data:
            self._events_without_data = 0
            return
        self._events_without_data += 1
        if self._events_without_data > MAX_EVENTS_WITHOUT_DATA:
            raise ValueError(f"{MAX_EVENTS_WITHOUT_DATA} events without data")

    def _check_position(self, event: StreamEvent) -> None:
        if not event.event_id:
            if event.has_data and not self._positioned:
                raise ValueError("a resumed stream begins with an event without an id")
            return
        if not _follows(event.event_id, self._last_id):
            raise ValueError(f"event {event.event_id} follows event {self._last_id}")
        self._last_id = event.event_id
        self._positioned = True


def _follows(event_id: str, earlier: str | None) -> bool:
    """Return whether an event may come after another one; numeric ids increase."""
    if earlier is not None and event_id.isdecimal() and earlier.isdecimal():
        return int(event_id) > int(earlier)
    return event_id != earlier


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
