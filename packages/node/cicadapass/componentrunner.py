"""Start of components under the supervisor."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pykka

from cicadapass.supervisor import (
    ComponentRef,
    StartComponent,
    StopComponents,
    Supervisor,
)

COMPONENT_TIMEOUT_S = 5.0

StartActor = Callable[[], pykka.ActorRef[Any]]


@dataclass(frozen=True, slots=True)
class ComponentRunner:
    """Start components and bind their references at each restart."""

    supervisor: pykka.ActorRef[Supervisor]

    def supervise(self, component: ComponentRef, start: StartActor) -> None:
        """Start a component and let the supervisor restart it when it fails."""

        def start_and_bind() -> pykka.ActorRef[Any]:
            ref = start()
            component.bind(ref)
            return ref

        message = StartComponent(component.name, start_and_bind)
        self.supervisor.ask(message, timeout=COMPONENT_TIMEOUT_S)

    def stop(self) -> None:
        """Stop all components and the supervisor."""
        self.supervisor.ask(StopComponents(), timeout=COMPONENT_TIMEOUT_S)
        self.supervisor.stop()
