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
    newest_inventory,
    read_document,
    version_name,
)
from cicadapassctl.exceptions import CommandError
from cicadapassctl.exitcodes import ExitCode


def validate(args: argparse.Namespace) -> Result[Outcome, CommandError]:
    """Check a document without publishing it."""
    found = read_document(args.file)
    if found.is_error():
        return Ok(invalid(args.file, found.error))
    lines = (f"{args.file} is valid", *_summary(found.ok.inventory))
    return Ok(Outcome(ExitCode.DONE, lines, {"valid": True, "problems": []}))


def diff(
    args: argparse.Namespace, context: Context | None
) -> Result[Outcome, CommandError]:
    """Compare two files, or a file with the document in force."""
    last = read_document(args.new or args.old)
    if last.is_error():
        return Ok(invalid(args.new or args.old, last.error))
    if context is None:
        first = read_document(args.old)
        if first.is_error():
            return Ok(invalid(args.old, first.error))
        return Ok(_difference(first.ok, last.ok))
    return document_in_force(context).map(lambda first: _difference(first, last.ok))


def show(args: argparse.Namespace, context: Context) -> Result[Outcome, CommandError]:
    """Show the newest document that a node has in force."""
    found = newest_inventory(context)
    if found.is_error():
        return Error(found.error)
    answer = found.ok
    head = f"version {version_name(answer.version)} by {answer.author or 'nobody'}"
    text = json.dumps(answer.document, indent=2, ensure_ascii=False)
    lines = (head, *text.splitlines())
    code = ExitCode.NOT_FOUND if answer.document is None else ExitCode.DONE
    return Ok(Outcome(code, lines, to_document(answer)))


def invalid(path: str, problems: tuple[Problem, ...]) -> Outcome:
    """Return the outcome for a document with mistakes."""
    count = len(problems)
    head = f"{path} has {count} mistake{'s' if count != 1 else ''}:"
    lines = (head, *(f"  {problem}" for problem in problems))
    document = {"valid": False, "problems": to_document(problems)}
    return Outcome(ExitCode.INVALID, lines, document, to_stderr=True)


def _difference(old: Document, new: Document) -> Outcome:
    changes = diff_inventories(old.inventory, new.inventory)
    lines = tuple(str(change) for change in changes) or ("no difference",)
    return Outcome(ExitCode.DONE, lines, {"changes": to_document(changes)})


def _summary(inventory: Inventory) -> tuple[str, ...]:
    return tuple(
        f"  {fleet.name}: {len(fleet.data_centres)} data centres, "
        f"{len(fleet.services)} services, {len(fleet.upstreams)} upstreams, "
        f"{len(fleet.workspaces)} workspaces"
        for fleet in inventory.fleets.values()
    )
