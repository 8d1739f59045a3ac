"""Measure the cost of membership and progress by number of members and tokens."""

import argparse
import logging
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence

from cicadapass.membersnapshot import build_snapshot
from cicadapass.membertracker import ENTRIES_BUDGET_BYTES
from cicadapass_bench.peerfixtures import (
    MICROSECONDS,
    TOKEN_TEXT,
    Measure,
    address,
    build_table,
    quiet_table,
    store_with_copy,
)
from cicadapass_bench.slopes_sockets import measure_connections
from cicadapass_common.copymessages import Progress, ProgressItem, ProgressReply
from cicadapass_common.messages import Probe, ProbeReply
from cicadapass_common.wire import decode, encode
from cicadapass_decisions.gossip import all_entries, gossip_entries
from cicadapass_decisions.membership import (
    GossipEntry,
    MemberState,
    MemberTable,
    apply_gossip,
    choose_probe_target,
    on_replaced,
)
from cicadapass_decisions.types import VmId

MEMBER_COUNTS = (10, 40, 120, 380)
TOKEN_COUNTS = (1, 8, 64, 512)
ROUNDS = 400
WARM_UP_PER_MEMBER = 4


def main(argv: Sequence[str] | None = None) -> int:
    """Print all measures as JSON lines."""
    parser = argparse.ArgumentParser(prog="python -m cicadapass_bench.slopes_peers")
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(argv).seed
    logging.disable(logging.CRITICAL)
    for measures in (
        _probe_rounds,
        _dissemination_rounds,
        _measure_snapshots,
        _progress_messages,
        measure_connections,
    ):
        for measure in measures(random.Random(seed)):
            print(measure.to_json(seed), flush=True)
    return 0


def _probe_rounds(rng: random.Random) -> Iterator[Measure]:
    """Measure one probe and its reply, encoded and decoded without sockets."""
    for count in MEMBER_COUNTS:
        table, peer = build_table(count, rng), build_table(count, rng)
        for variant, change_each_round in (
            ("quiet", False),
            ("change-each-round", True),
        ):
            # Each new entry is sent up to 24 times before it leaves the gossip.
            for _ in range(WARM_UP_PER_MEMBER * count):
                _exchange(table, peer)
            sizes = []
            start_s = time.process_time()
            for n in range(ROUNDS):
                if change_each_round:
                    _change_entry(table, n % count, n)
                sizes.append(_exchange(table, peer))
            spent_s = time.process_time() - start_s
            name = f"{count}-members-{variant}"
            # The cost includes both sides; a node runs each of them once per second.
            cost = spent_s / ROUNDS * MICROSECONDS
            yield Measure("probe_round_cpu", name, cost, "us")
            # Each second a node sends one probe and answers one: two exchanges.
            mean = 2 * sum(sizes) / len(sizes)
            yield Measure("probe_round_bytes", name, mean, "bytes")


def _dissemination_rounds(rng: random.Random) -> Iterator[Measure]:
    """Measure the seconds until gossip alone has reported a failure to all members."""
    for count in MEMBER_COUNTS:
        tables = [quiet_table(n, count) for n in range(count)]
        gone_vm = address(0).vm
        on_replaced(tables[1], gone_vm, 0.0)
        rounds = 0
        while not all(_is_gone(table, gone_vm) for table in tables[1:]):
            rounds += 1
            for n in rng.sample(range(1, count), count - 1):
                target = choose_probe_target(tables[n], rng)
                number = int(target.name.removeprefix("entry-")) if target else 0
                if number:
                    _exchange_entries(tables[n], tables[number])
        yield Measure("spread_rounds", f"{count}-members", rounds, "s")


def _is_gone(table: MemberTable, gone_vm: VmId) -> bool:
    return table.members[gone_vm].entry.state is MemberState.GONE


def _exchange_entries(table: MemberTable, peer: MemberTable) -> None:
    apply_gossip(peer, gossip_entries(table, ENTRIES_BUDGET_BYTES), 0.0)
    apply_gossip(table, gossip_entries(peer, ENTRIES_BUDGET_BYTES), 0.0)


def _change_entry(table: MemberTable, n: int, round_number: int) -> None:
    vm = address(n).vm
    entry = table.members[vm].entry
    state = MemberState.ALIVE
    changed = GossipEntry(
        entry.address,
        state,
        round_number + 1,
        entry.hint_version,
        entry.config_offset,
        0,
    )
    apply_gossip(table, (changed,), 0.0)


def _exchange(table: MemberTable, peer: MemberTable) -> int:
    """Exchange a probe and its reply; return the size of both frames in bytes."""
    probe = encode(Probe(gossip_entries(table, ENTRIES_BUDGET_BYTES), (), 1, 1), 1)
    _apply(peer, probe)
    reply = encode(ProbeReply(gossip_entries(peer, ENTRIES_BUDGET_BYTES), (), 1), 1)
    _apply(table, reply)
    return len(probe) + len(reply)


def _apply(table: MemberTable, data: bytes) -> None:
    message = decode(data).ok.message
    assert isinstance(message, Probe | ProbeReply)
    apply_gossip(table, message.entries, 0.0)


def _measure_snapshots(rng: random.Random) -> Iterator[Measure]:
    """Measure memory per member, the snapshot time and the size of a join reply."""
    for count in MEMBER_COUNTS:
        variant = f"{count}-members"
        tracemalloc.start()
        before_bytes, _ = tracemalloc.get_traced_memory()
        table = build_table(count, rng)
        with_table_bytes, _ = tracemalloc.get_traced_memory()
        snapshot = build_snapshot(table.local, table.entries(), ())
        with_snapshot_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del snapshot
        yield Measure(
            "table_bytes",
            variant,
            (with_table_bytes - before_bytes) / count,
            "bytes/member",
        )
        size = (with_snapshot_bytes - with_table_bytes) / count
        yield Measure("snapshot_bytes", variant, size, "bytes/member")

        def publish(table: MemberTable = table) -> None:
            build_snapshot(table.local, table.entries(), ())

        yield Measure("snapshot_cpu", variant, _time_us(publish), "us")
        join_reply = Probe(all_entries(table, 10**6), (), 1, 1)
        yield Measure("join_reply_bytes", variant, len(encode(join_reply)), "bytes")


def _progress_messages(rng: random.Random) -> Iterator[Measure]:
    """Measure a progress message and its reply by the number of tokens."""
    for count in TOKEN_COUNTS:
        texts = (TOKEN_TEXT,) * count
        item = ProgressItem("0123456789.0123456789.0123456789abcdef", 1, 0, texts)
        message = Progress((item,))
        size = len(encode(message, 10**6, (10**12, 0)))
        variant = f"{count}-tokens"
        yield Measure("progress_bytes", variant, size, "bytes/message")
        yield Measure("progress_bytes_per_token", variant, size / count, "bytes/token")

        def handle(message: Progress = message, item: ProgressItem = item) -> None:
            store = store_with_copy(item.request_id)
            received = decode(encode(message, 1)).ok.message
            assert isinstance(received, Progress)
            acks = tuple(store.progress(i, 0.0) for i in received.items)
            decode(encode(ProgressReply(acks), 1))

        cost = _time_us(handle)
        yield Measure("progress_cpu", variant, cost, "us/message")
        yield Measure("progress_cpu_per_token", variant, cost / count, "us/token")


def _time_us(action: Callable[[], None]) -> float:
    start_s = time.process_time()
    for _ in range(ROUNDS):
        action()
    return (time.process_time() - start_s) / ROUNDS * MICROSECONDS


if __name__ == "__main__":
    raise SystemExit(main())
