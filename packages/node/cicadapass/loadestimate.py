"""Arrival and completion rates of one service, and the queue waits they predict."""

from collections.abc import Mapping

from cicadapass.grants import AcquireRequest
from cicadapass.upstreamtable import ServiceTable
from cicadapass_decisions.admission import QueueLoad
from cicadapass_decisions.drainrate import (
    FAIR_SHARE_WINDOW_S,
    DrainRate,
    add_cost,
    expected_wait_s,
    nominal_per_s,
    on_backlog,
    served_per_s,
    smoothed_per_s,
)
from cicadapass_decisions.fairqueue import FairQueue
from cicadapass_decisions.policy import RoutingRules
from cicadapass_decisions.work import WorkClass, WorkKind

# A workspace that offers less cost per second does not reduce the others' shares.
MIN_OFFERED_PER_S = 1.0
# Random arrivals exceed a share at times; without this margin 1% of the requests of
# workspaces at 0.6 of their share were shed.
SHARE_MARGIN = 1.15


class LoadEstimate:
    """Estimate the load of one service from its rates; not thread-safe."""

    def __init__(self) -> None:
        self._completed = {kind: DrainRate() for kind in WorkKind}
        self._admitted: dict[tuple[WorkKind, str, int], DrainRate] = {}
        self._offered: dict[tuple[WorkKind, str], DrainRate] = {}

    def on_offered(self, request: AcquireRequest, now_s: float) -> None:
        """Count a request at its arrival, whether or not it is admitted."""
        key = (request.work.kind, request.workspace)
        rate = self._offered.get(key, DrainRate())
        cost = request.work.cost
        self._offered[key] = add_cost(rate, cost, now_s, FAIR_SHARE_WINDOW_S)

    def on_admitted(self, request: AcquireRequest, now_s: float) -> None:
        """Count a request that was granted or queued."""
        key = (request.work.kind, request.workspace, request.priority)
        rate = self._admitted.get(key, DrainRate())
        self._admitted[key] = add_cost(rate, request.work.cost, now_s)

    def on_released(self, work: WorkClass, now_s: float) -> None:
        """Count the cost of completed work."""
        rate = self._completed[work.kind]
        self._completed[work.kind] = add_cost(rate, work.cost, now_s)

    def on_backlog(self, kind: WorkKind, waiting: bool, now_s: float) -> None:
        """Record whether requests of this kind are queued."""
        self._completed[kind] = on_backlog(self._completed[kind], waiting, now_s)

    def load(
        self,
        request: AcquireRequest,
        queue: FairQueue,
        table: ServiceTable,
        rules: RoutingRules,
        now_s: float,
    ) -> QueueLoad:
        """Return the load for the admission of this request."""
        kind, workspace = request.work.kind, request.workspace
        cost = request.work.cost
        ahead = queue.cost_ahead(kind, workspace, request.priority, cost)
        # All nodes share the upstreams.
        nominal = nominal_per_s(table.candidates, request.work, rules) / table.nodes
        served = served_per_s(self._completed[kind], nominal, now_s)
        overtaking = self._overtaking_per_s(request, queue, now_s)
        lowest = queue.lowest_sheddable()
        return QueueLoad(
            expected_wait_s(served, ahead, overtaking),
            len(queue),
            None if lowest is None else lowest.priority,
            within_fair_share=self._is_within_share(
                request, queue.weights, served, now_s
            ),
        )

    def _overtaking_per_s(
        self, request: AcquireRequest, queue: FairQueue, now_s: float
    ) -> float:
        kind, workspace = request.work.kind, request.workspace
        higher = sum(
            smoothed_per_s(rate, now_s)
            for key, rate in self._admitted.items()
            if key[:2] == (kind, workspace) and key[2] > request.priority
        )
        # Fair sharing grants the workspace only its fraction of the capacity.
        return higher * queue.weight_ratio(kind, workspace)

    def _is_within_share(
        self,
        request: AcquireRequest,
        weights: Mapping[str, float],
        served_per_s: float,
        now_s: float,
    ) -> bool:
        """Return whether the workspace offers no more than its weighted share."""
        offered = {
            workspace: smoothed_per_s(rate, now_s, FAIR_SHARE_WINDOW_S)
            for (kind, workspace), rate in self._offered.items()
            if kind is request.work.kind
        }
        total = sum(
            weights.get(workspace, 1.0)
            for workspace, rate in offered.items()
            if rate >= MIN_OFFERED_PER_S or workspace == request.workspace
        )
        weight = weights.get(request.workspace, 1.0)
        share = served_per_s * weight / max(total, weight)
        return offered.get(request.workspace, 0.0) <= share * SHARE_MARGIN


def latest_start_s(
    request: AcquireRequest, table: ServiceTable, rules: RoutingRules
) -> float:
    """Return the latest start at which the answer is expected before the deadline.

    An accepted request may start until its deadline.
    """
    if request.accepted:
        return request.deadline_s
    first_s = table.first_token_s or rules.default_first_token_s
    inter_s = table.inter_token_s or rules.default_inter_token_s
    return request.deadline_s - first_s - request.work.expected_tokens * inter_s
