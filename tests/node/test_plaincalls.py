"""Test that plain calls run at most once and report correctly whether they ran."""

import random

import testtools
import urllib3

from cicadapass.grants import AcquireRequest, Grant
from cicadapass.plaincalls import BUFFERED_BODY_BYTES, PlainDependencies, PlainExecution
from cicadapass.services import PlainCall, ServiceClient
from cicadapass.upstreamhttp import Timeouts, new_pool
from cicadapass_common.events import EventLog
from cicadapass_decisions.admission import Refusal, RefusalReason
from cicadapass_decisions.policy import RetryRules
from cicadapass_decisions.retry import RetryBudget, next_step
from cicadapass_decisions.types import Verdict
from cicadapass_decisions.work import WorkClass, WorkKind
from tests.node.rawupstream import OK, RawUpstream, free_port_url

PLAIN = WorkClass(WorkKind.SHORT, 1, 1.0)
NOT_RUN = b"HTTP/1.1 503 Busy\r\nCicadapass-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nX-Own: 1\r\n\r\nbusy"
FAILED = b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"
CONFLICT = b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno"
PARTIAL_HEAD = b"HTTP/1.1 200 OK\r\nContent-Le"
HEAD_WITHOUT_END = b"HTTP/1.1 200 OK\r\nX-Own: 1\r\n"
SHORT_BODY = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
TRUNCATED_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
LARGE_BODY_BYTES = BUFFERED_BODY_BYTES * 2
LARGE_BODY_HEAD = (
    f"HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n".encode()
)
BREAKS = (
    None,
    RawUpstream.RESET,
    b"",
    PARTIAL_HEAD,
    HEAD_WITHOUT_END,
    SHORT_BODY,
    TRUNCATED_CHUNKS,
    RawUpstream.SILENT,
)


class PlainHarness:
    """Run calls against upstreams and check that each grant is released once."""

    def __init__(self, *urls, retry_rules=None):
        self.urls = urls
        self.granted = []
        self.released = []
        self.now_s = 0.0
        self._retry_rules = retry_rules or RetryRules(backoff_s=0.0)
        self.client = ServiceClient(new_pool(4), Timeouts(connect_s=1.0, read_s=0.3))

    def call(self, repeatable, method="POST", may_send=lambda: True, **fields):
        """Return the result of one call."""
        headers = fields.get("headers", (("X-A", "1"),))
        body = b"" if method == "GET" else b"{}"
        call = PlainCall(method, "/payments", headers, body, repeatable)
        acquire_request = AcquireRequest("r", "f/orders", "f/w", PLAIN, 60.0)
        return PlainExecution(
            call, acquire_request, self.dependencies(), may_send
        ).run()

    def _acquire(self, acquire_request):
        number = len(self.granted)
        if number == len(self.urls):
            return Refusal(RefusalReason.DEADLINE, 0.0)
        grant = Grant(number, acquire_request, str(number), PLAIN, 0.0, 0.0, False, ())
        self.granted.append(grant)
        return grant

    def _release(self, grant, outcome):
        self.released.append((grant.number, outcome))

    def _next_step(self, service, attempts, failure, request):
        budget = RetryBudget(100.0)
        rng = random.Random(1)
        decision = next_step(
            attempts, failure, request, budget, 0.0, rng, self._retry_rules
        )
        return decision.step

    def dependencies(self):
        class _FakeGrantManager:
            release = staticmethod(self._release)
            next_step = staticmethod(self._next_step)

        return PlainDependencies(
            acquire=self._acquire,
            grant_manager=_FakeGrantManager,
            client=self.client,
            url_of=lambda name: self.urls[int(name)],
            events=EventLog("n", lambda: (0, 0)),
            sleep=lambda delay_s: None,
            clock=lambda: self.now_s,
        )


class PlainCallTest(testtools.TestCase):
    def _upstream(self, *scripts):
        upstream = RawUpstream(*scripts)
        self.addCleanup(upstream.close)
        return upstream

    def _assert_released(self, harness):
        numbers = [number for number, _ in harness.released]
        self.assertEqual([grant.number for grant in harness.granted], numbers)

    def test_a_broken_call_is_never_sent_again(self):
        """A payment may have taken effect although its answer was lost."""
        for script in BREAKS:
            first, second = self._upstream(script), self._upstream()
            harness = PlainHarness(first.url, second.url)
            result = harness.call(repeatable=False)
            self.assertEqual(Verdict.UNKNOWN, result.error.verdict, script)
            self.assertEqual((1, 0), (first.connections, second.connections), script)
            self._assert_released(harness)

    def test_a_broken_repeatable_call_is_sent_to_another_upstream(self):
        """A repeatable read must survive the failure of one upstream."""
        for script in BREAKS:
            first, second = self._upstream(script), self._upstream()
            harness = PlainHarness(first.url, second.url)
            result = harness.call(repeatable=True, method="GET")
            self.assertEqual([b"ok"], list(result.ok.body), script)
            self._assert_released(harness)

    def test_a_refused_connection_proves_that_nothing_ran(self):
        """No byte reached the upstream, so the call may go to another one."""
        second = self._upstream()
        harness = PlainHarness(free_port_url(), second.url)
        self.assertTrue(harness.call(repeatable=False).is_ok())
        harness = PlainHarness(free_port_url())
        self.assertEqual(Verdict.NOT_RUN, harness.call(repeatable=False).error.verdict)
        self._assert_released(harness)

    def test_an_upstream_can_prove_that_nothing_ran(self):
        """The caller of a shed payment may send it again."""
        upstream = self._upstream(NOT_RUN)
        harness = PlainHarness(upstream.url, retry_rules=RetryRules(retry=False))
        self.assertEqual(Verdict.NOT_RUN, harness.call(repeatable=False).error.verdict)
        self._assert_released(harness)

    def test_service_errors_pass_through(self):
        """The meaning of a service's errors is specific to the service."""
        for script, status in ((FAILED, 500), (CONFLICT, 409), (BUSY, 503)):
            harness = PlainHarness(self._upstream(script).url)
            result = harness.call(repeatable=False)
            self.assertEqual(status, result.ok.status)
            body = script.partition(b"\r\n\r\n")[2]
            self.assertEqual(body, b"".join(result.ok.body))

    def test_last_service_error_of_a_repeatable_call_passes_through(self):
        """A problem of the node would hide the service's error response."""
        harness = PlainHarness(
            self._upstream(BUSY).url,
            self._upstream(BUSY).url,
            retry_rules=RetryRules(backoff_s=0.0, max_attempts=2),
        )
        result = harness.call(repeatable=True)
        self.assertEqual((503, [b"busy"]), (result.ok.status, result.ok.body))
        self.assertIn(("X-Own", "1"), result.ok.headers)
        self.assertEqual(2, len(harness.granted))
        self._assert_released(harness)

    def test_kept_connection_is_not_used_for_unrepeatable_calls(self):
        """A call is lost if the upstream closes the kept connection meanwhile."""
        upstream = self._upstream((OK,), OK)
        harness = PlainHarness(upstream.url, upstream.url)
        list(harness.call(repeatable=True, method="GET").ok.body)
        result = harness.call(repeatable=False)
        self.assertEqual([b"ok"], list(result.ok.body))
        self.assertEqual(2, upstream.connections)

    def test_an_expired_claim_is_not_sent(self):
        """After its expiry, the claim may belong to another node."""
        upstream = self._upstream()
        harness = PlainHarness(upstream.url, upstream.url)
        result = harness.call(repeatable=False, may_send=lambda: False)
        self.assertEqual(Verdict.NOT_RUN, result.error.verdict)
        self.assertEqual(0, upstream.connections)
        self._assert_released(harness)
        # The upstream must not count as failing, and there is no second attempt.
        self.assertEqual([False], [outcome.failed for _, outcome in harness.released])

    def test_a_claim_that_expires_between_attempts_is_not_sent(self):
        """The first attempt proved that nothing ran; the second must not start."""
        upstream = self._upstream()
        harness = PlainHarness(free_port_url(), upstream.url)
        answers = iter([True, False])
        result = harness.call(repeatable=False, may_send=lambda: next(answers))
        self.assertEqual(Verdict.NOT_RUN, result.error.verdict)
        self.assertEqual(0, upstream.connections)

    def test_a_call_after_its_deadline_is_not_sent(self):
        """After the deadline, the caller no longer waits for the answer."""
        upstream = self._upstream()
        harness = PlainHarness(upstream.url)
        harness.now_s = 61.0
        result = harness.call(repeatable=False)
        self.assertEqual(Verdict.NOT_RUN, result.error.verdict)
        self.assertEqual(0, upstream.connections)

    def test_the_upstream_gets_the_remaining_time(self):
        """An upstream must not work for longer than the caller waits."""
        upstream = self._upstream()
        harness = PlainHarness(upstream.url)
        harness.now_s = 59.0
        harness.call(repeatable=False)
        self.assertIn(b"\r\nCicadapass-Deadline-Ms: 1000\r\n", upstream.requests[0])

    def test_a_fault_while_sending_releases_the_grant(self):
        """A leaked grant would occupy a slot of the upstream permanently."""
        harness = PlainHarness(self._upstream().url)
        headers = (("X-A", "a\r\nb: c"),)
        self.assertRaises(ValueError, harness.call, repeatable=False, headers=headers)
        self._assert_released(harness)

    def test_a_truncated_large_body_aborts_the_answer(self):
        """A truncated answer must not look complete."""
        truncated = self._upstream(LARGE_BODY_HEAD + b"x" * (LARGE_BODY_BYTES - 1))
        harness = PlainHarness(truncated.url)
        body = harness.call(repeatable=True, method="GET").ok.body
        self.assertRaises(urllib3.exceptions.HTTPError, b"".join, body)
        body.close()
        self._assert_released(harness)
        self.assertTrue(harness.released[0][1].failed)

    def test_an_unread_large_body_releases_the_grant(self):
        """Closing a body before reading it must not count as an upstream failure."""
        complete = LARGE_BODY_HEAD + b"x" * LARGE_BODY_BYTES
        for read_first in (False, True):
            harness = PlainHarness(self._upstream(complete).url)
            body = harness.call(repeatable=True, method="GET").ok.body
            if read_first:
                next(iter(body))
            body.close()
            self._assert_released(harness)
            self.assertFalse(harness.released[0][1].failed)

    def test_a_large_body_is_delivered_completely(self):
        """The streamed bytes must follow the buffered ones."""
        harness = PlainHarness(
            self._upstream(LARGE_BODY_HEAD + b"x" * LARGE_BODY_BYTES).url
        )
        body = harness.call(repeatable=True, method="GET").ok.body
        self.assertEqual(LARGE_BODY_BYTES, len(b"".join(body)))
        self._assert_released(harness)

    def test_an_answer_without_a_body_keeps_its_headers(self):
        """The length of a HEAD answer is that of the body that GET would return."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
        harness = PlainHarness(self._upstream(head).url)
        result = harness.call(repeatable=True, method="HEAD")
        self.assertIn(("Content-Length", "9"), result.ok.headers)
        empty = b"HTTP/1.1 204 No Content\r\n\r\n"
        harness = PlainHarness(self._upstream(empty).url)
        result = harness.call(repeatable=True, method="GET")
        self.assertEqual((), result.ok.headers)
