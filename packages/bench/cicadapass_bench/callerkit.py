"""Send requests as callers do, resume interrupted streams and verify the answers."""

import http.client
import json
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

from cicadapass_standins.answers import answer_text, service_answer

READ_BYTES = 64 * 1024
CALL_TIMEOUT_S = 15.0
# Maximum time to resume a stream after its connection was lost.
RETURN_TIMEOUT_S = 10.0
RETURN_INTERVAL_S = 0.05
STREAM_END = b"data: [DONE]\n\n"
REQUEST_ID_HEADER = "Cicadapass-Request-Id"
DURABILITY_HEADER = "Cicadapass-Durability"
NETWORK_ERRORS = (OSError, http.client.HTTPException)


@dataclass(frozen=True, slots=True)
class Prompt:
    """Represent a model request, which determines the text of its answer."""

    service: str
    content: str
    tokens: int
    seed: int = 0

    @property
    def expected(self) -> str:
        """Return the expected text of the complete answer."""
        # The node renders each message with its role.
        return answer_text(f"user: {self.content}", self.seed, self.tokens)

    def body(self, *, stream: bool) -> bytes:
        """Return the JSON body of the HTTP request."""
        message = {"role": "user", "content": self.content}
        return json.dumps(
            {
                "model": self.service,
                "messages": [message],
                "max_tokens": self.tokens,
                "seed": self.seed,
                "stream": stream,
            }
        ).encode()


@dataclass(slots=True)
class StreamedAnswer:
    """Collect a streamed answer over one or more connections."""

    prompt: Prompt
    request_id: str = ""
    data: bytearray = field(default_factory=bytearray)
    returns: int = 0
    longest_return_s: float = 0.0
    refusal: str = ""
    durability: str = ""
    started_s: float = field(default_factory=time.monotonic)
    first_byte_s: float | None = None
    ended_s: float | None = None

    @property
    def total_s(self) -> float:
        """Return the seconds from the start to the end, or until now before the end."""
        return (self.ended_s or time.monotonic()) - self.started_s

    @property
    def complete(self) -> bool:
        """Return whether the end marker of the stream was received."""
        return self.data.endswith(STREAM_END)

    @property
    def verified(self) -> bool:
        """Return whether the answer is complete and its text is the expected one."""
        return self.complete and self.text() == self.prompt.expected

    def text(self) -> str:
        """Return the text of the tokens received so far."""
        events = self.data.decode("utf-8", "replace").split("\n\n")
        chunks = [_parse_chunk(event) for event in events]
        deltas = [chunk["choices"][0]["delta"] for chunk in chunks if chunk]
        return "".join(delta.get("content", "") for delta in deltas)


@dataclass(frozen=True, slots=True)
class Response:
    """Represent a response read to its end; status 0 means a lost connection."""

    status: int
    body: bytes
    headers: Mapping[str, str]

    @property
    def verdict(self) -> str:
        """Return the verdict header of an error, or an empty string."""
        return self.headers.get("Cicadapass-Verdict", "")


class Caller:
    """Send requests of one workspace through the nodes of its fleet."""

    def __init__(self, credential: str, node_urls: Callable[[], Sequence[str]]) -> None:
        self._credential = credential
        self._node_urls = node_urls
        self._next_index = 0
        self._lock = threading.Lock()

    def stream(
        self,
        prompt: Prompt,
        first_url: str = "",
        drop_bytes: int = 0,
        answer: StreamedAnswer | None = None,
    ) -> StreamedAnswer:
        """Read a streamed answer; resume it through other nodes if it breaks off.

        `drop_bytes` makes the caller drop its connection once, after that many
        bytes. An `answer` passed in can be observed while it grows.
        """
        answer = answer or StreamedAnswer(prompt)
        url = first_url or self._next_url()
        body = prompt.body(stream=True)
        self._receive(answer, url, "POST", "/v1/chat/completions", body, drop_bytes)
        lost_at_s = time.monotonic()
        while answer.request_id and not answer.complete and not answer.refusal:
            if time.monotonic() - lost_at_s > RETURN_TIMEOUT_S:
                answer.refusal = f"stream not resumed within {RETURN_TIMEOUT_S} s"
                break
            if self._read_remaining(answer, url, lost_at_s):
                lost_at_s = time.monotonic()
        answer.ended_s = time.monotonic()
        return answer

    def whole(self, prompt: Prompt, url: str = "") -> Response:
        """Send a model request without streaming and return the response."""
        body = prompt.body(stream=False)
        return self.call("POST", "/v1/chat/completions", body, url)

    def plain(
        self, service: str, method: str, target: str, body: bytes = b"", key: str = ""
    ) -> Response:
        """Send a plain call and return the response; a `key` makes it idempotent."""
        headers = {"Idempotency-Key": key} if key else {}
        return self.call(
            method, f"/v1/services/{service}{target}", body, headers=headers
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        url: str = "",
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """Send one request; try the next node if a node refuses the connection."""
        for _ in range(len(self._node_urls()) + 1):
            connection = self._connect(url or self._next_url())
            try:
                connection.connect()
            except OSError:
                # Nothing was sent, so the request may go to another node.
                continue
            try:
                all_headers = self._headers() | dict(headers or {})
                connection.request(method, path, body or None, all_headers)
                response = connection.getresponse()
                return Response(
                    response.status, response.read(), dict(response.headers)
                )
            except NETWORK_ERRORS:
                return Response(0, b"", {})
            finally:
                connection.close()
        return Response(0, b"", {"Cicadapass-Verdict": "not-run"})

    def _read_remaining(
        self, answer: StreamedAnswer, lost_url: str, lost_at_s: float
    ) -> bool:
        """Request the remaining bytes from another node; return whether any came."""
        threading.Event().wait(RETURN_INTERVAL_S)
        url = self._next_url(avoid=lost_url)
        path = f"/v1/requests/{answer.request_id}?from={len(answer.data)}"
        received_bytes = len(answer.data)
        self._receive(answer, url, "GET", path, b"", 0, lost_at_s)
        return len(answer.data) > received_bytes

    def _receive(
        self,
        answer: StreamedAnswer,
        url: str,
        method: str,
        path: str,
        body: bytes,
        drop_bytes: int,
        lost_at_s: float | None = None,
    ) -> None:
        connection = self._connect(url)
        try:
            connection.request(method, path, body or None, self._headers())
            response = connection.getresponse()
            if response.status != 200:
                if method == "POST":
                    answer.refusal = f"{response.status} {response.read()[:200]!r}"
                return
            answer.request_id = response.headers[REQUEST_ID_HEADER]
            if method == "POST":
                answer.durability = response.headers.get(DURABILITY_HEADER, "")
            while data := response.read1(READ_BYTES):
                if lost_at_s is not None:
                    answer.returns += 1
                    waited_s = time.monotonic() - lost_at_s
                    answer.longest_return_s = max(answer.longest_return_s, waited_s)
                    lost_at_s = None
                if answer.first_byte_s is None:
                    answer.first_byte_s = time.monotonic() - answer.started_s
                answer.data += data
                if drop_bytes and len(answer.data) >= drop_bytes:
                    return
        except NETWORK_ERRORS:
            if method == "POST" and not answer.request_id:
                answer.refusal = "connection lost before the request id was received"
        finally:
            connection.close()

    def _next_url(self, avoid: str = "") -> str:
        with self._lock:
            self._next_index += 1
            urls = self._node_urls()
            candidates = [url for url in urls if url != avoid] or urls
            return candidates[self._next_index % len(candidates)]

    def _connect(self, url: str) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(urlsplit(url).netloc, timeout=CALL_TIMEOUT_S)

    def _headers(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._credential}"}


def expected_plain(method: str, target: str, body: bytes = b"") -> bytes:
    """Return the body with which the plain service answers this request."""
    return service_answer(method, target, body)


def whole_text(body: bytes) -> str:
    """Return the text of a model answer that was not streamed."""
    return str(json.loads(body)["choices"][0]["message"]["content"])


def _parse_chunk(event: str) -> dict[str, Any] | None:
    data = event.removeprefix("data: ")
    if not data or data == "[DONE]":
        return None
    try:
        document = json.loads(data)
    except ValueError:
        # The last event of a truncated answer may be incomplete.
        return None
    return document if "choices" in document else None
