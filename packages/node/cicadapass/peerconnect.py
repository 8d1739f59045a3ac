"""Open a connection to a peer and perform the handshake."""

import asyncio

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed

from cicadapass import handshake, peerstate
from cicadapass.peererrors import PeerError, PeerFault
from cicadapass.peerstate import PeerState
from cicadapass_common.exceptions import FrameError
from cicadapass_common.messages import HelloReply, Message
from cicadapass_common.wire import MAX_FRAME_BYTES, encode
from cicadapass_decisions.types import NodeAddress


async def open_connection(target: NodeAddress, state: PeerState) -> ClientConnection:
    """Return a connection to the target after it has proved the shared secret.

    Raises PeerError if the handshake fails, and OSError, TimeoutError or
    WebSocketException if the connection fails.
    """
    tls = state.settings.client_tls
    scheme = "wss" if tls else "ws"
    async with asyncio.timeout(peerstate.OPEN_TIMEOUT_S):
        connection = await connect(
            f"{scheme}://{target.host}:{target.peer_port}/",
            ssl=tls,
            proxy=None,
            compression=None,
            user_agent_header=None,
            open_timeout=None,
            ping_interval=None,
            close_timeout=peerstate.CLOSE_TIMEOUT_S,
            max_size=MAX_FRAME_BYTES,
        )
        try:
            await _perform_handshake(connection, target, state)
        except BaseException:
            connection.transport.abort()
            raise
    return connection


def closed_error(closed: ConnectionClosed) -> PeerError:
    """Return the error of a closed connection, with the peer's close reason."""
    if closed.rcvd and closed.rcvd.reason in set(PeerFault):
        fault = PeerFault(closed.rcvd.reason)
        return PeerError(fault, "the peer closed the connection")
    return PeerError(PeerFault.CLOSED, failure_reason(closed))


def failure_reason(failure: BaseException) -> str:
    """Return the exception's text, or its type name if it has none."""
    return str(failure) or type(failure).__name__


async def _perform_handshake(
    connection: ClientConnection, target: NodeAddress, state: PeerState
) -> None:
    secret = state.settings.secret
    hello = handshake.new_hello(state.address)
    await _send(connection, hello, state)
    try:
        data = await connection.recv()
    except ConnectionClosed as closed:
        raise closed_error(closed) from None
    try:
        reply = _read_reply(data, target, state)
        handshake.check_reply(hello, reply, target, secret)
    except PeerError as error:
        state.report(error, target.name)
        raise
    await _send(connection, handshake.client_proof(hello, reply, secret), state)


def _read_reply(data: str | bytes, target: NodeAddress, state: PeerState) -> HelloReply:
    try:
        message = state.read_frame(data, target.name).message
    except FrameError as error:
        raise PeerError(PeerFault.GARBAGE, error.problem) from None
    if not isinstance(message, HelloReply):
        raise PeerError(
            PeerFault.GARBAGE, f"{message.KIND} instead of a handshake reply"
        )
    return message


async def _send(
    connection: ClientConnection, message: Message, state: PeerState
) -> None:
    data = encode(message, None, state.stamps.stamp())
    state.count_sent(message.KIND, len(data))
    await connection.send(data)
