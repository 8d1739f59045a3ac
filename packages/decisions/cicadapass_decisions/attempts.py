"""Decide what follows an attempt at an upstream."""

from dataclasses import dataclass
from enum import Enum

# Sends of one request, rejected ones included. Each costs an arrival at an upstream.
MAX_SENDS = 4
# Choices of an upstream for one request. One that takes no connection costs little,
# and a crash of several engines leaves as many entries for some seconds.
MAX_TRIES = 8


class AttemptOutcome(Enum):
    """Tell how an attempt ended."""

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    FAILED = "failed"
    BROKEN = "broken"
    MIGRATED = "moved"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Hold how an attempt ended and what it says of the upstream."""

    outcome: AttemptOutcome
    # Whether the upstream did its part; None when the attempt does not tell.
    healthy: bool | None
    detail: str

    @classmethod
    def delivered(cls, status: int) -> "AttemptResult":
        """Return the result of an answer that was passed on."""
        return cls(AttemptOutcome.DELIVERED, status < 500, str(status))

    @classmethod
    def not_sent(cls, detail: str) -> "AttemptResult":
        """Return the result of an attempt that sent nothing."""
        return cls(AttemptOutcome.NOT_SENT, None, detail)

    @classmethod
    def rejected(cls, status: int) -> "AttemptResult":
        """Return the result of an upstream's word that it did not run the request."""
        return cls(AttemptOutcome.REJECTED, None, str(status))

    @classmethod
    def failed(cls, status: int) -> "AttemptResult":
        """Return the result of a complete answer that is a failure."""
        return cls(AttemptOutcome.FAILED, False, str(status))

    @classmethod
    def broken(cls, detail: str) -> "AttemptResult":
        """Return the result of an attempt whose answer is not whole."""
        return cls(AttemptOutcome.BROKEN, False, detail)

    @classmethod
    def migrated(cls, upstream_id: str) -> "AttemptResult":
        """Return the result of a run that goes on at another upstream."""
        return cls(AttemptOutcome.MIGRATED, True, upstream_id)


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """Hold the progress of a request after an attempt."""

    repeatable: bool
    started: bool
    sends: int
    # Choices of an upstream, with those that took no connection.
    tries: int
    runs: int
    max_runs: int


@dataclass(frozen=True, slots=True)
class Done:
    """Say that the caller has its answer."""


@dataclass(frozen=True, slots=True)
class Retry:
    """Say that the request goes to another upstream."""

    # The platform bounds these: an upstream got the request before.
    needs_allowance: bool


@dataclass(frozen=True, slots=True)
class Refuse:
    """Say that the caller is told that the request did not run."""


@dataclass(frozen=True, slots=True)
class Fail:
    """Say that the caller is told that the request failed and may have run."""


def next_step(
    result: AttemptResult, progress: RequestProgress, *, retry_allowed: bool
) -> Done | Retry | Refuse | Fail:
    """Return what follows an attempt; `allowed` is the retry allowance's word."""
    if result.outcome is AttemptOutcome.DELIVERED:
        return Done()
    if result.outcome is AttemptOutcome.MIGRATED:
        return Retry(needs_allowance=False)
    if progress.runs and not progress.repeatable:
        # A rejected continuation does not take back that the request has run.
        return Fail()
    if result.outcome is AttemptOutcome.NOT_SENT and progress.tries < MAX_TRIES:
        return Retry(needs_allowance=False)
    may_send_again = retry_allowed and progress.sends < MAX_SENDS
    if result.outcome is AttemptOutcome.REJECTED and may_send_again:
        return Retry(needs_allowance=True)
    if result.outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.REJECTED):
        return Fail() if progress.runs else Refuse()
    if may_send_again and progress.runs < progress.max_runs:
        return Retry(needs_allowance=True)
    return Fail()
