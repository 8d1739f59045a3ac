"""The record types of the platform's log."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Generic, TypeVar

Body = TypeVar("Body", covariant=True)

# Version of the configuration before the first publish.
NO_VERSION = -1


@dataclass(frozen=True, slots=True)
class LogRecord(Generic[Body]):
    """Represent one record with its offset and the log's time of its append."""

    offset: int
    time_s: float
    body: Body


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Replace the body of a record that cannot be decoded."""

    reason: str


@dataclass(frozen=True, slots=True)
class Publish:
    """Replace the document that is in force at `base_offset`."""

    publish_id: str
    base_offset: int
    author: str
    document: Mapping[str, Any]


class PublishOutcome(StrEnum):
    """Enumerate the results of a publish."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class PublishVerdict:
    """Report the first verdict on a publish.

    `version` and `author` are those in force right after the evaluation; for a
    conflict they identify the winner.
    """

    outcome: PublishOutcome
    offset: int
    version: int
    author: str


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Contain the whole configuration state after the record `folded_through`."""

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
    """Group the claims of one append, in the order in which they are evaluated."""

    claims: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Take, renew or (with a duration of 0) release a named lease.

    The writer has read the log up to `read_through` and guarantees that no lease of
    another holder up to there is still valid.
    """

    name: str
    holder: str
    incarnation: str
    duration_s: float
    read_through: int


RecordBody = Publish | Snapshot | ClaimBatch | LeaseRequest
