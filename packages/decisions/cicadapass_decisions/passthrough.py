"""Routes, services, workspaces and upstreams of the gateway."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class CallKind(Enum):
    """Classify the calls of a route by whether they may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Assign a service a weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Route the calls with a host and path prefix to services."""

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    # Upstreams on which a call may run, including the first one.
    attempts: int = 1
    priority: int = 0
    anonymous: bool = False
    resumable: bool = False
    # The longest time between two events of a stream that is in time.
    max_gap_s: float | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether a call may run more than once or be resumed."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.SAFE


@dataclass(frozen=True, slots=True)
class Scaling:
    """Limit the engines that may be ordered for a service in each data centre."""

    minimum: int
    maximum: int
    boot_s: float
    # Price of a reclaimable engine relative to an on-demand one.
    reclaimable_price_ratio: float
    # Relative prices by data centre.
    prices: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a group of upstreams that serve the same calls."""

    name: str
    model_engine: bool = False
    tokens_per_event: int = 1
    scaling: Scaling | None = None


@dataclass(frozen=True, slots=True)
class Workspace:
    """Describe a workspace, its credentials and its rate limit."""

    name: str
    # The credentials of its callers.
    keys: frozenset[str]
    # Overrides the priority of the route.
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    # The rate and the burst are in tokens instead of requests.
    counts_tokens: bool = False
    # Tokens charged for a call to a plain service.
    plain_tokens: int = 1


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the size of a caller's request and the time to send it."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Group one version of the routes, services and workspaces."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """Represent the last entry of an upstream in the registry."""

    upstream_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    # Identifies one start of the upstream under its id.
    started_ms: int
    # Orders the entries of one start.
    sequence: int
    reclaimable: bool = False
    # Remaining time, if a reclaim was announced.
    leaves_in_s: float | None = None
    # Names the software; empty if the entry names none.
    version: str = ""

    @property
    def start_key(self) -> str:
        """Return a name of this start of the upstream."""
        return f"{self.upstream_id}@{self.started_ms}"


@dataclass(frozen=True, slots=True)
class PromptSegment:
    """Identify a segment of a prompt that several requests may share."""

    segment_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Describe the prompt and the sizes of a model request."""

    segments: tuple[PromptSegment, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    # The caller's estimate of the output, if it gave one.
    hinted_tokens: int | None = None

    @property
    def expected_tokens(self) -> int:
        """Return the estimated output tokens, or their limit without an estimate."""
        if self.hinted_tokens is None:
            return self.max_output_tokens
        return min(self.hinted_tokens, self.max_output_tokens or self.hinted_tokens)

    @property
    def total_tokens(self) -> int:
        """Return the tokens that count towards a workspace's limit."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """Return all segments but the last, which is specific to the request."""
        return self.segments[:-1]

    @property
    def shared_tokens(self) -> int:
        """Return the total tokens of the shared segments."""
        return sum(segment.tokens for segment in self.shared_segments)

    @property
    def affinity_key(self) -> str | None:
        """Return the id of the last shared segment, or None."""
        shared = self.shared_segments
        return shared[-1].segment_id if shared else None
