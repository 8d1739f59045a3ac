"""Command that merges the events of all nodes into one timeline."""

import argparse
from datetime import UTC, datetime
from pathlib import Path

from expression import Error, Ok, Result

from cicadapass_common.events import Event
from cicadapass_common.operator_api import EVENTS_PATH, EventsAnswer
from cicadapass_common.timeline import merge_events
from cicadapass_decisions.problems import show
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
    events = merge_events(map(_events, answers.each), args.request_id)
    if args.svg:
        written = _write(args.svg, timeline_svg(events))
        if written.is_error():
            return Error(written.error)
    lines = [event_line(event) for event in events]
    lines += [f"not reached: {error}" for error in answers.failed]
    code = exit_code(answers)
    if not events and code is ExitCode.DONE:
        lines.append("no node holds such an event; nodes keep the most recent ones")
        code = ExitCode.NOT_FOUND
    document = {"events": [event.to_document() for event in events]}
    return Ok(Outcome(code, tuple(lines), document))


def event_line(event: Event) -> str:
    """Return an event as one line for people; the time is UTC."""
    fields = " ".join(f"{key}={show(value)}" for key, value in event.fields.items())
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


def _events(answer: EventsAnswer) -> list[Event]:
    found = []
    for document in answer.events:
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
