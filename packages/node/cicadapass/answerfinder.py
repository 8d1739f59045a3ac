"""Locate the answer of a request on this node or another and read it."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from http import HTTPStatus

import pykka
from expression import Error, Ok, Result

from cicadapass.copies import take_over_for_caller
from cicadapass.delivery import AnswerReader, LocalReader, Piece
from cicadapass.membersnapshot import CurrentMembers
from cicadapass.ownership import FindRequest, OwnedRequest
from cicadapass.peers import Inbound, Peers
from cicadapass.problems import Problem, not_found
from cicadapass.supervisor import ComponentRef
from cicadapass_common.copymessages import AnswerPiece, AnswerRead, Binding
from cicadapass_decisions.recovery import locate_candidates, parse_request_id
from cicadapass_decisions.types import NodeAddress, Verdict

COMPONENT_TIMEOUT_S = 2.0
# Limits how long a peer waits for new bytes; a longer wait would delay the stop of
# the node that relays them.
MAX_PEER_WAIT_S = 0.5
PEER_TIMEOUT_S = 1.0
# A takeover or a migration may leave an answer without an owner for this long.
MAX_SEARCH_S = 8.0
SEARCH_INTERVAL_S = 0.1
# Reads of peers block, so they run in a pool that nothing else uses.
RELAY_THREADS = 64


@dataclass(frozen=True, slots=True)
class FinderDependencies:
    """Bundle the collaborators of `AnswerFinder`."""

    ownership: ComponentRef
    copies: ComponentRef
    peers: Peers
    current_members: CurrentMembers
    sleep: Callable[[float], None] = time.sleep
    clock: Callable[[], float] = time.monotonic


@dataclass(frozen=True, slots=True)
class RemoteReader:
    """Read an answer that another node owns."""

    request_piece: Callable[[int, float], AnswerPiece | None]
    streams: bool

    def __call__(self, from_byte: int, wait_s: float, /) -> Result[Piece, Problem]:
        """Return the bytes from the offset, or a problem if the node is unreachable."""
        piece = self.request_piece(from_byte, min(wait_s, MAX_PEER_WAIT_S))
        if piece is None:
            return Error(_not_reached_problem())
        return Ok(Piece(piece.data, piece.complete))


class FailoverReader:
    """Read an answer across changes of its owner; not thread-safe."""

    def __init__(
        self,
        locate: Callable[[], AnswerReader | None],
        reader: AnswerReader | None,
        sleep: Callable[[float], None],
        clock: Callable[[], float],
    ) -> None:
        self._locate = locate
        self._reader = reader
        self._streams = reader.streams if reader is not None else True
        self._sleep = sleep
        self._clock = clock

    @property
    def streams(self) -> bool:
        """Return whether the caller asked for an event stream."""
        return self._streams

    def __call__(self, from_byte: int, wait_s: float, /) -> Result[Piece, Problem]:
        """Return the bytes from the offset; search for the next owner on an error.

        The search ends with the last error after MAX_SEARCH_S.
        """
        deadline_s = self._clock() + MAX_SEARCH_S
        while True:
            reader = self._reader or self._locate()
            self._reader = reader
            result = (
                reader(from_byte, wait_s) if reader else Error(_not_reached_problem())
            )
            if result.is_ok() or self._clock() >= deadline_s:
                return result
            self._reader = None
            self._sleep(SEARCH_INTERVAL_S)


class AnswerFinder:
    """Find the reader of an answer, and serve local answers to other nodes."""

    def __init__(self, dependencies: FinderDependencies) -> None:
        self._dependencies = dependencies
        self._relay_pool = ThreadPoolExecutor(RELAY_THREADS, "answer-relay")

    def register(self) -> None:
        """Handle the reads of other nodes; call this before the peers start."""
        self._dependencies.peers.handle(AnswerRead, self._on_read, pooled=False)

    def find(self, request_id: str, binding: Binding) -> Result[AnswerReader, Problem]:
        """Return a reader of the answer, or a problem if the caller has none."""
        if parse_request_id(request_id) is None:
            return Error(not_found("this request"))
        reader = self._locate(request_id, binding)
        if reader is None:
            return Error(not_found("this request"))
        if isinstance(reader, LocalReader):
            return Ok(reader)
        return Ok(self.follow(request_id, binding, reader))

    def follow(
        self, request_id: str, binding: Binding, reader: AnswerReader | None = None
    ) -> AnswerReader:
        """Return a reader that continues with the next owner when one is lost."""
        return FailoverReader(
            lambda: self._locate(request_id, binding),
            reader,
            self._dependencies.sleep,
            self._dependencies.clock,
        )

    def _locate(self, request_id: str, binding: Binding) -> AnswerReader | None:
        reader = self._local_reader(request_id, binding)
        if reader is not None:
            return reader
        parsed_id = parse_request_id(request_id)
        if parsed_id is None:
            return None
        members = self._dependencies.current_members.snapshot.for_recovery()
        for address in locate_candidates(parsed_id, members):
            if address.vm == members.local.vm:
                continue
            piece = self._request_piece(address, request_id, binding, 0, 0.0)
            if piece is not None:
                return self._remote_reader(address, request_id, binding, piece.streams)
        return None

    def _local_reader(self, request_id: str, binding: Binding) -> LocalReader | None:
        owned = self._find_owned(request_id, binding)
        if owned is None:
            owned = self._take_over(request_id, binding)
        return None if owned is None else LocalReader(owned.answer)

    def _find_owned(self, request_id: str, binding: Binding) -> OwnedRequest | None:
        try:
            owned = self._dependencies.ownership.ask(
                FindRequest(request_id), COMPONENT_TIMEOUT_S
            )
        except (pykka.Timeout, pykka.ActorDeadError):
            return None
        return owned if owned and owned.request.binding == binding else None

    def _take_over(self, request_id: str, binding: Binding) -> OwnedRequest | None:
        """Adopt the request if this node has its copy and the owner does not answer."""
        dependencies = self._dependencies
        try:
            takeover = take_over_for_caller(
                dependencies.copies,
                dependencies.peers,
                request_id,
                binding,
                COMPONENT_TIMEOUT_S,
            )
        except (pykka.Timeout, pykka.ActorDeadError):
            return None
        if takeover is None or not takeover.adopted:
            return None
        # The adoption runs in another thread and takes milliseconds.
        for _ in range(int(COMPONENT_TIMEOUT_S / SEARCH_INTERVAL_S)):
            owned = self._find_owned(request_id, binding)
            if owned is not None:
                return owned
            dependencies.sleep(SEARCH_INTERVAL_S)
        return None

    def _remote_reader(
        self, address: NodeAddress, request_id: str, binding: Binding, streams: bool
    ) -> AnswerReader:
        def request_piece(from_byte: int, wait_s: float) -> AnswerPiece | None:
            return self._request_piece(address, request_id, binding, from_byte, wait_s)

        return RemoteReader(request_piece, streams)

    def _request_piece(
        self,
        address: NodeAddress,
        request_id: str,
        binding: Binding,
        from_byte: int,
        wait_s: float,
    ) -> AnswerPiece | None:
        message = AnswerRead(request_id, binding, from_byte, wait_s)
        result = self._dependencies.peers.request(
            address, message, wait_s + PEER_TIMEOUT_S
        )
        if result.is_error() or not isinstance(result.ok, AnswerPiece):
            return None
        return result.ok if result.ok.known else None

    def _on_read(self, inbound: Inbound[AnswerRead]) -> None:
        self._relay_pool.submit(self._reply_to_read, inbound)

    def _reply_to_read(self, inbound: Inbound[AnswerRead]) -> None:
        message = inbound.message
        reader = self._local_reader(message.request_id, message.binding)
        if reader is None:
            inbound.reply(AnswerPiece(known=False))
            return
        result = reader(message.from_byte, min(message.wait_s, MAX_PEER_WAIT_S))
        if result.is_error():
            inbound.reply(AnswerPiece(known=False))
            return
        piece = AnswerPiece(
            True, result.ok.data, result.ok.ended, streams=reader.streams
        )
        inbound.reply(piece)


def _not_reached_problem() -> Problem:
    return Problem(
        "answer-not-reached",
        HTTPStatus.SERVICE_UNAVAILABLE,
        "no node that has the answer could be reached",
        "read the remaining bytes with the request id",
        Verdict.UNKNOWN,
        retry_after_s=1.0,
    )
