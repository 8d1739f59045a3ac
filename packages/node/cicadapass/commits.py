"""Decide when tokens of an answer may be delivered to callers."""

import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from cicadapass.answers import Answer
from cicadapass.progress import (
    Acknowledged,
    HolderLost,
    ProgressEvent,
    ProgressSender,
    Superseded,
)
from cicadapass.requests import AcceptedRequest
from cicadapass.threads import start_thread
from cicadapass_common.copymessages import CopiedRequest
from cicadapass_decisions.recovery import next_copy_epoch
from cicadapass_decisions.types import NodeAddress

# Interval between attempts to find a holder for an answer without a copy.
HOLDER_SEARCH_INTERVAL_S = 1.0

# Copies a request to a holder other than the lost one; returns the holder, if any.
CopyElsewhere = Callable[[CopiedRequest, NodeAddress | None], NodeAddress | None]


@dataclass(frozen=True, slots=True)
class CommitCallbacks:
    """Bundle the callbacks for new tokens and for the end of an answer."""

    tokens_added: Callable[[int, Sequence[str]], None]
    finished: Callable[[], None]


def commit_at_once(answer: Answer) -> CommitCallbacks:
    """Return callbacks that deliver tokens at once, for requests without a copy."""

    def tokens_added(first: int, texts: Sequence[str]) -> None:
        answer.commit(first + len(texts))

    return CommitCallbacks(tokens_added, answer.end)


class CopyCommitter:
    """Deliver the tokens of one answer once the holder of its copy acknowledges them.

    Delivery pauses while a lost holder is being replaced. If no holder is available,
    the answer is delivered without a copy until one is found.
    """

    def __init__(
        self,
        request: AcceptedRequest,
        answer: Answer,
        progress: ProgressSender,
        copy_elsewhere: CopyElsewhere,
        on_superseded: Callable[[str, int], None],
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._request = request
        self._answer = answer
        self._progress = progress
        self._copy_elsewhere = copy_elsewhere
        self._on_superseded = on_superseded
        self._sleep = sleep
        self._lock = threading.Lock()
        self._tracked = False
        self._without_copy = False
        self._sent_tokens = 0
        self._done = False

    def track(self, holder: NodeAddress, tokens: int) -> None:
        """Send the holder the tokens after the first `tokens`, and all later ones."""
        request = self._request
        with self._lock:
            self._progress.track(
                request.request_id, request.epoch, holder, tokens, self._on_event
            )
            self._tracked = True
            self._without_copy = False
            self._sent_tokens = tokens
            self._send(self._answer.texts[tokens:])

    def tokens_added(self, first: int, texts: Sequence[str]) -> None:
        """Send the holder new tokens of the answer, starting at index `first`."""
        with self._lock:
            if self._without_copy:
                self._answer.commit(first + len(texts))
            elif self._tracked:
                # Some of them may have been sent already with a new copy.
                self._send(texts[max(0, self._sent_tokens - first) :])

    def finished(self) -> None:
        """Send the holder the end; callers see it once it is acknowledged."""
        with self._lock:
            self._done = True
            if self._without_copy:
                self._answer.end()
            elif self._tracked:
                self._send(())

    def _send(self, texts: Sequence[str]) -> None:
        if not texts and not self._done:
            return
        self._sent_tokens += len(texts)
        self._tracked = self._progress.add(self._request.request_id, texts, self._done)

    def _on_event(self, event: ProgressEvent) -> None:
        match event:
            case Acknowledged(_, tokens, done):
                self._answer.commit(tokens)
                if done:
                    self._answer.end()
            case HolderLost(_, holder, _):
                # This callback must not block and may run within `_send`, whereas a
                # new copy needs the lock and a round trip.
                start_thread("new-holder", lambda: self._replace_holder(holder))
            case Superseded(request_id, epoch):
                self._on_superseded(request_id, epoch)

    def search_holder(self) -> None:
        """Deliver without a copy; block until a holder is found or the answer ends."""
        with self._lock:
            self._without_copy = True
            self._answer.commit(self._answer.token_count)
            if self._done:
                self._answer.end()
        while not self._answer.ended and not self._answer.abandoned:
            self._sleep(HOLDER_SEARCH_INTERVAL_S)
            if not self._answer.ended and self._copy_to_new_holder(None):
                return

    def _replace_holder(self, lost_holder: NodeAddress) -> None:
        with self._lock:
            self._tracked = False
        if not self._copy_to_new_holder(lost_holder):
            self.search_holder()

    def _copy_to_new_holder(self, lost_holder: NodeAddress | None) -> bool:
        epoch = next_copy_epoch(self._request.epoch)
        self._request = replace(self._request, epoch=epoch)
        texts = self._answer.texts
        holder = self._copy_elsewhere(self._request.to_copy(texts), lost_holder)
        if holder is None:
            return False
        self.track(holder, len(texts))
        self._answer.commit(len(texts))
        return True
