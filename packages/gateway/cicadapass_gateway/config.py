"""Settings of a gateway node."""

from dataclasses import dataclass

from cicadapass_decisions.ratelimit import LimitTolerance
from cicadapass_decisions.rollouts import RolloutBounds

MAX_PORT = 65_535
# Memory of the smallest VMs in use.
DEFAULT_MEMORY_MB = 200.0


@dataclass(frozen=True, slots=True)
class Address:
    """Identify a host and port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Settings:
    """Store a node's settings; a re-read applies only `seeds` and `grace_s`."""

    node: str
    data_centre: str
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    seeds: tuple[Address, ...]
    # Time from SIGTERM until the platform kills the process.
    grace_s: float
    retry_window_s: float
    # Retries per window that all nodes together may make beyond the retry ratio.
    retry_slack: float
    # Length of the windows over which the rate limits of workspaces apply.
    limit_window_s: float
    # By how much all nodes together may exceed the rate limit of a workspace.
    limit_tolerance: LimitTolerance
    # Time for which a leaving upstream may get requests.
    upstream_drain_s: float
    lease_s: float
    usage_window_s: float
    has_duties: bool
    # None disables the rollouts of versions.
    rollout_bounds: RolloutBounds | None = None
    # Learn the capacity of model engines from passing traffic.
    learned_capacity: bool = False
    # Memory of the VM, from which the limit of callers' bytes follows.
    memory_mb: float = DEFAULT_MEMORY_MB
    # Descriptors that the process may open; None for the limit of the process.
    max_descriptors: int | None = None
