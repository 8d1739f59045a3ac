"""Plan the VMs of a data centre: purchases, role changes and returns."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from cicadapass_decisions.policy import CostRules


@dataclass(frozen=True, slots=True, order=True)
class Market:
    """Identify a zone and machine class in which VMs are sold."""

    zone: str
    machine_class: str
    reclaimable: bool


@dataclass(frozen=True, slots=True)
class Offer:
    """Describe the VMs of one market; `reclaim_risk` is the probability per hour."""

    market: Market
    slots: int
    price_per_hour: float
    reclaim_risk: float = 0.0
    available: int = 1_000_000


@dataclass(frozen=True, slots=True)
class RunningVm:
    """Describe a running upstream VM; `unneeded_since_s` is None while it is needed."""

    name: str
    market: Market
    slots: int
    price_per_hour: float
    service: str
    leaving: bool = False
    running_requests: int = 0
    unneeded_since_s: float | None = None


@dataclass(frozen=True, slots=True)
class Demand:
    """State how many concurrent requests one service must be able to run."""

    service: str
    concurrency: float


@dataclass(frozen=True, slots=True)
class Backoff:
    """Track the consecutive refused starts of one market and the end of its pause."""

    refusals: int
    until_s: float


@dataclass(frozen=True, slots=True)
class Purchase:
    """Order VMs of one market for one service."""

    market: Market
    service: str
    count: int


@dataclass(frozen=True, slots=True)
class RoleChange:
    """Order a running engine to load the model of another service."""

    vm: str
    service: str


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """List the orders, the unneeded VMs and the slots that no offer provides."""

    purchases: tuple[Purchase, ...] = ()
    role_changes: tuple[RoleChange, ...] = ()
    returns: tuple[str, ...] = ()
    unneeded: frozenset[str] = frozenset()
    missing_slots: Mapping[str, int] | None = None


def on_start_refused(
    backoff: Backoff | None, now_s: float, rules: CostRules
) -> Backoff:
    """Return the backoff of a market after another refused start."""
    refusals = backoff.refusals + 1 if backoff else 1
    pause_s = rules.refused_backoff_s * 2.0 ** min(refusals - 1, 30)
    return Backoff(refusals, now_s + min(pause_s, rules.refused_backoff_max_s))


def plan_fleet(
    demands: Sequence[Demand],
    vms: Sequence[RunningVm],
    offers: Sequence[Offer],
    backoffs: Mapping[Market, Backoff],
    now_s: float,
    rules: CostRules,
) -> FleetPlan:
    """Return the cheapest orders that meet the demand with the spare capacity.

    Unneeded engines change their role before VMs are bought; a VM is returned only
    when it is idle and has been unneeded for `shrink_after_s`.
    """
    targets = {
        demand.service: target_slots(demand.concurrency, rules) for demand in demands
    }
    live = [vm for vm in vms if not vm.leaving]
    surplus = _surplus(targets, live, rules)
    role_changes, shortfalls = _change_roles(targets, live, surplus)
    reassigned = {change.vm for change in role_changes}
    usable = [offer for offer in offers if _usable(offer, backoffs, now_s)]
    purchases: list[Purchase] = []
    missing_slots: dict[str, int] = {}
    for service in sorted(targets):
        on_demand = _on_demand_shortfall(service, targets, live, rules)
        # Reclaimable slots do not count towards the required on-demand slots.
        slots = max(shortfalls.get(service, 0), on_demand)
        bought, unmet, usable = _buy(service, slots, on_demand, usable)
        purchases += bought
        if unmet > 0:
            missing_slots[service] = unmet
    unneeded = frozenset(vm.name for vm in surplus if vm.name not in reassigned)
    returns = tuple(
        vm.name
        for vm in surplus
        if vm.name in unneeded and _is_returnable(vm, now_s, rules)
    )
    return FleetPlan(tuple(purchases), role_changes, returns, unneeded, missing_slots)


def target_slots(concurrency: float, rules: CostRules) -> int:
    """Return the slots for the concurrency, including the spare for reclaims."""
    if concurrency <= 0:
        return 0
    slots = concurrency / rules.target_utilisation
    return math.ceil(slots * (1.0 + rules.reclaim_spare_ratio) - 1e-9)


def _surplus(
    targets: Mapping[str, int], live: Sequence[RunningVm], rules: CostRules
) -> list[RunningVm]:
    """Return the VMs that the demand does not need, most expensive first."""
    slots: dict[str, int] = {}
    on_demand: dict[str, int] = {}
    for vm in live:
        slots[vm.service] = slots.get(vm.service, 0) + vm.slots
        if not vm.market.reclaimable:
            on_demand[vm.service] = on_demand.get(vm.service, 0) + vm.slots
    surplus = []
    for vm in sorted(live, key=lambda vm: (-vm.price_per_hour / vm.slots, vm.name)):
        target = targets.get(vm.service, 0)
        min_on_demand = math.ceil(target * rules.min_on_demand_ratio)
        if slots[vm.service] - vm.slots < target:
            continue
        if not vm.market.reclaimable:
            if on_demand[vm.service] - vm.slots < min_on_demand:
                continue
            on_demand[vm.service] -= vm.slots
        slots[vm.service] -= vm.slots
        surplus.append(vm)
    return surplus


def _change_roles(
    targets: Mapping[str, int], live: Sequence[RunningVm], surplus: Sequence[RunningVm]
) -> tuple[tuple[RoleChange, ...], dict[str, int]]:
    """Return the role changes of idle surplus VMs and the remaining shortfalls."""
    shortfalls = {
        service: slots - sum(vm.slots for vm in live if vm.service == service)
        for service, slots in targets.items()
    }
    changes = []
    # The cheapest surplus VMs get another role; the most expensive are returned.
    for vm in reversed(surplus):
        neediest = max(
            sorted(shortfalls), key=lambda service: shortfalls[service], default=None
        )
        if neediest is None or shortfalls[neediest] <= 0:
            break
        if vm.running_requests or neediest == vm.service:
            continue
        changes.append(RoleChange(vm.name, neediest))
        shortfalls[neediest] -= vm.slots
    return tuple(changes), {
        service: slots for service, slots in shortfalls.items() if slots > 0
    }


def _on_demand_shortfall(
    service: str,
    targets: Mapping[str, int],
    live: Sequence[RunningVm],
    rules: CostRules,
) -> int:
    required = math.ceil(targets[service] * rules.min_on_demand_ratio)
    available = sum(
        vm.slots for vm in live if vm.service == service and not vm.market.reclaimable
    )
    return max(0, required - available)


def _usable(offer: Offer, backoffs: Mapping[Market, Backoff], now_s: float) -> bool:
    backoff = backoffs.get(offer.market)
    return offer.available > 0 and (backoff is None or backoff.until_s <= now_s)


def _price(offer: Offer) -> float:
    # A reclaimed VM is paid for the whole hour but loses half of it on average.
    return offer.price_per_hour / offer.slots / max(0.01, 1.0 - offer.reclaim_risk / 2)


def _buy(
    service: str, slots: int, on_demand: int, offers: Sequence[Offer]
) -> tuple[list[Purchase], int, list[Offer]]:
    """Buy the cheapest slots, of which `on_demand` must not be reclaimable.

    Return the purchases, the slots that no offer provides and the remaining offers.
    """
    purchases: list[Purchase] = []
    unmet = slots
    remaining_offers: list[Offer] = []
    for offer in sorted(
        offers, key=lambda offer: (offer.market.reclaimable, _price(offer))
    ):
        quota = min(on_demand, unmet) if not offer.market.reclaimable else 0
        count = min(offer.available, math.ceil(quota / offer.slots))
        if count:
            purchases.append(Purchase(offer.market, service, count))
            unmet -= count * offer.slots
            on_demand -= count * offer.slots
        remaining_offers.append(replace(offer, available=offer.available - count))
    final_offers: list[Offer] = []
    for offer in sorted(
        remaining_offers, key=lambda offer: (_price(offer), offer.market)
    ):
        count = min(offer.available, math.ceil(max(0, unmet) / offer.slots))
        if count:
            purchases.append(Purchase(offer.market, service, count))
            unmet -= count * offer.slots
        final_offers.append(replace(offer, available=offer.available - count))
    return purchases, max(0, unmet), final_offers


def _is_returnable(vm: RunningVm, now_s: float, rules: CostRules) -> bool:
    if vm.running_requests or vm.unneeded_since_s is None:
        return False
    return now_s - vm.unneeded_since_s >= rules.shrink_after_s
