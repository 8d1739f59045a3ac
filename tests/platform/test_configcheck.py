"""Test the command that checks a configuration before it is sent."""

import contextlib
import io
import json
import re
import tempfile
from pathlib import Path

import testtools

from cicadapass_platform.configcheck import main
from tests.platform.test_documents import DOCUMENT, ROUTE, SPLIT, with_value

ORDINARY = {
    **DOCUMENT,
    "routes": [ROUTE, {**SPLIT, "name": "split", "pathPrefix": "/q/"}],
    "tenants": [{**DOCUMENT["tenants"][0], "burst": 200}],
}
NOT_READABLE = [("document", "not_readable")]
# Values that nodes refuse or correct, by path.
MALFORMED = (
    ("version", "7"),
    ("tenants", {}),
    ("limits.maxBodyBytes", "many"),
    ("routes.0", "r"),
    ("routes.0.timeoutMs", "3"),
    ("routes.0.service", ["s"]),
    ("routes.0.anonymous", "false"),
    ("routes.0.name", None),
    ("routes.0.pathPrefix", ["/"]),
    ("routes.1.kind", "odd"),
    ("routes.1.trafficSplit.0", "s"),
    ("routes.1.trafficSplit.0.weight", "1"),
    ("services.0.engine", "x"),
    ("services.0.scaling.max", "6"),
    ("services.0.scaling.zonePrices.dc-a", "1"),
    ("tenants.0.apiKeys", None),
    ("tenants.0.apiKeys", "key"),
    ("tenants.0.apiKeys.1", 1),
)
CORRECTED = (
    ("routes.0.attempts", 1.5),
    ("routes.0.trafficSplit", {}),
    ("services.0.engine", []),
    ("tenants.0.unit", 1),
)
REQUIRED = ("version", "routes.0.pathPrefix", "routes.0.service", "tenants.0.apiKeys")
# Changed values and how the difference is shown.
DIFFERENCES = (
    ("routes.0.timeoutMs", 2500, "timeoutMs: 3000 -> 2500"),
    ("routes.0.gapAimMs", None, "gapAimMs: 250 -> none"),
    ("routes.0.kind", "safe", "kind: streaming -> safe"),
    ("routes.0.anonymous", True, "anonymous: false -> true"),
    ("routes.1.trafficSplit.0.weight", 50, "s 90, t 10 -> s 50, t 10"),
    ("tenants.0.unit", None, "unit: token_count -> none"),
    ("services.0.scaling", None, "scaling: present -> none"),
    ("services.0.scaling.bootS", 5.5, "scaling.bootS: 4 -> 5.5"),
    ("services.0.scaling.zonePrices.dc-a", 1, "dc-a 0.85 -> dc-a 1"),
    ("limits.idleTimeoutMs", 9000, "idleTimeoutMs: 15000 -> 9000"),
)


def place(path):
    """Return a path as the command shows it."""
    return re.sub(r"\.(\d+)", r"[\1]", path)


class ConfigCheckTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, document):
        """Write a file and return its path."""
        path = self.folder / name
        is_raw = isinstance(document, bytes)
        path.write_bytes(document if is_raw else json.dumps(document).encode())
        return str(path)

    def run_check(self, *arguments):
        """Return the exit code and the output of the command."""
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            code = main(arguments)
        return code, out.getvalue()

    def places(self, document):
        """Return the places and kinds of the findings on a document."""
        code, output = self.run_check(self.write("new", document), "--json")
        findings = json.loads(output)["findings"]
        self.assertEqual(1 if findings else 0, code, output)
        return [(each["path"], each["kind"]) for each in findings]

    def test_an_ordinary_configuration_passes(self):
        """A valid configuration was not sent because of a false finding."""
        path = self.write("new", ORDINARY)
        self.assertEqual((0, "errors: 0, warnings: 0\n"), self.run_check(path))
        self.assertEqual([], self.places(ORDINARY))

    def test_malformed_and_corrected_values_are_located(self):
        """Operators did not know which value nodes refused or took for another."""
        cases = [(*each, "malformed_value") for each in MALFORMED]
        cases += [(*each, "corrected_value") for each in CORRECTED]
        for path, value, kind in cases:
            document = with_value(ORDINARY, path, value)
            self.assertEqual([(place(path), kind)], self.places(document))

    def test_missing_values_are_located(self):
        """Operators did not know which value was missing."""
        for path in REQUIRED:
            document = with_value(ORDINARY, path, ...)
            parent = place(path.rpartition(".")[0]) or "document"
            self.assertEqual([(parent, "missing_value")], self.places(document))
        document = with_value(ORDINARY, "services.1.scaling", {})
        found = [("services[1].scaling", "missing_value")] * 3
        self.assertEqual(found, self.places(document))
        self.assertEqual([("document", "missing_value")] * 3, self.places(b"{}"))

    def test_types_are_named_as_in_json(self):
        """A message contained Python's error on an attribute of a wrong type."""
        for path in ("routes.0", "services.0.engine", "routes.1.trafficSplit.0"):
            document = with_value(ORDINARY, path, "x")
            _, output = self.run_check(self.write("new", document))
            self.assertIn(": a string instead of an object [", output)

    def test_dropped_entries_are_located(self):
        """The first of two services or values of the same name had no effect."""
        services = [*ORDINARY["services"], {"name": "s"}]
        self.assertEqual(
            [("services[0]", "dropped_entry")],
            self.places({**ORDINARY, "services": services}),
        )
        for name, found in (("version", "version"), ("host", "routes[0].host")):
            data = json.dumps(ORDINARY).replace(
                f'"{name}"', f'"{name}": 1, "{name}"', 1
            )
            self.assertEqual([(found, "dropped_entry")], self.places(data.encode()))

    def test_findings_have_places_of_the_document(self):
        """A place was named in terms that operators do not know."""
        document = with_value(ORDINARY, "routes.1.trafficSplit.0.weight", -10)
        self.assertEqual(
            [
                ("routes[1].trafficSplit", "no_weight"),
                ("services[1]", "unused_service"),
                ("routes[1].trafficSplit[0].weight", "invalid_weight"),
            ],
            self.places(document),
        )
        document = with_value(ORDINARY, "tenants.0.burst", 50)
        code, output = self.run_check(self.write("new", document))
        self.assertEqual(1, code)
        self.assertIn("warning: tenants[0].burst: workspace 'w' has a burst", output)

    def test_unreadable_and_nested_documents_do_not_end_the_check(self):
        """A file that is no configuration passed, or ended the check.

        So did a deeply nested value of a field that nodes ignore.
        """
        for data in (b"", b"{", b"\xff", b"[]", b"null", b"[" * 100_000):
            self.assertEqual(NOT_READABLE, self.places(data))
        for depth in range(850, 1000, 3):
            data = json.dumps({**ORDINARY, "x": 1})[:-2] + "[" * depth + "]" * depth
            self.assertIn(self.places(f"{data}}}".encode()), ([], NOT_READABLE))

    def test_names_outside_of_the_encoding_of_the_output_are_escaped(self):
        """A name ended the command with the exit code of a finding."""
        path = self.write("new", with_value(ORDINARY, "services.1.name", "\u0394"))
        out = io.TextIOWrapper(io.BytesIO(), encoding="ascii")
        with contextlib.redirect_stdout(out):
            main([path])
        out.seek(0)
        self.assertIn("\\u0394", out.read())

    def test_differences_alone_do_not_change_the_exit_code(self):
        """An ordinary change could not be told from a mistake."""
        old = self.write("old", ORDINARY)
        changed = with_value(ORDINARY, "services.1.engine", {"stride": 2})
        new = self.write("new", {**changed, "version": 8})
        code, output = self.run_check(new, old)
        self.assertEqual(0, code)
        self.assertIn("changed in services: t\n  engine: none -> present\n", output)
        self.assertIn("affects routes: split\n", output)
        code, output = self.run_check("--json", new, old)
        (change,) = json.loads(output)["differences"]
        self.assertEqual((0, ["w"]), (code, change["workspaces"]))
        self.assertEqual("engine.stride", change["fields"][1]["name"])
        code, output = self.run_check(old, old)
        self.assertEqual(0, code)
        self.assertIn("no difference", output)
        # The version that nodes ignore is a finding.
        self.assertEqual(1, self.run_check(old, new)[0])

    def test_changed_values_are_shown_as_in_the_document(self):
        """A time in seconds was shown beside a name that ends in Ms."""
        old = self.write("old", ORDINARY)
        for path, value, text in DIFFERENCES:
            changed = {**with_value(ORDINARY, path, value), "version": 8}
            _, output = self.run_check(self.write("new", changed), old)
            self.assertIn(f"{text}\n", output)

    def test_a_check_that_cannot_run_ends_with_2(self):
        """A check that did not run was taken for one that found nothing."""
        new, bad = self.write("new", ORDINARY), self.write("bad", b"{}")
        for arguments in (("none",), (str(self.folder),), (new, "none"), (new, bad)):
            code, output = self.run_check(*arguments)
            self.assertEqual(2, code, arguments)
            self.assertEqual(1, output.count("\n"), output)
