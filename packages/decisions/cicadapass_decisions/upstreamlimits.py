"""Keep the limits that upstreams name for the requests of all nodes together.

An answer names the limit in force when it was written, or none. The newest one counts,
whichever node received it.

A limit is divided among a few nodes, which all nodes choose alike by rendezvous hashing
of the members that they hear; the others send that upstream nothing. A low limit
belongs to one node alone, since shares of less than a request per second round badly.
"""

import hashlib
import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

# One node for each such part of a limit, in requests per second.
SHARE_PER_S = 1.0
# Lower limits are raised to this rate, which shows when a limit ends.
MIN_RATE_PER_S = 0.25
# Unused room is kept for this long, but at least for one request.
BURST_S = 0.5
# A limit that has ended is reported to peers for this long.
ENDED_LIFETIME_S = 10.0
MAX_REPORTED = 32


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """Store the last word of one start of an upstream on its limit."""

    # Requests per second of all nodes together; None if there is no limit any more.
    rate_per_s: float | None
    # When an answer with it arrived at some node.
    heard_s: float


@dataclass(frozen=True, slots=True)
class Room:
    """Describe what this node may send to an upstream with a limit."""

    # Requests that it may send now; below one, it has to wait.
    requests: float
    # Its share of the limit, in requests per second; 0 if it has none.
    share_per_s: float


@dataclass(slots=True)
class _Account:
    share_per_s: float
    updated_s: float
    requests: float = 0.0

    def update(self, share_per_s: float, now_s: float) -> None:
        """Add what has become free since the last update."""
        most = max(1.0, share_per_s * BURST_S)
        added = (now_s - self.updated_s) * min(share_per_s, self.share_per_s)
        self.requests = min(most, self.requests + added)
        self.share_per_s, self.updated_s = share_per_s, now_s


class UpstreamLimits:
    """Keep the newest limit of each upstream, and this node's room within it."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._members: tuple[str, ...] = (node,)
        self._limits: dict[str, NamedLimit] = {}
        # Limits that this node heard itself.
        self._heard: dict[str, NamedLimit] = {}
        self._accounts: dict[str, _Account] = {}
        self._shares: dict[tuple[str, float], float] = {}

    def limit(self, start_key: str) -> NamedLimit | None:
        """Return the limit in force of one start of an upstream, or None."""
        named = self._limits.get(start_key)
        return None if named is None or named.rate_per_s is None else named

    def set_members(self, nodes: Iterable[str]) -> None:
        """Set the other nodes that send requests now."""
        members = tuple(sorted({*nodes, self._node}))
        if members != self._members:
            self._members = members
            self._shares.clear()

    def room(self, start_key: str, now_s: float) -> Room | None:
        """Return what this node may send to an upstream; None without a limit."""
        named = self._limits.get(start_key)
        if named is None or named.rate_per_s is None:
            return None
        share_per_s = self._share(start_key, named.rate_per_s)
        account = self._accounts.get(start_key)
        if account is None:
            account = self._accounts[start_key] = _Account(share_per_s, now_s)
        account.update(share_per_s, now_s)
        return Room(account.requests, share_per_s)

    def take(self, start_key: str, now_s: float) -> None:
        """Record a request that is being sent."""
        if self.room(start_key, now_s) is not None:
            self._accounts[start_key].requests -= 1.0

    def record_answer(
        self, start_key: str, rate_per_s: float | None, sent_s: float, now_s: float
    ) -> bool:
        """Record the limit of an answer to a request; return whether it is a change.

        An answer without a limit ends it only if its request was sent after the limit
        was heard, since answers may overtake each other.
        """
        known = self._limits.get(start_key)
        if rate_per_s is None and (
            known is None or known.rate_per_s is None or sent_s <= known.heard_s
        ):
            return False
        named = NamedLimit(rate_per_s, now_s)
        self._heard[start_key] = named
        return self._set(start_key, named)

    def export(self, now_s: float) -> list[list[Any]]:
        """Return the limits that this node heard itself: upstream, rate, age in ms."""
        current = [
            (start_key, named)
            for start_key, named in self._heard.items()
            if named.rate_per_s is not None or now_s - named.heard_s < ENDED_LIFETIME_S
        ]
        current.sort(key=lambda pair: pair[1].heard_s, reverse=True)
        return [
            [start_key, named.rate_per_s, max(0, round(1000 * (now_s - named.heard_s)))]
            for start_key, named in current[:MAX_REPORTED]
        ]

    def merge(
        self, rows: Sequence[Sequence[Any]], now_s: float
    ) -> list[tuple[str, float | None]]:
        """Apply the limits that a peer heard; return the changes.

        Raise ValueError or TypeError for malformed rows.
        """
        changes = []
        for start_key, rate, age_ms in rows:
            rate_per_s = None if rate is None else float(rate)
            if rate_per_s is not None and not 0.0 <= rate_per_s < float("inf"):
                raise ValueError(f"a peer reported the limit {rate_per_s}")
            named = NamedLimit(rate_per_s, now_s - float(age_ms) / 1000)
            known = self._limits.get(str(start_key))
            if known is None and rate_per_s is None:
                continue
            if known is not None and named.heard_s <= known.heard_s:
                continue
            if self._set(str(start_key), named):
                changes.append((str(start_key), rate_per_s))
        return changes

    def keep(self, start_keys: Iterable[str]) -> None:
        """Forget the limits of all other starts of upstreams."""
        kept = set(start_keys)
        for start_key in [each for each in self._limits if each not in kept]:
            del self._limits[start_key]
            self._heard.pop(start_key, None)
            self._accounts.pop(start_key, None)

    def _set(self, start_key: str, named: NamedLimit) -> bool:
        known = self._limits.get(start_key)
        self._limits[start_key] = named
        if named.rate_per_s is None:
            self._accounts.pop(start_key, None)
        return known is None or known.rate_per_s != named.rate_per_s

    def _share(self, start_key: str, rate_per_s: float) -> float:
        """Return this node's share of a limit in requests per second."""
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        key = (start_key, rate_per_s)
        if key not in self._shares:
            count = max(1, min(len(self._members), round(rate_per_s / SHARE_PER_S)))
            chosen = heapq.nlargest(
                count, self._members, key=lambda node: _weight(start_key, node)
            )
            self._shares[key] = rate_per_s / count if self._node in chosen else 0.0
        return self._shares[key]


def _weight(start_key: str, node: str) -> bytes:
    return hashlib.blake2b(f"{start_key}\0{node}".encode(), digest_size=8).digest()
