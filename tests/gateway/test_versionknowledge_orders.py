"""Explore orders of events around streams that are taken up at another node.

The model knows at which version each stream began, and what was disturbed when.
"""

import asyncio
import math
from dataclasses import dataclass, field

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.gateway.outofstep import TIME_LIMIT_S, PausingCluster
from tests.gateway.virtualcluster import run_virtual

NODES = 3
SETTLE_S = 5.0
# Nodes that were in touch for this long know what others know.
CALM_S = 4.5
# A stream that began is in the log after this time.
RECORD_S = 0.6

DISTURBANCES = ("pause", "silence", "cut", "kill", "go_back")
ENDS = ("engine_ends", "kill", "copy", "silence")
RETURNS = ("go_on", "answer", "join", "go_back", "kill")


# Time limits of the route; a stream of the usual one outlasts what the lowest implies.
LOWERED_S, USUAL_S, RAISED_S = 2.0, 10.0, 18.0
PAUSES_S = (0.0, 0.05, 0.3, 1.0, 2.6)


def events(*kinds, pauses_s=PAUSES_S):
    """Draw an event of some kinds: its node, its version, and a pause behind it."""
    return st.tuples(
        st.sampled_from(kinds),
        st.integers(0, NODES - 1),
        st.integers(1, 2),
        st.sampled_from(pauses_s),
    )


# Engines of a version join and begin streams beside disturbances.
SCENES = st.tuples(
    st.lists(events("copy", *DISTURBANCES), min_size=1, max_size=3),
    st.lists(events("engine"), max_size=2),
    st.lists(events("streams", "streams", *ENDS), min_size=1, max_size=3),
    st.lists(events(*RETURNS), max_size=2),
    st.lists(events("take_ups"), min_size=1, max_size=2),
).map(lambda parts: [event for part in parts for event in part])
ORDERS = st.lists(SCENES, min_size=1, max_size=3).map(
    lambda scenes: [event for scene in scenes for event in scene]
)


@dataclass(frozen=True)
class Stream:
    """Describe a stream that began at a node."""

    name: str
    version: str
    source: int
    began_s: float
    # The time limit under which it was admitted.
    limit_s: float
    # It is in the log, as its route was resumable and the service had several versions.
    logged: bool

    def may_last(self, now_s):
        """Return whether its caller may still take it up."""
        return now_s - self.began_s < self.limit_s


@dataclass
class Model:
    """Know each stream, and when each node and the registry were disturbed last."""

    streams: dict = field(default_factory=dict)
    versions: set = field(default_factory=lambda: {"v1"})
    disturbed_s: dict = field(default_factory=dict)
    # All times at which a node or the registry was disturbed.
    disturbances: list = field(default_factory=list)
    killed_s: dict = field(default_factory=dict)
    copy: dict | None = None

    def disturb(self, now_s, *nodes):
        """Record that nodes are out of touch from now on, or until now."""
        for node in nodes:
            self.disturbed_s[node] = now_s
        if nodes:
            self.disturbances.append(now_s)

    def is_recorded(self, stream, now_s):
        """Return whether some node or the log has what no disturbance took away."""
        recorded_s = stream.began_s + RECORD_S
        lives = self.killed_s.get(stream.source, -math.inf) < stream.began_s
        return (
            (stream.logged or lives)
            and now_s > recorded_s
            and self.disturbed_s.get("registry", -math.inf) < stream.began_s
            and not any(stream.began_s <= at <= recorded_s for at in self.disturbances)
        )

    def is_calm(self, now_s, number):
        """Return whether a node has been in touch all along."""
        since_s = max(
            self.disturbed_s.get(number, -math.inf),
            self.disturbed_s.get("registry", -math.inf),
        )
        return now_s - since_s > CALM_S


class Play:
    """Play a list of events at a cluster and check each stream that is taken up."""

    def __init__(self, longest_s=math.inf):
        # Callers take streams up for no longer than this.
        self.longest_s = longest_s
        self.cluster = PausingCluster(NODES, 7, loss=0.0)
        self.cluster.registry.era_number = 1
        self.model = Model()
        self.out = set()
        self.lines = []
        self.engines = 0

    async def run(self, events):
        """Return the lines of the play, of which the last may tell of a fault."""
        self.cluster.put("v1-0", "ready")
        await self.cluster.start(SETTLE_S)
        for kind, number, version, pause_s in events:
            fault = await getattr(self, kind)(number, f"v{version}")
            self.lines.append(f"{kind} node {number} v{version}, then {pause_s} s")
            if fault:
                return [*self.lines, fault]
            for each in self.out:
                self.model.disturb(self.now_s, each)
            await asyncio.sleep(pause_s)
            for each in self.out:
                self.model.disturb(self.now_s, each)
        return None

    @property
    def now_s(self):
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    async def engine(self, number, version):
        """Start an engine."""
        self.engines += 1
        self.model.versions.add(version)
        self.cluster.put(f"{version}-{self.engines}", "ready")

    async def engine_ends(self, number, version):
        """Remove the entry of the newest engine of a version."""
        log = dict(self.cluster.registry.logs["upstreams"])
        alive = [key for key, value in log.items() if value and key.startswith(version)]
        if alive:
            self.cluster.put(alive[-1], "removed")

    async def streams(self, number, version):
        """Begin a stream of each version at each node that knows its engines."""
        for source, node in enumerate(self.cluster.nodes):
            usable = {each.partition("-")[0] for each in node.usable}
            for each in sorted(usable) if node.awake else ():
                if node.route is None:
                    continue
                name = f"s{len(self.model.streams)}"
                limit_s = node.begin(name, each)
                logged = node.route.resumable and len(self.model.versions) > 1
                self.model.streams[name] = Stream(
                    name, each, source, self.now_s, limit_s, logged
                )

    async def take_ups(self, number, version):
        """Take the streams up that may last, each at each node."""
        began_s = self.now_s
        streams = [
            each
            for each in self.model.streams.values()
            if each.may_last(began_s) and began_s - each.began_s < self.longest_s
        ]
        faults = await asyncio.gather(
            *(
                self._take_up(number, stream)
                for number, node in enumerate(self.cluster.nodes)
                for stream in streams
                if node.awake and node.loaded and node.route is not None
            )
        )
        return next(filter(None, faults), None)

    async def _take_up(self, number, stream):
        asked_s = self.now_s
        known = len(self.model.versions) == 1 and self.model.is_calm(asked_s, number)
        recorded = self.model.is_recorded(stream, asked_s) and all(
            self.model.is_calm(asked_s, each) for each in range(NODES)
        )
        found = await self.cluster.nodes[number].take_up(stream.name)
        if found not in (None, stream.version):
            return f"JOINED: node {number} lets {stream} go on at {found}"
        if found is None and (known or recorded):
            return f"REFUSED: node {number} does not know {stream}"
        return None

    async def pause(self, number, version):
        """Let a node stand still."""
        self.cluster.nodes[number].pause()
        self.out.add(number)

    async def go_on(self, number, version):
        """Let a node go on."""
        node = self.cluster.nodes[number]
        node.go_on()
        self._update(number)

    async def silence(self, number, version):
        """Let the registry answer a node no more."""
        self.cluster.nodes[number].registry.silent = True
        self.out.add(number)

    async def answer(self, number, version):
        """Let the registry answer a node again."""
        self.cluster.nodes[number].registry.silent = False
        self._update(number)

    async def cut(self, number, version):
        """Cut a node off from the others."""
        self.cluster.cut.add(self.cluster.nodes[number].host)
        self.out.update(range(NODES))

    async def join(self, number, version):
        """Connect a node with the others again."""
        self.cluster.cut.discard(self.cluster.nodes[number].host)
        for each in range(NODES):
            self._update(each)

    async def kill(self, number, version):
        """Kill a node, and start it again."""
        await self._kill([number])

    async def kill_all(self, number, version):
        """Kill all nodes at once, and start them again."""
        await self._kill(range(NODES))

    async def _kill(self, numbers):
        for each in numbers:
            self.cluster.kill(self.cluster.nodes[each])
        await asyncio.sleep(0.3)
        for each in numbers:
            self.cluster.restart(self.cluster.nodes[each])
            self.model.disturb(self.now_s, each)
            self.model.killed_s[each] = self.now_s
            self._update(each)

    async def wait(self, number, version):
        """Let only time pass."""

    async def lower(self, number, version):
        """Lower the time limit of the route."""
        self.cluster.publish(timeout_s=LOWERED_S)

    async def raise_(self, number, version):
        """Raise the time limit of the route."""
        self.cluster.publish(timeout_s=RAISED_S)

    async def restore(self, number, version):
        """Give the route its first time limit again."""
        self.cluster.publish(timeout_s=USUAL_S)

    async def end_resumes(self, number, version):
        """Let no more streams of the route be resumed."""
        self.cluster.publish(resumable=False)

    async def allow_resumes(self, number, version):
        """Let streams of the route be resumed again."""
        self.cluster.publish(resumable=True)

    async def end_route(self, number, version):
        """Leave the service without a route of streams."""
        self.cluster.publish(routed=False)

    async def add_route(self, number, version):
        """Add the route again."""
        self.cluster.publish(routed=True)

    async def copy(self, number, version):
        """Copy the registry."""
        self.model.copy = self.cluster.registry.copy()

    async def go_back(self, number, version):
        """Return the registry from the copy."""
        if self.model.copy is not None:
            self.cluster.return_from(self.model.copy)
            self.model.disturb(self.now_s, "registry")

    def _update(self, number):
        node = self.cluster.nodes[number]
        out = not node.awake or node.registry.silent or bool(self.cluster.cut)
        (self.out.add if out else self.out.discard)(number)


class OrderTest(testtools.TestCase):
    @settings(max_examples=120, deadline=None, derandomize=True, database=None)
    @given(ORDERS)
    def test_streams_are_joined_or_needlessly_refused(self, events):
        """Some order of events let a node rely on what it could not know."""

        async def scenario():
            return await Play(TIME_LIMIT_S).run(events)

        self.assertIsNone(run_virtual(scenario()))
