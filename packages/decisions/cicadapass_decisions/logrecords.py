"""Bodies of the records in the platform's log."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Generic, TypeVar

Body = TypeVar("Body", covariant=True)

# Version of a configuration before anything has been published.
NO_VERSION = -1


@dataclass(frozen=True, slots=True)
class LogRecord(Generic[Body]):
    """Hold one record with its offset and the log's time of the append."""

    offset: int
    time_s: float
    body: Body


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Stand for a record that cannot be decoded."""

    reason: str


@dataclass(frozen=True, slots=True)
class Publish:
    """Replace the document that is in force at `base_offset`."""

    publish_id: str
    base_offset: int
    author: str
    document: Mapping[str, Any]


class PublishOutcome(StrEnum):
    """Say how a publish was judged."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class PublishVerdict:
    """Hold a publish's first verdict.

    `version` and `author` are those in force right after the judgement; for a
    conflict they name the winner.
    """

    outcome: PublishOutcome
    offset: int
    version: int
    author: str


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Carry the whole configuration state after the record `folded_through`."""

    version: int
    publish_id: str
    author: str
    document: Mapping[str, Any] | None
    folded_through: int
    verdicts: Mapping[str, PublishVerdict] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim an idempotency key for one request.

    A claim that is appended twice keeps its `claim_id`.
    """

    key_hash: bytes
    fingerprint: bytes
    claim_id: bytes
    request_id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ClaimBatch:
    """Hold the claims of one append, in the order in which they are judged."""

    claims: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Take, renew or (with a duration of 0) release a named lease.

    The writer vouches that no other holder's lease up to `seen_through` is valid.
    """

    name: str
    holder: str
    incarnation: str
    duration_s: float
    seen_through: int


RecordBody = Publish | Snapshot | ClaimBatch | LeaseRequest
