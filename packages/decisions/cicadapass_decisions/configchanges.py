"""List the differences between two configurations and what they affect."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields, is_dataclass
from typing import Any

from cicadapass_decisions.configfindings import Finding, FindingKind, error
from cicadapass_decisions.inventorydiff import ChangeKind
from cicadapass_decisions.passthrough import Configuration, Route

# These values of a workspace are secret, so that only their number is reported.
_SECRET_FIELDS = frozenset({"keys"})


@dataclass(frozen=True, slots=True)
class FieldChange:
    """Describe a changed field; `name` has a dot before each inner field."""

    name: str
    old: Any
    new: Any


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Describe a difference and the entries that it affects, by name."""

    kind: ChangeKind
    # A field of the configuration.
    section: str
    name: str
    fields: tuple[FieldChange, ...] = ()
    routes: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    workspaces: tuple[str, ...] = ()


def compare_configurations(
    in_force: Configuration, candidate: Configuration
) -> tuple[ConfigurationChange, ...]:
    """Return the differences by section, in the order of the candidate.

    Entries are compared by name. Each workspace may call each route, so that a change
    of a route or a service affects all workspaces that can call.
    """
    both = (in_force, candidate)
    callers = _unique(each.name for one in both for each in one.workspaces if each.keys)
    changes: list[ConfigurationChange] = []
    for kind, name, old, new in _pairs(in_force.routes, candidate.routes):
        versions = [route for route in (old, new) if route is not None]
        services = _unique(
            each.service for route in versions for each in route.services
        )
        changed = _field_changes(old, new)
        changes.append(
            ConfigurationChange(
                kind, "routes", name, changed, (name,), services, callers
            )
        )
    for kind, name, old, new in _pairs(
        in_force.services.values(), candidate.services.values()
    ):
        routes = _routes_of(name, both)
        changed = _field_changes(old, new)
        reached = callers if routes else ()
        changes.append(
            ConfigurationChange(
                kind, "services", name, changed, routes, (name,), reached
            )
        )
    for kind, name, old, new in _pairs(in_force.workspaces, candidate.workspaces):
        changed = _field_changes(old, new)
        changes.append(
            ConfigurationChange(kind, "workspaces", name, changed, workspaces=(name,))
        )
    changed = _field_changes(in_force.limits, candidate.limits)
    if changed:
        routes = _unique(route.name for one in both for route in one.routes)
        changes.append(
            ConfigurationChange(
                ChangeKind.CHANGED, "limits", "", changed, routes, (), callers
            )
        )
    return tuple(changes)


def find_stale_version(
    in_force: Configuration | None, candidate: Configuration
) -> tuple[Finding, ...]:
    """Report a version that nodes ignore because they have one that is as high."""
    # Nodes without a configuration have version -1.
    newest = -1 if in_force is None else max(-1, in_force.version)
    if candidate == in_force or candidate.version > newest:
        return ()
    cause = "versions start at 0" if newest < 0 else f"version {newest} is in force"
    message = f"nodes ignore version {candidate.version}: {cause}"
    return (error(FindingKind.VERSION_NOT_NEWER, ("version",), message),)


def _pairs(
    old: Iterable[Any], new: Iterable[Any]
) -> Iterator[tuple[ChangeKind, str, Any, Any]]:
    """Return the entries that differ, with their kind of change and name."""
    before, after = _by_name(old), _by_name(new)
    for key in (*after, *(each for each in before if each not in after)):
        one, other = before.get(key), after.get(key)
        if one == other:
            continue
        kind = ChangeKind.CHANGED
        if one is None or other is None:
            kind = ChangeKind.ADDED if one is None else ChangeKind.REMOVED
        yield kind, key[0], one, other


def _by_name(entries: Iterable[Any]) -> dict[tuple[str, int], Any]:
    """Return the entries by name and the number of earlier ones with that name."""
    result: dict[tuple[str, int], Any] = {}
    counts: dict[str, int] = {}
    for entry in entries:
        count = counts.get(entry.name, 0)
        counts[entry.name] = count + 1
        result[entry.name, count] = entry
    return result


def _field_changes(old: Any, new: Any, prefix: str = "") -> tuple[FieldChange, ...]:
    if old is None or new is None:
        return ()
    changes: list[FieldChange] = []
    for each in fields(old):
        before, after = getattr(old, each.name), getattr(new, each.name)
        name = prefix + each.name
        if before == after:
            continue
        if each.name in _SECRET_FIELDS:
            changes.append(_secret_change(name, before, after))
        elif is_dataclass(before) and is_dataclass(after):
            changes += _field_changes(before, after, f"{name}.")
        else:
            changes.append(FieldChange(name, before, after))
    return tuple(changes)


def _secret_change(name: str, old: frozenset[str], new: frozenset[str]) -> FieldChange:
    added, removed = len(new - old), len(old - new)
    return FieldChange(
        name, f"{len(old)}", f"{len(new)} ({added} added, {removed} removed)"
    )


def _routes_of(
    service: str, configurations: Iterable[Configuration]
) -> tuple[str, ...]:
    return _unique(
        route.name
        for configuration in configurations
        for route in configuration.routes
        if _sends_to(route, service)
    )


def _sends_to(route: Route, service: str) -> bool:
    return any(weighted.service == service for weighted in route.services)


def _unique(names: Iterable[str]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(names))
