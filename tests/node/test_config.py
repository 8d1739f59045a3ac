"""Test the settings of a node."""

import json

import testtools

from cicadapass.config import NodeSettings, conflicts
from cicadapass_common.config import defaults_document, parse_settings

REQUIRED = {
    "name": "vm-1",
    "fleet": "grabhandle",
    "data_centre": "dc-a",
    "log_url": "http://127.0.0.1:9000",
    "shared_secret": "at-least-16-characters",
    "operator_sha256": "0" * 64,
}


def read(**changes):
    """Return the result of reading settings with these changes."""
    return parse_settings(json.dumps(REQUIRED | changes), NodeSettings)


class NodeSettingsTest(testtools.TestCase):
    def test_required_settings_are_enough(self):
        """A new setting without a default would break existing settings files."""
        self.assertEqual((), conflicts(read().ok))

    def test_every_mistake_is_reported(self):
        """All mistakes of a file must be reported at once."""
        problems = read(
            name="a b", drain={"grace_s": -1}, http={"max_threads": 0}, unknown=1
        ).error
        paths = {problem.path for problem in problems}
        expected = {"/name", "/drain/grace_s", "/http/max_threads", "/unknown"}
        self.assertEqual(expected, paths)

    def test_a_secret_is_not_shown(self):
        """Problems are printed and logged, so they must not contain the secret."""
        (problem,) = read(shared_secret="too-short").error
        self.assertNotIn("too-short", str(problem))

    def test_a_certificate_without_its_key(self):
        """A certificate without its key would leave the address without TLS."""
        for half in ({"certificate": "c.pem"}, {"private_key": "k.pem"}):
            settings = read(callers=half, peers=half).ok
            paths = [problem.path for problem in conflicts(settings)]
            self.assertEqual(["/callers", "/peers"], paths)

    def test_printed_defaults_are_readable(self):
        """Operators use the printed defaults as a template."""
        document = defaults_document(NodeSettings) | REQUIRED
        self.assertTrue(parse_settings(json.dumps(document), NodeSettings).is_ok())
