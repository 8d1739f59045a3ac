"""Test which usage windows are finalised, and when."""

import testtools

from cicadapass_decisions.usagereports import (
    MAX_FIRST_REPORT_AGE_S,
    MAX_REPORTS,
    MAX_SETTLE_S,
    MIN_SETTLE_S,
    WindowTimes,
    newest_reports,
    windows_to_finalise,
)


class WindowsTest(testtools.TestCase):
    def test_window_is_finalised_once_counts_have_settled(self):
        """A window was reported before the counts of all nodes had arrived."""
        early = WindowTimes(5.0, 10.0 + MIN_SETTLE_S / 2)
        self.assertEqual((0,), windows_to_finalise(early, (), 0))
        late = WindowTimes(5.0, 10.0 + MIN_SETTLE_S)
        self.assertEqual((0, 1), windows_to_finalise(late, (), 0))

    def test_many_nodes_have_a_whole_round_for_their_counts(self):
        """At 195 nodes, windows were final before most counts had arrived."""
        self.assertEqual(MIN_SETTLE_S, WindowTimes(5.0, 0.0, 0.2).settle_s)
        for nodes in (91, 195, 380):
            round_s = 0.2 * -(-nodes // 10)
            settle_s = WindowTimes(5.0, 0.0, round_s).settle_s
            self.assertGreater(settle_s, round_s, nodes)
            self.assertLessEqual(settle_s, MAX_SETTLE_S, nodes)
            early = WindowTimes(5.0, 10.0 + round_s, round_s)
            self.assertNotIn(1, windows_to_finalise(early, (), 0))

    def test_finalised_windows_are_skipped(self):
        """The next holder counted a window again and reported different counts."""
        times = WindowTimes(5.0, 20.0)
        self.assertNotIn(1, windows_to_finalise(times, (1,), 0))

    def test_windows_before_the_first_counted_are_skipped(self):
        """A window from before a restart was reported with too low counts."""
        times = WindowTimes(5.0, 100.0)
        self.assertTrue(
            all(window >= 18 for window in windows_to_finalise(times, (), 18))
        )
        oldest = min(windows_to_finalise(times, (), 0))
        self.assertGreaterEqual(times.end_s(oldest), 100.0 - MAX_FIRST_REPORT_AGE_S)

    def test_dropped_reports_are_not_finalised_again(self):
        """A window was reported again after its report had left the record."""
        reports = {window: {} for window in range(20)}
        kept = newest_reports(reports)
        self.assertEqual(MAX_REPORTS, len(kept))
        now_s = (max(kept) + 1) * 5.0 + MIN_SETTLE_S
        due = windows_to_finalise(WindowTimes(5.0, now_s), kept, 0)
        self.assertEqual((), due)
