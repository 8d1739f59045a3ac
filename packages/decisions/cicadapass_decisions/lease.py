"""Evaluate leases in log order; the offset of a lease is its fencing number."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from cicadapass_decisions.logrecords import LeaseRequest, LogRecord

# Upper bound of the relative rate difference of two VMs' monotonic clocks.
CLOCK_RATE_MARGIN = 0.01
# Longer leases are not granted, which bounds the wait of a reader that missed records.
MAX_LEASE_S = 15.0
# Covers the granularity of timers and the time between a validity check and the order
# that follows it.
EXPIRY_MARGIN_S = 0.5


class LeaseVerdict(StrEnum):
    """Enumerate the results of a lease request."""

    GRANTED = "granted"
    LOST = "lost"
    # The reader lacks earlier records and cannot decide; it waits for the expiry of
    # the lease as if it had been granted.
    UNDECIDED = "unjudged"


@dataclass(frozen=True, slots=True)
class Lease:
    """Describe a granted lease; its offset in the log is the fencing number."""

    fencing_number: int
    holder: str
    incarnation: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class LeaseState:
    """Track the newest granted lease of each name and how long others must wait.

    Grants before `complete_from`, and of a name up to its offset in `undecided`, may
    be missing.
    """

    next_offset: int = 0
    complete_from: int = 0
    gap_wait_until_s: float = 0.0
    leases: Mapping[str, Lease] = field(default_factory=dict)
    undecided: Mapping[str, int] = field(default_factory=dict)
    wait_until_s: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HeldLease:
    """Describe a granted lease with its expiry on the holder's clock."""

    name: str
    fencing_number: int
    valid_until_s: float


def skip_leases_to(state: LeaseState, first_offset: int, read_s: float) -> LeaseState:
    """Return the state of a reader that cannot read the records before the offset."""
    if first_offset <= state.next_offset:
        return state
    return replace(
        state,
        next_offset=first_offset,
        complete_from=first_offset,
        gap_wait_until_s=read_s + _wait_s(MAX_LEASE_S),
    )


def evaluate_lease(
    state: LeaseState, record: LogRecord[object], read_s: float
) -> tuple[LeaseState, LeaseVerdict | None]:
    """Grant the lease unless its writer had not read an earlier grant to another.

    The verdict is None for records of other kinds and for records already evaluated.
    """
    if record.offset < state.next_offset:
        return state, None
    state = skip_leases_to(state, record.offset, read_s)
    state = replace(state, next_offset=record.offset + 1)
    if not isinstance(record.body, LeaseRequest):
        return state, None
    verdict = _verdict(state, record.body)
    return _record_verdict(state, record.offset, record.body, verdict, read_s), verdict


def request_lease(
    state: LeaseState, name: str, holder: str, incarnation: str, duration_s: float
) -> LeaseRequest:
    """Return the request that takes or renews a lease; first check `may_take`."""
    return LeaseRequest(name, holder, incarnation, duration_s, state.next_offset - 1)


def may_take(
    state: LeaseState, name: str, holder: str, incarnation: str, now_s: float
) -> bool:
    """Return whether no other holder's lease can still be valid."""
    lease = state.leases.get(name)
    is_decided = lease is not None and lease.fencing_number >= _last_undecided(
        state, name
    )
    if (
        lease
        and is_decided
        and (lease.holder, lease.incarnation) == (holder, incarnation)
    ):
        return True
    return now_s >= max(state.gap_wait_until_s, state.wait_until_s.get(name, 0.0))


def held_lease(
    request: LeaseRequest, fencing_number: int, before_append_s: float
) -> HeldLease:
    """Return the lease for its holder; its validity starts before the append."""
    return HeldLease(request.name, fencing_number, before_append_s + request.duration_s)


def may_act(lease: HeldLease, now_s: float) -> bool:
    """Return whether the holder may still send orders under the lease."""
    return now_s < lease.valid_until_s


def _verdict(state: LeaseState, request: LeaseRequest) -> LeaseVerdict:
    lease = state.leases.get(request.name)
    if not 0 <= request.duration_s <= MAX_LEASE_S:
        return LeaseVerdict.LOST
    if lease is not None and request.read_through < lease.fencing_number:
        return LeaseVerdict.LOST
    if request.read_through < _last_undecided(state, request.name):
        return LeaseVerdict.UNDECIDED
    return LeaseVerdict.GRANTED


def _last_undecided(state: LeaseState, name: str) -> int:
    return max(state.complete_from - 1, state.undecided.get(name, -1))


def _record_verdict(
    state: LeaseState,
    offset: int,
    request: LeaseRequest,
    verdict: LeaseVerdict,
    read_s: float,
) -> LeaseState:
    if verdict is LeaseVerdict.LOST:
        return state
    name = request.name
    until_s = read_s + _wait_s(request.duration_s)
    if verdict is LeaseVerdict.UNDECIDED:
        # A request that may have been refused must not shorten the wait.
        until_s = max(until_s, state.wait_until_s.get(name, 0.0))
        undecided = {**state.undecided, name: offset}
        wait_until_s = {**state.wait_until_s, name: until_s}
        return replace(state, undecided=undecided, wait_until_s=wait_until_s)
    lease = Lease(offset, request.holder, request.incarnation, request.duration_s)
    return replace(
        state,
        leases={**state.leases, name: lease},
        wait_until_s={**state.wait_until_s, name: until_s},
    )


def _wait_s(duration_s: float) -> float:
    if duration_s == 0:
        return 0.0
    return duration_s * (1 + CLOCK_RATE_MARGIN) + EXPIRY_MARGIN_S
