"""Delivery of the tokens of all streams of an engine from one thread.

Waking a thread per stream for each token costs several times as much as sending the
token. The thread of the request only sends the bytes that a non-blocking write left,
so that a slow reader does not delay the other streams.
"""

import json
import threading
from collections.abc import Callable
from queue import SimpleQueue

from cicadapass_standins.answers import token_text_from_key
from cicadapass_standins.exceptions import DropConnection
from cicadapass_standins.scheduler import Ending, Stream
from cicadapass_standins.server import Request

# Interval at which a waiting request checks whether its caller has disconnected.
CALLER_POLL_S = 1.0
# Generated words are added to the prefix cache in batches of this size.
CACHE_BATCH_WORDS = 64

encode_text = json.JSONEncoder(ensure_ascii=False).encode


class Transmission:
    """Send the answer to one request, line by line as its tokens are computed."""

    def __init__(
        self,
        request: Request,
        stream: Stream,
        key: bytes,
        truncate_after: int | None,
        store_words: Callable[[Stream], None],
    ) -> None:
        # `truncate_after`: number of tokens after which the connection is closed.
        self._request = request
        self._stream = stream
        self._key = key
        self._truncate_at = (
            None if truncate_after is None else stream.first_index + truncate_after
        )
        self._store_words = store_words
        self._next_index = stream.first_index
        self._stored_index = stream.first_index
        # Held while the socket is used: once the request has ended, its file
        # descriptor may be reused.
        self._lock = threading.Lock()
        self._open = False
        self._unsent = b""
        self._ended = False
        self._failed = False
        self._wakeup = threading.Event()

    def run(self, signal: Callable[[], None]) -> None:
        """Block until the answer is complete; raise `DropConnection` if it fails."""
        try:
            self._request.send_headers()
            self._open = True
            signal()
            while not self._ended or self._unsent:
                self._wait()
                if self._unsent:
                    self._request.write_blocking(self._unsent)
                    self._unsent = b""
                    signal()
        finally:
            with self._lock:
                self._open = False
            self._store_words(self._stream)
        if self._failed or self._is_stopped() or self._is_truncated():
            raise DropConnection

    def send_due(self) -> None:
        """Send the tokens computed since the last call, without blocking."""
        with self._lock:
            if not self._open or self._unsent or self._ended:
                return
            # Read before the tokens: the scheduler sets the ending after the last one.
            ending = self._stream.ending
            lines = self._render_due_lines()
            # A stopping engine sends no final line, like one that is killed.
            if ending and not (self._is_stopped() or self._is_truncated()):
                lines.append(_final_line(ending, self._next_index))
            if lines:
                self._unsent = self._request.write_nonblocking("".join(lines).encode())
            # Set last: the thread of the request returns once this is set and no
            # unsent bytes remain.
            self._ended = ending is not None or self._is_truncated()
        if self._ended or self._unsent:
            self._wakeup.set()
        if self._next_index - self._stored_index >= CACHE_BATCH_WORDS:
            self._stored_index = self._next_index
            self._store_words(self._stream)

    def mark_failed(self) -> None:
        """End the transmission after an error of the socket."""
        self._failed = True
        self._ended = True
        self._wakeup.set()

    def _wait(self) -> None:
        while not self._wakeup.wait(CALLER_POLL_S):
            if self._is_stopped() or self._request.caller_disconnected():
                raise DropConnection
        self._wakeup.clear()

    def _is_stopped(self) -> bool:
        return self._stream.ending is Ending.STOPPED

    def _is_truncated(self) -> bool:
        return self._truncate_at is not None and self._next_index >= self._truncate_at

    def _render_due_lines(self) -> list[str]:
        end = self._stream.computed
        if self._truncate_at is not None:
            end = min(end, self._truncate_at)
        lines = []
        for index in range(self._next_index, end):
            text = token_text_from_key(self._key, index)
            self._stream.words.append(text[1:])
            lines.append(f'{{"i": {index}, "t": {encode_text(text)}}}\n')
        self._next_index = max(end, self._next_index)
        return lines


class StreamSender:
    """Send the due tokens of queued transmissions from one thread."""

    def __init__(self) -> None:
        self._queue: SimpleQueue[Transmission | None] = SimpleQueue()
        threading.Thread(target=self._run, name="sender", daemon=True).start()

    def signal(self, transmission: Transmission) -> None:
        """Queue a transmission that has tokens due; never blocks."""
        self._queue.put(transmission)

    def stop(self) -> None:
        """Stop the thread after the transmissions queued so far."""
        self._queue.put(None)

    def _run(self) -> None:
        while (transmission := self._queue.get()) is not None:
            try:
                transmission.send_due()
            except OSError:
                transmission.mark_failed()


def _final_line(ending: Ending, token_count: int) -> str:
    return json.dumps({ending.value: True, "tokens": token_count}) + "\n"
