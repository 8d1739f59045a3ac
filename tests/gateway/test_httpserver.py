"""Test the server with slow, invalid and disconnecting callers."""

import asyncio
import sys
from dataclasses import replace

import testtools

from cicadapass_decisions.passthrough import CallerLimits
from cicadapass_gateway.httpserver import CallerChannel, HttpServer, ServerState
from tests.gateway.harness import HOST, LoopTest, until
from tests.gateway.virtualcluster import run_virtual

LIMITS = CallerLimits(2048, 1000, header_timeout_s=1.0, idle_timeout_s=2.0)
# More than the kernel buffers of a connection.
RESPONSE_BYTES = 16_777_216
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class ServerTest(LoopTest):
    async def start(self, handler=None):
        """Start a server that answers `ok`."""

        async def respond(exchange):
            exchange.respond(200, [], b"ok")

        self.errors = []
        state = ServerState(LIMITS)
        server = HttpServer(state, handler or respond, self.errors.append)
        await server.listen(HOST, 0)
        return server

    async def exchange(self, server, data):
        """Send raw bytes and return all data until the connection's end."""
        reader, writer = await asyncio.open_connection(HOST, server.port)
        writer.write(data)
        response = await reader.read()
        writer.close()
        return response

    def test_requests_that_cannot_be_read_are_refused(self):
        """A request smuggled within another one was forwarded."""
        cases = (
            (b"nonsense\r\n\r\n", b" 400 "),
            (b"GET / HTTP/1.1\r\n\r\n", b" 400 "),
            (GET[:-2] + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", b" 400 "),
            (GET[:-2] + b"x: " + b"y" * 4000 + b"\r\n\r\n", b" 431 "),
            (GET[:-2] + b"Content-Length: 2000\r\n\r\n" + b"z" * 2000, b" 413 "),
        )

        async def scenario():
            server = await self.start()
            for data, status in cases:
                response = await self.exchange(server, data)
                self.assertIn(status, response.splitlines()[0], data[:60])

        self.run_loop(scenario())

    def test_pipelined_requests_are_answered_in_order(self):
        """The second of two pipelined requests was lost."""

        async def handler(exchange):
            await asyncio.sleep(0.01)
            exchange.respond(200, [], exchange.target)

        async def scenario():
            server = await self.start(handler)
            first = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
            last = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            response = await self.exchange(server, first + last)
            self.assertLess(response.index(b"/1"), response.index(b"/2"))

        self.run_loop(scenario())

    def test_slow_and_idle_connections_are_closed(self):
        """Callers that sent nothing kept their connections forever."""

        async def scenario():
            server = await self.start()
            slow, idle = [
                await asyncio.open_connection(HOST, server.port) for _ in range(2)
            ]
            slow[1].write(b"GET / HT")
            await until(lambda: any(each.busy for each in server.channels))
            now_s = asyncio.get_running_loop().time()
            server.enforce_timeouts(now_s + 0.5)
            self.assertEqual(2, len(server.channels))
            server.enforce_timeouts(now_s + 1.5)
            self.assertIn(b" 408 ", await slow[0].read())
            server.enforce_timeouts(now_s + 2.5)
            self.assertEqual(b"", await idle[0].read())

        self.run_loop(scenario())

    def test_a_refusal_reaches_a_caller_that_is_still_sending(self):
        """The connection was reset under the body, and the refusal lost with it."""

        async def scenario():
            server = await self.start()
            head = GET[:-2] + b"Content-Length: 4000000\r\n\r\n"
            reader, writer = await asyncio.open_connection(HOST, server.port)
            writer.write(head + b"z" * 2000)
            await until(lambda: not server.busy_count)
            for _ in range(10):
                writer.write(b"z" * 200_000)
                await writer.drain()
                await asyncio.sleep(0)
            writer.write_eof()
            self.assertIn(b" 413 ", (await reader.read()).splitlines()[0])
            await until(lambda: not server.channels)

        self.run_loop(scenario())

    def test_sent_parts_of_a_response_are_not_kept(self):
        """A response of which the kernel had taken a part stayed in memory whole.

        Only the rest counted as memory that its caller takes.
        """
        body = bytes(RESPONSE_BYTES)

        async def handler(exchange):
            exchange.respond(200, [], body)

        async def scenario():
            server = await self.start(handler)
            unused = sys.getrefcount(body)
            reader, writer = await asyncio.open_connection(HOST, server.port)
            writer.write(GET[:-2] + b"Connection: close\r\n\r\n")
            await until(lambda: any(each.unread for each in server.channels))
            self.assertEqual(unused, sys.getrefcount(body))
            response = await reader.read()
            self.assertEqual(body, response[-RESPONSE_BYTES:])

        self.run_loop(scenario())

    def test_a_stopping_server_closes_after_its_responses(self):
        """A planned stop interrupted a request, or kept its connection open."""

        async def scenario():
            server = await self.start()
            reader, writer = await asyncio.open_connection(HOST, server.port)
            writer.write(GET)
            await reader.readuntil(b"ok")
            server.state.stopping = True
            writer.write(GET)
            response = await reader.read()
            self.assertIn(b"connection: close", response.lower())
            self.assertTrue(response.endswith(b"ok"))

        self.run_loop(scenario())

    def test_a_handler_error_is_answered(self):
        """An exception in the handler left the caller without a response."""

        async def handler(exchange):
            raise ValueError("a fault")

        async def scenario():
            server = await self.start(handler)
            reader, writer = await asyncio.open_connection(HOST, server.port)
            writer.write(GET)
            self.assertIn(b" 502 ", await reader.readline())
            self.assertEqual(1, len(self.errors))
            writer.close()

        self.run_loop(scenario())

    def test_a_half_closed_connection_cancels_its_request(self):
        """The handler continued for a caller that had closed its side."""

        ended = asyncio.Event()

        async def handler(exchange):
            try:
                await asyncio.sleep(60)
            finally:
                ended.set()

        async def scenario():
            server = await self.start(handler)
            _, writer = await asyncio.open_connection(HOST, server.port)
            writer.write(GET)
            await until(lambda: server.busy_count)
            writer.write_eof()
            await ended.wait()

        self.run_loop(scenario())


class FakeTransport(asyncio.Transport):
    """Record what a server sends to a caller."""

    def __init__(self):
        super().__init__()
        self.sent, self.closed, self.paused = b"", False, False

    def write(self, data):
        """Record the data."""
        self.sent += data

    def pause_reading(self):
        """Record that the server reads nothing more for now."""
        self.paused = True

    def resume_reading(self):
        """Record that the server reads on."""
        self.paused = False

    def write_eof(self):
        """Record the end of the connection."""
        self.closed = True

    def close(self):
        """Record the end of the connection."""
        self.closed = True

    def abort(self):
        """Record the end of the connection."""
        self.closed = True

    def is_closing(self):
        """Return whether the server closed the connection."""
        return self.closed


class ChannelTest(testtools.TestCase):
    """Connect a caller to a server in virtual time."""

    def connect(self):
        """Return a server that answers `ok` and a connection to it."""

        async def respond(exchange):
            exchange.respond(200, [], b"ok")

        server = HttpServer(ServerState(LIMITS), respond, lambda error: None)
        channel, transport = CallerChannel(server), FakeTransport()
        channel.connection_made(transport)
        return server, channel, transport

    async def pause(self, server, length_s):
        """Let the time pass, and check the time-outs as the node does."""
        end_s = asyncio.get_running_loop().time() + length_s
        while (now_s := asyncio.get_running_loop().time()) < end_s:
            await asyncio.sleep(min(0.25, end_s - now_s))
            server.enforce_timeouts(asyncio.get_running_loop().time())


class SlowCallerTest(ChannelTest):
    """Send requests in parts with pauses."""

    def test_a_caller_may_pause_within_its_body(self):
        """A request was refused since its body took longer than a head may take."""

        async def scenario():
            server, channel, transport = self.connect()
            channel.data_received(GET[:-2] + b"Content-Length: 9\r\n\r\n")
            for _ in range(3):
                await self.pause(server, 1.3)
                channel.data_received(b"abc")
            await self.pause(server, 0.1)
            self.assertIn(b" 200 ", transport.sent)

        run_virtual(scenario())

    def test_a_body_without_progress_is_refused(self):
        """A caller that stopped within a body kept its connection forever."""

        async def scenario():
            server, channel, transport = self.connect()
            channel.data_received(GET[:-2] + b"Content-Length: 9\r\n\r\nabc")
            await self.pause(server, 1.9)
            self.assertEqual(b"", transport.sent)
            await self.pause(server, 0.4)
            self.assertIn(b" 408 ", transport.sent)
            self.assertTrue(transport.closed)

        run_virtual(scenario())

    def test_a_slow_head_is_refused(self):
        """A caller that sent single bytes of a head kept its connection forever."""

        async def scenario():
            server, channel, transport = self.connect()
            for byte in b"GET /":
                channel.data_received(bytes([byte]))
                await self.pause(server, 0.3)
            self.assertIn(b" 408 ", transport.sent)

        run_virtual(scenario())


class DividedRequestTest(ChannelTest):
    """Send a body in chunks of two bytes, all at once."""

    head = GET[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"

    def test_other_callers_get_their_turn(self):
        """All callers of a node waited while it parsed the chunks of one request."""

        async def scenario():
            answered = []

            async def respond(exchange):
                answered.append(len(exchange.body))
                exchange.respond(200, [], b"ok")

            server = HttpServer(
                ServerState(CallerLimits()), respond, lambda error: None
            )
            channels = [CallerChannel(server) for _ in range(2)]
            transports = [FakeTransport() for _ in channels]
            for channel, transport in zip(channels, transports, strict=True):
                channel.connection_made(transport)
            chunks = b"2\r\nxx\r\n" * 1000
            channels[0].data_received(self.head + chunks)
            self.assertTrue(transports[0].paused)
            channels[1].data_received(GET)
            while transports[0].paused:
                await asyncio.sleep(0)
            channels[0].data_received(chunks + b"0\r\n\r\n")
            await asyncio.sleep(1.0)
            self.assertEqual([0, 4000], answered)

        run_virtual(scenario())

    def test_an_invalid_part_is_refused(self):
        """A request that could not be parsed on stayed open."""

        async def scenario():
            server, channel, transport = self.connect()
            server.state.limits = channel._limits = CallerLimits()
            channel.data_received(self.head + b"2\r\nxx\r\n" * 1000 + b"x\r\n")
            await asyncio.sleep(1.0)
            self.assertIn(b" 400 ", transport.sent)
            self.assertFalse(transport.paused)

        run_virtual(scenario())


class ChangedLimitsTest(ChannelTest):
    """Change the limits while a connection is open."""

    def test_a_request_is_judged_by_the_limits_at_its_arrival(self):
        """A new configuration refused a request of which a part had been read."""

        async def scenario():
            server, channel, transport = self.connect()
            channel.data_received(GET[:-2] + b"Content-Length: 900\r\n\r\n")
            await self.pause(server, 0.9)
            server.state.limits = replace(
                LIMITS, max_body_bytes=100, idle_timeout_s=0.5
            )
            await self.pause(server, 0.9)
            channel.data_received(b"z" * 900)
            await self.pause(server, 0.1)
            self.assertIn(b" 200 ", transport.sent)

        run_virtual(scenario())

    def test_a_raised_header_limit_applies_to_open_connections(self):
        """Kept connections refused heads that the new configuration allowed."""

        async def scenario():
            server, channel, transport = self.connect()
            channel.data_received(GET)
            await self.pause(server, 0.1)
            server.state.limits = replace(LIMITS, max_header_bytes=9000)
            channel.data_received(GET[:-2] + b"x: " + b"y" * 7000)
            channel.data_received(b"\r\n\r\n")
            await self.pause(server, 0.1)
            self.assertEqual(2, transport.sent.count(b" 200 "))

        run_virtual(scenario())

    def test_an_unfinished_head_of_excessive_length_is_refused(self):
        """A head without an end filled the memory."""

        async def scenario():
            _, channel, transport = self.connect()
            channel.data_received(b"GET / HTTP/1.1\r\nx: " + b"y" * 4000)
            self.assertIn(b" 431 ", transport.sent)

        run_virtual(scenario())

    def test_a_lowered_idle_limit_spares_what_was_idle_before(self):
        """Connections closed that callers could reuse under the limit they knew."""

        async def scenario():
            server, channel, transport = self.connect()
            channel.data_received(GET)
            await self.pause(server, 1.5)
            server.state.limits = replace(LIMITS, idle_timeout_s=1.0)
            await self.pause(server, 0.3)
            self.assertFalse(transport.closed)
            channel.data_received(GET)
            self.assertFalse(transport.closed)
            await self.pause(server, 0.9)
            self.assertFalse(transport.closed)
            await self.pause(server, 0.4)
            self.assertTrue(transport.closed)

        run_virtual(scenario())
