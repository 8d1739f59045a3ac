"""The worlds and the request kinds of the overhead benchmark."""

from dataclasses import dataclass, replace

from cicadapass_bench.loadclient import LoadSpec
from cicadapass_bench.world import GRABHANDLE, WorldPlan

ENGINES = 5
ENGINES_WITH_COPIES = 2
SERVICES = 2
SLOTS = 400
# Engine speed at slowdown 1.
TOKENS_PER_S = 50.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Describe a short request: its load through the node and directly upstream."""

    name: str
    through_node: LoadSpec
    direct: LoadSpec


def replace_both(kind: RequestKind, **changes: float) -> RequestKind:
    """Return the kind with the same changes to both loads."""
    return replace(
        kind,
        through_node=replace(kind.through_node, **changes),  # type: ignore[arg-type]
        direct=replace(kind.direct, **changes),  # type: ignore[arg-type]
    )


def plan_world(*, copies: bool = False) -> WorldPlan:
    """Return a world of one node with enough upstreams that the node is the bottleneck.

    With copies, two more nodes store the copies that the first one sends.
    """
    fleet = replace(
        GRABHANDLE, data_centres=("dc-a",), engines=ENGINES, services=SERVICES
    )
    if copies:
        fleet = replace(GRABHANDLE, engines=ENGINES_WITH_COPIES)
    return WorldPlan(
        fleets=(fleet,),
        engine_slots=SLOTS,
        service_slots=SLOTS,
        engine_options=(
            *("--tokens-per-s", str(TOKENS_PER_S)),
            *("--batch-cost", "0", "--threads", "700"),
        ),
        rules={"durability": {"copies": copies}},
    )
