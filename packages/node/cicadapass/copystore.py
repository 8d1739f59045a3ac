"""Storage of the copies of other nodes' requests, bounded in bytes."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from cicadapass_common.copymessages import (
    CopiedRequest,
    CopyReply,
    CopyStatus,
    HandOver,
    ProgressAck,
    ProgressItem,
    ReleaseItem,
)
from cicadapass_decisions.types import NodeAddress, VmId

# A short str object of CPython plus its slot in a list.
TOKEN_OVERHEAD_BYTES = 60
COPY_OVERHEAD_BYTES = 1024


@dataclass(slots=True)
class StoredCopy:
    """Represent one copy; `owner` is the former owner once `adopted` is set.

    The texts are a separate list, because appending to the frozen request would copy
    it with each progress message.
    """

    request: CopiedRequest
    owner: NodeAddress
    epoch: int
    texts: list[str]
    finished: bool
    updated_s: float
    size: int
    adopted: bool = False
    doubtful: bool = False

    def as_request(self) -> CopiedRequest:
        """Return the request with all tokens received so far."""
        texts = tuple(self.texts)
        return replace(
            self.request, epoch=self.epoch, texts=texts, finished=self.finished
        )


@dataclass(slots=True)
class CopyStore:
    """Own the copies by request id; used only by the copies component."""

    max_bytes: int
    copies: dict[str, StoredCopy] = field(default_factory=dict)
    used_bytes: int = 0

    def put(self, copy: CopiedRequest, owner: NodeAddress, now_s: float) -> CopyReply:
        """Store a copy unless the stored one is newer or `max_bytes` is exceeded."""
        stored = self.copies.get(copy.request_id)
        if stored and (copy.epoch < stored.epoch or _is_taken_over(stored, copy.epoch)):
            return CopyReply(CopyStatus.STALE_EPOCH, stored.epoch)
        if (
            stored
            and copy.epoch == stored.epoch
            and len(copy.texts) < len(stored.texts)
        ):
            # A repeated request whose first answer was lost; the stored copy is ahead.
            return CopyReply(CopyStatus.ACCEPTED, stored.epoch)
        if stored:
            # The owner continues from the new copy, so the old one must not remain even
            # if the new one does not fit.
            self.drop(copy.request_id)
        size = copy_bytes(copy)
        if self.used_bytes + size > self.max_bytes:
            return CopyReply(CopyStatus.FULL, copy.epoch)
        self.used_bytes += size
        self.copies[copy.request_id] = StoredCopy(
            replace(copy, texts=()),
            owner,
            copy.epoch,
            list(copy.texts),
            copy.finished,
            now_s,
            size,
        )
        return CopyReply(CopyStatus.ACCEPTED, copy.epoch)

    def progress(self, item: ProgressItem, now_s: float) -> ProgressAck:
        """Append tokens; repeated and delayed tokens have no effect."""
        stored = self.copies.get(item.request_id)
        if stored is None or item.epoch > stored.epoch:
            return _ack(item, CopyStatus.UNKNOWN, item.epoch, 0)
        if item.epoch < stored.epoch or stored.adopted:
            return _ack(item, CopyStatus.STALE_EPOCH, stored.epoch, 0)
        count = len(stored.texts)
        if item.first > count:
            return _ack(item, CopyStatus.GAP, stored.epoch, count)
        overlap = count - item.first
        stored_texts = tuple(stored.texts[item.first : item.first + len(item.texts)])
        if item.texts[:overlap] != stored_texts:
            # The owner's tokens differ, so it must not continue with this copy.
            return _ack(item, CopyStatus.UNKNOWN, stored.epoch, 0)
        return self._append(stored, item, item.texts[overlap:], now_s)

    def release(self, item: ReleaseItem) -> None:
        """Drop a copy whose answer was delivered by this owner or a later one."""
        stored = self.copies.get(item.request_id)
        if stored and item.epoch >= stored.epoch and not stored.adopted:
            self.drop(item.request_id)

    def check_hand_over(self, message: HandOver) -> CopyReply:
        """Return ACCEPTED if this node can become the owner, or the obstacle."""
        stored = self.copies.get(message.request_id)
        if stored is None or message.epoch > stored.epoch:
            return CopyReply(CopyStatus.UNKNOWN, message.epoch)
        if message.epoch < stored.epoch or stored.adopted:
            return CopyReply(CopyStatus.STALE_EPOCH, stored.epoch)
        if len(stored.texts) < message.tokens:
            return CopyReply(CopyStatus.GAP, stored.epoch)
        return CopyReply(CopyStatus.ACCEPTED, stored.epoch)

    def adopt(self, stored: StoredCopy, epoch: int, now_s: float) -> CopiedRequest:
        """Mark a copy as taken over, keep only its metadata and return the request."""
        stored.epoch = epoch
        request = stored.as_request()
        self.used_bytes -= stored.size - COPY_OVERHEAD_BYTES
        stored.size = COPY_OVERHEAD_BYTES
        stored.adopted = True
        stored.texts = []
        stored.request = replace(stored.request, document=b"")
        stored.updated_s = now_s
        return request

    def drop(self, request_id: str) -> None:
        """Remove a copy; raise KeyError if there is none."""
        self.used_bytes -= self.copies.pop(request_id).size

    def of_owner(self, vm: VmId) -> Iterator[StoredCopy]:
        """Yield the copies of one owner that this node has not taken over."""
        stored = list(self.copies.values())
        return (c for c in stored if c.owner.vm == vm and not c.adopted)

    def _append(
        self,
        stored: StoredCopy,
        item: ProgressItem,
        texts: tuple[str, ...],
        now_s: float,
    ) -> ProgressAck:
        size = texts_bytes(texts)
        if self.used_bytes + size > self.max_bytes:
            return _ack(item, CopyStatus.FULL, stored.epoch, len(stored.texts))
        stored.texts += texts
        stored.size += size
        self.used_bytes += size
        stored.updated_s = now_s
        stored.doubtful = False
        # A delayed message must not reset the end of the answer.
        stored.finished = stored.finished or item.done
        count = len(stored.texts)
        return _ack(item, CopyStatus.ACCEPTED, stored.epoch, count, stored.finished)


def copy_bytes(copy: CopiedRequest) -> int:
    """Return the approximate memory of a copy."""
    return COPY_OVERHEAD_BYTES + len(copy.document) + texts_bytes(copy.texts)


def texts_bytes(texts: tuple[str, ...]) -> int:
    """Return the approximate memory of texts, with the overhead of each object."""
    return sum(map(len, texts)) + TOKEN_OVERHEAD_BYTES * len(texts)


def _is_taken_over(stored: StoredCopy, epoch: int) -> bool:
    return stored.adopted and epoch <= stored.epoch


def _ack(
    item: ProgressItem, status: CopyStatus, epoch: int, tokens: int, done: bool = False
) -> ProgressAck:
    return ProgressAck(item.request_id, status, epoch, tokens, done)
