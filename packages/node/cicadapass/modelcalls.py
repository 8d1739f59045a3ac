"""Accept model requests: admission, the copy at another node, the execution."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from expression import Error, Ok, Result

from cicadapass.answers import Answer
from cicadapass.callers import Accepted, CallerContext
from cicadapass.delivery import LocalReader
from cicadapass.execution import Execution
from cicadapass.executionparts import ExecutionParts
from cicadapass.failures import refused
from cicadapass.grants import AcquireRequest, Grant
from cicadapass.ownership import AddRequest, DropRequest, OwnedRequest
from cicadapass.placement import Placement
from cicadapass.problems import Problem, not_found
from cicadapass.requests import AcceptedRequest, ChatRequest, from_copy
from cicadapass.supervisor import ComponentRef
from cicadapass.upstreamtable import Outcome
from cicadapass_common.copymessages import CopiedRequest
from cicadapass_common.events import EventLog
from cicadapass_decisions.inventory import Inventory, Service, ServiceKind
from cicadapass_decisions.policy import Policy
from cicadapass_decisions.prefix import prefix_blocks
from cicadapass_decisions.types import qualify
from cicadapass_decisions.work import WorkRequest

# A request without a deadline of its own may take this long.
DEFAULT_DEADLINE_S = 3600.0
OWNERSHIP_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class ModelParts:
    """Hold what the acceptance of model requests needs."""

    inventory: Callable[[], Inventory | None]
    policy: Callable[[], Policy]
    execution: ExecutionParts
    placement: Placement
    ownership: ComponentRef
    events: EventLog
    wall_clock: Callable[[], float] = time.time


class ModelCalls:
    """Accept model requests from callers and from copies."""

    def __init__(self, parts: ModelParts) -> None:
        self._parts = parts

    def accept(
        self, context: CallerContext, chat: ChatRequest
    ) -> Result[Accepted, Problem]:
        """Return the accepted request, or the problem with the verdict not-run."""
        result = self._accept(context, chat)
        telemetry = self._parts.execution.telemetry
        if result.is_ok():
            telemetry.count("requests.accepted")
        else:
            telemetry.count("requests.refused")
        return result

    def adopt(self, copied: CopiedRequest, epoch: int) -> None:
        """Continue a request whose copy this node held, in another thread.

        Raises ValueError if the copy cannot be read.
        """
        request = from_copy(copied, epoch)
        self._parts.execution.telemetry.count("requests.adopted")
        self._parts.execution.spawn("adopt", lambda: self._resume(request, copied))

    def _resume(self, request: AcceptedRequest, copied: CopiedRequest) -> None:
        # What the old owner delivered is committed in the copy already.
        answer = Answer(request.head, copied.texts)
        self._parts.placement.copy(replace(copied, epoch=request.epoch))
        self._run(request, answer, self._work_of(request), None, copied.finished)

    def _accept(
        self, context: CallerContext, chat: ChatRequest
    ) -> Result[Accepted, Problem]:
        service = self._service(context.binding.fleet, chat.model)
        if service is None:
            return Error(not_found(f"model {chat.model}"))
        request = self._new_request(context, chat, service)
        work = self._work_of(request)
        grant = self._parts.execution.acquire(work)
        if not isinstance(grant, Grant):
            return Error(refused(grant))
        try:
            return self._place_and_run(request, work, grant)
        except BaseException:
            self._parts.execution.granting.release(grant, Outcome())
            # Its holder would run the request once this node has gone.
            self._parts.placement.release(request.request_id)
            raise

    def _place_and_run(
        self, request: AcceptedRequest, work: AcquireRequest, grant: Grant
    ) -> Result[Accepted, Problem]:
        placed = self._parts.placement.place(request)
        if placed.is_error():
            self._parts.execution.granting.release(grant, Outcome())
            return Error(placed.error)
        durability = placed.ok
        self._parts.events.emit(
            450,
            request_id=request.request_id,
            service=request.qualified_service,
            workspace=qualify(request.binding.fleet, request.binding.workspace),
            durability=durability,
        )
        answer = self._run(request, Answer(request.head), work, grant)
        return Ok(Accepted(request.request_id, durability, LocalReader(answer)))

    def _run(
        self,
        request: AcceptedRequest,
        answer: Answer,
        work: AcquireRequest,
        grant: Grant | None,
        finished: bool = False,
    ) -> Answer:
        commits = self._parts.placement.commits(request, answer)
        execution = Execution(
            request, answer, commits, work, self._parts.execution, finished
        )
        owned = OwnedRequest(request, answer, execution.stop)
        if self._own(owned):
            execution.start(grant)
            return answer
        # Another owner with a later epoch answers the request.
        if grant is not None:
            self._parts.execution.granting.release(grant, Outcome())
        answer.abandon()
        return answer

    def _own(self, owned: OwnedRequest) -> bool:
        request = owned.request
        try:
            return bool(
                self._parts.ownership.ask(AddRequest(owned), OWNERSHIP_TIMEOUT_S)
            )
        except BaseException:
            # The owner of the table may still add it, and nobody would end it.
            drop = DropRequest(request.request_id, request.epoch + 1)
            self._parts.ownership.tell(drop)
            raise

    def _service(self, fleet: str, name: str) -> Service | None:
        inventory = self._parts.inventory()
        service = inventory.service(fleet, name) if inventory else None
        return service if service and service.kind is ServiceKind.MODEL else None

    def _new_request(
        self, context: CallerContext, chat: ChatRequest, service: Service
    ) -> AcceptedRequest:
        now_s = self._parts.wall_clock()
        deadline_s = context.deadline_s or DEFAULT_DEADLINE_S
        return AcceptedRequest(
            request_id=self._parts.placement.new_request_id(),
            epoch=1,
            binding=context.binding,
            service=service.name,
            engine_model=service.model or service.name,
            priority=context.priority,
            created_s=int(now_s),
            deadline_at_s=now_s + deadline_s,
            chat=chat,
        )

    def _work_of(self, request: AcceptedRequest) -> AcquireRequest:
        policy = self._parts.policy()
        left_s = request.deadline_at_s - self._parts.wall_clock()
        prompt_tokens = len(request.chat.prompt.split())
        service = request.qualified_service
        workspace = qualify(request.binding.fleet, request.binding.workspace)
        wanted = WorkRequest(service, workspace, prompt_tokens, request.chat.max_tokens)
        return AcquireRequest(
            request_id=request.request_id,
            service=service,
            workspace=workspace,
            work=self._parts.execution.granting.predict(wanted),
            deadline_s=self._parts.execution.clock() + left_s,
            priority=request.priority,
            prompt_tokens=prompt_tokens,
            blocks=prefix_blocks(request.chat.prompt, policy.prefix),
        )
