"""Send the answers that this node owns from the stream loop."""

import threading
from collections.abc import Iterator
from typing import Protocol

from cicadapass.delivery import (
    AnswerAborted,
    AnswerReader,
    LocalReader,
    Piece,
    read_pieces,
)
from cicadapass.streamloop import StreamLoop

# A thread that waits for the loop looks this often whether the loop still runs.
LOOP_CHECK_S = 5.0


class DirectSender(Protocol):
    """Write parts of a body past the server's thread."""

    def write_now(self, data: bytes) -> bytes:
        """Send a part without waiting and return the bytes not sent."""

    def write_remaining(self, data: bytes) -> None:
        """Send what `write_now` left, waiting for a slow reader."""


class AnswerMoved(AnswerAborted):
    """Another node continues the answer from this byte."""

    def __init__(self, offset: int) -> None:
        super().__init__(f"another node continues the answer from byte {offset}")
        self.offset = offset


def stream_answer(
    reader: AnswerReader,
    from_byte: int,
    sender: DirectSender | None,
    loop: StreamLoop,
    follow: AnswerReader,
) -> Iterator[bytes]:
    """Yield an answer's bytes, or send them past the server and yield none.

    `follow` reads the rest if another node continues the answer.
    """
    if isinstance(reader, LocalReader) and sender is not None and loop.alive:
        try:
            DirectDelivery(reader, from_byte, sender, loop).run()
        except AnswerMoved as moved:
            reader, from_byte = follow, moved.offset
        else:
            return
    for result in read_pieces(reader, from_byte):
        if result.is_error():
            raise AnswerAborted(result.error.detail)
        if result.ok.data:
            yield result.ok.data


class DirectDelivery:
    """Send one answer: the loop sends, the server's thread waits for the end.

    The thread sends only what the socket did not take at once, so a slow reader
    does not hold up the others.
    """

    def __init__(
        self,
        reader: LocalReader,
        from_byte: int,
        sender: DirectSender,
        loop: StreamLoop,
    ) -> None:
        self._reader = reader
        self._offset = from_byte
        self._sender = sender
        self._loop = loop
        # Held while the socket is used: its number may be used again afterwards.
        self._lock = threading.Lock()
        self._is_open = True
        self._is_scheduled = False
        self._unsent = b""
        self._ended = False
        self._failure: Exception | None = None
        self._wake_up = threading.Event()

    def run(self) -> None:
        """Return when all is sent; raise if the connection must be cut."""
        answer = self._reader.answer
        answer.subscribe(self._schedule_send)
        self._schedule_send()
        try:
            while not self._ended or self._unsent:
                self._wait_for_wake_up()
                if self._unsent:
                    self._sender.write_remaining(self._unsent)
                    self._unsent = b""
                    self._schedule_send()
        finally:
            with self._lock:
                self._is_open = False
            answer.unsubscribe(self._schedule_send)

    def _wait_for_wake_up(self) -> None:
        while not self._wake_up.wait(LOOP_CHECK_S):
            if not self._loop.alive:
                raise AnswerAborted("the stream loop has ended")
        self._wake_up.clear()
        if self._failure is not None:
            raise self._failure

    def _schedule_send(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run_scheduled_send)

    def _run_scheduled_send(self) -> None:
        # Cleared first: news from now on is sent by another call.
        self._is_scheduled = False
        try:
            with self._lock:
                self._send()
        except Exception as error:
            # The server's thread raises it, which cuts the connection.
            self._failure = error
        if self._ended or self._unsent or self._failure is not None:
            self._wake_up.set()

    def _send(self) -> None:
        if not self._is_open or self._unsent or self._ended:
            return
        piece = self._send_piece()
        if piece.data and self._reader.answer.abandoned:
            # No news follows an abandoned answer: what it has left is read now.
            piece = piece if self._unsent else self._send_piece()
        # Set last: the server's thread returns when it sees no rest.
        self._ended = piece.ended

    def _send_piece(self) -> Piece:
        result = self._reader(self._offset, 0.0)
        if result.is_error():
            raise AnswerMoved(self._offset)
        piece = result.ok
        if piece.data:
            self._unsent = self._sender.write_now(piece.data)
            self._offset += len(piece.data)
        return piece
