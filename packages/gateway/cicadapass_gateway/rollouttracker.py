"""Track the rollouts of versions, and decide which engines this node may use.

Everything that is known of a rollout merges by maximum, so that reports of peers may be
lost, repeated and reordered. Without bounds the tracker is disabled: all engines count
as trusted, and nothing is recorded or sent.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

from cicadapass_common.events import EventLog
from cicadapass_decisions.heldversions import (
    NEVER_S,
    HeldVersions,
    engines_by_version,
    provisional_version,
)
from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.rolloutevidence import (
    Evidence,
    Finding,
)
from cicadapass_decisions.rollouts import (
    Rollout,
    RolloutBounds,
    RolloutOrder,
    Trust,
    adopt_order,
    merge_rollouts,
    share_phase,
    trial_allowance,
    trial_engines,
    trust,
    withdraw,
)
from cicadapass_gateway.metrics import Metrics
from cicadapass_gateway.rolloutcounts import AttemptEvidence, NodeCounts, PromptSize
from cicadapass_gateway.rolloutmessages import (
    decode_counts,
    decode_rollout,
    encode_finding,
    encode_rollout,
)
from cicadapass_gateway.rolloutsums import RolloutSums

# Until a node has run this long, it may not know how many others share the slack.
SETTLE_S = 10.0
# What the delay of a datagram adds to the age of a view, at least.
HOP_AGE_S = 0.02
# A version that is held makes a node read the operator's topic itself after this time,
# if no watcher has confirmed the view by then.
READ_AFTER_S = 2.0
# A node that hears too few members for this part of the time in which it must heed a
# verdict stops its trials; the rest covers the verdict itself.
HEARING_FRACTION = 0.6
# Ticks whose estimates of true time are kept. They are counted, not timed, so that
# those from before a freeze of any length remain.
TIME_SAMPLES = 150
# Time for reading the orders and the record of the duties after the start, which take a
# call each. After it, the version of most engines serves, or all versions of a service
# without an order.
VERDICTS_WAIT_S = 1.0
# The platform stops the engines of the version that lost within this time.
FLEET_SETTLE_S = 30.0


@dataclass(frozen=True, slots=True)
class Engines:
    """Group the engines of all services by what they may get."""

    trusted: tuple[UpstreamRecord, ...]
    on_trial: tuple[UpstreamRecord, ...]


class RolloutTracker:
    """Store what this node knows of the rollouts."""

    def __init__(
        self,
        node: str,
        bounds: RolloutBounds | None,
        events: EventLog,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._bounds = bounds
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._true_time: Callable[[], float] = clock
        # What true time was ahead of the local clock.
        self._time_offsets: deque[float] = deque(maxlen=TIME_SAMPLES)
        self._hears_members: Callable[[float], bool] = lambda _: True
        self._started_s = clock()
        self._most_nodes = 1
        self._rollouts: dict[str, Rollout] = {}
        # As the states contain them.
        self._rows: dict[str, list[Any]] = {}
        self._sums = RolloutSums(clock)
        self._cut_off = False
        # End of the view of the operator's topic.
        self._view_end = -1
        self._held = HeldVersions()
        # Whether verdicts from before the start may be unknown. They are known after a
        # read of the operator's topic and of the record of the duties, or from the view
        # of a peer that knows both.
        self._awaits_verdicts = False
        self._record_known = True
        # Whether this has taken VERDICTS_WAIT_S.
        self._must_serve = False
        # The versions that get requests meanwhile, by service.
        self._provisional: dict[str, frozenset[str]] = {}
        # Engines on trial, by service; also once their trial has stopped.
        self._trial_engine_counts: dict[str, int] = {}
        # Versions with engines that get requests, by service.
        self._in_use: dict[str, frozenset[str]] = {}
        # Services with engines that get nothing, and when their rollouts were decided.
        self._with_barred: set[str] = set()
        self._decided_s: dict[str, float] = {}
        # Places at engines on trial whose request is not sent yet.
        self._unsent: dict[str, NodeCounts] = {}
        self._listeners: list[Callable[[], None]] = []
        self._report_listeners: list[Callable[[], None]] = []

    @property
    def enabled(self) -> bool:
        """Return whether versions are rolled out on this platform."""
        return self._bounds is not None

    @property
    def rollouts(self) -> dict[str, Rollout]:
        """Return the rollouts by service."""
        return dict(self._rollouts)

    @property
    def has_held_versions(self) -> bool:
        """Return whether a version waits for a read of the operator's topic."""
        return bool(self._held.held)

    @property
    def knows_orders(self) -> bool:
        """Return whether the operator's topic was read since the start."""
        return self._held.confirmed_s > NEVER_S

    def set_time(self, true_time: Callable[[], float]) -> None:
        """Set the source of true time, by which rollouts end."""
        self._true_time = true_time

    def set_hearing(self, hears_members: Callable[[float], bool]) -> None:
        """Set what tells whether enough members were heard within some seconds."""
        self._hears_members = hears_members

    def await_record(self) -> None:
        """Use provisional versions until the orders and the record are known."""
        self._awaits_verdicts = self.enabled
        self._record_known = not self.enabled

    def confirm_record(self) -> None:
        """Record that all verdicts of the record of the duties were merged."""
        self._record_known = True
        self._end_wait_if_known()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` when other engines may get requests."""
        self._listeners.append(listener)

    def subscribe_to_news(self, listener: Callable[[], None]) -> None:
        """Call `listener` when peers are to be told at once."""
        self._report_listeners.append(listener)

    def is_running(self, service: str) -> bool:
        """Return whether a version of a service is being rolled out."""
        rollout = self._rollouts.get(service)
        return rollout is not None and rollout.running

    def fixes_fleet(self, service: str) -> bool:
        """Return whether the engines of a service are not to be ordered anew now.

        While two versions run, an order of a total could release those of either one.
        """
        if self.is_running(service):
            return True
        decided_s = self._decided_s.get(service, NEVER_S)
        is_recent = self._clock() - decided_s < FLEET_SETTLE_S
        return is_recent and service in self._with_barred

    def classify(self, records: Sequence[UpstreamRecord]) -> Engines:
        """Return the engines that may get requests."""
        if self._bounds is None:
            return Engines(tuple(records), ())
        by_service: dict[str, list[UpstreamRecord]] = {}
        for record in records:
            by_service.setdefault(record.service, []).append(record)
        trusted: list[UpstreamRecord] = []
        on_trial: list[UpstreamRecord] = []
        if self._awaits_verdicts:
            return self._classify_provisionally(by_service)
        before = self._held.held
        versions = {
            service: {each.version for each in members}
            for service, members in by_service.items()
        }
        self._held.update(versions, self._rollouts, self._clock())
        held = self._held.held
        self._log_held(before, held)
        self._with_barred.clear()
        for service, members in by_service.items():
            rollout = self._rollouts.get(service)
            old = [
                each
                for each in members
                if (service, each.version) not in held
                and self._trust(each) is Trust.TRUSTED
            ]
            trusted += old
            self._in_use[service] = frozenset(each.version for each in old)
            if any(self._trust(each) is Trust.BARRED for each in members):
                self._with_barred.add(service)
            if rollout is not None and self._may_try(rollout):
                new = [each for each in members if self._trust(each) is Trust.ON_TRIAL]
                chosen = trial_engines(rollout, old, new, self._bounds)
                self._trial_engine_counts[service] = len(chosen)
                on_trial += chosen
        return Engines(tuple(trusted), tuple(on_trial))

    def _classify_provisionally(
        self, by_service: dict[str, list[UpstreamRecord]]
    ) -> Engines:
        """Return the engines that may get requests while verdicts are not known."""
        trusted: list[UpstreamRecord] = []
        unordered = {
            service: {each.version for each in members}
            for service, members in by_service.items()
            if self.knows_orders and service not in self._rollouts
        }
        before = self._held.held
        self._held.update(unordered, self._rollouts, self._clock())
        self._log_held(before, self._held.held)
        for service, members in by_service.items():
            rollout = self._rollouts.get(service)
            present = engines_by_version(members)
            if rollout is not None and self._sums.finding(rollout) is not None:
                # The counts show that the version on trial is bad.
                others = {
                    version: engines
                    for version, engines in present.items()
                    if trust(rollout, version) is Trust.TRUSTED
                }
                present = others or present
            if self._must_serve and service in unordered:
                # One version alone may lack the capacity for all requests.
                serving = {
                    each for each in present if (service, each) not in self._held.held
                }
            else:
                version = provisional_version(
                    present, rollout, must_serve=self._must_serve
                )
                serving = {version} if version is not None else set()
            self._provisional[service] = frozenset(serving)
            trusted += [each for each in members if each.version in serving]
            # An order that is read now may move the traffic from any of these.
            self._in_use[service] = frozenset(
                each for each in present if trust(rollout, each) is Trust.TRUSTED
            )
        return Engines(tuple(trusted), ())

    def permits(self, service: str, version: str) -> bool:
        """Return whether a stream of a version may go on at its engines."""
        rollout = self._rollouts.get(service)
        kind = self._trust_version(service, version)
        if kind is Trust.ON_TRIAL:
            assert rollout is not None
            return self._may_try(rollout)
        return kind is Trust.TRUSTED

    def wants_trial(self, service: str, route: str) -> bool:
        """Return whether a new request should go to the version on trial."""
        rollout, counts = self._rollouts.get(service), self._sums.own(service)
        if self._bounds is None or rollout is None or counts is None:
            return False
        if not self._may_try(rollout):
            return False
        settled = self._clock() - self._started_s >= SETTLE_S
        bounds = self._bounds if settled else replace(self._bounds, slack=0.0)
        allowed = trial_allowance(
            bounds,
            counts.requests + 1,
            self._most_nodes,
            share_phase(self._node, rollout),
        )
        room = allowed - counts.trials
        return room > 1 or (room == 1 and self._sums.lacks_evidence(service, route))

    def least_tried(
        self, service: str, records: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Return the engines on trial that should get the next request."""
        return self._sums.least_tried(service, records)

    def trial_engine_count(self, service: str) -> int:
        """Return the number of engines that get the requests of a trial."""
        return self._trial_engine_counts.get(service, 1)

    def begin(self, record: UpstreamRecord, key: str) -> None:
        """Record a place for a request, named by `key`, at an engine."""
        counts = self._sums.own(record.service)
        if counts is not None and self._trust_by_orders(record) is Trust.ON_TRIAL:
            counts.trials += 1
            self._unsent[key] = counts

    def record_sent(
        self,
        record: UpstreamRecord,
        key: str,
        route: str,
        size: PromptSize,
        *,
        first: bool,
    ) -> AttemptEvidence | None:
        """Record that a request is sent; return what records its answer, if needed."""
        counts = self._sums.own(record.service)
        if counts is None:
            return None
        self._unsent.pop(key, None)
        if first:
            counts.requests += 1
        kind = self._trust_by_orders(record)
        if kind is Trust.BARRED:
            return None
        return counts.begin(record, route, size, trial=kind is Trust.ON_TRIAL)

    def end(self, key: str) -> None:
        """Record that a place was released; one whose request was not sent is free."""
        if (counts := self._unsent.pop(key, None)) is not None:
            counts.trials -= 1

    def evidence(self, service: str) -> Evidence:
        """Return the counts of all nodes for the rollout of a service."""
        rollout = self._rollouts.get(service)
        return {} if rollout is None else self._sums.evidence(rollout)

    def versions_in_use(self, service: str) -> frozenset[str]:
        """Return the versions of a service whose engines get requests as usual."""
        return self._in_use.get(service, frozenset())

    def finding(self, service: str) -> Finding | None:
        """Return why this node stopped the trial of a service, or None."""
        rollout = self._rollouts.get(service)
        return None if rollout is None else self._sums.finding(rollout)

    def adopt_order(self, order: RolloutOrder, offset: int) -> None:
        """Apply an order of the operator's topic."""
        if self._bounds is None:
            return
        in_use = self._in_use.get(order.service, frozenset())
        current = self._rollouts.get(order.service)
        rollout = adopt_order(current, order, offset, self._first_seen_s(), in_use)
        self._replace(rollout, "registry")

    def withdraw(self, service: str, offset: int) -> bool:
        """Apply the deletion of an order; return whether it changes a rollout."""
        current = self._rollouts.get(service)
        return current is not None and self._replace(
            withdraw(current, offset), "registry"
        )

    def merge(self, rollout: Rollout, source: str) -> None:
        """Apply what a peer or the record of the duties knows of a rollout."""
        if self._bounds is not None:
            current = self._rollouts.get(rollout.service)
            self._replace(merge_rollouts(current, rollout), source)

    def confirm_read(self, view_end: int, read_s: float) -> None:
        """Record that a read that began then saw the end of the operator's topic."""
        self._view_end = max(self._view_end, view_end)
        knew_orders = self.knows_orders
        is_released = self._held.confirm(read_s)
        if is_released or (self._awaits_verdicts and not knew_orders):
            self._notify()
        self._end_wait_if_known()

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes; a node that is cut off keeps the larger one."""
        self._most_nodes = max(self._most_nodes, count)

    def export(self) -> dict[str, Any] | None:
        """Return what the states report, or None if there is nothing to report."""
        if self._bounds is None:
            return None
        age_s = min(1e6, self._clock() - self._held.confirmed_s)
        return {
            "view": [self._view_end, round(1000 * age_s)],
            "record": self._record_known,
            "rollouts": self.export_rollouts(),
            "counts": self._sums.export(self._rollouts),
        }

    def export_rollouts(self) -> list[Any]:
        """Return the rollouts, which peers are told at once when they change."""
        return list(self._rows.values())

    def merge_rollout_rows(self, rows: Iterable[Any], peer: str) -> None:
        """Apply the rollouts that a peer reported; raise ValueError or TypeError."""
        known = self._rows.values()
        for row in rows:
            # Nearly all rows say nothing new.
            if row not in known:
                self.merge(decode_rollout(row), peer)

    def merge_state(self, message: dict[str, Any] | None, peer: str, key: str) -> None:
        """Apply the report of a peer, `key` naming its incarnation."""
        if self._bounds is None or message is None:
            return
        now_s = self._clock()
        self.merge_rollout_rows(message["rollouts"], peer)
        for row in message["counts"]:
            service, origin, counts = decode_counts(row)
            rollout = self._rollouts.get(service)
            if rollout is not None and rollout.running and rollout.origin == origin:
                self._sums.merge(rollout, counts, key)
        view_end, age_ms = message["view"]
        # The rollouts above are complete up to the peer's end.
        age_s = float(age_ms) / 1000
        # An age that is not a number is unknown and confirms nothing.
        if int(view_end) >= 0 and not math.isnan(age_s):
            read_s = now_s - max(0.0, age_s) - HOP_AGE_S
            self.confirm_read(int(view_end), read_s)
        # Earlier builds do not report it.
        if not self._record_known and message.get("record") is True:
            self.confirm_record()

    def needs_read(self) -> bool:
        """Return whether this node is to read the operator's topic by itself."""
        return self._held.longest_s(self._clock()) > READ_AFTER_S

    def tick(self) -> None:
        """Judge the trials and count answers that are overdue; called periodically."""
        self._time_offsets.append(self._true_time() - self._clock())
        self._serve_without_verdicts_if_due()
        services = self._sums.services
        if self._bounds is None or not services:
            return
        window_s = HEARING_FRACTION * self._bounds.rollback_s
        cut_off = not self._hears_members(window_s)
        changed = cut_off != self._cut_off
        self._cut_off = cut_off
        for service in services:
            rollout = self._rollouts[service]
            finding = self._sums.judge(rollout, self.trial_engine_count(service))
            if finding is not None:
                self._log_finding(rollout, finding)
                changed = True
        if changed:
            self._notify()

    def _end_wait_if_known(self) -> None:
        """Use all versions that the verdicts allow, once these are known."""
        if self._awaits_verdicts and self._record_known and self.knows_orders:
            self._awaits_verdicts = False
            self._provisional.clear()
            self._notify()

    def _serve_without_verdicts_if_due(self) -> None:
        waited_s = self._clock() - self._started_s
        if not self._awaits_verdicts or self._must_serve or waited_s < VERDICTS_WAIT_S:
            return
        self._must_serve = True
        self._notify()
        versions = {key: sorted(each) for key, each in self._provisional.items()}
        self._events.emit(868, versions=versions)

    def _first_seen_s(self) -> float:
        """Return the true time, by the latest of the recent estimates.

        Datagrams that waited during a freeze make the estimate early. All nodes adopt
        the earliest time at which one of them saw an order, so that a late one is
        harmless, and an early one ends the rollout.
        """
        now_s = self._clock()
        return now_s + max([self._true_time() - now_s, *self._time_offsets])

    def _may_try(self, rollout: Rollout) -> bool:
        """Return whether the version on trial may get requests of this node."""
        return (
            rollout.running
            and not self._awaits_verdicts
            and not rollout.withdrawn
            and self._true_time() < rollout.seen_s + rollout.duration_s
            and not self._cut_off
            and self._sums.finding(rollout) is None
        )

    def _log_held(
        self, before: frozenset[tuple[str, str]], held: frozenset[tuple[str, str]]
    ) -> None:
        for service, version in held - before:
            self._events.emit(866, service=service, version=version)
        for service, version in before - held:
            if self._held.was_used(service, version):
                self._events.emit(867, service=service, version=version)

    def _trust(self, record: UpstreamRecord) -> Trust:
        return self._trust_version(record.service, record.version)

    def _trust_by_orders(self, record: UpstreamRecord) -> Trust:
        """Return the trust by the known orders, whatever the provisional versions are.

        A node may serve from an undecided version then, whose answers are not those of
        a trusted one.
        """
        return trust(self._rollouts.get(record.service), record.version)

    def _trust_version(self, service: str, version: str) -> Trust:
        if self._awaits_verdicts:
            serves = version in self._provisional.get(service, ())
            return Trust.TRUSTED if serves else Trust.BARRED
        return trust(self._rollouts.get(service), version)

    def _replace(self, rollout: Rollout, source: str) -> bool:
        """Store a rollout; return whether it is different from the one before."""
        service = rollout.service
        current = self._rollouts.get(service)
        if rollout == current:
            return False
        self._rollouts[service] = rollout
        self._rows[service] = encode_rollout(rollout)
        is_new = (
            current is None
            or current.offset != rollout.offset
            or current.origin < rollout.origin
        )
        if rollout.running and (current is None or current.origin != rollout.origin):
            self._sums.begin(rollout, goes_on=_goes_on(current, rollout))
        if not rollout.running:
            self._sums.end(service)
            if current is not None and current.running:
                self._decided_s[service] = self._clock()
        if is_new or current is None or current.state is not rollout.state:
            self._events.emit(
                860,
                service=service,
                to=rollout.to,
                offset=rollout.offset,
                state=rollout.state.value,
                withdrawn=rollout.withdrawn,
                source=source,
            )
            self._metrics.count("rollout_states", rollout.state.value)
        if source == "registry" or source == "record":
            for listener in self._report_listeners:
                listener()
        self._notify()
        return True

    def _log_finding(self, rollout: Rollout, finding: Finding) -> None:
        self._metrics.count("rollout_findings", finding.rule.value)
        self._events.emit(
            862,
            service=rollout.service,
            to=rollout.to,
            offset=rollout.offset,
            evidence=encode_finding(finding),
        )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _goes_on(current: Rollout | None, rollout: Rollout) -> bool:
    """Return whether a rollout is known, but not the first order that it repeats."""
    return (
        current is not None
        and current.running
        and (current.to, current.offset) == (rollout.to, rollout.offset)
        and rollout.origin < current.origin
    )
