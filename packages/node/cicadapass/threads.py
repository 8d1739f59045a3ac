"""Helpers without a module of their own."""

import threading
from collections.abc import Callable


def start_thread(name: str, work: Callable[[], None]) -> None:
    """Run the work in a daemon thread; raise RuntimeError if none can start."""
    threading.Thread(target=work, name=name, daemon=True).start()
