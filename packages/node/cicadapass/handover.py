"""Hand over the requests of a stopping node to the holders of their copies."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cicadapass.membersnapshot import CurrentMembers
from cicadapass.ownership import OwnedRequest
from cicadapass.peers import Peers
from cicadapass.placement import Placement
from cicadapass_common.copymessages import CopyReply, CopyStatus, HandOver
from cicadapass_decisions import recovery
from cicadapass_decisions.recovery import HandOverPlan, HandOverStep, plan_hand_over
from cicadapass_decisions.types import NodeAddress

HAND_OVER_TIMEOUT_S = 1.0
# Expected time per missing token of an answer; a rough estimate suffices to decide
# which answers end before the deadline.
EXPECTED_TOKEN_S = 0.05


@dataclass(frozen=True, slots=True)
class HandOverDependencies:
    """Bundle the collaborators; `on_moved` gets a request id and its new epoch."""

    current_members: CurrentMembers
    peers: Peers
    placement: Placement
    on_moved: Callable[[str, int], None]
    rng: random.Random


def hand_over(
    unfinished: Iterable[OwnedRequest],
    remaining_s: float,
    dependencies: HandOverDependencies,
) -> int:
    """Hand over requests that do not end within `remaining_s`; return their number."""
    by_id = {owned.request.request_id: owned for owned in unfinished}
    summaries = [_summarize(owned, dependencies.placement) for owned in by_id.values()]
    members = dependencies.current_members.snapshot.for_recovery()
    plans = plan_hand_over(summaries, members, remaining_s, dependencies.rng)
    return sum(
        _execute(plan, by_id[plan.request.request_id], dependencies) for plan in plans
    )


def _summarize(owned: OwnedRequest, placement: Placement) -> recovery.OwnedRequest:
    holder = placement.holder_of(owned.request.request_id)
    missing = owned.request.chat.max_tokens - owned.answer.token_count
    return recovery.OwnedRequest(
        owned.request.request_id,
        owned.request.epoch,
        holder.vm if holder else None,
        missing * EXPECTED_TOKEN_S,
        owned.answer.token_count,
    )


def _execute(
    plan: HandOverPlan, owned: OwnedRequest, dependencies: HandOverDependencies
) -> bool:
    holder = plan.holder
    if plan.step is HandOverStep.FINISH or holder is None:
        return False
    if plan.step is HandOverStep.COPY_FIRST:
        copied = owned.request.to_copy(owned.answer.texts)
        new_holder = dependencies.placement.copy(copied)
        if new_holder is None:
            return False
        holder = new_holder
    return _transfer(owned, holder, dependencies)


def _transfer(
    owned: OwnedRequest, holder: NodeAddress, dependencies: HandOverDependencies
) -> bool:
    request_id = owned.request.request_id
    epoch = dependencies.placement.epoch_of(request_id) or owned.request.epoch
    message = HandOver(request_id, epoch, owned.answer.committed_tokens)
    result = dependencies.peers.request(holder, message, HAND_OVER_TIMEOUT_S)
    if result.is_error() or not isinstance(result.ok, CopyReply):
        return False
    if result.ok.status is not CopyStatus.ACCEPTED:
        return False
    dependencies.on_moved(request_id, result.ok.epoch)
    return True
