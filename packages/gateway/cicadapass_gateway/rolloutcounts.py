"""Count what this node sends during a rollout, and what comes of it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.rolloutevidence import (
    TRUSTED_SIDE,
    Counts,
    Side,
    SpeedBaseline,
)

Probe = Callable[[UpstreamRecord], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class PromptSize:
    """Store what a prompt asks of an engine."""

    # Tokens to be read, by what this node knows of the engine's memory.
    uncached_tokens: float = 0.0
    # Time in which a trusted engine reads the whole prompt.
    cold_s: float = 0.0


class NodeCounts:
    """Count the requests and answers of one rollout at this node."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.evidence: dict[Side, Counts] = {}
        # First sends of requests to any version.
        self.requests = 0
        # Requests that are at the version on trial or were sent to it.
        self.trials = 0
        self._clock = clock
        self._baselines: dict[str, SpeedBaseline] = {}
        self._open: set[AttemptEvidence] = set()
        self._probes: set[asyncio.Task[None]] = set()

    @property
    def probing(self) -> bool:
        """Return whether it is being found out if an engine has ended."""
        return bool(self._probes)

    def begin(
        self, record: UpstreamRecord, route: str, size: "PromptSize", *, trial: bool
    ) -> "AttemptEvidence":
        """Record a request that is being sent."""
        side = Side(route, record.start_key if trial else TRUSTED_SIDE)
        self.add(side, Counts(sent=1))
        attempt = AttemptEvidence(self, record, side, size, self._clock())
        self._open.add(attempt)
        return attempt

    def add(self, side: Side, counts: Counts) -> None:
        """Increase the counts of a side."""
        self.evidence[side] = self.evidence.get(side, Counts()) + counts

    def discard(self, attempt: "AttemptEvidence") -> None:
        """Remove an attempt that has ended."""
        self._open.discard(attempt)

    def baseline(self, route: str) -> SpeedBaseline:
        """Return the measure of the trusted versions' speed on a route."""
        return self._baselines.setdefault(route, SpeedBaseline())

    def count_overdue(self, now_s: float) -> None:
        """Count the attempts that are late already, though their answer is to come."""
        for attempt in list(self._open):
            attempt.count_if_late(now_s)

    def count_broken(
        self, side: Side, record: UpstreamRecord, probe: Probe | None
    ) -> None:
        """Count a broken answer as failed unless its engine has ended."""
        if probe is None:
            self.add(side, Counts(ended=1, failed=1))
            return
        task = asyncio.create_task(self._count_unless_ended(side, record, probe))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _count_unless_ended(
        self, side: Side, record: UpstreamRecord, probe: Probe
    ) -> None:
        if not await probe(record):
            self.add(side, Counts(ended=1, failed=1))


class AttemptEvidence:
    """Record what comes of one request that was sent."""

    def __init__(
        self,
        counts: NodeCounts,
        record: UpstreamRecord,
        side: Side,
        size: PromptSize,
        sent_s: float,
    ) -> None:
        self._counts = counts
        self._record = record
        self._side = side
        self._size = size
        self._sent_s = sent_s
        self._begun = False
        self._timed = False

    def first_event(self, now_s: float) -> None:
        """Record the first event of a stream, or the end of another answer."""
        if self._begun:
            return
        self._begun = True
        baseline = self._counts.baseline(self._side.route)
        first_s = now_s - self._sent_s
        if not self._timed:
            limit_s = self._limit_s(now_s)
            if limit_s is not None:
                late = int(first_s > limit_s)
                self._counts.add(self._side, Counts(timed=1, late=late))
            self._timed = True
        if self._side.engine == TRUSTED_SIDE:
            baseline.record(self._size.uncached_tokens, first_s, now_s)

    def _limit_s(self, now_s: float) -> float | None:
        baseline = self._counts.baseline(self._side.route)
        return baseline.limit_s(self._size.uncached_tokens, self._size.cold_s, now_s)

    def count_if_late(self, now_s: float) -> None:
        """Count the answer as late once it is, though it may still come."""
        if self._timed:
            return
        limit_s = self._limit_s(now_s)
        if limit_s is not None and now_s - self._sent_s > limit_s:
            self._counts.add(self._side, Counts(timed=1, late=1))
            self._timed = True

    def end(
        self,
        now_s: float,
        healthy: bool | None,
        probe: Probe | None = None,
    ) -> None:
        """Record the end; None if it shows nothing, `probe` if the answer broke off."""
        self._counts.discard(self)
        if healthy is None:
            self.count_if_late(now_s)
        elif healthy:
            self.first_event(now_s)
            self._counts.add(self._side, Counts(ended=1))
        else:
            self._counts.count_broken(self._side, self._record, probe)
