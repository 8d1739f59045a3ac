"""Find the route and the workspace of a call in one version of the configuration."""

import random
from dataclasses import dataclass

from cicadapass_decisions.passthrough import Configuration, Route, Service, Workspace


@dataclass(frozen=True, slots=True)
class NoRoute:
    """Report that no route of the configuration matches."""


@dataclass(frozen=True, slots=True)
class UnknownCredential:
    """Report that no workspace has the caller's credential."""


@dataclass(frozen=True, slots=True)
class Match:
    """Store the route, service and workspace of a call.

    They stay those of its admission, whatever a later configuration says.
    """

    route: Route
    service: str
    workspace: Workspace | None
    version: int
    # None if the configuration does not describe the service.
    service_entry: Service | None = None

    @property
    def priority(self) -> int:
        """Return the priority, 0 being the highest; a workspace overrides the route."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority


class RouteTable:
    """Index one configuration by host, path prefix and credential."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route
        self._workspaces = {
            key: workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        }

        self._shortest_target_s: dict[str, float] = {}
        for route in configuration.routes:
            for weighted in route.services:
                shortest_s = self._shortest_target_s.get(
                    weighted.service, route.target_latency_s
                )
                shorter_s = min(shortest_s, route.target_latency_s)
                self._shortest_target_s[weighted.service] = shorter_s

    def shorter_target_s(self, match: Match) -> float | None:
        """Return the service's shortest target if it is below that of the call."""
        shortest_s = self._shortest_target_s.get(match.service)
        if shortest_s is None or shortest_s >= match.route.target_latency_s:
            return None
        return shortest_s

    def match(
        self, host: str, target: str, key: str | None, rng: random.Random
    ) -> Match | NoRoute | UnknownCredential:
        """Return the match of a call, or the reason why there is none."""
        route = self._find_route(host, target)
        if route is None:
            return NoRoute()
        workspace = self._workspaces.get(key) if key is not None else None
        needs_key = bool(self.configuration.workspaces) and not route.anonymous
        if needs_key and workspace is None:
            return UnknownCredential()
        service = _choose_service(route, rng)
        if service is None:
            return NoRoute()
        configuration = self.configuration
        entry = configuration.services.get(service)
        return Match(route, service, workspace, configuration.version, entry)

    def workspace_name(self, key: str | None) -> str | None:
        """Return the name of the workspace with a key, or None."""
        workspace = self._workspaces.get(key) if key is not None else None
        return workspace.name if workspace is not None else None

    def route_timeout_s(self, host: str, target: str) -> float | None:
        """Return the time-out of the route of a request, or None if it has none."""
        route = self._find_route(host, target)
        return route.timeout_s if route is not None else None

    def _find_route(self, host: str, target: str) -> Route | None:
        prefixes = self._hosts.get(host) or self._hosts.get(host.partition(":")[0])
        if prefixes is None:
            return None
        # Prefixes end with a slash, so only prefixes of the path up to a slash match.
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _choose_service(route: Route, rng: random.Random) -> str | None:
    total = sum(weighted.weight for weighted in route.services)
    if total <= 0:
        return None
    point = rng.random() * total
    for weighted in route.services:
        point -= weighted.weight
        if point < 0:
            return weighted.service
    return route.services[-1].service
