"""Test that chunked bodies are parsed as strictly as by h11."""

import gc
import random
import weakref

import h11
import testtools

from cicadapass_gateway.chunkedbody import SLICE_BYTES, ChunkedBody
from cicadapass_gateway.exceptions import AnswerBroken

MAX_FRAMING_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
# Sound and malformed parts of chunked bodies.
PARTS = (
    b"5\r\nabcde\r\n",
    b"5\r\nabcde\r\n",
    b"A;name=value\r\n0123456789\r\n",
    b"0\r\n\r\n",
    b"0\r\nx: y\r\n\r\n",
    b"0\r\nx y\r\n\r\n",
    b"0\n\n",
    b"5\nabcde\n",
    b"4\r\nabcde\r\n",
    b"6\r\nabcde\r\n",
    b"-5\r\nabcde\r\n",
    b"+5\r\nabcde\r\n",
    b" 5\r\nabcde\r\n",
    b"0x5\r\nabcde\r\n",
    b"5 \r\nabcde\r\n",
    b"g\r\n",
    b"\r\n",
    b"fffffffffffffffff\r\na",
    b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na",
    b"a",
)


def by_h11(data):
    """Return the data, whether the body ended and what follows; None if invalid."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_FRAMING_BYTES)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "u")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(HEAD + data)
    body = b""
    try:
        while (event := parser.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.EndOfMessage):
                return body, True, bool(parser.trailing_data[0])
            body += bytes(event.data) if isinstance(event, h11.Data) else b""
    except h11.RemoteProtocolError:
        return None
    return body, False, False


def by_chunked_body(pieces):
    """Return the same of bytes that arrive in pieces."""
    parser, body = ChunkedBody(MAX_FRAMING_BYTES), b""
    try:
        for piece in pieces:
            parser.receive(piece)
            while (data := parser.take()) is not None:
                body += data
    except AnswerBroken:
        return None
    return body, parser.complete, parser.complete and parser.has_trailing_data


def cut(rng, data):
    """Return the data in pieces."""
    pieces = []
    while data:
        size = rng.choice((1, 2, 7, len(data)))
        pieces.append(data[:size])
        data = data[size:]
    return pieces


class ChunkedBodyTest(testtools.TestCase):
    def test_nothing_is_accepted_that_h11_rejects(self):
        """Malformed framing hid a second response, or a cut body looked whole.

        What is accepted has the same data, end and trailing bytes, however it is cut.
        """
        outcomes = set()
        for seed in range(4000):
            rng = random.Random(seed)
            data = b"".join(rng.choices(PARTS, k=rng.randrange(1, 6)))
            if rng.random() < 0.3:
                position = rng.randrange(len(data))
                data = (
                    data[:position]
                    + rng.choice((b"", b"\0", b"\r"))
                    + (data[position + 1 :])
                )
            parsed = by_chunked_body(cut(rng, data))
            if parsed is not None:
                self.assertEqual(by_h11(data), parsed, data)
                outcomes.add(parsed[1:])
        self.assertEqual({(False, False), (True, False), (True, True)}, outcomes)

    def test_sound_bodies_are_accepted(self):
        """Each chunk that an upstream may write was rejected."""
        for part in PARTS[:5]:
            expected = by_h11(part)
            self.assertIsNotNone(expected)
            for seed in range(20):
                pieces = cut(random.Random(seed), part)
                self.assertEqual(expected, by_chunked_body(pieces))

    def test_a_chunk_is_one_part_unless_it_arrives_in_several(self):
        """An upstream's chunks counted twice against its number of parts."""
        parser = ChunkedBody(MAX_FRAMING_BYTES)
        parser.receive(b"5\r\nabcde\r\n3\r\nab")
        self.assertEqual([b"abcde", b"ab"], [parser.take(), parser.take()])
        self.assertIsNone(parser.take())
        parser.receive(b"c\r\n0\r\n\r\n")
        self.assertEqual(b"c", parser.take())
        self.assertFalse(parser.complete and parser.has_trailing_data)

    def test_lines_between_chunks_are_bounded(self):
        """Endless extensions or trailers filled the memory or ran for ever."""
        for start, more in (
            (b"5;", b"x" * 1000),
            (b"0\r\n", b"x: y\r\n" * 200),
            (b"5\r\nabcde\r\n0\r\nx: ", b"y" * 1000),
        ):
            parser, taken = ChunkedBody(MAX_FRAMING_BYTES), []

            def receive(data, parser=parser, taken=taken):
                parser.receive(data)
                while (chunk := parser.take()) is not None:
                    taken.append(chunk)

            receive(start)
            with self.assertRaises(AnswerBroken):
                for _ in range(MAX_FRAMING_BYTES // len(more) + 2):
                    receive(more)

    def test_a_long_read_is_parsed_in_slices(self):
        """One read of tiny chunks held up all other connections."""
        parser = ChunkedBody(MAX_FRAMING_BYTES)
        parser.receive(b"1\r\na\r\n" * SLICE_BYTES)
        self.assertEqual(b"a", parser.take())
        self.assertLess(len(parser._chunks.data), SLICE_BYTES / 6)
        self.assertTrue(parser._received)

    def test_a_body_is_freed_with_its_last_reference(self):
        """Bodies stayed in memory until the garbage collector ran."""
        parser = ChunkedBody(MAX_FRAMING_BYTES)
        parser.receive(PARTS[0])
        parser.take()
        reference = weakref.ref(parser)
        gc.disable()
        self.addCleanup(gc.enable)
        del parser
        self.assertIsNone(reference())
