"""Decide which runs of a leaving upstream are migrated, and where to.

The platform may reclaim the engines of a data centre at short notice. Runs that finish
in time stay; the others continue at another engine from a copy of their KV cache.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from cicadapass_decisions.placement import Candidate

# Time for which an upstream without a stated leaving time still serves: slightly longer
# than the drain time of the platform.
DEFAULT_REMAINING_S = 3.0
# Reserved for the copy and for relaying the last events.
COPY_MARGIN_S = 0.7
# Applies until a run has enough events to measure their interval.
DEFAULT_EVENT_INTERVAL_S = 0.03
# Estimates of the length are often far off; runs are assumed to reach this multiple of
# the estimate.
LENGTH_FACTOR = 1.5


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
