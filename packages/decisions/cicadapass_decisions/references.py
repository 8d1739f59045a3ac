"""Check what a schema cannot express: references and unique entries."""

import re
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import urlsplit

from cicadapass_decisions.problems import Problem, format_value, pointer
from cicadapass_decisions.rule_sections import rule_order_problems

# URLs of this form are valid without parsing, which takes 15 ms for 1,400 URLs.
_SIMPLE_URL = re.compile(r"https?://[A-Za-z0-9.-]+(:[1-9][0-9]{0,3})?/?")
# Pairs of an entry's path and its key, which must be unique, in document order.
_LocatedKeys = Iterator[tuple[str, str]]


def reference_problems(document: Any) -> tuple[Problem, ...]:
    """Return the mistakes between entries; malformed entries are ignored."""
    problems: list[Problem] = []
    for fleet_name, fleet in _object_entries(document, "fleets"):
        fleet_path = pointer("fleets", fleet_name)
        problems.extend(_upstream_problems(fleet_path, fleet))
        for name, service in _object_entries(fleet, "services"):
            entry_path = fleet_path + pointer("services", name)
            problems.extend(
                _duplicate_problems(
                    _call_keys(entry_path, service), "change or remove the call"
                )
            )
        for name, workspace in _object_entries(fleet, "workspaces"):
            entry_path = fleet_path + pointer("workspaces", name)
            ids = _credential_keys(entry_path, workspace, "id")
            problems.extend(_duplicate_problems(ids, "give each credential its own id"))
    remedy = "give the credential to one workspace; create another for the second"
    problems.extend(_duplicate_problems(_credential_hashes(document), remedy))
    problems.extend(
        _duplicate_problems(_url_keys(document), "give each upstream its own URL")
    )
    if isinstance(document, dict):
        problems.extend(rule_order_problems(document.get("rules")))
    return tuple(problems)


def _object_entries(parent: Any, key: str) -> list[tuple[str, dict[str, Any]]]:
    """Return the entries of an object whose values are objects too."""
    children = parent.get(key) if isinstance(parent, dict) else None
    if not isinstance(children, dict):
        return []
    return [
        (name, item)
        for name, item in children.items()
        if isinstance(name, str) and isinstance(item, dict)
    ]


def _object_items(
    parent: dict[str, Any], key: str
) -> Iterator[tuple[int, dict[str, Any]]]:
    children = parent.get(key)
    for index, item in enumerate(children if isinstance(children, list) else []):
        if isinstance(item, dict):
            yield index, item


def _upstream_problems(fleet_path: str, fleet: dict[str, Any]) -> Iterator[Problem]:
    services = {name for name, _ in _object_entries(fleet, "services")}
    data_centres = {name for name, _ in _object_entries(fleet, "data_centres")}
    for name, upstream in _object_entries(fleet, "upstreams"):
        entry_path = fleet_path + pointer("upstreams", name)
        yield from _unknown_name_problems(entry_path, upstream, "service", services)
        yield from _unknown_name_problems(
            entry_path, upstream, "data_centre", data_centres
        )
        yield from _url_problems(entry_path, upstream)


def _unknown_name_problems(
    path: str, upstream: dict[str, Any], key: str, names: set[str]
) -> Iterator[Problem]:
    value = upstream.get(key)
    if not isinstance(value, str) or value in names:
        return
    entry_type = key.replace("_", " ")
    allowed = "one of " + ", ".join(sorted(names)) if names else "none is listed"
    remedy = f"list the {entry_type} in the same fleet or name another"
    yield Problem(f"{path}/{key}", format_value(value), allowed, remedy)


def _url_problems(path: str, upstream: dict[str, Any]) -> Iterator[Problem]:
    value = upstream.get("url")
    if not isinstance(value, str) or _SIMPLE_URL.fullmatch(value):
        return
    try:
        parts = urlsplit(value)
        valid = bool(parts.hostname) and parts.port != 0
    except ValueError:
        valid = False
    if not valid:
        allowed = "a URL with a host and, if any, a port from 1 to 65535"
        yield Problem(f"{path}/url", format_value(value), allowed, "correct the URL")


def _duplicate_problems(located_keys: _LocatedKeys, remedy: str) -> Iterator[Problem]:
    first_paths: dict[str, str] = {}
    for path, key in located_keys:
        if key in first_paths:
            yield Problem(
                path, f"the same as {first_paths[key]}", "a unique value", remedy
            )
        first_paths.setdefault(key, path)


def _call_keys(path: str, service: dict[str, Any]) -> _LocatedKeys:
    for index, call in _object_items(service, "calls"):
        yield f"{path}/calls/{index}", f"{call.get('method')} {call.get('path')}"


def _credential_keys(path: str, workspace: dict[str, Any], key: str) -> _LocatedKeys:
    for index, credential in _object_items(workspace, "credentials"):
        value = credential.get(key)
        if isinstance(value, str):
            yield f"{path}/credentials/{index}/{key}", value


def _credential_hashes(document: Any) -> _LocatedKeys:
    yield from _keys_of_all(
        document,
        "workspaces",
        lambda path, workspace: _credential_keys(path, workspace, "sha256"),
    )


def _url_keys(document: Any) -> _LocatedKeys:
    yield from _keys_of_all(document, "upstreams", _url_key)


def _url_key(path: str, upstream: dict[str, Any]) -> _LocatedKeys:
    if isinstance(upstream.get("url"), str):
        yield f"{path}/url", upstream["url"].rstrip("/")


def _keys_of_all(
    document: Any, key: str, keys_of: Callable[[str, dict[str, Any]], _LocatedKeys]
) -> _LocatedKeys:
    for fleet_name, fleet in _object_entries(document, "fleets"):
        for name, entry in _object_entries(fleet, key):
            yield from keys_of(pointer("fleets", fleet_name, key, name), entry)
