"""Build the parts of a node, start them and stop them in order."""

import random
import threading
import time
from collections.abc import Callable
from typing import Any

import pykka
from expression import Error, Ok, Result

from cicadapass.callers import CallerApp, CallerParts
from cicadapass.config import AddressSettings, NodeSettings
from cicadapass.configuration import upstreams_of, weights_of
from cicadapass.delivery import ReadPiece
from cicadapass.dispatcher import Dispatcher, DispatcherClient, SetRules
from cicadapass.engines import EngineClient
from cicadapass.execution import Execution
from cicadapass.executionparts import ExecutionParts
from cicadapass.granting import Granting
from cicadapass.httpserver import HttpLimits, NodeHttpServer, TlsFiles, WsgiApp
from cicadapass.inprogress import InProgress
from cicadapass.logpoll import ConfigView, LogPoll
from cicadapass.modelcalls import ModelCalls, ModelParts, local_reader
from cicadapass.operators import OperatorApp, OperatorParts
from cicadapass.operatorviews import OperatorViews
from cicadapass.ownership import (
    ExpireAnswers,
    FindRequest,
    ListUnfinished,
    Ownership,
    RequestEnded,
)
from cicadapass.placement import without_copies
from cicadapass.plaincalls import PlainParts
from cicadapass.plaingate import GateParts, PlainGate
from cicadapass.problems import Problem, not_found
from cicadapass.services import ServiceClient
from cicadapass.streamloop import StreamLoop
from cicadapass.supervisor import PartRef, StartPart, StopParts, Supervisor
from cicadapass.telemetry import Telemetry
from cicadapass.timers import TimerService
from cicadapass.upstreamhttp import Timeouts, new_pool
from cicadapass.upstreamreaders import http_readers
from cicadapass.upstreams import Upstreams
from cicadapass.upstreamtable import SetUpstreams, UpstreamTable
from cicadapass_common.copymessages import Binding
from cicadapass_common.events import EventLog
from cicadapass_common.logclient import LogClient
from cicadapass_common.operator_api import (
    DrainAnswer,
    MembersAnswer,
    NodeStatus,
    PublishAnswer,
    PublishBody,
)
from cicadapass_common.stamps import StampClock
from cicadapass_decisions.inventory import Inventory
from cicadapass_decisions.logrecords import NO_VERSION
from cicadapass_decisions.policy import Policy, PrefixRules
from cicadapass_decisions.types import VmId

VERSION = "0.1.0"
UPSTREAM_CONNECTIONS = 256
EXPIRE_INTERVAL_S = 5.0
PART_TIMEOUT_S = 5.0
# Reports must not wait long for an upstream that hangs.
REPORT_TIMEOUTS = Timeouts(connect_s=0.5, read_s=1.0)
OPERATOR_LIMITS = HttpLimits(min_threads=2, max_threads=8, idle_reserve=1)


class Node:
    """Own the parts of one node from start to stop."""

    def __init__(
        self, settings: NodeSettings, incarnation: str, on_give_up: Callable[[], None]
    ) -> None:
        self._settings = settings
        self._own = VmId(settings.name, incarnation)
        self._on_give_up = on_give_up
        self._given_up = False
        self._draining = threading.Event()
        self._rng = random.Random()
        self._events = EventLog(settings.name, StampClock().stamp)
        self._telemetry = Telemetry(
            settings.statsd.host, settings.statsd.port, settings.statsd.prefix
        )
        self._timers = TimerService()
        self._supervisor = Supervisor.start(self._events, self._give_up)
        self._ownership = PartRef("ownership")
        self._upstreams = PartRef("upstreams")
        self._dispatcher = PartRef("dispatcher")
        self._table = UpstreamTable()
        self._granting = Granting(self._rng, measured=self._upstreams.tell)
        self._dispatch = DispatcherClient(self._granting, self._events)
        timeouts = Timeouts(read_s=settings.upstream_read_timeout_s)
        self._streams = StreamLoop()
        self._engines = EngineClient(
            new_pool(UPSTREAM_CONNECTIONS), timeouts, self._streams
        )
        self._services = ServiceClient(new_pool(UPSTREAM_CONNECTIONS), timeouts)
        self._reports = EngineClient(new_pool(1), REPORT_TIMEOUTS)
        log = LogClient(settings.log_url, settings.log_stream)
        self._log = LogPoll(log, self._on_config)
        self._in_progress = InProgress()
        self._models = ModelCalls(self._model_parts())
        self._plain = PlainGate(self._gate_parts())
        self._callers = self._caller_server()
        self._operators = _server(
            settings.operators, OperatorApp(self._operator_parts()), OPERATOR_LIMITS
        )

    @property
    def given_up(self) -> bool:
        """Return whether the node stops because a part failed too often."""
        return self._given_up

    def addresses(self) -> dict[str, Any]:
        """Return the addresses that the node listens on."""
        return {
            "callers_url": _url(self._settings.callers, self._callers.port),
            "operators_url": _url(self._settings.operators, self._operators.port),
        }

    def start(self) -> None:
        """Start all parts; raise OSError if an address is taken."""
        self._events.emit(100, version=VERSION)
        self._timers.start()
        self._streams.start()
        self._keep("ownership", self._ownership, self._start_ownership)
        self._keep("upstreams", self._upstreams, self._start_upstreams)
        self._keep("dispatcher", self._dispatcher, self._start_dispatcher)
        self._timers.subscribe(
            lambda: self._ownership.tell(ExpireAnswers()), EXPIRE_INTERVAL_S
        )
        self._log.start()
        self._operators.start()
        self._callers.start()

    def stop(self) -> None:
        """Stop without cutting a request in progress, within the grace time."""
        self.drain("stop was asked for")
        self._callers_gone()
        unfinished = self._unfinished()
        self._callers.stop()
        self._operators.stop()
        self._log.stop()
        self._supervisor.tell(StopParts())
        self._timers.stop()
        self._streams.stop()
        self._supervisor.stop()
        self._events.emit(103, unfinished=unfinished)

    def drain(self, reason: str) -> None:
        """Take no new requests; readiness goes false at once."""
        if self._draining.is_set():
            return
        self._events.emit(102, reason=reason)
        self._draining.set()

    def _callers_gone(self) -> None:
        """Wait until the balancer has noticed and the requests have ended."""
        drain = self._settings.drain
        time.sleep(drain.announce_s)
        self._granting.drain()
        self._in_progress.close_connections()
        self._in_progress.wait_until_none(drain.grace_s)

    def _give_up(self) -> None:
        self._given_up = True
        self._on_give_up()

    # Parts under the supervisor.

    def _keep(
        self, name: str, part: PartRef, start: Callable[[], pykka.ActorRef[Any]]
    ) -> None:
        def start_and_bind() -> pykka.ActorRef[Any]:
            ref = start()
            part.bind(ref)
            return ref

        self._supervisor.ask(StartPart(name, start_and_bind), timeout=PART_TIMEOUT_S)

    def _start_ownership(self) -> pykka.ActorRef[Any]:
        settings = self._settings
        return Ownership.start(
            self._supervisor,
            settings.answers_keep_s,
            settings.answers_max_bytes,
            lambda count: self._telemetry.gauge("requests.in_progress", count),
        )

    def _start_upstreams(self) -> pykka.ActorRef[Any]:
        return Upstreams.start(
            self._supervisor,
            self._events,
            self._timers,
            http_readers(self._reports, PrefixRules()),
            self._on_table,
            self._current_upstreams,
        )

    def _start_dispatcher(self) -> pykka.ActorRef[Any]:
        return Dispatcher.start(self._supervisor, self._timers, self._granting)

    # Changes that parts publish.

    def _on_config(self, view: ConfigView) -> None:
        self._upstreams.tell(self._upstreams_message(view))
        rules = SetRules(view.inventory.rules.policy, weights_of(view.inventory))
        self._dispatcher.tell(rules)
        self._telemetry.gauge("config.version", view.version)
        self._events.emit(101, version=view.version)

    def _current_upstreams(self) -> SetUpstreams | None:
        view = self._log.view
        return None if view is None else self._upstreams_message(view)

    def _upstreams_message(self, view: ConfigView) -> SetUpstreams:
        settings = self._settings
        return upstreams_of(view.inventory, settings.fleet, settings.data_centre)

    def _on_table(self, table: UpstreamTable) -> None:
        self._table = table
        self._dispatcher.tell(table)

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
        self._telemetry.count("requests.failed")
        self._events.emit(
            452,
            request_id=request.request_id,
            tokens=answer.token_count,
            attempts=execution.attempt_count,
            reason=answer.problem.detail,
            verdict=str(answer.problem.verdict),
        )

    # Functions that parts and handlers are given.

    def _inventory(self) -> Inventory | None:
        view = self._log.view
        return None if view is None else view.inventory

    def _policy(self) -> Policy:
        inventory = self._inventory()
        return Policy() if inventory is None else inventory.rules.policy

    def _url_of(self, upstream: str) -> str | None:
        config = self._table.configs.get(upstream)
        return None if config is None else config.url

    def _not_ready_reason(self) -> str | None:
        if self._draining.is_set():
            return "the node is being stopped"
        if self._log.view is None:
            return "no inventory has been read from the log"
        return None

    def _find_answer(
        self, request_id: str, binding: Binding
    ) -> Result[ReadPiece, Problem]:
        owned = self._ownership.ask(FindRequest(request_id), PART_TIMEOUT_S)
        if owned is None or owned.request.binding != binding:
            return Error(not_found("this request"))
        return Ok(local_reader(owned.answer))

    def _unfinished(self) -> int:
        return len(self._ownership.ask(ListUnfinished(), PART_TIMEOUT_S))

    def _execution_parts(self) -> ExecutionParts:
        return ExecutionParts(
            acquire=self._dispatch.acquire,
            granting=self._granting,
            engines=self._engines,
            url_of=self._url_of,
            call_later=self._timers.call_later,
            events=self._events,
            on_ended=self._on_ended,
            spawn=self._in_progress.spawn,
            telemetry=self._telemetry,
        )

    def _model_parts(self) -> ModelParts:
        return ModelParts(
            inventory=self._inventory,
            policy=self._policy,
            execution=self._execution_parts(),
            placement=without_copies(self._own, self._rng),
            ownership=self._ownership,
            events=self._events,
        )

    def _gate_parts(self) -> GateParts:
        plain = PlainParts(
            acquire=self._dispatch.acquire,
            granting=self._granting,
            client=self._services,
            url_of=self._url_of,
            events=self._events,
            sleep=time.sleep,
            telemetry=self._telemetry,
        )
        return GateParts(self._inventory, plain, self._rng)

    def _caller_parts(self) -> CallerParts:
        return CallerParts(
            inventory=self._inventory,
            not_ready_reason=self._not_ready_reason,
            accept=self._models.accept,
            find_answer=self._find_answer,
            call_plain=self._plain.call,
            streams=self._streams,
            max_body_bytes=self._settings.http.max_body_bytes,
            report_fault=self._report_fault,
        )

    def _caller_server(self) -> NodeHttpServer:
        http = self._settings.http
        limits = HttpLimits(
            min_threads=http.min_threads,
            max_threads=http.max_threads,
            idle_reserve=http.idle_reserve,
            max_header_bytes=http.max_header_bytes,
            max_body_bytes=http.max_body_bytes,
            receive_timeout_s=http.receive_timeout_s,
            max_connections=http.max_connections,
        )
        app = self._in_progress.track(CallerApp(self._caller_parts()))
        return _server(self._settings.callers, app, limits)

    def _operator_parts(self) -> OperatorParts:
        views = OperatorViews(
            self._settings.name,
            self._granting,
            self._events,
            self._inventory,
            lambda: self._log.state,
            lambda: self._table,
        )
        return OperatorParts(
            operator_sha256=self._settings.operator_sha256,
            status=self._status,
            inventory=views.inventory_answer,
            upstreams=views.upstreams_answer,
            members=lambda: MembersAnswer(self._settings.name, ()),
            events=views.events_answer,
            explain=views.explain,
            publish=self._publish,
            drain=self._drain_for_operator,
            report_fault=self._report_fault,
        )

    def _status(self) -> NodeStatus:
        view = self._log.view
        return NodeStatus(
            name=self._own.name,
            fleet=self._settings.fleet,
            data_centre=self._settings.data_centre,
            incarnation=self._own.incarnation,
            ready=self._not_ready_reason() is None,
            draining=self._draining.is_set(),
            version=NO_VERSION if view is None else view.version,
            offset=self._log.state.next_offset,
            requests_in_progress=self._unfinished(),
        )

    def _publish(self, body: PublishBody) -> PublishAnswer:
        raise NotImplementedError

    def _report_fault(self, reason: str) -> None:
        self._events.emit(455, reason=reason)

    def _drain_for_operator(self) -> DrainAnswer:
        self.drain("an operator asked for it")
        return DrainAnswer(True, self._unfinished())


def _server(
    address: AddressSettings, app: WsgiApp, limits: HttpLimits
) -> NodeHttpServer:
    tls = None
    if address.certificate is not None and address.private_key is not None:
        tls = TlsFiles(address.certificate, address.private_key)
    return NodeHttpServer(address.host, address.port, app, limits, tls)


def _url(address: AddressSettings, port: int) -> str:
    scheme = "http" if address.certificate is None else "https"
    return f"{scheme}://{address.host}:{port}"
