"""Rate limits of workspaces, shared by all nodes without a coordinator.

Each node counts what it admitted and tells the running totals to its peers. The limit
is one token bucket that every node computes from the sum of the totals. For a peer
that has gone silent, a node sets that peer's last share of the limit aside, so that
both sides of a partition together stay within it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

# A peer is silent after five lost messages at the usual interval of 0.2 s.
SILENT_AFTER_S = 1.0
# A node that was silent this long is restarted or removed; its share is free again.
FORGET_AFTER_S = 20.0
# Half of each share is even, so that a node without recent demand can admit some.
EVEN_PART = 0.5
# Demand is averaged over about this time.
DEMAND_WINDOW_S = 4.0
# What the bucket holds when a node starts, as a part of the burst. After a restart of
# all nodes, the time before it is unknown.
INITIAL_FILL = 0.5


@dataclass(slots=True)
class _Peer:
    total: float = 0.0
    demand: float = 0.0
    heard_s: float = 0.0
    share: float = 0.0


@dataclass(slots=True)
class _Bucket:
    # None until the first request, which brings the burst along.
    level: float | None = None
    filled_s: float = 0.0
    # What peers admitted since the level was last brought up to date.
    spent: float = 0.0
    total: float = 0.0
    demand: float = 0.0
    peers: dict[str, _Peer] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OverLimit:
    """Say that a request is over the limit, and when it may fit."""

    retry_after_s: float


class TokenLimits:
    """Admit or refuse requests by the rate limits of their workspaces."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def admit(
        self, workspace: str, rate: float, burst: float, cost: float, now_s: float
    ) -> OverLimit | None:
        """Charge a request; return why it is refused, or None."""
        if rate <= 0:
            return None
        bucket = self._filled(workspace, rate, burst, now_s)
        bucket.demand += cost
        # A request larger than the burst is admitted from a full bucket.
        level = bucket.level or 0.0
        if level < min(cost, burst):
            missing = min(cost, burst) - level
            return OverLimit(missing / self._own_rate(bucket, rate, now_s))
        bucket.level = level - cost
        bucket.total += cost
        return None

    def refund(self, workspace: str, cost: float) -> None:
        """Give back the charge of a request that did not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.spent -= cost
            bucket.total -= cost

    def totals(self) -> dict[str, tuple[float, float]]:
        """Return what this node admitted and its recent demand, by workspace."""
        return {
            name: (bucket.total, bucket.demand)
            for name, bucket in self._buckets.items()
        }

    def hear(
        self, peer: str, totals: Mapping[str, tuple[float, float]], now_s: float
    ) -> None:
        """Take in the totals of a peer; `peer` names one incarnation of it."""
        for workspace, (total, demand) in totals.items():
            bucket = self._buckets.setdefault(workspace, _Bucket())
            known = bucket.peers.get(peer)
            if known is None:
                known = bucket.peers[peer] = _Peer(total=total)
            bucket.spent += total - known.total
            known.total, known.demand, known.heard_s = total, demand, now_s

    def tick(self, now_s: float, elapsed_s: float) -> None:
        """Let the averages of demand fade and note the shares of peers."""
        keep = max(0.0, 1.0 - elapsed_s / DEMAND_WINDOW_S)
        for bucket in self._buckets.values():
            bucket.demand *= keep
            live = [
                peer
                for peer in bucket.peers.values()
                if now_s - peer.heard_s < SILENT_AFTER_S
            ]
            total = bucket.demand + sum(peer.demand for peer in live)
            for peer in live:
                even = 1.0 / (len(live) + 1)
                part = peer.demand / total if total > 0 else even
                peer.share = EVEN_PART * even + (1 - EVEN_PART) * part
            for name in [
                name
                for name, peer in bucket.peers.items()
                if now_s - peer.heard_s > FORGET_AFTER_S
            ]:
                del bucket.peers[name]

    def forget(self, peer: str) -> None:
        """Free the share of a peer's incarnation that is known to have ended."""
        for bucket in self._buckets.values():
            bucket.peers.pop(peer, None)

    def _filled(
        self, workspace: str, rate: float, burst: float, now_s: float
    ) -> _Bucket:
        bucket = self._buckets.setdefault(workspace, _Bucket())
        if bucket.level is None:
            bucket.level, bucket.filled_s = INITIAL_FILL * burst, now_s
        gained = (now_s - bucket.filled_s) * self._own_rate(bucket, rate, now_s)
        bucket.level = min(burst, bucket.level + max(0.0, gained)) - bucket.spent
        bucket.filled_s, bucket.spent = now_s, 0.0
        return bucket

    def _own_rate(self, bucket: _Bucket, rate: float, now_s: float) -> float:
        silent = sum(
            peer.share
            for peer in bucket.peers.values()
            if now_s - peer.heard_s >= SILENT_AFTER_S
        )
        # A node alone keeps at least a small part, so that its callers can return.
        return rate * max(0.05, 1.0 - silent)
