"""Test answers that engines begin before they have read a long request."""

import asyncio
import itertools
import socket

from cicadapass_decisions.passthrough import UpstreamRecord
from tests.gateway.harness import HOST, RESET_ON_CLOSE, GatewayHarness, LoopTest

# Far more than the sockets buffer.
LONG_UPLOAD = b"x" * 4_000_000
# About what they buffer: it may be taken before the answer ends.
SHORT_UPLOAD = b"x" * 800_000
PATHS = ("/unsafe/a", "/safe/a")
PART = b"part of a body"
# Bytes of the request that the engine reads before it answers.
READ_BYTES = 2000


class EarlyEngine:
    """Answer 200 without a length, and end the connection within the upload."""

    def __init__(self, end):
        self._end = end
        self.answered = 0

    async def start(self):
        """Listen on a free port and return the record of the engine."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        return UpstreamRecord("early", "s", HOST, port, "dc-a", 64, False, 1, 1)

    async def _serve(self, reader, writer):
        try:
            await reader.readexactly(READ_BYTES)
        except asyncio.IncompleteReadError:
            # A probe of whether the engine still listens.
            writer.close()
            return
        head = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\n\r\n"
        writer.write(head.encode() + PART)
        await writer.drain()
        self.answered += 1
        await self._end(writer)


async def reset(writer):
    """Reset the connection."""
    await asyncio.sleep(0.05)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def half_close_then_reset(writer):
    """End the answer, then reset the connection."""
    writer.write_eof()
    await reset(writer)


async def close(writer):
    """Close the connection; the kernel resets it, as the upload is unread."""
    writer.close()


class EarlyAnswerTest(LoopTest):
    def play(self, end, path, upload):
        """Return the reply to an upload that an engine answers early."""

        async def scenario():
            gateway = await GatewayHarness().start()
            engine = EarlyEngine(end)
            record = await engine.start()
            gateway.state.upstreams.view.replace([record], gateway.state.clock())
            gateway.state.upstreams.refresh()
            reply = await gateway.call(path, "POST", upload)
            self.assertGreater(engine.answered, 0)
            return reply

        return self.run_loop(scenario())

    def test_a_part_of_a_body_passes_for_a_whole_answer(self):
        """The answer to an upload was cut by a reset, and delivered as complete."""
        shapes = (
            (reset, LONG_UPLOAD),
            (reset, SHORT_UPLOAD),
            (close, LONG_UPLOAD),
            (close, SHORT_UPLOAD),
            (half_close_then_reset, LONG_UPLOAD),
        )
        for (end, upload), path in itertools.product(shapes, PATHS):
            reply = self.play(end, path, upload)
            shape = end.__name__, path, len(upload)
            self.assertEqual((502, b""), (reply.status, reply.body), shape)
