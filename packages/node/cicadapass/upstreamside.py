"""The node's side towards upstreams: clients, table, queue and grants."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pykka

from cicadapass.config import NodeSettings
from cicadapass.configuration import upstreams_of, weights_of
from cicadapass.configview import ConfigView, CurrentConfig
from cicadapass.dispatcher import Dispatcher, DispatcherClient, SetRules
from cicadapass.engines import EngineClient
from cicadapass.grantmanager import GrantManager
from cicadapass.parts import Parts
from cicadapass.services import ServiceClient
from cicadapass.streamloop import StreamLoop
from cicadapass.supervisor import PartRef, Supervisor
from cicadapass.timers import TimerService
from cicadapass.upstreamhttp import Timeouts, new_pool
from cicadapass.upstreamreaders import http_readers
from cicadapass.upstreams import Upstreams
from cicadapass.upstreamtable import (
    MarkLeaving,
    MarkPlaceLeaving,
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
class UpstreamParts:
    """Hold what this side needs of the rest of the node."""

    settings: NodeSettings
    supervisor: pykka.ActorRef[Supervisor]
    events: EventLog
    timers: TimerService
    holder: CurrentConfig
    on_reported_leaving: Callable[[VmId], object]
    rng: random.Random


class UpstreamSide:
    """Own what the node knows of upstreams and how it calls them."""

    def __init__(self, parts: UpstreamParts) -> None:
        self._parts = parts
        self._table = UpstreamTable()
        self._upstreams = PartRef("upstreams")
        self._dispatcher = PartRef("dispatcher")
        timeouts = Timeouts(read_s=parts.settings.upstream_read_timeout_s)
        self._reports = EngineClient(new_pool(1), REPORT_TIMEOUTS)
        self.streams = StreamLoop()
        self.granting = GrantManager(parts.rng, on_measured=self._upstreams.tell)
        self.dispatch = DispatcherClient(self.granting, parts.events)
        self.engines = EngineClient(
            new_pool(UPSTREAM_CONNECTIONS), timeouts, self.streams
        )
        self.services = ServiceClient(new_pool(UPSTREAM_CONNECTIONS), timeouts)

    @property
    def table(self) -> UpstreamTable:
        """Return the latest snapshot of the upstreams."""
        return self._table

    def start(self, parts: Parts) -> None:
        """Start the stream loop and the parts."""
        self.streams.start()
        parts.keep(self._upstreams, self._start_upstreams)
        parts.keep(self._dispatcher, self._start_dispatcher)

    def stop(self) -> None:
        """Stop the stream loop."""
        self.streams.stop()

    def url_of(self, upstream: str) -> str | None:
        """Return the address of an upstream that the inventory lists."""
        config = self._table.configs.get(upstream)
        return None if config is None else config.url

    def load_ratio(self) -> float:
        """Return the share of the upstreams' limits that this node uses."""
        counts = self.granting.in_flight().values()
        used = sum(count.short + count.long for count in counts)
        tables = self._table.services.values()
        limit = sum(c.limit for table in tables for c in table.candidates)
        return used / limit if limit else 0.0

    def on_config(self, view: ConfigView) -> None:
        """Adopt a new inventory."""
        self._upstreams.tell(self._configured(view))
        rules = SetRules(view.inventory.rules.policy, weights_of(view.inventory))
        self._dispatcher.tell(rules)

    def on_leaving(self, vms: tuple[VmId, ...]) -> None:
        """Give no new work to upstreams whose VMs leave."""
        for vm in vms:
            self._upstreams.tell(MarkLeaving(vm.name, vm.incarnation, "members"))

    def on_place_leaving(self, data_centre: str) -> None:
        """Give no new work to the upstreams of a data centre that is reclaimed."""
        self._upstreams.tell(MarkPlaceLeaving(data_centre, "notice"))

    def tell_upstreams(self, message: object) -> None:
        """Pass a message to the owner of the upstream table."""
        self._upstreams.tell(message)

    def _start_upstreams(self) -> pykka.ActorRef[Any]:
        parts = self._parts
        return Upstreams.start(
            parts.supervisor,
            parts.events,
            parts.timers,
            http_readers(self._reports, PrefixRules()),
            self._on_table,
            self._current,
            parts.on_reported_leaving,
        )

    def _start_dispatcher(self) -> pykka.ActorRef[Any]:
        parts = self._parts
        return Dispatcher.start(parts.supervisor, parts.timers, self.granting)

    def _on_table(self, table: UpstreamTable) -> None:
        self._table = table
        self._dispatcher.tell(table)

    def _current(self) -> SetUpstreams | None:
        view = self._parts.holder.view
        return None if view is None else self._configured(view)

    def _configured(self, view: ConfigView) -> SetUpstreams:
        settings = self._parts.settings
        return upstreams_of(view.inventory, settings.fleet, settings.data_centre)
