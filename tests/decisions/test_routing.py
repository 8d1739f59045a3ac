"""Test the routing of attempts."""

import random
from dataclasses import replace

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.policy import Policy, RoutingRules
from cicadapass_decisions.routing import NoUpstreamKind, choose_upstream
from cicadapass_decisions.scoring import (
    Candidate,
    CandidateStatus,
    InFlight,
    LoadReport,
    RoutingRequest,
    expected_load,
)
from cicadapass_decisions.slowness import Health
from cicadapass_decisions.work import WorkKind

POLICY = Policy()
SHORT, LONG = WorkKind.SHORT, WorkKind.LONG

in_flights = st.builds(InFlight, st.integers(0, 5), st.integers(0, 5))
candidate_lists = st.lists(
    st.builds(
        Candidate,
        upstream=st.uuids().map(str),
        data_centre=st.sampled_from(["f/a", "f/b"]),
        limit=st.integers(1, 8),
        local=in_flights,
        peers=in_flights,
        leaving=st.booleans(),
        health=st.sampled_from(Health),
        probe_due=st.booleans(),
        hop_s=st.sampled_from([0.0, 0.002]),
    ),
    max_size=8,
)


def _choose(candidates, request=None, panic=False, seed=1, policy=POLICY):
    request = request or RoutingRequest(SHORT, 20)
    rng = random.Random(seed)
    return choose_upstream(request, candidates, rng, 10.0, policy, panic)


def _candidate(name, **fields):
    return Candidate(name, fields.pop("data_centre", "f/a"), 8, **fields)


class RoutingTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        candidate_lists, st.sampled_from([SHORT, LONG]), st.booleans(), st.booleans()
    )
    def test_never_chooses_an_excluded_upstream(
        self, candidates, kind, panic, repeatable
    ):
        """Leaving, full and (without panic) unhealthy upstreams must get no request."""
        request = RoutingRequest(kind, 20, repeatable=repeatable)
        result = _choose(candidates, request, panic)
        if result.is_error():
            return
        chosen = next(c for c in candidates if c.upstream == result.ok.upstream)
        self.assertFalse(chosen.leaving)
        used = chosen.local + chosen.peers
        self.assertTrue(used.short + used.long < chosen.limit)
        if chosen.health is not Health.GOOD and not panic:
            self.assertTrue(chosen.probe_due and repeatable)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(candidate_lists, st.booleans())
    def test_finds_an_eligible_upstream(self, candidates, panic):
        """Random draws must not miss the only eligible upstream."""
        eligible = [
            candidate
            for candidate in candidates
            if not candidate.leaving
            and (candidate.health is Health.GOOD or panic)
            and (candidate.local + candidate.peers).short
            + (candidate.local + candidate.peers).long
            < candidate.limit
        ]
        result = _choose(candidates, RoutingRequest(SHORT, 20), panic)
        if eligible:
            self.assertTrue(result.is_ok())
        elif all(candidate.leaving for candidate in candidates):
            self.assertEqual(NoUpstreamKind.NONE, result.error.kind)

    def test_panic_does_not_choose_leaving_upstreams(self):
        """Leaving upstreams must get no work even if all others are unhealthy."""
        failing = [_candidate(f"b{i}", health=Health.FAILING) for i in range(2)]
        leaving = [_candidate(f"l{i}", leaving=True) for i in range(8)]
        for seed in range(50):
            choice = _choose([*leaving, *failing], panic=True, seed=seed).ok
            self.assertIn(choice.upstream, {"b0", "b1"})

    def test_prefers_the_less_loaded(self):
        """The less loaded of two candidates must win, unless it is much slower."""
        busy = _candidate("busy", local=InFlight(short=5))
        self.assertEqual("idle", _choose([busy, _candidate("idle")]).ok.upstream)
        fast = replace(busy, upstream="fast", first_token_s=0.01, inter_token_s=0.001)
        self.assertEqual("fast", _choose([fast, _candidate("idle")]).ok.upstream)

    def test_old_report_is_ignored(self):
        """An old load report must not keep work away from an idle upstream."""
        fresh = _candidate("u", report=LoadReport(6, 2, 10.0))
        self.assertEqual(8.0, expected_load(fresh, 10.0, POLICY))
        self.assertEqual(4.0, expected_load(fresh, 12.5, POLICY))
        self.assertEqual(0.0, expected_load(fresh, 20.0, POLICY))

    def test_prefix_is_weighed_against_load(self):
        """Prefix affinity must save prefill, but not overload one upstream."""
        near, holder = _candidate("near"), _candidate("holder")
        request = RoutingRequest(
            SHORT, 20, prompt_tokens=800, prefix_tokens={"holder": 800}
        )
        others = [_candidate(f"n{i}") for i in range(20)]
        self.assertEqual(
            "holder", _choose([near, holder, *others], request).ok.upstream
        )
        loaded = replace(holder, local=InFlight(short=7))
        little = replace(request, prompt_tokens=200, prefix_tokens={"holder": 200})
        self.assertEqual("near", _choose([near, loaded], little).ok.upstream)
        full = replace(holder, local=InFlight(short=8))
        self.assertEqual("near", _choose([near, full], request).ok.upstream)

    def test_hop_is_weighed_against_load(self):
        """Another data centre must be used only if it saves more than the hop costs."""
        far = _candidate("far", hop_s=0.05, data_centre="f/b")
        fars = [replace(far, upstream=f"far{i}") for i in range(9)]
        for seed in range(20):
            choice = _choose([_candidate("near"), *fars], seed=seed).ok
            self.assertEqual("near", choice.upstream)
        loaded = _candidate("near", local=InFlight(short=6))
        self.assertIn("far", _choose([loaded, *fars]).ok.upstream)

    def test_avoids_failed_upstream_unless_alone(self):
        """A retry must go elsewhere, but one upstream is better than none."""
        request = RoutingRequest(SHORT, 20, avoid=frozenset(["a"]))
        both = [_candidate("a"), _candidate("b")]
        self.assertEqual("b", _choose(both, request).ok.upstream)
        self.assertEqual("a", _choose(both[:1], request).ok.upstream)
        hedge = replace(request, must_avoid=True)
        self.assertTrue(_choose(both[:1], hedge).is_error())

    def test_reasons_cover_the_candidates(self):
        """An operator must see why an upstream was not chosen."""
        candidates = [_candidate("a"), _candidate("b", leaving=True)]
        choice = _choose(candidates).ok
        statuses = {reason.upstream: reason.status for reason in choice.reasons}
        self.assertEqual(
            {"a": CandidateStatus.CHOSEN, "b": CandidateStatus.LEAVING}, statuses
        )
        parts = choice.reasons[-1].breakdown_s or choice.reasons[0].breakdown_s
        self.assertAlmostEqual(choice.score_s, sum(parts.values()))

    def test_disabled_rules_have_no_effect(self):
        """Disabled mechanisms must not influence the choice."""
        rules = RoutingRules(use_peers=False, use_speed=False, use_reports=False)
        policy = replace(POLICY, routing=rules)
        other = _candidate("o", peers=InFlight(short=8), first_token_s=9.0)
        self.assertTrue(_choose([other], policy=policy).is_ok())
        self.assertEqual(0.0, expected_load(other, 10.0, policy))
