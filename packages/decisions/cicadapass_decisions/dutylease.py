"""Elect the holder of the duties by conditional appends to the platform's log.

A record contains the whole state of the duties, so that one append renews the lease,
finalises the counts of a usage window and stores the current orders. The log rejects an
append that does not name its current end, so two nodes never hold the same fencing
number. A candidate takes over once it has observed no renewal for longer than the lease
by its local clock; the holder stops acting well before that.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from cicadapass_decisions.rollouts import Rollout

# The holder acts only for this fraction of the lease after it began its last renewal.
ACT_FRACTION = 0.6
# The holder renews after this fraction of the lease.
RENEW_FRACTION = 0.35
# A candidate takes over after this many lease durations without a renewal.
TAKE_OVER_FACTOR = 1.1
# The holder in the record of released duties.
NO_HOLDER = ""
# Bits of a fencing number below the era of the registry. A record may be lost with its
# number, so those of an era are above all numbers of the eras before it.
FENCE_BITS = 24


@dataclass(frozen=True, slots=True)
class EngineClass:
    """Identify the engines of a service that are ordered and counted together."""

    service: str
    data_centre: str
    reclaimable: bool


@dataclass(frozen=True, slots=True)
class DutyRecord:
    """Store the state of the duties as one record of the log."""

    holder: str
    # The fencing number.
    fence: int
    # Renewals under this fencing number.
    renewal: int
    # Request counts of workspaces by window; final before they are first reported.
    reports: Mapping[int, Mapping[str, int]] = field(default_factory=dict)
    # Engines ordered.
    orders: Mapping[EngineClass, int] = field(default_factory=dict)
    # Recent usage of workspaces as pairs of age in seconds and amount, which starting
    # nodes restore, and the estimated true time at which it was recorded.
    recent_usage: Mapping[str, tuple[tuple[float, float], ...]] = field(
        default_factory=dict
    )
    usage_recorded_s: float = 0.0
    # Encoded blocks of prompt segments, which starting nodes restore.
    segment_blocks: bytes = b""
    # The last rollout of each service.
    rollouts: Mapping[str, Rollout] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Observation:
    """Store the newest record and end of the log, and when they were first observed."""

    record: DutyRecord | None
    end_offset: int
    first_observed_s: float


@dataclass(frozen=True, slots=True)
class Lease:
    """Store the lease of this node, which counts from the start of its last renewal."""

    record: DutyRecord
    end_offset: int
    renewal_started_s: float


def may_act(lease: Lease | None, lease_s: float, now_s: float) -> bool:
    """Return whether the lease still allows the holder to act; False without one."""
    return (
        lease is not None
        and 0 <= now_s - lease.renewal_started_s < ACT_FRACTION * lease_s
    )


def should_renew(lease: Lease, lease_s: float, now_s: float) -> bool:
    """Return whether the holder should append a renewal."""
    return now_s - lease.renewal_started_s >= RENEW_FRACTION * lease_s


def observe(
    previous: Observation | None,
    record: DutyRecord | None,
    end_offset: int,
    now_s: float,
) -> Observation:
    """Return the newest record with the time at which it was first observed."""
    if (
        previous is not None
        and previous.record == record
        and previous.end_offset == end_offset
    ):
        return previous
    return Observation(record, end_offset, now_s)


def next_fence(last: int, era: int) -> int:
    """Return a fencing number above the last one and those of earlier eras."""
    return max(last, era << FENCE_BITS) + 1


def is_of_era(record: DutyRecord | None, era: int) -> bool:
    """Return whether a record was written under a fencing number of an era."""
    fence = 0 if record is None else record.fence
    return fence >> FENCE_BITS == era


def newest_record(
    one: DutyRecord | None, other: DutyRecord | None
) -> DutyRecord | None:
    """Return the record that was written later."""
    if one is None or other is None:
        return one or other
    return max(one, other, key=lambda each: (each.fence, each.renewal))


def may_take_over(
    observation: Observation, lease_s: float, now_s: float, era: int
) -> bool:
    """Return whether a candidate may append a record with itself as the holder.

    A registry that has returned from a copy may have lost the record of a holder that
    still acts.
    """
    record = observation.record
    is_free = record is None or record.holder == NO_HOLDER
    if is_free and is_of_era(record, era):
        return True
    return now_s - observation.first_observed_s >= TAKE_OVER_FACTOR * lease_s


def take_over_record(
    record: DutyRecord | None, holder: str, era: int, known_fence: int = 0
) -> DutyRecord:
    """Return the record that makes a node the holder, under a new fencing number.

    `known_fence` is the highest number that the node knows of.
    """
    last = max(known_fence, 0 if record is None else record.fence)
    fence = next_fence(last, era)
    if record is None:
        return DutyRecord(holder, fence, 0)
    return replace(record, holder=holder, fence=fence, renewal=0)


def release_record(record: DutyRecord) -> DutyRecord:
    """Return the record that releases the duties."""
    return replace(record, holder=NO_HOLDER, renewal=record.renewal + 1)


def renewal_record(record: DutyRecord) -> DutyRecord:
    """Return the record that renews the lease."""
    return replace(record, renewal=record.renewal + 1)
