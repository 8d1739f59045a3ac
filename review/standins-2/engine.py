"""Stand-in for a model engine, whose streams end with their channels."""

import asyncio
import contextlib
import json
import socket
import struct
import time

from httpd import read_head, response

SLOTS = 64


class Run:
    """Track one run while its events are made."""

    def __init__(self, request_id, first, total):
        self.request_id = request_id
        self.made = first - 1
        self.total = total
        # Set by a move that stops the run; it holds from the next event on.
        self.stopping = False
        self.stopped = asyncio.Event()
        self.ended = asyncio.Event()


class Engine:
    """Serve event streams, and move their runs to other engines.

    An event is made in each step, and calls are handled between the steps. A stream has
    neither a length nor chunks, so that the end of its channel ends it.
    """

    def __init__(self, name, zone, step_s, log, version="v1"):
        self.name = name
        self.version = version
        self.zone = zone
        self.leaving = False
        self._step_s = step_s
        self._log = log
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._runs = {}
        self._handles = {}
        self._handle_count = 0
        self._server = None
        self._writers = set()
        self.port = None
        # All engines by their address, to hand memory over.
        self.fleet = {}

    async def start(self, host, fleet):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.fleet = fleet
        fleet[f"{host}:{self.port}"] = self
        self.address = f"{host}:{self.port}"

    def entry(self, service):
        """Return the next entry for the platform's list."""
        self._sequence += 1
        entry = {
            "service": service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": SLOTS,
            "state": "draining" if self.leaving else "ready",
            "coldLeftMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        return entry

    def stop(self):
        """End the engine: reset all channels."""
        self.fleet.pop(self.address, None)
        self._server.close()
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                target = line.split(" ")[1]
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size)
                if target == "/api/kv-move":
                    writer.write(await self._move(json.loads(body)))
                    continue
                refusal = self._refusal(headers)
                if refusal is None:
                    await self._stream(headers, body, writer)
                    return
                writer.write(refusal)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    def _refusal(self, headers):
        """Return the answer to a request that is not run, or None."""
        name = headers.get("request-id", "")
        request_id = [("Request-Id", name), *self._signs()]
        if headers.get("expect-instance") != self.name:
            return response(421, b"", request_id)
        copy = headers.get("kv-from")
        if copy is not None and self._handles.pop(copy, None) != name:
            return response(503, b"", [*request_id, ("Not-Executed", "handle")])
        if len(self._runs) >= SLOTS:
            return response(503, b"", [*request_id, ("Not-Executed", "full")])
        return None

    def _signs(self):
        """Return the headers by which an engine that leaves says so in all answers."""
        return [("Server-Leaving", "1")] if self.leaving else []

    async def _stream(self, headers, body, writer):
        request_id, total = headers["request-id"], int(body)
        first = 1 + int(headers.get("last-event-id", "0"))
        run = self._runs[request_id] = Run(request_id, first, total)
        kind = f" from the copy {headers['kv-from']}" if "kv-from" in headers else ""
        self._log(f"{self.name} runs {request_id} from event {first} on{kind}")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
            + f"Request-Id: {request_id}\r\nServer-Seal: {self.name}\r\n".encode()
            + b"Weight-Versions: 1\r\n"
            + "".join(f"{name}: {value}\r\n" for name, value in self._signs()).encode()
            + b"\r\n"
        )
        try:
            while run.made < total:
                await asyncio.sleep(self._step_s)
                if writer.is_closing():
                    self._log(f"{self.name}: the channel of {request_id} was closed")
                    return
                run.made += 1
                last = " last" if run.made == total else ""
                data = f"{request_id} {self.version} {run.made}{last}"
                event = f"id: {run.made}\ndata: {data}\n\n"
                writer.write(event.encode())
                await writer.drain()
                if run.stopping and run.made < total:
                    self._log(f"{self.name} stops {request_id} at {run.made}")
                    run.stopped.set()
                    return
            self._log(f"{self.name} ends {request_id} whole, {total} events")
        finally:
            self._runs.pop(request_id, None)
            run.ended.set()

    async def _move(self, call):
        """Copy the memory of a run; with `last`, stop the run first."""
        run, target = self._runs.get(call["id"]), self.fleet.get(call["to"])
        if run is None:
            return response(404, b"{}", self._signs())
        if call.get("last"):
            run.stopping = True
            waits = [
                asyncio.ensure_future(each.wait()) for each in (run.stopped, run.ended)
            ]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            for each in waits:
                each.cancel()
            if not run.stopped.is_set():
                self._log(f"{self.name}: {call['id']} had ended before it was stopped")
                return response(404, b"{}", self._signs())
        self._handle_count += 1
        handle = f"h{self._handle_count}"
        name = f"{self.address}/{handle}"
        if call.get("last"):
            self._handles[name] = call["id"]
        fields = {"handle": handle, "createdRev": run.made}
        if target is None:
            return response(503, json.dumps(fields).encode(), self._signs())
        await asyncio.sleep(0.005)
        target._handles[name] = call["id"]
        return response(200, json.dumps(fields).encode(), self._signs())


def _reset(writer):
    """Reset a connection; without the option, it is merely closed."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        option = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    writer.transport.abort()
