"""Claim idempotency keys through the batcher of the data centre."""

import hashlib
from dataclasses import dataclass

import pykka

from cicadapass.claims import ClaimBatcher, ClaimIssuedKey, IssueKey
from cicadapass.membersnapshot import CurrentMembers
from cicadapass.peers import Inbound, Peers
from cicadapass.supervisor import ComponentRef
from cicadapass_common.messages import (
    ClaimItem,
    ClaimKeys,
    ClaimVerdictItem,
    ClaimVerdicts,
    Message,
)
from cicadapass_common.outcomemessages import ClaimIssued
from cicadapass_decisions.claims import ClaimOutcome, ClaimVerdict, not_run_verdicts
from cicadapass_decisions.issuedkeys import issuing_node
from cicadapass_decisions.logrecords import Claim
from cicadapass_decisions.types import NodeAddress, VmId, qualify

# Between the batcher's limit of 3 s and the claim's validity of 5 s.
CLAIM_TIMEOUT_S = 3.5
COMPONENT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class ClaimDependencies:
    """Bundle the collaborators of a `ClaimClient`."""

    component: ComponentRef
    batcher: ClaimBatcher
    peers: Peers
    current_members: CurrentMembers


class ClaimClient:
    """Claim keys for this node, and answer claims of other nodes."""

    def __init__(self, dependencies: ClaimDependencies) -> None:
        self._dependencies = dependencies

    def register(self) -> None:
        """Register the handlers of claim messages; call it before the peers start."""
        self._dependencies.peers.handle(ClaimKeys, self._on_claim_keys, pooled=True)
        self._dependencies.peers.handle(ClaimIssued, self._on_claim_issued, pooled=True)

    def issue(self, scope: str) -> str:
        """Return a new key of this node; raise pykka.Timeout or ActorDeadError."""
        return str(
            self._dependencies.component.ask(IssueKey(scope), COMPONENT_TIMEOUT_S)
        )

    def claim(self, scope: str, key: str, claim: Claim) -> ClaimVerdict:
        """Return the verdict on a claim; NOT_RUN if there is none."""
        issuer = issuing_node(key)
        if issuer is not None:
            return self._claim_issued(VmId(*issuer), scope, key, claim)
        local = self._dependencies.current_members.snapshot.local
        batcher = choose_batcher(self._alive_in_data_centre(), local)
        if batcher.vm != local.vm:
            verdict = self._request_verdict(
                batcher, ClaimKeys((_to_item(claim),)), claim
            )
            if verdict is not None:
                return verdict
            # The batcher may have appended the claim. Appending it again is safe,
            # because claims with the same claim id count once.
        return self._dependencies.batcher.evaluate((claim,))[0]

    def _claim_issued(
        self, issuer: VmId, scope: str, key: str, claim: Claim
    ) -> ClaimVerdict:
        snapshot = self._dependencies.current_members.snapshot
        if issuer == snapshot.local.vm:
            return self._evaluate_issued(scope, key, claim)
        entry = snapshot.by_vm.get(issuer)
        verdict = None
        if entry is not None:
            message = ClaimIssued(scope, key, _to_item(claim))
            verdict = self._request_verdict(entry.address, message, claim)
        # Only the issuer knows whether the key was used.
        return verdict or not_run_verdicts((claim,))[0]

    def _evaluate_issued(self, scope: str, key: str, claim: Claim) -> ClaimVerdict:
        message = ClaimIssuedKey(scope, key, claim)
        try:
            verdict = self._dependencies.component.ask(message, COMPONENT_TIMEOUT_S)
        except (pykka.Timeout, pykka.ActorDeadError):
            return not_run_verdicts((claim,))[0]
        assert isinstance(verdict, ClaimVerdict)
        return verdict

    def _request_verdict(
        self, target: NodeAddress, message: Message, claim: Claim
    ) -> ClaimVerdict | None:
        result = self._dependencies.peers.request(target, message, CLAIM_TIMEOUT_S)
        if result.is_error() or not isinstance(result.ok, ClaimVerdicts):
            return None
        for item in result.ok.verdicts:
            if item.claim_id == claim.claim_id:
                return _from_verdict(item)
        return None

    def _alive_in_data_centre(self) -> tuple[NodeAddress, ...]:
        snapshot = self._dependencies.current_members.snapshot
        data_centre = qualify(snapshot.local.fleet, snapshot.local.data_centre)
        return tuple(entry.address for entry in snapshot.alive.get(data_centre, ()))

    def _on_claim_keys(self, inbound: Inbound[ClaimKeys]) -> None:
        claims = tuple(_from_item(item) for item in inbound.message.claims)
        verdicts = self._dependencies.batcher.evaluate(claims)
        inbound.reply(
            ClaimVerdicts(tuple(_to_verdict(verdict) for verdict in verdicts))
        )

    def _on_claim_issued(self, inbound: Inbound[ClaimIssued]) -> None:
        message = inbound.message
        verdict = self._evaluate_issued(
            message.scope, message.key, _from_item(message.claim)
        )
        inbound.reply(ClaimVerdicts((_to_verdict(verdict),)))


def choose_batcher(alive: tuple[NodeAddress, ...], local: NodeAddress) -> NodeAddress:
    """Return the node of the data centre that batches claims.

    Nodes with different views of the members may choose different batchers, which
    only costs additional appends.
    """
    return max((*alive, local), key=lambda address: _rendezvous_weight(address.vm))


def _rendezvous_weight(vm: VmId) -> bytes:
    text = f"{vm.name}\0{vm.incarnation}\0claims"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def _to_item(claim: Claim) -> ClaimItem:
    return ClaimItem(
        claim.key_hash,
        claim.fingerprint,
        claim.claim_id,
        claim.request_id,
        claim.incarnation,
    )


def _from_item(item: ClaimItem) -> Claim:
    return Claim(
        item.key_hash,
        item.fingerprint,
        item.claim_id,
        item.request_id,
        item.incarnation,
    )


def _to_verdict(verdict: ClaimVerdict) -> ClaimVerdictItem:
    return ClaimVerdictItem(
        verdict.claim_id,
        str(verdict.outcome),
        verdict.winner_request_id,
        verdict.same_payload,
    )


def _from_verdict(item: ClaimVerdictItem) -> ClaimVerdict:
    return ClaimVerdict(
        item.claim_id,
        ClaimOutcome(item.outcome),
        item.winner_request_id,
        item.same_payload,
    )
