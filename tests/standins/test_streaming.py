"""Tests of the token delivery with a socket that fails or accepts few bytes."""

import threading
from functools import partial

import testtools

from cicadapass_standins.answers import answer_key, answer_text
from cicadapass_standins.exceptions import DropConnection
from cicadapass_standins.scheduler import Ending, Stream
from cicadapass_standins.streaming import StreamSender, Transmission
from tests.standins.support import TIMEOUT_S

KEY = answer_key("prompt", 1)


class SlowRequest:
    """Accept three bytes of each non-blocking write, or fail it."""

    def __init__(self, fails=False, disconnected=False):
        self.fails, self.disconnected = fails, disconnected
        self.headers_sent = threading.Event()
        self.body = b""

    def send_headers(self):
        self.headers_sent.set()

    def write_nonblocking(self, chunk: bytes) -> bytes:
        if self.fails:
            raise BrokenPipeError
        self.body += chunk[:3]
        return chunk[3:]

    def write_blocking(self, data: bytes) -> None:
        self.body += data

    def caller_disconnected(self) -> bool:
        return self.disconnected


class TransmissionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.sender = StreamSender()
        self.addCleanup(self.sender.stop)
        self.stream = Stream("r", 1, 0, 0, 50, [], [])

    def transmission(self, request) -> Transmission:
        return Transmission(request, self.stream, KEY, None, lambda stream: None)

    def test_slow_reader_gets_every_byte_in_order(self):
        """Bytes left by a partial write must be sent before later tokens."""
        request = SlowRequest()
        transmission = self.transmission(request)
        signal = partial(self.sender.signal, transmission)
        thread = threading.Thread(target=transmission.run, args=(signal,))
        thread.start()
        request.headers_sent.wait(TIMEOUT_S)
        for computed in range(1, 51):
            self.stream.computed = computed
            signal()
        self.stream.ending = Ending.DONE
        signal()
        thread.join(TIMEOUT_S)
        self.assertFalse(thread.is_alive())
        self.assertEqual(51, request.body.count(b"\n"))
        self.assertEqual(answer_text("prompt", 1, 50).split(), self.stream.words)
        indices = [line.split(b",")[0] for line in request.body.splitlines()[:-1]]
        self.assertEqual([b'{"i": %d' % index for index in range(50)], indices)

    def test_failed_socket_ends_the_stream(self):
        """After a socket error a request must end, and not look complete."""
        transmission = self.transmission(SlowRequest(fails=True))
        self.stream.computed = 1
        signal = partial(self.sender.signal, transmission)
        self.assertRaises(DropConnection, transmission.run, signal)

    def test_disconnected_caller_ends_the_stream(self):
        """A stream without tokens must end when its caller disconnects."""
        transmission = self.transmission(SlowRequest(disconnected=True))
        signal = partial(self.sender.signal, transmission)
        self.assertRaises(DropConnection, transmission.run, signal)
