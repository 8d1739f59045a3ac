"""Know under which time limits the streams of each service may last.

A node learns them from each configuration that it applies, from the callers that state
more than their route allows, from its peers and from the record in the registry.
"""

import math
from collections.abc import Callable
from typing import Any

from cicadapass_decisions.passthrough import CallKind, Configuration, Route
from cicadapass_decisions.streamlimits import (
    ASSUMED_LIMIT_S,
    KEPT_S,
    LIFE_MARGIN_S,
    MAX_LIMITS,
    REPORT_MARGIN_S,
    ResumableRoutes,
    StreamLimits,
    longest_time_limits_s,
    whole_ms,
)
from cicadapass_gateway.cbor import finite_number
from cicadapass_gateway.nodestate import NodeState

# Assumed for a service that never had a route.
DEFAULT_TIMEOUT_S = 15.0
# The recorded limit falls this long after the nodes have ended to keep a higher one, as
# they do not all do so at the same moment.
LOWERED_AFTER_S = 30.0

# Rows of a limit and the remaining time for which it counts, in ms, by service.
ReportedLimits = dict[str, list[list[int]]]


class LimitKnowledge:
    """Track the time limits of streams, of which each may have been admitted."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._limits = StreamLimits()
        self._routes = ResumableRoutes()
        # The configuration in force and its limits, by service.
        self._configuration: Configuration | None = None
        self._configured_s: dict[str, float] = {}
        self._listeners: list[Callable[[str], None]] = []
        state.subscribe_to_configurations(self._apply)
        if state.configuration is not None:
            self._apply(state.configuration)

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with a service whose streams may last longer than before."""
        self._listeners.append(listener)

    def services(self) -> list[str]:
        """Return the services whose streams may be taken up, now or soon again."""
        return self._limits.services(self._state.clock())

    def is_tracked(self, service: str) -> bool:
        """Return whether streams of a service may be taken up, now or soon again."""
        return self._limits.longest_s(service, self._state.clock()) is not None

    def may_be_taken_up(self, route: Route, service: str) -> bool:
        """Return whether callers may take up streams of a route, now or soon again.

        While no route of a service is resumable, a node that started since does not
        know which one was.
        """
        if self._routes.was_resumable(route, self._state.clock()):
            return True
        is_stream = route.kind is CallKind.STREAM
        return (
            is_stream and service not in self._configured_s and self.is_tracked(service)
        )

    def longest_s(self, service: str) -> float:
        """Return the longest time limit under which a stream may last."""
        longest_s = self._limits.longest_s(service, self._state.clock())
        return DEFAULT_TIMEOUT_S if longest_s is None else longest_s

    def life_s(self, service: str) -> float:
        """Return for how long a stream may last and be taken up."""
        return LIFE_MARGIN_S + self.longest_s(service)

    def limit_to_record(self, service: str, recorded_s: float | None) -> float | None:
        """Return the longest time limit if it should replace the recorded one."""
        now_s = self._state.clock()
        longest_s = self._limits.longest_s(service, now_s)
        if longest_s is None or recorded_s is None:
            return longest_s
        earlier_s = self._limits.longest_s(service, now_s - LOWERED_AFTER_S) or 0.0
        longest_ms, recorded_ms = whole_ms(longest_s), whole_ms(recorded_s)
        rises = longest_ms > recorded_ms
        falls = max(longest_ms, whole_ms(earlier_s)) < recorded_ms
        return longest_s if rises or falls else None

    def refresh(self) -> None:
        """Record that the limits of the configuration in force still apply."""
        now_s = self._state.clock()
        for service, limit_s in self._configured_s.items():
            self._limits.record(service, limit_s, now_s)

    def record_admission(self, service: str, limit_s: float) -> None:
        """Record that a stream was admitted whose caller has a time limit.

        The limits of the configuration in force are recorded without it.
        """
        if limit_s > self._configured_s.get(service, -1.0):
            self._raise_to(service, float(math.ceil(limit_s)), KEPT_S)

    def restore(self, service: str, limit_s: float) -> None:
        """Record the limit that the registry has.

        One that this node knows is not kept for longer with each read.
        """
        if limit_s > self.longest_s(service) or not self.is_tracked(service):
            self._raise_to(service, limit_s, KEPT_S)

    def assumed_extra_s(self, service: str) -> float:
        """Return by how much longer streams may last if no limit is recorded."""
        return max(0.0, ASSUMED_LIMIT_S - self.longest_s(service))

    def export(self) -> ReportedLimits:
        """Return the limits that count beyond those of the configuration in force.

        The registry also has those of services that the configuration lacks by now.
        """
        now_s, configuration = self._state.clock(), self._configuration
        reported: ReportedLimits = {}
        for service in () if configuration is None else configuration.services:
            configured_s = self._configured_s.get(service, -1.0)
            rows = [
                [whole_ms(each.limit_s), round(1000 * remaining_s)]
                for each in self._limits.in_force(service, now_s)
                if each.limit_s > configured_s
                and (remaining_s := each.ends_s - now_s - REPORT_MARGIN_S) > 0
            ]
            if rows:
                reported[service] = rows
        return reported

    def merge(self, reported: Any) -> None:
        """Apply the limits that a peer reports; raise one of DECODE_ERRORS."""
        for service, rows in reported.items():
            for limit_ms, remaining_ms in rows[:MAX_LIMITS]:
                limit_s = max(0.0, finite_number(limit_ms) / 1000)
                remaining_s = finite_number(remaining_ms) / 1000
                kept_s = min(KEPT_S, remaining_s - limit_s - LIFE_MARGIN_S)
                self._raise_to(str(service), limit_s, kept_s)

    def _apply(self, configuration: Configuration) -> None:
        """Record the limits of a configuration, and the end of those before it."""
        self.refresh()
        if self._configuration is not None:
            self._routes.record(self._configuration, self._state.clock())
        self._configuration = configuration
        self._configured_s = longest_time_limits_s(
            [each for each in configuration.routes if each.resumable]
        )
        before_s = {each: self.longest_s(each) for each in self._configured_s}
        self.refresh()
        for service, longest_s in before_s.items():
            if self.longest_s(service) > longest_s:
                self._notify(service)

    def _raise_to(self, service: str, limit_s: float, kept_s: float) -> None:
        before_s, now_s = self.longest_s(service), self._state.clock()
        self._limits.record(service, limit_s, now_s, kept_s)
        if self.longest_s(service) > before_s:
            self._notify(service)

    def _notify(self, service: str) -> None:
        for listener in self._listeners:
            listener(service)
