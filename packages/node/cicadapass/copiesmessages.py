"""Messages and dependencies of the copies component."""

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
    """Bundle the collaborators and limits of the copies component.

    `adopt` makes this node the owner of a request under an epoch. It must not block;
    if it raises an exception, the request stays a copy.
    """

    peers: Peers
    timers: TimerService
    events: EventLog
    adopt: Callable[[CopiedRequest, int], object]
    max_bytes: int
    clock: Callable[[], float] = time.monotonic


@dataclass(frozen=True, slots=True)
class CopyMessageReceived:
    """Deliver a message of a peer about copies."""

    inbound: Inbound[Any]


@dataclass(frozen=True, slots=True)
class OwnerGone:
    """Take over the requests of this member, because it is gone."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class DeclaredGone:
    """Mark all copies doubtful: their owners may have chosen other holders."""


@dataclass(frozen=True, slots=True)
class FindCopy:
    """Look up a copy on behalf of a caller; the answer is FoundCopy or None."""

    request_id: str
    binding: Binding


@dataclass(frozen=True, slots=True)
class FoundCopy:
    """Name the owner of a request as known to the holder of its copy."""

    owner: NodeAddress
    epoch: int
    adopted: bool


@dataclass(frozen=True, slots=True)
class OwnerCheckCompleted:
    """Deliver an owner's answer to an OwnerCheck of a request and an epoch.

    With `caller_waits`, a missing answer is a reason to take the request over.
    """

    request_id: str
    epoch: int
    result: Result[Message, PeerError]
    caller_waits: bool


@dataclass(frozen=True, slots=True)
class CountCopies:
    """Request the number of copies of requests that other nodes own."""


@dataclass(frozen=True, slots=True)
class CopiesTick:
    """Check owners without recent progress, and expire old copies."""
