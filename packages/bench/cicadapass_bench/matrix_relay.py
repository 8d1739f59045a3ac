"""A TCP relay that a test can make block, delay or break its connections."""

import os
import socket
import threading
from collections.abc import Callable
from pathlib import Path

READ_BYTES = 64 * 1024
RELAY_HOST = "127.0.0.9"
SocketPair = tuple[socket.socket, socket.socket]


class Relay:
    """Forward connections to one address; `block` selects clients by their port.

    The target may be set later, because a node's port is known only after its start.
    """

    def __init__(self, target: tuple[str, int] | None = None) -> None:
        self.target = target
        self._listener = socket.create_server((RELAY_HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self._condition = threading.Condition()
        self._is_blocked: Callable[[int], bool] = lambda port: False
        self._delay_s = 0.0
        self._pairs: set[SocketPair] = set()
        self._closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def block(self, is_blocked: Callable[[int], bool] = lambda port: True) -> None:
        """Stop forwarding, in both directions, for the client ports selected."""
        with self._condition:
            self._is_blocked = is_blocked

    def heal(self) -> None:
        """Resume forwarding without delay, including the data held back."""
        with self._condition:
            self._is_blocked = lambda port: False
            self._delay_s = 0.0
            self._condition.notify_all()

    def delay(self, delay_s: float) -> None:
        """Delay each chunk of data by this time."""
        self._delay_s = delay_s

    def break_all(self) -> None:
        """Shut down all open connections."""
        with self._condition:
            pairs = list(self._pairs)
        for pair in pairs:
            _shut_down(pair)

    def close(self) -> None:
        """Stop listening and shut down all connections."""
        self._closed = True
        self._listener.close()
        self.heal()
        self.break_all()

    def _accept(self) -> None:
        while not self._closed:
            try:
                client, address = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._forward, args=(client, address[1]), daemon=True
            ).start()

    def _forward(self, client: socket.socket, port: int) -> None:
        try:
            if self.target is None:
                raise ConnectionRefusedError
            server = socket.create_connection(self.target)
        except OSError:
            client.close()
            return
        pair = client, server
        with self._condition:
            self._pairs.add(pair)
        return_thread = threading.Thread(
            target=self._copy, args=(server, client, port), daemon=True
        )
        return_thread.start()
        self._copy(client, server, port)
        return_thread.join()
        with self._condition:
            self._pairs.discard(pair)
        client.close()
        server.close()

    def _copy(self, source: socket.socket, sink: socket.socket, port: int) -> None:
        try:
            while data := source.recv(READ_BYTES):
                with self._condition:
                    self._condition.wait_for(lambda: not self._is_blocked(port))
                    if self._delay_s:
                        self._condition.wait(self._delay_s)
                sink.sendall(data)
        except OSError:
            pass
        _shut_down((source, sink))


def _shut_down(pair: SocketPair) -> None:
    for end in pair:
        try:
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer has already closed the connection.
            continue


def owns_port(pid: int, port: int) -> bool:
    """Return whether a process owns the TCP socket bound to a local port."""
    try:
        descriptors = list(Path(f"/proc/{pid}/fd").iterdir())
        lines = Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]
    except OSError:
        return False
    socket_links = {
        f"socket:[{fields[9]}]"
        for fields in map(str.split, lines)
        if int(fields[1].rpartition(":")[2], 16) == port
    }
    return any(_read_link(descriptor) in socket_links for descriptor in descriptors)


def _read_link(path: Path) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""
