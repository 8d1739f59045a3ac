"""Forward callers' requests to upstreams and the responses back."""

import asyncio
from dataclasses import dataclass

from cicadapass_decisions.attempts import (
    AttemptOutcome,
    AttemptResult,
    Fail,
    Refuse,
    RequestProgress,
    Retry,
    next_step,
)
from cicadapass_decisions.passthrough import CallKind, Prompt, UpstreamRecord
from cicadapass_decisions.queueorder import retry_after_s
from cicadapass_decisions.routetable import NoRoute, UnknownCredential
from cicadapass_gateway.adapterapi import Attempt, Call, HeaderCodec, ResponseInfo
from cicadapass_gateway.eventstream import EventSplitter
from cicadapass_gateway.exceptions import AnswerBroken, ConnectFailed, PromptHeld
from cicadapass_gateway.httpclient import ClientChannel, ClientPool
from cicadapass_gateway.httpserver import Exchange
from cicadapass_gateway.migrator import ActiveRun, MigratedRun, Migrator
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.promptguard import HeldReason, PromptGuard
from cicadapass_gateway.readtimeout import ReadTimeout
from cicadapass_gateway.requestcontext import RequestContext, ResponseProgress
from cicadapass_gateway.requestlog import RequestLog
from cicadapass_gateway.requestqueue import NotPlaced, RequestRequirements
from cicadapass_gateway.upstreamtracker import Reservation
from cicadapass_gateway.usage import UsageCounter

# Opening a connection within a region takes milliseconds. TCP resends a lost SYN only
# after a second, by when another upstream is the better choice.
CONNECT_TIMEOUT_S = 0.4
# A repeatable stream is retried at another upstream if no data arrives for this long
# plus this multiple of the expected time. Other repeatable requests wait for a third of
# the time until their deadline, or for that multiple if it is longer.
READ_TIMEOUT_S = 0.9
READ_TIMEOUT_FACTOR = 3.0
# Maximum time to finish a migration after the source ended the stream; callers tolerate
# a gap of two seconds.
MIGRATION_WAIT_S = 1.2
# Fraction of the shared prompt tokens that engines are expected to have cached.
EXPECTED_CACHED_FRACTION = 0.8
# Time after which a caller may return with a prompt that crashes engines. Blocks last
# for minutes; callers whose deadline is sooner do not return.
BLOCKED_RETRY_S = 60.0
# Time after which a caller may return with a suspected prompt: that of one trial.
SUSPECTED_RETRY_S = 1.0
# Statuses by which callers conclude that a request was not executed. If the request
# must not be repeated, they are not forwarded without the upstream's confirmation.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class OpenResponse:
    """Represent a response whose head has been read."""

    request: RequestContext
    reservation: Reservation
    channel: ClientChannel
    status: int
    info: ResponseInfo


class Relay:
    """Forward the requests of callers, with retries, resumption and migration."""

    def __init__(
        self,
        state: NodeState,
        header_codec: HeaderCodec,
        pool: ClientPool,
        usage: UsageCounter,
        migrator: Migrator,
    ) -> None:
        self._state = state
        self._header_codec = header_codec
        self._pool = pool
        self._usage = usage
        self._migrator = migrator
        self.prompt_guard = PromptGuard(state, pool)
        self._log = RequestLog(state)

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request until its deadline; cancelled if the caller disconnects."""
        call = self._header_codec.decode_call(exchange.headers)
        request = self._admit(exchange, call)
        if request is None:
            return
        self.prompt_guard.watch(request)
        try:
            async with asyncio.timeout_at(request.deadline_s) as request.time_limit:
                await self._serve(request)
        except TimeoutError:
            if request.stopped is not None:
                self._refuse_after(request, request.stopped, BLOCKED_RETRY_S)
            else:
                self._respond_timeout(request)
        except asyncio.CancelledError:
            self._log.log_end(request, 0, "caller_left")
            raise
        finally:
            self.prompt_guard.unwatch(request)

    def _admit(self, exchange: Exchange, call: Call) -> RequestContext | None:
        """Return the context of an admitted request; reject any other."""
        table = self._state.routes
        if table is None:
            self._reject(exchange, call, 503, "no_configuration", 0.5)
            return None
        if not self._state.accepts_requests:
            self._reject(exchange, call, 503, "stopping", 0.05)
            return None
        target = exchange.target.decode("latin-1")
        match = table.match(call.host, target, call.api_key, self._state.rng)
        if isinstance(match, NoRoute):
            self._reject(exchange, call, 404, "no_route", None)
            return None
        if isinstance(match, UnknownCredential):
            self._reject(exchange, call, 401, "unknown_credential", None)
            return None
        timeout_s = match.route.timeout_s
        if call.time_limit_s is not None:
            timeout_s = min(timeout_s, call.time_limit_s)
        request = RequestContext(exchange, call, match, exchange.arrived_s + timeout_s)
        request.segments = tuple(
            f"{match.service}/{each.segment_id}" for each in call.prompt.shared_segments
        )
        if self.prompt_guard.find_block(request) is not None:
            reason = HeldReason.BLOCKED.value
            self._reject(exchange, call, 503, reason, BLOCKED_RETRY_S)
            return None
        limit_wait_s = self._charge(request)
        if limit_wait_s is not None:
            wait_s = min(limit_wait_s, timeout_s / 3)
            name = match.workspace.name if match.workspace else None
            self._reject(exchange, call, 429, "over_limit", wait_s, name)
            return None
        self._state.retry_allowance(match.service).count_request(self._state.clock())
        prompt = call.prompt
        uncached_tokens = (
            prompt.prompt_tokens - EXPECTED_CACHED_FRACTION * prompt.shared_tokens
        )
        self._state.demand.add(match.service, max(0.0, uncached_tokens))
        return request

    def _charge(self, request: RequestContext) -> float | None:
        """Charge the workspace; return the seconds to wait if it is over its limit."""
        workspace = request.match.workspace
        if workspace is None:
            return None
        cost = 1.0
        if workspace.counts_tokens:
            cost = float(request.call.prompt.total_tokens or workspace.plain_tokens)
        excess = self._state.rate_limiter.admit(
            workspace.name,
            workspace.rate_per_s,
            workspace.burst,
            cost,
            self._state.clock(),
        )
        if excess is not None:
            return excess.retry_after_s
        request.charged_cost = cost
        return None

    async def _serve(self, request: RequestContext) -> None:
        while True:
            held = await self.prompt_guard.admit(request)
            if held is not None:
                self._refuse_held(request, held)
                return
            reservation = await self._reserve(request)
            if isinstance(reservation, NotPlaced):
                self._refuse(request, reservation.reason, reservation.queue_delay_s)
                return
            result = await self._attempt(request, reservation)
            self._log.log_failed_attempt(request, reservation, result)
            step = next_step(result, self._progress(request), retry_allowed=True)
            if isinstance(step, Retry) and step.needs_allowance:
                allowed = self._take_retry(request)
                step = next_step(result, self._progress(request), retry_allowed=allowed)
            if isinstance(step, Refuse):
                self._refuse(request, result.outcome.value, 0.1)
                return
            if isinstance(step, Fail):
                self._fail(request, result.outcome.value)
                return
            if not isinstance(step, Retry):
                return
            if result.outcome is AttemptOutcome.HELD:
                continue
            request.excluded.add(reservation.record.upstream_id)
            if len(request.excluded) >= len(
                self._state.upstreams.usable(request.match.service)
            ):
                request.excluded.clear()

    async def _reserve(self, request: RequestContext) -> Reservation | NotPlaced:
        """Return a reservation; a migrated run continues at its copy."""
        began_s = self._state.clock()
        if request.migrated is not None:
            return self._state.upstreams.begin(
                request.migrated.record, Prompt(), 0.0, began_s
            )
        reservation = await self._state.queue.place(self._requirements(request))
        request.waited_s += self._state.clock() - began_s
        return reservation

    def _requirements(self, request: RequestContext) -> RequestRequirements:
        route = request.match.route
        table = self._state.routes
        service = table and table.configuration.services.get(request.match.service)
        return RequestRequirements(
            service=request.match.service,
            prompt=request.call.prompt,
            model_engine=bool(service and service.model_engine),
            priority=request.match.priority,
            arrived_s=request.exchange.arrived_s,
            target_s=route.target_latency_s,
            max_gap_s=route.max_gap_s,
            deadline_s=request.deadline_s,
            shorter_target_s=table.shorter_target_s(request.match) if table else None,
            excluded=frozenset(request.excluded),
            isolated=request.isolated,
        )

    def _progress(self, request: RequestContext) -> RequestProgress:
        return RequestProgress(
            repeatable=request.repeatable,
            started=request.exchange.started,
            sends=request.sends,
            tries=request.tries,
            runs=request.runs,
            max_runs=request.match.route.attempts,
        )

    def _take_retry(self, request: RequestContext) -> bool:
        """Take a retry from the service's allowance; return whether there was one."""
        return self._state.retry_allowance(request.match.service).take(
            self._state.clock(), self._state.node_count
        )

    async def _attempt(
        self, request: RequestContext, reservation: Reservation
    ) -> AttemptResult:
        """Send the request to an upstream once."""
        record = reservation.record
        request.upstream_id = record.upstream_id
        request.basis = reservation.basis
        request.response = ResponseProgress()
        request.tries += 1
        succeeded: bool | None = None
        finished = False
        channel: ClientChannel | None = None
        try:
            channel = await self._open(request, record)
            result = await self._send_request(request, reservation, channel)
            succeeded, finished = result.healthy, True
            return result
        except PromptHeld as error:
            request.tries -= 1
            return AttemptResult.held(str(error))
        except ConnectFailed as error:
            self._state.upstreams.meter(record).record_unreachable(self._state.clock())
            return AttemptResult.not_sent(str(error))
        except (AnswerBroken, ValueError) as error:
            succeeded = False
            if channel is not None and channel.ended_by_peer:
                self.prompt_guard.record_broken(request, record)
            return AttemptResult.broken(str(error))
        except asyncio.CancelledError:
            if channel is not None and self._is_unfinished(request, channel):
                succeeded = False
            raise
        finally:
            now_s = self._state.clock()
            self._state.upstreams.end(reservation, now_s, succeeded=succeeded)
            if channel is not None and not finished:
                channel.abort()
            self.prompt_guard.end_attempt(request)
            self._state.queue.dispatch()

    def _is_unfinished(self, request: RequestContext, channel: ClientChannel) -> bool:
        """Return whether the deadline ended a response that had begun but no stream."""
        return (
            channel.responding
            and not request.exchange.started
            and self._state.clock() >= request.deadline_s
        )

    async def _open(
        self, request: RequestContext, record: UpstreamRecord
    ) -> ClientChannel:
        """Return a connection; a request that must not be repeated gets a new one."""
        return await self._pool.acquire(
            record.host, record.port, CONNECT_TIMEOUT_S, fresh=not request.repeatable
        )

    async def _send_request(
        self, request: RequestContext, reservation: Reservation, channel: ClientChannel
    ) -> AttemptResult:
        record = reservation.record
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
            cache_source=reservation.cache_source,
        )
        if not self.prompt_guard.may_send(request):
            raise PromptHeld("a segment of the prompt came under suspicion")
        request.migrated = None
        headers = self._header_codec.encode_attempt(
            request.call, attempt, len(exchange.body)
        )
        request.sends += 1
        sent_s = self._state.clock()
        # From here on the request may have been executed unless the upstream denies it.
        request.runs += 1
        channel.send(exchange.method, exchange.target, headers, exchange.body)
        async with self._read_timeout(request, reservation):
            head = await channel.read_head()
        request.response.head_s = self._state.clock()
        info = self._header_codec.decode_response(head.status, head.headers)
        if info.request_id not in (None, request.call.request_id):
            raise AnswerBroken("the response belongs to another request")
        if head.status < 300 and not (info.sealed and info.request_id):
            raise AnswerBroken(
                "a successful response without the upstream's seal or the request id"
            )
        if info.weights is not None:
            self._state.segment_suspicions.record_weights(
                record.service, info.weights, self._state.clock()
            )
        self._record_limit(record, info, sent_s)
        meter = self._state.upstreams.meter(record)
        if info.load is not None:
            meter.record_reported_load(info.load, self._state.clock())
        if info.not_executed or info.wrong_instance:
            self._record_rejection(record, info)
            await channel.read_remaining()
            request.runs -= 1
            self._pool.release(record.host, record.port, channel)
            return AttemptResult.rejected(head.status)
        response = OpenResponse(request, reservation, channel, head.status, info)
        if info.event_stream and head.status < 300:
            return await self._relay_stream(response)
        return await self._relay_body(response)

    def _record_limit(
        self, record: UpstreamRecord, info: ResponseInfo, sent_s: float
    ) -> None:
        """Record the limit that an answer names; a malformed one is logged."""
        if info.unreadable_limit is not None:
            self._log.log_unreadable_limit(record, info.unreadable_limit)
            return
        now_s = self._state.clock()
        self._state.record_upstream_limit(
            record.start_key, info.limit_per_s, sent_s, now_s
        )

    def _record_rejection(self, record: UpstreamRecord, info: ResponseInfo) -> None:
        now_s = self._state.clock()
        if not info.wrong_instance:
            self._state.upstreams.meter(record).record_full(now_s)
            return
        # The address now belongs to another instance, so this one has ended.
        self._state.upstreams.view.mark_leaving(
            record.upstream_id, record.started_ms, now_s
        )
        self._state.upstreams.refresh()

    async def _relay_body(self, response: OpenResponse) -> AttemptResult:
        """Forward a response that is not a stream, once it is complete."""
        request, status = response.request, response.status
        async with self._read_timeout(request, response.reservation):
            body = await response.channel.read_remaining()
        self._record_end_of_answer(response)
        self._count_run(request)
        self._release_channel(response)
        if request.exchange.started:
            # A resumed stream cannot continue with a response of another kind.
            return AttemptResult.failed(status)
        if status >= 500 and self._can_run_again(request):
            return AttemptResult.failed(status)
        if status in NOT_EXECUTED_STATUSES and not request.repeatable:
            return AttemptResult.broken(
                f"status {status} without a confirmation of no execution"
            )
        request.exchange.respond(status, response.info.headers, body)
        self._log.log_end(request, status, "answered")
        return AttemptResult.delivered(status)

    def _record_end_of_answer(self, response: OpenResponse) -> None:
        """Record a success as harmless, unless its engine may have ended with it."""
        if response.status >= 300:
            return
        if response.channel.delimited:
            self.prompt_guard.record_harmless(response.request)
        else:
            record = response.reservation.record
            self.prompt_guard.record_broken(response.request, record)

    def _release_channel(self, response: OpenResponse) -> None:
        record = response.reservation.record
        self._pool.release(record.host, record.port, response.channel)

    def _can_run_again(self, request: RequestContext) -> bool:
        return request.repeatable and request.runs < request.match.route.attempts

    async def _relay_stream(self, response: OpenResponse) -> AttemptResult:
        """Forward whole events as they arrive."""
        request, exchange = response.request, response.request.exchange
        run = self._active_run(request, response.reservation)
        self._migrator.add(run)
        try:
            await self._relay_events(response, run)
        except AnswerBroken:
            # The source of a migrated run closes the stream before its end.
            request.migrated = await self._await_migration(run)
            if request.migrated is None:
                raise
            response.channel.abort()
            return AttemptResult.migrated(request.migrated.record.upstream_id)
        finally:
            self._migrator.discard(run)
        self._record_end_of_answer(response)
        if not exchange.started:
            exchange.start(response.status, response.info.headers)
        self._release_channel(response)
        exchange.finish()
        self._log.log_end(request, response.status, "answered")
        return AttemptResult.delivered(response.status)

    def _active_run(
        self, request: RequestContext, reservation: Reservation
    ) -> ActiveRun:
        configuration = self._state.configuration
        service = configuration and configuration.services.get(request.match.service)
        return ActiveRun(
            request_id=request.call.request_id or "",
            record=reservation.record,
            prompt=request.call.prompt,
            tokens_per_event=service.tokens_per_event if service else 1,
            began_s=self._state.clock(),
        )

    async def _await_migration(self, run: ActiveRun) -> MigratedRun | None:
        """Return the migrated run, or None without a migration that ends in time."""
        if run.migration is None:
            return None
        try:
            async with asyncio.timeout(MIGRATION_WAIT_S):
                return await asyncio.shield(run.migration)
        except TimeoutError:
            return None

    async def _relay_events(self, response: OpenResponse, run: ActiveRun) -> None:
        """Forward events until the stream's end; raise `AnswerBroken` if it is cut."""
        request, reservation, exchange = (
            response.request,
            response.reservation,
            response.request.exchange,
        )
        splitter = EventSplitter()
        while True:
            async with self._read_timeout(request, reservation):
                chunk = await response.channel.read_body()
            if chunk is None:
                break
            events = splitter.feed(chunk)
            if not events:
                continue
            run.events += len(events)
            request.response.events += len(events)
            if not exchange.started:
                exchange.start(response.status, response.info.headers)
            self._record_first_event(request, reservation)
            self.prompt_guard.record_progress(request)
            exchange.write(b"".join(event.data for event in events))
            request.last_event_id = events[-1].event_id or request.last_event_id
            await exchange.wait_writable()
        if splitter.partial:
            raise AnswerBroken("the stream ended within an event")
        resumed = request.last_event_id is not None
        if not (response.channel.delimited or run.events or resumed):
            raise AnswerBroken("the connection ended before the first event")

    def _record_first_event(
        self, request: RequestContext, reservation: Reservation
    ) -> None:
        now_s = self._state.clock()
        self._state.upstreams.first_token(reservation, now_s)
        if request.first_event_s is None:
            request.first_event_s = now_s
            self._count_run(request)
            self._state.queue.dispatch()

    def _count_run(self, request: RequestContext) -> None:
        """Count the request once for the usage of its workspace."""
        if not request.usage_counted and request.match.workspace is not None:
            request.usage_counted = True
            self._usage.count(request.match.workspace.name)

    def _read_timeout(
        self, request: RequestContext, reservation: Reservation
    ) -> ReadTimeout:
        """Return the read time-out; a request that cannot be repeated has none."""
        if not request.repeatable or request.runs >= request.match.route.attempts:
            return ReadTimeout(None)
        if request.match.route.kind is CallKind.STREAM:
            return ReadTimeout(
                READ_TIMEOUT_S + READ_TIMEOUT_FACTOR * reservation.expected_s
            )
        timeout_s = (request.deadline_s - request.exchange.arrived_s) / 3
        return ReadTimeout(max(timeout_s, READ_TIMEOUT_FACTOR * reservation.expected_s))

    def _refuse(
        self, request: RequestContext, reason: str, queue_delay_s: float
    ) -> None:
        """Respond that the request was not executed, with a time to retry."""
        remaining_s = request.deadline_s - self._state.clock()
        wait_s = retry_after_s(queue_delay_s, remaining_s, self._state.rng.random())
        self._refuse_after(request, reason, wait_s)

    def _refuse_after(
        self, request: RequestContext, reason: str, wait_s: float
    ) -> None:
        if request.runs or request.exchange.started:
            self._fail(request, reason)
            return
        if request.charged_cost and request.match.workspace is not None:
            self._state.rate_limiter.refund(
                request.match.workspace.name, request.charged_cost, self._state.clock()
            )
        headers = self._header_codec.encode_refusal(request.call.request_id, wait_s)
        request.exchange.respond(503, headers, b"")
        self._log.log_end(request, 503, reason)

    def _refuse_held(self, request: RequestContext, held: HeldReason) -> None:
        if held is HeldReason.BLOCKED:
            self._refuse_after(request, held.value, BLOCKED_RETRY_S)
        else:
            self._refuse(request, held.value, SUSPECTED_RETRY_S)

    def _fail(self, request: RequestContext, reason: str) -> None:
        """Respond that the request failed and may have been executed."""
        if request.exchange.started:
            request.exchange.abort()
            self._log.log_end(request, 0, f"cut_{reason}")
            return
        headers = self._header_codec.encode_refusal(request.call.request_id, None)
        request.exchange.respond(502, headers, b"")
        self._log.log_end(request, 502, reason)

    def _respond_timeout(self, request: RequestContext) -> None:
        if request.exchange.finished:
            return
        if request.exchange.started:
            request.exchange.abort()
            self._log.log_end(request, 0, "cut_timeout")
            return
        headers = self._header_codec.encode_refusal(request.call.request_id, None)
        request.exchange.respond(504, headers, b"")
        self._log.log_end(request, 504, "timeout")

    def _reject(
        self,
        exchange: Exchange,
        call: Call,
        status: int,
        reason: str,
        wait_s: float | None,
        workspace: str | None = None,
    ) -> None:
        headers = self._header_codec.encode_refusal(call.request_id, wait_s)
        exchange.respond(status, headers, b"")
        self._log.log_rejected(call, status, reason, workspace)
