"""Run nodes with their duties and traffic during rollouts, in virtual time."""

import asyncio
import json
from dataclasses import dataclass, replace
from unittest import mock

from cicadapass_decisions.passthrough import Prompt, Service, UpstreamRecord
from cicadapass_decisions.rollouts import RolloutBounds
from cicadapass_gateway import duties
from cicadapass_gateway.adapterapi import DocumentCodec
from cicadapass_gateway.fleetplanner import FleetPlanner
from cicadapass_gateway.registrysync import periodic
from cicadapass_gateway.requestqueue import RequestRequirements
from cicadapass_gateway.rolloutcounts import PromptSize
from cicadapass_gateway.upstreamtracker import Reservation
from cicadapass_platform.rolloutdocuments import ROLLOUT_CODEC
from tests.gateway.harness import configuration
from tests.gateway.virtualcluster import UPSTREAMS, Cluster, ClusterNode, run_virtual

NODES = 9
ENGINES = 12
# Requests of each node in a second, and the routes that they take in turns.
REQUESTS_PER_S = 16.0
ROUTES = ("long", "short", "short", "short")
DURATION_S = 12.0


@dataclass(frozen=True)
class Sent:
    """Record a request that a node sent."""

    at_s: float
    node: str
    service: str
    version: str
    bad: bool


class RolloutNode(ClusterNode):
    """Run the duties of a node and send its requests."""

    def __init__(self, cluster, number, incarnation=1):
        super().__init__(cluster, number, incarnation)
        self.cluster = cluster
        clock = self.state.clock
        self.state.rollouts.set_time(clock)
        planner = FleetPlanner(self.state, lambda service: 0.0, lambda: True)
        times = duties.DutyTimes(2.5, 5.0)
        self.duties = duties.Duties(
            self.state, self.adapter, self.peers, self.usage, planner, times, clock
        )
        self.peers._dependencies.local_renewal = self.duties.local_renewal

    @property
    def holds_duties(self):
        """Return whether this node is the holder."""
        return self.duties.local_renewal() is not None

    def start(self):
        """Start the components in the background."""
        super().start()
        for follow in (
            self.duties.run,
            self.registry_sync.follow_held_versions,
            periodic(self.state.rollouts.tick, 0.2),
            periodic(self.state.queue.dispatch, 0.2),
            self._send_requests,
        ):
            self._tasks.append(asyncio.create_task(follow()))

    async def _send_requests(self):
        rng, number = self.cluster.rng, 0
        await self.cluster.open.wait()
        while True:
            await asyncio.sleep(rng.expovariate(self.cluster.rate))
            number += 1
            service = self.cluster.services[number % len(self.cluster.services)]
            route = rng.choice(ROUTES)
            self._tasks.append(asyncio.create_task(self._send(service, route)))

    async def _send(self, service, route):
        now_s, state = self.state.clock(), self.state
        placed = await state.queue.place(
            RequestRequirements(
                service,
                Prompt((), 100, 100),
                True,
                0,
                now_s,
                0.5,
                0.25,
                now_s + 10,
                None,
                frozenset(),
                route=route,
                may_try=True,
            )
        )
        if not isinstance(placed, Reservation):
            self.cluster.refused += 1
            return
        record, now_s = placed.record, state.clock()
        evidence = state.rollouts.record_sent(
            record, placed.key, route, PromptSize(placed.uncached_tokens), first=True
        )
        failed, delay_s = self.cluster.behave(record, route)
        self.cluster.sent.append(
            Sent(now_s, self.name, service, record.version, failed or delay_s > 0.5)
        )
        await asyncio.sleep(delay_s)
        state.upstreams.end(placed, state.clock(), succeeded=not failed)
        if evidence is not None:
            evidence.end(state.clock(), not failed)


class RolloutCluster(Cluster):
    """Run nodes in front of engines of two versions."""

    node_class = RolloutNode
    rollout_bounds = RolloutBounds()

    def __init__(
        self, seed=1, services=("s",), bad=None, nodes=NODES, rate=REQUESTS_PER_S
    ):
        self.services = services
        self.rate = rate
        self.sent, self.refused = [], 0
        self.open = asyncio.Event()
        # Fraction of failures and factor of the delay of v2.
        self.failure, self.factor = bad or (0.0, 1.0)
        # The same of one engine of v2, the first that gets a request.
        self.odd_engine, self._odd_id = None, None
        super().__init__(nodes, seed)
        for service in services:
            for number in range(ENGINES):
                self.put_engine(service, "v1", number)

    def document_codec(self):
        """Return a codec whose entries name their service and version."""

        def decode_entry(key, raw):
            service, version, number = key.split("-")
            place, port = f"dc-{int(number) % 3}", 1000 + int(number)
            return UpstreamRecord(
                key, service, key, port, place, 24, False, 1, 1, version=version
            )

        return DocumentCodec(
            "config", self.decode_configuration, decode_entry, ROLLOUT_CODEC
        )

    def decode_configuration(self, raw):
        """Return a configuration with the cluster's services."""
        services = {name: Service(name, model_engine=True) for name in self.services}
        return replace(configuration(version=int(raw)), services=services)

    def put_engine(self, service, version, number, raw=b"ready"):
        """Write the entry of an engine; an empty one removes it."""
        self.registry.put(UPSTREAMS, f"{service}-{version}-{number}", raw)

    def order(self, service="s", to="v2", offset_s=0.3, **changes):
        """Write an order, and start its engines soon after."""
        fields = {"service": service, "to": to, "durationS": DURATION_S, **changes}
        key = f"rollout/{service}"
        self.registry.put("configuration", key, json.dumps(fields).encode())
        for number in range(ENGINES):
            asyncio.get_running_loop().call_later(
                offset_s, self.put_engine, service, to, number
            )

    def behave(self, record, _route):
        """Return whether a request fails, and how long it takes."""
        delay_s = self.rng.uniform(0.1, 0.2)
        if record.version != "v2":
            return False, delay_s
        failure, factor = self.failure, self.factor
        self._odd_id = self._odd_id or record.upstream_id
        if self.odd_engine is not None and record.upstream_id == self._odd_id:
            failure, factor = self.odd_engine
        return self.rng.random() < failure, delay_s * factor

    def states(self, service="s"):
        """Return the states that were written for a service."""
        log = self.registry.logs.get("status", [])
        key = f"rollout/{service}"
        return [json.loads(value)["state"] for name, value in log if name == key]

    @property
    def holder(self):
        """Return the node that holds the duties, or None."""
        return next((each for each in self.nodes if each.holds_duties), None)

    async def until_state(self, state, limit_s=DURATION_S, service="s"):
        """Wait for a state; return the time that it took, or infinity."""
        began_s = asyncio.get_running_loop().time()
        while (elapsed_s := asyncio.get_running_loop().time() - began_s) < limit_s:
            if state in self.states(service):
                return elapsed_s
            await asyncio.sleep(0.05)
        return float("inf")


def run_rollout(scenario, **changes):
    """Run a scenario with a cluster that has settled; return the cluster."""

    async def run():
        cluster = RolloutCluster(**changes)
        loop = asyncio.get_running_loop()
        with mock.patch.object(duties, "_boottime_s", loop.time):
            await cluster.start(settle_s=10.5)
            cluster.open.set()
            await asyncio.sleep(2.0)
            await scenario(cluster)
        return cluster

    return run_virtual(run())


def exposure(cluster, ordered_s, until_s, service="s"):
    """Return the requests to v2, all requests, and the latest one after the 50th bad.

    The last is in seconds after that bad response, or 0.
    """
    sent = [each for each in cluster.sent if each.service == service]
    sent = [each for each in sent if ordered_s <= each.at_s <= until_s]
    new = [each for each in sent if each.version == "v2"]
    bad_s = sorted(each.at_s for each in new if each.bad)
    last_s = max((each.at_s for each in new), default=0.0)
    overrun_s = max(0.0, last_s - bad_s[49]) if len(bad_s) >= 50 else 0.0
    return len(new), len(sent), overrun_s
