"""The node: creates its components, starts them and stops them in order."""

import random
import time
from collections.abc import Callable
from typing import Any

import pykka

from cicadapass.callers import CallerApp, CallerContext, CallerDependencies
from cicadapass.claimcomponents import ClaimComponents
from cicadapass.cluster import Cluster, ClusterDependencies
from cicadapass.componentrunner import COMPONENT_TIMEOUT_S, ComponentRunner
from cicadapass.config import NodeSettings
from cicadapass.configcomponents import ConfigComponents
from cicadapass.configview import ConfigView, CurrentConfig
from cicadapass.drain import Drain, DrainDependencies
from cicadapass.eventrelay import EventRelay
from cicadapass.execution import Execution
from cicadapass.executiondependencies import ExecutionDependencies
from cicadapass.httpserver import NodeHttpServer
from cicadapass.inprogress import InProgress
from cicadapass.listening import caller_limits, new_http_server, url_of
from cicadapass.loadsharing import SHARE_INTERVAL_S, LoadSharing
from cicadapass.modelcalls import ModelCalls, ModelDependencies
from cicadapass.notices import NoticeReader, NoticeTarget, applies_to
from cicadapass.operatorcomponents import OperatorComponents
from cicadapass.ownership import (
    ExpireAnswers,
    ListUnfinished,
    OwnedRequest,
    Ownership,
    RequestEnded,
)
from cicadapass.plaincalls import PlainDependencies
from cicadapass.plaingate import GateDependencies, PlainGate
from cicadapass.platformclient import Notice, PlatformClient, seconds_until
from cicadapass.supervisor import ComponentRef, Supervisor
from cicadapass.telemetry import Telemetry
from cicadapass.timers import TimerService
from cicadapass.upstreamcomponents import UpstreamComponents, UpstreamDependencies
from cicadapass_common.events import EventLog
from cicadapass_common.stamps import HybridClock
from cicadapass_decisions.inventory import Inventory
from cicadapass_decisions.policy import Policy
from cicadapass_decisions.rule_sections import DurabilityRules
from cicadapass_decisions.types import VmId, qualify

VERSION = "0.1.0"
EXPIRE_INTERVAL_S = 5.0
ANNOUNCE_INTERVAL_S = 1.0
STOP_GRACE_S = 0.2


class Node:
    """Own the components of one node from start to stop.

    `on_stop` is called when the node should be stopped: by a notice, by the VM list or
    because a component failed too often.
    """

    def __init__(
        self, settings: NodeSettings, incarnation: str, on_stop: Callable[[], None]
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._on_stop = on_stop
        self._restart_limit_reached = False
        self._rng = random.Random()
        self._stamps = HybridClock()
        # Fleets may use the same VM names.
        node_name = qualify(settings.fleet, settings.name)
        self._events = EventLog(node_name, self._stamps.stamp)
        self._telemetry = Telemetry(
            settings.statsd.host, settings.statsd.port, settings.statsd.prefix
        )
        self._timers = TimerService()
        self._runner = ComponentRunner(
            Supervisor.start(self._events, self._on_restart_limit)
        )
        self._current_config = CurrentConfig()
        self._ownership = ComponentRef("ownership")
        self._platform = PlatformClient(settings.vm_list_url, settings.notices_url)
        self._notices = NoticeReader(self._platform, self._on_notice)
        self._in_progress = InProgress()
        self._upstreams = UpstreamComponents(self._upstream_dependencies())
        self._cluster = Cluster(self._cluster_dependencies())
        self._load_sharing = LoadSharing(
            self._upstreams.grant_manager,
            self._cluster.peers,
            self._cluster.current_members,
            self._upstreams.send_to_upstreams,
            self._rng,
        )
        self._load_sharing.register()
        self._event_relay = EventRelay(
            self._events, self._cluster.peers, self._cluster.current_members, self._rng
        )
        self._event_relay.register()
        self._config = self._new_config_components()
        self._claims = ClaimComponents(
            settings,
            self._runner.supervisor,
            self._events,
            self._timers,
            self._cluster,
        )
        self._model_calls = ModelCalls(self._model_dependencies())
        self._plain_gate = PlainGate(self._gate_dependencies())
        self._drain = Drain(self._drain_dependencies())
        self._callers = self._caller_server()
        self._operators = self._new_operator_components().server()

    @property
    def restart_limit_reached(self) -> bool:
        """Return whether the node stops because a component failed too often."""
        return self._restart_limit_reached

    def addresses(self) -> dict[str, Any]:
        """Return the incarnation, the URLs and the peer port of the running node."""
        return {
            "incarnation": self._incarnation,
            "callers_url": url_of(self._settings.callers, self._callers.port),
            "operators_url": url_of(self._settings.operators, self._operators.port),
            "peer_port": self._cluster.peers.port,
        }

    def start(self) -> None:
        """Start all components; raise OSError if an address is in use."""
        self._events.emit(100, version=VERSION)
        self._timers.start()
        self._runner.supervise(self._ownership, self._start_ownership)
        self._upstreams.start(self._runner)
        self._cluster.start(self._runner)
        self._config.start(self._runner)
        self._subscribe_timers()
        if self._settings.notices_url is not None:
            self._notices.start()
        self._operators.start()
        self._callers.start()

    def stop(self) -> None:
        """Stop after the requests in progress have ended, within the grace time."""
        self._drain.begin("stop was requested")
        unfinished = self._drain.finish()
        self._events.emit(103, unfinished=unfinished)
        self._event_relay.send_to_peer()
        # Requests that are still in progress have had their grace time.
        self._callers.stop(STOP_GRACE_S)
        self._operators.stop(STOP_GRACE_S)
        self._notices.stop()
        self._runner.stop()
        self._cluster.stop()
        self._timers.stop()
        self._upstreams.stop()

    def _subscribe_timers(self) -> None:
        subscribe = self._timers.subscribe
        subscribe(lambda: self._ownership.tell(ExpireAnswers()), EXPIRE_INTERVAL_S)
        subscribe(self._announce, ANNOUNCE_INTERVAL_S)
        subscribe(self._load_sharing.share, SHARE_INTERVAL_S)

    def _announce(self) -> None:
        self._cluster.announce(
            self._current_config.offset, self._upstreams.load_ratio()
        )
        self._config.exchange.announce()

    def _on_restart_limit(self) -> None:
        self._restart_limit_reached = True
        self._on_stop()

    def _start_ownership(self) -> pykka.ActorRef[Any]:
        settings = self._settings
        return Ownership.start(
            self._runner.supervisor,
            settings.answers_keep_s,
            settings.answers_max_bytes,
            lambda count: self._telemetry.gauge("requests.in_progress", count),
            self._cluster.placement.release,
        )

    # Callbacks of the components.

    def _on_config(self, view: ConfigView) -> None:
        self._upstreams.on_config(view)
        self._claims.on_config(view, self._runner)
        self._telemetry.gauge("config.version", view.version)
        self._events.emit(101, version=view.version)

    def _on_leaving(self, vms: tuple[VmId, ...]) -> None:
        self._upstreams.on_leaving(vms)
        if self._cluster.peers.address.vm in vms:
            self._drain.begin("the VM list marks this VM as leaving")
            self._on_stop()

    def _on_notice(self, notice: Notice) -> None:
        """Handle a notice; each node reads the notices of all zones and VMs."""
        settings = self._settings
        if notice.zone is not None:
            self._upstreams.on_data_centre_leaving(notice.zone)
        target = NoticeTarget(
            qualify(settings.fleet, settings.name),
            qualify(settings.fleet, settings.data_centre),
        )
        if not applies_to(notice, target):
            return
        self._events.emit(
            105, deadline_s=notice.deadline_s, zone=notice.zone, vm=notice.vm
        )
        self._cluster.mark_leaving((self._cluster.peers.address.vm,), "notice")
        self._drain.begin("notice", seconds_until(notice.deadline_s))
        self._on_stop()

    def _on_ended(self, execution: Execution) -> None:
        request, answer = execution.request, execution.answer
        self._ownership.tell(RequestEnded(request.request_id, request.epoch))
        if answer.problem is None:
            self._events.emit(
                451,
                request_id=request.request_id,
                tokens=answer.token_count,
                attempts=execution.attempt_count,
            )
            return
        # The caller was sent a failure, so no holder may run the request.
        self._cluster.placement.release(request.request_id)
        self._telemetry.count("requests.failed")
        self._events.emit(
            452,
            request_id=request.request_id,
            tokens=answer.token_count,
            attempts=execution.attempt_count,
            reason=answer.problem.detail,
            verdict=str(answer.problem.verdict),
        )

    # Functions and dependencies that components and handlers get.

    def _inventory(self) -> Inventory | None:
        view = self._current_config.view
        return None if view is None else view.inventory

    def _policy(self) -> Policy:
        inventory = self._inventory()
        return Policy() if inventory is None else inventory.rules.policy

    def _durability(self) -> DurabilityRules:
        inventory = self._inventory()
        if inventory is None:
            return DurabilityRules()
        return inventory.rules.of(DurabilityRules)

    def _not_ready_reason(self) -> str | None:
        if self._drain.started:
            return "the node is being stopped"
        if not self._current_config.is_ready:
            return "no inventory has been read from the log or from a peer"
        return None

    def _unfinished(self) -> tuple[OwnedRequest, ...]:
        unfinished = self._ownership.ask(ListUnfinished(), COMPONENT_TIMEOUT_S)
        assert isinstance(unfinished, tuple)
        return unfinished

    def _upstream_dependencies(self) -> UpstreamDependencies:
        return UpstreamDependencies(
            self._settings,
            self._runner.supervisor,
            self._events,
            self._timers,
            self._current_config,
            lambda vm: self._cluster.mark_leaving((vm,), "report"),
            self._rng,
        )

    def _cluster_dependencies(self) -> ClusterDependencies:
        return ClusterDependencies(
            settings=self._settings,
            incarnation=self._incarnation,
            supervisor=self._runner.supervisor,
            events=self._events,
            stamps=self._stamps,
            timers=self._timers,
            platform=self._platform,
            ownership=self._ownership,
            rules=self._durability,
            adopt=lambda copied, epoch: self._model_calls.adopt(copied, epoch),
            on_leaving=self._on_leaving,
            rng=self._rng,
        )

    def _new_config_components(self) -> ConfigComponents:
        return ConfigComponents(
            self._settings,
            self._runner.supervisor,
            self._events,
            self._timers,
            self._current_config,
            self._cluster,
            self._on_config,
            self._rng,
        )

    def _execution_dependencies(self) -> ExecutionDependencies:
        return ExecutionDependencies(
            acquire=self._upstreams.dispatcher_client.acquire,
            grant_manager=self._upstreams.grant_manager,
            engines=self._upstreams.engine_client,
            url_of=self._upstreams.url_of,
            call_later=self._timers.call_later,
            events=self._events,
            on_ended=self._on_ended,
            telemetry=self._telemetry,
        )

    def _model_dependencies(self) -> ModelDependencies:
        return ModelDependencies(
            inventory=self._inventory,
            policy=self._policy,
            execution=self._execution_dependencies(),
            placement=self._cluster.placement,
            ownership=self._ownership,
            events=self._events,
        )

    def _gate_dependencies(self) -> GateDependencies:
        plain = PlainDependencies(
            acquire=self._upstreams.dispatcher_client.acquire,
            grant_manager=self._upstreams.grant_manager,
            client=self._upstreams.service_client,
            url_of=self._upstreams.url_of,
            events=self._events,
            sleep=time.sleep,
            telemetry=self._telemetry,
        )
        return GateDependencies(self._inventory, plain, self._claims.keyed, self._rng)

    def _drain_dependencies(self) -> DrainDependencies:
        return DrainDependencies(
            settings=self._settings.drain,
            events=self._events,
            in_progress=self._in_progress,
            refuse_new=self._upstreams.grant_manager.drain,
            unfinished=self._unfinished,
            hand_over_dependencies=self._cluster.hand_over_dependencies,
        )

    def _caller_dependencies(self) -> CallerDependencies:
        return CallerDependencies(
            inventory=self._inventory,
            not_ready_reason=self._not_ready_reason,
            accept=self._model_calls.accept,
            find_answer=self._cluster.finder.find,
            follow_answer=self._cluster.finder.follow,
            call_plain=self._plain_gate.call,
            issue_key=self._issue_key,
            streams=self._upstreams.stream_loop,
            max_body_bytes=self._settings.http.max_body_bytes,
            report_fault=self._report_error,
        )

    def _issue_key(self, context: CallerContext) -> str:
        return self._claims.keyed.issue_key(context.binding)

    def _caller_server(self) -> NodeHttpServer:
        settings = self._settings
        app = self._in_progress.track(CallerApp(self._caller_dependencies()))
        return new_http_server(settings.callers, app, caller_limits(settings.http))

    def _new_operator_components(self) -> OperatorComponents:
        return OperatorComponents(
            self._settings,
            self._incarnation,
            self._current_config,
            self._upstreams,
            self._cluster,
            self._event_relay,
            self._drain,
            lambda: len(self._unfinished()),
            self._not_ready_reason,
            self._config.publish,
            self._report_error,
        )

    def _report_error(self, reason: str) -> None:
        self._events.emit(455, reason=reason)
