"""Bound the log lines that a node writes on one matter in a second."""

from collections.abc import Callable


class LineLimit:
    """Allow a number of lines in each second, and count those that are skipped."""

    def __init__(self, most_per_s: int, clock: Callable[[], float]) -> None:
        self._most_per_s = most_per_s
        self._clock = clock
        self._second = -1
        self._lines = 0
        self._skipped = 0

    def allows_line(self) -> bool:
        """Return whether this second has room for a line; count one without room."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines = second, 0
        if self._lines >= self._most_per_s:
            self._skipped += 1
            return False
        self._lines += 1
        return True

    def take_skipped(self) -> int:
        """Return the lines skipped since the last call."""
        skipped, self._skipped = self._skipped, 0
        return skipped
