"""Build a gateway node from its components and run it."""

import asyncio
import logging
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, fields, replace

import uvloop

from cicadapass_common.events import LOGGER_NAME, EventLog
from cicadapass_common.stamps import HybridClock
from cicadapass_decisions.passthrough import CallerLimits
from cicadapass_decisions.peerclock import PeerClock
from cicadapass_gateway.adapterapi import Adapter
from cicadapass_gateway.config import Settings
from cicadapass_gateway.duties import Duties, DutyTimes
from cicadapass_gateway.endedprocesses import EndedProcesses
from cicadapass_gateway.exceptions import SettingsError
from cicadapass_gateway.fleetplanner import FleetPlanner
from cicadapass_gateway.httpclient import MAX_BUFFERED_BYTES, ClientPool
from cicadapass_gateway.httpserver import Exchange, Handler, HttpServer, ServerState
from cicadapass_gateway.logoutput import QueuedOutput
from cicadapass_gateway.memorybudget import BudgetLimits, MemoryBudget, budget_limits
from cicadapass_gateway.migrator import Migrator
from cicadapass_gateway.nodeaddress import NodeAddress
from cicadapass_gateway.nodestate import DRAIN_ACCEPT_S, NodeState, RetryLimits
from cicadapass_gateway.peers import SEND_INTERVAL_S, PeerDependencies, Peers
from cicadapass_gateway.registrysync import RegistrySync, periodic
from cicadapass_gateway.relay import Relay
from cicadapass_gateway.shedlog import ShedLog
from cicadapass_gateway.streamversions import StreamVersions
from cicadapass_gateway.supervisor import Supervisor
from cicadapass_gateway.usage import UsageCounter
from cicadapass_gateway.versionknowledge import VersionKnowledge, VersionSources

# Signals upon which a node finishes its requests and ends.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Interval at which the time-outs of connections are checked.
TIMEOUT_CHECK_INTERVAL_S = 0.25
# While requests are queued, they are evaluated at this interval and at every change.
QUEUE_CHECK_INTERVAL_S = 0.03
# Interval at which a node that learns the speed of upstreams checks its own lateness.
LATENESS_CHECK_INTERVAL_S = 0.05
# Interval at which the averages of demand and speed are updated.
AVERAGING_INTERVAL_S = 0.5
# Interval at which the evidence on versions that are rolled out is judged.
ROLLOUT_CHECK_INTERVAL_S = 0.2
# Interval at which the settings are read again, since they may change without a signal.
SETTINGS_READ_INTERVAL_S = 5.0
# Time in which the platform's load balancer notices that the node is not ready.
READINESS_NOTICE_S = 3.2
# A draining node accepts requests for this part of a short grace period at most.
DRAIN_ACCEPT_FRACTION = 0.35
# Interval at which a stopping node looks for requests in progress.
DRAIN_CHECK_INTERVAL_S = 0.05
# End of the grace period that is reserved for an orderly exit.
SHUTDOWN_RESERVE_S = 0.6
# Limits of the readiness, control and metrics addresses together. Their requests have
# no bodies; 380 nodes fetch from a node at most one at a time.
OPERATOR_LIMITS = BudgetLimits(capacity_bytes=8_388_608, max_connections=512)
OPERATOR_MAX_BODY_BYTES = 65_536
# Limit of upstreams' incomplete responses as a part of the callers' budget; with 200 MB
# it is the limit that applies to larger VMs.
RESPONSE_FRACTION = 1.12


@dataclass(slots=True)
class Components:
    """Group the components of a running node."""

    state: NodeState
    callers: HttpServer
    ready: HttpServer
    control: HttpServer
    metrics: HttpServer
    peers: Peers
    registry_sync: RegistrySync
    duties: Duties
    supervisor: Supervisor
    pool: ClientPool
    migrator: Migrator
    version_knowledge: VersionKnowledge
    stream_versions: StreamVersions
    shed_log: ShedLog


class Node:
    """Run the components until SIGTERM or SIGINT."""

    def __init__(
        self,
        read_settings: Callable[[], Settings],
        make_adapter: Callable[[ClientPool], Adapter],
    ) -> None:
        self._read_settings = read_settings
        self._settings = self._last_settings = read_settings()
        self._make_adapter = make_adapter
        self._stop = asyncio.Event()
        self._reload_requested = False

    async def run(self) -> int:
        """Serve until a signal; return the exit code."""
        loop = asyncio.get_running_loop()
        output = QueuedOutput()
        logger = logging.getLogger(LOGGER_NAME)
        logger.setLevel(logging.INFO)
        logger.propagate = False
        logger.addHandler(output)
        events = EventLog(self._settings.node, HybridClock().stamp)
        # The loop's own handlers restore the defaults when they are removed, so that a
        # signal after that would kill a process that is about to exit.
        for signum in STOP_SIGNALS:
            signal.signal(signum, lambda *_: loop.call_soon_threadsafe(self._stop.set))
        loop.set_exception_handler(
            lambda _, context: events.emit(
                808, reason=repr(context.get("exception") or context["message"])
            )
        )
        components = self._build_components(events)
        signal.signal(signal.SIGHUP, lambda *_: self._request_reload(loop, components))
        await self._start(components)
        components.supervisor.start(
            "settings",
            periodic(
                lambda: self._reload_settings(components), SETTINGS_READ_INTERVAL_S
            ),
        )
        events.emit(800, data_centre=self._settings.data_centre, pid_started=_wall_ms())
        await self._stop.wait()
        unfinished = await drain(
            components.state, components.callers, self._settings.grace_s
        )
        events.emit(809, unfinished=unfinished)
        await components.supervisor.stop()
        for signum in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(signum, signal.SIG_IGN)
        output.stop(SHUTDOWN_RESERVE_S / 2)
        return 0

    def _build_components(self, events: EventLog) -> Components:
        settings = self._settings
        state = NodeState(
            settings.node,
            settings.data_centre,
            events,
            RetryLimits(settings.retry_window_s, settings.retry_slack),
            settings.limit_window_s,
            settings.limit_tolerance,
            settings.upstream_drain_s,
            settings.rollout_bounds,
        )
        if settings.learned_capacity:
            state.learn_capacity()
            events.emit(886)
        pool = ClientPool()
        limits = budget_limits(settings.memory_mb, settings.max_descriptors)
        response_bytes = int(limits.capacity_bytes * RESPONSE_FRACTION)
        pool.buffer.limit_bytes = min(MAX_BUFFERED_BYTES, response_bytes)
        adapter = self._make_adapter(pool)
        clock = PeerClock()

        def true_time() -> float:
            return clock.true_time(time.time(), state.clock())

        state.rollouts.set_time(true_time)
        usage = UsageCounter(settings.usage_window_s, true_time)
        local_address = NodeAddress(
            settings.node,
            settings.peers.host,
            settings.peers.port,
            _wall_ms(),
            settings.data_centre,
        )
        # The components below depend on each other; the functions are called later.
        peers = Peers(
            local_address,
            [(each.host, each.port) for each in settings.seeds],
            PeerDependencies(
                state,
                usage,
                clock,
                lambda: duties.local_renewal(),
                lambda: registry_sync,
                lambda: duties.reported_window(),
                lambda rows: stream_versions.accept(rows),
                lambda: version_knowledge.export(),
                lambda reported: version_knowledge.merge(reported),
                lambda: version_knowledge.limits.export(),
                lambda reported: version_knowledge.limits.merge(reported),
            ),
        )
        state.upstreams.subscribe_to_sends(peers.report_send)
        registry_sync = RegistrySync(state, adapter, peers, pool)
        planner = FleetPlanner(
            state, peers.total_demand, lambda: registry_sync.registry_ok
        )
        times = DutyTimes(settings.lease_s, settings.usage_window_s)
        duties = Duties(state, adapter, peers, usage, planner, times, true_time)
        migrator = Migrator(state, adapter.migrate_run)
        version_knowledge = VersionKnowledge(
            state,
            adapter.registry,
            adapter.topics,
            VersionSources(
                registry_sync.confirm_view,
                peers.last_reports,
                peers.report_age_s,
                EndedProcesses(pool).has_ended,
                peers.report_versions,
            ),
            peers.is_watcher,
        )
        registry_sync.subscribe(
            version_knowledge.observe_upstream, version_knowledge.record_gap
        )
        stream_versions = StreamVersions(
            state,
            adapter.registry,
            adapter.topics,
            version_knowledge,
            peers.pass_on_streams,
        )
        relay = Relay(
            state, adapter.header_codec, pool, usage, migrator, stream_versions
        )

        shed_log = ShedLog(events, state.metrics)
        budget = MemoryBudget(
            limits,
            shed_log.record,
            lambda: pool.buffer.held_bytes,
            lambda: pool.buffer.unsent_bytes,
        )
        operator_budget = MemoryBudget(OPERATOR_LIMITS, shed_log.record)

        def make_operator_server(handler: Handler) -> HttpServer:
            caller_limits = CallerLimits(max_body_bytes=OPERATOR_MAX_BODY_BYTES)
            return HttpServer(
                ServerState(caller_limits), handler, on_error, operator_budget
            )

        def on_error(error: Exception) -> None:
            events.emit(808, reason=repr(error))

        async def ready(exchange: Exchange) -> None:
            exchange.respond(200 if state.ready else 503, [], b"")

        async def control(exchange: Exchange) -> None:
            response = registry_sync.respond(exchange.target)
            if response is None:
                exchange.respond(404, [], b"")
            else:
                exchange.respond(200, [], response)

        async def metrics(exchange: Exchange) -> None:
            state.metrics.gauge("waiting", state.queue.waiting_count)
            state.metrics.gauge("caller_bytes", budget.used_bytes)
            state.metrics.gauge("caller_bytes_limit", budget.capacity_bytes)
            state.metrics.gauge("caller_connections", budget.connection_count)
            state.metrics.gauge("callers_without_memory", budget.waiting_count)
            kind = (b"Content-Type", b"text/plain; version=0.0.4")
            exchange.respond(200, [kind], state.metrics.render().encode())

        return Components(
            state=state,
            callers=HttpServer(
                ServerState(CallerLimits()),
                relay.handle,
                on_error,
                budget,
                relay.identify,
                relay.find_timeout,
            ),
            ready=make_operator_server(ready),
            control=make_operator_server(control),
            metrics=make_operator_server(metrics),
            peers=peers,
            registry_sync=registry_sync,
            duties=duties,
            supervisor=Supervisor(events),
            pool=pool,
            migrator=migrator,
            version_knowledge=version_knowledge,
            stream_versions=stream_versions,
            shed_log=shed_log,
        )

    async def _start(self, components: Components) -> None:
        settings, loop = self._settings, asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: components.peers,
            local_addr=(settings.peers.host, settings.peers.port),
        )
        await components.control.listen(settings.peers.host, settings.peers.port)
        await components.ready.listen(settings.readiness.host, settings.readiness.port)
        await components.callers.listen(settings.callers.host, settings.callers.port)
        await components.metrics.listen(settings.metrics.host, settings.metrics.port)
        start = components.supervisor.start
        start("configuration", components.registry_sync.follow_configuration)
        start("upstreams", components.registry_sync.follow_upstreams)
        start("peer-views", components.registry_sync.follow_peer_views)
        start("nodes", components.registry_sync.follow_nodes)
        start("peer-configurations", components.registry_sync.follow_peers)
        start("held-entries", components.registry_sync.expire_held_entries)
        start("datagrams", periodic(components.peers.send_state, SEND_INTERVAL_S))
        start("movers", components.migrator.watch)
        start("versions", components.version_knowledge.follow_record)
        start("streams", components.stream_versions.append_streams)
        start(
            "sweep",
            periodic(lambda: _enforce_timeouts(components), TIMEOUT_CHECK_INTERVAL_S),
        )
        start(
            "averages",
            periodic(lambda: update_averages(components.state), AVERAGING_INTERVAL_S),
        )
        start("waiting", lambda: components.state.queue.run(QUEUE_CHECK_INTERVAL_S))
        if settings.learned_capacity:
            upstreams = components.state.upstreams
            start(
                "lateness",
                periodic(
                    lambda: upstreams.record_check(loop.time()),
                    LATENESS_CHECK_INTERVAL_S,
                ),
            )
        if components.state.rollouts.enabled:
            start("held-versions", components.registry_sync.follow_held_versions)
            start(
                "rollouts",
                periodic(components.state.rollouts.tick, ROLLOUT_CHECK_INTERVAL_S),
            )
        if settings.has_duties:
            start("duties", components.duties.run)

    def _request_reload(
        self, loop: asyncio.AbstractEventLoop, components: Components
    ) -> None:
        """Reload the settings soon, once for all signals that come until then."""
        if not self._reload_requested:
            self._reload_requested = True
            loop.call_soon_threadsafe(self._reload_settings, components)

    def _reload_settings(self, components: Components) -> None:
        """Apply the settings that may change while the node runs."""
        self._reload_requested = False
        try:
            settings = self._read_settings()
        except SettingsError as error:
            components.state.events.emit(815, reason=str(error))
            return
        changed = [
            each.name
            for each in fields(Settings)
            if getattr(settings, each.name) != getattr(self._last_settings, each.name)
        ]
        self._last_settings = settings
        if not changed:
            return
        # Addresses are bound at the start; a changed one needs a restart.
        self._settings = replace(
            self._settings, seeds=settings.seeds, grace_s=settings.grace_s
        )
        components.peers.set_seeds([(each.host, each.port) for each in settings.seeds])
        components.state.events.emit(807, changed=changed)


async def drain(state: NodeState, callers: HttpServer, grace_s: float) -> int:
    """Wait for the requests in progress; return the number of unfinished ones.

    Requests that have not been sent by the middle of the grace period are refused, so
    that those sent have as long to end; continued ones that wait are, at the end.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + grace_s - SHUTDOWN_RESERVE_S
    close_after_s = loop.time() + min(READINESS_NOTICE_S, grace_s / 2)
    last_send_s = loop.time() + grace_s / 2
    state.drain_accept_s = min(DRAIN_ACCEPT_S, grace_s * DRAIN_ACCEPT_FRACTION)
    state.stopping_since_s = loop.time()
    callers.state.stopping = True
    state.events.emit(813, in_progress=callers.busy_count)
    while loop.time() < end_s:
        if loop.time() >= last_send_s:
            state.queue.close("stopping")
        if loop.time() >= close_after_s:
            callers.stop_listening()
            callers.close_idle()
            if not callers.channels:
                break
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
    state.queue.refuse_all("stopping")
    await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
    return callers.busy_count


def _enforce_timeouts(components: Components) -> None:
    now_s = components.state.clock()
    configuration = components.state.configuration
    if configuration is not None:
        components.callers.state.limits = configuration.limits
    for server in (
        components.callers,
        components.ready,
        components.control,
        components.metrics,
    ):
        server.enforce_timeouts(now_s)
    components.pool.close_expired(now_s)
    components.shed_log.write_lines(now_s)


def update_averages(state: NodeState) -> None:
    """Update the averages and discard what is outdated; called periodically."""
    now_s = state.clock()
    state.rate_limiter.tick(now_s, AVERAGING_INTERVAL_S)
    state.demand.decay(AVERAGING_INTERVAL_S)
    state.upstreams.decay_speeds(now_s)
    state.segment_suspicions.expire(now_s)
    if state.configuration is not None and state.upstreams.learned is not None:
        services = state.configuration.services.values()
        names = [each.name for each in services if each.model_engine]
        lowered = state.upstreams.update_capacity(names, AVERAGING_INTERVAL_S)
        state.metrics.gauge("engines_below_slots", lowered)


def _wall_ms() -> int:
    return int(time.time() * 1000)


def run_node(
    read_settings: Callable[[], Settings],
    make_adapter: Callable[[ClientPool], Adapter],
) -> int:
    """Run a node in a new event loop; return the exit code."""

    async def main() -> int:
        return await Node(read_settings, make_adapter).run()

    # Its sockets and timers take a quarter less processor time than asyncio's.
    return uvloop.run(main())
