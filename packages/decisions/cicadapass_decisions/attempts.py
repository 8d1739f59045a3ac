"""Decide whether a request is retried, refused or failed after an attempt."""

from dataclasses import dataclass
from enum import Enum

from cicadapass_decisions.passthrough import CallKind

# Sends of one request, including those that the upstream rejected. Each one loads an
# upstream.
MAX_SENDS = 4
# Upstreams selected for one request. A failed connection is cheap, and after a crash of
# several engines the registry lists all of them for a few more seconds.
MAX_TRIES = 8
# A stream is hedged if no data arrives for this long plus this multiple of the expected
# time; a call after this fraction of its time, or after that multiple of the expected
# time if it is longer.
HEDGE_DELAY_S = 0.9
HEDGE_DELAY_FACTOR = 3.0
HEDGE_DELAY_FRACTION = 1 / 3
# A sound upstream may be silent for a second or so. Longer silences count as a failure.
SOUND_SILENCE_S = 2.0
# So does no data on any connection for this long while requests are in progress, each
# of which may be within a sound silence of its own.
SOUND_UPSTREAM_SILENCE_S = 4.0


class AttemptOutcome(Enum):
    """Classify how an attempt ended; the values are logged."""

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    FAILED = "failed"
    BROKEN = "broken"
    MIGRATED = "moved"
    HELD = "held"
    SUPERSEDED = "superseded"


# The upstream has certainly not run the request.
NOT_RUN_OUTCOMES = frozenset({AttemptOutcome.NOT_SENT, AttemptOutcome.REJECTED})


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Record how an attempt ended and whether the upstream worked."""

    outcome: AttemptOutcome
    # Whether the upstream worked; None if the attempt does not show it.
    healthy: bool | None
    detail: str

    @classmethod
    def delivered(cls, status: int) -> "AttemptResult":
        """Return the result of an answer that was relayed to the caller."""
        return cls(AttemptOutcome.DELIVERED, status < 500, str(status))

    @classmethod
    def not_sent(cls, detail: str) -> "AttemptResult":
        """Return the result of an attempt that could not send the request."""
        return cls(AttemptOutcome.NOT_SENT, None, detail)

    @classmethod
    def rejected(cls, status: int) -> "AttemptResult":
        """Return the result of an upstream that did not run the request."""
        return cls(AttemptOutcome.REJECTED, None, str(status))

    @classmethod
    def failed(cls, status: int) -> "AttemptResult":
        """Return the result of a complete answer with an error status."""
        return cls(AttemptOutcome.FAILED, False, str(status))

    @classmethod
    def broken(cls, detail: str) -> "AttemptResult":
        """Return the result of an incomplete or missing answer."""
        return cls(AttemptOutcome.BROKEN, False, detail)

    @classmethod
    def migrated(cls, upstream_id: str) -> "AttemptResult":
        """Return the result of a run that was migrated to another upstream."""
        return cls(AttemptOutcome.MIGRATED, True, upstream_id)

    @classmethod
    def superseded(cls, detail: str) -> "AttemptResult":
        """Return the result of a hedge that ended in favour of the other attempt."""
        return cls(AttemptOutcome.SUPERSEDED, None, detail)

    @classmethod
    def held(cls, detail: str) -> "AttemptResult":
        """Return the result of a request that came under suspicion unsent."""
        return cls(AttemptOutcome.HELD, None, detail)


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """Count the attempts of a request so far."""

    # The request may run more than once.
    repeatable: bool
    # The caller has received a part of the answer.
    started: bool
    sends: int
    # Upstreams selected, including those that could not be connected to.
    tries: int
    # Attempts that may have run the request.
    runs: int
    max_runs: int
    # Those of the runs that ended with their engine, which the route does not count.
    runs_at_ended: int = 0

    @property
    def runs_used_up(self) -> bool:
        """Return whether the route allows no further run."""
        return self.runs - self.runs_at_ended >= self.max_runs


@dataclass(frozen=True, slots=True)
class Done:
    """End the request; the caller has its answer."""


@dataclass(frozen=True, slots=True)
class Retry:
    """Send the request to another upstream."""

    # The platform limits retries of requests that an upstream has received.
    needs_allowance: bool


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer that the request did not run."""


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer that the request failed and may have run."""


def hedge_delay_s(kind: CallKind, expected_s: float, time_limit_s: float) -> float:
    """Return the silence of an upstream after which a hedge is due."""
    if kind is CallKind.STREAM:
        return HEDGE_DELAY_S + HEDGE_DELAY_FACTOR * expected_s
    return max(HEDGE_DELAY_FRACTION * time_limit_s, HEDGE_DELAY_FACTOR * expected_s)


def is_failing_silence(
    silent_s: float, upstream_silent_s: float, delay_s: float
) -> bool:
    """Return whether a silence of a request is too long for a sound upstream.

    `upstream_silent_s` is the silence towards all requests of the node, and `delay_s`
    that after which a hedge is due.
    """
    if silent_s < delay_s:
        return False
    return silent_s >= SOUND_SILENCE_S or upstream_silent_s >= SOUND_UPSTREAM_SILENCE_S


def may_run_again(progress: RequestProgress) -> bool:
    """Return whether the request may be sent to one more upstream."""
    return (
        progress.repeatable and progress.sends < MAX_SENDS and not progress.runs_used_up
    )


def next_step(
    result: AttemptResult, progress: RequestProgress, *, retry_allowed: bool
) -> Done | Retry | Refuse | Fail:
    """Return the next step; `retry_allowed` comes from the retry allowance."""
    if result.outcome is AttemptOutcome.DELIVERED:
        return Done()
    if result.outcome in (AttemptOutcome.MIGRATED, AttemptOutcome.HELD):
        return Retry(needs_allowance=False)
    if progress.runs and not progress.repeatable:
        # Even if a continuation is rejected, the request has already run.
        return Fail()
    if result.outcome is AttemptOutcome.NOT_SENT and progress.tries < MAX_TRIES:
        return Retry(needs_allowance=False)
    may_send_again = retry_allowed and progress.sends < MAX_SENDS
    if result.outcome is AttemptOutcome.REJECTED and may_send_again:
        return Retry(needs_allowance=True)
    if result.outcome in NOT_RUN_OUTCOMES:
        return Fail() if progress.runs else Refuse()
    if may_send_again and not progress.runs_used_up:
        return Retry(needs_allowance=True)
    return Fail()
