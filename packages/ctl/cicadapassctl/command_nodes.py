"""Commands that ask the nodes: status, upstreams and explain."""

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
from cicadapassctl.documents import version_name
from cicadapassctl.exceptions import CommandError, NodeError, NotFoundError
from cicadapassctl.exitcodes import ExitCode
from cicadapassctl.misc import milliseconds, table, yes_no
from cicadapassctl.nodes import Answers, ask, ask_all

_STATUS_HEAD = (
    *("node", "data centre", "version", "offset", "ready", "draining"),
    *("requests", "copies"),
)
_UPSTREAMS_HEAD = (
    *("upstream", "service", "data centre", "in flight", "limit", "state"),
    *("first token ms", "between tokens ms", "nodes"),
)


def status(args: argparse.Namespace, context: Context) -> Result[Outcome, CommandError]:
    """Show each node."""
    answers = ask_all(
        context.fetch, context.settings.nodes, STATUS_PATH, NodeStatus, {}
    )
    nodes = sorted(answers.each, key=lambda each: (each.fleet, each.data_centre))
    rows = (
        (
            node.name,
            qualify(node.fleet, node.data_centre),
            version_name(node.version),
            node.offset,
            yes_no(node.ready),
            yes_no(node.draining),
            node.requests_in_progress,
            node.copies_held,
        )
        for node in nodes
    )
    lines = (*table(_STATUS_HEAD, rows), *_failure_lines(answers.failed))
    document = {"nodes": to_document(nodes), "failed": _failures(answers.failed)}
    return Ok(Outcome(exit_code(answers), lines, document))


def upstreams(
    args: argparse.Namespace, context: Context
) -> Result[Outcome, CommandError]:
    """Show each upstream as all nodes together see it."""
    answers = ask_all(
        context.fetch, context.settings.nodes, UPSTREAMS_PATH, UpstreamsAnswer, {}
    )
    seen: dict[tuple[str, str], list[UpstreamStatus]] = {}
    for answer in answers.each:
        for each in answer.upstreams:
            seen.setdefault((each.fleet, each.name), []).append(each)
    rows = [_upstream_row(views) for _, views in sorted(seen.items())]
    lines = (*table(_UPSTREAMS_HEAD, rows), *_failure_lines(answers.failed))
    document = {"nodes": to_document(answers.each), "failed": _failures(answers.failed)}
    return Ok(Outcome(exit_code(answers), lines, document))


def explain(
    args: argparse.Namespace, context: Context
) -> Result[Outcome, CommandError]:
    """Show where a request of a workspace would go now."""
    answers = ask_all(
        context.fetch, context.settings.nodes, STATUS_PATH, NodeStatus, {}
    )
    ours = [each for each in answers.found if each.answer.fleet == args.fleet]
    if not ours and answers.failed:
        return Error(answers.failed[0])
    if not ours:
        problem = f"no node of the fleet {args.fleet} is in the settings"
        return Error(
            NotFoundError(problem, "correct the fleet or add one of its nodes")
        )
    # A node that serves gives the answer that a caller would get.
    ours.sort(key=lambda each: (not each.answer.ready, each.answer.draining))
    query = {
        "fleet": args.fleet,
        "service": args.service,
        "workspace": args.workspace,
    }
    found = ask(context.fetch, ours[0].url, EXPLAIN_PATH, ExplainAnswer, query)
    if found.is_error():
        return Error(found.error)
    return Ok(_explained(found.ok))


def exit_code(answers: Answers[Any]) -> ExitCode:
    """Return the code that says whether all nodes answered."""
    return ExitCode.UNREACHABLE if answers.failed else ExitCode.DONE


def _upstream_row(views: list[UpstreamStatus]) -> tuple[object, ...]:
    first = views[0]
    return (
        qualify(first.fleet, first.name),
        first.service,
        first.data_centre,
        sum(view.in_flight for view in views),
        f"{sum(view.limit for view in views):g}",
        _state(views),
        milliseconds(_largest(view.first_token_s for view in views)),
        milliseconds(_largest(view.inter_token_s for view in views)),
        len(views),
    )


def _state(views: list[UpstreamStatus]) -> str:
    """Name the marks that any node has set."""
    marks = {
        "leaving": any(view.leaving for view in views),
        "failing": any(view.failing for view in views),
        "slow": any(view.slow for view in views),
    }
    return ", ".join(name for name, is_set in marks.items() if is_set) or "good"


def _largest(times_s: Iterable[float | None]) -> float | None:
    return max((each for each in times_s if each is not None), default=None)


def _explained(answer: ExplainAnswer) -> Outcome:
    return Outcome(ExitCode.DONE, tuple(_explain_lines(answer)), to_document(answer))


def _explain_lines(answer: ExplainAnswer) -> Iterator[str]:
    chosen = answer.chosen or "none, the request would be refused"
    yield f"{answer.node} would choose: {chosen}"
    yield from (f"  {reason}" for reason in answer.reasons)
    rows = [
        (
            each.upstream,
            yes_no(each.usable),
            milliseconds(each.cost_s),
            "; ".join(each.reasons),
        )
        for each in answer.candidates
    ]
    if rows:
        yield from table(("upstream", "usable", "cost ms", "reasons"), rows)


def _failure_lines(failed: tuple[NodeError, ...]) -> tuple[str, ...]:
    return tuple(f"not reached: {error}" for error in failed)


def _failures(failed: tuple[NodeError, ...]) -> list[dict[str, str]]:
    return [
        {"problem": error.problem, "remedy": error.remedy, "address": error.address}
        for error in failed
    ]
