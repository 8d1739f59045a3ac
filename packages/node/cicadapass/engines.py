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
from cicadapass.tokenlines import Lines, TokenBatch
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
    """Ask an engine for the tokens of one attempt."""

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


# Takes a batch and returns whether to go on; must not block.
BatchHandler = Callable[[TokenBatch], bool]


class TokenStream:
    """Pass on the token batches of one attempt."""

    def __init__(
        self, response: urllib3.BaseHTTPResponse, loop: StreamLoop | None
    ) -> None:
        self._response = response
        self._loop = loop

    def run(self, on_batch: BatchHandler, idle_timeout_s: float) -> CallFailure | None:
        """Pass each batch on until the last one; return why it ended before.

        Return None as well when `take` returned False. An engine that is silent
        for too long has failed. An exception of `take` is raised.
        """
        detached = detach_socket(self._response) if self._loop else None
        if self._loop is None or detached is None:
            return self._read_blocking(on_batch)
        reader = TokenReader(self._loop, detached, on_batch)
        return reader.run(idle_timeout_s)

    def close(self) -> None:
        """Drop the connection, which may still carry tokens."""
        self._response.close()

    def _read_blocking(self, on_batch: BatchHandler) -> CallFailure | None:
        lines = Lines()
        for result in self._chunks():
            if isinstance(result, CallFailure):
                return result
            batch = lines.feed(result)
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
    """Read one stream in the loop while the thread of the attempt waits."""

    def __init__(
        self, loop: StreamLoop, detached: DetachedSocket, on_batch: BatchHandler
    ) -> None:
        self._loop = loop
        self._detached = detached
        self._on_batch = on_batch
        self._chunks = ChunkDecoder()
        self._lines = Lines()
        self._ended = threading.Event()
        self._failure: CallFailure | None = None
        self._error: Exception | None = None
        self._received = True

    def run(self, idle_timeout_s: float) -> CallFailure | None:
        """Wait for the end of the stream and return why it is incomplete."""
        self._loop.call_soon(self._begin)
        while not self._ended.wait(idle_timeout_s):
            if not self._loop.alive:
                # Nobody reads any more, so the attempt must not wait.
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
            # The thread of the attempt reports it and ends the answer.
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
            self._deliver(self._lines.feed(content))
        if self._chunks.ended:
            self._end(CallFailure("stream ended before its last token", sent=True))
            self._detached.return_to_pool()

    def _deliver(self, batch: TokenBatch | CallFailure) -> None:
        if isinstance(batch, CallFailure):
            self._end(batch)
        elif not self._on_batch(batch):
            self._end(None)
        elif batch.done:
            # The connection is used again once its last chunk has arrived.
            self._ended.set()

    def _time_out(self) -> None:
        if not self._received:
            self._end(CallFailure("the engine is silent", sent=True, timed_out=True))

    def _end(self, failure: CallFailure | None) -> None:
        self._loop.remove_reader(self._detached.socket)
        if not self._ended.is_set():
            self._failure = failure
            self._ended.set()


class EngineClient:
    """Call model engines."""

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
        """Return how long an engine may be silent."""
        return self._timeouts.read_s

    def generate(
        self, url: str, call: GenerateCall
    ) -> Result[TokenStream, CallFailure]:
        """Start one attempt and return its tokens as a stream."""
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
            # Only this header proves that the engine has not started the work.
            refused = response.headers.get(NOT_RUN_HEADER) == "1"
            response.close()
            reason = f"engine answered {response.status}"
            return Error(CallFailure(reason, sent=True, refused=refused))
        return Ok(TokenStream(response, self._loop))

    def cancel(self, url: str, request_id: str, attempt: int) -> None:
        """Ask the engine to stop an attempt; a failure only costs its tokens."""
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
        """Return the JSON object at the path, such as a load report."""
        try:
            response = self._pool.request(
                "GET", url, path, urllib3_timeout(self._timeouts)
            )
            document = response.json()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Error(classify(error))
        except ValueError as error:
            return Error(CallFailure(f"answer is not JSON: {error}", sent=True))
        if response.status != 200 or not isinstance(document, dict):
            return Error(CallFailure(f"upstream answered {response.status}", sent=True))
        return Ok(document)
