"""Test what the command line prints and how it exits."""

import contextlib
import io
import json

import testtools

from cicadapassctl.cmdline import main
from tests.run import ROOT


def run_main(*words):
    """Run the command line and return its exit code, stdout and stderr."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(words)
    return code, out.getvalue(), err.getvalue()


class CmdlineTest(testtools.TestCase):
    def test_json_option_before_and_after_the_command(self):
        """A global option must work before and after the command."""
        for words in (["--json", "settings"], ["settings", "--json"]):
            code, out, _ = run_main(*words)
            self.assertEqual(0, code)
            self.assertEqual(16.0, json.loads(out)["publish_wait_s"])

    def test_errors_go_to_stderr(self):
        """Errors must not be written to stdout, where a pipe would read them."""
        code, out, err = run_main("validate", "/nonexistent")
        self.assertEqual((3, ""), (code, out))
        self.assertIn("/nonexistent has 1 mistake", err)

    def test_valid_file(self):
        """A valid document must be confirmed with a summary."""
        code, out, _ = run_main("validate", str(ROOT / "examples" / "klasite.json"))
        self.assertEqual(0, code)
        self.assertIn("klasite: 3 data centres, 2 services, 8 upstreams", out)

    def test_wrong_arguments(self):
        """Invalid arguments must exit with the documented code."""
        for words in (["publish", "f", "--wait-s", "nan"], ["rollback", "-1"], []):
            with contextlib.redirect_stderr(io.StringIO()):
                error = self.assertRaises(SystemExit, main, words)
            self.assertEqual(2, error.code)
