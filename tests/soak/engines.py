"""Engines that record each request they receive."""

import asyncio
import itertools
import json

from tests.gateway.harness import HOST, Upstream
from tests.soak.answers import plain_answer, send, stream_answer
from tests.soak.proxy import Link
from tests.soak.records import Run

# Prompt segments with this prefix end the engine that begins to write an answer, this
# long after the head.
CRASHING_PREFIX = "bad"
CRASH_S = 0.06
SLOTS = 8
# The request of a node to move a run to another engine.
MOVE_TARGET = b"/api/kv-move"


class Engine:
    """Run one incarnation of an engine behind a link that can be disturbed."""

    start_numbers = itertools.count(1)

    def __init__(self, name, version, records, clock):
        self.name = name
        self.version = version
        self.alive = True
        self.sequence = 0
        # Requests per second that it names in its answers.
        self.limit_per_s = None
        # Functions of `faultyengines`; one of them at most changes an answer.
        self.faults = []
        # Called if a prompt segment ends it.
        self.on_crash = None
        self.started_ms = 1_700_000_000_000 + next(self.start_numbers)
        self._records = records
        self._clock = clock
        self._running = 0
        self._upstream = Upstream(name, self._serve)

    async def start(self, link=None):
        """Listen behind a new link, or behind the given one in place of its engine."""
        await self._upstream.start()
        address = (HOST, self._upstream.port)
        self.link = link or await Link(address).start()
        self.link.target = address
        return self

    def entry(self, data_centre, leaving=False):
        """Return the engine's next registry entry, with an increased sequence."""
        self.sequence += 1
        return {
            "service": "s",
            "address": f"{HOST}:{self.link.port}",
            "zone": data_centre,
            "version": self.version,
            "slots": SLOTS,
            "state": "draining" if leaving else "ready",
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.started_ms,
        }

    def crash(self):
        """End at once and abort all connections."""
        self.alive = False
        self._upstream.stop()
        # Requests in progress end with their connections.
        self.link.stop()

    async def _serve(self, response):
        request = response.request
        headers = {
            name.decode(): value.decode("latin-1") for name, value in request.headers
        }
        if request.target == MOVE_TARGET:
            self._records.moves.append((self.name, json.loads(response.body)["id"]))
            # These engines move nothing, so that the run goes on.
            response.respond(404, b"")
            return
        request_id = headers.get("request-id", "")
        run = Run(
            self.name,
            self._clock(),
            request.method.decode(),
            request.target.decode(),
            response.body,
            headers,
            version=self.version,
        )
        run.crashing_segment = _crashing_segment(headers)
        self._records.record_run(request_id, run)
        extra = f"request-id: {request_id}\r\nserver-seal: {self.name}\r\n"
        if self.limit_per_s is not None:
            extra += f"server-limit: {self.limit_per_s}\r\n"
        if headers.get("expect-instance") != self.name:
            run.rejected = True
            response.respond(421, b"", f"request-id: {request_id}\r\n")
            return
        if self._running >= SLOTS:
            run.rejected = True
            response.respond(503, b"", f"{extra}not-executed: full\r\n")
            return
        self._running += 1
        try:
            await self._answer(response, run, extra)
        finally:
            self._running -= 1

    async def _answer(self, response, run, extra):
        """Answer with a token unique to this run, which exposes mixed answers."""
        run.token = f"{self.name} {run.headers['request-id']} {run.arrived_s:.6f}"
        if run.crashing_segment is not None:
            response.extra = extra
            response.stream()
            await asyncio.sleep(CRASH_S)
            if self.alive:
                self.on_crash(self, run.crashing_segment)
            return
        if "stream" in run.target:
            first = int(run.headers.get("last-event-id", 0)) + 1
            answer = stream_answer(extra, run.token, first)
        else:
            answer = plain_answer(200, extra, run.token.encode())
        for change in self.faults:
            changed = change(self.name, response, run, answer)
            if changed is not answer:
                answer = changed
                break
        run.status, run.answer = answer.status, answer.body
        run.first_event, run.ends_after = answer.first_event, answer.ends_after
        await send(response, answer)


def _crashing_segment(headers):
    segments = [
        each.partition(":")[0] for each in headers.get("prefix-hash", "").split(",")
    ]
    return next((each for each in segments if each.startswith(CRASHING_PREFIX)), None)
