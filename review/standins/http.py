"""Minimal HTTP/1.1 for the stand-ins: one request at a time on a connection."""

import asyncio
import json
import random
import socket
import struct

HOST = "127.0.0.1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REASONS = {200: "OK"}


# Below the ports that the kernel gives to outgoing connections.
FIRST_PORT, LAST_PORT = 20_000, 32_000
_used_ports = set()


def free_port(host=HOST):
    """Return a port that is free for connections and datagrams at this moment."""
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in _used_ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((host, port))
        except OSError:
            continue
        _used_ports.add(port)
        return port


class Message:
    """A request or the head of a response."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        """Return a header's value, by its lower-case name."""
        return self.headers.get(name, default)


async def read_head(reader):
    """Return the first line's words and the headers, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_request(reader):
    """Return a whole request, or None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    if message.get("transfer-encoding", "").lower() == "chunked":
        chunks = []
        async for chunk in read_chunks(reader):
            chunks.append(chunk)
        message.body = b"".join(chunks)
    else:
        message.body = await reader.readexactly(int(message.get("content-length", 0)))
    return message


async def read_chunks(reader):
    """Yield the chunks of a body; an incomplete one raises IncompleteReadError."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


class Connection:
    """The server's side of one connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.closes = False

    def write(self, data):
        """Write bytes, unless the connection has ended."""
        if not self.writer.is_closing():
            self.writer.write(data)

    def respond(self, status, body=b"", headers=()):
        """Write a whole response; a table is written as JSON."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'X')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)

    def start_stream(self, headers):
        """Write the head of an event stream."""
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append("Transfer-Encoding: chunked")
        self.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))

    def chunk(self, data):
        """Write one chunk of a stream."""
        self.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end_stream(self):
        """Write the end of a stream."""
        self.write(b"0\r\n\r\n")

    def close(self):
        """Close the connection after what was written."""
        self.closes = True
        self.writer.close()

    def reset(self):
        """Reset the connection."""
        self.closes = True
        sock = self.writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()


class Server:
    """Call a handler with each request and its connection."""

    def __init__(self, handler, host=HOST):
        self._handler, self.host, self.port = handler, host, 0
        self._server, self._tasks, self.connections = None, set(), set()

    async def start(self, port=0):
        """Listen on a port, or on a free one."""
        self._server = await asyncio.start_server(self._serve, self.host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        """Return IP:PORT."""
        return f"{self.host}:{self.port}"

    def stop(self):
        """Stop listening and reset all connections, as a killed process does."""
        self._server.close()
        for connection in list(self.connections):
            connection.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        connection = Connection(reader, writer)
        self.connections.add(connection)
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        try:
            while not connection.closes:
                request = await read_request(reader)
                if request is None:
                    break
                await self._handler(request, connection)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self.connections.discard(connection)
            if not writer.is_closing():
                writer.close()


class Answer:
    """What a caller got for one request."""

    def __init__(self):
        self.status, self.headers, self.body = None, {}, b""
        self.complete, self.events = False, []
        self.first_s = self.ended_s = None


class Caller:
    """Send requests on one kept connection."""

    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, host, port):
        """Open a connection."""
        return cls(*await asyncio.open_connection(host, port))

    def send(self, method, path, headers, body=b""):
        """Write a whole request."""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def receive(self, clock):
        """Return the answer; `complete` is false if the connection ended before."""
        answer = Answer()
        head = await read_head(self._reader)
        if head is None:
            answer.ended_s = clock()
            return answer
        answer.status, answer.headers = int(head.first[1]), head.headers
        try:
            if head.get("transfer-encoding", "").lower() == "chunked":
                async for chunk in read_chunks(self._reader):
                    answer.first_s = answer.first_s or clock()
                    answer.body += chunk
            else:
                length = int(head.get("content-length", 0))
                answer.body = await self._reader.readexactly(length)
            answer.complete = True
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        answer.ended_s = clock()
        answer.events = event_ids(answer.body)
        return answer

    def close(self):
        """Close the connection."""
        self._writer.close()


def event_ids(body):
    """Return the ids of the whole events of a stream."""
    ids = []
    for event in body.split(b"\n\n")[:-1]:
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                ids.append(int(line[3:]))
    return ids
