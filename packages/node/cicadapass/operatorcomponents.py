"""The components for operators: HTTP server, status and drain."""

from collections.abc import Callable
from dataclasses import dataclass

from cicadapass.cluster import Cluster
from cicadapass.config import NodeSettings
from cicadapass.configview import CurrentConfig
from cicadapass.drain import Drain
from cicadapass.eventrelay import EventRelay
from cicadapass.httpserver import HttpLimits, NodeHttpServer
from cicadapass.listening import new_http_server
from cicadapass.operators import OperatorApp, OperatorDependencies
from cicadapass.operatorviews import OperatorViews
from cicadapass.peerstate import KindCount
from cicadapass.upstreamcomponents import UpstreamComponents
from cicadapass_common.operator_api import (
    DrainAnswer,
    KindTraffic,
    NodeStatus,
    PublishAnswer,
    PublishBody,
    TrafficAnswer,
)
from cicadapass_decisions.logrecords import NO_VERSION

OPERATOR_LIMITS = HttpLimits(min_threads=2, max_threads=8, idle_reserve=1)


@dataclass(frozen=True, slots=True)
class OperatorComponents:
    """Answer operators from the state of the other components."""

    settings: NodeSettings
    incarnation: str
    current_config: CurrentConfig
    upstreams: UpstreamComponents
    cluster: Cluster
    relay: EventRelay
    drain: Drain
    unfinished: Callable[[], int]
    not_ready_reason: Callable[[], str | None]
    publish: Callable[[PublishBody], PublishAnswer]
    report_fault: Callable[[str], None]

    def server(self) -> NodeHttpServer:
        """Return a new server on the operators' address; the caller starts it."""
        app = OperatorApp(self._dependencies())
        return new_http_server(self.settings.operators, app, OPERATOR_LIMITS)

    def _dependencies(self) -> OperatorDependencies:
        views = OperatorViews(
            self.settings.name,
            self.upstreams.grant_manager,
            self.relay,
            self.current_config,
            self.cluster.current_members,
            lambda: self.upstreams.table,
        )
        return OperatorDependencies(
            operator_sha256=self.settings.operator_sha256,
            status=self._status,
            inventory=views.inventory_answer,
            upstreams=views.upstreams_answer,
            members=views.members_answer,
            traffic=self._traffic,
            events=views.events_answer,
            explain=views.explain,
            publish=self.publish,
            drain=self._begin_drain,
            report_fault=self.report_fault,
        )

    def _status(self) -> NodeStatus:
        view = self.current_config.view
        return NodeStatus(
            name=self.settings.name,
            fleet=self.settings.fleet,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
            ready=self.not_ready_reason() is None,
            draining=self.drain.started,
            version=NO_VERSION if view is None else view.version,
            offset=self.current_config.state.next_offset,
            requests_in_progress=self.unfinished(),
            copies_held=self.cluster.copies_held(),
        )

    def _traffic(self) -> TrafficAnswer:
        traffic = self.cluster.peers.traffic()
        return TrafficAnswer(
            self.settings.name, _kinds(traffic.sent), _kinds(traffic.received)
        )

    def _begin_drain(self) -> DrainAnswer:
        self.drain.begin("requested by an operator")
        return DrainAnswer(True, self.unfinished())


def _kinds(counts: dict[str, KindCount]) -> tuple[KindTraffic, ...]:
    return tuple(
        KindTraffic(kind, count.messages, count.frame_bytes)
        for kind, count in sorted(counts.items())
    )
