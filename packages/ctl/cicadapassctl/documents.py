"""Read inventory documents from files, nodes and the log."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from cicadapass_common.logclient import Log
from cicadapass_common.operator_api import INVENTORY_PATH, InventoryAnswer
from cicadapass_common.records import decode_log_record
from cicadapass_decisions.fold import FoldState
from cicadapass_decisions.inventory import EMPTY_INVENTORY, Inventory, parse_inventory
from cicadapass_decisions.inventorydiff import diff_inventories
from cicadapass_decisions.logrecords import NO_VERSION, Publish, PublishVerdict
from cicadapass_decisions.problems import Problem, parse_json
from cicadapassctl.context import Context
from cicadapassctl.exceptions import CommandError, LogReadError, NotFoundError
from cicadapassctl.nodes import query_all


@dataclass(frozen=True, slots=True)
class Document:
    """Pair a valid document with its inventory."""

    raw: dict[str, Any]
    inventory: Inventory


def read_document(path: str) -> Result[Document, tuple[Problem, ...]]:
    """Return the document of a file, or all problems found in it."""
    try:
        text = Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        remedy = "specify a file that this user can read"
        return Error((Problem(path, reason, "a readable file", remedy),))
    return parse_json(text).bind(parse_document)


def parse_document(raw: Any) -> Result[Document, tuple[Problem, ...]]:
    """Return a parsed document with its inventory, or all problems found in it."""
    return parse_inventory(raw).map(lambda inventory: Document(raw, inventory))


def newest_inventory(context: Context) -> Result[InventoryAnswer, CommandError]:
    """Return the newest state of the nodes that answered."""
    answers = query_all(
        context.fetch, context.settings.nodes, INVENTORY_PATH, InventoryAnswer, {}
    )
    if answers.values:
        return Ok(
            max(answers.values, key=lambda each: (each.version, each.next_offset))
        )
    if answers.failed:
        return Error(answers.failed[0])
    return Error(
        CommandError("no node is configured", "add the nodes' URLs to the settings")
    )


def document_in_force(context: Context) -> Result[Document, CommandError]:
    """Return the newest document in force, or an error if there is none."""
    return newest_inventory(context).bind(_document_in_force)


def _document_in_force(answer: InventoryAnswer) -> Result[Document, CommandError]:
    if answer.document is None:
        return Error(NotFoundError("no inventory is in force", "publish one"))
    return parse_document(answer.document).map_error(_unreadable_inventory)


def _unreadable_inventory(problems: tuple[Problem, ...]) -> CommandError:
    problem = f"the inventory in force is invalid at {problems[0].path}"
    return CommandError(problem, "use the cicadapassctl of the nodes' version")


def fold_state(answer: InventoryAnswer) -> FoldState:
    """Return a node's state, from which the log can be read further."""
    verdicts = {
        verdict.publish_id: PublishVerdict(
            verdict.outcome, verdict.offset, verdict.version, verdict.author
        )
        for verdict in answer.verdicts
    }
    return FoldState(
        complete=True,
        version=answer.version,
        publish_id=answer.publish_id,
        author=answer.author,
        document=answer.document,
        verdicts=verdicts,
        next_offset=answer.next_offset,
    )


def read_publish(log: Log, version: int) -> Result[Publish, CommandError]:
    """Return the publish at an offset of the log, whether accepted or not."""
    page = log.read(max(version, 0), 1, 0.0)
    if page.is_error():
        return Error(LogReadError(page.error.problem, page.error.remedy))
    for record in page.ok.records:
        body = decode_log_record(record.offset, record.time_s, record.data).body
        if record.offset == version and isinstance(body, Publish):
            return Ok(body)
    problem = f"the log contains no publish at offset {version}"
    return Error(NotFoundError(problem, "publish the document from a file instead"))


def change_lines(
    old: Mapping[str, Any] | None, new: Mapping[str, Any] | None
) -> tuple[str, ...]:
    """Return the changes between two documents as text; None is an empty document."""
    before, after = _parse_or_empty(old), _parse_or_empty(new)
    if before is None or after is None:
        return ("the difference is unknown because a document is invalid",)
    return tuple(str(change) for change in diff_inventories(before, after))


def _parse_or_empty(document: Mapping[str, Any] | None) -> Inventory | None:
    if document is None:
        return EMPTY_INVENTORY
    return parse_inventory(document).default_value(None)


def format_version(version: int) -> str:
    """Return the version as text, or `none` for NO_VERSION."""
    return "none" if version == NO_VERSION else str(version)
