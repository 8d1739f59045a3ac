"""A TCP relay under the control of a test: it forwards, stops or breaks connections."""

import os
import socket
import threading
from collections.abc import Callable
from pathlib import Path

READ_BYTES = 64 * 1024
RELAY_HOST = "127.0.0.9"
Pair = tuple[socket.socket, socket.socket]


class Relay:
    """Forward connections to one address; `blocked` decides by the client's port.

    The target may be set later, because a node's port is known only after its start.
    """

    def __init__(self, target: tuple[str, int] | None = None) -> None:
        self.target = target
        self._listener = socket.create_server((RELAY_HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self._changed = threading.Condition()
        self._blocked: Callable[[int], bool] = lambda port: False
        self._delay_s = 0.0
        self._pairs: set[Pair] = set()
        self._closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def block(self, blocked: Callable[[int], bool] = lambda port: True) -> None:
        """Stop forwarding, both ways, for the clients that the function names."""
        with self._changed:
            self._blocked = blocked

    def heal(self) -> None:
        """Forward everything again, including what was held."""
        with self._changed:
            self._blocked = lambda port: False
            self._delay_s = 0.0
            self._changed.notify_all()

    def delay(self, delay_s: float) -> None:
        """Forward each piece later by this time."""
        self._delay_s = delay_s

    def break_all(self) -> None:
        """Break all connections that are open."""
        with self._changed:
            pairs = list(self._pairs)
        for pair in pairs:
            _shut(pair)

    def close(self) -> None:
        """Stop listening and break all connections."""
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
                target=self._serve, args=(client, address[1]), daemon=True
            ).start()

    def _serve(self, client: socket.socket, port: int) -> None:
        try:
            if self.target is None:
                raise ConnectionRefusedError
            server = socket.create_connection(self.target)
        except OSError:
            client.close()
            return
        pair = client, server
        with self._changed:
            self._pairs.add(pair)
        back = threading.Thread(
            target=self._copy, args=(server, client, port), daemon=True
        )
        back.start()
        self._copy(client, server, port)
        back.join()
        with self._changed:
            self._pairs.discard(pair)
        client.close()
        server.close()

    def _copy(self, source: socket.socket, sink: socket.socket, port: int) -> None:
        try:
            while data := source.recv(READ_BYTES):
                with self._changed:
                    self._changed.wait_for(lambda: not self._blocked(port))
                    if self._delay_s:
                        self._changed.wait(self._delay_s)
                sink.sendall(data)
        except OSError:
            pass
        _shut((source, sink))


def _shut(pair: Pair) -> None:
    for each in pair:
        try:
            each.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The other side has closed it already.
            continue


def owns_port(pid: int, port: int) -> bool:
    """Return whether a process holds the local end of a TCP connection."""
    try:
        descriptors = list(Path(f"/proc/{pid}/fd").iterdir())
        lines = Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]
    except OSError:
        return False
    wanted = {
        f"socket:[{fields[9]}]"
        for fields in map(str.split, lines)
        if int(fields[1].rpartition(":")[2], 16) == port
    }
    return any(_link(each) in wanted for each in descriptors)


def _link(path: Path) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""
