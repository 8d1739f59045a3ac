"""Read many streams in one thread and count their tokens."""

import selectors
import socket
import time
from typing import Any
from urllib.parse import urlsplit

from cicadapass_bench.histograms import Latencies

RECEIVE_BYTES = 64 * 1024
LAST_CHUNK = b"0\r\n\r\n"
CONNECT_TIMEOUT_S = 10.0
SELECT_TIMEOUT_S = 0.05


class _Stream:
    """Send a request over one connection, again after each complete answer."""

    def __init__(self, host: str, port: int, request: bytes, marker: bytes) -> None:
        self._request = request
        self._marker = marker
        self._tail = b""
        self.socket = socket.create_connection((host, port), CONNECT_TIMEOUT_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.send()

    def send(self) -> None:
        """Send the request and reset the state of the answer."""
        self._tail = b""
        self.last_token_s: float | None = None
        self.started_s = time.perf_counter()
        self.socket.setblocking(True)
        self.socket.sendall(self._request)
        self.socket.setblocking(False)

    def receive(self) -> tuple[int, bool] | None:
        """Return the new token count and whether the answer ended; None on a break."""
        try:
            data = self.socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return 0, False
        except OSError:
            return None
        if not data:
            return None
        buffer = self._tail + data
        # The tail is shorter than a marker, so no marker is counted twice.
        self._tail = buffer[-(len(self._marker) - 1) :]
        return buffer.count(self._marker), buffer.endswith(LAST_CHUNK)


class StreamLoad:
    """Keep a fixed number of streams running by repeating the request of each."""

    def __init__(self, url: str, request: bytes, streams: int, marker: bytes) -> None:
        address = urlsplit(url)
        self._address = (address.hostname or "", address.port or 80)
        self._request = request
        self._marker = marker
        self._stream_count = streams
        self._tokens = 0
        self._ended = 0
        self._broken = 0
        self._first_token = Latencies()
        self._gaps = Latencies()

    def run(self, warm_up_s: float, duration_s: float) -> dict[str, Any]:
        """Run the streams; return their tokens and latencies after the warm-up."""
        selector = selectors.DefaultSelector()
        for _ in range(self._stream_count):
            stream = _Stream(*self._address, self._request, self._marker)
            selector.register(stream.socket, selectors.EVENT_READ, stream)
        self._read(selector, time.perf_counter() + warm_up_s, measured=False)
        started_s = time.perf_counter()
        self._read(selector, started_s + duration_s, measured=True)
        window_s = time.perf_counter() - started_s
        cpu_s = time.process_time()
        for key in list(selector.get_map().values()):
            key.data.socket.close()
        return {
            "tokens": self._tokens,
            "window_s": window_s,
            "ended": self._ended,
            "broken": self._broken,
            "first_token": self._first_token.encode(),
            "gaps": self._gaps.encode(),
            "cpu_s": cpu_s,
        }

    def _read(
        self, selector: selectors.BaseSelector, end_s: float, *, measured: bool
    ) -> None:
        while time.perf_counter() < end_s:
            for key, _ in selector.select(SELECT_TIMEOUT_S):
                self._receive(selector, key.data, measured)

    def _receive(
        self, selector: selectors.BaseSelector, stream: _Stream, measured: bool
    ) -> None:
        received = stream.receive()
        if received is None:
            selector.unregister(stream.socket)
            stream.socket.close()
            self._broken += 1
            return
        tokens, ended = received
        if tokens:
            self._record_tokens(stream, tokens, measured)
        if ended:
            self._ended += 1
            stream.send()

    def _record_tokens(self, stream: _Stream, tokens: int, measured: bool) -> None:
        now_s = time.perf_counter()
        if measured:
            self._tokens += tokens
            if stream.last_token_s is None:
                self._first_token.add(now_s - stream.started_s)
            else:
                self._gaps.add(now_s - stream.last_token_s)
        stream.last_token_s = now_s
