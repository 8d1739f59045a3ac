"""Metrics through statsd."""

import statsd

# Name, type and unit of each metric; docs/metrics.md lists the same.
METRICS: dict[str, tuple[str, str]] = {
    "requests.accepted": ("counter", "requests"),
    "requests.refused": ("counter", "requests"),
    "requests.failed": ("counter", "requests"),
    "requests.in_progress": ("gauge", "requests"),
    "requests.adopted": ("counter", "requests"),
    "requests.first_token": ("timer", "ms"),
    "plain.calls": ("counter", "calls"),
    "plain.latency": ("timer", "ms"),
    "tokens.delivered": ("counter", "tokens"),
    "tokens.recomputed": ("counter", "tokens"),
    "attempts": ("counter", "attempts"),
    "config.version": ("gauge", "log offset"),
}


class Telemetry:
    """Send metrics; without a server all calls do nothing."""

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
        """Add a duration; raise KeyError for an unknown name."""
        _check(name, "timer")
        if self._client is not None:
            self._client.timing(name, value_ms)


def no_telemetry() -> Telemetry:
    """Return a telemetry that sends nothing."""
    return Telemetry(None, 0, "")


def _check(name: str, kind: str) -> None:
    if METRICS[name][0] != kind:
        raise KeyError(f"metric {name} is not a {kind}; see docs/metrics.md")
