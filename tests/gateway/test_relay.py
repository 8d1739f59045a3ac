"""Test how requests are carried to upstreams and back."""

import asyncio
from dataclasses import replace

from tests.gateway.kit import (
    LoopTest,
    World,
    configuration,
    until,
    workspace,
)


async def ok(answer):
    """Answer with success."""
    answer.whole()


async def full(answer):
    """Answer that the request has not run."""
    answer.whole(503, b"", "x-not-run: 1\r\n")


async def reset(answer):
    """Break off without an answer."""
    answer.reset()


def ids(body):
    """Return the ids of the events of a body."""
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def streaming(first, last, cut=None):
    """Return a script that streams events and may break off within one."""

    async def script(answer):
        answer.stream()
        start = int(answer.headers.get(b"y-after", first - 1)) + 1
        for number in range(start, last + 1):
            if number == cut:
                answer.event(number, cut=True)
                await asyncio.sleep(0.01)
                answer.reset()
                return
            answer.event(number)
            await asyncio.sleep(0.002)
        answer.end()

    return script


class CallTest(LoopTest):
    def test_a_call_is_passed_through_unchanged(self):
        """Method, query or body were changed on the way."""

        async def scenario():
            world = await World().start(ok)
            reply = await world.call("/unsafe/a%20b?q=/1", "POST", b"body", x_more="v")
            self.assertEqual((200, b"ok"), (reply.status, reply.body))
            request, body = world.upstreams[0].requests[0]
            self.assertEqual(b"POST", request.method)
            self.assertEqual(b"/unsafe/a%20b?q=/1", request.target)
            self.assertEqual(b"body", body)
            self.assertIn((b"x-more", b"v"), list(request.headers))
            self.assertEqual([], world.faults)

        self.run_loop(scenario())

    def test_a_call_that_may_have_run_is_not_repeated(self):
        """A lost answer made a reservation run twice."""

        async def scenario():
            world = await World().start(reset, reset)
            reply = await world.call("/unsafe/x", "POST", b"pay")
            self.assertEqual(502, reply.status)
            self.assertEqual(1, sum(len(u.requests) for u in world.upstreams))

        self.run_loop(scenario())

    def test_a_rejected_call_goes_to_another_upstream(self):
        """A full upstream's rejection was given to the caller."""

        async def scenario():
            world = await World().start(full, ok)
            for _ in range(4):
                reply = await world.call("/unsafe/x", "POST", b"pay")
                self.assertEqual(200, reply.status)

        self.run_loop(scenario())

    def test_a_call_that_ran_nowhere_is_refused_with_a_time(self):
        """A refusal did not say when to come back."""

        async def scenario():
            world = await World().start(full, full)
            reply = await world.call("/unsafe/x", "POST", b"pay")
            self.assertEqual(503, reply.status)
            self.assertGreater(float(reply.headers[b"retry-after"]), 0)

        self.run_loop(scenario())

    def test_a_promise_without_the_word_of_the_upstream_is_not_passed_on(self):
        """An upstream's 503 after a run told the caller that nothing had run."""

        async def run_and_fail(answer):
            answer.whole(503, b"busy")

        async def scenario():
            world = await World().start(run_and_fail)
            reply = await world.call("/unsafe/x", "POST", b"pay")
            self.assertEqual(502, reply.status)

        self.run_loop(scenario())

    def test_a_read_is_repeated_after_a_lost_answer(self):
        """A reset on the way back failed a read that may be repeated."""

        async def scenario():
            world = await World().start(reset, ok)
            for _ in range(3):
                self.assertEqual(200, (await world.call("/safe/x")).status)

        self.run_loop(scenario())

    def test_an_answer_for_another_request_is_not_passed_on(self):
        """A late answer reached the wrong caller."""

        async def stranger(answer):
            answer.headers[b"x-id"] = "other"
            answer.whole(body=b"not yours")

        async def scenario():
            world = await World().start(stranger)
            reply = await world.call("/unsafe/x", "POST", b"pay")
            self.assertEqual((502, b""), (reply.status, reply.body))

        self.run_loop(scenario())

    def test_a_success_without_seal_or_id_is_not_passed_on(self):
        """Bytes that no upstream had signed reached a caller as a success."""

        async def scenario():
            for head in (b"x-id: r1\r\n", b"x-seal: 1\r\n"):

                async def bare(answer, head=head):
                    answer.send(b"HTTP/1.1 200 OK\r\n" + head)
                    answer.send(b"content-length: 2\r\n\r\nok")

                world = await World().start(bare)
                reply = await world.call("/unsafe/x", "POST", b"pay")
                self.assertEqual((502, b""), (reply.status, reply.body))

        self.run_loop(scenario())

    def test_crashed_upstreams_are_passed_over(self):
        """Calls were refused because a crashed upstream was still listed."""

        async def scenario():
            world = await World().start(ok, ok, ok)
            # With so many nodes, this one may repeat nothing.
            world.state.nodes = 1000
            for upstream in world.upstreams[:2]:
                upstream.stop()
            for number in range(8):
                reply = await world.call(f"/unsafe/{number}", "POST", b"pay")
                self.assertEqual(200, reply.status)
            self.assertEqual(8, len(world.upstreams[2].requests))

        self.run_loop(scenario())

    def test_bytes_after_an_answer_spoil_the_connection(self):
        """An extra answer was taken for the next request's."""

        async def twice(answer):
            answer.whole()
            answer.whole(body=b"extra")

        async def scenario():
            world = await World().start(twice)
            for _ in range(3):
                reply = await world.call("/safe/x")
                self.assertEqual((200, b"ok"), (reply.status, reply.body))

        self.run_loop(scenario())

    def test_calls_that_must_not_repeat_use_new_connections(self):
        """A kept connection that the upstream had closed left a call in doubt."""

        async def scenario():
            world = await World().start(ok)
            for _ in range(3):
                await world.call("/unsafe/x", "POST", b"pay")
            self.assertEqual(3, world.upstreams[0].connections)
            for _ in range(3):
                await world.call("/safe/x")
            self.assertEqual(3, world.upstreams[0].connections)

        self.run_loop(scenario())

    def test_a_truncated_answer_never_looks_complete(self):
        """A body that was cut on the way was passed on as whole."""

        async def cut(answer):
            head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\ncontent-length: 9"
            answer.send(head + b"\r\n\r\nhalf")
            answer.reset()

        async def scenario():
            world = await World().start(cut)
            self.assertEqual(502, (await world.call("/unsafe/x", "POST")).status)

        self.run_loop(scenario())

    def test_the_time_limit_ends_a_request(self):
        """A request was kept past its time limit."""

        async def hang(answer):
            await answer.until_closed()

        async def scenario():
            world = await World().start(hang)
            reply = await world.call("/unsafe/x", "POST", x_limit="0.2")
            self.assertEqual(504, reply.status)
            await until(lambda: world.upstreams[0].closed == 1)

        self.run_loop(scenario())

    def test_a_caller_that_leaves_ends_the_work(self):
        """Upstreams went on for callers that had gone."""

        async def hang(answer):
            await answer.until_closed()

        async def scenario():
            world = await World().start(hang)
            caller = await world.connect()
            caller.send("/safe/x")
            await until(lambda: world.upstreams[0].requests)
            caller.close()
            await until(lambda: world.upstreams[0].closed == 1)
            running = world.state.book.own_figures(world.state.clock())
            self.assertEqual({}, running)

        self.run_loop(scenario())


class AdmissionTest(LoopTest):
    def test_without_a_configuration_nothing_is_denied(self):
        """A node that had just started answered 404 to a proper call."""

        async def scenario():
            world = await World().start(ok)
            world.state.routes = None
            reply = await world.call("/safe/x")
            self.assertEqual(503, reply.status)
            self.assertIn(b"retry-after", reply.headers)

        self.run_loop(scenario())

    def test_unknown_routes_and_keys_are_denied(self):
        """A call without a valid key ran."""

        async def scenario():
            config = configuration(workspaces=[workspace()])
            world = await World().start(ok, config=config)
            self.assertEqual(404, (await world.call("/none/x", x_key="k")).status)
            self.assertEqual(401, (await world.call("/safe/x", x_key="old")).status)
            self.assertEqual(401, (await world.call("/safe/x")).status)
            self.assertEqual(200, (await world.call("/safe/x", x_key="k")).status)
            self.assertEqual(1, len(world.upstreams[0].requests))

        self.run_loop(scenario())

    def test_a_workspace_over_its_limit_is_refused(self):
        """The limit of a workspace was not kept."""

        async def scenario():
            config = configuration(workspaces=[workspace(rate=1.0)])
            world = await World().start(ok, config=config)
            world.state.limits._started_s = -1000.0
            statuses = [
                (await world.call("/safe/x", x_key="k")).status for _ in range(12)
            ]
            self.assertEqual([200] * 9 + [429] * 3, statuses)

        self.run_loop(scenario())

    def test_a_draining_node_takes_requests_only_for_a_while(self):
        """A request taken long after SIGTERM was cut when the process ended."""

        async def scenario():
            world = await World().start(ok)
            world.state.stopping_since_s = world.state.clock()
            self.assertEqual(200, (await world.call("/safe/x")).status)
            world.state.stopping_since_s -= 5.0
            self.assertEqual(503, (await world.call("/safe/x")).status)
            self.assertEqual(1, len(world.upstreams[0].requests))

        self.run_loop(scenario())

    def test_a_service_without_upstreams_is_refused_at_once(self):
        """A request that nobody could serve waited until its deadline."""

        async def scenario():
            world = await World().start()
            reply = await world.call("/stream/x", "POST", x_tokens=100)
            self.assertEqual(503, reply.status)

        self.run_loop(scenario())

    def test_a_request_that_waited_too_long_is_told_to_come_back(self):
        """A request waited for room until its caller had gone."""

        async def scenario():
            async def hang(answer):
                await answer.until_closed()

            world = await World().start(hang)
            world.list_upstreams(slots=1)
            first = await world.connect()
            first.send("/safe/x", x_tokens=100)
            await until(lambda: world.upstreams[0].requests)
            reply = await world.call("/stream/x", "POST", x_tokens=100, x_limit="1")
            self.assertEqual(503, reply.status)
            self.assertEqual(1, len(world.upstreams[0].requests))

        self.run_loop(scenario())

    def test_an_upstream_whose_address_is_another_ones_gets_no_more_work(self):
        """Requests kept going to an address that had been given away."""

        async def stranger(answer):
            answer.whole(421, b"")

        async def scenario():
            world = await World().start(stranger, ok)
            for _ in range(4):
                self.assertEqual(200, (await world.call("/safe/x")).status)
            self.assertLessEqual(len(world.upstreams[0].requests), 1)

        self.run_loop(scenario())


class StreamTest(LoopTest):
    def test_events_are_passed_on_as_they_come(self):
        """Events were held back until the stream ended."""

        async def scenario():
            going = asyncio.Event()

            async def slow(answer):
                answer.stream()
                answer.event(1)
                await going.wait()
                answer.event(2)
                answer.end()

            world = await World().start(slow)
            caller = await world.connect()
            caller.send("/stream/x", "POST", x_tokens=100)
            self.assertEqual(200, (await caller.head()).status_code)
            going.set()
            self.assertIsNotNone(await caller._event())

        self.run_loop(scenario())

    def test_a_cut_stream_looks_cut(self):
        """A stream that broke off looked complete, or ended within an event."""

        async def scenario():
            world = await World().start(streaming(1, 9, cut=4))
            reply = await world.call("/stream/x", "POST", x_tokens=100)
            self.assertFalse(reply.complete)
            self.assertEqual([1, 2, 3], ids(reply.body))
            self.assertTrue(reply.body.endswith(b"\n\n"))

        self.run_loop(scenario())

    def test_a_resumable_stream_goes_on_after_the_last_whole_event(self):
        """An event was lost or came twice when a stream was resumed."""

        async def scenario():
            breaking, whole = streaming(1, 9, cut=4), streaming(1, 9)
            world = await World().start(breaking, whole)
            for _ in range(4):
                reply = await world.call("/resume/x", "POST", x_tokens=100)
                self.assertTrue(reply.complete)
                self.assertEqual(list(range(1, 10)), ids(reply.body))

        self.run_loop(scenario())

    def test_a_stream_that_must_not_repeat_is_not_resumed(self):
        """Pieces of two runs were joined."""

        async def scenario():
            world = await World().start(streaming(1, 9, cut=4), streaming(1, 9, cut=4))
            await world.call("/stream/x", "POST", x_tokens=100)
            self.assertEqual(1, sum(len(u.requests) for u in world.upstreams))

        self.run_loop(scenario())

    def test_a_run_counts_for_its_workspace_with_its_first_event(self):
        """A request was counted twice, or not at all."""

        async def scenario():
            config = configuration(workspaces=[workspace()])
            breaking, whole = streaming(1, 9, cut=4), streaming(1, 9)
            world = await World().start(breaking, whole, config=config)
            await world.call("/resume/x", "POST", x_tokens=100, x_key="k")
            self.assertEqual({"w": 1}, world.usage.total(200))

        self.run_loop(scenario())


class MoveTest(LoopTest):
    """Play the reclaim of an engine that runs a stream."""

    def play(self, accept_copy, *, announced=True):
        async def scenario():
            stopped = asyncio.Event()
            moves = []

            async def leaving(answer):
                answer.stream()
                number = 0
                while not stopped.is_set():
                    number += 1
                    answer.event(number)
                    await asyncio.sleep(0.005)
                await asyncio.sleep(0.01)
                answer.reset()

            async def move(source, request_id, target, last):
                moves.append((source.upstream_id, request_id, last))
                if last:
                    stopped.set()
                return "copy-1"

            async def target_script(answer):
                if not accept_copy:
                    await full(answer)
                    return
                await streaming(1, 200)(answer)

            world = await World(move).start(leaving, target_script)
            world.list_upstreams()
            source, target = world.upstreams
            view = world.state.book.view
            view.replace([source.record()], world.state.clock())
            world.state.book.refresh()
            caller = await world.connect()
            caller.send("/stream/x", "POST", x_tokens=1000)
            await until(lambda: source.requests)
            leaving_record = replace(
                source.record(), leaving=True, sequence=2, leaves_in_s=1.0
            )
            listed = [leaving_record] if announced else []
            view.replace([*listed, target.record()], world.state.clock())
            world.state.book.refresh()
            reply = await caller.reply()
            return reply, moves, target

        return self.run_loop(scenario())

    def test_the_stream_goes_on_at_the_other_engine(self):
        """A stream was cut when its data centre was taken back after notice."""
        reply, moves, target = self.play(accept_copy=True)
        self.assertTrue(reply.complete)
        self.assertEqual(list(range(1, 201)), ids(reply.body))
        self.assertEqual([("u0", "r1", False), ("u0", "r1", True)], moves)
        headers = dict(target.requests[0][0].headers)
        self.assertEqual(b"copy-1", headers[b"y-copy"])

    def test_a_run_is_moved_from_an_engine_that_leaves_without_a_word(self):
        """Streams were cut whose engine's entry had gone two seconds before."""
        reply, moves, _ = self.play(accept_copy=True, announced=False)
        self.assertTrue(reply.complete)
        self.assertEqual([("u0", "r1", False), ("u0", "r1", True)], moves)

    def test_a_copy_that_is_refused_does_not_run_again(self):
        """A moved stream whose copy was refused ran again from the beginning."""
        reply, _, target = self.play(accept_copy=False)
        self.assertFalse(reply.complete)
        self.assertEqual(1, len(target.requests))
