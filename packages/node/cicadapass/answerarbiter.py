"""Decide which thread of a request may write, go on with or end its answer."""

import threading


class AnswerArbiter:
    """Hold the threads that may still answer one request.

    A thread is out once another one writes, or once it leaves the work to another.
    The last one never leaves silently, so that no caller waits for ever.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._threads: set[int] = set()
        self._last_number = 0
        self._writer: int | None = None
        self._ended = False

    @property
    def ended(self) -> bool:
        """Return whether the answer has ended or is another node's."""
        return self._ended

    def join(self) -> int:
        """Return the number of the thread that starts the work."""
        with self._lock:
            return self._join()

    def join_as_hedge(self) -> int | None:
        """Return the number of a further thread, or None if none is needed."""
        with self._lock:
            if self._ended or self._writer is not None or not self._threads:
                return None
            return self._join()

    def is_active(self, thread: int) -> bool:
        """Return whether the thread may still answer."""
        return not self._ended and thread in self._threads

    def acquire_writer(self, thread: int) -> bool:
        """Make the first thread with a token the only one that may answer."""
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
        """Return whether the thread may stop, since another one goes on."""
        with self._lock:
            if self._ended or thread not in self._threads:
                return True
            if len(self._threads) == 1:
                return False
            self._threads.discard(thread)
            return True

    def leave(self, thread: int) -> bool:
        """Return whether the last thread leaves an answer that has not ended."""
        with self._lock:
            was_last = self._threads == {thread}
            self._threads.discard(thread)
            return was_last and not self._ended

    def end(self) -> bool:
        """Return whether this call, the first one, is to end the answer."""
        with self._lock:
            had_ended, self._ended = self._ended, True
            return not had_ended

    def _join(self) -> int:
        self._last_number += 1
        self._threads.add(self._last_number)
        return self._last_number
