"""Replies that the callers' and the operators' applications share."""

import contextlib
import json
from collections.abc import Iterable
from http import HTTPStatus

from cheroot.errors import MaxSizeExceeded

from cicadapass.httpserver import RECEIVE_LIMIT_KEY, Environ, StartResponse
from cicadapass.problems import Problem, malformed, slow_body, too_large

Headers = list[tuple[str, str]]


class Refused(Exception):
    """Ends the handling of a request with a problem for the sender."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def parse_number(text: str, low: int, high: int) -> int | None:
    """Return the whole number in the text, or None if it is none of the range."""
    # `isdigit` alone takes digits of other scripts, and `int` refuses long texts.
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(high)):
        return None
    return int(text) if low <= int(text) <= high else None


def read_body(environ: Environ, limit_bytes: int) -> bytes:
    """Return the body; raise Refused if it is too large or does not arrive."""
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
    # The server reports an overlong chunk by an error without a number.
    overlong = error.errno is None and not isinstance(error, TimeoutError)
    return too_large(limit_bytes) if overlong else slow_body()


def status_line(status: HTTPStatus) -> str:
    """Return the status with its phrase."""
    return f"{status.value} {status.phrase}"


def status_phrase(status: int) -> str:
    """Return the phrase of a status that an upstream chose."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def send(
    start: StartResponse, status: HTTPStatus, headers: Headers, body: bytes
) -> list[bytes]:
    """Send a whole body."""
    start(status_line(status), [*headers, ("Content-Length", str(len(body)))])
    return [body]


def send_json(
    start: StartResponse, document: object, status: HTTPStatus = HTTPStatus.OK
) -> list[bytes]:
    """Send a JSON document."""
    headers = [("Content-Type", "application/json")]
    return send(start, status, headers, json.dumps(document, default=str).encode())


def send_problem(
    start: StartResponse, problem: Problem, headers: Iterable[tuple[str, str]] = ()
) -> list[bytes]:
    """Send problem details."""
    all_headers = [*headers, *problem.headers()]
    return send(start, problem.status, all_headers, problem.to_json())
