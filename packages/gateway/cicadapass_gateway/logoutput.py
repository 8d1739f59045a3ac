"""Write log lines to standard output from a bounded queue, without blocking."""

import logging
import sys
import threading
from collections import deque

# Lines that wait for the writer; at 300 bytes this is under 1.5 MB.
MAX_QUEUED_LINES = 5000
# The writer collects lines for this long, so that it seldom wakes up.
BATCH_S = 0.1


class QueuedOutput(logging.Handler):
    """Queue lines and write them in a thread; count those that found no place."""

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
        """Write what is queued and end the thread."""
        self._stopped.set()
        self._available.set()
        self._thread.join(timeout_s)

    def _write(self) -> None:
        while not self._stopped.is_set():
            self._available.wait()
            self._stopped.wait(BATCH_S)
            self._available.clear()
            self._write_lines()
        # What was queued while the last lines were written.
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
