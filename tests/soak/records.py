"""Hold what callers, engines and the platform saw during a run."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Run:
    """Hold one arrival of a request at an engine."""

    engine: str
    arrived_s: float
    method: str
    target: str
    body: bytes
    headers: dict
    # It was turned away, as not executed.
    rejected: bool = False
    # What the engine answered with, whole.
    answer: bytes | None = None
    status: int = 0


@dataclass(slots=True)
class Call:
    """Hold one request of a caller and what came of it."""

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
    # 0: the connection ended without an answer.
    status: int = 0
    sealed: bool = False
    answer: bytes = b""
    complete: bool = False
    abandoned: bool = False


@dataclass(frozen=True, slots=True)
class Span:
    """Hold a time in which something was troubled."""

    name: str
    start_s: float
    end_s: float


@dataclass(slots=True)
class Records:
    """Collect a whole run."""

    calls: list = field(default_factory=list)
    runs: dict = field(default_factory=dict)
    # Unplanned trouble of nodes by name, of engines by name, and of "store".
    disturbances: list = field(default_factory=list)
    # Planned stops of nodes.
    planned_stops: list = field(default_factory=list)
    # When the store took in that an engine leaves, by engine.
    leaving: dict = field(default_factory=dict)
    # When the store took in that a key is no longer valid, by key.
    dropped_keys: dict = field(default_factory=dict)
    # Calls of the duties: path, holder, fencing number, body.
    duties: list = field(default_factory=list)
    # From this moment on nothing is disturbed.
    faults_ended_s: float = 0.0
    # When calls were served again after that, if they were.
    recovered_at_s: float | None = None

    def record_run(self, request_id, run):
        """Add an arrival at an engine."""
        self.runs.setdefault(request_id, []).append(run)

    def was_disturbed(self, name, start_s, end_s):
        """Return whether something was troubled within a time."""
        return any(
            span.name == name and span.start_s < end_s and span.end_s > start_s
            for span in self.disturbances
        )
