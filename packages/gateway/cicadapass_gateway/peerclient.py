"""Fetch the state of other nodes over HTTP."""

import asyncio
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import cbor2

from cicadapass_common.events import EventLog
from cicadapass_decisions.topicreplica import Delta, Document
from cicadapass_gateway.cbor import decode_cbor
from cicadapass_gateway.exceptions import DECODE_ERRORS, AnswerBroken, ConnectFailed
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_gateway.nodeaddress import NodeAddress

CONFIGURATION_PATH = "/v1/configuration"
UPSTREAMS_PATH = "/v1/upstreams"
FETCH_TIMEOUT_S = 0.6
# Larger states of a peer are rejected; compressed, they may be a thousandth of it. The
# entries of 1,400 engines are 0.7 MB at 500 bytes each; decoded, a state takes some
# times its bytes of a VM's 200 MB.
MAX_STATE_BYTES = 8_388_608

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class PeerUpstreams:
    """Store what a peer returned of its view of the upstreams."""

    delta: Delta
    # Ages of the reads that confirm the view, by the hops to the reading node.
    ages_s: tuple[float, ...]
    # Leaving marks that no entry states: upstream ids and start times.
    marks: Sequence[tuple[str, int]]


def encode_upstreams(upstreams: PeerUpstreams) -> bytes:
    """Return the compressed response to a peer."""
    delta = upstreams.delta
    message = {
        "end": delta.end_offset,
        "ages": upstreams.ages_s,
        "complete": delta.complete,
        "entries": [[each.key, each.value, each.offset] for each in delta.documents],
        "leaving": upstreams.marks,
    }
    return zlib.compress(cbor2.dumps(message), level=1)


def decode_upstreams(data: bytes) -> PeerUpstreams:
    """Return a peer's response; raise an error that `PeerClient.fetch` handles."""
    message = decode_cbor(_decompress(data))
    documents = tuple(
        Document(str(key), bytes(value), int(offset))
        for key, value, offset in message["entries"]
    )
    return PeerUpstreams(
        delta=Delta(documents, int(message["end"]), bool(message["complete"])),
        ages_s=tuple(float(age_s) for age_s in message["ages"]),
        marks=[(str(key), int(started_ms)) for key, started_ms in message["leaving"]],
    )


def encode_configuration(raw: bytes) -> bytes:
    """Return the compressed response with a configuration; empty if there is none."""
    return zlib.compress(raw, level=1)


def decode_configuration(data: bytes) -> bytes:
    """Return the undecoded configuration of a peer; raise an error of `fetch`."""
    return _decompress(data)


def _decompress(data: bytes) -> bytes:
    """Return the decompressed data; raise ValueError if it is too large or cut."""
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(data, MAX_STATE_BYTES)
    if not decompressor.eof:
        raise ValueError(f"a state that is cut or exceeds {MAX_STATE_BYTES} bytes")
    return decompressed


class PeerClient:
    """Send requests to the control addresses of other nodes."""

    def __init__(self, pool: ClientPool, events: EventLog) -> None:
        self._pool = pool
        self._events = events

    async def fetch(
        self, address: NodeAddress, target: str, decode: Callable[[bytes], T]
    ) -> T | None:
        """Return a node's decoded response, or None if there is no valid one."""
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                return decode(await self._request(address, target.encode()))
        except (TimeoutError, AnswerBroken, ConnectFailed) as error:
            self._events.emit(821, peer=address.name, reason=repr(error))
        except (*DECODE_ERRORS, zlib.error) as error:
            self._events.emit(820, peer=address.name, reason=repr(error))
        return None

    async def _request(self, address: NodeAddress, target: bytes) -> bytes:
        channel = await self._pool.acquire(address.host, address.port, FETCH_TIMEOUT_S)
        try:
            host = f"{address.host}:{address.port}".encode()
            channel.send(b"GET", target, [(b"Host", host)], b"")
            head = await channel.read_head()
            if head.status != 200:
                raise AnswerBroken(f"status {head.status}")
            return await channel.read_remaining()
        finally:
            channel.abort()
