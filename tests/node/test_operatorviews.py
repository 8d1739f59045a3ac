"""Test the operators' answers: their content and that they can be parsed."""

import json
import random

import testtools

from cicadapass.configview import ConfigView, CurrentConfig
from cicadapass.grantmanager import GrantManager
from cicadapass.grants import AcquireRequest
from cicadapass.membersnapshot import CurrentMembers
from cicadapass.operatorviews import OperatorViews
from cicadapass.upstreamtable import ServiceTable, UpstreamTable
from cicadapass_common.events import EventLog
from cicadapass_common.operator_api import parse_answer
from cicadapass_decisions.fold import FoldState, PublishVerdict
from cicadapass_decisions.inventory import parse_inventory
from cicadapass_decisions.logrecords import PublishOutcome
from cicadapass_decisions.options import to_document
from cicadapass_decisions.scoring import Candidate, LoadReport
from cicadapass_decisions.slowness import Health
from cicadapass_decisions.types import NodeAddress
from cicadapass_decisions.work import WorkClass, WorkKind
from tests.decisions.documents import inventory_document

FLEET = "grabhandle"
SERVICE = f"{FLEET}/parts"
DATA_CENTRE = f"{FLEET}/dc-a"
SHORT = WorkClass(WorkKind.SHORT, 20, 20.0)


class OperatorViewsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.grant_manager = GrantManager(random.Random(1), lambda: 10.0)
        self.table = UpstreamTable(
            {
                SERVICE: ServiceTable(
                    (
                        Candidate(
                            f"{FLEET}/parts-a1",
                            DATA_CENTRE,
                            4,
                            report=LoadReport(1, 0, 9.5),
                        ),
                        Candidate(
                            f"{FLEET}/parts-a2", DATA_CENTRE, 4, health=Health.SLOW
                        ),
                        Candidate(f"{FLEET}/parts-a3", DATA_CENTRE, 4, leaving=True),
                    )
                )
            }
        )
        self.grant_manager.set_table(self.table)
        self.current_config = CurrentConfig()
        self.events = EventLog("n", lambda: (5, 0))
        address = NodeAddress("n", "i", FLEET, "dc-a", "127.0.0.1", 1)
        self.views = OperatorViews(
            "n",
            self.grant_manager,
            self.events,
            self.current_config,
            CurrentMembers(address),
            lambda: self.table,
            lambda: 10.0,
        )

    def _publish(self):
        document = inventory_document()
        verdict = PublishVerdict(PublishOutcome.ACCEPTED, 3, 3, "a")
        state = FoldState(True, 3, "p", "a", document, {"p": verdict}, 4)
        inventory = parse_inventory(document).ok
        self.current_config.publish(state, ConfigView(3, 3, inventory, document))

    def _read_back(self, answer):
        text = json.dumps(to_document(answer), allow_nan=False)
        result = parse_answer(text, type(answer))
        self.assertEqual(answer, result.ok)
        return answer

    def test_a_node_without_a_configuration_answers(self):
        """A node without an inventory must still answer operators."""
        answer = self._read_back(self.views.inventory_answer())
        self.assertEqual((-1, None), (answer.version, answer.document))
        self.assertEqual(
            503, self.views.explain(FLEET, "parts", "counter").error.status
        )

    def test_the_inventory_in_force_is_shown(self):
        """Publishers wait until each node shows the published version."""
        self._publish()
        answer = self._read_back(self.views.inventory_answer())
        self.assertEqual(
            (3, "p", "a"), (answer.version, answer.publish_id, answer.author)
        )
        self.assertEqual(PublishOutcome.ACCEPTED, answer.verdicts[0].outcome)

    def test_upstreams_show_the_local_requests(self):
        """An operator must see where this node's requests are in flight."""
        request = AcquireRequest("r", SERVICE, f"{FLEET}/counter", SHORT, 100.0)
        grant = self.grant_manager.submit(request, lambda result: None)
        answer = self._read_back(self.views.upstreams_answer())
        by_name = {f"{item.fleet}/{item.name}": item for item in answer.upstreams}
        self.assertEqual(1, by_name[grant.upstream].in_flight)
        self.assertEqual(0.5, by_name[f"{FLEET}/parts-a1"].report_age_s)
        self.assertTrue(by_name[f"{FLEET}/parts-a2"].slow)
        self.assertTrue(by_name[f"{FLEET}/parts-a3"].leaving)

    def test_members_and_events_are_shown(self):
        """The timeline of a request must be made from its events only."""
        self._read_back(self.views.members_answer())
        self.events.emit(454, request_id="r", reason="x")
        self.events.emit(454, request_id="s", reason="x")
        answer = self._read_back(self.views.events_answer("r", 5))
        self.assertEqual(["r"], [event["request_id"] for event in answer.events])
        self.assertEqual((), self.views.events_answer("r", 6).events)

    def test_explain_names_the_choice_and_the_reasons(self):
        """An operator must see why an upstream was chosen and others were not."""
        self._publish()
        answer = self._read_back(self.views.explain(FLEET, "parts", "counter").ok)
        self.assertEqual(f"{FLEET}/parts-a1", answer.chosen)
        usable = {item.upstream: item.usable for item in answer.candidates}
        self.assertFalse(usable[f"{FLEET}/parts-a3"])
        self.assertEqual(
            0, sum(item.short for item in self.grant_manager.in_flight().values())
        )

    def test_explain_without_an_upstream_gives_the_reasons(self):
        """An operator must see the reasons for the refusal of a request."""
        self._publish()
        self.grant_manager.set_table(UpstreamTable({SERVICE: ServiceTable(())}))
        answer = self._read_back(self.views.explain(FLEET, "parts", "counter").ok)
        self.assertIsNone(answer.chosen)
        self.assertNotEqual((), answer.reasons)

    def test_explain_of_unknown_names_is_not_found(self):
        """A misspelt name must give 404, and not look like an empty service."""
        self._publish()
        for names in (
            ("", "parts", "counter"),
            (FLEET, "missing", "counter"),
            (FLEET, "parts", "missing"),
        ):
            self.assertEqual(404, self.views.explain(*names).error.status)
