"""Track the registry entries and the load of upstreams."""

import itertools
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from cicadapass_decisions.learnedcapacity import LearnedCapacity, Totals
from cicadapass_decisions.passthrough import Prompt, UpstreamRecord
from cicadapass_decisions.placement import Candidate
from cicadapass_decisions.topicreplica import TopicReplica
from cicadapass_decisions.upstreamlimits import UpstreamLimits
from cicadapass_decisions.upstreammeter import (
    INITIAL_CALL_S,
    INITIAL_PREFILL_S_PER_TOKEN,
    PeerLoad,
    UpstreamMeter,
)
from cicadapass_decisions.upstreampauses import UpstreamPauses
from cicadapass_decisions.upstreamview import UpstreamView

# A leaving upstream gets stopped runs for this part of the time for which the platform
# lets it have requests; the rest covers the time until the node learns of it.
STOPPED_RUN_FRACTION = 0.6
# A node whose periodic checks are late by more than this has measured its own lateness.
LATE_CHECK_S = 0.15


@dataclass(frozen=True, slots=True)
class ChoiceBasis:
    """Describe the entry and the view by which an upstream was chosen."""

    entry_offset: int
    # Time since this node applied the entry.
    entry_age_s: float
    # The entry was removed and is kept during an outage of the registry.
    held: bool
    # Offset of the first registry record that the view does not cover.
    view_end: int
    # Time since the last read of the registry that the view rests on.
    view_age_s: float
    # The limit that the upstream had named, and the time since a node heard it.
    limit_per_s: float | None = None
    limit_age_s: float = 0.0
    # This node's share of the limit and its room before the request.
    limit_share_per_s: float = 0.0
    limit_room: float = 0.0


NOT_CHOSEN = ChoiceBasis(-1, 0.0, held=False, view_end=-1, view_age_s=0.0)


@dataclass(frozen=True, slots=True)
class Reservation:
    """Identify a request in progress at an upstream."""

    record: UpstreamRecord
    key: str
    expected_s: float
    basis: ChoiceBasis
    # Where the upstream may fetch cached segments of the prompt.
    cache_source: UpstreamRecord | None = None
    # Tokens of the prompt that the upstream has to read.
    uncached_tokens: int = 0


class Engines(Protocol):
    """Group the upstreams by what they may get."""

    @property
    def trusted(self) -> tuple[UpstreamRecord, ...]:
        """Return those that get requests as usual."""

    @property
    def on_trial(self) -> tuple[UpstreamRecord, ...]:
        """Return those that get only the requests of a trial."""


class VersionPolicy(Protocol):
    """Decide which versions of a service get requests."""

    def classify(self, records: Sequence[UpstreamRecord]) -> Engines:
        """Return the upstreams that may get requests."""

    def permits(self, service: str, version: str) -> bool:
        """Return whether a stream of a version may go on at its engines."""

    def wants_trial(self, service: str, route: str) -> bool:
        """Return whether a new request should go to the version on trial."""

    def least_tried(
        self, service: str, records: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Return the engines on trial that should get the next request."""

    def begin(self, record: UpstreamRecord, key: str) -> None:
        """Record a place for a request, named by `key`, at an engine."""

    def end(self, key: str) -> None:
        """Record that a place was released."""


@dataclass(slots=True)
class _Tracked:
    """Keep what belongs to a usable upstream, and its last candidate."""

    record: UpstreamRecord
    start_key: str
    meter: UpstreamMeter
    last: Candidate | None = None


class UpstreamTracker:
    """Track the registered upstreams, with a meter for each start of one."""

    def __init__(
        self,
        node: str,
        data_centre: str,
        drain_s: float,
        versions: VersionPolicy | None = None,
    ) -> None:
        self.versions = versions
        self.replica = TopicReplica()
        self.view = UpstreamView()
        self.limits = UpstreamLimits(node)
        self.pauses = UpstreamPauses()
        # What is learnt of the upstreams' capacity, if the node's settings enable it.
        self.learned: LearnedCapacity | None = None
        # The last periodic check, and the end of the last one that was late.
        self._checked_s = -1e9
        self._late_s = -1e9
        self._data_centre = data_centre
        # Time in which this node hears of the requests that each peer has in progress.
        self.peer_round_s = 0.0
        # How long a leaving upstream may get requests.
        self._drain_s = drain_s
        self._meters: dict[tuple[str, int], UpstreamMeter] = {}
        # The same meters by the id of their upstream.
        self._meters_by_id: dict[str, list[UpstreamMeter]] = {}
        # The usable upstreams of each service, once they were candidates.
        self._tracked: dict[str, list[_Tracked]] = {}
        self._usable_starts: set[tuple[str, str, int]] = set()
        self._keys = itertools.count()
        self._by_service: dict[str, list[UpstreamRecord]] = {}
        self._on_trial: dict[str, list[UpstreamRecord]] = {}
        # The upstreams at which each peer last reported requests in progress.
        self._reported_upstreams: dict[str, set[str]] = {}
        self._send_listeners: list[Callable[[str, int], None]] = []

    def subscribe_to_sends(self, listener: Callable[[str, int], None]) -> None:
        """Call `listener` with the upstream and the uncached tokens of each request."""
        self._send_listeners.append(listener)

    def refresh(self) -> None:
        """Rebuild the index after the view has changed."""
        records = tuple(self.view.usable().values())
        if self.versions is None:
            self._by_service, self._on_trial = _index(records), {}
        else:
            engines = self.versions.classify(records)
            self._by_service = _index(engines.trusted)
            self._on_trial = _index(engines.on_trial)
        self._tracked = {}
        self._usable_starts = {
            (service, each.upstream_id, each.started_ms)
            for index in (self._by_service, self._on_trial)
            for service, indexed in index.items()
            for each in indexed
        }
        current_starts = {
            (r.upstream_id, r.started_ms) for r in self.view.records.values()
        }
        self.limits.keep(each.start_key for each in self.view.records.values())
        if self.learned is not None:
            self.learned.keep(each.start_key for each in self.view.records.values())
        for key in [each for each in self._meters if each not in current_starts]:
            if not self._meters[key].local_running:
                self._meters_by_id[key[0]].remove(self._meters.pop(key))
                if not self._meters_by_id[key[0]]:
                    del self._meters_by_id[key[0]]

    def usable(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams of a service that may get any request."""
        return self._by_service.get(service, [])

    def on_trial(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams that get the requests of a trial of their version."""
        return self._on_trial.get(service, [])

    def least_tried(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams on trial that should get the next request."""
        records = self.on_trial(service)
        return (
            records
            if self.versions is None
            else self.versions.least_tried(service, records)
        )

    def of_version(self, service: str, version: str) -> list[UpstreamRecord]:
        """Return the upstreams at which a stream that began at a version may go on."""
        records = self.usable(service) + self.on_trial(service)
        return [each for each in records if each.version == version]

    def is_usable(self, record: UpstreamRecord) -> bool:
        """Return whether this start of an upstream may get requests."""
        start = (record.service, record.upstream_id, record.started_ms)
        return start in self._usable_starts

    def may_share(self, one: UpstreamRecord, other: UpstreamRecord) -> bool:
        """Return whether an engine may use what another one computed of a prompt."""
        return one.version == other.version

    def permits(self, service: str, version: str) -> bool:
        """Return whether a stream of a version may go on at its engines."""
        return self.versions is None or self.versions.permits(service, version)

    def wants_trial(self, service: str, route: str) -> bool:
        """Return whether a new request should go to a version on trial."""
        return (
            self.versions is not None
            and bool(self._on_trial)
            and self.versions.wants_trial(service, route)
        )

    def accepts_stopped_runs(self, record: UpstreamRecord, now_s: float) -> bool:
        """Return whether a leaving upstream may go on with a run that was stopped."""
        if not self.permits(record.service, record.version):
            return False
        leaving_s = self.view.leaving_s(record, now_s)
        limit_s = STOPPED_RUN_FRACTION * self._drain_s
        return leaving_s is not None and leaving_s < limit_s

    def meter(self, record: UpstreamRecord) -> UpstreamMeter:
        """Return the meter of one start of an upstream, initially of typical speed."""
        key = (record.upstream_id, record.started_ms)
        meter = self._meters.get(key)
        if meter is None:
            meter = self._meters[key] = UpstreamMeter()
            self._meters_by_id.setdefault(record.upstream_id, []).append(meter)
            meter.prefill_s_per_token, meter.call_s = self._typical_speed(
                record.service
            )
        return meter

    def candidates(
        self,
        service: str,
        prompt: Prompt,
        excluded: Iterable[str],
        now_s: float,
        records: Iterable[UpstreamRecord] | None = None,
    ) -> list[Candidate]:
        """Return the load and speed of each upstream that is not excluded.

        They are those of `records` if these are given, else all usable ones.
        """
        excluded_ids = set(excluded)
        return [
            self._candidate(each, prompt, now_s)
            for each in self._tracked_records(service, records)
            if each.record.upstream_id not in excluded_ids
        ]

    def _tracked_records(
        self, service: str, records: Iterable[UpstreamRecord] | None
    ) -> list[_Tracked]:
        """Return upstreams with their meters; the list of all usable ones is kept."""
        if records is not None:
            return [
                _Tracked(each, each.start_key, self.meter(each)) for each in records
            ]
        tracked = self._tracked.get(service)
        if tracked is None:
            tracked = self._tracked[service] = [
                _Tracked(each, each.start_key, self.meter(each))
                for each in self.usable(service)
            ]
        return tracked

    def begin(
        self,
        record: UpstreamRecord,
        prompt: Prompt,
        expected_s: float,
        now_s: float,
        cache_source: UpstreamRecord | None = None,
    ) -> Reservation:
        """Record a request that is being sent, and notify the listeners."""
        key = str(next(self._keys))
        uncached_tokens = self.meter(record).begin(key, prompt, now_s)
        for listener in self._send_listeners:
            listener(record.upstream_id, uncached_tokens)
        basis = self._choice_basis(record, now_s)
        self.limits.take(record.start_key, now_s)
        if self.versions is not None:
            self.versions.begin(record, key)
        return Reservation(
            record, key, expected_s, basis, cache_source, uncached_tokens
        )

    def first_token(self, reservation: Reservation, now_s: float) -> None:
        """Record the start of the response to a request."""
        self.meter(reservation.record).first_token(reservation.key, now_s)

    def end(
        self,
        reservation: Reservation,
        now_s: float,
        *,
        succeeded: bool | None,
        events: int = 0,
    ) -> None:
        """Record the end of a request; None leaves the upstream's health unchanged."""
        if succeeded:
            self.record_progress(reservation, events, now_s, ended=True)
        self.meter(reservation.record).end(reservation.key, now_s, succeeded=succeeded)
        if self.versions is not None:
            self.versions.end(reservation.key)

    def record_check(self, now_s: float) -> None:
        """Record a periodic check, which shows whether this node was late."""
        if now_s - self._checked_s > LATE_CHECK_S:
            self._late_s = now_s
        self._checked_s = now_s

    def update_capacity(self, services: Iterable[str], elapsed_s: float) -> int:
        """Move the levels of these services' engines; return how many are lowered."""
        if self.learned is None:
            return 0
        self.learned.tick(elapsed_s)
        lowered = 0
        for service in services:
            slots = {each.start_key: each.slots for each in self.usable(service)}
            self.learned.adapt_levels(slots, elapsed_s)
            for start_key, count in slots.items():
                level = self.learned.level(start_key)
                lowered += level is not None and level < count
        return lowered

    def record_progress(
        self,
        reservation: Reservation,
        events: int,
        now_s: float,
        *,
        ended: bool = False,
    ) -> None:
        """Learn from the events of a stream, unless this node may have been late."""
        if self.learned is None:
            return
        record = reservation.record
        sample = self.meter(record).progress(
            reservation.key, events, now_s, ended=ended
        )
        late = now_s - self._checked_s > LATE_CHECK_S
        if sample is None or late or sample.began_s < self._late_s:
            return
        self.learned.record_work(
            record.start_key, Totals(sample.work, sample.busy_s), now_s
        )

    def local_load(self, now_s: float) -> dict[str, tuple[int, int]]:
        """Return this node's running requests and prefill tokens by upstream."""
        return {
            upstream_id: (meter.local_running, int(meter.local_prefill_tokens(now_s)))
            for (upstream_id, _), meter in self._meters.items()
            if meter.local_running
        }

    def apply_load(
        self, peer: str, load: Mapping[str, tuple[int, int]], now_s: float
    ) -> None:
        """Replace the load of a peer; upstreams missing from it have no load."""
        known = self._reported_upstreams.get(peer, set())
        ended = known - load.keys()
        if not load:
            self._reported_upstreams.pop(peer, None)
        elif ended or len(known) != len(load):
            self._reported_upstreams[peer] = set(load)
        # Most upstreams have one request of a peer and no tokens to prefill.
        shared: dict[tuple[int, int], PeerLoad] = {}
        for upstream_id, reported in load.items():
            peer_load = shared.get(reported)
            if peer_load is None:
                running, prefill_tokens = reported
                peer_load = PeerLoad(running, float(prefill_tokens), now_s)
                shared[reported] = peer_load
            for meter in self._meters_by_id.get(upstream_id, ()):
                meter.record_peer_load(peer, peer_load)
        for upstream_id in ended:
            for meter in self._meters_by_id.get(upstream_id, ()):
                meter.forget_peer(peer)

    def apply_send(
        self, peer: str, upstream_id: str, tokens: int, now_s: float
    ) -> None:
        """Add a prompt that a peer has just sent to an upstream."""
        for meter in self._meters_by_id.get(upstream_id, ()):
            meter.record_peer_send(peer, tokens, now_s)
            self._reported_upstreams.setdefault(peer, set()).add(upstream_id)

    def cold_reading_s(self, service: str, prompt: Prompt) -> float:
        """Return the time in which a typical engine reads the whole of a prompt."""
        return self._typical_speed(service)[0] * prompt.prompt_tokens

    def decay_speeds(self, now_s: float) -> None:
        """Decay the measured speeds towards the typical speed of the service."""
        for service, records in self._by_service.items():
            prefill_s_per_token, call_s = self._typical_speed(service)
            for record in records:
                self.meter(record).decay_speed(prefill_s_per_token, call_s, now_s)

    def _choice_basis(self, record: UpstreamRecord, now_s: float) -> ChoiceBasis:
        upstream_id = record.upstream_id
        named = self.limits.limit(record.start_key)
        room = self.limits.room(record.start_key, now_s)
        return ChoiceBasis(
            entry_offset=self.replica.offset(upstream_id),
            entry_age_s=now_s - self.replica.applied_s(upstream_id),
            held=self.view.is_held(upstream_id),
            view_end=self.replica.end_offset,
            view_age_s=self.replica.age_s(now_s),
            limit_per_s=None if named is None else named.rate_per_s,
            limit_age_s=0.0 if named is None else now_s - named.heard_s,
            limit_share_per_s=0.0 if room is None else room.share_per_s,
            limit_room=0.0 if room is None else room.requests,
        )

    def _candidate(self, tracked: _Tracked, prompt: Prompt, now_s: float) -> Candidate:
        record, meter = tracked.record, tracked.meter
        start_key, last = tracked.start_key, tracked.last
        running = meter.running(now_s)
        backlog_s = meter.prefill_tokens(now_s) * meter.prefill_s_per_token
        cached_tokens = meter.cached_tokens(prompt, now_s)
        failure_score = meter.failure_score(now_s)
        full, unreachable = meter.is_full(now_s), meter.is_unreachable(now_s)
        room = self.limits.room(start_key, now_s)
        pause_s = self.pauses.remaining_s(start_key, now_s)
        level = None if self.learned is None else self.learned.level(start_key)
        if (
            last is not None
            and last.running == running
            and last.backlog_s == backlog_s
            and last.cached_tokens == cached_tokens
            and last.failure_score == failure_score
            and last.prefill_s_per_token == meter.prefill_s_per_token
            and last.call_s == meter.call_s
            and last.full == full
            and last.unreachable == unreachable
            and last.room == room
            and last.pause_s == pause_s
            and last.level == level
        ):
            # To build an equal one costs as much as half of the rest.
            return last
        tracked.last = Candidate(
            upstream_id=record.upstream_id,
            data_centre=record.data_centre,
            local=record.data_centre == self._data_centre,
            slots=record.slots,
            running=running,
            backlog_s=backlog_s,
            prefill_s_per_token=meter.prefill_s_per_token,
            call_s=meter.call_s,
            cached_tokens=cached_tokens,
            failure_score=failure_score,
            full=full,
            unreachable=unreachable,
            room=room,
            pause_s=pause_s,
            level=level,
        )
        return tracked.last

    def _typical_speed(self, service: str) -> tuple[float, float]:
        meters = [
            self._meters[key]
            for record in self.usable(service)
            if (key := (record.upstream_id, record.started_ms)) in self._meters
        ]
        if not meters:
            return INITIAL_PREFILL_S_PER_TOKEN, INITIAL_CALL_S
        prefill_s_per_token = sorted(meter.prefill_s_per_token for meter in meters)[
            len(meters) // 2
        ]
        call_s = sorted(meter.call_s for meter in meters)[len(meters) // 2]
        return prefill_s_per_token, call_s


def _index(records: Iterable[UpstreamRecord]) -> dict[str, list[UpstreamRecord]]:
    """Return upstreams by service."""
    index: dict[str, list[UpstreamRecord]] = {}
    for record in records:
        index.setdefault(record.service, []).append(record)
    return index
