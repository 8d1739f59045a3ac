"""Test the commands against an in-memory log and in-memory nodes."""

import json
import tempfile
from pathlib import Path
from xml.etree import ElementTree

import testtools

from cicadapass_common.records import encode_record
from cicadapass_decisions.logrecords import NO_VERSION, Publish
from cicadapassctl.cmdline import run
from cicadapassctl.exitcodes import ExitCode
from cicadapassctl.parser import make_parser
from tests.ctl.fakecluster import FakeCluster
from tests.decisions.documents import document_with, inventory_document
from tests.run import ROOT

SETTINGS = str(ROOT / "examples" / "cicadapassctl.json")
SLOTS = "fleets/klasite/upstreams/parts-a1/slots"


class CommandCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = FakeCluster()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def file(self, document, name="new.json"):
        """Write a document and return its path."""
        path = self.folder / name
        path.write_text(json.dumps(document))
        return str(path)

    def run_command(self, *words):
        """Run a command against the fake cluster."""
        args = make_parser().parse_args([*words, "--settings", SETTINGS])
        return run(args, lambda settings: self.cluster.context)

    def publish(self, document, *words):
        """Publish a document."""
        return self.run_command("publish", self.file(document), *words)


class PublishTest(CommandCase):
    def test_accepted_and_in_force(self):
        """A publish must be reported as in force only when every data centre has it."""
        outcome = self.publish(inventory_document())
        self.assertIs(ExitCode.DONE, outcome.exit_code)
        self.assertEqual(0, outcome.document["version"])
        expected = ["grabhandle/dc-a", "klasite/dc-a"]
        self.assertEqual(expected, outcome.document["in_force"])
        self.assertIn("added fleet klasite", outcome.lines)

    def test_data_centre_behind_is_named(self):
        """The outcome must name the data centre where the publish is not in force."""
        self.cluster.nodes["http://n2"].fixed_version = NO_VERSION
        outcome = self.publish(inventory_document(), "--wait-s", "2")
        self.assertIs(ExitCode.NOT_EVERYWHERE, outcome.exit_code)
        self.assertIn(
            "not in force in klasite/dc-a: n2 has version none", outcome.lines
        )
        self.assertTrue(2 <= self.cluster.now_s < 3)

    def test_data_centre_without_node_is_named(self):
        """A data centre whose nodes do not answer must be reported as not in force."""
        del self.cluster.nodes["http://n2"]
        outcome = self.publish(inventory_document())
        self.assertIs(ExitCode.NOT_EVERYWHERE, outcome.exit_code)
        self.assertIn("not in force in klasite/dc-a: no node answered", outcome.lines)

    def test_conflict_shows_the_winners_change(self):
        """A conflicting publish must show the winner's change and not overwrite it."""
        self.publish(inventory_document())
        self.publish(document_with(SLOTS, 3))
        outcome = self.publish(document_with(SLOTS, 5), "--base", "0")
        self.assertIs(ExitCode.CONFLICT, outcome.exit_code)
        change = "  changed upstream klasite/parts-a1: slots 8 -> 3"
        self.assertIn(change, outcome.lines)
        self.assertEqual(1, self.cluster.state().version)

    def test_lost_answer(self):
        """A publish whose answer was lost must take effect once and be accepted."""
        self.cluster.log.lose_answers = 1
        outcome = self.publish(inventory_document())
        self.assertIs(ExitCode.DONE, outcome.exit_code)
        self.assertEqual(1, len(self.cluster.log.payloads))

    def test_same_publish_id_again(self):
        """A retry after an unknown outcome must not publish twice."""
        self.publish(inventory_document(), "--publish-id", "p1")
        outcome = self.publish(inventory_document(), "--publish-id", "p1")
        self.assertEqual(0, outcome.document["version"])
        self.assertEqual(0, self.cluster.state().version)

    def test_log_down(self):
        """An outage must have its own exit code and not look like a publish."""
        self.cluster.log.down = True
        outcome = self.publish(inventory_document())
        self.assertIs(ExitCode.UNREACHABLE, outcome.exit_code)

    def test_invalid_document_is_not_sent(self):
        """An invalid document must not reach the log."""
        outcome = self.publish(document_with(SLOTS, 0))
        self.assertIs(ExitCode.INVALID, outcome.exit_code)
        self.assertEqual([], self.cluster.log.payloads)

    def test_publish_without_nodes_is_accepted(self):
        """The first publish happens before any node is ready."""
        self.cluster.nodes.clear()
        outcome = self.publish(inventory_document(), "--wait-s", "0")
        self.assertEqual("accepted", outcome.document["outcome"])

    def test_publish_events_are_emitted(self):
        """Events must record what was published and where it came into force."""
        self.publish(inventory_document())
        numbers = [event.number for event in self.cluster.context.events.recent()]
        self.assertEqual([700, 701, 702], numbers)


class RollbackTest(CommandCase):
    def test_publishes_the_older_document_as_a_new_version(self):
        """A rollback must get a newer version, as versions never decrease."""
        self.publish(inventory_document())
        self.publish(document_with(SLOTS, 3))
        outcome = self.run_command("rollback", "0")
        self.assertIs(ExitCode.DONE, outcome.exit_code)
        state = self.cluster.state()
        self.assertEqual((2, inventory_document()), (state.version, state.document))

    def test_only_to_versions_that_were_in_force(self):
        """A rollback must not bring a conflicting publish into force."""
        self.publish(inventory_document(), "--publish-id", "p1")
        self.publish(document_with(SLOTS, 3))
        # A copy of the first publish, a conflicting publish and an unused offset.
        payloads = self.cluster.log.payloads
        loser = Publish("p2", NO_VERSION, "bob", inventory_document())
        payloads += [payloads[0], encode_record(loser).ok]
        for version in ("2", "3", "9"):
            outcome = self.run_command("rollback", version)
            self.assertIs(ExitCode.NOT_FOUND, outcome.exit_code, outcome.lines)


class ReadingTest(CommandCase):
    def test_diff_and_show(self):
        """A document must be compared with the one in force."""
        missing = self.run_command("diff", self.file(inventory_document()))
        self.assertIs(ExitCode.NOT_FOUND, missing.exit_code)
        self.publish(inventory_document())
        outcome = self.run_command("diff", self.file(document_with(SLOTS, 3)))
        line = "changed upstream klasite/parts-a1: slots 8 -> 3"
        self.assertEqual((line,), outcome.lines)
        shown = self.run_command("show")
        self.assertEqual(inventory_document(), shown.document["document"])
        same = self.file(inventory_document(), "same.json")
        outcome = self.run_command("diff", same, same)
        self.assertEqual(("no difference",), outcome.lines)

    def test_status_names_nodes_that_do_not_answer(self):
        """A node that does not answer must be listed as failed."""
        del self.cluster.nodes["http://n2"]
        outcome = self.run_command("status")
        self.assertIs(ExitCode.UNREACHABLE, outcome.exit_code)
        self.assertEqual("http://n2", outcome.document["failed"][0]["address"])
        self.assertIn("grabhandle/dc-a", outcome.lines[1])

    def test_timeline_of_log_files(self):
        """Gateways have no operator address, so their log files must be readable."""
        lines = (
            {"event": 812, "node": "n2", "stamp": [20, 0], "request_id": "r1"},
            {"event": 811, "node": "n1", "stamp": [10, 0], "request_id": "r1"},
            {"event": 812, "node": "n1", "stamp": [5, 0], "request_id": "r2"},
        )
        paths = [self.folder / "a.log", self.folder / "b.log"]
        paths[0].write_text("no event\n[1]\n" + json.dumps(lines[0]) + "\n")
        paths[1].write_text("\n".join(map(json.dumps, lines[1:])))
        words = ("timeline", "--log", *map(str, paths), "--request-id")
        outcome = self.run_command(*words, "r1")
        self.assertEqual(ExitCode.DONE, outcome.exit_code)
        self.assertEqual([811, 812], [e["event"] for e in outcome.document["events"]])
        self.assertEqual(ExitCode.NOT_FOUND, self.run_command(*words, "r3").exit_code)
        missing = self.run_command("timeline", "--log", str(self.folder / "none"))
        self.assertIn("specify the nodes' log files", missing.lines[0])

    def test_timeline_of_a_request(self):
        """Events of several nodes must be merged in order, as text and as SVG."""
        for node in self.cluster.nodes.values():
            node.events.emit(103, unfinished="<\0>", request_id="r1")
        svg = self.folder / "timeline.svg"
        words = ("timeline", "--request-id", "r1", "--svg", str(svg))
        outcome = self.run_command(*words)
        nodes = [event["node"] for event in outcome.document["events"]]
        self.assertEqual(["n1", "n2"], nodes)
        self.assertIn("1970-01-01 00:00:01.000 n1 info 103", outcome.lines[0])
        self.assertIn("unfinished", svg.read_text())
        ElementTree.fromstring(svg.read_text())
        none = self.run_command("timeline", "--request-id", "r2")
        self.assertIs(ExitCode.NOT_FOUND, none.exit_code)

    def test_explain_asks_a_node_of_the_fleet(self):
        """A node of another fleet does not know the service or the workspace."""
        words = ("explain", "--service", "parts", "--workspace", "counter", "--fleet")
        outcome = self.run_command(*words, "klasite")
        self.assertEqual("n2 would choose: upstream", outcome.lines[0])
        none = self.run_command(*words, "other")
        self.assertIs(ExitCode.NOT_FOUND, none.exit_code)

    def test_local_commands_need_no_settings(self):
        """Local commands must work before a settings file exists."""
        for words in (["settings"], ["settings", "--explain"], ["credential", "new"]):
            args = make_parser().parse_args(words)
            self.assertIs(ExitCode.DONE, run(args, self.fail).exit_code)

    def test_missing_settings(self):
        """A missing settings file must be reported on stderr as a usage error."""
        args = make_parser().parse_args(["status", "--settings", "/nonexistent"])
        outcome = run(args, self.fail)
        self.assertIs(ExitCode.USAGE, outcome.exit_code)
        self.assertTrue(outcome.to_stderr)
