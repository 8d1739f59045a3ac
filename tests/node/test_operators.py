"""Test the operators' HTTP interface and the parsing of its answers."""

import io
import json

import testtools
from expression import Error, Ok

from cicadapass.operators import MAX_PUBLISH_BYTES, OperatorApp, OperatorDependencies
from cicadapass.problems import not_found
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
    Candidate,
    DrainAnswer,
    EventsAnswer,
    ExplainAnswer,
    InventoryAnswer,
    KindTraffic,
    MembersAnswer,
    MemberStatus,
    NodeStatus,
    PublishAnswer,
    PublishBody,
    TrafficAnswer,
    UpstreamsAnswer,
    UpstreamStatus,
    VerdictEntry,
    parse_answer,
)
from cicadapass_decisions.logrecords import PublishOutcome
from cicadapass_decisions.types import Verdict
from tests.decisions.documents import inventory_document, sha256_of

KEY = "operators-key"
BODY = {
    "publish_id": "p",
    "author": "a",
    "base_offset": -1,
    "document": inventory_document(),
}
ANSWERS = {
    STATUS_PATH: NodeStatus("n", "f", "dc-a", "i", True, False, -1),
    INVENTORY_PATH: InventoryAnswer(
        3,
        4,
        "p",
        "a",
        inventory_document(),
        (VerdictEntry("p", PublishOutcome.ACCEPTED, 3, 3, "a"),),
    ),
    UPSTREAMS_PATH: UpstreamsAnswer(
        "n",
        (
            UpstreamStatus("f", "u", "s", "dc-a", 1, 2.5, report_age_s=0.5),
            UpstreamStatus("f", "v", "s", "dc-a", 0, 8.0, leaving=True),
        ),
    ),
    MEMBERS_PATH: MembersAnswer("n", (MemberStatus("m", "i", "f", "dc-a", "alive"),)),
    TRAFFIC_PATH: TrafficAnswer("n", (KindTraffic("probe", 2, 300),), ()),
    EVENTS_PATH: EventsAnswer("n", ({"event": 1, "fields": [1, None]},)),
    EXPLAIN_PATH: ExplainAnswer("n", None, ("r",), (Candidate("u", False),)),
}


class OperatorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.published = []
        self.drained = []
        self.event_queries = []
        self.faults = []
        self.fault = None
        self.app = OperatorApp(
            OperatorDependencies(
                operator_sha256=sha256_of(KEY),
                status=self._status,
                inventory=lambda: ANSWERS[INVENTORY_PATH],
                upstreams=lambda: ANSWERS[UPSTREAMS_PATH],
                members=lambda: ANSWERS[MEMBERS_PATH],
                traffic=lambda: ANSWERS[TRAFFIC_PATH],
                events=self._events,
                explain=self._explain,
                publish=self._publish,
                drain=self._drain,
                report_fault=self.faults.append,
            )
        )

    def _status(self):
        if self.fault is not None:
            raise self.fault
        return ANSWERS[STATUS_PATH]

    def _events(self, request_id, since_ms):
        self.event_queries.append((request_id, since_ms))
        return ANSWERS[EVENTS_PATH]

    def _explain(self, fleet, service, workspace):
        if fleet != "f":
            return Error(not_found("service"))
        return Ok(ANSWERS[EXPLAIN_PATH])

    def _publish(self, body):
        self.published.append(body)
        return PublishAnswer("accepted", 7, ("a",))

    def _drain(self):
        self.drained.append(True)
        return DrainAnswer(True, 2)

    def _request(self, method, path, body=b"", authorization=f"Bearer {KEY}"):
        path, _, query = path.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        if authorization is not None:
            environ["HTTP_AUTHORIZATION"] = authorization
        started = []

        def start(status, headers):
            started[:] = [int(status[:3]), {k.lower(): v for k, v in headers}]
            return lambda data: None

        data = b"".join(self.app(environ, start))
        return (*started, data)

    def test_each_answer_parses_back(self):
        """Cicadapassctl must be able to parse each answer of the node."""
        queries = {EXPLAIN_PATH: "?fleet=f&service=s&workspace=w"}
        for path, expected in ANSWERS.items():
            status, _, data = self._request("GET", path + queries.get(path, ""))
            self.assertEqual(200, status)
            self.assertEqual(Ok(expected), parse_answer(data, type(expected)))

    def test_a_publish_reaches_the_node(self):
        """The published document must arrive unchanged."""
        status, _, data = self._request("POST", PUBLISH_PATH, json.dumps(BODY).encode())
        self.assertEqual(200, status)
        expected = PublishAnswer("accepted", 7, ("a",))
        self.assertEqual(Ok(expected), parse_answer(data, PublishAnswer))
        self.assertEqual([PublishBody(**BODY)], self.published)

    def test_a_drain_is_answered(self):
        """An operator must see how many requests are still in progress."""
        data = self._request("POST", DRAIN_PATH)[2]
        self.assertEqual(Ok(DrainAnswer(True, 2)), parse_answer(data, DrainAnswer))

    def test_credentials_are_required(self):
        """No path may be used without the operators' credential."""
        for value in (
            None,
            "",
            "Bearer",
            f"Basic {KEY}",
            "Bearer x",
            f"Bearer {KEY} x",
        ):
            for method, path in (
                *(("GET", path) for path in ANSWERS),
                ("POST", PUBLISH_PATH),
                ("POST", DRAIN_PATH),
                ("GET", "/other"),
            ):
                body = json.dumps(BODY).encode()
                self.assertEqual(401, self._request(method, path, body, value)[0])
        self.assertEqual([], self.published + self.drained + self.event_queries)

    def test_malformed_publishes_are_refused(self):
        """A malformed publish is refused with a detail and not appended to the log."""
        bodies = [b"", b"\xff", b"[]", b"null", b"{}", b"[" * 9000, b"9" * 9000]
        for name in BODY:
            bodies.append(json.dumps(BODY | {name: None}).encode())
            bodies.append(json.dumps(BODY | {name: [1]}).encode())
        bodies.append(json.dumps(BODY | {"base_offset": -2}).encode())
        bodies.append(json.dumps(BODY | {"base_offset": True}).encode())
        for body in bodies:
            status, headers, data = self._request("POST", PUBLISH_PATH, body)
            self.assertEqual(400, status, body[:80])
            self.assertEqual("not-run", headers["cicadapass-verdict"])
            self.assertNotEqual("", json.loads(data)["detail"])
        body = b"x" * (MAX_PUBLISH_BYTES + 1)
        self.assertEqual(413, self._request("POST", PUBLISH_PATH, body)[0])
        self.assertEqual([], self.published)

    def test_queries_are_checked(self):
        """Malformed queries must get a 4xx status, not an internal error."""
        self.assertEqual(
            200, self._request("GET", EVENTS_PATH + "?request_id=r&since=5")[0]
        )
        self.assertEqual([("r", 5)], self.event_queries)
        for since in ("x", "-1", "%C2%B2", "9" * 5000):
            self.assertEqual(
                400, self._request("GET", f"{EVENTS_PATH}?since={since}")[0]
            )
        self.assertEqual(404, self._request("GET", EXPLAIN_PATH + "?fleet=x")[0])
        for method, path in (("POST", STATUS_PATH), ("GET", PUBLISH_PATH)):
            self.assertEqual(404, self._request(method, path)[0])

    def test_a_fault_is_reported(self):
        """An internal error must be reported as an event."""
        self.fault = RuntimeError("fault")
        status, headers, _ = self._request("GET", STATUS_PATH)
        self.assertEqual(500, status)
        self.assertEqual(str(Verdict.UNKNOWN), headers["cicadapass-verdict"])
        self.assertEqual(["RuntimeError('fault')"], self.faults)
