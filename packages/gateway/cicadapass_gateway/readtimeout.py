"""Limit how long an upstream may send no data."""

import asyncio

from cicadapass_gateway.exceptions import AnswerBroken


class ReadTimeout:
    """Raise `AnswerBroken` after `seconds` in the context; None sets no limit."""

    def __init__(self, seconds: float | None) -> None:
        self._timeout = asyncio.timeout(seconds)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(self, *details: object) -> None:
        try:
            await self._timeout.__aexit__(*details)  # type: ignore[arg-type]
        except TimeoutError as error:
            raise AnswerBroken(
                "the upstream sent no data within the read time-out"
            ) from error
