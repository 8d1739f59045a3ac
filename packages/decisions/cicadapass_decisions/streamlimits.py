"""Know for how long the streams of a service may last and be taken up.

A stream keeps the time limit under which it was admitted, whatever the configuration
says later. A node that is cut off admits streams under the configuration that it had.
So a limit counts for a while after the last configuration that had it, and a lower one
replaces it only then; a higher one counts at once, also for streams that began before.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

from cicadapass_decisions.passthrough import CallKind, Configuration, Route

# A caller may take a stream up until the time limit of its first request, and its
# clock is not that of the node.
LIFE_MARGIN_S = 5.0
# Regions lose contact for up to an hour, and their nodes keep their configuration.
KEPT_S = 3600.0
# What callers state beyond the time limit of their route counts up to this value, as a
# single one of them would otherwise keep versions in use for as long as it likes.
MAX_CALLER_LIMIT_S = 60.0
# Assumed where a record of the versions in use comes without the limit.
ASSUMED_LIMIT_S = 60.0
# Nodes report less than the remaining time of a limit, so that two of them do not keep
# it alive between them.
REPORT_MARGIN_S = 1.0
# A limit can be asked for as of an earlier time, up to this one.
REMEMBERED_S = 60.0
# Limits of a service that count at the same time, each higher one for a shorter time.
MAX_LIMITS = 32


@dataclass(frozen=True, slots=True)
class TimeLimit:
    """Store a time limit of streams and until when it counts."""

    limit_s: float
    ends_s: float

    def covers(self, other: "TimeLimit") -> bool:
        """Return whether another limit is no higher and counts for no longer."""
        return other.limit_s <= self.limit_s and other.ends_s <= self.ends_s


class StreamLimits:
    """Track the time limits under which streams of each service may last."""

    def __init__(self) -> None:
        # The highest limit of a service comes first.
        self._limits: dict[str, tuple[TimeLimit, ...]] = {}

    def record(
        self, service: str, limit_s: float, now_s: float, kept_s: float = KEPT_S
    ) -> None:
        """Record that streams may be admitted under a limit until now."""
        limits = self._limits.get(service, ())
        new = TimeLimit(limit_s, now_s + kept_s + limit_s + LIFE_MARGIN_S)
        if any(each.covers(new) for each in limits):
            return
        since_s = now_s - REMEMBERED_S
        kept = [each for each in limits if each.ends_s > since_s]
        kept = [new, *(each for each in kept if not new.covers(each))]
        kept.sort(key=lambda each: -each.limit_s)
        while len(kept) > MAX_LIMITS:
            *kept, higher, lower = kept
            kept.append(TimeLimit(higher.limit_s, lower.ends_s))
        self._limits[service] = tuple(kept)

    def in_force(self, service: str, now_s: float) -> tuple[TimeLimit, ...]:
        """Return the limits of a service that count, the highest one first."""
        limits = self._limits.get(service, ())
        return tuple(each for each in limits if each.ends_s > now_s)

    def longest_s(self, service: str, now_s: float) -> float | None:
        """Return the highest limit of a service that counts, or None."""
        limits = self.in_force(service, now_s)
        return limits[0].limit_s if limits else None

    def services(self, now_s: float) -> list[str]:
        """Return the services whose streams may be taken up."""
        return [each for each in self._limits if self.in_force(each, now_s)]


class ResumableRoutes:
    """Remember which routes let callers take streams up lately."""

    def __init__(self) -> None:
        self._seen_s: dict[str, float] = {}

    def record(self, configuration: Configuration, now_s: float) -> None:
        """Record the resumable routes of a configuration that ends now."""
        for route in configuration.routes:
            if route.resumable:
                self._seen_s[route.name] = now_s
        if len(self._seen_s) > len(configuration.routes):
            since_s = now_s - KEPT_S
            self._seen_s = {k: v for k, v in self._seen_s.items() if v > since_s}

    def was_resumable(self, route: Route, now_s: float) -> bool:
        """Return whether callers may take up streams of a route, now or soon again."""
        if route.resumable:
            return True
        if route.kind is not CallKind.STREAM:
            return False
        return self._seen_s.get(route.name, -math.inf) > now_s - KEPT_S


def longest_time_limits_s(routes: Collection[Route]) -> dict[str, float]:
    """Return the longest time limit of a service's streams that may be taken up."""
    longest_s: dict[str, float] = {}
    for route in routes:
        for weighted in route.services:
            limit_s = longest_s.get(weighted.service, 0.0)
            longest_s[weighted.service] = max(limit_s, route.timeout_s)
    return longest_s


def caller_limit_s(timeout_s: float, stated_s: float | None) -> float:
    """Return how long a caller may come back for a stream after it was admitted.

    The node ends an answer at the time-out of its route, but a caller that has more
    time left takes the stream up again.
    """
    if stated_s is None:
        return timeout_s
    return min(stated_s, max(timeout_s, MAX_CALLER_LIMIT_S))


def whole_ms(limit_s: float) -> int:
    """Return a time limit in ms, rounded up, so that a record of it is never less."""
    # What is left of a rounding error must not count as another millisecond.
    return math.ceil(round(1000 * limit_s, 3))
