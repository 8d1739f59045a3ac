"""Interfaces that a platform adapter implements: headers, registry, cloud calls."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from cicadapass_decisions.dutylease import EngineClass
from cicadapass_decisions.passthrough import Configuration, Prompt, UpstreamRecord
from cicadapass_decisions.rollouts import RolloutOrder, RolloutState
from cicadapass_decisions.runmigration import CopyOutcome
from cicadapass_decisions.topicreplica import Document
from cicadapass_gateway.registryera import RegistryEra

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class Call:
    """Store the decoded headers of a caller's request."""

    request_id: str | None
    host: str
    api_key: str | None
    time_limit_s: float | None
    prompt: Prompt
    last_event_id: str | None
    # Headers to forward unchanged.
    headers: Headers
    # The request that brought the first event of the stream that is taken up.
    resumes: str | None = None


@dataclass(frozen=True, slots=True)
class Attempt:
    """Store what the gateway adds to the headers of a request to an upstream."""

    upstream_id: str
    workspace: str | None
    remaining_s: float
    priority: int | None
    resume_after: str | None
    # Location of the copied run state from which the upstream resumes.
    copy: str | None = None
    # An upstream that has probably cached segments of the prompt.
    cache_source: UpstreamRecord | None = None


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """Store the decoded headers of an upstream's response."""

    # None unless the response names exactly one request.
    request_id: str | None
    # The response carries the seal that marks it as written by an upstream.
    sealed: bool
    not_executed: bool
    wrong_instance: bool
    event_stream: bool
    # Requests running and waiting at the upstream, if it reports them.
    load: int | None
    # Headers to forward unchanged.
    headers: Headers
    # Version of the weights that the upstream uses, if it reports it.
    weights: int | None = None
    # Requests per second that the upstream takes from all nodes together, if it names
    # a limit, and the text of a limit that cannot be read.
    limit_per_s: float | None = None
    unreadable_limit: str | None = None
    # The upstream is leaving and wants no further requests.
    leaving: bool = False
    # Seconds for which an upstream that turned a request away wants no others of this
    # node, and the text of a time that cannot be read.
    pause_s: float | None = None
    unreadable_pause: str | None = None


@dataclass(frozen=True, slots=True)
class HeaderCodec:
    """Group the functions that decode and encode the headers of calls."""

    decode_call: Callable[[Headers], Call]
    encode_attempt: Callable[[Call, Attempt, int], Headers]
    decode_response: Callable[[int, Headers], ResponseInfo]
    encode_refusal: Callable[[str | None, float | None], Headers]


@dataclass(frozen=True, slots=True)
class Listing:
    """Store the newest record of each key and the offset of the next read."""

    documents: tuple[Document, ...]
    end_offset: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Store the records from an offset on; an empty value removes its key."""

    documents: tuple[Document, ...]
    end_offset: int
    # The read reached the end of the log.
    complete: bool


class Registry(Protocol):
    """Read and write the platform's keyed logs.

    The offsets of documents, listings, changes and appends are positions, which contain
    the era: they never go back.
    """

    @property
    def era(self) -> RegistryEra:
        """Return the era, which rises when the registry returns from a copy."""

    async def newest(self, topic: str) -> Listing:
        """Return the newest record of each key."""

    async def changes(self, topic: str, start: int, wait_s: float) -> Changes:
        """Return the records from `start` on; wait up to `wait_s` for the first one.

        Raise `HistoryExpired` if the log does not have them, or is of a later era.
        """

    async def tail(self, topic: str, count: int) -> Changes:
        """Return the first of the last `count` records of a log, or all of them."""

    async def append(
        self, topic: str, key: str, value: bytes, expected_end: int | None
    ) -> int:
        """Append a record and return the new end offset.

        Raise `OffsetConflict` unless the log ends at `expected_end` or this is None. An
        append that meets a later era may have been executed.
        """


@dataclass(frozen=True, slots=True)
class Topics:
    """Name the keyed logs on the platform."""

    configuration: str
    upstreams: str
    nodes: str
    duties: str
    # The gateway writes the states of rollouts to it; only needed where these are used.
    status: str = ""
    # Records of streams and of the versions in use, by which streams are taken up.
    streams: str = ""
    versions: str = ""


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Store what operators are told of a rollout."""

    to: str
    state: RolloutState


@dataclass(frozen=True, slots=True)
class RolloutCodec:
    """Group the functions that translate the orders and statuses of rollouts."""

    # Returns the service that a key of the operator's topic names, or None if the key
    # is of another kind of document.
    service_of_key: Callable[[str], str | None]
    # Raises ValueError if the order cannot be read.
    decode_order: Callable[[str, bytes], RolloutOrder]
    status_key: Callable[[str], str]
    encode_status: Callable[[RolloutStatus], bytes]
    # Returns None if the status cannot be read.
    decode_status: Callable[[bytes], RolloutStatus | None]


@dataclass(frozen=True, slots=True)
class DocumentCodec:
    """Group the functions that decode the platform's documents."""

    configuration_key: str
    decode_configuration: Callable[[bytes], Configuration]
    decode_upstream: Callable[[str, bytes], UpstreamRecord | None]
    # None where operators give no orders of rollouts.
    rollouts: RolloutCodec | None = None


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """Request a total number of engines of a service in a data centre."""

    service: str
    data_centre: str
    count: int
    reclaimable: bool

    @property
    def engine_class(self) -> EngineClass:
        """Return the engines that the order counts."""
        return EngineClass(self.service, self.data_centre, self.reclaimable)


@dataclass(frozen=True, slots=True)
class RunCopy:
    """Store how a call that copies a run ended.

    `location` names the run's memory, at the destination as at the source; the source
    may name it in a refusal too.
    """

    outcome: CopyOutcome
    location: str | None = None
    # For the log.
    detail: str = ""


class MigrateRun(Protocol):
    """Copy a run to another engine, and stop it at the source when `last`."""

    async def __call__(
        self,
        source: UpstreamRecord,
        request_id: str,
        target: UpstreamRecord,
        last: bool,
    ) -> RunCopy:
        """Return how the call ended.

        A call with `last` waits until the copy is complete, without a time limit.
        """


@dataclass(frozen=True, slots=True)
class Cloud:
    """Group the calls that only the holder of the duties may make."""

    report_usage: Callable[[int, dict[str, int], int], Awaitable[None]]
    order_engines: Callable[[EngineOrder, int], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Adapter:
    """Group the implementations that an adapter provides."""

    header_codec: HeaderCodec
    registry: Registry
    topics: Topics
    document_codec: DocumentCodec
    migrate_run: MigrateRun
    cloud: Cloud | None
