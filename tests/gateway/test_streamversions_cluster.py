"""Test how the streams of a large deployment are recorded and taken up."""

import asyncio
from dataclasses import replace

import testtools

from cicadapass_decisions.streamversions import Stream
from cicadapass_gateway.streamversions import StreamVersions
from tests.gateway.harness import STREAM_TOPICS
from tests.gateway.virtualcluster import (
    TOPICS,
    Cluster,
    ClusterNode,
    decode_entry,
    make_knowledge,
    run_virtual,
)

STREAM_TOPIC = STREAM_TOPICS.streams
# Streams that a node begins in a second: 46 at 7 nodes, 1,300 at 195.
STREAMS_PER_S = 6.6
LENGTH_S = 5.0
SETTLE_S = {7: 8.0, 195: 20.0}
# All nodes together append less often than this; the log allows 300 for everything.
MAX_APPENDS_PER_S = 100
# A record has a few bytes for each stream besides its id.
MAX_BYTES_PER_STREAM = 60
SERVICE = "s"
TIME_LIMIT_S = 3.0
# The time limit of the route.
STREAM_LIMIT_S = 10.0


class RecordingNode(ClusterNode):
    """Record streams besides what other nodes of a cluster do."""

    def __init__(self, cluster, number, incarnation=1):
        super().__init__(cluster, number, incarnation)
        topics = replace(
            TOPICS, streams=STREAM_TOPICS.streams, versions=STREAM_TOPICS.versions
        )
        self.knowledge = make_knowledge(self, topics)
        self.versions = StreamVersions(
            self.state,
            self.registry,
            topics,
            self.knowledge,
            self.peers.pass_on_streams,
        )
        self.peers._dependencies.accept_streams = self.versions.accept

    def start(self):
        """Start the components in the background."""
        super().start()
        for follow in (self.knowledge.follow_record, self.versions.append_streams):
            self._tasks.append(asyncio.create_task(follow()))

    async def begin_streams(self, begun):
        """Begin streams at both versions, one after another."""
        await asyncio.sleep(self.state.rng.random() / STREAMS_PER_S)
        for number in range(round(LENGTH_S * STREAMS_PER_S)):
            name, version = f"{self.name}-{number}", f"v{1 + number % 2}"
            self.versions.record(SERVICE, name, version, STREAM_LIMIT_S)
            begun[name] = version
            await asyncio.sleep(1 / STREAMS_PER_S)


class RecordingCluster(Cluster):
    """Run nodes in front of engines of two versions."""

    node_class = RecordingNode

    def document_codec(self):
        """Return a codec that takes the version from the name of an engine."""
        return replace(super().document_codec(), decode_upstream=decode_versioned)


def decode_versioned(key, raw):
    """Return the record of an engine named `VERSION-NUMBER`."""
    record = decode_entry(key, raw)
    return record and replace(record, version=key.partition("-")[0])


class ClusterTest(testtools.TestCase):
    def play(self, nodes):
        """Return the appends a second and the bytes of streams, and those not found.

        All nodes but one are killed, and that one has not begun any stream.
        """

        async def scenario():
            cluster = RecordingCluster(nodes, 5, loss=0.0)
            for number in range(8):
                cluster.put(f"v{1 + number % 2}-{number}", "ready")
            await cluster.start(SETTLE_S[nodes])
            begun = {}
            before = cluster.calls.get(STREAM_TOPIC, 0)
            await asyncio.gather(
                *(node.begin_streams(begun) for node in cluster.nodes[1:])
            )
            await asyncio.sleep(0.5)
            appends = cluster.calls.get(STREAM_TOPIC, 0) - before
            log = cluster.registry.logs[STREAM_TOPIC]
            size = sum(len(key) + len(value) for key, value in log)
            for node in cluster.nodes[1:]:
                node.stop()
            alone = cluster.restart(cluster.nodes[0])
            await asyncio.sleep(1.0)
            lost = []
            for name, version in begun.items():
                found = alone.versions._indexed(Stream(SERVICE, name))
                if found is None:
                    deadline_s = alone.state.clock() + TIME_LIMIT_S
                    found = await alone.versions.find(SERVICE, name, deadline_s)
                if found != version:
                    lost.append((name, version, found))
            return appends / LENGTH_S, size / len(begun), lost

        return run_virtual(scenario())

    def test_each_node_of_a_large_deployment_appends_its_streams(self):
        """The appends of streams grew with the nodes, or streams were not recorded."""
        for nodes in (7, 195):
            appends_per_s, bytes_per_stream, lost = self.play(nodes)
            self.assertLess(bytes_per_stream, MAX_BYTES_PER_STREAM, nodes)
            self.assertEqual([], lost)
            self.assertLess(appends_per_s, MAX_APPENDS_PER_S, nodes)
