"""Represent a caller's request and the response to it."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

import h11

Headers = Sequence[tuple[bytes, bytes]]


class ResponseChannel(Protocol):
    """Represent the connection on which a response is sent."""

    @property
    def connected(self) -> bool:
        """Return whether the connection is open."""

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the response's head."""

    def send_body(self, data: bytes) -> None:
        """Send a chunk of the response's body."""

    def end_response(self) -> None:
        """End the response."""

    def abort(self) -> None:
        """Reset the connection."""

    async def wait_writable(self) -> None:
        """Wait until the write buffer has room, or the connection is lost."""


class Exchange:
    """Represent a caller's request and send the response to it."""

    def __init__(
        self, channel: ResponseChannel, request: h11.Request, arrived_s: float
    ) -> None:
        self._channel = channel
        self.method: bytes = request.method
        self.target: bytes = request.target
        self.headers: Headers = request.headers.raw_items()
        self.body = b""
        self.arrived_s = arrived_s
        self.started = False
        self.finished = False

    @property
    def connected(self) -> bool:
        """Return whether the caller's connection is open."""
        return self._channel.connected

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response; `Content-Length` is added to the headers."""
        length = (b"Content-Length", str(len(body)).encode())
        self.start(status, [*headers, length])
        if body:
            self.write(body)
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send the response's head; `write` and `finish` follow."""
        self.started = True
        self._channel.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Send a chunk of the response's body."""
        self._channel.send_body(data)

    def finish(self) -> None:
        """End the response; the connection then accepts another request."""
        self.finished = True
        self._channel.end_response()

    def abort(self) -> None:
        """Reset the connection, so that the response does not look complete."""
        self.finished = True
        self._channel.abort()

    async def wait_writable(self) -> None:
        """Wait until the write buffer has room, or the caller has disconnected."""
        await self._channel.wait_writable()


Handler = Callable[[Exchange], Awaitable[None]]
