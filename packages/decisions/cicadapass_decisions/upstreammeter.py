"""Measure the load, speed and failures of one upstream."""

from collections import OrderedDict
from dataclasses import dataclass

from cicadapass_decisions.passthrough import Prompt
from cicadapass_decisions.peerloads import PEER_LOAD_MAX_AGE_S, PeerLoad, PeerLoads

__all__ = ["PEER_LOAD_MAX_AGE_S", "PeerLoad", "UpstreamMeter"]

# Prefill time assumed before the first answer of an engine. Engines are specified at 62
# to 66 tokens/ms, of which decoding takes about a quarter.
INITIAL_PREFILL_S_PER_TOKEN = 0.00002
# Duration assumed for a call to a plain service before its first answer.
INITIAL_CALL_S = 0.03
# Weight of a new sample in the exponential moving averages.
SAMPLE_WEIGHT = 0.2
# Part of the time to the first token that does not depend on the prompt.
FIRST_TOKEN_BASE_S = 0.02
# Weights by which a failure moves the score towards 1, and a success towards 0.
FAILURE_WEIGHT = 0.34
SUCCESS_WEIGHT = 0.2
# The failure score also decays without traffic, so that a recovered upstream is
# selected again.
FAILURE_HALF_LIFE_S = 3.0
# Without samples for this long, the measured speed decays towards that of the group.
SPEED_DECAY_S = 6.0
# Times for which a load reported by the upstream and a rejection remain in effect.
REPORTED_LOAD_MAX_AGE_S = 0.5
FULL_BACKOFF_S = 0.3
# An upstream is selected again this long after a failed connection. The registry lists
# a crashed upstream for about four times as long.
UNREACHABLE_BACKOFF_S = 1.0
# A prompt segment is assumed to stay cached for this long after its last use.
CACHE_LIFETIME_S = 30.0
MAX_CACHED_SEGMENTS = 2000
# At most this fraction of the oldest prompt counts as prefilled before its first token.
MAX_PREFILL_FRACTION = 0.9
# Interval at which the events of a stream are sampled: a stream at an engine that is
# far too loaded takes tens of seconds to its end.
SAMPLE_INTERVAL_S = 0.5


@dataclass(slots=True)
class Run:
    """Track one request in progress at an upstream."""

    prefill_tokens: float
    tokens_ahead: float
    sent_s: float
    first_token_s: float | None = None
    # The upstream was silent meanwhile, so that the times do not show its speed.
    paused: bool = False
    # The last sample of the events, and those that it included.
    sampled_s: float | None = None
    sampled_events: int = 0
    # A silence or a slow caller has lengthened the time since then.
    disturbed: bool = False


@dataclass(frozen=True, slots=True)
class CapacitySample:
    """Store some events of one stream, and the time that they took."""

    began_s: float
    work: float
    busy_s: float


class UpstreamMeter:
    """Track the load, speed and failures of one start of an upstream."""

    def __init__(self) -> None:
        self.prefill_s_per_token = INITIAL_PREFILL_S_PER_TOKEN
        self.call_s = INITIAL_CALL_S
        self._sampled_s = 0.0
        self._runs: dict[str, Run] = {}
        self._peer_loads = PeerLoads()
        self._failure_score = 0.0
        self._failure_score_s = 0.0
        self._last_first_token_s = 0.0
        self._segment_used_s: OrderedDict[str, float] = OrderedDict()
        self._reported_load = (0, -1e9)
        self._full_s = -1e9
        self._unreachable_s = -1e9
        self._heard_s: float | None = None
        # Since when there has been a request in progress.
        self._busy_since_s = 0.0

    @property
    def local_running(self) -> int:
        """Return the requests that this node has in progress at the upstream."""
        return len(self._runs)

    def begin(self, key: str, prompt: Prompt, now_s: float) -> int:
        """Add a request that is being sent; return its tokens to prefill."""
        prefill_tokens = max(
            0, prompt.prompt_tokens - self.cached_tokens(prompt, now_s)
        )
        tokens_ahead = self.prefill_tokens(now_s)
        if not self._runs:
            self._busy_since_s = now_s
        self._runs[key] = Run(float(prefill_tokens), tokens_ahead, now_s)
        for segment in prompt.shared_segments:
            self._segment_used_s[segment.segment_id] = now_s
            self._segment_used_s.move_to_end(segment.segment_id)
        while len(self._segment_used_s) > MAX_CACHED_SEGMENTS:
            self._segment_used_s.popitem(last=False)
        return prefill_tokens

    def record_pause(self, key: str) -> None:
        """Record that the upstream was silent within a request; it is no sample."""
        run = self._runs.get(key)
        if run is not None:
            run.paused = run.disturbed = True

    def record_slow_caller(self, key: str) -> None:
        """Record that a request's stream had to wait for its caller."""
        run = self._runs.get(key)
        if run is not None:
            run.disturbed = True

    def progress(
        self, key: str, events: int, now_s: float, *, ended: bool = False
    ) -> CapacitySample | None:
        """Return what the events of a stream show since the last sample, if due.

        `events` counts all of them. A time with a pause or a slow caller is no sample.
        """
        run = self._runs.get(key)
        if run is None or run.first_token_s is None:
            return None
        if run.sampled_s is None:
            run.sampled_s, run.sampled_events = now_s, events
            return None
        began_s, new_events = run.sampled_s, events - run.sampled_events
        if new_events < 1 or (now_s - began_s < SAMPLE_INTERVAL_S and not ended):
            return None
        disturbed = run.disturbed
        run.sampled_s, run.sampled_events, run.disturbed = now_s, events, False
        if disturbed:
            return None
        return CapacitySample(began_s, float(new_events), now_s - began_s)

    def first_token(self, key: str, now_s: float) -> None:
        """Record the start of an answer and sample the prefill speed."""
        run = self._runs.get(key)
        if run is None or run.first_token_s is not None:
            return
        run.first_token_s = now_s
        self._last_first_token_s = now_s
        tokens = run.prefill_tokens + run.tokens_ahead
        if tokens > 0 and not run.paused:
            # Samples of short prompts are imprecise and have less weight.
            sample = max(0.0, now_s - run.sent_s - FIRST_TOKEN_BASE_S) / tokens
            weight = SAMPLE_WEIGHT * min(1.0, tokens / 2000)
            self.prefill_s_per_token += weight * (sample - self.prefill_s_per_token)
            self._sampled_s = now_s

    def end(self, key: str, now_s: float, *, succeeded: bool | None) -> None:
        """Remove a request; `succeeded` of None keeps the failure score."""
        run = self._runs.pop(key, None)
        if run and succeeded and run.prefill_tokens == 0 and not run.paused:
            self.call_s += SAMPLE_WEIGHT * (now_s - run.sent_s - self.call_s)
            self._sampled_s = now_s
        if succeeded is None:
            return
        if not succeeded:
            self.record_failure(now_s)
            return
        score = self.failure_score(now_s)
        self._failure_score = score - SUCCESS_WEIGHT * score
        self._failure_score_s = now_s

    def record_failure(self, now_s: float) -> None:
        """Record that a request failed."""
        score = self.failure_score(now_s)
        self._failure_score = score + FAILURE_WEIGHT * (1 - score)
        self._failure_score_s = now_s

    def record_heard(self, now_s: float) -> None:
        """Record that data came from the upstream."""
        self._heard_s = now_s

    def silent_s(self, now_s: float) -> float:
        """Return for how long requests have been in progress without any data."""
        if not self._runs:
            return 0.0
        return now_s - max(self._busy_since_s, self._heard_s or 0.0)

    def heard_age_s(self, now_s: float) -> float | None:
        """Return the time since data came from the upstream, or None without any."""
        return None if self._heard_s is None else now_s - self._heard_s

    def record_unreachable(self, now_s: float) -> None:
        """Record a failed connection, which sets the failure score to 1."""
        self._failure_score, self._failure_score_s = 1.0, now_s
        self._unreachable_s = now_s

    def is_unreachable(self, now_s: float) -> bool:
        """Return whether a connection has recently failed."""
        return now_s - self._unreachable_s < UNREACHABLE_BACKOFF_S

    def record_reported_load(self, running: int, now_s: float) -> None:
        """Record the number of requests that the upstream itself reported."""
        self._reported_load = (running, now_s)

    def record_full(self, now_s: float) -> None:
        """Record that the upstream rejected a request because it had no free slot."""
        self._full_s = now_s

    def is_full(self, now_s: float) -> bool:
        """Return whether the upstream has recently rejected a request."""
        return now_s - self._full_s < FULL_BACKOFF_S

    def record_peer_load(self, peer: str, load: PeerLoad) -> None:
        """Replace the load of a peer."""
        self._peer_loads.set(peer, load)

    def record_peer_send(self, peer: str, tokens: int, now_s: float) -> None:
        """Add a prompt that a peer has just sent; its next report includes it."""
        load = self._peer_loads.get(peer) or PeerLoad(0, 0.0, now_s)
        prefill_tokens = load.remaining_tokens(self.prefill_s_per_token, now_s) + tokens
        self._peer_loads.set(peer, PeerLoad(load.running, prefill_tokens, now_s))

    def forget_peer(self, peer: str) -> None:
        """Remove the load of a peer that has no requests in progress here."""
        self._peer_loads.remove(peer)

    def running(self, now_s: float) -> int:
        """Return the requests in progress, including those of peers."""
        counted = len(self._runs) + self._peer_loads.running(now_s)
        reported, reported_s = self._reported_load
        return (
            max(counted, reported)
            if now_s - reported_s < REPORTED_LOAD_MAX_AGE_S
            else counted
        )

    def prefill_tokens(self, now_s: float) -> float:
        """Return the prompt tokens that the upstream has yet to prefill."""
        peers_tokens = self._peer_loads.prefill_tokens(self.prefill_s_per_token, now_s)
        return self.local_prefill_tokens(now_s) + peers_tokens

    def local_prefill_tokens(self, now_s: float) -> float:
        """Return the prompt tokens of this node that are yet to be prefilled."""
        if not self._runs:
            return 0.0
        pending = [run for run in self._runs.values() if run.first_token_s is None]
        if not pending:
            return 0.0
        oldest = min(pending, key=lambda run: run.sent_s)
        since_s = max(oldest.sent_s, self._last_first_token_s)
        done_tokens = min(
            MAX_PREFILL_FRACTION * oldest.prefill_tokens,
            (now_s - since_s) / self.prefill_s_per_token,
        )
        return sum(run.prefill_tokens for run in pending) - max(0.0, done_tokens)

    def cached_tokens(self, prompt: Prompt, now_s: float) -> int:
        """Return the leading tokens of a prompt that are probably cached."""
        if not self._segment_used_s:
            return 0
        total = 0
        for segment in prompt.shared_segments:
            used_s = self._segment_used_s.get(segment.segment_id)
            if used_s is None or now_s - used_s > CACHE_LIFETIME_S:
                break
            total += segment.tokens
        return total

    def failure_score(self, now_s: float) -> float:
        """Return the decayed score of recent failures, from 0 to 1."""
        if not self._failure_score:
            return 0.0
        elapsed = max(0.0, now_s - self._failure_score_s)
        return self._failure_score * 0.5 ** (elapsed / FAILURE_HALF_LIFE_S)

    def decay_speed(
        self, group_prefill_s_per_token: float, group_call_s: float, now_s: float
    ) -> None:
        """Move the speeds towards those of the group if there are no recent samples."""
        if now_s - self._sampled_s > SPEED_DECAY_S:
            self.prefill_s_per_token += SAMPLE_WEIGHT * (
                group_prefill_s_per_token - self.prefill_s_per_token
            )
            self.call_s += SAMPLE_WEIGHT * (group_call_s - self.call_s)
