"""Answers to operators, built from the node's snapshots."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from cicadapass.configview import CurrentConfig
from cicadapass.eventrelay import EventRelay
from cicadapass.grantmanager import GrantManager
from cicadapass.grants import AcquireRequest
from cicadapass.membersnapshot import CurrentMembers
from cicadapass.problems import Problem, not_found, not_ready
from cicadapass.upstreamtable import UpstreamTable
from cicadapass_common.operator_api import (
    Candidate,
    EventsAnswer,
    ExplainAnswer,
    InventoryAnswer,
    MembersAnswer,
    MemberStatus,
    UpstreamsAnswer,
    UpstreamStatus,
    VerdictEntry,
)
from cicadapass_decisions.inventory import Inventory
from cicadapass_decisions.membership import MemberState
from cicadapass_decisions.routing import Choice, NoUpstream
from cicadapass_decisions.scoring import Candidate as RoutingCandidate
from cicadapass_decisions.scoring import CandidateReason, CandidateStatus
from cicadapass_decisions.slowness import Health
from cicadapass_decisions.types import qualify
from cicadapass_decisions.work import WorkRequest

_MEMBER_STATES = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspected",
    MemberState.GONE: "gone",
}
# Size and deadline of the request whose routing `explain` returns.
EXPLAIN_MAX_TOKENS = 64
EXPLAIN_DEADLINE_S = 60.0


@dataclass(frozen=True, slots=True)
class OperatorViews:
    """Build the answers of the operators' interface from snapshots."""

    node: str
    grant_manager: GrantManager
    events: EventRelay
    current_config: CurrentConfig
    current_members: CurrentMembers
    table: Callable[[], UpstreamTable]
    clock: Callable[[], float] = time.monotonic

    def inventory_answer(self) -> InventoryAnswer:
        """Return the state folded from the log."""
        state = self.current_config.state
        return InventoryAnswer(
            version=state.version,
            next_offset=state.next_offset,
            publish_id=state.publish_id,
            author=state.author,
            document=None if state.document is None else dict(state.document),
            verdicts=tuple(
                VerdictEntry(
                    publish_id,
                    verdict.outcome,
                    verdict.offset,
                    verdict.version,
                    verdict.author,
                )
                for publish_id, verdict in state.verdicts.items()
            ),
        )

    def upstreams_answer(self) -> UpstreamsAnswer:
        """Return the state of the upstreams and this node's requests at each."""
        now_s = self.clock()
        counts = self.grant_manager.in_flight()
        statuses = []
        for service, table in sorted(self.table().services.items()):
            for candidate in table.candidates:
                count = counts.get(candidate.upstream)
                in_flight = count.short + count.long if count else 0
                statuses.append(_status(service, candidate, in_flight, now_s))
        return UpstreamsAnswer(self.node, tuple(statuses))

    def members_answer(self) -> MembersAnswer:
        """Return the members of the cluster in this node's view."""
        snapshot = self.current_members.snapshot
        members = tuple(
            MemberStatus(
                name=vm.name,
                incarnation=vm.incarnation,
                fleet=entry.address.fleet,
                data_centre=entry.address.data_centre,
                state=_MEMBER_STATES[entry.state],
                leaving=snapshot.is_leaving(vm),
            )
            for vm, entry in sorted(snapshot.by_vm.items())
        )
        return MembersAnswer(self.node, members)

    def events_answer(self, request_id: str | None, since_ms: int) -> EventsAnswer:
        """Return the recent events of this node and of stopped peers."""
        events = self.events.recent(request_id)
        recent = (event for event in events if event.stamp[0] >= since_ms)
        return EventsAnswer(self.node, tuple(event.to_document() for event in recent))

    def explain(
        self, fleet: str, service: str, workspace: str
    ) -> Result[ExplainAnswer, Problem]:
        """Return the upstream that a short request would get now, with the reasons."""
        view = self.current_config.view
        if view is None:
            return Error(not_ready("this node has no inventory yet"))
        inventory: Inventory = view.inventory
        if inventory.service(fleet, service) is None:
            return Error(not_found(f"service {qualify(fleet, service)}"))
        if workspace not in inventory.fleets[fleet].workspaces:
            return Error(not_found(f"workspace {qualify(fleet, workspace)}"))
        service_name, workspace_name = (
            qualify(fleet, service),
            qualify(fleet, workspace),
        )
        work_request = WorkRequest(
            service_name, workspace_name, max_tokens=EXPLAIN_MAX_TOKENS
        )
        acquire_request = AcquireRequest(
            request_id="explain",
            service=service_name,
            workspace=workspace_name,
            work=self.grant_manager.predict(work_request),
            deadline_s=self.clock() + EXPLAIN_DEADLINE_S,
        )
        return Ok(self._build_explanation(self.grant_manager.explain(acquire_request)))

    def _build_explanation(self, result: Result[Choice, NoUpstream]) -> ExplainAnswer:
        if result.is_error():
            no_upstream = result.error
            return ExplainAnswer(
                self.node,
                reasons=(f"no upstream can be chosen: {no_upstream.kind}",),
                candidates=tuple(_candidate(reason) for reason in no_upstream.reasons),
            )
        choice = result.ok
        reasons = [f"expected cost {choice.score_s:.4f} s"]
        if choice.probe:
            reasons.append("the upstream is probed")
        if choice.panic:
            reasons.append("the health verdicts are ignored")
        candidates = tuple(_candidate(reason) for reason in choice.reasons)
        return ExplainAnswer(self.node, choice.upstream, tuple(reasons), candidates)


def _status(
    service: str, candidate: RoutingCandidate, in_flight: int, now_s: float
) -> UpstreamStatus:
    fleet, _, name = candidate.upstream.partition("/")
    report = candidate.report
    return UpstreamStatus(
        fleet=fleet,
        name=name,
        service=service.partition("/")[2],
        data_centre=candidate.data_centre.partition("/")[2],
        in_flight=in_flight,
        limit=candidate.limit,
        leaving=candidate.leaving,
        slow=candidate.health is Health.SLOW,
        failing=candidate.health is Health.FAILING,
        report_age_s=None if report is None else now_s - report.taken_at_s,
        first_token_s=candidate.first_token_s,
        inter_token_s=candidate.inter_token_s,
    )


def _candidate(reason: CandidateReason) -> Candidate:
    costs = [f"{name} {value_s:.4f} s" for name, value_s in reason.breakdown_s.items()]
    return Candidate(
        upstream=reason.upstream,
        usable=reason.status in (CandidateStatus.CHOSEN, CandidateStatus.COMPARED),
        cost_s=reason.score_s,
        reasons=(str(reason.status), *costs),
    )
