"""The command line of the node."""

import argparse
import json
import logging
import os
import signal
import sys
from collections.abc import Sequence
from queue import SimpleQueue

from cicadapass.config import NodeSettings, conflicts
from cicadapass.incarnation import new_incarnation
from cicadapass.node import Node
from cicadapass_common.config import defaults_document, read_settings

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_RESTART_LIMIT = 3
EXIT_START = 4
START_REMEDY = "check the addresses and the certificate files in the settings"

DESCRIPTION = """\
Serve callers from this entry VM.

The node prints one JSON line with its addresses, then logs its events as JSON
lines. SIGTERM starts a graceful stop: requests in progress end first.
"""
EPILOG = """\
exit codes:
  0  stopped on request
  2  the settings are invalid; all problems were printed
  3  a component of the node failed too often
  4  an address is in use or a certificate cannot be read
"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the node until a signal or a failure stops it; return the exit code."""
    arguments = _parser().parse_args(argv)
    if arguments.print_defaults:
        print(json.dumps(defaults_document(NodeSettings), indent=2))
        return EXIT_OK
    result = read_settings(arguments.settings, NodeSettings)
    problems = result.error if result.is_error() else conflicts(result.ok)
    if problems:
        for problem in problems:
            print(problem, file=sys.stderr)
        return EXIT_SETTINGS
    # Both log each actor and connection, for which the node emits its own events.
    for library in ("pykka", "websockets"):
        logging.getLogger(library).setLevel(logging.WARNING)
    logging.basicConfig(
        level=arguments.log_level.upper(), format="%(message)s", stream=sys.stderr
    )
    return _run(result.ok)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="cicadapass",
        description=DESCRIPTION,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    mode = parser.add_mutually_exclusive_group(required=True)
    mode.add_argument("--settings", metavar="FILE", help="the settings, as JSON")
    mode.add_argument(
        "--print-defaults", action="store_true", help="print all settings and exit"
    )
    parser.add_argument(
        "--log-level",
        default="info",
        choices=["debug", "info", "warning", "error"],
        help="the lowest level of events to log",
    )
    return parser


def _run(settings: NodeSettings) -> int:
    # SimpleQueue is reentrant: a signal handler may put while the interrupted thread
    # is inside a call of the same queue. threading.Event is not.
    stop_requests: SimpleQueue[None] = SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requests.put(None))
    try:
        node = Node(settings, new_incarnation(), lambda: stop_requests.put(None))
        node.start()
    except OSError as error:
        print(f"the node cannot start: {error}; {START_REMEDY}", file=sys.stderr)
        return EXIT_START
    addresses = {"node": settings.name, "pid": os.getpid(), **node.addresses()}
    print(json.dumps(addresses), flush=True)
    stop_requests.get()
    node.stop()
    return EXIT_RESTART_LIMIT if node.restart_limit_reached else EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
