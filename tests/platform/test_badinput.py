"""Test that invalid input raises only expected errors and does not stop a node."""

import asyncio
import contextlib
import json
import random

import cbor2

from cicadapass_decisions.ratelimit import LimitTolerance, RateLimiter
from cicadapass_decisions.routetable import RouteTable
from cicadapass_platform.documents import decode_configuration, decode_upstream
from cicadapass_platform.headers import decode_call, decode_response
from cicadapass_platform.store import decode_changes
from tests.gateway.harness import HOST, GatewayHarness, LoopTest
from tests.gateway.test_peers import Node as PeerNode
from tests.platform.test_documents import DOCUMENT, ENTRY

SEED = 20261204
ROUNDS = 300
VALUES = (None, True, -1, 1.5, "", "x", [], {}, 10**30, "é")


def mutate(rng, value):
    """Return a copy of a document with one value replaced or removed."""
    if isinstance(value, dict) and value and rng.random() < 0.8:
        key = rng.choice(sorted(value))
        if rng.random() < 0.2:
            return {k: v for k, v in value.items() if k != key}
        return {**value, key: mutate(rng, value[key])}
    if isinstance(value, list) and value and rng.random() < 0.8:
        index = rng.randrange(len(value))
        return [*value[:index], mutate(rng, value[index]), *value[index + 1 :]]
    return rng.choice(VALUES)


def corrupt(rng, data):
    """Return a copy of the bytes with 1 to 4 spots changed, removed or repeated."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        index = rng.randrange(len(changed))
        action = rng.randrange(3)
        if action == 0:
            changed[index] = rng.randrange(256)
        elif action == 1:
            del changed[index : index + rng.randint(1, 9)]
        else:
            changed[index:index] = changed[index : index + rng.randint(1, 9)]
        if not changed:
            return b"\0"
    return bytes(changed)


class DocumentTest(LoopTest):
    def test_documents_raise_only_decoding_errors(self):
        """An invalid document stopped a component of the node."""
        rng = random.Random(SEED)
        for _ in range(ROUNDS):
            data = json.dumps(mutate(rng, DOCUMENT)).encode()
            with contextlib.suppress(ValueError):
                decode_configuration(data)
            entry = json.dumps(mutate(rng, ENTRY)).encode()
            decode_upstream("i-1", entry)
            decode_upstream("i-1", corrupt(rng, entry))

    def test_decoded_configurations_can_be_used(self):
        """A value that was decoded raised in the route table or in a rate limit."""
        rng = random.Random(SEED)
        used = 0
        for _ in range(10 * ROUNDS):
            try:
                data = json.dumps(mutate(rng, DOCUMENT)).encode()
                configuration = decode_configuration(data)
            except ValueError:
                continue
            used += 1
            RouteTable(configuration).match("h", "/p/x", "k1", rng)
            limiter = RateLimiter(8.0, 0.0, LimitTolerance(), rng)
            for each in configuration.workspaces:
                limiter.admit(each.name, each.rate_per_s, each.burst, 1.0, 1.0)
            cbor2.dumps([dict(limiter.totals()), configuration.version])
        self.assertGreater(used, ROUNDS)

    def test_reads_never_raise(self):
        """A corrupt response to a read stopped the reader."""
        rng = random.Random(SEED)
        for _ in range(ROUNDS):
            decode_changes(rng.randbytes(rng.randrange(80)), 5)

    def test_headers_never_raise(self):
        """A malformed header of a caller or an upstream raised an unhandled error."""
        rng = random.Random(SEED)
        names = (
            b"Token-Usage",
            b"Prefix-Hash",
            b"Request-Deadline",
            b"Length-Hint",
            b"Authorization",
            b"Engine-Load",
            b"Connection",
        )
        for _ in range(ROUNDS):
            value = rng.choice((b"1,2", b"nan", b"1e400", b"\xb2,\xb2", b":,:", b"-3"))
            headers = [(rng.choice(names), corrupt(rng, value)) for _ in range(3)]
            decode_call(headers)
            decode_response(200, headers)


class PortTest(LoopTest):
    def test_corrupt_requests_cause_no_fault(self):
        """A corrupt request of one caller caused failures for others."""
        rng = random.Random(SEED)
        request = (
            b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nx-id: r9\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        )

        async def ok(answer):
            answer.respond()

        async def scenario():
            world = await GatewayHarness().start(ok)
            for _ in range(ROUNDS):
                reader, writer = await asyncio.open_connection(HOST, world.server.port)
                writer.write(corrupt(rng, request))
                writer.write_eof()
                await reader.read()
                writer.close()
            self.assertEqual([], world.errors)
            self.assertEqual(200, (await world.call("/safe/x")).status)

        self.run_loop(scenario())

    def test_truncated_answers_are_never_relayed_as_complete(self):
        """A truncated answer was relayed to a caller as a success."""
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\ncontent-length: 14"
        whole = head + b"\r\n\r\nthe whole body"
        lengths = iter(range(len(whole)))

        async def truncate(answer):
            answer.send(whole[: next(lengths)])
            answer._writer.close()

        async def scenario():
            world = await GatewayHarness().start(truncate)
            for _ in range(len(whole)):
                reply = await world.call("/unsafe/x", "POST", x_limit="5")
                self.assertEqual(502, reply.status)
            self.assertEqual([], world.errors)

        self.run_loop(scenario())

    def test_corrupt_answers_cause_no_fault(self):
        """A corrupt answer of an upstream raised an unhandled error in the node."""
        rng = random.Random(SEED)
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\ncontent-length: 14"

        async def send_corrupt(answer):
            answer.send(corrupt(rng, head) + b"\r\n\r\nthe whole body")
            answer._writer.close()

        async def scenario():
            world = await GatewayHarness().start(send_corrupt)
            for _ in range(ROUNDS // 3):
                reply = await world.call("/unsafe/x", "POST", x_limit="5")
                self.assertNotIn(reply.status, (0, 408, 421, 429, 503))
            self.assertEqual([], world.errors)

        self.run_loop(scenario())

    def test_corrupt_datagrams_are_ignored(self):
        """A corrupt datagram stopped the exchange of messages between nodes."""
        rng = random.Random(SEED)

        async def scenario():
            node = await PeerNode("a").start()
            other = await PeerNode("b").start()
            message = cbor2.dumps(other.peers._encode(1.0))
            for _ in range(ROUNDS):
                node.peers.datagram_received(corrupt(rng, message), ("127.0.0.1", 9))
            node.peers.send_state()

        self.run_loop(scenario())
