"""The planned size and the quantities that are computed from it."""

from dataclasses import dataclass

DAY_S = 86_400.0
# The log's answers carry records in base64: four characters for three bytes.
BASE64_RATIO = 4 / 3


@dataclass(frozen=True, slots=True)
class PlannedSize:
    """Store the sizes and budgets of section 1.4 of the design page."""

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
        """Return the mean requests per second of one node."""
        return self.requests_per_s / self.nodes

    @property
    def node_tokens_per_s(self) -> float:
        """Return the mean generated tokens per second of one node."""
        return self.tokens_per_s / self.nodes

    @property
    def tokens_per_request(self) -> float:
        """Return the mean number of tokens of a request."""
        return self.tokens_per_s / self.requests_per_s

    @property
    def engine_reads_per_s(self) -> float:
        """Return the load reports per second of one node that reads all engines."""
        return self.engines / self.report_interval_s

    @property
    def idle_log_reads_per_s(self) -> float:
        """Return the long polls per second of all nodes while no record is appended."""
        return self.nodes / self.poll_wait_s

    def publish_bytes_per_s(self, record_bytes: float) -> float:
        """Return the bytes per second that a node reads for published documents."""
        return self.publishes_per_day / DAY_S * record_bytes * BASE64_RATIO


def batcher_appends_per_s(
    claims_per_s: float, batchers: int, batch_wait_s: float, append_s: float
) -> float:
    """Return the appends per second; a batcher waits, appends and reads in sequence."""
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
    """Return the fraction of keyed calls at which appends reach the limit, or 1.0.

    It is 1.0 where the batchers are too slow to reach the limit at all.
    """
    idle_s = batchers / limit_appends_per_s - batch_wait_s - append_s
    if idle_s <= 0:
        return 1.0
    return batchers / idle_s / requests_per_s
