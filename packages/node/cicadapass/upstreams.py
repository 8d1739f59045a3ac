"""The actor that tracks the state of upstreams and publishes snapshots of it."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import pykka

from cicadapass.supervisor import Component, Supervisor
from cicadapass.timers import Subscription, TimerService
from cicadapass.upstreamtable import (
    AttemptMeasured,
    CacheReading,
    GetTable,
    HealthChange,
    LoadReading,
    MarkDataCentreLeaving,
    MarkLeaving,
    PanicChange,
    PeerCounts,
    SetUpstreams,
    UpstreamConfig,
    UpstreamReaders,
    UpstreamTable,
)
from cicadapass.upstreamtracker import UpstreamTracker
from cicadapass_common.events import EventLog
from cicadapass_decisions.policy import Policy
from cicadapass_decisions.slowness import Timing
from cicadapass_decisions.types import VmId

# Each upstream is read by at most one thread, so hanging upstreams delay the reads of
# others only if there are more of them than threads.
MAX_READ_THREADS = 64
# Longest delay of a change before it is published; leaving marks are not delayed.
PUBLISH_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class _Tick:
    pass


@dataclass(frozen=True, slots=True)
class _LoadRead:
    config: UpstreamConfig
    reading: LoadReading | None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class _CacheRead:
    config: UpstreamConfig
    reading: CacheReading


@dataclass(frozen=True, slots=True)
class _ReadDone:
    name: str


@dataclass(frozen=True, slots=True)
class _ProbeDone:
    config: UpstreamConfig
    timing: Timing | None


class Upstreams(Component):
    """Read load reports, evaluate health and publish snapshots of the upstreams."""

    def __init__(
        self,
        supervisor: pykka.ActorRef[Supervisor],
        events: EventLog,
        timers: TimerService,
        readers: UpstreamReaders,
        publish: Callable[[UpstreamTable], object],
        current_config: Callable[[], SetUpstreams | None] = lambda: None,
        on_reported_leaving: Callable[[VmId], object] = lambda vm: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(supervisor, "upstreams")
        self._events = events
        self._timers = timers
        self._readers = readers
        self._publish = publish
        self._current_config = current_config
        self._on_reported_leaving = on_reported_leaving
        self._clock = clock
        self._policy = Policy()
        self._tracker = UpstreamTracker(self._policy)
        self._reads_in_progress: set[str] = set()
        self._probes_in_progress: set[str] = set()
        self._last_read_s = float("-inf")
        self._changed = False
        self._pool = ThreadPoolExecutor(MAX_READ_THREADS, "upstream-read")
        self._subscription: Subscription | None = None

    def on_start(self) -> None:
        """Apply the current configuration, also after a restart, and start to tick."""
        config = self._current_config()
        if config is not None:
            self._configure(config)
        self._subscription = self._timers.subscribe(
            lambda: self.actor_ref.tell(_Tick()), PUBLISH_INTERVAL_S
        )

    def on_stop(self) -> None:
        """Stop reading; a read that hangs ends at its own timeout."""
        self._close()

    def on_receive(self, message: object) -> object:
        """Apply results of reads and probes, measurements, marks and rules."""
        match message:
            case _Tick():
                self._tick(self._clock())
            case _LoadRead() | _CacheRead() | _ReadDone() | _ProbeDone():
                self._on_read_result(message, self._clock())
            case (
                AttemptMeasured()
                | PeerCounts()
                | MarkLeaving()
                | MarkDataCentreLeaving()
            ):
                self._on_update(message, self._clock())
            case SetUpstreams():
                self._configure(message)
            case GetTable():
                return self._tracker.table(self._clock(), self._flag_probes)
        return None

    def _on_read_result(self, message: object, now_s: float) -> None:
        self._changed = True
        match message:
            case _LoadRead(config, reading, reason):
                self._on_load(config, reading, reason, now_s)
            case _CacheRead(config, reading):
                self._on_cache(config, reading)
            case _ReadDone(name):
                self._reads_in_progress.discard(name)
            case _ProbeDone(config, timing):
                self._probes_in_progress.discard(config.name)
                self._tracker.on_probe(config.name, timing, now_s)

    def _on_update(self, message: object, now_s: float) -> None:
        self._changed = True
        match message:
            case AttemptMeasured(upstream, outcome):
                self._tracker.on_outcome(upstream, outcome, now_s)
            case PeerCounts(node, counts):
                self._tracker.on_peer_counts(node, counts, now_s)
            case MarkLeaving(upstream, incarnation, source):
                if self._tracker.mark_leaving(upstream, incarnation):
                    self._on_leaving(upstream, incarnation, source)

            case MarkDataCentreLeaving(data_centre, source):
                for upstream, incarnation in self._tracker.mark_data_centre_leaving(
                    data_centre
                ):
                    self._on_leaving(upstream, incarnation, source)

    @property
    def _flag_probes(self) -> bool:
        # Without a probe function, callers' repeatable requests serve as probes.
        return self._readers.probe is None

    def _configure(self, message: SetUpstreams) -> None:
        self._policy = message.policy
        self._tracker.configure(message.configs, message.policy)
        # Read new upstreams at the next tick.
        self._last_read_s = float("-inf")
        self._publish_now()

    def _tick(self, now_s: float) -> None:
        if now_s - self._last_read_s >= self._policy.routing.report_interval_s:
            self._last_read_s = now_s
            self._read_all()
        if self._readers.probe is not None:
            self._probe_all(now_s)
        for change in self._tracker.update_health():
            self._changed = True
            self._report(change)
        if self._changed:
            self._publish_now()

    def _publish_now(self) -> None:
        self._changed = False
        self._publish(self._tracker.table(self._clock(), self._flag_probes))

    def _read_all(self) -> None:
        for config in self._tracker.configs:
            # A hanging upstream must not take another thread at each interval.
            if config.name not in self._reads_in_progress:
                self._reads_in_progress.add(config.name)
                sequence = self._tracker.cache_sequence(config.name)
                self._pool.submit(self._read, config, sequence)

    def _probe_all(self, now_s: float) -> None:
        for config in self._tracker.probes_due(now_s):
            if config.name not in self._probes_in_progress:
                self._probes_in_progress.add(config.name)
                self._pool.submit(self._probe, config)

    # The following methods run in pool threads and must not access the actor's state.

    def _read(self, config: UpstreamConfig, sequence: int | None) -> None:
        self._read_load(config)
        if self._readers.read_cache is not None and not config.plain:
            self._read_cache(config, sequence)
        self._send(_ReadDone(config.name))

    def _read_load(self, config: UpstreamConfig) -> None:
        try:
            reading = self._readers.read_load(config)
        except Exception as error:
            self._send(_LoadRead(config, None, repr(error)))
            return
        self._send(_LoadRead(config, reading))

    def _read_cache(self, config: UpstreamConfig, sequence: int | None) -> None:
        if self._readers.read_cache is None:
            return
        try:
            reading = self._readers.read_cache(config, sequence)
        except Exception:
            # The next read requests the same events again.
            return
        self._send(_CacheRead(config, reading))

    def _probe(self, config: UpstreamConfig) -> None:
        if self._readers.probe is None:
            return
        try:
            timing = self._readers.probe(config)
        except Exception:
            self._send(_ProbeDone(config, None))
            return
        self._send(_ProbeDone(config, timing))

    def _send(self, message: object) -> None:
        try:
            self.actor_ref.tell(message)
        except pykka.ActorDeadError:
            # The actor stopped during the read.
            return

    def _on_load(
        self,
        config: UpstreamConfig,
        reading: LoadReading | None,
        reason: str,
        now_s: float,
    ) -> None:
        if reading is None:
            if self._tracker.on_report_failed(config.name):
                self._events.emit(504, upstream=config.name, reason=reason)
        elif self._tracker.on_report(config.name, reading, now_s):
            self._on_leaving(config.name, reading.incarnation, "report")
            self._on_reported_leaving(VmId(config.name, reading.incarnation))

    def _on_cache(self, config: UpstreamConfig, reading: CacheReading) -> None:
        if reading.resync is not None:
            self._tracker.set_hints(config.name, reading.resync)
        elif reading.events and self._tracker.on_cache_events(
            config.name, reading.events
        ):
            self._events.emit(505, upstream=config.name)

    def _on_leaving(self, upstream: str, incarnation: str, source: str) -> None:
        self._events.emit(
            501, upstream=upstream, incarnation=incarnation, source=source
        )
        self._publish_now()

    def _report(self, change: HealthChange | PanicChange) -> None:
        if isinstance(change, PanicChange):
            self._report_panic(change)
            return
        self._events.emit(
            500,
            upstream=change.upstream,
            health=str(change.health),
            first_token_s=change.speed_tracker.first_token_s,
            inter_token_s=change.speed_tracker.inter_token_s,
            failures=change.speed_tracker.failures,
        )

    def _report_panic(self, change: PanicChange) -> None:
        if change.panic:
            self._events.emit(502, service=change.service)
        else:
            self._events.emit(503, service=change.service)

    def _close(self) -> None:
        if self._subscription is not None:
            self._subscription.cancel()
        self._pool.shutdown(wait=False, cancel_futures=True)
