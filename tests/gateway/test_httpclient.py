"""Test the pool of connections to upstreams."""

import asyncio
import contextlib
from unittest import mock

from cicadapass_gateway import httpclient
from cicadapass_gateway.httpclient import (
    MAX_IDLE_PER_ADDRESS,
    BodyBuffer,
    ClientPool,
    connect,
)
from tests.gateway.harness import HOST, LoopTest, Upstream, until

HEADERS = [(b"host", b"h"), (b"x-id", b"1")]
REQUESTS = 20


async def respond(answer):
    """Answer `ok`."""
    answer.respond(200)


async def exchange_at_once(pool, upstreams, count):
    """Have `count` requests in progress at each upstream, then end them all."""
    channels = []
    for upstream in upstreams:
        for _ in range(count):
            channel = await pool.acquire(HOST, upstream.port, 5.0)
            channel.send(b"GET", b"/", HEADERS, b"")
            channels.append((upstream.port, channel))
    for port, channel in channels:
        await channel.read_head()
        await channel.read_remaining()
        pool.release(HOST, port, channel)


class ClientPoolTest(LoopTest):
    def test_new_connections_replace_idle_ones(self):
        """Requests that need a new connection each left one idle for a second.

        A burst of them held more descriptors than are reserved for upstreams.
        """

        async def scenario():
            upstream = await Upstream("i-1", respond).start()
            pool = ClientPool()
            for _ in range(REQUESTS):
                channel = await pool.acquire(HOST, upstream.port, 5.0, fresh=True)
                channel.send(b"GET", b"/", HEADERS, b"")
                await channel.read_head()
                self.assertEqual(b"ok", await channel.read_remaining())
                pool.release(HOST, upstream.port, channel)
            self.assertEqual(REQUESTS, upstream.connections)
            await until(lambda: upstream.closed == REQUESTS - 1)
            kept = await pool.acquire(HOST, upstream.port, 5.0)
            self.assertIs(channel, kept)
            kept.abort()
            upstream.stop()

        self.run_loop(scenario())

    def test_a_burst_leaves_few_idle_connections(self):
        """Each request of a burst left a connection idle for a second.

        With the callers' connections, the node exceeded the bound of its descriptors.
        """

        async def scenario():
            upstream = await Upstream("i-1", respond).start()
            pool = ClientPool()
            await exchange_at_once(pool, [upstream], REQUESTS)
            closed = REQUESTS - MAX_IDLE_PER_ADDRESS
            await until(lambda: upstream.closed == closed)
            # Those that are kept carry the next burst.
            await exchange_at_once(pool, [upstream], MAX_IDLE_PER_ADDRESS)
            self.assertEqual(
                (REQUESTS, closed), (upstream.connections, upstream.closed)
            )
            upstream.stop()

        self.run_loop(scenario())

    def test_idle_connections_to_many_addresses_are_bounded(self):
        """A connection to each of many upstreams took the reserved descriptors."""

        async def scenario():
            upstreams = [await Upstream(f"i-{n}", respond).start() for n in range(3)]
            pool = ClientPool()
            with mock.patch.object(httpclient, "MAX_IDLE", 4):
                for _ in range(2):
                    await exchange_at_once(pool, upstreams, 2)
            await until(lambda: sum(each.closed for each in upstreams) == 4)
            self.assertEqual(8, sum(each.connections for each in upstreams))
            for upstream in upstreams:
                upstream.stop()

        self.run_loop(scenario())


class UnsentRequestTest(LoopTest):
    """Send requests to an upstream that does not read them."""

    size = 8_000_000

    async def send_unread(self):
        """Send a request; return its channel, its buffer, and what lets it be read."""
        may_read = asyncio.Event()

        async def serve(reader, writer):
            # The connection is lost, or the test ends.
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                await may_read.wait()
                while await reader.read(65_536):
                    pass
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        self.addCleanup(server.close)
        buffer = BodyBuffer()
        port = server.sockets[0].getsockname()[1]
        channel = await connect(HOST, port, 5.0, buffer)
        length = (b"content-length", str(self.size).encode())
        channel.send(b"POST", b"/", [*HEADERS, length], bytes(self.size))
        return channel, buffer, may_read

    def test_a_copy_counts_until_the_upstream_has_taken_it(self):
        """Copies of bodies for slow upstreams were not accounted for."""

        async def scenario():
            channel, buffer, may_read = await self.send_unread()
            self.assertGreater(buffer.held_bytes, self.size)
            self.assertEqual(0, buffer.used_bytes)
            may_read.set()
            await until(lambda: channel.written)
            await until(lambda: buffer.held_bytes == 0)
            channel.abort()

        self.run_loop(scenario())

    def test_a_copy_is_released_with_its_connection(self):
        """A request that was given up took memory for ever."""

        async def scenario():
            channel, buffer, may_read = await self.send_unread()
            self.assertGreater(buffer.held_bytes, self.size)
            channel.abort()
            await until(lambda: buffer.held_bytes == 0)
            may_read.set()

        self.run_loop(scenario())
