"""Decide which runs of a leaving upstream are migrated, and where to.

The platform may reclaim the engines of a data centre at short notice. Runs that finish
in time stay; the others continue at another engine from a copy of their KV cache.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from cicadapass_decisions.placement import Candidate

# Time for which an upstream without a stated leaving time still serves: slightly longer
# than the drain time of the platform.
DEFAULT_REMAINING_S = 3.0
# Reserved for the copy and for relaying the last events.
COPY_MARGIN_S = 0.7
# A run is stopped once a copy of what is new takes no longer than this: the last copy
# interrupts its stream for about as long.
MAX_INTERRUPTION_S = 0.25
# Copies of a running run, including the first one.
MAX_RUNNING_COPIES = 10
# Applies until a run has enough events to measure their interval.
DEFAULT_EVENT_INTERVAL_S = 0.03
# Estimates of the length are often far off; runs are assumed to reach this multiple of
# the estimate.
LENGTH_FACTOR = 1.5


class CopyOutcome(Enum):
    """Name how a call that copies a run to its destination ended."""

    COMPLETE = "complete"
    # The destination has no room or cannot be reached; the source keeps the memory.
    REFUSED = "refused"
    # The source knows no such run: it has ended.
    NO_RUN = "no_run"
    # An earlier call for this run is still in progress.
    IN_PROGRESS = "in_progress"
    # There was no readable answer; the call may have been executed.
    UNKNOWN = "unknown"
    # The source could not be reached, so it did not get the call.
    NOT_SENT = "not_sent"


class Place(Enum):
    """Name an engine at which a stopped run can go on."""

    DESTINATION = "destination"
    SOURCE = "source"


@dataclass(frozen=True, slots=True)
class RunProgress:
    """Describe a run for the estimate of its remaining time."""

    events: int
    elapsed_s: float
    expected_tokens: int
    tokens_per_event: int


def estimate_remaining_s(run: RunProgress) -> float:
    """Return the estimated time until a run ends, at least that of one event."""
    event_interval_s = (
        run.elapsed_s / run.events if run.events > 3 else DEFAULT_EVENT_INTERVAL_S
    )
    expected_events = LENGTH_FACTOR * run.expected_tokens / max(1, run.tokens_per_event)
    return max(1.0, expected_events - run.events) * event_interval_s


def should_migrate(run: RunProgress, available_s: float) -> bool:
    """Return whether a run that has begun to answer will not finish in time."""
    return run.events > 0 and estimate_remaining_s(run) > available_s - COPY_MARGIN_S


def may_stop(copies: int, last_copy_s: float, available_s: float) -> bool:
    """Return whether a run that was copied while it went on is stopped now.

    The first copy takes no account of the copies of other runs that queued behind it.
    `available_s` is the time until the engine may end.
    """
    if copies >= MAX_RUNNING_COPIES or available_s - last_copy_s < COPY_MARGIN_S:
        return True
    return copies > 1 and last_copy_s <= MAX_INTERRUPTION_S


def choose_destination(candidates: Sequence[Candidate]) -> str | None:
    """Return the best upstream with a free slot: healthy, near and lightly loaded."""
    available = [
        candidate
        for candidate in candidates
        if candidate.running < candidate.slots and candidate.has_room
    ]
    chosen = min(
        available,
        key=lambda candidate: (
            candidate.failure_score > 0.5,
            not candidate.local,
            candidate.backlog_s,
            candidate.running,
            candidate.upstream_id,
        ),
        default=None,
    )
    return None if chosen is None else chosen.upstream_id


def may_be_stopped(last_copy: CopyOutcome) -> bool:
    """Return whether the call that was to stop a run may have stopped it.

    If not, a clean end of its stream is that of the whole run. A call that may have
    stopped a run is not repeated, so that `NO_RUN` is never due to an earlier one.
    """
    return last_copy in (
        CopyOutcome.COMPLETE,
        CopyOutcome.REFUSED,
        CopyOutcome.UNKNOWN,
    )


def resume_places(last_copy: CopyOutcome) -> tuple[Place, ...]:
    """Return where a run can go on that was stopped or broke off, the best place first.

    The source keeps the memory until a copy of it is used, which happens once.
    """
    if last_copy is CopyOutcome.COMPLETE:
        return (Place.DESTINATION, Place.SOURCE)
    if last_copy is CopyOutcome.REFUSED:
        return (Place.SOURCE,)
    if last_copy in (CopyOutcome.UNKNOWN, CopyOutcome.NOT_SENT):
        return (Place.SOURCE, Place.DESTINATION)
    return ()
