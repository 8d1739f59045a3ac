"""Test streams that break off, and what engines answer to their repeats."""

import asyncio

from cicadapass_decisions.runmigration import CopyOutcome
from cicadapass_gateway.adapterapi import RunCopy
from tests.gateway.harness import GatewayHarness, LoopTest, complete_copy, until

EVENTS = 4
COMMENT = b": ping\n\n"


def raw_event(number):
    """Return the bytes of an event."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def raw_events(first, last):
    """Return the bytes of several events."""
    return b"".join(raw_event(number) for number in range(first, last + 1))


def head(status=200, kind="text/event-stream", extra=""):
    """Return the head of an answer to the request `r1`."""
    lines = [f"HTTP/1.1 {status} X", "x-id: r1", "x-seal: 1", f"content-type: {kind}"]
    return "\r\n".join([*lines, extra, ""] if extra else [*lines, ""]).encode()


def chunks(*parts, end=True):
    """Return the bytes of a chunked body."""
    data = b"".join(f"{len(each):x}\r\n".encode() + each + b"\r\n" for each in parts)
    return b"transfer-encoding: chunked\r\n\r\n" + data + (b"0\r\n\r\n" if end else b"")


def sized(body):
    """Return the bytes of a body with a length."""
    return f"content-length: {len(body)}\r\n\r\n".encode() + body


def undelimited(body=b""):
    """Return the bytes of a body that ends with its connection."""
    return b"\r\n" + body


def raw(data, end="close"):
    """Return a step that writes bytes and ends the connection."""

    async def step(response):
        response.send(data)
        if end == "reset":
            # What was written arrives before the reset.
            await asyncio.sleep(0.01)
        getattr(response, end)()

    return step


DELIVERED = raw_events(1, 2)
# Two events of a stream that then breaks off.
BREAKS = {
    "chunks, between events, close": raw(head() + chunks(DELIVERED, end=False)),
    "chunks, between events, reset": raw(
        head() + chunks(DELIVERED, end=False), "reset"
    ),
    "chunks, within an event": raw(
        head() + chunks(DELIVERED + b"id: 3\nda", end=False)
    ),
    "chunks, within a chunk": raw(head() + chunks(DELIVERED, b"x" * 9)[:-14]),
    "length": raw(head() + sized(raw_events(1, EVENTS))[:-30]),
    "undelimited, reset": raw(head() + undelimited(DELIVERED), "reset"),
    "undelimited, within an event": raw(head() + undelimited(DELIVERED + b"id: 3\nda")),
}
ERROR = b'data: {"error": "failed"}\n\n'
# Answers to the repeat with which the stream cannot go on.
FAILED_REPEATS = {
    "500": raw(head(500, "text/plain") + sized(b"failed")),
    "503, not executed": raw(head(503, extra="x-not-run: 1") + sized(b"")),
    "503, not confirmed": raw(head(503) + sized(ERROR)),
    "421": raw(head(421, "text/plain") + sized(b"wrong")),
    "500, a stream": raw(head(500) + chunks(ERROR)),
    "500, a stream without end": raw(head(500) + undelimited(ERROR)),
    "404, a stream with ids": raw(head(404) + chunks(raw_events(3, EVENTS))),
    "200, plain": raw(head(200, "text/plain") + sized(b"whole")),
    "200, plain, undelimited": raw(head(200, "text/plain") + undelimited(b"whole")),
    "206, a stream": raw(head(206) + chunks(raw_events(3, EVENTS))),
    "204": raw(head(204) + b"\r\n"),
    "200, an error without an id": raw(head() + chunks(ERROR)),
    "200, a named error without an id": raw(head() + chunks(b"event: error\n" + ERROR)),
    "no head": raw(b""),
    "half a head": raw(head()[:-20]),
    "a head and no event": raw(head() + undelimited()),
    "a head and a comment": raw(head() + undelimited(COMMENT)),
    "a head and a reset": raw(head() + undelimited(), "reset"),
    "from the first event": raw(head() + chunks(raw_events(1, EVENTS))),
    "from the last event": raw(head() + chunks(raw_events(2, EVENTS))),
    "from the last event, undelimited": raw(
        head() + undelimited(raw_events(2, EVENTS))
    ),
    "one event over and over": raw(head() + chunks(raw_event(2), raw_event(2))),
    "no seal": raw(
        head().replace(b"x-seal: 1\r\n", b"") + chunks(raw_events(3, EVENTS))
    ),
    "another id": raw(
        head().replace(b"x-id: r1", b"x-id: r2") + chunks(raw_events(3, EVENTS))
    ),
}
# Answers to the repeat with which the stream goes on.
GOOD_REPEATS = {
    "chunks": raw(head() + chunks(raw_events(3, EVENTS))),
    "length": raw(head() + sized(raw_events(3, EVENTS))),
    "undelimited": raw(head() + undelimited(raw_events(3, EVENTS))),
    "a comment first": raw(head() + chunks(COMMENT, raw_events(3, EVENTS))),
}


class BrokenStreamTest(LoopTest):
    async def play(self, path, *steps):
        """Return the reply to one call, and the headers of the requests sent for it.

        The steps answer the requests in their order, at whichever engine they arrive.
        """
        remaining, sent = list(steps), []

        async def serve(response):
            sent.append(response.headers)
            await remaining.pop(0)(response) if remaining else response.reset()

        gateway = await GatewayHarness().start(serve, serve)
        reply = await gateway.call(path, "POST", x_tokens=100)
        self.assertEqual([], gateway.errors)
        return reply, sent

    def test_a_repeat_that_fails(self):
        """A caller found an error, or events it had, in the middle of its stream."""

        async def play(broken, name):
            first, second = BREAKS[broken], FAILED_REPEATS[name]
            reply, sent = await self.play("/resume/a", first, second)
            case = (broken, name)
            self.assertEqual("2", sent[1][b"y-after"], case)
            self.assertEqual((200, False), (reply.status, reply.complete), case)
            self.assertEqual(DELIVERED, reply.body.replace(COMMENT, b""), case)

        async def scenario():
            for broken in BREAKS:
                await asyncio.gather(*(play(broken, each) for each in FAILED_REPEATS))

        self.run_loop(scenario())

    def test_a_repeat_that_goes_on(self):
        """A stream was cut although its repeat went on where it had broken off."""

        async def play(broken, name):
            first, second = BREAKS[broken], GOOD_REPEATS[name]
            reply, sent = await self.play("/resume/a", first, second)
            case = (broken, name)
            self.assertEqual((2, True), (len(sent), reply.complete), case)
            events = reply.body.replace(COMMENT, b"")
            self.assertEqual(raw_events(1, EVENTS), events, case)

        async def scenario():
            for broken in BREAKS:
                await asyncio.gather(*(play(broken, each) for each in GOOD_REPEATS))

        self.run_loop(scenario())

    def test_a_repeat_that_has_nothing_more(self):
        """A stream that broke off behind its last event was cut."""

        async def scenario():
            for rest in (chunks(), sized(b"")):
                first = BREAKS["chunks, between events, close"]
                reply, _ = await self.play("/resume/a", first, raw(head() + rest))
                self.assertEqual((DELIVERED, True), (reply.body, reply.complete))

        self.run_loop(scenario())

    def test_a_stream_that_must_not_repeat(self):
        """A stream that had begun was sent to a second engine, or looked complete."""

        async def scenario():
            for broken, first in BREAKS.items():
                reply, sent = await self.play("/stream/a", first)
                self.assertEqual(1, len(sent), broken)
                self.assertEqual((DELIVERED, False), (reply.body, reply.complete))

        self.run_loop(scenario())

    def test_an_event_without_an_id_behind_the_last_one(self):
        """An event came twice, since a comment that followed it hid its id."""

        async def scenario():
            for comment in (COMMENT, b": no data: yet\n\n"):
                delivered = DELIVERED + comment
                first = raw(head() + chunks(delivered, end=False))
                second = GOOD_REPEATS["chunks"]
                reply, sent = await self.play("/resume/a", first, second)
                self.assertEqual(["2"], [each.get(b"y-after") for each in sent[1:]])
                self.assertEqual(delivered + raw_events(3, EVENTS), reply.body)
                self.assertTrue(reply.complete)

        self.run_loop(scenario())

    def test_a_stream_without_ids(self):
        """A stream whose events have no ids began anew in the middle."""

        async def scenario():
            for delivered in (b"data: piece\n\n", raw_event(1) + b"data: piece\n\n"):
                first = raw(head() + chunks(delivered, end=False))
                second = raw(head() + chunks(delivered, b"data: more\n\n"))
                reply, sent = await self.play("/resume/a", first, second)
                self.assertEqual((delivered, False), (reply.body, reply.complete))
                self.assertEqual(1, len(sent))

        self.run_loop(scenario())

    def test_a_stream_that_broke_off_before_its_events(self):
        """A stream of which only a comment had come was not tried again."""

        async def scenario():
            for begun in (b"", COMMENT):
                first = raw(head() + chunks(begun, end=False)[: None if begun else -5])
                second = raw(head() + chunks(raw_events(1, EVENTS)))
                reply, sent = await self.play("/resume/a", first, second)
                self.assertEqual(2, len(sent))
                self.assertEqual(begun + raw_events(1, EVENTS), reply.body)
                self.assertTrue(reply.complete)

        self.run_loop(scenario())


class StoppedSourceTest(LoopTest):
    def reclaim(self, path, copied):
        """Return the reply to a stream whose engine is stopped for a migration."""

        async def scenario():
            stopped = asyncio.Event()

            async def leaving(response):
                if b"y-copy" in response.headers:
                    # The engine has lost the memory of the run that it stopped.
                    response.respond(503, b"", "x-not-run: 1\r\n")
                    return
                response.stream_until_close()
                number = 0
                while not stopped.is_set():
                    number += 1
                    response.send(raw_event(number))
                    await asyncio.sleep(0.005)
                response.close()

            async def going_on(response):
                after = response.headers.get(b"y-after")
                start = 1 if after is None else int(after) + 1
                response.stream()
                for number in range(start, start + 3):
                    response.event(number)
                response.event(1_000_000)
                response.end()

            async def move(source, request_id, target, last):
                if last:
                    stopped.set()
                    # The source closes the stream before the copy is complete.
                    await asyncio.sleep(0.05)
                if last and not copied:
                    return RunCopy(CopyOutcome.REFUSED)
                return complete_copy()

            gateway = await GatewayHarness(move).start(leaving, going_on)
            source, target = gateway.upstreams
            view = gateway.state.upstreams.view
            view.replace([source.record()], gateway.state.clock())
            gateway.state.upstreams.refresh()
            caller = await gateway.connect()
            caller.send(path, "POST", x_tokens=1000)
            await until(lambda: source.requests)
            view.replace([target.record()], gateway.state.clock())
            gateway.state.upstreams.refresh()
            return await caller.reply()

        return self.run_loop(scenario())

    def test_an_undelimited_stream_goes_on_at_its_copy(self):
        """A stream looked complete when its source was stopped for a migration."""
        reply = self.reclaim("/stream/a", copied=True)
        self.assertTrue(reply.complete)
        self.assertTrue(reply.body.endswith(raw_event(1_000_000)))

    def test_an_undelimited_stream_whose_copy_failed_is_cut(self):
        """A stream that was stopped in vain looked complete."""
        reply = self.reclaim("/stream/a", copied=False)
        self.assertFalse(reply.complete)
