"""Track the era of the registry, as answers and peers name it."""

import asyncio
from collections.abc import Callable

from cicadapass_decisions.logposition import (
    MAX_ERA,
    EraJudgement,
    judge_era,
    offset_of,
)
from cicadapass_gateway.linelimit import LineLimit
from cicadapass_gateway.nodestate import NodeState

# Lines on malformed eras in a second; every answer may name one.
MAX_ODD_LINES_PER_S = 1

# Called with the eras before and after a rise, and with who named the later one.
RiseListener = Callable[[int, int, str], None]
# Called with the text of an era that is malformed, and with who named it.
OddListener = Callable[[str, str], None]


class RegistryEra:
    """Store the highest era that was named; 0 if the registry names none."""

    def __init__(self) -> None:
        self._value = 0
        # Set at the next rise, and replaced then.
        self._risen = asyncio.Event()
        self._rise_listeners: list[RiseListener] = []
        self._odd_listeners: list[OddListener] = []

    @property
    def value(self) -> int:
        """Return the era."""
        return self._value

    def subscribe(self, on_rise: RiseListener, on_odd: OddListener) -> None:
        """Call the listeners at each rise and for each malformed era."""
        self._rise_listeners.append(on_rise)
        self._odd_listeners.append(on_odd)

    def raise_to(self, era: int, source: str) -> None:
        """Record an era that a peer or an answer names, if it is higher."""
        if not self._value < era <= MAX_ERA:
            return
        before, self._value = self._value, era
        self._risen.set()
        self._risen = asyncio.Event()
        for listener in self._rise_listeners:
            listener(before, era, source)

    async def wait_above(self, era: int) -> None:
        """Wait until a higher era is known."""
        while self._value <= era:
            await self._risen.wait()

    def record_answer(
        self, asked: int, answered: int | None, text: str | None, source: str
    ) -> EraJudgement:
        """Record the era of an answer; `asked` was known when the call began."""
        judgement = judge_era(asked, self._value, answered)
        if judgement is EraJudgement.RISEN and answered is not None:
            self.raise_to(answered, source)
        if judgement is EraJudgement.ODD or (answered is None and text is not None):
            for listener in self._odd_listeners:
                listener(text or "", source)
        return judgement


def report_eras(era: RegistryEra, state: NodeState) -> None:
    """Write a line for each rise, and for malformed eras."""
    lines = LineLimit(MAX_ODD_LINES_PER_S, state.clock)

    def report_rise(before: int, risen: int, source: str) -> None:
        state.metrics.gauge("registry_era", risen)
        state.events.emit(
            837,
            before=before,
            era=risen,
            source=source,
            version=state.version,
            view_end=offset_of(state.upstreams.replica.end_offset),
        )

    def report_odd(text: str, source: str) -> None:
        if lines.allows_line():
            state.events.emit(
                838,
                text=text,
                source=source,
                era=era.value,
                skipped=lines.take_skipped(),
            )

    era.subscribe(report_rise, report_odd)
