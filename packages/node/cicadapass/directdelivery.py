"""Send local answers from the stream loop instead of the server's threads."""

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

# A thread that waits for the loop checks at this interval that the loop still runs.
LOOP_CHECK_S = 5.0


class DirectSender(Protocol):
    """Write to the socket of a response whose headers have been sent."""

    def write_nonblocking(self, data: bytes) -> bytes:
        """Send without blocking and return the bytes not sent, with their framing."""

    def write_remaining(self, data: bytes) -> None:
        """Send what `write_nonblocking` returned; blocks while the reader is slow."""


class AnswerMoved(AnswerAborted):
    """Raised when another node continues the answer from `offset`."""

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
    """Yield the bytes of an answer, or send them through the loop and yield none.

    The loop sends local answers if there is a sender, which TLS connections lack.
    `follow` reads the remaining bytes if another node continues the answer.
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
    """Send one answer from the loop while the server's thread waits for the end.

    The thread sends only the bytes that the socket did not accept without blocking,
    so that a slow reader does not delay the others.
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
        # Held while the loop uses the socket: once `run` returns, the server may close
        # it and its file descriptor may be reused.
        self._lock = threading.Lock()
        self._is_open = True
        self._is_scheduled = False
        self._unsent = b""
        self._ended = False
        self._failure: Exception | None = None
        self._wake_up = threading.Event()

    def run(self) -> None:
        """Return after all bytes are sent; raise if the connection must be closed."""
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
        # Cleared before reading, so that a later change schedules another call.
        self._is_scheduled = False
        try:
            with self._lock:
                self._send()
        except Exception as error:
            # Raised again in the server's thread, which closes the connection.
            self._failure = error
        if self._ended or self._unsent or self._failure is not None:
            self._wake_up.set()

    def _send(self) -> None:
        if not self._is_open or self._unsent or self._ended:
            return
        piece = self._send_piece()
        if piece.data and self._reader.answer.abandoned:
            # An abandoned answer notifies no more, so its remaining bytes are read now.
            piece = piece if self._unsent else self._send_piece()
        # Set last: the server's thread returns once the answer has ended and no bytes
        # are unsent.
        self._ended = piece.ended

    def _send_piece(self) -> Piece:
        result = self._reader(self._offset, 0.0)
        if result.is_error():
            raise AnswerMoved(self._offset)
        piece = result.ok
        if piece.data:
            self._unsent = self._sender.write_nonblocking(piece.data)
            self._offset += len(piece.data)
        return piece
