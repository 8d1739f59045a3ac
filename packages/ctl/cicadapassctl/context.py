"""Inputs and outcome of a command."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cicadapass_common.events import EventLog
from cicadapass_common.logclient import Log
from cicadapassctl.config import Settings
from cicadapassctl.exitcodes import ExitCode
from cicadapassctl.nodes import Fetch


@dataclass(frozen=True, slots=True)
class Context:
    """Bundle the settings and external dependencies of one command."""

    settings: Settings
    fetch: Fetch
    log: Log
    events: EventLog
    author: str
    monotonic: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep


@dataclass(frozen=True, slots=True)
class Outcome:
    """Contain the exit code, the lines to print and the document of `--json`."""

    exit_code: ExitCode
    lines: tuple[str, ...]
    document: Any
    # Errors go to stderr so that a pipe receives only results.
    to_stderr: bool = False
