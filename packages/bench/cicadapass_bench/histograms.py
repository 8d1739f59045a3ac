"""Latency histograms that can be sent to another process and merged."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_FIGURES = 3
US_PER_S = 1e6
MS_PER_US = 1e-3


class Latencies:
    """Collect latencies from 1 us to 120 s; compute their percentiles."""

    def __init__(self, encoded: str | None = None) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)
        if encoded is not None:
            self.add_encoded(encoded)

    @property
    def count(self) -> int:
        """Return the number of added latencies, merged ones included."""
        return int(self._histogram.get_total_count())

    def add(self, latency_s: float) -> None:
        """Add one latency; a value outside the range counts as the nearest bound."""
        latency_us = int(latency_s * US_PER_S)
        self._histogram.record_value(min(max(latency_us, LOWEST_US), HIGHEST_US))

    def add_encoded(self, encoded: str) -> None:
        """Merge an encoded histogram."""
        self._histogram.decode_and_add(encoded)

    def encode(self) -> str:
        """Return the histogram as text for `add_encoded`."""
        encoded: bytes = self._histogram.encode()
        return encoded.decode("ascii")

    def percentile_ms(self, percentile: float) -> float:
        """Return the latency that this percentage of the values does not exceed."""
        value_us = self._histogram.get_value_at_percentile(percentile)
        return round(value_us * MS_PER_US, 3)
