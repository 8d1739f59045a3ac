"""The messages of the copies part and what it is built with."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from expression import Result

from cicadapass.peererrors import PeerError
from cicadapass.peers import Inbound, Peers
from cicadapass.timers import TimerService
from cicadapass_common.copymessages import Binding, CopiedRequest
from cicadapass_common.events import EventLog
from cicadapass_common.messages import Message
from cicadapass_decisions.types import NodeAddress, VmId


@dataclass(frozen=True, slots=True)
class CopiesDependencies:
    """Hold what the part is built with.

    `adopt` makes this node the owner of a request; it must return at once, and a
    request that it raises an exception for stays a copy.
    """

    peers: Peers
    timers: TimerService
    events: EventLog
    adopt: Callable[[CopiedRequest, int], object]
    max_bytes: int
    clock: Callable[[], float] = time.monotonic


@dataclass(frozen=True, slots=True)
class CopyMessageReceived:
    """Hand in a message of a peer."""

    inbound: Inbound[Any]


@dataclass(frozen=True, slots=True)
class OwnerGone:
    """Take over what this member owns, because it is gone."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class DeclaredGone:
    """Doubt all copies: their owners may have chosen other holders."""


@dataclass(frozen=True, slots=True)
class FindCopy:
    """Ask for a copy on behalf of a caller; answered by FoundCopy or None."""

    request_id: str
    binding: Binding


@dataclass(frozen=True, slots=True)
class FoundCopy:
    """Say who owns a request as far as its holder knows."""

    owner: NodeAddress
    epoch: int
    adopted: bool


@dataclass(frozen=True, slots=True)
class OwnerCheckCompleted:
    """Hand in the answer of an owner that was asked about a request.

    `caller_waits` makes silence a reason to take over; answered by whether this node
    owns the request now.
    """

    request_id: str
    epoch: int
    result: Result[Message, PeerError]
    caller_waits: bool


@dataclass(frozen=True, slots=True)
class CountCopies:
    """Ask for the number of copies of requests that others own."""


@dataclass(frozen=True, slots=True)
class CopiesTick:
    """Ask for the check of silent owners and old copies."""
