"""Messages between nodes about accepted requests."""

from dataclasses import dataclass
from enum import IntEnum
from typing import ClassVar

from cicadapass_common.messages import Message


class CopyStatus(IntEnum):
    """Report how the holder of a copy handled a message."""

    ACCEPTED = 0
    FULL = 1
    STALE_EPOCH = 2
    UNKNOWN = 3
    GAP = 4


@dataclass(frozen=True, slots=True)
class Binding:
    """Identify the caller of a request; no other caller may read its answer."""

    fleet: str
    workspace: str
    credential_sha256: str


@dataclass(frozen=True, slots=True)
class CopiedRequest:
    """Contain everything that a holder needs to rerun or resume a request."""

    request_id: str
    epoch: int
    binding: Binding
    created_s: float
    service: str
    document: bytes
    texts: tuple[str, ...] = ()
    finished: bool = False


@dataclass(frozen=True, slots=True)
class CopyRequest(Message):
    """Ask the receiver to store a copy; answered by CopyReply."""

    KIND: ClassVar[str] = "copy_request"
    copy: CopiedRequest


@dataclass(frozen=True, slots=True)
class CopyReply(Message):
    """Answer CopyRequest, HandOver and OwnerCheck.

    `epoch` is that of the stored copy or owned request, otherwise the received one.
    """

    KIND: ClassVar[str] = "copy_reply"
    status: CopyStatus
    epoch: int


@dataclass(frozen=True, slots=True)
class ProgressItem:
    """Carry consecutive tokens of one request; `first` is the index of the first."""

    request_id: str
    epoch: int
    first: int
    texts: tuple[str, ...]
    done: bool = False


@dataclass(frozen=True, slots=True)
class Progress(Message):
    """Send new tokens to a holder; answered by ProgressReply."""

    KIND: ClassVar[str] = "progress"
    items: tuple[ProgressItem, ...]


@dataclass(frozen=True, slots=True)
class ProgressAck:
    """Report how many tokens of a request the holder has without a gap."""

    request_id: str
    status: CopyStatus
    epoch: int
    tokens: int
    done: bool = False


@dataclass(frozen=True, slots=True)
class ProgressReply(Message):
    """Answer a Progress with an acknowledgement for each item."""

    KIND: ClassVar[str] = "progress_reply"
    acks: tuple[ProgressAck, ...]


@dataclass(frozen=True, slots=True)
class ReleaseItem:
    """Name a copy; a holder with a higher epoch keeps it."""

    request_id: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Release(Message):
    """Allow the holder to drop copies with delivered answers; answered by Done."""

    KIND: ClassVar[str] = "release"
    items: tuple[ReleaseItem, ...]


@dataclass(frozen=True, slots=True)
class HandOver(Message):
    """Ask the holder to become the owner; answered by CopyReply.

    `tokens` is the number of tokens that the owner has delivered.
    """

    KIND: ClassVar[str] = "hand_over"
    request_id: str
    epoch: int
    tokens: int


@dataclass(frozen=True, slots=True)
class OwnerCheck(Message):
    """Ask whether the receiver still owns a request; answered by CopyReply."""

    KIND: ClassVar[str] = "owner_check"
    request_id: str
    epoch: int


@dataclass(frozen=True, slots=True)
class AnswerRead(Message):
    """Request the bytes of an answer from an offset; answered by AnswerPiece."""

    KIND: ClassVar[str] = "answer_read"
    request_id: str
    binding: Binding
    from_byte: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class AnswerPiece(Message):
    """Answer an AnswerRead; of two pieces, the one with the higher epoch is valid."""

    KIND: ClassVar[str] = "answer_piece"
    known: bool
    data: bytes = b""
    complete: bool = False
    epoch: int = 0
    streams: bool = True
