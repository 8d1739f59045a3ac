"""Run the components of a gateway and restart failed ones at a limited rate."""

import asyncio
from collections.abc import Awaitable, Callable

from cicadapass_common.events import EventLog

# Pause before a failed component is restarted. It doubles with each failure, up to the
# maximum: a component may fail on the same input each time, and a new process would
# meet it again.
MIN_RESTART_PAUSE_S = 0.2
MAX_RESTART_PAUSE_S = 5.0
# A component that ran for this long before it failed is restarted after the shortest
# pause again.
RECOVERED_AFTER_S = 20.0

Component = Callable[[], Awaitable[None]]


class Supervisor:
    """Own the tasks of the components."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, component: Component) -> None:
        """Run a component until it returns or `stop` is called."""
        task = asyncio.get_running_loop().create_task(self._supervise(name, component))
        self._tasks.append(task)

    async def stop(self) -> None:
        """Cancel all components and wait for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _supervise(self, name: str, component: Component) -> None:
        clock = asyncio.get_running_loop().time
        failures, pause_s = 0, MIN_RESTART_PAUSE_S
        while True:
            began_s = clock()
            try:
                await component()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                if clock() - began_s >= RECOVERED_AFTER_S:
                    failures, pause_s = 0, MIN_RESTART_PAUSE_S
                failures += 1
                if pause_s < MAX_RESTART_PAUSE_S:
                    self._events.emit(805, part=name, reason=repr(error))
                else:
                    self._events.emit(
                        806, part=name, reason=repr(error), failures=failures
                    )
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RESTART_PAUSE_S)
