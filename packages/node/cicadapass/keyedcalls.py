"""Calls with an idempotency key: sent at most once; repeats get the first outcome."""

import json
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus

from expression import Error, Ok, Result

from cicadapass.claimclient import ClaimClient
from cicadapass.membersnapshot import CurrentMembers
from cicadapass.outcomes import KeyedAnswer, Outcome, Outcomes
from cicadapass.peers import Inbound, Peers
from cicadapass.plaincalls import PlainRequest, PlainResponse
from cicadapass.problems import Problem, parse_problem
from cicadapass_common.copymessages import Binding
from cicadapass_common.outcomemessages import (
    HeaderItem,
    OutcomeRead,
    OutcomeReply,
    OutcomeState,
)
from cicadapass_decisions.claims import (
    CLAIM_ID_BYTES,
    ClaimOutcome,
    ClaimVerdict,
    TimedClaim,
    hash_key,
    hash_payload,
    may_send,
    timed_claim,
)
from cicadapass_decisions.issuedkeys import issuing_node
from cicadapass_decisions.logrecords import Claim
from cicadapass_decisions.recovery import (
    make_request_id,
    node_key,
    parse_request_id,
)
from cicadapass_decisions.types import NodeAddress, Verdict, VmId, qualify

REQUEST_ID_RANDOM_BYTES = 12
OUTCOME_READ_TIMEOUT_S = 1.0
MAX_KEY_CHARS = 255
REPLAYED_HEADER = ("Idempotency-Replayed", "true")

# Runs the call under the request id; its second argument is evaluated right before
# each send and returns whether the claim is still valid.
RunCall = Callable[[str, Callable[[], bool]], Result[PlainResponse, Problem]]


@dataclass(frozen=True, slots=True)
class KeyedDependencies:
    """Bundle the collaborators of `KeyedCalls`."""

    claims: ClaimClient
    outcomes: Outcomes
    peers: Peers
    current_members: CurrentMembers
    claims_enabled: Callable[[], bool]
    clock: Callable[[], float] = time.monotonic


class KeyedCalls:
    """Claim keys and send keyed calls at most once across all nodes."""

    def __init__(self, dependencies: KeyedDependencies) -> None:
        self._dependencies = dependencies

    def register(self) -> None:
        """Handle outcome reads of other nodes; call this before the peers start."""
        self._dependencies.peers.handle(OutcomeRead, self._on_read, pooled=False)

    def issue_key(self, binding: Binding) -> str:
        """Return a new key, which only this incarnation of the node accepts."""
        return self._dependencies.claims.issue(_scope(binding))

    def call(
        self, binding: Binding, request: PlainRequest, run: RunCall
    ) -> Result[PlainResponse, Problem]:
        """Claim the key; run the call if it won, otherwise return the first outcome."""
        key = request.idempotency_key or ""
        if not 0 < len(key) <= MAX_KEY_CHARS:
            return Error(_bad_key_problem())
        if not self._dependencies.claims_enabled():
            return Error(_claims_off_problem())
        claim = self._new_claim(binding, request, key)
        timed = timed_claim(claim, self._dependencies.clock())
        self._dependencies.outcomes.begin(claim.request_id, binding)
        verdict = self._dependencies.claims.claim(_scope(binding), key, claim)
        if verdict.outcome is ClaimOutcome.WON:
            return self._run(timed, run)
        # The claim may still reach the log; later calls with the key then get the
        # problem key-spent instead of an unknown outcome.
        self._dependencies.outcomes.end(claim.request_id, _key_spent_problem())
        if verdict.outcome is ClaimOutcome.LOST:
            return self._replay(binding, verdict)
        return Error(self._unclaimed_problem(key))

    def _unclaimed_problem(self, key: str) -> Problem:
        """Return why the key could not be claimed; this call was not sent."""
        issuer = issuing_node(key)
        local_vm = self._dependencies.current_members.snapshot.local.vm
        if issuer is None or VmId(*issuer) == local_vm:
            return _not_claimed_problem()
        # Only the node that issued the key records its use, and it did not answer.
        return _outcome_unknown_problem()

    def _new_claim(self, binding: Binding, request: PlainRequest, key: str) -> Claim:
        local_vm = self._dependencies.current_members.snapshot.local.vm
        request_id = make_request_id(
            local_vm, None, os.urandom(REQUEST_ID_RANDOM_BYTES).hex()
        )
        return Claim(
            hash_key(binding.fleet, binding.workspace, request.service, key),
            hash_payload(request.method, request.path, request.body),
            os.urandom(CLAIM_ID_BYTES),
            str(request_id),
            local_vm.incarnation,
        )

    def _run(self, timed: TimedClaim, run: RunCall) -> Result[PlainResponse, Problem]:
        request_id = timed.claim.request_id
        try:
            result = run(
                request_id, lambda: may_send(timed, self._dependencies.clock())
            )
            outcome, result = _read_outcome(result)
        except Exception:
            self._dependencies.outcomes.end(request_id, _outcome_unknown_problem())
            raise
        self._dependencies.outcomes.end(request_id, outcome)
        return result

    def _replay(
        self, binding: Binding, verdict: ClaimVerdict
    ) -> Result[PlainResponse, Problem]:
        if not verdict.same_payload:
            return Error(_key_reused_problem())
        is_known, outcome = self._find_outcome(verdict.winner_request_id, binding)
        if not is_known:
            return Error(_outcome_unknown_problem())
        if outcome is None:
            return Error(_in_progress_problem())
        if isinstance(outcome, Problem):
            return Error(outcome)
        headers = (*outcome.headers, REPLAYED_HEADER)
        request_id = verdict.winner_request_id
        return Ok(PlainResponse(request_id, outcome.status, headers, [outcome.body]))

    def _find_outcome(self, request_id: str, binding: Binding) -> tuple[bool, Outcome]:
        """Return whether the outcome is known, and the outcome if the call ended.

        The outcome is read from the node that is named in the winner's request id.
        """
        owner = self._owner_of(request_id)
        if owner is None:
            return False, None
        if owner.vm == self._dependencies.current_members.snapshot.local.vm:
            return self._dependencies.outcomes.find(request_id, binding)
        message = OutcomeRead(request_id, binding)
        result = self._dependencies.peers.request(
            owner, message, OUTCOME_READ_TIMEOUT_S
        )
        if result.is_error() or not isinstance(result.ok, OutcomeReply):
            return False, None
        return _from_reply(result.ok)

    def _owner_of(self, request_id: str) -> NodeAddress | None:
        parsed_id = parse_request_id(request_id)
        for vm, entry in self._dependencies.current_members.snapshot.by_vm.items():
            if parsed_id is not None and node_key(vm) == parsed_id.owner_key:
                return entry.address
        return None

    def _on_read(self, inbound: Inbound[OutcomeRead]) -> None:
        message = inbound.message
        result = self._dependencies.outcomes.find(message.request_id, message.binding)
        inbound.reply(_to_reply(*result))


def _scope(binding: Binding) -> str:
    return qualify(binding.fleet, binding.workspace)


def _read_outcome(
    result: Result[PlainResponse, Problem],
) -> tuple[KeyedAnswer | Problem, Result[PlainResponse, Problem]]:
    """Return the outcome to store, and the result with its body read into memory."""
    if result.is_error():
        problem = result.error
        if problem.verdict is Verdict.NOT_RUN:
            # The claim is permanent, so the same key would return this problem again.
            problem = replace(problem, remedy="send the call again with a new key")
        return problem, Error(problem)
    response = result.ok
    # Replays need the complete body, also if it is larger than the buffer limit.
    body = b"".join(response.body)
    answer = KeyedAnswer(response.status, response.headers, body)
    return answer, Ok(replace(response, body=[body]))


def _to_reply(is_known: bool, outcome: Outcome) -> OutcomeReply:
    if not is_known:
        return OutcomeReply(OutcomeState.UNKNOWN)
    if outcome is None:
        return OutcomeReply(OutcomeState.RUNNING)
    if isinstance(outcome, Problem):
        return OutcomeReply(
            OutcomeState.FAILED, int(outcome.status), body=outcome.to_json()
        )
    headers = tuple(HeaderItem(name, value) for name, value in outcome.headers)
    return OutcomeReply(OutcomeState.ANSWERED, outcome.status, headers, outcome.body)


def _from_reply(reply: OutcomeReply) -> tuple[bool, Outcome]:
    match reply.state:
        case OutcomeState.RUNNING:
            return True, None
        case OutcomeState.ANSWERED:
            headers = tuple((item.name, item.value) for item in reply.headers)
            return True, KeyedAnswer(reply.status, headers, reply.body)
        case OutcomeState.FAILED:
            return True, parse_problem(json.loads(reply.body))
        case _:
            return False, None


def _bad_key_problem() -> Problem:
    return Problem(
        "bad-idempotency-key",
        HTTPStatus.BAD_REQUEST,
        f"the Idempotency-Key is empty or longer than {MAX_KEY_CHARS} characters",
        f"send a key of 1 to {MAX_KEY_CHARS} characters that is unique to the call",
        Verdict.NOT_RUN,
    )


def _claims_off_problem() -> Problem:
    return Problem(
        "claims-off",
        HTTPStatus.SERVICE_UNAVAILABLE,
        "the rule claims.claims is off, so calls with a key are refused",
        "ask the operators to enable it, or send the call once without a key",
        Verdict.NOT_RUN,
    )


def _not_claimed_problem() -> Problem:
    return Problem(
        "not-claimed",
        HTTPStatus.SERVICE_UNAVAILABLE,
        "the key could not be claimed, so the call was not sent",
        "send it again with the same key; use a new one, such as one from POST "
        "/v1/idempotency-keys, only if no earlier call used this key",
        Verdict.NOT_RUN,
        retry_after_s=1.0,
    )


def _key_spent_problem() -> Problem:
    return Problem(
        "key-spent",
        HTTPStatus.CONFLICT,
        "the key is claimed, but no call was sent with it",
        "send the call with a new key",
        Verdict.NOT_RUN,
    )


def _key_reused_problem() -> Problem:
    return Problem(
        "key-reused",
        HTTPStatus.UNPROCESSABLE_ENTITY,
        "the key was used for a call with another method, path or body",
        "use a new key for each call",
        Verdict.NOT_RUN,
    )


def _in_progress_problem() -> Problem:
    return Problem(
        "in-progress",
        HTTPStatus.CONFLICT,
        "the call with this key is in progress",
        "send it again with the same key after the time in Retry-After",
        Verdict.UNKNOWN,
        retry_after_s=1.0,
    )


def _outcome_unknown_problem() -> Problem:
    return Problem(
        "outcome-unknown",
        HTTPStatus.CONFLICT,
        "a call with this key may have run, but its outcome is not known",
        "read the service's state before you use a new key",
        Verdict.UNKNOWN,
    )
