"""Compare what a new version of a service answers with what the old ones do.

Each node counts by route, and for the new version by engine as well. Counts only grow,
so that the sums over nodes need no order and survive lost messages. The verdict is a
function of the sums: the new counts are compared by the exact binomial tail with the
rate of the old ones, which stands for what the day itself does to answers.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

# In place of an engine: the counts of all trusted versions.
TRUSTED_SIDE = ""
# Probability of counts at least as bad from a sound version, below which a version is
# bad at once, and at the end. The first applies to some 30 looks in each rollout. The
# rates of false verdicts are measured by the test of this module.
AT_ONCE_PROBABILITY = 1e-5
AT_END_PROBABILITY = 5e-3
# While the trusted versions fail this often, their failures hide those of a bad version
# (half of 32 answers against 17 in 100), and a larger probability of failures applies
# at the end.
TROUBLED_FAILURE_RATE = 0.1
TROUBLED_PROBABILITY = 0.02
# Slow versions are late far more often than others; a smaller probability finds them as
# well, and spares those with a slow engine (3 of 200 drawn ones were found bad).
LATE_PROBABILITY_FACTOR = 0.02
# The trusted rates count as at least these: a flap or a pause costs some answers.
LEAST_FAILURE_RATE = 0.001
LEAST_LATE_RATE = 0.05
# Failures and late answers come in bursts, so that rates vary more than independent
# answers would.
BURST_FACTOR = 1.5
# Fewer bad answers say nothing of a version.
MIN_BAD_ANSWERS = 2
# If one engine has more than this part of the bad answers, the others decide.
ONE_ENGINE_FRACTION = 2 / 3
# An answer is late beyond this multiple of the median of the trusted versions.
LATE_FACTOR = 2.5
# Trusted answers that give the median, and their age.
MIN_SAMPLES = 3
MAX_SAMPLES = 48
SAMPLE_LIFETIME_S = 10.0
# Nor is it late within this multiple of the time in which a trusted engine reads the
# whole prompt: the engines of a new version have none of its segments in memory yet.
COLD_FACTOR = 2.0
# An answer takes as long as this many tokens beside those of its prompt.
BASE_TOKENS = 1000
# Differences below this are the node's own, or the network's.
LEAST_LATE_S = 0.05


class Rule(Enum):
    """Name the rule by which a version is bad; the values are logged."""

    FAILED = "failed"
    LATE = "late"


@dataclass(frozen=True, slots=True)
class Counts:
    """Count the answers of one side; each number only grows."""

    sent: int = 0
    # Answers of which it is known whether they failed.
    ended: int = 0
    failed: int = 0
    # Answers of which it is known whether they were late.
    timed: int = 0
    late: int = 0

    def __add__(self, other: "Counts") -> "Counts":
        """Return the sum of the counts of two nodes, routes or engines."""
        return Counts(
            self.sent + other.sent,
            self.ended + other.ended,
            self.failed + other.failed,
            self.timed + other.timed,
            self.late + other.late,
        )

    def __sub__(self, other: "Counts") -> "Counts":
        """Return what was counted since an earlier report of the same node."""
        return Counts(
            self.sent - other.sent,
            self.ended - other.ended,
            self.failed - other.failed,
            self.timed - other.timed,
            self.late - other.late,
        )

    def at_least(self, other: "Counts") -> "Counts":
        """Return the newer of two reports of the same node."""
        return Counts(
            max(self.sent, other.sent),
            max(self.ended, other.ended),
            max(self.failed, other.failed),
            max(self.timed, other.timed),
            max(self.late, other.late),
        )


@dataclass(frozen=True, slots=True)
class Side:
    """Identify what is counted together: a route and an engine of the new version."""

    route: str
    # The name of its start, or `TRUSTED_SIDE`.
    engine: str


# The counts of a node, or of all.
Evidence = Mapping[Side, Counts]


@dataclass(frozen=True, slots=True)
class Finding:
    """Store why a version is bad; the route is empty for all routes together."""

    rule: Rule
    route: str
    # Bad answers and all answers of each side.
    new_bad: int
    new_total: int
    old_bad: int
    old_total: int
    # The engine that was left out, or an empty text.
    left_out: str = ""


def add_up(reports: Iterable[Evidence]) -> dict[Side, Counts]:
    """Return the sums of the counts of several nodes."""
    total: dict[Side, Counts] = {}
    for report in reports:
        for side, counts in report.items():
            total[side] = total.get(side, Counts()) + counts
    return total


def answers_of_new(evidence: Evidence) -> int:
    """Return the answers of the new version of which it is known if they failed."""
    return sum(
        counts.ended for side, counts in evidence.items() if side.engine != TRUSTED_SIDE
    )


def find_fault_at_end(evidence: Evidence, engines: int = 1) -> Finding | None:
    """Return why the new version is bad at the end of its time, or None."""
    finding = find_fault(evidence, AT_END_PROBABILITY, engines)
    if finding is None and _trusted_fail_often(evidence):
        # Failures do not hide late answers, whose bound stays.
        return find_fault(evidence, TROUBLED_PROBABILITY, engines, [Rule.FAILED])
    return finding


def _trusted_fail_often(evidence: Evidence) -> bool:
    trusted = [each for side, each in evidence.items() if side.engine == TRUSTED_SIDE]
    failed, ended = sum(c.failed for c in trusted), sum(c.ended for c in trusted)
    return failed > TROUBLED_FAILURE_RATE * ended


def find_fault(
    evidence: Evidence,
    probability: float,
    engines: int = 1,
    rules: Iterable[Rule] = Rule,
) -> Finding | None:
    """Return why the new version is bad, or None if the counts do not show it.

    `engines` is the number of those on trial. One of several does not speak for all.
    """
    answered = {
        side.engine
        for side, counts in evidence.items()
        if side.engine != TRUSTED_SIDE and counts.ended + counts.timed > 0
    }
    if len(answered) < min(2, engines):
        return None
    routes = sorted({side.route for side in evidence})
    for rule in rules:
        for route in [*routes, *([""] if len(routes) > 1 else [])]:
            finding = _find_fault_of(evidence, rule, route)
            if finding is not None and _is_significant(finding, probability):
                return finding
    return None


def _find_fault_of(evidence: Evidence, rule: Rule, route: str) -> Finding | None:
    """Return the counts of a route by a rule; an odd engine alone is left out."""
    old_bad = old_total = 0
    by_engine: dict[str, tuple[int, int]] = {}
    for side, counts in evidence.items():
        if route and side.route != route:
            continue
        bad, total = _bad_and_total(counts, rule)
        if side.engine == TRUSTED_SIDE:
            old_bad, old_total = old_bad + bad, old_total + total
        else:
            known = by_engine.get(side.engine, (0, 0))
            by_engine[side.engine] = known[0] + bad, known[1] + total
    new_bad = sum(bad for bad, _ in by_engine.values())
    if new_bad < MIN_BAD_ANSWERS:
        return None
    worst = max(sorted(by_engine), key=lambda each: by_engine[each][0])
    left_out = ""
    if len(by_engine) > 1 and by_engine[worst][0] > ONE_ENGINE_FRACTION * new_bad:
        left_out = worst
    new_total = sum(total for _, total in by_engine.values())
    if left_out:
        new_bad -= by_engine[worst][0]
        new_total -= by_engine[worst][1]
    return Finding(rule, route, new_bad, new_total, old_bad, old_total, left_out)


def _bad_and_total(counts: Counts, rule: Rule) -> tuple[int, int]:
    if rule is Rule.FAILED:
        return counts.failed, counts.ended
    return counts.late, counts.timed


def _is_significant(finding: Finding, probability: float) -> bool:
    least = LEAST_FAILURE_RATE if finding.rule is Rule.FAILED else LEAST_LATE_RATE
    known = (finding.old_bad + 1) / (finding.old_total + 2)
    rate = min(1.0, max(least, BURST_FACTOR * known))
    if finding.new_bad < MIN_BAD_ANSWERS:
        return False
    if finding.rule is Rule.LATE:
        probability *= LATE_PROBABILITY_FACTOR
    return tail_probability(finding.new_total, finding.new_bad, rate) < probability


def tail_probability(total: int, bad: int, rate: float) -> float:
    """Return the probability of at least `bad` of `total` answers at a rate."""
    if bad <= total * rate or rate >= 1:
        return 1.0
    # Beyond the mean, each term is smaller than the one before.
    term = math.exp(
        math.lgamma(total + 1)
        - math.lgamma(bad + 1)
        - math.lgamma(total - bad + 1)
        + bad * math.log(rate)
        + (total - bad) * math.log1p(-rate)
    )
    probability = 0.0
    for count in range(bad, total + 1):
        probability += term
        term *= (total - count) / (count + 1) * rate / (1 - rate)
        # Both are 0 if the first term is too small for a float.
        if term <= 1e-3 * probability:
            break
    return probability


class SpeedBaseline:
    """Measure how long trusted engines take per token to the first event of a route."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def record(self, tokens: float, first_s: float, now_s: float) -> None:
        """Add an answer of a trusted version, with its uncached prompt tokens."""
        self._samples.append((now_s, first_s / (BASE_TOKENS + tokens)))

    def limit_s(self, tokens: float, cold_s: float, now_s: float) -> float | None:
        """Return the time beyond which an answer is late; None if not known.

        `cold_s` is the time in which a trusted engine reads the whole prompt.
        """
        recent = sorted(
            pace
            for sampled_s, pace in self._samples
            if now_s - sampled_s <= SAMPLE_LIFETIME_S
        )
        if len(recent) < MIN_SAMPLES:
            return None
        median = recent[len(recent) // 2]
        usual_s = LATE_FACTOR * median * (BASE_TOKENS + tokens)
        return max(usual_s, COLD_FACTOR * cold_s) + LEAST_LATE_S
