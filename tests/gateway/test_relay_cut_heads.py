"""Test responses that end at any byte of their head or body."""

import asyncio

from cicadapass_gateway.exceptions import AnswerBroken
from cicadapass_gateway.httpclient import BodyBuffer, connect
from tests.gateway.harness import HOST, GatewayHarness, LoopTest, Upstream

HEAD = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\n"
BODY = b"whole answer of"
STREAM = b"content-type: text/event-stream\r\n"
EVENTS = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
# Responses whose end is marked, each by another framing.
FRAMED = {
    "length": HEAD + b"Content-Length: 15\r\n\r\n" + BODY,
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n"
    + HEAD[17:]
    + b"\r\n"
    + BODY,
    "folded": HEAD + b"x-more: a\r\n b\r\nContent-Length: 15\r\n\r\n" + BODY,
    "line feeds": HEAD.replace(b"\r", b"") + b"Content-Length: 15\n\n" + BODY,
    "informational": b"HTTP/1.1 103 X\r\nlink: a\r\n\r\n"
    + HEAD
    + b"Content-Length: 15\r\n\r\n"
    + BODY,
    "chunks": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"5;x=1\r\nwhole\r\n0a\r\n answer of\r\n0\r\n\r\n",
    "chunks and length": HEAD
    + b"Content-Length: 3\r\nTransfer-Encoding: Chunked\r\n\r\nf\r\n"
    + BODY
    + b"\r\n0\r\nx-trailer: 1\r\n\r\n",
}
# Responses with framings that cannot be read, or contradict each other.
MALFORMED = (
    b"Content-Length: 15, 16\r\n\r\n" + BODY,
    b"Content-Length: 15\r\nContent-Length: 1\r\n\r\n" + BODY,
    b"Content-Length: +15\r\n\r\n" + BODY,
    b"Content-Length: 0xf\r\n\r\n" + BODY,
    b"Content-Length:\r\n\r\n" + BODY,
    b"Content-Length: 1\r\n 5\r\n\r\n" + BODY,
    b"Transfer-Encoding: gzip\r\n\r\n" + BODY,
    b"Transfer-Encoding: gzip, chunked\r\n\r\nf\r\n" + BODY + b"\r\n0\r\n\r\n",
    b"Transfer-Encoding: chunked, chunked\r\n\r\nf\r\n" + BODY + b"\r\n0\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\nf\r\n" + BODY + b"0\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\n-f\r\n" + BODY + b"\r\n0\r\n\r\n",
    b"Transfer-Encoding : chunked\r\n\r\nf\r\n" + BODY + b"\r\n0\r\n\r\n",
    b"Content-Length : 15\r\n\r\n" + BODY,
)


def ending(data, end):
    """Return a script that writes bytes and ends the connection."""

    async def script(response):
        response.send(data)
        if end == "reset":
            # What was written arrives before the reset.
            await asyncio.sleep(0.002)
        getattr(response, end)()

    return script


class CutHeadTest(LoopTest):
    async def read(self, upstream, data, end):
        """Return the status and body that a client reads, or None if it is broken."""
        upstream.script = ending(data, end)
        channel = await connect(HOST, upstream.port, 5.0, BodyBuffer())
        try:
            channel.send(b"GET", b"/", [(b"Host", b"u")], b"")
            head = await channel.read_head()
            return head.status, await channel.read_remaining()
        except AnswerBroken:
            return None
        finally:
            channel.abort()

    def test_a_response_cut_at_each_byte(self):
        """A response that ended within its head or body was read as whole."""

        async def scenario():
            upstream = await Upstream("u", None).start()
            for name, data in FRAMED.items():
                whole = await self.read(upstream, data, "close")
                self.assertEqual((200, BODY), whole, name)
                for end in range(len(data)):
                    case = (name, data[:end])
                    self.assertIsNone(
                        await self.read(upstream, data[:end], "close"), case
                    )

        self.run_loop(scenario())

    def test_a_response_reset_at_each_byte(self):
        """A response that was reset within its head or body was read as whole."""

        async def scenario():
            upstream = await Upstream("u", None).start()
            for name in ("length", "chunks"):
                data = FRAMED[name]
                for end in range(len(data)):
                    case = (name, data[:end])
                    self.assertIsNone(
                        await self.read(upstream, data[:end], "reset"), case
                    )

        self.run_loop(scenario())

    def test_an_undelimited_response_cut_within_its_head(self):
        """The part of a head was read as a response that ends with its connection."""

        async def scenario():
            upstream = await Upstream("u", None).start()
            data = HEAD + b"\r\n" + BODY
            body_start = len(data) - len(BODY)
            for end in range(body_start):
                self.assertIsNone(await self.read(upstream, data[:end], "close"), end)
            for end in range(body_start, len(data) + 1):
                self.assertIsNone(await self.read(upstream, data[:end], "reset"), end)

        self.run_loop(scenario())

    def test_a_response_with_a_malformed_framing(self):
        """A body of a length that contradicts itself was read as whole."""

        async def scenario():
            upstream = await Upstream("u", None).start()
            for rest in MALFORMED:
                self.assertIsNone(await self.read(upstream, HEAD + rest, "close"), rest)

        self.run_loop(scenario())


class RelayedCutTest(LoopTest):
    """Relay responses that are cut at the bytes that matter for their framing."""

    async def play(self, path, data, end, method="GET"):
        """Return the reply to a call whose engine ends its connection."""
        gateway = await GatewayHarness().start(ending(data, end))
        reply = await gateway.call(path, method)
        self.assertEqual([], gateway.errors)
        return reply

    def test_a_cut_response_is_no_success(self):
        """A caller got a part of an answer, or an empty one, framed as whole."""

        async def scenario():
            data = FRAMED["length"]
            positions = [
                data.index(b"Content-Length") + each for each in (0, 15, 16, 17)
            ]
            positions += [data.index(BODY) + each for each in (-2, -1, 0, 1)]
            chunked = FRAMED["chunks"]
            cuts = [data[:each] for each in positions]
            cuts += [chunked[: chunked.index(b"0a") + each] for each in (0, 1, 2, 3, 4)]
            cuts += [chunked[:-each] for each in (1, 2, 3, 4)]
            for path in ("/unsafe/a", "/safe/a", "/stream/a", "/resume/a"):
                for cut in cuts:
                    for end in ("close", "reset"):
                        reply = await self.play(path, cut, end)
                        case = (path, cut, end)
                        self.assertEqual((502, b""), (reply.status, reply.body), case)

        self.run_loop(scenario())

    def test_an_undelimited_success_without_a_body(self):
        """An engine that ended after its head passed for one with an empty answer."""

        async def scenario():
            for path in ("/unsafe/a", "/safe/a", "/stream/a", "/resume/a"):
                for head in (HEAD, HEAD + STREAM):
                    reply = await self.play(path, head + b"\r\n", "close")
                    self.assertEqual((502, b""), (reply.status, reply.body), path)

        self.run_loop(scenario())

    def test_a_response_that_never_has_a_body(self):
        """An answer to HEAD, or without content, passed for one that had been cut."""

        async def scenario():
            bare = HEAD + b"\r\n"
            empty = HEAD + b"content-length: 0\r\n\r\n"
            no_content = bare.replace(b"200 OK", b"204 X")
            cases = [("HEAD", bare, 200), ("GET", no_content, 204)]
            cases += [("HEAD", HEAD + STREAM + b"\r\n", 200), ("GET", empty, 200)]
            for path in ("/unsafe/a", "/safe/a", "/resume/a"):
                for method, data, status in cases:
                    gateway = await GatewayHarness().start(ending(data, "close"))
                    reply = await gateway.call(path, method, x_tokens=2000)
                    case = (path, method, data)
                    self.assertEqual(
                        (status, True), (reply.status, reply.complete), case
                    )
                    meter = gateway.state.upstreams.meter(gateway.upstreams[0].record())
                    score = meter.failure_score(gateway.state.clock())
                    self.assertEqual(0.0, score, case)

        self.run_loop(scenario())

    def test_a_stream_cut_within_its_framing(self):
        """A stream that was cut within a chunk's size looked complete."""

        async def scenario():
            start = HEAD + STREAM + b"Transfer-Encoding: chunked\r\n\r\n"
            chunk = f"{len(EVENTS):x}\r\n".encode() + EVENTS + b"\r\n"
            whole = start + chunk + b"0\r\n\r\n"
            for path in ("/stream/a", "/resume/a"):
                reply = await self.play(path, whole, "close")
                self.assertEqual((EVENTS, True), (reply.body, reply.complete), path)
                for end in range(len(start + chunk) - 4, len(whole)):
                    for kind in ("close", "reset"):
                        case = (path, whole[:end], kind)
                        reply = await self.play(path, whole[:end], kind)
                        self.assertFalse(reply.complete and reply.status < 300, case)

        self.run_loop(scenario())
