"""Decide which versions of a service get requests while one is rolled out.

An operator orders that the traffic of a service moves to a version whose engines run
beside the old ones. Until the order is decided, the new version is on trial. Each node
keeps to its own share of the trial, so that no coordination is needed and a partitioned
node stays within the bound as well.
"""

import hashlib
import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from enum import Enum

from cicadapass_decisions.passthrough import UpstreamRecord

# Part of the bounds that trials use. The rest covers the continuations of streams that
# began at the version, nodes that restart and the rounding of the shares.
USED_FRACTION = 0.5
# Time before the end of a rollout by which its status is to be written: six attempts
# of a holder that answers lost in the log delay.
STATUS_RESERVE_S = 2.0
# A rollout is not decided as a success before this part of its time.
MIN_OBSERVED_FRACTION = 0.4
# Bounds of the time in which nodes stop sending to the old engines, which the platform
# stops at once after a success.
MIN_SETTLE_S = 1.0
MAX_SETTLE_S = 2.5
# Answers of the new version without which nothing is known of it.
MIN_ANSWERS = 10
# The new version carries the load if its slots are this fraction of the old ones, or a
# smaller one while few are in use.
USUAL_SLOTS_FRACTION = 0.8
LEAST_SLOTS_FRACTION = 0.5
LOW_USE_FRACTION = 0.4
MAX_USE_FRACTION = 0.75
# Trial engines over all data centres, so that one odd engine does not speak for its
# version.
MIN_TRIAL_ENGINES = 2


class RolloutState(Enum):
    """Name the state of a rollout."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"


class Trust(Enum):
    """Classify the versions of a service by the requests that they may get."""

    TRUSTED = "trusted"
    ON_TRIAL = "on_trial"
    BARRED = "barred"


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Store the platform's bounds on the requests that a bad version may get."""

    # Part of all requests of the service, and requests beyond it.
    share: float = 0.1
    slack: float = 50.0
    # Time after the fiftieth bad response after which it gets none.
    rollback_s: float = 5.0


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Request that the traffic of a service moves to a version."""

    service: str
    to: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class Rollout:
    """Store an order and what was decided about it."""

    service: str
    to: str
    duration_s: float
    # Offset of the newest order, and of the first one that it repeats.
    offset: int
    origin: int
    # True times at which the first of these orders, and the newest, was first seen.
    seen_s: float
    order_seen_s: float
    state: RolloutState = RolloutState.RUNNING
    # The operator deleted the order.
    withdrawn: bool = False
    # Versions that were in use before, and those that get no requests.
    trusted: frozenset[str] = frozenset()
    barred: frozenset[str] = frozenset()
    # Offset of the newest earlier order that is known to be decided, or -1.
    decided_before: int = -1

    @property
    def last_decided(self) -> int:
        """Return the offset of the newest order that is known to be decided, or -1."""
        return self.decided_before if self.running else self.offset

    @property
    def running(self) -> bool:
        """Return whether the order is not decided yet."""
        return self.state is RolloutState.RUNNING


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Store the ready engines of one side of a rollout and their work in progress."""

    engines: int = 0
    slots: int = 0
    running: int = 0


@dataclass(frozen=True, slots=True)
class Situation:
    """Store what decides a running rollout."""

    # True time.
    now_s: float
    # The sums show a bad version, by the strict rule and by that for the end.
    bad_at_once: bool
    bad_at_end: bool
    # Answers of the new version of which it is known whether they failed.
    answers: int
    old: FleetLoad
    new: FleetLoad
    round_s: float


def adopt_order(
    current: Rollout | None,
    order: RolloutOrder,
    offset: int,
    seen_s: float,
    in_use: Collection[str],
) -> Rollout:
    """Return the rollout of an order; a repeated one goes on, an older one is ignored.

    `in_use` has the versions that get requests now.
    """
    if current is not None and offset <= current.offset:
        return current
    if current is not None and _is_repeated(current, order, seen_s):
        return replace(current, offset=offset, order_seen_s=seen_s)
    barred = current.barred if current is not None else frozenset()
    if current is not None and current.running and current.to not in current.trusted:
        # It was replaced before anything was known of it.
        barred |= {current.to}
    others = frozenset(in_use) - {order.to}
    # An order to move to the only version in use changes nothing.
    trusted = others or frozenset(in_use)
    return Rollout(
        service=order.service,
        to=order.to,
        duration_s=order.duration_s,
        offset=offset,
        origin=offset,
        seen_s=seen_s,
        order_seen_s=seen_s,
        trusted=trusted,
        barred=barred - {order.to},
        decided_before=-1 if current is None else current.last_decided,
    )


def _is_repeated(current: Rollout, order: RolloutOrder, now_s: float) -> bool:
    """Return whether an order is that of a running rollout once more.

    One whose time is over was decided, though this node may not know.
    """
    same = (current.to, current.duration_s) == (order.to, order.duration_s)
    in_time = now_s < current.seen_s + current.duration_s
    return same and in_time and current.running and not current.withdrawn


def withdraw(current: Rollout, offset: int) -> Rollout:
    """Return the rollout after its order was deleted; a decided one stays."""
    if not current.running or offset <= current.offset:
        return current
    return replace(current, withdrawn=True)


def merge_rollouts(own: Rollout | None, other: Rollout) -> Rollout:
    """Return what two nodes know together of the rollout of a service."""
    if own is None:
        return other
    if own.offset != other.offset:
        older, newer = sorted((own, other), key=lambda each: each.offset)
        return _merge_older(newer, older)
    decided_before = max(own.decided_before, other.decided_before)
    # A node that missed the verdict of an earlier order may have taken this one for a
    # repetition of it. Its times and versions are then those of the earlier order.
    valid = [each for each in (own, other) if each.origin > decided_before]
    valid = valid or [own, other]
    final = [each for each in (own, other) if not each.running]
    if final:
        # The holder's record decides.
        trusted = frozenset().union(*(each.trusted for each in final))
        barred = frozenset().union(*(each.barred for each in final))
    else:
        trusted = _merge_trusted(valid[0], valid[-1])
        # Versions in use at one node were not barred by an order that the other one
        # missed.
        barred = valid[0].barred | valid[-1].barred
        barred -= trusted | {own.to}
    # Rows of earlier builds have only the time of the first order (`seen_s`), which
    # takes the place of `order_seen_s` there.
    order_seen_s = min(each.order_seen_s for each in valid)
    return replace(
        own,
        origin=min(each.origin for each in valid),
        seen_s=min(order_seen_s, *(each.seen_s for each in valid)),
        order_seen_s=order_seen_s,
        state=final[0].state if final else own.state,
        withdrawn=own.withdrawn or other.withdrawn,
        trusted=trusted,
        barred=barred,
        decided_before=decided_before,
    )


def _merge_older(newer: Rollout, older: Rollout) -> Rollout:
    """Return the rollout of the newer order.

    It begins anew if the newer order was taken for a repetition of a decided one.
    """
    if newer.running and newer.origin <= older.last_decided:
        order = RolloutOrder(newer.service, newer.to, newer.duration_s)
        is_success = older.state is RolloutState.SUCCEEDED
        in_use = {older.to} if is_success else older.trusted
        return replace(
            adopt_order(older, order, newer.offset, newer.order_seen_s, in_use),
            withdrawn=newer.withdrawn,
        )
    decided_before = max(newer.decided_before, older.last_decided)
    return replace(newer, decided_before=decided_before)


def _merge_trusted(own: Rollout, other: Rollout) -> frozenset[str]:
    """Return the versions in use before; a node that started later knows less of them.

    Such a node may see the new version alone, so that its word for it does not count.
    """
    both = own.trusted & other.trusted
    return (own.trusted | other.trusted) - ({own.to} - both)


def decided(rollout: Rollout, state: RolloutState) -> Rollout:
    """Return the rollout with its final state and the versions that this bars."""
    if state is RolloutState.SUCCEEDED:
        barred = (rollout.barred | rollout.trusted) - {rollout.to}
    else:
        barred = rollout.barred | ({rollout.to} - rollout.trusted)
    return replace(rollout, state=state, barred=barred)


def trust(rollout: Rollout | None, version: str) -> Trust:
    """Return which requests a version may get."""
    if rollout is None:
        return Trust.TRUSTED
    if version in rollout.barred:
        return Trust.BARRED
    if rollout.running and version == rollout.to and version not in rollout.trusted:
        return Trust.ON_TRIAL
    return Trust.TRUSTED


def share_phase(node: str, rollout: Rollout) -> float:
    """Return where in its share a node starts, from 0 to 1.

    Without it, nodes with the same load would send their first trials together, late.
    """
    name = f"{node}\0{rollout.service}\0{rollout.origin}"
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32


def trial_allowance(
    bounds: RolloutBounds, requests: int, node_count: int, phase: float
) -> int:
    """Return how many of a node's own requests may go to the version on trial.

    The sum over the nodes is at most half of the bound in the mean, with a deviation of
    at most half of the root of their number.
    """
    share = bounds.share * requests + bounds.slack / max(1, node_count)
    return math.floor(USED_FRACTION * share + phase)


def trial_engines(
    rollout: Rollout,
    old: Iterable[UpstreamRecord],
    new: Iterable[UpstreamRecord],
    bounds: RolloutBounds,
) -> list[UpstreamRecord]:
    """Return the engines of the new version that get the trial requests.

    Their part of the engines is that of the requests, so that they have as much load as
    the old ones. All nodes choose the same.
    """
    old_by_place: dict[str, int] = {}
    for record in old:
        old_by_place[record.data_centre] = old_by_place.get(record.data_centre, 0) + 1
    by_place: dict[str, list[UpstreamRecord]] = {}
    for record in new:
        by_place.setdefault(record.data_centre, []).append(record)
    least = max(1, -(-MIN_TRIAL_ENGINES // max(1, len(by_place))))
    chosen: list[UpstreamRecord] = []
    for place, records in by_place.items():
        share = USED_FRACTION * bounds.share * old_by_place.get(place, 0)
        ranked = sorted(records, key=lambda each: _weight(rollout, each))
        chosen += ranked[: max(least, round(share))]
    return chosen


def _weight(rollout: Rollout, record: UpstreamRecord) -> bytes:
    name = f"{rollout.service}\0{rollout.origin}\0{record.start_key}"
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def settle_s(round_s: float) -> float:
    """Return the time from the record of a success to its status."""
    return min(MAX_SETTLE_S, max(MIN_SETTLE_S, round_s))


def can_carry(old: FleetLoad, new: FleetLoad) -> bool:
    """Return whether the new version's engines can do the work of all."""
    work = old.running + new.running
    if not new.engines or work > MAX_USE_FRACTION * new.slots:
        return False
    if new.slots >= USUAL_SLOTS_FRACTION * old.slots:
        return True
    is_idle = work <= LOW_USE_FRACTION * new.slots
    return is_idle and new.slots >= LEAST_SLOTS_FRACTION * old.slots


def next_state(rollout: Rollout, situation: Situation) -> RolloutState | None:
    """Return the final state of a running rollout, or None if it goes on.

    One that is unsure at its end is rolled back: that costs the operator a repeat, and
    a wrong success stops the only engines that are known to work.
    """
    if not rollout.running:
        return None
    if rollout.withdrawn:
        return RolloutState.ROLLED_BACK
    elapsed_s = situation.now_s - rollout.seen_s
    end_s = max(
        rollout.duration_s - STATUS_RESERVE_S,
        rollout.duration_s * MIN_OBSERVED_FRACTION,
    )
    if rollout.to in rollout.trusted:
        # Nothing is on trial. Without engines, it ends as others do; no order of a
        # total is given while it runs.
        if situation.new.engines:
            return RolloutState.SUCCEEDED
        return RolloutState.ROLLED_BACK if elapsed_s >= end_s else None
    if situation.bad_at_once:
        return RolloutState.ROLLED_BACK
    success_s = max(
        end_s - settle_s(situation.round_s), rollout.duration_s * MIN_OBSERVED_FRACTION
    )
    if elapsed_s < success_s:
        return None
    is_known = situation.answers >= MIN_ANSWERS
    in_time = elapsed_s < rollout.duration_s
    if situation.bad_at_end or not in_time:
        return RolloutState.ROLLED_BACK
    if is_known and can_carry(situation.old, situation.new):
        return RolloutState.SUCCEEDED
    return RolloutState.ROLLED_BACK if elapsed_s >= end_s else None
