"""Test a gateway node as a separate process, from its settings file to SIGTERM."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from pathlib import Path

from tests.gateway.harness import HOST, Caller, LoopTest, Upstream, until
from tests.platform.storestandin import StoreStandin
from tests.platform.test_documents import DOCUMENT, ENTRY, ROUTE
from tests.ports import ReservedPort
from tests.run import ROOT


async def slow_stream(answer):
    """Stream 100 events in 0.5 s."""
    answer.extra = f"request-id: {answer.headers[b'request-id']}\r\nserver-seal: 1\r\n"
    answer.stream()
    for number in range(100):
        answer.event(number)
        await asyncio.sleep(0.005)
    answer.end()


def ignores_sighup(pid):
    """Return whether a process ignores SIGHUP, so that its code has begun to run."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except FileNotFoundError:
        return False
    mask = next(line for line in status.splitlines() if line.startswith("SigIgn"))
    return bool(int(mask.split()[1], 16) & 1 << signal.SIGHUP - 1)


class NodeProcess:
    """Run one node as a process, with a stand-in store and one engine."""

    def __init__(self, limits=None, settings="", script=slow_stream):
        """Set the `limits` of the configuration, more lines of settings, the engine."""
        self._ports = [ReservedPort() for _ in range(4)]
        self._limits, self._more_settings, self._script = limits, settings, script

    def release_ports(self):
        """End the process, and make the ports available to other tests."""
        with contextlib.suppress(ProcessLookupError):
            if self.process.returncode is None:
                os.kill(self.process.pid, signal.SIGKILL)
        for port in self._ports:
            port.release()

    async def start(self, folder):
        """Start the stand-ins and the node, and wait until the node is ready."""
        await self.launch(folder)
        await self.until_ready()
        return self

    def hang_up(self):
        """Send SIGHUP; return whether the process still ran."""
        return self.signal(signal.SIGHUP)

    def signal(self, signum):
        """Send a signal; return whether the process still ran."""
        if self.process.returncode is not None:
            return False
        try:
            # `Process.send_signal` would collect the exit status itself.
            os.kill(self.process.pid, signum)
        except ProcessLookupError:
            return False
        return True

    async def until_ready(self):
        """Wait until the node is ready."""
        while await self.status() != 200:
            await asyncio.sleep(0.05)

    async def launch(self, folder):
        """Start the stand-ins and the node's process."""
        self.store = StoreStandin()
        address = await self.store.start()
        self.engine = await Upstream("i-1", self._script).start()
        registry = self.store.registry
        route = {**ROUTE, "streamResume": False, "timeoutMs": 15000}
        document = {**DOCUMENT, "routes": [route], "tenants": []}
        if self._limits is not None:
            document["limits"] = self._limits
        registry.put("keyed.op", "config", json.dumps(document).encode())
        entry = {**ENTRY, "address": f"{HOST}:{self.engine.port}"}
        registry.put("keyed.servers", "i-1", json.dumps(entry).encode())
        numbers = [port.number for port in self._ports]
        self.caller_port, self.ready_port, internal_port, metrics_port = numbers
        self.settings = Path(folder) / "boot.conf"
        self.settings.write_text(
            f"nodeName=n1\nzone=dc-a\nip={HOST}\ninternalPortRange={internal_port},1\n"
            f"listen.front={HOST}:{self.caller_port}\n"
            f"listen.ready={HOST}:{self.ready_port}\n"
            f"platform.address={address}\ncloudApi.address={address}\n"
            "cloudApi.duties=usage_report\nbounds.graceS=8\n"
            f"{self._more_settings}"
        )
        environment = {**os.environ, "CICADAPASS_BOOT": str(self.settings)}
        environment["CICADAPASS_METRICS_PORT"] = str(metrics_port)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cicadapass_platform",
            cwd=ROOT,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
        )

    async def status(self):
        """Return the status of the readiness check, or 0 if nothing listens."""
        try:
            caller = await self.connect(self.ready_port)
        except OSError:
            return 0
        caller.send("/api/ready")
        status = (await caller.reply()).status
        caller.close()
        return status

    async def connect(self, port):
        """Return a caller that is connected to a port of the node."""
        return Caller(*await asyncio.open_connection(HOST, port))


class ProcessTest(LoopTest):
    def test_sigterm_completes_streams(self):
        """SIGTERM cut a stream in progress, or the node stayed ready."""
        folder = self.enterContext(tempfile.TemporaryDirectory())

        async def scenario():
            node = NodeProcess()
            self.addCleanup(node.release_ports)
            await node.start(folder)
            caller = await node.connect(node.caller_port)
            caller.send("/p/x", "POST", b"ask", Request_Id="r1")
            await until(lambda: node.engine.requests)
            node.process.send_signal(signal.SIGTERM)
            reply = await caller.reply()
            self.assertTrue(reply.complete)
            self.assertEqual(100, reply.body.count(b"data:"))
            self.assertEqual(503, await node.status())
            output, _ = await node.process.communicate()
            self.assertEqual(0, node.process.returncode)
            names = [json.loads(line)["name"] for line in output.splitlines()]
            for name in ("gateway_started", "gateway_configuration", "request_ended"):
                self.assertIn(name, names)
            self.assertEqual("gateway_stopped", names[-1])
            sent = dict(node.engine.requests[0][0].headers)
            self.assertEqual(b"i-1", sent[b"expect-instance"])

        self.run_loop(scenario())

    def test_sighup_reloads_the_settings(self):
        """Changed settings required a restart, or an invalid file ended the node."""
        folder = self.enterContext(tempfile.TemporaryDirectory())

        async def scenario():
            node = NodeProcess()
            self.addCleanup(node.release_ports)
            await node.start(folder)
            text = node.settings.read_text()
            node.settings.write_text(f"{text}seeds=127.0.0.9:1\n")
            node.process.send_signal(signal.SIGHUP)
            changed = None
            while changed is None:
                line = json.loads(await node.process.stdout.readline())
                changed = line.get("changed")
            self.assertEqual(["seeds"], changed)
            node.settings.write_text("nonsense")
            node.process.send_signal(signal.SIGHUP)
            while "nodeName is missing" not in str(line.get("reason")):
                line = json.loads(await node.process.stdout.readline())
            self.assertEqual(200, await node.status())
            node.process.send_signal(signal.SIGTERM)
            await node.process.communicate()

        self.run_loop(scenario())

    def test_sighup_while_the_node_starts_does_not_end_it(self):
        """A change of the settings ended each node that was just starting."""
        folder = self.enterContext(tempfile.TemporaryDirectory())

        async def scenario():
            node = NodeProcess()
            self.addCleanup(node.release_ports)
            await node.launch(folder)
            ready = asyncio.create_task(node.until_ready())
            # The interpreter needs some milliseconds until it runs the node's code.
            await until(lambda: ignores_sighup(node.process.pid) or ready.done())
            sent = 0
            while not ready.done() and node.hang_up():
                sent += 1
                await asyncio.sleep(0.002)
            self.assertTrue(node.hang_up())
            self.assertGreater(sent, 10)
            node.process.send_signal(signal.SIGTERM)
            await node.process.communicate()
            self.assertEqual(0, node.process.returncode)

        self.run_loop(scenario())

    def test_sighup_while_the_node_stops_does_not_end_it(self):
        """A change of the settings ended a node before it had written its log."""
        self.check_stop(signal.SIGHUP)

    def test_sigterm_while_the_node_stops_does_not_end_it(self):
        """A repeated request to stop ended a node by the signal."""
        self.check_stop(signal.SIGTERM)

    def check_stop(self, signum):
        """Check that a node stops in order while it gets signals without a pause."""
        folder = self.enterContext(tempfile.TemporaryDirectory())

        async def scenario():
            node = NodeProcess()
            self.addCleanup(node.release_ports)
            await node.start(folder)
            node.process.send_signal(signal.SIGTERM)
            ended = asyncio.create_task(node.process.communicate())
            while node.signal(signum):
                await asyncio.sleep(0)
            output, _ = await ended
            self.assertEqual(0, node.process.returncode)
            last = json.loads(output.splitlines()[-1])
            self.assertEqual("gateway_stopped", last["name"])

        self.run_loop(scenario())

    def test_an_order_of_a_rollout_is_answered(self):
        """The state of a rollout was not written where operators read it."""
        folder = self.enterContext(tempfile.TemporaryDirectory())

        async def scenario():
            node = NodeProcess(settings="contracts=other,rollout\n")
            self.addCleanup(node.release_ports)
            await node.start(folder)
            registry = node.store.registry
            order = {"service": "s", "to": "v2", "durationS": 600}
            registry.put("keyed.op", "rollout/s", json.dumps(order).encode())
            log = registry.logs.setdefault("keyed.status", [])
            await until(lambda: log)
            registry.put("keyed.op", "rollout/s", b"")
            await until(lambda: len(log) > 1)
            states = [(key, json.loads(value)) for key, value in log]
            expected = [
                ("rollout/s", {"state": each, "to": "v2"})
                for each in ("running", "rolled_back")
            ]
            self.assertEqual(expected, states)
            node.process.send_signal(signal.SIGTERM)
            await node.process.communicate()

        self.run_loop(scenario())

    def test_invalid_settings_are_reported(self):
        """A node with an invalid settings file ended without a message."""

        async def scenario():
            environment = {**os.environ, "CICADAPASS_BOOT": os.devnull}
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cicadapass_platform",
                cwd=ROOT,
                env=environment,
                stderr=asyncio.subprocess.PIPE,
            )
            _, errors = await process.communicate()
            self.assertEqual(2, process.returncode)
            self.assertIn(b"nodeName is missing", errors)

        self.run_loop(scenario())
