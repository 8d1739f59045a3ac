"""Nodes of a cluster that stand still or are cut off, in virtual time."""

import asyncio
import contextlib

from tests.gateway.test_streamversions_cluster import (
    SERVICE,
    RecordingCluster,
    RecordingNode,
)
from tests.gateway.virtualcluster import UPSTREAMS, NodeRegistry

TIME_LIMIT_S = 3.0
# Engines write their entries again within this time after the registry is back.
REWRITE_S = 1.2


class PausingRegistry(NodeRegistry):
    """Return nothing to a node that stands still until it goes on."""

    def __init__(self, registry, counts):
        super().__init__(registry, counts)
        self.awake = asyncio.Event()
        self.awake.set()

    async def newest(self, topic):
        """Return the newest record of each key."""
        return await self._deliver(super().newest, topic)

    async def changes(self, topic, start, wait_s):
        """Return the records from an offset on."""
        return await self._deliver(super().changes, topic, start, wait_s)

    async def append(self, topic, key, value, expected_end):
        """Append a record."""
        return await self._deliver(super().append, topic, key, value, expected_end)

    async def _deliver(self, call, *arguments):
        await self.awake.wait()
        try:
            return await call(*arguments)
        finally:
            await self.awake.wait()


class PausingNode(RecordingNode):
    """Buffer the datagrams for a node that stands still, and send none of its own."""

    make_registry = PausingRegistry

    def __init__(self, cluster, number, incarnation=1):
        super().__init__(cluster, number, incarnation)
        self._buffer = []

    @property
    def awake(self):
        """Return whether the node does not stand still."""
        return self.registry.awake.is_set()

    def pause(self):
        """Stand still."""
        self.registry.awake.clear()

    def go_on(self):
        """Go on; datagrams that arrived meanwhile come first."""
        self.registry.awake.set()
        buffered, self._buffer = self._buffer, []
        for data, address in buffered:
            self.receive(data, address)

    def receive(self, data, address):
        """Apply a datagram, now or once the node goes on."""
        if self.awake:
            super().receive(data, address)
        else:
            self._buffer.append((data, address))

    def begin(self, name, version):
        """Begin a stream."""
        self.versions.record(SERVICE, name, version)

    async def take_up(self, name):
        """Return the version at which a stream goes on, or None."""
        deadline_s = self.state.clock() + TIME_LIMIT_S
        return await self.versions.find(SERVICE, name, deadline_s)


class PausingCluster(RecordingCluster):
    """Run nodes that may stand still, and a registry that may go back."""

    node_class = PausingNode

    def passes(self, sender, receiver):
        """Return whether a datagram leaves its sender and reaches its receiver."""
        return sender.awake and super().passes(sender, receiver)

    def kill(self, node):
        """End a node without notice."""
        node.stop()
        self.by_host.pop(node.host, None)

    def return_from(self, copy):
        """Return the registry from a copy; engines write their entries again."""
        log = self.registry.logs[UPSTREAMS]
        newest = {key: value for key, value in log if value}
        gone = {key for key, value in dict(log).items() if not value}
        self.registry.return_from(copy)
        loop = asyncio.get_running_loop()
        for key, value in newest.items():
            if key not in gone:
                loop.call_later(
                    self.rng.uniform(0, REWRITE_S), self._write_again, key, value
                )

    def _write_again(self, key, value):
        with contextlib.suppress(KeyError):
            self.registry.put(UPSTREAMS, key, value)
