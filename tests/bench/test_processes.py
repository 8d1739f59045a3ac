"""Test how started processes are waited for."""

import tempfile
from pathlib import Path

import testtools

from cicadapass_bench.processes import StartError, process_group


class ProcessesTest(testtools.TestCase):
    def test_a_silent_process_is_a_start_error(self):
        """A run must not wait for ever for a process that cannot start."""
        with (
            tempfile.TemporaryDirectory() as directory,
            process_group(Path(directory)) as group,
        ):
            exiting = group.start("silent", ["-c", "import sys; sys.stdin.read(1)"])
            wait_forever = ["-c", "import threading; threading.Event().wait()"]
            silent = group.start("waiting", wait_forever)
            self.assertRaises(StartError, silent.read_addresses, 0.1)
            # One that ends without a line is told apart by its exit code.
            self.assertRaises(StartError, exiting.read_addresses)
        self.assertFalse(silent.running)
