"""Learn from passing traffic how many runs each model engine handles well.

Each node sums the events of the streams that engines write for it and the time between
them, as totals that only grow; those of all nodes show how long an event takes now. The
level of an engine falls while events take longer than they did at their quickest
lately, and grows again otherwise. Calls of plain services are not learnt: in the model
of drawn upstreams no method did better than the counts of calls in progress.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

# Averaging time of the present times; the totals of peers are up to a round old.
PRESENT_S = 1.0
# An engine may be beyond its level while an event takes this multiple of its quickest
# lately, or of the median of the service's engines. These and the next ones were chosen
# by runs over drawn engines; see docs/design/learned-capacity.md.
SLOW_PACE = 1.25
SLOW_GROUP_PACE = 1.5
# The quickest time of an event is forgotten at this rate, in parts a second.
FORGOTTEN_PER_S = 0.01
# Part by which the level falls or grows in a second. Growth of 0.1 or more oscillates:
# 0.02 to 0.03 fewer of the streams are in time in the test model.
LEVEL_LOSS_PER_S = 0.3
LEVEL_GROWTH_PER_S = 0.05
# When the level has fallen to this part, an event must take less than that part of the
# time before. Otherwise the engine is slow for another reason than its load.
CHECKED_LEVEL = 0.5
IMPROVED_PACE = 0.85
# An engine that is slow for another reason is tried again when it is slower by this.
SLOWER_AGAIN = 1.5
# The lowest level; fewer runs show too little of a recovery.
MIN_LEVEL = 3.0
# Events, after decay, from which the present time of an event is known.
MIN_PRESENT_WORK = 10.0
# A peer's report counts for at most this many events of an engine, and for a time in
# this factor of the known one. In a round, a node of 80 ends one or two runs of up to
# 64 events at an engine.
MAX_PEER_WORK = 150.0
MAX_PEER_DEVIATION = 4.0
# A peer that was silent for longer has its totals taken over without counting them.
MAX_PEER_SILENCE_S = 10.0
# Rows of one message: the engines that were sampled last. A row of a start key, two
# counts and framing takes up to 50 bytes, and all of them up to 600.
MAX_ROWS = 12
# Rows are repeated for this long after a sample, which covers a lost message.
ROW_LIFETIME_S = 10.0


@dataclass(frozen=True, slots=True)
class Totals:
    """Sum the events that an engine wrote and the time that they took."""

    work: float = 0.0
    busy_s: float = 0.0

    def plus(self, other: "Totals", factor: float = 1.0) -> "Totals":
        """Return the sum of these totals and a multiple of others."""
        return Totals(
            self.work + factor * other.work, self.busy_s + factor * other.busy_s
        )

    @property
    def unit_s(self) -> float:
        """Return the mean time of an event."""
        return self.busy_s / max(self.work, 1e-9)


def bounded_report(change: Totals, known: Totals) -> Totals:
    """Return what counts of a peer's report, given what is known of the engine."""
    work = min(change.work, MAX_PEER_WORK)
    if work <= 0 or change.busy_s < 0:
        return Totals()
    unit_s = change.unit_s
    if known.work >= MIN_PRESENT_WORK:
        shortest_s = known.unit_s / MAX_PEER_DEVIATION
        unit_s = min(max(unit_s, shortest_s), known.unit_s * MAX_PEER_DEVIATION)
    return Totals(work, work * unit_s)


@dataclass(frozen=True, slots=True)
class EngineLevel:
    """Store the runs that an engine handles well, and how they were found."""

    runs: float
    # The time of an event at its quickest lately.
    quickest_s: float
    # The level and the time of an event before the level began to fall.
    checked_runs: float | None = None
    checked_s: float = 0.0
    # The time of an event that does not depend on the load, if it is slow.
    inherent_s: float | None = None


def next_level(
    level: EngineLevel | None,
    present: Totals,
    group_s: float,
    slots: int,
    elapsed_s: float,
) -> EngineLevel | None:
    """Return the level of an engine after `elapsed_s` of the present pace.

    `group_s` is the median time of an event at the engines of the service.
    """
    if present.work < MIN_PRESENT_WORK or present.busy_s <= 0:
        return level
    event_s = present.unit_s
    if level is None:
        return EngineLevel(float(slots), event_s)
    quickest_s = min(event_s, level.quickest_s * (1 + FORGOTTEN_PER_S * elapsed_s))
    level = replace(level, quickest_s=quickest_s)
    if not _is_slow(level, event_s, group_s):
        runs = level.runs * (1 + LEVEL_GROWTH_PER_S * elapsed_s)
        return replace(level, runs=min(float(slots), runs), checked_runs=None)
    checked_runs = level.checked_runs
    if checked_runs is None:
        checked_runs = level.runs
        level = replace(level, checked_runs=checked_runs, checked_s=event_s)
    runs = max(MIN_LEVEL, level.runs * (1 - LEVEL_LOSS_PER_S * elapsed_s))
    if runs >= CHECKED_LEVEL * checked_runs:
        return replace(level, runs=runs)
    if event_s > IMPROVED_PACE * level.checked_s:
        return EngineLevel(checked_runs, event_s, inherent_s=event_s)
    return replace(level, runs=runs, checked_runs=runs, checked_s=event_s)


def _is_slow(level: EngineLevel, event_s: float, group_s: float) -> bool:
    """Return whether the load of an engine may be too high."""
    if event_s > SLOW_PACE * level.quickest_s:
        return True
    inherent_s = level.inherent_s
    if inherent_s is not None and event_s <= SLOWER_AGAIN * inherent_s:
        return False
    return event_s > SLOW_GROUP_PACE * group_s


class _Engine:
    """Hold the totals of one start of an engine."""

    def __init__(self) -> None:
        self.own = Totals()
        # What is not part of `present` yet.
        self.unseen = Totals()
        self.present = Totals()
        self.peers: dict[str, tuple[Totals, float]] = {}
        self.level: EngineLevel | None = None


class LearnedCapacity:
    """Own what a node has learnt of the engines, by the key of their start."""

    def __init__(self) -> None:
        self._engines: dict[str, _Engine] = {}
        # When each engine was last sampled, the latest one last.
        self._sampled_s: OrderedDict[str, float] = OrderedDict()

    def keep(self, start_keys: Iterable[str]) -> None:
        """Drop all starts of engines but these."""
        kept = set(start_keys)
        for key in [each for each in self._engines if each not in kept]:
            del self._engines[key]
            self._sampled_s.pop(key, None)
        for key in kept - self._engines.keys():
            self._engines[key] = _Engine()

    def record_work(self, start_key: str, sample: Totals, now_s: float) -> None:
        """Add events that an engine wrote for this node."""
        engine = self._engines.get(start_key)
        if engine is None:
            return
        engine.own = engine.own.plus(sample)
        engine.unseen = engine.unseen.plus(sample)
        self._sampled_s[start_key] = now_s
        self._sampled_s.move_to_end(start_key)

    def export(self, now_s: float) -> list[list[Any]]:
        """Return rows of this node's totals: start key, events, milliseconds."""
        recent = [
            key
            for key, sampled_s in self._sampled_s.items()
            if now_s - sampled_s < ROW_LIFETIME_S
        ]
        rows = []
        for key in recent[-MAX_ROWS:]:
            own = self._engines[key].own
            rows.append([key, round(own.work), round(1000 * own.busy_s)])
        return rows

    def merge(self, peer: str, rows: Sequence[Any], now_s: float) -> None:
        """Apply a peer's totals; raise ValueError or TypeError for malformed ones.

        `peer` names one start of a node, whose totals only grow.
        """
        for start_key, work, busy_ms in rows[:MAX_ROWS]:
            totals = Totals(float(work), float(busy_ms) / 1000)
            if not (math.isfinite(totals.work) and math.isfinite(totals.busy_s)):
                raise ValueError(f"{work}, {busy_ms} are no totals")
            engine = self._engines.get(str(start_key))
            if engine is None:
                continue
            known = engine.peers.get(peer)
            if known is not None and totals.work < known[0].work:
                # An earlier message that arrived late.
                continue
            engine.peers[peer] = (totals, now_s)
            # The first totals of a peer, or those after a silence, are old.
            if known is not None and now_s - known[1] <= MAX_PEER_SILENCE_S:
                change = bounded_report(totals.plus(known[0], -1.0), engine.present)
                engine.unseen = engine.unseen.plus(change)

    def forget_peer(self, peer: str) -> None:
        """Remove the totals of a peer that has ended."""
        for engine in self._engines.values():
            engine.peers.pop(peer, None)

    def tick(self, elapsed_s: float) -> None:
        """Include what was reported since the last call in the present times."""
        kept = math.exp(-elapsed_s / PRESENT_S)
        for engine in self._engines.values():
            engine.present = engine.unseen.plus(engine.present, kept)
            engine.unseen = Totals()

    def adapt_levels(self, slots: Mapping[str, int], elapsed_s: float) -> None:
        """Move the levels of a service's engines, given their slots by start key."""
        engines = {key: self._engines[key] for key in slots if key in self._engines}
        paces_s = sorted(
            engine.present.unit_s
            for engine in engines.values()
            if engine.present.work >= MIN_PRESENT_WORK
        )
        if not paces_s:
            return
        # Of two, the quicker one: the other may be the one that is slow.
        group_s = paces_s[(len(paces_s) - 1) // 2]
        for key, engine in engines.items():
            engine.level = next_level(
                engine.level, engine.present, group_s, slots[key], elapsed_s
            )

    def level(self, start_key: str) -> int | None:
        """Return the runs that an engine handles well, once they are known."""
        engine = self._engines.get(start_key)
        if engine is None or engine.level is None:
            return None
        return round(engine.level.runs)
