"""Test refusals that a faulty engine writes once more on a kept connection."""

import asyncio
import itertools
import socket
import weakref

from cicadapass_gateway.httpclient import ClientPool
from tests.gateway.harness import HOST, GatewayHarness, LoopTest

# Statuses that promise callers that the request was not executed.
NOT_EXECUTED = (408, 421, 429, 503)
PAUSE_S = 0.005
INFORMATIONAL = b"HTTP/1.1 102 Processing\r\n\r\n"
EVENT = b"id: 1\ndata: piece 1\n\n"


def refusal(request_id, status=503, confirmed=True):
    """Return the bytes of a refusal; without an id for None."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += ["x-not-run: 1"] if confirmed else []
    lines += [] if request_id is None else [f"x-id: {request_id}"]
    return "\r\n".join([*lines, "content-length: 0", "", ""]).encode()


class FaultyEngine:
    """Serve requests, and write `stale` before the answers on kept connections.

    The first request of the first `refusing` connections is refused, and the stale
    bytes are then written on these only. With `split_at`, they come in two parts.
    """

    def __init__(self, stale, *, refusing=0, fresh_too=False, split_at=None):
        self.runs = []
        self._stale = stale
        self._refusing = refusing
        self._refuses = refusing > 0
        self._fresh_too = fresh_too
        self._split_at = split_at
        # Connections on which the stale bytes come before the next answer.
        self._kept = weakref.WeakSet()

    async def serve(self, response):
        """Answer one request."""
        request_id = response.headers[b"x-id"]
        kept = response._writer in self._kept
        if self._refusing and not kept:
            self._refusing -= 1
            self._kept.add(response._writer)
            response.send(refusal(request_id))
            return
        if not self._refuses:
            self._kept.add(response._writer)
        self.runs.append(request_id)
        if kept or self._fresh_too:
            response.send(self._stale[: self._split_at])
            if self._split_at is not None:
                await asyncio.sleep(PAUSE_S)
                response.send(self._stale[self._split_at :])
        if response.request.target.startswith(b"/resume"):
            response.stream()
            response.event(1)
            response.end()
        else:
            response.respond(body=f"answer to {request_id}".encode())


class StaleRefusalTest(LoopTest):
    def assert_truthful(self, reply, request_id, runs, case):
        """Assert that a reply is the request's own, or promises nothing."""
        if reply.status == 200:
            own = (f"answer to {request_id}".encode(), EVENT)
            self.assertIn(reply.body, own, case)
        elif request_id in runs:
            self.assertNotIn(reply.status, NOT_EXECUTED, case)

    async def play(self, engine, path, request_ids, case, method="GET"):
        """Send requests one after another through one faulty engine."""
        gateway = await GatewayHarness().start(engine.serve)
        caller = await gateway.connect()
        for request_id in request_ids:
            caller.send(path, method, x_id=request_id)
            reply = await caller.reply()
            self.assert_truthful(reply, request_id, engine.runs, (case, request_id))
        caller.close()
        upstream_id = gateway.upstreams[0].name
        self.assertNotIn(upstream_id, str(gateway.state.upstreams.view.leaving_marks))
        self.assertEqual([], gateway.errors)

    def test_an_earlier_refusal_of_the_same_request(self):
        """A repeat on the same connection was answered by its earlier refusal."""

        async def play(path, prefix, split, refusing):
            stale = prefix + refusal("r1")
            engine = FaultyEngine(stale, refusing=refusing, split_at=split)
            case = (path, prefix, split, refusing)
            await self.play(engine, path, ["r1", "r1"], case)
            if refusing == 1:
                # Each of the two calls runs once.
                self.assertEqual(["r1", "r1"], engine.runs, case)

        async def scenario():
            paths, prefixes = ("/safe/a", "/resume/a"), (b"", INFORMATIONAL)
            cases = itertools.product(paths, prefixes, (None, 20), (1, 9))
            await asyncio.gather(*(play(*case) for case in cases))

        self.run_loop(scenario())

    def test_a_refusal_without_an_id(self):
        """A refusal of no request in particular was taken for that of the next one."""

        async def scenario():
            paths, prefixes = ("/safe/a", "/resume/a"), (b"", INFORMATIONAL)
            kinds = ((503, True), (421, True), (421, False), (503, False), (400, True))
            for path, prefix, kind, split in itertools.product(
                paths, prefixes, kinds, (None, 20)
            ):
                engine = FaultyEngine(prefix + refusal(None, *kind), split_at=split)
                case = (path, prefix, kind, split)
                await self.play(engine, path, ["r1", "r2", "r3"], case)

        self.run_loop(scenario())

    def test_a_refusal_without_an_id_on_a_new_connection(self):
        """A call that was running was refused, and ran at a second engine."""

        async def scenario():
            for kind in ((503, True), (421, True), (421, False), (503, False)):
                engines = [FaultyEngine(refusal(None, *kind), fresh_too=True)] * 2
                gateway = await GatewayHarness().start(*(e.serve for e in engines))
                reply = await gateway.call("/unsafe/a", "POST", x_id="r1")
                self.assertEqual((502, ["r1"]), (reply.status, engines[0].runs), kind)

        self.run_loop(scenario())

    def test_a_success_that_denies_its_execution(self):
        """A call whose answer contradicted itself ran at a second engine."""

        async def scenario():
            denial = refusal("r1", 200).replace(b"x-id", b"x-seal: 1\r\nx-id")
            for path in ("/unsafe/a", "/stream/a", "/resume/a"):
                engine = FaultyEngine(denial, fresh_too=True)
                await self.play(engine, path, ["r1"], path)
                runs = 2 if path == "/resume/a" else 1
                self.assertEqual(["r1"] * runs, engine.runs, path)

        self.run_loop(scenario())

    def test_a_refusal_of_another_request(self):
        """A request was refused by the refusal of the one before it."""

        async def scenario():
            for path, split in itertools.product(("/safe/a", "/resume/a"), (None, 20)):
                engine = FaultyEngine(refusal("r1"), split_at=split)
                await self.play(engine, path, ["r1", "r2", "r3"], (path, split))

        self.run_loop(scenario())

    def test_a_refusal_cut_within_its_head(self):
        """The rest of a refusal and the head of the answer were read as one head."""

        async def scenario():
            stale = refusal("r9")
            kept = refusal(None).removesuffix(b"\r\n\r\n")
            for whole in (stale, kept):
                for end in range(1, len(whole)):
                    engine = FaultyEngine(whole[:end])
                    await self.play(engine, "/safe/a", ["r1", "r2"], whole[:end])

        self.run_loop(scenario())

    def test_an_unconfirmed_refusal_of_a_repeatable_request(self):
        """A stream that had run was answered with a status that denies it."""

        async def scenario():
            for status, path in itertools.product(
                (408, 429, 503), ("/safe/a", "/resume/a")
            ):
                stale = refusal("r1", status, confirmed=False)
                engine = FaultyEngine(stale, fresh_too=True)
                await self.play(engine, path, ["r1", "r1"], (status, path))

        self.run_loop(scenario())


class LateBytesTest(LoopTest):
    """Write a refusal behind an answer, at various times."""

    # Answers without a body, whatever their headers say, and one with a body.
    answers = (
        (
            "HEAD",
            b"HTTP/1.1 200 X\r\nx-id: r1\r\nx-seal: 1\r\ncontent-length: 9\r\n\r\n",
        ),
        ("HEAD", b"HTTP/1.1 200 X\r\nx-id: r1\r\nx-seal: 1\r\n\r\n"),
        ("GET", b"HTTP/1.1 304 X\r\nx-id: r1\r\ncontent-length: 9\r\n\r\n"),
        ("GET", b"HTTP/1.1 304 X\r\nx-id: r1\r\n\r\n"),
        (
            "GET",
            b"HTTP/1.1 200 X\r\nx-id: r1\r\nx-seal: 1\r\ncontent-length: 0\r\n\r\n",
        ),
    )

    async def play(self, method, answer, late, split_at, pause):
        """Return the replies to two requests, and the runs of the second."""
        runs = []

        async def serve(response):
            if response.headers[b"x-id"] == "r1":
                first, second = late[:split_at], late[split_at:]
                response.send(answer + (b"" if pause else first))
                if pause:
                    await asyncio.sleep(PAUSE_S)
                    response.send(first)
                if second:
                    await asyncio.sleep(PAUSE_S)
                    response.send(second)
                return
            runs.append("r2")
            response.respond()

        gateway = await GatewayHarness().start(serve)
        first = await gateway.call("/safe/a", method, x_id="r1")
        await asyncio.sleep(PAUSE_S * (1 + pause) if runs is None else 0)
        second = await gateway.call("/safe/a", x_id="r2")
        self.assertEqual([], gateway.errors)
        return first, second, runs

    def test_a_refusal_behind_an_answer(self):
        """The next request got the refusal that was written behind an answer."""

        async def scenario():
            lates = (refusal(None), INFORMATIONAL + refusal("r1"), refusal("r2"))
            times = ((200, False), (200, True), (20, True))
            for (method, answer), late, (split, pause) in itertools.product(
                self.answers, lates, times
            ):
                case = (method, answer, late, split, pause)
                first, second, runs = await self.play(
                    method, answer, late, split, pause
                )
                status = int(answer[9:12])
                self.assertEqual((status, True), (first.status, first.complete), case)
                self.assertEqual((200, b"ok"), (second.status, second.body), case)
                # A repeatable request may run at two engines.
                self.assertIn(runs, (["r2"], ["r2", "r2"]), case)

        self.run_loop(scenario())

    def test_bytes_that_arrived_before_the_request_was_sent(self):
        """A connection was reused although unread bytes waited on it."""

        async def scenario():
            for late in (refusal("r2"), b"H", None):
                pool = ClientPool()
                with socket.create_server((HOST, 0)) as listener:
                    port = listener.getsockname()[1]
                    channel = await pool.acquire(HOST, port, 1.0)
                    engine, _ = listener.accept()
                    channel.send(b"GET", b"/", [(b"Host", b"u")], b"")
                    engine.sendall(b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n")
                    await channel.read_head()
                    await channel.read_remaining()
                    pool.release(HOST, port, channel)
                    # The event loop does not run between these bytes and the reuse.
                    if late is None:
                        engine.shutdown(socket.SHUT_WR)
                    else:
                        engine.sendall(late)
                    again = await pool.acquire(HOST, port, 1.0)
                    self.assertIsNot(channel, again, late)
                    again.abort()
                    channel.abort()
                    engine.close()

        self.run_loop(scenario())
