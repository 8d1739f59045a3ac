"""Wait until a version is in force in every data centre."""

from collections.abc import Iterable
from dataclasses import dataclass

from cicadapass_common.operator_api import STATUS_PATH, NodeStatus
from cicadapass_decisions.inventory import Inventory
from cicadapass_decisions.types import qualify
from cicadapassctl.context import Context
from cicadapassctl.documents import format_version
from cicadapassctl.nodes import Answers, query_all


@dataclass(frozen=True, slots=True)
class LaggingDataCentre:
    """Name a data centre where a version is not in force, with the reason."""

    data_centre: str
    reason: str

    def __str__(self) -> str:
        """Return the data centre and the reason as text."""
        return f"{self.data_centre}: {self.reason}"


@dataclass(frozen=True, slots=True)
class InForceStatus:
    """List the data centres with and without a version; names are qualified."""

    reached: tuple[str, ...]
    lagging: tuple[LaggingDataCentre, ...]


def evaluate_in_force(
    version: int, data_centres: Iterable[str], statuses: Iterable[NodeStatus]
) -> InForceStatus:
    """Check each data centre: all its nodes that answered must have the version.

    Nodes that do not answer are ignored, because some are always being replaced, but
    at least one node of the data centre must answer. A newer version is sufficient.
    """
    nodes_by_name: dict[str, list[NodeStatus]] = {name: [] for name in data_centres}
    for status in statuses:
        name = qualify(status.fleet, status.data_centre)
        nodes_by_name.setdefault(name, []).append(status)
    reasons = {
        name: _lag_reason(version, nodes)
        for name, nodes in sorted(nodes_by_name.items())
    }
    return InForceStatus(
        tuple(name for name, reason in reasons.items() if not reason),
        tuple(
            LaggingDataCentre(name, reason)
            for name, reason in reasons.items()
            if reason
        ),
    )


def _lag_reason(version: int, nodes: list[NodeStatus]) -> str:
    if not nodes:
        return "no node answered"
    behind = [node for node in nodes if node.version < version]
    if not behind:
        return ""
    first = f"{behind[0].name} has version {format_version(behind[0].version)}"
    return first if len(behind) == 1 else f"{first}, {len(behind) - 1} more are behind"


def wait_in_force(
    context: Context, version: int, inventory: Inventory, limit_s: float
) -> InForceStatus:
    """Poll the nodes until the version is in force everywhere or `limit_s` expires."""
    data_centres = [
        data_centre.qualified_name for data_centre in inventory.data_centres()
    ]
    deadline_s = context.monotonic() + limit_s
    while True:
        answers = _query_statuses(context)
        in_force = evaluate_in_force(version, data_centres, answers.values)
        if not in_force.lagging or context.monotonic() >= deadline_s:
            _emit_events(context, version, limit_s, in_force, answers)
            return in_force
        context.sleep(context.settings.poll_interval_s)


def _query_statuses(context: Context) -> Answers[NodeStatus]:
    return query_all(context.fetch, context.settings.nodes, STATUS_PATH, NodeStatus, {})


def _emit_events(
    context: Context,
    version: int,
    limit_s: float,
    in_force: InForceStatus,
    answers: Answers[NodeStatus],
) -> None:
    for error in answers.failed:
        context.events.emit(704, address=error.address, reason=error.problem)
    if in_force.reached:
        context.events.emit(702, version=version, data_centres=in_force.reached)
    if in_force.lagging:
        names = [each.data_centre for each in in_force.lagging]
        context.events.emit(703, version=version, data_centres=names, limit_s=limit_s)
