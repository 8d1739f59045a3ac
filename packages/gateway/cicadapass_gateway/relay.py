"""Carry a caller's request to an upstream and the answer back."""

import asyncio
from dataclasses import dataclass

from cicadapass_decisions.attempts import (
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
from cicadapass_gateway.dialect import AnswerFacts, Attempt, Call, Dialect
from cicadapass_gateway.eventstream import EventSplitter
from cicadapass_gateway.exceptions import AnswerBroken, ConnectFailed
from cicadapass_gateway.httpclient import ClientChannel, ClientPool
from cicadapass_gateway.httpserver import Exchange
from cicadapass_gateway.job import Job
from cicadapass_gateway.movers import ActiveRun, Moved, Movers
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.requestlog import RequestLog
from cicadapass_gateway.silence import SilenceLimit
from cicadapass_gateway.upstreambook import Ticket
from cicadapass_gateway.usage import UsageCounter
from cicadapass_gateway.waitingroom import NotPlaced, Placement

# A new connection within a region takes some milliseconds; a lost opening packet is
# sent again after a second, when another upstream is the better choice.
CONNECT_TIMEOUT_S = 0.4
# The answer of a repeatable request is given up for another attempt when nothing came
# for this long, plus a multiple of what was expected.
SILENCE_S = 0.9
SILENCE_EXPECTED = 3.0
# Answers that are not streams are kept whole before they are passed on.
MAX_ANSWER_BYTES = 16_777_216
# The rest of a move may take this long after the source ended the stream; callers bear
# a gap of two seconds.
MOVE_WAIT_S = 1.2
# Part of the shared prompt tokens that engines are expected to hold already.
CACHED_PART = 0.8
# Statuses that promise that a request was not executed; only a true promise is sent.
PROMISES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class Reading:
    """Hold an answer whose head has been read."""

    job: Job
    ticket: Ticket
    channel: ClientChannel
    status: int
    facts: AnswerFacts


class Relay:
    """Serve the requests of callers."""

    def __init__(
        self,
        state: NodeState,
        dialect: Dialect,
        pool: ClientPool,
        usage: UsageCounter,
        movers: Movers,
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._pool = pool
        self._usage = usage
        self._movers = movers
        self._log = RequestLog(state)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        call = self._dialect.decode_call(exchange.headers)
        job = self._admit(exchange, call)
        if job is None:
            return
        try:
            async with asyncio.timeout_at(job.deadline_s):
                await self._serve(job)
        except TimeoutError:
            self._time_out(job)
        except asyncio.CancelledError:
            self._log.ended(job, 0, "caller_left")
            raise

    def _admit(self, exchange: Exchange, call: Call) -> Job | None:
        """Return the job of a proper request; answer any other."""
        table = self._state.routes
        if table is None:
            self._reject(exchange, call, 503, "no_configuration", 0.5)
            return None
        if not self._state.takes_requests:
            self._reject(exchange, call, 503, "stopping", 0.05)
            return None
        target = exchange.target.decode("latin-1")
        match = table.match(call.host, target, call.key, self._state.rng)
        if isinstance(match, NoRoute):
            self._reject(exchange, call, 404, "no_route", None)
            return None
        if isinstance(match, UnknownCredential):
            self._reject(exchange, call, 401, "unknown_credential", None)
            return None
        limit_s = match.route.timeout_s
        if call.time_limit_s is not None:
            limit_s = min(limit_s, call.time_limit_s)
        job = Job(exchange, call, match, exchange.arrived_s + limit_s)
        over = self._charge(job)
        if over is not None:
            wait_s = min(over, limit_s / 3)
            name = match.workspace.name if match.workspace else None
            self._reject(exchange, call, 429, "over_limit", wait_s, name)
            return None
        self._state.allowance(match.service).count_request(self._state.clock())
        prompt = call.prompt
        unread = prompt.prompt_tokens - CACHED_PART * prompt.shared_tokens
        self._state.demand.add(match.service, max(0.0, unread))
        return job

    def _charge(self, job: Job) -> float | None:
        """Charge the workspace; return when a request over the limit may come."""
        workspace = job.match.workspace
        if workspace is None:
            return None
        cost = 1.0
        if workspace.counts_tokens:
            cost = float(job.call.prompt.total_tokens or workspace.plain_tokens)
        over = self._state.limits.admit(
            workspace.name,
            workspace.rate_per_s,
            workspace.burst,
            cost,
            self._state.clock(),
        )
        if over is not None:
            return over.retry_after_s
        job.charged = cost
        return None

    async def _serve(self, job: Job) -> None:
        while True:
            granted = await self._place(job)
            if isinstance(granted, NotPlaced):
                self._refuse(job, granted.reason, granted.queued_s)
                return
            result = await self._attempt(job, granted)
            self._log.attempt(job, granted, result)
            step = next_step(result, self._progress(job), retry_allowed=True)
            if isinstance(step, Retry) and step.needs_allowance:
                allowed = self._may_repeat(job)
                step = next_step(result, self._progress(job), retry_allowed=allowed)
            if isinstance(step, Refuse):
                self._refuse(job, result.outcome.value, 0.1)
                return
            if isinstance(step, Fail):
                self._fail(job, result.outcome.value)
                return
            if not isinstance(step, Retry):
                return
            job.excluded.add(granted.record.upstream_id)
            if len(job.excluded) >= len(self._state.book.usable(job.match.service)):
                job.excluded.clear()

    async def _place(self, job: Job) -> Ticket | NotPlaced:
        """Return a place; a run that was moved goes on where its copy lies."""
        began_s = self._state.clock()
        if job.moved is not None:
            return self._state.book.begin(job.moved.record, Prompt(), 0.0, began_s)
        granted = await self._state.room.place(self._placement(job))
        job.waited_s += self._state.clock() - began_s
        return granted

    def _placement(self, job: Job) -> Placement:
        route = job.match.route
        table = self._state.routes
        service = table and table.configuration.services.get(job.match.service)
        return Placement(
            service=job.match.service,
            prompt=job.call.prompt,
            model=bool(service and service.model_engine),
            priority=job.match.priority,
            arrived_s=job.exchange.arrived_s,
            target_s=route.target_latency_s,
            max_gap_s=route.max_gap_s,
            deadline_s=job.deadline_s,
            urgent_target_s=table.shorter_target_s(job.match) if table else None,
            excluded=frozenset(job.excluded),
        )

    def _progress(self, job: Job) -> RequestProgress:
        return RequestProgress(
            repeatable=job.repeatable,
            started=job.exchange.started,
            sends=job.sends,
            tries=job.tries,
            runs=job.runs,
            max_runs=job.match.route.attempts,
        )

    def _may_repeat(self, job: Job) -> bool:
        """Take one repeat from the service's allowance."""
        return self._state.allowance(job.match.service).take(
            self._state.clock(), self._state.nodes
        )

    async def _attempt(self, job: Job, ticket: Ticket) -> AttemptResult:
        """Send the request to an upstream once."""
        record = ticket.record
        job.upstream_id = record.upstream_id
        job.tries += 1
        succeeded: bool | None = None
        ended = False
        channel: ClientChannel | None = None
        try:
            channel = await self._open(job, record)
            result = await self._exchange(job, ticket, channel)
            succeeded, ended = result.healthy, True
            return result
        except ConnectFailed as error:
            self._state.book.meter(record).record_unreachable(self._state.clock())
            return AttemptResult.not_sent(str(error))
        except (AnswerBroken, ValueError) as error:
            succeeded = False
            return AttemptResult.broken(str(error))
        finally:
            now_s = self._state.clock()
            self._state.book.end(ticket, now_s, succeeded=succeeded)
            if channel is not None and not ended:
                channel.abort()
            self._state.room.pump()

    async def _open(self, job: Job, record: UpstreamRecord) -> ClientChannel:
        """Return a connection; a request that must not repeat gets a new one."""
        return await self._pool.take(
            record.host, record.port, CONNECT_TIMEOUT_S, fresh=not job.repeatable
        )

    async def _exchange(
        self, job: Job, ticket: Ticket, channel: ClientChannel
    ) -> AttemptResult:
        record = ticket.record
        exchange = job.exchange
        time_left_s = job.deadline_s - self._state.clock()
        workspace = job.match.workspace
        attempt = Attempt(
            upstream_id=record.upstream_id,
            workspace=workspace.name if workspace else None,
            time_left_s=time_left_s,
            priority=job.match.priority,
            resume_after=job.last_event_id,
            copy=job.moved.copy if job.moved is not None else None,
            source=ticket.source,
        )
        job.moved = None
        headers = self._dialect.encode_attempt(job.call, attempt, len(exchange.body))
        job.sends += 1
        # From here on the request may have run, until the upstream denies it.
        job.runs += 1
        channel.send(exchange.method, exchange.target, headers, exchange.body)
        async with self._silence(job, ticket):
            head = await channel.read_head()
        facts = self._dialect.decode_answer(head.status, head.headers)
        if facts.request_id not in (None, job.call.request_id):
            raise AnswerBroken("the answer belongs to another request")
        if head.status < 300 and not (facts.sealed and facts.request_id):
            raise AnswerBroken("a success without the upstream's seal or the id")
        meter = self._state.book.meter(record)
        if facts.load is not None:
            meter.record_reported_load(facts.load, self._state.clock())
        if facts.not_executed or facts.wrong_instance:
            self._note_rejection(record, facts)
            await channel.read_rest(MAX_ANSWER_BYTES)
            job.runs -= 1
            self._pool.give_back(record.host, record.port, channel)
            return AttemptResult.rejected(head.status)
        reading = Reading(job, ticket, channel, head.status, facts)
        if facts.event_stream and head.status < 300:
            return await self._stream(reading)
        return await self._whole(reading)

    def _note_rejection(self, record: UpstreamRecord, facts: AnswerFacts) -> None:
        now_s = self._state.clock()
        if not facts.wrong_instance:
            self._state.book.meter(record).record_full(now_s)
            return
        # Another instance has the address, so this start of the upstream is over.
        self._state.book.view.mark_leaving(record.upstream_id, record.started_ms, now_s)
        self._state.book.refresh()

    async def _whole(self, reading: Reading) -> AttemptResult:
        """Pass on an answer that is not a stream, once it is complete."""
        job, status = reading.job, reading.status
        async with self._silence(job, reading.ticket):
            body = await reading.channel.read_rest(MAX_ANSWER_BYTES)
        self._count_run(job)
        self._give_back(reading)
        if job.exchange.started:
            # A resumed stream cannot go on with an answer of another kind.
            return AttemptResult.failed(status)
        if status >= 500 and self._can_run_again(job):
            return AttemptResult.failed(status)
        if status in PROMISES and not job.repeatable:
            return AttemptResult.broken(
                f"answered {status} without saying not executed"
            )
        job.exchange.respond(status, reading.facts.headers, body)
        self._log.ended(job, status, "answered")
        return AttemptResult.delivered(status)

    def _give_back(self, reading: Reading) -> None:
        record = reading.ticket.record
        self._pool.give_back(record.host, record.port, reading.channel)

    def _can_run_again(self, job: Job) -> bool:
        return job.repeatable and job.runs < job.match.route.attempts

    async def _stream(self, reading: Reading) -> AttemptResult:
        """Pass on whole events as they come."""
        job, exchange = reading.job, reading.job.exchange
        run = self._active_run(job, reading.ticket)
        self._movers.add(run)
        try:
            await self._pass_events(reading, run)
        except AnswerBroken:
            # A run that is being moved ends at its source without its end.
            job.moved = await self._moved(run)
            if job.moved is None:
                raise
            reading.channel.abort()
            return AttemptResult.migrated(job.moved.record.upstream_id)
        finally:
            self._movers.discard(run)
        if not exchange.started:
            exchange.start(reading.status, reading.facts.headers)
        self._give_back(reading)
        exchange.finish()
        self._log.ended(job, reading.status, "answered")
        return AttemptResult.delivered(reading.status)

    def _active_run(self, job: Job, ticket: Ticket) -> ActiveRun:
        configuration = self._state.configuration
        service = configuration and configuration.services.get(job.match.service)
        return ActiveRun(
            request_id=job.call.request_id or "",
            record=ticket.record,
            prompt=job.call.prompt,
            tokens_per_event=service.tokens_per_event if service else 1,
            began_s=self._state.clock(),
        )

    async def _moved(self, run: ActiveRun) -> Moved | None:
        """Return where the run was moved to, if it was."""
        if run.mover is None:
            return None
        try:
            async with asyncio.timeout(MOVE_WAIT_S):
                return await asyncio.shield(run.mover)
        except TimeoutError:
            return None

    async def _pass_events(self, reading: Reading, run: ActiveRun) -> None:
        """Pass on events until the proper end of the stream."""
        job, ticket, exchange = reading.job, reading.ticket, reading.job.exchange
        splitter = EventSplitter()
        while True:
            async with self._silence(job, ticket):
                piece = await reading.channel.read_body()
            if piece is None:
                break
            events = splitter.feed(piece)
            if not events:
                continue
            run.events += len(events)
            if not exchange.started:
                exchange.start(reading.status, reading.facts.headers)
            self._note_first_piece(job, ticket)
            exchange.write(b"".join(event.data for event in events))
            job.last_event_id = events[-1].event_id or job.last_event_id
            await exchange.drained()
        if splitter.partial:
            raise AnswerBroken("the stream ended within an event")

    def _note_first_piece(self, job: Job, ticket: Ticket) -> None:
        now_s = self._state.clock()
        self._state.book.first_token(ticket, now_s)
        if job.first_piece_s is None:
            job.first_piece_s = now_s
            self._count_run(job)
            self._state.room.pump()

    def _count_run(self, job: Job) -> None:
        """Count a request for the usage of its workspace, once."""
        if not job.counted and job.match.workspace is not None:
            job.counted = True
            self._usage.count(job.match.workspace.name)

    def _silence(self, job: Job, ticket: Ticket) -> SilenceLimit:
        """Limit how long a repeatable request waits for the next bytes."""
        if not job.repeatable or job.runs >= job.match.route.attempts:
            return SilenceLimit(None)
        if job.match.route.kind is CallKind.STREAM:
            return SilenceLimit(SILENCE_S + SILENCE_EXPECTED * ticket.expected_s)
        share = (job.deadline_s - job.exchange.arrived_s) / 3
        return SilenceLimit(max(share, SILENCE_EXPECTED * ticket.expected_s))

    def _refuse(self, job: Job, reason: str, queued_s: float) -> None:
        """Answer that the request has not run, with the time to come back."""
        if job.runs or job.exchange.started:
            self._fail(job, reason)
            return
        if job.charged and job.match.workspace is not None:
            self._state.limits.refund(
                job.match.workspace.name, job.charged, self._state.clock()
            )
        left_s = job.deadline_s - self._state.clock()
        wait_s = retry_after_s(queued_s, left_s, self._state.rng.random())
        headers = self._dialect.encode_refusal(job.call.request_id, wait_s)
        job.exchange.respond(503, headers, b"")
        self._log.ended(job, 503, reason)

    def _fail(self, job: Job, reason: str) -> None:
        """Answer that the request failed and may have run."""
        if job.exchange.started:
            job.exchange.cut()
            self._log.ended(job, 0, f"cut_{reason}")
            return
        headers = self._dialect.encode_refusal(job.call.request_id, None)
        job.exchange.respond(502, headers, b"")
        self._log.ended(job, 502, reason)

    def _time_out(self, job: Job) -> None:
        if job.exchange.finished:
            return
        if job.exchange.started:
            job.exchange.cut()
            self._log.ended(job, 0, "cut_timeout")
            return
        headers = self._dialect.encode_refusal(job.call.request_id, None)
        job.exchange.respond(504, headers, b"")
        self._log.ended(job, 504, "timeout")

    def _reject(
        self,
        exchange: Exchange,
        call: Call,
        status: int,
        reason: str,
        wait_s: float | None,
        workspace: str | None = None,
    ) -> None:
        headers = self._dialect.encode_refusal(call.request_id, wait_s)
        exchange.respond(status, headers, b"")
        self._log.rejected(call, status, reason, workspace)
