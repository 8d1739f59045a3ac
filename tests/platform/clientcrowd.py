"""Clients that send large, endless or unfinished requests to a node at once."""

import asyncio
import contextlib
import socket
from pathlib import Path

from tests.gateway.harness import HOST

# The size and limits of the crowd are fixed; the node's settings are scaled to them.
CLIENTS = 48
BODY_LIMIT_BYTES = 2_097_152
PIECE_BYTES = 65_536
# One chunk of 16 bytes takes 22 on the wire.
SMALL_CHUNK = b"10\r\n" + b"x" * 16 + b"\r\n"
SMALL_CHUNKS_BYTES = 524_288
HEAD = b"POST /p/x HTTP/1.1\r\nHost: h\r\nrequest-id: c\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = b"x" * PIECE_BYTES
LARGE_CHUNK = b"10000\r\n" + PIECE + b"\r\n"


def announced_head(body_bytes):
    """Return the head of a request with a body of this length."""
    return HEAD + f"Content-Length: {body_bytes}\r\n\r\n".encode()


def stops_short():
    """Yield a body of the largest legal size without its last byte."""
    yield announced_head(BODY_LIMIT_BYTES) + b"x" * (BODY_LIMIT_BYTES - 1)


def stops_short_in_pieces():
    """Yield such a body in pieces."""
    yield announced_head(BODY_LIMIT_BYTES)
    for _ in range(BODY_LIMIT_BYTES // PIECE_BYTES - 1):
        yield PIECE
    yield PIECE[1:]


def large_chunks():
    """Yield a body of large chunks without its end."""
    yield CHUNKED_HEAD
    for _ in range(BODY_LIMIT_BYTES // PIECE_BYTES):
        yield LARGE_CHUNK


def endless_chunks():
    """Yield chunks until the connection ends."""
    yield CHUNKED_HEAD
    while True:
        yield LARGE_CHUNK


def small_chunks():
    """Yield a body of very small chunks without its end."""
    yield CHUNKED_HEAD
    for _ in range(SMALL_CHUNKS_BYTES // PIECE_BYTES):
        yield SMALL_CHUNK * (PIECE_BYTES // 16)


def over_the_limit():
    """Yield a body of four times the limit, announced and sent."""
    yield announced_head(4 * BODY_LIMIT_BYTES)
    for _ in range(4 * BODY_LIMIT_BYTES // PIECE_BYTES):
        yield PIECE


def long_head():
    """Yield a head of 60 KB without its end."""
    yield HEAD + b"a: " + b"x" * 60_000


def slow_head():
    """Yield the first bytes of a head."""
    yield HEAD


def stopped_reader():
    """Yield a whole request for a large response."""
    yield HEAD.replace(b"/p/x", b"/p/large") + b"Content-Length: 2\r\n\r\nxx"


MIX = (
    stops_short,
    large_chunks,
    endless_chunks,
    small_chunks,
    over_the_limit,
    long_head,
    slow_head,
    stops_short_in_pieces,
)


class ClientCrowd:
    """Run the clients; each sends all that it has and then stays open."""

    def __init__(self, port, kinds, count=CLIENTS, *, reads=True):
        self._port, self._reads = port, reads
        self._kinds = [kinds[number % len(kinds)] for number in range(count)]
        self._writers = []

    async def send(self):
        """Return once each client has sent everything or lost its connection."""
        async with asyncio.TaskGroup() as group:
            for kind in self._kinds:
                group.create_task(self._run_client(kind()))

    def close(self):
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _run_client(self, pieces):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, self._port))
        reader, writer = await asyncio.open_connection(sock=sock)
        self._writers.append(writer)
        if not self._reads:
            writer.transport.pause_reading()
        with contextlib.suppress(ConnectionError):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                if reader.at_eof():
                    break


def peak_memory_mb(pid):
    """Return the largest resident memory of a process so far, in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM"))
    return int(peak.split()[1]) / 1024


def open_descriptors(pid):
    """Return the number of descriptors that a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))
