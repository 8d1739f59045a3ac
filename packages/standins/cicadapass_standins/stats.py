"""Statistics of the engine: token counters, in total and per attempt."""

import threading
from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

# The statistics of the oldest requests beyond this number are dropped.
MAX_REQUESTS = 50_000


@dataclass(slots=True)
class RequestStats:
    """Attempts of one request; `computed` is the index after its newest token."""

    computed: int = 0
    attempts: list["AttemptStats"] = field(default_factory=list)


@dataclass(slots=True)
class AttemptStats:
    """One attempt, which has computed the tokens [first_index, computed)."""

    request: RequestStats
    attempt: int
    first_index: int
    computed: int


class Stats:
    """Count tokens and request outcomes since the start of the engine."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: Counter[str] = Counter()
        self._requests: OrderedDict[str, RequestStats] = OrderedDict()

    def add(self, **amounts: int) -> None:
        """Add the amounts to the counters of these names."""
        with self._lock:
            self._counters.update(amounts)

    def start_attempt(
        self, request_id: str, attempt: int, first_index: int
    ) -> AttemptStats:
        """Record an attempt that starts to run."""
        with self._lock:
            request = self._requests.setdefault(request_id, RequestStats())
            attempt_stats = AttemptStats(request, attempt, first_index, first_index)
            request.attempts.append(attempt_stats)
            if len(self._requests) > MAX_REQUESTS:
                self._requests.popitem(last=False)
            return attempt_stats

    def record_computed(self, attempt: AttemptStats, computed: int) -> None:
        """Count the new tokens of an attempt, and those that were computed before.

        `computed` is the index after the newest token of the attempt.
        """
        request = attempt.request
        recomputed = max(0, min(computed, request.computed) - attempt.computed)
        with self._lock:
            self._counters["tokens_computed"] += computed - attempt.computed
            self._counters["tokens_recomputed"] += recomputed
        attempt.computed = computed
        request.computed = max(request.computed, computed)

    def as_dict(self, with_requests: bool) -> dict[str, Any]:
        """Return the counters and, if requested, the attempts of each request."""
        with self._lock:
            engine_stats: dict[str, Any] = {**ZERO_COUNTERS, **self._counters}
            if with_requests:
                engine_stats["requests"] = {
                    request_id: [_attempt_dict(attempt) for attempt in request.attempts]
                    for request_id, request in self._requests.items()
                }
            return engine_stats


ZERO_COUNTERS = dict.fromkeys(
    (
        "tokens_computed",
        "tokens_recomputed",
        "prefill_tokens",
        "cache_hit_tokens",
        "completed",
        "cancelled",
        "dropped",
        "refused",
    ),
    0,
)


def _attempt_dict(attempt: AttemptStats) -> dict[str, int]:
    return {
        "attempt": attempt.attempt,
        "resume_from": attempt.first_index,
        "computed": attempt.computed,
    }


def recomputed_tokens(stats_pages: Iterable[Mapping[str, Any]]) -> int:
    """Return the number of tokens that were computed more than once on all engines.

    Each page is the body of `GET /stats` of one engine.
    """
    spans: dict[str, list[tuple[int, int]]] = {}
    for engine_stats in stats_pages:
        for request_id, attempts in engine_stats["requests"].items():
            spans.setdefault(request_id, []).extend(
                (attempt["resume_from"], attempt["computed"]) for attempt in attempts
            )
    return sum(_overlap(request_spans) for request_spans in spans.values())


def _overlap(spans: list[tuple[int, int]]) -> int:
    total = 0
    covered_end = 0
    for span_start, span_end in sorted(spans):
        total += max(0, min(span_end, covered_end) - span_start)
        covered_end = max(covered_end, span_end)
    return total
