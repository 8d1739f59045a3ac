"""Learn from passing traffic how much work each upstream handles well.

Each node sums the work that upstreams do for it and the time that this takes, as totals
that only grow; those of all nodes show how long a unit of work takes now. A unit is a
call of a plain service, or an event of a model engine's stream.

The shares of a plain service's upstreams move towards equal times: one that is slow for
its load gets less. A model engine's level, the runs that it handles well, falls while
events take longer than they did at their quickest lately, and grows again otherwise.
"""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

# Averaging time of the present times; the totals of peers are up to a round old.
PRESENT_S = 1.0
# Speed at which shares move, for each second and factor of e between the times. With
# totals that are a round of 1.6 s old, 0.5 oscillates and 1.0 loses a third of the
# calls in the test model; 0.3 does neither.
GAIN_PER_S = 0.3
# Bounds of the logarithm of the ratio of the times, so that no report moves a share by
# more than a factor in a second.
MAX_LOG_GROWTH = 1.0
MAX_LOG_LOSS = 1.5
# Times below this part of the target count as equally good.
GOOD_TARGET_FRACTION = 0.5
# An engine is beyond its level while an event takes this multiple of the quickest one.
SLOW_PACE = 1.25
# The quickest time of an event is forgotten at this rate, in parts a second: an engine
# that has become slower for another reason than its load counts as such for 3 s.
FORGOTTEN_PER_S = 0.1
# Part by which the level falls or grows in a second.
LEVEL_LOSS_PER_S = 0.3
LEVEL_GROWTH_PER_S = 0.1
# The lowest level; fewer runs show too little of a recovery.
MIN_LEVEL = 2.0
# Smallest share, relative to the largest: traffic that shows a recovery.
MIN_SHARE = 0.02
# Work, after decay, from which the present time of an upstream is known.
MIN_PRESENT_WORK = 1.0
# Calls of a service, after decay, from which its shares are used.
MIN_SERVICE_WORK = 10.0
# Sends of a node count towards its shares with this half-life.
SENDS_HALF_LIFE_S = 2.0
# A peer's report counts for at most this much work of an upstream, and for a time
# within this factor of the known one. In a round a node of 80 makes a few calls to an
# upstream and ends one or two runs of up to 64 events.
MAX_PEER_WORK = 150.0
MAX_PEER_DEVIATION = 4.0
# A peer that was silent for longer has its totals taken over without counting them.
MAX_PEER_SILENCE_S = 10.0
# Rows of one message: the upstreams that were sampled last. A row of a start key, two
# counts and framing takes up to 50 bytes, and all of them up to 600.
MAX_ROWS = 12
# Rows are repeated for this long after a sample, which covers a lost message.
ROW_LIFETIME_S = 10.0


@dataclass(frozen=True, slots=True)
class Totals:
    """Sum the units of work that an upstream did and the time that they took."""

    work: float = 0.0
    busy_s: float = 0.0

    def plus(self, other: "Totals", factor: float = 1.0) -> "Totals":
        """Return the sum of these totals and a multiple of others."""
        return Totals(
            self.work + factor * other.work, self.busy_s + factor * other.busy_s
        )

    @property
    def unit_s(self) -> float:
        """Return the mean time of a unit of work."""
        return self.busy_s / max(self.work, 1e-9)


def bounded_report(change: Totals, known: Totals) -> Totals:
    """Return what counts of a peer's report, given what is known of the upstream."""
    work = min(change.work, MAX_PEER_WORK)
    if work <= 0 or change.busy_s < 0:
        return Totals()
    unit_s = change.unit_s
    if known.work >= MIN_PRESENT_WORK:
        shortest_s = known.unit_s / MAX_PEER_DEVIATION
        unit_s = min(max(unit_s, shortest_s), known.unit_s * MAX_PEER_DEVIATION)
    return Totals(work, work * unit_s)


def balanced_shares(
    shares: Mapping[str, float],
    present: Mapping[str, Totals],
    good_s: float,
    elapsed_s: float,
) -> dict[str, float]:
    """Return the shares moved towards equal times, relative to the largest one.

    Upstreams that are all slow alike keep their shares. Times up to `good_s` are all
    good, and so is every upstream without calls.
    """
    known = {
        name: totals
        for name, totals in present.items()
        if totals.work >= MIN_PRESENT_WORK
    }
    if not known:
        return dict(shares)
    work = sum(totals.work for totals in known.values())
    mean_s = sum(totals.busy_s for totals in known.values()) / work
    common_s = max(mean_s, good_s, 1e-6)
    moved = {}
    for name, share in shares.items():
        growth = MAX_LOG_GROWTH
        if name in known:
            growth = math.log(common_s / max(known[name].unit_s, 1e-6))
        growth = max(-MAX_LOG_LOSS, min(MAX_LOG_GROWTH, growth))
        moved[name] = share * math.exp(GAIN_PER_S * elapsed_s * growth)
    largest = max(moved.values())
    return {name: max(MIN_SHARE, share / largest) for name, share in moved.items()}


@dataclass(frozen=True, slots=True)
class EngineLevel:
    """Store the runs that an engine handles well, and its quickest event lately."""

    runs: float
    quickest_s: float


def next_level(
    level: EngineLevel | None, present: Totals, slots: int, elapsed_s: float
) -> EngineLevel | None:
    """Return the level of an engine after `elapsed_s` of the present pace."""
    if present.work < MIN_PRESENT_WORK or present.busy_s <= 0:
        return level
    if level is None:
        return EngineLevel(float(slots), present.unit_s)
    quickest_s = min(
        present.unit_s, level.quickest_s * (1 + FORGOTTEN_PER_S * elapsed_s)
    )
    if present.unit_s > SLOW_PACE * quickest_s:
        # The time of all runs in a second is their mean number.
        running = present.busy_s / PRESENT_S
        runs = min(level.runs, running) * (1 - LEVEL_LOSS_PER_S * elapsed_s)
    else:
        runs = level.runs * (1 + LEVEL_GROWTH_PER_S * elapsed_s)
    return EngineLevel(max(MIN_LEVEL, min(float(slots), runs)), quickest_s)


class _Upstream:
    """Hold the totals of one start of an upstream."""

    def __init__(self, offset: float) -> None:
        self.own = Totals()
        # What is not part of `present` yet.
        self.unseen = Totals()
        self.present = Totals()
        self.peers: dict[str, tuple[Totals, float]] = {}
        # What this node sent. The offset differs between nodes, so that those that send
        # little do not all choose the upstream with the largest share.
        self.sends = 0.0
        self.offset = offset
        self.level: EngineLevel | None = None


class LearnedCapacity:
    """Own what a node has learnt of the upstreams, by the key of their start."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._upstreams: dict[str, _Upstream] = {}
        self._shares: dict[str, dict[str, float]] = {}
        # When each upstream was last sampled, the latest one last.
        self._sampled_s: OrderedDict[str, float] = OrderedDict()

    def keep(self, start_keys: Iterable[str]) -> None:
        """Drop all starts of upstreams but these."""
        kept = set(start_keys)
        for key in [each for each in self._upstreams if each not in kept]:
            del self._upstreams[key]
            self._sampled_s.pop(key, None)
        for key in kept - self._upstreams.keys():
            self._upstreams[key] = _Upstream(_offset(self._node, key))

    def record_work(self, start_key: str, sample: Totals, now_s: float) -> None:
        """Add work that an upstream did for this node."""
        upstream = self._upstreams.get(start_key)
        if upstream is None:
            return
        upstream.own = upstream.own.plus(sample)
        upstream.unseen = upstream.unseen.plus(sample)
        self._sampled_s[start_key] = now_s
        self._sampled_s.move_to_end(start_key)

    def record_send(self, start_key: str) -> None:
        """Count a request of this node towards the upstream's share."""
        upstream = self._upstreams.get(start_key)
        if upstream is not None:
            upstream.sends += 1

    def export(self, now_s: float) -> list[list[Any]]:
        """Return rows of this node's totals: start key, work, milliseconds."""
        recent = [
            key
            for key, sampled_s in self._sampled_s.items()
            if now_s - sampled_s < ROW_LIFETIME_S
        ]
        rows = []
        for key in recent[-MAX_ROWS:]:
            own = self._upstreams[key].own
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
            upstream = self._upstreams.get(str(start_key))
            if upstream is None:
                continue
            known = upstream.peers.get(peer)
            if known is not None and totals.work < known[0].work:
                # An earlier message that arrived late.
                continue
            upstream.peers[peer] = (totals, now_s)
            # The first totals of a peer, or those after a silence, are old.
            if known is not None and now_s - known[1] <= MAX_PEER_SILENCE_S:
                change = bounded_report(totals.plus(known[0], -1.0), upstream.present)
                upstream.unseen = upstream.unseen.plus(change)

    def forget_peer(self, peer: str) -> None:
        """Remove the totals of a peer that has ended."""
        for upstream in self._upstreams.values():
            upstream.peers.pop(peer, None)

    def tick(self, elapsed_s: float) -> None:
        """Include what was reported since the last call in the present times."""
        kept = math.exp(-elapsed_s / PRESENT_S)
        sends_kept = 0.5 ** (elapsed_s / SENDS_HALF_LIFE_S)
        for upstream in self._upstreams.values():
            upstream.present = upstream.unseen.plus(upstream.present, kept)
            upstream.unseen = Totals()
            upstream.sends *= sends_kept

    def balance(
        self, service: str, start_keys: Iterable[str], target_s: float, elapsed_s: float
    ) -> None:
        """Move the shares of a service's upstreams."""
        present = {
            key: self._upstreams[key].present
            for key in start_keys
            if key in self._upstreams
        }
        old = self._shares.get(service, {})
        if not old:
            # What the others send shows the shares that they have learnt.
            largest = max((each.work for each in present.values()), default=0.0)
            if sum(each.work for each in present.values()) < MIN_SERVICE_WORK:
                return
            shares = {
                key: max(MIN_SHARE, totals.work / largest)
                for key, totals in present.items()
            }
        else:
            typical = sorted(old.values())[len(old) // 2]
            shares = {key: old.get(key, typical) for key in present}
        self._shares[service] = balanced_shares(
            shares, present, GOOD_TARGET_FRACTION * target_s, elapsed_s
        )

    def share(self, service: str, start_key: str) -> float | None:
        """Return the share of an upstream relative to the largest, once it is known."""
        return self._shares.get(service, {}).get(start_key)

    def sends_per_share(self, service: str, start_key: str) -> float | None:
        """Return this node's sends relative to the share; the lowest comes next."""
        share = self.share(service, start_key)
        if share is None:
            return None
        upstream = self._upstreams.get(start_key)
        return None if upstream is None else (upstream.sends + upstream.offset) / share

    def adapt_level(self, start_key: str, slots: int, elapsed_s: float) -> None:
        """Move the level of a model engine."""
        upstream = self._upstreams.get(start_key)
        if upstream is not None:
            upstream.level = next_level(
                upstream.level, upstream.present, slots, elapsed_s
            )

    def level(self, start_key: str) -> int | None:
        """Return the runs that an engine handles well, once they are known."""
        upstream = self._upstreams.get(start_key)
        if upstream is None or upstream.level is None:
            return None
        return round(upstream.level.runs)


def _offset(node: str, start_key: str) -> float:
    """Return an exponentially distributed number that nodes draw independently.

    The smallest of such numbers divided by the shares belongs to an upstream with the
    probability of its share.
    """
    digest = hashlib.blake2b(f"{node}\0{start_key}".encode(), digest_size=7).digest()
    return -math.log((int.from_bytes(digest) + 1) / (256**7 + 1))
