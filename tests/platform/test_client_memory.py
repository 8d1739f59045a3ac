"""Test that a node's process survives crowds of clients, whatever they send.

The tests of this module run one after the other. They assert that the process runs on,
that its memory and descriptors stay under a bound, and that it then answers one
ordinary request; nothing depends on the machine's speed.
"""

import asyncio
import tempfile

from tests.gateway.harness import LoopTest, until
from tests.platform import clientcrowd
from tests.platform.clientcrowd import CLIENTS, ClientCrowd
from tests.platform.test_process import NodeProcess

LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": clientcrowd.BODY_LIMIT_BYTES,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15_000,
}
# Half the memory of a small VM, for half the largest body of an ordinary configuration.
SETTINGS = "limits.memoryMb=100\nlimits.maxFds=400\n"
# A node at rest takes 27 MB; the crowd's bodies are 96 MB.
MEMORY_BOUND_MB = 80
DESCRIPTOR_BOUND = CLIENTS + 60
MANY_DESCRIPTORS_BOUND = 300
MANY_CLIENTS = 500
# Time in which a node has carried out the requests of a crowd.
LATER_S = 1.2
LARGE_RESPONSE_BYTES = 1_048_576


async def respond(answer):
    """Answer with a small body, or with a large one on the path for it."""
    size = LARGE_RESPONSE_BYTES if answer.request.target == b"/p/large" else 2
    extra = f"request-id: {answer.headers[b'request-id']}\r\nserver-seal: 1\r\n"
    answer.respond(200, b"o" * size, extra)


class ClientMemoryTest(LoopTest):
    timeout_s = 120.0

    def check(
        self, *waves, bound=DESCRIPTOR_BOUND, port="caller_port", later_s=0.0, **options
    ):
        """Send crowds of the given kinds; check the process and an ordinary request.

        The descriptors are counted after each crowd, and again after `later_s`.
        """
        folder = self.enterContext(tempfile.TemporaryDirectory())

        async def scenario():
            node = NodeProcess(LIMITS, SETTINGS, respond)
            self.addCleanup(node.release_ports)
            await node.start(folder)
            output = asyncio.create_task(node.process.stdout.read())
            descriptors = 0
            for number, kinds in enumerate(waves, 1):
                crowd = ClientCrowd(getattr(node, port), kinds, **options)
                await crowd.send()
                self.assertIsNone(node.process.returncode)
                now_open = clientcrowd.open_descriptors(node.process.pid)
                descriptors = max(descriptors, now_open)
                if later_s:
                    await asyncio.sleep(later_s)
                    now_open = clientcrowd.open_descriptors(node.process.pid)
                    descriptors = max(descriptors, now_open)
                if number < len(waves):
                    crowd.close()
                    # A wave that comes before the node can have noticed the end of
                    # the last one is one larger crowd.
                    await until(lambda: self.has_closed(node))
            self.assertEqual(200, await node.status())
            caller = await node.connect(node.caller_port)
            caller.send("/p/x", "POST", b"ask", Request_Id="r1")
            status = (await caller.reply()).status
            memory_mb = clientcrowd.peak_memory_mb(node.process.pid)
            crowd.close()
            caller.close()
            node.process.kill()
            await node.process.wait()
            await output
            self.assertEqual(200, status)
            self.assertLess(memory_mb, MEMORY_BOUND_MB)
            self.assertLess(descriptors, bound)

        self.run_loop(scenario())

    def has_closed(self, node):
        """Return whether the node has closed most connections of a crowd."""
        pid = node.process.pid
        return clientcrowd.open_descriptors(pid) < DESCRIPTOR_BOUND - CLIENTS

    def test_bodies_that_stop_short(self):
        """Bodies of legal size that lack a byte were held until memory ran out."""
        self.check((clientcrowd.stops_short,))

    def test_bodies_that_stop_short_in_pieces(self):
        """Bodies sent in pieces were held until memory ran out."""
        self.check((clientcrowd.stops_short_in_pieces,))

    def test_large_chunks_without_an_end(self):
        """Chunked bodies that lack their end were held until memory ran out."""
        self.check((clientcrowd.large_chunks,))

    def test_endless_chunks(self):
        """Bodies refused for their size stayed in memory while closing."""
        self.check((clientcrowd.endless_chunks,))

    def test_small_chunks_without_an_end(self):
        """Very small chunks took much more memory than their bytes."""
        self.check((clientcrowd.small_chunks,))

    def test_bodies_announced_over_the_limit(self):
        """A body was read up to the limit although it was known to exceed it."""
        self.check((clientcrowd.over_the_limit,))

    def test_long_heads(self):
        """Heads without an end were held in memory."""
        self.check((clientcrowd.long_head,))

    def test_slow_heads_use_up_the_descriptors(self):
        """Connections with unfinished heads took all descriptors of the node."""
        self.check(
            (clientcrowd.slow_head,), bound=MANY_DESCRIPTORS_BOUND, count=MANY_CLIENTS
        )

    def test_readers_that_stop(self):
        """Responses that nobody read were held in memory.

        The requests of the crowd each left an idle connection to the engine, which a
        count right after the crowd was too early to see.
        """
        self.check((clientcrowd.stopped_reader,), reads=False, later_s=LATER_S)

    def test_bodies_to_the_readiness_address(self):
        """Bodies sent to the node's own listeners filled the memory."""
        self.check((clientcrowd.stops_short,), port="ready_port")

    def test_a_mix(self):
        """Clients of several kinds at once exceeded a bound that each kind kept."""
        self.check(clientcrowd.MIX)

    def test_waves(self):
        """Memory grew with each crowd that came and left."""
        wave = (clientcrowd.stops_short, clientcrowd.large_chunks)
        self.check(wave, tuple(reversed(wave)), wave)
