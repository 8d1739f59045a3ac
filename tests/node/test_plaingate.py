"""Test how plain calls are classified before they are sent."""

import random

import testtools
from expression import Ok

from cicadapass.callers import CallerContext
from cicadapass.plaincalls import PlainRequest, PlainResponse
from cicadapass.plaingate import GateDependencies, PlainGate
from cicadapass_common.copymessages import Binding
from cicadapass_decisions.inventory import parse_inventory
from cicadapass_decisions.types import Verdict
from tests.decisions.documents import inventory_document
from tests.node.rawupstream import RawUpstream
from tests.node.test_plaincalls import PLAIN, PlainHarness


class FakeTelemetry:
    """Record the names of metrics."""

    def __init__(self):
        self.names = []

    def count(self, name, amount=1):
        self.names.append(name)

    def time_ms(self, name, value_ms):
        self.names.append(name)


class FakeKeyedCalls:
    """Run keyed calls under a fixed request id, or return a stored answer."""

    def __init__(self):
        self.keys = []
        self.replay = None

    def call(self, binding, request, run):
        self.keys.append(request.idempotency_key)
        return self.replay or run("claimed", lambda: True)


class PlainGateTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self._reset_state()

    def _reset_state(self):
        self.first = RawUpstream(RawUpstream.RESET)
        self.second = RawUpstream()
        for upstream in (self.first, self.second):
            self.addCleanup(upstream.close)
        self.harness = PlainHarness(self.first.url, self.second.url)
        self.keyed = FakeKeyedCalls()
        self.telemetry = FakeTelemetry()
        plain = self.harness.dependencies()
        object.__setattr__(plain, "telemetry", self.telemetry)
        plain.grant_manager.predict = lambda work_request: PLAIN
        inventory = parse_inventory(inventory_document()).ok
        self.workspace = inventory.fleets["grabhandle"].workspaces["counter"]
        self.gate = PlainGate(
            GateDependencies(
                lambda: inventory, plain, self.keyed, random.Random(1), lambda: 0.0
            )
        )

    def _call(self, method, path, key=None, service="orders"):
        binding = Binding("grabhandle", "counter", "0" * 64)
        context = CallerContext(binding, self.workspace, 0, None)
        request = PlainRequest(service, method, path, (), b"", key)
        return self.gate.call(context, request)

    def test_a_repeatable_call_is_retried(self):
        """A GET whose connection broke is sent to another upstream."""
        self.assertEqual([b"ok"], list(self._call("GET", "/stock").ok.body))
        self.assertEqual(["plain.calls", "plain.latency"], self.telemetry.names)

    def test_inventory_rules_decide_repeatability(self):
        """The same method may be repeatable on one path and not on another."""
        cases = {
            ("POST", "/search"): True,
            ("POST", "/search?q=/../payments"): True,
            ("POST", "/search/x"): False,
            ("POST", "/payments"): False,
            ("GET", "/take/1"): False,
            ("GET", "/take/look"): True,
            ("GET", "/take//1"): False,
        }
        for (method, path), repeatable in cases.items():
            self._reset_state()
            result = self._call(method, path)
            self.assertEqual(repeatable, result.is_ok(), path)
            if not repeatable:
                self.assertEqual(Verdict.UNKNOWN, result.error.verdict)
                self.assertEqual(0, self.second.connections)
                self.assertEqual([], self.telemetry.names)

    def test_only_calls_that_must_not_repeat_are_claimed(self):
        """A claim costs an append to the log."""
        self._call("GET", "/stock", key="a")
        self.assertEqual([], self.keyed.keys)
        self._call("POST", "/payments", key="b")
        self.assertEqual(["b"], self.keyed.keys)

    def test_a_replayed_answer_is_not_sent(self):
        """The first call with the key has already had the effect."""
        self.keyed.replay = Ok(PlainResponse("won", 201, (), [b"done"]))
        self.assertEqual("won", self._call("POST", "/payments", key="b").ok.request_id)
        self.assertEqual(0, self.first.connections + self.second.connections)

    def test_unknown_services_and_models_are_not_found(self):
        """A plain call must not reach an engine."""
        for name in ("missing", "parts", ""):
            result = self._call("GET", "/x", service=name)
            self.assertEqual(404, result.error.status)
        self.assertEqual(["requests.refused"] * 3, self.telemetry.names)
