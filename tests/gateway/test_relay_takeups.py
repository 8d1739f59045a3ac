"""Test that streams taken up after the end of a node go on at their version alone."""

import asyncio
from dataclasses import replace

import cbor2

from cicadapass_decisions.streamversions import Stream
from cicadapass_gateway.exceptions import DECODE_ERRORS
from cicadapass_gateway.streamrecords import (
    LimitRecord,
    decode_limit,
    decode_versions,
    encode_limit,
)
from tests.gateway.harness import GatewayHarness, LoopTest, configuration, until
from tests.gateway.test_relay_versions import go_on, list_engines

VERSIONS = ("v1", "v2", "v1", "v2")
STREAMS = 12
# Enough for the engines to be used in turn.
TOKENS = 4000


async def begin(response):
    """Write two events of a stream, which goes on until its caller leaves."""
    if b"x-after" in response.headers:
        response.headers[b"y-after"] = response.headers[b"x-after"]
        await go_on(response)
        return
    response.stream()
    response.event(1)
    response.event(2)
    await response.until_closed()


async def start(versions=VERSIONS, scripts=(begin,) * 4):
    """Return a gateway that records streams, with an engine of each version."""
    gateway = await GatewayHarness().start(*scripts)
    list_engines(gateway, versions)
    gateway.follow_streams()
    return gateway


async def restart(gateway, versions=VERSIONS):
    """Kill a gateway and return another one, which knows what the log has."""
    gateway.end()
    new = await GatewayHarness(registry=gateway.registry).start()
    new.upstreams = gateway.upstreams
    list_engines(new, versions)
    new.follow_streams()
    return new


def load(gateway, version):
    """Report that the engines of a version are busy with requests of a peer."""
    busy = {}
    for engine, each in zip(gateway.upstreams, VERSIONS, strict=True):
        gateway.state.upstreams.meter(engine.record())
        if each == version:
            busy[engine.name] = (20, 60_000)
    gateway.state.upstreams.apply_load("peer", busy, gateway.state.clock())


async def begin_streams(gateway, count=STREAMS):
    """Begin streams and wait until their first events are delivered."""
    for number in range(count):
        caller = await gateway.connect()
        caller.send("/resume/a", "POST", x_id=f"s{number}", x_tokens=TOKENS)
        await caller.head()
    return engines_by_request(gateway)


def engines_by_request(gateway):
    """Return the engines that got a request, by its id."""
    return {
        dict(request.headers)[b"x-id"].decode(): number
        for number, engine in enumerate(gateway.upstreams)
        for request, _ in engine.requests
    }


async def take_up(gateway, number, attempt=0):
    """Take a stream up and return the reply and the engine that got it, if any."""
    name = f"t{attempt}-{number}"
    reply = await gateway.call(
        "/resume/a",
        "POST",
        x_id=name,
        x_after="2",
        x_resumes=f"s{number}",
        x_tokens=TOKENS,
    )
    return reply, engines_by_request(gateway).get(name)


def adopt(gateway, **changes):
    """Apply a newer configuration, whose route of streams is changed."""
    newer = configuration(version=gateway.state.version + 1)
    routes = [
        replace(each, **changes) if each.name == "resume" else each
        for each in newer.routes
    ]
    newer = replace(newer, routes=tuple(routes))
    gateway.state.adopt(newer, b"")


def recorded(gateway):
    """Return the number of batches of streams in the log."""
    return len(gateway.registry.logs.get("streams", []))


class TakeUpTest(LoopTest):
    def test_take_ups_after_a_kill_join_two_versions(self):
        """After a kill of all nodes, streams went on at any version."""

        async def scenario():
            gateway = await start()
            load(gateway, "v1")
            began = await begin_streams(gateway)
            self.assertEqual({"v2"}, {VERSIONS[engine] for engine in began.values()})
            versions = gateway.stream_versions
            await until(lambda: recorded(gateway) and not versions._unrecorded)
            gateway = await restart(gateway)
            load(gateway, "v2")
            for number in range(STREAMS):
                reply, engine = await take_up(gateway, number)
                self.assertEqual((200, True), (reply.status, reply.complete))
                self.assertEqual("v2", VERSIONS[engine], number)

        self.run_loop(scenario())

    def test_a_stream_that_no_record_names_is_joined(self):
        """A stream of an unknown version went on at any one."""

        async def scenario():
            gateway = await start()
            await until(lambda: gateway.registry.logs.get("versions"))
            reply, engine = await take_up(gateway, 99)
            self.assertEqual((503, None), (reply.status, engine))
            self.assertIn(b"retry-after", reply.headers)
            # The id of the first attempt may be missing as well.
            reply = await gateway.call("/resume/a", "POST", x_after="2")
            self.assertEqual(503, reply.status)

        self.run_loop(scenario())

    def test_a_service_of_one_version_needs_no_records(self):
        """Streams were recorded and refused although one version alone had served."""

        async def scenario():
            versions = ("v1",) * 4
            gateway = await start(versions)
            await until(lambda: gateway.registry.logs.get("versions"))
            await begin_streams(gateway, 3)
            gateway = await restart(gateway, versions)
            for number in (0, 1, 2, 99):
                reply, _ = await take_up(gateway, number)
                self.assertEqual((200, True), (reply.status, reply.complete))
            self.assertEqual(0, recorded(gateway))

        self.run_loop(scenario())

    def test_a_version_that_was_replaced_meanwhile_is_joined(self):
        """Streams of a version without engines went on at the one that replaced it."""

        async def scenario():
            gateway = await start(("v1",) * 4)
            await until(lambda: gateway.registry.logs.get("versions"))
            await begin_streams(gateway, 3)
            gateway = await restart(gateway, ("v2",) * 4)
            for number in range(3):
                reply, engine = await take_up(gateway, number)
                self.assertEqual((503, None), (reply.status, engine))

        self.run_loop(scenario())

    def test_streams_from_before_a_second_version_are_not_known(self):
        """Streams that began while one version served were refused after a kill."""

        async def scenario():
            gateway = await start(("v1",) * 4)
            await until(lambda: gateway.registry.logs.get("versions"))
            await begin_streams(gateway, 4)
            list_engines(gateway, ("v1", "v1", "v2", "v2"))
            await until(lambda: recorded(gateway))
            gateway = await restart(gateway, ("v1", "v1", "v2", "v2"))
            for number in range(4):
                reply, engine = await take_up(gateway, number)
                self.assertEqual(200, reply.status)
                self.assertIn(engine, (0, 1), number)

        self.run_loop(scenario())

    def test_a_take_up_without_the_log_is_joined(self):
        """A node that could not read the log chose any version."""

        async def scenario():
            gateway = await start()
            await begin_streams(gateway, 2)
            await until(lambda: recorded(gateway))
            gateway.registry.down = True
            gateway = await restart(gateway)
            reply, engine = await take_up(gateway, 0)
            self.assertEqual((503, None), (reply.status, engine))
            gateway.registry.down = False
            reply, _ = await take_up(gateway, 0, attempt=1)
            self.assertEqual(200, reply.status)

        self.run_loop(scenario())

    def test_records_that_the_registry_lost_are_not_written_again(self):
        """After a return from a copy, the streams that last were in no record."""

        async def scenario():
            gateway = await start()
            gateway.registry.era_number = 1
            await until(lambda: gateway.registry.logs.get("versions"))
            copy = gateway.registry.copy()
            began = await begin_streams(gateway, 4)
            await until(lambda: recorded(gateway))
            gateway.registry.return_from(copy)
            gateway.registry.era.raise_to(2, "test")
            await until(lambda: recorded(gateway))
            await asyncio.sleep(0)
            gateway = await restart(gateway)
            for number in (1, 2, 3, 0):
                reply, engine = await take_up(gateway, number)
                self.assertEqual(200, reply.status)
                before = VERSIONS[began[f"s{number}"]]
                self.assertEqual(before, VERSIONS[engine], number)

        self.run_loop(scenario())

    def test_a_route_that_is_no_longer_resumable_joins_two_versions(self):
        """Streams from before a change of their route went on at any version."""

        async def scenario():
            gateway = await start()
            load(gateway, "v1")
            await begin_streams(gateway)
            versions = gateway.stream_versions
            await until(lambda: recorded(gateway) and not versions._unrecorded)
            adopt(gateway, resumable=False)
            load(gateway, "v2")
            for number in range(STREAMS):
                reply, engine = await take_up(gateway, number)
                self.assertEqual(200, reply.status)
                self.assertEqual("v2", VERSIONS[engine], number)
            # Streams that begin meanwhile may be taken up once it is resumable again.
            caller = await gateway.connect()
            caller.send("/resume/a", "POST", x_id="u", x_tokens=TOKENS)
            await caller.head()
            service = next(iter(gateway.version_knowledge.limits.services()))
            self.assertIsNotNone(versions._indexed(Stream(service, "u")))

        self.run_loop(scenario())

    def test_a_caller_that_states_more_than_its_route_is_forgotten(self):
        """The time-out of the route counted for a caller that comes back later."""

        async def scenario():
            gateway = await start()
            limits = gateway.version_knowledge.limits
            before_s = limits.longest_s("s")
            caller = await gateway.connect()
            caller.send("/resume/a", "POST", x_id="s0", x_limit=30, x_tokens=TOKENS)
            await caller.head()
            self.assertEqual(10.0, before_s)
            self.assertEqual(30.0, limits.longest_s("s"))

        self.run_loop(scenario())

    def test_malformed_rows_of_a_peer_are_declared(self):
        """A malformed message of a peer ended the part that receives datagrams."""

        async def scenario():
            gateway = await start()
            for rows in (None, 3, [[1]], [["s", 1, ["a"]]], [["s", "v", [2]]]):
                self.assertRaises(DECODE_ERRORS, gateway.stream_versions.accept, rows)
            merge = gateway.version_knowledge.limits.merge
            for rows in (None, 3, {"s": 3}, {"s": [[1]]}, {"s": [["a", 2]]}):
                self.assertRaises(DECODE_ERRORS, merge, rows)
            for data in (b"", b"\xff", cbor2.dumps([1]), cbor2.dumps(["a", 0])):
                self.assertIsNone(decode_limit(data))
            # Earlier builds decode all records of the topic as versions.
            self.assertIsNone(decode_versions(encode_limit(LimitRecord(15.0, 1))))

        self.run_loop(scenario())
