"""Member tables, copies and result lines for the peer benchmarks."""

import json
import random
from dataclasses import dataclass

from cicadapass.copystore import CopyStore
from cicadapass_common.copymessages import Binding, CopiedRequest
from cicadapass_common.messages import Probe
from cicadapass_common.wire import decode, encode
from cicadapass_decisions.membership import (
    GossipEntry,
    Member,
    MemberState,
    MemberTable,
    apply_gossip,
    new_table,
)
from cicadapass_decisions.types import NodeAddress

TOKEN_TEXT = " token"
MICROSECONDS = 1e6
EXHAUSTED_SENDS = 1000


@dataclass(frozen=True, slots=True)
class Measure:
    """Represent one measured value."""

    measure: str
    variant: str
    value: float
    unit: str

    def to_json(self, seed: int) -> str:
        """Return one JSON line, with the value rounded to two decimals."""
        line = {
            "measure": self.measure,
            "variant": self.variant,
            "value": round(self.value, 2),
            "unit": self.unit,
            "seed": seed,
        }
        return json.dumps(line)


def address(index: int, port: int = 9000) -> NodeAddress:
    """Return an address whose texts are as long as in a production fleet."""
    fleet = ("grabhandle", "klasite")[index % 2]
    name, host = f"entry-{index:04d}", f"10.20.{index // 250}.{index % 250}"
    return NodeAddress(name, f"{index:08x}", fleet, f"dc-{index % 10}", host, port)


def _entry(index: int, rng: random.Random) -> GossipEntry:
    offset, load = rng.randrange(10**6, 10**7), rng.randrange(256)
    hint_version = rng.randrange(10**5)
    return GossipEntry(address(index), MemberState.ALIVE, 0, hint_version, offset, load)


def build_table(count: int, rng: random.Random) -> MemberTable:
    """Return a table of decoded entries, which share no texts with each other."""
    table = new_table(address(count))
    for index in range(count):
        apply_gossip(table, _encode_and_decode(_entry(index, rng)), 0.0)
    return table


def quiet_table(local_index: int, count: int) -> MemberTable:
    """Return the table of one member, with no entry pending for gossip.

    Each entry has used up its sends.
    """
    table = new_table(address(local_index))
    for index in range(count):
        if index != local_index:
            entry = GossipEntry(address(index), MemberState.ALIVE, 0, 0, 0, 0)
            table.members[entry.vm] = Member(entry, 0.0, sends=EXHAUSTED_SENDS)
    return table


def _encode_and_decode(entry: GossipEntry) -> tuple[GossipEntry, ...]:
    frame = decode(encode(Probe((entry,), (), 0, 0))).ok
    assert isinstance(frame.message, Probe)
    return frame.message.entries


def store_with_copy(request_id: str) -> CopyStore:
    """Return a store with one copy of the request."""
    store = CopyStore(10**7)
    binding = Binding("grabhandle", "counter", "0" * 64)
    copy = CopiedRequest(request_id, 1, binding, 0.0, "parts", b"")
    store.put(copy, address(0), 0.0)
    return store
