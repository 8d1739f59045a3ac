"""Forward callers' requests to upstreams and the responses back."""

import asyncio
from dataclasses import replace

from cicadapass_decisions.attempts import (
    NOT_RUN_OUTCOMES,
    AttemptOutcome,
    AttemptResult,
    Done,
    Fail,
    Refuse,
    RequestProgress,
    Retry,
    may_run_again,
    next_step,
)
from cicadapass_decisions.limitsampling import capped_retry_s
from cicadapass_decisions.passthrough import Prompt, UpstreamRecord
from cicadapass_decisions.queueorder import retry_after_s
from cicadapass_decisions.routetable import NoRoute, UnknownCredential
from cicadapass_decisions.streamlimits import caller_limit_s
from cicadapass_gateway.adapterapi import Call, HeaderCodec, Headers
from cicadapass_gateway.attemptrace import AttemptRace
from cicadapass_gateway.endedprocesses import EndedProcesses
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_gateway.httpserver import Exchange
from cicadapass_gateway.migrator import Migrator
from cicadapass_gateway.nodestate import NodeState
from cicadapass_gateway.promptguard import HeldReason, PromptGuard
from cicadapass_gateway.requestcontext import Party, RequestContext
from cicadapass_gateway.requestlog import HedgeOutcome, RequestLog
from cicadapass_gateway.requestqueue import NotPlaced, RequestRequirements
from cicadapass_gateway.streamversions import StreamVersions
from cicadapass_gateway.upstreamattempt import AttemptDependencies, UpstreamAttempt
from cicadapass_gateway.upstreamtracker import Reservation
from cicadapass_gateway.usage import UsageCounter

# Fraction of the shared prompt tokens that engines are expected to have cached.
EXPECTED_CACHED_FRACTION = 0.8
# Time after which a caller may return with a stream whose version is not known.
UNKNOWN_VERSION_RETRY_S = 1.0
# Time after which a caller may return with a prompt that crashes engines. Blocks last
# for minutes; callers whose deadline is sooner do not return.
BLOCKED_RETRY_S = 60.0
# Time after which a caller may return with a suspected prompt: that of one trial.
SUSPECTED_RETRY_S = 1.0


class Relay:
    """Forward the requests of callers, with retries, resumption and migration."""

    def __init__(
        self,
        state: NodeState,
        header_codec: HeaderCodec,
        pool: ClientPool,
        usage: UsageCounter,
        migrator: Migrator,
        stream_versions: StreamVersions,
    ) -> None:
        self._state = state
        self._header_codec = header_codec
        self._ended_engines = EndedProcesses(pool)
        self.prompt_guard = PromptGuard(state, self._ended_engines)
        self._log = RequestLog(state)
        self._stream_versions = stream_versions
        self._attempt_dependencies = AttemptDependencies(
            state=state,
            header_codec=header_codec,
            pool=pool,
            usage=usage,
            migrator=migrator,
            prompt_guard=self.prompt_guard,
            log=self._log,
            stream_versions=stream_versions,
            has_ended=self._ended_engines.has_ended,
        )

    def identify(self, headers: Headers) -> str | None:
        """Return the workspace of a request's headers, or None if it has none."""
        if self._state.routes is None:
            return None
        call = self._header_codec.decode_call(headers)
        return self._state.routes.workspace_name(call.api_key)

    def find_timeout(self, headers: Headers, target: bytes) -> float | None:
        """Return the time-out of a request's route, or None if it has no route."""
        if self._state.routes is None:
            return None
        host = self._header_codec.decode_call(headers).host
        return self._state.routes.route_timeout_s(host, target.decode("latin-1"))

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request until its deadline; cancelled if the caller disconnects."""
        call = self._header_codec.decode_call(exchange.headers)
        request = self._admit(exchange, call)
        if request is None:
            return
        self.prompt_guard.watch(request)
        try:
            async with asyncio.timeout_at(request.deadline_s) as request.time_limit:
                if await self._find_version(request):
                    await self._serve(request)
        except TimeoutError:
            if request.exchange.finished:
                return
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
        request = RequestContext(
            exchange,
            call,
            match,
            exchange.arrived_s + timeout_s,
            caller_limit_s(match.route.timeout_s, call.time_limit_s),
        )
        request.segments = tuple(
            f"{match.service}/{each.segment_id}" for each in call.prompt.shared_segments
        )
        if self.prompt_guard.find_block(request) is not None:
            reason = HeldReason.BLOCKED.value
            self._reject(exchange, call, 503, reason, BLOCKED_RETRY_S)
            return None
        limit_wait_s = self._charge(request)
        if limit_wait_s is not None:
            wait_s = capped_retry_s(
                limit_wait_s, timeout_s / 3, self._state.rng.random()
            )
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

    async def _find_version(self, request: RequestContext) -> bool:
        """Find the version of a stream that is taken up; refuse one that is unknown."""
        call, match = request.call, request.match
        # The route may have been resumable when the stream began.
        is_take_up = call.last_event_id is not None and (
            self._stream_versions.may_continue(match.route, match.service)
        )
        if not is_take_up:
            return True
        request.version = await self._stream_versions.find(
            match.service, call.resumes, request.deadline_s
        )
        if request.version is None:
            # What the log does not have by now is lost.
            self._refuse(request, "version_unknown", UNKNOWN_VERSION_RETRY_S)
        return request.version is not None

    def _charge(self, request: RequestContext) -> float | None:
        """Charge the workspace; return the seconds to wait if it is over its limit."""
        workspace = request.match.workspace
        if workspace is None:
            return None
        cost = 1.0
        if workspace.counts_tokens:
            cost = float(request.call.prompt.total_tokens or workspace.plain_tokens)
        now_s = self._state.clock()
        excess = self._state.rate_limiter.admit(
            workspace.name,
            workspace.rate_per_s,
            workspace.burst,
            cost,
            now_s,
            self._limit_rank(request),
        )
        if excess is not None:
            return excess.retry_after_s
        request.charged_cost, request.charged_s = cost, now_s
        return None

    def _limit_rank(self, request: RequestContext) -> int:
        """Return the rank of a request within a scarce limit; the lowest comes first.

        Calls of plain services cost a hundredth of a model's, so that all of them fit.
        """
        service = request.match.service_entry
        if service is None or not service.model_engine:
            return 0
        return 1 + max(0, request.match.route.priority)

    async def _serve(self, request: RequestContext) -> None:
        while True:
            held = await self.prompt_guard.admit(request)
            if held is not None:
                self._refuse_held(request, held)
                return
            migrated = request.migrated
            reservation = await self._reserve(request)
            if isinstance(reservation, NotPlaced):
                self._refuse(request, reservation.reason, reservation.queue_delay_s)
                return
            result = await self._race(request).run(reservation)
            if migrated is not None and result.outcome in NOT_RUN_OUTCOMES:
                request.migrated = migrated.after_refusal()
            step = await self._next_step(request, result)
            if isinstance(step, Refuse):
                self._refuse(request, result.outcome.value, 0.1)
                return
            if isinstance(step, Fail):
                self._fail(request, result.outcome.value)
                return
            if not isinstance(step, Retry):
                return
            if len(request.excluded) >= len(
                self._state.upstreams.usable(request.match.service)
            ):
                request.excluded.clear()

    async def _next_step(
        self, request: RequestContext, result: AttemptResult
    ) -> Done | Retry | Refuse | Fail:
        """Return the next step; a stopped run goes on wherever it still can."""
        if request.migrated is not None:
            return Retry(needs_allowance=False)
        if result.outcome is not AttemptOutcome.DELIVERED:
            await self._discount_ended_engines(request)
        step = next_step(result, self._progress(request), retry_allowed=True)
        if isinstance(step, Retry) and step.needs_allowance:
            allowed = self._take_retry(request)
            step = next_step(result, self._progress(request), retry_allowed=allowed)
        return step

    def _race(self, request: RequestContext) -> AttemptRace:
        def make_attempt(
            race: AttemptRace, reservation: Reservation, hedge: bool
        ) -> UpstreamAttempt:
            return UpstreamAttempt(
                self._attempt_dependencies, request, reservation, race, hedge=hedge
            )

        async def place_hedge(silent: UpstreamAttempt) -> Reservation | None:
            return await self._place_hedge(request, silent)

        def on_result(attempt: UpstreamAttempt, result: AttemptResult) -> None:
            reservation = attempt.reservation
            self._log.log_failed_attempt(request, reservation, attempt.progress, result)
            if result.outcome not in (AttemptOutcome.DELIVERED, AttemptOutcome.HELD):
                request.excluded.add(reservation.record.upstream_id)
            if attempt.progress.ended_by is Party.UPSTREAM:
                request.broken_at.append(reservation.record)

        return AttemptRace(
            make_attempt,
            place_hedge,
            self._release_place,
            on_result,
            may_hedge=request.match.route.repeatable,
        )

    async def _place_hedge(
        self, request: RequestContext, silent: UpstreamAttempt
    ) -> Reservation | None:
        """Return a place for a hedge beside a silent attempt, if it may be sent."""
        if not request.repeatable:
            return None
        silent_s, record = silent.silent_s(), silent.reservation.record
        placed, outcome = await self._find_hedge(request, record)
        self._log.log_hedge(request, record, placed, silent_s, outcome)
        return placed

    async def _find_hedge(
        self, request: RequestContext, silent: UpstreamRecord
    ) -> tuple[Reservation | None, HedgeOutcome]:
        await self._discount_ended_engines(request)
        if not may_run_again(self._progress(request)):
            return None, HedgeOutcome.USED_UP
        if request.trial or self.prompt_guard.is_suspected(request):
            return None, HedgeOutcome.HELD
        allowance = self._state.retry_allowance(request.match.service)
        now_s, node_count = self._state.clock(), self._state.node_count
        if not allowance.is_available(now_s, node_count, hedge=True):
            return None, HedgeOutcome.NO_ALLOWANCE
        requirements = self._requirements(request)
        excluded = requirements.excluded | {silent.upstream_id}
        reservation = await self._state.queue.place(
            replace(requirements, excluded=excluded, refusable=True)
        )
        if isinstance(reservation, NotPlaced):
            return None, HedgeOutcome.NO_ROOM
        if reservation.record.upstream_id == silent.upstream_id:
            # A service without other upstreams falls back to the excluded ones.
            self._release_place(reservation)
            return None, HedgeOutcome.NO_ROOM
        if not self._take_retry(request, hedge=True):
            self._release_place(reservation)
            return None, HedgeOutcome.NO_ALLOWANCE
        return reservation, HedgeOutcome.SENT

    def _release_place(self, reservation: Reservation) -> None:
        now_s = self._state.clock()
        self._state.upstreams.end(reservation, now_s, succeeded=None)

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
        route, workspace = request.match.route, request.match.workspace
        table = self._state.routes
        service = request.match.service_entry
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
            refusable=not (request.runs or request.exchange.started),
            route=route.name,
            may_try=not request.tries and request.version is None,
            version=request.version,
            workspace=workspace.name if workspace else "",
            weight=workspace.rate_per_s if workspace else 0.0,
            draw=self._state.rng.random(),
            cost=request.charged_cost,
        )

    def _progress(self, request: RequestContext) -> RequestProgress:
        return RequestProgress(
            repeatable=request.repeatable,
            started=request.exchange.started,
            sends=request.sends,
            tries=request.tries,
            runs=request.runs,
            runs_at_ended=request.runs_at_ended,
            max_runs=request.match.route.attempts,
        )

    async def _discount_ended_engines(self, request: RequestContext) -> None:
        """Find out which runs ended with their engine, if that decides on a repeat."""
        if not (request.repeatable and self._progress(request).runs_used_up):
            return
        while request.broken_at:
            if await self._ended_engines.has_ended(request.broken_at.pop()):
                request.runs_at_ended += 1

    def _take_retry(self, request: RequestContext, *, hedge: bool = False) -> bool:
        """Take a retry from the service's allowance; return whether there was one."""
        return self._state.retry_allowance(request.match.service).take(
            self._state.clock(), self._state.node_count, hedge=hedge
        )

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
                request.match.workspace.name, request.charged_cost, request.charged_s
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
