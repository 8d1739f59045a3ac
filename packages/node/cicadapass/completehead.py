"""HTTP connections that reject a response with a truncated head.

http.client treats the end of the connection as the end of the head. A response
truncated there may lack its Content-Length, so its empty body would look complete.
"""

import http.client
from typing import Any
from urllib.parse import urlsplit

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection


class _LineRecorder:
    """Wrap a response file and record the last line that was read."""

    def __init__(self, response_file: Any) -> None:
        self._wrapped_file = response_file
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, empty at the end of the connection."""
        self.last_line = self._wrapped_file.readline(limit)
        return self.last_line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._wrapped_file, name)


class _CompleteHeadResponse(http.client.HTTPResponse):
    def begin(self) -> None:
        """Read the head; raise IncompleteRead unless it ends with an empty line."""
        if self.headers is not None:
            return
        response_file: Any = self.fp
        recorder: Any = _LineRecorder(response_file)
        self.fp = recorder
        try:
            super().begin()
        finally:
            self.fp = response_file
        if recorder.last_line.strip(b"\r\n") or not recorder.last_line:
            raise http.client.IncompleteRead(recorder.last_line)


class _HttpConnection(HTTPConnection):
    response_class = _CompleteHeadResponse


class _HttpsConnection(HTTPSConnection):
    response_class = _CompleteHeadResponse


class _HttpPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _HttpConnection


class _HttpsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _HttpsConnection


def new_complete_head_pool(
    base_url: str, max_connections: int
) -> urllib3.HTTPConnectionPool:
    """Return a connection pool that rejects truncated heads."""
    url = urlsplit(base_url)
    pool_class = _HttpsPool if url.scheme == "https" else _HttpPool
    return pool_class(url.hostname or "", url.port, maxsize=max_connections)
