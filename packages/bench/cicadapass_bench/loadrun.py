"""Start load processes for a running system and merge their results."""

import itertools
import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from cicadapass_bench.histograms import Latencies
from cicadapass_bench.loadclient import LoadSpec, process_arguments
from cicadapass_bench.processes import Process, ProcessGroup

# Longer than any load runs.
RESULT_TIMEOUT_S = 120.0

_process_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class CallResult:
    """Represent the results of non-streamed calls."""

    latencies: Latencies
    failed: int


@dataclass(frozen=True, slots=True)
class StreamResult:
    """Represent the results of streams; the CPU time is that of the busiest client."""

    tokens_per_s: float
    ended: int
    broken: int
    first_token: Latencies
    gaps: Latencies
    client_cpu_s: float


def start(group: ProcessGroup, loads: Sequence[LoadSpec]) -> list[Process]:
    """Start one process for each load; return without waiting for results."""
    return [
        group.start(f"load-{next(_process_numbers)}", process_arguments(load))
        for load in loads
    ]


def call_result(processes: Sequence[Process]) -> CallResult:
    """Wait for the processes and merge the results of their calls."""
    latencies = Latencies()
    failed = 0
    for document in _read_results(processes):
        latencies.add_encoded(document["latencies"])
        failed += document["failed"]
    return CallResult(latencies, failed)


def stream_result(processes: Sequence[Process]) -> StreamResult:
    """Wait for the processes and merge the results of their streams."""
    first_token, gaps = Latencies(), Latencies()
    documents = _read_results(processes)
    for document in documents:
        first_token.add_encoded(document["first_token"])
        gaps.add_encoded(document["gaps"])
    return StreamResult(
        tokens_per_s=sum(
            document["tokens"] / document["window_s"] for document in documents
        ),
        ended=sum(document["ended"] for document in documents),
        broken=sum(document["broken"] for document in documents),
        first_token=first_token,
        gaps=gaps,
        client_cpu_s=max(document["cpu_s"] for document in documents),
    )


def print_measure(
    measure: str, variant: str, value: float, unit: str, seed: int
) -> None:
    """Print one measured value as a JSON line."""
    document = {
        "measure": measure,
        "variant": variant,
        "value": round(value, 3),
        "unit": unit,
        "seed": seed,
    }
    print(json.dumps(document), flush=True)


def _read_results(processes: Sequence[Process]) -> list[dict[str, Any]]:
    documents = [process.read_addresses(RESULT_TIMEOUT_S) for process in processes]
    for process in processes:
        process.wait(10.0)
    return documents
