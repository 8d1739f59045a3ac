"""Counters, gauges and latency histograms in the Prometheus text format."""

from bisect import bisect_left
from dataclasses import dataclass, field

# Upper bounds of the latency buckets; they span the latency targets of the routes.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0)


@dataclass(slots=True)
class _Histogram:
    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))
    total_s: float = 0.0


class Metrics:
    """Collect the counters, gauges and histograms of a process."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, str], float] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[tuple[str, str], _Histogram] = {}

    def count(self, name: str, label: str = "", amount: float = 1) -> None:
        """Increase a counter; its label is rendered as `kind`."""
        key = (name, label)
        self._counters[key] = self._counters.get(key, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge, replacing its last value."""
        self._gauges[name] = value

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Add a latency in seconds to a histogram."""
        histogram = self._histograms.setdefault((name, label), _Histogram())
        histogram.counts[bisect_left(BUCKETS_S, seconds)] += 1
        histogram.total_s += seconds

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f"cicadapass_{name}_total{_labels(label)} {value:g}"
            for (name, label), value in sorted(self._counters.items())
        ]
        lines += [
            f"cicadapass_{name} {value:g}"
            for name, value in sorted(self._gauges.items())
        ]
        for (name, label), histogram in sorted(self._histograms.items()):
            lines += _render_histogram(name, label, histogram)
        return "\n".join(lines) + "\n"


def _labels(label: str, bound: str = "") -> str:
    pairs = []
    if label:
        pairs.append(f'kind="{label}"')
    if bound:
        pairs.append(f'le="{bound}"')
    return "{" + ",".join(pairs) + "}" if pairs else ""


def _render_histogram(name: str, label: str, histogram: _Histogram) -> list[str]:
    lines = []
    cumulative = 0
    bounds = [*(f"{bound:g}" for bound in BUCKETS_S), "+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        cumulative += count
        lines.append(
            f"cicadapass_{name}_seconds_bucket{_labels(label, bound)} {cumulative}"
        )
    lines.append(
        f"cicadapass_{name}_seconds_sum{_labels(label)} {histogram.total_s:.6f}"
    )
    lines.append(f"cicadapass_{name}_seconds_count{_labels(label)} {cumulative}")
    return lines
