"""Test which usage windows are fixed and when."""

import testtools

from cicadapass_decisions.usagereports import (
    KEPT_REPORTS,
    LATEST_FIRST_S,
    SETTLE_S,
    WindowTimes,
    kept_reports,
    windows_to_fix,
)


class WindowsTest(testtools.TestCase):
    def test_a_window_is_fixed_once_all_counts_are_in(self):
        """A window was reported before the nodes had told their counts."""
        early = WindowTimes(5.0, 10.0 + SETTLE_S / 2)
        self.assertEqual((0,), windows_to_fix(early, (), 0))
        late = WindowTimes(5.0, 10.0 + SETTLE_S)
        self.assertEqual((0, 1), windows_to_fix(late, (), 0))

    def test_fixed_windows_are_not_counted_again(self):
        """A successor counted a window anew and reported other numbers."""
        times = WindowTimes(5.0, 20.0)
        self.assertNotIn(1, windows_to_fix(times, (1,), 0))

    def test_windows_before_the_oldest_known_are_left(self):
        """A window from before the restart was reported with too few requests."""
        times = WindowTimes(5.0, 100.0)
        self.assertTrue(all(each >= 18 for each in windows_to_fix(times, (), 18)))
        oldest = min(windows_to_fix(times, (), 0))
        self.assertGreaterEqual(times.end_s(oldest), 100.0 - LATEST_FIRST_S)

    def test_dropped_reports_are_too_old_to_be_fixed_again(self):
        """A report that had left the record was made a second time."""
        reports = {window: {} for window in range(20)}
        kept = kept_reports(reports)
        self.assertEqual(KEPT_REPORTS, len(kept))
        now_s = (max(kept) + 1) * 5.0 + SETTLE_S
        due = windows_to_fix(WindowTimes(5.0, now_s), kept, 0)
        self.assertEqual((), due)
