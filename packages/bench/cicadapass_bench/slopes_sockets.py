"""Measure probes, connections and progress over loopback sockets."""

import random
import threading
import time
import tracemalloc
from collections.abc import Iterator
from dataclasses import replace

from cicadapass.membertracker import ENTRIES_BUDGET_BYTES
from cicadapass.peers import Inbound, Peers
from cicadapass.peerstate import PeerSettings
from cicadapass.progress import Acknowledged, ProgressEvent, ProgressSender
from cicadapass_bench.peerfixtures import (
    MICROSECONDS,
    TOKEN_TEXT,
    Measure,
    build_table,
    store_with_copy,
)
from cicadapass_common.copymessages import Progress, ProgressReply
from cicadapass_common.events import EventLog
from cicadapass_common.messages import Probe, ProbeReply
from cicadapass_common.stamps import HybridClock
from cicadapass_decisions.gossip import all_entries
from cicadapass_decisions.types import NodeAddress

SOCKET_ROUNDS = 100
IDLE_S = 0.005
# Longer than IDLE_S, so that an idle connection is closed before the next round.
ROUND_INTERVAL_S = 0.02
STREAMS = 100
STREAM_TOKENS = 200
# One of 380 nodes at 2 million tokens per second in total.
TOKENS_PER_S = 5300.0
HOLDER_COUNTS = (1, 2, 30)
TIMEOUT_S = 60.0


def measure_connections(rng: random.Random) -> Iterator[Measure]:
    """Yield the measures with open and new connections, then those of streams."""
    yield from _socket_rounds("open-connection", 60.0, rng)
    yield from _socket_rounds("new-connection", IDLE_S, rng)
    yield from _connection_memory(rng)
    yield from _streams(rng)


def _new_peers(n: int, rng: random.Random, idle_s: float = 60.0) -> Peers:
    address = NodeAddress(f"entry-{n:04d}", "1", "grabhandle", "dc-1", "127.0.0.1", 0)
    stamps = HybridClock()
    settings = PeerSettings(address, b"secret of the measurement", idle_s=idle_s)
    return Peers(settings, EventLog(address.name, stamps.stamp), stamps, rng)


def _socket_rounds(
    variant: str, idle_s: float, rng: random.Random
) -> Iterator[Measure]:
    """Measure a probe with full gossip; the processor time is that of both sides."""
    table = build_table(380, rng)
    entries = all_entries(table, ENTRIES_BUDGET_BYTES)
    server, client = _new_peers(1, rng), _new_peers(2, rng, idle_s)
    reply = ProbeReply(entries, (), 1)
    server.handle(Probe, lambda inbound: inbound.reply(reply), pooled=False)
    server.start()
    client.start()
    timer = threading.Event()
    probe = Probe(entries, (), 1, 380)
    client.request(server.address, probe, TIMEOUT_S)
    start_s = time.process_time()
    for _ in range(SOCKET_ROUNDS):
        client.request(server.address, probe, TIMEOUT_S)
        timer.wait(ROUND_INTERVAL_S)
    spent_s = time.process_time() - start_s
    counts = [*client.traffic().sent.values(), *client.traffic().received.values()]
    hellos = client.traffic().sent["hello"].messages
    client.stop()
    server.stop()
    yield Measure(
        "probe_socket_cpu", variant, spent_s / SOCKET_ROUNDS * MICROSECONDS, "us"
    )
    size = sum(count.frame_bytes for count in counts) / (SOCKET_ROUNDS + 1)
    yield Measure("probe_socket_bytes", variant, size, "bytes")
    yield Measure("probe_socket_handshakes", variant, hellos, "handshakes")


def _connection_memory(rng: random.Random) -> Iterator[Measure]:
    """Measure the memory of an open connection, both ends together."""
    server, client = _new_peers(1, rng), _new_peers(2, rng)
    reply = ProbeReply((), (), 1)
    server.handle(Probe, lambda inbound: inbound.reply(reply), pooled=False)
    server.start()
    client.start()
    # The identity of a target without a name is not checked, and each incarnation
    # gets its own connection.
    targets = [replace(server.address, name="", incarnation=str(n)) for n in range(41)]
    client.request(targets.pop(), Probe((), (), 1, 1), TIMEOUT_S)
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    for target in targets:
        client.request(target, Probe((), (), 1, 1), TIMEOUT_S)
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    client.stop()
    server.stop()
    size = (after_bytes - before_bytes) / len(targets)
    yield Measure("connection_bytes", "both-ends", size, "bytes/connection")


def _streams(rng: random.Random) -> Iterator[Measure]:
    """Measure streams at a constant rate, by the number of holders."""
    for holders in HOLDER_COUNTS:
        yield from _paced_streams(holders, rng)


def _paced_streams(holders: int, rng: random.Random) -> Iterator[Measure]:
    stores = {str(n): store_with_copy(str(n)) for n in range(STREAMS)}

    def store_progress(inbound: Inbound[Progress]) -> None:
        items = inbound.message.items
        acks = tuple(stores[i.request_id].progress(i, 0.0) for i in items)
        inbound.reply(ProgressReply(acks))

    nodes = [_new_peers(n, rng) for n in range(holders + 1)]
    owner, receivers = nodes[0], nodes[1:]
    for receiver in receivers:
        receiver.handle(Progress, store_progress, pooled=False)
    for node in nodes:
        node.start()
    events = EventLog("owner", lambda: (0, 0))
    sender = ProgressSender(owner, events)
    finished = threading.Semaphore(0)

    def on_event(event: ProgressEvent) -> None:
        if isinstance(event, Acknowledged) and event.done:
            finished.release()

    for n, request_id in enumerate(stores):
        target = receivers[n % holders].address
        sender.track(request_id, 1, target, 0, on_event)
    cpu_started_s, start_s = time.process_time(), time.monotonic()
    _produce(sender, list(stores))
    for _ in stores:
        assert finished.acquire(timeout=TIMEOUT_S), (
            f"stream not acknowledged in {TIMEOUT_S:g} s"
        )
    tokens = STREAMS * STREAM_TOKENS
    spent_s, wall_s = time.process_time() - cpu_started_s, time.monotonic() - start_s
    counts = owner.traffic().sent["progress"]
    for node in nodes:
        node.stop()
    variant = f"{STREAMS}-streams-{holders}-holders"
    yield Measure("stream_rate", variant, tokens / wall_s, "tokens/s")
    # Both sides run in this process, because a node is both an owner and a holder.
    yield Measure("stream_cpu", variant, spent_s / tokens * MICROSECONDS, "us/token")
    size = counts.frame_bytes / tokens
    yield Measure("stream_bytes", variant, size, "bytes/token")
    batch = tokens / counts.messages
    yield Measure("stream_batch", variant, batch, "tokens/message")


def _produce(sender: ProgressSender, request_ids: list[str]) -> None:
    """Add one token to each stream in rotation, at TOKENS_PER_S in total."""
    timer = threading.Event()
    start_s = time.monotonic()
    total = len(request_ids) * STREAM_TOKENS
    for n in range(total):
        wait_s = start_s + n / TOKENS_PER_S - time.monotonic()
        if wait_s > 0:
            timer.wait(wait_s)
        done = n >= total - len(request_ids)
        sender.add(request_ids[n % len(request_ids)], [TOKEN_TEXT], done)
