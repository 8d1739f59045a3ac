"""Keep the pauses that upstreams ask this node for.

An upstream that turns a request away may name the seconds for which it wants no other.
Without it, a node that has no better upstream sends it each waiting request again.
"""

# Ended pauses are forgotten once there are more than this.
MAX_STORED = 256


class UpstreamPauses:
    """Store until when each start of an upstream wants no requests of this node."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def record(self, start_key: str, pause_s: float, now_s: float) -> bool:
        """Begin or extend a pause; return whether the upstream was not paused yet.

        A shorter time that the upstream names later does not end a pause sooner.
        """
        begins = self.remaining_s(start_key, now_s) <= 0 < pause_s
        until_s = max(self._until_s.get(start_key, now_s), now_s + pause_s)
        self._until_s[start_key] = until_s
        if len(self._until_s) > MAX_STORED:
            self._until_s = {
                key: end_s for key, end_s in self._until_s.items() if end_s > now_s
            }
        return begins

    def remaining_s(self, start_key: str, now_s: float) -> float:
        """Return the remaining seconds of a pause, or 0."""
        return max(0.0, self._until_s.get(start_key, now_s) - now_s)
