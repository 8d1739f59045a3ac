"""The state that the parts of a gateway share, each piece with one owner."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cicadapass_common.events import EventLog
from cicadapass_decisions.passthrough import Configuration
from cicadapass_decisions.ratelimit import RateLimiter
from cicadapass_decisions.retryallowance import RetryAllowance
from cicadapass_decisions.routetable import RouteTable
from cicadapass_gateway.metrics import Metrics
from cicadapass_gateway.requestqueue import RequestQueue
from cicadapass_gateway.upstreamtracker import UpstreamTracker


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Hold the platform's bound on repeated sends, for all nodes together."""

    window_s: float
    slack: float


# A draining node takes requests for this long: the platform's entry needs two missed
# checks, a second apart, before it sends new connections elsewhere.
DRAIN_ACCEPT_S = 2.8


class NodeState:
    """Hold the node's view of the configuration, the upstreams and its limits."""

    def __init__(
        self,
        node: str,
        data_centre: str,
        events: EventLog,
        retry: RetryBounds,
        limit_window_s: float,
    ) -> None:
        self.node = node
        self.data_centre = data_centre
        self.events = events
        self.metrics = Metrics()
        self.rng = random.Random()
        self.clock: Callable[[], float] = asyncio.get_running_loop().time
        self.upstreams = UpstreamTracker(data_centre)
        self.queue = RequestQueue(self.upstreams, self.clock)
        self.rate_limiter = RateLimiter(limit_window_s, self.clock())
        self.routes: RouteTable | None = None
        self.raw_configuration = b""
        self.upstreams_loaded = False
        # Nodes that are known to run, this one included.
        self.node_count = 1
        self.stopping_since_s: float | None = None
        self.demand = DemandMeter()
        self._retry = retry
        self._retry_allowances: dict[str, RetryAllowance] = {}

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return None if self.routes is None else self.routes.configuration

    @property
    def version(self) -> int:
        """Return the version in force, or -1."""
        return -1 if self.routes is None else self.routes.configuration.version

    @property
    def ready(self) -> bool:
        """Return whether the node should get new connections."""
        return self.routes is not None and self.upstreams_loaded and not self.stopping

    @property
    def stopping(self) -> bool:
        """Return whether the node is draining."""
        return self.stopping_since_s is not None

    @property
    def accepts_requests(self) -> bool:
        """Return whether a new request can be finished before the node ends."""
        if self.stopping_since_s is None:
            return True
        return self.clock() - self.stopping_since_s < DRAIN_ACCEPT_S

    def adopt(self, configuration: Configuration, raw: bytes) -> bool:
        """Put a configuration in force unless it is not newer; return whether it is."""
        if configuration.version <= self.version:
            return False
        self.routes = RouteTable(configuration)
        self.raw_configuration = raw
        return True

    def retry_allowance(self, service: str) -> RetryAllowance:
        """Return the retry allowance of a service."""
        allowance = self._retry_allowances.get(service)
        if allowance is None:
            allowance = RetryAllowance(self._retry.window_s, self._retry.slack)
            self._retry_allowances[service] = allowance
        return allowance


# Demand is averaged over about this time, which covers the bursts of callers.
DEMAND_WINDOW_S = 3.0


@dataclass(slots=True)
class DemandMeter:
    """Average the prompt tokens a second that callers ask of each service."""

    _rates: dict[str, float] = field(default_factory=dict)

    @property
    def rates(self) -> dict[str, float]:
        """Return the tokens a second by service."""
        return dict(self._rates)

    def add(self, service: str, tokens: float) -> None:
        """Count a request."""
        self._rates[service] = self._rates.get(service, 0.0) + tokens / DEMAND_WINDOW_S

    def decay(self, elapsed_s: float) -> None:
        """Let the average fade."""
        factor = max(0.0, 1.0 - elapsed_s / DEMAND_WINDOW_S)
        for service in self._rates:
            self._rates[service] *= factor
