"""In-memory log that simulates faults of the platform's log."""

import threading

from expression import Error, Ok

from cicadapass_common.logclient import (
    LogAnswerLost,
    LogUnavailable,
    Page,
    RawRecord,
)


class MemoryLog:
    """Store records in memory; the attributes inject faults and may be set at any time.

    The next `lose_answers` appends take effect but lose their answer; the next
    `lose_appends` ones have no effect. With `outage_after_append`, an outage begins
    after an append and before its answer. `on_append` is called before each append.
    """

    def __init__(self):
        self.down = False
        self.lose_answers = 0
        self.lose_appends = 0
        self.outage_after_append = False
        self.on_append = None
        self.now_s = 0.0
        self.appends = 0
        self.records_read = 0
        self.first_offset = 0
        self.records = []
        self._changed = threading.Condition()

    @property
    def end_offset(self):
        """Return the offset that the next record gets."""
        return self.first_offset + len(self.records)

    def append(self, payload):
        """Append as LogClient does, with the injected faults."""
        if self.on_append is not None:
            self.on_append()
        self.appends += 1
        if self.down:
            return Error(LogUnavailable("outage", "retry later", False))
        if self.lose_appends:
            self.lose_appends -= 1
            return Error(LogAnswerLost("lost", "read back", True))
        offset = self.put(payload)
        self.down = self.outage_after_append
        if self.down or self.lose_answers:
            self.lose_answers = max(0, self.lose_answers - 1)
            return Error(LogAnswerLost("lost", "read back", True))
        return Ok(offset)

    def put(self, payload):
        """Append a record without faults and return its offset."""
        with self._changed:
            self.records.append(RawRecord(self.end_offset, self.now_s, payload))
            self._changed.notify_all()
            return self.end_offset - 1

    def read(self, from_offset, limit, wait_s):
        """Read as LogClient does, with the injected faults."""
        with self._changed:
            self._changed.wait_for(
                lambda: self.down or self.end_offset > from_offset, wait_s
            )
            if self.down:
                return Error(LogUnavailable("outage", "retry later", False))
            start = min(max(from_offset, self.first_offset), self.end_offset)
            index = start - self.first_offset
            records = tuple(self.records[index : index + limit])
            self.records_read += len(records)
            return Ok(Page(self.first_offset, start + len(records), records))

    def expire(self, before_offset):
        """Drop the records before the offset."""
        with self._changed:
            count = max(0, min(before_offset, self.end_offset) - self.first_offset)
            del self.records[:count]
            self.first_offset += count

    def set_down(self, down):
        """Begin or end an outage; waiting reads return."""
        with self._changed:
            self.down = down
            self._changed.notify_all()
