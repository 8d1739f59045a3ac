"""Readers of answers, which may be local or at another node."""

from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from expression import Error, Ok, Result

from cicadapass.answers import Answer
from cicadapass.problems import Problem
from cicadapass_decisions.types import Verdict

# Limits one wait for new bytes, so that an abandoned answer or a disconnected caller
# is detected.
READ_WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class Piece:
    """Represent bytes of an answer.

    `ended` means that no bytes follow; `problem` is then set if the answer failed.
    """

    data: bytes
    ended: bool
    problem: Problem | None = None


class AnswerReader(Protocol):
    """Read an answer from any byte offset."""

    @property
    def streams(self) -> bool:
        """Return whether the caller asked for an event stream."""

    def __call__(self, from_byte: int, wait_s: float, /) -> Result[Piece, Problem]:
        """Return the bytes from the offset; wait up to `wait_s` if there are none."""


class AnswerAborted(Exception):
    """Raised to close the connection before the last chunk of an incomplete answer."""


@dataclass(frozen=True, slots=True)
class LocalReader:
    """Read an answer that this node owns."""

    answer: Answer

    @property
    def streams(self) -> bool:
        """Return whether the caller asked for an event stream."""
        return self.answer.head.format.streams

    def is_beyond_end(self, from_byte: int) -> bool:
        """Return whether the answer has ended and is shorter than the offset."""
        return self.answer.ended and from_byte > self.answer.size_bytes

    def __call__(self, from_byte: int, wait_s: float) -> Result[Piece, Problem]:
        """Return the bytes from the offset, or a problem if another node continues."""
        available = self.answer.read(from_byte, wait_s)
        if self.answer.abandoned and not available.data and not available.ended:
            return Error(_moved_problem())
        problem = self.answer.problem if available.ended else None
        return Ok(Piece(available.data, available.ended, problem))


def read_pieces(
    reader: AnswerReader, from_byte: int
) -> Iterator[Result[Piece, Problem]]:
    """Yield the pieces of an answer from the offset until its end or an error."""
    offset = from_byte
    while True:
        result = reader(offset, READ_WAIT_S)
        yield result
        if result.is_error() or result.ok.ended:
            return
        offset += len(result.ok.data)


def read_complete(reader: AnswerReader, from_byte: int) -> Result[Piece, Problem]:
    """Return all bytes from the offset, after waiting for the end of the answer."""
    data = bytearray()
    last = Piece(b"", ended=False)
    for result in read_pieces(reader, from_byte):
        if result.is_error():
            return Error(result.error)
        last = result.ok
        data += last.data
    return Ok(Piece(bytes(data), last.ended, last.problem))


def _moved_problem() -> Problem:
    return Problem(
        "answer-moved",
        HTTPStatus.SERVICE_UNAVAILABLE,
        "another node continues the answer",
        "read the remaining bytes with the request id",
        Verdict.RUN,
        retry_after_s=1.0,
    )
