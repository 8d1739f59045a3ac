"""A system whose processes can be cut off, killed and restored between cells."""

import itertools
import json
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager, suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from urllib.parse import urlsplit

import urllib3

from cicadapass_bench.matrix_relay import RELAY_HOST, Relay, owns_port
from cicadapass_bench.processes import (
    Process,
    ProcessGroup,
    StartError,
    process_group,
)
from cicadapass_bench.world import (
    OPERATOR_CREDENTIAL,
    NodeProcess,
    NotReady,
    UpstreamProcess,
    World,
    WorldPlan,
    small_plan,
    wait_until,
)

FLEET = "grabhandle"
CONFIG_STREAM = "cicadapass"
CLAIM_STREAM = "cicadapass-claims"
TOKENS_PER_S = 250
OPERATORS_TIMEOUT_S = 2.0
CTL_TIMEOUT_S = 60.0
MAX_PORT_ATTEMPTS = 8
PORT_RETRY_INTERVAL_S = 0.25


class MatrixWorld(World):
    """Run a system with relays before the log and each node's peer address."""

    def __init__(self, plan: WorldPlan, group: ProcessGroup) -> None:
        self._log_relays: dict[str, Relay] = {}
        self._peer_relays: dict[str, Relay] = {}
        self._sequence = itertools.count(1)
        self.lost_effects: Counter[str] = Counter()
        self.lost_attempts: set[tuple[str, str, int]] = set()
        self.frozen: set[str] = set()
        super().__init__(plan, group)

    @property
    def engines(self) -> list[UpstreamProcess]:
        """Return the upstreams that serve the model service."""
        return [upstream for upstream in self.upstreams if upstream.service == "parts"]

    @property
    def services(self) -> list[UpstreamProcess]:
        """Return the upstreams that serve the plain service."""
        return [upstream for upstream in self.upstreams if upstream.service != "parts"]

    def usable_nodes(self) -> list[NodeProcess]:
        """Return the nodes that run and are not frozen."""
        return [
            node
            for node in self.nodes
            if node.process.running and node.name not in self.frozen
        ]

    def freeze(self, node: NodeProcess) -> None:
        """Suspend a node's process and route callers to other nodes."""
        self.frozen.add(node.name)
        node.process.pause()

    def thaw(self, node: NodeProcess) -> None:
        """Resume a frozen node."""
        node.process.resume()
        self.frozen.discard(node.name)

    def cut_log(self, node: NodeProcess) -> None:
        """Block all traffic between a node and the log."""
        self._log_relays[node.name].block()

    def cut_peers(self, node: NodeProcess) -> None:
        """Block all traffic between a node and all other nodes."""
        pid = node.process.pid
        is_owned_by_node: dict[int, bool] = {}

        def from_node(port: int) -> bool:
            if port not in is_owned_by_node:
                is_owned_by_node[port] = owns_port(pid, port)
            return is_owned_by_node[port]

        for name, relay in self._peer_relays.items():
            if name == node.name:
                relay.block()
            else:
                relay.block(from_node)

    def heal_links(self) -> None:
        """Make all relays forward again."""
        for relay in (*self._log_relays.values(), *self._peer_relays.values()):
            relay.heal()

    def kill_upstream(self, upstream: UpstreamProcess) -> None:
        """Kill an upstream; keep the effects and attempts it has recorded."""
        if not upstream.process.running:
            return
        self.lost_effects += self._effects_of(upstream)
        self.lost_attempts |= self.attempts_of(upstream)
        upstream.process.kill()

    def restart_upstream(self, upstream: UpstreamProcess) -> UpstreamProcess:
        """Start a new incarnation at the address of a killed upstream."""
        is_engine = upstream.service == "parts"
        module = "engine" if is_engine else "service"
        options = self.plan.engine_options if is_engine else self.plan.service_options
        slots = self.plan.engine_slots if is_engine else self.plan.service_slots
        port = str(urlsplit(upstream.url).port)
        command = ["-m", f"cicadapass_standins.{module}", "--slots", str(slots)]
        name = f"{upstream.name}-r{next(self._sequence)}"
        process = self._start_at_port(name, [*command, *options], port)
        replacement = UpstreamProcess(
            upstream.name,
            upstream.fleet,
            upstream.data_centre,
            upstream.service,
            process,
        )
        self.upstreams[self.upstreams.index(upstream)] = replacement
        return replacement

    def _start_at_port(self, name: str, command: list[str], port: str) -> Process:
        for _ in range(MAX_PORT_ATTEMPTS):
            process = self.group.start(name, [*command, "--port", port])
            try:
                process.read_addresses()
                return process
            except StartError:
                # A lingering connection or another process may still use the port.
                threading.Event().wait(PORT_RETRY_INTERVAL_S)
        return self.group.start_all([(name, command)])[0]

    def all_effects(self) -> "Counter[str]":
        """Return the number of effects per path, including those of killed services."""
        effects = Counter(self.lost_effects)
        for service in self.services:
            effects += self._effects_of(service)
        return effects

    def attempts_of(self, upstream: UpstreamProcess) -> set[tuple[str, str, int]]:
        """Return the attempts that an engine has received; none if it has ended."""
        if upstream.service != "parts" or not upstream.process.running:
            return set()
        page = self.http.request("GET", f"{upstream.url}/stats").json()
        return {
            (upstream.url, request_id, attempt["attempt"])
            for request_id, request_attempts in page["requests"].items()
            for attempt in request_attempts
        }

    def attempted_request_ids(self) -> frozenset[str]:
        """Return the ids of the requests that any engine has received."""
        attempts = set(self.lost_attempts)
        for engine in self.engines:
            attempts |= self.attempts_of(engine)
        return frozenset(request_id for _, request_id, _ in attempts)

    def end_offset(self, stream: str) -> int:
        """Return the offset after the last record of a stream of the log."""
        url = f"{self.log.addresses['url']}/streams/{stream}/records?from=0&limit=1"
        return int(self.http.request("GET", url).json()["end_offset"])

    def status(self, node: NodeProcess) -> dict[str, Any]:
        """Return a node's status; empty if the node does not answer."""
        return self._operators_json(node, "/v1/status")

    def events(self, node: NodeProcess, event_number: int, since_ms: int) -> list[Any]:
        """Return a node's events with one number since a time."""
        page = self._operators_json(node, f"/v1/events?since={since_ms}")
        return [
            event for event in page.get("events", []) if event["event"] == event_number
        ]

    def new_inventory(self) -> dict[str, Any]:
        """Return a valid inventory that differs from all earlier ones."""
        document = self.inventory()
        workspaces = document["fleets"][FLEET]["workspaces"]
        workspaces["bulk"]["weight"] = next(self._sequence)
        return document

    def publish_new(self, *options: str) -> dict[str, Any]:
        """Publish a new inventory; return the command's JSON output and exit code."""
        number = next(self._sequence)
        inventory_path = self.group.directory / f"inventory-{number}.json"
        inventory_path.write_text(json.dumps(self.new_inventory()))
        settings_path = self.group.directory / f"ctl-{number}.json"
        nodes = [node.operators_url for node in self.usable_nodes()]
        ctl_settings = {
            "log_url": self.log.addresses["url"],
            "nodes": nodes,
            "operator_credential": OPERATOR_CREDENTIAL,
        }
        settings_path.write_text(json.dumps(ctl_settings))
        command = [
            sys.executable,
            "-m",
            "cicadapassctl",
            "--settings",
            str(settings_path),
        ]
        completed = subprocess.run(
            [*command, "--json", "publish", *options, str(inventory_path)],
            capture_output=True,
            text=True,
            check=False,
            timeout=CTL_TIMEOUT_S,
        )
        with suppress(ValueError):
            return dict(json.loads(completed.stdout)) | {"code": completed.returncode}
        return {"outcome": f"exit {completed.returncode}: {completed.stderr[-200:]}"}

    def heal(self) -> None:
        """Restore the system: no faults, all upstreams and three ready nodes."""
        self.heal_links()
        for node in self.nodes:
            self.thaw(node)
        for standin in (self.log, self.vm_list, self.cloud):
            self.control(standin, reset=True)
        for upstream in list(self.upstreams):
            upstream.process.resume()
            if not upstream.process.running:
                upstream = self.restart_upstream(upstream)
            elif self._is_leaving(upstream):
                # Leaving marks are never cleared, so a new VM replaces the upstream.
                self.kill_upstream(upstream)
                upstream = self.restart_upstream(upstream)
            self.control(upstream.process, reset=True)
            self.control(self.vm_list, remove=upstream.name)
        self._replace_nodes()
        self.wait_ready()
        self.wait_members(len(self.nodes))

    def _is_leaving(self, upstream: UpstreamProcess) -> bool:
        path = "/v1/load" if upstream.service == "parts" else "/load"
        load = self.http.request("GET", upstream.url + path).json()
        return bool(load["leaving"])

    def _replace_nodes(self) -> None:
        for node in list(self.nodes):
            is_stopping = node.process.running and self.status(node).get(
                "draining", True
            )
            if is_stopping:
                node.process.kill()
            if not node.process.running:
                self.nodes.remove(node)
                self.control(self.vm_list, remove=node.name)
                for relays in (self._log_relays, self._peer_relays):
                    relays.pop(node.name).close()
        for plan in self.plan.fleets:
            for data_centre in plan.data_centres:
                local_nodes = [
                    node for node in self.nodes if node.data_centre == data_centre
                ]
                # Remove the nodes that joined in an earlier cell.
                for surplus in local_nodes[1:]:
                    surplus.process.kill()
                    self.nodes.remove(surplus)
                    self.control(self.vm_list, remove=surplus.name)
                if not local_nodes:
                    self.start_node(
                        plan.name, data_centre, self.fresh_name(data_centre)
                    )

    def fresh_name(self, data_centre: str) -> str:
        """Return a node name that has not been used before."""
        return f"{FLEET}-{data_centre}-r{next(self._sequence)}"

    def _effects_of(self, upstream: UpstreamProcess) -> "Counter[str]":
        if upstream.service == "parts" or not upstream.process.running:
            return Counter()
        page = self.http.request("GET", f"{upstream.url}/ledger").json()
        return Counter(effect["path"] for effect in page["effects"])

    def _operators_json(self, node: NodeProcess, path: str) -> dict[str, Any]:
        headers = {"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"}
        try:
            answer = self.http.request(
                "GET",
                node.operators_url + path,
                headers=headers,
                timeout=OPERATORS_TIMEOUT_S,
            )
            return dict(answer.json())
        except (urllib3.exceptions.HTTPError, ValueError):
            return {}

    def _start_node(
        self, fleet: str, data_centre: str, name: str, settings: Mapping[str, Any]
    ) -> NodeProcess:
        relay = Relay(_address(self.log.addresses["url"]))
        self._log_relays[name] = relay
        log_url = f"http://{RELAY_HOST}:{relay.port}"
        peer_relay = Relay()
        self._peer_relays[name] = peer_relay
        # Peers learn only the relay's address, whichever member reports the node.
        advertised = {
            "advertised_host": RELAY_HOST,
            "advertised_port": peer_relay.port,
        }
        node_settings = {"log_url": log_url, "peers": advertised, **settings}
        return super()._start_node(fleet, data_centre, name, node_settings)

    def _list_vm(self, node: NodeProcess, **changes: Any) -> None:
        relay = self._peer_relays[node.name]
        relay.target = ("127.0.0.1", int(node.process.addresses["peer_port"]))
        port = relay.port
        super()._list_vm(node, **{"address": f"{RELAY_HOST}:{port}", **changes})


def matrix_plan() -> WorldPlan:
    """Return the plan of the matrix; its services do not deduplicate by key."""
    return small_plan(
        engine_options=("--tokens-per-s", str(TOKENS_PER_S)),
        service_options=("--faults", '{"deduplicate": false}'),
    )


@contextmanager
def matrix_world() -> Iterator[MatrixWorld]:
    """Run the system of the matrix; stop it at the end of the block."""
    with (
        TemporaryDirectory(prefix="cicadapass-matrix-") as directory,
        process_group(Path(directory)) as group,
    ):
        world = MatrixWorld(matrix_plan(), group)
        published = world.publish(world.inventory())
        if published.returncode != 0:
            raise NotReady(f"publish failed: {published.stderr}")
        world.wait_ready()
        world.wait_members(len(world.nodes))
        yield world


def now_ms() -> int:
    """Return the wall-clock time in milliseconds, the unit of event times."""
    return int(time.time() * 1000)


def _address(url: str) -> tuple[str, int]:
    split_url = urlsplit(url)
    return str(split_url.hostname), int(split_url.port or 80)


__all__ = ["MatrixWorld", "matrix_plan", "matrix_world", "now_ms", "wait_until"]
