"""Rendezvous hashing: each node ranks the other nodes in a different order."""

import hashlib
import heapq
from collections.abc import Iterable

from cicadapass_decisions.types import VmId


def preferred_peers(local: VmId, peers: Iterable[VmId], count: int) -> list[VmId]:
    """Return the `count` peers with the highest hashes for `local`, highest first.

    The rankings of different nodes are independent, so that every node is preferred by
    about `count` others. A node that joins or leaves changes few preferences.
    """
    return heapq.nlargest(count, peers, key=lambda peer: _weight(local, peer))


def _weight(local: VmId, peer: VmId) -> bytes:
    names = f"{local.name}\0{local.incarnation}\0{peer.name}\0{peer.incarnation}"
    return hashlib.blake2b(names.encode(), digest_size=8).digest()
