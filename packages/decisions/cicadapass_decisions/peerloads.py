"""Sum the loads that peers report of one upstream.

Each request weighs each engine, and an engine has a load from up to each node. So the
sum is kept until a load changes or expires, and only loads with tokens to prefill, a
small part, are evaluated anew each time.
"""

from dataclasses import dataclass

# The reported load of a peer is ignored after this time.
PEER_LOAD_MAX_AGE_S = 3.0


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Store the requests that a peer has in progress at an upstream."""

    running: int
    prefill_tokens: float
    received_s: float

    def remaining_tokens(self, prefill_s_per_token: float, now_s: float) -> float:
        """Return the tokens less those prefilled since the report."""
        elapsed_s = now_s - self.received_s
        return max(0.0, self.prefill_tokens - elapsed_s / prefill_s_per_token)


class PeerLoads:
    """Keep the last load of each peer at one upstream."""

    def __init__(self) -> None:
        self._loads: dict[str, PeerLoad] = {}
        # The sums cover the loads received since `_oldest_s`, and hold from `_newest_s`
        # until the oldest expires.
        self._summed = False
        self._oldest_s = self._newest_s = 0.0
        self._running = 0
        # The loads with tokens to prefill, in the order of all; None if they changed.
        self._reading: list[PeerLoad] | None = None

    def get(self, peer: str) -> PeerLoad | None:
        """Return the last load of a peer, or None."""
        return self._loads.get(peer)

    def set(self, peer: str, load: PeerLoad) -> None:
        """Replace the load of a peer."""
        previous = self._loads.get(peer)
        self._loads[peer] = load
        if load.received_s > self._newest_s:
            self._newest_s = load.received_s
        if (
            previous is not None
            and previous.running == load.running
            and previous.prefill_tokens <= 0 >= load.prefill_tokens
            and previous.received_s >= self._oldest_s <= load.received_s
        ):
            # Only the age has changed, as for most loads; the sums remain valid.
            return
        self._subtract(previous)
        if load.received_s < self._oldest_s:
            # It may be older than loads that have expired.
            self._summed = False
        self._running += load.running
        if load.prefill_tokens > 0:
            self._reading = None

    def remove(self, peer: str) -> None:
        """Remove the load of a peer."""
        self._subtract(self._loads.pop(peer, None))

    def running(self, now_s: float) -> int:
        """Return the requests that the peers have in progress."""
        if not self._loads:
            return 0
        self._update(now_s)
        return self._running

    def prefill_tokens(self, prefill_s_per_token: float, now_s: float) -> float:
        """Return the tokens of the peers that are yet to be prefilled."""
        if not self._loads:
            return 0.0
        self._update(now_s)
        if self._reading is None:
            # Without tokens, the remaining ones are 0 at any time from the report on.
            self._reading = [
                load
                for load in self._loads.values()
                if load.received_s >= self._oldest_s
                and (load.prefill_tokens > 0 or load.received_s > now_s)
            ]
        total = 0.0
        for load in self._reading:
            total += load.remaining_tokens(prefill_s_per_token, now_s)
        return total

    def _subtract(self, load: PeerLoad | None) -> None:
        if load is not None and load.received_s >= self._oldest_s:
            self._running -= load.running
            if load.prefill_tokens > 0:
                self._reading = None

    def _update(self, now_s: float) -> None:
        """Sum the loads again, unless the sums still hold."""
        if (
            self._summed
            and self._newest_s <= now_s
            and now_s - self._oldest_s < PEER_LOAD_MAX_AGE_S
        ):
            return
        fresh = [
            load
            for load in self._loads.values()
            if now_s - load.received_s < PEER_LOAD_MAX_AGE_S
        ]
        self._running = sum(load.running for load in fresh)
        self._reading = None
        # An expired load is older than all of these, and stays expired.
        self._oldest_s = min((load.received_s for load in fresh), default=now_s)
        self._newest_s = max((load.received_s for load in fresh), default=now_s)
        self._newest_s = max(self._newest_s, now_s)
        self._summed = bool(fresh)
