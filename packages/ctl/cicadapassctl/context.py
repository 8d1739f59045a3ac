"""What a command works with, and what it hands back."""

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
    """Hold the settings and the outside world of one command."""

    settings: Settings
    fetch: Fetch
    log: Log
    events: EventLog
    author: str
    monotonic: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold a command's exit code, lines for people and document for programs."""

    exit_code: ExitCode
    lines: tuple[str, ...]
    document: Any
    # Mistakes go to stderr, so that a pipe holds nothing but results.
    to_stderr: bool = False
