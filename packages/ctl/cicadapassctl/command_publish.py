"""Commands that put a document in force: publish and rollback."""

import argparse
import uuid
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from cicadapass_common.publish import (
    PublishAccepted,
    PublishConflict,
    PublishRejected,
    PublishResult,
    PublishTools,
    PublishUnknown,
    read_to_end,
)
from cicadapass_common.publish import (
    publish as append_and_judge,
)
from cicadapass_decisions.fold import FoldState, first_verdict
from cicadapass_decisions.inventory import parse_inventory
from cicadapass_decisions.logrecords import Publish, PublishOutcome, PublishVerdict
from cicadapass_decisions.options import to_document
from cicadapassctl.command_documents import invalid
from cicadapassctl.context import Context, Outcome
from cicadapassctl.documents import (
    Document,
    as_document,
    change_lines,
    fold_state,
    newest_inventory,
    publish_at,
    read_document,
    version_name,
)
from cicadapassctl.exceptions import CommandError, LogReadError, NotFoundError
from cicadapassctl.exitcodes import ExitCode
from cicadapassctl.inforce import InForce, wait_in_force


@dataclass(frozen=True, slots=True)
class _Order:
    """Hold one publish: the document, what it is based on, how long to wait."""

    document: Document
    publish_id: str
    base: int
    base_document: Any
    limit_s: float


def publish(
    args: argparse.Namespace, context: Context
) -> Result[Outcome, CommandError]:
    """Publish a file and wait until it is in force in every data centre."""
    found = read_document(args.file)
    if found.is_error():
        return Ok(invalid(args.file, found.error))
    return _state(context).bind(
        lambda state: _publish(context, args, found.ok, state, ())
    )


def rollback(
    args: argparse.Namespace, context: Context
) -> Result[Outcome, CommandError]:
    """Publish the document of an older version anew."""
    state = _state(context)
    if state.is_error():
        return Error(state.error)
    found = publish_at(context.log, args.version)
    if found.is_error():
        return Error(found.error)
    verdict = first_verdict(state.ok, found.ok.publish_id)
    if verdict is not None and not _accepted_as(verdict, args.version):
        problem = f"the publish at offset {args.version} was not accepted"
        return Error(NotFoundError(problem, "name a version that was in force"))
    note = () if verdict else ("note: the log does not tell if it was in force",)
    document = as_document(found.ok.document)
    if document.is_error():
        return Ok(invalid(f"version {args.version}", document.error))
    return _publish(context, args, document.ok, state.ok, note)


def _accepted_as(verdict: PublishVerdict, version: int) -> bool:
    return verdict.outcome is PublishOutcome.ACCEPTED and verdict.offset == version


def _state(context: Context) -> Result[FoldState, CommandError]:
    """Return the state at the end of the log, read on from the newest node's."""
    start = newest_inventory(context).map(fold_state).default_value(FoldState())
    found = read_to_end(context.log, start, parse_inventory)
    if found.is_error():
        return Error(LogReadError(found.error.problem, found.error.remedy))
    if not found.ok.complete:
        problem = "no node answered and the log does not reach back far enough"
        return Error(LogReadError(problem, "start a node and try again"))
    return Ok(found.ok)


def _publish(
    context: Context,
    args: argparse.Namespace,
    document: Document,
    state: FoldState,
    notes: tuple[str, ...],
) -> Result[Outcome, CommandError]:
    limit_s = context.settings.publish_wait_s if args.wait_s is None else args.wait_s
    base = state.version if args.base is None else args.base
    base_document = state.document
    if base != state.version:
        earlier = publish_at(context.log, base).map(lambda each: each.document)
        base_document = earlier.default_value({})
    publish_id = args.publish_id or uuid.uuid4().hex
    order = _Order(document, publish_id, base, base_document, limit_s)
    changes = change_lines(base_document, document.raw)
    result = _send(context, order, state)
    return Ok(_outcome(context, order, result, (*notes, *changes)))


def _send(context: Context, order: _Order, state: FoldState) -> PublishResult:
    request = Publish(order.publish_id, order.base, context.author, order.document.raw)
    tools = PublishTools(context.log, parse_inventory, change_lines, context.sleep)
    context.events.emit(700, publish_id=order.publish_id, base_offset=order.base)
    return append_and_judge(tools, request, state, order.base_document)


def _outcome(
    context: Context, order: _Order, result: PublishResult, changes: tuple[str, ...]
) -> Outcome:
    match result:
        case PublishAccepted(version):
            _judged(context, order, "accepted", version)
            inventory = order.document.inventory
            found = wait_in_force(context, version, inventory, order.limit_s)
            return _accepted(order, version, found, changes)
        case PublishRejected(problems):
            _judged(context, order, "rejected", order.base)
            details = tuple(str(problem) for problem in problems)
            return _not_accepted(order, ExitCode.INVALID, "rejected", details)
        case PublishConflict():
            _judged(context, order, "conflict", result.current_version)
            details = _conflict_lines(order, result)
            return _not_accepted(order, ExitCode.CONFLICT, "conflict", details)
        case PublishUnknown(reason, may_have_taken_effect):
            _judged(context, order, "unknown", order.base)
            if not may_have_taken_effect:
                return _not_accepted(order, ExitCode.UNREACHABLE, "not sent", (reason,))
            retry = f"run the command again with --publish-id {order.publish_id}"
            return _not_accepted(order, ExitCode.UNKNOWN, "unknown", (reason, retry))


def _judged(context: Context, order: _Order, verdict: str, version: int) -> None:
    context.events.emit(
        701, publish_id=order.publish_id, verdict=verdict, version=version
    )


def _conflict_lines(order: _Order, result: PublishConflict) -> tuple[str, ...]:
    winner = f"version {result.winner_version} by {result.winner_author or 'nobody'}"
    base = version_name(order.base)
    head = f"{winner} came into force after {base}, the base of this publish"
    changes = (f"  {line}" for line in result.change)
    return (head, f"from {base} to {version_name(result.current_version)}:", *changes)


def _accepted(
    order: _Order, version: int, found: InForce, changes: tuple[str, ...]
) -> Outcome:
    lines = [*changes, f"accepted as version {version}"]
    if found.reached:
        lines.append("in force in " + ", ".join(found.reached))
    lines += [f"not in force in {each}" for each in found.lagging]
    code = ExitCode.NOT_EVERYWHERE if found.lagging else ExitCode.DONE
    document = {
        "outcome": "accepted",
        "publish_id": order.publish_id,
        "version": version,
        "in_force": list(found.reached),
        "not_in_force": to_document(found.lagging),
    }
    return Outcome(code, tuple(lines), document)


def _not_accepted(
    order: _Order, code: ExitCode, outcome: str, details: tuple[str, ...]
) -> Outcome:
    document = {
        "outcome": outcome,
        "publish_id": order.publish_id,
        "details": list(details),
    }
    return Outcome(code, (f"{outcome}: {details[0]}", *details[1:]), document)
