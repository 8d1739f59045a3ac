"""Test on what evidence a single version counts as the only one in use."""

import math
from dataclasses import replace

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.versionevidence import (
    MAX_UNHEARD_S,
    Finding,
    PeerReport,
    VersionEvidence,
    judge_versions,
)

NOW_S = 100.0
SOLE = VersionEvidence(
    asked_s=NOW_S,
    in_use=frozenset({"v1"}),
    covers_life=True,
    confirmed_s=NOW_S + 0.01,
    settled_s=-math.inf,
    peers=(PeerReport(NOW_S - 9),),
)
UNCONFIRMED = replace(SOLE, confirmed_s=NOW_S - 0.01)
TIMES_S = st.floats(NOW_S - 5, NOW_S + 5)


class JudgementTest(testtools.TestCase):
    def assert_finding(self, finding, evidence, **changes):
        """Assert what evidence with some changes shows."""
        self.assertIs(finding, judge_versions(replace(evidence, **changes)))

    def test_an_old_read_counts_for_the_present(self):
        """A view from before the question excluded versions that joined since."""
        self.assert_finding(Finding.SOLE_BY_REGISTRY, SOLE)
        self.assert_finding(Finding.UNPROVEN, UNCONFIRMED)

    def test_a_read_behind_a_return_counts_before_entries_are_back(self):
        """Entries that a copy lacked were taken for removed ones."""
        self.assert_finding(Finding.UNPROVEN, SOLE, settled_s=NOW_S + 1)
        later = {"settled_s": NOW_S + 1, "confirmed_s": NOW_S + 1}
        self.assert_finding(Finding.SOLE_BY_REGISTRY, SOLE, **later)

    def test_a_life_that_nobody_watched_counts(self):
        """A node that had started knew of no version before."""
        self.assert_finding(Finding.UNPROVEN, SOLE, covers_life=False)
        self.assert_finding(Finding.UNPROVEN, SOLE, in_use=frozenset())

    def test_several_versions_need_no_more_evidence(self):
        """A node asked the registry although it knew of two versions."""
        several = frozenset({"v1", "v2"})
        self.assert_finding(Finding.SEVERAL, UNCONFIRMED, in_use=several)

    def test_silent_peers_are_passed_over(self):
        """A node relied on others that it had not heard since the question."""
        heard, silent = PeerReport(NOW_S + 0.1), PeerReport(NOW_S - 0.1)
        self.assert_finding(Finding.SOLE_BY_PEERS, UNCONFIRMED, peers=(heard,))
        self.assert_finding(Finding.SOLE_BY_PEERS, UNCONFIRMED, peers=())
        self.assert_finding(Finding.UNPROVEN, UNCONFIRMED, peers=(heard, silent))
        # With many nodes, each reports less often.
        self.assert_finding(
            Finding.SOLE_BY_PEERS, UNCONFIRMED, peers=(silent,), report_age_s=3.8
        )

    def test_an_ended_peer_ends_the_streams_of_one_version(self):
        """A killed node, or one that was cut off for long, was judged alike."""
        ended = PeerReport(NOW_S - 1, NOW_S + 0.1)
        self.assert_finding(Finding.SOLE_BY_PEERS, UNCONFIRMED, peers=(ended,))
        cut = PeerReport(NOW_S - 1, NOW_S + MAX_UNHEARD_S)
        self.assert_finding(Finding.UNPROVEN, UNCONFIRMED, peers=(cut,))

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(TIMES_S, TIMES_S, st.lists(TIMES_S, max_size=3))
    def test_nobody_has_looked_since_the_question(self, confirmed_s, settled_s, sent_s):
        """Some evidence without a look since the question was enough."""
        evidence = replace(
            SOLE,
            confirmed_s=confirmed_s,
            settled_s=settled_s,
            peers=tuple(map(PeerReport, sent_s)),
        )
        by_registry = confirmed_s >= NOW_S and confirmed_s >= settled_s
        by_peers = all(each >= NOW_S for each in sent_s)
        self.assertEqual(by_registry or by_peers, judge_versions(evidence).is_sole)
