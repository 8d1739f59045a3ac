"""Test that a node that stops answers the requests that it has accepted."""

import asyncio

import testtools

from cicadapass_decisions.passthrough import CallerLimits, Prompt, UpstreamRecord
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_gateway.httpserver import CallerChannel, HttpServer, ServerState
from cicadapass_gateway.migrator import Migrator
from cicadapass_gateway.node import drain
from cicadapass_gateway.registrysync import periodic
from cicadapass_gateway.relay import Relay
from cicadapass_gateway.usage import UsageCounter
from tests.gateway.harness import (
    HEADER_CODEC,
    MemoryRegistry,
    configuration,
    make_state,
    make_stream_versions,
    refuse_migration,
)
from tests.gateway.test_httpserver import FakeTransport
from tests.gateway.virtualcluster import run_virtual

GRACE_S = 8.0
REQUEST = b"GET /safe/ HTTP/1.1\r\nHost: h\r\nx-id: r1\r\n\r\n"


def start_node():
    """Return a node's state and server, with one upstream that has no free slot."""
    state = make_state()
    record = UpstreamRecord("u0", "s", "127.0.0.1", 1, "dc-a", 1, False, 1, 1)
    state.adopt(configuration(timeout_s=30.0), b"raw")
    state.upstreams.view.replace([record], state.clock())
    state.upstreams.refresh()
    # Plain services accept twice as many requests as they have slots.
    for _ in range(4):
        state.upstreams.begin(record, Prompt(), 0.0, state.clock())
    migrator = Migrator(state, refuse_migration)
    usage = UsageCounter(5.0, lambda: 1000.0)
    versions = make_stream_versions(state, MemoryRegistry())
    relay = Relay(state, HEADER_CODEC, ClientPool(), usage, migrator, versions)
    server = HttpServer(ServerState(CallerLimits()), relay.handle, lambda error: None)
    return state, server


def connect(server):
    """Return a connection of a caller and its transport."""
    channel, transport = CallerChannel(server), FakeTransport()
    channel.connection_made(transport)
    return channel, transport


class DrainTest(testtools.TestCase):
    def test_queued_requests_are_refused_before_the_process_ends(self):
        """A request that waited for an upstream at the end got no answer."""

        async def scenario():
            state, server = start_node()
            dispatch = asyncio.ensure_future(periodic(state.queue.dispatch, 0.03)())
            channel, transport = connect(server)
            channel.data_received(REQUEST)
            await asyncio.sleep(0.1)
            self.assertEqual(1, state.queue.waiting_count)
            began_s = state.clock()
            unfinished = await drain(state, server, GRACE_S)
            self.assertLess(state.clock() - began_s, GRACE_S)
            self.assertIn(b" 503 ", transport.sent)
            self.assertIn(b"Retry-After", transport.sent)
            self.assertEqual(0, unfinished)
            dispatch.cancel()

        run_virtual(scenario())

    def test_queued_requests_are_not_sent_late_in_the_grace_period(self):
        """A request was sent just before the process ended, and cut.

        The upstream gets free three quarters into the grace period.
        """

        async def scenario():
            state, server = start_node()
            dispatch = asyncio.create_task(periodic(state.queue.dispatch, 0.03)())
            channel, transport = connect(server)
            channel.data_received(REQUEST)
            await asyncio.sleep(0.1)
            draining = asyncio.create_task(drain(state, server, GRACE_S))
            await asyncio.sleep(0.75 * GRACE_S)
            self.assertIn(b" 503 ", transport.sent)
            self.assertIn(b"Retry-After", transport.sent)
            self.assertEqual(0, state.queue.waiting_count)
            self.assertEqual(0, await draining)
            dispatch.cancel()

        run_virtual(scenario())

    def test_a_short_grace_period_leaves_time_for_what_is_accepted(self):
        """With a grace period of 3 s, requests were accepted until its end."""

        async def scenario():
            state, server = start_node()
            draining = asyncio.create_task(drain(state, server, 3.0))
            await asyncio.sleep(1.2)
            self.assertFalse(state.accepts_requests)
            await draining

        run_virtual(scenario())
