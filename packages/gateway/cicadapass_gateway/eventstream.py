"""Split a server-sent event stream into whole events."""

import re
from dataclasses import dataclass

# Larger events are rejected, since an event is buffered until it is complete.
MAX_EVENT_BYTES = 1_048_576
# Blank lines and comments are legal between events, but not without end.
MAX_EVENTS_WITHOUT_DATA = 100
# Neither terminator can begin within the other, so the first one found ends first.
_TERMINATOR = re.compile(rb"\n\n|\r\n\r\n")
MAX_TERMINATOR_BYTES = 4
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
        # Most chunks are whole events, so that nothing needs to be buffered.
        source: bytes | bytearray = data
        search_from = 0
        if self._buffer:
            search_from = max(0, len(self._buffer) - MAX_TERMINATOR_BYTES + 1)
            self._buffer += data
            source = self._buffer
        ends = [each.end() for each in _TERMINATOR.finditer(source, search_from)]
        events: list[StreamEvent] = []
        start = 0
        for end in ends:
            event = bytes(source[start:end])
            start = end
            parsed = StreamEvent(
                event, _event_id(event), bool(_DATA_LINE.search(event))
            )
            self._count_without_data(parsed)
            if self._resumed:
                self._check_position(parsed)
            events.append(parsed)
        if source is self._buffer:
            del self._buffer[:start]
        elif start < len(data):
            self._buffer += data[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

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
    if b"id:" not in event:
        return None
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
