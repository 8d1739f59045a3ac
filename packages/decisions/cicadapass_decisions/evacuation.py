"""Decide which runs of a leaving upstream are moved, and where to.

Answers the reclaim of a data centre's engines at short notice: what ends in time is
left alone, and the rest goes on at another engine from a copy of its memory.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from cicadapass_decisions.placing import Candidate

# An upstream that says nothing of the time left serves for the platform's drain time
# and a little longer.
USUAL_LEFT_S = 3.0
# Left for the copy and for the last pieces, in seconds.
MARGIN_S = 0.7
# Time between two events assumed before enough have come, in seconds.
EVENT_S = 0.03
# Estimates of the length are often far off; runs up to this multiple are expected.
LENGTH_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class RunProgress:
    """Hold what tells how long a run still takes."""

    events: int
    running_s: float
    expected_tokens: int
    tokens_per_event: int


def remaining_s(run: RunProgress) -> float:
    """Return about how long a run still takes."""
    event_s = run.running_s / run.events if run.events > 3 else EVENT_S
    total = LENGTH_FACTOR * run.expected_tokens / max(1, run.tokens_per_event)
    return max(1.0, total - run.events) * event_s


def should_move(run: RunProgress, left_s: float) -> bool:
    """Return whether a run would be cut where it is."""
    return run.events > 0 and remaining_s(run) > left_s - MARGIN_S


def choose_destination(candidates: Sequence[Candidate]) -> str | None:
    """Return the upstream that takes a run over: near, healthy and little loaded."""
    roomy = [each for each in candidates if each.running < each.slots]
    best = min(
        roomy,
        key=lambda each: (
            each.failure_score > 0.5,
            not each.local,
            each.backlog_s,
            each.running,
            each.upstream_id,
        ),
        default=None,
    )
    return None if best is None else best.upstream_id
