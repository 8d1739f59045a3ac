"""Stand-in for the platform's store and its API for duties."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from standins.http import Server


class Store:
    """Keep keyed topics with one partition each; record the calls of duties."""

    def __init__(self, clock):
        self._clock = clock
        self._logs = {}
        self._changed = asyncio.Condition()
        self.duty_calls = []
        # Called with each duty call that was recorded.
        self.on_duty = None
        # Seconds before the answer to a call of a duty.
        self.duty_delay_s = 0.0
        self.server = Server(self._serve)

    async def start(self):
        """Listen on a free port."""
        await self.server.start()
        return self

    @property
    def address(self):
        """Return IP:PORT."""
        return self.server.address

    async def put(self, topic, key, value):
        """Append a record of the operator or of an engine; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        await self._append_record(topic, key, data)

    async def _append_record(self, topic, key, data):
        log = self._logs.setdefault(topic, [])
        log.append((key, data))
        async with self._changed:
            self._changed.notify_all()
        return len(log)

    async def _serve(self, request, connection):
        method, target = request.first[0], request.first[1]
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path in ("/usage", "/scale"):
            await self._duty(url.path, request, connection)
        elif url.path == "/api/log-append" and method == "POST":
            await self._append(query, request.body, connection)
        elif url.path == "/api/log-read":
            await self._read(query, connection)
        elif url.path == "/api/log-newest":
            self._newest(query, connection)
        else:
            connection.respond(404, {})

    async def _duty(self, path, request, connection):
        call = {
            "at_s": round(self._clock(), 3),
            "path": path,
            "holder": request.get("duty-holder"),
            "fence": int(request.get("fencing-token", -1)),
            "body": json.loads(request.body),
        }
        self.duty_calls.append(call)
        if self.on_duty is not None:
            self.on_duty(call)
        await asyncio.sleep(self.duty_delay_s)
        connection.respond(200, {})

    async def _append(self, query, body, connection):
        log = self._logs.setdefault(query["topic"], [])
        if "at" in query and int(query["at"]) != len(log):
            connection.respond(412, {"end": len(log)})
            return
        first, position = len(log), 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            record = body[position + 4 : position + 4 + length]
            position += 4 + length
            key_end = 1 + record[0]
            await self._append_record(
                query["topic"], record[1:key_end].decode(), record[key_end:]
            )
        connection.respond(200, {"offset": first, "end": len(log)})

    async def _read(self, query, connection):
        log = self._logs.setdefault(query["topic"], [])
        start, wait_s = int(query["from"]), int(query.get("waitMs", 0)) / 1000
        if start >= len(log) and wait_s:
            try:
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(lambda: len(log) > start)
            except TimeoutError:
                pass
        data = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:]:
            record = bytes([len(key.encode())]) + key.encode() + value
            data += struct.pack(">I", len(record)) + record
        connection.respond(200, data)

    def _newest(self, query, connection):
        log = self._logs.get(query["topic"], [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(log)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key > query.get("after", "")
        ]
        page, more = items[:500], len(items) > 500
        connection.respond(200, {"items": page, "morePages": more, "end": len(log)})
