"""Buffer of the latest log records, to answer peers without a whole snapshot."""

from collections import deque

from cicadapass_common.logclient import RawRecord

MAX_RECORDS = 32
MAX_BYTES = 1024 * 1024


class RecentRecords:
    """Buffer consecutive records within bounds; the oldest are removed first."""

    def __init__(self) -> None:
        self._records: deque[RawRecord] = deque()
        self._bytes = 0

    def add(self, record: RawRecord) -> None:
        """Add the next record; a gap in the offsets removes all earlier records."""
        if self._records and self._records[-1].offset + 1 != record.offset:
            self.clear()
        self._records.append(record)
        self._bytes += len(record.data)
        while len(self._records) > MAX_RECORDS or self._bytes > MAX_BYTES:
            self._bytes -= len(self._records.popleft().data)

    def clear(self) -> None:
        """Remove all records, because the log has a gap after them."""
        self._records.clear()
        self._bytes = 0

    def since(self, offset: int) -> tuple[RawRecord, ...]:
        """Return all records from the offset on, or none if the first was removed."""
        if not self._records or not 0 <= self._records[0].offset <= offset:
            return ()
        return tuple(r for r in self._records if r.offset >= offset)
