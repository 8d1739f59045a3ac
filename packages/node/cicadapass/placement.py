"""Replication of accepted requests to nodes in other data centres."""

import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus

from expression import Error, Ok, Result

from cicadapass.answers import Answer
from cicadapass.commits import CommitCallbacks, CopyCommitter, commit_at_once
from cicadapass.membersnapshot import CurrentMembers
from cicadapass.peers import Peers
from cicadapass.problems import Problem
from cicadapass.progress import ProgressSender
from cicadapass.releases import ReleaseSender
from cicadapass.requests import AcceptedRequest
from cicadapass.threads import start_thread
from cicadapass_common.copymessages import (
    CopiedRequest,
    CopyReply,
    CopyRequest,
    CopyStatus,
    Release,
    ReleaseItem,
)
from cicadapass_decisions.recovery import (
    choose_holder,
    make_request_id,
    node_key,
    parse_request_id,
)
from cicadapass_decisions.rule_sections import DurabilityRules
from cicadapass_decisions.types import NodeAddress, Verdict, VmId

SINGLE_NODE = "single-node"
PEER_COPY = "peer-copy"
RANDOM_BITS = 96
# The holder named in the request id, then one other node.
MAX_HOLDER_ATTEMPTS = 2
DROP_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class PlacementDependencies:
    """Bundle the collaborators of placement.

    `on_superseded` gets the request id and the epoch of the newer owner.
    """

    current_members: CurrentMembers
    peers: Peers
    progress: ProgressSender
    releases: ReleaseSender
    rules: Callable[[], DurabilityRules]
    on_superseded: Callable[[str, int], None]
    rng: random.Random


class Placement:
    """Track which node holds the copy of each owned request."""

    def __init__(self, dependencies: PlacementDependencies) -> None:
        self._dependencies = dependencies
        self._lock = threading.Lock()
        self._holders: dict[str, tuple[NodeAddress, int]] = {}

    def new_request_id(self) -> str:
        """Return an id that encodes this node and the holder to try first."""
        dependencies = self._dependencies
        local_vm = dependencies.current_members.snapshot.local.vm
        holder = self._choose_holder(()) if dependencies.rules().copies else None
        random_hex = f"{dependencies.rng.getrandbits(RANDOM_BITS):024x}"
        return str(make_request_id(local_vm, holder.vm if holder else None, random_hex))

    def place(self, request: AcceptedRequest) -> Result[str, Problem]:
        """Copy a new request to a holder; return its durability or a problem.

        The problem's verdict is NOT_RUN only if every node that may have received a
        copy confirmed that it dropped it.
        """
        rules = self._dependencies.rules()
        if not rules.copies:
            return Ok(SINGLE_NODE)
        search = self._find_holder(request.to_copy(), self._named_holder(request), ())
        if search.holder is not None:
            self._release_uncertain(request, search.uncertain)
            return Ok(PEER_COPY)
        if not rules.require_copy:
            self._release_uncertain(request, search.uncertain)
            return Ok(SINGLE_NODE)
        dropped = all(self._drop_copy(request, holder) for holder in search.uncertain)
        return Error(_no_copy_problem(Verdict.NOT_RUN if dropped else Verdict.UNKNOWN))

    def copy(
        self, copied: CopiedRequest, lost_holder: NodeAddress | None = None
    ) -> NodeAddress | None:
        """Copy a request to a holder and return it, or None if no node accepts.

        A lost holder is released once another node holds a copy.
        """
        search = self._find_holder(
            copied, None, (lost_holder.vm,) if lost_holder else ()
        )
        if search.holder is not None:
            for holder in (*search.uncertain, *((lost_holder,) if lost_holder else ())):
                self._dependencies.releases.release(
                    copied.request_id, copied.epoch, holder
                )
        return search.holder

    def _find_holder(
        self,
        copied: CopiedRequest,
        first_choice: NodeAddress | None,
        exclude: Iterable[VmId],
    ) -> "_HolderSearch":
        refused = set(exclude)
        uncertain: list[NodeAddress] = []
        for _ in range(MAX_HOLDER_ATTEMPTS):
            holder, first_choice = first_choice or self._choose_holder(refused), None
            if holder is None:
                break
            outcome = self._send_copy(copied, holder)
            if outcome is _CopyOutcome.ACCEPTED:
                with self._lock:
                    self._holders[copied.request_id] = holder, copied.epoch
                return _HolderSearch(holder, tuple(uncertain))
            if outcome is _CopyOutcome.UNCERTAIN:
                uncertain.append(holder)
            refused.add(holder.vm)
        return _HolderSearch(None, tuple(uncertain))

    def _release_uncertain(
        self, request: AcceptedRequest, uncertain: Iterable[NodeAddress]
    ) -> None:
        for holder in uncertain:
            self._dependencies.releases.release(
                request.request_id, request.epoch, holder
            )

    def _drop_copy(self, request: AcceptedRequest, holder: NodeAddress) -> bool:
        """Return whether the holder confirmed that it has dropped its copy, if any."""
        message = Release((ReleaseItem(request.request_id, request.epoch),))
        return self._dependencies.peers.request(holder, message, DROP_TIMEOUT_S).is_ok()

    def commits(self, request: AcceptedRequest, answer: Answer) -> CommitCallbacks:
        """Return callbacks that deliver tokens once the holder has stored them."""
        if not self._dependencies.rules().copies:
            return commit_at_once(answer)
        holder = self.holder_of(request.request_id)
        commits = CopyCommitter(
            request,
            answer,
            self._dependencies.progress,
            self.copy,
            self._dependencies.on_superseded,
        )
        if holder is None:
            start_thread("new-holder", commits.search_holder)
        else:
            commits.track(holder, answer.token_count)
        return CommitCallbacks(commits.tokens_added, commits.finished)

    def holder_of(self, request_id: str) -> NodeAddress | None:
        """Return the node that holds the copy of an owned request, if any."""
        with self._lock:
            location = self._holders.get(request_id)
        return location[0] if location else None

    def epoch_of(self, request_id: str) -> int | None:
        """Return the epoch of the copy of an owned request, or None without a copy."""
        with self._lock:
            location = self._holders.get(request_id)
        return location[1] if location else None

    def owner_status(self, request_id: str, epoch: int) -> CopyReply:
        """Return the reply to a holder that asks whether this node owns a request."""
        current = self.epoch_of(request_id)
        if current is None:
            return CopyReply(CopyStatus.UNKNOWN, epoch)
        if current > epoch:
            return CopyReply(CopyStatus.STALE_EPOCH, current)
        return CopyReply(CopyStatus.ACCEPTED, current)

    def release(self, request_id: str) -> None:
        """Release the copy of a request whose answer is no longer kept."""
        self._dependencies.progress.untrack(request_id)
        with self._lock:
            location = self._holders.pop(request_id, None)
        if location is not None:
            holder, epoch = location
            self._dependencies.releases.release(request_id, epoch, holder)

    def forget(self, request_id: str) -> None:
        """Stop tracking a request that another node owns now; its copy stays."""
        self._dependencies.progress.untrack(request_id)
        with self._lock:
            self._holders.pop(request_id, None)

    def _send_copy(self, copied: CopiedRequest, holder: NodeAddress) -> "_CopyOutcome":
        timeout_s = self._dependencies.rules().holder_timeout_s
        result = self._dependencies.peers.request(
            holder, CopyRequest(copied), timeout_s
        )
        if result.is_error():
            may_have_arrived = result.error.may_have_arrived
            return _CopyOutcome.UNCERTAIN if may_have_arrived else _CopyOutcome.REFUSED
        if not isinstance(result.ok, CopyReply):
            return _CopyOutcome.REFUSED
        accepted = result.ok.status is CopyStatus.ACCEPTED
        return _CopyOutcome.ACCEPTED if accepted else _CopyOutcome.REFUSED

    def _choose_holder(self, exclude: Iterable[VmId]) -> NodeAddress | None:
        members = self._dependencies.current_members.snapshot.for_recovery()
        return choose_holder(members, self._dependencies.rng, exclude)

    def _named_holder(self, request: AcceptedRequest) -> NodeAddress | None:
        parsed = parse_request_id(request.request_id)
        if parsed is None or parsed.holder_key == parsed.owner_key:
            return None
        for vm, entry in self._dependencies.current_members.snapshot.by_vm.items():
            if node_key(vm) == parsed.holder_key:
                return entry.address
        return None


class _CopyOutcome(Enum):
    ACCEPTED = auto()
    REFUSED = auto()
    UNCERTAIN = auto()


@dataclass(frozen=True, slots=True)
class _HolderSearch:
    holder: NodeAddress | None
    uncertain: tuple[NodeAddress, ...]


def _no_copy_problem(verdict: Verdict) -> Problem:
    return Problem(
        "no-copy",
        HTTPStatus.SERVICE_UNAVAILABLE,
        "no node in another data centre can hold a copy of the request",
        "send the request again, or let the rule durability.require_copy be off",
        verdict,
        retry_after_s=1.0,
    )
