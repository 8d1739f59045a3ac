"""Derive the usable upstreams from the records of the registry."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from cicadapass_decisions.passthrough import UpstreamRecord

# The platform guarantees that entries which lapsed during an outage of the registry
# reappear about 2 s after its end.
REAPPEAR_S = 2.2
# Removed starts that are remembered; an older copy of the registry may list them.
MAX_REMOVED = 2000


@dataclass(frozen=True, slots=True)
class LapsedRecord:
    """Store a record whose entry was removed but may reappear."""

    record: UpstreamRecord
    expires_at_s: float


class UpstreamView:
    """Track the upstreams of the registry and which of them are leaving.

    A leaving mark applies to one start of an upstream and is never cleared. An entry
    that is removed less than `REAPPEAR_S` after an outage of the registry stays usable
    until that time has passed.
    """

    def __init__(self) -> None:
        self._records: dict[str, UpstreamRecord] = {}
        self._lapsed: dict[str, LapsedRecord] = {}
        self._leaving: dict[tuple[str, int], float] = {}
        # The sequence of the last entry of each start that was removed.
        self._removed: dict[tuple[str, int], int] = {}
        # Upstreams whose newest entry in the registry is an outdated one.
        self._outdated_entries: set[str] = set()
        self._unsettled_until_s = 0.0

    @property
    def records(self) -> dict[str, UpstreamRecord]:
        """Return the records by upstream id, including leaving upstreams."""
        lapsed = {key: entry.record for key, entry in self._lapsed.items()}
        return {**lapsed, **self._records}

    @property
    def leaving_marks(self) -> tuple[tuple[str, int], ...]:
        """Return the marked starts as pairs of upstream id and start time."""
        return tuple(self._leaving)

    @property
    def unannounced_marks(self) -> list[tuple[str, int]]:
        """Return the marked starts whose entry does not say that they are leaving."""
        return [
            (upstream_id, started_ms)
            for upstream_id, started_ms in self._leaving
            if (record := self._records.get(upstream_id)) is not None
            and record.started_ms == started_ms
            and (not record.leaving or upstream_id in self._outdated_entries)
        ]

    def record_outage(self, now_s: float) -> bool:
        """Record that the registry answers no node; return whether that is new."""
        is_first = now_s >= self._unsettled_until_s
        self._unsettled_until_s = max(self._unsettled_until_s, now_s + REAPPEAR_S)
        return is_first

    def is_held(self, upstream_id: str) -> bool:
        """Return whether an upstream's entry was removed and may reappear."""
        return upstream_id in self._lapsed

    def is_known(self, upstream_id: str) -> bool:
        """Return whether an upstream has an entry, or had one until a removal."""
        return upstream_id in self._records or upstream_id in self._lapsed

    def apply(self, record: UpstreamRecord, now_s: float) -> bool:
        """Apply an entry unless it is outdated; return whether its content changed."""
        current = self._records.get(record.upstream_id)
        if current is not None and _is_older(record, current):
            self._outdated_entries.add(record.upstream_id)
            return False
        self._outdated_entries.discard(record.upstream_id)
        self._records[record.upstream_id] = record
        self._lapsed.pop(record.upstream_id, None)
        if record.leaving:
            self.mark_leaving(record.upstream_id, record.started_ms, now_s)
        return current is None or replace(current, sequence=record.sequence) != record

    def apply_from_copy(self, record: UpstreamRecord, now_s: float) -> bool:
        """Apply an entry of a registry that has returned from an older copy.

        The entry of a start that was removed since the copy does not make it usable.
        """
        removed = self._removed.get((record.upstream_id, record.started_ms))
        if removed is not None and record.sequence <= removed:
            return False
        return self.apply(record, now_s)

    def remove(self, upstream_id: str, now_s: float) -> bool:
        """Apply the removal of an entry; return whether the entry was known."""
        record = self._records.pop(upstream_id, None)
        self._outdated_entries.discard(upstream_id)
        if record is None:
            return False
        self._removed[upstream_id, record.started_ms] = record.sequence
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        if now_s < self._unsettled_until_s:
            self._lapsed[upstream_id] = LapsedRecord(record, self._unsettled_until_s)
        return True

    def replace(self, records: Iterable[UpstreamRecord], now_s: float) -> None:
        """Apply a complete listing; upstreams that it lacks are removed."""
        listed = {record.upstream_id: record for record in records}
        for upstream_id in [key for key in self._records if key not in listed]:
            self.remove(upstream_id, now_s)
        for record in listed.values():
            self.apply(record, now_s)

    def expire(self, now_s: float) -> bool:
        """Drop entries that did not reappear in time; return whether there were any."""
        expired = [
            key for key, entry in self._lapsed.items() if now_s >= entry.expires_at_s
        ]
        for key in expired:
            del self._lapsed[key]
        return bool(expired)

    def mark_leaving(self, upstream_id: str, started_ms: int, now_s: float) -> bool:
        """Mark one start of an upstream as leaving; return whether the mark is new."""
        key = (upstream_id, started_ms)
        if key in self._leaving:
            return False
        self._leaving[key] = now_s
        return True

    def leaving_s(self, record: UpstreamRecord, now_s: float) -> float | None:
        """Return for how long a start has been marked as leaving, or None if not."""
        marked_s = self._leaving.get((record.upstream_id, record.started_ms))
        return None if marked_s is None else now_s - marked_s

    def usable(self) -> dict[str, UpstreamRecord]:
        """Return the upstreams that may receive new requests, by id."""
        return {
            key: record
            for key, record in self.records.items()
            if not record.leaving and (key, record.started_ms) not in self._leaving
        }


def _is_older(record: UpstreamRecord, current: UpstreamRecord) -> bool:
    if record.started_ms != current.started_ms:
        return record.started_ms < current.started_ms
    return record.sequence < current.sequence
