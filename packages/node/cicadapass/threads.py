"""Helper to start background threads."""

import threading
from collections.abc import Callable


def start_thread(name: str, work: Callable[[], None]) -> None:
    """Run `work` in a daemon thread; raise RuntimeError if it cannot start."""
    threading.Thread(target=work, name=name, daemon=True).start()
