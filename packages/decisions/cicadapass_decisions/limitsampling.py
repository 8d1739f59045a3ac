"""Sampled admission by a limit that many nodes share.

The load is a workspace that asks for more than its limit at all nodes at once, while
each node hears of the others' use up to a round later. Each request is admitted with
the same probability at all nodes, whatever its size, so that neither the number of
nodes nor the spread of the callers over them matters.
"""

from collections.abc import Mapping
from dataclasses import dataclass

# The room must suffice at each of these parts of the horizon: use that leaves late in
# it was admitted anew before it had left.
HORIZON_PARTS = (0.1, 0.4, 1.6)
# Requests are sampled up to this multiple of an even use of the limit.
MAX_PACE = 3.0
# Part of the admitted demand that is the same for all ranks.
COMMON_FRACTION = 0.2
# Part of a time to return that is drawn at random, so that callers who were refused
# together do not return together.
SPREAD_FRACTION = 0.5

# Bounds the time to return, which grows with the inverse of the probability.
MIN_PROBABILITY = 0.01


@dataclass(frozen=True, slots=True)
class LimitState:
    """Estimate a workspace's use of its limit by all nodes together."""

    # Room in the window now, negative if it is exceeded.
    room: float
    # Use that leaves the window within each of the parts of the horizon.
    leaving: tuple[float, ...]
    # What callers ask for at all nodes, in tokens of a window.
    demand: float
    window_s: float
    # Time until all nodes know of what is admitted now.
    horizon_s: float


def admission_probability(state: LimitState) -> float:
    """Return the part of the requests that fits into the limit until peers know."""
    probability = 1.0
    for part, leaving in zip(HORIZON_PARTS, state.leaving, strict=True):
        expected = state.demand * part * state.horizon_s / state.window_s
        available = state.room + leaving
        if available < probability * expected:
            probability = max(0.0, available / expected)
    return probability


def ranked_probability(
    probability: float, demands: Mapping[int, float], rank: int
) -> float:
    """Return the probability for requests of a rank, the lowest rank first.

    `demands` has what is asked for by rank. In the mean, as much is admitted as with
    the same probability for all; a part of it keeps to that, so that no rank starves.
    """
    left = probability * sum(demands.values())
    for each in sorted(demands):
        if each == rank and demands[each] > 0:
            first = min(1.0, max(0.0, left / demands[each]))
            return (1 - COMMON_FRACTION) * first + COMMON_FRACTION * probability
        left -= demands[each]
    return probability


def paced_probability(probability: float, recent: float, even: float) -> float:
    """Return a lower probability while recent use is far above an even use.

    Callers whose requests are admitted ask again at once, before the demand shows it.
    """
    return min(probability, max(0.0, 2.0 - 2.0 * recent / (MAX_PACE * even)))


def sampled_retry_s(state: LimitState, probability: float, spread: float) -> float:
    """Return the time in which the limit has room for all that callers ask for now.

    `spread` (0 to 1) keeps callers who were refused together from returning together.
    """
    wait_s = min(state.window_s, state.horizon_s / max(probability, MIN_PROBABILITY))
    return wait_s * (1.0 + SPREAD_FRACTION * (spread - 0.5))


def capped_retry_s(wait_s: float, most_s: float, spread: float) -> float:
    """Return a time to return of at most `most_s`; those above it are spread anew."""
    if wait_s <= most_s:
        return wait_s
    return most_s * (1.0 - SPREAD_FRACTION * spread)
