"""Values that become visible after a delay."""

import threading
from collections import deque
from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")

# Values recorded within this interval are merged, which bounds the history.
MERGE_INTERVAL_S = 0.01
MAX_VALUES = 6000


class LaggedValue(Generic[ValueT]):
    """Record the history of a value and return its past states."""

    def __init__(self, initial: ValueT) -> None:
        self._lock = threading.Lock()
        self._values: deque[tuple[float, ValueT]] = deque([(float("-inf"), initial)])

    def record(self, value: ValueT, now_s: float) -> None:
        """Record the value in force from `now_s` on."""
        with self._lock:
            values = self._values
            if len(values) > 2 and now_s - values[-2][0] < MERGE_INTERVAL_S:
                values.pop()
            values.append((now_s, value))
            if len(values) > MAX_VALUES:
                values.popleft()

    def read(self, now_s: float, lag_s: float) -> ValueT:
        """Return the value in force `lag_s` ago, or the oldest one recorded."""
        with self._lock:
            for recorded_s, value in reversed(self._values):
                if recorded_s <= now_s - lag_s:
                    return value
            return self._values[0][1]
