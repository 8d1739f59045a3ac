"""Requesters of streams that may be taken up at another node, and their manifest."""

import asyncio
import itertools
import time

from httpd import read_chunks, read_head

TIME_LIMIT_S = 3.0
RECONNECT_S = 0.2
MODEL, KEY = "parts-model", "3d3zji9n73hh2b9wu3fe"
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "part-lookup",
            "host": "ficu95.example",
            "pathPrefix": "/lookup/",
            "kind": "streaming",
            "service": MODEL,
            "timeoutMs": int(1000 * TIME_LIMIT_S),
            "targetLatencyMs": 500,
            "gapAimMs": 250,
            "attempts": 2,
            "priority": 0,
            "streamResume": True,
            "sessionAffinity": True,
        }
    ],
    "services": [{"name": MODEL, "maxConns": 360, "engine": {"stride": 4}}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "huka270", "apiKeys": [KEY]}],
}


class Stream:
    """Store what a requester got of one stream, over its tries."""

    def __init__(self, name):
        self.name = name
        # Numbers and versions of the events, in order.
        self.events = []
        self.complete = False
        self.statuses = []
        # The request that brought the first event.
        self.first_id = None
        self.sent_s = None


class Requester:
    """Send a stream to a node, and take it up at another one if it breaks off."""

    def __init__(self, record, events):
        self._record = record
        self._events = events
        self._ids = itertools.count(1)
        self._take_ups = itertools.count()

    async def run(self, stream, first_node, other_nodes):
        """Send the request once, and once more behind what has arrived.

        A try without a connection is no take-up; another one follows soon.
        """
        await self._try(stream, first_node)
        if stream.complete or not stream.events:
            return
        self._record.write(
            f"{stream.name} broke off after {len(stream.events)} events; taken up"
        )
        while time.monotonic() - stream.sent_s < TIME_LIMIT_S:
            # Retries reach the other nodes in turn.
            node = other_nodes[next(self._take_ups) % len(other_nodes)]
            if await self._try(stream, node):
                return
            await asyncio.sleep(RECONNECT_S)

    async def _try(self, stream, node):
        request_id = f"{next(self._ids):016x}"
        body = str(self._events).encode()
        now_s = time.monotonic()
        stream.sent_s = stream.sent_s or now_s
        left_s = TIME_LIMIT_S - (now_s - stream.sent_s)
        lines = [
            "POST /lookup/2f HTTP/1.1",
            "Host: ficu95.example",
            f"Request-Id: {request_id}",
            "Model: m",
            "Token-Usage: 1460,160",
            f"Prefix-Hash: 5c1e07a2:800,{hash(stream.name) & 0xFFFFFF:x}:660",
            f"Request-Deadline: {1000 * left_s:.0f}",
            f"Authorization: Token {KEY}",
            f"Content-Length: {len(body)}",
        ]
        if stream.events:
            lines.append(f"Last-Event-Id: {stream.events[-1][0]}")
            lines.append(f"Resumes: {stream.first_id}")
        try:
            reader, writer = await asyncio.open_connection(node.host, node.front)
        except OSError:
            return False
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self._record.write(f"{stream.name} sent as {request_id} to {node.name}")
        try:
            async with asyncio.timeout(left_s):
                await self._read(reader, stream, request_id)
        except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
            pass
        finally:
            writer.close()
            end = "to its end" if stream.complete else "without an end"
            self._record.write(
                f"{stream.name} as {request_id}: {len(stream.events)} events in all, {end}"
            )
        return True

    async def _read(self, reader, stream, request_id):
        head = await read_head(reader)
        if head is None:
            return
        line, headers = head
        status = int(line.split(" ")[1])
        stream.statuses.append(status)
        self._record.write(f"{stream.name} as {request_id}: {status}")
        if status != 200:
            return
        buffer = b""
        async for data in read_chunks(reader):
            buffer += data
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                number, text = event.decode().split("\n")
                stream.events.append((int(number[4:]), text.split(" ")[2]))
                stream.first_id = stream.first_id or request_id
        stream.complete = True
