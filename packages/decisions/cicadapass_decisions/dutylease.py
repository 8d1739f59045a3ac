"""Choose the one holder of the duties by conditional appends to the platform's log.

The record holds the whole state of the duties, so one append renews the lease, fixes
the counts of a usage window and notes the orders in force. The log orders the appends:
an append that names the wrong end of the log is refused, so that two nodes never hold
the same fencing number. A candidate waits until it has seen no renewal for the lease's
length by its own clock; the holder stops acting well before.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

# The holder acts only for this part of the lease after it began its last renewal.
ACT_PART = 0.6
# The holder renews at this part of the lease.
RENEW_PART = 0.35
# A candidate waits for this many lengths of the lease without a renewal.
TAKE_OVER_PART = 1.1
# The holder's name in a record whose holder has given the duties up.
RELEASED = ""


@dataclass(frozen=True, slots=True)
class DutyRecord:
    """Hold the state of the duties as it stands in the log."""

    holder: str
    fence: int
    renewal: int
    # Counts by window, fixed before they are first reported.
    reports: Mapping[int, Mapping[str, int]] = field(default_factory=dict)
    # Engines ordered, by service, data centre and class.
    orders: Mapping[str, int] = field(default_factory=dict)
    # Tokens that workspaces used lately, as pairs of age and amount, for nodes that
    # start, and the true time at which it was told.
    use: Mapping[str, tuple[tuple[float, float], ...]] = field(default_factory=dict)
    told_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Seen:
    """Hold the newest record, the end of the log behind it, and when it was seen."""

    record: DutyRecord | None
    end: int
    seen_s: float


@dataclass(frozen=True, slots=True)
class Lease:
    """Hold a lease of this node; `began_s` is when its last renewal was begun."""

    record: DutyRecord
    end: int
    began_s: float


def may_act(lease: Lease | None, lease_s: float, now_s: float) -> bool:
    """Return whether the holder may still act."""
    return lease is not None and 0 <= now_s - lease.began_s < ACT_PART * lease_s


def should_renew(lease: Lease, lease_s: float, now_s: float) -> bool:
    """Return whether the holder should append again."""
    return now_s - lease.began_s >= RENEW_PART * lease_s


def observe(
    seen: Seen | None, record: DutyRecord | None, end: int, now_s: float
) -> Seen:
    """Return the newest record with the time of its first sight."""
    if seen is not None and seen.record == record and seen.end == end:
        return seen
    return Seen(record, end, now_s)


def may_take_over(seen: Seen, lease_s: float, now_s: float) -> bool:
    """Return whether a candidate may append a record of its own."""
    if seen.record is None or seen.record.holder == RELEASED:
        return True
    return now_s - seen.seen_s >= TAKE_OVER_PART * lease_s


def taken_over(seen: Seen, holder: str) -> DutyRecord:
    """Return the record with which a candidate becomes the holder."""
    if seen.record is None:
        return DutyRecord(holder, 1, 0)
    return replace(seen.record, holder=holder, fence=seen.record.fence + 1, renewal=0)


def released(record: DutyRecord) -> DutyRecord:
    """Return the record with which a holder gives the duties up."""
    return replace(record, holder=RELEASED, renewal=record.renewal + 1)


def renewed(record: DutyRecord) -> DutyRecord:
    """Return the record of the next renewal."""
    return replace(record, renewal=record.renewal + 1)
