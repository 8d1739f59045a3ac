"""Decide which node holds the copy of a request and which becomes its owner.

Epochs order the owners of a request. An owner that sends its copy to a new holder
increments the epoch by COPY_STEP, a holder that takes over by TAKE_OVER_STEP. A former
holder that takes over with an old copy thus stays below the present holder.
"""

import hashlib
import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

from cicadapass_decisions.membership import GossipEntry, MemberState
from cicadapass_decisions.rendezvous import preferred_peers
from cicadapass_decisions.types import NodeAddress, VmId

FIRST_EPOCH = 1
TAKE_OVER_STEP = 1
COPY_STEP = 2
# An owner uses few holders, so that one message carries the tokens of many requests.
HOLDER_SET_SIZE = 2
# 40 bits: with 380 nodes, the probability that two share a key is 1 in 15 million.
NODE_KEY_DIGITS = 10


@dataclass(frozen=True, slots=True)
class MembershipView:
    """Represent the membership from the view of one node."""

    local: NodeAddress
    entries: tuple[GossipEntry, ...]
    leaving: frozenset[VmId] = frozenset()


@dataclass(frozen=True, slots=True)
class RequestId:
    """Identify a request by its first owner, its first holder and a random part."""

    owner_key: str
    holder_key: str
    random: str

    def __str__(self) -> str:
        """Return the id in the form that callers get."""
        return f"{self.owner_key}.{self.holder_key}.{self.random}"


@dataclass(frozen=True, slots=True)
class OwnedRequest:
    """Summarise an owned request for the hand-over plan.

    `expected_s` is the remaining run time, `tokens` the number that the holder has
    acknowledged.
    """

    request_id: str
    epoch: int
    holder: VmId | None
    expected_s: float
    tokens: int


class HandOverStep(Enum):
    """Enumerate what a stopping owner does with a request."""

    FINISH = auto()
    HAND_OVER = auto()
    COPY_FIRST = auto()


@dataclass(frozen=True, slots=True)
class HandOverPlan:
    """Assign a step to one request, with the node that gets the request or copy."""

    request: OwnedRequest
    step: HandOverStep
    holder: NodeAddress | None = None


@dataclass(frozen=True, slots=True)
class TakeOver:
    """Allow a holder to become the owner, with its new epoch."""

    epoch: int


class NoTakeOver(Enum):
    """Enumerate why a holder does not become the owner."""

    OWNER_ALIVE = auto()
    ALREADY_OWNED = auto()
    DOUBTFUL_COPY = auto()


def node_key(vm: VmId) -> str:
    """Return the key that identifies a VM incarnation within request ids."""
    digest = hashlib.sha256(f"{vm.name}\0{vm.incarnation}".encode())
    return digest.hexdigest()[:NODE_KEY_DIGITS]


def make_request_id(owner: VmId, holder: VmId | None, random_hex: str) -> RequestId:
    """Return a new request id; without a holder, it names the owner twice."""
    return RequestId(node_key(owner), node_key(holder or owner), random_hex)


def parse_request_id(text: str) -> RequestId | None:
    """Return the parsed request id, or None if the text is malformed."""
    parts = text.split(".")
    if len(parts) != 3 or not all(parts):
        return None
    return RequestId(*parts)


def choose_holder(
    members: MembershipView, rng: random.Random, exclude: Iterable[VmId] = ()
) -> NodeAddress | None:
    """Return a holder in another data centre of the fleet, or None.

    The candidates are the nodes that rendezvous hashing ranks first for the owner;
    the less loaded of two random candidates is chosen.
    """
    local = members.local
    excluded = {*exclude, *members.leaving, local.vm}
    eligible = {
        entry.vm: entry
        for entry in members.entries
        if entry.state is MemberState.ALIVE
        and entry.address.fleet == local.fleet
        and entry.address.data_centre != local.data_centre
        and entry.vm not in excluded
    }
    if not eligible:
        return None
    preferred_vms = preferred_peers(local.vm, eligible, HOLDER_SET_SIZE)
    candidates = [eligible[vm] for vm in preferred_vms]
    sample = rng.sample(candidates, min(2, len(candidates)))
    return min(sample, key=lambda entry: entry.load).address


def plan_hand_over(
    requests: Iterable[OwnedRequest],
    members: MembershipView,
    remaining_s: float,
    rng: random.Random,
) -> tuple[HandOverPlan, ...]:
    """Return a step for each request, longest remaining time first.

    A request whose holder cannot become its owner first needs a copy on another
    node; without such a node, the owner can only try to finish the request.
    """
    by_vm = {entry.vm: entry for entry in members.entries}
    plans = []
    for request in sorted(requests, key=lambda request: -request.expected_s):
        plans.append(_plan_request(request, members, by_vm, remaining_s, rng))
    return tuple(plans)


def decide_take_over(
    epoch: int,
    *,
    already_owned: bool,
    doubtful: bool,
    owner_gone: bool,
    owner_disclaims: bool,
    caller_waits: bool,
) -> TakeOver | NoTakeOver:
    """Decide whether the holder of a copy of this epoch becomes the owner.

    A copy is doubtful if the holder itself had been declared gone, because the owner
    may have chosen another holder. It is used only for a waiting caller for whom the
    other nodes have no answer.
    """
    if already_owned:
        return NoTakeOver.ALREADY_OWNED
    if not (owner_gone or owner_disclaims or caller_waits):
        return NoTakeOver.OWNER_ALIVE
    if doubtful and not caller_waits:
        return NoTakeOver.DOUBTFUL_COPY
    return TakeOver(epoch + TAKE_OVER_STEP)


def next_copy_epoch(epoch: int) -> int:
    """Return the epoch of an owner that sends its copy to a new holder."""
    return epoch + COPY_STEP


def is_superseded(local_epoch: int, observed_epoch: int) -> bool:
    """Return whether another owner has a higher epoch, so that this one must stop."""
    return observed_epoch > local_epoch


def locate_candidates(
    request_id: RequestId, members: MembershipView
) -> tuple[NodeAddress, ...]:
    """Return the nodes to query for an answer: owner, holder, then the fleet.

    Gone members are omitted and suspected ones come last.
    """
    preferred_ranks = {request_id.owner_key: 0, request_id.holder_key: 1}
    ranked = []
    for entry in members.entries:
        if entry.state is MemberState.GONE:
            continue
        if entry.address.fleet != members.local.fleet:
            continue
        rank = preferred_ranks.get(node_key(entry.vm), 2)
        ranked.append((entry.state, rank, entry.vm, entry.address))
    ranked.sort(key=lambda candidate: candidate[:3])
    return tuple(address for *_, address in ranked)


def _plan_request(
    request: OwnedRequest,
    members: MembershipView,
    by_vm: dict[VmId, GossipEntry],
    remaining_s: float,
    rng: random.Random,
) -> HandOverPlan:
    if request.expected_s < remaining_s:
        return HandOverPlan(request, HandOverStep.FINISH)
    entry = by_vm.get(request.holder) if request.holder else None
    usable = entry is not None and entry.state is MemberState.ALIVE
    if entry and usable and entry.vm not in members.leaving:
        return HandOverPlan(request, HandOverStep.HAND_OVER, entry.address)
    holder = choose_holder(members, rng)
    if holder is None:
        return HandOverPlan(request, HandOverStep.FINISH)
    return HandOverPlan(request, HandOverStep.COPY_FIRST, holder)
