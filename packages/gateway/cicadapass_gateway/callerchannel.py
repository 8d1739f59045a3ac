"""Read requests from a caller's connection within the memory that it is granted."""

import asyncio
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

import h11

from cicadapass_decisions.memorybudget import UPLOAD_LIMIT_S, ShedReason
from cicadapass_decisions.passthrough import CallerLimits
from cicadapass_gateway.exchange import Exchange, Handler, Headers
from cicadapass_gateway.memorybudget import MemoryAccount, MemoryBudget
from cicadapass_gateway.sockets import (
    ended_by_peer,
    has_unread_data,
    watch_connection,
)

# Bytes of an incomplete head that do not count as its line or headers.
FRAMING_BYTES = 1024
# Parts of a request that are parsed before other connections get their turn.
PARTS_PER_TURN = 32
# After an error response, what the caller still sends is discarded until it closes, for
# at most this long. Closing at once would reset the connection, and the caller could
# lose the response.
LINGER_S = 3.0
# More than this is not read from such a caller: a body of the usual limit.
LINGER_BYTES = 4_194_304
# Most bytes that are read at once, into a buffer that all connections share.
READ_BYTES = 65_536
# Most bytes that are written at once. A transport of uvloop keeps each object that it
# writes until the kernel has taken all of it, but counts only the rest.
WRITE_BYTES = 65_536
# Bytes that a connection may hold without a reservation: most heads are shorter.
FREE_READ_BYTES = 4096
# Bytes on the wire for each byte of the largest body. Chunks of one byte take six.
MAX_WIRE_BYTES_PER_BYTE = 8
# Seconds after which a caller may return that was refused for want of memory.
RETRY_AFTER_S = b"2"
# Status of the refusals: the caller was too slow, or the node is full.
SHED_STATUS = {
    ShedReason.STALLED: 408,
    ShedReason.SLOW: 408,
    ShedReason.NO_MEMORY: 503,
}

# Returns the workspace of a request's headers, or None if it has no valid credential.
Identify = Callable[[Headers], str | None]
# Returns the time-out of a request's route by its headers and target, or None.
FindTimeout = Callable[[Headers, bytes], float | None]


@dataclass(slots=True)
class ServerState:
    """Share limits and the stopping flag among the connections of a server."""

    limits: CallerLimits
    # While true, responses carry `Connection: close`.
    stopping: bool = False


class ChannelOwner(Protocol):
    """Represent the server whose connections share its limits and its budget."""

    state: ServerState
    handler: Handler
    on_error: Callable[[Exception], None]
    budget: MemoryBudget
    identify: Identify | None
    find_timeout: FindTimeout | None
    read_buffer: memoryview
    channels: set["CallerChannel"]

    def parse_later(self, parse: Callable[[], None]) -> None:
        """Call a function after those that wait already, in turns."""


class CallerChannel(asyncio.BufferedProtocol):
    """Read requests from one connection and run the handler for each.

    The connection reads only what its account has reserved.
    """

    def __init__(self, server: ChannelOwner) -> None:
        self._server = server
        self._budget = server.budget
        self._loop = asyncio.get_running_loop()
        # Those in force when the connection became idle or the request began to arrive.
        self._limits = server.state.limits
        # The parser's limit cannot be changed later; `_await_data` checks the size.
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self._transport: asyncio.Transport | None = None
        self._account: MemoryAccount | None = None
        self._exchange: Exchange | None = None
        # The workspace of the current request, once it was looked up.
        self._identified = False
        self._workspace: str | None = None
        # The time-out of its route, once it was looked up.
        self._time_limit_s: float | None = None
        self._body = bytearray()
        self._announced_bytes: int | None = None
        # Bytes in memory, parsed or not, and those that wait for the end of a request.
        self._held_bytes = 0
        self._pipelined_bytes = 0
        # Bytes of the current request with the framing of its chunks.
        self._wire_bytes = 0
        # Bytes read after a refusal.
        self._discarded_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._idle_since_s = self._loop.time()
        self._reading_since_s: float | None = None
        self._received_s = self._idle_since_s
        self._closing = False
        # Reading stops while data is parsed in turns, and while memory is not granted.
        self._parsing = False
        self._awaiting_grant = False
        self._reading_paused = False

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or answered."""
        return self._exchange is not None or self._reading_since_s is not None

    @property
    def connected(self) -> bool:
        """Return whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unfinished(self) -> bool:
        """Return whether no complete request is in progress."""
        return self._task is None and self._writable.is_set()

    @property
    def unread(self) -> bool:
        """Return whether a complete response was not taken by the caller yet."""
        return self._task is None and not self._writable.is_set()

    @property
    def uploading(self) -> bool:
        """Return whether the head is complete and the body is not."""
        return self._exchange is not None and self._task is None

    @property
    def missing_bytes(self) -> int:
        """Return the bytes that are reserved and were not received yet."""
        reserved_bytes = self._account.reserved_bytes if self._account else 0
        return max(0, reserved_bytes - self._held_bytes)

    @property
    def time_limit_s(self) -> float:
        """Return the time-out of the request's route, or `UPLOAD_LIMIT_S`."""
        if self._time_limit_s is None and self._exchange is not None:
            find, exchange = self._server.find_timeout, self._exchange
            found_s = find(exchange.headers, exchange.target) if find else None
            self._time_limit_s = UPLOAD_LIMIT_S if found_s is None else found_s
        return self._time_limit_s or UPLOAD_LIMIT_S

    @property
    def ended_unread(self) -> bool:
        """Return whether the caller has gone while nothing was read."""
        if self._transport is None or not self._reading_paused:
            return False
        # A caller that sends nothing more may still be reading its response.
        return ended_by_peer(self._transport, half_closed=not self.unread)

    @property
    def has_unread_data(self) -> bool:
        """Return whether the kernel holds data of the caller."""
        return self._transport is not None and has_unread_data(self._transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options and register the connection with the server."""
        # The transports of uvloop do not subclass asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        self._account = self._budget.open_account(self, self._loop.time())
        if self._account is None:
            self.abort()
            return
        watch_connection(transport)
        self._server.channels.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler of a caller that disconnected."""
        self._server.channels.discard(self)
        self._closing = True
        self._body = bytearray()
        if self._account is not None:
            self._budget.close_account(self._account)
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close a half-closed connection, which cancels its handler."""
        return False

    def pause_writing(self) -> None:
        """Make `wait_writable` block until the caller has read more."""
        self._writable.clear()
        self._charge_response(self._loop.time())

    def resume_writing(self) -> None:
        """Let `wait_writable` return, and read the next request."""
        self._writable.set()
        self._charge_response(self._loop.time())
        if self._task is None and not self._closing:
            self._idle_since_s = self._loop.time()
            if self._reading_since_s is not None:
                self._reading_since_s = self._idle_since_s
            self._loop.call_soon(self._process_events)

    async def wait_writable(self) -> None:
        """Wait until the write buffer has room, or the connection is lost."""
        await self._writable.wait()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the part of the shared buffer that the connection may fill."""
        buffer = self._server.read_buffer
        if self._account is None or self._closing:
            return buffer
        if self._task is None and self._announced_bytes is None:
            # Without room in the budget, less is read.
            self._budget.reserve(self._account, self._held_bytes + READ_BYTES)
        return buffer[: max(1, self._readable_bytes())]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read into the shared buffer."""
        if self._closing:
            self._discarded_bytes += nbytes
            self._update_reading()
        else:
            self.data_received(bytes(self._server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Feed the parser; data after the connection's close is ignored."""
        if self._closing:
            return
        self._received_s = self._loop.time()
        if self._reading_since_s is None and self._exchange is None:
            self._reading_since_s = self._received_s
            self._limits = self._server.state.limits
        if self._account is not None:
            self._account.record_progress(len(data), self._received_s)
        self._wire_bytes += len(data)
        self._parser.receive_data(data)
        self._process_events()

    def identify(self) -> tuple[str, bool]:
        """Return the workspace, or else the address, and whether it is a workspace."""
        if not self._identified and self._exchange is not None:
            # Grants are planned many times a second while memory is scarce.
            self._identified = True
            if self._server.identify is not None:
                self._workspace = self._server.identify(self._exchange.headers)
        if self._workspace is not None:
            return self._workspace, True
        address = self._transport and self._transport.get_extra_info("peername")
        return str(address[0]) if address else "", False

    def grant(self) -> None:
        """Go on reading what has been reserved."""
        self._awaiting_grant = False
        self._received_s = self._loop.time()
        if self._exchange is None and self._reading_since_s is not None:
            self._reading_since_s = self._received_s
        self._update_reading()

    def shed(self, reason: ShedReason) -> None:
        """Refuse the unfinished request and release its memory."""
        if reason is ShedReason.UNREAD:
            self.abort()
            return
        self._refuse(SHED_STATUS[reason])

    def evict(self) -> None:
        """Close the connection at once, to make room for others."""
        self.abort()

    def enforce_timeouts(self, now_s: float) -> None:
        """Refuse a request that arrives too slowly; close an idle connection.

        The header time-out covers the head. Within a body, a caller may be idle for as
        long as between two requests.
        """
        if self.ended_unread:
            self.abort()
        # Callers reuse connections for as long as the limit that they know allows.
        idle_timeout_s = max(
            self._limits.idle_timeout_s, self._server.state.limits.idle_timeout_s
        )
        if self.unread:
            self._abort_unread(now_s, idle_timeout_s)
            return
        if self._task is not None or self._closing or self._awaiting_grant:
            return
        if self._exchange is not None:
            if now_s - self._received_s > idle_timeout_s:
                self._refuse(408)
        elif self._reading_since_s is not None:
            if now_s - self._reading_since_s > self._limits.header_timeout_s:
                self._refuse(408)
        elif now_s - self._idle_since_s > idle_timeout_s:
            self.close()

    def _abort_unread(self, now_s: float, timeout_s: float) -> None:
        """Reset the connection of a caller that does not read its response."""
        self._charge_response(now_s)
        account = self._account
        if account is not None and now_s - account.progressed_s > timeout_s:
            self.abort()

    def close(self) -> None:
        """Close the connection after sending the buffered data; do so once."""
        if self._closing:
            return
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the response's head, with `Connection: close` while stopping."""
        fields = list(headers)
        if self._server.state.stopping:
            fields.append((b"Connection", b"close"))
        self._send(h11.Response(status_code=status, headers=fields))

    def send_body(self, data: bytes) -> None:
        """Send a chunk of the response's body."""
        self._send(h11.Data(data=data))

    def end_response(self) -> None:
        """End the response and read the next request, unless the connection closes."""
        self._send(h11.EndOfMessage())
        self._exchange = None
        self._task = None
        self._announced_bytes = None
        self._idle_since_s = self._loop.time()
        if self._account is not None:
            self._account.mark_progress(self._idle_since_s)
        if self._closing:
            return
        if self._parser.our_state is h11.MUST_CLOSE or (
            self._parser.their_state is not h11.DONE
        ):
            self.close()
            return
        self._parser.start_next_cycle()
        self._limits = self._server.state.limits
        self._wire_bytes = 0
        if self._parser.trailing_data[0]:
            self._reading_since_s = self._idle_since_s
            self._parsing = True
            self._loop.call_soon(self._process_events)
        self._settle()

    def _process_events(self) -> None:
        self._parsing = False
        if self.unread:
            # Requests of a caller that does not read its responses wait.
            self._settle()
            return
        try:
            for _ in range(PARTS_PER_TURN):
                if self._closing or self._task is not None or not self._next_event():
                    self._settle()
                    return
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint or 400)
            return
        # The rest is parsed after other connections had their turn.
        self._parsing = True
        self._update_reading()
        self._server.parse_later(self._process_events)

    def _settle(self) -> None:
        """Adjust the reservation to what is held; stop reading without one."""
        account = self._account
        if account is None or self._closing:
            return
        unparsed_bytes = len(self._parser.trailing_data[0])
        self._held_bytes = len(self._body) + unparsed_bytes
        if self._task is not None:
            assert self._exchange is not None
            self._pipelined_bytes = unparsed_bytes
            self._held_bytes += len(self._exchange.body)
        needed_bytes = self._held_bytes
        if self._announced_bytes is not None and self._task is None:
            # The whole body is reserved before more than its beginning is read.
            needed_bytes = max(needed_bytes, self._announced_bytes)
        if needed_bytes <= FREE_READ_BYTES:
            needed_bytes = 0
        self._budget.release(account, needed_bytes)
        granted = self._budget.reserve(account, needed_bytes)
        if granted and self._task is None and self._readable_bytes() <= 0:
            needed_bytes = self._held_bytes + READ_BYTES
            granted = self._budget.reserve(account, needed_bytes)
        # A request in progress is never refused, so it does not wait for the few bytes
        # that may follow it.
        self._awaiting_grant = not granted and self._task is None
        if self._awaiting_grant:
            self._budget.wait(account, needed_bytes, self._loop.time())
        self._update_reading()

    def _charge_response(self, now_s: float) -> None:
        """Account for what the caller has not taken of its response."""
        if self._account is None or self._transport is None:
            return
        unsent_bytes = 0
        if not self._writable.is_set():
            unsent_bytes = self._transport.get_write_buffer_size()
        self._budget.charge_response(self._account, unsent_bytes, now_s)

    def _readable_bytes(self) -> int:
        """Return how many bytes may be read now."""
        if self._task is not None:
            # A busy connection is read to see its end, and what it sends is kept.
            return FREE_READ_BYTES - self._pipelined_bytes
        assert self._account is not None
        return max(self._account.reserved_bytes, FREE_READ_BYTES) - self._held_bytes

    def _update_reading(self) -> None:
        """Pause or resume reading as the state demands."""
        if self._closing:
            paused = self._discarded_bytes > LINGER_BYTES
        else:
            paused = self._parsing or self._awaiting_grant or self.unread
            if self._task is not None and self._readable_bytes() <= 0:
                paused = True
        if self._transport is None or paused == self._reading_paused:
            return
        self._reading_paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _next_event(self) -> bool:
        event = self._parser.next_event()
        if event is h11.NEED_DATA:
            self._await_data()
            return False
        if event is h11.PAUSED:
            return False
        if isinstance(event, h11.Request):
            self._begin_request(event)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._limits.max_body_bytes:
                self._refuse(413)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()
        elif isinstance(event, h11.ConnectionClosed):
            self.close()
        return not self._closing

    def _begin_request(self, event: h11.Request) -> None:
        """Check the head of a request, and the length that it announces."""
        if _head_bytes(event) > self._limits.max_header_bytes:
            self._refuse(431)
            return
        arrived_s = self._reading_since_s or self._loop.time()
        self._exchange = Exchange(self, event, arrived_s)
        self._identified, self._workspace, self._time_limit_s = False, None, None
        if self._account is not None:
            self._account.begin_upload(self._loop.time())
        self._body = bytearray()
        self._announced_bytes = _announced_bytes(event)
        # A longer body would wait for memory in vain.
        max_bytes = min(self._limits.max_body_bytes, self._budget.largest_request_bytes)
        if (self._announced_bytes or 0) > max_bytes:
            self._refuse(413)

    def _await_data(self) -> None:
        """Check the size of an incomplete request, and ask for a body if expected."""
        incomplete_bytes = len(self._parser.trailing_data[0])
        limits = self._limits
        max_wire_bytes = limits.max_body_bytes * MAX_WIRE_BYTES_PER_BYTE
        max_wire_bytes += limits.max_header_bytes + READ_BYTES
        if incomplete_bytes > limits.max_header_bytes + FRAMING_BYTES:
            self._refuse(431)
        elif self._wire_bytes > max_wire_bytes:
            self._refuse(413)
        elif self._parser.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _dispatch(self) -> None:
        assert self._exchange is not None
        self._exchange.body = bytes(self._body)
        self._body = bytearray()
        self._reading_since_s = None
        self._task = self._loop.create_task(self._handle(self._exchange))

    async def _handle(self, exchange: Exchange) -> None:
        try:
            await self._server.handler(exchange)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._server.on_error(error)
        if exchange.finished or self._closing:
            return
        if exchange.started:
            exchange.abort()
        else:
            exchange.respond(502, [], b"")

    def _refuse(self, status: int) -> None:
        """Send an error for a request that is not read, and close the connection."""
        self._reading_since_s = None
        self._exchange = None
        self._body = bytearray()
        if self._account is not None:
            self._budget.release(self._account, 0)
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.close()
            return
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if status == 503:
            headers.append((b"Retry-After", RETRY_AFTER_S))
        self._send(h11.Response(status_code=status, headers=headers))
        self._send(h11.EndOfMessage())
        # What the old parser has not parsed is not needed any more.
        self._parser = h11.Connection(h11.SERVER)
        self._closing = True
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self._transport.abort()
            return
        self._loop.call_later(LINGER_S, self._transport.abort)
        self._update_reading()

    def _send(self, event: h11.Event) -> None:
        data, transport = self._parser.send(event) or b"", self._transport
        for start in range(0, len(data), WRITE_BYTES):
            if transport is None or transport.is_closing():
                return
            transport.write(data[start : start + WRITE_BYTES])


def _head_bytes(request: h11.Request) -> int:
    """Return the size of a request's line and headers."""
    fields = sum(len(name) + len(value) + 4 for name, value in request.headers)
    return len(request.method) + len(request.target) + fields


def _announced_bytes(request: h11.Request) -> int | None:
    """Return the length of a request's body, or None if its head does not state it."""
    length = None
    for name, value in request.headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            length = int(value)
    return length
