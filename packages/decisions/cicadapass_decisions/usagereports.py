"""Decide which usage windows are fixed and which are reported."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Counts of all nodes are in after this long: several datagrams of each.
SETTLE_S = 1.2
# A window is not reported for the first time later than this after its end; the
# counts of nodes that restarted would be missing.
LATEST_FIRST_S = 14.0
# Fixed windows that stay in the record, for a successor that repeats them.
KEPT_REPORTS = 5


@dataclass(frozen=True, slots=True)
class WindowTimes:
    """Hold the length of a window and the present true time."""

    window_s: float
    true_s: float

    def end_s(self, window: int) -> float:
        """Return when a window ends."""
        return (window + 1) * self.window_s


def windows_to_fix(
    times: WindowTimes, fixed: Iterable[int], oldest_known: int
) -> tuple[int, ...]:
    """Return the windows whose counts are complete and not fixed yet."""
    known = set(fixed)
    newest = int((times.true_s - SETTLE_S) // times.window_s) - 1
    oldest = max(oldest_known, int((times.true_s - LATEST_FIRST_S) // times.window_s))
    return tuple(each for each in range(oldest, newest + 1) if each not in known)


def kept_reports(
    reports: Mapping[int, Mapping[str, int]],
) -> dict[int, Mapping[str, int]]:
    """Return the newest reports, which a successor may have to repeat."""
    return {each: reports[each] for each in sorted(reports)[-KEPT_REPORTS:]}
