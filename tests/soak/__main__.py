"""Run many seeds, several at a time, and print one line for each."""

import argparse
import asyncio
import random
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from tests.soak.faults import (
    ANSWER_KINDS,
    CROWD_KINDS,
    ENDLESS_KINDS,
    draw_faults,
    draw_returns,
)
from tests.soak.world import SIZES, play_faults


def main():
    """Run the seeds and return 1 if one of them failed."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--first", type=int, help="first seed; default: random")
    parser.add_argument(
        "--length", type=float, default=20.0, help="seconds during which faults start"
    )
    parser.add_argument("--nodes", type=int, default=SIZES[0])
    parser.add_argument("--engines", type=int, default=SIZES[1])
    parser.add_argument("--callers", type=int, default=SIZES[2])
    parser.add_argument(
        "--only",
        nargs="*",
        choices=ANSWER_KINDS + ENDLESS_KINDS + CROWD_KINDS,
        default=(),
        help="play only faults of these kinds",
    )
    parser.add_argument(
        "--returns",
        action="store_true",
        help="play returns of the store from a copy, and faults around them",
    )
    parser.add_argument(
        "--jobs", type=int, default=3, help="number of seeds run at the same time"
    )
    parser.add_argument(
        "--keep", type=Path, help="folder in which the logs of the nodes are kept"
    )
    args = parser.parse_args()
    first = args.first
    if first is None:
        first = random.SystemRandom().randrange(1_000_000)
    run_seed = partial(_run_seed, args)
    failed = 0
    with ProcessPoolExecutor(args.jobs) as pool:
        for line, violations in pool.map(run_seed, range(first, first + args.seeds)):
            print(line, *violations, sep="\n  ", flush=True)
            failed += bool(violations)
    print(f"{args.seeds} seeds from {first}, {failed} failed")
    return 1 if failed else 0


def _run_seed(args, seed):
    faults = draw_faults(seed, args.length, args.only)
    if args.returns:
        faults = draw_returns(seed, args.length)
    sizes = args.nodes, args.engines, args.callers
    kept_folder = None if args.keep is None else args.keep / str(seed)
    with tempfile.TemporaryDirectory() as temporary:
        folder = temporary if kept_folder is None else kept_folder
        Path(folder).mkdir(parents=True, exist_ok=True)
        started_s = time.monotonic()
        try:
            violations, records = asyncio.run(play_faults(seed, folder, faults, sizes))
        except Exception as error:
            # One seed must not end the run; it counts as failed.
            seconds = time.monotonic() - started_s
            return f"seed {seed}: ended early; {seconds:.0f} s", [repr(error)]
    statuses = Counter(call.status for call in records.calls)
    counts = ", ".join(f"{status}: {n}" for status, n in sorted(statuses.items()))
    seconds = time.monotonic() - started_s
    peak_mb = max(records.peak_memory_mb.values(), default=0.0)
    return (
        f"seed {seed}: {len(violations)} broken; {counts}; "
        f"{_percentile_ms(records.calls, 0.99)} ms at p99; {peak_mb:.0f} MB; "
        f"{seconds:.0f} s",
        violations,
    )


def _percentile_ms(calls, fraction):
    """Return a percentile of the durations of the calls that were served."""
    durations_s = sorted(
        call.ended_s - call.sent_s for call in calls if call.status == 200
    )
    if not durations_s:
        return 0
    return round(1000 * durations_s[int(fraction * (len(durations_s) - 1))])


if __name__ == "__main__":
    sys.exit(main())
