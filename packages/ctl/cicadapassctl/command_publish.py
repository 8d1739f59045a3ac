"""Commands that bring a document into force: publish and rollback."""

import argparse
import uuid
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from cicadapass_common.publish import (
    PublishAccepted,
    PublishConflict,
    PublishDependencies,
    PublishRejected,
    PublishResult,
    PublishUnknown,
    read_to_end,
)
from cicadapass_common.publish import (
    publish as publish_to_log,
)
from cicadapass_decisions.fold import FoldState, first_verdict
from cicadapass_decisions.inventory import parse_inventory
from cicadapass_decisions.logrecords import Publish, PublishOutcome, PublishVerdict
from cicadapass_decisions.options import to_document
from cicadapassctl.command_documents import invalid_outcome
from cicadapassctl.context import Context, Outcome
from cicadapassctl.documents import (
    Document,
    change_lines,
    fold_state,
    format_version,
    newest_inventory,
    parse_document,
    read_document,
    read_publish,
)
from cicadapassctl.exceptions import CommandError, LogReadError, NotFoundError
from cicadapassctl.exitcodes import ExitCode
from cicadapassctl.inforce import InForceStatus, wait_in_force


@dataclass(frozen=True, slots=True)
class _PublishJob:
    """Describe one publish: its document, its base and the time to wait."""

    document: Document
    publish_id: str
    base: int
    base_document: Any
    limit_s: float


def publish(
    args: argparse.Namespace, context: Context
) -> Result[Outcome, CommandError]:
    """Publish a file and wait until it is in force in every data centre."""
    document = read_document(args.file)
    if document.is_error():
        return Ok(invalid_outcome(args.file, document.error))
    return _current_state(context).bind(
        lambda state: _publish(context, args, document.ok, state, ())
    )


def rollback(
    args: argparse.Namespace, context: Context
) -> Result[Outcome, CommandError]:
    """Publish the document of an older version as a new version."""
    state = _current_state(context)
    if state.is_error():
        return Error(state.error)
    older = read_publish(context.log, args.version)
    if older.is_error():
        return Error(older.error)
    verdict = first_verdict(state.ok, older.ok.publish_id)
    if verdict is not None and not _is_accepted_as(verdict, args.version):
        problem = f"the publish at offset {args.version} was not accepted"
        return Error(NotFoundError(problem, "specify a version that was in force"))
    notes = () if verdict else ("note: the log does not show whether it was in force",)
    document = parse_document(older.ok.document)
    if document.is_error():
        return Ok(invalid_outcome(f"version {args.version}", document.error))
    return _publish(context, args, document.ok, state.ok, notes)


def _is_accepted_as(verdict: PublishVerdict, version: int) -> bool:
    return verdict.outcome is PublishOutcome.ACCEPTED and verdict.offset == version


def _current_state(context: Context) -> Result[FoldState, CommandError]:
    """Return the state at the end of the log, starting from the newest node's state."""
    start = newest_inventory(context).map(fold_state).default_value(FoldState())
    result = read_to_end(context.log, start, parse_inventory)
    if result.is_error():
        return Error(LogReadError(result.error.problem, result.error.remedy))
    if not result.ok.complete:
        problem = "no node answered and the log does not contain a complete state"
        return Error(LogReadError(problem, "start a node and try again"))
    return Ok(result.ok)


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
        earlier_document = read_publish(context.log, base).map(
            lambda published: published.document
        )
        base_document = earlier_document.default_value({})
    publish_id = args.publish_id or uuid.uuid4().hex
    job = _PublishJob(document, publish_id, base, base_document, limit_s)
    changes = change_lines(base_document, document.raw)
    result = _append(context, job, state)
    return Ok(_to_outcome(context, job, result, (*notes, *changes)))


def _append(context: Context, job: _PublishJob, state: FoldState) -> PublishResult:
    request = Publish(job.publish_id, job.base, context.author, job.document.raw)
    dependencies = PublishDependencies(
        context.log, parse_inventory, change_lines, context.sleep
    )
    context.events.emit(700, publish_id=job.publish_id, base_offset=job.base)
    return publish_to_log(dependencies, request, state, job.base_document)


def _to_outcome(
    context: Context, job: _PublishJob, result: PublishResult, changes: tuple[str, ...]
) -> Outcome:
    match result:
        case PublishAccepted(version):
            _emit_verdict(context, job, "accepted", version)
            inventory = job.document.inventory
            in_force = wait_in_force(context, version, inventory, job.limit_s)
            return _accepted_outcome(job, version, in_force, changes)
        case PublishRejected(problems):
            _emit_verdict(context, job, "rejected", job.base)
            details = tuple(str(problem) for problem in problems)
            return _failed_outcome(job, ExitCode.INVALID, "rejected", details)
        case PublishConflict():
            _emit_verdict(context, job, "conflict", result.current_version)
            details = _conflict_lines(job, result)
            return _failed_outcome(job, ExitCode.CONFLICT, "conflict", details)
        case PublishUnknown(reason, may_have_taken_effect):
            _emit_verdict(context, job, "unknown", job.base)
            if not may_have_taken_effect:
                return _failed_outcome(job, ExitCode.UNREACHABLE, "not sent", (reason,))
            retry = f"run the command again with --publish-id {job.publish_id}"
            return _failed_outcome(job, ExitCode.UNKNOWN, "unknown", (reason, retry))


def _emit_verdict(
    context: Context, job: _PublishJob, verdict: str, version: int
) -> None:
    context.events.emit(
        701, publish_id=job.publish_id, verdict=verdict, version=version
    )


def _conflict_lines(job: _PublishJob, result: PublishConflict) -> tuple[str, ...]:
    winner = f"version {result.winner_version} by {result.winner_author or 'nobody'}"
    base = format_version(job.base)
    summary = f"{winner} came into force after {base}, the base of this publish"
    changes = (f"  {line}" for line in result.change)
    return (
        summary,
        f"from {base} to {format_version(result.current_version)}:",
        *changes,
    )


def _accepted_outcome(
    job: _PublishJob, version: int, in_force: InForceStatus, changes: tuple[str, ...]
) -> Outcome:
    lines = [*changes, f"accepted as version {version}"]
    if in_force.reached:
        lines.append("in force in " + ", ".join(in_force.reached))
    lines += [f"not in force in {lagging}" for lagging in in_force.lagging]
    code = ExitCode.NOT_EVERYWHERE if in_force.lagging else ExitCode.DONE
    document = {
        "outcome": "accepted",
        "publish_id": job.publish_id,
        "version": version,
        "in_force": list(in_force.reached),
        "not_in_force": to_document(in_force.lagging),
    }
    return Outcome(code, tuple(lines), document)


def _failed_outcome(
    job: _PublishJob, code: ExitCode, outcome: str, details: tuple[str, ...]
) -> Outcome:
    document = {
        "outcome": outcome,
        "publish_id": job.publish_id,
        "details": list(details),
    }
    return Outcome(code, (f"{outcome}: {details[0]}", *details[1:]), document)
