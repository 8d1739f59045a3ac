"""Derive the usable upstreams from the records of the registry."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from cicadapass_decisions.passthrough import UpstreamRecord

# The platform guarantees that entries which lapsed during an outage of the registry
# reappear about 2 s after its end.
REAPPEAR_S = 2.2


@dataclass(frozen=True, slots=True)
class LapsedRecord:
    """Store a record whose entry was removed but may reappear."""

    record: UpstreamRecord
    expires_at_s: float


@dataclass(frozen=True, slots=True)
class ChoiceBasis:
    """Describe the entry and the view by which an upstream was chosen."""

    entry_offset: int
    # Time since this node applied the entry.
    entry_age_s: float
    # The entry was removed and is kept during an outage of the registry.
    held: bool
    # Offset of the first registry record that the view does not cover.
    view_end: int
    # Time since the last read of the registry that the view rests on.
    view_age_s: float


NOT_CHOSEN = ChoiceBasis(-1, 0.0, held=False, view_end=-1, view_age_s=0.0)


class UpstreamView:
    """Track the upstreams of the registry and which of them are leaving.

    A leaving mark applies to one start of an upstream and is never cleared. An entry
    that is removed less than `REAPPEAR_S` after a failed call stays usable until that
    time has passed.
    """

    def __init__(self) -> None:
        # The registry offset of the next record to read; -1 before the first listing.
        self.end_offset = -1
        # Start of the last read of the registry by this node.
        self.read_s = -1e9
        self._records: dict[str, UpstreamRecord] = {}
        # Offset of each entry, and when it was applied.
        self._versions: dict[str, tuple[int, float]] = {}
        self._lapsed: dict[str, LapsedRecord] = {}
        self._leaving: dict[tuple[str, int], float] = {}
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

    def record_registry_failure(self, now_s: float) -> bool:
        """Record that a call to the registry failed; return whether it is the first."""
        is_first = now_s >= self._unsettled_until_s
        self._unsettled_until_s = max(self._unsettled_until_s, now_s + REAPPEAR_S)
        return is_first

    def basis(self, upstream_id: str, now_s: float) -> ChoiceBasis:
        """Return what a choice of an upstream is based on."""
        offset, applied_s = self._versions.get(upstream_id, (-1, now_s))
        return ChoiceBasis(
            entry_offset=offset,
            entry_age_s=now_s - applied_s,
            held=upstream_id in self._lapsed,
            view_end=self.end_offset,
            view_age_s=now_s - self.read_s,
        )

    def apply(self, record: UpstreamRecord, now_s: float, offset: int = -1) -> bool:
        """Apply an entry unless it is outdated; return whether its content changed."""
        current = self._records.get(record.upstream_id)
        if current is not None and _is_older(record, current):
            return False
        self._records[record.upstream_id] = record
        self._versions[record.upstream_id] = (offset, now_s)
        self._lapsed.pop(record.upstream_id, None)
        if record.leaving:
            self.mark_leaving(record.upstream_id, record.started_ms, now_s)
        return current is None or replace(current, sequence=record.sequence) != record

    def remove(self, upstream_id: str, now_s: float) -> bool:
        """Apply the removal of an entry; return whether the entry was known."""
        record = self._records.pop(upstream_id, None)
        if record is None:
            return False
        if now_s < self._unsettled_until_s:
            self._lapsed[upstream_id] = LapsedRecord(record, self._unsettled_until_s)
        else:
            del self._versions[upstream_id]
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
            self._versions.pop(key, None)
        return bool(expired)

    def mark_leaving(self, upstream_id: str, started_ms: int, now_s: float) -> bool:
        """Mark one start of an upstream as leaving; return whether the mark is new."""
        key = (upstream_id, started_ms)
        if key in self._leaving:
            return False
        self._leaving[key] = now_s
        return True

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
