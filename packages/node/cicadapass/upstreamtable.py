"""Types of the upstream table that the parts of a node exchange."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from cicadapass_decisions.policy import Policy
from cicadapass_decisions.prefix import CacheEvent, CacheHints
from cicadapass_decisions.scoring import Candidate, InFlight
from cicadapass_decisions.slowness import Health, SpeedTracker, Timing


@dataclass(frozen=True, slots=True)
class UpstreamConfig:
    """Hold what the inventory says about one upstream; names are qualified."""

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
    """Hold one load report; `lag_s` is how old it was when it was read."""

    running: int
    waiting: int
    slots: int
    leaving: bool = False
    incarnation: str = ""
    sequence: int = 0
    lag_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """Summarise an attempt, or its last 0.5 s: what was measured and how it ended.

    `total_s` is the time to the whole answer; `failed` says that the upstream failed.
    """

    timing: Timing = field(default_factory=Timing)
    total_s: float | None = None
    tokens: int = 0
    failed: bool = False
    finished: bool = True


@dataclass(frozen=True, slots=True)
class ServiceTable:
    """Hold the upstreams of one service as candidates without own counts.

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
    """Hold an immutable snapshot of all upstreams by service."""

    services: Mapping[str, ServiceTable] = field(default_factory=dict)
    configs: Mapping[str, UpstreamConfig] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HealthChange:
    """Say that the verdict on an upstream changed."""

    upstream: str
    health: Health
    tracker: SpeedTracker


@dataclass(frozen=True, slots=True)
class PanicChange:
    """Say that the panic rule of a service began or ceased to apply."""

    service: str
    panic: bool


@dataclass(frozen=True, slots=True)
class CacheReading:
    """Hold cache events that were read, or the hints of a resync."""

    events: tuple[CacheEvent, ...] = ()
    resync: CacheHints | None = None


@dataclass(frozen=True, slots=True)
class UpstreamReaders:
    """Hold the functions that talk to upstreams; they raise when they fail.

    They must return within about a second. `read_cache` gets the sequence of the
    last known event, or None to ask for a resync.
    """

    read_load: Callable[[UpstreamConfig], LoadReading]
    probe: Callable[[UpstreamConfig], Timing] | None = None
    read_cache: Callable[[UpstreamConfig, int | None], CacheReading] | None = None


@dataclass(frozen=True, slots=True)
class SetUpstreams:
    """Replace the upstreams and rules by those of a new inventory."""

    configs: tuple[UpstreamConfig, ...]
    policy: Policy


@dataclass(frozen=True, slots=True)
class MarkLeaving:
    """Mark one life of an upstream as leaving; an empty incarnation means any."""

    upstream: str
    incarnation: str
    source: str


@dataclass(frozen=True, slots=True)
class MarkDataCentreLeaving:
    """Mark the present lives of all upstreams of a data centre as leaving."""

    data_centre: str
    source: str


@dataclass(frozen=True, slots=True)
class PeerCounts:
    """Replace the in-flight counts of one peer of the data centre."""

    node: str
    counts: Mapping[str, InFlight]


@dataclass(frozen=True, slots=True)
class AttemptMeasured:
    """Report what an attempt measured, at its end or every 0.5 s."""

    upstream: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class GetTable:
    """Ask for the current snapshot."""
