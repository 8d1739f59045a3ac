"""Rate limits of workspaces, shared by all nodes without a coordinator.

A workspace may use its rate times the window length, plus its burst, in any window.
Each node counts what it admitted and sends the running totals to its peers, so that
every node knows the usage of all nodes in the window. For a silent peer, a node
reserves the peer's last share of the limit, so that both sides of a partition together
stay within the limit.

Between two messages of its peers, a node does not know what they admit. It estimates
that from their demand. While the room of the limit may not suffice until the nodes hear
of each other, each request is admitted with the same probability at all nodes; see
`limitsampling.py`. Shares of the limit for each node are smaller than one request at 83
nodes: with them, a workspace over its limit used only 0.58 of it in some windows.

That a workspace asks for more, nodes would learn too late from these messages if it
begins with many times its rate. A node therefore reports its use at once when its peers
do not expect it and when as much at every node would be a part of the remaining limit.

Of running peers that a node has not heard from yet, it assumes a part of its own use.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from random import Random

from cicadapass_decisions.limitsampling import (
    HORIZON_PARTS,
    LimitState,
    admission_probability,
    paced_probability,
    ranked_probability,
    sampled_retry_s,
)
from cicadapass_decisions.usagewindow import (
    USAGE_STEP_S,
    UsageWindow,
    time_until_free_s,
)

# A peer counts as silent after five lost messages at the usual interval of 0.2 s, or
# after this many rounds if there are too many peers to send to all at each interval.
PEER_SILENCE_S = 1.0
PEER_SILENCE_ROUNDS = 3.0
# A peer that has been silent for this long was restarted or removed, and its share is
# no longer reserved. With many peers, it is reserved for at least a window after it
# has become silent.
FORGET_PEER_AFTER_S = 20.0
# This fraction of each share is independent of demand, so that a node without recent
# demand can admit requests.
EVEN_SHARE_FRACTION = 0.2
# Demand is stated for the usual window of the limits.
DEMAND_WINDOW_S = 8.0
# Averaging time of the demand. An average over the window followed a jump of a
# workspace to five times its usual use too late.
DEMAND_AVERAGING_S = 2.5
# Use in this time is a lower bound of the demand.
RECENT_USE_S = 1.0
# A workspace whose requests were admitted with a lower mean probability is paced.
SCARCE_PROBABILITY = 0.7
# Lower bound of the limit after subtracting the shares reserved for silent peers, as a
# fraction of the limit, so that an isolated node still admits some requests.
MIN_LIMIT_FRACTION = 0.05
# Fraction of the burst that a node admits until it has observed a whole window.
STARTUP_BURST_FRACTION = 0.4
# Resolution of the usage that starting nodes restore.
EXPORT_STEP_S = 1.0
# Restored usage of at most this age is nearly complete: holders record it every 0.6 s,
# and a killed process restarts within 1 to 2 s.
RESTORED_MAX_AGE_S = 4.0
# Usage after the last record, in seconds at the rate of the workspace. The record is up
# to 0.9 s old when all nodes are killed, and a busy workspace sends up to four times
# its rate; the platform's slack covers the difference.
UNREPORTED_USAGE_S = 2.0
# Parts of the tolerance. Nodes aim at the limit and the first part; requests are
# sampled beyond that up to the second part, and refused beyond both. The rest covers
# what nodes do not know of each other.
TARGET_TOLERANCE_FRACTION = 0.15
# Added to the first part for each time that the tolerance exceeds the limit: a small
# workspace's tolerance covers many of its requests.
TARGET_FRACTION_PER_LIMIT = 0.4
SAMPLED_TOLERANCE_FRACTION = 0.15
# This part of the tolerance covers the shares of silent peers: most have stopped.
SILENCE_TOLERANCE_FRACTION = 0.5
# Nodes that have not heard each other may use this many times their even share, since
# callers are not spread evenly over nodes.
MAX_SHARE_FACTOR = 4.0
# All nodes together may use this fraction of the remaining limit before they report it.
UNREPORTED_FRACTION = 0.25
# While requests are sampled, a node reports use of this fraction of the limit at once:
# at most some 100 reports in a window over all nodes.
SAMPLED_REPORT_FRACTION = 0.004

# What a node reports of a workspace: the total that it charged, its demand and, by
# nodes that know it, what it charged in the window and the mean age of that in seconds.
Totals = Mapping[str, tuple[float, ...]]


@dataclass(frozen=True, slots=True)
class LimitTolerance:
    """Bound by how much all nodes together may exceed the limit of a workspace."""

    # Fraction of the limit, and an amount on top of it.
    fraction: float = 0.0
    amount: float = 0.0


@dataclass(frozen=True, slots=True)
class _Message:
    """Describe the message of a peer that names the totals."""

    peer: str
    # How long the peer had run when it sent the message.
    uptime_s: float
    # What the peer admitted before this message counts.
    counts_all: bool
    at_once: bool


@dataclass(slots=True)
class _PeerUsage:
    total_charged: float = 0.0
    demand: float = 0.0
    received_s: float = 0.0
    # The peer's uptime when it sent this; older messages are ignored.
    uptime_s: float = -math.inf
    # Fraction of the limit that stays reserved while the peer is silent.
    share: float = 0.0
    usage: UsageWindow = field(default_factory=UsageWindow)
    # What it admitted in the window before it was heard; an upper bound if `past_known`
    # is not set. It is taken to leave the window evenly between these times.
    past: float = 0.0
    past_known: bool = False
    past_from_s: float = 0.0
    past_until_s: float = 0.0


@dataclass(slots=True)
class _Account:
    total_charged: float = 0.0
    # The total in the last report to all peers at once.
    total_reported: float = 0.0
    # Recent demand, including refused requests.
    demand: float = 0.0
    # What this node's callers asked for lately, by the rank of the requests.
    rank_demands: dict[int, float] = field(default_factory=dict)
    # Probability with which the last request was admitted, and its recent mean.
    probability: float = 1.0
    mean_probability: float = 1.0
    averaged_s: float = 0.0
    usage: UsageWindow = field(default_factory=UsageWindow)
    # Admitted by all nodes before this one started.
    before_start: UsageWindow = field(default_factory=UsageWindow)
    peers: dict[str, _PeerUsage] = field(default_factory=dict)


@dataclass(slots=True)
class _Counted:
    """Sum what a node knows of the window of a workspace."""

    usages: list[UsageWindow]
    # Set aside for silent peers, and for peers' use before they were heard.
    reserved: float = 0.0
    # Probably admitted by peers since their last messages.
    unreported: float = 0.0
    # Demand of all nodes in a window.
    demand: float = 0.0
    # Known use of the last second.
    recent: float = 0.0
    # What this side of a partition may use of the tolerance.
    tolerance: float = 0.0


@dataclass(frozen=True, slots=True)
class OverLimit:
    """Refuse a request that exceeds the limit, with the time until it may fit."""

    retry_after_s: float


class RateLimiter:
    """Admit or refuse requests according to the rate limits of their workspaces."""

    def __init__(
        self,
        window_s: float,
        started_s: float,
        tolerance: LimitTolerance,
        rng: Random,
    ) -> None:
        self._window_s = window_s
        self._started_s = started_s
        self._tolerance = tolerance
        self._rng = rng
        # The last time that was passed to this object.
        self._now_s = started_s
        self._peer_silence_s = PEER_SILENCE_S
        self._forget_peer_s = FORGET_PEER_AFTER_S
        # Peers know what this node admitted longer ago than this.
        self._unknown_s = 2 * USAGE_STEP_S
        # Whether the usage before the start is known.
        self._restored = False
        self._accounts: dict[str, _Account] = {}
        # When the last totals of each peer arrived.
        self._peers_heard_s: dict[str, float] = {}
        # Peers that have run for a window and told what they admitted in it.
        self._informed_peers: set[str] = set()
        # Running nodes, including this one.
        self._node_count = 1
        self._on_unexpected_use: Callable[[str], None] = _ignore

    def admit(
        self,
        workspace: str,
        rate: float,
        burst: float,
        cost: float,
        now_s: float,
        rank: int = 0,
    ) -> OverLimit | None:
        """Charge a request and return None, or return the refusal.

        While the limit is scarce, requests of a lower rank are admitted first.
        """
        if rate <= 0:
            return None
        self._now_s = now_s
        account = self._account(workspace)
        account.demand += cost * DEMAND_WINDOW_S / DEMAND_AVERAGING_S
        account.rank_demands[rank] = account.rank_demands.get(rank, 0.0) + cost
        limit = self._limit_in_window(rate, burst, now_s)
        counted = self._count(account, limit, now_s)
        tolerance = counted.tolerance
        available = max(MIN_LIMIT_FRACTION * limit, limit - counted.reserved)
        room = available - sum(usage.amount for usage in counted.usages)
        room += _target_fraction(tolerance, limit) * tolerance
        excess = min(cost, limit) - room - SAMPLED_TOLERANCE_FRACTION * tolerance
        if excess > 0 or limit <= 0:
            wait_s = time_until_free_s(counted.usages, excess, self._window_s, now_s)
            if self._node_count > 1:
                wait_s += self._unknown_s * self._rng.random()
            return OverLimit(wait_s)
        if self._node_count > 1 or self._peers_heard_s:
            state = self._limit_state(counted, room, now_s)
            probability = admission_probability(state)
            if account.mean_probability < SCARCE_PROBABILITY:
                even = limit * RECENT_USE_S / self._window_s
                probability = paced_probability(probability, counted.recent, even)
            self._set_probability(account, probability, now_s)
            ranked = ranked_probability(probability, account.rank_demands, rank)
            if self._rng.random() >= ranked:
                spread = self._rng.random()
                return OverLimit(sampled_retry_s(state, account.probability, spread))
            if self._is_unexpected(account, room + 0.2 * tolerance, limit, cost, now_s):
                self._on_unexpected_use(workspace)
        account.usage.add(now_s, cost)
        account.total_charged += cost
        return None

    def _set_probability(
        self, account: _Account, probability: float, now_s: float
    ) -> None:
        elapsed_s = now_s - account.averaged_s
        weight = 1.0 - math.exp(-2 * elapsed_s / self._unknown_s)
        account.mean_probability += weight * (probability - account.mean_probability)
        account.probability, account.averaged_s = probability, now_s

    def refund(self, workspace: str, cost: float, charged_s: float) -> None:
        """Reverse the charge, made at a time, of a request that did not run."""
        account = self._accounts.get(workspace)
        if account is not None:
            if account.usage.remove(cost, charged_s):
                account.total_charged -= cost
            # Its caller returns; counted twice, it would look like more demand.
            added = cost * DEMAND_WINDOW_S / DEMAND_AVERAGING_S
            account.demand = max(0.0, account.demand - added)

    def totals(self) -> dict[str, tuple[float, ...]]:
        """Return what this node reports of each workspace; see `Totals`."""
        return {name: self._row(account) for name, account in self._accounts.items()}

    def set_on_unexpected_use(self, on_unexpected_use: Callable[[str], None]) -> None:
        """Set the function that has the use of a workspace reported to all peers."""
        self._on_unexpected_use = on_unexpected_use

    def report(self, workspaces: Iterable[str]) -> dict[str, tuple[float, ...]]:
        """Return what is reported of workspaces to all peers now."""
        reported = {}
        for name in workspaces:
            account = self._accounts[name]
            account.total_reported = account.total_charged
            reported[name] = self._row(account)
        return reported

    def recent_usage(self, now_s: float) -> dict[str, tuple[tuple[float, float], ...]]:
        """Return age and amount of all nodes' usage in the window, by workspace."""
        start_s = now_s - self._window_s
        recent = {}
        for name, account in self._accounts.items():
            usages = [account.usage, account.before_start]
            usages += [peer.usage for peer in account.peers.values()]
            amounts: dict[int, float] = {}
            for step in (step for usage in usages for step in usage.steps):
                if step.ended_s >= start_s:
                    age = int((now_s - step.ended_s) / EXPORT_STEP_S)
                    amounts[age] = amounts.get(age, 0.0) + step.amount
            if amounts:
                recent[name] = tuple(
                    (age * EXPORT_STEP_S, amounts[age]) for age in sorted(amounts)
                )
        return recent

    def restore(
        self,
        recent_usage: Mapping[str, Iterable[tuple[float, float]]],
        recorded_ago_s: float,
        now_s: float,
    ) -> None:
        """Add what all nodes admitted before this one started."""
        for name, steps in recent_usage.items():
            account = self._account(name)
            for age_s, amount in sorted(steps, reverse=True):
                account.before_start.add(now_s - recorded_ago_s - age_s, amount)
        self._restored = recorded_ago_s < RESTORED_MAX_AGE_S

    def record_peer_totals(
        self, peer: str, totals: Totals, uptime_s: float, now_s: float
    ) -> None:
        """Record the totals of one incarnation of a peer.

        If the peer started within the window, everything it has admitted counts; else
        what it admits after its first message, and what it says that it admitted in the
        window, or its recent demand at most. That message names all workspaces of which
        it has admitted requests, so those named later count from 0.
        """
        counts_all = self._counts_all(peer, uptime_s)
        if not counts_all and all(len(row) > 3 for row in totals.values()):
            self._informed_peers.add(peer)
        self._peers_heard_s[peer] = now_s
        message = _Message(peer, uptime_s, counts_all, at_once=False)
        for workspace, row in totals.items():
            self._record(message, workspace, row, now_s)

    def record_peer_report(
        self, peer: str, totals: Totals, uptime_s: float, now_s: float
    ) -> None:
        """Record totals of some workspaces, unless they may be those of a long past."""
        counts_all = self._counts_all(peer, uptime_s)
        message = _Message(peer, uptime_s, counts_all, at_once=True)
        for workspace, row in totals.items():
            if counts_all or len(row) > 3:
                self._record(message, workspace, row, now_s)

    def _counts_all(self, peer: str, uptime_s: float) -> bool:
        return uptime_s < self._window_s or peer in self._peers_heard_s

    def _record(
        self,
        message: _Message,
        workspace: str,
        row: tuple[float, ...],
        now_s: float,
    ) -> None:
        total, demand = row[:2]
        account = self._account(workspace)
        peer_usage = account.peers.get(message.peer)
        if peer_usage is None:
            baseline = 0.0 if message.counts_all else total
            peer_usage = _PeerUsage(total_charged=baseline, received_s=now_s)
            account.peers[message.peer] = peer_usage
            if not message.counts_all:
                self._set_past(peer_usage, row, now_s)
        if message.uptime_s < peer_usage.uptime_s:
            return
        peer_usage.uptime_s = message.uptime_s
        if total < peer_usage.total_charged:
            peer_usage.usage.remove_oldest(peer_usage.total_charged - total)
        elif total > peer_usage.total_charged:
            # What peers report at once is new; other use is as old as half of the time
            # since their last message in the mean.
            age_s = 0.0 if message.at_once else (now_s - peer_usage.received_s) / 2
            peer_usage.usage.add(now_s - age_s, total - peer_usage.total_charged)
        peer_usage.total_charged, peer_usage.demand = total, demand
        peer_usage.received_s = now_s

    def _set_past(
        self, peer_usage: _PeerUsage, row: tuple[float, ...], now_s: float
    ) -> None:
        peer_usage.past_from_s = now_s
        if len(row) > 3:
            peer_usage.past, peer_usage.past_known = max(0.0, row[2]), True
            lasts_s = max(0.0, self._window_s - 2 * max(0.0, row[3]))
            peer_usage.past_from_s = now_s + lasts_s
        elif now_s - self._started_s >= self._window_s:
            # The limit of a node that has just started covers the past already.
            peer_usage.past = max(0.0, min(row[0], row[1]))
        peer_usage.past_until_s = now_s + self._window_s

    def set_round(self, round_s: float) -> None:
        """Set the time in which a node receives a message from every peer."""
        self._peer_silence_s = max(PEER_SILENCE_S, PEER_SILENCE_ROUNDS * round_s)
        self._forget_peer_s = max(
            FORGET_PEER_AFTER_S, self._peer_silence_s + self._window_s
        )
        self._unknown_s = round_s + USAGE_STEP_S

    def set_node_count(self, count: int) -> None:
        """Set the number of running nodes, including this one."""
        self._node_count = count

    def tick(self, now_s: float, elapsed_s: float) -> None:
        """Decay the demand, update the shares of peers and drop removed peers."""
        self._now_s = now_s
        decay = math.exp(-elapsed_s / DEMAND_AVERAGING_S)
        for account in self._accounts.values():
            account.demand *= decay
            for each in account.rank_demands:
                account.rank_demands[each] *= decay
            account.usage.trim(now_s - self._window_s)
            _update_shares(account, now_s - self._peer_silence_s)
            removed = [
                name
                for name, peer in account.peers.items()
                if now_s - peer.received_s > self._forget_peer_s
            ]
            for name in removed:
                del account.peers[name]
        for name, heard_s in list(self._peers_heard_s.items()):
            if now_s - heard_s > self._forget_peer_s:
                del self._peers_heard_s[name]
                self._informed_peers.discard(name)

    def _limit_in_window(self, rate: float, burst: float, now_s: float) -> float:
        """Return what all nodes may admit in the part of the window that is known.

        Without restored usage, a node does not know what was admitted before its start,
        but by the peers that told it. After a restart of all nodes, only the rate since
        then and a fraction of the burst are certain to be unused.
        """
        age_s = now_s - self._started_s
        full_limit = rate * self._window_s + burst
        if age_s >= self._window_s:
            return full_limit
        if self._restored:
            return full_limit - UNREPORTED_USAGE_S * rate
        unknown_limit = rate * age_s + STARTUP_BURST_FRACTION * burst
        informed = len(self._informed_peers) / max(1, self._node_count - 1)
        return unknown_limit + min(1.0, informed) * (full_limit - unknown_limit)

    def _limit_state(self, counted: _Counted, room: float, now_s: float) -> LimitState:
        state = LimitState(
            room=room - counted.unreported,
            leaving=(0.0,) * len(HORIZON_PARTS),
            demand=counted.demand,
            window_s=self._window_s,
            horizon_s=self._unknown_s,
        )
        if self._suffices(state):
            return state
        start_s = now_s - self._window_s
        leaving = (
            _amount_before(counted.usages, start_s + part * self._unknown_s)
            for part in HORIZON_PARTS
        )
        return replace(state, leaving=tuple(leaving))

    def _suffices(self, state: LimitState) -> bool:
        """Return whether the room suffices without what leaves the window.

        To sum that was half of the time of an admission beside 194 peers.
        """
        return admission_probability(state) >= 1.0

    def _is_unexpected(
        self, account: _Account, room: float, limit: float, cost: float, now_s: float
    ) -> bool:
        """Return whether peers must hear at once of a request that is admitted now."""
        unreported = cost + min(
            account.usage.amount_since(now_s - self._unknown_s),
            account.total_charged - account.total_reported,
        )
        expected = account.demand * self._unknown_s / DEMAND_WINDOW_S
        share = UNREPORTED_FRACTION * room / self._node_count
        if account.probability < 1.0:
            expected *= account.probability
            share = max(share, SAMPLED_REPORT_FRACTION * limit)
        return unreported - expected > share

    def _usable_tolerance(self, limit: float, unheard: float) -> float:
        """Return the tolerance that nodes use; a node alone knows all use exactly.

        The sides of a partition divide it; the larger one has the larger part.
        """
        tolerance = self._tolerance.fraction * limit + self._tolerance.amount
        heard = max(0.0, 1.0 - unheard / limit) if limit > 0 else 0.0
        return tolerance * heard**2 * (1.0 - 1.0 / self._node_count)

    def _unknown_peers(self) -> int:
        """Return the number of running peers whose totals have never arrived."""
        return max(0, self._node_count - 1 - len(self._peers_heard_s))

    def _account(self, workspace: str) -> _Account:
        """Return the account of a workspace, created on its first use."""
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = _Account()
        return account

    def _count(self, account: _Account, limit: float, now_s: float) -> _Counted:
        """Sum the use and the demand of all nodes as far as this one knows them."""
        start_s = now_s - self._window_s
        account.usage.trim(start_s)
        account.before_start.trim(start_s)
        usages = [account.usage, account.before_start]
        counted = _Counted(usages)
        silence_s, unknown_s = self._peer_silence_s, self._unknown_s
        demand = unreported = silent_usage = silent_shares = unheard = 0.0
        for peer in account.peers.values():
            steps = peer.usage.steps
            if steps and steps[0].ended_s < start_s:
                peer.usage.trim(start_s)
            age_s = now_s - peer.received_s
            if age_s < silence_s:
                usages.append(peer.usage)
                demand += peer.demand
                if age_s <= unknown_s:
                    unreported += peer.demand * age_s
                else:
                    unreported += peer.demand * unknown_s
                    unheard += peer.demand * (age_s - unknown_s)
            else:
                silent_usage += peer.usage.amount
                silent_shares += peer.share * limit
            if now_s < peer.past_until_s:
                counted.reserved += self._past(peer, limit, now_s)
        counted.demand, counted.unreported = demand, unreported
        silent = max(silent_usage, silent_shares)
        unknown = self._unknown_peers() / MAX_SHARE_FACTOR
        unheard_usage = unknown * account.usage.amount
        counted.tolerance = self._usable_tolerance(limit, silent + unheard_usage)
        covered = SILENCE_TOLERANCE_FRACTION * counted.tolerance
        counted.reserved += max(0.0, silent - covered) + unheard_usage
        counted.demand += account.demand * (1.0 + unknown)
        # Jumps show in what peers report at once before they show in the averages.
        recent_s = now_s - RECENT_USE_S
        counted.recent = sum(
            usage.amount_since(recent_s)
            for usage in counted.usages
            if usage.steps and usage.steps[-1].ended_s >= recent_s
        )
        counted.demand = max(
            counted.demand, counted.recent * DEMAND_WINDOW_S / RECENT_USE_S
        )
        counted.unreported *= account.mean_probability / DEMAND_WINDOW_S
        unheard /= max(limit, counted.demand) * DEMAND_WINDOW_S
        counted.unreported += unheard * limit
        return counted

    def _past(self, peer: _PeerUsage, limit: float, now_s: float) -> float:
        """Return what a peer admitted before it was heard and is in the window."""
        past = peer.past
        if not peer.past_known:
            past = min(past, limit / self._node_count)
        left_s = peer.past_until_s - now_s
        return past * min(1.0, left_s / (peer.past_until_s - peer.past_from_s + 1e-9))

    def _row(self, account: _Account) -> tuple[float, ...]:
        usage = account.usage
        age_s = usage.mean_age_s(self._now_s)
        return account.total_charged, account.demand, usage.amount, age_s


def _amount_before(usages: Iterable[UsageWindow], end_s: float) -> float:
    return sum(
        usage.amount_before(end_s)
        for usage in usages
        if usage.steps and usage.steps[0].ended_s < end_s
    )


def _ignore(_workspace: str) -> None:
    pass


def _target_fraction(tolerance: float, limit: float) -> float:
    """Return the part of the tolerance that nodes aim at."""
    relative = min(1.0, tolerance / limit) if limit > 0 else 0.0
    return TARGET_TOLERANCE_FRACTION + TARGET_FRACTION_PER_LIMIT * relative


def _update_shares(account: _Account, silent_before_s: float) -> None:
    live = [
        peer for peer in account.peers.values() if peer.received_s > silent_before_s
    ]
    total = account.demand + sum(peer.demand for peer in live)
    even_share = 1.0 / (len(live) + 1)
    fixed, by_demand = EVEN_SHARE_FRACTION * even_share, 1 - EVEN_SHARE_FRACTION
    for peer in live:
        demand_share = peer.demand / total if total > 0 else even_share
        peer.share = fixed + by_demand * demand_share
