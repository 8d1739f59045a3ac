"""State of all upstreams: load reports, health, limits, speeds and cache hints."""

from collections.abc import Iterator, Mapping
from dataclasses import replace

from cicadapass.upstreamentry import UpstreamEntry, candidate_of
from cicadapass.upstreamtable import (
    HealthChange,
    LoadReading,
    Outcome,
    PanicChange,
    ServiceTable,
    UpstreamConfig,
    UpstreamTable,
)
from cicadapass_decisions.limits import (
    new_limit,
    on_result,
    update_baseline,
    with_slots,
)
from cicadapass_decisions.policy import Policy
from cicadapass_decisions.prefix import CacheEvent, CacheHints, apply_events
from cicadapass_decisions.scoring import InFlight, LoadReport
from cicadapass_decisions.slowness import (
    GroupVerdict,
    Health,
    SpeedTracker,
    Timing,
    evaluate_group,
    observe,
    on_failure,
    on_success,
    with_verdict,
)

# Peers send their counts several times a second, so older counts come from a peer
# that has stopped.
PEER_COUNTS_MAX_AGE_S = 3.0


class UpstreamTracker:
    """Track the state of all upstreams and build snapshots of it.

    Not thread-safe: the owner serialises the calls and passes in the time.
    """

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._entries: dict[str, UpstreamEntry] = {}
        self._peer_counts: dict[str, tuple[float, Mapping[str, InFlight]]] = {}
        self._verdicts: dict[str, GroupVerdict] = {}

    @property
    def configs(self) -> tuple[UpstreamConfig, ...]:
        """Return the configuration of all upstreams, leaving ones included."""
        return tuple(entry.config for entry in self._entries.values())

    def configure(self, configs: tuple[UpstreamConfig, ...], policy: Policy) -> None:
        """Replace the upstreams and rules; keep the state of unchanged upstreams."""
        self._policy = policy
        entries: dict[str, UpstreamEntry] = {}
        for config in configs:
            entry = self._entries.get(config.name)
            # A new address means a different upstream, so its state starts empty.
            if entry is None or entry.config.url != config.url:
                entry = UpstreamEntry(config, new_limit(config.slots))
            elif entry.config.slots != config.slots:
                entry.limit = with_slots(entry.limit, config.slots)
            entry.config = config
            entries[config.name] = entry
        self._entries = entries

    def on_report(self, name: str, reading: LoadReading, now_s: float) -> bool:
        """Record a load report; return whether it marked the upstream as leaving."""
        entry = self._entries.get(name)
        if entry is None:
            return False
        if reading.incarnation and reading.incarnation != entry.incarnation:
            self._on_new_incarnation(entry, reading.incarnation)
        entry.report_failures = 0
        entry.limit = with_slots(entry.limit, reading.slots)
        taken_at_s = now_s - reading.lag_s
        entry.report = LoadReport(reading.running, reading.waiting, taken_at_s)
        return reading.leaving and self.mark_leaving(name, reading.incarnation)

    def on_report_failed(self, name: str) -> bool:
        """Count a failed report read; return whether it is the first in a row."""
        entry = self._entries.get(name)
        if entry is None:
            return False
        entry.report_failures += 1
        return entry.report_failures == 1

    def mark_leaving(self, name: str, incarnation: str) -> bool:
        """Mark an incarnation as leaving; return whether this changed the upstream."""
        entry = self._entries.get(name)
        if entry is None:
            return False
        was_leaving = entry.leaving
        # Also kept for an incarnation that no report has shown yet.
        entry.leaving_incarnations.add(incarnation)
        return entry.leaving and not was_leaving

    def mark_data_centre_leaving(self, data_centre: str) -> tuple[tuple[str, str], ...]:
        """Mark all upstreams of a data centre as leaving.

        Return the names and incarnations of those that were not leaving before.
        """
        marked = []
        for name, entry in self._entries.items():
            if entry.config.data_centre != data_centre or entry.leaving:
                continue
            entry.leaving_incarnations.add(entry.incarnation)
            marked.append((name, entry.incarnation))
        return tuple(marked)

    def on_peer_counts(
        self, node: str, counts: Mapping[str, InFlight], now_s: float
    ) -> None:
        """Replace the in-flight counts that a peer reported."""
        self._peer_counts[node] = (now_s, counts)

    def on_outcome(self, name: str, outcome: Outcome, now_s: float) -> None:
        """Record the measurements and the result of an attempt."""
        entry = self._entries.get(name)
        if entry is None:
            return
        rules = self._policy.slowness
        if entry.health is not Health.GOOD:
            # An attempt counts as a probe, so the next one is due an interval later.
            entry.probed_at_s = now_s
        entry.speed_tracker = observe(entry.speed_tracker, outcome.timing, now_s, rules)
        if outcome.failed:
            entry.speed_tracker = on_failure(entry.speed_tracker)
        elif outcome.finished:
            entry.speed_tracker = on_success(entry.speed_tracker)
        self._adapt_limit(entry, outcome, now_s)

    def on_probe(self, name: str, timing: Timing | None, now_s: float) -> None:
        """Record the result of a probe; a `timing` of None means that it failed."""
        failed = timing is None
        self.on_outcome(name, Outcome(timing or Timing(), failed=failed), now_s)

    def probes_due(self, now_s: float) -> Iterator[UpstreamConfig]:
        """Yield the slow and failing upstreams to probe now; record the time."""
        for entry in self._entries.values():
            if self._probe_due(entry, now_s):
                entry.probed_at_s = now_s
                yield entry.config

    def on_cache_events(self, name: str, events: tuple[CacheEvent, ...]) -> bool:
        """Apply cache events; return whether a gap made the hints unusable."""
        entry = self._entries.get(name)
        if entry is None:
            return False
        entry.hints = apply_events(entry.hints, events, self._policy.prefix)
        return entry.hints.needs_resync

    def set_hints(self, name: str, hints: CacheHints) -> None:
        """Replace the cache hints after a resync."""
        if name in self._entries:
            self._entries[name].hints = hints

    def cache_sequence(self, name: str) -> int | None:
        """Return the sequence of the last cache event, or None to ask for a resync."""
        entry = self._entries.get(name)
        if entry is None or entry.hints.needs_resync:
            return None
        return entry.hints.sequence

    def update_health(self) -> tuple[HealthChange | PanicChange, ...]:
        """Re-evaluate the health of all upstreams and return the changes."""
        changes: list[HealthChange | PanicChange] = []
        verdicts: dict[str, GroupVerdict] = {}
        for service, entries in self._by_service().items():
            changes += self._update_service_health(service, entries, verdicts)
        self._verdicts = verdicts
        return tuple(changes)

    def table(self, now_s: float, flag_probes: bool) -> UpstreamTable:
        """Return a snapshot; with `flag_probes`, requests may serve as due probes."""
        peers = self._sum_peer_counts(now_s)
        services = {
            service: self._service_table(service, entries, peers, now_s, flag_probes)
            for service, entries in self._by_service().items()
        }
        return UpstreamTable(services, {c.name: c for c in self.configs})

    def _on_new_incarnation(self, entry: UpstreamEntry, incarnation: str) -> None:
        if entry.incarnation:
            # A new VM that reuses the name inherits none of the old one's state.
            entry.limit = new_limit(entry.config.slots)
            entry.speed_tracker = SpeedTracker()
            entry.baseline = None
            entry.hints = CacheHints()
            entry.leaving_incarnations.discard("")
        entry.incarnation = incarnation

    def _adapt_limit(
        self, entry: UpstreamEntry, outcome: Outcome, now_s: float
    ) -> None:
        # Unlike the time to the first token, the time between tokens does not depend
        # on the prompt.
        plain = entry.config.plain
        latency_s = outcome.total_s if plain else outcome.timing.inter_token_s
        rules = self._policy.limits
        if latency_s is not None and not outcome.failed:
            entry.baseline = update_baseline(entry.baseline, latency_s, now_s, rules)
        if latency_s is None and not outcome.failed:
            return
        baseline_s = entry.baseline.value_s if entry.baseline else 0.0
        entry.limit = on_result(
            entry.limit, latency_s or 0.0, baseline_s, outcome.failed, now_s, rules
        )

    def _by_service(self) -> dict[str, list[UpstreamEntry]]:
        services: dict[str, list[UpstreamEntry]] = {}
        for entry in self._entries.values():
            services.setdefault(entry.config.service, []).append(entry)
        return services

    def _update_service_health(
        self,
        service: str,
        entries: list[UpstreamEntry],
        verdicts: dict[str, GroupVerdict],
    ) -> Iterator[HealthChange | PanicChange]:
        # Leaving upstreams get no work, so the panic rule must not count them.
        staying = [entry for entry in entries if not entry.leaving]
        group = {
            entry.config.name: self._with_failed_reports(entry) for entry in staying
        }
        verdict = evaluate_group(group, self._policy.slowness)
        verdicts[service] = verdict
        for entry in staying:
            health = verdict.health[entry.config.name]
            entry.speed_tracker = with_verdict(entry.speed_tracker, health)
            if health is not entry.health:
                entry.health = health
                yield HealthChange(entry.config.name, health, entry.speed_tracker)
        previous = self._verdicts.get(service)
        if verdict.panic != (previous is not None and previous.panic):
            yield PanicChange(service, verdict.panic)

    def _with_failed_reports(self, entry: UpstreamEntry) -> SpeedTracker:
        # Failed report reads count as failures, but a successful read does not reset
        # failed attempts, since it does not prove that requests work.
        failures = max(entry.speed_tracker.failures, entry.report_failures)
        return replace(entry.speed_tracker, failures=failures)

    def _probe_due(self, entry: UpstreamEntry, now_s: float) -> bool:
        if entry.leaving or entry.health is Health.GOOD:
            return False
        interval_s = self._policy.slowness.probe_interval_s
        return now_s - entry.probed_at_s >= interval_s

    def _sum_peer_counts(self, now_s: float) -> dict[str, InFlight]:
        total: dict[str, InFlight] = {}
        for node, (received_s, counts) in list(self._peer_counts.items()):
            if now_s - received_s > PEER_COUNTS_MAX_AGE_S:
                del self._peer_counts[node]
                continue
            for name, count in counts.items():
                total[name] = total.get(name, InFlight()) + count
        return total

    def _service_table(
        self,
        service: str,
        entries: list[UpstreamEntry],
        peers: Mapping[str, InFlight],
        now_s: float,
        flag_probes: bool,
    ) -> ServiceTable:
        verdict = self._verdicts.get(service) or GroupVerdict({}, False, None, None)
        candidates = tuple(
            candidate_of(
                entry,
                peers.get(entry.config.name, InFlight()),
                verdict,
                flag_probes and self._probe_due(entry, now_s),
            )
            for entry in entries
        )
        hints = {e.config.name: e.hints for e in entries if e.hints.blocks}
        return ServiceTable(
            candidates,
            verdict.panic,
            verdict.first_token_s,
            verdict.inter_token_s,
            hints,
            len(self._peer_counts) + 1,
        )
