"""State that the components of a gateway share; each item has one owner."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from cicadapass_common.events import EventLog
from cicadapass_decisions.learnedcapacity import LearnedCapacity
from cicadapass_decisions.passthrough import Configuration, UpstreamRecord
from cicadapass_decisions.ratelimit import LimitTolerance, RateLimiter
from cicadapass_decisions.retryallowance import RetryAllowance
from cicadapass_decisions.rollouts import RolloutBounds
from cicadapass_decisions.routetable import RouteTable
from cicadapass_decisions.segmentsuspicions import SegmentSuspicions
from cicadapass_gateway.metrics import Metrics
from cicadapass_gateway.requestqueue import RequestQueue
from cicadapass_gateway.rollouttracker import RolloutTracker
from cicadapass_gateway.upstreamtracker import UpstreamTracker


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Store the platform's limit on the retries of all nodes together."""

    window_s: float
    slack: float


# A draining node accepts requests for this long: the platform's load balancer needs two
# failed checks, a second apart, before it sends new connections to other nodes.
DRAIN_ACCEPT_S = 2.8


class NodeState:
    """Store the node's view of the configuration, the upstreams and the limits."""

    def __init__(
        self,
        node: str,
        data_centre: str,
        events: EventLog,
        retry: RetryLimits,
        limit_window_s: float,
        limit_tolerance: LimitTolerance,
        upstream_drain_s: float,
        rollout_bounds: RolloutBounds | None = None,
    ) -> None:
        self.node = node
        self.data_centre = data_centre
        self.events = events
        self.metrics = Metrics()
        self.rng = random.Random()
        self.clock: Callable[[], float] = asyncio.get_running_loop().time
        self.rollouts = RolloutTracker(
            node, rollout_bounds, events, self.metrics, self.clock
        )
        self.upstreams = UpstreamTracker(
            node,
            data_centre,
            upstream_drain_s,
            self.rollouts if self.rollouts.enabled else None,
        )
        self.queue = RequestQueue(self.upstreams, self.clock)
        self.rollouts.subscribe(self._apply_rollouts)
        self.segment_suspicions = SegmentSuspicions()
        self.rate_limiter = RateLimiter(
            limit_window_s, self.clock(), limit_tolerance, self.rng
        )
        self.routes: RouteTable | None = None
        self.raw_configuration = b""
        self.upstreams_loaded = False
        # Known running nodes, including this one.
        self.node_count = 1
        self.stopping_since_s: float | None = None
        # How long a draining node accepts requests.
        self.drain_accept_s = DRAIN_ACCEPT_S
        self.demand = DemandMeter()
        self._retry = retry
        self._retry_allowances: dict[str, RetryAllowance] = {}
        self._limit_listeners: list[Callable[[], None]] = []
        self._leaving_listeners: list[Callable[[UpstreamRecord], None]] = []
        self._configuration_listeners: list[Callable[[Configuration], None]] = []

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, or None before the first one."""
        return None if self.routes is None else self.routes.configuration

    @property
    def version(self) -> int:
        """Return the version in force, or -1."""
        return -1 if self.routes is None else self.routes.configuration.version

    @property
    def ready(self) -> bool:
        """Return whether the node should receive new connections."""
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
        return self.clock() - self.stopping_since_s < self.drain_accept_s

    def adopt(self, configuration: Configuration, raw: bytes) -> bool:
        """Apply a configuration if it is newer; return whether it is."""
        if configuration.version <= self.version:
            return False
        self.routes = RouteTable(configuration)
        self.raw_configuration = raw
        for listener in self._configuration_listeners:
            listener(configuration)
        return True

    def subscribe_to_configurations(
        self, listener: Callable[[Configuration], None]
    ) -> None:
        """Call `listener` with each configuration from the time it is in force."""
        self._configuration_listeners.append(listener)

    def learn_capacity(self) -> None:
        """Learn the capacity of model engines from now on."""
        self.upstreams.learned = LearnedCapacity()
        self.upstreams.refresh()

    def merge_capacity(self, rows: Sequence[Any], peer: str) -> None:
        """Apply a peer's totals; one log line says that they are malformed."""
        learned = self.upstreams.learned
        if learned is None:
            return
        try:
            learned.merge(peer, rows, self.clock())
        except (TypeError, ValueError, OverflowError) as error:
            self.metrics.count("capacity_reports_malformed")
            self.events.emit(885, peer=peer, reason=repr(error))

    def forget_capacity(self, peer: str) -> None:
        """Remove the totals of a peer that has ended."""
        if self.upstreams.learned is not None:
            self.upstreams.learned.forget_peer(peer)

    def subscribe_to_limits(self, listener: Callable[[], None]) -> None:
        """Call `listener` when this node hears a change of an upstream's limit."""
        self._limit_listeners.append(listener)

    def record_upstream_limit(
        self, start_key: str, rate_per_s: float | None, sent_s: float, now_s: float
    ) -> None:
        """Record the limit that an answer names, and report a change to peers."""
        limits = self.upstreams.limits
        if limits.record_answer(start_key, rate_per_s, sent_s, now_s):
            self._log_limit(start_key, rate_per_s, None)
            for listener in self._limit_listeners:
                listener()

    def merge_upstream_limits(self, rows: Sequence[Any], peer: str) -> None:
        """Apply the limits that a peer heard; raise ValueError or TypeError."""
        for start_key, rate in self.upstreams.limits.merge(rows, self.clock()):
            self._log_limit(start_key, rate, peer)

    def subscribe_to_leaving(self, listener: Callable[[UpstreamRecord], None]) -> None:
        """Call `listener` when an answer first shows that an upstream is leaving."""
        self._leaving_listeners.append(listener)

    def mark_leaving(self, record: UpstreamRecord, reason: str) -> None:
        """Give a start of an upstream no further requests, as its answer shows."""
        now_s = self.clock()
        marked = self.upstreams.view.mark_leaving(
            record.upstream_id, record.started_ms, now_s
        )
        if not marked:
            return
        self.upstreams.refresh()
        self.metrics.count("upstreams_leaving", reason)
        self.events.emit(836, upstream=record.start_key, reason=reason)
        for listener in self._leaving_listeners:
            listener(record)

    def record_pause(self, record: UpstreamRecord, pause_s: float) -> None:
        """Send an upstream no requests for the seconds that its refusal names."""
        if self.upstreams.pauses.record(record.start_key, pause_s, self.clock()):
            self.metrics.count("upstream_pauses")
            self.events.emit(854, upstream=record.start_key, pause_s=pause_s)

    def _apply_rollouts(self) -> None:
        """Use the engines that the rollouts allow, for queued requests as well."""
        self.upstreams.refresh()
        self.queue.dispatch()

    def _log_limit(
        self, start_key: str, limit_per_s: float | None, peer: str | None
    ) -> None:
        self.metrics.count("upstream_limits")
        self.events.emit(852, upstream=start_key, limit_per_s=limit_per_s, peer=peer)

    def retry_allowance(self, service: str) -> RetryAllowance:
        """Return the retry allowance of a service, created on its first use."""
        allowance = self._retry_allowances.get(service)
        if allowance is None:
            allowance = RetryAllowance(self._retry.window_s, self._retry.slack)
            self._retry_allowances[service] = allowance
        return allowance


# Averaging time of the demand, long enough to smooth the bursts of callers.
DEMAND_WINDOW_S = 3.0


@dataclass(slots=True)
class DemandMeter:
    """Average the uncached prompt tokens per second that callers send, by service."""

    _rates: dict[str, float] = field(default_factory=dict)

    @property
    def rates(self) -> dict[str, float]:
        """Return the tokens per second by service."""
        return dict(self._rates)

    def add(self, service: str, tokens: float) -> None:
        """Add the uncached prompt tokens of a request."""
        self._rates[service] = self._rates.get(service, 0.0) + tokens / DEMAND_WINDOW_S

    def decay(self, elapsed_s: float) -> None:
        """Decay the averages by the time since the last call."""
        factor = max(0.0, 1.0 - elapsed_s / DEMAND_WINDOW_S)
        for service in self._rates:
            self._rates[service] *= factor
