"""Reserve ports for programs that tests start, so that no one else takes them."""

import random
import socket

HOST = "127.0.0.1"
# Below the range of ephemeral ports.
PORTS = range(10_000, 32_000)


class ReservedPort:
    """Hold a port for a program that may listen on it several times."""

    def __init__(self, candidates=PORTS):
        """Reserve a free port out of the candidates."""
        rng = random.SystemRandom()
        self._socket = socket.socket()
        while True:
            try:
                self._socket.bind((HOST, rng.choice(candidates)))
            except OSError:
                # The port is in use or reserved.
                continue
            break
        # Set after binding: listeners with this option may now share the port, but a
        # reservation, which binds without it, may not.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.number = self._socket.getsockname()[1]

    def release(self):
        """Make the port available to others."""
        self._socket.close()
