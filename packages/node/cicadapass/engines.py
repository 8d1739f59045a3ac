"""The HTTP client of model engines."""

import json
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any

import urllib3
from expression import Error, Ok, Result

from cicadapass.chunks import ChunkDecoder
from cicadapass.streamloop import StreamLoop
from cicadapass.tokenlines import TokenBatch, TokenLineParser
from cicadapass.upstreamhttp import (
    NOT_RUN_HEADER,
    CallFailure,
    DetachedSocket,
    Timeouts,
    UpstreamPools,
    classify,
    detach_socket,
    urllib3_timeout,
)

RECEIVE_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class GenerateCall:
    """Describe one attempt at an engine.

    `prefix_tokens` are the tokens delivered so far; `resume_from` is their number.
    """

    request_id: str
    attempt: int
    model: str
    prompt: str
    max_tokens: int
    seed: int
    priority: int
    resume_from: int = 0
    prefix_tokens: tuple[str, ...] = ()

    def to_json(self) -> bytes:
        """Return the body of the HTTP request."""
        return json.dumps(
            {
                "request_id": self.request_id,
                "attempt": self.attempt,
                "model": self.model,
                "prompt": self.prompt,
                "max_tokens": self.max_tokens,
                "seed": self.seed,
                "priority": self.priority,
                "resume_from": self.resume_from,
                "prefix_tokens": list(self.prefix_tokens),
            }
        ).encode()


# Receives a batch and returns whether to continue; must not block.
BatchHandler = Callable[[TokenBatch], bool]


class TokenStream:
    """Read the token batches of one attempt."""

    def __init__(
        self, response: urllib3.BaseHTTPResponse, loop: StreamLoop | None
    ) -> None:
        self._response = response
        self._loop = loop

    def run(self, on_batch: BatchHandler, idle_timeout_s: float) -> CallFailure | None:
        """Pass each batch to `on_batch`; return None after the last one, or a failure.

        Also return None when `on_batch` returns False. An engine that sends nothing
        for `idle_timeout_s` has failed. Exceptions of `on_batch` are raised.
        """
        detached = detach_socket(self._response) if self._loop else None
        if self._loop is None or detached is None:
            return self._read_blocking(on_batch)
        reader = TokenReader(self._loop, detached, on_batch)
        return reader.run(idle_timeout_s)

    def close(self) -> None:
        """Close the connection, which may have unread tokens."""
        self._response.close()

    def _read_blocking(self, on_batch: BatchHandler) -> CallFailure | None:
        parser = TokenLineParser()
        for result in self._chunks():
            if isinstance(result, CallFailure):
                return result
            batch = parser.feed(result)
            if isinstance(batch, CallFailure):
                return batch
            if not on_batch(batch) or batch.done:
                return None
        return CallFailure("stream ended before its last token", sent=True)

    def _chunks(self) -> Iterator[bytes | CallFailure]:
        try:
            yield from self._response.stream(None)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            yield replace(classify(error), sent=True)


class TokenReader:
    """Read one stream in the event loop while the attempt's thread waits."""

    def __init__(
        self, loop: StreamLoop, detached: DetachedSocket, on_batch: BatchHandler
    ) -> None:
        self._loop = loop
        self._detached = detached
        self._on_batch = on_batch
        self._chunks = ChunkDecoder()
        self._parser = TokenLineParser()
        self._ended = threading.Event()
        self._failure: CallFailure | None = None
        self._error: Exception | None = None
        self._received = True

    def run(self, idle_timeout_s: float) -> CallFailure | None:
        """Wait for the end of the stream; return a failure if it is incomplete."""
        self._loop.call_soon(self._begin)
        while not self._ended.wait(idle_timeout_s):
            if not self._loop.alive:
                # Without the loop nothing reads the stream any more.
                return CallFailure("the stream loop has ended", sent=True)
            if not self._received:
                self._loop.call_soon(self._time_out)
            self._received = False
        if self._error is not None:
            raise self._error
        return self._failure

    def _begin(self) -> None:
        self._loop.add_reader(self._detached.socket, self._on_readable)
        self._run_guarded(lambda: self._feed(self._detached.buffered))

    def _on_readable(self) -> None:
        self._run_guarded(self._receive)

    def _run_guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception as error:
            # Raised again by `run` in the attempt's thread.
            self._error = error
            self._end(None)

    def _receive(self) -> None:
        try:
            data = self._detached.socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end(CallFailure(str(error), sent=True))
            return
        if not data:
            self._end(CallFailure("stream ended before its last token", sent=True))
            return
        self._received = True
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        if not data:
            return
        try:
            content = self._chunks.feed(data)
        except ValueError as error:
            self._end(CallFailure(f"stream is malformed: {error}", sent=True))
            return
        if content and not self._ended.is_set():
            self._deliver(self._parser.feed(content))
        if self._chunks.ended:
            self._end(CallFailure("stream ended before its last token", sent=True))
            self._detached.return_to_pool()

    def _deliver(self, batch: TokenBatch | CallFailure) -> None:
        if isinstance(batch, CallFailure):
            self._end(batch)
        elif not self._on_batch(batch):
            self._end(None)
        elif batch.done:
            # Reading continues to the last chunk, so that the connection can be reused.
            self._ended.set()

    def _time_out(self) -> None:
        if not self._received:
            self._end(
                CallFailure(
                    "the engine sent no data within the read timeout",
                    sent=True,
                    timed_out=True,
                )
            )

    def _end(self, failure: CallFailure | None) -> None:
        self._loop.remove_reader(self._detached.socket)
        if not self._ended.is_set():
            self._failure = failure
            self._ended.set()


class EngineClient:
    """Send calls to model engines; safe to share between threads."""

    def __init__(
        self,
        pool: UpstreamPools,
        timeouts: Timeouts,
        loop: StreamLoop | None = None,
    ) -> None:
        self._pool = pool
        self._timeouts = timeouts
        self._loop = loop

    @property
    def read_timeout_s(self) -> float:
        """Return how long an engine may send nothing before the attempt fails."""
        return self._timeouts.read_s

    def generate(
        self, url: str, call: GenerateCall
    ) -> Result[TokenStream, CallFailure]:
        """Start one attempt; return its token stream once the headers have arrived."""
        try:
            response = self._pool.request(
                "POST",
                url,
                "/v1/generate",
                urllib3_timeout(self._timeouts),
                body=call.to_json(),
                headers={"Content-Type": "application/json"},
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Error(classify(error))
        if response.status != 200:
            # Only this header proves that the engine did not start the work.
            refused = response.headers.get(NOT_RUN_HEADER) == "1"
            response.close()
            reason = f"engine answered {response.status}"
            return Error(CallFailure(reason, sent=True, refused=refused))
        return Ok(TokenStream(response, self._loop))

    def cancel(self, url: str, request_id: str, attempt: int) -> None:
        """Ask the engine to stop an attempt; failures are ignored.

        An engine that was not reached finishes the attempt, which wastes its work.
        """
        try:
            self._pool.request(
                "DELETE",
                url,
                f"/v1/generate/{request_id}/{attempt}",
                urllib3_timeout(self._timeouts),
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return

    def get_json(self, url: str, path: str) -> Result[dict[str, Any], CallFailure]:
        """Return the JSON object at a path, such as a load report."""
        try:
            response = self._pool.request(
                "GET", url, path, urllib3_timeout(self._timeouts)
            )
            document = response.json()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Error(classify(error))
        except ValueError as error:
            return Error(CallFailure(f"response is not JSON: {error}", sent=True))
        if response.status != 200 or not isinstance(document, dict):
            return Error(CallFailure(f"upstream answered {response.status}", sent=True))
        return Ok(document)
