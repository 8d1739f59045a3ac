"""Estimate true time from the clocks of all nodes, since single clocks jump."""

from statistics import median

# A peer's reading counts until it is this old; drift in that time is negligible.
READING_MAX_AGE_S = 5.0


class PeerClock:
    """Keep the offset of each node's clock from this node's steady clock."""

    def __init__(self) -> None:
        self._offsets: dict[str, tuple[float, float]] = {}

    def record_reading(self, peer: str, wall_s: float, now_s: float) -> None:
        """Take in the time of day that a peer just sent."""
        self._offsets[peer] = (wall_s - now_s, now_s)

    def true_time(self, local_wall_s: float, now_s: float) -> float:
        """Return the median of the fresh readings, this node's included."""
        fresh = [
            offset
            for offset, received_s in self._offsets.values()
            if now_s - received_s < READING_MAX_AGE_S
        ]
        return now_s + median([local_wall_s - now_s, *fresh])
