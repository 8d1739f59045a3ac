"""Client side of a connection to one peer: sends requests and receives answers."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result
from websockets.asyncio.client import ClientConnection
from websockets.exceptions import ConnectionClosed, WebSocketException

from cicadapass import peerstate
from cicadapass.peerconnect import closed_error, failure_reason, open_connection
from cicadapass.peererrors import PeerError, PeerFault
from cicadapass.peerstate import PeerState
from cicadapass_common.exceptions import FrameError
from cicadapass_common.messages import Failure, Message
from cicadapass_decisions.types import NodeAddress

OnReply = Callable[[Result[Message, PeerError]], object]


@dataclass(slots=True, eq=False)
class OutgoingMessage:
    """Track an encoded message until it is answered; a notification has no callback."""

    kind: str
    data: bytes
    correlation: int | None
    on_reply: OnReply | None
    timeout_s: float
    sent_s: float | None = None
    timer: asyncio.TimerHandle | None = None


class PeerLink:
    """Own the connection to one peer; used only in the event loop's thread."""

    def __init__(self, target: NodeAddress, state: PeerState) -> None:
        self._target = target
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._queue: deque[OutgoingMessage] = deque()
        self._queued_bytes = 0
        self._pending: dict[int, OutgoingMessage] = {}
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._connection: ClientConnection | None = None
        self._ping_task: asyncio.Task[None] | None = None
        self._failures = 0
        self._retry_s = 0.0
        self._last_error: PeerError | None = None
        self._received_s = 0.0

    @property
    def in_use(self) -> bool:
        """Return whether the link has a connection or is opening one."""
        return self._task is not None

    def submit(self, message: OutgoingMessage) -> None:
        """Queue a message; `on_reply` is called once, possibly before this returns."""
        error = self._refusal(message)
        if error is not None:
            if message.on_reply:
                message.on_reply(Error(error))
            return
        self._queue.append(message)
        self._queued_bytes += len(message.data)
        self._state.count_sent(message.kind, len(message.data))
        if message.correlation is not None:
            self._pending[message.correlation] = message
            message.timer = self._loop.call_later(
                message.timeout_s, self._expire, message.correlation
            )
        self._wake.set()
        if self._task is None:
            self._task = self._loop.create_task(self._run())

    async def close(self) -> None:
        """Close the connection; unanswered messages fail."""
        task = self._task
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def _refusal(self, message: OutgoingMessage) -> PeerError | None:
        if not self._state.settings.allow(self._target):
            return PeerError(
                PeerFault.UNREACHABLE,
                f"connections to {self._target.name} are not allowed",
            )
        queued = self._queued_bytes + len(message.data)
        if (
            len(self._queue) >= peerstate.MAX_QUEUED_MESSAGES
            or queued > peerstate.MAX_QUEUED_BYTES
        ):
            detail = f"{len(self._queue)} messages are queued for {self._target.name}"
            return PeerError(PeerFault.QUEUE_FULL, detail)
        if self._task is None and self._loop.time() < self._retry_s:
            return self._last_error
        return None

    async def _run(self) -> None:
        error = PeerError(PeerFault.STOPPED, "the node is closing its connections")
        try:
            connection = await open_connection(self._target, self._state)
            self._failures = 0
            self._connection = connection
            try:
                await self._exchange(connection)
            except PeerError:
                self._state.on_broken(self._target)
                raise
            self._reopen_if_queued()
            return
        except PeerError as peer_error:
            error = peer_error
        except (OSError, TimeoutError, WebSocketException) as failure:
            error = PeerError(PeerFault.UNREACHABLE, failure_reason(failure))
        finally:
            if self._task is asyncio.current_task():
                self._on_disconnected(error)

    async def _exchange(self, connection: ClientConnection) -> None:
        """Send and receive until the connection is idle or closed."""
        reader = self._loop.create_task(self._receive(connection))
        sender = self._loop.create_task(self._send_queue(connection))
        try:
            done, _ = await asyncio.wait(
                (reader, sender), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            reader.cancel()
            sender.cancel()
            await asyncio.gather(reader, sender, return_exceptions=True)
            with contextlib.suppress(Exception):
                await connection.close()

    async def _receive(self, connection: ClientConnection) -> None:
        try:
            async for data in connection:
                self._received_s = self._loop.time()
                self._on_frame(data)
        except ConnectionClosed as closed:
            raise closed_error(closed) from None
        raise PeerError(PeerFault.CLOSED, "the peer closed the connection")

    def _reopen_if_queued(self) -> None:
        """Reconnect if messages were queued while the idle connection was closing."""
        self._connection = None
        self._task = None
        if self._queue:
            self._task = self._loop.create_task(self._run())

    def _on_frame(self, data: str | bytes) -> None:
        try:
            frame = self._state.read_frame(data, self._target.name)
        except PeerError as error:
            self._state.report(error, self._target.name)
            raise
        except FrameError:
            # A message kind of a newer version: ignored, so its request times out.
            return
        # An answer after the timeout has no pending request any more.
        message = self._pending.pop(frame.correlation or 0, None)
        if message is None:
            return
        if isinstance(frame.message, Failure):
            detail = f"{frame.message.fault} ({frame.message.detail})"
            self._finish(message, Error(PeerError(PeerFault.REFUSED, detail)))
        else:
            self._finish(message, Ok(frame.message))

    async def _send_queue(self, connection: ClientConnection) -> None:
        while True:
            while self._queue:
                message = self._queue.popleft()
                self._queued_bytes -= len(message.data)
                message.sent_s = self._loop.time()
                await self._write(connection, message.data)
            self._wake.clear()
            try:
                async with asyncio.timeout(self._state.settings.idle_s):
                    await self._wake.wait()
            except TimeoutError:
                if not self._pending and not self._queue:
                    return

    async def _write(self, connection: ClientConnection, data: bytes) -> None:
        try:
            await connection.send(data)
        except ConnectionClosed as closed:
            raise closed_error(closed) from None

    def _expire(self, correlation: int) -> None:
        message = self._pending.pop(correlation, None)
        if message is None:
            return
        sent = message.sent_s is not None
        if not sent:
            self._queue.remove(message)
            self._queued_bytes -= len(message.data)
        detail = f"{self._target.name} did not answer within {message.timeout_s} s"
        error = PeerError(PeerFault.TIMEOUT, detail, may_have_arrived=sent)
        silent = sent and self._received_s < (message.sent_s or 0.0)
        if silent and self._connection and self._ping_task is None:
            ping = self._check_connection(self._connection)
            self._ping_task = self._loop.create_task(ping)
        self._finish(message, Error(error))

    async def _check_connection(self, connection: ClientConnection) -> None:
        """Abort the connection if the peer does not answer a ping either."""
        try:
            async with asyncio.timeout(peerstate.PING_TIMEOUT_S):
                await (await connection.ping())
        except (TimeoutError, WebSocketException):
            connection.transport.abort()
        finally:
            self._ping_task = None

    def _finish(
        self, message: OutgoingMessage, result: Result[Message, PeerError]
    ) -> None:
        if message.timer:
            message.timer.cancel()
        if message.on_reply:
            message.on_reply(result)

    def _back_off(self, error: PeerError) -> None:
        """Refuse messages until the retry time, unless a working connection closed."""
        if error.fault in (PeerFault.CLOSED, PeerFault.STOPPED):
            return
        self._failures += 1
        ceiling_s = peerstate.BACKOFF_FIRST_S * 2 ** min(self._failures, 10)
        wait_s = min(peerstate.BACKOFF_MAX_S, ceiling_s)
        wait_s *= self._state.rng.uniform(0.5, 1.0)
        self._retry_s = self._loop.time() + wait_s
        self._last_error = error

    def _on_disconnected(self, error: PeerError) -> None:
        self._back_off(error)
        self._task = None
        self._connection = None
        messages = [m for m in self._queue if m.correlation is None]
        messages += self._pending.values()
        self._queue.clear()
        self._queued_bytes = 0
        self._pending.clear()
        for message in messages:
            sent = message.sent_s is not None
            message_error = PeerError(
                error.fault, _detail(error), may_have_arrived=sent
            )
            self._finish(message, Error(message_error))


def _detail(error: PeerError) -> str:
    return error.problem.removeprefix(f"{error.fault}: ")
