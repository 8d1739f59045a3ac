"""Thread that long-polls the log and delivers each result to its owner."""

import random
import threading
from collections.abc import Callable

from expression import Error, Result

from cicadapass_common.logclient import Log, LogAnswerLost, LogError, Page

PAGE_RECORDS = 100
POLL_WAIT_S = 5.0
FIRST_RETRY_DELAY_S = 0.2
# Limits the delay until a recovered log is noticed, which must stay well below 16 s.
MAX_RETRY_DELAY_S = 4.0

ReadResult = Result[Page, LogError]


class LogReader:
    """Read pages until stopped; the owner confirms each before the next is read.

    `deliver(result, confirm)` is called in the reader's thread. The owner must then
    call `confirm(next_offset)` in any thread, or stop the reader.
    """

    def __init__(
        self,
        log: Log,
        from_offset: int,
        deliver: Callable[[ReadResult, Callable[[int], None]], None],
        rng: random.Random,
    ) -> None:
        self._log = log
        self._offset = from_offset
        self._deliver = deliver
        self._rng = rng
        self._failures = 0
        self._wait_s = 0.0
        self._changed = threading.Condition()
        self._confirmed = False
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="logreader", daemon=True)

    def start(self) -> None:
        """Start reading from the offset given at construction."""
        self._thread.start()

    def stop(self) -> None:
        """Request the end of the thread after its current read; does not block."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()

    def _run(self) -> None:
        while not self._stopped:
            result = self._read()
            if self._stopped:
                return
            self._confirmed = False
            self._deliver(result, self._confirm)
            self._wait_for_confirmation()
            self._failures = self._failures + 1 if result.is_error() else 0
            if self._failures:
                self._wait_before_retry()
            # Only a read after an empty page waits, so that the owner sees at once that
            # it has caught up.
            at_end = result.is_ok() and not result.ok.records
            self._wait_s = POLL_WAIT_S if at_end else 0.0

    def _read(self) -> ReadResult:
        try:
            return self._log.read(self._offset, PAGE_RECORDS, self._wait_s)
        except Exception as error:
            # If this thread ended, the node would never learn of new versions.
            problem = f"unexpected exception while reading the log: {error!r}"
            return Error(LogAnswerLost(problem, "report this error", False))

    def _confirm(self, next_offset: int) -> None:
        with self._changed:
            self._offset = next_offset
            self._confirmed = True
            self._changed.notify_all()

    def _wait_for_confirmation(self) -> None:
        with self._changed:
            self._changed.wait_for(lambda: self._confirmed or self._stopped)

    def _wait_before_retry(self) -> None:
        wait_s = min(
            MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2 ** min(self._failures - 1, 10)
        )
        # Jitter, so that the nodes do not query a recovering log at the same time.
        wait_s *= self._rng.uniform(0.5, 1.0)
        with self._changed:
            self._changed.wait_for(lambda: self._stopped, wait_s)
