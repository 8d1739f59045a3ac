"""Test that the decisions use no I/O, clocks, threads or logging."""

import ast

import testtools

from tests.run import ROOT

PACKAGE = ROOT / "packages" / "decisions" / "cicadapass_decisions"
FORBIDDEN = {
    "asyncio",
    "cicadapass",
    "cicadapass_common",
    "datetime",
    "io",
    "logging",
    "os",
    "pathlib",
    "pykka",
    "queue",
    "secrets",
    "socket",
    "subprocess",
    "sys",
    "threading",
    "time",
    "urllib3",
    "uuid",
    "websockets",
}
# Only the type of the random generator, which callers pass in, may be used.
ALLOWED_OF_RANDOM = {"Random"}


def imported_names(tree):
    """Return the top-level packages that a module imports."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.partition(".")[0]


def used_of_random(tree):
    """Return the attributes of `random` that a module uses."""
    attributes = (node for node in ast.walk(tree) if isinstance(node, ast.Attribute))
    for node in attributes:
        if isinstance(node.value, ast.Name) and node.value.id == "random":
            yield node.attr


def calls_of(tree):
    """Return the names of the functions that a module calls by their bare name."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            yield node.func.id


class PurityTest(testtools.TestCase):
    def test_modules_are_pure(self):
        """A decision that reads a clock or a socket cannot be replayed in a test."""
        paths = sorted(PACKAGE.glob("*.py"))
        self.assertGreater(len(paths), 20)
        for path in paths:
            tree = ast.parse(path.read_text())
            self.assertEqual(set(), FORBIDDEN & set(imported_names(tree)), path.name)
            used = set(used_of_random(tree)) - ALLOWED_OF_RANDOM
            self.assertEqual(set(), used, path.name)
            self.assertEqual(set(), {"open", "print"} & set(calls_of(tree)), path.name)

    def test_check_finds_impure_code(self):
        """The check must detect violations, or it would pass for any module."""
        tree = ast.parse("import time\nfrom os import path\nrandom.random()\nopen(1)")
        self.assertEqual({"time", "os"}, FORBIDDEN & set(imported_names(tree)))
        self.assertEqual({"random"}, set(used_of_random(tree)) - ALLOWED_OF_RANDOM)
        self.assertIn("open", set(calls_of(tree)))
