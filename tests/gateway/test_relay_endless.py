"""Test that responses of upstreams that never end are bounded."""

import asyncio

from cicadapass_gateway.parsingbudget import BURST_PARTS
from cicadapass_gateway.registrysync import periodic
from tests.gateway.harness import (
    GatewayHarness,
    LoopClock,
    LoopTest,
    configuration,
    until,
)


class EndlessResponseTest(LoopTest):
    """Send bytes without end, in a head or a body, until the gateway closes."""

    # More than the largest part of a response that a node may keep.
    most_bytes = 40 * 1024 * 1024
    deadline_s = 20.0

    async def assert_ended(self, path, start, endless):
        """Assert that an endless response ends soon, and count for its upstream."""
        responses = []

        async def script(response):
            responses.append(response)
            response.send(start)
            await response.send_forever(endless)

        loop = asyncio.get_running_loop()
        gateway = await GatewayHarness().start(script, config=configuration())
        began_s = loop.time()
        reply = await gateway.call(path, "POST", x_limit=str(self.deadline_s))
        self.assertLess(loop.time() - began_s, self.deadline_s / 2)
        upstream = gateway.upstreams[0]
        await until(lambda: upstream.closed == upstream.connections)
        self.assertLess(sum(each.sent_bytes for each in responses), self.most_bytes)
        meter = gateway.state.upstreams.meter(upstream.record())
        self.assertGreater(meter.failure_score(gateway.state.clock()), 0.0)
        self.assertEqual([], gateway.errors)
        return reply

    def assert_all_fail(self, start, endless):
        """Assert that calls and streams end with 502 or visibly incomplete."""

        async def scenario():
            for path in ("/unsafe/x", "/safe/x", "/stream/x", "/resume/x"):
                reply = await self.assert_ended(path, start, endless)
                truthful = reply.status == 502 or not reply.complete
                self.assertTrue(truthful, (path, reply.status))

        self.run_loop(scenario())

    def test_bytes_that_are_no_head(self):
        """Garbage without a line end was read until the deadline."""
        self.assert_all_fail(b"", b"x" * 4096)

    def test_a_head_without_end(self):
        """Header lines without end were read until the deadline."""
        self.assert_all_fail(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 500)

    def test_informational_responses_without_end(self):
        """Heads of informational responses were skipped until the deadline."""
        self.assert_all_fail(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100)

    def test_a_body_without_end(self):
        """The body of a response without a length was kept in memory."""
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\n\r\n"
        self.assert_all_fail(head, b"x" * 65536)

    def test_a_chunked_body_without_end(self):
        """The chunks of a response were kept in memory."""
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\n"
        head += b"transfer-encoding: chunked\r\n\r\n"
        self.assert_all_fail(head, b"10000\r\n" + b"x" * 65536 + b"\r\n")

    def test_a_body_in_tiny_chunks(self):
        """Two engines of six that wrote chunks of two bytes took down all nodes."""
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\n"
        head += b"transfer-encoding: chunked\r\n\r\n"
        for size in (1, 2, 7, 64):
            chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
            self.assert_all_fail(head, chunk * 500)

    def test_a_rejection_in_tiny_chunks(self):
        """The body of a refusal in tiny chunks was read to its bound."""
        head = b"HTTP/1.1 503 X\r\nx-id: r1\r\nx-not-run: 1\r\n"
        head += b"transfer-encoding: chunked\r\n\r\n"

        async def scenario():
            reply = await self.assert_ended("/unsafe/x", head, b"2\r\nxx\r\n" * 500)
            self.assertIn(reply.status, (502, 503))

        self.run_loop(scenario())

    def test_an_event_without_end_in_tiny_chunks(self):
        """The loop searched the whole event again for each of its bytes."""
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\n"
        head += b"content-type: text/event-stream\r\n"
        head += b"transfer-encoding: chunked\r\n\r\n6\r\ndata: \r\n"
        self.assert_all_fail(head, b"1\r\nx\r\n" * 500)

    def test_small_events_without_end(self):
        """A stream of small events took all the processor time of its node."""
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\n"
        head += b"content-type: text/event-stream\r\n\r\n"
        self.assert_all_fail(head, b"data: x\n\n" * 5000)

    def test_a_sound_stream_of_small_events_is_whole(self):
        """A stream with an event a token, in several chunks, was cut."""
        events = 3 * BURST_PARTS

        async def script(response):
            response.stream()
            for number in range(1, events + 1):
                data = b"id: %d\ndata: t\n\n" % number
                for part in (data[:4], data[4:9], data[9:]):
                    response.send(b"%x\r\n%s\r\n" % (len(part), part))
                if number % 10 == 0:
                    # A thousand events a second.
                    clock.advance(0.01)
                    await response.drain()
            response.end()

        async def scenario():
            nonlocal clock
            clock = LoopClock()
            config = configuration(timeout_s=600.0)
            gateway = await GatewayHarness().start(script, config=config)
            reply = await gateway.call("/stream/x", "POST")
            self.assertTrue(reply.complete)
            self.assertEqual(events, reply.body.count(b"data: t"))

        clock = None
        self.loop_factory = asyncio.new_event_loop
        self.run_loop(scenario())

    def test_a_body_of_an_absurd_length(self):
        """The body of a response with an absurd length was read up to the limit."""
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\n"
        head += b"content-length: 99999999999999\r\n\r\n"
        self.assert_all_fail(head, b"x" * 65536)

    def test_a_rejection_with_a_body_without_end(self):
        """The body of a response that denies execution was read without end."""
        head = b"HTTP/1.1 503 X\r\nx-id: r1\r\nx-not-run: 1\r\n\r\n"

        async def scenario():
            reply = await self.assert_ended("/unsafe/x", head, b"x" * 65536)
            self.assertIn(reply.status, (502, 503))

        self.run_loop(scenario())

    def test_an_event_without_end(self):
        """An event that never ended was kept in memory."""
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\n"
        head += b"content-type: text/event-stream\r\n\r\n"
        self.assert_all_fail(head, b"data: " + b"x" * 65536)

    def test_blank_events_without_end(self):
        """Line ends without any event were forwarded until the deadline."""
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\n"
        head += b"content-type: text/event-stream\r\n\r\n"
        self.assert_all_fail(head, b"\n" * 65536)

    def test_a_slow_head_without_end_counts_for_its_upstream(self):
        """An upstream that sent a byte now and then was not judged by it."""

        async def script(response):
            while not response.closed:
                response.send(b"x")
                await asyncio.sleep(0.02)

        async def scenario():
            gateway = await GatewayHarness().start(script)
            reply = await gateway.call("/unsafe/x", "POST", x_limit="0.3")
            self.assertEqual(504, reply.status)
            meter = gateway.state.upstreams.meter(gateway.upstreams[0].record())
            self.assertGreater(meter.failure_score(gateway.state.clock()), 0.0)

        self.run_loop(scenario())

    def test_many_endless_bodies_share_one_limit(self):
        """Several endless bodies at once took more memory than a node has."""
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\n\r\n"
        buffered_bytes = []

        async def script(response):
            response.send(head)
            await response.send_forever(b"x" * 65536)

        async def scenario():
            gateway = await GatewayHarness().start(*[script] * 20)
            sample = periodic(
                lambda: buffered_bytes.append(gateway.pool.buffer.used_bytes), 0.002
            )
            sampling = asyncio.create_task(sample())
            replies = await asyncio.gather(
                *(gateway.call("/unsafe/x", "POST", x_limit="30") for _ in range(20))
            )
            self.assertEqual({502}, {reply.status for reply in replies})
            self.assertLess(max(buffered_bytes), self.most_bytes)
            sampling.cancel()
            self.assertGreater(max(buffered_bytes), 1024 * 1024)
            self.assertEqual(0, gateway.pool.buffer.used_bytes)

        self.run_loop(scenario())

    def test_a_slow_caller_does_not_fill_the_memory(self):
        """A stream was read faster than its caller took it."""
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\n"
        head += b"content-type: text/event-stream\r\n\r\n"
        event = b"id: 1\ndata: " + b"x" * 4000 + b"\n\n"
        responses = []

        async def script(response):
            responses.append(response)
            response.send(head)
            await response.send_forever(event * 16)

        async def scenario():
            gateway = await GatewayHarness().start(script)
            caller = await gateway.connect()
            caller.pause_reading()
            caller.send("/stream/x", "POST", x_limit="30")
            await until(lambda: responses and responses[0].sent_bytes)
            sent = -1
            # The upstream is held back once all buffers on the way are full.
            while responses[0].sent_bytes != sent:
                sent = responses[0].sent_bytes
                self.assertLess(sent, self.most_bytes)
                await asyncio.sleep(0.5)
            caller.close()

        self.run_loop(scenario())
