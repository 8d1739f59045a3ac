"""Print what was checked, what was seen and how long each step took."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

WIDTH = 78


class Report:
    """Collect checks and print them as plain lines."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._began_s = clock()
        self._checks = 0
        self._broken: list[str] = []

    @property
    def ok(self) -> bool:
        """Return whether every check held."""
        return not self._broken

    @contextmanager
    def step(self, title: str) -> Iterator[None]:
        """Print a step's title, and its time after its checks."""
        began_s = self._clock()
        print(title, flush=True)
        try:
            yield
        except Exception as error:
            self.check("step ran to its end", False, repr(error))
        print(f"    took {self._clock() - began_s:.1f} s", flush=True)

    def check(self, what: str, holds: bool, seen: str = "") -> None:
        """Print one check and remember it if it does not hold."""
        self._checks += 1
        if not holds:
            self._broken.append(what)
        mark = "ok  " if holds else "FAIL"
        line = f"  {mark} {what}" + (f": {seen}" if seen else "")
        print(line.encode("ascii", "replace").decode(), flush=True)

    def finish(self) -> None:
        """Print the summary."""
        elapsed_s = self._clock() - self._began_s
        held = self._checks - len(self._broken)
        print("-" * WIDTH)
        print(f"{held} of {self._checks} checks held, {elapsed_s:.1f} s", flush=True)
