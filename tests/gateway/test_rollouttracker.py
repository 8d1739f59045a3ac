"""Test what a node keeps of orders."""

import asyncio
import math
from dataclasses import replace

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.rollouts import (
    RolloutBounds,
    RolloutOrder,
    RolloutState,
    adopt_order,
    decided,
    merge_rollouts,
)
from cicadapass_gateway.rolloutcounts import PromptSize
from cicadapass_gateway.rolloutmessages import decode_rollout, encode_rollout
from tests.gateway.harness import LoopClock, LoopTest, make_state


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


class MissedVerdictTest(LoopTest):
    def test_an_order_after_a_missed_verdict_has_its_own_counts(self):
        """The counts of a rollout that was rolled back spoke in the next one."""

        async def scenario():
            rollouts = make_state(rollout_bounds=RolloutBounds()).rollouts
            order = RolloutOrder("s", "v2", 12.0)
            rollouts.adopt_order(order, 5)
            first = rollouts.rollouts["s"]
            record = UpstreamRecord("e", "s", "e", 1, "dc-a", 8, False, 1, 1)
            rollouts.record_sent(record, "key", "route", PromptSize(), first=True)
            rollouts.adopt_order(order, 9)
            self.assertEqual(1, len(rollouts.evidence("s")))
            rollouts.merge(decided(first, RolloutState.ROLLED_BACK), "record")
            self.assertTrue(rollouts.is_running("s"))
            self.assertEqual({}, rollouts.evidence("s"))
            known = rollouts.rollouts["s"]
            self.assertEqual((9, 5), (known.origin, known.decided_before))
            row = encode_rollout(known)
            self.assertEqual(known, decode_rollout(row))
            self.assertEqual(-1, decode_rollout(row[:10]).decided_before)

        self.run_loop(scenario())

    def test_a_row_of_an_earlier_build_does_not_date_an_order_back(self):
        """A peer of the build before ended a rollout before it began.

        Its rows lack the time of the newest order, and it missed the verdict.
        """
        order = RolloutOrder("s", "v2", 12.0)
        first = adopt_order(None, order, 5, 100.0, ["v1"])
        rolled_back = decided(first, RolloutState.ROLLED_BACK)
        known = adopt_order(rolled_back, order, 9, 108.0, ["v1"])
        missed = adopt_order(first, order, 9, 108.0, ["v1"])
        earlier = decode_rollout(encode_rollout(missed)[:10])
        for merged in (merge_rollouts(known, earlier), merge_rollouts(earlier, known)):
            self.assertEqual((9, 108.0), (merged.origin, merged.seen_s))


class UnknownVerdictsTest(LoopTest):
    # uvloop's time cannot be replaced.
    loop_factory = staticmethod(asyncio.new_event_loop)

    def test_answers_of_an_undecided_version_are_those_of_a_trial(self):
        """Failures of a bad version counted as the old one's, and hid its own.

        A node without the record serves from an undecided version that has most of the
        engines, as a success leaves no others.
        """

        async def scenario():
            clock = LoopClock()
            state = make_state(rollout_bounds=RolloutBounds())
            rollouts = state.rollouts
            v1 = UpstreamRecord("a", "s", "a", 1, "dc-a", 8, False, 1, 1, version="v1")
            engines = [v1] + [
                replace(v1, upstream_id=each, version="v2") for each in "bcde"
            ]
            rollouts.await_record()
            rollouts.classify(engines)
            rollouts.adopt_order(RolloutOrder("s", "v2", 12.0), 7)
            clock.advance(1.1)
            rollouts.tick()
            serving = rollouts.classify(engines).trusted
            self.assertEqual({"v2"}, {each.version for each in serving})
            for number in range(60):
                record, key = serving[number % len(serving)], str(number)
                rollouts.begin(record, key)
                attempt = rollouts.record_sent(
                    record, key, "route", PromptSize(), first=True
                )
                attempt.end(state.clock(), False)
            sides = {each.engine for each in rollouts.evidence("s")}
            self.assertEqual({each.start_key for each in serving}, sides)
            rollouts.tick()
            self.assertIsNotNone(rollouts.finding("s"))
            serving = rollouts.classify(engines).trusted
            self.assertEqual({"v1"}, {each.version for each in serving})
            # Without others, the version goes on.
            serving = rollouts.classify(engines[1:]).trusted
            self.assertEqual({"v2"}, {each.version for each in serving})

        self.run_loop(scenario())


class ViewTest(LoopTest):
    # uvloop's time cannot be replaced.
    loop_factory = staticmethod(asyncio.new_event_loop)

    def test_a_view_age_that_is_not_a_number_confirms_nothing(self):
        """Engines of a new version got requests before its order was known."""

        async def scenario():
            clock = LoopClock()
            rollouts = make_state(rollout_bounds=RolloutBounds()).rollouts
            v1 = UpstreamRecord("a", "s", "a", 1, "dc-a", 8, False, 1, 1, version="v1")
            v2 = replace(v1, upstream_id="b", version="v2")
            rollouts.classify([v1])
            rollouts.classify([v1, v2])
            report = rollouts.export()
            clock.advance(1.0)
            for age_ms, held in (
                (math.nan, True),
                (math.inf, True),
                (1e6, True),
                (100, False),
            ):
                rollouts.merge_state({**report, "view": [5, age_ms]}, "p", "p@1")
                self.assertIs(held, rollouts.has_held_versions, age_ms)

        self.run_loop(scenario())
