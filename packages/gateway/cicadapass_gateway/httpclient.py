"""Send requests over HTTP/1.1 connections that carry one request at a time."""

import asyncio
import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import cast

import h11

from cicadapass_gateway.chunkedbody import ChunkedBody
from cicadapass_gateway.exceptions import AnswerBroken, ConnectFailed
from cicadapass_gateway.parsingbudget import ParsingBudget
from cicadapass_gateway.sockets import (
    has_unread_data,
    has_untaken_data,
    watch_connection,
)

Headers = Sequence[tuple[bytes, bytes]]
# Larger response heads are rejected.
MAX_RESPONSE_HEAD_BYTES = 65_536
# Assumed if an upstream does not send how long it keeps an idle connection open.
DEFAULT_KEEP_ALIVE_S = 2.0
# An upstream that sends more informational responses than this sends no final one.
MAX_INFORMATIONAL_RESPONSES = 16
# A connection with more unread bytes than this is not read until they are consumed.
MAX_UNREAD_BYTES = 262_144
# Chunks that are parsed before other connections get their turn.
CHUNKS_PER_TURN = 32
# Bytes of response bodies that all connections of a process may buffer. Each body may
# take half of what the others leave, so that endless ones do not displace short ones.
MAX_BUFFERED_BYTES = 33_554_432
# Fraction of that time in which an idle connection is reused; later, the upstream may
# already have closed it.
KEEP_ALIVE_FRACTION = 0.5
# Idle connections kept to one address. Without a bound, each request of a burst leaves
# an idle descriptor, beside those of the callers.
MAX_IDLE_PER_ADDRESS = 16
# Idle connections kept in all: half of the descriptors that are reserved for upstreams,
# peers, the log and the node's own listeners.
MAX_IDLE = 100
# A connection that has refused more requests than this is closed, which bounds the ids
# that it stores.
MAX_REFUSALS = 64
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Store the status and headers of a response."""

    status: int
    headers: Headers


@dataclass(slots=True)
class BodyBuffer:
    """Account for the response bodies that a process buffers."""

    used_bytes: int = 0
    limit_bytes: int = MAX_BUFFERED_BYTES
    # Copies of requests that upstreams have not taken yet. They do not count against
    # `limit_bytes`, since no response is refused for them.
    unsent_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Return the memory that responses and copies of requests take."""
        return self.used_bytes + self.unsent_bytes

    def grow(self, held_bytes: int, added_bytes: int) -> None:
        """Add to a body of `held_bytes`; raise `AnswerBroken` if it is too large."""
        others = self.used_bytes - held_bytes
        if held_bytes + added_bytes > (self.limit_bytes - others) / 2:
            raise AnswerBroken(
                f"a response body of over {held_bytes} bytes exceeds what is left of "
                f"the {self.limit_bytes} bytes for all bodies"
            )
        self.used_bytes += added_bytes

    def release(self, held_bytes: int) -> None:
        """Remove a body."""
        self.used_bytes -= held_bytes


class ClientChannel(asyncio.Protocol):
    """Send one request at a time over a connection and read its response."""

    def __init__(self, buffer: BodyBuffer) -> None:
        self._buffer = buffer
        self._loop = asyncio.get_running_loop()
        self._parser = _new_parser()
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._lost_error: Exception | None = None
        self._closed = False
        self._aborted = False
        self._in_use = False
        self._response_closes = False
        self._method = b""
        self._delimited = False
        # Parses the body of a chunked response in place of the parser.
        self._chunked: ChunkedBody | None = None
        self._needs_parser = False
        # Bytes received since the parser last ran out of data.
        self._unread_bytes = 0
        self._reading_paused = False
        # The size of the current request, and what of it is accounted for while its
        # upstream has not taken it.
        self._request_bytes = 0
        self._unsent_bytes = 0
        self._budget = ParsingBudget(0.0)
        self._chunks_in_turn = 0
        # The upstream ended its side before it took the whole request.
        self._ended_early = False
        self._responding = False
        self._received_s = 0.0
        self._received_bytes = 0
        self._idle_since_s = 0.0
        self._reusable_until_s = 0.0
        self._keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self._refused_ids: set[str] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of the new socket."""
        # The transports of uvloop do not subclass asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        watch_connection(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the reader, which then raises `AnswerBroken`."""
        self._closed = True
        self._charge_unsent(0)
        self._lost_error = exc
        self._wake()

    def eof_received(self) -> bool:
        """Pass the end of data to the parser; it ends a response without a length."""
        if self._transport is not None:
            self._ended_early = has_untaken_data(self._transport)
        if self._in_use and self._chunked is None:
            self._parser.receive_data(b"")
        self._closed = True
        self._wake()
        return False

    def pause_writing(self) -> None:
        """Account for a request that the upstream does not take at once.

        The transport keeps the whole copy until the last byte is written.
        """
        self._charge_unsent(self._request_bytes)

    def resume_writing(self) -> None:
        """Release the copy of a request that the upstream has taken.

        Up to the transport's low-water mark may be left of it, 16 KB by default.
        """
        self._charge_unsent(0)

    def _charge_unsent(self, unsent_bytes: int) -> None:
        self._buffer.unsent_bytes += unsent_bytes - self._unsent_bytes
        self._unsent_bytes = unsent_bytes

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes outside an exchange reset the connection."""
        if not self._in_use:
            self.abort()
            return
        self._responding = True
        self._received_s = self._loop.time()
        self._received_bytes += len(data)
        if self._chunked is not None:
            self._chunked.receive(data)
        else:
            self._parser.receive_data(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()
        self._wake()

    @property
    def responding(self) -> bool:
        """Return whether any byte of the current response has arrived."""
        return self._responding

    @property
    def received_s(self) -> float:
        """Return when the last byte of the current response arrived, or 0."""
        return self._received_s

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes of the current response so far."""
        return self._received_bytes

    @property
    def ended_by_peer(self) -> bool:
        """Return whether the upstream or the network ended the connection."""
        return self._closed and not self._aborted

    @property
    def delimited(self) -> bool:
        """Return whether the response's end is marked by its length or a last chunk.

        The end of the connection ends other responses, whole or not.
        """
        return self._delimited

    @property
    def ended_early(self) -> bool:
        """Return whether the upstream's data ended before it took the whole request.

        A reset may follow, which a response without a length does not show.
        """
        return self._ended_early

    @property
    def written(self) -> bool:
        """Return whether the whole request was passed to the kernel."""
        return self._transport is None or not self._transport.get_write_buffer_size()

    @property
    def idle_since_s(self) -> float:
        """Return when the last exchange ended, or 0."""
        return self._idle_since_s

    def is_reusable(self, now_s: float) -> bool:
        """Return whether the connection may carry another request."""
        return not self._closed and now_s < self._reusable_until_s

    @property
    def has_unread_data(self) -> bool:
        """Return whether data arrived that the event loop has not read yet."""
        return self._transport is not None and has_unread_data(self._transport)

    def has_refused(self, request_id: str | None) -> bool:
        """Return whether a request with this id was refused on the connection."""
        return request_id in self._refused_ids

    def record_refusal(self, request_id: str) -> None:
        """Record that a request was refused.

        The refusal may come again in place of the response to a repeat of the request,
        so a repeat needs another connection.
        """
        self._refused_ids.add(request_id)
        if len(self._refused_ids) > MAX_REFUSALS:
            self._response_closes = True

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a whole request; raise `AnswerBroken` on a closed connection."""
        if self._closed or self._transport is None:
            raise AnswerBroken("the connection was closed before the request was sent")
        if self._needs_parser:
            self._parser, self._needs_parser = _new_parser(), False
        self._in_use = True
        self._budget = ParsingBudget(self._loop.time())
        self._responding = False
        self._received_s = 0.0
        self._received_bytes = 0
        self._response_closes = False
        self._method = method
        request = h11.Request(method=method, target=target, headers=list(headers))
        chunks = [self._parser.send(request)]
        if body:
            chunks.append(self._parser.send(h11.Data(data=body)))
        chunks.append(self._parser.send(h11.EndOfMessage()))
        data = b"".join(chunk for chunk in chunks if chunk)
        self._request_bytes = len(data)
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Return the head of the final response; informational ones are skipped."""
        for _ in range(MAX_INFORMATIONAL_RESPONSES):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                headers = event.headers.raw_items()
                # What an upstream left of a head joins the one that it writes next.
                texts = [event.reason, *(value for _, value in headers)]
                if any(_STATUS_LINE.search(text) for text in texts):
                    raise AnswerBroken("a response head within another")
                self._record_connection_headers(event)
                return ResponseHead(event.status_code, headers)
            raise AnswerBroken("the connection was closed before a response")
        raise AnswerBroken(
            f"{MAX_INFORMATIONAL_RESPONSES} informational responses and no final one"
        )

    async def read_body(self) -> bytes | None:
        """Return the next chunk of the body, or None after the last one.

        Raise `AnswerBroken` if the body is divided into too many chunks.
        """
        self._chunks_in_turn += 1
        if self._chunks_in_turn >= CHUNKS_PER_TURN:
            await asyncio.sleep(0)
            self._chunks_in_turn = 0
        if self._chunked is not None:
            data = await self._next_chunk(self._chunked)
            if data is not None:
                self._budget.spend(1, len(data), self._loop.time())
            return data
        event = await self._next_event()
        if isinstance(event, h11.Data):
            self._budget.spend(1, len(event.data), self._loop.time())
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AnswerBroken("the connection was closed within a response")

    async def read_remaining(self) -> bytes:
        """Return the rest of the body; raise `AnswerBroken` if it is too large."""
        body = bytearray()
        try:
            while (chunk := await self.read_body()) is not None:
                self._buffer.grow(len(body), len(chunk))
                body += chunk
            return bytes(body)
        finally:
            self._buffer.release(len(body))

    def spend_events(self, count: int) -> None:
        """Count events of the body; raise `AnswerBroken` if they are too many."""
        self._budget.spend(count, 0, self._loop.time())

    def finish_exchange(self) -> bool:
        """End a complete exchange; return whether the connection can be reused."""
        if (
            self._closed
            or not self.written
            or self._response_closes
            or self._parser.our_state is not h11.DONE
            or not self._is_response_complete()
        ):
            self.abort()
            return False
        if self._chunked is None:
            self._parser.start_next_cycle()
        else:
            # The parser has not seen the body, so the next request gets another one.
            self._chunked = None
            self._needs_parser = True
        self._resume_reading()
        self._in_use = False
        idle_limit_s = self._keep_alive_s * KEEP_ALIVE_FRACTION
        self._idle_since_s = self._loop.time()
        self._reusable_until_s = self._idle_since_s + idle_limit_s
        return True

    def _is_response_complete(self) -> bool:
        """Return whether the response has ended and nothing follows it."""
        if self._chunked is not None:
            return self._chunked.complete and not self._chunked.has_trailing_data
        ended = self._parser.their_state is h11.DONE
        return ended and not self._parser.trailing_data[0]

    def abort(self) -> None:
        """Reset the connection."""
        self._aborted = self._aborted or not self._closed
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise AnswerBroken(f"invalid HTTP response: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            await self._wait_for_data()

    async def _next_chunk(self, body: ChunkedBody) -> bytes | None:
        """Return data of a chunked body, or None at its end."""
        while True:
            data = body.take()
            if data is not None or body.complete:
                return data
            await self._wait_for_data()

    async def _wait_for_data(self) -> None:
        """Wait for bytes; raise `AnswerBroken` if the connection has ended."""
        if self._closed:
            raise AnswerBroken(f"the connection was lost: {self._lost_error!r}")
        self._resume_reading()
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _resume_reading(self) -> None:
        self._unread_bytes = 0
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()

    def _record_connection_headers(self, response: h11.Response) -> None:
        # Responses that never have a body end with their head.
        self._delimited = self._method == b"HEAD" or response.status_code in (204, 304)
        for name, value in response.headers:
            if name in (b"content-length", b"transfer-encoding"):
                self._delimited = True
            if name == b"transfer-encoding" and self._may_have_chunks(response):
                self._chunked = ChunkedBody(MAX_RESPONSE_HEAD_BYTES)
                if received := self._parser.trailing_data[0]:
                    self._chunked.receive(received)
            if name == b"connection" and b"close" in value.lower():
                self._response_closes = True
            elif name == b"keep-alive":
                self._keep_alive_s = _parse_timeout(value, self._keep_alive_s)

    def _may_have_chunks(self, response: h11.Response) -> bool:
        """Return whether the body of a response with an encoding is not empty.

        h11 accepts no other encoding than chunks.
        """
        return self._method not in (b"HEAD", b"CONNECT") and (
            response.status_code not in (204, 304)
        )

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)


async def connect(
    host: str, port: int, timeout_s: float, buffer: BodyBuffer
) -> ClientChannel:
    """Open a connection; raise `ConnectFailed` if it is not open within `timeout_s`."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, channel = await loop.create_connection(
                lambda: ClientChannel(buffer), host, port
            )
    except (OSError, TimeoutError) as error:
        raise ConnectFailed(
            f"cannot connect to {host}:{port}: {error!r}",
            refused=isinstance(error, ConnectionRefusedError),
        ) from error
    return channel


class ClientPool:
    """Pool idle connections by address."""

    def __init__(self) -> None:
        self.buffer = BodyBuffer()
        self._idle: dict[tuple[str, int], list[ClientChannel]] = {}
        self._idle_count = 0

    async def acquire(
        self,
        host: str,
        port: int,
        timeout_s: float,
        *,
        fresh: bool = False,
        request_id: str | None = None,
    ) -> ClientChannel:
        """Return an idle connection that has not refused the request, or open one.

        `fresh` always opens one.
        """
        if fresh:
            self._close_oldest_idle((host, port))
        else:
            channel = self._take_idle((host, port), request_id)
            if channel is not None:
                return channel
        return await connect(host, port, timeout_s, self.buffer)

    def _close_oldest_idle(self, address: tuple[str, int]) -> None:
        """Make room for a new connection, which returns to the pool in its place.

        Otherwise each request that needs a new one adds an idle descriptor.
        """
        idle = self._idle.get(address)
        if idle:
            self._pop_idle(address, 0).abort()

    def _pop_idle(self, address: tuple[str, int], position: int) -> ClientChannel:
        self._idle_count -= 1
        return self._idle[address].pop(position)

    def _take_idle(
        self, address: tuple[str, int], request_id: str | None
    ) -> ClientChannel | None:
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(address, [])
        for position in range(len(idle) - 1, -1, -1):
            channel = idle[position]
            # Bytes that arrived before the request belong to no response to it.
            if not channel.is_reusable(now_s) or channel.has_unread_data:
                self._pop_idle(address, position).abort()
            elif not channel.has_refused(request_id):
                return self._pop_idle(address, position)
        return None

    def release(
        self,
        host: str,
        port: int,
        channel: ClientChannel,
        *,
        refused_id: str | None = None,
    ) -> None:
        """End the exchange of a connection and return it to the pool, if reusable.

        `refused_id` is the id of the request, if it was refused.
        """
        if refused_id is not None:
            channel.record_refusal(refused_id)
        if channel.finish_exchange():
            self._idle.setdefault((host, port), []).append(channel)
            self._idle_count += 1
            self._bound_idle((host, port))

    def _bound_idle(self, address: tuple[str, int]) -> None:
        """Close the oldest idle connections beyond the limits."""
        if len(self._idle[address]) > MAX_IDLE_PER_ADDRESS:
            self._close_oldest_idle(address)
        if self._idle_count > MAX_IDLE:
            oldest = min(
                (channels[0].idle_since_s, each)
                for each, channels in self._idle.items()
                if channels
            )
            self._close_oldest_idle(oldest[1])

    def close_expired(self, now_s: float) -> None:
        """Close the idle connections that can no longer be reused."""
        for address, channels in list(self._idle.items()):
            reusable = [each for each in channels if each.is_reusable(now_s)]
            if len(reusable) == len(channels):
                continue
            for channel in channels:
                if not channel.is_reusable(now_s):
                    channel.abort()
            self._idle_count -= len(channels) - len(reusable)
            if reusable:
                self._idle[address] = reusable
            else:
                del self._idle[address]


def _parse_timeout(value: bytes, default: float) -> float:
    for parameter in value.split(b","):
        name, _, seconds = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return default
