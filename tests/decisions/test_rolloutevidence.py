"""Test the verdict on new versions, over drawn rollouts and for odd counts."""

import random

import testtools

from cicadapass_decisions.rolloutevidence import (
    AT_END_PROBABILITY,
    AT_ONCE_PROBABILITY,
    TROUBLED_PROBABILITY,
    TRUSTED_SIDE,
    Counts,
    Rule,
    Side,
    SpeedBaseline,
    add_up,
    find_fault,
    find_fault_at_end,
    tail_probability,
)

# The routes of deployment A, by their part of its streams, and of the trials a second.
ROUTES = {"long": 0.18, "short": 0.75, "rare": 0.07}
TRIALS_PER_S = 16.0
OLD_PER_TRIAL = 19
ENGINES = ("e1", "e2", "e3")
# When the verdict of success falls due in 12 s, and how old the sums of others are.
END_S, DELAY_S, STEP_S = 8.9, 1.6, 0.3


def _drawn(rng, ended, rate):
    """Return the counts of answers that fail at a rate."""
    return Counts(ended=ended, failed=sum(rng.random() < rate for _ in range(ended)))


def _timed(rng, timed, rate):
    """Return the counts of answers that are late at a rate."""
    return Counts(timed=timed, late=sum(rng.random() < rate for _ in range(timed)))


class Draw:
    """Draw the answers of one rollout; `bad` has what is wrong with the version."""

    def __init__(self, rng, bad=None, day=None):
        self._rng, self._bad, self._day = rng, bad or {}, day
        self._slow_engine = rng.choice(ENGINES)
        self.reports = []
        self.bad_sent_s = []

    def run(self):
        """Return when and why the version was found bad, or None twice."""
        now_s, counts = 0.0, {}
        history = []
        while now_s < END_S:
            now_s += STEP_S
            for _ in range(self._number(TRIALS_PER_S * STEP_S)):
                self._answer(counts, now_s, self._rng.choice(ENGINES))
            for _ in range(self._number(TRIALS_PER_S * STEP_S) * OLD_PER_TRIAL):
                self._answer(counts, now_s, TRUSTED_SIDE)
            history.append((now_s, dict(counts)))
            known = [each for at_s, each in history if at_s <= now_s - DELAY_S]
            finding = find_fault(known[-1] if known else {}, AT_ONCE_PROBABILITY)
            if finding is not None:
                return now_s, finding
        finding = find_fault_at_end(counts)
        return (now_s, finding) if finding is not None else (None, None)

    def _number(self, mean):
        return int(mean) + (self._rng.random() < mean % 1)

    def _answer(self, counts, now_s, engine):
        route = self._rng.choices(list(ROUTES), ROUTES.values())[0]
        failure, late = 0.0005, 0.06
        if self._day == "flaps" and 3 < now_s < 4:
            failure = 0.03
        if self._day == "burst" and 4 < now_s < 6:
            late = 0.25
        if self._day == "slow engine":
            if engine == self._slow_engine:
                late = 0.9
            elif engine == TRUSTED_SIDE:
                late = 0.1
        bad = self._bad
        applies = now_s >= bad.get("from_s", 0) and bad.get("route", route) == route
        if engine != TRUSTED_SIDE and applies:
            failure = max(failure, bad.get("failure", 0))
            late = max(late, bad.get("late", 0))
        failed, is_late = self._rng.random() < failure, self._rng.random() < late
        if engine != TRUSTED_SIDE and (failed or is_late):
            self.bad_sent_s.append(now_s)
        side = Side(route, engine)
        counts[side] = counts.get(side, Counts()) + Counts(
            1, 1, int(failed), 1, int(is_late)
        )


def rate_of_bad(rollouts, **draw):
    """Return the part of drawn rollouts that are found bad."""
    rng = random.Random(sum(map(ord, repr(sorted(draw.items())))))
    found = sum(Draw(rng, **draw).run()[0] is not None for _ in range(rollouts))
    return found / rollouts


class DrawnRolloutsTest(testtools.TestCase):
    def test_sound_versions_are_seldom_found_bad(self):
        """A version that works was rolled back for a crash, a flap or a slow engine."""
        for day in (None, "flaps", "burst", "slow engine"):
            self.assertLessEqual(rate_of_bad(50, day=day), 0.02, day)

    def test_bad_versions_are_found(self):
        """A version that fails, or that is slow, got the traffic of a service."""
        for bad, least in (
            ({"failure": 1.0}, 1.0),
            ({"failure": 0.2}, 1.0),
            ({"failure": 0.05}, 0.8),
            ({"failure": 0.02}, 0.4),
            ({"late": 0.7}, 1.0),
            ({"failure": 0.2, "from_s": 5.0}, 0.95),
            ({"late": 0.7, "from_s": 5.0}, 0.95),
            ({"failure": 0.3, "route": "long"}, 0.85),
            ({"late": 0.7, "route": "long"}, 0.9),
            ({"failure": 1.0, "route": "rare"}, 0.95),
        ):
            self.assertGreaterEqual(rate_of_bad(40, bad=bad), least, bad)

    def test_a_bad_version_stops_within_the_bound(self):
        """Requests went to a version long after its fiftieth bad answer."""
        for failure in (0.2, 0.5, 1.0):
            for number in range(20):
                draw = Draw(random.Random(number), {"failure": failure})
                found_s, _ = draw.run()
                sent_s = [each for each in draw.bad_sent_s if each <= found_s]
                if len(sent_s) >= 50:
                    self.assertLess(found_s - sent_s[49], 5.0, (failure, number))


class FindingTest(testtools.TestCase):
    def test_a_bad_version_is_found_while_the_trusted_one_fails_as_well(self):
        """A version that failed half of its answers succeeded in a soak (finding 97).

        All engines cut answers then, so that 17 in 100 of the old version failed.
        """
        found = {0.17: 0, 0.58: 0}
        for rate in found:
            rng = random.Random(1)
            for _ in range(400):
                evidence = {}
                for route in "abcd":
                    evidence[Side(route, TRUSTED_SIDE)] = _drawn(rng, 85, 0.17)
                    for engine in ("e", "f"):
                        evidence[Side(route, engine)] = _drawn(rng, 4, rate)
                finding = find_fault_at_end(evidence, 2)
                found[rate] += finding is not None
        self.assertLessEqual(found[0.17], 8)
        self.assertGreaterEqual(found[0.58], 370)

    def test_trusted_failures_change_the_bound_of_failures_alone(self):
        """Trusted failures doubled the sound versions that a slow engine had ended."""
        for old_failed, found in ((100, False), (101, True)):
            old = {Side("a", TRUSTED_SIDE): Counts(ended=1000, failed=old_failed)}
            new = {Side("a", each): Counts(ended=16, failed=5) for each in ("e", "f")}
            rate = 1.5 * (old_failed + 1) / 1002
            probability = tail_probability(32, 10, rate)
            self.assertTrue(AT_END_PROBABILITY < probability < TROUBLED_PROBABILITY)
            finding = find_fault_at_end({**old, **new}, 2)
            self.assertIs(found, finding is not None, old_failed)
        found = {0.0: 0, 0.17: 0}
        for rate in found:
            rng = random.Random(1)
            for _ in range(400):
                evidence = {}
                for route in "abcd":
                    side = Side(route, TRUSTED_SIDE)
                    evidence[side] = _timed(rng, 85, 0.02) + _drawn(rng, 85, rate)
                    for engine, late in zip(ENGINES, (0.6, 0.05, 0.05), strict=True):
                        evidence[Side(route, engine)] = _timed(rng, 4, late)
                found[rate] += find_fault_at_end(evidence, 3) is not None
        self.assertLessEqual(found[0.0], 24)
        self.assertLessEqual(found[0.17], 24)

    def test_one_odd_engine_does_not_speak_for_its_version(self):
        """One engine with a fault of its own rolled its version back."""
        old = {Side("r", TRUSTED_SIDE): Counts(900, 900, 1, 900, 20)}
        odd = {Side("r", "e1"): Counts(40, 40, 30, 40, 0)}
        sound = {Side("r", "e2"): Counts(80, 80, 1, 80, 3)}
        self.assertIsNone(find_fault({**old, **odd, **sound}, AT_END_PROBABILITY))
        self.assertIsNone(find_fault({**old, **odd}, AT_END_PROBABILITY, engines=3))
        finding = find_fault({**old, **odd}, AT_ONCE_PROBABILITY)
        self.assertEqual((Rule.FAILED, "r", 30, 40), _short(finding))

    def test_a_version_without_anything_to_compare_is_not_judged(self):
        """A version was found bad for failures that the old ones may have as well."""
        evidence = {Side("r", "e1"): Counts(9, 9, 4, 9, 4)}
        self.assertIsNone(find_fault(evidence, AT_END_PROBABILITY))
        self.assertIsNone(find_fault({}, AT_END_PROBABILITY))

    def test_repeated_reports_change_nothing(self):
        """A duplicated datagram counted the same failures twice."""
        report = {Side("r", "e1"): Counts(9, 8, 4, 7, 3)}
        older = Counts(7, 7, 4, 5, 1)
        newest = report[Side("r", "e1")].at_least(older).at_least(older)
        self.assertEqual(report[Side("r", "e1")], newest)
        self.assertEqual(Counts(18, 16, 8, 14, 6), *add_up([report, report]).values())

    def test_tails_are_exact(self):
        """An error in the tail shifted the rate of false verdicts."""
        self.assertAlmostEqual(0.5**10, tail_probability(10, 10, 0.5))
        self.assertAlmostEqual(11 / 1024, tail_probability(10, 9, 0.5), places=6)
        self.assertEqual(1.0, tail_probability(10, 0, 0.5))

    def test_a_tail_too_small_for_a_float_ends(self):
        """The sum went through all counts, which stopped the node for as long."""
        self.assertEqual(0.0, tail_probability(10**13, 5 * 10**12, 0.001))


class SpeedBaselineTest(testtools.TestCase):
    def test_lateness_is_relative_to_the_size_and_the_moment(self):
        """Long prompts, or a loaded minute, made a version look slow."""
        baseline = SpeedBaseline()
        self.assertIsNone(baseline.limit_s(0, 0.0, 0.0))
        for _ in range(6):
            baseline.record(1000, 0.2, 0.0)
        self.assertAlmostEqual(0.55, baseline.limit_s(1000, 0.0, 1.0))
        self.assertAlmostEqual(2.55, baseline.limit_s(9000, 0.0, 1.0))
        self.assertIsNone(baseline.limit_s(1000, 0.0, 11.0))

    def test_engines_without_cached_segments_are_not_late(self):
        """New engines looked slow, as old ones had the shared segments in memory."""
        baseline = SpeedBaseline()
        for _ in range(6):
            baseline.record(6000, 0.07, 0.0)
        self.assertAlmostEqual(0.225, baseline.limit_s(6000, 0.0, 1.0))
        self.assertAlmostEqual(0.65, baseline.limit_s(6000, 0.3, 1.0))


def _short(finding):
    return finding.rule, finding.route, finding.new_bad, finding.new_total
