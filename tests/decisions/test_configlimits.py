"""Test the search for limits that contradict each other."""

import itertools
import math
from dataclasses import replace

import testtools

from cicadapass_decisions.configlimits import find_contradictions
from cicadapass_decisions.passthrough import (
    CallerLimits,
    CallKind,
    Scaling,
    Service,
    Workspace,
)
from tests.decisions.configurations import SCALING, configuration, route

ROUTE = route("r", attempts=4)
SERVICE = Service("s0", True, 4, SCALING)
PLAIN = replace(SERVICE, model_engine=False)
WORKSPACE = Workspace("w", frozenset({"k"}), rate_per_s=0.5, burst=1.0)
TOKENS = replace(WORKSPACE, counts_tokens=True, plain_tokens=200, burst=200.0)
NO_ENGINES = replace(SERVICE, scaling=replace(SCALING, minimum=0, maximum=0))
MANY_ENGINES = replace(SERVICE, scaling=replace(SCALING, minimum=3))
ANY_ENGINES = replace(SERVICE, scaling=replace(SCALING, prices={}))
LOW_RATE = replace(WORKSPACE, rate_per_s=0.1, burst=0.0)
# A finding with the field that it names, and what causes it.
MISTAKES = (
    # A target was never missed, as calls were ended before it.
    ("target_beyond_timeout target_latency_s", replace(ROUTE, target_latency_s=3.1)),
    # A silent stream was ended by the timeout first.
    ("gap_beyond_timeout max_gap_s", replace(ROUTE, max_gap_s=4.0)),
    # More attempts were allowed than engines in all data centres.
    ("attempts_beyond_engines attempts", replace(ROUTE, attempts=5)),
    # A minimum above the maximum was never reached.
    ("minimum_beyond_maximum minimum", MANY_ENGINES),
    # A maximum of no engines was reported as too few for the attempts as well.
    ("invalid_limit maximum", NO_ENGINES),
    # A burst did not cover one call.
    ("burst_below_request burst", replace(TOKENS, burst=199.0), PLAIN),
    # The first call of a window exceeded the limit.
    ("burst_below_request rate_per_s", LOW_RATE),
    # A workspace with a burst looked limited and was not.
    ("burst_without_rate burst", replace(WORKSPACE, rate_per_s=0.0)),
    # Every body was refused by a limit of 0.
    ("invalid_limit max_body_bytes", CallerLimits(max_body_bytes=0)),
)
ENDLESS = (-1.0, math.nan, math.inf)
OUT_OF_RANGE = (
    (ROUTE, "timeout_s target_latency_s max_gap_s", (0.0, *ENDLESS)),
    (ROUTE, "attempts", (0,)),
    (SERVICE, "tokens_per_event", (0,)),
    (SCALING, "minimum", (-1,)),
    (SCALING, "maximum", (0,)),
    (SCALING, "boot_s reclaimable_price_ratio", ENDLESS),
    (SCALING, "prices", [{"dc-a": each} for each in ENDLESS]),
    (WORKSPACE, "rate_per_s burst", ENDLESS),
    (TOKENS, "plain_tokens", (0,)),
    (CallerLimits(), "max_header_bytes max_body_bytes", (0,)),
    (CallerLimits(), "header_timeout_s idle_timeout_s", (0.0, *ENDLESS)),
)
FREE = Scaling(0, 1, 0.0, 0.0, {"dc-a": 0.0})
VALID = (
    (),
    (TOKENS, PLAIN),
    (replace(TOKENS, plain_tokens=1),),
    (Service("s0", True, 1, FREE), route("r", attempts=1)),
    (replace(WORKSPACE, rate_per_s=0.125, burst=0.0),),
    # A service without a share gets none of the attempts.
    (route("r", weights=(0.0, 1.0), attempts=9),),
    # All calls go to model engines, whose callers name their tokens.
    (replace(TOKENS, burst=1.0),),
    (replace(WORKSPACE, rate_per_s=1.0, burst=0.0),),
    (replace(ROUTE, target_latency_s=3.0, max_gap_s=3.0),),
    # The number of data centres is not known.
    (replace(ROUTE, attempts=9), ANY_ENGINES),
    # The calls may run only once.
    (replace(ROUTE, attempts=9, kind=CallKind.UNSAFE),),
)


def findings(*changed):
    """Return the findings and their fields; changed entries replace usual ones."""
    kinds = {type(each) for each in changed}
    usual = [e for e in (ROUTE, SERVICE, WORKSPACE) if type(e) not in kinds]
    found = find_contradictions(configuration(*changed, *usual))
    return [f"{each.kind} {each.path[-1]}" for each in found]


class ContradictionTest(testtools.TestCase):
    def test_limits_at_their_bounds_are_valid(self):
        """A limit that just suffices was reported."""
        for entries in VALID:
            self.assertEqual([], findings(*entries), entries)

    def test_mistakes_are_reported_at_their_place(self):
        """A configuration with one of the mistakes above was sent."""
        for finding, *entries in MISTAKES:
            self.assertEqual([finding], findings(*entries))

    def test_values_out_of_range_are_reported(self):
        """A timeout of 0 ended every call, or a rate of no number was no limit."""
        for entry, names, values in OUT_OF_RANGE:
            for name, value in itertools.product(names.split(), values):
                changed = replace(entry, **{name: value})
                if entry is SCALING:
                    changed = replace(SERVICE, scaling=changed)
                found = findings(changed)
                place = "dc-a" if name == "prices" else name
                self.assertIn(f"invalid_limit {place}", found, (name, value))
