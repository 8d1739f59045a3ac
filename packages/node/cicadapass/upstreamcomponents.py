"""The node's side towards upstreams: clients, table, queue and grants."""

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
# Reports must not wait long for an upstream that hangs.
REPORT_TIMEOUTS = Timeouts(connect_s=0.5, read_s=1.0)


@dataclass(frozen=True, slots=True)
class UpstreamDependencies:
    """Hold what this side needs of the rest of the node."""

    settings: NodeSettings
    supervisor: pykka.ActorRef[Supervisor]
    events: EventLog
    timers: TimerService
    current_config: CurrentConfig
    on_reported_leaving: Callable[[VmId], object]
    rng: random.Random


class UpstreamComponents:
    """Own what the node knows of upstreams and how it calls them."""

    def __init__(self, dependencies: UpstreamDependencies) -> None:
        self._dependencies = dependencies
        self._table = UpstreamTable()
        self._upstreams = ComponentRef("upstreams")
        self._dispatcher = ComponentRef("dispatcher")
        timeouts = Timeouts(read_s=dependencies.settings.upstream_read_timeout_s)
        self._report_client = EngineClient(new_pool(1), REPORT_TIMEOUTS)
        self.streams = StreamLoop()
        self.grant_manager = GrantManager(
            dependencies.rng, on_measured=self._upstreams.tell
        )
        self.dispatcher_client = DispatcherClient(
            self.grant_manager, dependencies.events
        )
        self.engines = EngineClient(
            new_pool(UPSTREAM_CONNECTIONS), timeouts, self.streams
        )
        self.services = ServiceClient(new_pool(UPSTREAM_CONNECTIONS), timeouts)

    @property
    def table(self) -> UpstreamTable:
        """Return the latest snapshot of the upstreams."""
        return self._table

    def start(self, runner: ComponentRunner) -> None:
        """Start the stream loop and the parts."""
        self.streams.start()
        runner.supervise(self._upstreams, self._start_upstreams)
        runner.supervise(self._dispatcher, self._start_dispatcher)

    def stop(self) -> None:
        """Stop the stream loop."""
        self.streams.stop()

    def url_of(self, upstream: str) -> str | None:
        """Return the address of an upstream that the inventory lists."""
        config = self._table.configs.get(upstream)
        return None if config is None else config.url

    def load_ratio(self) -> float:
        """Return the share of the upstreams' limits that this node uses."""
        counts = self.grant_manager.in_flight().values()
        used = sum(count.short + count.long for count in counts)
        tables = self._table.services.values()
        limit = sum(c.limit for table in tables for c in table.candidates)
        return used / limit if limit else 0.0

    def on_config(self, view: ConfigView) -> None:
        """Adopt a new inventory."""
        self._upstreams.tell(self._set_upstreams_message(view))
        rules = SetRules(view.inventory.rules.policy, weights_of(view.inventory))
        self._dispatcher.tell(rules)

    def on_leaving(self, vms: tuple[VmId, ...]) -> None:
        """Give no new work to upstreams whose VMs leave."""
        for vm in vms:
            self._upstreams.tell(MarkLeaving(vm.name, vm.incarnation, "members"))

    def on_data_centre_leaving(self, data_centre: str) -> None:
        """Give no new work to the upstreams of a data centre that is reclaimed."""
        self._upstreams.tell(MarkDataCentreLeaving(data_centre, "notice"))

    def send_to_upstreams(self, message: object) -> None:
        """Pass a message to the owner of the upstream table."""
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
