"""Command that merges the events of all nodes into one timeline."""

import argparse
import json
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from pathlib import Path

from expression import Error, Ok, Result

from cicadapass_common.events import Event
from cicadapass_common.operator_api import EVENTS_PATH, EventsAnswer
from cicadapass_common.timeline import merge_events
from cicadapass_decisions.problems import format_value
from cicadapassctl.command_nodes import exit_code_of
from cicadapassctl.context import Context, Outcome
from cicadapassctl.exceptions import CommandError
from cicadapassctl.exitcodes import ExitCode
from cicadapassctl.nodes import query_all
from cicadapassctl.timeline_svg import timeline_svg


def timeline(
    args: argparse.Namespace, context: Context
) -> Result[Outcome, CommandError]:
    """Show the events of one request or of all, oldest first."""
    query = {"request_id": args.request_id} if args.request_id else {}
    answers = query_all(
        context.fetch, context.settings.nodes, EVENTS_PATH, EventsAnswer, query
    )
    sources = [_parse_events(answer.events) for answer in answers.values]
    failed = tuple(f"not reached: {error}" for error in answers.failed)
    empty_note = "no node has such an event; nodes keep only the most recent ones"
    return _timeline_outcome(
        args, sources, exit_code_of(answers), (*failed, empty_note)
    )


def timeline_of_logs(args: argparse.Namespace) -> Result[Outcome, CommandError]:
    """Show the events of log files, oldest first."""
    sources = []
    for path in args.log:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            problem = f"{path} cannot be read: {error}"
            return Error(CommandError(problem, "specify the nodes' log files"))
        sources.append(_parse_events(_parse_lines(text)))
    empty_note = "no file contains such an event"
    return _timeline_outcome(args, sources, ExitCode.DONE, (empty_note,))


def _timeline_outcome(
    args: argparse.Namespace,
    sources: list[list[Event]],
    code: ExitCode,
    notes: tuple[str, ...],
) -> Result[Outcome, CommandError]:
    """Return the merged events; the last note is shown only if there are none."""
    events = merge_events(sources, args.request_id)
    if args.svg:
        written = _write_file(args.svg, timeline_svg(events))
        if written.is_error():
            return Error(written.error)
    lines = [format_event(event) for event in events]
    lines += notes[:-1]
    if not events and code is ExitCode.DONE:
        lines.append(notes[-1])
        code = ExitCode.NOT_FOUND
    document = {"events": [event.to_document() for event in events]}
    return Ok(Outcome(code, tuple(lines), document))


def format_event(event: Event) -> str:
    """Return an event as one line of text; the time is UTC."""
    fields = " ".join(
        f"{key}={format_value(value)}" for key, value in event.fields.items()
    )
    prefix = f"{format_wall_time(event.stamp)} {event.node} {event.level}"
    return f"{prefix} {event.number} {event.name} {fields}".rstrip()


def format_wall_time(stamp: tuple[int, int]) -> str:
    """Return the wall time of a stamp in UTC, with milliseconds."""
    try:
        time = datetime.fromtimestamp(stamp[0] / 1000, UTC)
    except (ValueError, OverflowError, OSError):
        # A node's clock may be outside the range of datetime.
        return f"{stamp[0]} ms"
    return f"{time:%Y-%m-%d %H:%M:%S}.{stamp[0] % 1000:03d}"


def _parse_lines(text: str) -> Iterator[dict[str, object]]:
    for line in text.splitlines():
        try:
            document = json.loads(line)
        except ValueError:
            # Other programs may write to the same file.
            continue
        if isinstance(document, dict):
            yield document


def _parse_events(documents: Iterable[dict[str, object]]) -> list[Event]:
    events = []
    for document in documents:
        try:
            events.append(Event.from_document(document))
        except ValueError:
            # One unreadable event must not hide the others.
            continue
    return events


def _write_file(path: str, text: str) -> Result[None, CommandError]:
    try:
        Path(path).write_text(text, encoding="utf-8")
    except (OSError, ValueError) as error:
        problem = f"{path} cannot be written: {error}"
        return Error(CommandError(problem, "specify a file that this user can write"))
    return Ok(None)
