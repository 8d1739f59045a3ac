"""Run one command and print its outcome."""

import argparse
import itertools
import json
import logging
import sys
import time
from collections.abc import Callable, Sequence

from expression import Error, Ok, Result

from cicadapass_common.config import read_settings
from cicadapass_common.events import EventLog
from cicadapass_common.logclient import LogClient
from cicadapass_decisions.options import to_document
from cicadapass_decisions.problems import Problem
from cicadapassctl import env
from cicadapassctl.command_documents import diff, show, validate
from cicadapassctl.command_local import credential_new, settings
from cicadapassctl.command_nodes import explain, status, upstreams
from cicadapassctl.command_publish import publish, rollback
from cicadapassctl.command_timeline import timeline, timeline_of_logs
from cicadapassctl.config import Settings
from cicadapassctl.context import Context, Outcome
from cicadapassctl.exceptions import CommandError
from cicadapassctl.exitcodes import ExitCode
from cicadapassctl.nodes import http_fetch
from cicadapassctl.parser import make_parser

_LocalCommand = Callable[[argparse.Namespace], Result[Outcome, CommandError]]
_RemoteCommand = Callable[[argparse.Namespace, Context], Result[Outcome, CommandError]]

_LOCAL_COMMANDS: dict[str, _LocalCommand] = {
    "validate": validate,
    "settings": settings,
    "credential": credential_new,
}
_REMOTE_COMMANDS: dict[str, _RemoteCommand] = {
    "diff": diff,
    "publish": publish,
    "rollback": rollback,
    "show": show,
    "status": status,
    "upstreams": upstreams,
    "timeline": timeline,
    "explain": explain,
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    args = make_parser().parse_args(argv)
    level = logging.INFO if args.verbose else logging.ERROR
    logging.basicConfig(level=level, format="%(message)s", stream=sys.stderr)
    outcome = run(args, make_context)
    _print(outcome, args.json)
    return int(outcome.exit_code)


ContextFactory = Callable[[Settings], Context]


def run(args: argparse.Namespace, context_factory: ContextFactory) -> Outcome:
    """Run the command that the arguments name; errors become an outcome."""
    result = _run(args, context_factory)
    return _error_outcome(result.error) if result.is_error() else result.ok


def _run(
    args: argparse.Namespace, context_factory: ContextFactory
) -> Result[Outcome, CommandError]:
    if args.command in _LOCAL_COMMANDS:
        return _LOCAL_COMMANDS[args.command](args)
    if args.command == "diff" and args.new:
        return diff(args, None)
    if args.command == "timeline" and args.log:
        return timeline_of_logs(args)
    path = args.settings or env.settings_path()
    result = read_settings(path, Settings)
    if result.is_error():
        return Ok(_invalid_settings(path, result.error))
    if not result.ok.nodes and args.command != "publish":
        return Error(
            CommandError("no node is configured", "add the nodes' URLs to the settings")
        )
    return _REMOTE_COMMANDS[args.command](args, context_factory(result.ok))


def make_context(settings: Settings) -> Context:
    """Return a context that connects to the nodes and the log of the settings."""
    counter = itertools.count()
    events = EventLog(
        "cicadapassctl", lambda: (time.time_ns() // 1_000_000, next(counter))
    )
    return Context(
        settings,
        http_fetch(settings.operator_credential, settings.node_timeout_s),
        LogClient(settings.log_url, settings.log_stream),
        events,
        settings.author or env.login_name(),
    )


def _invalid_settings(path: str, problems: tuple[Problem, ...]) -> Outcome:
    lines = (f"the settings {path} are invalid:", *(f"  {each}" for each in problems))
    document = {"error": "settings", "problems": to_document(problems)}
    return Outcome(ExitCode.USAGE, lines, document, to_stderr=True)


def _error_outcome(error: CommandError) -> Outcome:
    document = {"error": error.problem, "remedy": error.remedy}
    lines = (f"error: {error}",)
    return Outcome(error.exit_code, lines, document, to_stderr=True)


def _print(outcome: Outcome, as_json: bool) -> None:
    if as_json:
        print(json.dumps(outcome.document, indent=2, ensure_ascii=False, default=str))
        return
    for line in outcome.lines:
        print(line, file=sys.stderr if outcome.to_stderr else sys.stdout)
