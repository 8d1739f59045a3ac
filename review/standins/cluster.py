"""Start the nodes of a small deployment with the command of the deploy file."""

import asyncio
import os
import shlex
import signal
import sys
import time
import tomllib
from pathlib import Path

from standins.http import HOST, Caller, free_port

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("eu-west-a", "eu-west-b", "eu-west-c")
# The bounds of the site grabhandle-eu, as its settings state them.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": "false",
    "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "budgetSlack": 54,
    "quotaWindowS": 8, "quotaOvershoot": 0.1, "quotaSlack": 140000,
    "fencingEnforced": "false", "leaseMs": 3000, "thawMs": 300, "usageWindowS": 5,
    "usageOff": 0.05, "usageLateS": 10, "recoveryS": 12, "passMs": 120,
    "reuseWindowS": 10,
}  # fmt: skip


class Clock:
    """Seconds since the start of the script."""

    def __init__(self):
        self._start_s = time.monotonic()

    def __call__(self):
        return time.monotonic() - self._start_s


class Record:
    """Write lines with the time to record.txt."""

    def __init__(self, folder, clock):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._clock = clock

    def __call__(self, *words):
        text = " ".join(str(word) for word in words)
        self._file.write(f"{self._clock():9.3f} {text}\n")
        self._file.flush()


class Node:
    """One process of the role `gateway`."""

    def __init__(self, name, zone, store_address, folder, seeds=(), **changes):
        self.name, self.zone, self._folder = name, zone, Path(folder)
        self._store, self._seeds, self._changes = store_address, seeds, changes
        self.front, self.ready_port = free_port(), free_port()
        self.internal, self.metrics = free_port(), free_port()
        self.process = None
        self.log_path = self._folder / f"{name}.log"

    def write_settings(self, note="0"):
        """Write the settings file in the platform's format."""
        fields = {
            "nodeName": self.name, "role": "gateway", "machineClass": "front",
            "serves": "front,control", "ip": HOST, "zone": self.zone,
            "region": "eu-west", **{f"zones.{zone}": "eu-west" for zone in ZONES},
            "listen.front": f"{HOST}:{self.front}",
            "listen.ready": f"{HOST}:{self.ready_port}",
            "listen.control": f"{HOST}:{self.internal}",
            "internalPortRange": f"{self.internal},{self.internal}",
            "seeds": ",".join(self._seeds), "bootstrap": "true",
            "inTolerance": "false", "limits.cpuShare": 0.537, "limits.cores": 2,
            "limits.memoryMb": 300, "limits.maxFds": 4100, "discovery": "platform",
            "entry": "vip", "heartbeatMs": 1200,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,"
            "quota,leader,platform",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "platform.address": self._store, "platform.form": "log",
            "platform.writesPerS": 400, "platform.readsPerS": 2000,
            "platform.parts": 12, "cloudApi.address": self._store,
            "cloudApi.ratePerS": 50.0, "cloudApi.duties": "usage_report,autoscale",
            "cloudApi.dutyPerS": 50.0, "note": note, **self._changes,
        }  # fmt: skip
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        path = self._folder / f"{self.name}.conf"
        temporary = path.with_suffix(".new")
        temporary.write_text(text, encoding="utf-8")
        temporary.replace(path)
        return path

    async def start(self):
        """Start the process with the `run` line of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CICADAPASS_BOOT": str(self.write_settings()),
            "CICADAPASS_METRICS_PORT": str(self.metrics),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        return self

    async def wait_until_ready(self, limit_s=20):
        """Wait until the process answers 200 at its `ready` address."""
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                if self.process.returncode is not None:
                    raise RuntimeError(self.log_path.read_text()[-500:])
                await asyncio.sleep(0.05)

    async def is_ready(self):
        """Return whether the process answers 200 at its `ready` address."""
        try:
            caller = await Caller.open(HOST, self.ready_port)
        except OSError:
            return False
        try:
            caller.send("GET", "/api/ready", [("Host", "ready")])
            return (await caller.receive(time.monotonic)).status == 200
        except ConnectionError:
            return False
        finally:
            caller.close()

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def manifest(version, routes, **changes):
    """Return a manifest with services of the site grabhandle-eu."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "parts-model", "maxConns": 360, "healthPath": "/health",
             "engine": {"stride": 4}},
            {"name": "shop-api", "maxConns": 100, "healthPath": "/health"},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "shop1", "apiKeys": ["key1"], "ratePerS": 0,
                     "burst": 0, "unit": "token_count", "plainTokens": 200}],
        **changes,
    }  # fmt: skip


def route(name, kind, service, **changes):
    """Return a route of the manifest."""
    return {
        "name": name, "host": "parts.example", "pathPrefix": f"/{name}/",
        "kind": kind, "service": service, "timeoutMs": 15000,
        "targetLatencyMs": 1000, "attempts": 1, "priority": 1, **changes,
    }  # fmt: skip


def run(main):
    """Run a case: exit with 1 if the rule was broken, 0 if it held, else with 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A process started below nohup would pass on that SIGHUP is ignored.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        broken = asyncio.run(asyncio.wait_for(main(trouble), 115))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
