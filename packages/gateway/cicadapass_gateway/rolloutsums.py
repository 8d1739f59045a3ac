"""Add up what all nodes count of the answers during rollouts."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.rolloutevidence import (
    AT_ONCE_PROBABILITY,
    TRUSTED_SIDE,
    Counts,
    Evidence,
    Finding,
    Side,
    add_up,
    find_fault,
)
from cicadapass_decisions.rollouts import Rollout
from cicadapass_gateway.rolloutcounts import NodeCounts
from cicadapass_gateway.rolloutmessages import encode_counts

# Engines, and routes if a node may send one request only, that were tried more often
# than this multiple of the least tried one, and some, get none. All nodes chose the
# same one of several idle engines, which then spoke for its version.
LEAD_FACTOR = 2
LEAD = 10


class RolloutSums:
    """Store the counts of this node and its peers for the running rollouts."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._own: dict[str, NodeCounts] = {}
        # Counts of peers by service and origin, then by node.
        self._peers: dict[tuple[str, int], dict[str, dict[Side, Counts]]] = {}
        # Their sums, which each report changes; adding up 380 nodes took 23 ms a look.
        self._peer_sums: dict[tuple[str, int], dict[Side, Counts]] = {}
        # Why this node stopped a trial, by service and origin.
        self._findings: dict[tuple[str, int], Finding] = {}
        # Requests that were sent to the version on trial, by service and route, and by
        # service and start of an engine.
        self._tried: dict[str, dict[str, int]] = {}
        self._tried_engines: dict[str, dict[str, int]] = {}

    @property
    def services(self) -> list[str]:
        """Return the services with a running rollout."""
        return list(self._own)

    def own(self, service: str) -> NodeCounts | None:
        """Return this node's counts, or None if no rollout runs."""
        return self._own.get(service)

    def begin(self, rollout: Rollout, *, goes_on: bool) -> None:
        """Begin new counts for a rollout, or keep those of one that goes on."""
        service, kept = rollout.service, (rollout.service, rollout.origin)
        if not goes_on:
            self._own[service] = NodeCounts(self._clock)
            self._tried.pop(service, None)
            self._tried_engines.pop(service, None)
        self._peers = {
            key: each
            for key, each in self._peers.items()
            if key[0] != service or key == kept
        }
        self._peer_sums = {
            key: each for key, each in self._peer_sums.items() if key in self._peers
        }
        self._findings = {
            key: each
            for key, each in self._findings.items()
            if key[0] != service or key == kept
        }

    def end(self, service: str) -> None:
        """Discard this node's counts for a rollout that was decided."""
        self._own.pop(service, None)

    def merge(self, rollout: Rollout, counts: Evidence, key: str) -> None:
        """Add the counts of a peer, `key` naming its incarnation."""
        rollout_key = (rollout.service, rollout.origin)
        known = self._peers.setdefault(rollout_key, {}).setdefault(key, {})
        sums = self._peer_sums.setdefault(rollout_key, {})
        for side, each in counts.items():
            before = known.get(side, Counts())
            if each == before:
                continue
            newer = each.at_least(before)
            known[side] = newer
            sums[side] = sums.get(side, Counts()) + (newer - before)

    def evidence(self, rollout: Rollout) -> Evidence:
        """Return the counts of all nodes."""
        own = self._own.get(rollout.service)
        peers = self._peer_sums.get((rollout.service, rollout.origin), {})
        return add_up([*([own.evidence] if own is not None else []), peers])

    def finding(self, rollout: Rollout) -> Finding | None:
        """Return why this node stopped the trial, or None."""
        return self._findings.get((rollout.service, rollout.origin))

    def judge(self, rollout: Rollout, engines: int) -> Finding | None:
        """Return why the version is bad if the counts have come to show it.

        `engines` is the number of those on trial.
        """
        own = self._own[rollout.service]
        own.count_overdue(self._clock())
        key = (rollout.service, rollout.origin)
        if key in self._findings:
            return None
        evidence = self.evidence(rollout)
        self._tried[rollout.service] = _tried_by_route(evidence)
        self._tried_engines[rollout.service] = _tried_by_engine(evidence)
        finding = find_fault(evidence, AT_ONCE_PROBABILITY, engines)
        if finding is not None:
            self._findings[key] = finding
        return finding

    def lacks_evidence(self, service: str, route: str) -> bool:
        """Return whether a route is not far ahead of the one that was tried least."""
        tried = self._tried.get(service, {})
        least = min(tried.values(), default=0)
        return tried.get(route, 0) <= LEAD_FACTOR * least + LEAD

    def least_tried(
        self, service: str, records: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Return the engines that are not far ahead of the one that was tried least."""
        known = self._tried_engines.get(service, {})
        tried = [known.get(each.start_key, 0) for each in records]
        most = LEAD_FACTOR * min(tried, default=0) + LEAD
        return [
            record
            for record, count in zip(records, tried, strict=True)
            if count <= most
        ]

    def export(self, rollouts: Mapping[str, Rollout]) -> list[Any]:
        """Return the rows of this node's counts for the states."""
        return [
            encode_counts(service, rollouts[service].origin, counts.evidence)
            for service, counts in self._own.items()
        ]


def _tried_by_engine(evidence: Evidence) -> dict[str, int]:
    tried: dict[str, int] = {}
    for side, counts in evidence.items():
        tried[side.engine] = tried.get(side.engine, 0) + counts.sent
    return tried


def _tried_by_route(evidence: Evidence) -> dict[str, int]:
    tried: dict[str, int] = {}
    for side, counts in evidence.items():
        trials = 0 if side.engine == TRUSTED_SIDE else counts.sent
        tried[side.route] = tried.get(side.route, 0) + trials
    return tried
