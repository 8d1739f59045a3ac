"""Server side of connections from peers: receives requests and sends answers."""

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import Any, TypeVar

from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from cicadapass import handshake, peerstate
from cicadapass.peererrors import PeerError, PeerFault
from cicadapass.peerstate import PeerState
from cicadapass_common.exceptions import FrameError
from cicadapass_common.messages import Failure, Hello, HelloProof, Message
from cicadapass_common.wire import MAX_FRAME_BYTES, Frame, OversizedFrame, encode
from cicadapass_decisions.types import NodeAddress

MAX_QUEUED_REPLIES = 2048

T = TypeVar("T", bound=Message)


class ReplyQueue:
    """Own the queued answers to one peer; used only in the event loop's thread."""

    def __init__(self, connection: ServerConnection, state: PeerState) -> None:
        self._connection = connection
        self._state = state
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_REPLIES)
        self._bytes = 0
        self._closed = False

    def put(self, kind: str, data: bytes, peer: str) -> None:
        """Queue an answer; abort the connection if the peer does not read."""
        if self._closed:
            return
        self._bytes += len(data)
        if self._queue.full() or self._bytes > peerstate.MAX_QUEUED_BYTES:
            self._closed = True
            self._state.events.emit(
                327, peer=peer, reason=f"{self._queue.qsize()} answers are queued"
            )
            self._connection.transport.abort()
            return
        self._state.count_sent(kind, len(data))
        self._queue.put_nowait(data)

    async def run(self) -> None:
        """Send answers until the connection ends."""
        while True:
            data = await self._queue.get()
            await self._connection.send(data)
            self._bytes -= len(data)


def _reporting_connection_class(
    on_failure: Callable[[str], None],
) -> type[ServerConnection]:
    """Return a connection class that reports failures of the opening handshake."""

    class ReportingConnection(ServerConnection):
        """Report failures that the library does not log."""

        async def handshake(self, *args: Any, **kwargs: Any) -> None:
            """Perform the opening handshake, and report its failure or time-out."""
            try:
                await super().handshake(*args, **kwargs)
            except BaseException as error:
                # The open timeout cancels the handshake of a client that sends no valid
                # request.
                on_failure(repr(self.protocol.handshake_exc or error))
                raise
            if self.protocol.handshake_exc is not None:
                on_failure(repr(self.protocol.handshake_exc))

    return ReportingConnection


Dispatch = Callable[[NodeAddress, Message, Callable[[Message], None]], None]


class PeerServer:
    """Own the listening socket; used only in the event loop's thread."""

    def __init__(self, state: PeerState, dispatch: Dispatch) -> None:
        self._state = state
        self._dispatch = dispatch
        self._server: Server | None = None
        self._loop = asyncio.get_running_loop()
        self._thread = threading.current_thread()

    async def start(self) -> int:
        """Listen and return the port; raise OSError if it is in use."""
        settings = self._state.settings
        self._server = await serve(
            self._handle,
            settings.listen_host,
            settings.address.peer_port
            if settings.listen_port is None
            else settings.listen_port,
            ssl=settings.server_tls,
            compression=None,
            server_header=None,
            create_connection=_reporting_connection_class(self._on_handshake_failure),
            open_timeout=peerstate.OPEN_TIMEOUT_S,
            ping_interval=peerstate.SERVER_PING_INTERVAL_S,
            close_timeout=peerstate.CLOSE_TIMEOUT_S,
            max_size=MAX_FRAME_BYTES,
        )
        return next(iter(self._server.sockets)).getsockname()[1]

    async def close(self) -> None:
        """Close the socket and all connections."""
        if self._server:
            self._server.close()
            await self._server.wait_closed()

    def _on_handshake_failure(self, reason: str) -> None:
        self._state.report_handshake_failure(reason)

    async def _handle(self, connection: ServerConnection) -> None:
        peer = _remote_address(connection)
        if self._state.connections >= peerstate.MAX_CONNECTIONS:
            limit = peerstate.MAX_CONNECTIONS
            self._state.report_connection_limit(peer, limit)
            return
        self._state.connections += 1
        try:
            await self._serve_connection(connection, peer)
        except PeerError as error:
            self._state.report(error, peer)
            with contextlib.suppress(WebSocketException):
                await connection.close(peerstate.CLOSE_POLICY_VIOLATION, error.fault)
        except ConnectionClosed as closed:
            self._report_closed(closed, peer)
        finally:
            self._state.connections -= 1

    async def _serve_connection(self, connection: ServerConnection, peer: str) -> None:
        try:
            async with asyncio.timeout(peerstate.OPEN_TIMEOUT_S):
                sender = await self._perform_handshake(connection, peer)
        except TimeoutError:
            raise PeerError(
                PeerFault.TIMEOUT, f"no handshake within {peerstate.OPEN_TIMEOUT_S} s"
            ) from None
        replies = ReplyQueue(connection, self._state)
        writer = self._loop.create_task(replies.run())
        try:
            async for data in connection:
                self._receive(data, sender, replies)
        except ConnectionClosed:
            # A client that closes an idle connection completes the closing handshake
            # and does not get here.
            self._state.on_broken(sender)
            raise
        finally:
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)

    async def _perform_handshake(
        self, connection: ServerConnection, peer: str
    ) -> NodeAddress:
        """Return the client's address after it has proved the secret."""
        secret = self._state.settings.secret
        hello = await self._receive_handshake_message(connection, peer, Hello)
        reply = handshake.answer_hello(hello, self._state.address, secret)
        data = encode(reply, None, self._state.stamps.stamp())
        self._state.count_sent(reply.KIND, len(data))
        await connection.send(data)
        proof = await self._receive_handshake_message(connection, peer, HelloProof)
        handshake.check_client(hello, reply, proof, secret)
        return hello.address

    async def _receive_handshake_message(
        self, connection: ServerConnection, peer: str, kind: type[T]
    ) -> T:
        data = await connection.recv()
        if len(data) > handshake.MAX_HANDSHAKE_BYTES:
            raise PeerError(
                PeerFault.OVERSIZED, f"a handshake message of {len(data)} bytes"
            )
        try:
            message = self._state.read_frame(data, peer).message
        except FrameError as error:
            raise PeerError(PeerFault.GARBAGE, error.problem) from None
        if not isinstance(message, kind):
            raise PeerError(PeerFault.GARBAGE, f"{message.KIND} before the handshake")
        return message

    def _receive(
        self, data: str | bytes, sender: NodeAddress, replies: ReplyQueue
    ) -> None:
        try:
            frame = self._state.read_frame(data, sender.name)
        except FrameError:
            # A kind of a newer version is not decoded and has no correlation to answer.
            return
        self._dispatch(sender, frame.message, self._reply_to(frame, sender, replies))

    def _reply_to(
        self, frame: Frame, sender: NodeAddress, replies: ReplyQueue
    ) -> Callable[[Message], None]:
        """Return a function that answers the frame; it may be called in any thread."""

        def reply(message: Message) -> None:
            if frame.correlation is None:
                return
            kind, data = self._encode(message, frame.correlation)
            if threading.current_thread() is self._thread:
                replies.put(kind, data, sender.name)
                return
            # While the node stops, the loop is closed and the answer is not needed.
            with contextlib.suppress(RuntimeError):
                self._loop.call_soon_threadsafe(replies.put, kind, data, sender.name)

        return reply

    def _encode(self, message: Message, correlation: int) -> tuple[str, bytes]:
        stamp = self._state.stamps.stamp()
        try:
            return message.KIND, encode(message, correlation, stamp)
        except OversizedFrame as error:
            failure = Failure("oversized", error.problem)
            return failure.KIND, encode(failure, correlation, stamp)

    def _report_closed(self, closed: ConnectionClosed, peer: str) -> None:
        if closed.sent and closed.sent.code == peerstate.CLOSE_TOO_BIG:
            detail = f"a frame of more than {MAX_FRAME_BYTES} bytes"
            self._state.report(PeerError(PeerFault.OVERSIZED, detail), peer)


def _remote_address(connection: ServerConnection) -> str:
    address = connection.remote_address
    return f"{address[0]}:{address[1]}" if address else "unknown"
