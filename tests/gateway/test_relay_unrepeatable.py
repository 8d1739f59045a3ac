"""Test how requests end that may run only once, whose attempts get no hedge."""

import asyncio

from cicadapass_decisions.segmentsuspicions import Blocked
from tests.gateway.harness import (
    GatewayHarness,
    LoopTest,
    configuration,
    until,
    workspace,
)

FAILED_ATTEMPT, REQUEST_END = 811, 812
PATHS = ("/unsafe/x", "/stream/x")
HALF_BODY = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\ncontent-length: 9\r\n\r\nhalf"


async def hang(response):
    """Send nothing until the gateway closes the connection."""
    await response.until_closed()


async def begin_and_hang(response):
    """Send a part of the body and wait until the gateway closes the connection."""
    response.send(HALF_BODY)
    await response.until_closed()


async def full(response):
    """Respond that the request was not executed."""
    response.respond(503, b"", "x-not-run: 1\r\n")


async def reset(response):
    """Reset the connection without a response."""
    response.reset()


class EndTest(LoopTest):
    """Play one request and observe what it leaves behind."""

    async def begin(self, *scripts, path="/unsafe/x", config=None, **headers):
        """Send a request; return the gateway, the caller and the logged outcomes."""
        gateway = await GatewayHarness().start(*scripts, config=config)
        outcomes, emit = [], gateway.state.events.emit

        def record(number, **fields):
            if number in (FAILED_ATTEMPT, REQUEST_END):
                outcomes.append((number, fields["outcome"]))
            return emit(number, **fields)

        gateway.state.events.emit = record
        caller = await gateway.connect()
        caller.send(path, "POST", b"pay", **headers)
        return gateway, caller, outcomes

    async def assert_released(self, gateway, sends=1):
        """Assert that the last connection is closed and no place is taken."""
        await until(lambda: sum(each.closed for each in gateway.upstreams) == 1)
        tracker, now_s = gateway.state.upstreams, gateway.state.clock()
        self.assertEqual({}, tracker.local_load(now_s))
        self.assertEqual(sends, sum(len(each.requests) for each in gateway.upstreams))

    def test_caller_that_leaves_ends_its_request(self):
        """An engine went on with a call whose caller had left."""

        async def scenario(path, script):
            gateway, caller, outcomes = await self.begin(script, path=path)
            await until(lambda: gateway.upstreams[0].requests)
            caller.close()
            await self.assert_released(gateway)
            self.assertEqual([(REQUEST_END, "caller_left")], outcomes)
            self.assertEqual([], gateway.errors)

        for path in PATHS:
            for script in (hang, begin_and_hang):
                self.run_loop(scenario(path, script))

    def test_deadline_ends_a_request(self):
        """A deadline was taken for a broken attempt, or its connection was kept."""

        async def scenario(path, script):
            gateway, caller, outcomes = await self.begin(
                script, path=path, x_limit="0.1"
            )
            self.assertEqual(504, (await caller.reply()).status)
            await self.assert_released(gateway)
            self.assertEqual([(REQUEST_END, "timeout")], outcomes)

        for path in PATHS:
            for script in (hang, begin_and_hang):
                self.run_loop(scenario(path, script))

    def test_block_of_a_segment_ends_a_request_that_may_have_run(self):
        """A blocked prompt went on at its engine, or was reported as not run."""

        async def scenario(path):
            gateway, caller, outcomes = await self.begin(hang, path=path, x_tokens=100)
            await until(lambda: gateway.upstreams[0].requests)
            suspicions, now_s = gateway.state.segment_suspicions, gateway.state.clock()
            for number in range(3):
                suspicions.record_end(
                    f"i-{number}@1", ["s/shared"], [], now_s - 2.0 + number
                )
            self.assertEqual(502, (await caller.reply()).status)
            await self.assert_released(gateway)
            self.assertEqual([(REQUEST_END, "segment_blocked")], outcomes)

        for path in PATHS:
            self.run_loop(scenario(path))

    def test_block_by_the_end_of_its_own_engine_fails_a_request(self):
        """A request that caused a block while it failed was answered twice."""

        async def scenario(path):
            waiting = asyncio.Event()

            async def end(response):
                response.send(HALF_BODY)
                await waiting.wait()
                response.close()

            gateway, caller, outcomes = await self.begin(end, path=path, x_tokens=100)
            await until(lambda: gateway.upstreams[0].requests)
            suspicions, now_s = gateway.state.segment_suspicions, gateway.state.clock()
            for number in range(2):
                suspicions.record_end(
                    f"i-{number}@1", ["s/shared"], [], now_s - 2.0 + number
                )
            # The end of the engine is known, so that the block follows at once.
            gateway.relay.prompt_guard._ended_engines.is_known = lambda _: True
            waiting.set()
            self.assertEqual(502, (await caller.reply()).status)
            self.assertIsInstance(
                suspicions.verdict(["s/shared"], gateway.state.clock()), Blocked
            )
            await self.assert_released(gateway)
            self.assertEqual(
                [(FAILED_ATTEMPT, "broken"), (REQUEST_END, "broken")], outcomes
            )

        for path in PATHS:
            self.run_loop(scenario(path))

    def test_call_whose_engine_breaks_off_is_failed_once(self):
        """A call that may have run was sent again, or its failure logged twice."""

        async def scenario(path):
            gateway, caller, outcomes = await self.begin(reset, reset, path=path)
            self.assertEqual(502, (await caller.reply()).status)
            await self.assert_released(gateway)
            self.assertEqual(
                [(FAILED_ATTEMPT, "broken"), (REQUEST_END, "broken")], outcomes
            )

        for path in PATHS:
            self.run_loop(scenario(path))

    def test_caller_that_leaves_after_a_refusal_ends_the_second_attempt(self):
        """The second upstream went on with a call whose caller had left."""

        async def scenario():
            sends = []

            async def refuse_once(response):
                sends.append(response)
                await (full if len(sends) == 1 else hang)(response)

            gateway, caller, outcomes = await self.begin(refuse_once, refuse_once)
            await until(lambda: len(sends) == 2)
            caller.close()
            # The connection of the refusal stays open for other calls.
            await self.assert_released(gateway, sends=2)
            self.assertEqual(
                [(FAILED_ATTEMPT, "rejected"), (REQUEST_END, "caller_left")], outcomes
            )

        self.run_loop(scenario())

    def test_internal_error_releases_the_upstream(self):
        """An internal error kept a place, or left its caller without an answer."""

        async def scenario():
            config = configuration(workspaces=[workspace()])
            prepared = asyncio.Event()

            async def respond(response):
                await prepared.wait()
                response.respond()

            def fail(_):
                raise KeyError("usage")

            gateway, caller, outcomes = await self.begin(
                respond, config=config, x_key="k"
            )
            gateway.usage.count = fail
            prepared.set()
            self.assertEqual(502, (await caller.reply()).status)
            await self.assert_released(gateway)
            self.assertEqual([KeyError], [type(each) for each in gateway.errors])
            self.assertEqual([], outcomes)

        self.run_loop(scenario())
