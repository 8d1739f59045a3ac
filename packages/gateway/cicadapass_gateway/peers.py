"""Exchange the load and the other state of nodes by datagrams.

Each state is complete, so a lost or duplicate datagram has no lasting effect. A state
says how far the sender's view of the upstreams reaches; a receiver that is behind
fetches what it lacks. Long prompts, leaving upstreams, evidence against prompt segments
and unexpected use of a rate limit are also reported at once; the next states make up
for a lost report.
"""

import asyncio
import math
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol, cast

import cbor2

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.peerclock import PeerClock
from cicadapass_decisions.peerdelay import PeerDelay
from cicadapass_decisions.ratelimit import Totals
from cicadapass_decisions.readsharing import choose_watchers, is_watcher
from cicadapass_decisions.segmentsuspicions import Change
from cicadapass_gateway.cbor import decode_cbor, finite_number
from cicadapass_gateway.exceptions import DECODE_ERRORS
from cicadapass_gateway.nodeaddress import (
    NodeAddress,
    decode_address,
    encode_address,
)
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.usage import UsageCounter

# Interval of the datagrams. At 630 bytes and six peers this is 19 KB/s, above the
# 12 KB/s planned for control traffic; see docs/CAPACITY.md.
SEND_INTERVAL_S = 0.2
# Members that get a datagram in each interval; if there are more, they take turns.
MAX_RECIPIENTS = 10
# Other members listed in each datagram, so that all nodes discover each other.
MEMBERS_PER_DATAGRAM = 2
# Members drawn to find these among them, as some may not have been heard lately.
INTRODUCTION_DRAWS = 12
# With more than MAX_RECIPIENTS members, what depends on all of them is updated once in
# this many intervals, or when their number changes.
MEMBERSHIP_INTERVALS = 5
# A member that sends nothing for this long is removed.
MEMBER_TIMEOUT_S = 30.0
# A member is introduced to others only if its last datagram is more recent than this.
INTRODUCTION_MAX_AGE_S = 1.2
# Maximum age of the last datagram of a member to read from, plus one round of
# datagrams; covers six lost ones.
FRESH_MEMBER_AGE_S = 1.2
MAX_DATAGRAM_BYTES = 60_000
# A prompt with fewer uncached tokens is not reported at once: it keeps an engine busy
# for less than 20 ms.
MIN_REPORTED_TOKENS = 1000
# A report costs each node that gets it, so with many of them only longer prompts are
# reported at once; the next states contain the others.
REPORTED_TOKENS_PER_RECIPIENT = 100
# Rows of evidence against prompt segments in each datagram; they take turns.
SEGMENT_ROWS_PER_DATAGRAM = 4
# New evidence is collected for this long before it is reported.
SEGMENT_REPORT_DELAY_S = 0.005
MAX_SEGMENT_ROWS_PER_REPORT = 24
# In place of a node's name in a list: the message contains evidence.
SEGMENT_MESSAGE = ""
# In place of a node's name in a list: the message contains limits of upstreams.
LIMIT_MESSAGE = "/"
# In place of a node's name in a list: the message contains marks of leaving upstreams.
LEAVING_MESSAGE = "-"
# In place of a node's name in a list: the message contains totals of workspaces. Builds
# that do not know it take it for the name of an unknown node and ignore it.
USE_MESSAGE = "="
# In place of a node's name in a list: the message contains rollouts of versions.
ROLLOUT_MESSAGE = "+"
# In place of a node's name in a list: the message contains streams that began.
STREAM_MESSAGE = "~"
# In place of a node's name in a list: the message contains versions of services.
VERSIONS_MESSAGE = "^"
# The use of workspaces is collected for this long before it is reported.
USE_REPORT_DELAY_S = 0.005
# A member counts among those that share limits for this long after its last datagram,
# plus two rounds of datagrams.
LIMIT_MEMBER_AGE_S = 1.2
# Nodes of the local data centre that get a prompt's report at once, 25 bytes each.
MAX_LOCAL_RECIPIENTS = 40


@dataclass(slots=True)
class Member:
    """Store the last reported state of another node."""

    address: NodeAddress
    # Time of its last datagram; before the first one, of its introduction.
    last_received_s: float
    heard: bool = False
    version: int = -1
    registry_ok: bool = False
    # The offset up to which its view of the upstreams is complete; -1 if not known.
    view_end: int = -1
    # The interval in which it sent its last datagram to this node.
    interval: int | None = None
    # When it sent its last datagram, by this node's clock, as far as that is known.
    sent_s: float = -math.inf
    delay: PeerDelay = field(default_factory=PeerDelay)


@dataclass(frozen=True, slots=True)
class HolderReport:
    """Store the last renewal reported by a holder of the duties."""

    fence: int
    renewal: int
    received_s: float


class RegistryState(Protocol):
    """Provide this node's state of the registry and compare it with that of peers."""

    @property
    def registry_ok(self) -> bool:
        """Return whether this node's last reads of the registry succeeded."""

    def view_state(self) -> tuple[int, list[float]]:
        """Return the end of the view of the upstreams and its ages in seconds."""

    def compare_view(self, end_offset: int, ages_s: Sequence[float]) -> None:
        """Compare the view with that of a peer, and fetch what it lacks."""

    def compare_version(self, version: int) -> None:
        """Compare the configuration with that of a peer, and fetch a newer one."""

    def apply_marks(self, rows: Sequence[Sequence[Any]], peer: str) -> None:
        """Apply the marks of leaving upstreams that a peer reported."""


@dataclass(slots=True)
class PeerDependencies:
    """Group the components that provide and receive the contents of datagrams."""

    state: NodeState
    usage: UsageCounter
    clock: PeerClock
    local_renewal: Callable[[], tuple[int, int] | None]
    registry: Callable[[], RegistryState]
    # The newest usage window that this node knows to be reported, or -1.
    reported_window: Callable[[], int] = lambda: -1
    # Appends the streams that other nodes began.
    accept_streams: Callable[[Any], None] = lambda rows: None
    # Returns the versions of services' engines that were observed lately, and applies
    # those that other nodes report.
    observed_versions: Callable[[], dict[str, Any]] = dict
    merge_versions: Callable[[Any], None] = lambda reported: None
    # The same for the time limits under which streams of services may last.
    stream_limits: Callable[[], dict[str, Any]] = dict
    merge_stream_limits: Callable[[Any], None] = lambda reported: None
    demand: dict[str, dict[str, float]] = field(default_factory=dict)


class Peers(asyncio.DatagramProtocol):
    """Send this node's state to its peers and apply theirs."""

    def __init__(
        self,
        local_address: NodeAddress,
        seeds: list[tuple[str, int]],
        dependencies: PeerDependencies,
    ) -> None:
        self.local_address = local_address
        self.members: dict[str, Member] = {}
        self.holder_report: HolderReport | None = None
        # The newest usage window that a holder is known to have reported, or -1.
        self.reported_window = -1
        # When the last datagram from any node arrived.
        self.last_received_s = -1e9
        self._seeds: list[tuple[str, int]] = []
        self.set_seeds(seeds)
        self._dependencies = dependencies
        self._transport: asyncio.DatagramTransport | None = None
        # The names of all members at the last update, in order.
        self._ordered_names: list[str] = []
        # The other nodes of this data centre, or a sample of them.
        self._local_members: list[NodeAddress] = []
        # Nodes start at different members, so that together they reach all members in
        # one interval.
        self._next_recipient = dependencies.state.rng.randrange(1 << 16)
        self._started_s = dependencies.state.clock()
        # The last incarnation of each member that was removed.
        self._removed: dict[str, int] = {}
        # Counts the intervals, so that receivers notice missed datagrams.
        self._interval = 0
        # Rows of evidence that are not reported yet; the values serve as a set.
        self._unreported_segments: dict[str, None] = {}
        # Workspaces whose use is to be reported; the values serve as a set.
        self._unreported_workspaces: dict[str, None] = {}
        self._handlers = self._make_handlers()
        dependencies.state.rate_limiter.set_on_unexpected_use(self._report_use)
        dependencies.state.segment_suspicions.subscribe(self._report_segments)
        dependencies.state.subscribe_to_limits(self._report_limits)
        dependencies.state.subscribe_to_leaving(self._report_leaving)
        dependencies.state.rollouts.subscribe_to_news(self._report_rollouts)
        dependencies.state.rollouts.set_hearing(self.hears_members)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        # In Python 3.11, the selector loop's transport does not subclass
        # DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Count a refused datagram; a lost peer is removed once it times out."""
        self._dependencies.state.metrics.count("datagrams_refused", type(exc).__name__)

    def set_seeds(self, seeds: list[tuple[str, int]]) -> None:
        """Set the addresses that get datagrams until enough members are known."""
        self._seeds = [
            seed
            for seed in seeds
            if seed != (self.local_address.host, self.local_address.port)
        ]

    def add(self, address: NodeAddress, now_s: float) -> None:
        """Add a member, unless the same or a newer incarnation is known."""
        member = self.members.get(address.name)
        if address.name == self.local_address.name:
            return
        if member is None or member.address.incarnation < address.incarnation:
            self.members[address.name] = Member(address, now_s)

    @property
    def round_s(self) -> float:
        """Return the time in which each member gets one datagram."""
        rounds = -(-len(self.members) // MAX_RECIPIENTS)
        return SEND_INTERVAL_S * max(1, rounds)

    def total_demand(self, service: str) -> float:
        """Return the prompt tokens per second of a service at all nodes."""
        peer_rates = self._dependencies.demand.values()
        local_rate = self._dependencies.state.demand.rates.get(service, 0.0)
        return local_rate + sum(rates.get(service, 0.0) for rates in peer_rates)

    def fresh_members(self) -> list[Member]:
        """Return the members whose last datagram is recent."""
        now_s = self._dependencies.state.clock()
        max_age_s = FRESH_MEMBER_AGE_S + self.round_s
        return [
            member
            for member in self.members.values()
            if now_s - member.last_received_s < max_age_s
        ]

    def hears_members(self, window_s: float) -> bool:
        """Return whether half of the members due in a time were heard within it.

        Those that were never heard are due as well: a node that restarts without a
        connection to the others knows them from the log. One that has removed all of
        them hears none.
        """
        now_s, members = self._dependencies.state.clock(), self.members.values()
        if not members:
            return not self._removed
        recent = sum(
            each.heard and now_s - each.last_received_s < window_s for each in members
        )
        return 2 * recent >= len(members) * min(1.0, window_s / self.round_s)

    def is_watcher(self) -> bool:
        """Return whether this node watches the registry for those that it hears.

        If the registry answers none of them, they choose among all.
        """
        members = self.fresh_members()
        able = [each.address.name for each in members if each.registry_ok]
        if self._dependencies.registry().registry_ok:
            return is_watcher(self.local_address.name, able)
        names = [each.address.name for each in members]
        return not able and is_watcher(self.local_address.name, names)

    def last_reports(self) -> list[tuple[NodeAddress, float]] | None:
        """Return when each member sent its last state, by this node's clock.

        The registry lists lost nodes for long; those that were removed do not count.
        Return None if all were removed, as for a node without a connection.
        """
        members = [each for each in self.members.values() if self._is_counted(each)]
        if self._removed and not members:
            return None
        return [(each.address, each.sent_s) for each in members]

    def report_age_s(self) -> float:
        """Return the time beyond the usual between two states of a member."""
        return self.round_s - SEND_INTERVAL_S

    def report_versions(self, versions: dict[str, Any]) -> None:
        """Report versions at which streams begin here to all members at once."""
        self._send_to_all([VERSIONS_MESSAGE, self.local_address.name, versions])

    def pass_on_streams(self, rows: Sequence[Any]) -> bool:
        """Send streams to a node that appends them; return False if this one is to."""
        if self._transport is None or self.is_watcher():
            return False
        members = {each.address.name: each for each in self.fresh_members()}
        able = [name for name, each in members.items() if each.registry_ok]
        if not able:
            return False
        chosen = self._dependencies.state.rng.choice(choose_watchers(able))
        address = members[chosen].address
        data = cbor2.dumps([STREAM_MESSAGE, self.local_address.name, rows])
        self._transport.sendto(data, (address.host, address.port))
        return True

    def send_state(self) -> None:
        """Send this node's state to the next peers."""
        if self._transport is None:
            return
        now_s = self._dependencies.state.clock()
        if (
            len(self.members) <= MAX_RECIPIENTS
            or len(self.members) != len(self._ordered_names)
            or self._interval % MEMBERSHIP_INTERVALS == 0
        ):
            self._update_membership(now_s)
        self._interval += 1
        data = cbor2.dumps(self._encode(now_s))
        for address in self._next_addresses():
            self._transport.sendto(data, address)

    def _update_membership(self, now_s: float) -> None:
        """Drop silent members, and update what depends on the others."""
        self._remove_silent_members(now_s)
        self._ordered_names = sorted(self.members)
        state = self._dependencies.state
        state.rate_limiter.set_round(self.round_s)
        state.upstreams.limits.set_members(self._recent_members(now_s))
        state.upstreams.peer_round_s = self.round_s
        state.node_count = 1 + sum(map(self._is_counted, self.members.values()))
        state.rate_limiter.set_node_count(state.node_count)
        state.rollouts.set_node_count(state.node_count)
        local_members = [
            each.address
            for each in self.members.values()
            if each.address.data_centre == self.local_address.data_centre
        ]
        if len(local_members) > MAX_LOCAL_RECIPIENTS:
            local_members = state.rng.sample(local_members, MAX_LOCAL_RECIPIENTS)
        self._local_members = local_members

    def report_send(self, upstream_id: str, tokens: int) -> None:
        """Report a prompt just sent to an upstream to the nodes of this data centre."""
        recipients = len(self._local_members)
        least = max(MIN_REPORTED_TOKENS, REPORTED_TOKENS_PER_RECIPIENT * recipients)
        if self._transport is None or tokens < least:
            return
        data = cbor2.dumps([self.local_address.name, upstream_id, tokens])
        for address in self._local_members:
            self._transport.sendto(data, (address.host, address.port))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Apply a datagram of a peer; a malformed one is logged and ignored."""
        if len(data) > MAX_DATAGRAM_BYTES:
            self._dependencies.state.metrics.count("datagrams_dropped", "oversized")
            return
        try:
            message = decode_cbor(data)
            if isinstance(message, list):
                handler = self._handlers.get(message[0], self._apply_send)
                handler(message)
            else:
                self._apply_state(message)
        except DECODE_ERRORS as error:
            self._dependencies.state.events.emit(
                820, peer=f"{addr[0]}:{addr[1]}", reason=repr(error)
            )

    def _make_handlers(self) -> dict[Any, Callable[[list[Any]], None]]:
        """Return what applies a message that is a list, by its first item."""
        others, state = self._dependencies, self._dependencies.state
        return {
            SEGMENT_MESSAGE: lambda m: self._merge_segments(m[2], str(m[1])),
            LIMIT_MESSAGE: lambda m: state.merge_upstream_limits(m[2], str(m[1])),
            LEAVING_MESSAGE: lambda m: others.registry().apply_marks(m[2], str(m[1])),
            USE_MESSAGE: lambda m: self._apply_use(str(m[1]), *m[2]),
            ROLLOUT_MESSAGE: lambda m: state.rollouts.merge_rollout_rows(
                m[2], str(m[1])
            ),
            STREAM_MESSAGE: lambda m: others.accept_streams(m[2]),
            VERSIONS_MESSAGE: lambda m: others.merge_versions(m[2]),
        }

    def _next_addresses(self) -> list[tuple[str, int]]:
        members = self._ordered_names
        if len(members) > MAX_RECIPIENTS:
            start = self._next_recipient % len(members)
            members = (members[start:] + members[:start])[:MAX_RECIPIENTS]
        self._next_recipient += MAX_RECIPIENTS
        recipients = [self.members[each].address for each in members]
        addresses = [(each.host, each.port) for each in recipients]
        # Seeds get datagrams until at least as many members are known.
        if len(addresses) < len(self._seeds):
            addresses += [each for each in self._seeds if each not in addresses]
        return addresses

    def _encode(self, now_s: float) -> dict[str, Any]:
        state = self._dependencies.state
        introduced = self._draw_introduced(now_s)
        registry = self._dependencies.registry()
        view_end, ages_s = registry.view_state()
        rollouts = state.rollouts.export()
        stream_limits = self._dependencies.stream_limits()
        # Builds that do not know a field ignore it.
        message = {
            **({} if rollouts is None else {"rollouts": rollouts}),
            **({"stream_limits": stream_limits} if stream_limits else {}),
            "node": encode_address(self.local_address),
            "interval": self._interval,
            "wall": time.time(),
            "up": now_s - self._started_s,
            "version": state.version,
            # Builds without "view" need the age, and "news".
            "registry": [registry.registry_ok, min(ages_s)],
            "news": [],
            "view": [view_end, [round(1000 * age_s) for age_s in ages_s]],
            "upstreams": state.upstreams.local_load(now_s),
            "limits": _encode_totals(state.rate_limiter.totals()),
            "usage": self._dependencies.usage.local_counts(),
            "demand": {k: round(v) for k, v in state.demand.rates.items()},
            "leaving": state.upstreams.view.unannounced_marks,
            "segments": state.segment_suspicions.export(
                now_s, most=SEGMENT_ROWS_PER_DATAGRAM
            ),
            "upstream_limits": state.upstreams.limits.export(now_s),
            "holder": self._dependencies.local_renewal(),
            "reported": self._dependencies.reported_window(),
            "members": [encode_address(address) for address in introduced],
            "service_versions": self._dependencies.observed_versions(),
        }
        if state.upstreams.learned is not None:
            # At most 12 rows of up to 50 bytes; builds without them ignore them.
            message["capacity"] = state.upstreams.learned.export(now_s)
        return message

    def _draw_introduced(self, now_s: float) -> list[NodeAddress]:
        """Return a few of the members that were heard lately."""
        max_age_s = INTRODUCTION_MAX_AGE_S + self.round_s
        names = self._ordered_names
        drawn = self._dependencies.state.rng.sample(
            names, min(len(names), INTRODUCTION_DRAWS)
        )
        members = (self.members[each] for each in drawn)
        recent = [
            each.address
            for each in members
            if each.heard and now_s - each.last_received_s < max_age_s
        ]
        return recent[:MEMBERS_PER_DATAGRAM]

    def _apply_state(self, message: dict[str, Any]) -> None:
        state = self._dependencies.state
        now_s = state.clock()
        address = decode_address(message["node"])
        if address.name == self.local_address.name:
            return
        member = self.members.get(address.name)
        if member is not None and member.address.incarnation > address.incarnation:
            return
        if member is None or member.address != address:
            member = self.members[address.name] = Member(address, now_s)
        member.last_received_s = self.last_received_s = now_s
        member.heard = True
        delay_s = member.delay.record(finite_number(message["up"]), now_s)
        self._removed.pop(address.name, None)
        self._count_missed(member, int(message.get("interval", 0)))
        member.version = int(message["version"])
        member.registry_ok = bool(message["registry"][0])
        self._dependencies.registry().compare_version(member.version)
        key = address.key
        self._dependencies.clock.record_reading(
            key, finite_number(message["wall"]), now_s
        )
        load = {k: (int(v[0]), int(v[1])) for k, v in message["upstreams"].items()}
        state.upstreams.apply_load(address.name, load, now_s)
        limits = _decode_totals(message["limits"])
        state.rate_limiter.record_peer_totals(
            key, limits, finite_number(message["up"]), now_s
        )
        self._dependencies.usage.merge(key, message["usage"])
        self._dependencies.demand[address.name] = {
            str(service): finite_number(rate)
            for service, rate in message["demand"].items()
        }
        # A version counts for as long as the limits let its streams last.
        self._dependencies.merge_stream_limits(message.get("stream_limits", {}))
        self._dependencies.merge_versions(message.get("service_versions", {}))
        self._apply_view(member, message.get("view"), delay_s)
        self._dependencies.registry().apply_marks(message["leaving"], address.name)
        self._merge_segments(message.get("segments", []), address.name)
        state.merge_upstream_limits(message.get("upstream_limits", []), address.name)
        state.merge_capacity(message.get("capacity", []), key)
        if message["holder"] is not None:
            fence, renewal = message["holder"]
            self.holder_report = HolderReport(int(fence), int(renewal), now_s)
        reported = int(message.get("reported", -1))
        self.reported_window = max(self.reported_window, reported)
        for row in message["members"]:
            self.add(decode_address(row), now_s)
        state.rollouts.merge_state(message.get("rollouts"), address.name, key)
        member.sent_s = max(member.sent_s, now_s - delay_s)

    def _apply_send(self, message: list[Any]) -> None:
        name, upstream_id, tokens = message
        if name in self.members:
            state = self._dependencies.state
            state.upstreams.apply_send(
                name, str(upstream_id), int(tokens), state.clock()
            )

    def _apply_use(
        self, name: str, incarnation: int, uptime_s: float, rows: dict[str, Any]
    ) -> None:
        member = self.members.get(name)
        if member is not None and member.address.incarnation == incarnation:
            state = self._dependencies.state
            state.rate_limiter.record_peer_report(
                member.address.key,
                _decode_totals(rows),
                finite_number(uptime_s),
                state.clock(),
            )

    def _recent_members(self, now_s: float) -> list[str]:
        max_age_s = LIMIT_MEMBER_AGE_S + 2 * self.round_s
        return [
            name
            for name, member in self.members.items()
            if member.heard and now_s - member.last_received_s < max_age_s
        ]

    def _report_limits(self) -> None:
        """Report the limits that this node heard to all members at once."""
        if self._transport is None:
            return
        state = self._dependencies.state
        rows = state.upstreams.limits.export(state.clock())
        self._send_to_all([LIMIT_MESSAGE, self.local_address.name, rows])

    def _report_leaving(self, record: UpstreamRecord) -> None:
        """Report that an upstream is leaving to all members at once."""
        rows = [[record.upstream_id, record.started_ms]]
        self._send_to_all([LEAVING_MESSAGE, self.local_address.name, rows])

    def _report_rollouts(self) -> None:
        """Report the rollouts to all members at once."""
        if self._transport is not None:
            rows = self._dependencies.state.rollouts.export_rollouts()
            self._send_to_all([ROLLOUT_MESSAGE, self.local_address.name, rows])

    def _send_to_all(self, message: list[Any]) -> None:
        if self._transport is None:
            return
        data = cbor2.dumps(message)
        for member in self.members.values():
            self._transport.sendto(data, (member.address.host, member.address.port))

    def _report_use(self, workspace: str) -> None:
        """Report the use of a workspace to all members at once."""
        if self._transport is None:
            return
        if not self._unreported_workspaces:
            asyncio.get_running_loop().call_later(USE_REPORT_DELAY_S, self._send_use)
        self._unreported_workspaces[workspace] = None

    def _send_use(self) -> None:
        names, self._unreported_workspaces = self._unreported_workspaces, {}
        if self._transport is None:
            return
        state = self._dependencies.state
        rows = _encode_totals(state.rate_limiter.report(names))
        local = self.local_address
        uptime_s = state.clock() - self._started_s
        self._send_to_all(
            [USE_MESSAGE, local.name, [local.incarnation, uptime_s, rows]]
        )

    def _report_segments(
        self, _changes: Sequence[Change], names: Sequence[str], peer: str | None
    ) -> None:
        """Report evidence at once; with many members, receivers pass it on."""
        if peer is not None and len(self.members) <= MAX_RECIPIENTS:
            return
        if names and not self._unreported_segments:
            asyncio.get_running_loop().call_later(
                SEGMENT_REPORT_DELAY_S, self._send_segments
            )
        self._unreported_segments.update(dict.fromkeys(names))

    def _send_segments(self) -> None:
        names, self._unreported_segments = self._unreported_segments, {}
        if self._transport is None:
            return
        state = self._dependencies.state
        rows = state.segment_suspicions.export(
            state.clock(), list(names)[-MAX_SEGMENT_ROWS_PER_REPORT:]
        )
        data = cbor2.dumps([SEGMENT_MESSAGE, self.local_address.name, rows])
        members = list(self.members.values())
        for member in state.rng.sample(members, min(MAX_RECIPIENTS, len(members))):
            self._transport.sendto(data, (member.address.host, member.address.port))

    def _merge_segments(self, rows: Sequence[Any], peer: str) -> None:
        state = self._dependencies.state
        state.segment_suspicions.merge(rows, peer, state.clock())

    def _apply_view(
        self, member: Member, row: list[Any] | None, delay_s: float
    ) -> None:
        if row is not None:
            end_offset, ages_ms = row
            member.view_end = int(end_offset)
            self._dependencies.registry().compare_view(
                member.view_end,
                [delay_s + finite_number(age_ms) / 1000 for age_ms in ages_ms],
            )

    def _count_missed(self, member: Member, interval: int) -> None:
        """Count the datagrams that a member sent to this node and that were lost."""
        metrics = self._dependencies.state.metrics
        metrics.count("datagrams_received")
        if member.interval is not None and interval > member.interval:
            rounds = (interval - member.interval) * SEND_INTERVAL_S / self.round_s
            if round(rounds) > 1:
                metrics.count("datagrams_missed", amount=round(rounds) - 1)
        member.interval = interval

    def _is_counted(self, member: Member) -> bool:
        """Return whether a member runs, or is new and may run."""
        removed = self._removed.get(member.address.name, -1)
        return member.heard or member.address.incarnation > removed

    def _remove_silent_members(self, now_s: float) -> None:
        for name, member in list(self.members.items()):
            if now_s - member.last_received_s > MEMBER_TIMEOUT_S:
                del self.members[name]
                self._removed[name] = member.address.incarnation
                self._dependencies.demand.pop(name, None)
                self._dependencies.state.upstreams.apply_load(name, {}, now_s)
                self._dependencies.state.forget_capacity(member.address.key)


def _encode_totals(totals: Totals) -> dict[str, list[int]]:
    return {
        name: [*map(round, row[:3]), round(1000 * row[3])]
        for name, row in totals.items()
    }


def _decode_totals(rows: dict[str, Any]) -> dict[str, tuple[float, ...]]:
    """Decode what a peer says of workspaces; older builds send two numbers only."""
    return {name: _decode_total(row) for name, row in rows.items()}


def _decode_total(row: Sequence[Any]) -> tuple[float, ...]:
    total, demand = float(row[0]), float(row[1])
    if len(row) < 4:
        if not math.isfinite(total + demand):
            _check_finite(row[:2])
        return total, demand
    past, age_ms = float(row[2]), float(row[3])
    # A sum is finite only if each number is, and one check costs less than four.
    if not math.isfinite(total + demand + past + age_ms):
        _check_finite(row[:4])
    return total, demand, past, age_ms / 1000


def _check_finite(values: Sequence[Any]) -> None:
    """Raise ValueError unless all values are finite; their sum may overflow."""
    for value in values:
        finite_number(value)
