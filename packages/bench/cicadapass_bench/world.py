"""Run a complete system locally: stand-ins, nodes and a published inventory."""

import json
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import urllib3

from cicadapass_bench.processes import Process, ProcessGroup, process_group
from cicadapass_bench.waiting import NotReady, wait_until
from cicadapass_bench.worldplan import (
    GRABHANDLE,
    KLASITE,
    FleetPlan,
    NodeProcess,
    UpstreamProcess,
    WorldPlan,
    credential_of,
    fleet_document,
    small_plan,
)
from cicadapass_common.credentials import hash_credential

# The plans are re-exported, so that users import only this module.
__all__ = [
    "GRABHANDLE",
    "KLASITE",
    "FleetPlan",
    "NodeProcess",
    "NotReady",
    "UpstreamProcess",
    "World",
    "WorldPlan",
    "running_world",
    "small_plan",
    "wait_until",
]

SHARED_SECRET = "bench-shared-secret-0001"
OPERATOR_CREDENTIAL = "bench-operator-credential"
PROBE_TIMEOUT_S = 2.0
# Every node of a fleet may use all slots of an upstream, and requests for load
# reports need further threads.
THREADS_PER_SLOT = 8
MIN_THREADS = 16


class World:
    """Start and control the processes of one system."""

    def __init__(self, plan: WorldPlan, group: ProcessGroup) -> None:
        self.plan = plan
        self.group = group
        self.http = urllib3.PoolManager(num_pools=64, maxsize=64, retries=False)
        self.log, self.vm_list, self.cloud = group.start_all(
            [
                ("log", ["-m", "cicadapass_standins.log", *plan.log_options]),
                ("vmlist", ["-m", "cicadapass_standins.vmlist"]),
                ("cloud", ["-m", "cicadapass_standins.cloud"]),
            ]
        )
        self.upstreams = self._start_upstreams()
        self.nodes: list[NodeProcess] = []
        self._start_nodes()

    def node(self, fleet: str, data_centre: str) -> NodeProcess:
        """Return the first running node of a data centre; StopIteration if none."""
        return next(
            node
            for node in self.nodes
            if (node.fleet, node.data_centre) == (fleet, data_centre)
            and node.process.running
        )

    def start_node(
        self, fleet: str, data_centre: str, name: str, **settings: Any
    ) -> NodeProcess:
        """Start one more node and wait for its addresses."""
        node = self._start_node(fleet, data_centre, name, settings)
        node.process.read_addresses()
        self.nodes.append(node)
        self._list_vm(node)
        return node

    def control(self, process: Process, **faults: Any) -> dict[str, Any]:
        """Set the faults of a stand-in; raise NotReady if it refuses them."""
        url = f"{process.addresses['control_url']}/control"
        answer = self.http.request("POST", url, json=faults)
        if answer.status != 200:
            raise NotReady(f"stand-in refused the faults: {answer.data!r}")
        return dict(answer.json())

    def inventory(self) -> dict[str, Any]:
        """Return a valid inventory document that lists all upstreams."""
        fleets = {
            fleet.name: fleet_document(self.plan, fleet, self.upstreams)
            for fleet in self.plan.fleets
        }
        return {"format": 1, "fleets": fleets, "rules": dict(self.plan.rules)}

    def publish(self, document: Mapping[str, Any]) -> subprocess.CompletedProcess[str]:
        """Publish with cicadapassctl and return the completed process."""
        path = self.group.directory / "inventory.json"
        path.write_text(json.dumps(document))
        return self.ctl("publish", str(path))

    def ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run cicadapassctl against the running nodes."""
        path = self.group.directory / "cicadapassctl.json"
        nodes = [node.operators_url for node in self.nodes if node.process.running]
        settings = {
            "log_url": self.log.addresses["url"],
            "nodes": nodes,
            "operator_credential": OPERATOR_CREDENTIAL,
        }
        path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "cicadapassctl", "--settings", str(path)]
        return subprocess.run(
            [*command, *arguments], capture_output=True, text=True, check=False
        )

    def operators_get(self, node: NodeProcess, path: str) -> dict[str, Any]:
        """Return a JSON answer from the operators' interface of a node."""
        headers = {"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"}
        url = node.operators_url + path
        return dict(self.http.request("GET", url, headers=headers).json())

    def wait_ready(self, nodes: Sequence[NodeProcess] | None = None) -> None:
        """Wait until the nodes, by default all, are ready; NotReady on timeout."""
        for node in self.nodes if nodes is None else nodes:
            url = f"{node.callers_url}/readyz"
            wait_until(
                lambda url=url: self.http.request("GET", url).status == 200,  # type: ignore[misc]
                f"{node.name} ready",
            )

    def wait_members(self, count: int) -> None:
        """Wait until each running node reports at least this many alive members."""
        for node in self.nodes:
            if node.process.running:
                wait_until(
                    lambda node=node: self._count_alive(node) >= count,  # type: ignore[misc]
                    f"{node.name} reports {count} alive members",
                )

    def ready_nodes(self, fleet: str) -> list[NodeProcess]:
        """Return the nodes to which a load balancer would route callers."""
        return [
            node
            for node in self.nodes
            if node.fleet == fleet and node.process.running and self._is_ready(node)
        ]

    def effects(self, plan: FleetPlan, data_centre: str = "") -> "Counter[str]":
        """Return the number of effects per path at a fleet's running services."""
        counts: Counter[str] = Counter()
        for upstream in self.upstreams:
            is_selected = (
                data_centre in ("", upstream.data_centre) and upstream.process.running
            )
            if is_selected and (upstream.fleet, upstream.service) == (
                plan.name,
                plan.plain_service,
            ):
                page = self.http.request("GET", f"{upstream.url}/ledger").json()
                counts.update(effect["path"] for effect in page["effects"])
        return counts

    def mark_leaving(self, fleet: str, data_centre: str, deadline_s: float) -> None:
        """Mark all VMs of a data centre as leaving in the VM list."""
        fleet_and_data_centre = (fleet, data_centre)
        for node in self.nodes:
            if (node.fleet, node.data_centre) == fleet_and_data_centre:
                self._list_vm(node, state="leaving", deadline_s=deadline_s)
        for upstream in self.upstreams:
            if (upstream.fleet, upstream.data_centre) == fleet_and_data_centre:
                path = (
                    "/v1/load"
                    if upstream.service != self._plain_service_of(fleet)
                    else "/load"
                )
                load = self.http.request("GET", upstream.url + path).json()
                entry = {
                    "name": upstream.name,
                    "incarnation": load["incarnation"],
                    "fleet": fleet,
                    "data_centre": data_centre,
                    "kind": "upstream",
                    "address": urlsplit(upstream.url).netloc,
                    "state": "leaving",
                    "deadline_s": deadline_s,
                }
                self.control(self.vm_list, put=entry)

    def credential(self, fleet: str, workspace: str) -> str:
        """Return the callers' credential of a workspace."""
        return credential_of(fleet, workspace)

    def _is_ready(self, node: NodeProcess) -> bool:
        try:
            url = f"{node.callers_url}/readyz"
            return self.http.request("GET", url, timeout=PROBE_TIMEOUT_S).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _plain_service_of(self, fleet: str) -> str:
        return next(
            plan.plain_service for plan in self.plan.fleets if plan.name == fleet
        )

    def _count_alive(self, node: NodeProcess) -> int:
        members = self.operators_get(node, "/v1/members")["members"]
        return sum(member["state"] == "alive" for member in members)

    def _start_upstreams(self) -> list[UpstreamProcess]:
        named_commands = []
        descriptions = []
        for fleet in self.plan.fleets:
            for data_centre in fleet.data_centres:
                for service, module, count in (
                    (fleet.model_service, "engine", fleet.engines),
                    (fleet.plain_service, "service", fleet.services),
                ):
                    slots = getattr(self.plan, f"{module}_slots")
                    options = getattr(self.plan, f"{module}_options")
                    # The default of 600 threads per engine can exhaust the process
                    # ids of the machine when several systems run at once.
                    threads = MIN_THREADS + THREADS_PER_SLOT * slots
                    size_options = ("--slots", str(slots), "--threads", str(threads))
                    options = (*size_options, *options)
                    for index in range(count):
                        name = f"{service}-{data_centre}-{index}"
                        command = ["-m", f"cicadapass_standins.{module}", *options]
                        named_commands.append((f"{fleet.name}-{name}", command))
                        descriptions.append((name, fleet.name, data_centre, service))
        processes = self.group.start_all(named_commands)
        return [
            UpstreamProcess(*description, process)
            for description, process in zip(descriptions, processes, strict=True)
        ]

    def _start_nodes(self) -> None:
        started = [
            self._start_node(
                fleet.name, data_centre, f"{fleet.name}-{data_centre}-n{index}", {}
            )
            for fleet in self.plan.fleets
            for data_centre in fleet.data_centres
            for index in range(fleet.nodes)
        ]
        for node in started:
            node.process.read_addresses()
            self.nodes.append(node)
            self._list_vm(node)

    def _start_node(
        self, fleet: str, data_centre: str, name: str, settings: Mapping[str, Any]
    ) -> NodeProcess:
        document = {
            "name": name,
            "fleet": fleet,
            "data_centre": data_centre,
            "log_url": self.log.addresses["url"],
            "vm_list_url": self.vm_list.addresses["url"],
            "notices_url": self.cloud.addresses["url"],
            "shared_secret": SHARED_SECRET,
            "operator_sha256": hash_credential(OPERATOR_CREDENTIAL),
            **self.plan.node_settings,
            **settings,
        }
        path = self.group.directory / f"{name}.json"
        path.write_text(json.dumps(document))
        command = ["-m", "cicadapass", "--settings", str(path)]
        return NodeProcess(name, fleet, data_centre, self.group.start(name, command))

    def _list_vm(self, node: NodeProcess, **changes: Any) -> None:
        addresses = node.process.addresses
        entry = {
            "name": node.name,
            "incarnation": addresses.get("incarnation", ""),
            "fleet": node.fleet,
            "data_centre": node.data_centre,
            "kind": "entry",
            "address": f"127.0.0.1:{addresses.get('peer_port', 0)}",
            "state": "live",
            **changes,
        }
        self.control(self.vm_list, put=entry)


@contextmanager
def running_world(plan: WorldPlan, directory: Path | None = None) -> Iterator[World]:
    """Run a system with a published inventory; stop it at the end of the block."""
    with (
        tempfile.TemporaryDirectory(prefix="cicadapass-") as temporary,
        process_group(directory or Path(temporary)) as group,
    ):
        world = World(plan, group)
        published = world.publish(world.inventory())
        if published.returncode != 0:
            raise NotReady(f"publish failed: {published.stderr}")
        world.wait_ready()
        yield world
