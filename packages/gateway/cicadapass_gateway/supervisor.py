"""Run the components of a gateway and restart failed ones at a limited rate."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from cicadapass_common.events import EventLog

# A component that fails more often than this within the window ends the process, which
# the platform restarts.
MAX_RESTARTS = 20
RESTART_WINDOW_S = 20.0
# Pause before a failed component is restarted.
RESTART_PAUSE_S = 0.2

Component = Callable[[], Awaitable[None]]


class Supervisor:
    """Own the tasks of the components."""

    def __init__(self, events: EventLog, on_failure: Callable[[], None]) -> None:
        self._events = events
        self._on_failure = on_failure
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
        failures: deque[float] = deque(maxlen=MAX_RESTARTS)
        clock = asyncio.get_running_loop().time
        while True:
            try:
                await component()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                self._events.emit(805, part=name, reason=repr(error))
                full = len(failures) == MAX_RESTARTS
                if full and clock() - failures[0] < RESTART_WINDOW_S:
                    self._events.emit(806, part=name, reason=repr(error))
                    self._on_failure()
                    return
                failures.append(clock())
            await asyncio.sleep(RESTART_PAUSE_S)
