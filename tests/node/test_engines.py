"""Test the parsing and the failures of engines' token streams."""

import json

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass.engines import EngineClient, GenerateCall
from cicadapass.streamloop import StreamLoop
from cicadapass.upstreamhttp import Timeouts, new_pool
from tests.node.rawupstream import RawUpstream, free_port_url

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST = b"0\r\n\r\n"
CALL = GenerateCall("r", 1, "m", "p", 4, 0, 0)
TOKENS = ['{"i": 0, "t": "a"}', '{"i": 1, "t": "b"}']
DONE = '{"done": true, "tokens": 2}'


def _chunk(text):
    data = text.encode()
    return b"%x\r\n%b\r\n" % (len(data), data)


def _chunks(lines):
    return b"".join(_chunk(line + "\n") for line in lines)


class EngineTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = StreamLoop()
        self.loop.start()
        self.addCleanup(self.loop.stop)

    def _generate(self, script, loop):
        upstream = RawUpstream(script)
        self.addCleanup(upstream.close)
        client = EngineClient(new_pool(2), Timeouts(1.0, 0.5), loop)
        return client.generate(upstream.url, CALL)

    def _run(self, script, loop):
        """Read a stream; return its texts and its failure, or None."""
        texts = []
        ended = []

        def on_batch(batch):
            self.assertIn(batch.first_index, (0, len(texts)))
            texts.extend(batch.texts)
            ended.append(batch.done)
            return True

        stream = self._generate(script, loop).ok
        failure = stream.run(on_batch, 0.5)
        stream.close()
        self.assertEqual(failure is None, bool(ended) and ended[-1])
        return texts, failure

    def _assert_fails(self, script):
        for loop in (None, self.loop):
            _, failure = self._run(script, loop)
            self.assertTrue(failure.sent, script)
            self.assertFalse(failure.refused)

    def test_a_complete_stream_ends_without_failure(self):
        """Blocking reads and the stream loop must both find the end."""
        for loop in (None, self.loop):
            texts, failure = self._run(HEAD + _chunks([*TOKENS, DONE]) + LAST, loop)
            self.assertEqual((["a", "b"], None), (texts, failure))

    def test_a_cut_stream_fails(self):
        """A stream that ends before its last line must be reported as failed."""
        for end in (b"", LAST, b"5\r\n{", _chunk('{"done": true')):
            self._assert_fails(HEAD + _chunks(TOKENS) + end)

    def test_a_silent_engine_fails(self):
        """An engine that sends no response must fail the call by a timeout."""
        client = EngineClient(new_pool(2), Timeouts(1.0, 0.3))
        upstream = RawUpstream(RawUpstream.SILENT)
        self.addCleanup(upstream.close)
        failure = client.generate(upstream.url, CALL).error
        self.assertTrue(failure.sent)
        self.assertTrue(failure.timed_out)

    def test_malformed_lines_fail_the_attempt_only(self):
        """Malformed lines must become a failed attempt, not an exception."""
        for line in (
            '{"i": 1}',
            '{"t": "x"}',
            "[]",
            "7",
            "null",
            '"x"',
            '{"i": "0", "t": "x"}',
            '{"i": 0, "t": 7}',
            '{"i": 0, "t": "\\ud800"}',
            '{"i": NaN, "t": "x"}',
            '{"done": true}',
            '{"done": true, "tokens": "x"}',
            '{"cancelled": true, "tokens": 2}',
            "[" * 100_000,
            "x",
        ):
            self._assert_fails(HEAD + _chunks([line, DONE]) + LAST)

    def test_tokens_out_of_order_fail(self):
        """Tokens with indexes out of order must fail the attempt."""
        lines = [json.dumps({"i": i, "t": str(i)}) for i in (0, 2, 1, 3)]
        lines.append('{"done": true, "tokens": 4}')
        self._assert_fails(HEAD + _chunk("\n".join(lines) + "\n") + LAST)

    def test_only_the_header_proves_that_nothing_ran(self):
        """Without the header, an engine that answers 500 may have started the work."""
        proof = b"HTTP/1.1 503 X\r\nCicadapass-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        failure = self._generate(proof, None).error
        self.assertTrue(failure.refused)
        error = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
        failure = self._generate(error, None).error
        self.assertEqual((True, False), (failure.sent, failure.refused))

    def test_a_refused_connection_was_not_sent(self):
        """Nothing was sent, so another upstream can run it without duplicate work."""
        client = EngineClient(new_pool(2), Timeouts(1.0, 0.3))
        self.assertFalse(client.generate(free_port_url(), CALL).error.sent)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(0, 200))
    def test_a_stream_cut_anywhere_fails(self, length):
        """A stream truncated at any byte before its end must fail."""
        complete = _chunks([*TOKENS, DONE])
        needed = len(complete) - 2
        if length < needed:
            _, failure = self._run(HEAD + complete[:length], None)
            self.assertIsNotNone(failure)
