"""Carry TCP connections over the loopback and disturb them."""

import asyncio
from enum import Enum

from tests.gateway.harness import HOST

# Bytes that are read at once.
CHUNK_BYTES = 65_536


class Disturbance(Enum):
    """Name what a link does to its connections."""

    NONE = "none"
    # Bytes arrive later.
    DELAYED = "delayed"
    # Connections are reset, new ones too.
    RESET = "reset"
    # Bytes towards the target arrive, answers do not.
    ONE_WAY = "one_way"
    # Nothing arrives, and no connection ends.
    SILENT = "silent"


class Link:
    """Listen on a port of its own and pass on to a target that may change."""

    def __init__(self, target):
        self.target = target
        self.disturbance = Disturbance.NONE
        self.delay_s = 0.0
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._writers = set()
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return self

    @property
    def port(self):
        """Return the port."""
        return self._server.sockets[0].getsockname()[1]

    def disturb(self, disturbance, delay_s=0.0):
        """Change what happens to the connections, open ones included."""
        self.disturbance, self.delay_s = disturbance, delay_s
        if disturbance is Disturbance.RESET:
            for writer in list(self._writers):
                writer.transport.abort()
        if disturbance in (Disturbance.SILENT, Disturbance.ONE_WAY):
            self._flowing.clear()
        else:
            self._flowing.set()

    def stop(self):
        """Stop to listen and drop all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        if self.disturbance is Disturbance.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, towards_target=True),
                self._forward(target_reader, writer, towards_target=False),
            )
        finally:
            self._writers -= writers
            for closing_writer in writers:
                closing_writer.transport.abort()

    async def _forward(self, reader, writer, *, towards_target):
        while True:
            try:
                data = await reader.read(CHUNK_BYTES)
            except ConnectionError:
                writer.transport.abort()
                return
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if self.disturbance is Disturbance.SILENT or not towards_target:
                await self._flowing.wait()
            if writer.is_closing():
                return
            if not data:
                writer.close()
                return
            writer.write(data)
