"""What a node knows of one upstream: work in progress, speed and failures."""

from collections import OrderedDict
from dataclasses import dataclass

from cicadapass_decisions.passthrough import Prompt

# Reading speed assumed of an engine before its first answer, in seconds a prompt
# token; the sheets name 62 to 66 tokens/ms and about a fourth goes to decoding.
INITIAL_TOKEN_S = 0.00002
# Time of a call to a plain service before its first answer, in seconds.
INITIAL_CALL_S = 0.03
# Weight of a new sample in the moving averages.
SAMPLE_WEIGHT = 0.2
# Fixed part of the time to the first token, in seconds.
FIRST_TOKEN_BASE_S = 0.02
# A failure moves the score this far towards 1, a success this far towards 0.
FAILURE_WEIGHT = 0.34
SUCCESS_WEIGHT = 0.2
# The score of failures halves in this time without traffic, so that an upstream that
# recovered is tried again.
FAILURE_HALF_LIFE_S = 3.0
# A learnt speed fades towards the group's in about this time without samples.
SPEED_FADE_S = 6.0
# A peer's figures count until it has been silent this long.
PEER_FIGURES_S = 3.0
# What an upstream told of its load counts for this long, and a rejection for this long.
REPORTED_S = 0.5
FULL_S = 0.3
# An upstream that took no connection is tried again after this long; the entry of a
# crashed one lasts about four times as long.
UNREACHABLE_S = 1.0
# A cached part of a prompt is expected to be held this long after its last use.
HELD_S = 30.0
MAX_HELD_PARTS = 2000
# At most this part of the oldest prompt counts as read before its first token came.
MAX_READ_PART = 0.9


@dataclass(slots=True)
class Run:
    """Hold one request in progress at an upstream."""

    reading_tokens: float
    ahead_tokens: float
    sent_s: float
    first_s: float | None = None


@dataclass(frozen=True, slots=True)
class PeerFigures:
    """Hold what a peer has in progress at an upstream."""

    running: int
    reading_tokens: float
    heard_s: float


class UpstreamMeter:
    """Track one start of an upstream."""

    def __init__(self) -> None:
        self.token_s = INITIAL_TOKEN_S
        self.call_s = INITIAL_CALL_S
        self._sampled_s = 0.0
        self._runs: dict[str, Run] = {}
        self._peers: dict[str, PeerFigures] = {}
        self._failure_score = 0.0
        self._failed_s = 0.0
        self._last_first_s = 0.0
        self._held: OrderedDict[str, float] = OrderedDict()
        self._reported = (0, -1e9)
        self._full_s = -1e9
        self._unreachable_s = -1e9

    @property
    def own_running(self) -> int:
        """Return the requests that this node has in progress there."""
        return len(self._runs)

    def begin(self, key: str, prompt: Prompt, now_s: float) -> int:
        """Note a request that is being sent; return its tokens still to be read."""
        reading = max(0, prompt.prompt_tokens - self.held_tokens(prompt, now_s))
        ahead = self.reading_tokens(now_s)
        self._runs[key] = Run(float(reading), ahead, now_s)
        for part in prompt.shared_parts:
            self._held[part.part_id] = now_s
            self._held.move_to_end(part.part_id)
        while len(self._held) > MAX_HELD_PARTS:
            self._held.popitem(last=False)
        return reading

    def first_token(self, key: str, now_s: float) -> None:
        """Note that the answer to a request began."""
        run = self._runs.get(key)
        if run is None or run.first_s is not None:
            return
        run.first_s = now_s
        self._last_first_s = now_s
        tokens = run.reading_tokens + run.ahead_tokens
        if tokens > 0:
            # A short prompt alone says little about the speed of reading.
            sample = max(0.0, now_s - run.sent_s - FIRST_TOKEN_BASE_S) / tokens
            weight = SAMPLE_WEIGHT * min(1.0, tokens / 2000)
            self.token_s += weight * (sample - self.token_s)
            self._sampled_s = now_s

    def end(self, key: str, now_s: float, *, succeeded: bool | None) -> None:
        """Note the end of a request; None leaves the score of failures as it is."""
        run = self._runs.pop(key, None)
        if run is not None and succeeded and run.reading_tokens == 0:
            self.call_s += SAMPLE_WEIGHT * (now_s - run.sent_s - self.call_s)
            self._sampled_s = now_s
        if succeeded is None:
            return
        score = self.failure_score(now_s)
        if succeeded:
            score -= SUCCESS_WEIGHT * score
        else:
            score += FAILURE_WEIGHT * (1 - score)
        self._failure_score, self._failed_s = score, now_s

    def fail(self, now_s: float) -> None:
        """Note that the upstream could not be reached."""
        self._failure_score, self._failed_s = 1.0, now_s
        self._unreachable_s = now_s

    def is_unreachable(self, now_s: float) -> bool:
        """Return whether the upstream took no connection just now."""
        return now_s - self._unreachable_s < UNREACHABLE_S

    def report(self, running: int, now_s: float) -> None:
        """Take in the number of requests that the upstream itself told."""
        self._reported = (running, now_s)

    def note_full(self, now_s: float) -> None:
        """Note that the upstream rejected a request for want of room."""
        self._full_s = now_s

    def is_full(self, now_s: float) -> bool:
        """Return whether the upstream rejected a request just now."""
        return now_s - self._full_s < FULL_S

    def hear(self, peer: str, figures: PeerFigures) -> None:
        """Take in the figures of a peer."""
        self._peers[peer] = figures

    def hear_sent(self, peer: str, tokens: int, now_s: float) -> None:
        """Take in that a peer has just sent a prompt; its next figures hold it too."""
        known = self._peers.get(peer, PeerFigures(0, 0.0, now_s))
        unread = self._unread(known, now_s) + tokens
        self._peers[peer] = PeerFigures(known.running, unread, now_s)

    def forget(self, peer: str) -> None:
        """Note that a peer has nothing in progress there."""
        self._peers.pop(peer, None)

    def running(self, now_s: float) -> int:
        """Return the requests in progress there, those of peers included."""
        peers = (peer.running for peer in self._fresh_peers(now_s))
        counted = len(self._runs) + sum(peers)
        reported, told_s = self._reported
        return max(counted, reported) if now_s - told_s < REPORTED_S else counted

    def reading_tokens(self, now_s: float) -> float:
        """Return the prompt tokens that the upstream has still to read."""
        unread = (self._unread(each, now_s) for each in self._fresh_peers(now_s))
        return self.own_reading_tokens(now_s) + sum(unread)

    def own_reading_tokens(self, now_s: float) -> float:
        """Return the prompt tokens of this node that are still to be read."""
        unread = [run for run in self._runs.values() if run.first_s is None]
        if not unread:
            return 0.0
        oldest = min(unread, key=lambda run: run.sent_s)
        since = max(oldest.sent_s, self._last_first_s)
        done = min(
            MAX_READ_PART * oldest.reading_tokens, (now_s - since) / self.token_s
        )
        return sum(run.reading_tokens for run in unread) - max(0.0, done)

    def held_tokens(self, prompt: Prompt, now_s: float) -> int:
        """Return the leading tokens of a prompt that are expected to be cached."""
        total = 0
        for part in prompt.shared_parts:
            used_s = self._held.get(part.part_id)
            if used_s is None or now_s - used_s > HELD_S:
                break
            total += part.tokens
        return total

    def failure_score(self, now_s: float) -> float:
        """Return the score of recent failures, from 0 to 1."""
        elapsed = max(0.0, now_s - self._failed_s)
        return self._failure_score * 0.5 ** (elapsed / FAILURE_HALF_LIFE_S)

    def fade_speed(
        self, group_token_s: float, group_call_s: float, now_s: float
    ) -> None:
        """Move the learnt speeds towards the group's when no sample came lately."""
        if now_s - self._sampled_s > SPEED_FADE_S:
            self.token_s += SAMPLE_WEIGHT * (group_token_s - self.token_s)
            self.call_s += SAMPLE_WEIGHT * (group_call_s - self.call_s)

    def _unread(self, peer: PeerFigures, now_s: float) -> float:
        """Return what is left of a peer's tokens since they were told."""
        elapsed_s = now_s - peer.heard_s
        return max(0.0, peer.reading_tokens - elapsed_s / self.token_s)

    def _fresh_peers(self, now_s: float) -> list[PeerFigures]:
        return [
            peer
            for peer in self._peers.values()
            if now_s - peer.heard_s < PEER_FIGURES_S
        ]
