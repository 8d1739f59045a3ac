"""Count the requests in progress, so that a planned stop can wait for them."""

import threading
from collections.abc import Callable, Iterable, Iterator

from cicadapass.httpserver import Environ, StartResponse, WsgiApp


class InProgress:
    """Count the requests of a WSGI application until their bodies are closed."""

    def __init__(self) -> None:
        self._count = 0
        self._changed = threading.Condition()
        self._closing = False

    @property
    def count(self) -> int:
        """Return the number of requests in progress."""
        return self._count

    def close_connections(self) -> None:
        """Add `Connection: close` to the responses from now on."""
        self._closing = True

    def wait_until_none(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; return False after the time-out."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout_s)

    def track(self, app: WsgiApp) -> WsgiApp:
        """Wrap the application so that its requests are counted."""

        def tracked(environ: Environ, start: StartResponse) -> Iterable[bytes]:
            self._change_count(1)
            try:
                body = app(environ, self._closing_start(start))
            except BaseException:
                self._change_count(-1)
                raise
            return _TrackedBody(body, lambda: self._change_count(-1))

        return tracked

    def _closing_start(self, start: StartResponse) -> StartResponse:
        def start_and_close(
            status: str, headers: list[tuple[str, str]]
        ) -> Callable[[bytes], object]:
            # A kept connection would be closed when the node stops, possibly while
            # the caller sends its next request.
            closing_headers = [("Connection", "close")] if self._closing else []
            return start(status, [*headers, *closing_headers])

        return start_and_close

    def _change_count(self, change: int) -> None:
        with self._changed:
            self._count += change
            if self._count == 0:
                self._changed.notify_all()


class _TrackedBody:
    """Wrap a response body; the server calls `close` after the last byte."""

    def __init__(self, body: Iterable[bytes], on_end: Callable[[], None]) -> None:
        self._body = body
        self._on_end: Callable[[], None] | None = on_end

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """Close the body; the first call reports the end."""
        on_end, self._on_end = self._on_end, None
        close = getattr(self._body, "close", None)
        try:
            if close is not None:
                close()
        finally:
            if on_end is not None:
                on_end()
