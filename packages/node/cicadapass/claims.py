"""Component that owns the claim index: batches claims and returns their verdicts."""

import os
import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from typing import Any

import pykka

from cicadapass.actormessages import tell_if_alive
from cicadapass.claimlog import ClaimLog
from cicadapass.supervisor import Component, ComponentRef
from cicadapass.timers import Subscription, TimerService
from cicadapass_decisions.claims import ClaimVerdict, not_run_verdicts
from cicadapass_decisions.issuedkeys import IssuedKeys
from cicadapass_decisions.logrecords import Claim

# At 20 ms a batcher makes 37 appends/s, so ten data centres would exceed the
# 300 appends/s that the log is designed for.
BATCH_WAIT_S = 0.035
MAX_BATCH_CLAIMS = 256
# Bounds the queue when claims arrive faster than the log accepts them; further claims
# are refused.
MAX_WAITING_CLAIMS = 4096
# Reading regularly keeps the number of records low that a batch must read back.
CATCH_UP_INTERVAL_S = 1.0
# Shorter than the claim's validity, so that the claimant still has time to send.
VERDICT_TIMEOUT_S = 3.0
KEY_NONCE_BYTES = 12

Reply = Callable[[tuple[ClaimVerdict, ...]], None]


@dataclass(frozen=True, slots=True)
class SubmitClaims:
    """Request verdicts; claims not appended before the deadline are refused."""

    claims: tuple[Claim, ...]
    deadline_s: float
    reply: Reply


@dataclass(frozen=True, slots=True)
class FlushClaims:
    """Append the waiting claims to the log."""


@dataclass(frozen=True, slots=True)
class CatchUpClaims:
    """Read the claims that other batchers appended; the first read loads the window."""


@dataclass(frozen=True, slots=True)
class IssueKey:
    """Request a new idempotency key for a scope such as fleet/workspace."""

    scope: str


@dataclass(frozen=True, slots=True)
class ClaimIssuedKey:
    """Request the verdict on a claim of a key that this node issued."""

    scope: str
    key: str
    claim: Claim


class ClaimsComponent(Component):
    """Own the claim index and the keys that this node issued."""

    def __init__(
        self,
        supervisor: pykka.ActorRef[Any],
        name: str,
        claim_log: ClaimLog,
        issued_keys: IssuedKeys,
        timers: TimerService,
        clock: Callable[[], float] = time.monotonic,
        batch_wait_s: float = BATCH_WAIT_S,
    ) -> None:
        super().__init__(supervisor, name)
        self._batch_wait_s = batch_wait_s
        self._claim_log = claim_log
        self._issued_keys = issued_keys
        # A restarted component cannot know which of the earlier keys were used, even
        # if it gets the same secret.
        issued_keys.invalidate(os.urandom(KEY_NONCE_BYTES))
        self._timers = timers
        self._clock = clock
        self._waiting: list[SubmitClaims] = []
        self._waiting_claims = 0
        self._flush_timer: Subscription | None = None
        self._catch_up_timer: Subscription | None = None

    def on_stop(self) -> None:
        """Refuse the waiting claims."""
        if self._catch_up_timer is not None:
            self._catch_up_timer.cancel()
        for submitted in self._remove_waiting():
            submitted.reply(not_run_verdicts(submitted.claims))

    def on_receive(self, message: object) -> object:
        """Batch claims, append them or evaluate claims of issued keys."""
        match message:
            case SubmitClaims():
                self._submit(message)
            case FlushClaims():
                self._flush_waiting()
            case CatchUpClaims():
                self._read_new_claims()
            case IssueKey(scope):
                nonce = os.urandom(KEY_NONCE_BYTES)
                return self._issued_keys.issue(scope, nonce, self._clock())
            case ClaimIssuedKey(scope, key, claim):
                return self._issued_keys.claim(scope, key, claim, self._clock())
        return None

    def _submit(self, submitted: SubmitClaims) -> None:
        if self._waiting_claims + len(submitted.claims) > MAX_WAITING_CLAIMS:
            submitted.reply(not_run_verdicts(submitted.claims))
            return
        self._waiting.append(submitted)
        self._waiting_claims += len(submitted.claims)
        if self._waiting_claims >= MAX_BATCH_CLAIMS:
            self._flush_waiting()
        elif self._flush_timer is None:
            self._flush_timer = self._send_later(FlushClaims(), self._batch_wait_s)

    def _remove_waiting(self) -> list[SubmitClaims]:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        waiting, self._waiting, self._waiting_claims = self._waiting, [], 0
        return waiting

    def _flush_waiting(self) -> None:
        now_s = self._clock()
        unexpired = []
        for submitted in self._remove_waiting():
            if now_s < submitted.deadline_s:
                unexpired.append(submitted)
            else:
                # The claimant no longer waits; an append would only use up its keys.
                submitted.reply(not_run_verdicts(submitted.claims))
        verdicts = self._evaluate(
            [c for submitted in unexpired for c in submitted.claims]
        )
        for submitted in unexpired:
            count = len(submitted.claims)
            submitted.reply(tuple(verdicts[:count]))
            verdicts = verdicts[count:]

    def _evaluate(self, claims: list[Claim]) -> list[ClaimVerdict]:
        verdicts: list[ClaimVerdict] = []
        for start in range(0, len(claims), MAX_BATCH_CLAIMS):
            batch = claims[start : start + MAX_BATCH_CLAIMS]
            verdicts.extend(self._claim_log.evaluate(batch))
        if claims:
            self._schedule_catch_up()
        return verdicts

    def _read_new_claims(self) -> None:
        # Errors are ignored: an outage shows at the next append, and the next
        # interval reads again.
        self._claim_log.catch_up()
        self._schedule_catch_up()

    def _schedule_catch_up(self) -> None:
        if self._catch_up_timer is None and self._claim_log.is_loaded:
            ref = self.actor_ref
            self._catch_up_timer = self._timers.subscribe(
                lambda: tell_if_alive(ref, CatchUpClaims()), CATCH_UP_INTERVAL_S
            )

    def _send_later(self, message: object, delay_s: float) -> Subscription:
        ref = self.actor_ref
        return self._timers.call_later(lambda: tell_if_alive(ref, message), delay_s)


class ClaimBatcher:
    """Submit claims to the component from any thread, for this node or a peer."""

    def __init__(
        self, component: ComponentRef, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._component = component
        self._clock = clock

    def evaluate(
        self, claims: tuple[Claim, ...], timeout_s: float = VERDICT_TIMEOUT_S
    ) -> tuple[ClaimVerdict, ...]:
        """Return one verdict per claim, in order; NOT_RUN after the timeout."""
        verdicts: Future[tuple[ClaimVerdict, ...]] = Future()
        deadline_s = self._clock() + timeout_s
        try:
            self._component.tell(SubmitClaims(claims, deadline_s, verdicts.set_result))
            return verdicts.result(timeout_s)
        except (FutureTimeoutError, pykka.ActorDeadError):
            return not_run_verdicts(claims)
