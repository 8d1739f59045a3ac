"""Small HTTP/1.1 server for the stand-ins, on asyncio streams."""

import asyncio
import contextlib


class Request:
    """Store one request that was read whole."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        """Return the last value of a header, in any case."""
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Return the start line and the headers, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:])
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader):
    """Yield the data of the chunks of a body; raise at an early end."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_request(reader):
    """Return the next request of a connection, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b"".join([each async for each in read_chunks(reader)])
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def response(status, body=b"", headers=()):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Serve requests one at a time on each connection.

    `handle` gets the request and the writer, and returns the bytes of the response, or
    None if it wrote the response itself and the connection is to be closed.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self.writers = set()

    async def start(self, host, port=0):
        """Listen, and return the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                data = await self._handle(request, writer)
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()
