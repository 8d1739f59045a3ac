"""Define the processes of a system and build its inventory document."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from cicadapass_bench.processes import Process
from cicadapass_common.credentials import hash_credential


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Describe a fleet; the counts are processes per data centre."""

    name: str
    region: str
    data_centres: tuple[str, ...]
    nodes: int
    engines: int
    services: int
    model_service: str
    plain_service: str
    workspaces: tuple[str, ...] = ("counter", "bulk")
    hop_ms: float = 1.2


@dataclass(frozen=True, slots=True)
class WorldPlan:
    """Describe the fleets, process options, rules and settings of a system."""

    fleets: tuple[FleetPlan, ...]
    engine_options: tuple[str, ...] = ("--tokens-per-s", "500")
    service_options: tuple[str, ...] = ()
    log_options: tuple[str, ...] = ()
    engine_slots: int = 8
    service_slots: int = 8
    rules: Mapping[str, Any] = field(default_factory=dict)
    node_settings: Mapping[str, Any] = field(default_factory=dict)


GRABHANDLE = FleetPlan(
    "grabhandle", "eu-west", ("dc-a", "dc-b", "dc-c"), 1, 1, 1, "parts", "orders"
)
KLASITE = FleetPlan(
    "klasite", "lv-central", ("dc-a", "dc-b", "dc-c"), 1, 1, 1, "layouts", "orders"
)


@dataclass(frozen=True, slots=True)
class NodeProcess:
    """Represent a running node and its location."""

    name: str
    fleet: str
    data_centre: str
    process: Process

    @property
    def callers_url(self) -> str:
        """Return the base URL for callers."""
        return str(self.process.addresses["callers_url"])

    @property
    def operators_url(self) -> str:
        """Return the base URL for operators."""
        return str(self.process.addresses["operators_url"])


@dataclass(frozen=True, slots=True)
class UpstreamProcess:
    """Represent a running upstream and its location."""

    name: str
    fleet: str
    data_centre: str
    service: str
    process: Process

    @property
    def url(self) -> str:
        """Return the base URL of the upstream."""
        return str(self.process.addresses["url"])


def small_plan(**changes: Any) -> WorldPlan:
    """Return a plan of one fleet in three data centres, with these fields changed."""
    return replace(WorldPlan(fleets=(GRABHANDLE,)), **changes)


def credential_of(fleet: str, workspace: str) -> str:
    """Return the callers' credential of a workspace."""
    return f"bench-{fleet}-{workspace}-credential"


def fleet_document(
    world_plan: WorldPlan, plan: FleetPlan, upstreams: Sequence[UpstreamProcess]
) -> dict[str, Any]:
    """Return the entry of a fleet in the inventory document."""
    return {
        "region": plan.region,
        "data_centres": {
            name: {"hop_ms": plan.hop_ms, "client_ms": 2 * plan.hop_ms}
            for name in plan.data_centres
        },
        "services": {
            plan.model_service: {
                "kind": "model",
                "model": f"{plan.model_service}-1",
            },
            plan.plain_service: {"kind": "plain"},
        },
        "upstreams": {
            upstream.name: {
                "service": upstream.service,
                "data_centre": upstream.data_centre,
                "url": upstream.url,
                "slots": _slots_of(world_plan, plan, upstream),
            }
            for upstream in upstreams
            if upstream.fleet == plan.name
        },
        "workspaces": {
            name: {
                "weight": 1,
                "max_priority": 9,
                "credentials": [
                    {
                        "id": "k1",
                        "sha256": hash_credential(credential_of(plan.name, name)),
                    }
                ],
            }
            for name in plan.workspaces
        },
    }


def _slots_of(world_plan: WorldPlan, plan: FleetPlan, upstream: UpstreamProcess) -> int:
    if upstream.service == plan.model_service:
        return world_plan.engine_slots
    return world_plan.service_slots
