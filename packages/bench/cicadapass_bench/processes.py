"""Start the system's processes, read their addresses and stop them by id."""

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
    """A process ended or was silent before it printed its addresses."""


class Process:
    """Hold one started process and the JSON line that it printed first."""

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
        """Return the process id."""
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self._popen.poll() is None

    def read_addresses(self, timeout_s: float = START_TIMEOUT_S) -> dict[str, Any]:
        """Wait for the first line; raise StartError if there is none in time."""
        assert self._popen.stdout is not None
        readable, _, _ = select.select([self._popen.stdout], [], [], timeout_s)
        if not readable:
            raise StartError(f"{self._arguments} was silent for {timeout_s} s")
        line = self._popen.stdout.readline()
        if not line:
            raise StartError(f"{self._arguments} ended with {self._popen.wait()}")
        self.addresses = json.loads(line)
        return self.addresses

    def signal(self, signal_number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.running:
            os.kill(self.pid, signal_number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        self.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Freeze the process."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process still runs."""
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
        finally:
            if not self.running and self._popen.stdout is not None:
                self._popen.stdout.close()
                self._log_file.close()

    def resident_bytes(self) -> int:
        """Return the memory that the process holds in RAM."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0

    def cpu_s(self) -> float:
        """Return the processor time used so far."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class ProcessGroup:
    """Own the processes of one run and end them all."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._processes: list[Process] = []

    @property
    def directory(self) -> Path:
        """Return the directory for settings and logs of the run."""
        return self._directory

    def start(self, name: str, arguments: Sequence[str]) -> Process:
        """Start a process without waiting for its addresses."""
        process = Process(arguments, self._directory / f"{name}.log")
        self._processes.append(process)
        return process

    def start_all(
        self, named_arguments: Sequence[tuple[str, Sequence[str]]]
    ) -> list[Process]:
        """Start several processes at once and wait for all their addresses."""
        processes = [self.start(name, arguments) for name, arguments in named_arguments]
        for process in processes:
            process.read_addresses()
        return processes

    def stop(self) -> None:
        """Ask all processes to stop, and kill those that do not."""
        for process in self._processes:
            process.resume()
            process.signal(signal.SIGTERM)
        for process in self._processes:
            if process.wait(STOP_TIMEOUT_S) is None:
                process.kill()


@contextlib.contextmanager
def process_group(directory: Path) -> Iterator[ProcessGroup]:
    """Give a group whose processes end with the block, also after SIGTERM."""
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
