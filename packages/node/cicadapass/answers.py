"""The answer of one model request: its tokens, rendered bytes and commit state."""

import threading
from array import array
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cicadapass.problems import Problem
from cicadapass.render import AnswerHead, new_renderer


@dataclass(frozen=True, slots=True)
class AnswerBytes:
    """Represent bytes read from an answer; `ended` means that no bytes follow."""

    data: bytes
    ended: bool


class Answer:
    """Collect the tokens of an answer from one writer for many readers.

    Readers get only committed tokens, which the holder of the copy has acknowledged,
    so that a token that was delivered to a caller is never computed again.
    """

    def __init__(self, head: AnswerHead, texts: Sequence[str] = ()) -> None:
        self._head = head
        self._renderer = new_renderer(head)
        self._texts: list[str] = []
        self._data = bytearray()
        self._ends = array("Q")
        self._committed_tokens = 0
        self._finished = False
        self._ended = False
        self._abandoned = False
        self._problem: Problem | None = None
        self._changed = threading.Condition()
        self._waiting_readers = 0
        self._subscribers: tuple[Callable[[], None], ...] = ()
        self.add_tokens(0, texts)
        self.commit(len(texts))

    @property
    def head(self) -> AnswerHead:
        """Return the inputs of the rendering besides the tokens."""
        return self._head

    @property
    def token_count(self) -> int:
        """Return the number of tokens, committed or not."""
        return len(self._texts)

    @property
    def committed_tokens(self) -> int:
        """Return the number of tokens that may be delivered."""
        return self._committed_tokens

    @property
    def texts(self) -> tuple[str, ...]:
        """Return the texts of all tokens, committed or not."""
        return tuple(self._texts)

    @property
    def size_bytes(self) -> int:
        """Return the number of rendered bytes, committed or not."""
        return len(self._data)

    @property
    def ended(self) -> bool:
        """Return whether the answer is complete or has failed; no bytes follow."""
        return self._ended

    @property
    def problem(self) -> Problem | None:
        """Return why the answer is incomplete, if it failed."""
        return self._problem

    def add_tokens(self, first_index: int, texts: Sequence[str]) -> int:
        """Add tokens and return the number of those that are new.

        Tokens that the answer already has are skipped, so that late and repeated
        batches have no effect. A gap raises ValueError.
        """
        with self._changed:
            if self._finished:
                return 0
            repeated_count = len(self._texts) - first_index
            if repeated_count < 0:
                expected_index = len(self._texts)
                raise ValueError(
                    f"token gap: got index {first_index}, expected {expected_index}"
                )
            new_texts = texts[repeated_count:]
            for text in new_texts:
                self._texts.append(text)
                self._data += self._renderer.token(text)
                self._ends.append(len(self._data))
            return len(new_texts)

    def commit(self, token_count: int) -> None:
        """Make the first `token_count` tokens readable."""
        with self._changed:
            if token_count <= self._committed_tokens:
                return
            self._committed_tokens = min(token_count, len(self._texts))
            self._notify()

    def finish(self) -> None:
        """Add the end marker; it stays unreadable until `end`."""
        with self._changed:
            if not self._finished:
                self._finished = True
                self._data += self._renderer.end(self._texts)

    def end(self) -> None:
        """Make all bytes readable; raise ValueError before `finish`."""
        with self._changed:
            if not self._finished:
                raise ValueError("answer ended before it was finished")
            self._committed_tokens = len(self._texts)
            self._ended = True
            self._notify()

    def fail(self, problem: Problem) -> None:
        """End the answer with an error after its committed tokens."""
        with self._changed:
            if self._ended:
                return
            self._problem = problem
            self._drop_uncommitted()
            self._data += self._renderer.failure(problem.members())
            self._finished = True
            self._ended = True
            self._notify()

    def abandon(self) -> None:
        """Wake the readers because another node continues the answer."""
        with self._changed:
            self._abandoned = True
            self._notify()

    @property
    def abandoned(self) -> bool:
        """Return whether another node continues the answer."""
        return self._abandoned

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call `on_change` after each change that a reader can observe.

        The callback runs in the writer's thread with the lock held and must not block.
        """
        with self._changed:
            self._subscribers = (*self._subscribers, on_change)

    def unsubscribe(self, on_change: Callable[[], None]) -> None:
        """Remove the callback; it is not called after this returns."""
        with self._changed:
            self._subscribers = tuple(
                subscriber
                for subscriber in self._subscribers
                if subscriber != on_change
            )

    def read(self, from_byte: int, wait_s: float) -> AnswerBytes:
        """Return the bytes from the offset; wait up to `wait_s` if there are none.

        The result may be empty after a time-out, or once the answer is abandoned.
        """
        with self._changed:
            self._wait_for_change(from_byte, wait_s)
            limit = self._readable_bytes()
            data = bytes(self._data[from_byte:limit])
            return AnswerBytes(data, self._ended)

    def wait_for_start(self, wait_s: float) -> bool:
        """Return whether there is a byte to read or the answer has ended."""
        with self._changed:
            self._wait_for_change(0, wait_s)
            return self._has_change(0)

    def _wait_for_change(self, from_byte: int, wait_s: float) -> None:
        if wait_s <= 0 or self._has_change(from_byte):
            return
        self._waiting_readers += 1
        self._changed.wait_for(lambda: self._has_change(from_byte), wait_s)
        self._waiting_readers -= 1

    def _has_change(self, from_byte: int) -> bool:
        return self._ended or self._abandoned or self._readable_bytes() > from_byte

    def _drop_uncommitted(self) -> None:
        # An uncommitted token may be computed again with a different value, and the
        # end marker of a finished answer would make a failed one look complete.
        del self._texts[self._committed_tokens :]
        del self._ends[self._committed_tokens :]
        del self._data[self._committed_bytes() :]

    def _readable_bytes(self) -> int:
        return len(self._data) if self._ended else self._committed_bytes()

    def _committed_bytes(self) -> int:
        if not self._committed_tokens:
            return 0
        return self._ends[self._committed_tokens - 1]

    def _notify(self) -> None:
        if self._waiting_readers:
            self._changed.notify_all()
        for on_change in self._subscribers:
            on_change()
