"""Argument parser of the command line."""

import argparse
import textwrap
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cicadapassctl.env import DEFAULT_SETTINGS_FILE, SETTINGS_VARIABLE
from cicadapassctl.exitcodes import MEANINGS


@dataclass(frozen=True, slots=True)
class _CommandParsers:
    """Collect the parsers of the commands by full name."""

    subparsers: Any
    parsers: dict[str, argparse.ArgumentParser]


_DESCRIPTION = """\
Control a cicadapass system: check and publish its inventory, query its nodes.

A first session:
  cicadapassctl settings > cicadapassctl.json    then fill in REQUIRED values
  cicadapassctl validate inventory.json
  cicadapassctl diff inventory.json              compare with the one in force
  cicadapassctl publish inventory.json
  cicadapassctl status
"""


# A fixed width makes the help equal on every terminal and on the generated page.
_HELP_COLUMNS = 88


class _HelpFormatter(argparse.RawDescriptionHelpFormatter):
    def __init__(self, prog: str) -> None:
        super().__init__(prog, width=_HELP_COLUMNS)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    return _make_parsers()["cicadapassctl"]


def help_texts() -> dict[str, str]:
    """Return the help of the command line and of each command by full name."""
    return {name: each.format_help() for name, each in _make_parsers().items()}


def _make_parsers() -> dict[str, argparse.ArgumentParser]:
    parser = argparse.ArgumentParser(
        prog="cicadapassctl",
        description=_DESCRIPTION,
        epilog=_exit_codes_help(),
        formatter_class=_HelpFormatter,
    )
    _add_global_options(parser, None, False)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    parsers = {parser.prog: parser}
    for add_command in _COMMANDS:
        add_command(_CommandParsers(commands, parsers))
    return parsers


def _add_global_options(
    parser: argparse.ArgumentParser, default_file: object, default_flag: object
) -> None:
    parser.add_argument(
        "--settings",
        metavar="FILE",
        default=default_file,
        help=f"settings file; default: the variable {SETTINGS_VARIABLE}, "
        f"else {DEFAULT_SETTINGS_FILE} in the working directory",
    )
    parser.add_argument(
        "--json",
        action="store_true",
        default=default_flag,
        help="print JSON for programs",
    )
    parser.add_argument(
        "--verbose",
        action="store_true",
        default=default_flag,
        help="also print the command's own events to stderr",
    )


def _exit_codes_help() -> str:
    lines = [
        textwrap.fill(
            f"  {int(code)}  {text}", _HELP_COLUMNS, subsequent_indent=" " * 5
        )
        for code, text in MEANINGS.items()
    ]
    return "exit codes:\n" + "\n".join(lines)


def _add_command(
    commands: _CommandParsers, name: str, text: str
) -> argparse.ArgumentParser:
    # Only the first sentence appears in the list of commands.
    short = text.split(". ")[0].rstrip(".")
    parser = commands.subparsers.add_parser(
        name,
        help=short,
        description=textwrap.fill(text, _HELP_COLUMNS),
        formatter_class=_HelpFormatter,
    )
    assert isinstance(parser, argparse.ArgumentParser)
    # Without suppressed defaults, a command would reset options given before its name.
    _add_global_options(parser, argparse.SUPPRESS, argparse.SUPPRESS)
    commands.parsers[parser.prog] = parser
    return parser


def _add_validate(commands: _CommandParsers) -> None:
    text = "Check a document and list every problem with its remedy. Nothing is sent."
    parser = _add_command(commands, "validate", text)
    parser.add_argument("file", metavar="FILE", help="inventory document")


def _add_diff(commands: _CommandParsers) -> None:
    text = "Compare two documents. With one file, compare it with that in force."
    parser = _add_command(commands, "diff", text)
    parser.add_argument("old", metavar="OLD", help="older document, or the only file")
    parser.add_argument("new", metavar="NEW", nargs="?", help="newer document")


def _add_publish(commands: _CommandParsers) -> None:
    text = (
        "Publish a document and wait until it is in force. Lists the data centres in "
        "which it is not in force when the time limit expires."
    )
    parser = _add_command(commands, "publish", text)
    parser.add_argument("file", metavar="FILE", help="inventory document")
    _add_publish_options(parser)


def _add_rollback(commands: _CommandParsers) -> None:
    text = "Publish the document of an older version again. It gets a new version."
    parser = _add_command(commands, "rollback", text)
    parser.add_argument(
        "version", metavar="VERSION", type=_version, help="version to restore"
    )
    _add_publish_options(parser)


def _add_publish_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--base",
        metavar="VERSION",
        type=_version,
        help="version on which the document is based; a newer one in force is a "
        "conflict; default: the version now in force",
    )
    parser.add_argument(
        "--publish-id",
        metavar="ID",
        help="id of an earlier attempt with unknown outcome; it is not applied twice",
    )
    parser.add_argument(
        "--wait-s",
        metavar="SECONDS",
        type=_seconds,
        help="how long to wait until it is in force; default: publish_wait_s",
    )


def _add_show(commands: _CommandParsers) -> None:
    _add_command(commands, "show", "Show the document in force and its version.")


def _add_status(commands: _CommandParsers) -> None:
    _add_command(commands, "status", "Show the version and the requests of each node.")


def _add_upstreams(commands: _CommandParsers) -> None:
    _add_command(
        commands,
        "upstreams",
        "Show each upstream as observed by the nodes.",
    )


def _add_timeline(commands: _CommandParsers) -> None:
    text = "Merge the recent events of all nodes, oldest first."
    parser = _add_command(commands, "timeline", text)
    parser.add_argument(
        "--request-id", metavar="ID", help="events of this request only"
    )
    parser.add_argument(
        "--log",
        metavar="FILE",
        nargs="+",
        help="read these log files instead of querying the nodes",
    )
    parser.add_argument(
        "--svg", metavar="FILE", help="also draw the events into this SVG file"
    )


def _add_explain(commands: _CommandParsers) -> None:
    text = "Show which upstream a request would be sent to now, and why."
    parser = _add_command(commands, "explain", text)
    for name in ("fleet", "service", "workspace"):
        parser.add_argument(f"--{name}", metavar="NAME", required=True, help=name)


def _add_settings(commands: _CommandParsers) -> None:
    text = "Print the settings of this command line with their defaults."
    parser = _add_command(commands, "settings", text)
    parser.add_argument(
        "--explain",
        action="store_true",
        help="print descriptions and ranges instead",
    )


def _add_credential(commands: _CommandParsers) -> None:
    parser = _add_command(commands, "credential", "Create a credential.")
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    text = "Print a new random credential and the hash to list in the inventory."
    _add_command(_CommandParsers(actions, commands.parsers), "new", text)


_COMMANDS: tuple[Callable[[_CommandParsers], None], ...] = (
    *(
        _add_validate,
        _add_diff,
        _add_publish,
        _add_rollback,
        _add_show,
        _add_status,
        _add_upstreams,
    ),
    *(_add_timeline, _add_explain, _add_settings, _add_credential),
)


def _version(text: str) -> int:
    value = int(text)
    if value < 0:
        raise argparse.ArgumentTypeError("a version must be 0 or more")
    return value


def _seconds(text: str) -> float:
    value = float(text)
    if not 0 <= value <= 3600:
        raise argparse.ArgumentTypeError("allowed: 0 to 3600 seconds")
    return value
