"""Run the test suite and judge it against the list of known failures."""

import argparse
import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Each entry of the known failures starts with this word and a test id.
ENTRY_PREFIX = "test: "


def main() -> int:
    """Run the named tests, or all, and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m tests.run")
    parser.add_argument("names", nargs="*", help="dotted names; all tests if none")
    parser.add_argument("--failfast", action="store_true")
    args = parser.parse_args()
    suite = _load(args.names)
    known = known_red()
    result = testtools.TextTestResult(sys.stdout, failfast=args.failfast)
    result.startTestRun()
    suite.run(result)
    result.stopTestRun()
    return _report(result, known)


def known_red() -> frozenset[str]:
    """Return the ids of the tests that are listed as known failures."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.startswith(ENTRY_PREFIX)]
    return frozenset(line.removeprefix(ENTRY_PREFIX).strip() for line in entries)


def _load(names: list[str]) -> unittest.TestSuite:
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))


def _failed_ids(result: testtools.TextTestResult) -> Iterator[str]:
    for test, _ in [*result.failures, *result.errors]:
        yield test.id()
    for test in result.unexpectedSuccesses:
        yield test.id()


def _report(result: testtools.TextTestResult, known: frozenset[str]) -> int:
    failed = set(_failed_ids(result))
    for test_id in sorted(failed & known):
        print(f"known red: {test_id}")
    for test_id in sorted(failed - known):
        print(f"failed: {test_id}")
    skipped = sum(len(tests) for tests in result.skip_reasons.values())
    unexpected = failed - known
    passed = result.testsRun - len(failed) - skipped
    print(f"{passed} passed, {len(unexpected)} failed, {skipped} skipped")
    # An empty run must not count as a pass.
    return 1 if unexpected or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
