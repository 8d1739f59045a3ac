"""Collaborators shared by the executions of model requests."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cicadapass.engines import EngineClient
from cicadapass.grantmanager import GrantManager
from cicadapass.grants import AcquireRequest, Grant
from cicadapass.telemetry import Telemetry, no_telemetry
from cicadapass.threads import start_thread
from cicadapass_common.events import EventLog
from cicadapass_decisions.admission import Refusal

if TYPE_CHECKING:
    from cicadapass.execution import Execution


@dataclass(frozen=True, slots=True)
class ExecutionDependencies:
    """Bundle the collaborators of an execution.

    `spawn` raises RuntimeError if the process cannot start another thread.
    """

    acquire: Callable[[AcquireRequest], Grant | Refusal]
    grant_manager: GrantManager
    engines: EngineClient
    url_of: Callable[[str], str | None]
    call_later: Callable[[Callable[[], object], float], object]
    events: EventLog
    on_ended: Callable[["Execution"], None]
    clock: Callable[[], float] = time.monotonic
    spawn: Callable[[str, Callable[[], None]], None] = start_thread
    telemetry: Telemetry = field(default_factory=no_telemetry)
