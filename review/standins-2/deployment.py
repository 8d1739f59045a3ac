"""Run nodes of the deploy file as separate processes, with the platform beside them."""

import asyncio
import os
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

from httpd import read_head

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SETTINGS = """\
nodeName={name}
role=gateway
machineClass=front
serves=front,control
ip={host}
zone={zone}
region=eu-west
zones.eu-west-a=eu-west
zones.eu-west-b=eu-west
zones.eu-west-c=eu-west
listen.front={host}:{front}
listen.ready={host}:{ready}
listen.control={host}:{control}
internalPortRange={internal},{internal}
seeds={seeds}
bootstrap=true
inTolerance=false
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,platform
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.outerMs=5000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.retryRatio=0.2
bounds.retryWindowS=10
bounds.budgetSlack=54
bounds.quotaWindowS=8
bounds.quotaOvershoot=0.1
bounds.quotaSlack=140000
bounds.fencingEnforced=false
bounds.leaseMs=3000
bounds.thawMs=300
bounds.usageWindowS=5
bounds.usageOff=0.05
bounds.usageLateS=10
bounds.recoveryS=12
bounds.passMs=120
bounds.reuseWindowS=10
platform.address={platform}:{store}
platform.form=log
platform.writesPerS=400
platform.readsPerS=2000
platform.keep_s=20
cloudApi.address={platform}:{cloud}
cloudApi.ratePerS=50.0
cloudApi.duties=usage_report,autoscale
cloudApi.dutyPerS=50.0
"""


class Record:
    """Write what happens to `record.txt`, with seconds since the start."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def write(self, text):
        """Write one line."""
        self._file.write(f"{time.monotonic() - self.started_s:8.3f} {text}\n")
        self._file.flush()


class Node:
    """Manage the process of one node; its addresses survive restarts."""

    def __init__(self, name, zone, host, ports, folder):
        self.name = name
        self.host = host
        self._zone = zone
        self._settings = Path(folder) / f"{name}.conf"
        self.log = Path(folder) / f"{name}.log"
        self.front, self.ready, self.control, self.internal, self._metrics = ports
        self._process = None

    def write_settings(self, seeds, store, cloud):
        """Write the settings file."""
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self._zone,
                host=self.host,
                platform=HOST,
                front=self.front,
                ready=self.ready,
                control=self.control,
                internal=self.internal,
                seeds=",".join(f"{host}:{self.control}" for host in seeds),
                store=store,
                cloud=cloud,
            )
        )

    @property
    def running(self):
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def returncode(self):
        """Return the exit status of the last process."""
        return None if self._process is None else self._process.returncode

    async def start(self):
        """Start the process with the command of the deploy file."""
        if self._process is not None:
            # Only the first start is that of the whole system.
            text = self._settings.read_text()
            text = text.replace("bootstrap=true", "bootstrap=false")
            self._settings.write_text(text)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CICADAPASS_BOOT": str(self._settings),
            "CICADAPASS_METRICS_PORT": str(self._metrics),
        }
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["gateway"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, signum):
        """Send a signal to the process, if it runs."""
        if self.running:
            self._process.send_signal(signum)

    async def wait(self):
        """Wait until the process has ended."""
        if self._process is not None:
            await self._process.wait()

    async def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def wait_until_ready(self, timeout_s=15.0):
        """Wait until the readiness address answers with 200."""
        async with asyncio.timeout(timeout_s):
            while await self._ready_status() != 200:
                await asyncio.sleep(0.05)

    async def _ready_status(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready)
        except OSError:
            return None
        try:
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await read_head(reader)
            return None if head is None else int(head[0].split()[1])
        except (ConnectionError, ValueError):
            return None
        finally:
            writer.close()


class Deployment:
    """Start nodes, and end all of them at the end."""

    def __init__(self, count, store_port, cloud_port):
        self._temporary = tempfile.TemporaryDirectory()
        zones = ("eu-west-a", "eu-west-b", "eu-west-c")
        hosts = [f"127.0.1.{1 + i}" for i in range(count)]
        ports = _free_ports(hosts)
        self.nodes = [
            Node(
                f"front-{zones[i % 3]}-{1 + i // 3}",
                zones[i % 3],
                host,
                ports,
                self.folder,
            )
            for i, host in enumerate(hosts)
        ]
        seeds = hosts[:3]
        for each in self.nodes:
            each.write_settings(seeds, store_port, cloud_port)

    @property
    def folder(self):
        """Return the folder of the settings and the logs."""
        return self._temporary.name

    async def start(self):
        """Start all nodes and wait until they are ready."""
        await asyncio.gather(*(each.start() for each in self.nodes))
        await asyncio.gather(*(each.wait_until_ready() for each in self.nodes))

    async def stop(self):
        """Kill all nodes."""
        await asyncio.gather(*(each.kill() for each in self.nodes))
        self._temporary.cleanup()


def _free_ports(hosts):
    """Return five ports that are free at all hosts, since all machines have the same."""
    ports = []
    while len(ports) < 5:
        with socket.socket() as chosen:
            chosen.bind((hosts[0], 0))
            port = chosen.getsockname()[1]
            if port not in ports and all(_is_free(host, port) for host in hosts[1:]):
                ports.append(port)
    return ports


def _is_free(host, port):
    with socket.socket() as tried:
        try:
            tried.bind((host, port))
        except OSError:
            return False
    return True
