"""Run a stand-in as a separate process."""

import argparse
import json
import logging
import os
import signal
import threading
from collections.abc import Callable, Sequence
from dataclasses import MISSING, dataclass, fields
from typing import Any, TypeVar

from cicadapass_standins.exceptions import BadRequest
from cicadapass_standins.server import App, ServerOptions, Standin

OptionsT = TypeVar("OptionsT")


@dataclass(frozen=True)
class NoOptions:
    """Options of a stand-in that has no specific ones."""


def run(
    name: str,
    options_type: type[OptionsT],
    build: Callable[[OptionsT], App],
    threads: int = ServerOptions.threads,
    argv: Sequence[str] | None = None,
) -> int:
    """Print the addresses as one JSON line and serve until SIGTERM or SIGINT.

    Each field of `options_type` becomes a command-line option, which takes its type
    and default from the field's default.
    """
    parser = argparse.ArgumentParser(prog=f"python -m cicadapass_standins.{name}")
    _add_options(parser, ServerOptions)
    _add_options(parser, options_type)
    parser.set_defaults(threads=threads)
    parser.add_argument("--faults", default="{}", help="initial faults as JSON")
    args = vars(parser.parse_args(argv))
    logging.basicConfig(level=logging.WARNING)
    app = build(_select_options(options_type, args))
    try:
        app.faults.merge(json.loads(args["faults"]))
    except (ValueError, BadRequest) as error:
        parser.error(f"--faults: {error}")
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    standin = Standin(app, _select_options(ServerOptions, args))
    addresses = {"url": standin.url, "control_url": standin.control_url}
    print(json.dumps({"standin": name, "pid": os.getpid(), **addresses}), flush=True)
    stopped.wait()
    standin.stop()
    return 0


def _add_options(parser: argparse.ArgumentParser, options_type: type) -> None:
    for field in fields(options_type):
        default = field.default
        if default is MISSING:
            assert field.default_factory is not MISSING
            default = field.default_factory()
        parser.add_argument(
            "--" + field.name.replace("_", "-"), type=type(default), default=default
        )


def _select_options(options_type: type[OptionsT], args: dict[str, Any]) -> OptionsT:
    names = [field.name for field in fields(options_type)]  # type: ignore[arg-type]
    return options_type(**{name: args[name] for name in names})
