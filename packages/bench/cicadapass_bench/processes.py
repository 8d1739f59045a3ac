"""Start the system's processes, read their addresses and stop them."""

import contextlib
import json
import os
import select
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0


class StartError(Exception):
    """A process ended, or timed out, before it printed its addresses."""


class Process:
    """Control one process and read the JSON line that it prints first."""

    def __init__(self, arguments: Sequence[str], log_path: Path) -> None:
        self._log_file = log_path.open("ab")
        self._popen = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=self._log_file,
            start_new_session=True,
        )
        self._arguments = tuple(arguments)
        self.addresses: dict[str, Any] = {}

    @property
    def pid(self) -> int:
        """Return the process id, also after the process has ended."""
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Return whether the process is still running."""
        return self._popen.poll() is None

    def read_addresses(self, timeout_s: float = START_TIMEOUT_S) -> dict[str, Any]:
        """Wait for the next output line; raise StartError if none arrives in time."""
        assert self._popen.stdout is not None
        readable, _, _ = select.select([self._popen.stdout], [], [], timeout_s)
        if not readable:
            raise StartError(f"{self._arguments} printed nothing within {timeout_s} s")
        line = self._popen.stdout.readline()
        if not line:
            raise StartError(f"{self._arguments} exited with code {self._popen.wait()}")
        self.addresses = json.loads(line)
        return self.addresses

    def signal(self, signal_number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.running:
            os.kill(self.pid, signal_number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the process to end."""
        self.signal(signal.SIGKILL)
        self.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process runs beyond the timeout."""
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
        finally:
            if not self.running and self._popen.stdout is not None:
                self._popen.stdout.close()
                self._log_file.close()

    def resident_bytes(self) -> int:
        """Return the resident set size in bytes."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0

    def cpu_s(self) -> float:
        """Return the user and system CPU time used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class ProcessGroup:
    """Start the processes of one run and stop them all."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._processes: list[Process] = []

    @property
    def directory(self) -> Path:
        """Return the directory for the settings files and logs of the run."""
        return self._directory

    def start(self, name: str, arguments: Sequence[str]) -> Process:
        """Start a process without waiting for its addresses; log to `name`.log."""
        process = Process(arguments, self._directory / f"{name}.log")
        self._processes.append(process)
        return process

    def start_all(
        self, named_arguments: Sequence[tuple[str, Sequence[str]]]
    ) -> list[Process]:
        """Start several processes concurrently and wait for all their addresses."""
        processes = [self.start(name, arguments) for name, arguments in named_arguments]
        for process in processes:
            process.read_addresses()
        return processes

    def stop(self) -> None:
        """Send SIGTERM to all processes and kill those that outlast the timeout."""
        for process in self._processes:
            process.resume()
            process.signal(signal.SIGTERM)
        for process in self._processes:
            if process.wait(STOP_TIMEOUT_S) is None:
                process.kill()


@contextlib.contextmanager
def process_group(directory: Path) -> Iterator[ProcessGroup]:
    """Provide a group that is stopped at the end of the block, also on SIGTERM."""
    group = ProcessGroup(directory)
    if threading.current_thread() is threading.main_thread():
        # The default action would leave the started processes running.
        signal.signal(signal.SIGTERM, _exit_on_signal)
    try:
        yield group
    finally:
        group.stop()


def _exit_on_signal(signal_number: int, frame: object) -> None:
    raise SystemExit(128 + signal_number)
