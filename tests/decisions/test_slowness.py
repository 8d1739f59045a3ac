"""Test the detection of slow and failing upstreams."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.policy import SlownessRules
from cicadapass_decisions.slowness import (
    Health,
    SpeedTracker,
    Timing,
    evaluate_group,
    observe,
    on_failure,
    on_success,
    with_verdict,
)

RULES = SlownessRules()


def _measured(
    inter_s, first_s=0.1, count=5, tracker=None, start_s=0.0, step_s=0.2, bound=False
):
    tracker = tracker or SpeedTracker()
    for i in range(count):
        timing = Timing(first_s, inter_s, bound)
        tracker = observe(tracker, timing, start_s + i * step_s, RULES)
    return tracker


def _group(slow, good, ratio=10.0):
    group = {f"good{i}": _measured(0.02) for i in range(good)}
    return group | {f"slow{i}": _measured(0.02 * ratio) for i in range(slow)}


class SlownessTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.integers(1, 10), st.floats(4.0, 100.0))
    def test_finds_the_slow_fifth(self, slow, ratio):
        """A much slower fifth of a group of any size must be detected."""
        verdict = evaluate_group(_group(slow, 4 * slow, ratio), RULES)
        slow_names = {
            name for name, health in verdict.health.items() if health is Health.SLOW
        }
        self.assertEqual({f"slow{i}" for i in range(slow)}, slow_names)
        self.assertFalse(verdict.panic)

    def test_finds_the_slow_one_of_two(self):
        """The median of a pair must not be the slow one."""
        verdict = evaluate_group(_group(1, 1), RULES)
        self.assertEqual(Health.SLOW, verdict.health["slow0"])

    def test_whole_group_slow_is_good(self):
        """Load that slows all upstreams equally must not exclude all of them."""
        verdict = evaluate_group(_group(5, 0), RULES)
        self.assertEqual({Health.GOOD}, set(verdict.health.values()))

    def test_panics_when_most_are_bad(self):
        """Verdicts that leave too few healthy upstreams must cause panic."""
        group = {f"u{i}": SpeedTracker(failures=9 if i < 3 else 0) for i in range(5)}
        self.assertTrue(evaluate_group(group, RULES).panic)
        del group["u0"]
        self.assertFalse(evaluate_group(group, RULES).panic)

    def test_probes_restore_an_upstream(self):
        """An upstream that was slow for a moment must become healthy again."""
        group = _group(1, 4)
        slow = with_verdict(group["slow0"], Health.SLOW)
        group["slow0"] = _measured(0.02, count=5, tracker=slow, start_s=2.0, step_s=1.0)
        self.assertEqual(Health.GOOD, evaluate_group(group, RULES).health["slow0"])

    def test_missing_first_token_counts(self):
        """An upstream that stalls must be detected before its first token arrives."""
        group = _group(0, 4)
        stalled = _measured(0.02, count=3)
        group["slow0"] = _measured(
            None, 2.0, tracker=stalled, start_s=1.0, count=2, bound=True
        )
        self.assertEqual(Health.SLOW, evaluate_group(group, RULES).health["slow0"])

    def test_short_wait_is_not_a_measurement(self):
        """A wait that has just begun must not make an upstream look fast."""
        tracker = _measured(0.02)
        self.assertEqual(
            tracker, observe(tracker, Timing(0.001, None, True), 9.0, RULES)
        )

    def test_only_consecutive_failures_count(self):
        """A success between failures must reset the count."""
        tracker = on_failure(on_success(on_failure(on_failure(SpeedTracker()))))
        self.assertEqual(Health.GOOD, evaluate_group({"u": tracker}, RULES).health["u"])
        tracker = on_failure(on_failure(tracker))
        self.assertEqual(
            Health.FAILING, evaluate_group({"u": tracker}, RULES).health["u"]
        )
