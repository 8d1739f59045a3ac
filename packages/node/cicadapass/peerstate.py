"""State and limits that all connections to peers share."""

import math
import random
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from cicadapass.peererrors import PeerError, PeerFault
from cicadapass_common.events import EventLog
from cicadapass_common.exceptions import FrameError
from cicadapass_common.stamps import HybridClock
from cicadapass_common.wire import (
    Frame,
    MalformedFrame,
    OversizedFrame,
    WrongVersion,
    decode,
)
from cicadapass_decisions.types import NodeAddress

# Longer than a cycle of probes, which repeatedly visits the same 40 members.
IDLE_TIMEOUT_S = 100.0
OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
# After an answer timed out, the connection is checked with a ping.
PING_TIMEOUT_S = 1.0
# The server's pings detect clients that vanished without closing the connection.
SERVER_PING_INTERVAL_S = 120.0
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 3.0
MAX_QUEUED_MESSAGES = 2048
MAX_QUEUED_BYTES = 16 * 1024 * 1024
# Two per member at the planned fleet size.
MAX_CONNECTIONS = 800
# Any host on the network can cause these events. Limiting repeats keeps them from
# evicting other events.
REPORT_INTERVAL_S = 10.0
MAX_REPORT_KEYS = 1024
CLOSE_POLICY_VIOLATION = 1008
CLOSE_TOO_BIG = 1009


def allow_all(_target: NodeAddress) -> bool:
    """Return True: allow connections to every node."""
    return True


def ignore_peer(_peer: NodeAddress) -> None:
    """Do nothing; the default callback for a broken connection."""


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Configure the connections to peers.

    `allow` returns whether the node may connect to another; the fault matrix simulates
    broken paths with it. An `address` with port 0 gets a free port.
    """

    address: NodeAddress
    secret: bytes
    listen_host: str = "127.0.0.1"
    # Set if peers reach the node at another port than the one it listens on.
    listen_port: int | None = None
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    idle_s: float = IDLE_TIMEOUT_S
    allow: Callable[[NodeAddress], bool] = allow_all


@dataclass(slots=True)
class KindCount:
    """Count messages of one kind and direction, with their size in frames."""

    messages: int = 0
    frame_bytes: int = 0


@dataclass(slots=True)
class PeerState:
    """Share state between the connections; only the loop's thread modifies it."""

    settings: PeerSettings
    address: NodeAddress
    events: EventLog
    stamps: HybridClock
    rng: random.Random
    sent: dict[str, KindCount] = field(default_factory=dict)
    received: dict[str, KindCount] = field(default_factory=dict)
    connections: int = 0
    on_broken: Callable[[NodeAddress], object] = ignore_peer
    last_reported_s: dict[tuple[object, str, str], float] = field(default_factory=dict)

    def count_sent(self, kind: str, size: int) -> None:
        """Count a frame that is queued for a peer."""
        _count(self.sent, kind, size)

    def read_frame(self, data: str | bytes, peer: str) -> Frame:
        """Return the frame; raise PeerError, or FrameError if it may be ignored."""
        if isinstance(data, str):
            raise PeerError(PeerFault.GARBAGE, "a text frame instead of a binary frame")
        result = decode(data)
        if result.is_error():
            raise _as_peer_error(result.error)
        frame = result.ok
        _count(self.received, frame.message.KIND, len(data))
        if self.stamps.observe(frame.stamp) and self._should_report(328, peer, ""):
            self.events.emit(328, peer=peer, peer_stamp=frame.stamp)
        return frame

    def report(self, error: PeerError, peer: str) -> None:
        """Emit the event of an error that closes a connection."""
        problem = error.problem
        if not self._should_report(error.fault, peer, problem):
            return
        match error.fault:
            case PeerFault.WRONG_SECRET:
                self.events.emit(321, peer=peer, side=problem)
            case PeerFault.WRONG_VERSION:
                self.events.emit(322, peer=peer, reason=problem)
            case PeerFault.GARBAGE:
                self.events.emit(323, peer=peer, reason=problem)
            case PeerFault.OVERSIZED:
                self.events.emit(324, peer=peer, reason=problem)
            case PeerFault.WRONG_NODE:
                self.events.emit(326, peer=peer, found=problem)
            case _:
                self.events.emit(325, peer=peer, reason=problem)

    def report_handshake_failure(self, reason: str) -> None:
        """Emit the event of a failed HTTP opening handshake."""
        if self._should_report(325, "unknown", reason):
            self.events.emit(325, peer="unknown", reason=reason)

    def report_connection_limit(self, peer: str, limit: int) -> None:
        """Emit the event of a connection refused because of the limit."""
        if self._should_report(330, peer, ""):
            self.events.emit(330, peer=peer, limit=limit)

    def _should_report(self, kind: object, peer: str, detail: str) -> bool:
        """Return whether no such event of the host came within REPORT_INTERVAL_S."""
        host = peer.rpartition(":")[0] or peer
        key = kind, host, detail
        now_s = time.monotonic()
        if now_s - self.last_reported_s.get(key, -math.inf) < REPORT_INTERVAL_S:
            return False
        if len(self.last_reported_s) >= MAX_REPORT_KEYS:
            self.last_reported_s.clear()
        self.last_reported_s[key] = now_s
        return True


def _count(counts: dict[str, KindCount], kind: str, size: int) -> None:
    count = counts.setdefault(kind, KindCount())
    count.messages += 1
    count.frame_bytes += size


def _as_peer_error(error: FrameError) -> Exception:
    if getattr(error, "newer", False):
        return error
    match error:
        case WrongVersion():
            fault = PeerFault.WRONG_VERSION
        case OversizedFrame():
            fault = PeerFault.OVERSIZED
        case MalformedFrame():
            fault = PeerFault.GARBAGE
        case _:
            fault = PeerFault.GARBAGE
    return PeerError(fault, error.problem)
