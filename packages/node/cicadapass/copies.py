"""The part that holds copies of requests for other nodes and takes them over."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pykka
from expression import Result

from cicadapass.copiesmessages import (
    CopiesConfig,
    CopiesTick,
    CountCopies,
    DeclaredGone,
    FindCopy,
    FoundCopy,
    OwnerAnswered,
    OwnerGone,
    ReceivedCopy,
)
from cicadapass.copystore import CopyStore, HeldCopy
from cicadapass.memberbook import vm_text
from cicadapass.peererrors import PeerError
from cicadapass.peers import Inbound, Peers
from cicadapass.supervisor import Part, PartRef, Supervisor
from cicadapass.timers import Subscription
from cicadapass_common.copymessages import (
    Binding,
    CopyReply,
    CopyRequest,
    CopyStatus,
    HandOver,
    OwnerCheck,
    Progress,
    ProgressReply,
    Release,
)
from cicadapass_common.messages import Done, Message
from cicadapass_decisions.recovery import TakeOver, plan_take_over
from cicadapass_decisions.types import NodeAddress

TICK_S = 5.0
# An owner without progress for this long is asked whether it still has the request.
SILENT_S = 30.0
OWNER_CHECK_TIMEOUT_S = 0.5
# Callers that lost their connection come back within minutes.
RETENTION_S = 600.0
MAX_CHECKS_PER_TICK = 50


def register(
    peers: Peers, part: PartRef, owner_status: Callable[[str, int], CopyReply]
) -> None:
    """Let the part handle its messages, before the peers start.

    `owner_status` says at once what this node as an owner knows of a request and an
    epoch: ACCEPTED if it owns it, STALE_EPOCH with a higher one, else UNKNOWN.
    """

    def receive(inbound: Inbound[Any]) -> None:
        part.tell(ReceivedCopy(inbound))

    def check(inbound: Inbound[OwnerCheck]) -> None:
        message = inbound.message
        inbound.reply(owner_status(message.request_id, message.epoch))

    for kind in (CopyRequest, Progress, Release, HandOver):
        peers.handle(kind, receive, pooled=False)
    peers.handle(OwnerCheck, check, pooled=False)


def take_over_for_caller(
    part: PartRef, peers: Peers, request_id: str, binding: Binding, timeout_s: float
) -> FoundCopy | None:
    """Return who owns the request, after a take-over if its owner does not answer.

    Blocks for at most OWNER_CHECK_TIMEOUT_S and two times `timeout_s`; None means
    that this node has no copy for this binding. Raises as `PartRef.ask` does.
    """
    found = part.ask(FindCopy(request_id, binding), timeout_s)
    if found is None or found.adopted:
        return found
    check = OwnerCheck(request_id, found.epoch)
    result = peers.request(found.owner, check, OWNER_CHECK_TIMEOUT_S)
    part.ask(OwnerAnswered(request_id, found.epoch, result, True), timeout_s)
    return part.ask(FindCopy(request_id, binding), timeout_s)


class Copies(Part):
    """Own the copies held for other nodes."""

    def __init__(
        self, supervisor: pykka.ActorRef[Supervisor], config: CopiesConfig
    ) -> None:
        super().__init__(supervisor, "copies")
        self._config = config
        self._events = config.events
        self._store = CopyStore(config.max_bytes)
        self._timer: Subscription | None = None

    def on_start(self) -> None:
        """Start the checks."""
        ref = self.actor_ref
        self._timer = self._config.timers.subscribe(
            lambda: ref.tell(CopiesTick()), TICK_S
        )

    def on_stop(self) -> None:
        """End the checks."""
        if self._timer:
            self._timer.cancel()

    def on_receive(self, message: object) -> object:
        """Handle one message."""
        match message:
            case ReceivedCopy(inbound):
                self._on_received(inbound)
            case OwnerGone(vm):
                for held in self._store.of_owner(vm):
                    self._take_over(held, "owner gone", owner_gone=True)
            case DeclaredGone():
                self._doubt_all()
            case FindCopy(request_id, binding):
                return self._find(request_id, binding)
            case OwnerAnswered():
                self._on_owner_answered(message)
            case CountCopies():
                return sum(not c.adopted for c in self._store.copies.values())
            case CopiesTick():
                self._tick()
        return None

    def _on_received(self, inbound: Inbound[Any]) -> None:
        now_s = self._config.clock()
        message = inbound.message
        match message:
            case CopyRequest(copy):
                reply = self._store.put(copy, inbound.sender, now_s)
                if reply.status is not CopyStatus.ACCEPTED:
                    reason = reply.status.name.lower()
                    self._events.emit(400, request_id=copy.request_id, reason=reason)
                inbound.reply(reply)
            case Progress(items):
                acks = tuple(self._store.progress(i, now_s) for i in items)
                for ack, item in zip(acks, items, strict=True):
                    if ack.status is CopyStatus.STALE_EPOCH:
                        self._report_stale(item.request_id, item.epoch, ack.epoch)
                inbound.reply(ProgressReply(acks))
            case Release(released):
                for each in released:
                    self._store.release(each)
                inbound.reply(Done())
            case HandOver():
                inbound.reply(self._hand_over(message, inbound.sender))

    def _hand_over(self, message: HandOver, sender: NodeAddress) -> CopyReply:
        reply = self._store.check_hand_over(message)
        if reply.status is not CopyStatus.ACCEPTED:
            return reply
        held = self._store.copies[message.request_id]
        if not self._take_over(held, "hand-over", owner_denies=True):
            return CopyReply(CopyStatus.UNKNOWN, held.epoch)
        self._events.emit(
            404,
            request_id=message.request_id,
            epoch=held.epoch,
            owner=vm_text(sender.vm),
        )
        return CopyReply(CopyStatus.ACCEPTED, held.epoch)

    def _take_over(
        self,
        held: HeldCopy,
        reason: str,
        *,
        owner_gone: bool = False,
        owner_denies: bool = False,
        caller_waits: bool = False,
    ) -> bool:
        """Make this node the owner, if the decision allows it."""
        request_id = held.request.request_id
        plan = plan_take_over(
            held.epoch,
            owned_here=held.adopted,
            doubtful=held.doubtful,
            owner_gone=owner_gone,
            owner_denies=owner_denies,
            caller_waits=caller_waits,
        )
        if not isinstance(plan, TakeOver):
            declined = plan.name.lower().replace("_", " ")
            self._events.emit(403, request_id=request_id, reason=declined)
            return False
        request = held.as_request()
        try:
            self._config.adopt(replace(request, epoch=plan.epoch), plan.epoch)
        except Exception as error:
            self._events.emit(403, request_id=request_id, reason=repr(error))
            return False
        self._store.adopt(held, plan.epoch, self._config.clock())
        owner = vm_text(held.owner.vm)
        self._events.emit(
            402, request_id=request_id, epoch=plan.epoch, owner=owner, reason=reason
        )
        return True

    def _doubt_all(self) -> None:
        doubted = [c for c in self._store.copies.values() if not c.adopted]
        for held in doubted:
            held.doubtful = True
        if doubted:
            self._events.emit(408, copies=len(doubted))

    def _find(self, request_id: str, binding: Binding) -> FoundCopy | None:
        held = self._store.copies.get(request_id)
        if held is None or held.request.binding != binding:
            return None
        return FoundCopy(held.owner, held.epoch, held.adopted)

    def _on_owner_answered(self, answer: OwnerAnswered) -> None:
        held = self._store.copies.get(answer.request_id)
        if held is None or held.adopted or held.epoch != answer.epoch:
            return
        if answer.result.is_error():
            if answer.caller_waits:
                self._take_over(held, "owner silent", caller_waits=True)
            return
        reply = answer.result.ok
        status = getattr(reply, "status", CopyStatus.UNKNOWN)
        if status is CopyStatus.ACCEPTED:
            held.touched_s = self._config.clock()
            held.doubtful = False
        elif status is CopyStatus.STALE_EPOCH:
            self._drop(answer.request_id, "the owner has another holder")
        else:
            self._take_over(held, "owner has lost it", owner_denies=True)

    def _tick(self) -> None:
        now_s = self._config.clock()
        checks = 0
        for request_id, held in list(self._store.copies.items()):
            silent_s = now_s - held.touched_s
            if silent_s >= RETENTION_S and (held.finished or held.adopted):
                self._drop(request_id, "expired")
            elif held.finished or held.adopted or silent_s < SILENT_S:
                continue
            elif checks < MAX_CHECKS_PER_TICK:
                checks += 1
                self._check_owner(request_id, held)

    def _check_owner(self, request_id: str, held: HeldCopy) -> None:
        ref, epoch = self.actor_ref, held.epoch

        def on_reply(result: Result[Message, PeerError]) -> None:
            if ref.is_alive():
                ref.tell(OwnerAnswered(request_id, epoch, result, False))

        check = OwnerCheck(request_id, epoch)
        self._config.peers.request_async(
            held.owner, check, OWNER_CHECK_TIMEOUT_S, on_reply
        )

    def _drop(self, request_id: str, reason: str) -> None:
        adopted = self._store.copies[request_id].adopted
        self._store.drop(request_id)
        if not adopted:
            self._events.emit(401, request_id=request_id, reason=reason)

    def _report_stale(self, request_id: str, epoch: int, seen: int) -> None:
        self._events.emit(405, request_id=request_id, epoch=epoch, seen=seen)
