"""The progress of one request."""

from dataclasses import dataclass, field

from cicadapass_decisions.routetable import Match
from cicadapass_gateway.adapterapi import Call
from cicadapass_gateway.httpserver import Exchange
from cicadapass_gateway.migrator import MigratedRun


@dataclass(slots=True)
class RequestContext:
    """Hold the progress of one request."""

    exchange: Exchange
    call: Call
    match: Match
    deadline_s: float
    charged_cost: float = 0.0
    # Upstreams chosen, and sends to those that took a connection.
    tries: int = 0
    sends: int = 0
    runs: int = 0
    excluded: set[str] = field(default_factory=set)
    last_event_id: str | None = None
    first_event_s: float | None = None
    usage_counted: bool = False
    upstream_id: str = ""
    migrated: MigratedRun | None = None
    waited_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether the request may be sent again after it may have run."""
        return self.match.route.repeatable
