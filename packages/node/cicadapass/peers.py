"""Messages to and from other nodes, on one asyncio event loop in its own thread."""

import asyncio
import contextlib
import itertools
import random
import threading
from collections.abc import Callable, Coroutine
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass, replace
from typing import Any, Generic, TypeVar

from expression import Error, Result

from cicadapass.peererrors import PeerError, PeerFault
from cicadapass.peerlink import OnReply, OutgoingMessage, PeerLink
from cicadapass.peerserver import PeerServer
from cicadapass.peerstate import KindCount, PeerSettings, PeerState
from cicadapass_common.events import EventLog
from cicadapass_common.messages import Failure, Message
from cicadapass_common.stamps import HybridClock
from cicadapass_common.wire import OversizedFrame, encode
from cicadapass_decisions.types import NodeAddress

HANDLER_THREADS = 8
MAX_HANDLER_CALLS = 256
START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 5.0
# The loop completes every request; this only guards against a failure of the loop.
ANSWER_GRACE_S = 2.0
MAX_LINKS = 2048

M = TypeVar("M", bound=Message)


@dataclass(frozen=True, slots=True)
class Inbound(Generic[M]):
    """Represent a message of a peer; `reply` may be called in any thread."""

    sender: NodeAddress
    message: M
    reply: Callable[[Message], None]


Handler = Callable[[Inbound[Any]], object]


@dataclass(frozen=True, slots=True)
class Traffic:
    """Report messages and bytes by message kind since the start."""

    sent: dict[str, KindCount]
    received: dict[str, KindCount]


class Peers:
    """Own the connections to all peers and the listening socket."""

    def __init__(
        self,
        settings: PeerSettings,
        events: EventLog,
        stamps: HybridClock,
        rng: random.Random,
    ) -> None:
        self._state = PeerState(settings, settings.address, events, stamps, rng)
        self._events = events
        self._links: dict[tuple[str, int, str, str], PeerLink] = {}
        self._handlers: dict[type[Message], tuple[Handler, bool]] = {}
        self._correlations = itertools.count(1)
        self._pool = ThreadPoolExecutor(HANDLER_THREADS, "peer-handler")
        self._handler_slots = threading.BoundedSemaphore(MAX_HANDLER_CALLS)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)
        self._server: PeerServer | None = None
        self._stopped = False
        self._port = 0

    @property
    def port(self) -> int:
        """Return the port that the node listens on; 0 before the start."""
        return self._port

    @property
    def address(self) -> NodeAddress:
        """Return the node's address; after the start it has the actual port."""
        return self._state.address

    def handle(
        self, kind: type[M], handler: Callable[[Inbound[M]], object], *, pooled: bool
    ) -> None:
        """Register the handler of a message kind; call it before the start.

        A handler that is not pooled runs in the loop's thread and must not block. If
        it does not reply, the sender's request times out.
        """
        self._handlers[kind] = handler, pooled

    def set_on_broken(self, on_broken: Callable[[NodeAddress], object]) -> None:
        """Set the callback for broken connections; it runs in the loop's thread.

        A connection that either side closes because it is idle does not count. The
        callback replaces an earlier one.
        """
        self._state.on_broken = on_broken

    def start(self) -> None:
        """Start the loop and listen; raise OSError if the port is in use."""
        self._thread.start()
        port = self._run_in_loop(self._listen(), START_TIMEOUT_S)
        self._port = port
        if self._state.settings.listen_port is None:
            self._state.address = replace(self._state.address, peer_port=port)
        host = self._state.settings.listen_host
        self._events.emit(320, host=host, port=port)

    def stop(self) -> None:
        """Close all connections; pending requests fail. A second call has no effect."""
        if self._stopped or not self._thread.is_alive():
            return
        self._stopped = True
        try:
            self._run_in_loop(self._close(), STOP_TIMEOUT_S)
        finally:
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join(STOP_TIMEOUT_S)
            self._pool.shutdown(wait=False, cancel_futures=True)

    def request(
        self, target: NodeAddress, message: Message, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Return the answer; raise RuntimeError if called in the loop's thread."""
        if threading.current_thread() is self._thread:
            raise RuntimeError("request() would block the event loop of the peers")
        future: Future[Result[Message, PeerError]] = Future()
        self.request_async(target, message, timeout_s, future.set_result)
        try:
            return future.result(timeout_s + ANSWER_GRACE_S)
        except FutureTimeout:
            detail = f"the event loop did not answer within {timeout_s} s"
            return Error(PeerError(PeerFault.STOPPED, detail, may_have_arrived=True))

    def request_async(
        self, target: NodeAddress, message: Message, timeout_s: float, on_reply: OnReply
    ) -> None:
        """Send a request; `on_reply` gets the answer once, in the loop's thread.

        It must not block. If the message is refused, it may be called in the caller's
        thread before this method returns.
        """
        self._submit(target, message, next(self._correlations), on_reply, timeout_s)

    def send(self, target: NodeAddress, message: Message) -> None:
        """Send a message without an answer; it is lost if the peer is unreachable."""
        self._submit(target, message, None, None, 0.0)

    def call_later(self, action: Callable[[], None], delay_s: float) -> None:
        """Call the action in the loop's thread, unless the node stops before that."""
        if threading.current_thread() is self._thread:
            self._loop.call_later(delay_s, action)
        else:
            with contextlib.suppress(RuntimeError):
                self._loop.call_soon_threadsafe(self._loop.call_later, delay_s, action)

    def traffic(self) -> Traffic:
        """Return the counts of messages and bytes by kind."""
        return Traffic(dict(self._state.sent), dict(self._state.received))

    def _submit(
        self,
        target: NodeAddress,
        message: Message,
        correlation: int | None,
        on_reply: OnReply | None,
        timeout_s: float,
    ) -> None:
        try:
            data = encode(message, correlation, self._state.stamps.stamp())
        except OversizedFrame as error:
            if on_reply:
                on_reply(Error(PeerError(PeerFault.OVERSIZED, error.problem)))
            return
        outgoing = OutgoingMessage(message.KIND, data, correlation, on_reply, timeout_s)
        try:
            if self._stopped:
                raise RuntimeError
            if threading.current_thread() is self._thread:
                # call_soon_threadsafe would delay it by another iteration of the loop.
                self._submit_in_loop(target, outgoing)
            else:
                self._loop.call_soon_threadsafe(self._submit_in_loop, target, outgoing)
        except RuntimeError:
            if on_reply:
                on_reply(Error(PeerError(PeerFault.STOPPED, "the node is stopping")))

    def _submit_in_loop(self, target: NodeAddress, message: OutgoingMessage) -> None:
        key = target.host, target.peer_port, target.name, target.incarnation
        link = self._links.get(key)
        if link is None:
            self._prune()
            link = self._links[key] = PeerLink(target, self._state)
        link.submit(message)

    def _prune(self) -> None:
        if len(self._links) >= MAX_LINKS:
            self._links = {k: v for k, v in self._links.items() if v.in_use}

    def _dispatch(
        self, sender: NodeAddress, message: Message, reply: Callable[[Message], None]
    ) -> None:
        """Run the handler of a message in the loop's thread or in the pool."""
        handler, pooled = self._handlers.get(type(message), (None, False))
        if handler is None:
            reply(Failure("unsupported", message.KIND))
            return
        inbound = Inbound(sender, message, reply)
        if not pooled:
            self._run_handler(handler, inbound)
        elif self._handler_slots.acquire(blocking=False):
            self._pool.submit(self._run_handler_in_pool, handler, inbound)
        else:
            reply(Failure("busy", message.KIND))

    def _run_handler_in_pool(self, handler: Handler, inbound: Inbound[Any]) -> None:
        try:
            self._run_handler(handler, inbound)
        finally:
            self._handler_slots.release()

    def _run_handler(self, handler: Handler, inbound: Inbound[Any]) -> None:
        try:
            handler(inbound)
        except Exception as error:
            # An error in one handler must not close the connection for all kinds.
            kind, peer = inbound.message.KIND, inbound.sender.name
            self._events.emit(329, peer=peer, kind=kind, reason=repr(error))
            inbound.reply(Failure("error", kind))

    async def _listen(self) -> int:
        self._server = PeerServer(self._state, self._dispatch)
        return await self._server.start()

    async def _close(self) -> None:
        links = [link.close() for link in self._links.values()]
        await asyncio.gather(*links, return_exceptions=True)
        if self._server:
            await self._server.close()

    def _run_in_loop(
        self, coroutine: Coroutine[Any, Any, Any], timeout_s: float
    ) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(timeout_s)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        remaining = asyncio.all_tasks(self._loop)
        for task in remaining:
            task.cancel()
        cancelled = asyncio.gather(*remaining, return_exceptions=True)
        self._loop.run_until_complete(cancelled)
        self._loop.close()
