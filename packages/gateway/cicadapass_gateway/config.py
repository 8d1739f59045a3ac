"""Settings of a gateway node."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """Hold a host and port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Settings:
    """Hold what a node learns of its place before it runs."""

    node: str
    data_centre: str
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    seeds: tuple[Address, ...]
    # Time from SIGTERM until the platform ends the process.
    grace_s: float
    retry_window_s: float
    # Repeats that all nodes together may make beyond the ratio, in one window.
    retry_slack: float
    # Length of the windows that workspaces' rate limits are judged by.
    limit_window_s: float
    lease_s: float
    usage_window_s: float
    has_duties: bool
