"""Test the wait for the addresses of started processes."""

import tempfile
from pathlib import Path

import testtools

from cicadapass_bench.processes import StartError, process_group


class ProcessesTest(testtools.TestCase):
    def test_a_silent_process_is_a_start_error(self):
        """A process that prints no addresses must not block a run for ever."""
        with (
            tempfile.TemporaryDirectory() as directory,
            process_group(Path(directory)) as group,
        ):
            exiting = group.start("silent", ["-c", "import sys; sys.stdin.read(1)"])
            wait_forever = ["-c", "import threading; threading.Event().wait()"]
            silent = group.start("waiting", wait_forever)
            self.assertRaises(StartError, silent.read_addresses, 0.1)
            # A process that ends without output is also a failed start.
            self.assertRaises(StartError, exiting.read_addresses)
        self.assertFalse(silent.running)
