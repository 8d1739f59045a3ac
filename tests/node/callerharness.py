"""Harness that runs the callers' application without a server."""

import io

from expression import Error, Ok

from cicadapass.callers import Accepted, CallerApp, CallerDependencies
from cicadapass.delivery import LocalReader
from cicadapass.plaincalls import PlainResponse
from cicadapass.problems import not_found
from cicadapass_decisions.inventory import parse_inventory
from tests.decisions.documents import inventory_document

MAX_BODY_BYTES = 10_000


class StoppedLoop:
    """Replace a stream loop that does not run."""

    alive = False


class CallerHarness:
    """Run a `CallerApp` with fake collaborators and record its calls to them."""

    def __init__(self, answer=None):
        self.inventory = parse_inventory(inventory_document()).ok
        self.answer = answer
        self.reader = None
        self.accepted = []
        self.searched = []
        self.calls = []
        self.faults = []
        self.call_result = Ok(PlainResponse("r", 200, (("X-Own", "1"),), [b"ok"]))
        self.app = CallerApp(
            CallerDependencies(
                inventory=lambda: self.inventory,
                not_ready_reason=lambda: None,
                accept=self._accept,
                find_answer=self._find,
                follow_answer=lambda request_id, binding: self._reader(),
                call_plain=self._call,
                issue_key=lambda context: "key",
                streams=StoppedLoop(),
                max_body_bytes=MAX_BODY_BYTES,
                report_fault=self.faults.append,
            )
        )

    def request(self, method, uri, body=b"", credential=None, **headers):
        """Send one request; return the status, headers and body of the response."""
        path, _, query = uri.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "REQUEST_URI": uri,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        for name, value in headers.items():
            environ["HTTP_" + name.upper()] = value
        if credential is not None:
            environ["HTTP_AUTHORIZATION"] = f"Bearer {credential}"
        started = []

        def start(status, headers):
            started[:] = [int(status[:3]), {k.lower(): v for k, v in headers}]
            return lambda data: None

        body = self.app(environ, start)
        return (*started, b"".join(body))

    def _reader(self):
        return self.reader or LocalReader(self.answer)

    def _accept(self, context, chat):
        self.accepted.append((context, chat))
        return Ok(Accepted("r", "single-node", LocalReader(self.answer)))

    def _find(self, request_id, binding):
        self.searched.append((request_id, binding))
        if self.answer is None:
            return Error(not_found("this request"))
        return Ok(self._reader())

    def _call(self, context, request):
        self.calls.append((context, request))
        if isinstance(self.call_result, Exception):
            raise self.call_result
        return self.call_result
