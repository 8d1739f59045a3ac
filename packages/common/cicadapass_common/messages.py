"""Messages between nodes, except those about accepted requests and keyed calls."""

from dataclasses import dataclass
from typing import ClassVar

from cicadapass_decisions.leaving import LeavingEntry
from cicadapass_decisions.membership import GossipEntry
from cicadapass_decisions.types import NodeAddress

# Message classes by kind, registered by the subclasses of Message. Nested data is sent
# as positional arrays, so a new field comes last and has a default.
MESSAGE_KINDS: dict[str, type["Message"]] = {}


class Message:
    """Base class of all messages; a subclass is registered under its KIND."""

    __slots__ = ()
    KIND: ClassVar[str]

    def __init_subclass__(cls) -> None:
        """Register the subclass; the class that `slots=True` creates replaces it."""
        super().__init_subclass__()
        MESSAGE_KINDS[cls.KIND] = cls


@dataclass(frozen=True, slots=True)
class Hello(Message):
    """Open a connection: the client's versions, address and nonce."""

    KIND: ClassVar[str] = "hello"
    min_version: int
    max_version: int
    address: NodeAddress
    nonce: bytes


@dataclass(frozen=True, slots=True)
class HelloReply(Message):
    """Answer a Hello with the selected version, the server's address and proof."""

    KIND: ClassVar[str] = "hello_reply"
    version: int
    address: NodeAddress
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class HelloProof(Message):
    """Prove that the client knows the shared secret."""

    KIND: ClassVar[str] = "hello_proof"
    proof: bytes


@dataclass(frozen=True, slots=True)
class Failure(Message):
    """Answer a request that the peer could not handle."""

    KIND: ClassVar[str] = "failure"
    fault: str
    detail: str


@dataclass(frozen=True, slots=True)
class Done(Message):
    """Acknowledge a message that needs no other answer."""

    KIND: ClassVar[str] = "done"


@dataclass(frozen=True, slots=True)
class Probe(Message):
    """Check a member and exchange gossip; answered by ProbeReply.

    `known` is the number of members that the sender knows, so that a member that has
    just joined receives more entries.
    """

    KIND: ClassVar[str] = "probe"
    entries: tuple[GossipEntry, ...]
    marks: tuple[LeavingEntry, ...]
    config_offset: int
    known: int


@dataclass(frozen=True, slots=True)
class ProbeVia(Message):
    """Ask another member to probe the target; answered by ProbeReply."""

    KIND: ClassVar[str] = "probe_via"
    target: NodeAddress
    entries: tuple[GossipEntry, ...]
    marks: tuple[LeavingEntry, ...]
    config_offset: int


@dataclass(frozen=True, slots=True)
class ProbeReply(Message):
    """Answer a probe; `reached` says whether the target of an indirect one answered."""

    KIND: ClassVar[str] = "probe_reply"
    entries: tuple[GossipEntry, ...]
    marks: tuple[LeavingEntry, ...]
    config_offset: int
    reached: bool = True


@dataclass(frozen=True, slots=True)
class LeavingNotice(Message):
    """Announce leaving VMs without waiting for gossip; not answered.

    The receiver forwards it within its data centre if `forward` is set.
    """

    KIND: ClassVar[str] = "leaving_notice"
    marks: tuple[LeavingEntry, ...]
    forward: bool = False


@dataclass(frozen=True, slots=True)
class ConfigFetch(Message):
    """Request configuration records from an offset; answered by ConfigRecords."""

    KIND: ClassVar[str] = "config_fetch"
    from_offset: int


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Carry one undecoded record of the log."""

    offset: int
    time_s: float
    data: bytes


@dataclass(frozen=True, slots=True)
class ConfigRecords(Message):
    """Answer a ConfigFetch with records, or with a snapshot if they have expired."""

    KIND: ClassVar[str] = "config_records"
    records: tuple[LogRecord, ...]
    next_offset: int
    snapshot: bytes | None = None


@dataclass(frozen=True, slots=True)
class ClaimItem:
    """Carry the claim of one idempotency key."""

    key_hash: bytes
    fingerprint: bytes
    claim_id: bytes
    request_id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ClaimKeys(Message):
    """Ask the batcher to claim keys; answered by ClaimVerdicts."""

    KIND: ClassVar[str] = "claim"
    claims: tuple[ClaimItem, ...]


@dataclass(frozen=True, slots=True)
class ClaimVerdictItem:
    """Answer one claim; the answer to a lost claim has the winner's request id."""

    claim_id: bytes
    outcome: str
    winner_request_id: str
    same_payload: bool


@dataclass(frozen=True, slots=True)
class ClaimVerdicts(Message):
    """Answer ClaimKeys or ClaimIssued."""

    KIND: ClassVar[str] = "claim_verdicts"
    verdicts: tuple[ClaimVerdictItem, ...]


@dataclass(frozen=True, slots=True)
class InFlightCount:
    """Count the requests that the sender has in flight at an upstream."""

    upstream: str
    short: int
    long: int
    tokens_left: float


@dataclass(frozen=True, slots=True)
class InFlight(Message):
    """Report the sender's load to other nodes of its fleet; not answered."""

    KIND: ClassVar[str] = "in_flight"
    counts: tuple[InFlightCount, ...]


@dataclass(frozen=True, slots=True)
class EventLines(Message):
    """Transfer events of a stopping node as JSON lines; answered by Done."""

    KIND: ClassVar[str] = "event_lines"
    lines: tuple[str, ...]
