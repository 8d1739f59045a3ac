"""Render the tokens of a model answer as bytes.

The bytes depend only on the request id, the creation time, the model, the format and
the tokens, so that any node renders the same answer and can continue it.
"""

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from cicadapass.problems import Problem, parse_problem

# Start of a failed JSON answer; a complete answer starts with its id.
_JSON_FAILURE_PREFIX = b'{"error": '


class AnswerFormat(StrEnum):
    """Select the format of an answer; copies carry the value."""

    EVENT_STREAM = "event-stream"
    JSON = "json"

    @property
    def streams(self) -> bool:
        """Return whether tokens are delivered as they are generated."""
        return self is AnswerFormat.EVENT_STREAM


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Bundle the inputs of the rendering besides the tokens.

    `created_s` is Unix time.
    """

    request_id: str
    created_s: int
    model: str
    format: AnswerFormat


@dataclass(frozen=True, slots=True)
class Renderer:
    """Render one answer: each token, the end marker, or a failure in its place."""

    token: Callable[[str], bytes]
    end: Callable[[Sequence[str]], bytes]
    failure: Callable[[dict[str, object]], bytes]


def parse_failure(data: bytes) -> Problem | None:
    """Return the problem in the bytes of a failed JSON answer, otherwise None."""
    if not data.startswith(_JSON_FAILURE_PREFIX):
        return None
    return parse_problem(json.loads(data)["error"])


def new_renderer(head: AnswerHead) -> Renderer:
    """Return a renderer for the format in the head."""
    if head.format is AnswerFormat.EVENT_STREAM:
        return _new_event_stream_renderer(head)
    return _new_json_renderer(head)


def _new_event_stream_renderer(head: AnswerHead) -> Renderer:
    placeholder = "\x00"
    chunk = _event(_chunk(head, {"content": placeholder}, None))
    # The bytes around a token's text are the same for all tokens, so they are
    # rendered once.
    prefix, suffix = chunk.decode().split(json.dumps(placeholder))
    prefix_bytes = prefix.encode()
    suffix_bytes = suffix.encode()

    def token(text: str) -> bytes:
        return prefix_bytes + json.dumps(text).encode() + suffix_bytes

    def end(texts: Sequence[str]) -> bytes:
        return _event(_chunk(head, {}, "stop")) + b"data: [DONE]\n\n"

    def failure(problem: dict[str, object]) -> bytes:
        return _event({"error": problem})

    return Renderer(token, end, failure)


def _new_json_renderer(head: AnswerHead) -> Renderer:
    def token(text: str) -> bytes:
        return b""

    def end(texts: Sequence[str]) -> bytes:
        message = {"role": "assistant", "content": "".join(texts)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        usage = {"completion_tokens": len(texts)}
        document = _envelope(head, "chat.completion", choice) | {"usage": usage}
        return json.dumps(document).encode()

    def failure(problem: dict[str, object]) -> bytes:
        return _JSON_FAILURE_PREFIX + json.dumps(problem).encode() + b"}"

    return Renderer(token, end, failure)


def _chunk(
    head: AnswerHead, delta: dict[str, str], finish_reason: str | None
) -> dict[str, object]:
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    return _envelope(head, "chat.completion.chunk", choice)


def _envelope(head: AnswerHead, kind: str, choice: object) -> dict[str, object]:
    return {
        "id": head.request_id,
        "object": kind,
        "created": head.created_s,
        "model": head.model,
        "choices": [choice],
    }


def _event(document: object) -> bytes:
    return b"data: " + json.dumps(document, separators=(",", ":")).encode() + b"\n\n"
