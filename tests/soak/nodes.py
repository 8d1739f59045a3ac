"""Nodes of a run, each in a separate process."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from tests.gateway.harness import HOST, Caller
from tests.ports import ReservedPort
from tests.run import ROOT
from tests.soak.proxy import Link
from tests.soak.shiftedclock import OFFSET_VARIABLE

# A node that has not ended this long after SIGTERM is killed.
GRACE_S = 8.0
READY_TIMEOUT_S = 20.0
# Memory of the smallest VMs; the check of the memory allows half of it.
MEMORY_MB = 200
# Part of the log line on a component that ended with an error.
COMPONENT_FAILED = '"event":805,'


class NodeProcess:
    """Manage the process of one node; its addresses survive restarts."""

    def __init__(self, name, folder, store_port):
        self.name = name
        self._ports = [ReservedPort() for _ in range(4)]
        numbers = [port.number for port in self._ports]
        self.front, self._ready_port, self._internal_port, self._metrics_port = numbers
        self._folder = folder
        self._store_port = store_port
        self._process = None
        self._settings = folder / f"{name}.conf"
        self._offset = folder / f"{name}.offset"
        self._offset.write_text("0")

    @property
    def pid(self):
        """The id of the current process."""
        return self._process.pid

    @property
    def is_running(self):
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def peer_address(self):
        """The address at which other nodes reach this one."""
        return f"{HOST}:{self._internal_port}"

    async def prepare(self):
        """Open the node's link to the store."""
        self.store_link = await Link((HOST, self._store_port)).start()

    def write_settings(self, seeds, note=""):
        """Write the settings file; a changed `note` makes its content differ."""
        store = f"{HOST}:{self.store_link.port}"
        self._settings.write_text(
            f"nodeName={self.name}\nzone=dc-{self.name[-1]}\nip={HOST}\n"
            f"internalPortRange={self._internal_port},1\n"
            f"listen.front={HOST}:{self.front}\nlisten.ready={HOST}:{self._ready_port}\n"
            f"platform.address={store}\ncloudApi.address={store}\n"
            "cloudApi.duties=usage_report,scale\n"
            f"limits.memoryMb={MEMORY_MB}\n"
            "contracts=rollout\n"
            f"bounds.graceS={GRACE_S}\nseeds={','.join(seeds)}\nnote={note}\n"
        )

    async def start(self):
        """Start the process, with its output appended to `NAME.log` in the folder."""
        environment = {
            **os.environ,
            "CICADAPASS_BOOT": str(self._settings),
            "CICADAPASS_METRICS_PORT": str(self._metrics_port),
            OFFSET_VARIABLE: str(self._offset),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tests.soak.shiftedclock",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, signum):
        """Send a signal; no effect on a process that has ended."""
        if self.is_running:
            self._process.send_signal(signum)

    def set_clock_offset(self, offset_s):
        """Set the offset of the node's wall clock from the machine's."""
        self._offset.write_text(str(offset_s))

    async def terminate(self):
        """Send SIGTERM; kill the process after `GRACE_S` and then return False."""
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
            return False
        return True

    async def kill(self):
        """Kill the process and wait for its end."""
        if self.is_running:
            self._process.kill()
            await self._process.wait()

    async def close(self):
        """Kill the process, and release its ports for other tests."""
        await self.kill()
        for port in self._ports:
            port.release()

    async def connect(self):
        """Open a connection of a caller to the front address."""
        return Caller(*await asyncio.open_connection(HOST, self.front))

    async def wait_until_ready(self):
        """Wait until the node reports ready; raise an error if its process ends."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                if not self.is_running:
                    raise RuntimeError(f"{self.name} ended: {self._log_tail()}")
                await asyncio.sleep(0.05)

    def peak_memory_mb(self):
        """Return the largest memory of the running process, or 0 without one."""
        if not self.is_running:
            return 0.0
        lines = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        peak = next(line for line in lines if line.startswith("VmHWM"))
        return int(peak.split()[1]) / 1024

    def component_failures(self):
        """Return the lines on components that ended with an error."""
        log = (self._folder / f"{self.name}.log").read_text(errors="replace")
        return [line for line in log.splitlines() if COMPONENT_FAILED in line]

    def _log_tail(self):
        return (self._folder / f"{self.name}.log").read_text()[-500:]

    async def is_ready(self):
        """Return whether the readiness address answers with 200."""
        try:
            caller = Caller(*await asyncio.open_connection(HOST, self._ready_port))
        except OSError:
            return False
        caller.send("/api/ready")
        status = (await caller.reply()).status
        caller.close()
        return status == 200
