"""Event loop in one thread that reads the engines' streams and sends answers.

With one thread per stream, each token wakes a thread. With hundreds of streams,
acquiring the interpreter lock at each wake-up cost several times as much as the token.
"""

import contextlib
import logging
import selectors
import socket
import threading
from collections.abc import Callable
from queue import Empty, SimpleQueue

logger = logging.getLogger(__name__)

# Longest wait for a readable socket; `stop` and queued calls wake the loop earlier.
SELECT_TIMEOUT_S = 1.0
WAKE_BYTES = 4096


class StreamLoop:
    """Run callbacks for readable sockets and queued calls; they must not block."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._calls: SimpleQueue[Callable[[], None]] = SimpleQueue()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._woken = False
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="streams", daemon=True)

    @property
    def alive(self) -> bool:
        """Return whether the loop runs its callbacks."""
        return self._thread.is_alive() and not self._stopping

    def start(self) -> None:
        """Start the thread of the loop."""
        self._selector.register(
            self._wake_receiver, selectors.EVENT_READ, self._drain_wake_ups
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current round; callbacks that are still queued may not run."""
        self._stopping = True
        self._wake()

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Queue a callback; it runs after those of the readable sockets."""
        self._calls.put(callback)
        if threading.get_ident() != self._thread.ident:
            self._wake()

    def add_reader(
        self, readable: socket.socket, on_readable: Callable[[], None]
    ) -> None:
        """Call `on_readable` when the socket has data; call this in the loop."""
        self._selector.register(readable, selectors.EVENT_READ, on_readable)

    def remove_reader(self, readable: socket.socket) -> None:
        """Remove a socket; call this in the loop."""
        try:
            self._selector.unregister(readable)
        except (KeyError, ValueError):
            # The socket is already removed or closed.
            return

    def _wake(self) -> None:
        if self._woken:
            return
        self._woken = True
        try:
            self._wake_sender.send(b"\0")
        except OSError:
            # A full buffer wakes the loop as well; a closed socket means that the loop
            # has stopped.
            return

    def _drain_wake_ups(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_receiver.recv(WAKE_BYTES)
        # Cleared only after the bytes are read. Cleared before, a byte sent in between
        # would be read too while the flag stays set, and no later call would wake the
        # loop. Calls that were queued before this line run in the same round.
        self._woken = False

    def _run(self) -> None:
        while not self._stopping:
            for key, _ in self._selector.select(SELECT_TIMEOUT_S):
                _run_guarded(key.data)
            for _ in range(self._calls.qsize()):
                try:
                    callback = self._calls.get_nowait()
                except Empty:
                    break
                _run_guarded(callback)
        self._selector.close()
        self._wake_sender.close()
        self._wake_receiver.close()


def _run_guarded(callback: Callable[[], None]) -> None:
    try:
        callback()
    except Exception:
        # An error of one stream must not end the others.
        logger.exception("stream loop callback failed; the loop continues")
