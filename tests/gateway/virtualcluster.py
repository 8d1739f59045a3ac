"""Run the registry synchronisation of many nodes in one process, in virtual time."""

import asyncio
import contextlib
import random

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.peerclock import PeerClock
from cicadapass_gateway.adapterapi import Adapter, DocumentCodec, Topics
from cicadapass_gateway.exceptions import ConnectFailed, PlatformUnavailable
from cicadapass_gateway.httpclient import ResponseHead
from cicadapass_gateway.nodeaddress import NodeAddress
from cicadapass_gateway.peers import SEND_INTERVAL_S, PeerDependencies, Peers
from cicadapass_gateway.registryera import RegistryEra
from cicadapass_gateway.registrysync import RegistrySync, periodic
from cicadapass_gateway.usage import UsageCounter
from cicadapass_gateway.versionknowledge import VersionKnowledge, VersionSources
from tests.gateway.harness import (
    HEADER_CODEC,
    MemoryRegistry,
    configuration,
    make_state,
    refuse_migration,
)

UPSTREAMS = "upstreams"
TOPICS = Topics("configuration", UPSTREAMS, "nodes", "duties", "status")
PORT = 7000
# One-way delay between nodes, and the duration of a call to the registry.
NETWORK_DELAY_S = 0.0015
CALL_S = 0.008
# Time after which a call gives up on a registry that does not answer.
CALL_TIMEOUT_S = 1.0
# Length of the entries that upstreams write.
ENTRY_BYTES = 330


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advance the time at once to the next timer instead of waiting for it."""

    def __init__(self):
        self._now_s = 1000.0
        super().__init__()
        self._clock_resolution = 1e-9
        select = self._selector.select

        def advance(timeout=None):
            events = select(0)
            if not events and timeout:
                self._now_s += timeout
            return events

        self._selector.select = advance

    def time(self):
        """Return the virtual time in seconds."""
        return self._now_s


def run_virtual(coroutine):
    """Run a coroutine in a new virtual loop and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


def entry(upstream_id, state, sequence):
    """Return the entry of an upstream; its length is that of real ones."""
    return f"{state} {sequence} {upstream_id}".ljust(ENTRY_BYTES).encode()


def decode_entry(key, raw):
    """Return the record of an entry, or None if it is invalid."""
    state, _, rest = raw.decode("latin-1").partition(" ")
    if state not in ("ready", "leaving"):
        return None
    sequence = int(rest.split()[0])
    return UpstreamRecord(key, "s", key, 1, "dc-0", 64, state == "leaving", 1, sequence)


class NodeRegistry:
    """Pass one node's calls to the registry, unless it refuses that node."""

    def __init__(self, registry, counts):
        self._registry = registry
        self._counts = counts
        self.era = RegistryEra()
        self.call_s = CALL_S
        self.silent = False
        self.busy = False
        # Reads that wait while the registry goes away are not answered.
        self.loses_polls = False

    async def newest(self, topic):
        """Return the newest record of each key."""
        await self._call(topic)
        listing = await self._registry.newest(topic)
        self._counts["listings", topic] = self._counts.get(("listings", topic), 0) + 1
        return listing

    async def changes(self, topic, start, wait_s):
        """Return the records from an offset on."""
        await self._call(topic)
        try:
            return await self._registry.changes(topic, start, wait_s)
        except PlatformUnavailable:
            if self.loses_polls:
                await asyncio.sleep(CALL_TIMEOUT_S + wait_s)
            raise

    async def tail(self, topic, count):
        """Return the last records."""
        await self._call(topic)
        return await self._registry.tail(topic, count)

    async def append(self, topic, key, value, expected_end):
        """Append a record."""
        await self._call(topic)
        return await self._registry.append(topic, key, value, expected_end)

    async def _call(self, topic):
        self._counts[topic] = self._counts.get(topic, 0) + 1
        if self.silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise PlatformUnavailable("no answer in time")
        await asyncio.sleep(self.call_s)
        self.era.raise_to(self._registry.era_number, "registry")
        if self.busy:
            raise PlatformUnavailable("refused")


class _Transport:
    def __init__(self, cluster, sender):
        self._cluster = cluster
        self._sender = sender

    def sendto(self, data, address):
        cluster = self._cluster
        cluster.datagrams += 1
        cluster.datagram_bytes += len(data)
        receiver = cluster.by_host.get(address[0])
        if receiver is None or not cluster.passes(self._sender, receiver):
            return
        if cluster.rng.random() < cluster.loss:
            return
        asyncio.get_running_loop().call_later(
            NETWORK_DELAY_S, receiver.receive, data, address
        )


class _Channel:
    def __init__(self, cluster, caller, target):
        self._cluster, self._caller, self._node = cluster, caller, target
        self._target = b""

    def send(self, method, target, headers, body):
        self._target = target

    async def read_head(self):
        await asyncio.sleep(2 * NETWORK_DELAY_S)
        return ResponseHead(200, [])

    async def read_remaining(self):
        response = self._node.respond(self._target)
        self._cluster.fetched_bytes += len(response)
        await asyncio.sleep(len(response) / self._cluster.link_bytes_per_s)
        return response

    def abort(self):
        """Do nothing; there is no connection."""


class _Pool:
    def __init__(self, cluster, node):
        self._cluster, self._node = cluster, node

    async def acquire(self, host, port, timeout_s):
        target = self._cluster.by_host.get(host)
        if target is None or not self._cluster.passes(self._node, target):
            await asyncio.sleep(timeout_s)
            raise ConnectFailed(f"{host} does not answer")
        await asyncio.sleep(2 * NETWORK_DELAY_S)
        return _Channel(self._cluster, self._node, target)


def make_knowledge(node, topics):
    """Return what knows the versions in use at a node of a cluster."""

    async def has_ended(address):
        node.cluster.checks += 1
        return address.host not in node.cluster.by_host

    knowledge = VersionKnowledge(
        node.state,
        node.registry,
        topics,
        VersionSources(
            node.registry_sync.confirm_view,
            node.peers.last_reports,
            node.peers.report_age_s,
            has_ended,
            node.peers.report_versions,
        ),
        node.peers.is_watcher,
    )
    node.registry_sync.subscribe(knowledge.observe_upstream, knowledge.record_gap)
    node.peers._dependencies.observed_versions = knowledge.export
    node.peers._dependencies.merge_versions = knowledge.merge
    node.peers._dependencies.stream_limits = knowledge.limits.export
    node.peers._dependencies.merge_stream_limits = knowledge.limits.merge
    return knowledge


class ClusterNode:
    """Run the registry synchronisation and the datagrams of one node."""

    make_registry = NodeRegistry

    def __init__(self, cluster, number, incarnation=1):
        self.cluster = cluster
        self.name = f"node-{number}"
        self.host = f"10.0.{number // 250}.{number % 250 + 1}"
        self.state = make_state(node=self.name, rollout_bounds=cluster.rollout_bounds)
        self.state.rng.seed(cluster.rng.random())
        self.registry = self.make_registry(cluster.registry, cluster.calls)
        seeds = [(f"10.0.0.{each}", PORT) for each in (1, 2, 3)]
        self.usage = UsageCounter(5.0, lambda: 1000.0)
        dependencies = PeerDependencies(
            self.state,
            self.usage,
            PeerClock(),
            lambda: None,
            lambda: self.registry_sync,
        )
        data_centre = f"dc-{number % 3}"
        address = NodeAddress(self.name, self.host, PORT, incarnation, data_centre)
        self.peers = Peers(address, seeds, dependencies)
        self.peers.connection_made(_Transport(cluster, self))
        codec = cluster.document_codec()
        self.adapter = Adapter(
            HEADER_CODEC, self.registry, TOPICS, codec, refuse_migration, None
        )
        self.registry_sync = RegistrySync(
            self.state, self.adapter, self.peers, _Pool(cluster, self)
        )
        self._tasks = []

    @property
    def usable(self):
        """Return the ids of the upstreams that may get requests."""
        return {each.upstream_id for each in self.state.upstreams.usable("s")}

    def start(self):
        """Start the components in the background."""
        sync = self.registry_sync
        for follow in (
            sync.follow_configuration,
            sync.follow_upstreams,
            sync.follow_peer_views,
            sync.follow_nodes,
            sync.follow_peers,
            sync.expire_held_entries,
            periodic(self.peers.send_state, SEND_INTERVAL_S),
        ):
            self._tasks.append(asyncio.create_task(follow()))

    def stop(self):
        """End all components at once."""
        for task in self._tasks:
            task.cancel()

    def receive(self, data, address):
        """Apply a datagram."""
        self.peers.datagram_received(data, address)

    def respond(self, target):
        """Return the response to a peer's request."""
        return self.registry_sync.respond(target)


class Cluster:
    """Connect nodes with a registry, and disturb both from a seeded source."""

    node_class = ClusterNode
    rollout_bounds = None

    def __init__(self, nodes, seed, loss=0.005, link_bytes_per_s=625_000):
        self.rng = random.Random(seed)
        self.loss = loss
        self.link_bytes_per_s = link_bytes_per_s
        self.registry = MemoryRegistry()
        self.registry.put("configuration", "config", b"1")
        self.by_host = {}
        self.calls = {}
        # Addresses of silent members that nodes tried.
        self.checks = 0
        self.datagrams = self.datagram_bytes = self.fetched_bytes = 0
        # Hosts that exchange nothing with other nodes.
        self.cut = set()
        self._sequences = {}
        self._incarnations = 1
        self.nodes = [self.node_class(self, number) for number in range(nodes)]
        self.by_host = {node.host: node for node in self.nodes}

    def document_codec(self):
        """Return the codec of the nodes' documents."""
        return DocumentCodec("config", self.decode_configuration, decode_entry)

    def decode_configuration(self, raw):
        """Return the configuration of a version."""
        return configuration(version=int(raw))

    def passes(self, sender, receiver):
        """Return whether two nodes reach each other."""
        return sender.host not in self.cut and receiver.host not in self.cut

    def put(self, upstream_id, state):
        """Write an entry; the state `removed` deletes it."""
        sequence = self._sequences[upstream_id] = (
            self._sequences.get(upstream_id, 0) + 1
        )
        value = b"" if state == "removed" else entry(upstream_id, state, sequence)
        self.registry.put(UPSTREAMS, upstream_id, value)

    def restart(self, node):
        """Replace a node by a new incarnation, which starts without any state."""
        node.stop()
        self._incarnations += 1
        number = self.nodes.index(node)
        new = self.node_class(self, number, self._incarnations)
        self.nodes[number] = self.by_host[new.host] = new
        new.start()
        return new

    async def start(self, settle_s):
        """Start all nodes within 0.3 s and let them find each other."""
        loop = asyncio.get_running_loop()
        for node in self.nodes:
            loop.call_later(self.rng.uniform(0, 0.3), node.start)
        await asyncio.sleep(settle_s)

    async def last_use_s(self, upstream_ids, limit_s, step_s=0.02):
        """Return when the last node stopped using each upstream, by upstream.

        An upstream that is still in use after `limit_s` gets infinity.
        """
        began_s = asyncio.get_running_loop().time()
        remaining, stopped_s = set(upstream_ids), {}
        while remaining:
            elapsed_s = asyncio.get_running_loop().time() - began_s
            in_use = set().union(*(node.usable for node in self.nodes))
            stopped_s.update(dict.fromkeys(remaining - in_use, elapsed_s))
            remaining &= in_use
            if elapsed_s > limit_s:
                break
            await asyncio.sleep(step_s)
        return {**stopped_s, **dict.fromkeys(remaining, float("inf"))}


@contextlib.contextmanager
def silent_registry(nodes):
    """Let the registry leave the calls of these nodes unanswered."""
    for node in nodes:
        node.registry.silent = True
    try:
        yield
    finally:
        for node in nodes:
            node.registry.silent = False
