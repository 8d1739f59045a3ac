"""Decide which thread of a request may write, go on with or end its answer."""

import threading


class Contenders:
    """Hold the threads that may still answer one request.

    A thread is out once another one writes, or once it leaves the work to another.
    The last one never leaves silently, so that no caller waits for ever.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._threads: set[int] = set()
        self._joined = 0
        self._writer: int | None = None
        self._over = False

    @property
    def over(self) -> bool:
        """Return whether the answer has ended or is another node's."""
        return self._over

    def join(self) -> int:
        """Return the number of the thread that starts the work."""
        with self._lock:
            return self._join()

    def join_as_hedge(self) -> int | None:
        """Return the number of a further thread, or None if none is needed."""
        with self._lock:
            if self._over or self._writer is not None or not self._threads:
                return None
            return self._join()

    def contends(self, thread: int) -> bool:
        """Return whether the thread may still answer."""
        return not self._over and thread in self._threads

    def may_write(self, thread: int) -> bool:
        """Make the first thread with a token the only one that may answer."""
        if self._over:
            return False
        if self._writer == thread:
            return True
        with self._lock:
            if self._over or thread not in self._threads:
                return False
            self._writer = thread
            self._threads = {thread}
            return True

    def yields(self, thread: int) -> bool:
        """Return whether the thread may stop, since another one goes on."""
        with self._lock:
            if self._over or thread not in self._threads:
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
            return was_last and not self._over

    def end(self) -> bool:
        """Return whether this call, the first one, is to end the answer."""
        with self._lock:
            was_over, self._over = self._over, True
            return not was_over

    def _join(self) -> int:
        self._joined += 1
        self._threads.add(self._joined)
        return self._joined
