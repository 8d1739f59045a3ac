"""List the differences between two inventories."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from cicadapass_decisions.inventory import Fleet, Inventory
from cicadapass_decisions.options import to_document
from cicadapass_decisions.problems import format_value

_ENTRY_TYPES = {
    "data_centres": "data centre",
    "services": "service",
    "upstreams": "upstream",
    "workspaces": "workspace",
}


class ChangeKind(StrEnum):
    """Enumerate the kinds of changes."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Change:
    """Describe one change; `field` is empty for an added or removed entry."""

    kind: ChangeKind
    entry: str
    name: str
    field: str = ""
    old: str = ""
    new: str = ""

    def __str__(self) -> str:
        """Return the change as one line for operators."""
        line = f"{self.kind} {self.entry} {self.name}"
        if not self.field:
            return line
        return f"{line}: {self.field} {self.old} -> {self.new}"


def diff_inventories(old: Inventory, new: Inventory) -> tuple[Change, ...]:
    """Return the changes, ordered by fleet, entry type and name; rules are last."""
    changes = [*_fleet_changes(old, new), *_rule_changes(old, new)]
    return tuple(changes)


def _fleet_changes(old: Inventory, new: Inventory) -> Iterator[Change]:
    for name in _sorted_names(old.fleets, new.fleets):
        before, after = old.fleets.get(name), new.fleets.get(name)
        if before and after and before.region != after.region:
            yield _field_change("fleet", name, "region", before.region, after.region)
        elif not (before and after):
            yield _added_or_removed("fleet", name, after is not None)
        for attribute, entry_type in _ENTRY_TYPES.items():
            yield from _entry_changes(
                entry_type, _entries(before, attribute), _entries(after, attribute)
            )


def _entry_changes(
    entry_type: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Change]:
    for key in _sorted_names(before, after):
        old, new = before.get(key), after.get(key)
        if old == new:
            continue
        if old is None:
            yield _added_or_removed(entry_type, after[key].qualified_name, True)
        elif new is None:
            yield _added_or_removed(entry_type, before[key].qualified_name, False)
        else:
            name = new.qualified_name
            yield from _field_changes(
                entry_type, name, to_document(old), to_document(new)
            )


def _field_changes(
    entry_type: str, name: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Change]:
    for key in _sorted_names(old, new):
        if old.get(key) != new.get(key):
            yield _field_change(entry_type, name, key, old.get(key), new.get(key))


def _rule_changes(old: Inventory, new: Inventory) -> Iterator[Change]:
    before, after = old.rules.sections, new.rules.sections
    for section in _sorted_names(before, after):
        old_rules, new_rules = before.get(section), after.get(section)
        yield from _field_changes(
            "rule", section, to_document(old_rules or {}), to_document(new_rules or {})
        )


def _entries(fleet: Fleet | None, attribute: str) -> Mapping[str, Any]:
    return getattr(fleet, attribute) if fleet else {}


def _sorted_names(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    return sorted({*old, *new})


def _added_or_removed(entry_type: str, name: str, added: bool) -> Change:
    return Change(ChangeKind.ADDED if added else ChangeKind.REMOVED, entry_type, name)


def _field_change(entry_type: str, name: str, field: str, old: Any, new: Any) -> Change:
    return Change(
        ChangeKind.CHANGED, entry_type, name, field, _format(old), _format(new)
    )


def _format(value: Any) -> str:
    if isinstance(value, list):
        return "[" + ", ".join(_format(item) for item in value) + "]"
    if isinstance(value, dict):
        # The id identifies a credential; its hash would only lengthen the line.
        pairs = (f"{k}={_format(v)}" for k, v in value.items() if k != "sha256")
        return "{" + " ".join(pairs) + "}"
    return format_value(value)
