"""Test responses without a length or chunks, which end with their connection."""

from tests.gateway.harness import GatewayHarness, LoopTest
from tests.gateway.test_relay import ids, streaming

EVENTS = 4


def raw_event(number):
    """Return the bytes of an event."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def undelimited(events, end, partial=b""):
    """Return a script that streams events and then calls `end` on the response."""

    async def script(response):
        response.stream_until_close()
        start = int(response.headers.get(b"y-after", 0)) + 1
        for number in range(start, events + 1):
            response.send(raw_event(number))
        response.send(partial)
        getattr(response, end)()

    return script


async def plain(response):
    """Respond with a body that ends with the connection."""
    request_id = response.headers.get(b"x-id", "")
    response.send(
        f"HTTP/1.1 200 OK\r\nx-id: {request_id}\r\nx-seal: 1\r\n\r\n".encode()
    )
    response.send(b"whole")
    response.close()


async def plain_reset(response):
    """Reset the connection within such a body."""
    request_id = response.headers.get(b"x-id", "")
    response.send(
        f"HTTP/1.1 200 OK\r\nx-id: {request_id}\r\nx-seal: 1\r\n\r\n".encode()
    )
    response.send(b"who")
    response.reset()


class UndelimitedTest(LoopTest):
    def play(self, path, *scripts, **headers):
        """Send one request through upstreams with these scripts."""

        async def scenario():
            gateway = await GatewayHarness().start(*scripts)
            reply = await gateway.call(path, **headers)
            requests = [len(each.requests) for each in gateway.upstreams]
            scores = [
                gateway.state.upstreams.meter(each.record()).failure_score(
                    gateway.state.clock()
                )
                for each in gateway.upstreams
            ]
            self.assertFalse(gateway.state.segment_suspicions.active)
            return reply, requests, scores

        return self.run_loop(scenario())

    def test_a_plain_answer_is_whole(self):
        """An answer that ended with its connection was taken for a broken one."""
        reply, requests, scores = self.play("/safe/a", plain, x_tokens=2000)
        self.assertEqual((200, b"whole"), (reply.status, reply.body))
        self.assertEqual(([1], [0.0]), (requests, scores))

    def test_a_plain_answer_that_is_reset_is_repeated_only_where_it_may_be(self):
        """A part of an answer was delivered as the whole one."""
        reply, requests, scores = self.play("/unsafe/a", plain_reset)
        self.assertEqual((502, [1]), (reply.status, requests))
        self.assertGreater(scores[0], 0)
        reply, requests, _ = self.play("/safe/a", plain_reset, plain_reset)
        self.assertEqual((502, [1, 1]), (reply.status, requests))

    def test_a_stream_is_whole(self):
        """A stream that ended with its connection was taken for a broken one."""
        script = undelimited(EVENTS, "close")
        reply, requests, scores = self.play("/stream/a", script, x_tokens=2000)
        self.assertTrue(reply.complete)
        self.assertEqual([1, 2, 3, 4], ids(reply.body))
        self.assertEqual(([1], [0.0]), (requests, scores))

    def test_a_stream_that_ends_inside_an_event_is_broken_off(self):
        """A stream that was cut inside an event looked complete."""
        script = undelimited(2, "close", b"id: 3\ndata: pie")
        reply, requests, scores = self.play("/stream/a", script)
        self.assertFalse(reply.complete)
        self.assertEqual(([1, 2], [1]), (ids(reply.body), requests))
        self.assertGreater(scores[0], 0)

    def test_a_resumable_one_goes_on_elsewhere(self):
        """The events after the cut were lost, or the cut event came twice."""
        cut = undelimited(2, "close", b"id: 3\ndata: pie")
        reply, requests, _ = self.play("/resume/a", cut, streaming(1, EVENTS))
        if requests == [0, 1]:
            # The other upstream was chosen first and served the whole stream.
            reply, requests, _ = self.play("/resume/a", streaming(1, EVENTS), cut)
        self.assertTrue(reply.complete)
        self.assertEqual([1, 2, 3, 4], ids(reply.body))

    def test_a_stream_that_is_reset_between_events_is_broken_off(self):
        """A reset stream looked complete because it ended between events."""
        script = undelimited(2, "reset")
        reply, requests, _ = self.play("/stream/a", script)
        self.assertFalse(reply.complete and reply.status == 200)
        self.assertEqual([1], requests)

    def test_a_stream_without_any_event_is_broken_off(self):
        """An engine that ended after its head passed for one with an empty answer."""
        script = undelimited(0, "close")
        reply, requests, scores = self.play("/stream/a", script)
        self.assertEqual((502, [1]), (reply.status, requests))
        self.assertGreater(scores[0], 0)
