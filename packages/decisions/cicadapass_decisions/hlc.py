"""A hybrid logical clock (Kulkarni et al., 2014) with bounded drift."""

from dataclasses import dataclass

# VMs of one platform are synchronised to much less than this; a stamp further ahead
# comes from a node with a wrong clock.
MAX_DRIFT_S = 60.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True, order=True)
class HybridTime:
    """Hold a stamp: wall time in milliseconds, then a counter; totally ordered."""

    wall_ms: int
    counter: int = 0


@dataclass(frozen=True, slots=True)
class Merged:
    """Hold the merged clock and whether the remote stamp was beyond the limit."""

    clock: HybridTime
    beyond_limit: bool


def tick(clock: HybridTime, wall_s: float) -> HybridTime:
    """Return the stamp of a local event; it is later than `clock`."""
    wall_ms = int(wall_s * MS_PER_S)
    if wall_ms > clock.wall_ms:
        return HybridTime(wall_ms)
    return HybridTime(clock.wall_ms, clock.counter + 1)


def merge(clock: HybridTime, remote: HybridTime, wall_s: float) -> Merged:
    """Return the stamp of a receipt; it is later than `clock` and `remote`.

    A remote stamp more than MAX_DRIFT_S ahead of the wall clock only moves the clock
    to that limit. The receipt is then later than all stamps up to the limit, but may
    be earlier than that one remote stamp.
    """
    limit = HybridTime(int((wall_s + MAX_DRIFT_S) * MS_PER_S))
    beyond = remote > limit
    latest = max(clock, min(remote, limit))
    return Merged(tick(latest, wall_s), beyond)
