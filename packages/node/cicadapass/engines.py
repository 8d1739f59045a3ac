"""The HTTP client of model engines."""

import json
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import urllib3
from expression import Error, Ok, Result

from cicadapass.upstreamhttp import CallFailure, Timeouts, classify, timeout_of


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


@dataclass(frozen=True, slots=True)
class TokenBatch:
    """Hold tokens that arrived together.

    The last batch is `done` and has the number of all tokens of the answer.
    """

    first_index: int
    texts: tuple[str, ...]
    done: bool
    total: int | None = None


class TokenStream:
    """Iterate over the token batches of one attempt."""

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self._response = response

    def __iter__(self) -> Iterator[Result[TokenBatch, CallFailure]]:
        """Yield batches until the last one or one failure."""
        pending = b""
        try:
            for chunk in self._response.stream(None):
                lines = (pending + chunk).split(b"\n")
                pending = lines.pop()
                if lines:
                    batch = _parse_lines(lines)
                    yield Ok(batch)
                    if batch.done:
                        return
        except (urllib3.exceptions.HTTPError, OSError) as error:
            yield Error(replace(classify(error), sent=True))
            return
        except (ValueError, KeyError, TypeError) as error:
            yield Error(CallFailure(f"stream is malformed: {error!r}", sent=True))
            return
        yield Error(CallFailure("stream ended before its last token", sent=True))

    def close(self) -> None:
        """Drop the connection, which may still carry tokens."""
        self._response.close()


def _parse_lines(lines: list[bytes]) -> TokenBatch:
    # One parse of an array costs less than one parse per line.
    items = json.loads(b"[" + b",".join(line for line in lines if line) + b"]")
    done = bool(items) and bool(items[-1].get("done"))
    total = int(items[-1]["tokens"]) if done else None
    tokens = items[:-1] if done else items
    if not tokens:
        return TokenBatch(0, (), done, total)
    first_index = tokens[0]["i"]
    texts = tuple(str(token["t"]) for token in tokens)
    if tokens[-1]["i"] != first_index + len(texts) - 1:
        raise ValueError("token indexes have a gap")
    return TokenBatch(int(first_index), texts, done, total)


class EngineClient:
    """Call model engines."""

    def __init__(self, pool: urllib3.PoolManager, timeouts: Timeouts) -> None:
        self._pool = pool
        self._timeouts = timeouts

    def generate(
        self, url: str, call: GenerateCall
    ) -> Result[TokenStream, CallFailure]:
        """Start one attempt and return its tokens as a stream."""
        try:
            response = self._pool.request(
                "POST",
                f"{url}/v1/generate",
                body=call.to_json(),
                headers={"Content-Type": "application/json"},
                preload_content=False,
                retries=False,
                timeout=timeout_of(self._timeouts),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Error(classify(error))
        if response.status != 200:
            # An engine that answers with an error status has not started the work.
            reason = f"engine answered {response.status}"
            failure = CallFailure(reason, sent=True, refused=True)
            response.drain_conn()
            response.release_conn()
            return Error(failure)
        return Ok(TokenStream(response))

    def cancel(self, url: str, request_id: str, attempt: int) -> None:
        """Ask the engine to stop an attempt; a failure only costs its tokens."""
        try:
            self._pool.request(
                "DELETE",
                f"{url}/v1/generate/{request_id}/{attempt}",
                retries=False,
                timeout=timeout_of(self._timeouts),
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return

    def get_json(self, url: str, path: str) -> Result[dict[str, Any], CallFailure]:
        """Return the JSON object at the path, such as a load report."""
        try:
            response = self._pool.request(
                "GET", url + path, retries=False, timeout=timeout_of(self._timeouts)
            )
            document = response.json()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Error(classify(error))
        except ValueError as error:
            return Error(CallFailure(f"answer is not JSON: {error}", sent=True))
        if response.status != 200 or not isinstance(document, dict):
            return Error(CallFailure(f"upstream answered {response.status}", sent=True))
        return Ok(document)
