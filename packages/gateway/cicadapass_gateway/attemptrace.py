"""Run the attempts at a request: one, and a hedge beside it while it is silent.

A silent upstream may still answer. The first attempt with something to deliver wins and
the other one is cancelled; while no hedge can be sent, the request keeps waiting.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from cicadapass_decisions.attempts import AttemptOutcome, AttemptResult
from cicadapass_gateway.upstreamattempt import UpstreamAttempt
from cicadapass_gateway.upstreamtracker import Reservation

# Interval at which a silent attempt is checked, and a hedge that could not be sent is
# considered again.
SILENCE_CHECK_S = 0.25
# Shorter waits may end before the clock has moved.
TIMER_RESOLUTION_S = 0.001
# Outcomes that end the request or decide how it goes on.
_DECIDING = frozenset({AttemptOutcome.DELIVERED, AttemptOutcome.MIGRATED})

# Called with the race, the reservation and whether the attempt is a hedge.
MakeAttempt = Callable[["AttemptRace", Reservation, bool], UpstreamAttempt]
# Returns a place for a hedge beside a silent attempt, or None if none can be sent.
PlaceHedge = Callable[[UpstreamAttempt], Coroutine[Any, Any, Reservation | None]]
OnResult = Callable[[UpstreamAttempt, AttemptResult], None]
ReleasePlace = Callable[[Reservation], None]


class AttemptRace:
    """Hold the attempts of one request that are in progress."""

    def __init__(
        self,
        make_attempt: MakeAttempt,
        place_hedge: PlaceHedge,
        release_place: ReleasePlace,
        on_result: OnResult,
        *,
        may_hedge: bool = True,
    ) -> None:
        self._make_attempt = make_attempt
        self._place_hedge = place_hedge
        self._release_place = release_place
        self._on_result = on_result
        self._may_hedge = may_hedge
        # The next check of an attempt that gets no hedge.
        self._next_check: asyncio.TimerHandle | None = None
        self._running: dict[UpstreamAttempt, asyncio.Task[AttemptResult]] = {}
        self._lost: dict[UpstreamAttempt, asyncio.Task[AttemptResult]] = {}
        # Chooses an upstream for a hedge that is not sent yet.
        self._placing: asyncio.Task[Reservation | None] | None = None

    def has_rival(self, attempt: UpstreamAttempt) -> bool:
        """Return whether another attempt may still deliver the answer."""
        return any(
            other is not attempt and not task.done()
            for other, task in self._running.items()
        )

    def claim(self, attempt: UpstreamAttempt) -> None:
        """Let an attempt deliver, and cancel the other one before it can do so."""
        self._drop_placing()
        for other in [each for each in self._running if each is not attempt]:
            task = self._lost[other] = self._running.pop(other)
            other.lose()
            task.cancel()

    async def run(self, reservation: Reservation) -> AttemptResult:
        """Return the result that decides the request, or the last failure."""
        if not self._may_hedge:
            return await self._run_alone(reservation)
        self._start(reservation, hedge=False)
        try:
            while True:
                await self._wait()
                result = self._collect()
                if result is not None and result.outcome in _DECIDING:
                    return result
                if not self._running:
                    return result or AttemptResult.broken("the attempt was cancelled")
                self._advance_hedge()
        finally:
            await self._cancel()

    async def _run_alone(self, reservation: Reservation) -> AttemptResult:
        """Run an attempt that gets no hedge in the task of the request.

        A task of its own takes up to 9 microseconds more, and no hedge will cancel it.
        """
        attempt = self._make_attempt(self, reservation, False)
        self._schedule_check(attempt)
        try:
            result = await attempt.run()
        except asyncio.CancelledError:
            self._release_place(reservation)
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # Only what the attempt waited for was cancelled, not the request.
            return AttemptResult.broken("the attempt was cancelled")
        finally:
            if self._next_check is not None:
                self._next_check.cancel()
        self._on_result(attempt, result)
        return result

    def _schedule_check(self, attempt: UpstreamAttempt) -> None:
        remaining_s = attempt.hedge_delay_s - attempt.silent_s()
        self._next_check = asyncio.get_running_loop().call_later(
            _until_check_s(remaining_s), self._check_silence, attempt
        )

    def _check_silence(self, attempt: UpstreamAttempt) -> None:
        """Judge the silence of an attempt that gets no hedge."""
        if attempt.silent_s() >= attempt.hedge_delay_s:
            attempt.judge_silence()
        self._schedule_check(attempt)

    def _start(self, reservation: Reservation, *, hedge: bool) -> None:
        attempt = self._make_attempt(self, reservation, hedge)
        self._running[attempt] = asyncio.create_task(attempt.run())

    async def _wait(self) -> None:
        """Wait until an attempt ends, or one may have been silent for too long."""
        tasks: set[asyncio.Task] = {*self._running.values()}
        if self._placing is not None:
            tasks.add(self._placing)
        remaining_s = min(
            each.hedge_delay_s - each.silent_s() for each in self._running
        )
        timeout_s = _until_check_s(remaining_s)
        await asyncio.wait(
            tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )

    def _collect(self) -> AttemptResult | None:
        """Report the attempts that have ended; return the result that counts."""
        results = []
        for attempt, task in list(self._running.items()):
            if not task.done():
                continue
            del self._running[attempt]
            if task.cancelled():
                self._release_place(attempt.reservation)
                continue
            error = task.exception()
            if error is not None and self._running:
                # The other attempt may still answer.
                _report_error(error)
                continue
            results.append(task.result())
            self._on_result(attempt, results[-1])
        results.sort(key=lambda result: result.outcome in _DECIDING)
        return results[-1] if results else None

    def _advance_hedge(self) -> None:
        """Send the hedge that was placed, or place one beside a silent attempt."""
        if self._placing is not None and self._placing.done():
            placing, self._placing = self._placing, None
            reservation = _placed(placing)
            if reservation is not None:
                self._start(reservation, hedge=True)
            return
        silent = [
            each for each in self._running if each.silent_s() >= each.hedge_delay_s
        ]
        for attempt in silent:
            attempt.judge_silence()
        if silent and len(self._running) == 1 and self._placing is None:
            self._placing = asyncio.create_task(self._place_hedge(silent[0]))

    async def _cancel(self) -> None:
        """Cancel what is left, and wait until it has released what it holds."""
        attempts = {**self._running, **self._lost}
        for task in attempts.values():
            task.cancel()
        self._drop_placing()
        if not attempts:
            return
        await asyncio.gather(*attempts.values(), return_exceptions=True)
        # A task that is cancelled before its first step releases nothing by itself.
        for attempt, task in attempts.items():
            if task.cancelled():
                self._release_place(attempt.reservation)

    def _drop_placing(self) -> None:
        """Give up the hedge that is not sent yet."""
        placing, self._placing = self._placing, None
        if placing is None or placing.cancel():
            return
        if (reservation := _placed(placing)) is not None:
            self._release_place(reservation)


def _until_check_s(remaining_s: float) -> float:
    """Return the time until the next check; a silence is too long in `remaining_s`."""
    return max(remaining_s, TIMER_RESOLUTION_S) if remaining_s > 0 else SILENCE_CHECK_S


def _placed(placing: asyncio.Task[Reservation | None]) -> Reservation | None:
    """Return the place that was found; an error is reported and means none."""
    if placing.cancelled():
        return None
    error = placing.exception()
    if error is not None:
        _report_error(error)
        return None
    return placing.result()


def _report_error(error: BaseException) -> None:
    """Report an internal error that does not end the request."""
    context = {"message": "an attempt or a hedge failed", "exception": error}
    asyncio.get_running_loop().call_exception_handler(context)
