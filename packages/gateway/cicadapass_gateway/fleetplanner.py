"""Track the orders of engines and plan the next ones."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from cicadapass_decisions.dutylease import DutyRecord, EngineClass
from cicadapass_decisions.enginefleet import (
    PEAK_HOLD_S,
    REFUSAL_RETRY_S,
    SCARCITY_S,
    SHRINK_AFTER_S,
    CurrentEngines,
    EngineDemand,
    EngineTargets,
    RequiredEngines,
    engines_for_prefill,
    plan_engines,
    required_engines,
)
from cicadapass_decisions.passthrough import Scaling, Service, UpstreamRecord
from cicadapass_decisions.upstreammeter import INITIAL_PREFILL_S_PER_TOKEN
from cicadapass_gateway.adapterapi import EngineOrder
from cicadapass_gateway.nodestate import NodeState

# A confirmed order is placed again if engines are still missing after this time, which
# covers the boot time of an engine.
REORDER_AFTER_S = 5.5
# Until demand has lasted this long, the engines present at the start are all required.
INITIAL_DEMAND_S = 6.0
# When everything starts at once, engines announce themselves one after another. Without
# demand, none is released until their number has not grown for this long.
ANNOUNCE_SETTLE_S = 2.5
# Before its first demand, a service has engines for this fraction of the rate limits of
# the workspaces: engines boot too slowly for a load that starts at once, and limits are
# usually about twice the typical use.
EXPECTED_LIMIT_FRACTION = 0.5
# Rate limits size the fleet for at most this long after the start.
STARTUP_S = 60.0
# Below this demand, about one short prompt per second, releasing an engine interrupts
# no requests.
IDLE_TOKENS_PER_S = 1000.0
# Upper bound of the measured prefill time per token, as a multiple of the initial
# estimate, which is the lower bound.
MAX_PREFILL_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class _ConfirmedOrder:
    count: int
    confirmed_s: float


class FleetPlanner:
    """Plan the number of engines of each scalable service."""

    def __init__(
        self,
        state: NodeState,
        demand: Callable[[str], float],
        registry_ok: Callable[[], bool],
    ) -> None:
        self._state = state
        self._tokens_per_s = demand
        self._registry_ok = registry_ok
        self._confirmed: dict[EngineClass, _ConfirmedOrder] = {}
        self._refused_at_s: dict[EngineClass, float] = {}
        self._peaks: dict[str, tuple[RequiredEngines, float]] = {}
        self._initial_engines: dict[str, int] = {}
        self._expected_engines: dict[str, int] = {}
        self._first_planned_s: dict[str, float] = {}
        self._last_growth_s: dict[str, float] = {}
        self._first_demand_s: dict[str, float] = {}
        self._lower_since_s: dict[EngineClass, float] = {}

    def reset(self) -> None:
        """Discard the confirmations of a lease that ended."""
        self._confirmed.clear()

    def plan(self, record: DutyRecord) -> DutyRecord:
        """Return the record with the target orders, if the registry can be read."""
        configuration = self._state.configuration
        if configuration is None or not self._registry_ok():
            return record
        orders = dict(record.orders)
        for service in configuration.services.values():
            if service.scaling is None:
                continue
            if not self._state.rollouts.fixes_fleet(service.name):
                self._plan_service(service, orders)
        if orders == dict(record.orders):
            return record
        return replace(record, orders=orders)

    def unconfirmed_orders(self, record: DutyRecord) -> list[EngineOrder]:
        """Return the orders to place, those for the most engines first."""
        now_s = self._state.clock()
        orders = []
        for engines, count in record.orders.items():
            if not self._can_be_ordered(engines):
                continue
            confirmed = self._confirmed.get(engines)
            if confirmed is not None and confirmed.count == count:
                continue
            if now_s - self._refused_at_s.get(engines, -1e9) < REFUSAL_RETRY_S:
                continue
            orders.append(
                EngineOrder(
                    engines.service, engines.data_centre, count, engines.reclaimable
                )
            )
        return sorted(orders, key=lambda order: -order.count)

    def record_confirmed(self, order: EngineOrder) -> None:
        """Record an order that the platform accepted."""
        now_s = self._state.clock()
        self._confirmed[order.engine_class] = _ConfirmedOrder(order.count, now_s)

    def record_refused(self, order: EngineOrder) -> None:
        """Record a refusal; the order is not placed again for `REFUSAL_RETRY_S`."""
        self._refused_at_s[order.engine_class] = self._state.clock()

    def _plan_service(self, service: Service, orders: dict[EngineClass, int]) -> None:
        assert service.scaling is not None
        now_s = self._state.clock()
        current = self._current_engines(service, now_s)
        if not current:
            return
        required = self._required_engines(service, len(current), now_s)
        targets = plan_engines(service.scaling, current, required)
        for name, target in targets.items():
            self._update_orders(
                orders, service.name, name, target, current[name], now_s
            )

    def _update_orders(
        self,
        orders: dict[EngineClass, int],
        service: str,
        data_centre: str,
        target: EngineTargets,
        current: CurrentEngines,
        now_s: float,
    ) -> None:
        pairs = (
            (True, target.reclaimable, current.reclaimable),
            (False, target.on_demand, current.on_demand),
        )
        for reclaimable, count, existing in pairs:
            engines = EngineClass(service, data_centre, reclaimable)
            ordered = orders.get(engines)
            if ordered is None:
                if count == existing:
                    continue
                ordered = existing
            if count < ordered and not self._may_reduce(engines, now_s):
                continue
            if count >= ordered:
                self._lower_since_s.pop(engines, None)
            orders[engines] = count
            self._reorder_missing(engines, count, existing, now_s)

    def _reorder_missing(
        self, engines: EngineClass, count: int, existing: int, now_s: float
    ) -> None:
        """Repeat a confirmed order whose engines have not appeared in time."""
        confirmed = self._confirmed.get(engines)
        if (
            confirmed is not None
            and existing < count
            and now_s - confirmed.confirmed_s > REORDER_AFTER_S
        ):
            del self._confirmed[engines]

    def _may_reduce(self, engines: EngineClass, now_s: float) -> bool:
        """Return whether the target has been lower for long enough."""
        lower_since_s = self._lower_since_s.setdefault(engines, now_s)
        service = engines.service
        if self._tokens_per_s(service) < IDLE_TOKENS_PER_S:
            last_growth_s = self._last_growth_s.get(
                service, self._first_planned_s[service]
            )
            return now_s - last_growth_s >= ANNOUNCE_SETTLE_S
        return now_s - lower_since_s >= SHRINK_AFTER_S

    def _required_engines(
        self, service: Service, data_centre_count: int, now_s: float
    ) -> RequiredEngines:
        """Return the required engines; a peak is kept for `PEAK_HOLD_S`."""
        required = required_engines(
            self._measure_demand(service.name, now_s), data_centre_count
        )
        peak, peak_until_s = self._peaks.get(service.name, (required, 0.0))
        if required.target >= peak.target or now_s > peak_until_s:
            self._peaks[service.name] = (required, now_s + PEAK_HOLD_S)
            return required
        return peak

    def _measure_demand(self, service: str, now_s: float) -> EngineDemand:
        records = self._state.upstreams.usable(service)
        running = sum(
            self._state.upstreams.meter(each).running(now_s) for each in records
        )
        tokens_per_s = self._tokens_per_s(service)
        on_demand = sum(1 for each in records if not each.reclaimable)
        self._record_initial_state(service, on_demand, tokens_per_s, now_s)
        has_demand_history = (
            now_s - self._first_demand_s.get(service, now_s) >= INITIAL_DEMAND_S
        )
        return EngineDemand(
            tokens_per_s=tokens_per_s,
            prefill_s_per_token=self._prefill_s_per_token(service),
            requests=running + self._state.node_count * self._state.queue.waiting_count,
            slots=min((each.slots for each in records), default=1),
            initial_engines=0
            if has_demand_history
            else self._initial_engines.get(service, 0),
            expected_engines=0
            if has_demand_history
            else self._expected_engines.get(service, 0),
        )

    def _record_initial_state(
        self, service: str, on_demand: int, tokens_per_s: float, now_s: float
    ) -> None:
        """Record the present and the expected engines until there is demand."""
        first_planned_s = self._first_planned_s.setdefault(service, now_s)
        if tokens_per_s >= IDLE_TOKENS_PER_S:
            self._first_demand_s.setdefault(service, now_s)
        elif service not in self._first_demand_s:
            if on_demand > self._initial_engines.get(service, 0):
                self._initial_engines[service] = on_demand
                self._last_growth_s[service] = now_s
            starting = now_s - first_planned_s < STARTUP_S
            self._expected_engines[service] = (
                self._engines_for_limits(service) if starting else 0
            )

    def _engines_for_limits(self, service: str) -> int:
        """Return the engines for the typical use of the workspaces' rate limits."""
        configuration = self._state.configuration
        assert configuration is not None
        scaled = [each for each in configuration.services.values() if each.scaling]
        tokens_per_s = sum(
            each.rate_per_s for each in configuration.workspaces if each.counts_tokens
        )
        return engines_for_prefill(
            EXPECTED_LIMIT_FRACTION * tokens_per_s / len(scaled),
            self._prefill_s_per_token(service),
        )

    def _prefill_s_per_token(self, service: str) -> float:
        """Return the prefill time per token of the fastest engine, within bounds.

        Others appear slow while they have a backlog, which must not raise the demand.
        """
        fastest = min(
            (
                self._state.upstreams.meter(record).prefill_s_per_token
                for record in self._state.upstreams.usable(service)
            ),
            default=INITIAL_PREFILL_S_PER_TOKEN,
        )
        return max(
            INITIAL_PREFILL_S_PER_TOKEN,
            min(fastest, MAX_PREFILL_FACTOR * INITIAL_PREFILL_S_PER_TOKEN),
        )

    def _current_engines(
        self, service: Service, now_s: float
    ) -> dict[str, CurrentEngines]:
        assert service.scaling is not None
        records = self._state.upstreams.usable(service.name)
        data_centres = _data_centres(service.scaling, records)
        # A notice of a reclaim shows scarcity before the outcome of an order does.
        reclaimed_in = {
            each.data_centre
            for each in self._state.upstreams.view.records.values()
            if each.service == service.name and each.leaves_in_s is not None
        }
        return {
            name: CurrentEngines(
                on_demand=_count(records, name, reclaimable=False),
                reclaimable=_count(records, name, reclaimable=True),
                reclaimable_scarce=name in reclaimed_in
                or self._is_scarce(service, name, now_s),
            )
            for name in sorted(data_centres)
        }

    def _can_be_ordered(self, engines: EngineClass) -> bool:
        """Return whether the configuration knows the service and the data centre.

        While two versions of the service run, nothing is ordered.
        """
        if self._state.rollouts.fixes_fleet(engines.service):
            return False
        configuration = self._state.configuration
        service = configuration and configuration.services.get(engines.service)
        if not service or service.scaling is None:
            return False
        records = self._state.upstreams.usable(engines.service)
        return engines.data_centre in _data_centres(service.scaling, records)

    def _is_scarce(self, service: Service, data_centre: str, now_s: float) -> bool:
        """Return whether reclaimable engines were refused within `SCARCITY_S`."""
        engines = EngineClass(service.name, data_centre, reclaimable=True)
        return now_s - self._refused_at_s.get(engines, -1e9) < SCARCITY_S


def _count(records: list[UpstreamRecord], name: str, *, reclaimable: bool) -> int:
    return sum(
        1
        for each in records
        if each.data_centre == name and each.reclaimable == reclaimable
    )


def _data_centres(scaling: Scaling, records: list[UpstreamRecord]) -> set[str]:
    """Return the data centres in which engines of a service can be ordered.

    An entry may name another one, so entries count only without a price list.
    """
    return set(scaling.prices) or {each.data_centre for each in records}
