"""Accept model requests: admission, copy at another node and execution."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from expression import Error, Ok, Result

from cicadapass.answers import Answer
from cicadapass.callers import Accepted, CallerContext
from cicadapass.delivery import LocalReader
from cicadapass.execution import Execution
from cicadapass.executiondependencies import ExecutionDependencies
from cicadapass.failures import refusal_problem
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

# For requests without a deadline.
DEFAULT_DEADLINE_S = 3600.0
OWNERSHIP_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class ModelDependencies:
    """Bundle the collaborators of `ModelCalls`."""

    inventory: Callable[[], Inventory | None]
    policy: Callable[[], Policy]
    execution: ExecutionDependencies
    placement: Placement
    ownership: ComponentRef
    events: EventLog
    wall_clock: Callable[[], float] = time.time


class ModelCalls:
    """Accept model requests from callers, and continue those of other nodes."""

    def __init__(self, dependencies: ModelDependencies) -> None:
        self._dependencies = dependencies

    def accept(
        self, context: CallerContext, chat: ChatRequest
    ) -> Result[Accepted, Problem]:
        """Start a request and return it, or a problem with the verdict not-run."""
        result = self._accept(context, chat)
        telemetry = self._dependencies.execution.telemetry
        if result.is_ok():
            telemetry.count("requests.accepted")
        else:
            telemetry.count("requests.refused")
        return result

    def adopt(self, copied: CopiedRequest, epoch: int) -> None:
        """Continue a request from the copy stored on this node, in another thread.

        Raises ValueError if the copy is malformed.
        """
        request = from_copy(copied, epoch)
        self._dependencies.execution.telemetry.count("requests.adopted")
        self._dependencies.execution.spawn(
            "adopt", lambda: self._resume(request, copied)
        )

    def _resume(self, request: AcceptedRequest, copied: CopiedRequest) -> None:
        # The previous owner delivered only tokens that the copy contains.
        answer = Answer(request.head, copied.texts)
        self._dependencies.placement.copy(replace(copied, epoch=request.epoch))
        self._run(
            request, answer, self._new_acquire_request(request), None, copied.finished
        )

    def _accept(
        self, context: CallerContext, chat: ChatRequest
    ) -> Result[Accepted, Problem]:
        service = self._find_service(context.binding.fleet, chat.model)
        if service is None:
            return Error(not_found(f"model {chat.model}"))
        request = self._new_request(context, chat, service)
        acquire_request = self._new_acquire_request(request)
        grant = self._dependencies.execution.acquire(acquire_request)
        if not isinstance(grant, Grant):
            return Error(refusal_problem(grant))
        try:
            return self._place_and_run(request, acquire_request, grant)
        except BaseException:
            self._dependencies.execution.grant_manager.release(grant, Outcome())
            # Otherwise the holder of the copy runs the request when this node ends.
            self._dependencies.placement.release(request.request_id)
            raise

    def _place_and_run(
        self, request: AcceptedRequest, acquire_request: AcquireRequest, grant: Grant
    ) -> Result[Accepted, Problem]:
        placement_result = self._dependencies.placement.place(request)
        if placement_result.is_error():
            self._dependencies.execution.grant_manager.release(grant, Outcome())
            return Error(placement_result.error)
        durability = placement_result.ok
        self._dependencies.events.emit(
            450,
            request_id=request.request_id,
            service=request.qualified_service,
            workspace=qualify(request.binding.fleet, request.binding.workspace),
            durability=durability,
        )
        answer = self._run(request, Answer(request.head), acquire_request, grant)
        return Ok(Accepted(request.request_id, durability, LocalReader(answer)))

    def _run(
        self,
        request: AcceptedRequest,
        answer: Answer,
        acquire_request: AcquireRequest,
        grant: Grant | None,
        finished: bool = False,
    ) -> Answer:
        commits = self._dependencies.placement.commits(request, answer)
        execution = Execution(
            request,
            answer,
            commits,
            acquire_request,
            self._dependencies.execution,
            finished,
        )
        owned = OwnedRequest(request, answer, execution.stop)
        if self._register_owner(owned):
            execution.start(grant)
            return answer
        # An owner with a later epoch answers the request.
        if grant is not None:
            self._dependencies.execution.grant_manager.release(grant, Outcome())
        answer.abandon()
        return answer

    def _register_owner(self, owned: OwnedRequest) -> bool:
        request = owned.request
        try:
            return bool(
                self._dependencies.ownership.ask(AddRequest(owned), OWNERSHIP_TIMEOUT_S)
            )
        except BaseException:
            # The ownership component may still add the request after a time-out,
            # and it would stay there without an execution.
            drop = DropRequest(request.request_id, request.epoch + 1)
            self._dependencies.ownership.tell(drop)
            raise

    def _find_service(self, fleet: str, name: str) -> Service | None:
        inventory = self._dependencies.inventory()
        service = inventory.service(fleet, name) if inventory else None
        return service if service and service.kind is ServiceKind.MODEL else None

    def _new_request(
        self, context: CallerContext, chat: ChatRequest, service: Service
    ) -> AcceptedRequest:
        now_s = self._dependencies.wall_clock()
        deadline_s = context.deadline_s or DEFAULT_DEADLINE_S
        return AcceptedRequest(
            request_id=self._dependencies.placement.new_request_id(),
            epoch=1,
            binding=context.binding,
            service=service.name,
            engine_model=service.model or service.name,
            priority=context.priority,
            created_s=int(now_s),
            deadline_at_s=now_s + deadline_s,
            chat=chat,
        )

    def _new_acquire_request(self, request: AcceptedRequest) -> AcquireRequest:
        policy = self._dependencies.policy()
        remaining_s = request.deadline_at_s - self._dependencies.wall_clock()
        prompt_tokens = len(request.chat.prompt.split())
        service = request.qualified_service
        workspace = qualify(request.binding.fleet, request.binding.workspace)
        work_request = WorkRequest(
            service, workspace, prompt_tokens, request.chat.max_tokens
        )
        return AcquireRequest(
            request_id=request.request_id,
            service=service,
            workspace=workspace,
            work=self._dependencies.execution.grant_manager.predict(work_request),
            deadline_s=self._dependencies.execution.clock() + remaining_s,
            priority=request.priority,
            prompt_tokens=prompt_tokens,
            blocks=prefix_blocks(request.chat.prompt, policy.prefix),
        )
