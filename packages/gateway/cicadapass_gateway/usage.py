"""Count the requests of each workspace by window of true time."""

from collections.abc import Callable, Mapping

# Windows are reported within ten seconds of their end; older counts are not needed.
RETAINED_WINDOWS = 8
# Windows that nodes send each other: the current one and those not final yet.
SENT_WINDOWS = 3

Counts = dict[int, dict[str, int]]


class UsageCounter:
    """Count this node's requests and merge the counts of its peers.

    Counts of an incarnation only grow, so a late or duplicate message has no effect.
    """

    def __init__(self, window_s: float, true_time: Callable[[], float]) -> None:
        self._window_s = window_s
        self._true_time = true_time
        self._local_counts: Counts = {}
        self._peers: dict[str, Counts] = {}

    def window_at(self, true_s: float) -> int:
        """Return the number of the window that contains a time."""
        return int(true_s // self._window_s)

    def window_end_s(self, window: int) -> float:
        """Return the true time at which a window ends."""
        return (window + 1) * self._window_s

    def count(self, workspace: str) -> None:
        """Count a request of a workspace in the current window."""
        window = self.window_at(self._true_time())
        counts = self._local_counts.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        _trim(self._local_counts)

    def local_counts(self) -> Counts:
        """Return this node's counts of the windows that may still be reported."""
        newest = sorted(self._local_counts)[-SENT_WINDOWS:]
        return {window: self._local_counts[window] for window in newest}

    def merge(self, peer: str, counts: Mapping[int, Mapping[str, int]]) -> None:
        """Merge the counts of one incarnation of a peer; a count never decreases."""
        peer_counts = self._peers.setdefault(peer, {})
        for window, received in counts.items():
            # Of the windows in each message, only the current one has new requests.
            if peer_counts.get(window) == received:
                continue
            stored = peer_counts.setdefault(window, {})
            for workspace, number in received.items():
                stored[workspace] = max(stored.get(workspace, 0), number)
        _trim(peer_counts)

    def total(self, window: int) -> dict[str, int]:
        """Return the requests by workspace, summed over all known nodes."""
        total: dict[str, int] = {}
        for counts in [self._local_counts, *self._peers.values()]:
            for workspace, number in counts.get(window, {}).items():
                total[workspace] = total.get(workspace, 0) + number
        return total


def _trim(counts: Counts) -> None:
    while len(counts) > RETAINED_WINDOWS:
        del counts[min(counts)]
