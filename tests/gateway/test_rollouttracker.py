"""Test what a node keeps of orders."""

from cicadapass_decisions.rollouts import RolloutBounds, RolloutOrder
from tests.gateway.harness import LoopTest, make_state


class ClockTest(LoopTest):
    def test_datagrams_of_a_freeze_do_not_date_an_order_back(self):
        """A rollout was rolled back at once, as a node had it begin long ago.

        After a freeze, the clocks of the datagrams that waited for the node are late.
        """

        async def scenario():
            state, offset_s = make_state(rollout_bounds=RolloutBounds()), 1000.0
            rollouts = state.rollouts
            rollouts.set_time(lambda: state.clock() + offset_s)
            rollouts.tick()
            before_s, offset_s = state.clock(), 990.0
            rollouts.tick()
            rollouts.adopt_order(RolloutOrder("s", "v2", 12.0), 7)
            seen_s = rollouts.rollouts["s"].seen_s
            self.assertGreaterEqual(seen_s, before_s + 1000.0)

        self.run_loop(scenario())
