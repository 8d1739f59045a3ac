"""Wait until a running system reaches a state."""

import threading
from typing import Any

import urllib3

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class NotReady(Exception):
    """The system did not reach the expected state before the timeout."""


def wait_until(
    condition: Any, description: str, timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Poll until the condition is true; raise NotReady on timeout."""
    timer = threading.Event()
    for _ in range(int(timeout_s / POLL_INTERVAL_S)):
        try:
            if condition():
                return
        except (urllib3.exceptions.HTTPError, KeyError):
            # The process may still be starting or may have been stopped.
            pass
        timer.wait(POLL_INTERVAL_S)
    raise NotReady(f"not reached in {timeout_s} s: {description}")
