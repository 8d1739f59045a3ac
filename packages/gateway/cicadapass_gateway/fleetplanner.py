"""Keep track of the orders of engines and plan the next ones."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from cicadapass_decisions.dutylease import DutyRecord
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
from cicadapass_decisions.passthrough import Service, UpstreamRecord
from cicadapass_decisions.upstreammeter import INITIAL_PREFILL_S_PER_TOKEN
from cicadapass_gateway.dialect import EngineOrder
from cicadapass_gateway.nodestate import NodeState

# An order that is confirmed is placed again when the engines still differ after this
# long; covers the boot time of an engine.
REPEAT_S = 5.5


# The engines held at the start count as the need until demand has lasted for this long.
PRIOR_S = 6.0
# Engines announce themselves one after another when all starts at once. None is given
# up before demand until their number has not grown for this long.
SETTLE_S = 2.5
# Before its first demand, a service has the engines for this part of what workspaces
# may ask by their limits: engines boot too slowly for a load that starts at once, and
# limits are usually about twice the usual use.
EXPECTED_PART = 0.5
# Demand that has not come this long after the start is no longer waited for.
START_S = 60.0
# Below this demand nothing is cut when an engine leaves; one short prompt a second.
IDLE_TOKENS_PER_S = 1000.0
# A learnt reading time counts up to this multiple of the initial one.
MAX_TOKEN_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class _Confirmed:
    count: int
    at_s: float


class FleetPlanner:
    """Plan the engines of each service that may be scaled."""

    def __init__(
        self,
        state: NodeState,
        demand: Callable[[str], float],
        view_fresh: Callable[[], bool],
    ) -> None:
        self._state = state
        self._demand = demand
        self._view_fresh = view_fresh
        self._confirmed: dict[str, _Confirmed] = {}
        self._refused_s: dict[str, float] = {}
        self._peak: dict[str, tuple[RequiredEngines, float]] = {}
        self._held: dict[str, int] = {}
        self._expected: dict[str, int] = {}
        self._first_s: dict[str, float] = {}
        self._grown_s: dict[str, float] = {}
        self._busy_s: dict[str, float] = {}
        self._lowered_s: dict[str, float] = {}

    def reset(self) -> None:
        """Forget the orders of a lease that is over."""
        self._confirmed.clear()

    def plan(self, record: DutyRecord) -> DutyRecord:
        """Return the record with the orders that should be in force."""
        configuration = self._state.configuration
        if configuration is None or not self._view_fresh():
            return record
        orders = dict(record.orders)
        for service in configuration.services.values():
            if service.scaling is not None:
                self._plan_service(service, orders)
        if orders == dict(record.orders):
            return record
        return replace(record, orders=orders)

    def open_orders(self, record: DutyRecord) -> list[EngineOrder]:
        """Return the orders that are not confirmed, more engines first."""
        now_s = self._state.clock()
        found = []
        for key, count in record.orders.items():
            order = _order(key, count)
            confirmed = self._confirmed.get(key)
            if confirmed is not None and confirmed.count == count:
                continue
            if now_s - self._refused_s.get(key, -1e9) < REFUSAL_RETRY_S:
                continue
            found.append(order)
        return sorted(found, key=lambda order: -order.count)

    def confirmed(self, order: EngineOrder) -> None:
        """Note an order that the platform accepted."""
        now_s = self._state.clock()
        self._confirmed[_key(order)] = _Confirmed(order.count, now_s)

    def refused(self, order: EngineOrder) -> None:
        """Note that the platform has no such engines at the moment."""
        self._refused_s[_key(order)] = self._state.clock()

    def _plan_service(self, service: Service, orders: dict[str, int]) -> None:
        assert service.scaling is not None
        now_s = self._state.clock()
        present = self._holdings(service, now_s)
        if not present:
            return
        need = self._needed(service, len(present), now_s)
        targets = plan_engines(service.scaling, present, need)
        for name, target in targets.items():
            self._set(orders, service.name, name, target, present[name], now_s)

    def _set(
        self,
        orders: dict[str, int],
        service: str,
        data_centre: str,
        target: EngineTargets,
        present: CurrentEngines,
        now_s: float,
    ) -> None:
        pairs = (
            (True, target.reclaimable, present.reclaimable),
            (False, target.on_demand, present.on_demand),
        )
        for reclaimable, count, held in pairs:
            key = _key(EngineOrder(service, data_centre, count, reclaimable))
            known = orders.get(key)
            if known is None:
                if count == held:
                    continue
                known = held
            if count < known and not self._may_lower(key, now_s):
                continue
            if count >= known:
                self._lowered_s.pop(key, None)
            orders[key] = count
            self._renew_lost(key, count, held, now_s)

    def _renew_lost(self, key: str, count: int, held: int, now_s: float) -> None:
        """Order again what was confirmed long ago and is not there."""
        confirmed = self._confirmed.get(key)
        if confirmed is not None and held < count and now_s - confirmed.at_s > REPEAT_S:
            del self._confirmed[key]

    def _may_lower(self, key: str, now_s: float) -> bool:
        """Return whether fewer engines have been wanted for long enough."""
        since_s = self._lowered_s.setdefault(key, now_s)
        service = key.partition("|")[0]
        if self._demand(service) < IDLE_TOKENS_PER_S:
            grown_s = self._grown_s.get(service, self._first_s[service])
            return now_s - grown_s >= SETTLE_S
        return now_s - since_s >= SHRINK_AFTER_S

    def _needed(self, service: Service, places: int, now_s: float) -> RequiredEngines:
        """Return the engines needed; a peak is remembered for a while."""
        need = required_engines(self._asked(service.name, now_s), places)
        known, until_s = self._peak.get(service.name, (need, 0.0))
        if need.target >= known.target or now_s > until_s:
            self._peak[service.name] = (need, now_s + PEAK_HOLD_S)
            return need
        return known

    def _asked(self, service: str, now_s: float) -> EngineDemand:
        records = self._state.book.usable(service)
        running = sum(self._state.book.meter(each).running(now_s) for each in records)
        tokens_per_s = self._demand(service)
        held = sum(1 for each in records if not each.reclaimable)
        self._note_start(service, held, tokens_per_s, now_s)
        known = now_s - self._busy_s.get(service, now_s) >= PRIOR_S
        return EngineDemand(
            tokens_per_s=tokens_per_s,
            prefill_s_per_token=self._token_s(service),
            requests=running + self._state.nodes * self._state.room.waiting_count,
            slots=min((each.slots for each in records), default=1),
            initial_engines=0 if known else self._held.get(service, 0),
            expected_engines=0 if known else self._expected.get(service, 0),
        )

    def _note_start(
        self, service: str, held: int, tokens_per_s: float, now_s: float
    ) -> None:
        """Note the engines held and expected before there is any demand."""
        first_s = self._first_s.setdefault(service, now_s)
        if tokens_per_s >= IDLE_TOKENS_PER_S:
            self._busy_s.setdefault(service, now_s)
        elif service not in self._busy_s:
            if held > self._held.get(service, 0):
                self._held[service] = held
                self._grown_s[service] = now_s
            starting = now_s - first_s < START_S
            self._expected[service] = self._by_limits(service) if starting else 0

    def _by_limits(self, service: str) -> int:
        """Return the engines for a usual part of what the workspaces may ask."""
        configuration = self._state.configuration
        assert configuration is not None
        scaled = [each for each in configuration.services.values() if each.scaling]
        tokens_per_s = sum(
            each.rate_per_s for each in configuration.workspaces if each.counts_tokens
        )
        return engines_for_prefill(
            EXPECTED_PART * tokens_per_s / len(scaled), self._token_s(service)
        )

    def _token_s(self, service: str) -> float:
        """Return the time to read a token on the fastest engine, within bounds.

        Others look slow while they have a backlog, which must not raise the demand.
        """
        fastest = min(
            (
                self._state.book.meter(record).prefill_s_per_token
                for record in self._state.book.usable(service)
            ),
            default=INITIAL_PREFILL_S_PER_TOKEN,
        )
        return max(
            INITIAL_PREFILL_S_PER_TOKEN,
            min(fastest, MAX_TOKEN_FACTOR * INITIAL_PREFILL_S_PER_TOKEN),
        )

    def _holdings(self, service: Service, now_s: float) -> dict[str, CurrentEngines]:
        assert service.scaling is not None
        records = self._state.book.usable(service.name)
        places = {each.data_centre for each in records} | set(service.scaling.prices)
        # Engines on notice, until the first refusal or success tells more.
        reclaimed = {
            each.data_centre
            for each in self._state.book.view.records.values()
            if each.service == service.name and each.leaves_in_s is not None
        }
        return {
            name: CurrentEngines(
                on_demand=_count(records, name, reclaimable=False),
                reclaimable=_count(records, name, reclaimable=True),
                reclaimable_scarce=name in reclaimed
                or self._is_scarce(service, name, now_s),
            )
            for name in sorted(places)
        }

    def _is_scarce(self, service: Service, data_centre: str, now_s: float) -> bool:
        """Return whether reclaimable engines were refused lately."""
        key = _key(EngineOrder(service.name, data_centre, 0, reclaimable=True))
        return now_s - self._refused_s.get(key, -1e9) < SCARCITY_S


def _count(records: list[UpstreamRecord], name: str, *, reclaimable: bool) -> int:
    return sum(
        1
        for each in records
        if each.data_centre == name and each.reclaimable == reclaimable
    )


def _key(order: EngineOrder) -> str:
    kind = "reclaimable" if order.reclaimable else "on-demand"
    return f"{order.service}|{order.data_centre}|{kind}"


def _order(key: str, count: int) -> EngineOrder:
    service, data_centre, kind = key.split("|")
    return EngineOrder(service, data_centre, count, kind == "reclaimable")
