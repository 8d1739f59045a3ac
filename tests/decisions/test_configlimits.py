"""Test the search for limits that contradict each other."""

import math
from dataclasses import replace

import testtools

from cicadapass_decisions.configfindings import FindingKind
from cicadapass_decisions.configlimits import find_contradictions
from cicadapass_decisions.passthrough import (
    CallerLimits,
    CallKind,
    Configuration,
    Route,
    Scaling,
    Service,
    WeightedService,
    Workspace,
)

SCALING = Scaling(1, 2, 4.0, 0.2, {"dc-a": 1.0, "dc-b": 1.0})
SERVICE = Service("s", True, 4, SCALING)
PLAIN = replace(SERVICE, model_engine=False)
ROUTE = Route(
    "r", "h", "/", CallKind.SAFE, (WeightedService("s", 1.0),), 3.0, 0.5, attempts=4
)
WORKSPACE = Workspace("w", frozenset({"k"}), rate_per_s=0.5, burst=1.0)
TOKENS = replace(WORKSPACE, counts_tokens=True, plain_tokens=200, burst=200.0)
LIMITS = CallerLimits()


def kinds(route=ROUTE, service=SERVICE, workspace=WORKSPACE, limits=LIMITS):
    """Return the kinds and the last parts of the paths of the findings."""
    one = Configuration(1, (route,), {"s": service}, (workspace,), limits)
    return [(each.kind, each.path[-1]) for each in find_contradictions(one)]


# A mistake of each kind, the finding and its place, and what is changed.
MISTAKES = (
    (
        "A target was never missed, as calls were ended before it.",
        (FindingKind.TARGET_BEYOND_TIMEOUT, "target_latency_s"),
        {"route": replace(ROUTE, target_latency_s=3.1)},
    ),
    (
        "A silent stream was ended by the timeout first.",
        (FindingKind.GAP_BEYOND_TIMEOUT, "max_gap_s"),
        {"route": replace(ROUTE, max_gap_s=4.0)},
    ),
    (
        "More attempts were allowed than engines in all data centres.",
        (FindingKind.ATTEMPTS_BEYOND_ENGINES, "attempts"),
        {"route": replace(ROUTE, attempts=5)},
    ),
    (
        "A minimum above the maximum was never reached.",
        (FindingKind.MINIMUM_BEYOND_MAXIMUM, "minimum"),
        {"service": replace(SERVICE, scaling=replace(SCALING, minimum=3))},
    ),
    (
        "A maximum of no engines was reported as too few for the attempts as well.",
        (FindingKind.INVALID_LIMIT, "maximum"),
        {"service": replace(SERVICE, scaling=replace(SCALING, minimum=0, maximum=0))},
    ),
    (
        "A burst did not cover one call.",
        (FindingKind.BURST_BELOW_REQUEST, "burst"),
        {"workspace": replace(TOKENS, burst=199.0), "service": PLAIN},
    ),
    (
        "The first call of a window exceeded the limit.",
        (FindingKind.BURST_BELOW_REQUEST, "rate_per_s"),
        {"workspace": replace(WORKSPACE, rate_per_s=0.1, burst=0.0)},
    ),
    (
        "A workspace with a burst looked limited and was not.",
        (FindingKind.BURST_WITHOUT_RATE, "burst"),
        {"workspace": replace(WORKSPACE, rate_per_s=0.0)},
    ),
    (
        "Every body was refused by a limit of 0.",
        (FindingKind.INVALID_LIMIT, "max_body_bytes"),
        {"limits": CallerLimits(max_body_bytes=0)},
    ),
)


class ContradictionTest(testtools.TestCase):
    def test_limits_at_their_bounds_are_valid(self):
        """A limit that just suffices was reported."""
        unknown = replace(SERVICE, scaling=replace(SCALING, prices={}))
        for case in (
            {},
            {"workspace": TOKENS, "service": PLAIN},
            # All calls go to model engines, whose callers name their tokens.
            {"workspace": replace(TOKENS, burst=1.0), "service": SERVICE},
            {"workspace": replace(WORKSPACE, rate_per_s=1.0, burst=0.0)},
            {"route": replace(ROUTE, target_latency_s=3.0, max_gap_s=3.0)},
            {"route": replace(ROUTE, attempts=9), "service": unknown},
            {"route": replace(ROUTE, attempts=9, kind=CallKind.UNSAFE)},
        ):
            self.assertEqual([], kinds(**case), case)

    def test_mistakes_are_reported_at_their_place(self):
        """A configuration with one of the mistakes above was sent."""
        for mistake, finding, changes in MISTAKES:
            self.assertEqual([finding], kinds(**changes), mistake)

    def test_impossible_times_are_reported(self):
        """A timeout of 0 or no number ended every call."""
        for value in (0.0, -1.0, math.nan, math.inf):
            found = kinds(route=replace(ROUTE, timeout_s=value))
            self.assertIn((FindingKind.INVALID_LIMIT, "timeout_s"), found)
