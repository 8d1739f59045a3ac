"""Find out which engines have ended, by connecting to their addresses."""

import asyncio
from collections import OrderedDict

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_gateway.exceptions import ConnectFailed
from cicadapass_gateway.httpclient import ClientPool

# The connections to an engine that ends are lost within this time.
COLLECT_S = 0.02
CHECK_TIMEOUT_S = 0.4
MAX_CONFIRMED = 256


class EndedEngines:
    """Store which starts of engines were found to have ended."""

    def __init__(self, pool: ClientPool) -> None:
        self._pool = pool
        self._confirmed: OrderedDict[str, None] = OrderedDict()
        self._checks: dict[str, asyncio.Task[bool]] = {}

    def is_known(self, record: UpstreamRecord) -> bool:
        """Return whether a start of an engine is known to have ended."""
        return record.start_key in self._confirmed

    async def has_ended(self, record: UpstreamRecord) -> bool:
        """Return whether nothing listens at an engine's address any more."""
        key = record.start_key
        if key in self._confirmed:
            return True
        check = self._checks.get(key)
        if check is None:
            check = self._checks[key] = asyncio.create_task(self._check(record))
            check.add_done_callback(lambda _: self._checks.pop(key, None))
        return await asyncio.shield(check)

    async def _check(self, record: UpstreamRecord) -> bool:
        await asyncio.sleep(COLLECT_S)
        if not await self._refuses(record):
            return False
        self._confirmed[record.start_key] = None
        while len(self._confirmed) > MAX_CONFIRMED:
            self._confirmed.popitem(last=False)
        return True

    async def _refuses(self, record: UpstreamRecord) -> bool:
        try:
            channel = await self._pool.acquire(
                record.host, record.port, CHECK_TIMEOUT_S, fresh=True
            )
        except ConnectFailed as error:
            return error.refused
        channel.abort()
        return False
