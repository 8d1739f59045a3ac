"""Commands that query the nodes: status, upstreams and explain."""

import argparse
from collections.abc import Iterable, Iterator
from typing import Any

from expression import Error, Ok, Result

from cicadapass_common.operator_api import (
    EXPLAIN_PATH,
    STATUS_PATH,
    UPSTREAMS_PATH,
    ExplainAnswer,
    NodeStatus,
    UpstreamsAnswer,
    UpstreamStatus,
)
from cicadapass_decisions.options import to_document
from cicadapass_decisions.types import qualify
from cicadapassctl.context import Context, Outcome
from cicadapassctl.documents import format_version
from cicadapassctl.exceptions import CommandError, NodeError, NotFoundError
from cicadapassctl.exitcodes import ExitCode
from cicadapassctl.formatting import format_bool, format_milliseconds, format_table
from cicadapassctl.nodes import Answers, query_all, query_node

_STATUS_COLUMNS = (
    *("node", "data centre", "version", "offset", "ready", "draining"),
    *("requests", "copies"),
)
_UPSTREAMS_COLUMNS = (
    *("upstream", "service", "data centre", "in flight", "limit", "state"),
    *("first token ms", "between tokens ms", "nodes"),
)


def status(args: argparse.Namespace, context: Context) -> Result[Outcome, CommandError]:
    """Show the status of each node."""
    answers = query_all(
        context.fetch, context.settings.nodes, STATUS_PATH, NodeStatus, {}
    )
    nodes = sorted(answers.values, key=lambda node: (node.fleet, node.data_centre))
    rows = (
        (
            node.name,
            qualify(node.fleet, node.data_centre),
            format_version(node.version),
            node.offset,
            format_bool(node.ready),
            format_bool(node.draining),
            node.requests_in_progress,
            node.copies_held,
        )
        for node in nodes
    )
    lines = (*format_table(_STATUS_COLUMNS, rows), *_failure_lines(answers.failed))
    document = {"nodes": to_document(nodes), "failed": _failure_entries(answers.failed)}
    return Ok(Outcome(exit_code_of(answers), lines, document))


def upstreams(
    args: argparse.Namespace, context: Context
) -> Result[Outcome, CommandError]:
    """Show each upstream, summed over the nodes that answered."""
    answers = query_all(
        context.fetch, context.settings.nodes, UPSTREAMS_PATH, UpstreamsAnswer, {}
    )
    views_by_name: dict[tuple[str, str], list[UpstreamStatus]] = {}
    for answer in answers.values:
        for upstream in answer.upstreams:
            views_by_name.setdefault((upstream.fleet, upstream.name), []).append(
                upstream
            )
    rows = [_upstream_row(views) for _, views in sorted(views_by_name.items())]
    lines = (*format_table(_UPSTREAMS_COLUMNS, rows), *_failure_lines(answers.failed))
    document = {
        "nodes": to_document(answers.values),
        "failed": _failure_entries(answers.failed),
    }
    return Ok(Outcome(exit_code_of(answers), lines, document))


def explain(
    args: argparse.Namespace, context: Context
) -> Result[Outcome, CommandError]:
    """Show which upstream a request of a workspace would be sent to now."""
    answers = query_all(
        context.fetch, context.settings.nodes, STATUS_PATH, NodeStatus, {}
    )
    fleet_nodes = [node for node in answers.received if node.answer.fleet == args.fleet]
    if not fleet_nodes and answers.failed:
        return Error(answers.failed[0])
    if not fleet_nodes:
        problem = f"no node of the fleet {args.fleet} is in the settings"
        return Error(
            NotFoundError(problem, "correct the fleet or add one of its nodes")
        )
    # A node that serves requests makes the choice that a caller would get.
    fleet_nodes.sort(key=lambda node: (not node.answer.ready, node.answer.draining))
    query = {
        "fleet": args.fleet,
        "service": args.service,
        "workspace": args.workspace,
    }
    explanation = query_node(
        context.fetch, fleet_nodes[0].url, EXPLAIN_PATH, ExplainAnswer, query
    )
    if explanation.is_error():
        return Error(explanation.error)
    return Ok(_explain_outcome(explanation.ok))


def exit_code_of(answers: Answers[Any]) -> ExitCode:
    """Return DONE if all nodes answered, else UNREACHABLE."""
    return ExitCode.UNREACHABLE if answers.failed else ExitCode.DONE


def _upstream_row(views: list[UpstreamStatus]) -> tuple[object, ...]:
    first = views[0]
    return (
        qualify(first.fleet, first.name),
        first.service,
        first.data_centre,
        sum(view.in_flight for view in views),
        f"{sum(view.limit for view in views):g}",
        _state_text(views),
        format_milliseconds(_max_or_none(view.first_token_s for view in views)),
        format_milliseconds(_max_or_none(view.inter_token_s for view in views)),
        len(views),
    )


def _state_text(views: list[UpstreamStatus]) -> str:
    """Return the marks that any node has set, or `good` without any."""
    marks = {
        "leaving": any(view.leaving for view in views),
        "failing": any(view.failing for view in views),
        "slow": any(view.slow for view in views),
    }
    return ", ".join(name for name, is_set in marks.items() if is_set) or "good"


def _max_or_none(times_s: Iterable[float | None]) -> float | None:
    return max((time_s for time_s in times_s if time_s is not None), default=None)


def _explain_outcome(answer: ExplainAnswer) -> Outcome:
    return Outcome(ExitCode.DONE, tuple(_explain_lines(answer)), to_document(answer))


def _explain_lines(answer: ExplainAnswer) -> Iterator[str]:
    chosen = answer.chosen or "none, the request would be refused"
    yield f"{answer.node} would choose: {chosen}"
    yield from (f"  {reason}" for reason in answer.reasons)
    rows = [
        (
            candidate.upstream,
            format_bool(candidate.usable),
            format_milliseconds(candidate.cost_s),
            "; ".join(candidate.reasons),
        )
        for candidate in answer.candidates
    ]
    if rows:
        yield from format_table(("upstream", "usable", "cost ms", "reasons"), rows)


def _failure_lines(failed: tuple[NodeError, ...]) -> tuple[str, ...]:
    return tuple(f"not reached: {error}" for error in failed)


def _failure_entries(failed: tuple[NodeError, ...]) -> list[dict[str, str]]:
    return [
        {"problem": error.problem, "remedy": error.remedy, "address": error.address}
        for error in failed
    ]
