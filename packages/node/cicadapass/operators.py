"""HTTP interface for operators, on a separate address that callers cannot reach."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qs

from expression import Result

from cicadapass.httpserver import Environ, StartResponse
from cicadapass.problems import Problem, internal, malformed, not_found, unauthorized
from cicadapass.webreply import (
    Refused,
    parse_number,
    read_body,
    send_json,
    send_problem,
)
from cicadapass_common.credentials import bearer_credential, credential_matches
from cicadapass_common.operator_api import (
    DRAIN_PATH,
    EVENTS_PATH,
    EXPLAIN_PATH,
    INVENTORY_PATH,
    MEMBERS_PATH,
    PUBLISH_PATH,
    STATUS_PATH,
    TRAFFIC_PATH,
    UPSTREAMS_PATH,
    DrainAnswer,
    EventsAnswer,
    ExplainAnswer,
    InventoryAnswer,
    MembersAnswer,
    NodeStatus,
    PublishAnswer,
    PublishBody,
    TrafficAnswer,
    UpstreamsAnswer,
    parse_answer,
)
from cicadapass_decisions.options import to_document

MAX_PUBLISH_BYTES = 4 * 1024 * 1024
MAX_SINCE_MS = 2**53
Query = dict[str, str]


@dataclass(frozen=True, slots=True)
class OperatorDependencies:
    """Bundle the functions that answer operators' requests."""

    operator_sha256: str
    status: Callable[[], NodeStatus]
    inventory: Callable[[], InventoryAnswer]
    upstreams: Callable[[], UpstreamsAnswer]
    members: Callable[[], MembersAnswer]
    traffic: Callable[[], TrafficAnswer]
    events: Callable[[str | None, int], EventsAnswer]
    explain: Callable[[str, str, str], Result[ExplainAnswer, Problem]]
    publish: Callable[[PublishBody], PublishAnswer]
    drain: Callable[[], DrainAnswer]
    report_fault: Callable[[str], object]


class OperatorApp:
    """Serve operators' requests as a WSGI application."""

    def __init__(self, dependencies: OperatorDependencies) -> None:
        self._dependencies = dependencies
        self._read_handlers: dict[str, Callable[[Query], object]] = {
            STATUS_PATH: lambda query: dependencies.status(),
            INVENTORY_PATH: lambda query: dependencies.inventory(),
            UPSTREAMS_PATH: lambda query: dependencies.upstreams(),
            MEMBERS_PATH: lambda query: dependencies.members(),
            TRAFFIC_PATH: lambda query: dependencies.traffic(),
            EVENTS_PATH: self._events,
            EXPLAIN_PATH: self._explain,
        }

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Authenticate and answer one request; report unexpected exceptions."""
        try:
            self._authenticate(environ)
            answer = self._route(environ)
        except Refused as refused:
            return send_problem(start, refused.problem)
        except Exception as error:
            self._dependencies.report_fault(repr(error))
            return send_problem(start, internal())
        return send_json(start, to_document(answer), HTTPStatus.OK)

    def _authenticate(self, environ: Environ) -> None:
        credential = bearer_credential(environ.get("HTTP_AUTHORIZATION"))
        if credential is None or not credential_matches(
            credential, self._dependencies.operator_sha256
        ):
            raise Refused(unauthorized())

    def _route(self, environ: Environ) -> object:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if method == "GET" and path in self._read_handlers:
            values = parse_qs(environ.get("QUERY_STRING", ""))
            return self._read_handlers[path](
                {name: value_list[0] for name, value_list in values.items()}
            )
        if method == "POST" and path == PUBLISH_PATH:
            return self._publish(environ)
        if method == "POST" and path == DRAIN_PATH:
            return self._dependencies.drain()
        raise Refused(not_found("this path"))

    def _events(self, query: Query) -> EventsAnswer:
        since = query.get("since", "0")
        since_ms = parse_number(since, 0, MAX_SINCE_MS)
        if since_ms is None:
            raise Refused(malformed("since is not a time in ms", "send since=0"))
        return self._dependencies.events(query.get("request_id"), since_ms)

    def _explain(self, query: Query) -> ExplainAnswer:
        names = [query.get(name, "") for name in ("fleet", "service", "workspace")]
        result = self._dependencies.explain(*names)
        if result.is_error():
            raise Refused(result.error)
        return result.ok

    def _publish(self, environ: Environ) -> PublishAnswer:
        body = read_body(environ, MAX_PUBLISH_BYTES)
        result = parse_answer(body, PublishBody)
        if result.is_error():
            problems = "; ".join(str(problem) for problem in result.error)
            raise Refused(malformed(problems, "correct the body"))
        return self._dependencies.publish(result.ok)
