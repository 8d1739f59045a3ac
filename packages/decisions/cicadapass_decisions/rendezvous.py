"""Rendezvous hashing: each node prefers other nodes in an order of its own."""

import hashlib
import heapq
from collections.abc import Iterable

from cicadapass_decisions.types import VmId


def preferred(own: VmId, others: Iterable[VmId], count: int) -> list[VmId]:
    """Return the `count` others that `own` prefers, the most preferred first.

    The orders of different nodes are independent, so that every node is preferred by
    about `count` others; a node that comes or goes changes few preferences.
    """
    return heapq.nlargest(count, others, key=lambda other: _weight(own, other))


def _weight(own: VmId, other: VmId) -> bytes:
    names = f"{own.name}\0{own.incarnation}\0{other.name}\0{other.incarnation}"
    return hashlib.blake2b(names.encode(), digest_size=8).digest()
