"""Test that bad input at every port is an error and loses nothing."""

import asyncio
import contextlib
import json
import random

import cbor2

from cicadapass_platform.documents import decode_configuration, decode_upstream
from cicadapass_platform.headers import decode_answer, decode_call
from cicadapass_platform.store import decode_changes
from tests.gateway.harness import HOST, GatewayHarness, LoopTest
from tests.gateway.test_peers import Node as PeerNode
from tests.platform.test_documents import DOCUMENT, ENTRY

SEED = 20261204
ROUNDS = 300
VALUES = (None, True, -1, 1.5, "", "x", [], {}, 10**30, "é")


def mutated(rng, value):
    """Return a copy of a document with one place changed or dropped."""
    if isinstance(value, dict) and value and rng.random() < 0.8:
        key = rng.choice(sorted(value))
        if rng.random() < 0.2:
            return {k: v for k, v in value.items() if k != key}
        return {**value, key: mutated(rng, value[key])}
    if isinstance(value, list) and value and rng.random() < 0.8:
        place = rng.randrange(len(value))
        return [*value[:place], mutated(rng, value[place]), *value[place + 1 :]]
    return rng.choice(VALUES)


def garbled(rng, data):
    """Return bytes with some places changed, cut or doubled."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        place = rng.randrange(len(changed))
        action = rng.randrange(3)
        if action == 0:
            changed[place] = rng.randrange(256)
        elif action == 1:
            del changed[place : place + rng.randint(1, 9)]
        else:
            changed[place:place] = changed[place : place + rng.randint(1, 9)]
        if not changed:
            return b"\0"
    return bytes(changed)


class DocumentTest(LoopTest):
    def test_no_document_raises_anything_else(self):
        """A stray document ended a part of the node."""
        rng = random.Random(SEED)
        for _ in range(ROUNDS):
            data = json.dumps(mutated(rng, DOCUMENT)).encode()
            with contextlib.suppress(KeyError, TypeError, ValueError, AttributeError):
                decode_configuration(data)
            entry = json.dumps(mutated(rng, ENTRY)).encode()
            decode_upstream("i-1", entry)
            decode_upstream("i-1", garbled(rng, entry))

    def test_no_read_raises(self):
        """A read that was garbled on the way ended the reader."""
        rng = random.Random(SEED)
        for _ in range(ROUNDS):
            decode_changes(rng.randbytes(rng.randrange(80)), 5)

    def test_no_header_raises(self):
        """A malformed header of a caller or an upstream was a fault of the node."""
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
            headers = [(rng.choice(names), garbled(rng, value)) for _ in range(3)]
            decode_call(headers)
            decode_answer(200, headers)


class PortTest(LoopTest):
    def test_garbled_requests_leave_the_server_whole(self):
        """A broken request of one caller was a fault for others."""
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
                writer.write(garbled(rng, request))
                writer.write_eof()
                await reader.read()
                writer.close()
            self.assertEqual([], world.errors)
            self.assertEqual(200, (await world.call("/safe/x")).status)

        self.run_loop(scenario())

    def test_answers_cut_anywhere_are_never_passed_on_as_whole(self):
        """A part of an answer reached a caller as a success."""
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\ncontent-length: 14"
        whole = head + b"\r\n\r\nthe whole body"
        cuts = iter(range(len(whole)))

        async def cut(answer):
            answer.send(whole[: next(cuts)])
            answer._writer.close()

        async def scenario():
            world = await GatewayHarness().start(cut)
            for _ in range(len(whole)):
                reply = await world.call("/unsafe/x", "POST", x_limit="5")
                self.assertEqual(502, reply.status)
            self.assertEqual([], world.errors)

        self.run_loop(scenario())

    def test_garbled_answers_are_no_fault_of_the_node(self):
        """An upstream's broken answer ended the request with a fault."""
        rng = random.Random(SEED)
        head = b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: 1\r\ncontent-length: 14"

        async def garble(answer):
            answer.send(garbled(rng, head) + b"\r\n\r\nthe whole body")
            answer._writer.close()

        async def scenario():
            world = await GatewayHarness().start(garble)
            for _ in range(ROUNDS // 3):
                reply = await world.call("/unsafe/x", "POST", x_limit="5")
                self.assertNotIn(reply.status, (0, 408, 421, 429, 503))
            self.assertEqual([], world.errors)

        self.run_loop(scenario())

    def test_garbled_datagrams_change_nothing(self):
        """A stray datagram ended the exchange between nodes."""
        rng = random.Random(SEED)

        async def scenario():
            node = await PeerNode("a").start()
            other = await PeerNode("b").start()
            message = cbor2.dumps(other.peers._encode(1.0))
            for _ in range(ROUNDS):
                node.peers.datagram_received(garbled(rng, message), ("127.0.0.1", 9))
            node.peers.send_state()

        self.run_loop(scenario())
