"""Keep parts running under the supervisor."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pykka

from cicadapass.supervisor import PartRef, StartPart, StopParts, Supervisor

PART_TIMEOUT_S = 5.0

StartActor = Callable[[], pykka.ActorRef[Any]]


@dataclass(frozen=True, slots=True)
class Parts:
    """Start parts so that their references follow each restart."""

    supervisor: pykka.ActorRef[Supervisor]

    def keep(self, part: PartRef, start: StartActor) -> None:
        """Start a part and let the supervisor keep it running."""

        def start_and_bind() -> pykka.ActorRef[Any]:
            ref = start()
            part.bind(ref)
            return ref

        message = StartPart(part.name, start_and_bind)
        self.supervisor.ask(message, timeout=PART_TIMEOUT_S)

    def stop(self) -> None:
        """Stop all parts and the supervisor."""
        self.supervisor.ask(StopParts(), timeout=PART_TIMEOUT_S)
        self.supervisor.stop()
