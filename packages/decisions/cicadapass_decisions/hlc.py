"""Hybrid logical clock (Kulkarni et al., 2014) with bounded drift."""

from dataclasses import dataclass

# The clocks of VMs of one platform differ by much less; a timestamp further ahead comes
# from a node with a wrong clock.
MAX_DRIFT_S = 60.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True, order=True)
class HybridTime:
    """Represent a totally ordered timestamp of wall time and a counter."""

    wall_ms: int
    counter: int = 0


@dataclass(frozen=True, slots=True)
class Merged:
    """Report the merged clock and whether the remote time exceeded the drift limit."""

    clock: HybridTime
    beyond_limit: bool


def tick(clock: HybridTime, wall_s: float) -> HybridTime:
    """Return the timestamp of a local event, which is later than `clock`."""
    wall_ms = int(wall_s * MS_PER_S)
    if wall_ms > clock.wall_ms:
        return HybridTime(wall_ms)
    return HybridTime(clock.wall_ms, clock.counter + 1)


def merge(clock: HybridTime, remote: HybridTime, wall_s: float) -> Merged:
    """Return the timestamp of a receipt, which is later than `clock` and `remote`.

    A remote timestamp more than MAX_DRIFT_S ahead of the wall clock advances the clock
    only to that limit. The receipt is then later than all timestamps up to the limit,
    but may be earlier than the remote one.
    """
    limit = HybridTime(int((wall_s + MAX_DRIFT_S) * MS_PER_S))
    beyond = remote > limit
    latest = max(clock, min(remote, limit))
    return Merged(tick(latest, wall_s), beyond)
