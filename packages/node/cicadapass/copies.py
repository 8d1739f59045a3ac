"""Component that stores copies of other nodes' requests and takes requests over."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pykka
from expression import Result

from cicadapass.copiesmessages import (
    CopiesDependencies,
    CopiesTick,
    CopyMessageReceived,
    CountCopies,
    DeclaredGone,
    FindCopy,
    FoundCopy,
    OwnerCheckCompleted,
    OwnerGone,
)
from cicadapass.copystore import CopyStore, StoredCopy
from cicadapass.membertracker import format_vm
from cicadapass.peererrors import PeerError
from cicadapass.peers import Inbound, Peers
from cicadapass.supervisor import Component, ComponentRef, Supervisor
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
from cicadapass_decisions.recovery import TakeOver, decide_take_over
from cicadapass_decisions.types import NodeAddress

CHECK_INTERVAL_S = 5.0
# After this time without progress, the owner is asked whether it still has the request.
OWNER_SILENCE_S = 30.0
OWNER_CHECK_TIMEOUT_S = 0.5
# Callers that lost their connection usually return within minutes.
COPY_RETENTION_S = 600.0
MAX_CHECKS_PER_TICK = 50


def register(
    peers: Peers, component: ComponentRef, owner_status: Callable[[str, int], CopyReply]
) -> None:
    """Register the handlers of the component's messages, before the peers start.

    `owner_status` must not block. For a request and an epoch it returns ACCEPTED if
    this node owns them, STALE_EPOCH with a higher epoch, or UNKNOWN.
    """

    def receive(inbound: Inbound[Any]) -> None:
        component.tell(CopyMessageReceived(inbound))

    def check(inbound: Inbound[OwnerCheck]) -> None:
        message = inbound.message
        inbound.reply(owner_status(message.request_id, message.epoch))

    for kind in (CopyRequest, Progress, Release, HandOver):
        peers.handle(kind, receive, pooled=False)
    peers.handle(OwnerCheck, check, pooled=False)


def take_over_for_caller(
    component: ComponentRef,
    peers: Peers,
    request_id: str,
    binding: Binding,
    timeout_s: float,
) -> FoundCopy | None:
    """Return the owner of a request; take it over if its owner does not answer.

    Blocks for at most OWNER_CHECK_TIMEOUT_S plus twice `timeout_s`. Returns None if
    this node has no copy for this binding. Raises pykka.Timeout or ActorDeadError if
    the component does not answer.
    """
    copy = component.ask(FindCopy(request_id, binding), timeout_s)
    if copy is None or copy.adopted:
        return copy
    check = OwnerCheck(request_id, copy.epoch)
    result = peers.request(copy.owner, check, OWNER_CHECK_TIMEOUT_S)
    component.ask(OwnerCheckCompleted(request_id, copy.epoch, result, True), timeout_s)
    return component.ask(FindCopy(request_id, binding), timeout_s)


class Copies(Component):
    """Own the copies that this node stores for other nodes."""

    def __init__(
        self, supervisor: pykka.ActorRef[Supervisor], dependencies: CopiesDependencies
    ) -> None:
        super().__init__(supervisor, "copies")
        self._dependencies = dependencies
        self._events = dependencies.events
        self._store = CopyStore(dependencies.max_bytes)
        self._timer: Subscription | None = None

    def on_start(self) -> None:
        """Schedule the periodic checks."""
        ref = self.actor_ref
        self._timer = self._dependencies.timers.subscribe(
            lambda: ref.tell(CopiesTick()), CHECK_INTERVAL_S
        )

    def on_stop(self) -> None:
        """Cancel the periodic checks."""
        if self._timer:
            self._timer.cancel()

    def on_receive(self, message: object) -> object:
        """Handle one message; see `copiesmessages`."""
        match message:
            case CopyMessageReceived(inbound):
                self._on_received(inbound)
            case OwnerGone(vm):
                for stored in self._store.of_owner(vm):
                    self._take_over(stored, "owner gone", owner_gone=True)
            case DeclaredGone():
                self._mark_all_doubtful()
            case FindCopy(request_id, binding):
                return self._find(request_id, binding)
            case OwnerCheckCompleted():
                self._on_owner_check_completed(message)
            case CountCopies():
                return sum(not c.adopted for c in self._store.copies.values())
            case CopiesTick():
                self._tick()
        return None

    def _on_received(self, inbound: Inbound[Any]) -> None:
        now_s = self._dependencies.clock()
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
                for release_item in released:
                    self._store.release(release_item)
                inbound.reply(Done())
            case HandOver():
                inbound.reply(self._hand_over(message, inbound.sender))

    def _hand_over(self, message: HandOver, sender: NodeAddress) -> CopyReply:
        reply = self._store.check_hand_over(message)
        if reply.status is not CopyStatus.ACCEPTED:
            return reply
        stored = self._store.copies[message.request_id]
        if not self._take_over(stored, "hand-over", owner_disclaims=True):
            return CopyReply(CopyStatus.UNKNOWN, stored.epoch)
        self._events.emit(
            404,
            request_id=message.request_id,
            epoch=stored.epoch,
            owner=format_vm(sender.vm),
        )
        return CopyReply(CopyStatus.ACCEPTED, stored.epoch)

    def _take_over(
        self,
        stored: StoredCopy,
        reason: str,
        *,
        owner_gone: bool = False,
        owner_disclaims: bool = False,
        caller_waits: bool = False,
    ) -> bool:
        """Make this node the owner if the recovery decision allows it."""
        request_id = stored.request.request_id
        plan = decide_take_over(
            stored.epoch,
            already_owned=stored.adopted,
            doubtful=stored.doubtful,
            owner_gone=owner_gone,
            owner_disclaims=owner_disclaims,
            caller_waits=caller_waits,
        )
        if not isinstance(plan, TakeOver):
            declined = plan.name.lower().replace("_", " ")
            self._events.emit(403, request_id=request_id, reason=declined)
            return False
        request = stored.as_request()
        try:
            self._dependencies.adopt(replace(request, epoch=plan.epoch), plan.epoch)
        except Exception as error:
            self._events.emit(403, request_id=request_id, reason=repr(error))
            return False
        self._store.adopt(stored, plan.epoch, self._dependencies.clock())
        owner = format_vm(stored.owner.vm)
        self._events.emit(
            402, request_id=request_id, epoch=plan.epoch, owner=owner, reason=reason
        )
        return True

    def _mark_all_doubtful(self) -> None:
        doubtful_copies = [c for c in self._store.copies.values() if not c.adopted]
        for stored in doubtful_copies:
            stored.doubtful = True
        if doubtful_copies:
            self._events.emit(408, copies=len(doubtful_copies))

    def _find(self, request_id: str, binding: Binding) -> FoundCopy | None:
        stored = self._store.copies.get(request_id)
        if stored is None or stored.request.binding != binding:
            return None
        return FoundCopy(stored.owner, stored.epoch, stored.adopted)

    def _on_owner_check_completed(self, completed_check: OwnerCheckCompleted) -> None:
        stored = self._store.copies.get(completed_check.request_id)
        if stored is None or stored.adopted or stored.epoch != completed_check.epoch:
            return
        if completed_check.result.is_error():
            if completed_check.caller_waits:
                self._take_over(stored, "owner did not answer", caller_waits=True)
            return
        reply = completed_check.result.ok
        status = getattr(reply, "status", CopyStatus.UNKNOWN)
        if status is CopyStatus.ACCEPTED:
            stored.updated_s = self._dependencies.clock()
            stored.doubtful = False
        elif status is CopyStatus.STALE_EPOCH:
            self._drop(completed_check.request_id, "the owner uses another holder")
        else:
            self._take_over(stored, "owner lost the request", owner_disclaims=True)

    def _tick(self) -> None:
        now_s = self._dependencies.clock()
        checks = 0
        for request_id, stored in list(self._store.copies.items()):
            idle_s = now_s - stored.updated_s
            if idle_s >= COPY_RETENTION_S and (stored.finished or stored.adopted):
                self._drop(request_id, "expired")
            elif stored.finished or stored.adopted or idle_s < OWNER_SILENCE_S:
                continue
            elif checks < MAX_CHECKS_PER_TICK:
                checks += 1
                self._check_owner(request_id, stored)

    def _check_owner(self, request_id: str, stored: StoredCopy) -> None:
        ref, epoch = self.actor_ref, stored.epoch

        def on_reply(result: Result[Message, PeerError]) -> None:
            if ref.is_alive():
                ref.tell(OwnerCheckCompleted(request_id, epoch, result, False))

        check = OwnerCheck(request_id, epoch)
        self._dependencies.peers.request_async(
            stored.owner, check, OWNER_CHECK_TIMEOUT_S, on_reply
        )

    def _drop(self, request_id: str, reason: str) -> None:
        adopted = self._store.copies[request_id].adopted
        self._store.drop(request_id)
        if not adopted:
            self._events.emit(401, request_id=request_id, reason=reason)

    def _report_stale(self, request_id: str, epoch: int, seen: int) -> None:
        self._events.emit(405, request_id=request_id, epoch=epoch, seen=seen)
