"""Test which engines are ordered as demand rises and falls."""

from dataclasses import replace

from cicadapass_decisions.dutylease import DutyRecord, EngineClass
from cicadapass_decisions.enginefleet import PEAK_HOLD_S, SHRINK_AFTER_S
from cicadapass_decisions.passthrough import Scaling, Service, UpstreamRecord
from cicadapass_decisions.rollouts import (
    RolloutBounds,
    RolloutOrder,
    RolloutState,
    decided,
)
from cicadapass_gateway.fleetplanner import ANNOUNCE_SETTLE_S, STARTUP_S, FleetPlanner
from tests.gateway.harness import LoopTest, configuration, make_state, workspace

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")


class Planner:
    """Run a planner with a clock and a demand that the test sets."""

    def __init__(self, rate_per_s=0.0, **changes):
        self.now_s = 100.0
        self.demand = 0.0
        self.state = make_state(**changes)
        self.state.clock = lambda: self.now_s
        scaling = Scaling(1, 40, 4.0, 0.18, dict.fromkeys(DATA_CENTRES, 1.0))
        limited = replace(workspace(rate_per_s), counts_tokens=True)
        config = configuration(workspaces=[limited])
        config.services["s"] = Service("s", model_engine=True, scaling=scaling)
        self.state.adopt(config, b"raw")
        self.planner = FleetPlanner(
            self.state, lambda service: self.demand, lambda: True
        )
        self.record = DutyRecord("n", 1, 1)

    def list_engines(self, count):
        """Put `count` on-demand engines of each data centre into the view."""
        records = [
            UpstreamRecord(
                f"{data_centre}{n}", "s", "h", 1, data_centre, 16, False, 1, 1
            )
            for data_centre in DATA_CENTRES
            for n in range(count)
        ]
        self.state.upstreams.view.replace(records, self.now_s)
        self.state.upstreams.refresh()

    def plan(self):
        """Plan once; return the number of ordered engines by class."""
        self.record = self.planner.plan(self.record)
        orders = self.record.orders
        return {
            kind: sum(
                count
                for engines, count in orders.items()
                if engines.reclaimable == reclaimable
            )
            for kind, reclaimable in (("on-demand", False), ("reclaimable", True))
        }


class StartTest(LoopTest):
    def test_engines_that_are_still_being_announced_are_kept(self):
        """The first listed engines of a starting fleet counted as the whole fleet.

        The next orders released the others, so that the first seconds of traffic had
        a third of the forty engines that the operator had started.
        """

        async def scenario():
            planner = Planner()
            for count in (1, 4, 8):
                planner.list_engines(count)
                orders = planner.plan()
                planner.now_s += 0.4
            self.assertEqual(0, orders["on-demand"])
            self.assertFalse(
                [each for each in planner.record.orders if not each.reclaimable]
            )
            # If one data centre fails, the others have as many engines as at the start.
            self.assertGreaterEqual(orders["reclaimable"], 24 * 3 / 2)

        self.run_loop(scenario())

    def test_a_startup_sizes_the_fleet_by_the_limits(self):
        """A load that started at once found only the minimum number of engines.

        More took four seconds to boot; until then, only half of the load was served
        in time.
        """

        async def scenario():
            planner = Planner(rate_per_s=400_000.0)
            planner.list_engines(1)
            # Half of the rate, at 20 us per token and 35 % utilisation of an engine.
            expected = 0.5 * 400_000 * 0.00002 / 0.35
            orders = planner.plan()
            self.assertGreaterEqual(orders["reclaimable"] * 2 / 3, expected)
            planner.now_s += STARTUP_S
            planner.plan()
            planner.now_s += SHRINK_AFTER_S + PEAK_HOLD_S
            self.assertLess(planner.plan()["reclaimable"] * 2 / 3, expected)

        self.run_loop(scenario())

    def test_a_new_holder_under_load_ignores_the_limits(self):
        """Each new holder ordered the engines for a startup again."""

        async def scenario():
            planner = Planner(rate_per_s=400_000.0)
            planner.list_engines(4)
            planner.demand = 20_000.0
            orders = planner.plan()
            self.assertLess(orders["reclaimable"] * 2 / 3, 11)

        self.run_loop(scenario())

    def test_a_holder_that_took_over_under_load_releases_idle_engines(self):
        """A holder that took over under load kept all engines after the load ended."""

        async def scenario():
            planner = Planner()
            planner.list_engines(8)
            planner.demand = 20_000.0
            planner.plan()
            planner.demand = 0.0
            planner.now_s += PEAK_HOLD_S + ANNOUNCE_SETTLE_S
            planner.plan()
            planner.now_s += PEAK_HOLD_S + ANNOUNCE_SETTLE_S
            planner.plan()
            ordered = [
                count
                for engines, count in planner.record.orders.items()
                if not engines.reclaimable
            ]
            self.assertEqual(3, len(ordered))
            self.assertLess(max(ordered), 8)

        self.run_loop(scenario())

    def test_engines_are_released_once_all_are_listed(self):
        """On-demand engines were kept beside the cheaper ones that replaced them."""

        async def scenario():
            planner = Planner()
            planner.list_engines(8)
            planner.plan()
            planner.now_s += ANNOUNCE_SETTLE_S
            planner.plan()
            ordered = [
                count
                for engines, count in planner.record.orders.items()
                if not engines.reclaimable
            ]
            self.assertEqual(3, len(ordered))
            self.assertLess(max(ordered), 8)

        self.run_loop(scenario())


class UnknownDataCentreTest(LoopTest):
    def test_no_engines_are_ordered_where_the_configuration_names_no_price(self):
        """One entry with a data centre of its own ended each holder of the duties."""

        async def scenario():
            planner = Planner()
            planner.list_engines(2)
            odd = UpstreamRecord("odd", "s", "h", 1, "dc-a|dc-b", 16, False, 1, 1)
            listed = planner.state.upstreams.usable("s")
            planner.state.upstreams.view.replace([*listed, odd], planner.now_s)
            planner.state.upstreams.refresh()
            planner.demand = 200_000.0
            planner.plan()
            orders = planner.planner.unconfirmed_orders(planner.record)
            self.assertTrue(orders)
            self.assertLessEqual({o.data_centre for o in orders}, set(DATA_CENTRES))

        self.run_loop(scenario())

    def test_a_stored_order_that_the_configuration_does_not_know_is_not_placed(self):
        """An order of an earlier holder for an unknown data centre was repeated."""

        async def scenario():
            planner = Planner()
            planner.list_engines(2)
            orders = {
                EngineClass("s", "dc-x", True): 3,
                EngineClass("other", "dc-a", True): 3,
            }
            record = DutyRecord("n", 1, 1, orders=orders)
            self.assertEqual([], planner.planner.unconfirmed_orders(record))

        self.run_loop(scenario())


class RolloutTest(LoopTest):
    def test_nothing_is_released_while_two_versions_run(self):
        """An order of a total released the engines of one of two versions."""

        async def scenario():
            planner = Planner(rollout_bounds=RolloutBounds())
            rollouts = planner.state.rollouts
            planner.list_engines(8)
            rollouts.adopt_order(RolloutOrder("s", "v2", 12.0), 5)
            for _ in range(20):
                planner.now_s += 5.0
                planner.plan()
            self.assertEqual({}, planner.record.orders)
            self.assertEqual([], planner.planner.unconfirmed_orders(planner.record))
            rollout = rollouts.rollouts["s"]
            rollouts.merge(decided(rollout, RolloutState.ROLLED_BACK), "record")
            for _ in range(20):
                planner.now_s += 5.0
                planner.plan()
            self.assertNotEqual({}, planner.record.orders)

        self.run_loop(scenario())
