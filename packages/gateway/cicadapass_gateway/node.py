"""Build a gateway node from its parts and run it."""

import asyncio
import logging
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, fields, replace

from cicadapass_common.events import LOGGER_NAME, EventLog
from cicadapass_common.stamps import StampClock
from cicadapass_decisions.passthrough import CallerLimits
from cicadapass_decisions.peerclock import PeerClock
from cicadapass_gateway.config import Settings
from cicadapass_gateway.dialect import Adapter
from cicadapass_gateway.duties import Duties, DutyTimes
from cicadapass_gateway.exceptions import SettingsError
from cicadapass_gateway.fleetplanner import FleetPlanner
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_gateway.httpserver import Exchange, HttpServer, ServerState
from cicadapass_gateway.logoutput import QueuedOutput
from cicadapass_gateway.movers import Movers
from cicadapass_gateway.nodestate import NodeState, RetryBounds
from cicadapass_gateway.peers import INTERVAL_S, NodeAddress, PeerParts, Peers
from cicadapass_gateway.registrysync import RegistrySync, repeated
from cicadapass_gateway.relay import Relay
from cicadapass_gateway.supervisor import Supervisor
from cicadapass_gateway.usage import UsageCounter

# Interval of the time limits of connections, in seconds.
SWEEP_S = 0.25
# Waiting requests are looked at this often, besides at every change, in seconds.
PUMP_S = 0.03
# Interval of the averages of demand and speed, in seconds.
AVERAGE_S = 0.5
# The settings file is read again this often, since it may change without a signal.
SETTINGS_S = 5.0
# After this long, the platform's entry has noticed that the node is not ready.
NOTICED_S = 3.2
# Left of the grace period to end the process in order.
LAST_S = 0.6


@dataclass(slots=True)
class Parts:
    """Hold the parts of a running node."""

    state: NodeState
    callers: HttpServer
    ready: HttpServer
    control: HttpServer
    metrics: HttpServer
    peers: Peers
    sync: RegistrySync
    duties: Duties
    supervisor: Supervisor
    pool: ClientPool
    movers: Movers


class Node:
    """Run the parts until a signal ends them."""

    def __init__(
        self,
        read_settings: Callable[[], Settings],
        make_adapter: Callable[[ClientPool], Adapter],
    ) -> None:
        self._read_settings = read_settings
        self._settings = self._last_read = read_settings()
        self._make_adapter = make_adapter
        self._stop = asyncio.Event()
        self._failed = False

    async def run(self) -> int:
        """Serve until SIGTERM; return the exit code."""
        loop = asyncio.get_running_loop()
        output = QueuedOutput()
        logger = logging.getLogger(LOGGER_NAME)
        logger.setLevel(logging.INFO)
        logger.propagate = False
        logger.addHandler(output)
        events = EventLog(self._settings.node, StampClock().stamp)
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._stop.set)
        loop.set_exception_handler(
            lambda _, context: events.emit(
                808, reason=repr(context.get("exception") or context["message"])
            )
        )
        parts = self._build(events)
        loop.add_signal_handler(signal.SIGHUP, lambda: self._reread(parts))
        await self._start(parts)
        parts.supervisor.start(
            "settings", repeated(lambda: self._reread(parts), SETTINGS_S)
        )
        events.emit(800, data_centre=self._settings.data_centre, pid_started=_wall_ms())
        await self._stop.wait()
        unfinished = await self._drain(parts)
        events.emit(809, unfinished=unfinished)
        await parts.supervisor.stop()
        output.stop(LAST_S / 2)
        return 1 if self._failed else 0

    def _build(self, events: EventLog) -> Parts:
        settings = self._settings
        state = NodeState(
            settings.node,
            settings.data_centre,
            events,
            RetryBounds(settings.retry_window_s, settings.retry_slack),
            settings.limit_window_s,
        )
        pool = ClientPool()
        adapter = self._make_adapter(pool)
        clock = PeerClock()

        def true_time() -> float:
            return clock.true_time(time.time(), state.clock())

        usage = UsageCounter(settings.usage_window_s, true_time)
        own = NodeAddress(
            settings.node,
            settings.peers.host,
            settings.peers.port,
            _wall_ms(),
            settings.data_centre,
        )
        # The parts below need each other; these functions are called only later.
        peers = Peers(
            own,
            [(each.host, each.port) for each in settings.seeds],
            PeerParts(
                state,
                usage,
                clock,
                lambda: duties.own_renewal(),
                lambda: sync,
            ),
        )
        state.book.subscribe_to_sends(peers.tell_sent)
        sync = RegistrySync(state, adapter, peers, pool)
        planner = FleetPlanner(state, peers.total_demand, lambda: sync.registry_ok)
        times = DutyTimes(settings.lease_s, settings.usage_window_s)
        duties = Duties(state, adapter, peers, usage, planner, times, true_time)
        movers = Movers(state, adapter.move_run)
        relay = Relay(state, adapter.dialect, pool, usage, movers)

        def server(handler: Callable[[Exchange], object]) -> HttpServer:
            limits = ServerState(CallerLimits())
            return HttpServer(limits, handler, on_fault)  # type: ignore[arg-type]

        def on_fault(error: Exception) -> None:
            events.emit(808, reason=repr(error))

        async def ready(exchange: Exchange) -> None:
            exchange.respond(200 if state.ready else 503, [], b"")

        async def control(exchange: Exchange) -> None:
            if exchange.target != b"/v1/state":
                exchange.respond(404, [], b"")
                return
            exchange.respond(200, [], sync.encode_state())

        async def metrics(exchange: Exchange) -> None:
            state.metrics.gauge("waiting", state.room.waiting_count)
            kind = (b"Content-Type", b"text/plain; version=0.0.4")
            exchange.respond(200, [kind], state.metrics.render().encode())

        return Parts(
            state=state,
            callers=server(relay.handle),
            ready=server(ready),
            control=server(control),
            metrics=server(metrics),
            peers=peers,
            sync=sync,
            duties=duties,
            supervisor=Supervisor(events, self._give_up),
            pool=pool,
            movers=movers,
        )

    async def _start(self, parts: Parts) -> None:
        settings, loop = self._settings, asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: parts.peers,
            local_addr=(settings.peers.host, settings.peers.port),
        )
        await parts.control.listen(settings.peers.host, settings.peers.port)
        await parts.ready.listen(settings.readiness.host, settings.readiness.port)
        await parts.callers.listen(settings.callers.host, settings.callers.port)
        await parts.metrics.listen(settings.metrics.host, settings.metrics.port)
        start = parts.supervisor.start
        start("configuration", parts.sync.follow_configuration)
        start("upstreams", parts.sync.follow_upstreams)
        start("nodes", parts.sync.follow_nodes)
        start("peer-fallback", parts.sync.follow_peers)
        start("datagrams", repeated(parts.peers.send_state, INTERVAL_S))
        start("movers", parts.movers.watch)
        start("sweep", repeated(lambda: _sweep(parts), SWEEP_S))
        start("averages", repeated(lambda: _average(parts.state), AVERAGE_S))
        start("waiting", repeated(parts.state.room.pump, PUMP_S))
        if settings.has_duties:
            start("duties", parts.duties.run)

    async def _drain(self, parts: Parts) -> int:
        """Finish what is in progress; return what was left at the end."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + self._settings.grace_s - LAST_S
        noticed_s = loop.time() + NOTICED_S
        parts.state.stopping_since_s = loop.time()
        parts.callers.state.stopping = True
        parts.state.events.emit(813, in_progress=parts.callers.busy_count)
        while loop.time() < ends_s:
            if loop.time() >= noticed_s:
                parts.callers.stop_listening()
                parts.callers.close_idle()
                if not parts.callers.channels:
                    break
            await asyncio.sleep(0.05)
        return parts.callers.busy_count

    def _reread(self, parts: Parts) -> None:
        """Take over what may change in the settings while the node runs."""
        try:
            found = self._read_settings()
        except SettingsError as error:
            parts.state.events.emit(815, reason=str(error))
            return
        changed = [
            each.name
            for each in fields(Settings)
            if getattr(found, each.name) != getattr(self._last_read, each.name)
        ]
        self._last_read = found
        if not changed:
            return
        # Addresses are bound at the start; a new one needs a restart.
        self._settings = replace(
            self._settings, seeds=found.seeds, grace_s=found.grace_s
        )
        parts.peers.set_seeds([(each.host, each.port) for each in found.seeds])
        parts.state.events.emit(807, changed=changed)

    def _give_up(self) -> None:
        self._failed = True
        self._stop.set()


def _sweep(parts: Parts) -> None:
    now_s = parts.state.clock()
    configuration = parts.state.configuration
    if configuration is not None:
        parts.callers.state.limits = configuration.limits
    for server in (parts.callers, parts.ready, parts.control, parts.metrics):
        server.sweep(now_s)
    parts.pool.sweep(now_s)


def _average(state: NodeState) -> None:
    now_s = state.clock()
    state.limits.tick(now_s, AVERAGE_S)
    state.demand.tick(AVERAGE_S)
    state.book.fade(now_s)


def _wall_ms() -> int:
    return int(time.time() * 1000)


def run_node(
    read_settings: Callable[[], Settings],
    make_adapter: Callable[[ClientPool], Adapter],
) -> int:
    """Run a node in a new event loop."""

    async def main() -> int:
        return await Node(read_settings, make_adapter).run()

    return asyncio.run(main())
