"""Find out which processes have ended, by connecting to their addresses."""

import asyncio
from collections import OrderedDict
from typing import Protocol

from cicadapass_gateway.exceptions import ConnectFailed
from cicadapass_gateway.httpclient import ClientPool

# The connections to a process that ends are lost within this time.
COLLECT_S = 0.02
CHECK_TIMEOUT_S = 0.4
MAX_CONFIRMED = 256


class Process(Protocol):
    """Identify one start of an engine or of a node, and its address."""

    @property
    def host(self) -> str:
        """Return the host."""

    @property
    def port(self) -> int:
        """Return the port."""

    @property
    def start_key(self) -> str:
        """Return a name that is unique to this start."""


class EndedProcesses:
    """Store which starts of engines or nodes were found to have ended."""

    def __init__(self, pool: ClientPool) -> None:
        self._pool = pool
        self._confirmed: OrderedDict[str, None] = OrderedDict()
        self._checks: dict[str, asyncio.Task[bool]] = {}

    def is_known(self, process: Process) -> bool:
        """Return whether a start of a process is known to have ended."""
        return process.start_key in self._confirmed

    async def has_ended(self, process: Process) -> bool:
        """Return whether nothing listens at a process's address any more."""
        key = process.start_key
        if key in self._confirmed:
            return True
        check = self._checks.get(key)
        if check is None:
            check = self._checks[key] = asyncio.create_task(self._check(process))
            check.add_done_callback(lambda _: self._checks.pop(key, None))
        return await asyncio.shield(check)

    async def _check(self, process: Process) -> bool:
        await asyncio.sleep(COLLECT_S)
        if not await self._refuses(process):
            return False
        self._confirmed[process.start_key] = None
        while len(self._confirmed) > MAX_CONFIRMED:
            self._confirmed.popitem(last=False)
        return True

    async def _refuses(self, process: Process) -> bool:
        try:
            channel = await self._pool.acquire(
                process.host, process.port, CHECK_TIMEOUT_S, fresh=True
            )
        except ConnectFailed as error:
            return error.refused
        channel.abort()
        return False
