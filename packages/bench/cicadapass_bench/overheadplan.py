"""The worlds and the kinds of requests that the overhead is measured with."""

from dataclasses import dataclass, replace

from cicadapass_bench.loadclient import LoadSpec
from cicadapass_bench.world import GRABHANDLE, WorldPlan

ENGINES = 5
ENGINES_WITH_COPIES = 2
SERVICES = 2
SLOTS = 400
# The engines run at this speed; a slowdown below 1 makes them faster.
TOKENS_PER_S = 50.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Hold one kind of short request, through the node and direct."""

    name: str
    through_node: LoadSpec
    direct: LoadSpec


def replace_both(kind: RequestKind, **changes: float) -> RequestKind:
    """Return the kind with both loads changed alike."""
    return replace(
        kind,
        through_node=replace(kind.through_node, **changes),  # type: ignore[arg-type]
        direct=replace(kind.direct, **changes),  # type: ignore[arg-type]
    )


def plan_world(*, copies: bool = False) -> WorldPlan:
    """Return a node with enough upstreams that these do not limit.

    With copies, two more nodes hold what the first one sends them.
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
