"""Test that the platform's names stay in the adapter, which shadows no module."""

import re
import subprocess
import sys

import testtools

from tests.run import ROOT

# Names of the platform's wire format that the rest of the code must not use.
WIRE_NAMES = re.compile(
    r"Server-Seal|Fencing-Token|Duty-Holder|Kv-(?:Hold|From|Backup|Fetch)|kv-move"
    r"|log-(?:append|read|newest|join)|Not-Executed|Prefix-Hash|Token-Usage"
    r"|Expect-Instance|pathPrefix|trafficSplit|apiKeys|ratePerS|zonePrices|windowId"
    r"|CICADAPASS_BOOT|keyed\.(?:op|servers|status)"
)


class BoundaryTest(testtools.TestCase):
    def test_wire_names_stay_in_the_adapter(self):
        """A name of the platform's wire format was used in another package."""
        for path in sorted((ROOT / "packages").rglob("*.py")):
            match = WIRE_NAMES.search(path.read_text())
            self.assertIsNone(match, f"{path.name}: {match}")

    def test_pattern_matches_the_adapter(self):
        """A pattern that never matches would make the test above pass."""
        text = (ROOT / "platform/cicadapass_platform/headers.py").read_text().title()
        self.assertIsNotNone(WIRE_NAMES.search(text))

    def test_folder_does_not_shadow_the_standard_module(self):
        """A program started at the root imported the folder instead of `platform`."""
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())
        script = "import platform; print(platform.python_version())"
        done = subprocess.run(
            [sys.executable, "-c", script],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stderr)

    def test_program_imports_the_standard_module(self):
        """A library that imports `platform` failed in a running node."""
        script = "import cicadapass_platform.__main__, platform; platform.system()"
        done = subprocess.run(
            [sys.executable, "-c", script], cwd=ROOT, capture_output=True, check=False
        )
        self.assertEqual(0, done.returncode, done.stderr)
