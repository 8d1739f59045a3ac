"""Print the result of each check and the duration of each step."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

LINE_WIDTH = 78


class Report:
    """Collect check results and print them as plain text lines."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._started_s = clock()
        self._checks = 0
        self._failed: list[str] = []

    @property
    def ok(self) -> bool:
        """Return whether every check passed."""
        return not self._failed

    @contextmanager
    def step(self, title: str) -> Iterator[None]:
        """Print a step's title and duration; an exception is a failed check."""
        started_s = self._clock()
        print(title, flush=True)
        try:
            yield
        except Exception as error:
            self.check("step ran to its end", False, repr(error))
        print(f"    took {self._clock() - started_s:.1f} s", flush=True)

    def check(self, description: str, passed: bool, detail: str = "") -> None:
        """Print one check and record it if it failed."""
        self._checks += 1
        if not passed:
            self._failed.append(description)
        label = "ok  " if passed else "FAIL"
        line = f"  {label} {description}" + (f": {detail}" if detail else "")
        print(line.encode("ascii", "replace").decode(), flush=True)

    def finish(self) -> None:
        """Print the number of passed checks and the total time."""
        elapsed_s = self._clock() - self._started_s
        passed = self._checks - len(self._failed)
        print("-" * LINE_WIDTH)
        print(f"{passed} of {self._checks} checks held, {elapsed_s:.1f} s", flush=True)
