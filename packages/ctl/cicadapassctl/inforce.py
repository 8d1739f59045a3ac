"""Wait until a version is in force in every data centre."""

from collections.abc import Iterable
from dataclasses import dataclass

from cicadapass_common.operator_api import STATUS_PATH, NodeStatus
from cicadapass_decisions.inventory import Inventory
from cicadapass_decisions.types import qualify
from cicadapassctl.context import Context
from cicadapassctl.documents import version_name
from cicadapassctl.nodes import Answers, ask_all


@dataclass(frozen=True, slots=True)
class Lagging:
    """Name a data centre where a version is not seen in force, and why."""

    data_centre: str
    reason: str

    def __str__(self) -> str:
        """Return the data centre and the reason for people."""
        return f"{self.data_centre}: {self.reason}"


@dataclass(frozen=True, slots=True)
class InForce:
    """Hold where a version is in force and where it is not; names are qualified."""

    reached: tuple[str, ...]
    lagging: tuple[Lagging, ...]


def judge_in_force(
    version: int, data_centres: Iterable[str], statuses: Iterable[NodeStatus]
) -> InForce:
    """Judge each data centre: all its nodes that answered must have the version.

    A node that does not answer does not count, as some are always being replaced, but
    at least one node of the data centre must answer. A newer version counts too.
    """
    nodes: dict[str, list[NodeStatus]] = {name: [] for name in data_centres}
    for status in statuses:
        name = qualify(status.fleet, status.data_centre)
        nodes.setdefault(name, []).append(status)
    reasons = {name: _reason(version, each) for name, each in sorted(nodes.items())}
    return InForce(
        tuple(name for name, reason in reasons.items() if not reason),
        tuple(Lagging(name, reason) for name, reason in reasons.items() if reason),
    )


def _reason(version: int, nodes: list[NodeStatus]) -> str:
    if not nodes:
        return "no node answered"
    behind = [node for node in nodes if node.version < version]
    if not behind:
        return ""
    first = f"{behind[0].name} has version {version_name(behind[0].version)}"
    return first if len(behind) == 1 else f"{first}, {len(behind) - 1} more are behind"


def wait_in_force(
    context: Context, version: int, inventory: Inventory, limit_s: float
) -> InForce:
    """Ask the nodes until the version is in force everywhere or the limit is over."""
    data_centres = [each.qualified_name for each in inventory.data_centres()]
    end_s = context.monotonic() + limit_s
    while True:
        answers = _statuses(context)
        found = judge_in_force(version, data_centres, answers.each)
        if not found.lagging or context.monotonic() >= end_s:
            _report(context, version, limit_s, found, answers)
            return found
        context.sleep(context.settings.poll_interval_s)


def _statuses(context: Context) -> Answers[NodeStatus]:
    return ask_all(context.fetch, context.settings.nodes, STATUS_PATH, NodeStatus, {})


def _report(
    context: Context,
    version: int,
    limit_s: float,
    found: InForce,
    answers: Answers[NodeStatus],
) -> None:
    for error in answers.failed:
        context.events.emit(704, address=error.address, reason=error.problem)
    if found.reached:
        context.events.emit(702, version=version, data_centres=found.reached)
    if found.lagging:
        names = [each.data_centre for each in found.lagging]
        context.events.emit(703, version=version, data_centres=names, limit_s=limit_s)
