"""An upstream that answers with scripted bytes and connection failures."""

import socket
import struct
import threading

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RawUpstream:
    """Answer each connection with the next script and record the requests.

    A script is the bytes of the response, after which the connection is closed; in a
    tuple, the connection stays open until the next request arrives. `None` closes
    without reading, `RESET` resets after the request, and `SILENT` never answers.
    """

    RESET = object()
    SILENT = object()
    KEEP = object()

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self.requests = []
        self.connections = 0
        self._stopped = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self):
        """Stop listening."""
        self._stopped.set()
        self._listener.close()

    def _serve(self):
        while not self._stopped.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            script = self._scripts.pop(0) if self._scripts else OK
            thread = threading.Thread(
                target=self._answer, args=(connection, script), daemon=True
            )
            thread.start()

    def _answer(self, connection, script):
        with connection:
            if script is None:
                return
            request = read_request(connection)
            self.requests.append(request)
            if script is self.SILENT:
                self._stopped.wait(20)
            elif script is self.RESET:
                reset(connection)
            elif isinstance(script, tuple):
                # Keep the connection open, and close it at the next request.
                connection.sendall(script[0])
                self.requests.append(read_request(connection))
            else:
                connection.sendall(script)


def read_request(connection):
    """Return the bytes of one request, whose body must have a Content-Length."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return data
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += connection.recv(65536)
    return head + b"\r\n\r\n" + body


def reset(connection):
    """Make the next close send a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def free_port_url():
    """Return the URL of a port on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"http://127.0.0.1:{listener.getsockname()[1]}"
