"""Write log lines to standard output from a bounded queue, without blocking."""

import logging
import sys
import threading
from collections import deque

# At 300 bytes per line, a full queue is under 1.5 MB.
MAX_QUEUED_LINES = 5000
# The writer collects lines for this long before each write, so that it wakes up rarely.
BATCH_S = 0.1


class QueuedOutput(logging.Handler):
    """Queue lines and write them in a thread; count those that a full queue drops."""

    def __init__(self) -> None:
        super().__init__()
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._available = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._lines.append(record.getMessage())
        self._available.set()

    def stop(self, timeout_s: float) -> None:
        """Write the queued lines and wait up to `timeout_s` for the thread to end."""
        self._stopped.set()
        self._available.set()
        self._thread.join(timeout_s)

    def _write(self) -> None:
        while not self._stopped.is_set():
            self._available.wait()
            self._stopped.wait(BATCH_S)
            self._available.clear()
            self._write_lines()
        # Lines that were queued during the last write.
        self._write_lines()

    def _write_lines(self) -> None:
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self._dropped:
            lines.append(
                f'{{"event":0,"name":"lines_dropped","count":{self._dropped}}}'
            )
            self._dropped = 0
        if lines:
            sys.stdout.write("\n".join(lines) + "\n")
            sys.stdout.flush()
