"""Test which upstreams are usable according to the registry's records."""

from dataclasses import replace

import testtools

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.upstreamview import REAPPEAR_S, UpstreamView

READY = UpstreamRecord("u1", "s", "h", 80, "dc-a", 6, False, 1000, 5)
LEAVING = replace(READY, leaving=True, sequence=6)


class UpstreamViewTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.view = UpstreamView()
        self.view.apply(READY, 0.0)

    def test_old_record_does_not_clear_a_mark(self):
        """An outdated record made a leaving upstream usable again."""
        self.view.apply(LEAVING, 1.0)
        self.view.apply(READY, 2.0)
        self.view.apply(replace(READY, sequence=9), 3.0)
        self.assertEqual({}, self.view.usable())

    def test_restart_under_the_same_id_clears_the_mark(self):
        """An upstream stayed marked as leaving after its restart."""
        self.view.apply(LEAVING, 1.0)
        self.view.apply(replace(READY, started_ms=2000, sequence=0), 2.0)
        self.assertIn("u1", self.view.usable())

    def test_removed_entry_is_dropped_immediately(self):
        """Requests were sent to an upstream after the removal of its entry."""
        self.view.remove("u1", 1.0)
        self.assertEqual({}, self.view.usable())

    def test_entries_lapsed_during_an_outage_stay_usable(self):
        """All upstreams became unusable during an outage of the registry."""
        self.view.record_outage(10.0)
        self.view.remove("u1", 10.5)
        self.assertIn("u1", self.view.usable())
        self.view.expire(10.0 + REAPPEAR_S)
        self.assertEqual({}, self.view.usable())

    def test_a_mark_is_shared_until_an_entry_states_it(self):
        """A peer that had missed the leaving entry saw only an older one."""
        self.view.mark_leaving("u1", 1000, 1.0)
        self.assertEqual([("u1", 1000)], self.view.unannounced_marks)
        self.view.apply(LEAVING, 2.0)
        self.assertEqual([], self.view.unannounced_marks)
        self.view.remove("u1", 3.0)
        self.assertEqual([], self.view.unannounced_marks)

    def test_returning_lapsed_entry_is_kept(self):
        """An upstream was dropped although its entry had reappeared in time."""
        self.view.record_outage(10.0)
        self.view.remove("u1", 10.5)
        self.view.apply(replace(READY, sequence=6), 11.0)
        self.view.expire(20.0)
        self.assertIn("u1", self.view.usable())

    def test_listing_replaces_the_records(self):
        """An upstream that left while the history was lost stayed usable."""
        self.view.replace([replace(READY, upstream_id="u2")], 1.0)
        self.assertEqual({"u2"}, set(self.view.usable()))

    def test_mark_from_a_peer_applies(self):
        """A node without access to the registry sent requests to a leaving upstream."""
        self.assertTrue(self.view.mark_leaving("u1", 1000, 1.0))
        self.assertFalse(self.view.mark_leaving("u1", 1000, 2.0))
        self.assertEqual({}, self.view.usable())
