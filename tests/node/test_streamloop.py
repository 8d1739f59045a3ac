"""Test the stream loop: reading engines' streams and sending answers."""

import socket
import threading
from unittest import mock

import testtools

from cicadapass.answers import Answer
from cicadapass.delivery import LocalReader
from cicadapass.directdelivery import AnswerMoved, DirectDelivery, stream_answer
from cicadapass.engines import TokenReader
from cicadapass.render import AnswerFormat, AnswerHead
from cicadapass.streamloop import StreamLoop
from cicadapass.upstreamhttp import DetachedSocket

HEAD = AnswerHead("a.b.c", 1, "parts", AnswerFormat.EVENT_STREAM)
TIMEOUT_S = 20.0


def chunk(text):
    """Return one chunk with the text."""
    return b"%x\r\n%b\r\n" % (len(text), text.encode())


class LoopTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = StreamLoop()
        self.loop.start()
        self.addCleanup(self.loop.stop)

    def in_thread(self, call):
        """Run a call and return a function that waits for its result or error."""
        results = []

        def run():
            try:
                results.append(call())
            except Exception as error:
                results.append(error)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()

        def result():
            thread.join(TIMEOUT_S)
            return results[0]

        return result


class WakeUpTest(testtools.TestCase):
    def test_a_call_during_a_wake_up_does_not_lose_a_later_one(self):
        """A lost wake-up delayed every token of a node by up to a second.

        The flag was cleared before the wake-up bytes were read: a byte of another
        thread was read with them, and later calls did not wake the loop.
        """
        patched = mock.patch("cicadapass.streamloop.SELECT_TIMEOUT_S", 10 * TIMEOUT_S)
        patched.start()
        self.addCleanup(patched.stop)
        loop = StreamLoop()
        receiver = RacingReceiver(loop)
        loop._wake_receiver = receiver
        loop.start()
        self.addCleanup(loop.stop)
        loop.call_soon(lambda: None)
        self.assertTrue(receiver.raced.wait(TIMEOUT_S))
        later = threading.Event()
        loop.call_soon(later.set)
        self.assertTrue(later.wait(TIMEOUT_S))


class RacingReceiver:
    """Queue a call from another thread right before the wake-up bytes are read."""

    def __init__(self, loop):
        self._loop = loop
        self._receiver = loop._wake_receiver
        self.raced = threading.Event()

    def recv(self, size):
        if not self.raced.is_set():
            thread = threading.Thread(target=self._loop.call_soon, args=(int,))
            thread.start()
            thread.join()
        data = self._receiver.recv(size)
        self.raced.set()
        return data

    def __getattr__(self, name):
        return getattr(self._receiver, name)


class TokenReaderTest(LoopTest):
    def read(self, on_batch, sent, buffered=b"", read_timeout_s=TIMEOUT_S, close=True):
        local_socket, remote_socket = socket.socketpair()
        self.addCleanup(local_socket.close)
        self.addCleanup(remote_socket.close)
        local_socket.setblocking(False)
        self.returned = threading.Event()
        detached = DetachedSocket(local_socket, buffered, self.returned.set)
        reader = TokenReader(self.loop, detached, on_batch)
        wait = self.in_thread(lambda: reader.run(read_timeout_s))
        remote_socket.sendall(sent)
        if close:
            remote_socket.close()
        return wait()

    def test_tokens_received_with_the_head(self):
        """Bytes that the HTTP library read beyond the head must not be lost."""
        texts = []
        buffered = chunk('{"i": 0, "t": "a"}\n')
        sent = chunk('{"i": 1, "t": "b"}\n{"done": true, "tokens": 2}\n')
        on_batch = lambda batch: texts.extend(batch.texts) is None  # noqa: E731
        failure = self.read(on_batch, sent + b"0\r\n\r\n", buffered)
        self.assertIsNone(failure)
        self.assertEqual(["a", "b"], texts)
        self.assertTrue(self.returned.wait(TIMEOUT_S))

    def test_a_truncated_stream_is_a_failure(self):
        """A stream without its last line must never count as complete."""
        sent = chunk('{"i": 0, "t": "a"}\n')
        for end in (b"", b"0\r\n\r\n"):
            failure = self.read(lambda batch: True, sent + end)
            self.assertTrue(failure.sent)

    def test_a_fault_reaches_the_thread_of_the_attempt(self):
        """An error in the loop must end the attempt, not block its caller."""

        def fail(batch):
            raise ValueError("gap")

        error = self.read(fail, chunk('{"i": 5, "t": "a"}\n'))
        self.assertIsInstance(error, ValueError)
        self.assertTrue(self.loop.alive)

    def test_a_silent_engine_fails(self):
        """An engine that sends nothing must not block the request indefinitely."""
        failure = self.read(lambda batch: True, b"", read_timeout_s=0.05, close=False)
        self.assertTrue(failure.timed_out)

    def test_the_end_of_the_loop_fails_the_attempt(self):
        """The loop reads no more after its end, so the attempt must fail."""
        self.loop.stop()
        failure = self.read(lambda batch: True, b"", read_timeout_s=0.05, close=False)
        self.assertIsNotNone(failure)


class FakeSender:
    """Accept a limited number of bytes per call without blocking."""

    def __init__(self, at_once):
        self.data = b""
        self._at_once = at_once

    def write_nonblocking(self, data):
        self.data += data[: self._at_once]
        return data[self._at_once :]

    def write_remaining(self, data):
        self.data += data


class DirectDeliveryTest(LoopTest):
    def deliver(self, answer, sender):
        delivery = DirectDelivery(LocalReader(answer), 0, sender, self.loop)
        return self.in_thread(delivery.run)

    def test_a_slow_reader_gets_each_byte_once(self):
        """Bytes that the socket did not accept must be sent once and in order."""
        answer = Answer(HEAD)
        sender = FakeSender(7)
        wait = self.deliver(answer, sender)
        for index in range(50):
            answer.add_tokens(index, [f" {index}"])
            answer.commit(index + 1)
        answer.finish()
        answer.end()
        self.assertIsNone(wait())
        self.assertEqual(answer.read(0, 0.0).data, sender.data)

    def test_only_committed_tokens(self):
        """A token without a copy at another node must not be delivered."""
        answer = Answer(HEAD)
        sender = FakeSender(10_000)
        wait = self.deliver(answer, sender)
        answer.add_tokens(0, [" a", " b"])
        answer.commit(1)
        answer.abandon()
        moved = wait()
        self.assertIsInstance(moved, AnswerMoved)
        # Another node continues right after the bytes that were sent.
        self.assertEqual(len(sender.data), moved.offset)
        self.assertIn(b" a", sender.data)
        self.assertNotIn(b" b", sender.data)

    def test_a_failed_socket_ends_the_delivery(self):
        """A disconnected caller must not occupy its thread."""
        sender = mock.Mock()
        sender.write_nonblocking.side_effect = BrokenPipeError
        answer = Answer(HEAD, [" a"])
        self.assertIsInstance(self.deliver(answer, sender)(), BrokenPipeError)

    def test_without_the_loop_the_server_sends(self):
        """An answer must be delivered even if the loop has ended."""
        answer = Answer(HEAD, [" a"])
        answer.finish()
        answer.end()
        stopped = StreamLoop()
        reader = LocalReader(answer)
        yielded = stream_answer(reader, 0, FakeSender(1), stopped, follow=reader)
        self.assertEqual(answer.read(0, 0.0).data, b"".join(yielded))

    def test_moved_answer_continues_at_its_next_owner(self):
        """A hand-over must neither truncate the stream nor repeat a byte."""
        first = Answer(HEAD, [" a", " b"])
        first.abandon()
        second = Answer(HEAD, [" a", " b", " c"])
        second.finish()
        second.end()
        sender = FakeSender(10_000)
        yielded = stream_answer(
            LocalReader(first), 0, sender, self.loop, LocalReader(second)
        )
        delivered = b"".join(yielded)
        self.assertEqual(second.read(0, 0.0).data, sender.data + delivered)
        self.assertNotIn(b" a", delivered)
