"""Types of the pass-through interface: routes, services, workspaces and upstreams."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class CallKind(Enum):
    """Tell what a route's calls may do more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Name a service and its share of a route's calls."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Send the calls below a host and path prefix to services."""

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    attempts: int = 1
    priority: int = 0
    anonymous: bool = False
    resumable: bool = False
    max_gap_s: float | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether a call may run more than once or be resumed."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.SAFE


@dataclass(frozen=True, slots=True)
class Scaling:
    """Bound the engines that may be ordered for a service in each data centre."""

    minimum: int
    maximum: int
    boot_s: float
    # Price of a reclaimable engine as a part of an on-demand one's.
    reclaimable_price_ratio: float
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
    keys: frozenset[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_tokens: int = 1


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the routes, services and workspaces."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """Hold what an upstream last said of itself in the registry."""

    upstream_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    started_ms: int
    sequence: int
    reclaimable: bool = False
    leaves_in_s: float | None = None


@dataclass(frozen=True, slots=True)
class PromptSegment:
    """Name a part of a prompt that several requests may share."""

    segment_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Hold the sizes of a model request."""

    segments: tuple[PromptSegment, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    # The caller's estimate of the output, where it gives one.
    hinted_tokens: int | None = None

    @property
    def expected_tokens(self) -> int:
        """Return the output tokens to expect."""
        if self.hinted_tokens is None:
            return self.max_output_tokens
        return min(self.hinted_tokens, self.max_output_tokens or self.hinted_tokens)

    @property
    def total_tokens(self) -> int:
        """Return the tokens that count towards a workspace's limit."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """Return the parts that other requests may share; the last is its own."""
        return self.segments[:-1]

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of the shared parts."""
        return sum(segment.tokens for segment in self.shared_segments)

    @property
    def affinity_key(self) -> str | None:
        """Return the id of the deepest shared part."""
        shared = self.shared_segments
        return shared[-1].segment_id if shared else None
