"""Messages and snapshots of the upstream table."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from cicadapass_decisions.policy import Policy
from cicadapass_decisions.prefix import CacheEvent, CacheHints
from cicadapass_decisions.scoring import Candidate, InFlight
from cicadapass_decisions.slowness import Health, SpeedTracker, Timing


@dataclass(frozen=True, slots=True)
class UpstreamConfig:
    """Describe one upstream of the inventory; names are qualified by the fleet."""

    name: str
    service: str
    data_centre: str
    url: str
    slots: int
    plain: bool = False
    hop_s: float = 0.0
    price_per_hour: float = 0.0
    reclaim_risk: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadReading:
    """Represent one load report; `lag_s` is its age when it was read."""

    running: int
    waiting: int
    slots: int
    leaving: bool = False
    incarnation: str = ""
    sequence: int = 0
    lag_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """Summarise the measurements and the end of an attempt, or of its last 0.5 s.

    `total_s` is the time to the complete answer; `failed` means that the upstream
    failed.
    """

    timing: Timing = field(default_factory=Timing)
    total_s: float | None = None
    tokens: int = 0
    failed: bool = False
    finished: bool = True


@dataclass(frozen=True, slots=True)
class ServiceTable:
    """List the upstreams of one service as candidates without this node's counts.

    `nodes` counts the nodes, this one included, that share their in-flight counts.
    """

    candidates: tuple[Candidate, ...]
    panic: bool = False
    first_token_s: float | None = None
    inter_token_s: float | None = None
    hints: Mapping[str, CacheHints] = field(default_factory=dict)
    nodes: int = 1


@dataclass(frozen=True, slots=True)
class UpstreamTable:
    """Represent an immutable snapshot of all upstreams by service."""

    services: Mapping[str, ServiceTable] = field(default_factory=dict)
    configs: Mapping[str, UpstreamConfig] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HealthChange:
    """Report that the health of an upstream changed."""

    upstream: str
    health: Health
    speed_tracker: SpeedTracker


@dataclass(frozen=True, slots=True)
class PanicChange:
    """Report that the panic rule of a service started or stopped applying."""

    service: str
    panic: bool


@dataclass(frozen=True, slots=True)
class CacheReading:
    """Represent the cache events that were read, or the hints of a resync."""

    events: tuple[CacheEvent, ...] = ()
    resync: CacheHints | None = None


@dataclass(frozen=True, slots=True)
class UpstreamReaders:
    """Bundle the functions that read and probe upstreams; they raise on failure.

    They must return within about a second. `read_cache` gets the sequence of the
    last known event, or None to request a resync.
    """

    read_load: Callable[[UpstreamConfig], LoadReading]
    probe: Callable[[UpstreamConfig], Timing] | None = None
    read_cache: Callable[[UpstreamConfig, int | None], CacheReading] | None = None


@dataclass(frozen=True, slots=True)
class SetUpstreams:
    """Replace the upstreams and rules with those of a new inventory."""

    configs: tuple[UpstreamConfig, ...]
    policy: Policy


@dataclass(frozen=True, slots=True)
class MarkLeaving:
    """Mark one incarnation of an upstream as leaving; an empty one means any."""

    upstream: str
    incarnation: str
    source: str


@dataclass(frozen=True, slots=True)
class MarkDataCentreLeaving:
    """Mark the current incarnations of all upstreams of a data centre as leaving."""

    data_centre: str
    source: str


@dataclass(frozen=True, slots=True)
class PeerCounts:
    """Replace the in-flight counts of one peer."""

    node: str
    counts: Mapping[str, InFlight]


@dataclass(frozen=True, slots=True)
class AttemptMeasured:
    """Report the measurements of an attempt, at its end or every 0.5 s."""

    upstream: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class GetTable:
    """Request the current snapshot."""
