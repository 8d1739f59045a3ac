"""Decide when the counts of usage windows are final, and which reports to keep."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# The counts of all nodes have arrived this long after the end of a window, or this long
# after a round in which each node has sent them to all others.
MIN_SETTLE_S = 1.2
SETTLE_AFTER_ROUND_S = 1.0
# A report is due ten seconds after the end of its window.
MAX_SETTLE_S = 8.0
# Windows that ended earlier are not reported for the first time, because the counts of
# restarted nodes would be missing.
MAX_FIRST_REPORT_AGE_S = 14.0
# Final windows stay in the record, so that the next holder can repeat their reports.
MAX_REPORTS = 5


@dataclass(frozen=True, slots=True)
class WindowTimes:
    """Store the length of a window and the current true time."""

    window_s: float
    true_time_s: float
    # Time in which each node sends its counts to all others.
    round_s: float = 0.2

    @property
    def settle_s(self) -> float:
        """Return the time from the end of a window until its counts are complete."""
        after_round_s = self.round_s + SETTLE_AFTER_ROUND_S
        return min(MAX_SETTLE_S, max(MIN_SETTLE_S, after_round_s))

    def end_s(self, window: int) -> float:
        """Return the true time at which a window ends."""
        return (window + 1) * self.window_s


def windows_to_finalise(
    times: WindowTimes, finalised: Iterable[int], first_counted: int
) -> tuple[int, ...]:
    """Return the windows whose counts are complete but not yet final."""
    done = set(finalised)
    newest = int((times.true_time_s - times.settle_s) // times.window_s) - 1
    oldest = max(
        first_counted,
        int((times.true_time_s - MAX_FIRST_REPORT_AGE_S) // times.window_s),
    )
    return tuple(window for window in range(oldest, newest + 1) if window not in done)


def newest_reports(
    reports: Mapping[int, Mapping[str, int]],
) -> dict[int, Mapping[str, int]]:
    """Return the newest reports, which the next holder may have to repeat."""
    return {window: reports[window] for window in sorted(reports)[-MAX_REPORTS:]}
