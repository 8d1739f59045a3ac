"""Derive upstream settings and workspace weights from the inventory in force."""

from cicadapass.upstreamtable import SetUpstreams, UpstreamConfig
from cicadapass_decisions.inventory import Inventory, ServiceKind, Upstream

# Assumed probability that a reclaimable VM is reclaimed within an hour.
RECLAIM_RISK_PER_HOUR = 0.1


def weights_of(inventory: Inventory) -> dict[str, float]:
    """Return the weight of each workspace by its qualified name."""
    return {
        workspace.qualified_name: workspace.weight
        for fleet in inventory.fleets.values()
        for workspace in fleet.workspaces.values()
    }


def upstreams_of(inventory: Inventory, fleet: str, data_centre: str) -> SetUpstreams:
    """Return the upstreams with hop times relative to this data centre."""
    configs = [
        _upstream_config(inventory, upstream, fleet, data_centre)
        for upstream in inventory.all_upstreams()
    ]
    return SetUpstreams(tuple(configs), inventory.rules.policy)


def _upstream_config(
    inventory: Inventory, upstream: Upstream, fleet: str, data_centre: str
) -> UpstreamConfig:
    service = inventory.service(upstream.fleet, upstream.service)
    upstream_data_centre = inventory.fleets[upstream.fleet].data_centres[
        upstream.data_centre
    ]
    local = (upstream.fleet, upstream.data_centre) == (fleet, data_centre)
    return UpstreamConfig(
        name=upstream.qualified_name,
        service=f"{upstream.fleet}/{upstream.service}",
        data_centre=upstream_data_centre.qualified_name,
        url=upstream.url,
        slots=upstream.slots,
        plain=service is not None and service.kind is ServiceKind.PLAIN,
        hop_s=0.0 if local else upstream_data_centre.hop_ms / 1000,
        price_per_hour=upstream.price_per_hour,
        reclaim_risk=RECLAIM_RISK_PER_HOUR if upstream.reclaimable else 0.0,
    )
