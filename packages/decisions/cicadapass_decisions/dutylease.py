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
ACT_FRACTION = 0.6
# The holder renews at this part of the lease.
RENEW_FRACTION = 0.35
# A candidate waits for this many lengths of the lease without a renewal.
TAKE_OVER_FACTOR = 1.1
# The holder's name in a record whose holder has given the duties up.
NO_HOLDER = ""


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
    recent_usage: Mapping[str, tuple[tuple[float, float], ...]] = field(
        default_factory=dict
    )
    usage_recorded_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Observation:
    """Hold the newest record, the end of the log behind it, and when it was seen."""

    record: DutyRecord | None
    end: int
    first_observed_s: float


@dataclass(frozen=True, slots=True)
class Lease:
    """Hold a lease of this node; `began_s` is when its last renewal was begun."""

    record: DutyRecord
    end: int
    renewal_started_s: float


def may_act(lease: Lease | None, lease_s: float, now_s: float) -> bool:
    """Return whether the holder may still act."""
    return (
        lease is not None
        and 0 <= now_s - lease.renewal_started_s < ACT_FRACTION * lease_s
    )


def should_renew(lease: Lease, lease_s: float, now_s: float) -> bool:
    """Return whether the holder should append again."""
    return now_s - lease.renewal_started_s >= RENEW_FRACTION * lease_s


def observe(
    previous: Observation | None, record: DutyRecord | None, end: int, now_s: float
) -> Observation:
    """Return the newest record with the time of its first sight."""
    if previous is not None and previous.record == record and previous.end == end:
        return previous
    return Observation(record, end, now_s)


def may_take_over(observation: Observation, lease_s: float, now_s: float) -> bool:
    """Return whether a candidate may append a record of its own."""
    if observation.record is None or observation.record.holder == NO_HOLDER:
        return True
    return now_s - observation.first_observed_s >= TAKE_OVER_FACTOR * lease_s


def take_over_record(observation: Observation, holder: str) -> DutyRecord:
    """Return the record with which a candidate becomes the holder."""
    if observation.record is None:
        return DutyRecord(holder, 1, 0)
    return replace(
        observation.record, holder=holder, fence=observation.record.fence + 1, renewal=0
    )


def release_record(record: DutyRecord) -> DutyRecord:
    """Return the record with which a holder gives the duties up."""
    return replace(record, holder=NO_HOLDER, renewal=record.renewal + 1)


def renewal_record(record: DutyRecord) -> DutyRecord:
    """Return the record of the next renewal."""
    return replace(record, renewal=record.renewal + 1)
