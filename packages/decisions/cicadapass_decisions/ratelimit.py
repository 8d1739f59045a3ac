"""Rate limits of workspaces, shared by all nodes without a coordinator.

A workspace may use its rate times the window length, plus its burst, in any window.
Each node counts what it admitted and sends the running totals to its peers, so that
every node knows the usage of all nodes in the window. For a silent peer, a node
reserves the peer's last share of the limit, so that both sides of a partition together
stay within the limit.

Between two messages of its peers, a node does not know what they admit. While a
workspace asks for more than its limit, each node therefore uses only its share of the
remaining limit in that time. Shares are often smaller than a request, so they are
rounded at random, such that the sum over all nodes is right on average.

That a workspace asks for more, nodes would learn too late from these messages if it
begins with many times its rate. A node therefore reports its use at once when its peers
do not expect it and when as much at every node would be a part of the remaining limit.

Of running peers that a node has not heard from yet, it assumes its own demand. What a
peer admitted before it was heard is bounded by its demand and by an even share.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

# A peer counts as silent after five lost messages at the usual interval of 0.2 s, or
# after this many rounds if there are too many peers to send to all at each interval.
PEER_SILENCE_S = 1.0
PEER_SILENCE_ROUNDS = 3.0
# A peer that has been silent for this long was restarted or removed, and its share is
# no longer reserved.
FORGET_PEER_AFTER_S = 20.0
# This fraction of each share is independent of demand, so that a node without recent
# demand can admit requests.
EVEN_SHARE_FRACTION = 0.2
# Demand is averaged over the usual window of the limits.
DEMAND_WINDOW_S = 8.0
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
# Resolution of the usage within the window.
USAGE_STEP_S = 0.2
# Callers that return together bring the demand of this time at once.
BURST_S = 1.2
# Part of the tolerance that covers usage which nodes do not know of each other yet.
# The rest covers the rounding of shares, and the usage that is lost with a restart.
LATE_TOLERANCE_FRACTION = 0.35
# A node that expects less than one request until its peers know its usage may use more
# than its share, since others expect none in that time; at most this many times.
MAX_SHARE_FACTOR = 4.0
# All nodes together may use this fraction of the remaining limit before they report it.
UNREPORTED_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class LimitTolerance:
    """Bound by how much all nodes together may exceed the limit of a workspace."""

    # Fraction of the limit, and an amount on top of it.
    fraction: float = 0.0
    amount: float = 0.0


@dataclass(slots=True)
class _UsageStep:
    started_s: float
    # Time of the last amount; the step leaves the window with it.
    ended_s: float
    amount: float


@dataclass(slots=True)
class _WindowUsage:
    """Sum the admitted amounts in the window by steps of time."""

    steps: deque[_UsageStep] = field(default_factory=deque)
    amount: float = 0.0

    def add(self, now_s: float, amount: float) -> None:
        if self.steps and now_s - self.steps[-1].started_s < USAGE_STEP_S:
            self.steps[-1].ended_s = now_s
            self.steps[-1].amount += amount
        else:
            self.steps.append(_UsageStep(now_s, now_s, amount))
        self.amount += amount

    def amount_since(self, start_s: float) -> float:
        amount = 0.0
        for step in reversed(self.steps):
            if step.ended_s < start_s:
                break
            amount += step.amount
        return amount

    def trim(self, start_s: float) -> None:
        while self.steps and self.steps[0].ended_s < start_s:
            self.amount -= self.steps.popleft().amount


@dataclass(slots=True)
class _PeerUsage:
    total_charged: float = 0.0
    demand: float = 0.0
    received_s: float = 0.0
    # Fraction of the limit that stays reserved while the peer is silent.
    share: float = 0.0
    usage: _WindowUsage = field(default_factory=_WindowUsage)
    # Upper bound of what it admitted in the window before it was heard. It is taken to
    # be even, so that the last of it leaves the window at this time.
    past: float = 0.0
    past_until_s: float = 0.0


@dataclass(slots=True)
class _Account:
    total_charged: float = 0.0
    # The total in the last report to all peers at once.
    total_reported: float = 0.0
    # Recent demand, including refused requests.
    demand: float = 0.0
    # Number of recent requests, including refused ones.
    requests: float = 0.0
    # Fraction of the limit that this node may use without its peers' knowledge.
    share: float = 1.0
    # When a request last did not fit into the share.
    exhausted_s: float = float("-inf")
    usage: _WindowUsage = field(default_factory=_WindowUsage)
    # Admitted by all nodes before this one started.
    before_start: _WindowUsage = field(default_factory=_WindowUsage)
    peers: dict[str, _PeerUsage] = field(default_factory=dict)


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
        # Rounds the shares until it is drawn again.
        self._rounding = 0.5
        self._drawn_s = started_s
        self._peer_silence_s = PEER_SILENCE_S
        # Peers know what this node admitted longer ago than this.
        self._unknown_s = 2 * USAGE_STEP_S
        # Whether the usage before the start is known.
        self._restored = False
        self._accounts: dict[str, _Account] = {}
        # When the last totals of each peer arrived.
        self._peers_heard_s: dict[str, float] = {}
        # Running nodes, including this one.
        self._node_count = 1
        self._on_unexpected_use: Callable[[str], None] = _ignore

    def admit(
        self, workspace: str, rate: float, burst: float, cost: float, now_s: float
    ) -> OverLimit | None:
        """Charge a request and return None, or return the refusal."""
        if rate <= 0:
            return None
        account = self._account(workspace)
        account.demand += cost
        account.requests += 1.0
        limit = self._limit_in_window(rate, burst, now_s)
        usages, available = self._counted_usages(account, limit, now_s)
        room = available - sum(usage.amount for usage in usages)
        excess = min(cost, limit) - room
        if excess > 0 or limit <= 0:
            return OverLimit(self._wait_s(usages, excess, now_s))
        tolerated = room + self._late_tolerance(limit)
        demand = self._total_demand(account, now_s)
        expected = demand * (self._unknown_s + BURST_S) / DEMAND_WINDOW_S
        if demand > limit or expected > tolerated:
            # The nodes may use up the room before they hear of each other's use.
            wait_s = self._wait_for_share_s(account, tolerated, cost, now_s)
            if wait_s > 0:
                overload = max(1.0, demand / limit)
                return OverLimit(min(self._window_s, overload * wait_s))
        elif self._is_unexpected(account, tolerated, cost, now_s):
            self._on_unexpected_use(workspace)
        account.usage.add(now_s, cost)
        account.total_charged += cost
        return None

    def refund(self, workspace: str, cost: float, now_s: float) -> None:
        """Reverse the charge of a request that did not run."""
        account = self._accounts.get(workspace)
        if account is not None:
            account.usage.add(now_s, -cost)
            account.total_charged -= cost

    def totals(self) -> dict[str, tuple[float, float]]:
        """Return the total that this node admitted and its demand, by workspace."""
        return {
            name: (account.total_charged, account.demand)
            for name, account in self._accounts.items()
        }

    def set_on_unexpected_use(self, on_unexpected_use: Callable[[str], None]) -> None:
        """Set the function that has the use of a workspace reported to all peers."""
        self._on_unexpected_use = on_unexpected_use

    def report(self, workspaces: Iterable[str]) -> dict[str, tuple[float, float]]:
        """Return totals and demands that are reported to all peers now."""
        reported = {}
        for name in workspaces:
            account = self._accounts[name]
            account.total_reported = account.total_charged
            reported[name] = (account.total_charged, account.demand)
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
        self,
        peer: str,
        totals: Mapping[str, tuple[float, float]],
        uptime_s: float,
        now_s: float,
    ) -> None:
        """Record the totals of one incarnation of a peer.

        If the peer started within the window, everything it has admitted counts; else
        what it admits after its first message, and its recent demand at most. That
        message names all workspaces of which it has admitted requests, so those named
        later count from 0.
        """
        counts_all = self._counts_all(peer, uptime_s)
        self._peers_heard_s[peer] = now_s
        self._record(peer, totals, counts_all, now_s)

    def record_peer_report(
        self,
        peer: str,
        totals: Mapping[str, tuple[float, float]],
        uptime_s: float,
        now_s: float,
    ) -> None:
        """Record totals of some workspaces, unless they may be those of a long past."""
        if self._counts_all(peer, uptime_s):
            self._record(peer, totals, counts_all=True, now_s=now_s)

    def _counts_all(self, peer: str, uptime_s: float) -> bool:
        return uptime_s < self._window_s or peer in self._peers_heard_s

    def _record(
        self,
        peer: str,
        totals: Mapping[str, tuple[float, float]],
        counts_all: bool,
        now_s: float,
    ) -> None:
        for workspace, (total, demand) in totals.items():
            account = self._account(workspace)
            peer_usage = account.peers.get(peer)
            if peer_usage is None:
                baseline = 0.0 if counts_all else total
                peer_usage = account.peers[peer] = _PeerUsage(total_charged=baseline)
                # The limit of a node that has just started covers the past already.
                if now_s - self._started_s >= self._window_s:
                    peer_usage.past = max(0.0, min(baseline, demand))
                    peer_usage.past_until_s = now_s + self._window_s
            if total != peer_usage.total_charged:
                peer_usage.usage.add(now_s, total - peer_usage.total_charged)
            peer_usage.total_charged, peer_usage.demand, peer_usage.received_s = (
                total,
                demand,
                now_s,
            )

    def set_round(self, round_s: float) -> None:
        """Set the time in which a node receives a message from every peer."""
        self._peer_silence_s = max(PEER_SILENCE_S, PEER_SILENCE_ROUNDS * round_s)
        self._unknown_s = round_s + USAGE_STEP_S

    def set_node_count(self, count: int) -> None:
        """Set the number of running nodes, including this one."""
        self._node_count = count

    def tick(self, now_s: float, elapsed_s: float) -> None:
        """Decay the demand, update the shares of peers and drop removed peers."""
        decay = max(0.0, 1.0 - elapsed_s / DEMAND_WINDOW_S)
        for account in self._accounts.values():
            account.demand *= decay
            account.requests *= decay
            _update_shares(account, now_s - self._peer_silence_s)
            for name, peer in list(account.peers.items()):
                if now_s - peer.received_s > FORGET_PEER_AFTER_S:
                    del account.peers[name]
        for name, heard_s in list(self._peers_heard_s.items()):
            if now_s - heard_s > FORGET_PEER_AFTER_S:
                del self._peers_heard_s[name]

    def _limit_in_window(self, rate: float, burst: float, now_s: float) -> float:
        """Return what all nodes may admit in the part of the window that is known.

        Without restored usage, a node does not know what was admitted before its start.
        After a restart of all nodes, only the rate since then and a fraction of the
        burst are certain to be unused.
        """
        age_s = now_s - self._started_s
        full_limit = rate * self._window_s + burst
        if age_s >= self._window_s:
            return full_limit
        if self._restored:
            return full_limit - UNREPORTED_USAGE_S * rate
        return rate * age_s + STARTUP_BURST_FRACTION * burst

    def _is_unexpected(
        self, account: _Account, room: float, cost: float, now_s: float
    ) -> bool:
        """Return whether peers must hear at once of a request that is admitted now."""
        unreported = cost + min(
            account.usage.amount_since(now_s - self._unknown_s),
            account.total_charged - account.total_reported,
        )
        expected = account.demand * self._unknown_s / DEMAND_WINDOW_S
        share = UNREPORTED_FRACTION * room / self._node_count
        return unreported - expected > share

    def _late_tolerance(self, limit: float) -> float:
        tolerance = self._tolerance.fraction * limit + self._tolerance.amount
        return LATE_TOLERANCE_FRACTION * tolerance

    def _total_demand(self, account: _Account, now_s: float) -> float:
        heard_since_s = now_s - self._peer_silence_s
        heard = sum(
            peer.demand
            for peer in account.peers.values()
            if peer.received_s > heard_since_s
        )
        return account.demand * (1 + self._unknown_peers()) + heard

    def _unknown_peers(self) -> int:
        """Return the number of running peers whose totals have never arrived."""
        return max(0, self._node_count - 1 - len(self._peers_heard_s))

    def _account(self, workspace: str) -> _Account:
        """Return the account of a workspace, created on its first use."""
        account = self._accounts.get(workspace)
        if account is None:
            account = _Account(share=1.0 / self._node_count)
            self._accounts[workspace] = account
        return account

    def _wait_for_share_s(
        self, account: _Account, room: float, cost: float, now_s: float
    ) -> float:
        """Return 0 if a request fits into this node's share, else the time until then.

        After a request that does not fit, smaller ones are refused as well; otherwise
        the node would admit more than its share on average.
        """
        if now_s - self._drawn_s >= self._unknown_s:
            self._rounding, self._drawn_s = self._rng.random(), now_s
        unknown = account.usage.amount_since(now_s - self._unknown_s)
        expected_requests = account.requests * self._unknown_s / DEMAND_WINDOW_S
        divisor = min(1.0, max(1.0 / MAX_SHARE_FACTOR, expected_requests))
        available = account.share * (room + unknown) / divisor
        fits = unknown + self._rounding * cost <= available
        if fits and account.exhausted_s < self._drawn_s:
            return 0.0
        account.exhausted_s = now_s
        if available <= 0:
            return self._window_s
        return self._unknown_s * max(1.0, cost / available)

    def _counted_usages(
        self, account: _Account, limit: float, now_s: float
    ) -> tuple[list[_WindowUsage], float]:
        """Return the usages that count, and the limit less the reserved shares."""
        start_s = now_s - self._window_s
        account.usage.trim(start_s)
        account.before_start.trim(start_s)
        usages, reserved = [account.usage, account.before_start], 0.0
        for peer in account.peers.values():
            peer.usage.trim(start_s)
            if now_s - peer.received_s < self._peer_silence_s:
                usages.append(peer.usage)
            else:
                reserved += max(peer.usage.amount, peer.share * limit)
            left_s = max(0.0, peer.past_until_s - now_s)
            past = min(peer.past, limit / self._node_count)
            reserved += past * left_s / self._window_s
        return usages, max(MIN_LIMIT_FRACTION * limit, limit - reserved)

    def _wait_s(self, usages: list[_WindowUsage], excess: float, now_s: float) -> float:
        """Return the time until enough usage has left the window."""
        steps = sorted(
            (step for usage in usages for step in usage.steps), key=_step_end
        )
        for step in steps:
            excess -= step.amount
            if excess <= 0:
                return max(USAGE_STEP_S, step.ended_s + self._window_s - now_s)
        return self._window_s


def _ignore(_workspace: str) -> None:
    pass


def _step_end(step: _UsageStep) -> float:
    return step.ended_s


def _update_shares(account: _Account, silent_before_s: float) -> None:
    live = [
        peer for peer in account.peers.values() if peer.received_s > silent_before_s
    ]
    total = account.demand + sum(peer.demand for peer in live)
    even_share = 1.0 / (len(live) + 1)
    holders: list[_Account | _PeerUsage] = [account, *live]
    for holder in holders:
        demand_share = holder.demand / total if total > 0 else even_share
        holder.share = (
            EVEN_SHARE_FRACTION * even_share + (1 - EVEN_SHARE_FRACTION) * demand_share
        )
