"""State of a caller's request while it is served."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.routetable import Match
from cicadapass_gateway.adapterapi import Call, Headers
from cicadapass_gateway.eventstream import StreamEvent
from cicadapass_gateway.httpserver import Exchange
from cicadapass_gateway.migrator import MigratedRun
from cicadapass_gateway.upstreamtracker import NOT_CHOSEN, ChoiceBasis


class Party(Enum):
    """Name who ended an attempt or a request; the values are logged."""

    CALLER = "caller"
    NODE = "node"
    UPSTREAM = "upstream"


@dataclass(slots=True)
class ResponseProgress:
    """Track how far the response to one attempt has come."""

    # When the request was sent, and when the head arrived.
    sent_s: float | None = None
    head_s: float | None = None
    events: int = 0
    received_bytes: int = 0
    # Time without data at the end of the attempt.
    silent_s: float = 0.0
    # Time since any connection of the node got data from the upstream, at that moment.
    heard_age_s: float | None = None
    ended_by: Party | None = None
    # The engine has written enough of it for its prompt segments to be harmless.
    harmless: bool = False


@dataclass(eq=False, slots=True)
class RequestContext:
    """Track the attempts and the times of one caller's request."""

    exchange: Exchange
    call: Call
    match: Match
    deadline_s: float
    # For how long after its arrival the caller may take up its stream.
    caller_limit_s: float = 0.0
    charged_cost: float = 0.0
    charged_s: float = 0.0
    # Upstreams chosen, requests sent, and those that may have been executed.
    tries: int = 0
    sends: int = 0
    runs: int = 0
    # Runs that ended with their engine.
    runs_at_ended: int = 0
    # The engines that broke off a run and may have ended with it.
    broken_at: list[UpstreamRecord] = field(default_factory=list)
    excluded: set[str] = field(default_factory=set)
    # Status of the stream that has begun.
    stream_status: int | None = None
    last_event_id: str | None = None
    # The version at which the stream began; that of an entry without one is empty.
    version: str | None = None
    # The last event with data had no id, so the stream cannot be resumed behind it.
    position_lost: bool = False
    first_event_s: float | None = None
    usage_counted: bool = False
    upstream_id: str = ""
    basis: ChoiceBasis = NOT_CHOSEN
    migrated: MigratedRun | None = None
    # Engines that did not take the last copy of the run, by id.
    migration_excluded: set[str] = field(default_factory=set)
    # Shared prompt segments, qualified by the service.
    segments: tuple[str, ...] = ()
    # The suspected segments for which this request is the trial.
    trial: tuple[str, ...] = ()
    # Suspected segments, scores and ages at the last decision, for the log.
    evidence: list[list[Any]] = field(default_factory=list)
    # Finds out whether the engine of the last attempt has ended.
    engine_check: asyncio.Task[None] | None = None
    time_limit: asyncio.Timeout | None = None
    # Who ended the last attempt that delivered no answer.
    ended_by: Party | None = None
    # The last decision on a hedge.
    hedge_outcome: Enum | None = None
    # Why the request was ended before its deadline.
    stopped: str | None = None
    waited_s: float = 0.0

    def start_stream(self, status: int, headers: Headers, version: str) -> None:
        """Send the head of a stream, unless an earlier attempt did."""
        if not self.exchange.started:
            self.stream_status = status
            self.version = version
            self.exchange.start(status, headers)

    def record_position(self, events: Sequence[StreamEvent]) -> None:
        """Record the events that were delivered, to resume the stream behind them."""
        for event in events:
            self.last_event_id = event.event_id or self.last_event_id
            if event.has_data:
                self.position_lost = not event.event_id

    @property
    def expired(self) -> bool:
        """Return whether the deadline ended the request.

        The time is not compared, because uvloop rounds timers to whole milliseconds
        and a time limit may end just before its deadline.
        """
        return (
            self.stopped is None
            and self.time_limit is not None
            and self.time_limit.expired()
        )

    @property
    def repeatable(self) -> bool:
        """Return whether the request may be sent again after a possible execution."""
        return self.match.route.repeatable and not self.position_lost

    @property
    def isolated(self) -> bool:
        """Return whether the request tries a segment that may crash its engine."""
        return bool(self.trial)
