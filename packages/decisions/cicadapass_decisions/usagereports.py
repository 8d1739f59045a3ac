"""Decide which usage windows are fixed and which are reported."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Counts of all nodes are in after this long: several datagrams of each.
SETTLE_S = 1.2
# A window is not reported for the first time later than this after its end; the
# counts of nodes that restarted would be missing.
MAX_FIRST_REPORT_AGE_S = 14.0
# Fixed windows that stay in the record, for a successor that repeats them.
KEPT_REPORTS = 5


@dataclass(frozen=True, slots=True)
class WindowTimes:
    """Hold the length of a window and the present true time."""

    window_s: float
    true_time_s: float

    def end_s(self, window: int) -> float:
        """Return when a window ends."""
        return (window + 1) * self.window_s


def windows_to_finalise(
    times: WindowTimes, finalised: Iterable[int], first_counted: int
) -> tuple[int, ...]:
    """Return the windows whose counts are complete and not fixed yet."""
    done = set(finalised)
    newest = int((times.true_time_s - SETTLE_S) // times.window_s) - 1
    oldest = max(
        first_counted,
        int((times.true_time_s - MAX_FIRST_REPORT_AGE_S) // times.window_s),
    )
    return tuple(window for window in range(oldest, newest + 1) if window not in done)


def newest_reports(
    reports: Mapping[int, Mapping[str, int]],
) -> dict[int, Mapping[str, int]]:
    """Return the newest reports, which a successor may have to repeat."""
    return {window: reports[window] for window in sorted(reports)[-KEPT_REPORTS:]}
