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
from cicadapassctl.command_nodes import exit_code
from cicadapassctl.context import Context, Outcome
from cicadapassctl.exceptions import CommandError
from cicadapassctl.exitcodes import ExitCode
from cicadapassctl.nodes import ask_all
from cicadapassctl.timeline_svg import timeline_svg


def timeline(
    args: argparse.Namespace, context: Context
) -> Result[Outcome, CommandError]:
    """Show the events of one request or of all, oldest first."""
    query = {"request_id": args.request_id} if args.request_id else {}
    answers = ask_all(
        context.fetch, context.settings.nodes, EVENTS_PATH, EventsAnswer, query
    )
    sources = [_events(answer.events) for answer in answers.each]
    failed = tuple(f"not reached: {error}" for error in answers.failed)
    none = "no node holds such an event; nodes keep the most recent ones"
    return _merged(args, sources, exit_code(answers), (*failed, none))


def timeline_of_logs(args: argparse.Namespace) -> Result[Outcome, CommandError]:
    """Show the events of log files, oldest first."""
    sources = []
    for path in args.log:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            problem = f"{path} cannot be read: {error}"
            return Error(CommandError(problem, "name the nodes' log files"))
        sources.append(_events(_documents(text)))
    none = "no file holds such an event"
    return _merged(args, sources, ExitCode.DONE, (none,))


def _merged(
    args: argparse.Namespace,
    sources: list[list[Event]],
    code: ExitCode,
    notes: tuple[str, ...],
) -> Result[Outcome, CommandError]:
    """Return the merged events; the last note is for a timeline without any."""
    events = merge_events(sources, args.request_id)
    if args.svg:
        written = _write(args.svg, timeline_svg(events))
        if written.is_error():
            return Error(written.error)
    lines = [event_line(event) for event in events]
    lines += notes[:-1]
    if not events and code is ExitCode.DONE:
        lines.append(notes[-1])
        code = ExitCode.NOT_FOUND
    document = {"events": [event.to_document() for event in events]}
    return Ok(Outcome(code, tuple(lines), document))


def event_line(event: Event) -> str:
    """Return an event as one line for people; the time is UTC."""
    fields = " ".join(
        f"{key}={format_value(value)}" for key, value in event.fields.items()
    )
    head = f"{clock_text(event.stamp)} {event.node} {event.level}"
    return f"{head} {event.number} {event.name} {fields}".rstrip()


def clock_text(stamp: tuple[int, int]) -> str:
    """Return the wall time of a stamp to the millisecond."""
    try:
        time = datetime.fromtimestamp(stamp[0] / 1000, UTC)
    except (ValueError, OverflowError, OSError):
        # A node's clock may be far off.
        return f"{stamp[0]} ms"
    return f"{time:%Y-%m-%d %H:%M:%S}.{stamp[0] % 1000:03d}"


def _documents(text: str) -> Iterator[dict[str, object]]:
    for line in text.splitlines():
        try:
            document = json.loads(line)
        except ValueError:
            # Other programs may write to the same file.
            continue
        if isinstance(document, dict):
            yield document


def _events(documents: Iterable[dict[str, object]]) -> list[Event]:
    found = []
    for document in documents:
        try:
            found.append(Event.from_document(document))
        except ValueError:
            # One unreadable event must not hide the others.
            continue
    return found


def _write(path: str, text: str) -> Result[None, CommandError]:
    try:
        Path(path).write_text(text, encoding="utf-8")
    except (OSError, ValueError) as error:
        problem = f"{path} cannot be written: {error}"
        return Error(CommandError(problem, "name a file that this user can write"))
    return Ok(None)
