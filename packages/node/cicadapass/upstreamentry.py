"""State of one upstream."""

from dataclasses import dataclass, field

from cicadapass.upstreamtable import UpstreamConfig
from cicadapass_decisions.limits import Baseline, ConcurrencyLimit
from cicadapass_decisions.prefix import CacheHints
from cicadapass_decisions.scoring import Candidate, InFlight, LoadReport
from cicadapass_decisions.slowness import GroupVerdict, Health, SpeedTracker


@dataclass(slots=True)
class UpstreamEntry:
    """Store the state of one upstream; only `UpstreamTracker` changes it."""

    config: UpstreamConfig
    limit: ConcurrencyLimit
    speed_tracker: SpeedTracker = field(default_factory=SpeedTracker)
    baseline: Baseline | None = None
    report: LoadReport | None = None
    incarnation: str = ""
    health: Health = Health.GOOD
    report_failures: int = 0
    probed_at_s: float = float("-inf")
    hints: CacheHints = field(default_factory=CacheHints)
    leaving_incarnations: set[str] = field(default_factory=set)

    @property
    def leaving(self) -> bool:
        """Return whether the current incarnation, or an unknown one, is leaving."""
        if not self.incarnation or "" in self.leaving_incarnations:
            return bool(self.leaving_incarnations)
        return self.incarnation in self.leaving_incarnations


def candidate_of(
    entry: UpstreamEntry, peers: InFlight, verdict: GroupVerdict, probe_due: bool
) -> Candidate:
    """Return the upstream as a routing candidate without this node's counts."""
    config = entry.config
    first_s, inter_s = (
        entry.speed_tracker.first_token_s,
        entry.speed_tracker.inter_token_s,
    )
    return Candidate(
        upstream=config.name,
        data_centre=config.data_centre,
        limit=entry.limit.max_requests,
        peers=peers,
        report=entry.report,
        # An upstream without measurements gets the typical speed of its group.
        first_token_s=verdict.first_token_s if first_s is None else first_s,
        inter_token_s=verdict.inter_token_s if inter_s is None else inter_s,
        hop_s=config.hop_s,
        price_per_hour=config.price_per_hour,
        reclaim_risk=config.reclaim_risk,
        leaving=entry.leaving,
        health=entry.health,
        probe_due=probe_due,
    )
