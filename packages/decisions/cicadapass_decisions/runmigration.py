"""Decide which runs of a leaving upstream are moved, and where to.

Answers the reclaim of a data centre's engines at short notice: what ends in time is
left alone, and the rest goes on at another engine from a copy of its memory.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from cicadapass_decisions.placement import Candidate

# An upstream that says nothing of the time left serves for the platform's drain time
# and a little longer.
DEFAULT_REMAINING_S = 3.0
# Left for the copy and for the last pieces, in seconds.
COPY_MARGIN_S = 0.7
# Time between two events assumed before enough have come, in seconds.
DEFAULT_EVENT_INTERVAL_S = 0.03
# Estimates of the length are often far off; runs up to this multiple are expected.
LENGTH_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class RunProgress:
    """Hold what tells how long a run still takes."""

    events: int
    elapsed_s: float
    expected_tokens: int
    tokens_per_event: int


def estimate_remaining_s(run: RunProgress) -> float:
    """Return about how long a run still takes."""
    event_interval_s = (
        run.elapsed_s / run.events if run.events > 3 else DEFAULT_EVENT_INTERVAL_S
    )
    expected_events = LENGTH_FACTOR * run.expected_tokens / max(1, run.tokens_per_event)
    return max(1.0, expected_events - run.events) * event_interval_s


def should_migrate(run: RunProgress, available_s: float) -> bool:
    """Return whether a run would be cut where it is."""
    return run.events > 0 and estimate_remaining_s(run) > available_s - COPY_MARGIN_S


def choose_destination(candidates: Sequence[Candidate]) -> str | None:
    """Return the upstream that takes a run over: near, healthy and little loaded."""
    available = [
        candidate for candidate in candidates if candidate.running < candidate.slots
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
