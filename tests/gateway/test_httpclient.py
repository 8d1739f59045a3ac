"""Test the pool of connections to upstreams."""

from cicadapass_gateway.httpclient import ClientPool
from tests.gateway.harness import HOST, LoopTest, Upstream, until

HEADERS = [(b"host", b"h"), (b"x-id", b"1")]
REQUESTS = 20


async def respond(answer):
    """Answer `ok`."""
    answer.respond(200)


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
