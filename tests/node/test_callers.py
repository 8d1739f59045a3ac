"""Test the callers' HTTP API: accepted and refused requests, and responses."""

import json

import testtools
from expression import Error, Ok

from cicadapass.answers import Answer
from cicadapass.delivery import AnswerAborted, Piece
from cicadapass.failures import failure_problem
from cicadapass.render import AnswerFormat, AnswerHead
from cicadapass_decisions.retry import Abandon
from cicadapass_decisions.types import Verdict
from tests.decisions.documents import sha256_of
from tests.node.callerharness import MAX_BODY_BYTES, CallerHarness

KEY = "grabhandle-k1"
CHAT = "/v1/chat/completions"
PROBLEM = failure_problem(Abandon(Verdict.UNKNOWN, "test"))
MESSAGES = [{"role": "user", "content": "hi"}]


def _chat(**changes):
    return json.dumps({"model": "parts", "messages": MESSAGES} | changes).encode()


def _new_answer(answer_format, texts=("a", "b"), problem=None):
    answer = Answer(AnswerHead("r", 1, "parts", answer_format), texts)
    if problem is None:
        answer.finish()
        answer.end()
    else:
        answer.fail(problem)
    return answer


class CallerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.harness = CallerHarness(_new_answer(AnswerFormat.EVENT_STREAM))

    def _assert_refused(self, reply, status, verdict="not-run"):
        self.assertEqual(status, reply[0])
        self.assertEqual(verdict, reply[1]["cicadapass-verdict"])
        self.assertEqual("application/problem+json", reply[1]["content-type"])
        self.assertEqual(
            {"type", "title", "status", "detail", "verdict", "remedy"},
            set(json.loads(reply[2])),
        )

    def _request_refused(
        self, status, method, uri, body=b"", credential=KEY, **headers
    ):
        reply = self.harness.request(method, uri, body, credential, **headers)
        self._assert_refused(reply, status)
        self.assertEqual([], self.harness.accepted + self.harness.calls)
        return reply

    def test_credentials_are_required(self):
        """Without a valid credential, no path of a fleet is accessible."""
        for path in (CHAT, "/v1/requests/r", "/v1/services/orders/x", "/v1/other"):
            reply = self._request_refused(401, "POST", path, _chat(), credential=None)
            self.assertEqual("Bearer", reply[1]["www-authenticate"])
            for value in ("", "Bearer", "Bearer ", "Basic x", "Bearer x y", "\xff"):
                self._request_refused(
                    401, "POST", path, _chat(), credential=None, authorization=value
                )
            self._request_refused(401, "POST", path, _chat(), credential="klasite-k2")

    def test_the_binding_is_that_of_the_credential(self):
        """Short names are not unique across fleets; the credential names the fleet."""
        for fleet in ("grabhandle", "klasite"):
            self.harness.request("GET", "/v1/requests/r", credential=f"{fleet}-k1")
            request_id, binding = self.harness.searched[-1]
            self.assertEqual("r", request_id)
            self.assertEqual((fleet, "counter"), (binding.fleet, binding.workspace))
            self.assertEqual(sha256_of(f"{fleet}-k1"), binding.credential_sha256)

    def test_an_unknown_request_is_not_found(self):
        """The id of another caller's request must be reported as not found."""
        self.harness.answer = None
        for name in ("r", "", "a/b", "r\r\nX-Injected: 1", "r" * 9000):
            self._request_refused(404, "GET", "/v1/requests/" + name)

    def test_malformed_bodies_are_refused(self):
        """A malformed body must not cause an internal error."""
        for body in (
            b"",
            b"\xff",
            b"nonsense",
            b"[]",
            b"null",
            b"[" * 9000,
            b'{"a":' * 1800,
            b"9" * 9000,
            _chat(model=None),
            _chat(model=""),
            _chat(model=7),
            _chat(messages=[]),
            _chat(messages={"role": "user"}),
            _chat(messages=[{"role": "user"}]),
            _chat(messages=[{"role": 1, "content": "x"}]),
            _chat(messages=[{"role": "user", "content": "\ud800"}]),
            _chat(messages=[None]),
            _chat(stream=1),
            _chat(max_tokens=0),
            _chat(max_tokens=True),
            _chat(max_tokens=1.0),
            _chat(max_tokens="1"),
            _chat(max_tokens=10**30),
            _chat(seed=-1),
            _chat(seed=float("nan")),
            _chat(seed=float("inf")),
            _chat(seed=1e400),
        ):
            self._request_refused(400, "POST", CHAT, body)

    def test_a_body_over_the_limit_is_refused(self):
        """A body uses memory on this node, at the holder of the copy and upstream."""
        for uri in (CHAT, "/v1/services/orders/x"):
            self._request_refused(413, "POST", uri, b"x" * (MAX_BODY_BYTES + 1))

    def test_malformed_headers_are_refused(self):
        """Digits of other scripts and long numbers caused internal errors."""
        for value in ("", "-1", "10", "x", "\xb2", "1.0", "9" * 5000):
            self._request_refused(400, "POST", CHAT, _chat(), cicadapass_priority=value)
        for value in ("", "0", "-1", "x", "\xb2", "86400001", "9" * 5000):
            self._request_refused(
                400, "POST", CHAT, _chat(), cicadapass_deadline_ms=value
            )
        for value in ("x", "-1", "%C2%B2", "1&from=2", "9" * 5000):
            self._request_refused(400, "GET", f"/v1/requests/r?from={value}")

    def test_priority_and_deadline_reach_the_dispatcher(self):
        """The workspace limits the priority that its callers may request."""
        self.harness.request(
            "POST",
            CHAT,
            _chat(stream=True),
            KEY,
            cicadapass_priority="9",
            cicadapass_deadline_ms="1500",
        )
        context, chat = self.harness.accepted[0]
        self.assertEqual((9, 1.5), (context.priority, context.deadline_s))
        self.assertEqual("user: hi", chat.prompt)

    def test_unknown_paths_and_methods_are_not_found(self):
        """A caller must not reach the operators' interface."""
        for method, path in (
            ("GET", CHAT),
            ("DELETE", "/v1/requests/r"),
            ("GET", "/v1/status"),
            ("POST", "/v1/publish"),
            ("GET", "//v1/services/orders/x"),
            ("GET", "/v1/services"),
        ):
            self._request_refused(404, method, path, _chat())

    def test_a_plain_call_is_forwarded_unchanged(self):
        """The path that decides repeatability must be the path that is sent."""
        status, headers, body = self.harness.request(
            "PUT",
            "/v1/services/orders/a%20b//c?d=%2F",
            b"{}",
            KEY,
            idempotency_key='"k"',
            x_own="1",
            connection="close, x-hop",
            x_hop="1",
            transfer_encoding="chunked",
            te="trailers",
            expect="100-continue",
        )
        self.assertEqual((200, b"ok"), (status, body))
        self.assertEqual("r", headers["cicadapass-request-id"])
        request = self.harness.calls[0][1]
        self.assertEqual(
            ("orders", "PUT", "/a%20b//c?d=%2F", b"{}", '"k"'),
            (
                request.service,
                request.method,
                request.path,
                request.body,
                request.idempotency_key,
            ),
        )
        self.assertEqual({"Idempotency-Key", "X-Own"}, dict(request.headers).keys())

    def test_injection_towards_the_upstream_is_refused(self):
        """A line end in a header, method or path would start another request."""
        uri = "/v1/services/orders/x"
        for value in ("a\r\nX: b", "a\rX: b", "a\nb", "a\x00b", "a\r b"):
            self._request_refused(400, "GET", uri, x_own=value)
        for name in ("x own", "x:own", "x\r\nown"):
            self._request_refused(400, "GET", uri, **{name: "1"})
        for method in ("GET /x HTTP/1.1\r\nA:", "G(T", ""):
            self._request_refused(400, method, uri)
        for path in ("/../x", "/%2e%2e/x", "/a\r\nb", "/a b"):
            self._request_refused(400, "GET", uri + path)

    def test_upstream_cannot_set_the_headers_of_the_node(self):
        """A request id or verdict of an upstream would mislead the caller."""
        result = self.harness.call_result.ok
        forged = (("Cicadapass-Verdict", "not-run"), ("cicadapass-request-id", "x"))
        object.__setattr__(result, "headers", forged)
        headers = self.harness.request("GET", "/v1/services/orders/x", b"", KEY)[1]
        self.assertEqual({"cicadapass-request-id": "r"}, headers)

    def test_a_fault_is_reported_and_unknown(self):
        """A call that ended in an internal error may have run."""
        self.harness.call_result = RuntimeError("fault")
        reply = self.harness.request("POST", "/v1/services/orders/x", b"", KEY)
        self._assert_refused(reply, 500, "unknown")
        self.assertEqual(["RuntimeError('fault')"], self.harness.faults)

    def test_a_problem_of_a_call_is_returned(self):
        """The verdict comes from the component that ran the call."""
        self.harness.call_result = Error(PROBLEM)
        reply = self.harness.request("POST", "/v1/services/orders/x", b"", KEY)
        self._assert_refused(reply, 502, "unknown")

    def test_a_json_answer_has_its_type_and_length(self):
        """A repeated read must return the same bytes with the same headers."""
        self.harness.answer = _new_answer(AnswerFormat.JSON)
        posted = self.harness.request("POST", CHAT, _chat(), KEY)
        self.assertEqual("application/json", posted[1]["content-type"])
        self.assertEqual("single-node", posted[1]["cicadapass-durability"])
        repeated = self.harness.request("GET", "/v1/requests/r", b"", KEY)
        self.assertEqual("application/json", repeated[1]["content-type"])
        self.assertEqual(posted[2], repeated[2])
        remaining = self.harness.request("GET", "/v1/requests/r?from=5", b"", KEY)
        self.assertEqual(posted[2][5:], remaining[2])

    def test_a_failed_json_answer_is_an_error(self):
        """With the status 200, callers would treat a failure as an answer."""
        self.harness.answer = _new_answer(AnswerFormat.JSON, problem=PROBLEM)
        for method, uri in (("POST", CHAT), ("GET", "/v1/requests/r")):
            reply = self.harness.request(method, uri, _chat(), KEY)
            self._assert_refused(reply, 502, "unknown")
            self.assertEqual("r", reply[1]["cicadapass-request-id"])

    def test_a_failed_json_answer_of_another_node_is_an_error(self):
        """Other nodes send the bytes of a failed answer without its problem."""
        failed = _new_answer(AnswerFormat.JSON, problem=PROBLEM).read(0, 0.0).data

        class Remote:
            streams = False

            def __call__(self, from_byte, wait_s):
                return Ok(Piece(failed[from_byte:], ended=True))

        self.harness.reader = Remote()
        reply = self.harness.request("GET", "/v1/requests/r", b"", KEY)
        self._assert_refused(reply, 502, "unknown")
        self.assertEqual("r", reply[1]["cicadapass-request-id"])

    def test_a_moved_json_answer_names_its_request(self):
        """The remedy is to read the answer with the request id."""
        self.harness.answer = Answer(AnswerHead("r", 1, "parts", AnswerFormat.JSON))
        self.harness.answer.abandon()
        reply = self.harness.request("POST", CHAT, _chat(), KEY)
        self._assert_refused(reply, 503, "run")
        self.assertEqual("r", reply[1]["cicadapass-request-id"])

    def test_a_moved_stream_is_aborted(self):
        """The end of the connection must not look like the end of the answer."""
        self.harness.answer = Answer(
            AnswerHead("r", 1, "parts", AnswerFormat.EVENT_STREAM), ["a"]
        )
        self.harness.answer.abandon()
        request = self.harness.request
        self.assertRaises(AnswerAborted, request, "POST", CHAT, _chat(stream=True), KEY)

    def test_offset_beyond_the_end_is_refused(self):
        """An empty response with the status 200 would look complete."""
        reply = self.harness.request("GET", "/v1/requests/r?from=100000", b"", KEY)
        self._assert_refused(reply, 400)

    def test_health_needs_no_credential(self):
        """The balancer probes without a credential."""
        for path in ("/healthz", "/readyz"):
            self.assertEqual(200, self.harness.request("GET", path)[0])

    def test_without_an_inventory_nothing_is_accepted(self):
        """Without an inventory, credentials cannot be verified."""
        self.harness.inventory = None
        reply = self._request_refused(503, "POST", CHAT, _chat())
        self.assertIn("retry-after", reply[1])
