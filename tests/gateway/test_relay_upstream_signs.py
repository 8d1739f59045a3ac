"""Test that requests heed what upstreams say of themselves in their answers."""

import asyncio
from dataclasses import replace

from tests.gateway.harness import (
    DRAIN_S,
    GatewayHarness,
    LoopClock,
    LoopTest,
    complete_copy,
    until,
)


def answering(status=200, extra="", count=None):
    """Return a script that answers with more header lines, or so for a while."""
    answered = []

    async def script(response):
        answered.append(None)
        signs = extra if count is None or len(answered) <= count else ""
        response.respond(status, b"ok", extra=signs)

    return script


LEAVING = "x-leaving: 1\r\n"
PAUSE = "x-not-run: 1\r\nx-pause: 30\r\n"


def counts(gateway):
    """Return the requests that each upstream got."""
    return [len(each.requests) for each in gateway.upstreams]


async def go_on(response):
    """Stream the next five events of a run."""
    response.stream()
    first = int(response.headers.get(b"y-after", "0")) + 1
    for number in range(first, first + 5):
        response.event(number)
    response.end()


class LeavingTest(LoopTest):
    def test_an_upstream_that_says_so_gets_no_more_requests(self):
        """An upstream that announced its end in answers alone got requests on."""
        for status, extra in (
            (200, LEAVING),
            (500, LEAVING),
            (503, LEAVING + "x-not-run: 1\r\n"),
        ):

            async def scenario(status=status, extra=extra):
                gateway = await GatewayHarness().start(answering(status, extra))
                await gateway.call("/unsafe/x")
                gateway.upstreams.append(
                    await type(gateway.upstreams[0])("u1", answering()).start()
                )
                # The registry still says that it is ready.
                gateway.list_upstreams(sequence=2)
                for _ in range(4):
                    self.assertEqual(200, (await gateway.call("/unsafe/x")).status)
                self.assertEqual([1, 4], counts(gateway))

            self.run_loop(scenario())

    def test_a_new_start_of_the_upstream_gets_requests(self):
        """An upstream that had started again under its id was never used again."""

        async def scenario():
            gateway = await GatewayHarness().start(answering(200, LEAVING, count=1))
            await gateway.call("/unsafe/x")
            self.assertEqual(503, (await gateway.call("/unsafe/x")).status)
            gateway.list_upstreams(started_ms=2)
            self.assertEqual(200, (await gateway.call("/unsafe/x")).status)

        self.run_loop(scenario())

    def test_the_head_of_a_stream_marks_its_upstream(self):
        """The mark counted only once the answer had ended."""

        async def scenario():
            async def stream(response):
                response.extra = LEAVING
                response.stream()
                response.event(1)
                await asyncio.sleep(30)

            gateway = await GatewayHarness().start(stream)
            caller = await gateway.connect()
            caller.send("/stream/x", "POST", x_tokens=1000)
            await caller.head()
            self.assertEqual([], gateway.state.upstreams.usable("s"))
            caller.close()

        self.run_loop(scenario())

    def test_a_connecting_request_heeds_a_newer_mark(self):
        """A request placed just before the mark was sent after it."""

        async def scenario():
            gateway = await GatewayHarness().start(answering(), answering())
            connect, placed = gateway.pool.acquire, []

            async def mark_meanwhile(host, port, timeout_s, **options):
                channel = await connect(host, port, timeout_s, **options)
                if not placed:
                    (record,) = [
                        each.record() for each in gateway.upstreams if each.port == port
                    ]
                    placed.append(record.upstream_id)
                    gateway.state.mark_leaving(record, "answer")
                return channel

            gateway.pool.acquire = mark_meanwhile
            self.assertEqual(200, (await gateway.call("/unsafe/x")).status)
            used = [each.name for each in gateway.upstreams if each.requests]
            self.assertEqual(1, len(used))
            self.assertNotEqual(placed, used)

        self.run_loop(scenario())

    def test_peers_hear_of_the_mark_at_once(self):
        """Other nodes sent requests until their next read of the registry."""

        async def scenario():
            gateway = await GatewayHarness().start(answering(200, LEAVING))
            heard = []
            gateway.state.subscribe_to_leaving(
                lambda record: heard.append(record.upstream_id)
            )
            await gateway.call("/unsafe/x")
            self.assertEqual(["u0"], heard)

        self.run_loop(scenario())

    def test_a_copy_at_a_leaving_engine_is_not_used(self):
        """A migrated run reached its target long after that had begun to leave.

        It goes on at its source, unless that has been leaving for too long as well.
        Then a run that may be repeated goes on elsewhere, and another is cut.
        """
        self.loop_factory = asyncio.new_event_loop
        for path, late, complete in (
            ("/resume/x", False, True),
            ("/stream/x", False, True),
            ("/resume/x", True, True),
            ("/stream/x", True, False),
        ):

            async def scenario(path=path, late=late, complete=complete):
                clock = LoopClock()
                stopped = asyncio.Event()

                async def source_script(response):
                    if b"y-copy" in response.headers:
                        await go_on(response)
                        return
                    response.stream()
                    for number in range(1, 1000):
                        response.event(number)
                        if stopped.is_set():
                            break
                        await asyncio.sleep(0.005)
                    response.reset()

                async def move(source, request_id, target, last):
                    if last:
                        # The copy takes its time; meanwhile the target leaves.
                        view = gateway.state.upstreams.view
                        view.remove(target.upstream_id, gateway.state.clock())
                        gateway.state.upstreams.refresh()
                        stopped.set()
                        copies.append(target.upstream_id)
                        if late:
                            clock.advance(DRAIN_S)
                    return complete_copy()

                copies = []
                gateway = await GatewayHarness(move).start(source_script, go_on, go_on)
                source, *targets = gateway.upstreams
                view, now_s = gateway.state.upstreams.view, gateway.state.clock()
                view.replace([source.record()], now_s)
                gateway.state.upstreams.refresh()
                caller = await gateway.connect()
                caller.send(path, "POST", x_tokens=1000)
                await until(lambda: source.requests)
                leaving = replace(
                    source.record(), leaving=True, sequence=2, leaves_in_s=1.0
                )
                view.replace([leaving, *(each.record() for each in targets)], now_s)
                gateway.state.upstreams.refresh()
                reply = await caller.reply()
                self.assertEqual(complete, reply.complete)
                left = next(each for each in targets if each.name == copies[0])
                self.assertEqual([], left.requests)
                self.assertEqual(1 if late else 2, len(source.requests))

            self.run_loop(scenario())


class PauseTest(LoopTest):
    def test_a_paused_upstream_gets_no_requests(self):
        """Requests reached an upstream that had asked for none for some seconds."""

        async def scenario():
            gateway = await GatewayHarness().start(
                answering(503, PAUSE, count=None), answering()
            )
            for _ in range(20):
                self.assertEqual(200, (await gateway.call("/unsafe/x")).status)
            self.assertLessEqual(counts(gateway)[0], 1)

        self.run_loop(scenario())

    def test_requests_are_refused_at_once_if_all_upstreams_pause(self):
        """Callers waited for their deadline while no upstream wanted requests."""

        async def scenario():
            gateway = await GatewayHarness().start(answering(503, PAUSE))
            for _ in range(3):
                reply = await gateway.call("/unsafe/x")
                self.assertEqual(503, reply.status)
                self.assertGreater(float(reply.headers[b"retry-after"]), 0)
            self.assertEqual([1], counts(gateway))
            self.assertEqual(0, gateway.state.queue.waiting_count)

        self.run_loop(scenario())

    def test_requests_wait_for_the_end_of_a_short_pause(self):
        """A request was refused although the pause ended in time for it."""

        async def scenario():
            short = "x-not-run: 1\r\nx-pause: 0.2\r\n"
            answered = []

            async def script(response):
                answered.append(None)
                if len(answered) == 1:
                    response.respond(503, b"", extra=short)
                else:
                    response.respond()

            gateway = await GatewayHarness().start(script)
            self.assertEqual(200, (await gateway.call("/safe/x")).status)
            self.assertEqual(2, len(answered))

        self.run_loop(scenario())

    def test_an_odd_time_is_logged_once(self):
        """Each refusal with a date in place of seconds left a line."""

        async def scenario():
            odd = "x-not-run: 1\r\nx-odd-pause: Sat, 05 Dec 2026\r\n"
            gateway = await GatewayHarness().start(answering(503, odd))
            numbers = []
            gateway.state.events.emit = lambda number, **_: numbers.append(number)
            for _ in range(3):
                await gateway.call("/unsafe/x")
            self.assertEqual(1, numbers.count(855))

        self.run_loop(scenario())
