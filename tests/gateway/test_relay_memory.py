"""Test that a response that waits for the memory of its node is no silence."""

import asyncio

from tests.gateway.harness import GatewayHarness, LoopClock, LoopTest, until

SIZE = 1_000_000
# Time for which nothing is read. With 3 s for the call, a hedge is due in less.
WAIT_S = 1.5
STEP_S = 0.25


class HeldBackTest(LoopTest):
    """Read a response late for want of memory."""

    loop_factory = staticmethod(asyncio.new_event_loop)

    def test_the_upstream_is_not_blamed(self):
        """An upstream that the node did not read was taken for a silent one."""

        async def respond(answer):
            answer.respond(200, b"x" * SIZE)

        async def scenario():
            clock = LoopClock()
            gateway = await GatewayHarness().start(respond, respond)
            room = []
            buffer = gateway.pool.buffer
            buffer.has_room = lambda added_bytes: bool(room)
            call = asyncio.create_task(gateway.call("/safe/x", x_limit="3"))
            await until(lambda: buffer.wanted_bytes)
            for _ in range(int(WAIT_S / STEP_S)):
                clock.advance(STEP_S)
                await asyncio.sleep(0.01)
            self.assertFalse(call.done())
            room.append(True)
            reply = await call
            self.assertEqual((200, SIZE), (reply.status, len(reply.body)))
            self.assertEqual(1, sum(len(each.requests) for each in gateway.upstreams))
            now_s = gateway.state.clock()
            for upstream in gateway.upstreams:
                meter = gateway.state.upstreams.meter(upstream.record())
                self.assertEqual(0.0, meter.failure_score(now_s))

        self.run_loop(scenario())
