"""Decide which connections get memory, which wait, and which are shed first."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

# Part of a VM's memory that callers' bytes may take. The interpreter takes 27 MB at
# rest; a body is copied once on its way to an upstream, and freed memory is not all
# returned at once.
BUDGET_FRACTION = 0.15
# Requests of up to this size are small: bodies are usually 12 KB, and up to 72 KB.
SMALL_BYTES = 131_072
# Part of the budget that larger requests leave to small ones.
SMALL_FRACTION = 0.25
# A connection that sent less than 1 KB for this long, while it could, may be shed.
STALL_S = 1.0
# Time in which an upload should end if its route is unknown.
UPLOAD_LIMIT_S = 30.0
# Time after which a request that holds a part of its bytes and waits for more may be
# refused: others may be waiting for what it holds.
PARTIAL_WAIT_S = 1.0
# Time after which any request that waits is refused.
WAIT_S = 3.0
# Fraction of the overdue requests that hold a part which is refused at once, so that
# the others can go on with what these held.
REFUSED_FRACTION = 0.25
# A group that holds more than this part of the budget is shed before others.
GROUP_FRACTION = 0.5
# Fraction of the connections that is closed at once when there are too many, so that
# the choice among all of them is made rarely.
EVICTED_FRACTION = 1 / 16


@dataclass(frozen=True, slots=True)
class Holding:
    """Describe what one connection holds of the budget."""

    key: int
    # The workspace, or the address if the credential is unknown or not yet read.
    group: str
    known: bool
    held_bytes: int
    # What it waits for in addition, or 0, and for how long.
    wanted_bytes: int = 0
    waited_s: float = 0.0
    # Time without progress during which the connection could have made some.
    stalled_s: float = 0.0
    # Whether its request has been received in part only, so that it has not run.
    unfinished: bool = True
    # Whether it holds a complete response that its caller does not read.
    unread: bool = False
    # The body that it receives, if its head is complete.
    upload: "Upload | None" = None


@dataclass(frozen=True, slots=True)
class Upload:
    """Describe the progress of a body that has been received in part.

    The times do not include those in which the node did not read.
    """

    # Bytes that are reserved and were not received yet.
    remaining_bytes: int
    # The time since the body began, and that in which it should end.
    elapsed_s: float
    limit_s: float
    # What was received in the last seconds.
    recent_bytes: int
    recent_s: float

    @property
    def is_late(self) -> bool:
        """Return whether the body would not end in time at its current rate.

        The rate excludes one pause of `STALL_S`, so uploads are judged only after twice
        that time.
        """
        if self.recent_s < 2 * STALL_S:
            return False
        left_s = self.limit_s - self.elapsed_s
        sending_s = self.recent_s - STALL_S
        return self.recent_bytes * left_s < self.remaining_bytes * sending_s


class ShedReason(Enum):
    """Name why a request was refused; the values are logged."""

    STALLED = "stalled"
    SLOW = "slow"
    NO_MEMORY = "no_memory"
    UNREAD = "unread"


@dataclass(frozen=True, slots=True)
class GrantPlan:
    """Store which connections get what they want, and which are refused."""

    granted: frozenset[int]
    shed: tuple[tuple[int, ShedReason], ...]


def largest_request_bytes(capacity_bytes: int) -> int:
    """Return the bytes of the largest request that can ever be granted."""
    return int(max(SMALL_BYTES, capacity_bytes * (1 - SMALL_FRACTION)))


def has_room(
    total_bytes: int,
    added_bytes: int,
    used_bytes: int,
    capacity_bytes: int,
    copied_bytes: int = 0,
) -> bool:
    """Return whether a request of `total_bytes` may have `added_bytes` more.

    `copied_bytes` is the part of `used_bytes` that is copies of requests that upstreams
    have not taken. Only large requests wait for these copies: a few copies of large
    requests to a slow upstream could block all others.
    """
    if total_bytes > SMALL_BYTES:
        return used_bytes + added_bytes <= capacity_bytes * (1 - SMALL_FRACTION)
    return used_bytes - copied_bytes + added_bytes <= capacity_bytes


def plan_grants(
    holdings: Sequence[Holding],
    used_bytes: int,
    capacity_bytes: int,
    copied_bytes: int = 0,
) -> GrantPlan:
    """Return which waiting requests are granted, and whom to shed for them."""
    waiting = [each for each in holdings if each.wanted_bytes]
    waiting.sort(key=lambda each: (_total_bytes(each), -each.waited_s))
    victims = _shedding_order(holdings, capacity_bytes)
    reclaimable_bytes = sum(victim.held_bytes for victim in victims)
    granted: set[int] = set()
    shed: list[tuple[int, ShedReason]] = []
    position = 0
    # Responses are not refused, so they may exceed the budget for a while.
    while used_bytes > capacity_bytes and position < len(victims):
        used_bytes -= victims[position].held_bytes
        reclaimable_bytes -= victims[position].held_bytes
        shed.append(_victim_and_reason(victims[position]))
        position += 1
    for each in waiting:
        total, added = _total_bytes(each), each.wanted_bytes
        least_bytes = used_bytes - reclaimable_bytes
        if not has_room(total, added, least_bytes, capacity_bytes, copied_bytes):
            # Larger requests do not fit either, and shedding would not help.
            break
        while not has_room(total, added, used_bytes, capacity_bytes, copied_bytes):
            victim = victims[position]
            position += 1
            used_bytes -= victim.held_bytes
            reclaimable_bytes -= victim.held_bytes
            shed.append(_victim_and_reason(victim))
        used_bytes += added
        granted.add(each.key)
    overdue = _overdue([each for each in waiting if each.key not in granted])
    shed += [(each.key, ShedReason.NO_MEMORY) for each in overdue]
    return GrantPlan(frozenset(granted), tuple(shed))


def choose_evictions(
    candidates: Iterable[tuple[int, float]], limit: int
) -> tuple[int, ...]:
    """Return the keys of the connections to close when there are `limit` of them.

    The candidates are pairs of a key and the time since the last progress, of those
    connections that have no complete request; the longest times come first.
    """
    ordered = sorted(candidates, key=lambda each: -each[1])
    count = max(1, int(limit * EVICTED_FRACTION))
    return tuple(key for key, _ in ordered[:count])


def _total_bytes(holding: Holding) -> int:
    return holding.held_bytes + holding.wanted_bytes


def _victim_and_reason(holding: Holding) -> tuple[int, ShedReason]:
    if holding.unread:
        return holding.key, ShedReason.UNREAD
    stalled = holding.stalled_s >= STALL_S
    return holding.key, ShedReason.STALLED if stalled else ShedReason.SLOW


def _shedding_order(holdings: Sequence[Holding], capacity_bytes: int) -> list[Holding]:
    """Return those that may be shed by group, bytes times `_wasted_s`, and key."""
    group_bytes: dict[str, int] = {}
    for each in holdings:
        held_bytes = group_bytes.get(each.group, 0) + each.held_bytes
        group_bytes[each.group] = held_bytes

    def rank(each: Holding) -> tuple[bool, float, bool]:
        within_share = group_bytes[each.group] <= capacity_bytes * GROUP_FRACTION
        return within_share, -each.held_bytes * _wasted_s(each), each.known

    candidates = [
        each
        for each in holdings
        if (each.unfinished or each.unread)
        and not each.wanted_bytes
        and (each.stalled_s >= STALL_S or _is_late(each))
    ]
    return sorted(candidates, key=rank)


def _is_late(holding: Holding) -> bool:
    return holding.upload is not None and holding.upload.is_late


def _wasted_s(holding: Holding) -> float:
    """Return the time without progress, or since the head if the upload is late."""
    if holding.upload is not None and holding.upload.is_late:
        return max(holding.stalled_s, holding.upload.elapsed_s)
    return holding.stalled_s


def _overdue(waiting: Sequence[Holding]) -> list[Holding]:
    """Return the waiting requests to refuse; of those with a part, some at a time."""
    partial = [
        each for each in waiting if each.held_bytes and each.waited_s >= PARTIAL_WAIT_S
    ]
    partial.sort(key=lambda each: (-each.held_bytes, -each.waited_s))
    count = max(1, int(len(partial) * REFUSED_FRACTION))
    refused = partial[:count]
    keys = {each.key for each in refused}
    late = [each for each in waiting if each.waited_s >= WAIT_S]
    return refused + [each for each in late if each.key not in keys]
