"""Send a request to an upstream once and relay its response."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from cicadapass_decisions.attempts import (
    AttemptResult,
    hedge_delay_s,
    is_failing_silence,
)
from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_gateway.adapterapi import Attempt, HeaderCodec, ResponseInfo
from cicadapass_gateway.eventstream import EventSplitter, StreamEvent
from cicadapass_gateway.exceptions import (
    AnswerBroken,
    ConnectFailed,
    HedgeSuperseded,
    PromptHeld,
    UpstreamUnwilling,
)
from cicadapass_gateway.httpclient import ClientChannel, ClientPool
from cicadapass_gateway.migrator import ActiveRun, MigratedRun, Migrator
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.promptguard import PromptGuard
from cicadapass_gateway.requestcontext import (
    Party,
    RequestContext,
    ResponseProgress,
)
from cicadapass_gateway.requestlog import RequestLog, SilenceOutcome
from cicadapass_gateway.responsechecks import (
    NOT_EXECUTED_STATUSES,
    check_head,
    check_undelimited_end,
)
from cicadapass_gateway.rolloutcounts import AttemptEvidence, PromptSize
from cicadapass_gateway.streamversions import StreamVersions
from cicadapass_gateway.upstreamtracker import Reservation
from cicadapass_gateway.usage import UsageCounter

# Opening a connection within a region takes milliseconds. TCP resends a lost SYN only
# after a second, by when another upstream is the better choice.
CONNECT_TIMEOUT_S = 0.4
# Time from the head to the first event of a hedge while the other attempt goes on. Two
# upstreams must not write events of one request for 0.4 s.
MAX_OVERLAP_S = 0.3
# Bytes of a stream that are split into events before other connections get their turn.
BYTES_PER_TURN = 4096
# A stream whose caller keeps it waiting for longer shows no speed of its upstream.
SLOW_CALLER_S = 0.02
# Shorter silences of an upstream leave no log line.
LOGGED_SILENCE_S = 0.7


T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class AttemptDependencies:
    """Group what all attempts of a node share."""

    state: NodeState
    header_codec: HeaderCodec
    pool: ClientPool
    usage: UsageCounter
    migrator: Migrator
    prompt_guard: PromptGuard
    log: RequestLog
    stream_versions: StreamVersions
    # Finds out whether nothing listens at an engine's address any more.
    has_ended: Callable[[UpstreamRecord], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class OpenResponse:
    """Represent a response whose head has been read."""

    channel: ClientChannel
    status: int
    info: ResponseInfo


class Race(Protocol):
    """Decide which of the attempts at a request delivers the answer."""

    def has_rival(self, attempt: "UpstreamAttempt") -> bool:
        """Return whether another attempt may still deliver the answer."""

    def claim(self, attempt: "UpstreamAttempt") -> None:
        """Let an attempt deliver, and cancel the other one before it can do so."""


class UpstreamAttempt:
    """Hold the connection, the reservation and the progress of one attempt."""

    def __init__(
        self,
        dependencies: AttemptDependencies,
        request: RequestContext,
        reservation: Reservation,
        race: Race,
        *,
        hedge: bool,
    ) -> None:
        self._state = dependencies.state
        self._header_codec = dependencies.header_codec
        self._pool = dependencies.pool
        self._usage = dependencies.usage
        self._migrator = dependencies.migrator
        self._prompt_guard = dependencies.prompt_guard
        self._log = dependencies.log
        self._stream_versions = dependencies.stream_versions
        self._has_ended = dependencies.has_ended
        self._request = request
        self._reservation = reservation
        self._race = race
        self._hedge = hedge
        # Another attempt delivers the answer.
        self._lost = False
        self._silence_counted = False
        self._first_recorded = False
        self._meter = self._state.upstreams.meter(reservation.record)
        self._progress = ResponseProgress()
        # Each wait for the upstream compares it.
        self._hedge_delay_s = hedge_delay_s(
            request.match.route.kind,
            reservation.expected_s,
            request.deadline_s - request.exchange.arrived_s,
        )
        self._channel: ClientChannel | None = None
        # Records the answer while a version of the service is rolled out.
        self._evidence: AttemptEvidence | None = None
        # Since when the attempt has waited for the upstream.
        self._waiting_since_s: float | None = None

    @property
    def reservation(self) -> Reservation:
        """Return the place at the upstream that the attempt uses."""
        return self._reservation

    @property
    def hedge_delay_s(self) -> float:
        """Return the silence after which a hedge is due."""
        return self._hedge_delay_s

    @property
    def progress(self) -> ResponseProgress:
        """Return how far the response has come."""
        return self._progress

    def silent_s(self) -> float:
        """Return for how long the upstream has sent nothing that is waited for."""
        if self._waiting_since_s is None or self._channel is None:
            return 0.0
        since_s = max(self._waiting_since_s, self._channel.received_s)
        return self._state.clock() - since_s

    def lose(self) -> None:
        """Record that another attempt delivers the answer."""
        self._lost = True

    def judge_silence(self) -> None:
        """Count a silence that is too long for a sound upstream as a failure, once."""
        now_s = self._state.clock()
        if not self._silence_counted and is_failing_silence(
            self.silent_s(), self._meter.silent_s(now_s), self.hedge_delay_s
        ):
            self._silence_counted = True
            self._meter.record_failure(now_s)

    async def run(self) -> AttemptResult:
        """Send the request and relay the response; return how the attempt ended."""
        request, record = self._request, self._reservation.record
        request.upstream_id = record.upstream_id
        request.basis = self._reservation.basis
        request.tries += 1
        succeeded: bool | None = None
        finished = False
        try:
            channel = self._channel = await self._open()
            result = await self._send_request(channel)
            succeeded, finished = result.healthy, True
            return result
        except UpstreamUnwilling as error:
            return AttemptResult.not_sent(str(error))
        except PromptHeld as error:
            request.tries -= 1
            return AttemptResult.held(str(error))
        except ConnectFailed as error:
            self._state.upstreams.meter(record).record_unreachable(self._state.clock())
            return AttemptResult.not_sent(str(error))
        except HedgeSuperseded as error:
            return AttemptResult.superseded(str(error))
        except (AnswerBroken, ValueError) as error:
            succeeded = False
            self._progress.ended_by = Party.NODE
            if self._channel is not None and self._channel.ended_by_peer:
                self._progress.ended_by = Party.UPSTREAM
                self._prompt_guard.record_broken(request, record, self._progress)
            return AttemptResult.broken(str(error))
        except asyncio.CancelledError:
            if self._is_unfinished():
                succeeded = False
            raise
        finally:
            now_s = self._state.clock()
            request.ended_by = self._progress.ended_by or request.ended_by
            self._state.upstreams.end(
                self._reservation,
                now_s,
                succeeded=succeeded,
                events=self._progress.events,
            )
            self._end_evidence(now_s, succeeded)
            if self._channel is not None and not finished:
                self._channel.abort()
            self._prompt_guard.end_attempt(request)
            self._state.queue.dispatch()

    def _begin_evidence(self) -> AttemptEvidence | None:
        """Count the send, and return what records its answer during a rollout."""
        rollouts, request = self._state.rollouts, self._request
        record, prompt = self._reservation.record, request.call.prompt
        if not rollouts.is_running(record.service):
            return None
        size = PromptSize(
            self._reservation.uncached_tokens,
            self._state.upstreams.cold_reading_s(record.service, prompt),
        )
        return rollouts.record_sent(
            record,
            self._reservation.key,
            request.match.route.name,
            size,
            first=request.sends == 1,
        )

    def _end_evidence(self, now_s: float, succeeded: bool | None) -> None:
        """Record what the attempt shows of the version; a crash shows nothing."""
        if self._evidence is not None:
            broken = self._progress.ended_by is Party.UPSTREAM
            self._evidence.end(now_s, succeeded, self._has_ended if broken else None)

    def _is_unfinished(self) -> bool:
        """Return whether the deadline ended a response that had begun but no stream."""
        return (
            self._channel is not None
            and self._channel.responding
            and not self._request.exchange.started
            and self._request.expired
        )

    async def _open(self) -> ClientChannel:
        """Return a new connection if an earlier response on another could do harm."""
        request, record = self._request, self._reservation.record
        return await self._pool.acquire(
            record.host,
            record.port,
            CONNECT_TIMEOUT_S,
            fresh=not request.repeatable or request.call.request_id is None,
            request_id=request.call.request_id,
        )

    async def _send_request(self, channel: ClientChannel) -> AttemptResult:
        request, record = self._request, self._reservation.record
        exchange = request.exchange
        remaining_s = request.deadline_s - self._state.clock()
        workspace = request.match.workspace
        attempt = Attempt(
            upstream_id=record.upstream_id,
            workspace=workspace.name if workspace else None,
            remaining_s=remaining_s,
            priority=request.match.priority,
            resume_after=request.last_event_id,
            copy=request.migrated.copy if request.migrated is not None else None,
            cache_source=self._reservation.cache_source,
        )
        if not self._prompt_guard.may_send(request):
            raise PromptHeld("a segment of the prompt came under suspicion")
        if not self._may_send_to(record):
            request.migrated = None
            raise UpstreamUnwilling(f"{record.start_key} wants no requests")
        request.migrated = None
        headers = self._header_codec.encode_attempt(
            request.call, attempt, len(exchange.body)
        )
        request.sends += 1
        sent_s = self._state.clock()
        # From here on the request may have been executed unless the upstream denies it.
        request.runs += 1
        self._progress.sent_s = sent_s
        self._evidence = self._begin_evidence()
        channel.send(exchange.method, exchange.target, headers, exchange.body)
        head = await self._wait_for(channel, channel.read_head())
        self._progress.head_s = self._state.clock()
        info = self._header_codec.decode_response(head.status, head.headers)
        check_head(head.status, info, request.call.request_id)
        self._record_state(record, info, sent_s)
        if info.not_executed or info.wrong_instance:
            self._record_rejection(record, info)
            await channel.read_remaining()
            request.runs -= 1
            self._pool.release(
                record.host, record.port, channel, refused_id=request.call.request_id
            )
            return AttemptResult.rejected(head.status)
        response = OpenResponse(channel, head.status, info)
        # A resumed stream keeps the head of its first engine.
        same_head = request.stream_status in (None, head.status)
        if info.event_stream and head.status < 300 and same_head:
            return await self._relay_stream(response)
        return await self._relay_body(response)

    def _may_send_to(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream may get a request at this moment.

        A stopped run goes on at a leaving engine as well, unless it is too late.
        """
        request, upstreams = self._request, self._state.upstreams
        now_s = self._state.clock()
        if upstreams.is_usable(record):
            # A copy can only be used at the engine that has it.
            paused = upstreams.pauses.remaining_s(record.start_key, now_s) > 0
            return request.migrated is not None or not paused
        return request.migrated is not None and upstreams.accepts_stopped_runs(
            record, now_s
        )

    async def _wait_for(self, channel: ClientChannel, read: Awaitable[T]) -> T:
        """Return what the upstream sends next, and record its silence until then."""
        began_s = self._waiting_since_s = self._state.clock()
        outcome = SilenceOutcome.LOST
        try:
            item = await read
            outcome = SilenceOutcome.RESUMED
            return item
        except asyncio.CancelledError:
            outcome = self._reason_of_cancellation()
            self.judge_silence()
            raise
        finally:
            now_s = self._state.clock()
            silent_s = now_s - began_s
            if outcome is not SilenceOutcome.RESUMED:
                silent_s = self.silent_s()
            self._waiting_since_s = None
            if silent_s >= self.hedge_delay_s:
                self._meter.record_pause(self._reservation.key)
            self._record_silence(channel, silent_s, outcome)
            if channel.received_s >= began_s:
                self._meter.record_heard(channel.received_s)

    def _record_silence(
        self, channel: ClientChannel, silent_s: float, outcome: SilenceOutcome
    ) -> None:
        self._progress.silent_s = silent_s
        self._progress.received_bytes = channel.received_bytes
        self._progress.heard_age_s = self._meter.heard_age_s(self._state.clock())
        if silent_s >= LOGGED_SILENCE_S:
            self._log.log_silence(
                self._request, self._reservation, self._progress, outcome
            )

    def _reason_of_cancellation(self) -> SilenceOutcome:
        if self._lost:
            return SilenceOutcome.REPLACED
        if self._request.expired:
            return SilenceOutcome.EXPIRED
        if self._request.exchange.connected:
            return SilenceOutcome.GIVEN_UP
        return SilenceOutcome.LEFT

    def _record_state(
        self, record: UpstreamRecord, info: ResponseInfo, sent_s: float
    ) -> None:
        """Record what a head reports of the upstream itself."""
        now_s = self._state.clock()
        if info.leaving and not info.wrong_instance:
            self._state.mark_leaving(record, "answer")
        if info.weights is not None:
            self._state.segment_suspicions.record_weights(
                record.service, info.weights, now_s
            )
        if info.unreadable_limit is not None:
            self._log.log_unreadable_limit(record, info.unreadable_limit)
        else:
            self._state.record_upstream_limit(
                record.start_key, info.limit_per_s, sent_s, now_s
            )
        if info.unreadable_pause is not None:
            self._log.log_unreadable_pause(record, info.unreadable_pause)
        if info.pause_s is not None:
            self._state.record_pause(record, info.pause_s)
        if info.load is not None:
            self._state.upstreams.meter(record).record_reported_load(info.load, now_s)

    def _record_rejection(self, record: UpstreamRecord, info: ResponseInfo) -> None:
        if info.wrong_instance:
            # The address now belongs to another instance, so this one has ended.
            self._state.mark_leaving(record, "replaced")
        else:
            self._meter.record_full(self._state.clock())

    async def _relay_body(self, response: OpenResponse) -> AttemptResult:
        """Forward a response that is not a stream, once it is complete."""
        request, status = self._request, response.status
        body = await self._wait_for(response.channel, response.channel.read_remaining())
        if status < 300 and not response.channel.delimited:
            check_undelimited_end(
                has_data=bool(body),
                ended_early=response.channel.ended_early,
            )
        self._record_end_of_answer(response)
        self._count_run()
        self._release_channel(response)
        if request.exchange.started:
            # A resumed stream cannot continue with a response of another kind.
            return AttemptResult.failed(status)
        if status >= 500 and (self._can_run_again() or self._race.has_rival(self)):
            return AttemptResult.failed(status)
        if status in NOT_EXECUTED_STATUSES:
            return AttemptResult.broken(
                f"status {status} without a confirmation of no execution"
            )
        self._claim()
        request.exchange.respond(status, response.info.headers, body)
        self._log.log_end(request, status, "answered")
        return AttemptResult.delivered(status)

    def _record_end_of_answer(self, response: OpenResponse) -> None:
        """Record a success as harmless, unless its engine may have ended with it."""
        if response.status >= 300:
            return
        if response.channel.delimited:
            self._prompt_guard.record_harmless(self._request, self._progress)
        else:
            self._prompt_guard.record_broken(
                self._request, self._reservation.record, self._progress
            )

    def _release_channel(self, response: OpenResponse) -> None:
        record = self._reservation.record
        self._pool.release(record.host, record.port, response.channel)

    def _can_run_again(self) -> bool:
        request = self._request
        runs = request.runs - request.runs_at_ended
        return request.repeatable and runs < request.match.route.attempts

    async def _relay_stream(self, response: OpenResponse) -> AttemptResult:
        """Forward whole events as they arrive."""
        request, exchange = self._request, self._request.exchange
        run = self._active_run()
        self._migrator.add(run)
        try:
            migrated = await self._relay_run(response, run)
        finally:
            self._migrator.discard(run)
        self._claim()
        if migrated is not None:
            request.migrated = migrated
            response.channel.abort()
            return AttemptResult.migrated(migrated.record.upstream_id)
        self._record_end_of_answer(response)
        self._start_stream(response)
        self._release_channel(response)
        exchange.finish()
        self._log.log_end(request, response.status, "answered")
        return AttemptResult.delivered(response.status)

    async def _relay_run(
        self, response: OpenResponse, run: ActiveRun
    ) -> MigratedRun | None:
        """Forward a run's events to its end, or return where it goes on.

        Raise `AnswerBroken` if the stream was cut.
        """
        channel = response.channel
        try:
            await self._relay_events(response, run)
        except AnswerBroken:
            migrated = await self._await_migration(channel, run) or run.fallback
            if migrated is None:
                raise
            return migrated
        if channel.delimited or not run.stopping:
            return None
        # Without a length or chunks, the end of a run that was stopped looks like that
        # of a whole one; the answer to the call that was to stop it tells them apart.
        migrated = await self._await_migration(channel, run)
        if migrated is None and run.stopping:
            raise AnswerBroken("the source of a migration ended the stream")
        return migrated

    def _active_run(self) -> ActiveRun:
        request = self._request
        service = request.match.service_entry
        return ActiveRun(
            request_id=request.call.request_id or "",
            record=self._reservation.record,
            prompt=request.call.prompt,
            tokens_per_event=service.tokens_per_event if service else 1,
            began_s=self._state.clock(),
            excluded=request.migration_excluded,
        )

    async def _await_migration(
        self, channel: ClientChannel, run: ActiveRun
    ) -> MigratedRun | None:
        """Return the migrated run, or None if the source did not stop it.

        The last copy may wait for others on the link, or for a silent engine. It is
        awaited until the deadline; a hedge may go on in its place.
        """
        if run.migration is None or not run.stopping:
            return None
        return await self._wait_for(channel, asyncio.shield(run.migration))

    async def _relay_events(self, response: OpenResponse, run: ActiveRun) -> None:
        """Forward events until the stream's end; raise `AnswerBroken` if it is cut."""
        request, exchange = self._request, self._request.exchange
        splitter = EventSplitter(request.last_event_id)
        has_data = False
        # Comments of a hedge, which are no reason to cancel the other attempt.
        comments: list[StreamEvent] = []
        while True:
            chunk = await self._read_chunk(response.channel)
            if chunk is None:
                break
            events = splitter.feed(chunk[:BYTES_PER_TURN])
            response.channel.spend_events(len(events))
            if len(chunk) > BYTES_PER_TURN:
                events += await _split_rest(response.channel, splitter, chunk)
            if comments:
                events = comments + events
            if not events:
                continue
            has_data = has_data or any(event.has_data for event in events)
            if not has_data and self._race.has_rival(self):
                comments = events
                continue
            comments = []
            run.events += len(events)
            self._progress.events += len(events)
            self._claim()
            self._start_stream(response)
            self._record_first_event()
            self._state.upstreams.record_progress(
                self._reservation, self._progress.events, self._state.clock()
            )
            self._prompt_guard.record_progress(request, self._progress)
            exchange.write(b"".join(event.data for event in events))
            request.record_position(events)
            await self._wait_writable()
        if splitter.partial:
            raise AnswerBroken("the stream ended within an event")
        if not response.channel.delimited:
            check_undelimited_end(
                has_data=has_data,
                ended_early=response.channel.ended_early,
            )

    async def _wait_writable(self) -> None:
        """Wait until the caller has room, and record it if it is slow to read."""
        began_s = self._state.clock()
        await self._request.exchange.wait_writable()
        if self._state.clock() - began_s > SLOW_CALLER_S:
            self._meter.record_slow_caller(self._reservation.key)

    async def _read_chunk(self, channel: ClientChannel) -> bytes | None:
        """Return the next chunk of a stream, or None at its end.

        A hedge that resumes a stream ends if it has no event soon after its head while
        the other attempt goes on.
        """
        resumes = self._hedge and self._request.exchange.started
        while resumes and not self._progress.events and self._race.has_rival(self):
            try:
                async with asyncio.timeout(MAX_OVERLAP_S):
                    return await self._wait_for(channel, channel.read_body())
            except TimeoutError:
                if self._race.has_rival(self):
                    raise HedgeSuperseded("no event soon after the head") from None
        return await self._wait_for(channel, channel.read_body())

    def _start_stream(self, response: OpenResponse) -> None:
        """Send the head of the stream; from here on it belongs to one version."""
        version = self._reservation.record.version
        self._request.start_stream(response.status, response.info.headers, version)

    def _claim(self) -> None:
        """Become the attempt that delivers; the other one is cancelled."""
        self._race.claim(self)
        self._request.upstream_id = self._reservation.record.upstream_id
        self._request.basis = self._reservation.basis

    def _record_first_event(self) -> None:
        if self._first_recorded:
            return
        self._first_recorded = True
        request, now_s = self._request, self._state.clock()
        self._state.upstreams.first_token(self._reservation, now_s)
        if self._evidence is not None:
            self._evidence.first_event(now_s)
        if request.first_event_s is None:
            request.first_event_s = now_s
            self._count_run()
            self._record_version()
            self._state.queue.dispatch()

    def _record_version(self) -> None:
        """Record the version of a stream that the caller may take up."""
        request = self._request
        call, match = request.call, request.match
        if call.last_event_id is None and self._stream_versions.may_be_taken_up(
            match.route, match.service
        ):
            self._stream_versions.record(
                match.service,
                call.request_id,
                self._reservation.record.version,
                request.caller_limit_s,
            )

    def _count_run(self) -> None:
        """Count the request once for the usage of its workspace."""
        request = self._request
        if not request.usage_counted and request.match.workspace is not None:
            request.usage_counted = True
            self._usage.count(request.match.workspace.name)


async def _split_rest(
    channel: ClientChannel, splitter: EventSplitter, chunk: bytes
) -> list[StreamEvent]:
    """Return the events behind the first bytes of a chunk; others get their turns."""
    events: list[StreamEvent] = []
    for start in range(BYTES_PER_TURN, len(chunk), BYTES_PER_TURN):
        await asyncio.sleep(0)
        more = splitter.feed(chunk[start : start + BYTES_PER_TURN])
        channel.spend_events(len(more))
        events += more
    return events
