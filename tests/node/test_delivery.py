"""Test over real connections that a truncated answer never looks complete."""

import socket
import threading
from dataclasses import replace

import testtools
from expression import Error, Ok

from cicadapass.answers import Answer
from cicadapass.delivery import LocalReader, Piece, read_complete, read_pieces
from cicadapass.failures import failure_problem
from cicadapass.httpserver import HttpLimits, NodeHttpServer
from cicadapass.inprogress import InProgress
from cicadapass.render import AnswerFormat, AnswerHead
from cicadapass.streamloop import StreamLoop
from cicadapass_decisions.retry import Abandon
from cicadapass_decisions.types import Verdict
from tests.node.callerharness import CallerHarness, StoppedLoop

WAIT_S = 20.0
LAST_CHUNK = b"0\r\n\r\n"
DONE = b"data: [DONE]"
PROBLEM = failure_problem(Abandon(Verdict.UNKNOWN, "test"))
HEAD = AnswerHead("r", 1, "parts", AnswerFormat.EVENT_STREAM)
REQUEST = (
    b"GET /v1/requests/r?from=%d HTTP/1.1\r\nHost: n\r\n"
    b"Authorization: Bearer grabhandle-k1\r\nConnection: close\r\n\r\n"
)


def body_of(data):
    """Decode a chunked response; return its body and whether the last chunk arrived."""
    remaining = data.partition(b"\r\n\r\n")[2]
    body = b""
    while remaining:
        size, _, remaining = remaining.partition(b"\r\n")
        if int(size, 16) == 0:
            return body, True
        body += remaining[: int(size, 16)]
        remaining = remaining[int(size, 16) + 2 :]
    return body, False


class DeliveryTest(testtools.TestCase):
    """Tests run with the stream loop and again with the server's threads only."""

    def setUp(self):
        super().setUp()
        self.loop = StreamLoop()
        self.loop.start()
        self.addCleanup(self.loop.stop)

    def _serve(self, answer, loop):
        harness = CallerHarness(answer)
        harness.app._dependencies = replace(harness.app._dependencies, streams=loop)
        self.in_progress = InProgress()
        app = self.in_progress.track(harness.app)
        limits = HttpLimits(min_threads=2, max_threads=4, idle_reserve=1)
        server = NodeHttpServer("127.0.0.1", 0, app, limits)
        server.start()
        self.addCleanup(server.stop)
        return server.port

    def _connect(self, port, from_byte=0):
        client = socket.create_connection(("127.0.0.1", port), WAIT_S)
        self.addCleanup(client.close)
        client.sendall(REQUEST % from_byte)
        return client

    def _read(self, client, until=None):
        data = b""
        while until is None or until not in data:
            chunk = client.recv(65536)
            if not chunk:
                break
            data += chunk
        return data

    def _with_and_without_loop(self, finish_answer, texts=("a",)):
        """Return the body and whether the last chunk arrived, equal in both modes.

        `finish_answer` is called after the first token was read.
        """
        results = []
        for loop in (self.loop, StoppedLoop()):
            answer = Answer(HEAD, texts)
            client = self._connect(self._serve(answer, loop))
            start = self._read(client, b'"a"')
            finish_answer(answer)
            results.append(body_of(start + self._read(client)))
            self.assertTrue(self.in_progress.wait_until_none(WAIT_S))
        self.assertEqual(*results)
        return results[0]

    def test_a_complete_answer_ends(self):
        """The end marker and the last chunk are sent once, after all tokens."""

        def finish_answer(answer):
            answer.add_tokens(1, ["b"])
            answer.commit(2)
            answer.finish()
            answer.end()

        body, ended = self._with_and_without_loop(finish_answer)
        self.assertTrue(ended)
        self.assertTrue(body.endswith(DONE + b"\n\n"))
        self.assertEqual(1, body.count(DONE))
        self.assertEqual(1, body.count(b'"b"'))

    def test_a_failed_answer_has_no_end_marker(self):
        """The caller must see that tokens are missing, and why."""

        def finish_answer(answer):
            answer.add_tokens(1, ["b"])
            answer.finish()
            answer.fail(PROBLEM)

        body, _ = self._with_and_without_loop(finish_answer)
        self.assertNotIn(DONE, body)
        self.assertNotIn(b'"b"', body)
        self.assertIn(b'"verdict":"unknown"', body)

    def test_a_moved_answer_ends_without_its_last_chunk(self):
        """The HTTP client of the caller must report an error."""
        body, ended = self._with_and_without_loop(Answer.abandon)
        self.assertFalse(ended)
        self.assertNotIn(DONE, body)

    def test_uncommitted_tokens_wait(self):
        """The holder of the copy must have a token before it is delivered."""
        for loop in (self.loop, StoppedLoop()):
            answer = Answer(HEAD, ["a"])
            client = self._connect(self._serve(answer, loop))
            start = self._read(client, b'"a"')
            answer.add_tokens(1, ["b"])
            answer.finish()
            answer.abandon()
            self.assertNotIn(b'"b"', start + self._read(client))

    def test_a_returning_caller_gets_the_remaining_bytes(self):
        """The bytes before and after any offset must form the answer."""
        answer = Answer(HEAD, ["a", "\u0101\n\n", "c"])
        answer.finish()
        answer.end()
        complete = answer.read(0, 0.0).data
        for loop in (self.loop, StoppedLoop()):
            port = self._serve(answer, loop)
            for offset in (0, 1, len(complete) // 2, len(complete) - 1, len(complete)):
                data = self._read(self._connect(port, offset))
                self.assertEqual((complete[offset:], True), body_of(data))

    def test_a_disconnected_caller_ends_its_request(self):
        """Otherwise a stop would wait for a request without a reader."""
        for loop in (self.loop, StoppedLoop()):
            answer = Answer(HEAD, ["a"])
            client = self._connect(self._serve(answer, loop))
            self._read(client, b'"a"')
            client.close()
            # The first write triggers a reset, so the second one fails at the latest.
            for index in range(1, 200):
                answer.add_tokens(index, ["x" * 10_000])
                answer.commit(index + 1)
            answer.finish()
            answer.end()
            self.assertTrue(self.in_progress.wait_until_none(WAIT_S))

    def test_a_slow_reader_gets_every_byte_once(self):
        """Bytes that a full socket did not accept must follow in order."""
        texts = [f"{index:06d}" * 200 for index in range(3000)]
        for loop in (self.loop, StoppedLoop()):
            answer = Answer(HEAD, ["a"])
            client = self._connect(self._serve(answer, loop))
            start = self._read(client, b'"a"')
            for index, text in enumerate(texts, 1):
                answer.add_tokens(index, [text])
                answer.commit(index + 1)
            answer.finish()
            answer.end()
            body, ended = body_of(start + self._read(client))
            self.assertTrue(ended)
            self.assertEqual(answer.read(0, 0.0).data, body)


class ReadCompleteTest(testtools.TestCase):
    def test_pieces_are_joined_and_the_problem_is_kept(self):
        """A JSON answer is sent with its length, so it must be read completely."""
        script = [
            Ok(Piece(b"ab", ended=False)),
            Ok(Piece(b"", ended=False)),
            Ok(Piece(b"c", ended=True, problem=PROBLEM)),
        ]
        offsets = []

        def read(from_byte, wait_s):
            offsets.append(from_byte)
            return script[len(offsets) - 1]

        result = read_complete(read, 5)
        self.assertEqual(Ok(Piece(b"abc", True, PROBLEM)), result)
        self.assertEqual([5, 7, 7], offsets)

    def test_an_error_ends_the_reading(self):
        """An incomplete answer must not be returned as a complete one."""
        script = iter([Ok(Piece(b"ab", ended=False)), Error(PROBLEM)])
        read = lambda from_byte, wait_s: next(script)  # noqa: E731
        self.assertEqual(Error(PROBLEM), read_complete(read, 0))

    def test_a_reader_of_a_moved_answer_returns_the_remaining_bytes(self):
        """Committed bytes must be returned before the problem answer-moved."""
        answer = Answer(HEAD, ["a"])
        reader = LocalReader(answer)
        waiting = threading.Timer(0.0, answer.abandon)
        waiting.start()
        results = list(read_pieces(reader, 0))
        waiting.join(WAIT_S)
        self.assertIn(b'"a"', results[0].ok.data)
        self.assertEqual(Verdict.RUN, results[-1].error.verdict)
