"""The planned size, and the arithmetic that does not depend on a measurement."""

from dataclasses import dataclass

DAY_S = 86_400.0
# Base64 in the log's answers writes four characters for three bytes.
BASE64_RATIO = 4 / 3


@dataclass(frozen=True, slots=True)
class PlannedSize:
    """Hold the sizes and budgets of section 1.4 of the design page."""

    nodes: int = 380
    engines: int = 1_400
    data_centres: int = 10
    requests_per_s: float = 7_500.0
    tokens_per_s: float = 2_000_000.0
    publishes_per_day: float = 3_800.0
    restarts_per_day: float = 170.0
    failures_per_day: float = 27.0
    appends_per_s: float = 300.0
    control_core_fraction: float = 0.01
    control_bytes: float = 32e6
    control_bytes_per_s: float = 12e3
    report_interval_s: float = 0.5
    poll_wait_s: float = 5.0

    @property
    def node_requests_per_s(self) -> float:
        """Return the requests a second of one node."""
        return self.requests_per_s / self.nodes

    @property
    def node_tokens_per_s(self) -> float:
        """Return the generated tokens a second of one node."""
        return self.tokens_per_s / self.nodes

    @property
    def tokens_per_request(self) -> float:
        """Return the mean tokens of a request."""
        return self.tokens_per_s / self.requests_per_s

    @property
    def engine_reads_per_s(self) -> float:
        """Return the load reports that one node reads when it reads all engines."""
        return self.engines / self.report_interval_s

    @property
    def idle_log_reads_per_s(self) -> float:
        """Return the long polls a second of all nodes without any record."""
        return self.nodes / self.poll_wait_s

    def publish_bytes_per_s(self, record_bytes: float) -> float:
        """Return what a node reads for whole documents from the log."""
        return self.publishes_per_day / DAY_S * record_bytes * BASE64_RATIO


def batcher_appends_per_s(
    claims_per_s: float, batchers: int, batch_wait_s: float, append_s: float
) -> float:
    """Return the appends of batchers that wait, append and read back in turn."""
    if claims_per_s == 0:
        return 0.0
    idle_s = batchers / claims_per_s
    return batchers / (idle_s + batch_wait_s + append_s)


def keyed_fraction_at(
    limit_appends_per_s: float,
    requests_per_s: float,
    batchers: int,
    batch_wait_s: float,
    append_s: float,
) -> float:
    """Return the share of keyed calls at which the appends reach the limit."""
    idle_s = batchers / limit_appends_per_s - batch_wait_s - append_s
    if idle_s <= 0:
        return 1.0
    return batchers / idle_s / requests_per_s
