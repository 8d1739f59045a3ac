"""Run the fault matrix: inject each fault at each step and check all guarantees.

python -m cicadapass_bench.matrix [--quick] [--step S] [--fault F] [--seed N]
"""

import argparse
import random
import signal
import sys
import time
import zlib
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, replace
from pathlib import Path

import urllib3

from cicadapass_bench.matrix_checks import PlannedStop, broken_guarantees
from cicadapass_bench.matrix_faults import (
    FAULTS,
    GRACEFUL_STOP_FAULTS,
    NODE_LOSS_FAULTS,
)
from cicadapass_bench.matrix_load import CellLoad
from cicadapass_bench.matrix_steps import NOT_RUN_STEPS, STEPS, Cell
from cicadapass_bench.matrix_world import MatrixWorld, matrix_world
from cicadapass_bench.world import NodeProcess, NotReady

KNOWN_RED_PATH = Path("KNOWN-RED.txt")
ENTRY_PREFIX = "matrix: "
GUARANTEES = ("P1", "P2", "P3", "P4", "P5", "P6", "P7")
STOP_TIMEOUT_S = 30.0
# Delay from the start of a fault to the release of its step.
RELEASE_DELAY_S = 0.5
# After a node was killed, a returning caller must receive more within this time.
MAX_RETURN_S = 2.0
# These steps block nothing that the remaining answer depends on.
STREAMING_STEPS = frozenset({"first-token", "mid-stream", "last-token"})
# These steps already remove one node.
NODE_REMOVING_STEPS = frozenset({"drain", "hand-over", "take-over"})
TWO_NODE_FAULTS = frozenset({"two-data-centres", "fault-twice"})
# Faults that can make the node with the only copy of a request unreachable.
UNREACHABLE_NODE_FAULTS = frozenset({"node-frozen", "reclaimed", "cut-from-peers"})
# Cells that find faults most often, or that alone cover a guarantee.
QUICK_CELLS = (
    ("mid-stream", "node-killed"),
    ("claim", "node-killed"),
    ("answer", "node-killed"),
    ("mid-stream", "upstream-killed"),
    ("send", "upstream-truncating"),
    ("claim", "log-answer-lost"),
    ("publish-read-back", "two-operators"),
    ("publish-in-force", "cut-from-log"),
    ("mid-stream", "cut-from-peers"),
    ("drain", "vm-list-stale"),
    ("mid-stream", "reclaimed"),
    ("copy", "node-killed"),
)


@dataclass(frozen=True, slots=True)
class CellResult:
    """Represent the result of one cell."""

    step: str
    fault: str
    seed: int
    verdict: str
    guarantees: tuple[str, ...] = ()
    details: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Return the line that the command prints for the cell."""
        guarantees = ",".join(self.guarantees) or "-"
        line = f"step={self.step} fault={self.fault} guarantee={guarantees}"
        return f"{line} verdict={self.verdict} seed={self.seed}"


def run_cell(world: MatrixWorld, step: str, fault: str, seed: int) -> CellResult:
    """Run one cell on a healed system and return its result."""
    if step in NODE_REMOVING_STEPS and fault in TWO_NODE_FAULTS:
        reason = "no node would be left"
        return CellResult(step, fault, seed, "not-applicable", details=(reason,))
    rng = random.Random(zlib.crc32(f"{step} {fault} {seed}".encode()))
    load = CellLoad(world, rng)
    nodes = sorted(world.nodes, key=lambda node: node.data_centre)
    cell = Cell(world, load, rng, rng.choice(nodes), rng.choice(world.engines))
    load.outcome.nodes_lost = fault in NODE_LOSS_FAULTS or step == "take-over"
    if fault == "node-killed" and step in STREAMING_STEPS:
        load.outcome.max_return_s = MAX_RETURN_S
    problems = _run_step_and_fault(cell, step, fault)
    if cell.drained is not None and fault in GRACEFUL_STOP_FAULTS:
        load.outcome.stops.append(_wait_for_planned_stop(cell, cell.drained))
    problems += _heal_and_publish(world, load)
    outcome = load.stop()
    checked = list(GUARANTEES)
    if cell.copies_lost and fault in (NODE_LOSS_FAULTS | UNREACHABLE_NODE_FAULTS):
        checked.remove("P1")
    broken = {
        guarantee: violations
        for guarantee, violations in broken_guarantees(outcome).items()
        if guarantee in checked
    }
    details = [
        *problems,
        *(
            f"{guarantee}: {violation}"
            for guarantee, violations in broken.items()
            for violation in violations
        ),
    ]
    verdict = "FAIL" if details else "ok"
    return CellResult(
        step, fault, seed, verdict, tuple(broken or checked), tuple(details)
    )


def _run_step_and_fault(cell: Cell, step: str, fault: str) -> list[str]:
    cell.load.start()
    try:
        release = STEPS[step](cell)
        cell.load.spawn(lambda: _release_later(cell, release))
        FAULTS[fault](cell)
    except (NotReady, urllib3.exceptions.HTTPError, StopIteration) as error:
        return [f"cell could not be set up: {error!r}"]
    return []


def _release_later(cell: Cell, release: Callable[[], object]) -> None:
    cell.load.wait(RELEASE_DELAY_S)
    # The process that was held back may have been killed in the meantime.
    with suppress(urllib3.exceptions.HTTPError):
        release()


def _wait_for_planned_stop(cell: Cell, node: NodeProcess) -> PlannedStop:
    exit_code = node.process.wait(STOP_TIMEOUT_S)
    interrupted = sum(stream.returns > 0 for stream in cell.drained_streams)
    return PlannedStop(node.name, exit_code, interrupted)


def _heal_and_publish(world: MatrixWorld, load: CellLoad) -> list[str]:
    """Heal the system under load and check that publishing works again."""
    try:
        world.heal()
    except (NotReady, urllib3.exceptions.HTTPError) as error:
        return [f"the world did not heal: {error!r}"]
    answer = load.publish()
    if answer.get("outcome") != "accepted":
        return [f"publish after the fault was not accepted: {answer}"]
    return []


def selected_cells(args: argparse.Namespace) -> Iterator[tuple[str, str]]:
    """Yield the step and fault of each cell that the arguments select."""
    for step in STEPS:
        for fault in FAULTS:
            is_selected = args.step in (None, step) and args.fault in (None, fault)
            if is_selected and (not args.quick or (step, fault) in QUICK_CELLS):
                yield step, fault


def _shard(
    cells: list[tuple[str, str]], shard: str, seed: int
) -> list[tuple[str, str]]:
    """Return one shard of the shuffled cells, such as "0/4", the first of four."""
    if not shard:
        return cells
    index, _, count = shard.partition("/")
    random.Random(seed).shuffle(cells)
    return cells[int(index) :: int(count)]


def known_red() -> frozenset[str]:
    """Return the cells listed as known failures in KNOWN-RED.txt."""
    if not KNOWN_RED_PATH.exists():
        return frozenset()
    lines = KNOWN_RED_PATH.read_text().splitlines()
    return frozenset(
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    )


def run(
    args: argparse.Namespace, print_line: Callable[[str], object]
) -> "Counter[str]":
    """Run all cells or until the time limit; return the number of each verdict."""
    started_s = time.monotonic()
    counts: Counter[str] = Counter()
    known_cells = known_red()
    remaining = _shard(list(selected_cells(args)), args.shard, args.seed)
    while remaining:
        with matrix_world() as world:
            while remaining:
                if args.limit_s and time.monotonic() - started_s > args.limit_s:
                    counts["not-run"] += len(remaining)
                    return counts
                step, fault = remaining.pop(0)
                result = run_cell(world, step, fault, args.seed)
                if (
                    result.verdict == "FAIL"
                    and f"step={step} fault={fault}" in known_cells
                ):
                    result = replace(result, verdict="known-red")
                counts[result.verdict] += 1
                print_line(str(result))
                for detail in result.details:
                    print_line(f"  {detail}")
                if any("the world did not heal" in detail for detail in result.details):
                    break
    return counts


def main() -> int:
    """Run the command; return 1 if a cell failed or none passed."""
    parser = argparse.ArgumentParser(prog="python -m cicadapass_bench.matrix")
    parser.add_argument(
        "--quick", action="store_true", help="only a selection of cells"
    )
    parser.add_argument("--step", choices=[*STEPS], help="only this step")
    parser.add_argument("--fault", choices=[*FAULTS], help="only this fault")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--shard", default="", help="one shard of the cells, as 0/4")
    parser.add_argument(
        "--limit-s", type=float, default=0.0, help="time limit in seconds"
    )
    args = parser.parse_args()
    # The default action of SIGTERM would leave the started processes running.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    counts = run(args, lambda line: print(line, flush=True))
    for step, reason in NOT_RUN_STEPS.items():
        print(f"step={step} not run: {reason}")
    passed, failed = counts["ok"], counts["FAIL"]
    other = ", ".join(
        f"{counts[verdict]} {verdict}" for verdict in ("known-red", "not-applicable")
    )
    print(f"{passed} cells ok, {failed} failed, {counts['not-run']} not run, {other}")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
