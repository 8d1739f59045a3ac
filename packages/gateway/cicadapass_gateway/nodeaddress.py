"""Addresses of nodes, as datagrams and the registry contain them."""

import socket
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from cicadapass_gateway.exceptions import DECODE_ERRORS

# Decoded addresses that are kept; a deployment has fewer nodes.
MAX_KNOWN_ADDRESSES = 1024


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """Identify one incarnation of a node and its address for peers."""

    name: str
    host: str
    port: int
    incarnation: int
    data_centre: str

    @property
    def key(self) -> str:
        """Return a name that is unique to this incarnation."""
        return f"{self.name}/{self.incarnation}"

    @property
    def start_key(self) -> str:
        """Return the same name, as that of a process that may end."""
        return self.key


def encode_address(address: NodeAddress) -> list[Any]:
    """Return an address as stored in datagrams and in the registry."""
    return [
        address.name,
        address.host,
        address.port,
        address.incarnation,
        address.data_centre,
    ]


def decode_address(row: list[Any]) -> NodeAddress:
    """Return a decoded address; raise ValueError for an invalid row."""
    try:
        return _decode_address(*row)
    except TypeError as error:
        raise ValueError(f"invalid address: {error!r}") from error


@lru_cache(MAX_KNOWN_ADDRESSES)
def _decode_address(
    name: Any, host: Any, port: Any, incarnation: Any, data_centre: Any
) -> NodeAddress:
    """Decode the address of a node; each datagram repeats three of them."""
    try:
        address = NodeAddress(
            str(name), str(host), int(port), int(incarnation), str(data_centre)
        )
        socket.inet_pton(socket.AF_INET, address.host)
    except (*DECODE_ERRORS, OSError) as error:
        raise ValueError(f"invalid address: {error!r}") from error
    # Larger numbers cannot be encoded again.
    if not (0 < address.port < 1 << 16 and 0 <= address.incarnation < 1 << 63):
        raise ValueError("invalid address: a number is out of range")
    return address
