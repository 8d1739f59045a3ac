"""Decide which thread of a request may write, continue or end its answer."""

import threading


class AnswerArbiter:
    """Track the threads that may still answer one request.

    A thread is no longer active once another one writes or once it withdraws in favour
    of another. The last active thread cannot withdraw, so that each caller gets an
    answer or an error.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._threads: set[int] = set()
        self._last_number = 0
        self._writer: int | None = None
        self._ended = False

    @property
    def ended(self) -> bool:
        """Return whether the answer has ended or moved to another node."""
        return self._ended

    def join(self) -> int:
        """Register the first thread and return its number."""
        with self._lock:
            return self._join()

    def join_as_hedge(self) -> int | None:
        """Register a hedge and return its number, or None if the answer needs none."""
        with self._lock:
            if self._ended or self._writer is not None or not self._threads:
                return None
            return self._join()

    def is_active(self, thread: int) -> bool:
        """Return whether the thread may still answer."""
        return not self._ended and thread in self._threads

    def acquire_writer(self, thread: int) -> bool:
        """Make the first caller the writer; return whether it is this thread."""
        if self._ended:
            return False
        if self._writer == thread:
            return True
        with self._lock:
            if self._ended or thread not in self._threads:
                return False
            self._writer = thread
            self._threads = {thread}
            return True

    def withdraw(self, thread: int) -> bool:
        """Deactivate the thread unless it is the last; return whether it may stop."""
        with self._lock:
            if self._ended or thread not in self._threads:
                return True
            if len(self._threads) == 1:
                return False
            self._threads.discard(thread)
            return True

    def leave(self, thread: int) -> bool:
        """Deactivate the thread; return whether no thread is left to end the answer."""
        with self._lock:
            was_last = self._threads == {thread}
            self._threads.discard(thread)
            return was_last and not self._ended

    def end(self) -> bool:
        """Mark the answer ended; return True for the first call only."""
        with self._lock:
            had_ended, self._ended = self._ended, True
            return not had_ended

    def _join(self) -> int:
        self._last_number += 1
        self._threads.add(self._last_number)
        return self._last_number
