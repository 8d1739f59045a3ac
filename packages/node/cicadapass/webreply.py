"""Request bodies and responses of the callers' and operators' applications."""

import contextlib
import json
from collections.abc import Iterable
from http import HTTPStatus

from cheroot.errors import MaxSizeExceeded

from cicadapass.httpserver import RECEIVE_LIMIT_KEY, Environ, StartResponse
from cicadapass.problems import Problem, malformed, slow_body, too_large

Headers = list[tuple[str, str]]


class Refused(Exception):
    """Raised to answer a request with a problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def parse_number(text: str, low: int, high: int) -> int | None:
    """Parse a whole number; return None if it is malformed or out of range."""
    # `isdigit` alone accepts digits of other scripts, and `int` raises for long texts.
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(high)):
        return None
    return int(text) if low <= int(text) <= high else None


def read_body(environ: Environ, limit_bytes: int) -> bytes:
    """Return the body; raise Refused if it is malformed, too large or incomplete."""
    declared = parse_number(environ.get("CONTENT_LENGTH") or "0", 0, limit_bytes)
    if declared is None:
        raise Refused(too_large(limit_bytes))
    receive_limit = environ.get(RECEIVE_LIMIT_KEY, contextlib.nullcontext)
    chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    try:
        with receive_limit():
            read_size = limit_bytes + 1 if chunked else declared
            body: bytes = environ["wsgi.input"].read(read_size)
    except MaxSizeExceeded as error:
        raise Refused(too_large(limit_bytes)) from error
    except ValueError as error:
        remedy = "send the chunks as RFC 9112 describes them"
        raise Refused(malformed("the chunked body is malformed", remedy)) from error
    except OSError as error:
        raise Refused(_unread_body_problem(error, limit_bytes)) from error
    if len(body) > limit_bytes:
        raise Refused(too_large(limit_bytes))
    if not chunked and len(body) < declared:
        raise Refused(slow_body())
    return body


def _unread_body_problem(error: OSError, limit_bytes: int) -> Problem:
    # The server raises an OSError without errno for a chunk over the limit.
    overlong = error.errno is None and not isinstance(error, TimeoutError)
    return too_large(limit_bytes) if overlong else slow_body()


def status_line(status: HTTPStatus) -> str:
    """Return the status line for WSGI, such as `200 OK`."""
    return f"{status.value} {status.phrase}"


def status_phrase(status: int) -> str:
    """Return the reason phrase of any status, `Unknown` for non-standard ones."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def send(
    start: StartResponse, status: HTTPStatus, headers: Headers, body: bytes
) -> list[bytes]:
    """Start a response with a Content-Length and return its body."""
    start(status_line(status), [*headers, ("Content-Length", str(len(body)))])
    return [body]


def send_json(
    start: StartResponse, document: object, status: HTTPStatus = HTTPStatus.OK
) -> list[bytes]:
    """Respond with a JSON document; values that JSON lacks are sent as strings."""
    headers = [("Content-Type", "application/json")]
    return send(start, status, headers, json.dumps(document, default=str).encode())


def send_problem(
    start: StartResponse, problem: Problem, headers: Iterable[tuple[str, str]] = ()
) -> list[bytes]:
    """Respond with problem details, whose headers follow the given ones."""
    all_headers = [*headers, *problem.headers()]
    return send(start, problem.status, all_headers, problem.to_json())
