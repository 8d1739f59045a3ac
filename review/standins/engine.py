"""Stand-in for a model engine, as the pages describe it."""

import asyncio
import itertools
import json
import time

from standins.http import Server

HEARTBEAT_S = 1.2


class Run:
    """One request that an engine works on, with its memory."""

    def __init__(self, request_id, prompt_tokens, events, priority):
        self.request_id, self.prompt_tokens = request_id, prompt_tokens
        self.total_events, self.priority = events, priority
        self.made = 0
        self.stopped = False
        self.moving = False
        self.handle = None
        # Tokens that the last move copied.
        self.copied = 0

    def tokens(self, stride):
        """Return the tokens of the run in memory."""
        return self.prompt_tokens + stride * self.made


class Engine:
    """Stream events in batches of `slots`; move the memory of runs on request."""

    numbers = itertools.count(1)

    def __init__(self, name, store, clock, record, **options):
        self.name, self._store, self._clock, self._record = name, store, clock, record
        self.service = options.get("service", "parts-model")
        self.zone = options.get("zone", "eu-west-a")
        self.slots = options.get("slots", 64)
        self.kv_total = options.get("kv_total", 764_294)
        self.event_s = options.get("event_s", 0.05)
        self.stride = options.get("stride", 4)
        # Prompt tokens that are read in a second; 0 reads at once.
        self.prefill_per_s = options.get("prefill_per_s", 66_200)
        # Bytes of memory for a token, and megabits a second between engines.
        self.token_bytes = options.get("token_bytes", 163_840)
        self.link_mbps = options.get("link_mbps", 370_000)
        self.move_setup_s = options.get("move_setup_s", 0.004)
        self.born = int(time.time() * 1000)
        self.state, self.listed, self.alive = "ready", True, True
        self._sequence = 0
        self.runs = {}
        self.copies = {}
        # Tokens that other work keeps in this engine's memory.
        self.other_tokens = 0
        self._link, self._reading = asyncio.Lock(), asyncio.Lock()
        self.server = Server(self._serve)
        self.peers = {}
        self._beats = None
        # The engine writes and takes nothing until this time.
        self.silent_until_s = 0.0
        # Set once a run is to be moved.
        self.moving = asyncio.Event()

    async def start(self):
        """Listen, and write an entry to the store at each heartbeat."""
        await self.server.start()
        self.peers[self.server.address] = self
        await self.write_entry()
        self._beats = asyncio.create_task(self._beat())
        return self

    async def write_entry(self):
        """Write the engine's entry."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": 1,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self._sequence,
            "born": self.born,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
        }
        await self._store.put("keyed.servers", self.name, entry)

    async def drain(self):
        """Report `draining`; the engine serves on."""
        self.state = "draining"
        await self.write_entry()

    def kill(self):
        """End like a killed process."""
        self.alive = False
        if self._beats is not None:
            self._beats.cancel()
        self.server.stop()

    async def silence(self):
        """Wait until the engine is not silent."""
        while (remaining_s := self.silent_until_s - self._clock()) > 0:
            await asyncio.sleep(remaining_s)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write_entry()

    @property
    def kv_used(self):
        """Return the tokens in memory that cannot yield."""
        runs = sum(run.tokens(self.stride) for run in self.runs.values())
        return runs + sum(self.copies.values()) + self.other_tokens

    def _headers(self, request):
        headers = [
            ("Request-Id", request.get("request-id", "")),
            ("Engine-Load", f"{len(self.runs)},0,{self.slots}"),
            ("Weight-Versions", "1"),
        ]
        if self.state == "draining":
            headers.append(("Server-Leaving", "1"))
        return headers

    async def _serve(self, request, connection):
        await self.silence()
        path = request.first[1].partition("?")[0]
        if path == "/api/kv-move":
            await self._move(json.loads(request.body), connection)
        elif path.startswith("/api/kv-handle/"):
            self.copies.pop(path.rpartition("/")[2], None)
            connection.respond(200, {})
        elif path == "/api/report":
            connection.respond(200, {"stage": "both", "running": len(self.runs)})
        elif path == "/health":
            status = 200 if self.state == "ready" else 503
            connection.respond(status, b"", [("Instance-Id", self.name)])
        else:
            await self._run(request, connection)

    def _reject(self, status, request, connection, why):
        self._record("rejected", request.get("request-id"), self.name, status, why)
        headers = [*self._headers(request), ("Not-Executed", "1")]
        connection.respond(status, b"", headers)

    async def _run(self, request, connection):
        request_id = request.get("request-id")
        self._record("arrives", request_id, self.name, request.get("kv-from", ""))
        if request.get("expect-instance") not in (None, self.name):
            self._reject(421, request, connection, "another engine")
            return
        if request_id is None:
            self._reject(400, request, connection, "no id")
            return
        run = self._take_copy(request) if "kv-from" in request.headers else None
        if "kv-from" in request.headers and run is None:
            self._reject(503, request, connection, "no such copy")
            return
        if run is None:
            if len(self.runs) >= self.slots:
                self._reject(503, request, connection, "full")
                return
            usage = request.get("token-usage", "0,0").split(",")
            tokens, events = int(usage[0]), int(usage[1]) // self.stride
            run = Run(request_id, tokens, events, 0)
            self.runs[request_id] = run
            await self._read_prompt(tokens)
        after = int(request.get("last-event-id", 0))
        self.runs[request_id] = run
        self._record("runs", request_id, self.name, f"after event {after}")
        try:
            await self._stream(run, after, request, connection)
        finally:
            if self.runs.get(request_id) is run and not run.stopped:
                del self.runs[request_id]

    async def _read_prompt(self, tokens):
        if self.prefill_per_s:
            async with self._reading:
                await asyncio.sleep(tokens / self.prefill_per_s)

    def _take_copy(self, request):
        """Return the run that goes on from a copy, or at a source that stopped."""
        address, _, handle = request.get("kv-from").partition("/")
        source = self.peers.get(address)
        if source is None:
            return None
        kept = source.runs.get(request.get("request-id"))
        if kept is None or kept.handle != handle or not kept.stopped:
            return None
        if source is not self and handle not in self.copies:
            return None
        self.copies.pop(handle, None)
        del source.runs[request.get("request-id")]
        run = Run(kept.request_id, kept.prompt_tokens, kept.total_events, 0)
        run.made = kept.made
        return run

    async def _stream(self, run, after, request, connection):
        seal = f"{self.name}.{run.request_id}"
        connection.start_stream([*self._headers(request), ("Server-Seal", seal)])
        number = after
        while number < run.total_events:
            if number >= run.made:
                await asyncio.sleep(self.event_s)
            await self.silence()
            if run.stopped:
                # The page: the run stops, and its stream is closed without its end.
                connection.close()
                return
            if connection.writer.is_closing() or connection.reader.at_eof():
                self._record("dropped", run.request_id, self.name, number)
                return
            number += 1
            run.made = max(run.made, number)
            data = f"id: {number}\ndata: {run.request_id} {number}\n\n"
            connection.chunk(data.encode())
            await connection.writer.drain()
        connection.end_stream()
        self._record("finished", run.request_id, self.name, number)

    async def _move(self, body, connection):
        run, last = self.runs.get(body["id"]), bool(body.get("last"))
        target = self.peers.get(body["to"])
        if run is None or run.stopped:
            self._answer_move(connection, 404, {}, body, last)
            return
        if run.moving:
            self._answer_move(connection, 409, {}, body, last)
            return
        run.moving = True
        self.moving.set()
        try:
            if run.handle is None:
                run.handle = f"h{next(self.numbers)}"
            if last:
                run.stopped = True
            needed = run.tokens(self.stride)
            async with self._link:
                await asyncio.sleep(self._copy_s(needed - run.copied, target))
                if target is not None:
                    await target.silence()
            run.copied = needed
            result = {"handle": run.handle, "createdRev": run.made}
            if (
                target is None
                or not target.alive
                or not target.reserve(run.handle, needed)
            ):
                self._answer_move(connection, 503, result, body, last)
                return
            self._answer_move(connection, 200, result, body, last)
        finally:
            run.moving = False

    def _copy_s(self, tokens, target):
        """Return the seconds of a copy; between zones it takes twice as long."""
        factor = 2 if target is not None and target.zone != self.zone else 1
        bits = 8 * self.token_bytes * tokens
        return self.move_setup_s + factor * bits / (self.link_mbps * 1e6)

    def _answer_move(self, connection, status, result, body, last):
        kind = "last move" if last else "move"
        self._record(kind, body["id"], self.name, f"to {body['to']}: {status}")
        connection.respond(status, result)

    def reserve(self, handle, tokens):
        """Keep the copy of a run; return whether there is room for it."""
        others = self.kv_used - self.copies.get(handle, 0)
        new = handle not in self.copies
        if others + tokens > self.kv_total:
            return False
        if new and len(self.runs) + len(self.copies) >= self.slots:
            return False
        self.copies[handle] = tokens
        return True
