"""Send new tokens to the holders of copies, one message at a time per holder."""

import math
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from expression import Result

from cicadapass.membertracker import format_vm
from cicadapass.peererrors import PeerError
from cicadapass.peers import Peers
from cicadapass_common.copymessages import (
    CopyStatus,
    Progress,
    ProgressAck,
    ProgressItem,
    ProgressReply,
)
from cicadapass_common.events import EventLog
from cicadapass_common.messages import Message
from cicadapass_decisions.types import NodeAddress, VmId

# A holder in another data centre answers within milliseconds. When a holder fails,
# callers' streams pause for MAX_ATTEMPTS times this before another holder is chosen.
PROGRESS_TIMEOUT_S = 0.5
MAX_ATTEMPTS = 2
# Far below the frame limit, so that the backlog of one request does not delay others.
MAX_BATCH_BYTES = 256 * 1024
# A message costs as much as hundreds of tokens, so messages to a holder are spaced.
MIN_SEND_INTERVAL_S = 0.005


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Report how many tokens the holder has; `done` is true if it has the end too."""

    request_id: str
    tokens: int
    done: bool


@dataclass(frozen=True, slots=True)
class HolderLost:
    """Report that the request needs another holder with a new, complete copy."""

    request_id: str
    holder: NodeAddress
    reason: str


@dataclass(frozen=True, slots=True)
class Superseded:
    """Report that another node owns the request, so this node must stop answering."""

    request_id: str
    epoch: int


ProgressEvent = Acknowledged | HolderLost | Superseded
Listener = Callable[[ProgressEvent], object]


@dataclass(slots=True, eq=False)
class _Stream:
    """Track the unacknowledged tokens of one request."""

    request_id: str
    epoch: int
    holder: "_Holder"
    listener: Listener
    acked: int
    texts: list[str] = field(default_factory=list)
    done: bool = False


@dataclass(slots=True, eq=False)
class _Holder:
    """Track the requests of one holder; `pending` has those with unsent tokens."""

    address: NodeAddress
    streams: dict[str, _Stream] = field(default_factory=dict)
    pending: dict[str, _Stream] = field(default_factory=dict)
    sending: bool = False
    last_sent_s: float = -math.inf


@dataclass(frozen=True, slots=True)
class _Batch:
    holder: _Holder
    streams: tuple[_Stream, ...]
    message: Progress


class ProgressSender:
    """Own the unacknowledged tokens of all requests that this node owns.

    Methods may be called in any thread. Listeners must not block; they run in the
    thread of the peers or in that of the caller of `add` or `on_holder_gone`.
    """

    def __init__(
        self,
        peers: Peers,
        events: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._peers = peers
        self._events = events
        self._clock = clock
        self._lock = threading.Lock()
        self._streams: dict[str, _Stream] = {}
        self._holders: dict[VmId, _Holder] = {}

    def track(
        self,
        request_id: str,
        epoch: int,
        holder: NodeAddress,
        tokens: int,
        listener: Listener,
    ) -> None:
        """Start to track a request whose holder has a copy with this many tokens."""
        with self._lock:
            self._remove(request_id)
            holder_state = self._holders.setdefault(holder.vm, _Holder(holder))
            stream = _Stream(request_id, epoch, holder_state, listener, tokens)
            self._streams[request_id] = holder_state.streams[request_id] = stream

    def add(self, request_id: str, texts: Sequence[str], done: bool = False) -> bool:
        """Queue the next tokens; return False if the request is not tracked."""
        with self._lock:
            stream = self._streams.get(request_id)
            if stream is None:
                return False
            stream.texts += texts
            stream.done = stream.done or done
            holder = stream.holder
            holder.pending[request_id] = stream
            batch = self._next_batch(holder)
        self._send(batch)
        return True

    def untrack(self, request_id: str) -> None:
        """Stop tracking a request; its listener is not called any more."""
        with self._lock:
            self._remove(request_id)

    def on_holder_gone(self, vm: VmId) -> None:
        """Report HolderLost to the listeners of all requests of this holder."""
        with self._lock:
            holder = self._holders.get(vm)
            streams = list(holder.streams.values()) if holder else []
        if holder:
            self._report_lost(holder, streams, "the holder is gone")

    def _remove(self, request_id: str) -> None:
        stream = self._streams.pop(request_id, None)
        if stream is None:
            return
        holder = stream.holder
        holder.streams.pop(request_id, None)
        holder.pending.pop(request_id, None)
        self._prune(holder)

    def _prune(self, holder: _Holder) -> None:
        if not holder.streams and not holder.sending:
            self._holders.pop(holder.address.vm, None)

    def _next_batch(self, holder: _Holder) -> _Batch | None:
        """Return the next message, or None if one is in flight or it is too early."""
        if holder.sending or not holder.pending:
            return None
        wait_s = holder.last_sent_s + MIN_SEND_INTERVAL_S - self._clock()
        if wait_s > 0:
            holder.sending = True
            self._peers.call_later(lambda: self._send_next(holder), wait_s)
            return None
        items, streams, remaining = [], [], MAX_BATCH_BYTES
        for stream in list(holder.pending.values()):
            if remaining <= 0:
                break
            count, size = _count_fitting(stream.texts, remaining)
            remaining -= size
            streams.append(stream)
            items.append(_progress_item(stream, count))
            if count == len(stream.texts):
                del holder.pending[stream.request_id]
        holder.sending = True
        holder.last_sent_s = self._clock()
        return _Batch(holder, tuple(streams), Progress(tuple(items)))

    def _send(self, batch: _Batch | None, attempts: int = 1) -> None:
        if batch is None:
            return

        def on_reply(result: Result[Message, PeerError]) -> None:
            self._on_reply(batch, result, attempts)

        address = batch.holder.address
        self._peers.request_async(address, batch.message, PROGRESS_TIMEOUT_S, on_reply)

    def _on_reply(
        self, batch: _Batch, result: Result[Message, PeerError], attempts: int
    ) -> None:
        if result.is_ok() and isinstance(result.ok, ProgressReply):
            self._on_acks(batch, result.ok.acks)
        elif result.is_error() and attempts < MAX_ATTEMPTS:
            # The holder ignores tokens that it already has, so a repeat is safe.
            self._send(batch, attempts + 1)
        else:
            reason = (
                str(result.error)
                if result.is_error()
                else f"unexpected answer {result.ok.KIND}"
            )
            with self._lock:
                streams = list(batch.holder.streams.values())
            self._report_lost(batch.holder, streams, reason)
            self._send_next(batch.holder)

    def _on_acks(self, batch: _Batch, acks: tuple[ProgressAck, ...]) -> None:
        by_id = {ack.request_id: ack for ack in acks}
        lost: list[_Stream] = []
        notifications: list[tuple[_Stream, ProgressEvent]] = []
        with self._lock:
            for stream in batch.streams:
                if self._streams.get(stream.request_id) is not stream:
                    continue
                ack = by_id.get(stream.request_id)
                if ack is not None and ack.status is CopyStatus.ACCEPTED:
                    notifications.append((stream, _apply_ack(stream, ack)))
                elif ack is not None and ack.status is CopyStatus.STALE_EPOCH:
                    self._remove(stream.request_id)
                    notifications.append(
                        (stream, Superseded(stream.request_id, ack.epoch))
                    )
                else:
                    lost.append(stream)
        self._notify_listeners(notifications)
        self._report_lost(batch.holder, lost, "the holder cannot extend its copy")
        self._send_next(batch.holder)

    def _send_next(self, holder: _Holder) -> None:
        """Send the tokens queued while the previous message was in flight."""
        with self._lock:
            holder.sending = False
            batch = self._next_batch(holder)
            if batch is None:
                self._prune(holder)
        self._send(batch)

    def _report_lost(
        self, holder: _Holder, streams: Iterable[_Stream], reason: str
    ) -> None:
        notifications: list[tuple[_Stream, ProgressEvent]] = []
        with self._lock:
            for stream in streams:
                if self._streams.get(stream.request_id) is stream:
                    self._remove(stream.request_id)
                    event = HolderLost(stream.request_id, holder.address, reason)
                    notifications.append((stream, event))
        self._notify_listeners(notifications)

    def _notify_listeners(
        self, notifications: Iterable[tuple[_Stream, ProgressEvent]]
    ) -> None:
        for stream, event in notifications:
            match event:
                case HolderLost(request_id, holder, reason):
                    name = format_vm(holder.vm)
                    self._events.emit(
                        406, request_id=request_id, holder=name, reason=reason
                    )
                case Superseded(request_id, seen):
                    self._events.emit(
                        407, request_id=request_id, epoch=stream.epoch, seen=seen
                    )
            stream.listener(event)


def _count_fitting(texts: list[str], limit: int) -> tuple[int, int]:
    """Return how many texts fit, at least one if any, and their size in characters."""
    size = 0
    for count, text in enumerate(texts):
        if size >= limit:
            return count, size
        size += len(text) + 1
    return len(texts), size


def _progress_item(stream: _Stream, count: int) -> ProgressItem:
    texts = tuple(stream.texts[:count])
    done = stream.done and count == len(stream.texts)
    return ProgressItem(stream.request_id, stream.epoch, stream.acked, texts, done)


def _apply_ack(stream: _Stream, ack: ProgressAck) -> Acknowledged:
    del stream.texts[: ack.tokens - stream.acked]
    stream.acked = ack.tokens
    return Acknowledged(stream.request_id, ack.tokens, ack.done)
