"""HTTP stand-in for the platform's store and cloud API."""

import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from cicadapass_decisions.logposition import offset_of
from cicadapass_decisions.passthrough import CallerLimits
from cicadapass_gateway.exceptions import GatewayError, HistoryExpired, OffsetConflict
from cicadapass_gateway.httpserver import HttpServer, ServerState
from tests.gateway.harness import HOST, MemoryRegistry


class StoreStandin:
    """Serve a registry in memory, and record the calls to the cloud API."""

    def __init__(self):
        self.registry = MemoryRegistry()
        # The text of the header in place of the registry's era.
        self.odd_era = None
        self.duties = []
        self._server = HttpServer(
            ServerState(CallerLimits()), self._serve, lambda error: None
        )

    async def start(self):
        """Listen on a free port and return the address."""
        await self._server.listen(HOST, 0)
        return f"{HOST}:{self._server.port}"

    async def _serve(self, exchange):
        url = urlsplit(exchange.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        calls = {
            "/api/log-newest": self._newest,
            "/api/log-read": self._read,
            "/api/log-append": self._append,
        }
        call = calls.get(url.path)
        if call is None:
            self.duties.append((url.path, json.loads(exchange.body)))
            exchange.respond(200, [], b"{}")
            return
        try:
            self._respond(exchange, 200, await call(query, exchange.body))
        except OffsetConflict:
            self._respond(exchange, 412, b"{}")
        except HistoryExpired:
            first = self.registry.first_offsets.get(query["topic"], 0)
            self._respond(exchange, 410, json.dumps({"first": first}).encode())
        except GatewayError:
            self._respond(exchange, 503, b"{}")

    def _respond(self, exchange, status, body):
        era = self.odd_era or str(self.registry.era_number or "")
        headers = [(b"Store-Era", era.encode())] if era else []
        exchange.respond(status, headers, body)

    async def _newest(self, query, body):
        listing = await self.registry.newest(query["topic"])
        items = [
            {
                "key": each.key,
                "value": base64.b64encode(each.value).decode(),
                "offset": offset_of(each.offset),
            }
            for each in listing.documents
        ]
        answer = {
            "items": items,
            "morePages": False,
            "end": offset_of(listing.end_offset),
        }
        return json.dumps(answer).encode()

    async def _read(self, query, body):
        wait_s = int(query.get("waitMs", 0)) / 1000
        start = self.registry.position(int(query["from"]))
        changes = await self.registry.changes(query["topic"], start, wait_s)
        data = struct.pack(">QQ", offset_of(changes.end_offset), 0)
        for each in changes.documents:
            record = bytes([len(each.key)]) + each.key.encode() + each.value
            data += struct.pack(">I", len(record)) + record
        return data

    async def _append(self, query, body):
        key_end = 5 + body[4]
        expected = None
        if "at" in query:
            expected = self.registry.position(int(query["at"]))
        key, value = body[5:key_end].decode(), body[key_end:]
        position = await self.registry.append(query["topic"], key, value, expected)
        end = offset_of(position)
        return json.dumps({"offset": end - 1, "end": end}).encode()
