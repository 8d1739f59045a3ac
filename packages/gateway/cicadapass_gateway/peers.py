"""Tell peers this node's figures by datagrams and keep theirs.

A node's figures come as a whole state, so a lost or doubled datagram changes nothing.
Changed entries of the registry and long prompts are told besides; a lost one of these
is made up for by the node's next read and by the next figures.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol, cast

import cbor2

from cicadapass_decisions.peerclock import PeerClock
from cicadapass_decisions.registrychanges import Document
from cicadapass_gateway.misc import decode_cbor
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.usage import UsageCounter

# Interval of the datagrams with few peers, in seconds. At 630 bytes and six peers
# this is 19 KB/s, over the 12 KB/s planned for control; see docs/CAPACITY.md.
INTERVAL_S = 0.2
# With more peers than this, each interval reaches so many of them in turn.
FAN_OUT = 10
# Other members named in each datagram, so that all nodes find each other.
NAMED_MEMBERS = 2
# A member is no longer written to when it was silent for this long.
FORGET_S = 30.0
# Marks of leaving are repeated for this long.
MARK_S = 10.0
MAX_DATAGRAM = 60_000
# A prompt with fewer unread tokens than this is not told at once: it keeps an engine
# busy for less than 20 ms.
TOLD_TOKENS = 1000
# Nodes of the own data centre that are told of a prompt at once, 25 bytes each.
NEAR_MEMBERS = 40


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """Name one incarnation of a node and its address for peers."""

    name: str
    host: str
    port: int
    incarnation: int
    data_centre: str

    @property
    def key(self) -> str:
        """Return a name for this incarnation."""
        return f"{self.name}/{self.incarnation}"


@dataclass(slots=True)
class Member:
    """Hold what is known of another node."""

    address: NodeAddress
    heard_s: float
    version: int = -1
    registry_ok: bool = False
    # When the registry last answered it.
    answered_s: float = -1e9


@dataclass(frozen=True, slots=True)
class HolderNews:
    """Hold what a holder of the duties last told."""

    fence: int
    renewal: int
    heard_s: float


class RegistryNews(Protocol):
    """Tell and take in what nodes know of the registry."""

    @property
    def registry_ok(self) -> bool:
        """Return whether the registry answered this node's last reads."""

    @property
    def answered_ago_s(self) -> float:
        """Return how long ago the registry answered this node."""

    def news_to_tell(self) -> list[Document]:
        """Return the changed entries for the next datagram."""

    def take_news(self, changes: Iterable[Document]) -> None:
        """Take in changed entries that a peer tells."""


@dataclass(slots=True)
class PeerParts:
    """Hold the parts that datagrams are made of and go to."""

    state: NodeState
    usage: UsageCounter
    clock: PeerClock
    own_renewal: Callable[[], tuple[int, int] | None]
    registry: Callable[[], RegistryNews]
    demand: dict[str, dict[str, float]] = field(default_factory=dict)


class Peers(asyncio.DatagramProtocol):
    """Send and receive the datagrams."""

    def __init__(
        self, own: NodeAddress, seeds: list[tuple[str, int]], parts: PeerParts
    ) -> None:
        self.own = own
        self.members: dict[str, Member] = {}
        self.holder: HolderNews | None = None
        # When the last datagram of any node came.
        self.heard_s = -1e9
        self._seeds: list[tuple[str, int]] = []
        self.set_seeds(seeds)
        self._parts = parts
        self._transport: asyncio.DatagramTransport | None = None
        # The nodes of this data centre, or some of them.
        self._near: list[NodeAddress] = []
        self._marks: dict[tuple[str, int], float] = {}
        # Nodes start at different members, so that together they reach all at once.
        self._turn = parts.state.rng.randrange(1 << 16)
        self._started_s = parts.state.clock()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The selector loop's transport is no subclass of DatagramTransport in 3.11.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Note a refused datagram; the peer is found silent soon."""
        self._parts.state.metrics.count("datagrams_refused", type(exc).__name__)

    def set_seeds(self, seeds: list[tuple[str, int]]) -> None:
        """Set the addresses that are written to until members are known."""
        self._seeds = [seed for seed in seeds if seed != (self.own.host, self.own.port)]

    def add(self, address: NodeAddress, now_s: float) -> None:
        """Add a member that a listing or a peer names."""
        known = self.members.get(address.name)
        if address.name == self.own.name:
            return
        if known is None or known.address.incarnation < address.incarnation:
            self.members[address.name] = Member(address, now_s)

    @property
    def round_s(self) -> float:
        """Return the time in which each member is written to once."""
        rounds = -(-len(self.members) // FAN_OUT)
        return INTERVAL_S * max(1, rounds)

    def total_demand(self, service: str) -> float:
        """Return the prompt tokens a second that all nodes see for a service."""
        heard = self._parts.demand.values()
        own = self._parts.state.demand.rates.get(service, 0.0)
        return own + sum(rates.get(service, 0.0) for rates in heard)

    def send_state(self) -> None:
        """Send this node's state to the next peers."""
        if self._transport is None:
            return
        now_s = self._parts.state.clock()
        self._forget(now_s)
        state = self._parts.state
        state.limits.set_round(self.round_s)
        state.nodes = len(self.members) + 1
        data = cbor2.dumps(self._encode(now_s))
        for address in self._next_addresses():
            self._transport.sendto(data, address)

    def tell_sent(self, upstream_id: str, tokens: int) -> None:
        """Tell the nodes of this data centre of a prompt that an upstream got now."""
        if self._transport is None or tokens < TOLD_TOKENS:
            return
        data = cbor2.dumps([self.own.name, upstream_id, tokens])
        for address in self._near:
            self._transport.sendto(data, (address.host, address.port))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in the state of a peer."""
        if len(data) > MAX_DATAGRAM:
            return
        try:
            message = decode_cbor(data)
            if isinstance(message, list):
                self._take_sent(message)
            else:
                self._take(message)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self._parts.state.events.emit(
                820, peer=f"{addr[0]}:{addr[1]}", reason=repr(error)
            )

    def _next_addresses(self) -> list[tuple[str, int]]:
        members = sorted(self.members)
        if len(members) > FAN_OUT:
            start = self._turn % len(members)
            members = (members[start:] + members[:start])[:FAN_OUT]
        self._turn += FAN_OUT
        near = [
            each.address
            for each in self.members.values()
            if each.address.data_centre == self.own.data_centre
        ]
        if len(near) > NEAR_MEMBERS:
            near = self._parts.state.rng.sample(near, NEAR_MEMBERS)
        self._near = near
        found = [self.members[each].address for each in members]
        addresses = [(each.host, each.port) for each in found]
        # Seeds are written to until enough members are known.
        if len(addresses) < len(self._seeds):
            addresses += [each for each in self._seeds if each not in addresses]
        return addresses

    def _encode(self, now_s: float) -> dict[str, Any]:
        state = self._parts.state
        marks = dict.fromkeys(state.book.view.leaving_marks, 0.0)
        for mark in marks:
            self._marks.setdefault(mark, now_s)
        named = state.rng.sample(
            sorted(self.members), min(NAMED_MEMBERS, len(self.members))
        )
        own, registry = self.own, self._parts.registry()
        return {
            "node": encode_address(own),
            "wall": time.time(),
            "up": now_s - self._started_s,
            "version": state.version,
            "registry": [registry.registry_ok, registry.answered_ago_s],
            "news": [[e.key, e.value, e.offset] for e in registry.news_to_tell()],
            "upstreams": state.book.own_figures(now_s),
            "limits": {
                name: [round(total), round(demand)]
                for name, (total, demand) in state.limits.totals().items()
            },
            "usage": self._parts.usage.own(),
            "demand": {k: round(v) for k, v in state.demand.rates.items()},
            "leaving": [
                list(mark)
                for mark, marked_s in self._marks.items()
                if now_s - marked_s < MARK_S
            ],
            "holder": self._parts.own_renewal(),
            "members": [encode_address(self.members[name].address) for name in named],
        }

    def _take(self, message: dict[str, Any]) -> None:
        state = self._parts.state
        now_s = state.clock()
        address = decode_address(message["node"])
        if address.name == self.own.name:
            return
        known = self.members.get(address.name)
        if known is not None and known.address.incarnation > address.incarnation:
            return
        if known is None or known.address != address:
            known = self.members[address.name] = Member(address, now_s)
        known.heard_s = self.heard_s = now_s
        known.version = int(message["version"])
        registry_ok, answered_ago_s = message["registry"]
        known.registry_ok = bool(registry_ok)
        known.answered_s = now_s - float(answered_ago_s)
        changes = [Document(str(k), bytes(v), int(o)) for k, v, o in message["news"]]
        self._parts.registry().take_news(changes)
        key = address.key
        self._parts.clock.record_reading(key, float(message["wall"]), now_s)
        figures = {k: (int(v[0]), int(v[1])) for k, v in message["upstreams"].items()}
        state.book.hear(address.name, figures, now_s)
        limits = {k: (float(v[0]), float(v[1])) for k, v in message["limits"].items()}
        state.limits.record_peer_totals(key, limits, float(message["up"]), now_s)
        self._parts.usage.hear(key, message["usage"])
        self._parts.demand[address.name] = dict(message["demand"])
        self._take_marks(message["leaving"], now_s)
        if message["holder"] is not None:
            fence, renewal = message["holder"]
            self.holder = HolderNews(int(fence), int(renewal), now_s)
        for row in message["members"]:
            self.add(decode_address(row), now_s)

    def _take_sent(self, message: list[Any]) -> None:
        name, upstream_id, tokens = message
        if name in self.members:
            state = self._parts.state
            state.book.hear_sent(name, str(upstream_id), int(tokens), state.clock())

    def _take_marks(self, rows: list[list[Any]], now_s: float) -> None:
        view = self._parts.state.book.view
        added = [
            view.mark_leaving(str(upstream_id), int(started_ms), now_s)
            for upstream_id, started_ms in rows
        ]
        if any(added):
            self._parts.state.book.refresh()

    def _forget(self, now_s: float) -> None:
        for name, member in list(self.members.items()):
            if now_s - member.heard_s > FORGET_S:
                del self.members[name]
                self._parts.demand.pop(name, None)
                self._parts.state.book.hear(name, {}, now_s)


def encode_address(address: NodeAddress) -> list[Any]:
    """Return an address as datagrams and the registry hold it."""
    return [
        address.name,
        address.host,
        address.port,
        address.incarnation,
        address.data_centre,
    ]


def decode_address(row: list[Any]) -> NodeAddress:
    """Return the address of a row; ValueError or TypeError if it is none."""
    name, host, port, incarnation, data_centre = row
    return NodeAddress(
        str(name), str(host), int(port), int(incarnation), str(data_centre)
    )
