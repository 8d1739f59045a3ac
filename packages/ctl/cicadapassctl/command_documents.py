"""Commands on documents: validate, diff and show."""

import argparse
import json

from expression import Error, Ok, Result

from cicadapass_decisions.inventory import Inventory
from cicadapass_decisions.inventorydiff import diff_inventories
from cicadapass_decisions.options import to_document
from cicadapass_decisions.problems import Problem
from cicadapassctl.context import Context, Outcome
from cicadapassctl.documents import (
    Document,
    document_in_force,
    format_version,
    newest_inventory,
    read_document,
)
from cicadapassctl.exceptions import CommandError
from cicadapassctl.exitcodes import ExitCode


def validate(args: argparse.Namespace) -> Result[Outcome, CommandError]:
    """Check a document without publishing it."""
    document = read_document(args.file)
    if document.is_error():
        return Ok(invalid_outcome(args.file, document.error))
    lines = (f"{args.file} is valid", *_summary_lines(document.ok.inventory))
    return Ok(Outcome(ExitCode.DONE, lines, {"valid": True, "problems": []}))


def diff(
    args: argparse.Namespace, context: Context | None
) -> Result[Outcome, CommandError]:
    """Compare two files, or one file with the document in force."""
    new = read_document(args.new or args.old)
    if new.is_error():
        return Ok(invalid_outcome(args.new or args.old, new.error))
    if context is None:
        old = read_document(args.old)
        if old.is_error():
            return Ok(invalid_outcome(args.old, old.error))
        return Ok(_diff_outcome(old.ok, new.ok))
    return document_in_force(context).map(lambda old: _diff_outcome(old, new.ok))


def show(args: argparse.Namespace, context: Context) -> Result[Outcome, CommandError]:
    """Show the newest document that any node has in force."""
    result = newest_inventory(context)
    if result.is_error():
        return Error(result.error)
    answer = result.ok
    header = f"version {format_version(answer.version)} by {answer.author or 'nobody'}"
    text = json.dumps(answer.document, indent=2, ensure_ascii=False)
    lines = (header, *text.splitlines())
    code = ExitCode.NOT_FOUND if answer.document is None else ExitCode.DONE
    return Ok(Outcome(code, lines, to_document(answer)))


def invalid_outcome(path: str, problems: tuple[Problem, ...]) -> Outcome:
    """Return the outcome for an invalid document, one line per problem."""
    count = len(problems)
    header = f"{path} has {count} mistake{'s' if count != 1 else ''}:"
    lines = (header, *(f"  {problem}" for problem in problems))
    document = {"valid": False, "problems": to_document(problems)}
    return Outcome(ExitCode.INVALID, lines, document, to_stderr=True)


def _diff_outcome(old: Document, new: Document) -> Outcome:
    changes = diff_inventories(old.inventory, new.inventory)
    lines = tuple(str(change) for change in changes) or ("no difference",)
    return Outcome(ExitCode.DONE, lines, {"changes": to_document(changes)})


def _summary_lines(inventory: Inventory) -> tuple[str, ...]:
    return tuple(
        f"  {fleet.name}: {len(fleet.data_centres)} data centres, "
        f"{len(fleet.services)} services, {len(fleet.upstreams)} upstreams, "
        f"{len(fleet.workspaces)} workspaces"
        for fleet in inventory.fleets.values()
    )
