"""The components for upstreams: clients, snapshot, request queues and grants."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pykka

from cicadapass.componentrunner import ComponentRunner
from cicadapass.config import NodeSettings
from cicadapass.configuration import upstreams_of, weights_of
from cicadapass.configview import ConfigView, CurrentConfig
from cicadapass.dispatcher import Dispatcher, DispatcherClient, SetRules
from cicadapass.engines import EngineClient
from cicadapass.grantmanager import GrantManager
from cicadapass.services import ServiceClient
from cicadapass.streamloop import StreamLoop
from cicadapass.supervisor import ComponentRef, Supervisor
from cicadapass.timers import TimerService
from cicadapass.upstreamhttp import Timeouts, new_pool
from cicadapass.upstreamreaders import http_readers
from cicadapass.upstreams import Upstreams
from cicadapass.upstreamtable import (
    MarkDataCentreLeaving,
    MarkLeaving,
    SetUpstreams,
    UpstreamTable,
)
from cicadapass_common.events import EventLog
from cicadapass_decisions.policy import PrefixRules
from cicadapass_decisions.types import VmId

UPSTREAM_CONNECTIONS = 256
# Short, so that a hanging upstream is soon counted as failing.
REPORT_TIMEOUTS = Timeouts(connect_s=0.5, read_s=1.0)


@dataclass(frozen=True, slots=True)
class UpstreamDependencies:
    """Bundle the collaborators of `UpstreamComponents`."""

    settings: NodeSettings
    supervisor: pykka.ActorRef[Supervisor]
    events: EventLog
    timers: TimerService
    current_config: CurrentConfig
    on_reported_leaving: Callable[[VmId], object]
    rng: random.Random


class UpstreamComponents:
    """Own the clients of upstreams, their tracking and the grants."""

    def __init__(self, dependencies: UpstreamDependencies) -> None:
        self._dependencies = dependencies
        self._table = UpstreamTable()
        self._upstreams = ComponentRef("upstreams")
        self._dispatcher = ComponentRef("dispatcher")
        timeouts = Timeouts(read_s=dependencies.settings.upstream_read_timeout_s)
        self._report_client = EngineClient(new_pool(1), REPORT_TIMEOUTS)
        self.stream_loop = StreamLoop()
        self.grant_manager = GrantManager(
            dependencies.rng, on_measured=self._upstreams.tell
        )
        self.dispatcher_client = DispatcherClient(
            self.grant_manager, dependencies.events
        )
        self.engine_client = EngineClient(
            new_pool(UPSTREAM_CONNECTIONS), timeouts, self.stream_loop
        )
        self.service_client = ServiceClient(new_pool(UPSTREAM_CONNECTIONS), timeouts)

    @property
    def table(self) -> UpstreamTable:
        """Return the latest published snapshot of the upstreams."""
        return self._table

    def start(self, runner: ComponentRunner) -> None:
        """Start the stream loop and the supervised actors."""
        self.stream_loop.start()
        runner.supervise(self._upstreams, self._start_upstreams)
        runner.supervise(self._dispatcher, self._start_dispatcher)

    def stop(self) -> None:
        """Stop the stream loop; the supervisor stops the actors."""
        self.stream_loop.stop()

    def url_of(self, upstream: str) -> str | None:
        """Return the base URL of an upstream, or None if it is not listed."""
        config = self._table.configs.get(upstream)
        return None if config is None else config.url

    def load_ratio(self) -> float:
        """Return this node's requests in flight divided by all upstreams' limits."""
        counts = self.grant_manager.in_flight().values()
        used = sum(count.short + count.long for count in counts)
        tables = self._table.services.values()
        limit = sum(c.limit for table in tables for c in table.candidates)
        return used / limit if limit else 0.0

    def on_config(self, view: ConfigView) -> None:
        """Apply the upstreams and rules of a new inventory."""
        self._upstreams.tell(self._set_upstreams_message(view))
        rules = SetRules(view.inventory.rules.policy, weights_of(view.inventory))
        self._dispatcher.tell(rules)

    def on_leaving(self, vms: tuple[VmId, ...]) -> None:
        """Mark the upstreams on leaving VMs, so that they get no new work."""
        for vm in vms:
            self._upstreams.tell(MarkLeaving(vm.name, vm.incarnation, "members"))

    def on_data_centre_leaving(self, data_centre: str) -> None:
        """Mark the upstreams of a reclaimed data centre as leaving."""
        self._upstreams.tell(MarkDataCentreLeaving(data_centre, "notice"))

    def send_to_upstreams(self, message: object) -> None:
        """Send a message to the `Upstreams` actor; it is dropped during a restart."""
        self._upstreams.tell(message)

    def _start_upstreams(self) -> pykka.ActorRef[Any]:
        dependencies = self._dependencies
        return Upstreams.start(
            dependencies.supervisor,
            dependencies.events,
            dependencies.timers,
            http_readers(self._report_client, PrefixRules()),
            self._on_table,
            self._current_message,
            dependencies.on_reported_leaving,
        )

    def _start_dispatcher(self) -> pykka.ActorRef[Any]:
        dependencies = self._dependencies
        return Dispatcher.start(
            dependencies.supervisor, dependencies.timers, self.grant_manager
        )

    def _on_table(self, table: UpstreamTable) -> None:
        self._table = table
        self._dispatcher.tell(table)

    def _current_message(self) -> SetUpstreams | None:
        view = self._dependencies.current_config.view
        return None if view is None else self._set_upstreams_message(view)

    def _set_upstreams_message(self, view: ConfigView) -> SetUpstreams:
        settings = self._dependencies.settings
        return upstreams_of(view.inventory, settings.fleet, settings.data_centre)
