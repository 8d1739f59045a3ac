"""Stand-in for the platform's store (keyed topics with one partition)."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from httpd import Server, response


class Store:
    """Keep the records of each topic in memory."""

    def __init__(self):
        self.records = {}
        self._era = 1
        # While the store is away, it answers nothing.
        self._away = False
        # Called with the topic, the key and the value of each record of the system.
        self.on_append = lambda topic, key, value: None
        self._appended = asyncio.Condition()
        self._server = Server(self._handle)

    async def start(self, host):
        """Listen on a free port and return it."""
        return await self._server.start(host)

    def copy(self):
        """Return a copy of all records."""
        return {topic: list(records) for topic, records in self.records.items()}

    def leave(self):
        """Go away: close all connections, and refuse each call from now on."""
        self._away = True
        for writer in list(self._server.writers):
            writer.transport.abort()

    async def return_from(self, copy):
        """Come back with the records of a copy, in a new era."""
        async with self._appended:
            for topic, records in self.records.items():
                records[:] = copy.get(topic, [])
            self._era += 1
            self._away = False
            self._appended.notify_all()

    async def put(self, topic, key, document):
        """Write a record as the operator or an engine; None deletes the key."""
        value = b"" if document is None else json.dumps(document).encode()
        async with self._appended:
            self.records.setdefault(topic, []).append((key, value))
            self._appended.notify_all()

    async def _handle(self, request, writer):
        if self._away:
            return response(503, b"", [("Store-Era", str(self._era))])
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        call = {
            "/api/log-append": self._append,
            "/api/log-read": self._read,
            "/api/log-newest": self._newest,
        }.get(url.path)
        if call is None:
            return response(404)
        status, body = await call(query, request.body)
        return response(status, body, [("Store-Era", str(self._era))])

    async def _append(self, query, body):
        async with self._appended:
            records = self.records.setdefault(query["topic"], [])
            if "at" in query and int(query["at"]) != len(records):
                return 412, json.dumps({"end": len(records)}).encode()
            first = len(records)
            while body:
                (length,) = struct.unpack_from(">I", body)
                record, body = body[4 : 4 + length], body[4 + length :]
                key_end = 1 + record[0]
                key, value = record[1:key_end].decode(), record[key_end:]
                records.append((key, value))
                self.on_append(query["topic"], key, value)
            self._appended.notify_all()
            return 200, json.dumps({"offset": first, "end": len(records)}).encode()

    async def _read(self, query, body):
        records, start = self.records.setdefault(query["topic"], []), int(query["from"])
        if start > len(records):
            return 410, json.dumps({"first": 0}).encode()
        if start >= len(records) and "waitMs" in query:
            try:
                async with asyncio.timeout(int(query["waitMs"]) / 1000):
                    async with self._appended:
                        await self._appended.wait_for(lambda: len(records) > start)
            except TimeoutError:
                pass
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            data += struct.pack(">I", len(record)) + record
        return 200, data

    async def _newest(self, query, body):
        newest = {}
        records = self.records.get(query["topic"], [])
        for offset, (key, value) in enumerate(records):
            newest[key] = (value, offset)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in newest.items()
            if value
        ]
        fields = {"items": items, "morePages": False, "end": len(records)}
        return 200, json.dumps(fields).encode()
