"""Measure the cost of documents, upstream tables and load reports for a node."""

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from cicadapass.configuration import upstreams_of
from cicadapass.engines import EngineClient
from cicadapass.upstreamhttp import Timeouts, new_pool
from cicadapass.upstreamreaders import http_readers
from cicadapass.upstreamtable import LoadReading, UpstreamConfig, UpstreamTable
from cicadapass.upstreamtracker import UpstreamTracker
from cicadapass_bench.capacity_output import Output
from cicadapass_bench.capacity_plan import PlannedSize
from cicadapass_bench.processes import ProcessGroup
from cicadapass_common.messages import InFlight, InFlightCount
from cicadapass_common.records import decode_record, encode_record
from cicadapass_common.wire import decode, encode
from cicadapass_decisions.fold import FoldState, fold, skip_to
from cicadapass_decisions.inventory import parse_inventory
from cicadapass_decisions.logrecords import LogRecord, Publish
from cicadapass_decisions.policy import PrefixRules

UPSTREAM_COUNTS = (50, 350, 1_400)
IN_FLIGHT_UPSTREAM_COUNTS = (10, 50, 140)
READS = 1_000
QUICK_READS = 100
REPEATS = 5
DATA_CENTRE_COUNT = 10

Rows = dict[str, list[tuple[float, float]]]


def build_document(upstreams: int, rng: random.Random) -> dict[str, Any]:
    """Return a valid inventory with this number of engines in ten data centres."""
    names = [f"dc-{n:02}" for n in range(DATA_CENTRE_COUNT)]
    entries = {
        f"parts-{names[n % DATA_CENTRE_COUNT]}-{n:04}": {
            "service": "parts",
            "data_centre": names[n % DATA_CENTRE_COUNT],
            "url": f"http://10.{n // 250}.{n % 250}.{rng.randrange(250)}:9000",
            "slots": rng.choice([4, 8, 16]),
            "class": rng.choice(["l4", "a100", "h100"]),
            "reclaimable": rng.random() < 0.59,
            "price_per_hour": round(rng.uniform(0.5, 4.0), 2),
            "checks_fencing": rng.random() < 0.5,
        }
        for n in range(upstreams)
    }
    fleet = {
        "region": "eu-west",
        "data_centres": {name: {"hop_ms": 1.2, "client_ms": 2.4} for name in names},
        "services": {"parts": {"kind": "model", "model": "parts-1"}},
        "upstreams": entries,
        "workspaces": {},
    }
    return {"format": 1, "fleets": {"grabhandle": fleet}}


def measure_documents(output: Output, plan: PlannedSize) -> None:
    """Measure a publish: record size, decoding, validation and folding."""
    rows: Rows = {}
    for count in UPSTREAM_COUNTS:
        _add_row(rows, count, _document_costs(count, output.seed))
    _project(output, rows, plan)
    record_bytes = output.fits["publish_record_bytes"].value_at(plan.engines)
    daily_bytes = record_bytes * plan.publishes_per_day
    output.value("log_bytes_per_day", "publishes, projected", daily_bytes, "B")
    bytes_per_s = plan.publish_bytes_per_s(record_bytes)
    output.value("publish_bytes_per_s", "a node, projected", bytes_per_s, "B/s")


def _document_costs(upstreams: int, seed: int) -> dict[str, float]:
    document = build_document(upstreams, random.Random(seed))
    publish = Publish("id", -1, "op", document)
    data = encode_record(publish).ok
    record = LogRecord(0, 0.0, publish)
    empty = skip_to(FoldState(), 0)
    text = json.dumps(document).encode()
    return {
        "publish_record_bytes": len(data),
        "publish_decode_ms": _min_cpu_ms(lambda: decode_record(data)),
        "publish_parse_ms": _min_cpu_ms(lambda: parse_inventory(document)),
        "publish_fold_ms": _min_cpu_ms(lambda: fold(empty, record, parse_inventory)),
        "inventory_bytes": _traced_bytes(lambda: parse_inventory(document).ok),
        "document_bytes": _traced_bytes(lambda: json.loads(text)),
    }


def measure_table(output: Output, plan: PlannedSize) -> None:
    """Measure the memory of the upstream table and the time to update it."""
    rows: Rows = {}
    for count in UPSTREAM_COUNTS:
        _add_row(rows, count, _table_costs(count, output.seed))
    _project(output, rows, plan)


def _table_costs(upstreams: int, seed: int) -> dict[str, float]:
    document = build_document(upstreams, random.Random(seed))
    inventory = parse_inventory(document).ok
    configured = upstreams_of(inventory, "grabhandle", "dc-00")
    tracker = UpstreamTracker(configured.policy)

    def fill_table() -> UpstreamTable:
        tracker.configure(configured.configs, configured.policy)
        for config in configured.configs:
            tracker.on_report(config.name, LoadReading(3, 0, 8, incarnation="1"), 0.0)
        tracker.update_health()
        return tracker.table(0.0, False)

    return {
        "upstream_table_bytes": _traced_bytes(fill_table),
        "upstream_publish_ms": _min_cpu_ms(lambda: tracker.table(0.0, False)),
        "upstream_judge_ms": _min_cpu_ms(tracker.update_health),
    }


def measure_in_flight(output: Output, plan: PlannedSize) -> None:
    """Measure the message that reports in-flight requests to other nodes."""
    rows: Rows = {}
    for count in IN_FLIGHT_UPSTREAM_COUNTS:
        _add_row(rows, count, _in_flight_costs(count))
    _project(output, rows, PlannedSize(engines=plan.engines // plan.data_centres))


def _in_flight_costs(upstreams: int) -> dict[str, float]:
    counts = [
        InFlightCount(f"grabhandle/parts-dc-00-{n:04}", 1, 0, 130.0)
        for n in range(upstreams)
    ]
    data = encode(InFlight(tuple(counts)))
    return {
        "in_flight_bytes": len(data),
        "in_flight_decode_ms": _min_cpu_ms(lambda: decode(data)),
    }


def _add_row(rows: Rows, size: float, costs: dict[str, float]) -> None:
    for name, value in costs.items():
        rows.setdefault(name, []).append((size, value))


def _project(output: Output, rows: Rows, plan: PlannedSize) -> None:
    for name, pairs in rows.items():
        unit = "ms" if name.endswith("_ms") else "B"
        output.series(name, "upstreams", pairs, unit)
        output.projected(name, plan.engines, unit)


def measure_reads(
    output: Output, plan: PlannedSize, group: ProcessGroup, *, quick: bool
) -> None:
    """Measure reads of load reports and cache events, on the node and the engine."""
    command = ["-m", "cicadapass_standins.engine", "--slots", "8"]
    [engine] = group.start_all([("report-engine", command)])
    config = UpstreamConfig("e", "s", "d", str(engine.addresses["url"]), 8)
    readers = http_readers(EngineClient(new_pool(1), Timeouts()), PrefixRules())
    assert readers.read_cache is not None
    read_cache = readers.read_cache
    sizes = (QUICK_READS // 4, QUICK_READS // 2, QUICK_READS) if quick else ()
    sizes = sizes or (READS // 4, READS // 2, READS)
    actions: dict[str, Callable[[], object]] = {
        "report_read": lambda: readers.read_load(config),
        "cache_read": lambda: read_cache(config, 0),
    }
    for name, action in actions.items():
        node_times, engine_times = [], []
        for count in sizes:
            node_before_s, engine_before_s = time.process_time(), engine.cpu_s()
            for _ in range(count):
                action()
            node_times.append((count, 1e3 * (time.process_time() - node_before_s)))
            engine_times.append((count, 1e3 * (engine.cpu_s() - engine_before_s)))
        node_fit = output.series(f"{name}_node_ms", "reads", node_times, "ms")
        engine_fit = output.series(f"{name}_engine_ms", "reads", engine_times, "ms")
        cores = node_fit.slope * plan.engine_reads_per_s / 1e3
        output.value(f"{name}_cores", "a node reads all engines", cores, "cores")
        cores = engine_fit.slope * plan.nodes / plan.report_interval_s / 1e3
        output.value(f"{name}_cores", "stand-in engine read by all", cores, "cores")
    _measure_new_connections(output, config, sizes)


def _measure_new_connections(
    output: Output, config: UpstreamConfig, sizes: tuple[int, ...]
) -> None:
    """Measure reads with a new connection each, as for hosts beyond the pool's 64."""
    pairs = []
    for count in sizes:
        started_s = time.process_time()
        for _ in range(count):
            readers = http_readers(EngineClient(new_pool(1), Timeouts()), PrefixRules())
            readers.read_load(config)
        pairs.append((count, 1e3 * (time.process_time() - started_s)))
    output.series("report_read_new_connection_ms", "reads", pairs, "ms")


def _min_cpu_ms(action: Callable[[], object]) -> float:
    """Return the smallest processor time of several runs."""
    times_s = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        action()
        times_s.append(time.process_time() - started_s)
    return 1e3 * min(times_s)


def _traced_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that are allocated for the built object."""
    tracemalloc.start()
    result = build()
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return traced_bytes
