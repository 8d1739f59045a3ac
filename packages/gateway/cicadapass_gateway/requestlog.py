"""Log the decisions on a request and count them."""

from cicadapass_decisions.attempts import AttemptOutcome, AttemptResult
from cicadapass_gateway.dialect import Call
from cicadapass_gateway.job import Job
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.upstreambook import Ticket


class RequestLog:
    """Write one line for each decision."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def rejected(
        self, call: Call, status: int, reason: str, workspace: str | None
    ) -> None:
        """Log a request that was answered without being placed."""
        self._state.metrics.count("rejected", reason)
        self._state.events.emit(
            810,
            request_id=call.request_id,
            status=status,
            reason=reason,
            version=self._state.version,
            workspace=workspace,
        )

    def attempt(self, job: Job, ticket: Ticket, result: AttemptResult) -> None:
        """Log an attempt that brought no answer."""
        if result.outcome is AttemptOutcome.DELIVERED:
            return
        self._state.metrics.count("attempts_failed", result.outcome.value)
        self._state.events.emit(
            811,
            request_id=job.call.request_id,
            upstream=ticket.record.upstream_id,
            upstream_sequence=ticket.record.sequence,
            outcome=result.outcome.value,
            detail=result.detail,
            sends=job.sends,
        )

    def ended(self, job: Job, status: int, outcome: str) -> None:
        """Log the end of a request that was admitted."""
        now_s = self._state.clock()
        arrived_s = job.exchange.arrived_s
        first_s = job.first_piece_s
        route = job.match.route
        self._state.metrics.count("requests", outcome)
        self._state.metrics.observe("request", route.kind.value, now_s - arrived_s)
        if first_s is not None:
            self._state.metrics.observe(
                "first_piece", route.kind.value, first_s - arrived_s
            )
        self._state.events.emit(
            812,
            request_id=job.call.request_id,
            status=status,
            outcome=outcome,
            route=route.name,
            version=job.match.version,
            upstream=job.upstream_id,
            sends=job.sends,
            waited_ms=round(1000 * job.waited_s),
            first_ms=None if first_s is None else round(1000 * (first_s - arrived_s)),
            total_ms=round(1000 * (now_s - arrived_s)),
        )
