"""Run the test suite and compare its result with the list of known failures.

Each test module runs in a separate process, several at a time, because the modules
that start whole systems spend most of their time waiting.
"""

import argparse
import json
import os
import subprocess
import sys
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Each entry of the known failures starts with this word and a test id.
ENTRY_PREFIX = "test: "
MODULE_TIMEOUT_S = 480
MAX_JOBS = 4
# Modules that measure the memory and the descriptors of processes run after all others,
# one at a time.
RUN_ALONE = frozenset({"tests.platform.test_client_memory"})


@dataclass(frozen=True)
class Outcome:
    """Represent the result of one module: counts and the ids of failed tests."""

    run: int
    skipped: int
    failed: frozenset[str]
    output: str


def main() -> int:
    """Run the named tests, or all, and return 1 on an unexpected failure."""
    parser = argparse.ArgumentParser(prog="python -m tests.run")
    parser.add_argument("names", nargs="*", help="dotted names of tests; default: all")
    parser.add_argument(
        "--jobs",
        type=int,
        default=max(1, min(MAX_JOBS, (os.cpu_count() or 2) // 2)),
        help="number of modules run at the same time",
    )
    parser.add_argument("--in-process", action="store_true", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.in_process:
        return _run_in_process(args.names)
    names = args.names or list(_test_modules())
    together = [name for name in names if name not in RUN_ALONE]
    with ThreadPoolExecutor(args.jobs) as pool:
        outcomes = list(pool.map(_run_module, together))
    outcomes += [_run_module(name) for name in names if name in RUN_ALONE]
    return _report(outcomes, known_red())


def known_red() -> frozenset[str]:
    """Return the test ids listed in KNOWN-RED.txt; empty if there is no such file."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.startswith(ENTRY_PREFIX)]
    return frozenset(line.removeprefix(ENTRY_PREFIX).strip() for line in entries)


def _test_modules() -> Iterator[str]:
    for path in sorted((ROOT / "tests").rglob("test_*.py")):
        yield ".".join(path.relative_to(ROOT).with_suffix("").parts)


def _run_module(name: str) -> Outcome:
    command = [sys.executable, "-m", "tests.run", "--in-process", name]
    try:
        process = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_S,
            check=False,
        )
        counts = json.loads(process.stdout.splitlines()[-1])
    except (subprocess.TimeoutExpired, ValueError, IndexError) as error:
        return Outcome(
            1, 0, frozenset({name}), f"{name} ended without a result: {error!r}"
        )
    output = process.stdout + process.stderr
    failed = frozenset(counts["failed"])
    return Outcome(counts["run"], counts["skipped"], failed, output)


def _run_in_process(names: list[str]) -> int:
    suite = unittest.TestLoader().loadTestsFromNames(names)
    result = testtools.TextTestResult(sys.stdout)
    result.startTestRun()
    suite.run(result)
    result.stopTestRun()
    counts = {
        "run": result.testsRun,
        "skipped": sum(len(tests) for tests in result.skip_reasons.values()),
        "failed": sorted(set(_failed_ids(result))),
    }
    print(json.dumps(counts))
    return 1 if counts["failed"] else 0


def _failed_ids(result: testtools.TextTestResult) -> Iterator[str]:
    for test, _ in [*result.failures, *result.errors]:
        yield test.id()
    for test in result.unexpectedSuccesses:
        yield test.id()


def _report(outcomes: list[Outcome], known_failures: frozenset[str]) -> int:
    failed = {test_id for outcome in outcomes for test_id in outcome.failed}
    for outcome in outcomes:
        if outcome.failed - known_failures:
            print(outcome.output)
    for test_id in sorted(failed & known_failures):
        print(f"known red: {test_id}")
    for test_id in sorted(failed - known_failures):
        print(f"failed: {test_id}")
    skipped = sum(outcome.skipped for outcome in outcomes)
    run = sum(outcome.run for outcome in outcomes)
    unexpected = failed - known_failures
    passed = run - len(failed) - skipped
    print(f"{passed} passed, {len(unexpected)} failed, {skipped} skipped")
    # A run without any test is a failure.
    return 1 if unexpected or not run else 0


if __name__ == "__main__":
    sys.exit(main())
