"""Measure how the cost of membership and progress grows with members and tokens."""

import argparse
import json
import logging
import random
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from cicadapass.copystore import CopyStore
from cicadapass.memberbook import ENTRIES_BUDGET_BYTES
from cicadapass.membersnapshot import take_snapshot
from cicadapass.peers import Inbound, Peers
from cicadapass.peerstate import PeerSettings
from cicadapass.progress import Acked, ProgressEvent, ProgressSender
from cicadapass_common.copymessages import (
    Binding,
    CopiedRequest,
    Progress,
    ProgressItem,
    ProgressReply,
)
from cicadapass_common.events import EventLog
from cicadapass_common.messages import Probe, ProbeReply
from cicadapass_common.stamps import StampClock
from cicadapass_common.wire import decode, encode
from cicadapass_decisions import membership
from cicadapass_decisions.membership import (
    GossipEntry,
    MemberState,
    MemberTable,
    apply_gossip,
    gossip_entries,
    new_table,
)
from cicadapass_decisions.types import NodeAddress

MEMBER_COUNTS = (10, 40, 120, 380)
TOKEN_COUNTS = (1, 8, 64, 512)
ROUNDS = 400
SOCKET_ROUNDS = 100
IDLE_S = 0.005
# Long enough that an idle connection is closed before the next round.
PAUSE_S = 0.02
STREAMS = 100
STREAM_TOKENS = 200
STREAM_BURST = 4
TOKEN_TEXT = " token"
WAIT_S = 60.0
MICROSECONDS = 1e6


@dataclass(frozen=True, slots=True)
class Measure:
    """Hold one measured value."""

    measure: str
    variant: str
    value: float
    unit: str

    def to_json(self, seed: int) -> str:
        """Return the measure as one line of JSON."""
        line = {
            "measure": self.measure,
            "variant": self.variant,
            "value": round(self.value, 2),
            "unit": self.unit,
            "seed": seed,
        }
        return json.dumps(line)


def main() -> int:
    """Print all measures as JSON, one a line."""
    parser = argparse.ArgumentParser(prog="python -m cicadapass_bench.slopes_peers")
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    logging.disable(logging.CRITICAL)
    for measures in (_probe_rounds, _states, _progress_messages, _connections):
        for measure in measures(random.Random(seed)):
            print(measure.to_json(seed), flush=True)
    return 0


def _address(n: int, port: int = 9000) -> NodeAddress:
    """Return an address with texts as long as those of a real fleet."""
    fleet = ("grabhandle", "klasite")[n % 2]
    name, host = f"entry-{n:04d}", f"10.20.{n // 250}.{n % 250}"
    return NodeAddress(name, f"{n:08x}", fleet, f"dc-{n % 10}", host, port)


def _entry(n: int, rng: random.Random) -> GossipEntry:
    offset, load = rng.randrange(10**6, 10**7), rng.randrange(256)
    beat = rng.randrange(10**5)
    return GossipEntry(_address(n), MemberState.ALIVE, 0, beat, offset, load)


def _table(count: int, rng: random.Random) -> MemberTable:
    """Return a table of decoded entries, whose texts are objects of their own."""
    table = new_table(_address(count))
    for n in range(count):
        apply_gossip(table, _over_the_wire(_entry(n, rng)), 0.0)
    return table


def _over_the_wire(entry: GossipEntry) -> tuple[GossipEntry, ...]:
    frame = decode(encode(Probe((entry,), (), 0, 0))).ok
    assert isinstance(frame.message, Probe)
    return frame.message.entries


def _probe_rounds(rng: random.Random) -> Iterator[Measure]:
    """Measure the frames of a round: a probe sent and one answered, without I/O."""
    for count in MEMBER_COUNTS:
        table, peer = _table(count, rng), _table(count, rng)
        for variant, change in (("quiet", False), ("change-each-round", True)):
            for _ in range(ROUNDS):
                _exchange(table, peer)
            sizes = []
            start_s = time.process_time()
            for n in range(ROUNDS):
                if change:
                    _suspect(table, n % count, n)
                sizes.append(_exchange(table, peer))
            spent_s = time.process_time() - start_s
            name = f"{count}-members-{variant}"
            # The round runs the code of both sides, as a node does each second.
            cost = spent_s / ROUNDS * MICROSECONDS
            yield Measure("probe_round_cpu", name, cost, "us")
            # A node sends and receives a probe and an answer each second.
            mean = 2 * sum(sizes) / len(sizes)
            yield Measure("probe_round_bytes", name, mean, "bytes")


def _suspect(table: MemberTable, n: int, round_number: int) -> None:
    vm = _address(n).vm
    entry = table.members[vm].entry
    state = MemberState.ALIVE
    changed = GossipEntry(
        entry.address, state, round_number + 1, entry.beat, entry.config_offset, 0
    )
    apply_gossip(table, (changed,), 0.0)


def _exchange(table: MemberTable, peer: MemberTable) -> int:
    """Let one table probe the other; return the bytes of both frames."""
    probe = encode(Probe(gossip_entries(table, ENTRIES_BUDGET_BYTES), (), 1, 1), 1)
    _apply(peer, probe)
    reply = encode(ProbeReply(gossip_entries(peer, ENTRIES_BUDGET_BYTES), (), 1), 1)
    _apply(table, reply)
    return len(probe) + len(reply)


def _apply(table: MemberTable, data: bytes) -> None:
    message = decode(data).ok.message
    assert isinstance(message, Probe | ProbeReply)
    apply_gossip(table, message.entries, 0.0)


def _states(rng: random.Random) -> Iterator[Measure]:
    """Measure memory per member, and the time to publish a snapshot."""
    for count in MEMBER_COUNTS:
        variant = f"{count}-members"
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        table = _table(count, rng)
        held, _ = tracemalloc.get_traced_memory()
        snapshot = take_snapshot(table.own, table.entries(), ())
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del snapshot
        yield Measure("table_bytes", variant, (held - before) / count, "bytes/member")
        size = (after - held) / count
        yield Measure("snapshot_bytes", variant, size, "bytes/member")

        def publish(table: MemberTable = table) -> None:
            take_snapshot(table.own, table.entries(), ())

        yield Measure("snapshot_cpu", variant, _time_us(publish), "us")
        full = Probe(membership.full_entries(table, 10**6), (), 1, 1)
        yield Measure("join_reply_bytes", variant, len(encode(full)), "bytes")


def _progress_messages(rng: random.Random) -> Iterator[Measure]:
    """Measure a progress message and its answer by the number of its tokens."""
    for count in TOKEN_COUNTS:
        texts = (TOKEN_TEXT,) * count
        item = ProgressItem("0123456789.0123456789.0123456789abcdef", 1, 0, texts)
        message = Progress((item,))
        size = len(encode(message, 10**6, (10**12, 0)))
        variant = f"{count}-tokens"
        yield Measure("progress_bytes", variant, size, "bytes/message")
        yield Measure("progress_bytes_per_token", variant, size / count, "bytes/token")

        def handle(message: Progress = message, item: ProgressItem = item) -> None:
            store = _store(item.request_id)
            received = decode(encode(message, 1)).ok.message
            assert isinstance(received, Progress)
            acks = tuple(store.progress(i, 0.0) for i in received.items)
            decode(encode(ProgressReply(acks), 1))

        cost = _time_us(handle)
        yield Measure("progress_cpu", variant, cost, "us/message")
        yield Measure("progress_cpu_per_token", variant, cost / count, "us/token")


def _store(request_id: str) -> CopyStore:
    store = CopyStore(10**7)
    binding = Binding("grabhandle", "counter", "0" * 64)
    copy = CopiedRequest(request_id, 1, binding, 0.0, "parts", b"")
    store.put(copy, _address(0), 0.0)
    return store


def _time_us(action: Callable[[], None]) -> float:
    start_s = time.process_time()
    for _ in range(ROUNDS):
        action()
    return (time.process_time() - start_s) / ROUNDS * MICROSECONDS


def _connections(rng: random.Random) -> Iterator[Measure]:
    """Measure requests and streams over loopback sockets."""
    yield from _socket_rounds("open-connection", 60.0, rng)
    yield from _socket_rounds("new-connection", IDLE_S, rng)
    yield from _streams(rng)


def _peers(n: int, rng: random.Random, idle_s: float = 60.0) -> Peers:
    place = NodeAddress(f"entry-{n:04d}", "1", "grabhandle", "dc-1", "127.0.0.1", 0)
    stamps = StampClock()
    settings = PeerSettings(place, b"secret of the measurement", idle_s=idle_s)
    return Peers(settings, EventLog(place.name, stamps.stamp), stamps, rng)


def _socket_rounds(
    variant: str, idle_s: float, rng: random.Random
) -> Iterator[Measure]:
    """Measure the processor time of both sides of a probe with full gossip."""
    table = _table(380, rng)
    entries = membership.full_entries(table, ENTRIES_BUDGET_BYTES)
    server, client = _peers(1, rng), _peers(2, rng, idle_s)
    reply = ProbeReply(entries, (), 1)
    server.handle(Probe, lambda inbound: inbound.reply(reply), pooled=False)
    server.start()
    client.start()
    pause = threading.Event()
    probe = Probe(entries, (), 1, 380)
    client.request(server.address, probe, WAIT_S)
    start_s = time.process_time()
    for _ in range(SOCKET_ROUNDS):
        client.request(server.address, probe, WAIT_S)
        pause.wait(PAUSE_S)
    spent_s = time.process_time() - start_s
    counts = [*client.traffic().sent.values(), *client.traffic().received.values()]
    hellos = client.traffic().sent["hello"].messages
    client.stop()
    server.stop()
    yield Measure(
        "probe_socket_cpu", variant, spent_s / SOCKET_ROUNDS * MICROSECONDS, "us"
    )
    size = sum(c.frame_bytes for c in counts) / (SOCKET_ROUNDS + 1)
    yield Measure("probe_socket_bytes", variant, size, "bytes")
    yield Measure("probe_socket_handshakes", variant, hellos, "handshakes")


def _streams(rng: random.Random) -> Iterator[Measure]:
    """Measure streams of one owner that send progress to one holder."""
    owner, holder = _peers(1, rng), _peers(2, rng)
    stores = {str(n): _store(str(n)) for n in range(STREAMS)}

    def hold(inbound: Inbound[Progress]) -> None:
        items = inbound.message.items
        acks = tuple(stores[i.request_id].progress(i, 0.0) for i in items)
        inbound.reply(ProgressReply(acks))

    holder.handle(Progress, hold, pooled=False)
    holder.start()
    owner.start()
    sender = ProgressSender(owner, EventLog("owner", lambda: (0, 0)))
    left = threading.Semaphore(0)

    def listen(event: ProgressEvent) -> None:
        if isinstance(event, Acked) and event.done:
            left.release()

    for request_id in stores:
        sender.track(request_id, 1, holder.address, 0, listen)
    cpu_s, start_s = time.process_time(), time.monotonic()
    for sent in range(0, STREAM_TOKENS, STREAM_BURST):
        done = sent + STREAM_BURST >= STREAM_TOKENS
        for request_id in stores:
            sender.add(request_id, [TOKEN_TEXT] * STREAM_BURST, done)
    for _ in stores:
        assert left.acquire(timeout=WAIT_S), "a stream did not end"
    tokens = STREAMS * STREAM_TOKENS
    spent_s, wall_s = time.process_time() - cpu_s, time.monotonic() - start_s
    counts = owner.traffic().sent["progress"]
    owner.stop()
    holder.stop()
    variant = f"{STREAMS}-streams"
    yield Measure("stream_cpu", variant, spent_s / tokens * MICROSECONDS, "us/token")
    yield Measure("stream_rate", variant, tokens / wall_s, "tokens/s")
    yield Measure("stream_bytes", variant, counts.frame_bytes / tokens, "bytes/token")
    batch = tokens / counts.messages
    yield Measure("stream_batch", variant, batch, "tokens/message")


if __name__ == "__main__":
    raise SystemExit(main())
