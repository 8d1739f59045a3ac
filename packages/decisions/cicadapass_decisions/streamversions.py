"""Know at which version of a service's engines a stream began.

What engines of two versions write does not fit together, so a caller's stream that
broke off goes on at its version alone. While a service has used a single version for
the life of a stream, that one is known without a record of the stream.
"""

import heapq
import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

# A report takes up to this time, by which it makes a version look later seen; two nodes
# that report to each other would keep it in use.
REPORT_DELAY_S = 0.5
# Streams that are remembered: 20 s of those that the planned size begins.
MAX_STREAMS = 50_000


@dataclass(frozen=True, slots=True)
class Stream:
    """Identify a stream by the request that brought its first event."""

    service: str
    request_id: str


class StreamIndex:
    """Store the versions of streams for the time that each may last."""

    def __init__(self) -> None:
        # The version, the end of the time and the number of the addition.
        self._entries: dict[Stream, tuple[str, float, int]] = {}
        # The ends in order, with those of additions that were replaced.
        self._ends: list[tuple[float, int, Stream]] = []
        self._additions = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, stream: Stream, version: str, ends_s: float) -> None:
        """Store the version of a stream until a time, or for longer if it has longer.

        If there are too many, those that end first are removed.
        """
        before = self._entries.get(stream)
        if before is not None and before[0] == version:
            ends_s = max(ends_s, before[1])
        self._additions += 1
        self._entries[stream] = (version, ends_s, self._additions)
        heapq.heappush(self._ends, (ends_s, self._additions, stream))
        while len(self._entries) > MAX_STREAMS:
            self._remove_first()
        if len(self._ends) > MAX_STREAMS + 2 * len(self._entries):
            self._ends = [
                (ends_s, number, stream)
                for stream, (_, ends_s, number) in self._entries.items()
            ]
            heapq.heapify(self._ends)

    def version(self, stream: Stream, now_s: float) -> str | None:
        """Return the version at which a stream began, or None if it is not known."""
        version, ends_s, _ = self._entries.get(stream, (None, now_s, 0))
        return version if ends_s > now_s else None

    def of_service(self, service: str, now_s: float) -> list[tuple[Stream, str]]:
        """Return the streams of a service that may last."""
        return [
            (stream, version)
            for stream, (version, ends_s, _) in self._entries.items()
            if stream.service == service and ends_s > now_s
        ]

    def expire(self, now_s: float) -> None:
        """Remove the streams whose time is over."""
        while self._ends and self._ends[0][0] <= now_s:
            self._remove_first()

    def _remove_first(self) -> None:
        """Remove the end that comes first, and its stream unless it was added again."""
        _, number, stream = heapq.heappop(self._ends)
        entry = self._entries.get(stream)
        if entry is not None and entry[2] == number:
            del self._entries[stream]


class VersionHistory:
    """Track which versions of each service have had engines lately."""

    def __init__(self) -> None:
        self._last_seen_s: dict[str, dict[str, float]] = {}
        # The same without what the record of the versions said.
        self._last_observed_s: dict[str, dict[str, float]] = {}

    def observe(self, versions: Mapping[str, Collection[str]], now_s: float) -> None:
        """Record the versions that have engines now, by service."""
        for service, present in versions.items():
            now_seen = dict.fromkeys(present, now_s)
            self._last_seen_s.setdefault(service, {}).update(now_seen)
            self._last_observed_s.setdefault(service, {}).update(now_seen)

    def merge(self, service: str, seen_s: Mapping[str, float]) -> None:
        """Record when others last observed versions, by this node's clock."""
        for times_s in (
            self._last_seen_s.setdefault(service, {}),
            self._last_observed_s.setdefault(service, {}),
        ):
            for version, last_s in seen_s.items():
                known_s = times_s.get(version, -math.inf)
                if last_s > known_s + REPORT_DELAY_S:
                    times_s[version] = last_s

    def observed_ages_s(
        self, service: str, now_s: float, life_s: float
    ) -> dict[str, float]:
        """Return the time since each version of the last life was observed."""
        return {
            version: now_s - last_s
            for version, last_s in self._last_observed_s.get(service, {}).items()
            if last_s > now_s - life_s
        }

    def restore(self, service: str, versions: Iterable[str], now_s: float) -> None:
        """Record versions that may have had engines until now, as others reported."""
        seen = self._last_seen_s.setdefault(service, {})
        for version in versions:
            seen[version] = max(now_s, seen.get(version, now_s))

    def in_use(self, service: str, now_s: float, life_s: float) -> frozenset[str]:
        """Return the versions at which a stream that still lasts may have begun."""
        return _since(self._last_seen_s.get(service, {}), now_s - life_s)

    def version_set_to_record(
        self, service: str, recorded: frozenset[str], now_s: float, life_s: float
    ) -> frozenset[str] | None:
        """Return the versions in use if they should replace the recorded ones.

        A version that this node knows from the record alone does not return to it.
        """
        in_use = self.in_use(service, now_s, life_s)
        observed = _since(self._last_observed_s.get(service, {}), now_s - life_s)
        if observed - recorded:
            return in_use | recorded
        return in_use if in_use and in_use < recorded else None


def _since(times_s: Mapping[str, float], start_s: float) -> frozenset[str]:
    return frozenset(each for each, seen_s in times_s.items() if seen_s > start_s)
