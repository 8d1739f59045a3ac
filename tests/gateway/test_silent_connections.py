"""Test that connections to the registry that fall silent for good delay nothing."""

import asyncio
import socket

import testtools

from cicadapass_gateway.exceptions import PlatformUnavailable
from cicadapass_gateway.httpclient import ClientPool
from tests.gateway.harness import HOST, LoopTest
from tests.gateway.virtualcluster import (
    CALL_TIMEOUT_S,
    Cluster,
    ClusterNode,
    NodeRegistry,
    run_virtual,
)

SETTLE_S = 6.0
# A change must be in force within this time.
APPLY_S = 2.0
# A path that is silent is noticed within this time, far below that of a waiting read.
NOTICE_S = 4.0


class SilentPolls(NodeRegistry):
    """Answer no read that waits at a moment, on its connection or later."""

    def __init__(self, registry, counts):
        super().__init__(registry, counts)
        self.dropped = asyncio.Event()

    async def changes(self, topic, start, wait_s):
        """Return the records, unless the connection falls silent meanwhile."""
        read = asyncio.ensure_future(super().changes(topic, start, wait_s))
        drop = asyncio.ensure_future(self.dropped.wait())
        try:
            await asyncio.wait({read, drop}, return_when=asyncio.FIRST_COMPLETED)
            if not drop.done():
                return read.result()
        finally:
            read.cancel()
            drop.cancel()
        await asyncio.sleep(CALL_TIMEOUT_S + wait_s)
        raise PlatformUnavailable("no answer in time")

    def drop(self):
        """Let the connections in use fall silent."""
        self.dropped.set()
        self.dropped = asyncio.Event()


class SilentNode(ClusterNode):
    """Read by connections that may fall silent."""

    make_registry = SilentPolls


class SilentCluster(Cluster):
    """Run nodes whose connections may fall silent."""

    node_class = SilentNode


class SilentConnectionTest(LoopTest):
    def test_a_connection_that_falls_silent_is_held_for_long(self):
        """A read waited for its whole time on a path that answered nothing."""

        async def scenario():
            server = await asyncio.start_server(lambda *_: None, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            channel = await ClientPool().acquire(HOST, port, 1.0)
            option = channel._transport.get_extra_info("socket").getsockopt
            self.assertEqual(1, option(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
            idle_s, interval_s, count, user_ms = (
                option(socket.IPPROTO_TCP, each)
                for each in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                    socket.TCP_USER_TIMEOUT,
                )
            )
            self.assertLessEqual(idle_s + interval_s * count, NOTICE_S)
            self.assertLess(user_ms / 1000, NOTICE_S)
            channel.abort()
            server.close()

        self.run_loop(scenario())


class ChangeTest(testtools.TestCase):
    def test_a_change_reaches_nodes_whose_reads_fell_silent(self):
        """Nodes served by an old version while their read waited in vain."""

        async def scenario():
            cluster = SilentCluster(7, 11, loss=0.0)
            await cluster.start(SETTLE_S)
            for version, share in ((2, 5), (3, 3), (4, 6)):
                for node in cluster.nodes[:share]:
                    node.registry.drop()
                await asyncio.sleep(NOTICE_S)
                cluster.registry.put("configuration", "config", str(version).encode())
                await asyncio.sleep(APPLY_S)
                versions = {node.state.version for node in cluster.nodes}
                self.assertEqual({version}, versions, share)

        run_virtual(scenario())
