"""Values that are shown late."""

import threading
from collections import deque
from typing import Generic, TypeVar

V = TypeVar("V")

# Values that follow each other faster are merged, which bounds the history.
MERGE_S = 0.01
MAX_VALUES = 6000


class Lagged(Generic[V]):
    """Remember a changing value and show the one of some seconds ago."""

    def __init__(self, initial: V) -> None:
        self._lock = threading.Lock()
        self._values: deque[tuple[float, V]] = deque([(float("-inf"), initial)])

    def record(self, value: V, now_s: float) -> None:
        """Remember the value that holds from now on."""
        with self._lock:
            values = self._values
            if len(values) > 2 and now_s - values[-2][0] < MERGE_S:
                values.pop()
            values.append((now_s, value))
            if len(values) > MAX_VALUES:
                values.popleft()

    def read(self, now_s: float, lag_s: float) -> V:
        """Return the value that held `lag_s` ago, or the oldest one known."""
        with self._lock:
            for since_s, value in reversed(self._values):
                if since_s <= now_s - lag_s:
                    return value
            return self._values[0][1]
