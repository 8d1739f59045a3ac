"""Route calls to plain services: repeatable, keyed or sent at most once."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from expression import Error, Result

from cicadapass.callers import CallerContext
from cicadapass.grants import AcquireRequest
from cicadapass.keyedcalls import KeyedCalls
from cicadapass.plaincalls import (
    PlainDependencies,
    PlainExecution,
    PlainRequest,
    PlainResponse,
)
from cicadapass.problems import Problem, not_found
from cicadapass.services import PlainCall
from cicadapass_decisions.inventory import Inventory, Service, ServiceKind
from cicadapass_decisions.types import Verdict
from cicadapass_decisions.work import WorkRequest

# For calls without a deadline.
DEFAULT_DEADLINE_S = 60.0
RANDOM_BITS = 64


@dataclass(frozen=True, slots=True)
class GateDependencies:
    """Bundle the collaborators of `PlainGate`."""

    inventory: Callable[[], Inventory | None]
    plain: PlainDependencies
    keyed: KeyedCalls
    rng: random.Random
    clock: Callable[[], float] = time.monotonic


class PlainGate:
    """Run plain calls; the service's rules decide which ones are repeatable."""

    def __init__(self, dependencies: GateDependencies) -> None:
        self._dependencies = dependencies

    def call(
        self, context: CallerContext, request: PlainRequest
    ) -> Result[PlainResponse, Problem]:
        """Return the answer, or a problem whose verdict says whether the call ran."""
        started_s = self._dependencies.clock()
        result = self._call(context, request)
        telemetry = self._dependencies.plain.telemetry
        if result.is_ok():
            telemetry.count("plain.calls")
            telemetry.time_ms(
                "plain.latency", (self._dependencies.clock() - started_s) * 1000
            )
        elif result.error.verdict is Verdict.NOT_RUN:
            telemetry.count("requests.refused")
        return result

    def _call(
        self, context: CallerContext, request: PlainRequest
    ) -> Result[PlainResponse, Problem]:
        service = self._find_service(context.binding.fleet, request.service)
        if service is None:
            return Error(not_found(f"service {request.service}"))
        acquire_request = self._new_acquire_request(context, service)
        repeatable = service.is_repeatable(request.method, request.path)
        call = PlainCall(
            request.method, request.path, request.headers, request.body, repeatable
        )
        if repeatable or request.idempotency_key is None:
            return PlainExecution(call, acquire_request, self._dependencies.plain).run()

        def run(
            request_id: str, may_send: Callable[[], bool]
        ) -> Result[PlainResponse, Problem]:
            keyed_request = replace(acquire_request, request_id=request_id)
            return PlainExecution(
                call, keyed_request, self._dependencies.plain, may_send
            ).run()

        return self._dependencies.keyed.call(context.binding, request, run)

    def _find_service(self, fleet: str, name: str) -> Service | None:
        inventory = self._dependencies.inventory()
        service = inventory.service(fleet, name) if inventory else None
        return service if service and service.kind is ServiceKind.PLAIN else None

    def _new_acquire_request(
        self, context: CallerContext, service: Service
    ) -> AcquireRequest:
        name = service.qualified_name
        workspace = context.workspace.qualified_name
        work_request = WorkRequest(name, workspace, plain=True)
        deadline_s = context.deadline_s or DEFAULT_DEADLINE_S
        return AcquireRequest(
            request_id=f"plain-{self._dependencies.rng.getrandbits(RANDOM_BITS):016x}",
            service=name,
            workspace=workspace,
            work=self._dependencies.plain.grant_manager.predict(work_request),
            deadline_s=self._dependencies.clock() + deadline_s,
            priority=context.priority,
        )
