"""Check what a schema cannot: references and entries that must be unique."""

import re
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import urlsplit

from cicadapass_decisions.problems import Problem, pointer, show
from cicadapass_decisions.rule_sections import rule_order_problems

# URLs of this form need no further check; parsing each takes 15 ms for 1,400.
_SIMPLE_URL = re.compile(r"https?://[A-Za-z0-9.-]+(:[1-9][0-9]{0,3})?/?")
# (place of the entry, key that must be unique), in the order of the document.
_Keyed = Iterator[tuple[str, str]]


def reference_problems(document: Any) -> tuple[Problem, ...]:
    """Return the mistakes between entries; malformed entries are passed over."""
    found: list[Problem] = []
    for fleet_name, fleet in _entries(document, "fleets"):
        place = pointer("fleets", fleet_name)
        found.extend(_upstream_problems(place, fleet))
        for name, service in _entries(fleet, "services"):
            at = place + pointer("services", name)
            found.extend(_repeats(_calls(at, service), "change or remove the call"))
        for name, workspace in _entries(fleet, "workspaces"):
            at = place + pointer("workspaces", name)
            ids = _credentials(at, workspace, "id")
            found.extend(_repeats(ids, "give each credential its own id"))
    remedy = "give the credential to one workspace; create another for the second"
    found.extend(_repeats(_all_hashes(document), remedy))
    found.extend(_repeats(_urls(document), "give each upstream its own URL"))
    if isinstance(document, dict):
        found.extend(rule_order_problems(document.get("rules")))
    return tuple(found)


def _entries(parent: Any, key: str) -> list[tuple[str, dict[str, Any]]]:
    """Return the entries of a map that are objects themselves."""
    children = parent.get(key) if isinstance(parent, dict) else None
    if not isinstance(children, dict):
        return []
    return [
        (name, item)
        for name, item in children.items()
        if isinstance(name, str) and isinstance(item, dict)
    ]


def _items(parent: dict[str, Any], key: str) -> Iterator[tuple[int, dict[str, Any]]]:
    children = parent.get(key)
    for at, item in enumerate(children if isinstance(children, list) else []):
        if isinstance(item, dict):
            yield at, item


def _upstream_problems(place: str, fleet: dict[str, Any]) -> Iterator[Problem]:
    services = {name for name, _ in _entries(fleet, "services")}
    data_centres = {name for name, _ in _entries(fleet, "data_centres")}
    for name, upstream in _entries(fleet, "upstreams"):
        at = place + pointer("upstreams", name)
        yield from _known(at, upstream, "service", services)
        yield from _known(at, upstream, "data_centre", data_centres)
        yield from _port(at, upstream)


def _known(
    place: str, upstream: dict[str, Any], key: str, names: set[str]
) -> Iterator[Problem]:
    value = upstream.get(key)
    if not isinstance(value, str) or value in names:
        return
    thing = key.replace("_", " ")
    allowed = "one of " + ", ".join(sorted(names)) if names else "none is listed"
    remedy = f"list the {thing} in the same fleet or name another"
    yield Problem(f"{place}/{key}", show(value), allowed, remedy)


def _port(place: str, upstream: dict[str, Any]) -> Iterator[Problem]:
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
        yield Problem(f"{place}/url", show(value), allowed, "correct the URL")


def _repeats(keyed: _Keyed, remedy: str) -> Iterator[Problem]:
    first: dict[str, str] = {}
    for place, key in keyed:
        if key in first:
            yield Problem(place, f"the same as {first[key]}", "a unique value", remedy)
        first.setdefault(key, place)


def _calls(place: str, service: dict[str, Any]) -> _Keyed:
    for at, call in _items(service, "calls"):
        yield f"{place}/calls/{at}", f"{call.get('method')} {call.get('path')}"


def _credentials(place: str, workspace: dict[str, Any], key: str) -> _Keyed:
    for at, credential in _items(workspace, "credentials"):
        value = credential.get(key)
        if isinstance(value, str):
            yield f"{place}/credentials/{at}/{key}", value


def _all_hashes(document: Any) -> _Keyed:
    yield from _each(
        document, "workspaces", lambda at, each: _credentials(at, each, "sha256")
    )


def _urls(document: Any) -> _Keyed:
    yield from _each(document, "upstreams", _url)


def _url(place: str, upstream: dict[str, Any]) -> _Keyed:
    if isinstance(upstream.get("url"), str):
        yield f"{place}/url", upstream["url"].rstrip("/")


def _each(
    document: Any, key: str, keyed: Callable[[str, dict[str, Any]], _Keyed]
) -> _Keyed:
    for fleet_name, fleet in _entries(document, "fleets"):
        for name, entry in _entries(fleet, key):
            yield from keyed(pointer("fleets", fleet_name, key, name), entry)
