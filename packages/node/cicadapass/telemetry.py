"""Metrics through statsd."""

from dataclasses import dataclass

import statsd


@dataclass(frozen=True, slots=True)
class Metric:
    """Describe one metric; `kind` is one of statsd's metric types."""

    kind: str
    unit: str
    meaning: str


def _counter(unit: str, meaning: str) -> Metric:
    return Metric("counter", unit, meaning)


def _gauge(unit: str, meaning: str) -> Metric:
    return Metric("gauge", unit, meaning)


def _timer(meaning: str) -> Metric:
    return Metric("timer", "ms", meaning)


# docs/metrics.md is generated from this list.
METRICS: dict[str, Metric] = {
    "requests.accepted": _counter("requests", "model requests accepted from callers"),
    "requests.refused": _counter("requests", "model requests and plain calls not run"),
    "requests.failed": _counter("requests", "accepted requests that failed"),
    "requests.adopted": _counter("requests", "requests taken over from other nodes"),
    "requests.in_progress": _gauge("requests", "owned requests without an end"),
    "requests.first_token": _timer("from the start of a request to its first token"),
    "attempts": _counter("attempts", "attempts of model requests at engines"),
    "tokens.delivered": _counter("tokens", "new tokens of requests that ended here"),
    "tokens.recomputed": _counter("tokens", "tokens that an engine sent again"),
    "plain.calls": _counter("calls", "plain calls that an upstream answered"),
    "plain.latency": _timer("from a plain call to the head of its answer"),
    "config.version": _gauge("log offset", "version of the inventory in force"),
}


class Telemetry:
    """Send metrics to a statsd server; without a host nothing is sent."""

    def __init__(self, host: str | None, port: int, prefix: str) -> None:
        self._client: statsd.StatsClient | None = None
        if host is not None:
            self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter; raise KeyError for an unknown name."""
        _check(name, "counter")
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge; raise KeyError for an unknown name."""
        _check(name, "gauge")
        if self._client is not None:
            self._client.gauge(name, value)

    def time_ms(self, name: str, value_ms: float) -> None:
        """Record a duration; raise KeyError for an unknown name."""
        _check(name, "timer")
        if self._client is not None:
            self._client.timing(name, value_ms)


def no_telemetry() -> Telemetry:
    """Return a `Telemetry` that sends nothing."""
    return Telemetry(None, 0, "")


def _check(name: str, kind: str) -> None:
    if METRICS[name].kind != kind:
        raise KeyError(f"metric {name} is not a {kind}; see docs/metrics.md")
