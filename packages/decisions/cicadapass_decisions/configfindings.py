"""Find the parts of a configuration that no call can ever use.

The rules are those of `routetable.py`: the longest path prefix wins, and of two routes
with the same host and prefix, or two workspaces with the same credential, the later
one. Only what certainly never matches is reported as such.
"""

import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum

from cicadapass_decisions.passthrough import Configuration, Route, Workspace

# Path of a value: names of fields, positions in lists, and names of services.
Path = tuple[str | int, ...]

# NUL and line terminators, which no value of a header contains.
_NOT_IN_HEADERS = frozenset("\0\n\v\f\r")
# Headers are decoded as Latin-1.
_MAX_HEADER_CHARACTER = "\xff"


class Severity(StrEnum):
    """Distinguish certain mistakes from probable ones."""

    ERROR = "error"
    WARNING = "warning"


class FindingKind(StrEnum):
    """Enumerate the kinds of findings."""

    # Reading of the document.
    NOT_READABLE = "not_readable"
    MALFORMED_VALUE = "malformed_value"
    MISSING_VALUE = "missing_value"
    CORRECTED_VALUE = "corrected_value"
    DROPPED_ENTRY = "dropped_entry"
    # Entries that never match.
    ROUTE_REPLACED = "route_replaced"
    HOST_NEVER_MATCHES = "host_never_matches"
    PREFIX_NEVER_MATCHES = "prefix_never_matches"
    NO_WEIGHT = "no_weight"
    NO_CALLER = "no_caller"
    WORKSPACE_WITHOUT_KEY = "workspace_without_key"
    KEY_REPLACED = "key_replaced"
    KEY_NEVER_MATCHES = "key_never_matches"
    UNUSED_SERVICE = "unused_service"
    # Entries whose names are ambiguous or unknown.
    UNKNOWN_SERVICE = "unknown_service"
    DUPLICATE_NAME = "duplicate_name"
    # Limits.
    INVALID_LIMIT = "invalid_limit"
    INVALID_WEIGHT = "invalid_weight"
    TARGET_BEYOND_TIMEOUT = "target_beyond_timeout"
    GAP_BEYOND_TIMEOUT = "gap_beyond_timeout"
    ATTEMPTS_BEYOND_ENGINES = "attempts_beyond_engines"
    MINIMUM_BEYOND_MAXIMUM = "minimum_beyond_maximum"
    BURST_BELOW_REQUEST = "burst_below_request"
    BURST_WITHOUT_RATE = "burst_without_rate"
    # Comparison with the version in force.
    VERSION_NOT_NEWER = "version_not_newer"


# Findings of these kinds on a route mean that no call is ever sent by it.
UNREACHABLE_KINDS = frozenset(
    {
        FindingKind.ROUTE_REPLACED,
        FindingKind.HOST_NEVER_MATCHES,
        FindingKind.PREFIX_NEVER_MATCHES,
        FindingKind.NO_WEIGHT,
        FindingKind.NO_CALLER,
    }
)


@dataclass(frozen=True, slots=True)
class Finding:
    """Describe a mistake in a configuration and its place."""

    kind: FindingKind
    severity: Severity
    path: Path
    message: str


def error(kind: FindingKind, path: Path, message: str) -> Finding:
    """Return a finding on a value that cannot have its intended effect."""
    return Finding(kind, Severity.ERROR, path, message)


def warning(kind: FindingKind, path: Path, message: str) -> Finding:
    """Return a finding on a value without effect, or that is probably a mistake."""
    return Finding(kind, Severity.WARNING, path, message)


def find_unmatched(configuration: Configuration) -> tuple[Finding, ...]:
    """Return the findings on routes, workspaces and services that never match."""
    routes = tuple(_route_findings(configuration))
    unreachable = {each.path[1] for each in routes if each.kind in UNREACHABLE_KINDS}
    reachable = [
        route
        for index, route in enumerate(configuration.routes)
        if index not in unreachable
    ]
    return (
        *routes,
        *_workspace_findings(configuration.workspaces),
        *_service_findings(configuration, reachable),
        *_duplicate_names(
            warning,
            "routes",
            configuration.routes,
            "log lines and the evidence of rollouts do not distinguish them",
        ),
        *_duplicate_names(
            error,
            "workspaces",
            configuration.workspaces,
            "they share one rate limit",
        ),
    )


def _route_findings(configuration: Configuration) -> Iterator[Finding]:
    last_by_match = {
        (route.host, route.path_prefix): index
        for index, route in enumerate(configuration.routes)
    }
    needs_key = bool(configuration.workspaces) and not any(
        _can_match_key(key) for each in configuration.workspaces for key in each.keys
    )
    for index, route in enumerate(configuration.routes):
        path: Path = ("routes", index)
        last = last_by_match[route.host, route.path_prefix]
        if last != index:
            yield error(
                FindingKind.ROUTE_REPLACED,
                path,
                f"route {route.name!r} is never chosen: route"
                f" {configuration.routes[last].name!r} at index {last} has the same"
                " host and path prefix and comes later",
            )
        host_fault = _host_fault(route.host)
        if host_fault:
            yield error(
                FindingKind.HOST_NEVER_MATCHES,
                (*path, "host"),
                f"the host {route.host!r} of route {route.name!r} never matches:"
                f" {host_fault}",
            )
        prefix_fault = _prefix_fault(route.path_prefix)
        if prefix_fault:
            yield error(
                FindingKind.PREFIX_NEVER_MATCHES,
                (*path, "path_prefix"),
                f"the path prefix {route.path_prefix!r} of route {route.name!r} never"
                f" matches: {prefix_fault}",
            )
        # The same comparison as the route table's.
        if sum(weighted.weight for weighted in route.services) <= 0:
            yield error(
                FindingKind.NO_WEIGHT,
                (*path, "services"),
                f"route {route.name!r} sends no calls: the sum of its weights is"
                f" {sum(weighted.weight for weighted in route.services):g}",
            )
        if needs_key and not route.anonymous:
            yield error(
                FindingKind.NO_CALLER,
                path,
                f"route {route.name!r} needs a key, and no workspace has one",
            )


def _host_fault(host: str) -> str:
    """Return why no call has this host, or an empty text."""
    if host != host.lower():
        return "hosts of calls are compared in lower case"
    if host.startswith((" ", "\t")):
        return "hosts of calls do not start with whitespace"
    if not _fits_header(host):
        return "it contains a character that no header contains"
    return ""


def _prefix_fault(prefix: str) -> str:
    """Return why no path starts with this prefix, or an empty text."""
    if not prefix.endswith("/"):
        return "only prefixes that end with a slash are compared"
    if not prefix.startswith("/") and "://" not in prefix:
        # Targets are a path, or with a proxy a URL.
        return "paths of requests start with a slash"
    if "?" in prefix:
        return "paths are compared without their query"
    if not all("!" <= character <= "~" for character in prefix):
        return "targets of requests consist of visible ASCII characters"
    return ""


def _can_match_key(key: str) -> bool:
    # Credentials are compared without the whitespace around them. A header with an
    # empty one consists of the scheme alone and counts as no credential.
    return key != "" and key == key.strip() and _fits_header(key)


def _fits_header(text: str) -> bool:
    return all(
        character <= _MAX_HEADER_CHARACTER and character not in _NOT_IN_HEADERS
        for character in text
    )


def _workspace_findings(workspaces: tuple[Workspace, ...]) -> Iterator[Finding]:
    owners = {
        key: index
        for index, workspace in enumerate(workspaces)
        for key in workspace.keys
    }
    for index, workspace in enumerate(workspaces):
        path: Path = ("workspaces", index, "keys")
        replaced = {owners[key] for key in workspace.keys} - {index}
        unmatched = sum(not _can_match_key(key) for key in workspace.keys)
        if not workspace.keys:
            yield error(
                FindingKind.WORKSPACE_WITHOUT_KEY,
                path,
                f"no call belongs to workspace {workspace.name!r}: it has no key",
            )
        # Keys are secrets, so that the messages do not contain them.
        for owner in sorted(replaced):
            shared = sum(owners[key] == owner for key in workspace.keys)
            yield error(
                FindingKind.KEY_REPLACED,
                path,
                f"{shared} of the {len(workspace.keys)} keys of workspace"
                f" {workspace.name!r} belong to workspace {workspaces[owner].name!r} at"
                f" index {owner}, which has the same and comes later",
            )
        if unmatched:
            yield error(
                FindingKind.KEY_NEVER_MATCHES,
                path,
                f"{unmatched} of the {len(workspace.keys)} keys of workspace"
                f" {workspace.name!r} never match: they are empty, have whitespace"
                " around them or contain a character that no header contains",
            )


def _service_findings(
    configuration: Configuration, reachable: list[Route]
) -> Iterator[Finding]:
    used = {
        weighted.service
        for route in reachable
        for weighted in route.services
        if not weighted.weight <= 0
    }
    named = {
        weighted.service
        for route in configuration.routes
        for weighted in route.services
    }
    for name in configuration.services:
        if name not in used:
            cause = (
                "the routes that name it never match, or give it no weight"
                if name in named
                else "no route names it"
            )
            yield warning(
                FindingKind.UNUSED_SERVICE,
                ("services", name),
                f"service {name!r} gets no calls: {cause}",
            )
    for index, route in enumerate(configuration.routes):
        for position, weighted in enumerate(route.services):
            if weighted.service not in configuration.services:
                yield error(
                    FindingKind.UNKNOWN_SERVICE,
                    ("routes", index, "services", position, "service"),
                    f"route {route.name!r} names the service {weighted.service!r},"
                    " which the configuration does not contain",
                )
            if not 0 <= weighted.weight < math.inf:
                yield error(
                    FindingKind.INVALID_WEIGHT,
                    ("routes", index, "services", position, "weight"),
                    f"route {route.name!r} gives service {weighted.service!r} the"
                    f" weight {weighted.weight:g}",
                )


def _duplicate_names(
    finding: Callable[[FindingKind, Path, str], Finding],
    section: str,
    entries: Sequence[Route | Workspace],
    consequence: str,
) -> Iterator[Finding]:
    first: dict[str, int] = {}
    for index, entry in enumerate(entries):
        earlier = first.setdefault(entry.name, index)
        if earlier != index:
            yield finding(
                FindingKind.DUPLICATE_NAME,
                (section, index, "name"),
                f"{entry.name!r} is also the name at index {earlier}: {consequence}",
            )
