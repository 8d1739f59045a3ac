"""Test that connections read only what the memory budget grants."""

import asyncio
import itertools
from types import SimpleNamespace
from unittest import mock

from cicadapass_decisions.passthrough import CallerLimits
from cicadapass_gateway.callerchannel import (
    FREE_READ_BYTES,
    LINGER_BYTES,
    READ_BYTES,
    CallerChannel,
    ServerState,
)
from cicadapass_gateway.httpserver import PARSED_PER_TURN, HttpServer
from cicadapass_gateway.memorybudget import (
    CONNECTION_BYTES,
    BudgetLimits,
    MemoryBudget,
    budget_limits,
)
from tests.gateway.test_httpserver import ChannelTest, FakeTransport
from tests.gateway.virtualcluster import run_virtual

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BODY_LIMIT_BYTES = 1_000_000
# Large requests may use three quarters of it.
CAPACITY_BYTES = 2_000_000


def respond_after(ended):
    """Return a handler that responds once an event is set."""

    async def respond(exchange):
        await ended.wait()
        exchange.respond(200, [], b"ok")

    return respond


def announced(body_bytes):
    """Return the head of a request with a body of this length."""
    return HEAD + f"Content-Length: {body_bytes}\r\n\r\n".encode()


class BudgetTest(ChannelTest):
    """Connect callers to a server with a small budget."""

    def start(self, respond=None, max_connections=100):
        """Return a server; `shed` records what it turns away."""

        async def ok(exchange):
            exchange.respond(200, [], str(len(exchange.body)).encode())

        self.shed = []
        self.budget = MemoryBudget(
            BudgetLimits(CAPACITY_BYTES, max_connections),
            lambda *values: self.shed.append(values),
        )
        limits = CallerLimits(max_body_bytes=BODY_LIMIT_BYTES)
        return HttpServer(ServerState(limits), respond or ok, print, self.budget)

    def open(self, server):
        """Return a new connection and its transport."""
        channel, transport = CallerChannel(server), FakeTransport()
        channel.connection_made(transport)
        return channel, transport

    def receive(self, channel, transport, data):
        """Pass data to a connection as the loop does; return how much it took."""
        taken = 0
        while taken < len(data) and not transport.paused and not transport.closed:
            buffer = channel.get_buffer(-1)
            part = data[taken : taken + len(buffer)]
            buffer[: len(part)] = part
            channel.buffer_updated(len(part))
            taken += len(part)
        return taken

    def test_a_body_over_the_limit_is_refused_at_its_head(self):
        """A body was read up to the limit although it was known to exceed it."""

        async def scenario():
            server = self.start()
            channel, transport = self.open(server)
            self.receive(channel, transport, announced(BODY_LIMIT_BYTES + 1))
            self.assertIn(b" 413 ", transport.sent)
            self.assertIn(b"connection: close", transport.sent.lower())
            transport.closed = False
            taken = self.receive(channel, transport, bytes(3 * LINGER_BYTES))
            self.assertLess(taken, LINGER_BYTES + 2 * READ_BYTES)
            self.assertTrue(transport.paused)

        run_virtual(scenario())

    def test_a_body_that_never_fits_is_refused_at_its_head(self):
        """A body within the configured limit waited for more memory than there is."""

        async def scenario():
            server = self.start()
            server.state.limits = CallerLimits()
            channel, transport = self.open(server)
            self.receive(channel, transport, announced(CAPACITY_BYTES))
            self.assertIn(b" 413 ", transport.sent)

        run_virtual(scenario())

    def test_bodies_wait_for_memory_and_stalled_ones_are_shed(self):
        """Unfinished bodies of legal size filled the memory of the node."""

        async def scenario():
            server = self.start()
            first, second = self.open(server), self.open(server)
            body = bytes(BODY_LIMIT_BYTES)
            self.receive(*first, announced(len(body)) + body[1:])
            self.assertLess(self.receive(*second, announced(len(body)) + body), 100_000)
            self.assertLess(self.budget.used_bytes, CAPACITY_BYTES)
            await self.pause(server, 0.8)
            self.assertEqual(b"", first[1].sent)
            await self.pause(server, 0.8)
            self.assertIn(b" 408 ", first[1].sent)
            self.assertFalse(second[1].paused)
            self.assertEqual("stalled", self.shed[0][0])

        run_virtual(scenario())

    def test_uploads_that_would_take_minutes_are_shed(self):
        """Callers that sent 1.2 KB a second kept 131 KB each for two minutes.

        Each of them made progress, so that requests of others were refused.
        """

        async def scenario():
            server = self.start()
            server.find_timeout = lambda headers, target: 30.0
            ordinary = self.open(server)
            self.receive(*ordinary, announced(500_000))
            crowd = [self.open(server) for _ in range(10)]
            for each in crowd:
                self.receive(*each, announced(131_000))
            sent = 0
            for _ in range(5):
                sent += self.receive(*ordinary, bytes(30_000))
                for each in crowd:
                    self.receive(*each, bytes(1100))
                await self.pause(server, 0.9)
            self.assertEqual([], self.shed)
            small = self.open(server)
            self.receive(*small, announced(120_000))
            for _ in range(4):
                sent += self.receive(*ordinary, bytes(30_000))
                for each in crowd:
                    self.receive(*each, bytes(1100))
                await self.pause(server, 0.9)
            self.receive(*small, bytes(120_000))
            self.receive(*ordinary, bytes(500_000 - sent))
            await self.pause(server, 0.1)
            self.assertIn(b" 200 ", small[1].sent)
            self.assertIn(b" 200 ", ordinary[1].sent)
            # No more are shed than the others need.
            self.assertEqual(["slow"], [reason for reason, _, _ in self.shed])
            refused = [each for _, each in crowd if b" 408 " in each.sent]
            self.assertEqual(1, len(refused))

        run_virtual(scenario())

    def test_copies_of_large_requests_leave_room_for_small_ones(self):
        """A few large requests to a slow upstream had all others refused."""

        async def scenario():
            async def respond(exchange):
                if len(exchange.body) == 900_000:
                    await asyncio.sleep(9.0)
                exchange.respond(200, [], b"ok")

            server = self.start(respond)
            copied = []
            self.budget = server.budget = MemoryBudget(
                BudgetLimits(CAPACITY_BYTES, 100),
                other_bytes=lambda: sum(copied),
                copied_bytes=lambda: sum(copied),
            )
            running, small, large = (self.open(server) for _ in range(3))
            self.receive(*running, announced(900_000) + bytes(900_000))
            # The upstream takes nothing of it.
            copied.append(1_100_000)
            self.assertGreater(self.budget.used_bytes, CAPACITY_BYTES)
            self.receive(*small, announced(72_000) + bytes(72_000))
            self.receive(*large, announced(400_000) + bytes(400_000))
            await self.pause(server, 3.5)
            self.assertIn(b" 200 ", small[1].sent)
            self.assertIn(b" 503 ", large[1].sent)

        run_virtual(scenario())

    def test_an_upload_that_pauses_for_a_second_is_kept(self):
        """A caller was refused for the rate of a time in which it paused."""

        async def scenario():
            async def respond(exchange):
                if len(exchange.body) == 800_000:
                    await asyncio.sleep(9.0)
                exchange.respond(200, [], b"ok")

            server = self.start(respond)
            server.find_timeout = lambda headers, target: 2.7
            running, ordinary, other = (self.open(server) for _ in range(3))
            self.receive(*running, announced(800_000) + bytes(800_000))
            self.receive(*ordinary, announced(600_000))
            await self.pause(server, 0.95)
            self.receive(*ordinary, bytes(60_000))
            # It waits for what the others hold.
            self.receive(*other, announced(400_000))
            for _ in range(9):
                await self.pause(server, 0.15)
                self.receive(*ordinary, bytes(60_000))
            await self.pause(server, 0.1)
            self.assertIn(b" 200 ", ordinary[1].sent)

        run_virtual(scenario())

    def test_a_request_without_memory_is_refused(self):
        """A request waited for memory that a request in progress held."""

        async def scenario():
            ended = asyncio.Event()
            respond = respond_after(ended)

            server = self.start(respond)
            first, second = self.open(server), self.open(server)
            body = bytes(BODY_LIMIT_BYTES)
            self.receive(*first, announced(len(body)) + body)
            self.receive(*second, announced(len(body)) + body)
            await self.pause(server, 4.0)
            self.assertIn(b" 503 ", second[1].sent)
            self.assertIn(b"retry-after: 2", second[1].sent.lower())
            ended.set()
            await self.pause(server, 0.1)
            self.assertIn(b" 200 ", first[1].sent)
            self.assertLessEqual(self.budget.used_bytes, 2 * CONNECTION_BYTES)

        run_virtual(scenario())

    def test_a_request_in_progress_is_not_refused_for_what_follows_it(self):
        """A request that an upstream had begun got a 503 for want of memory.

        It did once its caller sent the beginning of another request behind it.
        """

        async def scenario():
            ended = asyncio.Event()
            respond = respond_after(ended)

            server = self.start(respond)
            channel, transport = self.open(server)
            self.receive(channel, transport, announced(100_000) + bytes(100_000))
            others = [self.open(server) for _ in range(16)]
            for other in others:
                self.receive(*other, announced(105_600) + bytes(105_600))
            self.receive(channel, transport, announced(3000) + bytes(3000))
            self.assertGreater(self.budget.used_bytes + 3000, CAPACITY_BYTES)
            await self.pause(server, 4.0)
            self.assertEqual(b"", transport.sent)
            ended.set()
            await self.pause(server, 0.1)
            self.assertEqual(2, transport.sent.count(b" 200 "))
            self.assertEqual([], self.shed)

        run_virtual(scenario())

    def test_a_crowd_that_waits_is_planned_for_less_often(self):
        """Planning for 2,000 connections that wait took half of a core.

        It was done 20 times a second, however many there were.
        """

        async def scenario():
            server = self.start(max_connections=1001)
            crowd = [self.open(server) for _ in range(1000)]
            for each in crowd:
                self.receive(*each, announced(BODY_LIMIT_BYTES))
            self.assertEqual(1000, self.budget.waiting_count)
            loop = asyncio.get_running_loop()
            connection = mock.Mock(unfinished=False, unread=False, ended_unread=False)
            connection.identify.return_value = ("a", True)
            account = self.budget.open_account(connection, loop.time())
            await asyncio.sleep(0.1)
            with mock.patch.object(
                self.budget, "plan", side_effect=self.budget.plan
            ) as plan:
                for number in range(80):
                    self.budget.charge_response(account, number % 2, loop.time())
                    await asyncio.sleep(0.01)
            self.assertIn(plan.call_count, range(2, 6))

        run_virtual(scenario())

    def test_a_refusal_of_a_caller_that_has_gone_is_no_failure(self):
        """The check of the time-outs failed on a connection that had been reset."""

        async def scenario():
            server = self.start()
            channel, transport = self.open(server)
            self.receive(channel, transport, announced(9))
            transport.write_eof = mock.Mock(side_effect=OSError(107, "not connected"))
            await self.pause(server, 15.5)
            self.assertTrue(transport.closed)

        run_virtual(scenario())

    def test_an_ordinary_request_is_served_beside_a_crowd(self):
        """Unfinished bodies kept ordinary callers from being served."""

        async def scenario():
            server = self.start()
            crowd = [self.open(server) for _ in range(40)]
            chunk = b"10000\r\n" + bytes(65_536) + b"\r\n"
            for channel, transport in crowd:
                self.receive(channel, transport, CHUNKED + 3 * chunk)
            self.assertLess(self.budget.used_bytes, CAPACITY_BYTES)
            channel, transport = self.open(server)
            data = announced(72_000) + bytes(72_000)
            taken = 0
            for _ in range(40):
                taken += self.receive(channel, transport, data[taken:])
                await self.pause(server, 0.1)
            self.assertIn(b" 200 ", transport.sent)

        run_virtual(scenario())

    def test_a_chunked_body_counts_with_its_framing(self):
        """Long extensions of chunks were read without end."""

        async def scenario():
            server = self.start()
            channel, transport = self.open(server)
            self.receive(channel, transport, CHUNKED)
            chunk = b"1;" + b"e" * 4000 + b"\r\nx\r\n"
            for _ in range(4000):
                if transport.sent:
                    break
                channel.data_received(chunk)
                await asyncio.sleep(0)
            self.assertIn(b" 413 ", transport.sent)

        run_virtual(scenario())

    def test_requests_in_small_parts_are_parsed_in_turns(self):
        """Other callers waited until all of a crowd's chunks had been parsed."""

        async def scenario():
            server = self.start()
            calls = []
            for number in range(10):
                server.parse_later(lambda number=number: calls.append(number))
            seen = [0]
            while len(calls) < 10:
                await asyncio.sleep(0)
                seen.append(len(calls))
            self.assertEqual(list(range(10)), calls)
            steps = [after - before for before, after in itertools.pairwise(seen)]
            self.assertLessEqual(max(steps), PARSED_PER_TURN)

        run_virtual(scenario())

    def test_little_is_read_behind_a_request_in_progress(self):
        """Requests behind a long one filled the memory."""

        async def scenario():
            ended = asyncio.Event()
            respond = respond_after(ended)

            server = self.start(respond)
            channel, transport = self.open(server)
            self.receive(channel, transport, announced(2) + b"xx")
            self.receive(channel, transport, announced(2) + b"xx")
            taken = self.receive(channel, transport, bytes(1_000_000))
            self.assertLessEqual(taken, FREE_READ_BYTES)
            self.assertTrue(transport.paused)
            ended.set()
            await self.pause(server, 0.1)
            self.assertEqual(2, transport.sent.count(b" 200 "))

        run_virtual(scenario())

    def test_a_pause_for_want_of_memory_is_no_fault_of_the_caller(self):
        """A caller that was not read for a while was refused as too slow."""

        async def scenario():
            server = self.start()
            server.state.limits = CallerLimits(idle_timeout_s=1.0)
            channel, transport = self.open(server)
            busy = SimpleNamespace(
                unfinished=False,
                ended_unread=False,
                unread=False,
                has_unread_data=False,
                uploading=False,
                identify=lambda: ("w", True),
            )
            other = self.budget.open_account(busy, 0.0)
            self.budget.reserve(other, 1_400_000)
            self.receive(channel, transport, announced(900_000))
            await self.pause(server, 0.9)
            self.budget.close_account(other)
            await self.pause(server, 0.5)
            self.assertFalse(transport.paused)
            self.receive(channel, transport, bytes(900_000))
            await self.pause(server, 0.1)
            self.assertIn(b" 200 ", transport.sent)

        run_virtual(scenario())

    def test_responses_of_upstreams_count(self):
        """Bodies were read into memory that the responses of upstreams had taken."""
        budget = MemoryBudget(BudgetLimits(1_000_000, 10), other_bytes=lambda: 900_000)
        account = budget.open_account(SimpleNamespace(), 0.0)
        self.assertFalse(budget.reserve(account, 100_000))
        self.assertTrue(budget.reserve(account, 80_000))

    def test_callers_are_told_apart_by_their_workspaces(self):
        """A request was counted for the workspace of the one before it."""

        async def scenario():
            server = self.start()
            server.identify = lambda headers: "w" if (b"key", b"w") in headers else None
            channel, transport = self.open(server)
            self.receive(channel, transport, announced(2)[:-2] + b"key: w\r\n\r\n")
            self.assertEqual(("w", True), channel.identify())
            self.receive(channel, transport, b"xx")
            await self.pause(server, 0.1)
            self.receive(channel, transport, announced(2))
            self.assertEqual(("", False), channel.identify())

        run_virtual(scenario())

    def test_idle_connections_make_room_for_new_ones(self):
        """A crowd of idle connections kept all others away."""

        async def scenario():
            server = self.start(max_connections=4)
            idle = [self.open(server) for _ in range(4)]
            await self.pause(server, 0.1)
            channel, transport = self.open(server)
            self.assertTrue(idle[0][1].closed)
            self.assertEqual([False] * 3, [each[1].closed for each in idle[1:]])
            self.receive(channel, transport, announced(2) + b"xx")
            await self.pause(server, 0.1)
            self.assertIn(b" 200 ", transport.sent)
            self.assertEqual(4, self.budget.connection_count)

        run_virtual(scenario())

    def test_requests_in_progress_are_not_closed_for_new_connections(self):
        """A request in progress was broken off when too many callers came."""

        async def scenario():
            async def respond(exchange):
                await asyncio.sleep(1.0)
                exchange.respond(200, [], b"ok")

            server = self.start(respond, max_connections=4)
            busy = [self.open(server) for _ in range(4)]
            for channel, transport in busy:
                self.receive(channel, transport, announced(2) + b"xx")
            _, refused = self.open(server)
            self.assertTrue(refused.closed)
            await self.pause(server, 1.5)
            for _, transport in busy:
                self.assertIn(b" 200 ", transport.sent)

        run_virtual(scenario())

    def respond_unread(self, server, unsent_bytes):
        """Return a connection whose caller does not take its response."""
        channel, transport = self.open(server)
        transport.get_write_buffer_size = lambda: transport.unsent_bytes
        transport.unsent_bytes = unsent_bytes
        self.receive(channel, transport, announced(2) + b"xx")
        channel.pause_writing()
        return channel, transport

    def test_responses_that_are_not_read_are_accounted_for(self):
        """Callers that read no response filled the memory of the node."""

        async def scenario():
            server = self.start()
            unread = [self.respond_unread(server, 900_000) for _ in range(4)]
            self.assertGreater(self.budget.used_bytes, CAPACITY_BYTES)
            await self.pause(server, 0.9)
            unread[3][1].unsent_bytes -= 1000
            await self.pause(server, 0.5)
            closed = [transport.closed for _, transport in unread]
            self.assertEqual([True, True, False, False], closed)
            self.assertEqual("unread", self.shed[0][0])

        run_virtual(scenario())

    def test_a_response_without_progress_is_given_up(self):
        """A connection whose caller read nothing stayed open forever."""

        async def scenario():
            server = self.start()
            _, slow = self.respond_unread(server, 500_000)
            _, stopped = self.respond_unread(server, 500_000)
            await self.pause(server, 10.0)
            slow.unsent_bytes -= 1
            await self.pause(server, 10.0)
            self.assertEqual((False, True), (slow.closed, stopped.closed))

        run_virtual(scenario())

    def test_the_next_request_waits_until_a_response_is_read(self):
        """Pipelined requests filled the memory with responses that nobody read."""

        async def scenario():
            server = self.start()
            channel, transport = self.respond_unread(server, 500_000)
            channel.data_received(announced(2) + b"xx")
            await self.pause(server, 0.5)
            self.assertEqual(1, transport.sent.count(b" 200 "))
            self.assertTrue(transport.paused)
            channel.resume_writing()
            await self.pause(server, 0.1)
            self.assertEqual(2, transport.sent.count(b" 200 "))
            self.assertEqual(CONNECTION_BYTES, self.budget.used_bytes)

        run_virtual(scenario())

    def test_the_limits_follow_from_the_virtual_machine(self):
        """A node of a small VM accepted as much as one of a large VM."""
        limits = budget_limits(200.0, 400)
        self.assertEqual(BudgetLimits(30_000_000, 200), limits)
        self.assertEqual(16, budget_limits(1.0, 100).max_connections)
