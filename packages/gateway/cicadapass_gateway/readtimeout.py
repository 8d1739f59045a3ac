"""Give an upstream up that is silent for too long."""

import asyncio

from cicadapass_gateway.exceptions import AnswerBroken


class ReadTimeout:
    """Turn a long silence of an upstream into a broken answer."""

    def __init__(self, seconds: float | None) -> None:
        self._timeout = asyncio.timeout(seconds)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(self, *details: object) -> None:
        try:
            await self._timeout.__aexit__(*details)  # type: ignore[arg-type]
        except TimeoutError as error:
            raise AnswerBroken("the upstream was silent for too long") from error
