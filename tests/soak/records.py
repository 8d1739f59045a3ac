"""Records of a run: what callers, engines and the platform observed."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Run:
    """Represent one arrival of a request at an engine."""

    engine: str
    arrived_s: float
    method: str
    target: str
    body: bytes
    headers: dict
    # The engine refused it as not executed.
    rejected: bool = False
    # The prompt segment that ends the engine.
    crashing_segment: str | None = None
    # The complete body of the engine, unless it sent a stream.
    answer: bytes | None = None
    status: int = 0
    # Part of each event of the run, and of no other's.
    token: str = ""
    # The number of its first event, and of the event after which it marked its stream
    # as complete.
    first_event: int = 1
    ends_after: int | None = None
    # How long the engine fell silent in its answer.
    silent_s: float = 0.0
    # The engine wrote an answer without end.
    endless: bool = False
    # The software of the engine.
    version: str = ""


@dataclass(slots=True)
class Call:
    """Represent one request of a caller and its outcome."""

    request_id: str
    kind: str
    node: str
    method: str
    target: str
    body: bytes
    key: str
    timeout_s: float
    sent_s: float
    ended_s: float = 0.0
    # 0: the connection ended without a response.
    status: int = 0
    sealed: bool = False
    answer: bytes = b""
    event_stream: bool = False
    complete: bool = False
    abandoned: bool = False
    # Its prompt crashes engines.
    crashing: bool = False


@dataclass(frozen=True, slots=True)
class Span:
    """Represent a period in which a node, an engine or the store was disturbed."""

    name: str
    start_s: float
    end_s: float


@dataclass(slots=True)
class OrderedRollout:
    """Represent an operator's order, and the final state in the platform's log."""

    to: str
    bad: bool
    ordered_s: float
    duration_s: float
    state: str | None = None


@dataclass(slots=True)
class Records:
    """Collect the observations of a whole run; times are those of the event loop."""

    calls: list = field(default_factory=list)
    runs: dict = field(default_factory=dict)
    # Names of engines that were asked to move a run, with the id of its request.
    moves: list = field(default_factory=list)
    # Unplanned disturbances of nodes and engines, by name, and of "store".
    disturbances: list = field(default_factory=list)
    # Times in which engines broke off answers or wrote wrong ones.
    engine_faults: list = field(default_factory=list)
    # Ends of engines under a prompt segment: segment, engine and time.
    prompt_crashes: list = field(default_factory=list)
    # Limits that engines named: engine, requests a second, first and last time.
    limits: list = field(default_factory=list)
    # Planned stops of nodes.
    planned_stops: list = field(default_factory=list)
    # When the entry of an engine was marked as leaving, by engine.
    leaving: dict = field(default_factory=dict)
    # When the configuration without a key was written, by key.
    dropped_keys: dict = field(default_factory=dict)
    # Rollouts in the order of the operator's orders.
    rollouts: list = field(default_factory=list)
    # Components that ended with an error: node and log line.
    component_failures: list = field(default_factory=list)
    # The largest memory of each node's last process.
    peak_memory_mb: dict = field(default_factory=dict)
    # Calls of the duties: path, holder, fencing number, body.
    duties: list = field(default_factory=list)
    # End of the last fault.
    faults_ended_s: float = 0.0
    # When enough calls in a row were served after the last fault; None if never.
    recovered_at_s: float | None = None

    def record_run(self, request_id, run):
        """Record an arrival at an engine."""
        self.runs.setdefault(request_id, []).append(run)

    def was_disturbed(self, name, start_s, end_s):
        """Return whether a disturbance of `name` overlaps with the period."""
        return _overlaps(self.disturbances, name, start_s, end_s)

    def was_faulty(self, name, start_s, end_s):
        """Return whether an engine answered wrongly in a part of the period."""
        return _overlaps(self.engine_faults, name, start_s, end_s)


def _overlaps(spans, name, start_s, end_s):
    return any(
        span.name == name and span.start_s < end_s and span.end_s > start_s
        for span in spans
    )
