"""Estimate the true time from the clocks of all nodes, because single clocks jump."""

from statistics import median

# Clock drift within this time is negligible.
READING_MAX_AGE_S = 5.0


class PeerClock:
    """Track the offset of each peer's wall clock from the local monotonic clock."""

    def __init__(self) -> None:
        self._offsets: dict[str, tuple[float, float]] = {}

    def record_reading(self, peer: str, wall_s: float, now_s: float) -> None:
        """Record the wall-clock time that a peer has just sent."""
        self._offsets[peer] = (wall_s - now_s, now_s)

    def true_time(self, local_wall_s: float, now_s: float) -> float:
        """Return the median of the local clock and the recent readings of peers."""
        fresh = [
            offset
            for offset, received_s in self._offsets.values()
            if now_s - received_s < READING_MAX_AGE_S
        ]
        return now_s + median([local_wall_s - now_s, *fresh])
