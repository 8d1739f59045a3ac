"""Test the fleet plan."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.fleet import (
    Demand,
    Market,
    Offer,
    RunningVm,
    on_start_refused,
    plan_fleet,
    target_slots,
)
from cicadapass_decisions.policy import CostRules

RULES = CostRules(min_on_demand_ratio=0.25)
CHEAP = Market("z1", "l4", True)
DEAR = Market("z2", "l4", True)
ON_DEMAND = Market("z1", "l4", False)
OFFERS = [Offer(CHEAP, 8, 0.7, 0.05), Offer(DEAR, 8, 1.1), Offer(ON_DEMAND, 8, 2.0)]


def _vm(name, market=CHEAP, price=0.7, service="parts", **fields):
    return RunningVm(name, market, 8, price, service, **fields)


def _plan(concurrency, vms=(), offers=OFFERS, backoffs=None, now_s=1000.0):
    demand = [Demand("parts", concurrency)]
    return plan_fleet(demand, vms, offers, backoffs or {}, now_s, RULES)


class FleetTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.floats(0, 500), st.integers(0, 20), st.integers(0, 5))
    def test_meets_demand_with_enough_on_demand(self, concurrency, cheap, on_demand):
        """The plan must keep the on-demand share that survives a wave of reclaims."""
        vms = [_vm(f"c{i}") for i in range(cheap)]
        vms += [_vm(f"f{i}", ON_DEMAND, 2.0) for i in range(on_demand)]
        plan = _plan(concurrency, vms)
        kept = [vm for vm in vms if vm.name not in plan.unneeded]
        slots = sum(8 * p.count for p in plan.purchases) + 8 * len(kept)
        on_demand_slots = sum(
            8 * p.count for p in plan.purchases if p.market == ON_DEMAND
        )
        on_demand_slots += sum(8 for vm in kept if vm.market == ON_DEMAND)
        target = target_slots(concurrency, RULES)
        self.assertTrue(slots >= target)
        self.assertTrue(on_demand_slots >= target * 0.25 - 1e-9)

    def test_refused_market_backs_off(self):
        """A market that refuses starts must not be retried before its backoff ends."""
        backoff = on_start_refused(None, 1000.0, RULES)
        plan = _plan(20.0, backoffs={CHEAP: backoff})
        self.assertEqual({DEAR, ON_DEMAND}, {p.market for p in plan.purchases})
        plan = _plan(20.0, backoffs={CHEAP: backoff}, now_s=1010.0)
        self.assertIn(CHEAP, {p.market for p in plan.purchases})
        for _ in range(50):
            backoff = on_start_refused(backoff, 0.0, RULES)
        self.assertEqual(RULES.refused_backoff_max_s, backoff.until_s)

    def test_returns_only_idle_vms_after_the_delay(self):
        """A short dip must not return VMs, and a busy VM must finish first."""
        vms = [_vm("a", ON_DEMAND, 2.0), _vm("b", DEAR, 1.1, unneeded_since_s=0.0)]
        vms += [
            _vm("c", running_requests=1, unneeded_since_s=0.0),
            _vm("d", unneeded_since_s=900.0),
        ]
        plan = _plan(1.0, vms)
        self.assertEqual(("b",), plan.returns)
        self.assertEqual({"b", "c", "d"}, plan.unneeded)

    def test_changes_roles_before_buying(self):
        """An idle engine of another service must be reused before VMs are bought."""
        vms = [_vm("a", ON_DEMAND, 2.0), _vm("spare", service="layout")]
        plan = _plan(8.0, vms)
        self.assertEqual(["spare"], [change.vm for change in plan.role_changes])
        self.assertEqual((), plan.purchases)

    def test_leaving_vms_do_not_count(self):
        """A VM that is leaving must be replaced before it stops."""
        self.assertTrue(_plan(4.0, [_vm("a", ON_DEMAND, leaving=True)]).purchases)

    def test_reports_missing_slots(self):
        """Slots that no offer provides must be reported."""
        plan = _plan(20.0, offers=[])
        self.assertEqual({"parts": target_slots(20.0, RULES)}, plan.missing_slots)
