"""Test the acceptance of model requests."""

import json
from dataclasses import replace

import pykka
import testtools
from expression import Ok

from cicadapass.callers import CallerContext
from cicadapass.commits import commit_at_once
from cicadapass.modelcalls import ModelCalls, ModelDependencies
from cicadapass.ownership import AddRequest, DropRequest
from cicadapass.requests import parse_chat
from cicadapass_common.copymessages import Binding
from cicadapass_common.events import EventLog
from cicadapass_decisions.admission import Refusal, RefusalReason
from cicadapass_decisions.inventory import parse_inventory
from cicadapass_decisions.policy import Policy
from cicadapass_decisions.types import Verdict
from tests.decisions.documents import inventory_document
from tests.node.executionharness import (
    WORK,
    ExecutionHarness,
    Script,
    chat_request,
    token,
)


class FakeOwnership:
    """Record messages and return or raise the configured answer."""

    def __init__(self):
        self.messages = []
        self.answer = True

    def ask(self, message, timeout_s):
        self.messages.append(message)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    def tell(self, message):
        self.messages.append(message)


class FakePlacement:
    """Accept requests without a copy and record copies and releases."""

    def __init__(self):
        self.released = []
        self.copied = []

    def new_request_id(self):
        return "r"

    def place(self, request):
        return Ok("single-node")

    def copy(self, copied):
        self.copied.append(copied)

    def commits(self, request, answer):
        return commit_at_once(answer)

    def release(self, request_id):
        self.released.append(request_id)


class ModelCallsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.harness = ExecutionHarness([Script() for _ in range(3)])
        self.ownership = FakeOwnership()
        self.placement = FakePlacement()
        self.inventory = parse_inventory(inventory_document()).ok
        fleet = next(
            fleet
            for fleet in self.inventory.fleets.values()
            if any(service.model for service in fleet.services.values())
        )
        self.workspace = next(iter(fleet.workspaces.values()))
        self.service = next(
            service for service in fleet.services.values() if service.model
        )
        dependencies = self.harness.dependencies()
        dependencies.grant_manager.predict = lambda work_request: WORK
        self.models = ModelCalls(
            ModelDependencies(
                inventory=lambda: self.inventory,
                policy=Policy,
                execution=dependencies,
                placement=self.placement,
                ownership=self.ownership,
                events=EventLog("n", lambda: (0, 0)),
                wall_clock=lambda: 1000.0,
            )
        )

    def _accept(self, model=None):
        binding = Binding(self.workspace.fleet, self.workspace.name, "0" * 64)
        context = CallerContext(binding, self.workspace, 0, None)
        messages = [{"role": "user", "content": "hi"}]
        body = {"model": "x", "max_tokens": 4, "messages": messages}
        chat = parse_chat(json.dumps(body).encode()).ok
        chat = replace(chat, model=model or self.service.name)
        return self.models.accept(context, chat)

    def _assert_released(self):
        released = [number for number, _ in self.harness.released]
        self.assertEqual([grant.number for grant in self.harness.granted], released)

    def test_an_accepted_request_is_owned_and_answered(self):
        """The caller may read the answer later by its request id."""
        accepted = self._accept().ok
        self.harness.join()
        owned = self.ownership.messages[0].owned
        self.assertEqual(accepted.request_id, owned.request.request_id)
        self.assertTrue(owned.answer.ended)
        self._assert_released()

    def test_an_unknown_model_is_not_run(self):
        """Plain services and names outside the fleet are not models."""
        for name in ("missing", "orders", "\ud800"):
            self.assertEqual(Verdict.NOT_RUN, self._accept(name).error.verdict)
        self.assertEqual([], self.harness.granted)

    def test_a_refusal_is_not_run(self):
        """A shed request gets the verdict not-run and a Retry-After header."""
        refusal = Refusal(RefusalReason.OVERLOAD, 2.0)
        self.harness.refusals = {1: refusal}
        problem = self._accept().error
        self.assertEqual(Verdict.NOT_RUN, problem.verdict)
        self.assertIn(("Retry-After", "2"), problem.headers())

    def test_an_ownership_timeout_releases_the_grant(self):
        """A time-out during a component's restart must not leak the grant."""
        self.ownership.answer = pykka.Timeout("late")
        self.assertRaises(pykka.Timeout, self._accept)
        self._assert_released()
        self.assertEqual([], self.harness.threads)
        add, drop = self.ownership.messages
        self.assertIsInstance(add, AddRequest)
        self.assertEqual(DropRequest("r", 2), drop)
        self.assertEqual(["r"], self.placement.released)

    def test_a_request_with_a_later_owner_is_not_run(self):
        """Two owners would compute the answer twice."""
        self.ownership.answer = False
        self.models.adopt(chat_request().to_copy(), 2)
        self.harness.join()
        owned = self.ownership.messages[0].owned
        self.assertEqual(2, owned.request.epoch)
        self.assertTrue(owned.answer.abandoned)
        self.assertEqual(["adopt"], [thread.name for thread in self.harness.threads])

    def test_an_adopted_request_ends(self):
        """The caller of a failed node must get the remaining answer."""
        for texts, finished in (((), False), ((token(0),), False), ((token(0),), True)):
            copied = chat_request().to_copy(texts, finished=finished)
            self.models.adopt(copied, 2)
            self.harness.join()
            answer = self.ownership.messages[-1].owned.answer
            self.assertTrue(answer.ended)
            self.assertIsNone(answer.problem)
            self.assertEqual(1 if finished else 4, answer.token_count)
        self._assert_released()
