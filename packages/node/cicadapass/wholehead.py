"""Connections that refuse an answer whose head was cut.

http.client takes the end of the connection for the end of the head. An answer cut
there has lost its Content-Length, so its empty body would look complete.
"""

import http.client
from typing import Any
from urllib.parse import urlsplit

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection


class _Lines:
    """Remember the last line that was read."""

    def __init__(self, file: Any) -> None:
        self._file = file
        self.last = b""

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, empty at the end of the connection."""
        self.last = self._file.readline(limit)
        return self.last

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class _WholeHeadResponse(http.client.HTTPResponse):
    def begin(self) -> None:
        """Read the head; raise IncompleteRead if its empty line is missing."""
        if self.headers is not None:
            return
        file: Any = self.fp
        lines: Any = _Lines(file)
        self.fp = lines
        try:
            super().begin()
        finally:
            self.fp = file
        if lines.last.strip(b"\r\n") or not lines.last:
            raise http.client.IncompleteRead(lines.last)


class _Http(HTTPConnection):
    response_class = _WholeHeadResponse


class _Https(HTTPSConnection):
    response_class = _WholeHeadResponse


class _HttpPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Http


class _HttpsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _Https


def whole_head_pool(base_url: str, max_connections: int) -> urllib3.HTTPConnectionPool:
    """Return a pool whose connections refuse cut heads and that never retries."""
    parts = urlsplit(base_url)
    kind = _HttpsPool if parts.scheme == "https" else _HttpPool
    return kind(parts.hostname or "", parts.port, maxsize=max_connections)
