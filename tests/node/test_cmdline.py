"""Test the command line of the node."""

import contextlib
import io
import json
import signal
import socket
import tempfile
from pathlib import Path
from unittest import mock

import testtools

from cicadapass import cmdline
from cicadapass.config import NodeSettings
from cicadapass_common.config import read_settings

SETTINGS = {
    "name": "n1",
    "fleet": "f",
    "data_centre": "dc-a",
    "log_url": "http://127.0.0.1:1",
    "shared_secret": "s" * 16,
    "operator_sha256": "0" * 64,
}


class FakeNode:
    """Raise a stop signal twice as soon as it is started."""

    restart_limit_reached = False
    stopped = 0

    def __init__(self, settings, incarnation, on_restart_limit):
        self._on_restart_limit = on_restart_limit

    def start(self):
        signal.raise_signal(signal.SIGTERM)
        signal.raise_signal(signal.SIGTERM)

    def addresses(self):
        return {"callers_url": "http://127.0.0.1:1"}

    def stop(self):
        type(self).stopped += 1


class NodeAtRestartLimit(FakeNode):
    """Reach the restart limit of a component at the start."""

    restart_limit_reached = True

    def start(self):
        self._on_restart_limit()


class CmdlineTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name, "settings.json")

    def _run(self, settings, node=None):
        self.path.write_text(json.dumps(settings))
        stdout, stderr = io.StringIO(), io.StringIO()
        with contextlib.ExitStack() as stack:
            stack.enter_context(contextlib.redirect_stdout(stdout))
            stack.enter_context(contextlib.redirect_stderr(stderr))
            if node is not None:
                stack.enter_context(mock.patch.object(cmdline, "Node", node))
            code = cmdline.main(["--settings", str(self.path), "--log-level", "error"])
        return code, stdout.getvalue(), stderr.getvalue()

    def test_the_defaults_are_valid_settings(self):
        """Operators use the printed defaults as a template."""
        stdout = io.StringIO()
        with contextlib.redirect_stdout(stdout):
            self.assertEqual(0, cmdline.main(["--print-defaults"]))
        document = json.loads(stdout.getvalue()) | SETTINGS
        self.path.write_text(json.dumps(document))
        self.assertTrue(read_settings(str(self.path), NodeSettings).is_ok())

    def test_each_mistake_is_printed(self):
        """All problems are reported at once, so that one restart is enough."""
        wrong = SETTINGS | {"shared_secret": "short", "http": {"min_threads": 0}}
        code, _, stderr = self._run(wrong | {"surplus": 1})
        self.assertEqual(cmdline.EXIT_SETTINGS, code)
        for name in ("shared_secret", "min_threads", "surplus"):
            self.assertIn(name, stderr)

    def test_signals_stop_the_node_once(self):
        """A second signal must not interrupt the graceful stop."""
        FakeNode.stopped = 0
        code, stdout, _ = self._run(SETTINGS, FakeNode)
        self.assertEqual((cmdline.EXIT_OK, 1), (code, FakeNode.stopped))
        self.assertEqual("n1", json.loads(stdout)["node"])

    def test_the_restart_limit_has_an_exit_code(self):
        """The platform must distinguish it from a planned stop and replace the VM."""
        self.assertEqual(
            cmdline.EXIT_RESTART_LIMIT, self._run(SETTINGS, NodeAtRestartLimit)[0]
        )

    def test_a_taken_address_is_an_error_with_a_remedy(self):
        """An address in use must give a message with a remedy, not a traceback."""
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = {"host": "127.0.0.1", "port": taken.getsockname()[1]}
            code, _, stderr = self._run(SETTINGS | {"callers": address})
        self.assertEqual(cmdline.EXIT_START, code)
        self.assertIn(cmdline.START_REMEDY, stderr)

    def test_a_missing_certificate_is_an_error_with_a_remedy(self):
        """The node must not fall back to listening without TLS."""
        missing = {"certificate": "/missing.pem", "private_key": "/missing.key"}
        code, _, stderr = self._run(SETTINGS | {"callers": missing})
        self.assertEqual(cmdline.EXIT_START, code)
        self.assertIn(cmdline.START_REMEDY, stderr)
