"""Test how started processes are waited for."""

import tempfile
from pathlib import Path

import testtools

from cicadapass_bench.processes import StartError, process_group


class ProcessesTest(testtools.TestCase):
    def test_a_silent_process_is_a_failed_start(self):
        """A run must not wait for ever for a process that cannot start."""
        with (
            tempfile.TemporaryDirectory() as directory,
            process_group(Path(directory)) as group,
        ):
            process = group.start("silent", ["-c", "import sys; sys.stdin.read(1)"])
            pause = ["-c", "import threading; threading.Event().wait()"]
            silent = group.start("waiting", pause)
            self.assertRaises(StartError, silent.read_addresses, 0.1)
            # One that ends without a line is told apart by its exit code.
            self.assertRaises(StartError, process.read_addresses)
        self.assertFalse(silent.running)
