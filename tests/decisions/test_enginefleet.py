"""Test the plans of engines under reclaims of whole data centres."""

import testtools

from cicadapass_decisions.enginefleet import (
    CurrentEngines,
    EngineDemand,
    RequiredEngines,
    plan_engines,
    required_engines,
)
from cicadapass_decisions.passthrough import Scaling

SCALING = Scaling(1, 3, 4.0, 0.18, {"a": 0.85, "b": 1.2, "c": 1.0})
REQUIRED = RequiredEngines(target=6, minimum=4)


def current(on_demand=0, reclaimable=0, refused=False):
    """Return the present engines of one data centre."""
    return CurrentEngines(on_demand, reclaimable, refused)


class PlanTest(testtools.TestCase):
    def test_loss_of_one_data_centre_leaves_enough(self):
        """Too few engines remained after the reclaim of one data centre."""
        steady = {name: current(0, 3) for name in "abc"}
        targets = plan_engines(SCALING, steady, REQUIRED)
        reclaimable = [each.reclaimable for each in targets.values()]
        self.assertGreaterEqual(sum(reclaimable) - max(reclaimable), REQUIRED.target)
        self.assertEqual(0, sum(each.on_demand for each in targets.values()))

    def test_on_demand_engines_stay_until_reclaimable_ones_serve(self):
        """On-demand engines were released before their replacements had booted."""
        targets = plan_engines(SCALING, {name: current(2) for name in "abc"}, REQUIRED)
        self.assertGreaterEqual(
            sum(each.on_demand for each in targets.values()), REQUIRED.minimum
        )

    def test_on_demand_engines_replace_reclaimed_ones(self):
        """Engines were not replaced after two reclaims, and first tokens were late."""
        lost = {"a": current(0, 3), "b": current(0, 0, True), "c": current(0, 0, True)}
        targets = plan_engines(SCALING, lost, REQUIRED)
        self.assertGreaterEqual(
            sum(each.on_demand for each in targets.values()), REQUIRED.minimum - 1
        )

    def test_first_reclaim_orders_on_demand_engines(self):
        """After a third reclaim, no engine served until on-demand ones had booted."""
        first = {"a": current(0, 3), "b": current(0, 3), "c": current(0, 0, True)}
        targets = plan_engines(SCALING, first, RequiredEngines(target=6, minimum=3))
        self.assertGreater(sum(each.on_demand for each in targets.values()), 0)

    def test_expected_demand_orders_no_on_demand_engines(self):
        """At startup, an estimate ordered on-demand engines instead of cheap ones."""
        demand = EngineDemand(
            0.0, 0.00002, 0, 64, initial_engines=0, expected_engines=88
        )
        required = required_engines(demand, 3)
        self.assertEqual(88, required.target)
        self.assertLess(required.minimum, 6)

    def test_no_reclaimable_engines_without_a_lower_price(self):
        """Reclaimable engines served the load although on-demand ones cost the same."""
        scaling = Scaling(1, 6, 4.0, 1.0, SCALING.prices)
        targets = plan_engines(scaling, {name: current(2) for name in "abc"}, REQUIRED)
        self.assertEqual(0, sum(each.reclaimable for each in targets.values()))
        total = sum(each.on_demand for each in targets.values())
        self.assertGreaterEqual(total, REQUIRED.minimum)

    def test_maximum_covers_both_classes(self):
        """The platform cut an order that exceeded the maximum."""
        for refused in (True, False):
            present = {name: current(1, 1, refused) for name in "abc"}
            targets = plan_engines(SCALING, present, RequiredEngines(20, 20))
            for target in targets.values():
                total = target.on_demand + target.reclaimable
                self.assertLessEqual(total, SCALING.maximum)

    def test_refusals_do_not_raise_other_data_centres(self):
        """Each refusal raised the other orders, until all were at the maximum."""
        scaling = Scaling(1, 9, 4.0, 0.18, SCALING.prices)
        refused = {"a": current(0, 3), "b": current(0, 3), "c": current(0, 0, True)}
        targets = plan_engines(scaling, refused, REQUIRED)
        self.assertEqual(3, targets["a"].reclaimable)

    def test_demand_raises_the_required_engines(self):
        """The number of engines did not change with the demand."""
        low, high = (
            required_engines(EngineDemand(rate, 0.00002, 0, 64, 0), 3)
            for rate in (0.0, 200_000.0)
        )
        self.assertGreater(high.target, low.target)
        self.assertGreater(high.target, high.minimum)

    def test_slots_limit_the_requests_of_an_engine(self):
        """Requests were shed for a lack of slots, although prefill was in time."""
        required = required_engines(EngineDemand(1000.0, 0.00002, 480, 16, 0), 3)
        self.assertGreater(required.minimum, 480 / 16)

    def test_engines_are_kept_until_demand_is_known(self):
        """Engines were released before the first requests arrived."""
        required = required_engines(EngineDemand(0.0, 0.00002, 0, 64, 30), 3)
        self.assertEqual((30, 15), (required.target, required.minimum))
