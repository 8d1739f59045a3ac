"""Test how requests and responses are forwarded."""

import asyncio
from dataclasses import replace

from cicadapass_decisions.passthrough import Prompt, UpstreamRecord
from cicadapass_decisions.segmentsuspicions import Suspected
from cicadapass_gateway.migrator import ActiveRun, Migrator
from tests.gateway.harness import (
    GatewayHarness,
    LoopTest,
    complete_copy,
    configuration,
    make_state,
    until,
    workspace,
)


async def ok(response):
    """Respond with success."""
    response.respond()


async def full(response):
    """Respond that the request was not executed."""
    response.respond(503, b"", "x-not-run: 1\r\n")


async def reset(response):
    """Reset the connection without a response."""
    response.reset()


def ids(body):
    """Return the ids of the events of a body."""
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def streaming(first, last, cut=None):
    """Return a script that streams events; it is reset within the event `cut`."""

    async def script(response):
        response.stream()
        start = int(response.headers.get(b"y-after", first - 1)) + 1
        for number in range(start, last + 1):
            if number == cut:
                response.event(number, cut=True)
                await asyncio.sleep(0.01)
                response.reset()
                return
            response.event(number)
            await asyncio.sleep(0.002)
        response.end()

    return script


async def failed(response):
    """Respond with an error of the upstream."""
    response.respond(500, b"failed")


class PromptTest(LoopTest):
    def test_only_a_success_clears_a_suspected_segment(self):
        """An error of a failing engine released a segment that crashes engines."""

        async def scenario():
            gateway = await GatewayHarness().start(failed)
            state = gateway.state
            state.segment_suspicions.record_end(
                "i-9@1", ["s/shared"], [], state.clock()
            )
            reply = await gateway.call("/unsafe/a", x_tokens=2000)
            self.assertEqual(500, reply.status)
            verdict = state.segment_suspicions.verdict(["s/shared"], state.clock())
            self.assertEqual(Suspected(("s/shared",), False), verdict)
            gateway.upstreams[0].script = ok
            reply = await gateway.call("/unsafe/a", x_tokens=2000)
            self.assertEqual(200, reply.status)
            self.assertIsNone(
                state.segment_suspicions.verdict(["s/shared"], state.clock())
            )

        self.run_loop(scenario())


class CallTest(LoopTest):
    def test_a_call_is_passed_through_unchanged(self):
        """The method, query or body was changed."""

        async def scenario():
            gateway = await GatewayHarness().start(ok)
            reply = await gateway.call(
                "/unsafe/a%20b?q=/1", "POST", b"body", x_more="v"
            )
            self.assertEqual((200, b"ok"), (reply.status, reply.body))
            request, body = gateway.upstreams[0].requests[0]
            self.assertEqual(b"POST", request.method)
            self.assertEqual(b"/unsafe/a%20b?q=/1", request.target)
            self.assertEqual(b"body", body)
            self.assertIn((b"x-more", b"v"), list(request.headers))
            self.assertEqual([], gateway.errors)

        self.run_loop(scenario())

    def test_a_call_that_may_have_run_is_not_repeated(self):
        """A lost response made a call run twice."""

        async def scenario():
            gateway = await GatewayHarness().start(reset, reset)
            reply = await gateway.call("/unsafe/x", "POST", b"pay")
            self.assertEqual(502, reply.status)
            self.assertEqual(1, sum(len(u.requests) for u in gateway.upstreams))

        self.run_loop(scenario())

    def test_a_rejected_call_goes_to_another_upstream(self):
        """A full upstream's rejection was forwarded to the caller."""

        async def scenario():
            gateway = await GatewayHarness().start(full, ok)
            for _ in range(4):
                reply = await gateway.call("/unsafe/x", "POST", b"pay")
                self.assertEqual(200, reply.status)

        self.run_loop(scenario())

    def test_a_call_that_ran_nowhere_is_refused_with_retry_after(self):
        """A refusal had no time to retry."""

        async def scenario():
            gateway = await GatewayHarness().start(full, full)
            reply = await gateway.call("/unsafe/x", "POST", b"pay")
            self.assertEqual(503, reply.status)
            self.assertGreater(float(reply.headers[b"retry-after"]), 0)

        self.run_loop(scenario())

    def test_an_unconfirmed_not_executed_status_is_not_forwarded(self):
        """An upstream's 503 after an execution meant "not executed" to the caller."""

        async def run_and_fail(response):
            response.respond(503, b"busy")

        async def scenario():
            gateway = await GatewayHarness().start(run_and_fail)
            reply = await gateway.call("/unsafe/x", "POST", b"pay")
            self.assertEqual(502, reply.status)

        self.run_loop(scenario())

    def test_a_read_is_retried_after_a_lost_response(self):
        """A reset before the response failed a repeatable read."""

        async def scenario():
            gateway = await GatewayHarness().start(reset, ok)
            for _ in range(3):
                self.assertEqual(200, (await gateway.call("/safe/x")).status)

        self.run_loop(scenario())

    def test_a_response_for_another_request_is_not_forwarded(self):
        """A late response reached the wrong caller."""

        async def other_request(response):
            response.headers[b"x-id"] = "other"
            response.respond(body=b"not yours")

        async def scenario():
            gateway = await GatewayHarness().start(other_request)
            reply = await gateway.call("/unsafe/x", "POST", b"pay")
            self.assertEqual((502, b""), (reply.status, reply.body))

        self.run_loop(scenario())

    def test_a_success_without_seal_or_id_is_not_forwarded(self):
        """Bytes without an upstream's seal reached a caller as a success."""

        async def scenario():
            for head in (b"x-id: r1\r\n", b"x-seal: 1\r\n"):

                async def bare(response, head=head):
                    response.send(b"HTTP/1.1 200 OK\r\n" + head)
                    response.send(b"content-length: 2\r\n\r\nok")

                gateway = await GatewayHarness().start(bare)
                reply = await gateway.call("/unsafe/x", "POST", b"pay")
                self.assertEqual((502, b""), (reply.status, reply.body))

        self.run_loop(scenario())

    def test_crashed_upstreams_are_skipped(self):
        """Calls were refused because a crashed upstream was still listed."""

        async def scenario():
            gateway = await GatewayHarness().start(ok, ok, ok)
            # With so many nodes, the share of each is less than one retry.
            gateway.state.node_count = 1000
            for upstream in gateway.upstreams[:2]:
                upstream.stop()
            for number in range(8):
                reply = await gateway.call(f"/unsafe/{number}", "POST", b"pay")
                self.assertEqual(200, reply.status)
            self.assertEqual(8, len(gateway.upstreams[2].requests))

        self.run_loop(scenario())

    def test_a_connection_with_trailing_bytes_is_not_reused(self):
        """An extra response was taken for the response to the next request."""

        async def twice(response):
            response.respond()
            response.respond(body=b"extra")

        async def scenario():
            gateway = await GatewayHarness().start(twice)
            for _ in range(3):
                reply = await gateway.call("/safe/x")
                self.assertEqual((200, b"ok"), (reply.status, reply.body))

        self.run_loop(scenario())

    def test_calls_that_must_not_repeat_use_new_connections(self):
        """A reused connection closed by the upstream left a call's outcome unknown."""

        async def scenario():
            gateway = await GatewayHarness().start(ok)
            for _ in range(3):
                await gateway.call("/unsafe/x", "POST", b"pay")
            self.assertEqual(3, gateway.upstreams[0].connections)
            for _ in range(3):
                await gateway.call("/safe/x")
            self.assertEqual(3, gateway.upstreams[0].connections)

        self.run_loop(scenario())

    def test_a_truncated_response_never_looks_complete(self):
        """A truncated body was forwarded as complete."""

        async def cut(response):
            head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\ncontent-length: 9"
            response.send(head + b"\r\n\r\nhalf")
            response.reset()

        async def scenario():
            gateway = await GatewayHarness().start(cut)
            self.assertEqual(502, (await gateway.call("/unsafe/x", "POST")).status)

        self.run_loop(scenario())

    def test_the_time_limit_ends_a_request(self):
        """A request continued after its time limit."""

        async def hang(response):
            await response.until_closed()

        async def scenario():
            gateway = await GatewayHarness().start(hang)
            reply = await gateway.call("/unsafe/x", "POST", x_limit="0.2")
            self.assertEqual(504, reply.status)
            await until(lambda: gateway.upstreams[0].closed == 1)

        self.run_loop(scenario())

    def test_a_disconnected_caller_cancels_its_request(self):
        """Upstreams continued to serve disconnected callers."""

        async def hang(response):
            await response.until_closed()

        async def scenario():
            gateway = await GatewayHarness().start(hang)
            caller = await gateway.connect()
            caller.send("/safe/x")
            await until(lambda: gateway.upstreams[0].requests)
            caller.close()
            await until(lambda: gateway.upstreams[0].closed == 1)
            running = gateway.state.upstreams.local_load(gateway.state.clock())
            self.assertEqual({}, running)

        self.run_loop(scenario())


class AdmissionTest(LoopTest):
    def test_requests_without_a_configuration_may_be_retried(self):
        """A node that had just started responded 404 to a valid call."""

        async def scenario():
            gateway = await GatewayHarness().start(ok)
            gateway.state.routes = None
            reply = await gateway.call("/safe/x")
            self.assertEqual(503, reply.status)
            self.assertIn(b"retry-after", reply.headers)

        self.run_loop(scenario())

    def test_unknown_routes_and_keys_are_rejected(self):
        """A call without a valid key was executed."""

        async def scenario():
            config = configuration(workspaces=[workspace()])
            gateway = await GatewayHarness().start(ok, config=config)
            self.assertEqual(404, (await gateway.call("/none/x", x_key="k")).status)
            self.assertEqual(401, (await gateway.call("/safe/x", x_key="old")).status)
            self.assertEqual(401, (await gateway.call("/safe/x")).status)
            self.assertEqual(200, (await gateway.call("/safe/x", x_key="k")).status)
            self.assertEqual(1, len(gateway.upstreams[0].requests))

        self.run_loop(scenario())

    def test_a_workspace_over_its_limit_is_refused(self):
        """The rate limit of a workspace was exceeded."""

        async def scenario():
            config = configuration(workspaces=[workspace(rate=1.0)])
            gateway = await GatewayHarness().start(ok, config=config)
            gateway.state.rate_limiter._started_s = -1000.0
            statuses = [
                (await gateway.call("/safe/x", x_key="k")).status for _ in range(12)
            ]
            self.assertEqual([200] * 9 + [429] * 3, statuses)

        self.run_loop(scenario())

    def test_a_request_waits_with_what_its_workspace_was_charged(self):
        """A limit in requests was compared with the tokens of a waiting request."""

        async def scenario():
            config = configuration(workspaces=[workspace(rate=10.0)])
            gateway = await GatewayHarness().start(ok, config=config)
            placed = []
            place = gateway.state.queue.place

            async def record(requirements):
                placed.append(requirements)
                return await place(requirements)

            gateway.state.queue.place = record
            await gateway.call("/safe/x", x_key="k", x_tokens=1800)
            self.assertEqual([(10.0, 1.0)], [(r.weight, r.cost) for r in placed])

        self.run_loop(scenario())

    def test_a_draining_node_accepts_requests_for_a_limited_time(self):
        """A request accepted long after SIGTERM was cut off at the process's end."""

        async def scenario():
            gateway = await GatewayHarness().start(ok)
            gateway.state.stopping_since_s = gateway.state.clock()
            self.assertEqual(200, (await gateway.call("/safe/x")).status)
            gateway.state.stopping_since_s -= 5.0
            self.assertEqual(503, (await gateway.call("/safe/x")).status)
            self.assertEqual(1, len(gateway.upstreams[0].requests))

        self.run_loop(scenario())

    def test_a_service_without_upstreams_is_refused_at_once(self):
        """A request without any upstream waited until its deadline."""

        async def scenario():
            gateway = await GatewayHarness().start()
            reply = await gateway.call("/stream/x", "POST", x_tokens=100)
            self.assertEqual(503, reply.status)

        self.run_loop(scenario())

    def test_a_request_that_waited_too_long_is_refused(self):
        """A request waited for capacity until its caller disconnected."""

        async def scenario():
            async def hang(response):
                await response.until_closed()

            gateway = await GatewayHarness().start(hang)
            gateway.list_upstreams(slots=1)
            first = await gateway.connect()
            first.send("/safe/x", x_tokens=100)
            await until(lambda: gateway.upstreams[0].requests)
            reply = await gateway.call("/stream/x", "POST", x_tokens=100, x_limit="1")
            self.assertEqual(503, reply.status)
            self.assertEqual(1, len(gateway.upstreams[0].requests))

        self.run_loop(scenario())

    def test_an_upstream_whose_address_was_reassigned_gets_no_more_requests(self):
        """Requests were still sent to an address that had been reassigned."""

        async def other_request(response):
            response.respond(421, b"")

        async def scenario():
            gateway = await GatewayHarness().start(other_request, ok)
            for _ in range(4):
                self.assertEqual(200, (await gateway.call("/safe/x")).status)
            self.assertLessEqual(len(gateway.upstreams[0].requests), 1)

        self.run_loop(scenario())


class StreamTest(LoopTest):
    def test_events_are_forwarded_as_they_arrive(self):
        """Events were buffered until the stream ended."""

        async def scenario():
            released = asyncio.Event()

            async def slow(response):
                response.stream()
                response.event(1)
                await released.wait()
                response.event(2)
                response.end()

            gateway = await GatewayHarness().start(slow)
            caller = await gateway.connect()
            caller.send("/stream/x", "POST", x_tokens=100)
            self.assertEqual(200, (await caller.head()).status_code)
            released.set()
            self.assertIsNotNone(await caller._event())

        self.run_loop(scenario())

    def test_a_broken_stream_looks_incomplete(self):
        """A broken stream looked complete, or ended within an event."""

        async def scenario():
            gateway = await GatewayHarness().start(streaming(1, 9, cut=4))
            reply = await gateway.call("/stream/x", "POST", x_tokens=100)
            self.assertFalse(reply.complete)
            self.assertEqual([1, 2, 3], ids(reply.body))
            self.assertTrue(reply.body.endswith(b"\n\n"))

        self.run_loop(scenario())

    def test_a_resumable_stream_continues_after_the_last_whole_event(self):
        """An event was lost or duplicated when a stream was resumed."""

        async def scenario():
            breaking, whole = streaming(1, 9, cut=4), streaming(1, 9)
            gateway = await GatewayHarness().start(breaking, whole)
            for _ in range(4):
                reply = await gateway.call("/resume/x", "POST", x_tokens=100)
                self.assertTrue(reply.complete)
                self.assertEqual(list(range(1, 10)), ids(reply.body))

        self.run_loop(scenario())

    def test_a_model_request_goes_on_after_its_service_has_left(self):
        """A request was placed as a plain call once the service had left the routes."""

        async def scenario():
            breaking = streaming(1, 9, cut=4)
            gateway = await GatewayHarness().start(breaking, breaking)
            place, placed = gateway.state.queue.place, []

            async def place_and_change(requirements):
                placed.append(requirements.model_engine)
                newer = replace(configuration(), version=1 + len(placed), services={})
                gateway.state.adopt(newer, b"")
                return await place(requirements)

            gateway.state.queue.place = place_and_change
            await gateway.call("/resume/x", "POST", x_tokens=100)
            self.assertEqual([True, True], placed)

        self.run_loop(scenario())

    def test_a_stream_that_must_not_repeat_is_not_resumed(self):
        """The events of two runs were joined."""

        async def scenario():
            gateway = await GatewayHarness().start(
                streaming(1, 9, cut=4), streaming(1, 9, cut=4)
            )
            await gateway.call("/stream/x", "POST", x_tokens=100)
            self.assertEqual(1, sum(len(u.requests) for u in gateway.upstreams))

        self.run_loop(scenario())

    def test_a_run_counts_for_its_workspace_with_its_first_event(self):
        """A request was counted twice, or not at all."""

        async def scenario():
            config = configuration(workspaces=[workspace()])
            breaking, whole = streaming(1, 9, cut=4), streaming(1, 9)
            gateway = await GatewayHarness().start(breaking, whole, config=config)
            await gateway.call("/resume/x", "POST", x_tokens=100, x_key="k")
            self.assertEqual({"w": 1}, gateway.usage.total(200))

        self.run_loop(scenario())


class MigrationTest(LoopTest):
    """Simulate the reclaim of an engine that runs a stream."""

    def reclaim(self, accept_copy, *, announced=True):
        async def scenario():
            stopped = asyncio.Event()
            migrations = []

            async def leaving(response):
                response.stream()
                number = 0
                while not stopped.is_set():
                    number += 1
                    response.event(number)
                    await asyncio.sleep(0.005)
                await asyncio.sleep(0.01)
                response.reset()

            async def move(source, request_id, target, last):
                migrations.append((source.upstream_id, request_id, last))
                if last:
                    stopped.set()
                return complete_copy()

            async def target_script(response):
                if not accept_copy:
                    await full(response)
                    return
                await streaming(1, 200)(response)

            gateway = await GatewayHarness(move).start(leaving, target_script)
            gateway.list_upstreams()
            source, target = gateway.upstreams
            view = gateway.state.upstreams.view
            view.replace([source.record()], gateway.state.clock())
            gateway.state.upstreams.refresh()
            caller = await gateway.connect()
            caller.send("/stream/x", "POST", x_tokens=1000)
            await until(lambda: source.requests)
            leaving_record = replace(
                source.record(), leaving=True, sequence=2, leaves_in_s=1.0
            )
            listed = [leaving_record] if announced else []
            view.replace([*listed, target.record()], gateway.state.clock())
            gateway.state.upstreams.refresh()
            reply = await caller.reply()
            return reply, migrations, target

        return self.run_loop(scenario())

    def assert_stopped_once(self, migrations):
        """Assert that the run was copied while it went on, and then stopped once."""
        *copies, last = migrations
        self.assertEqual({("u0", "r1", False)}, set(copies))
        self.assertEqual(("u0", "r1", True), last)

    def test_a_migrated_stream_continues_at_the_target(self):
        """A stream broke when its engine was reclaimed after notice."""
        reply, migrations, target = self.reclaim(accept_copy=True)
        self.assertTrue(reply.complete)
        self.assertEqual(list(range(1, 201)), ids(reply.body))
        self.assert_stopped_once(migrations)
        headers = dict(target.requests[0][0].headers)
        self.assertEqual(b"copy-1", headers[b"y-copy"])

    def test_a_run_is_migrated_from_an_engine_that_leaves_without_notice(self):
        """Streams broke whose engine's entry had been removed two seconds before."""
        reply, migrations, _ = self.reclaim(accept_copy=True, announced=False)
        self.assertTrue(reply.complete)
        self.assert_stopped_once(migrations)

    def test_a_run_goes_on_at_a_target_that_left_during_the_copy(self):
        """A run was sent to an engine that had left seconds before."""

        async def scenario():
            state = make_state()
            source, first, second = (
                UpstreamRecord(name, "s", name, 1, "dc-a", 64, False, 1, 1)
                for name in ("source", "first", "second")
            )
            targets = []

            async def move(source, request_id, target, last):
                targets.append((target.upstream_id, last))
                if not last and len(targets) == 1:
                    state.upstreams.view.remove(target.upstream_id, 0.0)
                    state.upstreams.refresh()
                return complete_copy("copy")

            migrator = Migrator(state, move)
            run = ActiveRun(
                "r1", source, Prompt((), 9, 400), 1, state.clock(), events=1
            )
            state.upstreams.view.replace([first, second], state.clock())
            state.upstreams.refresh()
            migrator.add(run)
            watching = asyncio.create_task(migrator.watch())
            await until(lambda: run.migration is not None)
            migrated = await run.migration
            watching.cancel()
            (left, _), *rest = targets
            other = ({"first", "second"} - {left}).pop()
            *copies, last = rest
            self.assertEqual({(other, False)}, set(copies))
            self.assertEqual((other, True), last)
            self.assertEqual(other, migrated.record.upstream_id)

        self.run_loop(scenario())

    def test_a_copy_that_is_refused_does_not_run_again(self):
        """A migrated stream whose copy was refused ran again from the beginning."""
        reply, _, target = self.reclaim(accept_copy=False)
        self.assertFalse(reply.complete)
        self.assertEqual(1, len(target.requests))
