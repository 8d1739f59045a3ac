"""Log the decisions on a request and count them."""

from collections import OrderedDict
from enum import Enum

from cicadapass_decisions.attempts import AttemptOutcome, AttemptResult
from cicadapass_decisions.logposition import era_of, offset_of
from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_gateway.adapterapi import Call
from cicadapass_gateway.linelimit import LineLimit
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.requestcontext import (
    Party,
    RequestContext,
    ResponseProgress,
)
from cicadapass_gateway.upstreamtracker import Reservation

# Shared prompt segments named on a line.
MAX_LOGGED_SEGMENTS = 8
# Starts of upstreams whose last malformed limit or pause is remembered.
MAX_REMEMBERED_STARTS = 256
# Lines on silences in a second; all upstreams of a data centre may fall silent at once.
MAX_SILENCE_LINES_PER_S = 10


class HedgeOutcome(Enum):
    """Name why a hedge was or was not sent; the values are logged."""

    SENT = "sent"
    USED_UP = "used_up"
    NO_ALLOWANCE = "no_allowance"
    NO_ROOM = "no_room"
    HELD = "held"


class SilenceOutcome(Enum):
    """Name how a silence of an upstream ended; the values are logged."""

    RESUMED = "resumed"
    LOST = "lost"
    REPLACED = "replaced"
    GIVEN_UP = "given_up"
    EXPIRED = "expired"
    LEFT = "left"


class RequestLog:
    """Write a log line and count a metric for each decision."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        # The last malformed limit and pause by start of an upstream, oldest first.
        self._unreadable_limits: OrderedDict[str, str] = OrderedDict()
        self._unreadable_pauses: OrderedDict[str, str] = OrderedDict()
        self._silence_lines = LineLimit(MAX_SILENCE_LINES_PER_S, state.clock)

    def log_rejected(
        self, call: Call, status: int, reason: str, workspace: str | None
    ) -> None:
        """Log a request that was not admitted."""
        self._state.metrics.count("rejected", reason)
        self._state.events.emit(
            810,
            request_id=call.request_id,
            status=status,
            reason=reason,
            version=self._state.version,
            workspace=workspace,
        )

    def log_failed_attempt(
        self,
        request: RequestContext,
        reservation: Reservation,
        response: ResponseProgress,
        result: AttemptResult,
    ) -> None:
        """Log an attempt that delivered no response."""
        if result.outcome is AttemptOutcome.DELIVERED:
            return
        basis = reservation.basis
        segments = request.call.prompt.shared_segments
        head_s = response.head_s
        self._state.metrics.count("attempts_failed", result.outcome.value)
        self._state.events.emit(
            811,
            request_id=request.call.request_id,
            upstream=reservation.record.upstream_id,
            upstream_sequence=reservation.record.sequence,
            outcome=result.outcome.value,
            detail=result.detail,
            sends=request.sends,
            segments=[each.segment_id for each in segments[:MAX_LOGGED_SEGMENTS]],
            head_age_ms=_ms_or_none(
                None if head_s is None else self._state.clock() - head_s
            ),
            events=response.events,
            bytes=response.received_bytes,
            silent_ms=_ms(response.silent_s),
            heard_age_ms=_ms_or_none(response.heard_age_s),
            ended_by=None if response.ended_by is None else response.ended_by.value,
            suspected=request.evidence,
            entry_offset=offset_of(basis.entry_offset),
            entry_age_ms=_ms(basis.entry_age_s),
            held=basis.held,
            view_era=era_of(basis.view_end),
            view_end=offset_of(basis.view_end),
            view_age_ms=_ms(basis.view_age_s),
            limit_per_s=basis.limit_per_s,
            limit_age_ms=_ms(basis.limit_age_s),
            limit_share_per_s=round(basis.limit_share_per_s, 3),
            limit_room=round(basis.limit_room, 2),
        )

    def log_end(self, request: RequestContext, status: int, outcome: str) -> None:
        """Log the end of an admitted request; status 0 is an incomplete response."""
        now_s = self._state.clock()
        arrived_s = request.exchange.arrived_s
        first_s = request.first_event_s
        route, basis = request.match.route, request.basis
        self._state.metrics.count("requests", outcome)
        self._state.metrics.observe("request", route.kind.value, now_s - arrived_s)
        if first_s is not None:
            self._state.metrics.observe(
                "first_piece", route.kind.value, first_s - arrived_s
            )
        self._state.events.emit(
            812,
            request_id=request.call.request_id,
            status=status,
            outcome=outcome,
            ended_by=_ended_by(request, outcome),
            route=route.name,
            version=request.match.version,
            version_in_force=self._state.version,
            upstream=request.upstream_id,
            sends=request.sends,
            waited_ms=_ms(request.waited_s),
            first_ms=_ms_or_none(None if first_s is None else first_s - arrived_s),
            total_ms=_ms(now_s - arrived_s),
            suspected=request.evidence,
            entry_offset=offset_of(basis.entry_offset),
            entry_age_ms=_ms(basis.entry_age_s),
            held=basis.held,
            view_era=era_of(basis.view_end),
            view_end=offset_of(basis.view_end),
            view_age_ms=_ms(basis.view_age_s),
            limit_per_s=basis.limit_per_s,
            limit_age_ms=_ms(basis.limit_age_s),
            limit_share_per_s=round(basis.limit_share_per_s, 3),
            limit_room=round(basis.limit_room, 2),
        )

    def log_silence(
        self,
        request: RequestContext,
        reservation: Reservation,
        response: ResponseProgress,
        outcome: SilenceOutcome,
    ) -> None:
        """Count a silence and log it, unless there were many lines in this second."""
        self._state.metrics.count("upstream_silences", outcome.value)
        if not self._silence_lines.allows_line():
            return
        self._state.events.emit(
            816,
            request_id=request.call.request_id,
            upstream=reservation.record.upstream_id,
            silent_ms=_ms(response.silent_s),
            bytes=response.received_bytes,
            events=response.events,
            heard_age_ms=_ms_or_none(response.heard_age_s),
            outcome=outcome.value,
            skipped=self._silence_lines.take_skipped(),
        )

    def log_hedge(
        self,
        request: RequestContext,
        silent: UpstreamRecord,
        hedge: Reservation | None,
        silent_s: float,
        outcome: HedgeOutcome,
    ) -> None:
        """Count a decision on a hedge, and log it if it differs from the last one."""
        if request.hedge_outcome is outcome and outcome is not HedgeOutcome.SENT:
            return
        request.hedge_outcome = outcome
        self._state.metrics.count("hedges", outcome.value)
        if not self._silence_lines.allows_line():
            return
        self._state.events.emit(
            817,
            request_id=request.call.request_id,
            upstream=silent.upstream_id,
            target=None if hedge is None else hedge.record.upstream_id,
            silent_ms=_ms(silent_s),
            last_event_id=request.last_event_id,
            outcome=outcome.value,
            skipped=self._silence_lines.take_skipped(),
        )

    def log_unreadable_limit(self, record: UpstreamRecord, value: str) -> None:
        """Count a malformed limit, and log it if the upstream's last one differs."""
        self._state.metrics.count("upstream_limits_unreadable")
        if self._is_new(self._unreadable_limits, record, value):
            self._state.events.emit(853, upstream=record.start_key, value=value)

    def log_unreadable_pause(self, record: UpstreamRecord, value: str) -> None:
        """Count a malformed pause, and log it if the upstream's last one differs."""
        self._state.metrics.count("upstream_pauses_unreadable")
        if self._is_new(self._unreadable_pauses, record, value):
            self._state.events.emit(855, upstream=record.start_key, value=value)

    def _is_new(
        self, last_values: OrderedDict[str, str], record: UpstreamRecord, value: str
    ) -> bool:
        """Return whether a value differs from the upstream's last one, and store it."""
        if last_values.get(record.start_key) == value:
            return False
        last_values[record.start_key] = value
        if len(last_values) > MAX_REMEMBERED_STARTS:
            last_values.popitem(last=False)
        return True


def _ended_by(request: RequestContext, outcome: str) -> str | None:
    """Return who ended a request without a whole answer, or None for a whole one."""
    if outcome == "answered":
        return None
    if outcome == "caller_left":
        return Party.CALLER.value
    if outcome in ("timeout", "cut_timeout"):
        return Party.NODE.value
    return (request.ended_by or Party.NODE).value


def _ms_or_none(seconds: float | None) -> int | None:
    return None if seconds is None else _ms(seconds)


def _ms(seconds: float) -> int:
    return round(1000 * seconds)
