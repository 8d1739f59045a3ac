"""Report who was turned away for want of memory or connections."""

from collections import Counter
from dataclasses import dataclass, field

from cicadapass_common.events import EventLog
from cicadapass_gateway.metrics import Metrics

# Time between two lines of one reason: a crowd is turned away hundreds at a time.
LINE_INTERVAL_S = 1.0


@dataclass(slots=True)
class _Unreported:
    """Sum up what was turned away since the last line."""

    count: int = 0
    held_bytes: int = 0
    groups: Counter[str] = field(default_factory=Counter)


class ShedLog:
    """Count the requests and connections that a budget turns away, by reason."""

    def __init__(self, events: EventLog, metrics: Metrics) -> None:
        self._events = events
        self._metrics = metrics
        self._unreported: dict[str, _Unreported] = {}
        self._reported_s: dict[str, float] = {}

    def record(self, reason: str, held_bytes: int, group: str) -> None:
        """Count one request or connection."""
        self._metrics.count("shed", reason)
        unreported = self._unreported.setdefault(reason, _Unreported())
        unreported.count += 1
        unreported.held_bytes += held_bytes
        unreported.groups[group] += 1

    def write_lines(self, now_s: float) -> None:
        """Write a line for each reason that has none in the last second."""
        for reason, unreported in list(self._unreported.items()):
            if now_s - self._reported_s.get(reason, -LINE_INTERVAL_S) < LINE_INTERVAL_S:
                continue
            del self._unreported[reason]
            self._reported_s[reason] = now_s
            group, group_count = unreported.groups.most_common(1)[0]
            self._events.emit(
                875,
                reason=reason,
                count=unreported.count,
                held_bytes=unreported.held_bytes,
                source=group,
                source_count=group_count,
            )
