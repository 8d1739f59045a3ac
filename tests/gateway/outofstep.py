"""Nodes of a cluster that stand still or are cut off, in virtual time."""

import asyncio
import contextlib
import json
from dataclasses import replace

from tests.gateway.harness import configuration
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

    @property
    def loaded(self):
        """Return whether this node serves callers."""
        return self.state.configuration is not None

    @property
    def route(self):
        """Return the route of streams that this node serves, or None."""
        routes = self.state.configuration.routes
        return next((each for each in routes if each.name == "resume"), None)

    def begin(self, name, version):
        """Begin a stream; return the time limit under which it is admitted."""
        limit_s = self.route.timeout_s
        if self.versions.may_be_taken_up(self.route, SERVICE):
            self.versions.record(SERVICE, name, version, limit_s)
        return limit_s

    async def take_up(self, name):
        """Return the version at which a stream goes on, or None."""
        deadline_s = self.state.clock() + TIME_LIMIT_S
        return await self.versions.find(SERVICE, name, deadline_s)


class PausingCluster(RecordingCluster):
    """Run nodes that may stand still, and a registry that may go back.

    The operator changes the route of streams.
    """

    node_class = PausingNode

    def __init__(self, nodes, seed, **changes):
        # The newest configuration: its version and the changes of the route.
        self._published = (1, {})
        super().__init__(nodes, seed, **changes)

    def publish(self, **changes):
        """Change fields of the route; `routed=False` removes it."""
        version, before = self._published
        self._published = (version + 1, {**before, **changes})
        self._write_configuration()

    def _write_configuration(self):
        version, changes = self._published
        raw = json.dumps([version, changes]).encode()
        self.registry.put("configuration", "config", raw)

    def decode_configuration(self, raw):
        """Return the configuration of a document."""
        document = json.loads(raw)
        version, changes = document if isinstance(document, list) else (document, {})
        changes = dict(changes)
        routed = changes.pop("routed", True)
        full = configuration(version=version)
        routes = [
            replace(each, **changes) if each.name == "resume" else each
            for each in full.routes
            if routed or each.name != "resume"
        ]
        return replace(full, routes=tuple(routes))

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
        self._write_configuration()
        loop = asyncio.get_running_loop()
        for key, value in newest.items():
            if key not in gone:
                loop.call_later(
                    self.rng.uniform(0, REWRITE_S), self._write_again, key, value
                )

    def _write_again(self, key, value):
        with contextlib.suppress(KeyError):
            self.registry.put(UPSTREAMS, key, value)
