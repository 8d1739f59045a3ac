"""Parse the body of a chunked response with httptools.

The head stays with h11. httptools does not say where a message ends, and does not bound
the lines between chunks, so both are checked here.
"""

from collections import deque

import httptools

from cicadapass_gateway.exceptions import AnswerBroken

# Bytes that are parsed before other connections may get their turn.
SLICE_BYTES = 16_384
# The parser expects a whole response; h11 has checked the real head.
_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class _Chunks:
    """Collect what the parser finds.

    The parser refers to its callbacks, so these are kept apart from its owner: a cycle
    would keep each body until the garbage collector runs.
    """

    def __init__(self) -> None:
        self.data: deque[bytes] = deque()
        # Bytes since the last data or size of a chunk.
        self.framing_bytes = 0
        self.ended = False
        # The data of a chunk that has not ended is added to that which is not taken.
        self._within_chunk = False

    def on_chunk_header(self) -> None:
        """Record the size line of a chunk."""
        self._within_chunk = False
        self.framing_bytes = 0

    def on_body(self, data: bytes) -> None:
        """Store data of the current chunk."""
        if self.ended:
            return
        self.framing_bytes = 0
        if self._within_chunk and self.data:
            self.data[-1] += data
        else:
            self.data.append(data)
        self._within_chunk = True

    def on_message_complete(self) -> None:
        """Record the end of the body."""
        self.ended = True


class ChunkedBody:
    """Split the received bytes of a chunked body into the data of its chunks."""

    def __init__(self, max_framing_bytes: int) -> None:
        self._max_framing_bytes = max_framing_bytes
        self._received: deque[bytes] = deque()
        self._error: str | None = None
        self._followed = False
        self._chunks = _Chunks()
        self._parser = httptools.HttpResponseParser(self._chunks)
        self._parser.feed_data(_HEAD)

    @property
    def complete(self) -> bool:
        """Return whether the body has ended and all of its data was taken."""
        return self._chunks.ended and not self._chunks.data

    @property
    def has_trailing_data(self) -> bool:
        """Return whether bytes arrived behind the end of the body."""
        return self._followed or bool(self._received)

    def receive(self, data: bytes) -> None:
        """Store bytes until they are parsed."""
        self._received.append(data)

    def take(self) -> bytes | None:
        """Return the next data, or None until more is received.

        Raise `AnswerBroken` for bytes that are no chunks, once the data before them is
        taken.
        """
        chunks = self._chunks
        while not chunks.data:
            if self._error is not None:
                raise AnswerBroken(f"invalid HTTP response: {self._error}")
            if chunks.ended or not self._received:
                return None
            self._parse(self._received.popleft())
        return chunks.data.popleft()

    def _parse(self, data: bytes) -> None:
        if len(data) > SLICE_BYTES:
            self._received.appendleft(data[SLICE_BYTES:])
            data = data[:SLICE_BYTES]
        chunks = self._chunks
        try:
            # The end is only known to lie within the bytes of a call, so the last byte
            # is parsed alone: a body that ends before it is followed by others.
            self._feed(data[:-1])
            if chunks.ended:
                self._followed = True
                return
            self._feed(data[-1:])
        except httptools.HttpParserError as error:
            if chunks.ended:
                # What follows the end is no part of the body.
                self._followed = True
                return
            self._error = str(error)
            return
        if chunks.framing_bytes > self._max_framing_bytes and not chunks.ended:
            self._error = "too many bytes between chunks"

    def _feed(self, data: bytes) -> None:
        if data:
            self._chunks.framing_bytes += len(data)
            self._parser.feed_data(data)
