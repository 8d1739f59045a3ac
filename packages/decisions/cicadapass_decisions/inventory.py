"""The inventory as immutable data, with the lookups that the node needs."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, TypeVar

from expression import Error, Ok, Result

from cicadapass_decisions.callrules import CallRule, is_repeatable
from cicadapass_decisions.problems import Problem, parse_json, schema_problems
from cicadapass_decisions.references import reference_problems
from cicadapass_decisions.rule_sections import Rules, read_rules
from cicadapass_decisions.schema import accepts_inventory, inventory_validator
from cicadapass_decisions.types import qualify

R = TypeVar("R")
# The key of a service, an upstream or a workspace: fleet and short name.
Key = tuple[str, str]


class ServiceKind(StrEnum):
    """Distinguish services of model engines from plain HTTP services."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class _Named:
    fleet: str
    name: str

    @property
    def qualified_name(self) -> str:
        """Return the name in the form `fleet/name`."""
        return qualify(self.fleet, self.name)


@dataclass(frozen=True, slots=True)
class DataCentre(_Named):
    """Describe a data centre of a fleet; its times are one-way delays."""

    region: str
    hop_ms: float
    client_ms: float


@dataclass(frozen=True, slots=True)
class Service(_Named):
    """Describe a service of a fleet; `calls` are rules of a plain service."""

    kind: ServiceKind
    model: str | None
    calls: tuple[CallRule, ...]

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a plain call may be repeated when its effect is unknown."""
        return is_repeatable(self.calls, method, path)


@dataclass(frozen=True, slots=True)
class Upstream(_Named):
    """Describe a model engine or an instance of a plain service."""

    service: str
    data_centre: str
    url: str
    slots: int
    machine_class: str
    reclaimable: bool
    price_per_hour: float
    checks_fencing: bool
    deduplicates: bool


@dataclass(frozen=True, slots=True)
class Credential:
    """Identify a credential by its id and SHA-256 in lower-case hexadecimal."""

    id: str
    sha256: str


@dataclass(frozen=True, slots=True)
class Workspace(_Named):
    """Describe a group of callers; `weight` is its share relative to the others."""

    weight: float
    max_priority: int
    credentials: tuple[Credential, ...]


@dataclass(frozen=True, slots=True)
class Principal:
    """Identify the workspace and the credential of a caller."""

    workspace: Workspace
    credential_id: str


@dataclass(frozen=True, slots=True)
class Fleet:
    """Group the entries of one fleet by short name."""

    name: str
    region: str
    data_centres: Mapping[str, DataCentre]
    services: Mapping[str, Service]
    upstreams: Mapping[str, Upstream]
    workspaces: Mapping[str, Workspace]


@dataclass(frozen=True, slots=True)
class Inventory:
    """Represent a valid inventory; short names are looked up within their fleet."""

    fleets: Mapping[str, Fleet]
    rules: Rules
    _principals: Mapping[str, Principal] = field(repr=False, compare=False)
    _by_service: Mapping[Key, tuple[Upstream, ...]] = field(repr=False, compare=False)

    def principal(self, sha256: str) -> Principal | None:
        """Return the owner of the credential with this SHA-256, or None."""
        return self._principals.get(sha256)

    def service(self, fleet: str, name: str) -> Service | None:
        """Return a service of a fleet, or None if it is not listed."""
        fleet_entries = self.fleets.get(fleet)
        return fleet_entries.services.get(name) if fleet_entries else None

    def upstreams(self, fleet: str, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service, sorted by name."""
        return self._by_service.get((fleet, service), ())

    def all_upstreams(self) -> tuple[Upstream, ...]:
        """Return the upstreams of all fleets."""
        fleets = self.fleets.values()
        return tuple(
            upstream for fleet in fleets for upstream in fleet.upstreams.values()
        )

    def data_centres(self) -> tuple[DataCentre, ...]:
        """Return the data centres of all fleets."""
        fleets = self.fleets.values()
        return tuple(
            data_centre
            for fleet in fleets
            for data_centre in fleet.data_centres.values()
        )


# The inventory in force before the first publish.
EMPTY_INVENTORY = Inventory({}, read_rules({}), {}, {})


def parse_inventory(document: Any) -> Result[Inventory, tuple[Problem, ...]]:
    """Return the inventory, or all mistakes of the document."""
    problems = inventory_problems(document)
    return Error(problems) if problems else Ok(_build(document))


def parse_inventory_text(text: str | bytes) -> Result[Inventory, tuple[Problem, ...]]:
    """Parse JSON text; repeated keys are mistakes too, which a dict cannot show."""
    return parse_json(text).bind(parse_inventory)


def inventory_problems(document: Any) -> tuple[Problem, ...]:
    """Return all mistakes of the document, sorted by path; empty if it is valid."""
    problems: tuple[Problem, ...] = ()
    if not accepts_inventory(document):
        problems = schema_problems(inventory_validator.iter_errors, document)
    return tuple(sorted({*problems, *reference_problems(document)}))


def _build(document: dict[str, Any]) -> Inventory:
    fleets = {name: _fleet(name, fleet) for name, fleet in document["fleets"].items()}
    return Inventory(
        fleets,
        read_rules(document.get("rules", {})),
        _principals_of(fleets.values()),
        _upstreams_of(fleets.values()),
    )


def _fleet(name: str, document: dict[str, Any]) -> Fleet:
    region = document["region"]
    return Fleet(
        name,
        region,
        {
            key: _data_centre(name, key, region, entry)
            for key, entry in document["data_centres"].items()
        },
        {
            key: _service(name, key, entry)
            for key, entry in document["services"].items()
        },
        {
            key: _upstream(name, key, entry)
            for key, entry in document["upstreams"].items()
        },
        {
            key: _workspace(name, key, entry)
            for key, entry in document["workspaces"].items()
        },
    )


def _data_centre(
    fleet: str, name: str, region: str, document: dict[str, Any]
) -> DataCentre:
    hop_ms, client_ms = float(document["hop_ms"]), float(document["client_ms"])
    return DataCentre(fleet, name, document.get("region", region), hop_ms, client_ms)


def _service(fleet: str, name: str, document: dict[str, Any]) -> Service:
    calls = (
        CallRule(call["method"], call["path"], call["repeatable"])
        for call in document.get("calls", ())
    )
    kind = ServiceKind(document["kind"])
    return Service(fleet, name, kind, document.get("model"), tuple(calls))


def _upstream(fleet: str, name: str, document: dict[str, Any]) -> Upstream:
    return Upstream(
        fleet,
        name,
        service=document["service"],
        data_centre=document["data_centre"],
        url=document["url"].rstrip("/"),
        slots=int(document["slots"]),
        machine_class=document.get("class", "standard"),
        reclaimable=document.get("reclaimable", False),
        price_per_hour=float(document.get("price_per_hour", 0)),
        checks_fencing=document.get("checks_fencing", False),
        deduplicates=document.get("deduplicates", False),
    )


def _workspace(fleet: str, name: str, document: dict[str, Any]) -> Workspace:
    credentials = (
        Credential(credential["id"], credential["sha256"])
        for credential in document["credentials"]
    )
    return Workspace(
        fleet,
        name,
        float(document["weight"]),
        int(document["max_priority"]),
        tuple(credentials),
    )


def _principals_of(fleets: Iterable[Fleet]) -> dict[str, Principal]:
    workspaces = (
        workspace for fleet in fleets for workspace in fleet.workspaces.values()
    )
    return {
        credential.sha256: Principal(workspace, credential.id)
        for workspace in workspaces
        for credential in workspace.credentials
    }


def _upstreams_of(fleets: Iterable[Fleet]) -> dict[Key, tuple[Upstream, ...]]:
    grouped: dict[Key, list[Upstream]] = {}
    for fleet in fleets:
        for _, upstream in sorted(fleet.upstreams.items()):
            grouped.setdefault((fleet.name, upstream.service), []).append(upstream)
    return {key: tuple(upstreams) for key, upstreams in grouped.items()}
