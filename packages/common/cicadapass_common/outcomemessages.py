"""Messages between nodes about calls with an idempotency key."""

from dataclasses import dataclass
from enum import IntEnum
from typing import ClassVar

from cicadapass_common.copymessages import Binding
from cicadapass_common.messages import ClaimItem, Message


class OutcomeState(IntEnum):
    """Represent the state of a keyed call at the node that won its claim."""

    UNKNOWN = 0
    RUNNING = 1
    ANSWERED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class HeaderItem:
    """Carry one header of an answer."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class OutcomeRead(Message):
    """Request the outcome of a keyed call; answered by OutcomeReply."""

    KIND: ClassVar[str] = "outcome_read"
    request_id: str
    binding: Binding


@dataclass(frozen=True, slots=True)
class OutcomeReply(Message):
    """Answer an OutcomeRead with the answer, or the problem as JSON."""

    KIND: ClassVar[str] = "outcome_reply"
    state: OutcomeState
    status: int = 0
    headers: tuple[HeaderItem, ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ClaimIssued(Message):
    """Claim a key at the node that issued it; answered by ClaimVerdicts."""

    KIND: ClassVar[str] = "claim_issued"
    scope: str
    key: str
    claim: ClaimItem
