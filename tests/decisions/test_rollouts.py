"""Test who gets requests during a rollout, and how its record changes."""

import random
from dataclasses import replace

import testtools

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.rollouts import (
    FleetLoad,
    Rollout,
    RolloutBounds,
    RolloutOrder,
    RolloutState,
    Situation,
    Trust,
    adopt_order,
    can_carry,
    decided,
    merge_rollouts,
    next_state,
    share_phase,
    trial_allowance,
    trial_engines,
    trust,
    withdraw,
)

ORDER = RolloutOrder("s", "v2", 12.0)
FLEET = FleetLoad(20, 480, 200)


def running(**changes):
    """Return a rollout from v1 to v2 that was ordered at 100 s."""
    return replace(adopt_order(None, ORDER, 5, 100.0, ["v1"]), **changes)


def situation(now_s, **changes):
    """Return a situation in which the new version is sound and ready."""
    values = {
        "bad_at_once": False,
        "bad_at_end": False,
        "answers": 50,
        "old": FLEET,
        "new": replace(FLEET, running=10),
        "round_s": 1.6,
        **changes,
    }
    return Situation(now_s, **values)


class OrderTest(testtools.TestCase):
    def test_an_older_order_changes_nothing(self):
        """A log that was read once more restarted a rollout."""
        rollout = decided(running(), RolloutState.SUCCEEDED)
        for offset in (4, 5):
            self.assertEqual(rollout, adopt_order(rollout, ORDER, offset, 200.0, []))

    def test_a_repeated_order_keeps_its_end(self):
        """A rollout whose order was written twice ended late."""
        repeated = adopt_order(running(), ORDER, 9, 105.0, ["v1", "v2"])
        self.assertEqual(running(offset=9, order_seen_s=105.0), repeated)
        longer = adopt_order(running(), replace(ORDER, duration_s=20.0), 9, 105.0, [])
        self.assertEqual((9, 105.0), (longer.origin, longer.seen_s))

    def test_an_order_that_comes_after_the_end_is_new(self):
        """An order given again after a rollback was over before it began.

        A node that was frozen then knew the first order as running, dated the second
        one back to it, and all others adopted this.
        """
        new = adopt_order(None, ORDER, 9, 115.0, ["v1"])
        frozen = adopt_order(running(), ORDER, 9, 115.5, ["v1"])
        merged = merge_rollouts(new, frozen)
        self.assertEqual((9, 115.0), (merged.origin, merged.seen_s))
        self.assertIsNone(next_state(merged, situation(116.0, answers=0)))

    def test_a_replaced_version_gets_nothing(self):
        """A version went on without a verdict after another was ordered."""
        order = RolloutOrder("s", "v3", 12.0)
        replaced = adopt_order(running(), order, 9, 105.0, ["v1", "v2"])
        self.assertEqual(
            [Trust.TRUSTED, Trust.BARRED, Trust.ON_TRIAL],
            [trust(replaced, each) for each in ("v1", "v2", "v3")],
        )

    def test_an_order_for_the_only_version_in_use_bars_nothing(self):
        """An order that changes nothing took all requests from a service."""
        rollout = adopt_order(None, ORDER, 5, 100.0, ["v2"])
        self.assertIs(Trust.TRUSTED, trust(rollout, "v2"))
        state = next_state(rollout, situation(100.1, answers=0))
        self.assertIs(RolloutState.SUCCEEDED, state)
        self.assertIs(Trust.TRUSTED, trust(decided(rollout, state), "v2"))

    def test_a_version_is_tried_again_by_a_newer_order(self):
        """A version that was rolled back once could never be rolled out."""
        rollout = decided(running(), RolloutState.ROLLED_BACK)
        self.assertIs(Trust.BARRED, trust(rollout, "v2"))
        again = adopt_order(rollout, ORDER, 9, 200.0, ["v1"])
        self.assertIs(Trust.ON_TRIAL, trust(again, "v2"))

    def test_a_deleted_order_is_rolled_back_only_while_it_runs(self):
        """A deletion undid a success whose old engines had been stopped."""
        withdrawn = withdraw(running(), 8)
        state = next_state(withdrawn, situation(101.0))
        self.assertIs(RolloutState.ROLLED_BACK, state)
        success = decided(running(), RolloutState.SUCCEEDED)
        self.assertEqual(success, withdraw(success, 8))
        self.assertEqual(running(), withdraw(running(), 5))


class MergeTest(testtools.TestCase):
    def test_nodes_agree_in_any_order(self):
        """Two nodes kept different states after they had heard each other."""
        versions = [
            running(),
            running(seen_s=99.0, origin=4),
            withdraw(running(), 8),
            decided(running(), RolloutState.SUCCEEDED),
            adopt_order(None, RolloutOrder("s", "v3", 5.0), 7, 105.0, ["v1", "v2"]),
        ]
        merged = set()
        for number in range(30):
            drawn = list(versions)
            random.Random(number).shuffle(drawn)
            known = None
            for each in drawn:
                known = merge_rollouts(known, each)
            merged.add(known)
        self.assertEqual({replace(versions[-1], decided_before=5)}, merged)
        both = merge_rollouts(versions[0], versions[3])
        self.assertEqual(both, merge_rollouts(versions[3], versions[0]))

    def test_a_node_that_missed_an_order_bars_nothing_in_use(self):
        """A node that was cut off for an order barred the version in use everywhere."""
        first = decided(running(), RolloutState.SUCCEEDED)
        back = adopt_order(first, RolloutOrder("s", "v1", 5.0), 9, 200.0, ["v2"])
        back = decided(back, RolloutState.SUCCEEDED)
        third = RolloutOrder("s", "v3", 5.0)
        missed = adopt_order(first, third, 12, 300.0, [])
        self.assertIs(Trust.BARRED, trust(missed, "v1"))
        known = adopt_order(back, third, 12, 300.0, ["v1"])
        for merged in (merge_rollouts(missed, known), merge_rollouts(known, missed)):
            self.assertIs(Trust.TRUSTED, trust(merged, "v1"))
            self.assertIs(Trust.BARRED, trust(merged, "v2"))

    def test_an_order_after_a_missed_verdict_is_new(self):
        """A node that missed a verdict dated the next order back to the one before.

        All others adopted its time, and the rollout ended before it had begun.
        """
        missed = adopt_order(running(), ORDER, 9, 107.0, ["v1"])
        self.assertEqual(5, missed.origin)
        for state, kind in (
            (RolloutState.ROLLED_BACK, Trust.ON_TRIAL),
            (RolloutState.SUCCEEDED, Trust.TRUSTED),
        ):
            first = decided(running(), state)
            in_use = ["v2"] if state is RolloutState.SUCCEEDED else ["v1"]
            known = adopt_order(first, ORDER, 9, 106.0, in_use)
            for merged in (
                merge_rollouts(known, missed),
                merge_rollouts(missed, known),
                merge_rollouts(missed, first),
                merge_rollouts(first, missed),
            ):
                self.assertEqual((9, 9), (merged.offset, merged.origin))
                self.assertGreaterEqual(merged.seen_s, 106.0)
                self.assertEqual(in_use, sorted(merged.trusted))
                self.assertIs(kind, trust(merged, "v2"))
            # It may also have missed an order in between, or know a later repetition.
            later = adopt_order(missed, ORDER, 11, 108.0, ["v1"])
            merged = merge_rollouts(later, known)
            self.assertEqual((11, 9, 106.0), _identity(merged))
            self.assertEqual(merged, merge_rollouts(known, later))

    def test_a_repetition_of_an_undecided_order_goes_on(self):
        """An order that was written twice ended at another time for some nodes."""
        repeated = adopt_order(running(), ORDER, 9, 105.0, ["v1"])
        late = adopt_order(None, ORDER, 9, 105.2, ["v1"])
        for merged in (merge_rollouts(repeated, late), merge_rollouts(late, repeated)):
            self.assertEqual((9, 5, 100.0), _identity(merged))

    def test_a_node_that_sees_the_new_version_alone_does_not_trust_it(self):
        """A node that started during a rollout ended the trial of all nodes."""
        alone = adopt_order(None, ORDER, 5, 103.0, ["v2"])
        for merged in (
            merge_rollouts(running(), alone),
            merge_rollouts(alone, running()),
        ):
            self.assertIs(Trust.ON_TRIAL, trust(merged, "v2"))


def _identity(rollout):
    return rollout.offset, rollout.origin, rollout.seen_s


class StateTest(testtools.TestCase):
    def test_a_sound_version_succeeds_in_time(self):
        """The status came after the end of the rollout."""
        for round_s in (0.2, 1.6, 4.0, 7.6):
            for duration_s in (3.0, 12.0, 60.0):
                rollout = running(duration_s=duration_s)
                at_s = _first_decision_s(rollout, round_s=round_s)
                self.assertGreaterEqual(at_s, 0.4 * duration_s - 0.1)
                self.assertLessEqual(
                    at_s, max(0.4 * duration_s + 0.1, duration_s - 2.9)
                )

    def test_a_bad_version_is_rolled_back(self):
        """A version that the evidence shows to be bad got the traffic."""
        at_once = situation(101.0, bad_at_once=True)
        self.assertIs(RolloutState.ROLLED_BACK, next_state(running(), at_once))
        at_end = situation(109.5, bad_at_end=True)
        self.assertIs(RolloutState.ROLLED_BACK, next_state(running(), at_end))
        self.assertIsNone(next_state(running(), replace(at_end, now_s=103.0)))

    def test_an_unsure_rollout_is_rolled_back_in_time(self):
        """The old engines were stopped for a version that nobody knew."""
        for changes in ({"answers": 9}, {"new": FleetLoad()}):
            self.assertIsNone(next_state(running(), situation(109.9, **changes)))
            state = next_state(running(), situation(110.1, **changes))
            self.assertIs(RolloutState.ROLLED_BACK, state)
        late = situation(112.1)
        self.assertIs(RolloutState.ROLLED_BACK, next_state(running(), late))

    def test_an_order_for_the_version_in_use_ends_without_its_engines(self):
        """It ran forever if all engines had ended, and nobody ordered new ones."""
        rollout = adopt_order(None, ORDER, 5, 100.0, ["v2"])
        none = FleetLoad()
        self.assertIsNone(next_state(rollout, situation(109.9, old=none, new=none)))
        state = next_state(rollout, situation(110.1, old=none, new=none))
        self.assertIs(RolloutState.ROLLED_BACK, state)
        self.assertIs(Trust.TRUSTED, trust(decided(rollout, state), "v2"))

    def test_a_decided_rollout_stays(self):
        """A later holder decided an order for the second time."""
        for state in (RolloutState.SUCCEEDED, RolloutState.ROLLED_BACK):
            bad = situation(101.0, bad_at_once=True)
            self.assertIsNone(next_state(decided(running(), state), bad))

    def test_success_bars_the_old_versions_alone(self):
        """A version that came after a success got no requests."""
        success = decided(running(), RolloutState.SUCCEEDED)
        self.assertEqual(
            [Trust.BARRED, Trust.TRUSTED, Trust.TRUSTED],
            [trust(success, each) for each in ("v1", "v2", "v3")],
        )

    def test_the_new_engines_must_carry_the_load(self):
        """A success left too few engines for the work in progress."""
        self.assertTrue(can_carry(FLEET, FleetLoad(20, 480, 10)))
        self.assertFalse(can_carry(FLEET, FleetLoad()))
        self.assertFalse(can_carry(FLEET, FleetLoad(10, 240, 10)))
        self.assertTrue(can_carry(FleetLoad(20, 480, 60), FleetLoad(10, 240, 10)))
        self.assertFalse(can_carry(FleetLoad(20, 480, 350), FleetLoad(20, 480, 20)))


class TrialTest(testtools.TestCase):
    def test_the_shares_of_all_nodes_stay_within_the_bound(self):
        """Shares that were rounded up exceeded the bound on a bad version."""
        bounds = RolloutBounds()
        for nodes in (1, 3, 83, 195, 380):
            for number in range(10):
                rollout, rng = running(origin=number), random.Random(number)
                phases = [share_phase(f"n{each}", rollout) for each in range(nodes)]
                for requests in (0, 5, 60, 2000):
                    sends = [rng.randrange(requests + 1) for _ in range(nodes)]
                    allowed = sum(
                        trial_allowance(bounds, each, nodes, phase)
                        for each, phase in zip(sends, phases, strict=True)
                    )
                    self.assertLessEqual(allowed, 0.1 * sum(sends) + 50)
                    if nodes <= 83 and requests >= 60:
                        self.assertGreaterEqual(allowed, 0.03 * sum(sends))

    def test_trial_engines_have_the_load_of_the_old_ones(self):
        """The trial spread over all new engines, none of which had any load."""
        old = [_record(f"o{each}", f"dc-{each % 3}") for each in range(60)]
        new = [_record(f"n{each}", f"dc-{each % 3}", "v2") for each in range(60)]
        chosen = trial_engines(running(), old, new, RolloutBounds())
        self.assertEqual(
            ["dc-0", "dc-1", "dc-2"], sorted(e.data_centre for e in chosen)
        )
        shuffled = trial_engines(running(), old, new[::-1], RolloutBounds())
        self.assertEqual(set(chosen), set(shuffled))
        self.assertEqual([], trial_engines(running(), old, [], RolloutBounds()))
        one_place = [replace(each, data_centre="dc-0") for each in new]
        self.assertEqual(
            2, len(trial_engines(running(), [], one_place, RolloutBounds()))
        )


def _record(upstream_id, data_centre, version="v1"):
    return UpstreamRecord(
        upstream_id, "s", "h", 1, data_centre, 24, False, 1, 1, version=version
    )


def _first_decision_s(rollout: Rollout, **changes) -> float:
    """Return the time after the order at which the rollout is decided."""
    for tick in range(1000):
        if next_state(rollout, situation(100.0 + tick / 10, **changes)) is not None:
            return tick / 10
    raise AssertionError("not decided")
