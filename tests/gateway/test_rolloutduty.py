"""Test what the holder of the duties records of rollouts."""

from cicadapass_decisions.dutylease import DutyRecord
from cicadapass_decisions.rollouts import (
    RolloutBounds,
    RolloutOrder,
    RolloutState,
    adopt_order,
)
from cicadapass_gateway.rolloutduty import RolloutDuty
from tests.gateway.harness import LoopTest, configuration, make_state


class RolloutDutyTest(LoopTest):
    def plan(self, now_s, *services, **changes):
        """Return the record after a plan with rollouts of services that run."""

        async def scenario():
            state = make_state(**{"rollout_bounds": RolloutBounds(), **changes})
            state.adopt(configuration(), b"raw")
            state.rollouts.set_time(lambda: now_s)
            state.rollouts.adopt_order(RolloutOrder("x", "v2", 12.0), 7)
            duty = RolloutDuty(state, None, lambda: 1.6, lambda: now_s)
            rollouts = {
                name: adopt_order(
                    None, RolloutOrder(name, "v2", 12.0), 5, 100.0, ["v1"]
                )
                for name in services
            }
            return duty.plan(DutyRecord("n", 1, 1, rollouts=rollouts))

        return self.run_loop(scenario())

    def test_a_rollout_of_a_service_that_was_removed_ends(self):
        """A rollout ran forever once the configuration lacked its service."""
        record = self.plan(105.0, "s", "t")
        self.assertEqual(
            {"s": RolloutState.RUNNING, "t": RolloutState.RUNNING},
            {name: each.state for name, each in record.rollouts.items()},
        )
        record = self.plan(111.0, "s", "t")
        self.assertEqual(
            {RolloutState.ROLLED_BACK},
            {each.state for each in record.rollouts.values()},
        )

    def test_a_service_that_was_never_known_has_no_record(self):
        """A state was written for a service that does not exist."""
        self.assertEqual({}, self.plan(105.0).rollouts)

    def test_nothing_is_recorded_without_rollouts(self):
        """A deployment without rollouts wrote records that others could not read."""
        self.assertEqual({}, self.plan(105.0, rollout_bounds=None).rollouts)
