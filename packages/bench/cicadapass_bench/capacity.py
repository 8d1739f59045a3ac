"""Measure how costs grow with size and project them to the planned size.

docs/CAPACITY.md quotes the results.
"""

import argparse
import sys
import tempfile
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from functools import partial
from pathlib import Path

from cicadapass_bench import slopes_claims, slopes_peers
from cicadapass_bench.capacity_claims import measure_claims
from cicadapass_bench.capacity_copies import measure_copies, measure_hand_over
from cicadapass_bench.capacity_fleet import measure_fleet
from cicadapass_bench.capacity_load import measure_load
from cicadapass_bench.capacity_nodes import measure_engines, measure_nodes
from cicadapass_bench.capacity_output import Output
from cicadapass_bench.capacity_plan import PlannedSize
from cicadapass_bench.capacity_tables import (
    measure_documents,
    measure_in_flight,
    measure_reads,
    measure_table,
)
from cicadapass_bench.processes import ProcessGroup, process_group

MeasureGroup = Callable[[Output, PlannedSize, bool], None]


def main(argv: Sequence[str] | None = None) -> int:
    """Print the measures of the selected groups as JSON lines."""
    parser = argparse.ArgumentParser(prog="python -m cicadapass_bench.capacity")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="small sizes, no accuracy")
    parser.add_argument("--only", choices=list(MEASURE_GROUPS), action="append")
    arguments = parser.parse_args(argv)
    output = Output(arguments.seed)
    for name in arguments.only or MEASURE_GROUPS:
        MEASURE_GROUPS[name](output, PlannedSize(), arguments.quick)
    return 0


@contextmanager
def _temporary_processes() -> Iterator[ProcessGroup]:
    with (
        tempfile.TemporaryDirectory(prefix="cicadapass-") as directory,
        process_group(Path(directory)) as group,
    ):
        yield group


def _documents(output: Output, plan: PlannedSize, quick: bool) -> None:
    measure_documents(output, plan)


def _table(output: Output, plan: PlannedSize, quick: bool) -> None:
    measure_table(output, plan)
    measure_in_flight(output, plan)


def _reads(output: Output, plan: PlannedSize, quick: bool) -> None:
    with _temporary_processes() as group:
        measure_reads(output, plan, group, quick=quick)


def _copies(output: Output, plan: PlannedSize, quick: bool) -> None:
    measure_copies(output, quick=quick)
    measure_hand_over(output, plan, quick=quick)


def _claims(output: Output, plan: PlannedSize, quick: bool) -> None:
    with _temporary_processes() as group:
        measure_claims(output, plan, group, quick=quick)


def _fleet(output: Output, plan: PlannedSize, quick: bool) -> None:
    measure_fleet(output, plan)


def _nodes(output: Output, plan: PlannedSize, quick: bool) -> None:
    measure_nodes(output, plan, quick=quick)


def _engines(output: Output, plan: PlannedSize, quick: bool) -> None:
    measure_engines(output, plan, quick=quick)


def _load(output: Output, plan: PlannedSize, quick: bool) -> None:
    measure_load(output, plan, quick=quick)


def _run_separate_bench(
    main_of_bench: Callable[[Sequence[str]], object],
    output: Output,
    plan: PlannedSize,
    quick: bool,
) -> None:
    # These benchmarks have no quick mode and take most of a minute.
    if not quick:
        main_of_bench(["--seed", str(output.seed)])


MEASURE_GROUPS: dict[str, MeasureGroup] = {
    "documents": _documents,
    "table": _table,
    "reads": _reads,
    "copies": _copies,
    "fleet": _fleet,
    "claims": _claims,
    "engines": _engines,
    "nodes": _nodes,
    "load": _load,
    "index": partial(_run_separate_bench, slopes_claims.main),
    "members": partial(_run_separate_bench, slopes_peers.main),
}

if __name__ == "__main__":
    sys.exit(main())
