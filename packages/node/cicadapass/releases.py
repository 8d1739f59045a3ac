"""Release copies at their holders, repeated until acknowledged."""

import threading
from collections.abc import Callable

from expression import Result

from cicadapass.peererrors import PeerError
from cicadapass.peers import Peers
from cicadapass_common.copymessages import Release, ReleaseItem
from cicadapass_common.messages import Message
from cicadapass_decisions.types import NodeAddress, VmId

RELEASE_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 2.0
# Releases beyond this are discarded; the holder drops those copies when they expire.
MAX_QUEUED_RELEASES = 10_000


class ReleaseSender:
    """Own the unacknowledged releases; methods may be called in any thread."""

    def __init__(
        self, peers: Peers, call_later: Callable[[Callable[[], None], float], object]
    ) -> None:
        self._peers = peers
        self._call_later = call_later
        self._lock = threading.Lock()
        self._queued: dict[NodeAddress, list[ReleaseItem]] = {}
        self._sending: set[NodeAddress] = set()

    def release(self, request_id: str, epoch: int, holder: NodeAddress) -> None:
        """Allow a holder to drop its copy of this epoch or an earlier one."""
        with self._lock:
            items = self._queued.setdefault(holder, [])
            if len(items) < MAX_QUEUED_RELEASES:
                items.append(ReleaseItem(request_id, epoch))
        self._flush(holder)

    def on_holder_gone(self, vm: VmId) -> None:
        """Discard the unacknowledged releases of a member that is gone."""
        with self._lock:
            for holder in [h for h in self._queued if h.vm == vm]:
                del self._queued[holder]

    def _flush(self, holder: NodeAddress) -> None:
        with self._lock:
            items = self._queued.get(holder)
            if not items or holder in self._sending:
                return
            self._sending.add(holder)
            message = Release(tuple(items))

        def on_reply(result: Result[Message, PeerError]) -> None:
            self._on_reply(holder, len(message.items), result.is_ok())

        self._peers.request_async(holder, message, RELEASE_TIMEOUT_S, on_reply)

    def _on_reply(self, holder: NodeAddress, count: int, acknowledged: bool) -> None:
        if not acknowledged:
            self._call_later(lambda: self._send_next(holder), RETRY_INTERVAL_S)
            return
        with self._lock:
            items = self._queued.get(holder, [])
            del items[:count]
            if not items:
                self._queued.pop(holder, None)
        self._send_next(holder)

    def _send_next(self, holder: NodeAddress) -> None:
        with self._lock:
            self._sending.discard(holder)
        self._flush(holder)
