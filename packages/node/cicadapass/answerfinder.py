"""Find the answer of a request, on this node or another, and read it."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from http import HTTPStatus

import pykka
from expression import Error, Ok, Result

from cicadapass.copies import take_over_for_caller
from cicadapass.delivery import LocalReader, Piece, ReadPiece
from cicadapass.membersnapshot import CurrentMembers
from cicadapass.ownership import FindRequest, OwnedRequest
from cicadapass.peers import Inbound, Peers
from cicadapass.problems import Problem, not_found
from cicadapass.supervisor import ComponentRef
from cicadapass_common.copymessages import AnswerPiece, AnswerRead, Binding
from cicadapass_decisions.recovery import locate_candidates, parse_request_id
from cicadapass_decisions.types import NodeAddress, Verdict

PART_TIMEOUT_S = 2.0
# A peer that is asked for bytes waits this long for new ones; a longer wait would
# hold up the stop of a node that relays.
PEER_WAIT_S = 0.5
PEER_TIMEOUT_S = 1.0
# The answer may be between two owners for this long.
SEARCH_S = 8.0
SEARCH_PAUSE_S = 0.1
# Reads of peers wait in threads of their own, so that they hold up nothing else.
RELAY_THREADS = 64


@dataclass(frozen=True, slots=True)
class FinderParts:
    """Hold what the finder needs."""

    ownership: ComponentRef
    copies: ComponentRef
    peers: Peers
    board: CurrentMembers
    sleep: Callable[[float], None] = time.sleep
    clock: Callable[[], float] = time.monotonic


@dataclass(frozen=True, slots=True)
class RemoteReader:
    """Read an answer that another node owns."""

    ask: Callable[[int, float], AnswerPiece | None]
    streams: bool

    def __call__(self, from_byte: int, wait_s: float, /) -> Result[Piece, Problem]:
        """Return the bytes from the offset, or that the node does not answer."""
        piece = self.ask(from_byte, min(wait_s, PEER_WAIT_S))
        if piece is None:
            return Error(_lost())
        return Ok(Piece(piece.data, piece.complete))


class FollowingReader:
    """Read an answer from one owner after the other; for one thread."""

    def __init__(
        self,
        locate: Callable[[], ReadPiece | None],
        source: ReadPiece | None,
        sleep: Callable[[float], None],
        clock: Callable[[], float],
    ) -> None:
        self._locate = locate
        self._source = source
        self._streams = source.streams if source is not None else True
        self._sleep = sleep
        self._clock = clock

    @property
    def streams(self) -> bool:
        """Return whether the bytes are delivered as they are made."""
        return self._streams

    def __call__(self, from_byte: int, wait_s: float, /) -> Result[Piece, Problem]:
        """Return the bytes from the offset, after a search for the next owner."""
        until_s = self._clock() + SEARCH_S
        while True:
            source = self._source or self._locate()
            self._source = source
            result = source(from_byte, wait_s) if source else Error(_lost())
            if result.is_ok() or self._clock() >= until_s:
                return result
            self._source = None
            self._sleep(SEARCH_PAUSE_S)


class AnswerFinder:
    """Read answers from whichever node owns them."""

    def __init__(self, parts: FinderParts) -> None:
        self._parts = parts
        self._relay = ThreadPoolExecutor(RELAY_THREADS, "answer-relay")

    def register(self) -> None:
        """Answer the reads of other nodes, before the peers start."""
        self._parts.peers.handle(AnswerRead, self._on_read, pooled=False)

    def find(self, request_id: str, binding: Binding) -> Result[ReadPiece, Problem]:
        """Return a reader of the answer, or that the caller has no such request."""
        if parse_request_id(request_id) is None:
            return Error(not_found("this request"))
        source = self._locate(request_id, binding)
        if source is None:
            return Error(not_found("this request"))
        if isinstance(source, LocalReader):
            return Ok(source)
        return Ok(self.follow(request_id, binding, source))

    def follow(
        self, request_id: str, binding: Binding, source: ReadPiece | None = None
    ) -> ReadPiece:
        """Return a reader that goes on with the next owner when one is lost."""
        return FollowingReader(
            lambda: self._locate(request_id, binding),
            source,
            self._parts.sleep,
            self._parts.clock,
        )

    def _locate(self, request_id: str, binding: Binding) -> ReadPiece | None:
        local = self._local(request_id, binding)
        if local is not None:
            return local
        parsed = parse_request_id(request_id)
        if parsed is None:
            return None
        members = self._parts.board.snapshot.for_recovery()
        for address in locate_candidates(parsed, members):
            if address.vm == members.local.vm:
                continue
            piece = self._ask(address, request_id, binding, 0, 0.0)
            if piece is not None:
                return self._remote(address, request_id, binding, piece.streams)
        return None

    def _local(self, request_id: str, binding: Binding) -> LocalReader | None:
        owned = self._owned(request_id, binding)
        if owned is None:
            owned = self._taken_over(request_id, binding)
        return None if owned is None else LocalReader(owned.answer)

    def _owned(self, request_id: str, binding: Binding) -> OwnedRequest | None:
        try:
            owned = self._parts.ownership.ask(FindRequest(request_id), PART_TIMEOUT_S)
        except (pykka.Timeout, pykka.ActorDeadError):
            return None
        return owned if owned and owned.request.binding == binding else None

    def _taken_over(self, request_id: str, binding: Binding) -> OwnedRequest | None:
        """Take the request over if this node has its copy and the owner is silent."""
        parts = self._parts
        try:
            found = take_over_for_caller(
                parts.copies, parts.peers, request_id, binding, PART_TIMEOUT_S
            )
        except (pykka.Timeout, pykka.ActorDeadError):
            return None
        if found is None or not found.adopted:
            return None
        # The adoption runs in another thread and is done in milliseconds.
        for _ in range(int(PART_TIMEOUT_S / SEARCH_PAUSE_S)):
            owned = self._owned(request_id, binding)
            if owned is not None:
                return owned
            parts.sleep(SEARCH_PAUSE_S)
        return None

    def _remote(
        self, address: NodeAddress, request_id: str, binding: Binding, streams: bool
    ) -> ReadPiece:
        def ask(from_byte: int, wait_s: float) -> AnswerPiece | None:
            return self._ask(address, request_id, binding, from_byte, wait_s)

        return RemoteReader(ask, streams)

    def _ask(
        self,
        address: NodeAddress,
        request_id: str,
        binding: Binding,
        from_byte: int,
        wait_s: float,
    ) -> AnswerPiece | None:
        message = AnswerRead(request_id, binding, from_byte, wait_s)
        result = self._parts.peers.request(address, message, wait_s + PEER_TIMEOUT_S)
        if result.is_error() or not isinstance(result.ok, AnswerPiece):
            return None
        return result.ok if result.ok.known else None

    def _on_read(self, inbound: Inbound[AnswerRead]) -> None:
        self._relay.submit(self._answer_read, inbound)

    def _answer_read(self, inbound: Inbound[AnswerRead]) -> None:
        message = inbound.message
        local = self._local(message.request_id, message.binding)
        if local is None:
            inbound.reply(AnswerPiece(known=False))
            return
        result = local(message.from_byte, min(message.wait_s, PEER_WAIT_S))
        if result.is_error():
            inbound.reply(AnswerPiece(known=False))
            return
        piece = AnswerPiece(
            True, result.ok.data, result.ok.ended, streams=local.streams
        )
        inbound.reply(piece)


def _lost() -> Problem:
    return Problem(
        "answer-not-reached",
        HTTPStatus.SERVICE_UNAVAILABLE,
        "no node that has the answer can be reached",
        "read the rest with the request id",
        Verdict.UNKNOWN,
        retry_after_s=1.0,
    )
