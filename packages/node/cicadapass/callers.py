"""The HTTP API for callers, as a WSGI application."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import parse_qs

from expression import Result

from cicadapass.delivery import AnswerAborted, AnswerReader, LocalReader, read_complete
from cicadapass.directdelivery import stream_answer
from cicadapass.headers import headers_from_upstream, headers_to_upstream
from cicadapass.httpserver import DIRECT_SENDER_KEY, Environ, StartResponse
from cicadapass.plaincalls import PlainRequest, PlainResponse
from cicadapass.problems import (
    Problem,
    internal,
    malformed,
    not_found,
    not_ready,
    unauthorized,
)
from cicadapass.render import parse_failure
from cicadapass.requests import ChatRequest, parse_chat
from cicadapass.streamloop import StreamLoop
from cicadapass.targets import SERVICES_PREFIX, plain_target
from cicadapass.webreply import (
    Refused,
    parse_number,
    read_body,
    send,
    send_json,
    send_problem,
    status_line,
    status_phrase,
)
from cicadapass_common.copymessages import Binding
from cicadapass_common.credentials import bearer_credential, hash_credential
from cicadapass_decisions.inventory import Inventory, Workspace

T = TypeVar("T")

REQUEST_ID_HEADER = "Cicadapass-Request-Id"
DURABILITY_HEADER = "Cicadapass-Durability"
MAX_DEADLINE_MS = 86_400_000
MAX_PRIORITY = 9
MAX_OFFSET_BYTES = 2**53
REQUESTS_PREFIX = "/v1/requests/"


@dataclass(frozen=True, slots=True)
class CallerContext:
    """Represent an authenticated caller and the options of its request.

    `deadline_s` is the time from now, or None for the default.
    """

    binding: Binding
    workspace: Workspace
    priority: int
    deadline_s: float | None


@dataclass(frozen=True, slots=True)
class Accepted:
    """Represent an accepted request; `durability` is the value of its header."""

    request_id: str
    durability: str
    reader: AnswerReader


@dataclass(frozen=True, slots=True)
class Readers:
    """Pair the first reader of an answer with one that follows changes of the owner."""

    first: AnswerReader
    follow: AnswerReader


@dataclass(frozen=True, slots=True)
class CallerDependencies:
    """Bundle the collaborators of `CallerApp`."""

    inventory: Callable[[], Inventory | None]
    not_ready_reason: Callable[[], str | None]
    accept: Callable[[CallerContext, ChatRequest], Result[Accepted, Problem]]
    find_answer: Callable[[str, Binding], Result[AnswerReader, Problem]]
    follow_answer: Callable[[str, Binding], AnswerReader]
    call_plain: Callable[[CallerContext, PlainRequest], Result[PlainResponse, Problem]]
    issue_key: Callable[[CallerContext], str]
    streams: StreamLoop
    max_body_bytes: int
    report_fault: Callable[[str], object]


class CallerApp:
    """Authenticate callers, and answer model requests and plain calls."""

    def __init__(self, dependencies: CallerDependencies) -> None:
        self._dependencies = dependencies

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one request; an unexpected exception becomes an internal error.

        Raises AnswerAborted if the connection must be closed.
        """
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return send_json(start, {"status": "ok"})
        if path == "/readyz":
            return self._answer_readiness(start)
        try:
            return self._answer_authenticated(environ, start, path)
        except Refused as refused:
            return send_problem(start, refused.problem)
        except AnswerAborted:
            raise
        except Exception as error:
            self._dependencies.report_fault(repr(error))
            return send_problem(start, internal())

    def _answer_readiness(self, start: StartResponse) -> Iterable[bytes]:
        reason = self._dependencies.not_ready_reason()
        if reason is None:
            return send_json(start, {"status": "ready"})
        document = {"status": "not ready", "reason": reason}
        return send_json(start, document, HTTPStatus.SERVICE_UNAVAILABLE)

    def _answer_authenticated(
        self, environ: Environ, start: StartResponse, path: str
    ) -> Iterable[bytes]:
        context = self._authenticate(environ)
        method = environ["REQUEST_METHOD"]
        if path == "/v1/chat/completions" and method == "POST":
            return self._answer_chat(environ, start, context)
        if path == "/v1/idempotency-keys" and method == "POST":
            key = self._dependencies.issue_key(context)
            return send_json(start, {"key": key}, HTTPStatus.CREATED)
        if path.startswith(REQUESTS_PREFIX) and method == "GET":
            return self._read_answer(environ, start, context, path)
        if path.startswith(SERVICES_PREFIX):
            return self._call_plain(environ, start, context)
        raise Refused(not_found("this path"))

    def _authenticate(self, environ: Environ) -> CallerContext:
        inventory = self._dependencies.inventory()
        if inventory is None:
            raise Refused(not_ready("this node has no inventory yet"))
        credential = bearer_credential(environ.get("HTTP_AUTHORIZATION"))
        if credential is None:
            raise Refused(unauthorized())
        sha256 = hash_credential(credential)
        principal = inventory.principal(sha256)
        if principal is None:
            raise Refused(unauthorized())
        workspace = principal.workspace
        return CallerContext(
            Binding(workspace.fleet, workspace.name, sha256),
            workspace,
            _priority(environ, workspace),
            _deadline_s(environ),
        )

    def _answer_chat(
        self, environ: Environ, start: StartResponse, context: CallerContext
    ) -> Iterable[bytes]:
        chat = _unwrap(
            parse_chat(read_body(environ, self._dependencies.max_body_bytes))
        )
        accepted = _unwrap(self._dependencies.accept(context, chat))
        headers = [
            (REQUEST_ID_HEADER, accepted.request_id),
            (DURABILITY_HEADER, accepted.durability),
        ]
        follow = self._dependencies.follow_answer(accepted.request_id, context.binding)
        readers = Readers(accepted.reader, follow)
        return self._deliver(environ, start, readers, headers, 0)

    def _read_answer(
        self, environ: Environ, start: StartResponse, context: CallerContext, path: str
    ) -> Iterable[bytes]:
        request_id = path.removeprefix(REQUESTS_PREFIX)
        from_byte = _from_byte(environ)
        reader = _unwrap(self._dependencies.find_answer(request_id, context.binding))
        if isinstance(reader, LocalReader) and reader.is_beyond_end(from_byte):
            # An empty response would look like the end of the answer.
            raise Refused(malformed("from is beyond the end", "send a smaller from"))
        follow = self._dependencies.follow_answer(request_id, context.binding)
        headers = [(REQUEST_ID_HEADER, request_id)]
        readers = Readers(reader, follow)
        return self._deliver(environ, start, readers, headers, from_byte)

    def _deliver(
        self,
        environ: Environ,
        start: StartResponse,
        readers: Readers,
        headers: list[tuple[str, str]],
        from_byte: int,
    ) -> Iterable[bytes]:
        if readers.first.streams:
            headers.append(("Content-Type", "text/event-stream"))
            headers.append(("Cache-Control", "no-store"))
            # The empty write sends the headers at once, so that a caller whose
            # connection breaks knows the request id.
            start(status_line(HTTPStatus.OK), headers)(b"")
            sender = environ.get(DIRECT_SENDER_KEY)
            return stream_answer(
                readers.first,
                from_byte,
                sender,
                self._dependencies.streams,
                readers.follow,
            )
        result = read_complete(readers.follow, from_byte)
        problem = result.error if result.is_error() else result.ok.problem
        if problem is None and from_byte == 0:
            # Other nodes send the bytes of a failed answer without its problem.
            problem = parse_failure(result.ok.data)
        if problem is not None:
            # The caller needs the request id to read the answer from another node.
            return send_problem(start, problem, headers)
        headers.append(("Content-Type", "application/json"))
        return send(start, HTTPStatus.OK, headers, result.ok.data)

    def _call_plain(
        self, environ: Environ, start: StartResponse, context: CallerContext
    ) -> Iterable[bytes]:
        service, target = _unwrap(plain_target(environ["REQUEST_URI"]))
        request = PlainRequest(
            service=service,
            method=environ["REQUEST_METHOD"],
            path=target,
            headers=_unwrap(headers_to_upstream(environ)),
            body=read_body(environ, self._dependencies.max_body_bytes),
            idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY"),
        )
        response = _unwrap(self._dependencies.call_plain(context, request))
        headers = headers_from_upstream(response.headers)
        headers.append((REQUEST_ID_HEADER, response.request_id))
        start(f"{response.status} {status_phrase(response.status)}", headers)
        return response.body


def _unwrap(result: Result[T, Problem]) -> T:
    if result.is_error():
        raise Refused(result.error)
    return result.ok


def _priority(environ: Environ, workspace: Workspace) -> int:
    text = environ.get("HTTP_CICADAPASS_PRIORITY", "0")
    priority = parse_number(text, 0, MAX_PRIORITY)
    if priority is None:
        remedy = f"send a whole number from 0 to {MAX_PRIORITY}"
        raise Refused(malformed("Cicadapass-Priority is out of range", remedy))
    return min(priority, workspace.max_priority)


def _deadline_s(environ: Environ) -> float | None:
    text = environ.get("HTTP_CICADAPASS_DEADLINE_MS")
    if text is None:
        return None
    deadline_ms = parse_number(text, 1, MAX_DEADLINE_MS)
    if deadline_ms is None:
        remedy = f"send a whole number of ms from 1 to {MAX_DEADLINE_MS}"
        raise Refused(malformed("Cicadapass-Deadline-Ms is out of range", remedy))
    return deadline_ms / 1000


def _from_byte(environ: Environ) -> int:
    values = parse_qs(environ.get("QUERY_STRING", "")).get("from", ["0"])
    from_byte = (
        parse_number(values[0], 0, MAX_OFFSET_BYTES) if len(values) == 1 else None
    )
    if from_byte is None:
        raise Refused(malformed("from is not a byte offset", "send from=0 or more"))
    return from_byte
