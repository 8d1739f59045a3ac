"""TCP proxy on the loopback interface that can disturb its connections."""

import asyncio
import socket
from enum import Enum

from tests.gateway.harness import HOST, RESET_ON_CLOSE

CHUNK_BYTES = 65_536


class Disturbance(Enum):
    """What a link does to its connections."""

    NONE = "none"
    # Bytes are delivered late.
    DELAYED = "delayed"
    # Connections are reset, new ones included.
    RESET = "reset"
    # Bytes to the target are delivered, bytes from it are held back.
    ONE_WAY = "one_way"
    # No bytes are delivered, and no connection is closed.
    SILENT = "silent"


class Link:
    """Forward connections from a local port to a target that may change."""

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
        """The port on which the link listens."""
        return self._server.sockets[0].getsockname()[1]

    def disturb(self, disturbance, delay_s=0.0):
        """Set the disturbance of all connections, open ones included."""
        self.disturbance, self.delay_s = disturbance, delay_s
        if disturbance is Disturbance.RESET:
            for writer in list(self._writers):
                writer.transport.abort()
        if disturbance in (Disturbance.SILENT, Disturbance.ONE_WAY):
            self._flowing.clear()
        else:
            self._flowing.set()

    def stop(self):
        """Stop listening and abort all connections."""
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
                _reset(writer)
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


def _reset(writer):
    """Reset a connection; without this option, it is merely closed."""
    connection = writer.get_extra_info("socket")
    if connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
