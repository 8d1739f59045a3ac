"""Test orders of engines against reclaims of whole data centres."""

import testtools

from cicadapass_decisions.enginefleet import (
    Demand,
    Holdings,
    Need,
    engines_needed,
    plan_engines,
)
from cicadapass_decisions.passthrough import Scaling

SCALING = Scaling(1, 3, 4.0, 0.18, {"a": 0.85, "b": 1.2, "c": 1.0})
NEED = Need(ample=6, tight=4)


def held(on_demand=0, reclaimable=0, refused=False):
    """Return the holdings of one data centre."""
    return Holdings(on_demand, reclaimable, refused)


class PlanTest(testtools.TestCase):
    def test_the_loss_of_one_data_centre_leaves_enough(self):
        """A reclaim of one data centre left too few engines."""
        steady = {name: held(0, 3) for name in "abc"}
        targets = plan_engines(SCALING, steady, NEED)
        reclaimable = [each.reclaimable for each in targets.values()]
        self.assertGreaterEqual(sum(reclaimable) - max(reclaimable), NEED.ample)
        self.assertEqual(0, sum(each.on_demand for each in targets.values()))

    def test_present_engines_stay_until_reclaimable_ones_serve(self):
        """On-demand engines were given up before their successors had booted."""
        targets = plan_engines(SCALING, {name: held(2) for name in "abc"}, NEED)
        self.assertGreaterEqual(
            sum(each.on_demand for each in targets.values()), NEED.tight
        )

    def test_on_demand_engines_take_the_places_of_reclaimed_ones(self):
        """After two reclaims the places stayed empty, and first tokens were late."""
        lost = {"a": held(0, 3), "b": held(0, 0, True), "c": held(0, 0, True)}
        targets = plan_engines(SCALING, lost, NEED)
        self.assertGreaterEqual(
            sum(each.on_demand for each in targets.values()), NEED.tight - 1
        )

    def test_a_wave_of_reclaims_is_met_after_its_first(self):
        """Three reclaims in a row left no engine until on-demand ones had booted."""
        first = {"a": held(0, 3), "b": held(0, 3), "c": held(0, 0, True)}
        targets = plan_engines(SCALING, first, Need(ample=6, tight=3))
        self.assertGreater(sum(each.on_demand for each in targets.values()), 0)

    def test_an_expected_demand_brings_no_on_demand_engines(self):
        """A guess at a start held on-demand engines in the places of cheap ones."""
        demand = Demand(0.0, 0.00002, 0, 64, prior=0, expected=88)
        need = engines_needed(demand, 3)
        self.assertEqual(88, need.ample)
        self.assertLess(need.tight, 6)

    def test_without_a_lower_price_no_reclaimable_engines_are_ordered(self):
        """Engines that cost the same and may be taken back carried the load."""
        scaling = Scaling(1, 6, 4.0, 1.0, SCALING.prices)
        targets = plan_engines(scaling, {name: held(2) for name in "abc"}, NEED)
        self.assertEqual(0, sum(each.reclaimable for each in targets.values()))
        total = sum(each.on_demand for each in targets.values())
        self.assertGreaterEqual(total, NEED.tight)

    def test_the_maximum_holds_for_both_classes_together(self):
        """An order beyond the maximum is cut by the platform."""
        for refused in (True, False):
            present = {name: held(1, 1, refused) for name in "abc"}
            targets = plan_engines(SCALING, present, Need(20, 20))
            for target in targets.values():
                total = target.on_demand + target.reclaimable
                self.assertLessEqual(total, SCALING.maximum)

    def test_refusals_do_not_raise_the_numbers_elsewhere(self):
        """Each refusal raised the orders, so that all data centres hit the maximum."""
        scaling = Scaling(1, 9, 4.0, 0.18, SCALING.prices)
        refused = {"a": held(0, 3), "b": held(0, 3), "c": held(0, 0, True)}
        targets = plan_engines(scaling, refused, NEED)
        self.assertEqual(3, targets["a"].reclaimable)

    def test_demand_raises_the_need(self):
        """The number of engines did not follow the demand."""
        low, high = (
            engines_needed(Demand(rate, 0.00002, 0, 64, 0), 3)
            for rate in (0.0, 200_000.0)
        )
        self.assertGreater(high.ample, low.ample)
        self.assertGreater(high.ample, high.tight)

    def test_engines_with_few_slots_are_planned_by_their_slots(self):
        """Requests were shed for want of slots while prompts were read in time."""
        need = engines_needed(Demand(1000.0, 0.00002, 480, 16, 0), 3)
        self.assertGreater(need.tight, 480 / 16)

    def test_engines_are_kept_until_demand_is_known(self):
        """Engines were given up before the first requests came."""
        need = engines_needed(Demand(0.0, 0.00002, 0, 64, 30), 3)
        self.assertEqual((30, 15), (need.ample, need.tight))
